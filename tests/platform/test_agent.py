"""Tests of the agent's program, against stand-ins of its engine, the origin and the store."""

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
    """A model engine that loads what lies staged when it is ordered.

    :param busy: orders refused before one is accepted.
    """

    version: int = 0
    staged: dict[int, bytes] = field(default_factory=dict)
    loaded: list[tuple[int, bool]] = field(default_factory=list)
    busy: int = 0

    def routes(self) -> list[web.RouteDef]:
        """Return the engine's calls."""
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
            }
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
        whole = all(self.staged.get(n) == _chunk(version, n) for n in range(COUNT))
        self.loaded.append((version, whole))
        self.version = version
        return web.Response(status=202)


async def _send_manifest(request: web.Request) -> web.Response:
    version = int(request.query["version"])
    digests = [hashlib.sha256(_chunk(version, n)).hexdigest() for n in range(COUNT)]
    return web.json_response({"model": MODEL, "version": version, "digests": digests})


async def _send_piece(request: web.Request) -> web.Response:
    return web.Response(body=_chunk(int(request.query["version"]), int(request.query["quantity"])))


async def _serve(stack: AsyncExitStack, routes: list[web.RouteDef]) -> str:
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
    """Return an engine that holds no weights."""
    return StandinEngine()


async def _start_agent(
    stack: AsyncExitStack, store: StandinStore, engine: StandinEngine, tmp_path: Path
) -> tuple[asyncio.subprocess.Process, str]:
    """Start an agent, which ends with the stack; return the process and its address."""
    port = find_free_port()
    settings = {
        "name": "side-1",
        "ip": LOOPBACK,
        "place": "z1",
        "region": "r1",
        "regions": {"z1": "r1"},
        "engine": await _serve(stack, engine.routes()),
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
    """Run an agent; gives the process and its address."""
    origin = await _serve(
        stack, [web.get("/manifest/{m}", _send_manifest), web.get("/piece/{m}", _send_piece)]
    )
    store.put("op/config", _configure(origin))
    return await _start_agent(stack, store, engine, tmp_path)


async def _wait_for(engine: StandinEngine, version: int) -> None:
    async with asyncio.timeout(20):
        while engine.version != version:
            await asyncio.sleep(0.05)


class TestAgent:
    """Tests of the agent's program."""

    async def test_brings_an_empty_engine_to_each_named_version(
        self, agent: object, engine: StandinEngine, store: StandinStore
    ) -> None:
        """The engine gets the first version by itself and the second once it is named."""
        await _wait_for(engine, 1)
        store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 2})
        await _wait_for(engine, 2)
        assert engine.loaded == [(1, True), (2, True)]

    async def test_orders_again_while_the_engine_is_busy(
        self, agent: object, engine: StandinEngine
    ) -> None:
        """An engine that refuses two orders is ordered until it accepts one."""
        engine.busy = 2
        await _wait_for(engine, 1)
        assert engine.loaded == [(1, True)]

    async def test_reports_its_engine(
        self, agent: tuple[asyncio.subprocess.Process, str], engine: StandinEngine
    ) -> None:
        """An entry node that asks gets a line with the engine's load and version."""
        await _wait_for(engine, 1)
        url = f"http://{agent[1]}/reports"
        async with asyncio.timeout(10), ClientSession() as client, client.get(url) as response:
            while (report := json.loads(await response.content.readline()))["version"] != 1:
                pass
        assert (report["running"], report["loading"]) == (3, False)

    async def test_stops_by_itself(
        self, agent: tuple[asyncio.subprocess.Process, str], engine: StandinEngine
    ) -> None:
        """A stop ends the process within the grace time, also while a report is followed."""
        await _wait_for(engine, 1)
        async with ClientSession() as client:
            async with client.get(f"http://{agent[1]}/reports") as response:
                await response.content.readline()
                agent[0].send_signal(signal.SIGTERM)
                async with asyncio.timeout(5):
                    assert await agent[0].wait() == 0
            with pytest.raises(ClientError):
                await client.get(f"http://{agent[1]}/reports")


class StandinRelay:
    """An entry node that follows an agent's reports and tells it what the store holds."""

    def __init__(self) -> None:
        self.items: list[Item] = []
        self.revision = 50
        self.followed = asyncio.Event()
        self.ended = asyncio.Event()

    async def stream(self, request: web.Request) -> web.StreamResponse:
        """Tell the whole content every fifth of a second until it ends."""
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


