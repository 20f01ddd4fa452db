"""Tests of the agent as a process, with stand-ins of its engine, the origin and the store."""

import asyncio
import base64
import hashlib
import json
import signal
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest
import tomli_w
from aiohttp import ClientError, ClientSession, web

from wrenloft_core import read_clock
from wrenloft_routing import Frame, Item, StoreDelta, encode_frame

from .conftest import LOOPBACK, StandinStore, find_free_port
from .test_programs import start_program

MODEL = "m1"
COUNT = 8


def _chunk(version: int, number: int) -> bytes:
    return f"{version}/{number}".encode() * 100


@dataclass
class StandinEngine:
    """A model engine that loads the staged chunks when it gets an order.

    :param busy: number of orders rejected before one is accepted.
    :param leaving: whether its answers say that it leaves.
    """

    version: int = 0
    staged: dict[int, bytes] = field(default_factory=dict)
    loaded: list[tuple[int, bool]] = field(default_factory=list)
    busy: int = 0
    leaving: bool = False

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the engine's calls."""
        return [
            web.get("/report", self._report),
            web.get("/stage-get/{model}", self._read),
            web.put("/stage-put/{model}", self._stage),
            web.post("/order", self._order),
        ]

    async def _report(self, _: web.Request) -> web.Response:
        models = [{"name": MODEL, "version": self.version, "adapters": []}] if self.version else []
        return web.json_response(
            {
                "stage": "both",
                "models": models,
                "busy": False,
                "sequence": len(self.loaded),
                "waiting": 0,
                "running": 3,
                "kvUsed": 1,
                "kvTotal": 10,
            },
            headers={"Server-Leaving": "1"} if self.leaving else None,
        )

    async def _read(self, request: web.Request) -> web.Response:
        if "quantity" not in request.query:
            return web.json_response({"held": sorted(self.staged)})
        data = self.staged.get(int(request.query["quantity"]))
        return web.Response(status=404) if data is None else web.Response(body=data)

    async def _stage(self, request: web.Request) -> web.Response:
        self.staged[int(request.query["quantity"])] = await request.read()
        return web.Response()

    async def _order(self, request: web.Request) -> web.Response:
        if self.busy:
            self.busy -= 1
            return web.Response(status=409)
        version = (await request.json())["version"]
        complete = all(self.staged.get(n) == _chunk(version, n) for n in range(COUNT))
        self.loaded.append((version, complete))
        self.version = version
        return web.Response(status=202)


async def _send_manifest(request: web.Request) -> web.Response:
    version = int(request.query["version"])
    digests = [hashlib.sha256(_chunk(version, n)).hexdigest() for n in range(COUNT)]
    return web.json_response({"model": MODEL, "version": version, "digests": digests})


async def _send_piece(request: web.Request) -> web.Response:
    return web.Response(body=_chunk(int(request.query["version"]), int(request.query["quantity"])))


async def _start_server(stack: AsyncExitStack, routes: list[web.RouteDef]) -> str:
    app = web.Application()
    app.add_routes(routes)
    runner = web.AppRunner(app, shutdown_timeout=0.1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, LOOPBACK, 0).start()
    return f"{LOOPBACK}:{runner.addresses[0][1]}"


def _configure(origin: str) -> dict[str, Any]:
    engine = {
        "slots": 4,
        "step_ms": 9.0,
        "read_per_s": 19000.0,
        "models": [{"name": MODEL}],
        "chunks": COUNT,
        "chunkBytes": 400,
    }
    return {
        "version": 1,
        "routes": [],
        "services": [
            {"name": "engines", "maxConnections": 10, "engine": engine},
            {"name": "weights", "origin": origin, "zone": "z1", "linkMbps": 10.0},
        ],
    }


@pytest.fixture
async def engine() -> StandinEngine:
    """Return an engine without weights."""
    return StandinEngine()


async def _start_agent(
    stack: AsyncExitStack, store: StandinStore, engine: StandinEngine, tmp_path: Path
) -> tuple[asyncio.subprocess.Process, str]:
    """Start an agent, stopped with the stack; return the process and its address."""
    port = find_free_port()
    settings = {
        "name": "side-1",
        "ip": LOOPBACK,
        "place": "z1",
        "region": "r1",
        "regions": {"z1": "r1"},
        "engine": await _start_server(stack, engine.routes()),
        "service": "engines",
        "internal_port": port,
        "store": store.address,
        "link_rate": 1e9,
    }
    path = tmp_path / "agent.toml"
    path.write_text(tomli_w.dumps(settings))
    process = await start_program("agent.py", path)
    stack.push_async_callback(_end, process)
    return process, f"{LOOPBACK}:{port}"


