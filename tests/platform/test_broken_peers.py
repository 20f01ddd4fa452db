"""Tests of programs whose store, engine or other nodes send broken answers, or such without end."""

import asyncio
import base64
import json
from collections.abc import Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import pytest
import tomli_w

from .bare_endpoint import BareEndpoint, Pieces, send_once, send_without_end
from .conftest import LOOPBACK, StandinStore, find_free_port
from .test_programs import start_program, write_settings

PATIENCE_SECONDS = 20.0
"""Longest wait of a test for something that must happen."""

MAX_GROWTH_BYTES = 96 * 2**20
"""What endless answers may add to a program's memory: those of a few calls at a time."""

ANSWERS_SEEN = 6
"""Broken answers after which a program must still run."""

OK = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"


def _answer(body: bytes) -> Pieces:
    return send_once(OK + b"Content-Length: %d\r\n\r\n" % len(body) + body)


def _encode(value: Any) -> str:
    return base64.b64encode(json.dumps(value).encode()).decode()


ENDLESS = {
    "interim answers": send_without_end(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "body of chunks": send_without_end(
        OK + CHUNKED + b"\r\n", b"4000\r\n" + 0x4000 * b" " + b"\r\n"
    ),
    "body without a length": send_without_end(OK + b"\r\n", b" "),
}

BROKEN = {
    "status 000": send_once(b"HTTP/1.1 000 Zero\r\nContent-Length: 2\r\n\r\n{}"),
    "no answer": send_once(b"\x00\x01\r\n\r\n"),
    "no JSON": _answer(b"{"),
    "bytes that are no text": _answer(b'{"a": "\xff"}'),
    "nested too deeply": _answer(b"[" * 200_000),
    "list": _answer(b"[]"),
    "number": _answer(b"7"),
    "null": _answer(b"null"),
    "without fields": _answer(b"{}"),
    "fields of other types": _answer(
        b'{"items": 7, "events": {}, "storeRevision": [], "lease": {}, "running": [], "held": 7,'
        b' "sequence": {}, "waiting": "x", "digests": 5, "models": 3, "revision": null}'
    ),
    "numbers out of range": _answer(
        b'{"items": [], "events": [], "storeRevision": 1e400, "lease": 1e400, "running": 1e400,'
        b' "waiting": NaN, "sequence": 1e400, "revision": NaN}'
    ),
    "items of other types": _answer(
        b'{"items": [7], "events": [null], "storeRevision": 5, "truncated": true}'
    ),
    "items that are not encoded": _answer(
        b'{"items": [{"key": 5, "value": 7, "revision": "x"}], "storeRevision": 5}'
    ),
    "items without a key": _answer(
        b'{"items": [{"value": "AA==", "revision": 4}], "events": [{}], "storeRevision": 5}'
    ),
}


class Program:
    """A program under test."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process

    def measure_memory(self) -> int:
        """Return the bytes of its resident memory."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(each for each in status.splitlines() if each.startswith("VmRSS"))
        return int(line.split()[1]) * 1024

    async def watch(self, is_over: Callable[[], bool]) -> int:
        """Return what its memory grows by until something is over; it must not end before."""
        before = most = self.measure_memory()
        async with asyncio.timeout(PATIENCE_SECONDS):
            while not is_over():
                assert self.process.returncode is None
                most = max(most, self.measure_memory())
                await asyncio.sleep(0.01)
        return most - before


async def _start(stack: AsyncExitStack, program: str, path: Path) -> Program:
    process = await start_program(program, path)

    async def end() -> None:
        if process.returncode is None:
            process.kill()
        await process.communicate()

    stack.push_async_callback(end)
    return Program(process)


async def _start_entry(stack: AsyncExitStack, path: Path, store: str) -> Program:
    write_settings(path, store)
    return await _start(stack, "entry.py", path)


async def _start_agent(stack: AsyncExitStack, path: Path, store: str, engine: str) -> Program:
    settings = {
        "name": "side-1",
        "ip": LOOPBACK,
        "place": "z1",
        "region": "r1",
        "regions": {"z1": "r1"},
        "internal_port": find_free_port(),
        "engine": engine,
        "service": "engines",
        "store": store,
        "link_rate": 1e9,
        "version": 2.5,
    }
    path.write_text(tomli_w.dumps(settings))
    return await _start(stack, "agent.py", path)


@pytest.fixture
async def peer(stack: AsyncExitStack) -> BareEndpoint:
    """Serve a peer whose answers a test sets."""
    peer = BareEndpoint(send_once(b""))
    await stack.enter_async_context(peer.listen())
    return peer


def _configure_engines() -> dict[str, Any]:
    engine = {"slots": 4, "step_ms": 9.0, "read_per_s": 19000.0, "models": [{"name": "m1"}]}
    engine |= {"layers": 4, "chunks": 8, "chunkBytes": 400}
    services = [{"name": "engines", "maxConnections": 10, "engine": engine}]
    return {"version": 3, "routes": [], "services": services}


@pytest.mark.parametrize("pieces", BROKEN.values(), ids=BROKEN)
async def test_entry_node_outlives_broken_answers_of_the_store(
    stack: AsyncExitStack, peer: BareEndpoint, tmp_path: Path, pieces: Pieces
) -> None:
    """Guards against an answer that ends the task which reads the store, and so the node."""
    peer.pieces = pieces
    program = await _start_entry(stack, tmp_path / "entry.toml", peer.address)
    await program.watch(lambda: len(peer.received) >= ANSWERS_SEEN)


@pytest.mark.parametrize("pieces", BROKEN.values(), ids=BROKEN)
async def test_agent_outlives_broken_answers(
    stack: AsyncExitStack, store: StandinStore, peer: BareEndpoint, tmp_path: Path, pieces: Pieces
) -> None:
    """Guards against an answer of the engine, or of the store, that ends the agent."""
    peer.pieces = pieces
    store.put("op/config", _configure_engines())
    program = await _start_agent(stack, tmp_path / "agent.toml", store.address, peer.address)
    await program.watch(lambda: len(peer.received) >= ANSWERS_SEEN)
    seen = len(peer.received)
    other = await _start_agent(stack, tmp_path / "other.toml", peer.address, peer.address)
    await other.watch(lambda: len(peer.received) >= seen + ANSWERS_SEEN)


@pytest.mark.parametrize("pieces", ENDLESS.values(), ids=ENDLESS)
async def test_store_without_end_is_given_up(
    stack: AsyncExitStack, peer: BareEndpoint, tmp_path: Path, pieces: Pieces
) -> None:
    """Guards against an answer of the store that fills an entry node's memory."""
    peer.pieces = pieces
    program = await _start_entry(stack, tmp_path / "entry.toml", peer.address)
    assert await program.watch(lambda: peer.closed >= ANSWERS_SEEN) < MAX_GROWTH_BYTES


@pytest.mark.parametrize("pieces", ENDLESS.values(), ids=ENDLESS)
async def test_engine_without_end_is_given_up(
    stack: AsyncExitStack, store: StandinStore, peer: BareEndpoint, tmp_path: Path, pieces: Pieces
) -> None:
    """Guards against an answer of the engine that fills its host's memory."""
    peer.pieces = pieces
    store.put("op/config", _configure_engines())
    program = await _start_agent(stack, tmp_path / "agent.toml", store.address, peer.address)
    assert await program.watch(lambda: peer.closed >= 3) < MAX_GROWTH_BYTES


async def _start_beside_nodes(
    stack: AsyncExitStack, store: StandinStore, peer: BareEndpoint, path: Path
) -> Program:
    """Start an entry node that finds the peer in the list as three others."""
    store.put("op/config", _configure_engines())
    for number in range(3):
        fields = {"place": "z1", "region": "r1", "front": f"{LOOPBACK}:9", "internal": peer.address}
        store.put(f"wrenloft/entry/a{number}", fields)
    return await _start_entry(stack, path, store.address)


@pytest.mark.parametrize("pieces", BROKEN.values(), ids=BROKEN)
async def test_entry_node_outlives_broken_answers_of_other_nodes(
    stack: AsyncExitStack, store: StandinStore, peer: BareEndpoint, tmp_path: Path, pieces: Pieces
) -> None:
    """Guards against another node's answer that ends a node."""
    peer.pieces = pieces
    program = await _start_beside_nodes(stack, store, peer, tmp_path / "entry.toml")
    await program.watch(lambda: len(peer.received) >= ANSWERS_SEEN)


@pytest.mark.parametrize("pieces", ENDLESS.values(), ids=ENDLESS)
async def test_other_nodes_without_end_are_given_up(
    stack: AsyncExitStack, store: StandinStore, peer: BareEndpoint, tmp_path: Path, pieces: Pieces
) -> None:
    """Guards against an answer of another node that fills a node's memory."""
    peer.pieces = pieces
    program = await _start_beside_nodes(stack, store, peer, tmp_path / "entry.toml")
    assert await program.watch(lambda: peer.closed >= 3) < MAX_GROWTH_BYTES