class TestFedAgent:
    """Tests of an agent that an entry node feeds."""

    async def test_goes_by_its_relay_and_by_the_store_when_that_is_gone(
        self,
        agent: tuple[asyncio.subprocess.Process, str],
        engine: StandinEngine,
        store: StandinStore,
        stack: AsyncExitStack,
    ) -> None:
        """The store is away; a version is named, and only the relay can tell.

        Then the relay dies and the store is back: the agent asks it again, and has the version
        that is named next. An agent that knows one source only would stay on the older weights.
        """
        await _wait_for(engine, 1)
        relay = StandinRelay()
        configuration = base64.b64decode(store.items["op/config"]["value"])
        relay.items = [Item("op/config", configuration, 11)]
        address = await _serve(stack, [web.get("/frames", relay.stream)])
        client = await stack.enter_async_context(ClientSession())
        reports = await client.get(f"http://{agent[1]}/reports", params={"relay": address})
        async with asyncio.timeout(10):
            await relay.followed.wait()
        store.refuse = True
        named = json.dumps({"model": MODEL, "version": 2}).encode()
        relay.items.append(Item(f"op/version/{MODEL}", named, 51))
        relay.revision = 51
        await _wait_for(engine, 2)
        relay.ended.set()
        reports.close()
        store.refuse = False
        store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 3})
        await _wait_for(engine, 3)

    async def test_asks_the_store_for_nothing_while_it_is_fed(
        self,
        agent: tuple[asyncio.subprocess.Process, str],
        engine: StandinEngine,
        store: StandinStore,
        stack: AsyncExitStack,
    ) -> None:
        """A hundred agents that list endpoints and watch versions cost the store 50 calls a second.

        Fed by a relay none of them calls.
        """
        await _wait_for(engine, 1)
        relay = StandinRelay()
        address = await _serve(stack, [web.get("/frames", relay.stream)])
        client = await stack.enter_async_context(ClientSession())
        await client.get(f"http://{agent[1]}/reports", params={"relay": address})
        async with asyncio.timeout(10):
            await relay.followed.wait()
        # By itself an agent lists the endpoints every two seconds.
        async with asyncio.timeout(30):
            before = -1
            while before != len(store.calls):
                before = len(store.calls)
                await asyncio.sleep(3.0)
        relay.ended.set()

    async def test_stops_by_itself_while_it_is_fed(
        self,
        agent: tuple[asyncio.subprocess.Process, str],
        engine: StandinEngine,
        stack: AsyncExitStack,
    ) -> None:
        """A host is taken away: its agent is told to stop while a relay follows and feeds it.

        An agent that waits for its relay to go would be killed at the end of its grace time.
        """
        await _wait_for(engine, 1)
        relay = StandinRelay()
        address = await _serve(stack, [web.get("/frames", relay.stream)])
        client = await stack.enter_async_context(ClientSession())
        reports = await client.get(f"http://{agent[1]}/reports", params={"relay": address})
        held = await client.get(f"http://{agent[1]}/held/{MODEL}/2")
        async with asyncio.timeout(10):
            await relay.followed.wait()
        agent[0].send_signal(signal.SIGTERM)
        async with asyncio.timeout(6):
            assert await agent[0].wait() == 0
        relay.ended.set()
        reports.close()
        held.close()

    async def test_asks_its_zones_seed_and_not_the_store_for_lists(
        self, stack: AsyncExitStack, store: StandinStore, engine: StandinEngine, tmp_path: Path
    ) -> None:
        """All processes start anew, and the configuration has grown to half a megabyte.

        Each agent of two regions asked the store for it; the links between the regions were full
        for seconds, and no engine got its weights. The zone's seed has all that an agent needs.
        """
        relay = StandinRelay()
        address = await _serve(stack, [web.get("/frames", relay.stream)])
        origin = await _serve(
            stack, [web.get("/manifest/{m}", _send_manifest), web.get("/piece/{m}", _send_piece)]
        )
        relay.items = [Item("op/config", json.dumps(_configure(origin)).encode(), 11)]
        store.put("wrenloft/seed/z1", {"internal": address, "large": False})
        await _start_agent(stack, store, engine, tmp_path)
        await _wait_for(engine, 1)
        assert "GET /kv-range" not in store.calls
