"""Tests of requests that a narrowed link delivers after the deadline of a version."""

import asyncio
import json
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest
import tomli_w
from aiohttp import ClientSession, web

from wrenloft_core import ModelName
from wrenloft_platform._engine import RunnerEngine
from wrenloft_swarm import OrderResult, VersionName

from .conftest import StandinEndpoint, StandinStore, full_response
from .held_link import HeldLink
from .test_programs import CONFIGURATION, Entry, start_program, write_settings

MODEL = "m1"
LAYERS = 4
AGENT_IP = "127.0.0.2"
VERSION_SECONDS = 2.5


@dataclass
class LayeredEngine:
    """An engine that has layers of one version, and runs requests while it has all of them.

    :param begun: version on which each request began.
    :param rejected: ids of the requests that it rejected.
    """

    version: int = 1
    stop_layer: int = LAYERS
    sequence: int = 0
    begun: list[int] = field(default_factory=list)
    rejected: list[str] = field(default_factory=list)
    arrived: asyncio.Event = field(default_factory=asyncio.Event)

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of reports, staging, orders and requests."""
        return [
            web.get("/report", self._report),
            web.get("/stage-get/{model}", self._list_staged),
            web.post("/order", self._order),
            web.post("/stream/{rest}", self._run),
        ]

    def describe(self) -> dict[str, Any]:
        """Return what it says of its weights in reports and in the list of endpoints."""
        models = [{"name": MODEL, "version": self.version}] if self.stop_layer else []
        layers = {"from": 0, "target": self.stop_layer, "version": self.version}
        return {"models": models, "layers": layers if self.stop_layer else None}

    async def _report(self, _: web.Request) -> web.Response:
        fields = {"busy": False, "sequence": self.sequence, "waiting": 0, "running": 0}
        return web.json_response({**fields, **self.describe()})

    async def _list_staged(self, _: web.Request) -> web.Response:
        return web.json_response({"held": []})

    async def _order(self, request: web.Request) -> web.Response:
        order = await request.json()
        if order.get("expected", self.sequence) != self.sequence:
            return web.Response(status=409)
        self.sequence += 1
        self.version, self.stop_layer = order["version"], order["target"]
        return web.Response(status=202)

    async def _run(self, request: web.Request) -> web.Response:
        request_id = request.headers["X-Attempt-Id"]
        self.arrived.set()
        if self.stop_layer < LAYERS:
            self.rejected.append(request_id)
            return web.Response(status=421, headers={"X-Attempt-Id": request_id})
        self.begun.append(self.version)
        return web.Response(
            body=b"id: 1\ndata: x\n\n",
            content_type="text/event-stream",
            headers={"X-Attempt-Id": request_id, "X-Response-Stamp": "s"},
        )


async def _start_engine(stack: AsyncExitStack, engine: LayeredEngine) -> str:
    app = web.Application()
    app.add_routes(engine.routes())
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, AGENT_IP, 0).start()
    return f"{AGENT_IP}:{runner.addresses[0][1]}"


def _configure() -> dict[str, Any]:
    """Return a configuration whose streams go to engines, and whose origin refuses connections."""
    routes = [{**each, "service": "engines"} for each in CONFIGURATION["routes"]]
    engine = {
        "slots": 4,
        "step_ms": 9.0,
        "read_per_s": 19000.0,
        "models": [{"name": MODEL}],
        "layers": LAYERS,
        "chunks": 8,
        "chunkBytes": 400,
    }
    services = [
        {"name": "engines", "maxConnections": 10, "engine": engine},
        {"name": "weights", "origin": f"{AGENT_IP}:9", "zone": "z1", "linkMbps": 10.0},
    ]
    return {**CONFIGURATION, "routes": routes, "services": services}


async def _start(stack: AsyncExitStack, program: str, path: Path) -> asyncio.subprocess.Process:
    process = await start_program(program, path)

    async def end() -> None:
        if process.returncode is None:
            process.kill()
        await process.communicate()

    stack.push_async_callback(end)
    return process


@pytest.fixture
async def engine() -> LayeredEngine:
    """Return an engine with the first version."""
    return LayeredEngine()


@pytest.fixture
async def link(stack: AsyncExitStack, engine: LayeredEngine) -> HeldLink:
    """Return an open link to the engine."""
    link = HeldLink(await _start_engine(stack, engine))
    return await stack.enter_async_context(link.serve(AGENT_IP))


@pytest.fixture
async def entry(
    stack: AsyncExitStack,
    store: StandinStore,
    engine: LayeredEngine,
    link: HeldLink,
    tmp_path: Path,
) -> Entry:
    """Run an agent beside the engine and an entry node that reaches the engine over the link."""
    store.put("op/config", _configure())
    fields = {"service": "engines", "address": link.address, "zone": "z1", "slots": 4}
    store.put("servers/i-1", {**fields, **engine.describe(), "state": "ready", "sequence": 1})
    path = tmp_path / "entry.toml"
    bounds = {"grace": 6.0, "revoke": 5.0, "version": VERSION_SECONDS}
    settings = write_settings(path, store.address, bounds=bounds)
    process = await _start(stack, "entry.py", path)
    shared = {key: settings[key] for key in ("place", "region", "regions", "internal_port")}
    agent_path = tmp_path / "agent.toml"
    agent_path.write_text(
        tomli_w.dumps(
            {
                **shared,
                "name": "side-1",
                "ip": AGENT_IP,
                "engine": link.target,
                "service": "engines",
                "store": store.address,
                "link_rate": 1e9,
                "version": VERSION_SECONDS,
            }
        )
    )
    await _start(stack, "agent.py", agent_path)
    client = await stack.enter_async_context(ClientSession())
    node = Entry(process, settings, client)
    await node.wait_ready()
    async with asyncio.timeout(20):
        while (await node.send("/stream/x", data=b"b"))[0] != 200:
            await asyncio.sleep(0.1)
    engine.begun.clear()
    engine.arrived.clear()
    return node


async def test_request_held_in_a_link_does_not_begin_on_a_version_past_its_deadline(
    entry: Entry, engine: LayeredEngine, link: HeldLink, store: StandinStore
) -> None:
    """Guards against a request that its entry node gave up and that the link delivers later."""
    loop = asyncio.get_running_loop()
    link.hold()
    store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 2})
    deadline = loop.time() + VERSION_SECONDS
    sending = asyncio.create_task(entry.send("/stream/x", data=b"b"))
    async with asyncio.timeout(20):
        await link.wait_held()
        status, body = await sending
        await asyncio.sleep(deadline - loop.time())
        link.release()
        await engine.arrived.wait()
    assert not engine.begun, json.dumps([status, body.decode()])
    assert engine.rejected


async def test_order_to_unload_names_the_orders_that_the_engine_had_accepted(
    session: ClientSession, endpoint: StandinEndpoint
) -> None:
    """Guards against an order that takes away the version which a later one has loaded."""
    endpoint.answers = [full_response(b"", status="409 Conflict")]
    engine = RunnerEngine(session, endpoint.address)
    engine.layers = LAYERS
    assert await engine.unload(VersionName(ModelName(MODEL), 1), 3) is OrderResult.BUSY
    order = json.loads(endpoint.received[0].body)
    assert (order["version"], order["from"], order["target"], order["expected"]) == (1, 0, 0, 3)


async def test_engine_that_knows_no_spans_gets_no_order_to_unload(
    session: ClientSession, endpoint: StandinEndpoint
) -> None:
    """Guards against an engine that loads all that is staged, of whatever version."""
    engine = RunnerEngine(session, endpoint.address)
    assert await engine.unload(VersionName(ModelName(MODEL), 1), 3) is OrderResult.REFUSED
    assert not endpoint.received
