"""The agent as a whole: what it is made of, how it starts and how it stops."""

import asyncio
import logging
import secrets
import signal
from contextlib import AsyncExitStack
from random import Random

import grpc
from aiohttp import ClientSession, web
from aiohttp.typedefs import Handler
from prometheus_client import generate_latest

from wrenloft_agent._models import Models
from wrenloft_agent._runs import Runs
from wrenloft_agent._sessions import open_session
from wrenloft_agent._settings import AgentSettings, RunnerKind
from wrenloft_agent._store import ChunkStore
from wrenloft_agent._transfer import TransferMeans
from wrenloft_agent.nodes import AgentService, HomeNodes, RequestRoutes
from wrenloft_agent.origin import OriginClient
from wrenloft_agent.peers import ChunkRoutes
from wrenloft_agent.platform import NodeDirectory
from wrenloft_agent.runner import EngineOrders, Gate, RunnerCalls
from wrenloft_core import (
    AgentId,
    Header,
    ModelName,
    Pacer,
    PlaceName,
    RegionName,
    VersionDigest,
    matches_secret,
)
from wrenloft_messages import messages, services

_LOG = logging.getLogger(__name__)

_MAX_BODY = 16 << 20
_OPEN_PATHS = frozenset({"/healthz", "/readyz", "/metrics"})
_DRAIN_INTERVAL = 0.1


class Agent:
    """Everything that one agent process owns."""

    def __init__(self, settings: AgentSettings, session: ClientSession) -> None:
        self._settings = settings
        self.agent_id = AgentId(f"{settings.name}.{secrets.token_hex(4)}")
        self._http_address = ""
        self._grpc_address = ""
        self._sequence = 0
        self._leaving = False
        self._read_back = settings.kind is RunnerKind.SERVICE
        random = Random()
        down, self._up = Pacer(settings.link_rate), Pacer(settings.link_rate)
        self._store = ChunkStore(settings.memory_bytes)
        self._runs = Runs(settings.witness_seconds)
        self._gate = Gate(settings.capacity, settings.queue)
        self._models = Models(
            EngineOrders(session, settings.runner),
            TransferMeans(
                store=self._store,
                session=session,
                origin=OriginClient(session, settings.origin, down),
                pacer=down,
                secret=settings.secret,
                link_rate=settings.link_rate,
                random=random,
            ),
            self._count_uses,
            self._notify,
        )
        self._homes = HomeNodes(
            settings.nodes,
            settings.secret,
            self._describe,
            settings.report_seconds,
            random,
            NodeDirectory(session, settings.keyvalue).list_nodes,
        )
        self._requests = RequestRoutes(
            self.agent_id,
            self._runs,
            self._gate,
            RunnerCalls(
                session,
                settings.runner,
                echoes_id=settings.echoes_id and settings.kind is RunnerKind.ENGINE,
                resumable=settings.resumable and settings.kind is RunnerKind.ENGINE,
            ),
            self._up,
            lambda: self._homes.rules,
            self._version_of,
        )

    async def start(self, stack: AsyncExitStack) -> None:
        """Read the engine back, then listen, then attach to the home nodes."""
        await self._listen_http(stack)
        await self._listen_grpc(stack)
        print(f"listening {self._http_address} {self._grpc_address}", flush=True)
        stack.push_async_callback(self._models.close)
        if not self._read_back:
            await self._models.read_back()
            self._read_back = True
            watch = asyncio.create_task(self._models.watch_engine())
            stack.callback(watch.cancel)
        stack.push_async_callback(self._homes.close)
        self._homes.start()

    async def drain(self) -> None:
        """Refuse new work, let every run end, and tell the nodes meanwhile."""
        _LOG.info("leaving: %d runs in progress", len(self._runs.active()))
        self._leaving = self._requests.leaving = True
        self._homes.notify()
        least = asyncio.get_running_loop().time() + self._settings.leave_seconds
        while self._runs.active() or asyncio.get_running_loop().time() < least:
            await asyncio.sleep(_DRAIN_INTERVAL)
        _LOG.info("left: no runs in progress")

    def _notify(self) -> None:
        self._homes.notify()

    def _count_uses(self, version: VersionDigest) -> int:
        return sum(each.version == version for each in self._runs.active())

    def _version_of(self, model: ModelName) -> str | None:
        if self._settings.kind is RunnerKind.SERVICE:
            return ""
        return self._models.serving.get(model)

    def _phase(self) -> messages.Phase.ValueType:
        if self._leaving:
            return messages.PHASE_LEAVING
        ready = self._read_back and self._homes.ready.is_set()
        return messages.PHASE_READY if ready else messages.PHASE_STARTING

    def _describe(self) -> messages.AgentRecord:
        self._sequence += 1
        self._gate.alarm_slots = min(self._homes.rules.alarm_slots, self._gate.capacity - 1)
        return messages.AgentRecord(
            agent_id=self.agent_id,
            sequence=self._sequence,
            http_address=self._http_address,
            grpc_address=self._grpc_address,
            place=self._settings.place,
            region=self._settings.region,
            labels={"host": self._settings.name, **self._settings.labels},
            phase=self._phase(),
            capacity=self._gate.capacity,
            running=self._gate.running,
            waiting=self._gate.waiting,
            memory_bytes=self._settings.memory_bytes,
            served=[
                messages.ServedVersion(model=model, version=version)
                for model, version in self._models.serving.items()
            ],
            revision=self._homes.rules.revision,
        )

    async def _listen_http(self, stack: AsyncExitStack) -> None:
        app = web.Application(client_max_size=_MAX_BODY, middlewares=[self._authenticate])
        app.add_routes(
            [
                web.get("/healthz", self._show_health),
                web.get("/readyz", self._show_ready),
                web.get("/metrics", self._show_metrics),
                *self._requests.routes(),
                *ChunkRoutes(self._store, self._up).routes(),
            ]
        )
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, self._settings.host, self._settings.http_port).start()
        self._http_address = f"{self._settings.host}:{runner.addresses[0][1]}"

    async def _listen_grpc(self, stack: AsyncExitStack) -> None:
        server = grpc.aio.server()
        service = AgentService(
            self.agent_id,
            PlaceName(self._settings.place),
            RegionName(self._settings.region),
            self._models,
            self._settings.secret,
            lambda: self._leaving,
        )
        services.add_AgentServicer_to_server(service, server)
        address = f"{self._settings.host}:{self._settings.grpc_port}"
        port = server.add_insecure_port(address)
        await server.start()
        stack.push_async_callback(server.stop, 0.5)
        self._grpc_address = f"{self._settings.host}:{port}"

    @web.middleware
    async def _authenticate(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        given = request.headers.get(Header.SECRET, "")
        if request.path not in _OPEN_PATHS and not matches_secret(given, self._settings.secret):
            raise web.HTTPUnauthorized
        return await handler(request)

    async def _show_health(self, _: web.Request) -> web.Response:
        return web.Response(text="ok")

    async def _show_ready(self, _: web.Request) -> web.Response:
        ready = self._phase() == messages.PHASE_READY
        return web.Response(status=200 if ready else 503, text="ready" if ready else "not ready")

    async def _show_metrics(self, _: web.Request) -> web.Response:
        return web.Response(body=generate_latest(), content_type="text/plain")


async def run_agent(settings: AgentSettings) -> None:
    """Run until SIGTERM or SIGINT, then drain."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(open_session())
        agent = Agent(settings, session)
        await agent.start(stack)
        await stop.wait()
        await agent.drain()