async def _end(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
    await process.communicate()


@pytest.fixture
async def agent(
    stack: AsyncExitStack, store: StandinStore, engine: StandinEngine, tmp_path: Path
) -> tuple[asyncio.subprocess.Process, str]:
    """Run an agent and return its process and address."""
    origin = await _start_server(
        stack, [web.get("/manifest/{m}", _send_manifest), web.get("/piece/{m}", _send_piece)]
    )
    store.put("op/config", _configure(origin))
    return await _start_agent(stack, store, engine, tmp_path)


async def _wait_for_version(engine: StandinEngine, version: int) -> None:
    async with asyncio.timeout(20):
        while engine.version != version:
            await asyncio.sleep(0.05)


class TestAgent:
    """Tests of the agent's program."""

    async def test_loads_each_named_version_into_an_empty_engine(
        self, agent: object, engine: StandinEngine, store: StandinStore
    ) -> None:
        """The engine gets the first version at once and the second when it is published."""
        await _wait_for_version(engine, 1)
        store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 2})
        await _wait_for_version(engine, 2)
        assert engine.loaded == [(1, True), (2, True)]

    async def test_retries_the_order_while_the_engine_is_busy(
        self, agent: object, engine: StandinEngine
    ) -> None:
        """An engine that rejects two orders gets further ones until it accepts one."""
        engine.busy = 2
        await _wait_for_version(engine, 1)
        assert engine.loaded == [(1, True)]

    async def test_reports_its_engine(
        self, agent: tuple[asyncio.subprocess.Process, str], engine: StandinEngine
    ) -> None:
        """An entry node that requests reports gets lines with the engine's load and version."""
        await _wait_for_version(engine, 1)
        url = f"http://{agent[1]}/reports"
        async with asyncio.timeout(10), ClientSession() as client, client.get(url) as response:
            while (report := json.loads(await response.content.readline()))["version"] != 1:
                pass
        assert (report["running"], report["loading"]) == (3, False)

    async def test_reports_that_its_engine_says_it_leaves(
        self, agent: tuple[asyncio.subprocess.Process, str], engine: StandinEngine
    ) -> None:
        """Guards against a leaving engine that entry nodes learn of only by sending to it."""
        await _wait_for_version(engine, 1)
        url = f"http://{agent[1]}/reports"
        async with asyncio.timeout(10), ClientSession() as client, client.get(url) as response:
            assert not json.loads(await response.content.readline())["leaving"]
            engine.leaving = True
            while not json.loads(await response.content.readline())["leaving"]:
                pass

    async def test_stops_on_sigterm(
        self, agent: tuple[asyncio.subprocess.Process, str], engine: StandinEngine
    ) -> None:
        """The process ends within the grace time, also while a client follows its reports."""
        await _wait_for_version(engine, 1)
        async with ClientSession() as client:
            async with client.get(f"http://{agent[1]}/reports") as response:
                await response.content.readline()
                agent[0].send_signal(signal.SIGTERM)
                async with asyncio.timeout(5):
                    assert await agent[0].wait() == 0
            with pytest.raises(ClientError):
                await client.get(f"http://{agent[1]}/reports")


class StandinRelay:
    """An entry node that follows an agent's reports and sends it the store's content."""

    def __init__(self) -> None:
        self.items: list[Item] = []
        self.revision = 50
        self.followed = asyncio.Event()
        self.ended = asyncio.Event()

    async def stream(self, request: web.Request) -> web.StreamResponse:
        """Send the whole content every 0.2 s until ``ended`` is set."""
        assert request.query["scope"] == "readings"
        self.followed.set()
        response = web.StreamResponse()
        await response.prepare(request)
        while not self.ended.is_set():
            change = StoreDelta(
                "operators", read_clock(), True, self.revision, tuple(self.items), ()
            )
            await response.write(encode_frame(Frame(read_clock(), store_deltas=(change,))))
            await asyncio.sleep(0.2)
        return response


