"""The entry node as a whole: what it is made of, how it starts and how it stops."""

import asyncio
import logging
import secrets
import signal
import socket
from contextlib import AsyncExitStack
from random import Random

import grpc
from aiohttp import ClientSession, ClientTimeout, web
from aiohttp.typedefs import Handler
from prometheus_client import generate_latest

from wrenloft._settings import NodeSettings
from wrenloft._view import View
from wrenloft.agents import AgentClient, Attachments, Planner
from wrenloft.callers import Authenticator, CallerRoutes, KeyedRuns, Router, Sender, build_choice
from wrenloft.nodes import Heartbeats, NodeService, OwnerClaims
from wrenloft.operators import OperatorRoutes
from wrenloft.platform import (
    ConfigurationStore,
    KeyValueClient,
    Membership,
    NodeRegistration,
    RequestRegistry,
    Shards,
)
from wrenloft_core import CheckedConnector, NodeId, PlaceName, RegionName
from wrenloft_messages import messages, services

_LOG = logging.getLogger(__name__)

_WATCHERS_PER_PLACE = 2
_DRAIN_MARGIN = 1.0
_HTTP_BACKLOG = 1024


class Node:
    """Everything that one entry node owns."""

    def __init__(self, settings: NodeSettings, session: ClientSession) -> None:
        self._settings = settings
        self._session = session
        self._random = Random()
        self.node_id = NodeId(f"{settings.name}.{secrets.token_hex(4)}")
        self._place = PlaceName(settings.place)
        self._region = RegionName(settings.region)
        self._draining = False
        self._http_address = ""
        self._grpc_address = ""
        self.stop = asyncio.Event()
        self._view = View(settings.stale_seconds, settings.suspect_seconds)
        self._keyvalue = KeyValueClient(session, settings.keyvalue)
        self._configurations = ConfigurationStore(self._keyvalue)
        self._attachments = Attachments(self._view, self._configurations, self._describe)
        self._client = AgentClient(session, settings.secret)
        self._router = Router(
            self._view,
            self._configurations,
            self.node_id,
            self._place,
            self._region,
            self._random,
            build_choice(settings.choice),
        )

    async def start(self, stack: AsyncExitStack) -> None:
        """Listen, register, and start every task."""
        bound = self._bind_http(stack)
        server = await self._open_grpc(stack)
        self._build_members()
        await self._serve(stack, bound, server)
        print(f"listening {self._http_address} {self._grpc_address}", flush=True)
        tasks = [
            self._membership.keep_lease(),
            self._membership.poll(),
            self._watch_if_chosen(),
            self._shards.balance(),
            self._registry.write(),
            self._heartbeats.follow_members(),
            self._planner.plan(),
        ]
        running = [asyncio.create_task(each) for each in tasks]
        for task in running:
            task.add_done_callback(self._notice_end)
        stack.push_async_callback(_end_tasks, running)
        stack.push_async_callback(self._planner.close)
        stack.push_async_callback(self._claims.close)

    async def drain(self) -> None:
        """Leave the lists, hand over the shards, serve on for a while, then end.

        Callers keep a list of addresses for ``keep_seconds``, so new requests come until then;
        refusing them would lose the requests of callers that did nothing wrong.
        """
        _LOG.info("draining: %d requests in progress", self._routes.in_progress)
        self._draining = True
        self._view.notify()
        self._attachments.drain()
        await self._shards.release_all()
        await asyncio.sleep(self._settings.keep_seconds + _DRAIN_MARGIN)
        self._routes.refusing = True
        await self._routes.finish()
        await self._membership.leave()
        _LOG.info("drained: no requests in progress")

    def _build_members(self) -> None:
        settings = self._settings
        registration = NodeRegistration(
            self.node_id, self._http_address, self._grpc_address, self._place, self._region
        )
        self._membership = Membership(
            self._keyvalue,
            self._configurations,
            registration,
            lease_seconds=settings.lease_seconds,
            poll_seconds=settings.poll_seconds,
            random=self._random,
        )
        self._registry = RequestRegistry(
            self._keyvalue,
            settings.shard_count,
            lambda number: self._shards.get(number),
            lambda number: self._shards.lose(number),
            commit_seconds=settings.commit_seconds,
            retention=lambda: self._configurations.current.fleet.retention,
        )
        self._shards = Shards(
            self._keyvalue,
            self._membership,
            settings.shard_count,
            self._registry.load,
            self._registry.drop,
        )
        self._shards.draining_peers = self._list_draining
        self._claims = OwnerClaims(self._registry, self._membership, settings.secret)
        self._heartbeats = Heartbeats(
            self._view,
            self._membership,
            self._configurations,
            self._describe,
            self._router.demand,
            seeds=settings.peers,
            secret=settings.secret,
            heartbeat_seconds=settings.heartbeat_seconds,
            random=self._random,
        )
        self._planner = Planner(
            self._view,
            self._shards,
            self._configurations,
            self._session,
            origin=settings.origin,
            secret=settings.secret,
            shard_count=settings.shard_count,
            plan_seconds=settings.plan_seconds,
        )
        sender = Sender(self._router, self._client, self._configurations, self._random)
        keyed = KeyedRuns(
            self._router,
            sender,
            self._client,
            self._claims,
            self._view,
            self._configurations,
            self._random,
        )
        self._routes = CallerRoutes(
            Authenticator(self._configurations),
            self._router,
            sender,
            keyed,
            self._view,
            self._configurations,
            self._describe,
            settings.keep_seconds,
        )
        self._operators = OperatorRoutes(
            self._view,
            self._membership,
            self._configurations,
            self._describe,
            self.stop.set,
            settings.operator_key,
            settings.shard_count,
        )

    def _describe(self) -> messages.NodeRecord:
        return messages.NodeRecord(
            node_id=self.node_id,
            http_address=self._http_address,
            grpc_address=self._grpc_address,
            place=self._place,
            region=self._region,
            draining=self._draining,
            revision=self._configurations.revision,
        )

    def _list_draining(self) -> set[NodeId]:
        return {node_id for node_id, peer in self._view.peers.items() if peer.record.draining}

    async def _watch_if_chosen(self) -> None:
        """Watch the configuration's head if this is one of the first nodes of its place.

        Each waiting watch counts as a call of the service; the others hear of a new revision
        from these, or from the next read of the tables.
        """
        while True:
            await self._membership.polled.wait()
            near = sorted(
                each.node_id
                for each in self._membership.tables.nodes.values()
                if each.place == self._place
            )
            if self.node_id in near[:_WATCHERS_PER_PLACE]:
                await self._membership.watch_head()

    def _notice_end(self, task: asyncio.Task[None]) -> None:
        """Stop the node if one of its tasks fails: half a node would look like a whole one."""
        if not task.cancelled() and task.exception() is not None:
            _LOG.error("a task of this node failed", exc_info=task.exception())
            self.stop.set()

    def _bind_http(self, stack: AsyncExitStack) -> socket.socket:
        """Bind the port first: the registration must carry the address."""
        bound = socket.create_server(
            (self._settings.host, self._settings.http_port), backlog=_HTTP_BACKLOG
        )
        self._http_address = f"{self._settings.host}:{bound.getsockname()[1]}"
        return stack.enter_context(bound)

    async def _open_grpc(self, stack: AsyncExitStack) -> grpc.aio.Server:
        server = grpc.aio.server()
        address = f"{self._settings.host}:{self._settings.grpc_port}"
        port = server.add_insecure_port(address)
        self._grpc_address = f"{self._settings.host}:{port}"
        stack.push_async_callback(server.stop, 0.5)
        return server

    async def _serve(
        self, stack: AsyncExitStack, bound: socket.socket, server: grpc.aio.Server
    ) -> None:
        app = web.Application(
            client_max_size=self._settings.max_body, middlewares=[self._bound_requests]
        )
        service = NodeService(
            self._view,
            self._attachments,
            self._configurations,
            self._membership,
            self._registry,
            self._describe,
            self._settings.secret,
        )
        services.add_NodeServicer_to_server(service, server)
        app.add_routes(
            [
                web.get("/healthz", self._show_health),
                web.get("/readyz", self._show_ready),
                web.get("/metrics", self._show_metrics),
                *self._routes.routes(),
                *self._operators.routes(),
            ]
        )
        runner = web.AppRunner(
            app, access_log=None, shutdown_timeout=1.0, handler_cancellation=True
        )
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.SockSite(runner, bound, backlog=_HTTP_BACKLOG).start()
        await server.start()

    @web.middleware
    async def _bound_requests(self, request: web.Request, handler: Handler) -> web.StreamResponse:
        if self._routes.in_progress >= self._settings.max_connections:
            return web.Response(status=503, text="too many requests in progress at this node")
        return await handler(request)

    async def _show_health(self, _: web.Request) -> web.Response:
        return web.Response(text="ok")

    async def _show_ready(self, _: web.Request) -> web.Response:
        ready = bool(self._configurations.revision) and not self._draining
        return web.Response(status=200 if ready else 503, text="ready" if ready else "not ready")

    async def _show_metrics(self, _: web.Request) -> web.Response:
        return web.Response(body=generate_latest(), content_type="text/plain")


async def _end_tasks(tasks: list[asyncio.Task[None]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def run_node(settings: NodeSettings) -> None:
    """Run until SIGTERM, SIGINT or an operator's drain, then drain."""
    loop = asyncio.get_running_loop()
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(
            ClientSession(
                connector=CheckedConnector(keepalive_seconds=30.0),
                timeout=ClientTimeout(total=None, sock_connect=2.0),
                auto_decompress=False,
            )
        )
        node = Node(settings, session)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, node.stop.set)
        await node.start(stack)
        await node.stop.wait()
        await node.drain()