class TestAgentWithRelay:
    """Tests of an agent that gets the store's content from an entry node."""

    async def test_uses_its_relay_and_falls_back_to_the_store(
        self,
        agent: tuple[asyncio.subprocess.Process, str],
        engine: StandinEngine,
        store: StandinStore,
        stack: AsyncExitStack,
    ) -> None:
        """Guards against an agent that uses one source only and stays on older weights.

        During a store outage a version is published through the relay; then the relay fails, the
        store is back, and the next version is published there.
        """
        await _wait_for_version(engine, 1)
        relay = StandinRelay()
        configuration = base64.b64decode(store.items["op/config"]["value"])
        relay.items = [Item("op/config", configuration, 11)]
        address = await _start_server(stack, [web.get("/frames", relay.stream)])
        client = await stack.enter_async_context(ClientSession())
        reports = await client.get(f"http://{agent[1]}/reports", params={"relay": address})
        async with asyncio.timeout(10):
            await relay.followed.wait()
        store.refuse = True
        named = json.dumps({"model": MODEL, "version": 2}).encode()
        relay.items.append(Item(f"op/version/{MODEL}", named, 51))
        relay.revision = 51
        await _wait_for_version(engine, 2)
        relay.ended.set()
        reports.close()
        store.refuse = False
        store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 3})
        await _wait_for_version(engine, 3)

    async def test_does_not_call_the_store_while_a_relay_sends_updates(
        self,
        agent: tuple[asyncio.subprocess.Process, str],
        engine: StandinEngine,
        store: StandinStore,
        stack: AsyncExitStack,
    ) -> None:
        """Guards the store's capacity: 100 agents without relays make 50 calls a second.

        An agent that a relay sends updates to makes no call.
        """
        await _wait_for_version(engine, 1)
        relay = StandinRelay()
        address = await _start_server(stack, [web.get("/frames", relay.stream)])
        client = await stack.enter_async_context(ClientSession())
        await client.get(f"http://{agent[1]}/reports", params={"relay": address})
        async with asyncio.timeout(10):
            await relay.followed.wait()
        # Without a relay the agent would list the endpoints every two seconds.
        async with asyncio.timeout(30):
            before = -1
            while before != len(store.calls):
                before = len(store.calls)
                await asyncio.sleep(3.0)
        relay.ended.set()

    async def test_stops_on_sigterm_while_a_relay_is_connected(
        self,
        agent: tuple[asyncio.subprocess.Process, str],
        engine: StandinEngine,
        stack: AsyncExitStack,
    ) -> None:
        """Guards against an agent that waits for its relay to disconnect when its host is stopped.

        It would be killed at the end of its grace time.
        """
        await _wait_for_version(engine, 1)
        relay = StandinRelay()
        address = await _start_server(stack, [web.get("/frames", relay.stream)])
        client = await stack.enter_async_context(ClientSession())
        reports = await client.get(f"http://{agent[1]}/reports", params={"relay": address})
        stored_chunks = await client.get(f"http://{agent[1]}/held/{MODEL}/2")
        async with asyncio.timeout(10):
            await relay.followed.wait()
        agent[0].send_signal(signal.SIGTERM)
        async with asyncio.timeout(6):
            assert await agent[0].wait() == 0
        relay.ended.set()
        reports.close()
        stored_chunks.close()

    async def test_reads_lists_from_the_zone_seed_not_the_store(
        self, stack: AsyncExitStack, store: StandinStore, engine: StandinEngine, tmp_path: Path
    ) -> None:
        """Guards against full links between regions after a restart of all processes.

        Each agent of two regions read a configuration of half a megabyte from the store, and no
        engine got its weights for seconds. The zone's seed has all that an agent needs.
        """
        relay = StandinRelay()
        address = await _start_server(stack, [web.get("/frames", relay.stream)])
        origin = await _start_server(
            stack, [web.get("/manifest/{m}", _send_manifest), web.get("/piece/{m}", _send_piece)]
        )
        relay.items = [Item("op/config", json.dumps(_configure(origin)).encode(), 11)]
        store.put("wrenloft/seed/z1", {"internal": address, "large": False})
        await _start_agent(stack, store, engine, tmp_path)
        await _wait_for_version(engine, 1)
        assert "GET /kv-range" not in store.calls
