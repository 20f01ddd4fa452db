"""Stand-ins of the platform's store and endpoints, with faults that tests can cause."""

import asyncio
import base64
import json
import os
import socket
import struct
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from enum import Enum
from itertools import count
from math import inf
from typing import Any

import pytest
from aiohttp import ClientSession, web

from wrenloft_platform._serve import open_no_retry_session

LOOPBACK = "127.0.0.1"

FIRST_PORT = 20000
"""First port for programs under test, below the kernel's range for outgoing connections."""

PORTS_PER_WORKER = 1000

_worker = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0").removeprefix("gw"))
_ports = count(FIRST_PORT + _worker * PORTS_PER_WORKER)


def find_free_port() -> int:
    """Return a port of the loopback address on which nothing listens, a new one each time.

    A port picked by the kernel may be given to a connection of another test before the program
    listens there; the program then exits, and its test waits until the timeout.
    """
    for port in _ports:
        try:
            with socket.create_server((LOOPBACK, port)):
                return port
        except OSError:
            continue  # port in use
    raise AssertionError("no port is free")


@dataclass
class StandinStore:
    """The store's calls over a dictionary.

    :param refuse: whether to answer 503 to every call and do nothing.
    :param lost_answers: number of calls to carry out without a response, closing their connections.
    :param compacted: revisions up to this one are gone from the history.
    :param era: rises with each return from an older copy; 0 names none.
    """

    items: dict[str, dict[str, Any]] = field(default_factory=dict)
    log: list[dict[str, Any]] = field(default_factory=list)
    leases: dict[int, int] = field(default_factory=dict)
    revision: int = 10
    refuse: bool = False
    lost_answers: int = 0
    compacted: int = 0
    page: int = 500
    era: int = 1
    calls: list[str] = field(default_factory=list)
    address: str = ""
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write one key as JSON and wake the watches."""
        self.revision += 1
        encoded = base64.b64encode(json.dumps(value).encode()).decode()
        item = {
            "key": key,
            "value": encoded,
            "revision": self.revision,
            "created": self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self.log.append(item)
        self._wake()
        return self.revision

    def remove(self, key: str) -> None:
        """Remove one key."""
        self.revision += 1
        del self.items[key]
        self.log.append({"key": key, "revision": self.revision, "tombstone": True})
        self._wake()

    def copy(self) -> "StoreCopy":
        """Return a copy from which the store may come back."""
        return StoreCopy(dict(self.items), list(self.log), dict(self.leases), self.revision)

    def restore(self, older: "StoreCopy") -> None:
        """Come back from an older copy: later writes are lost, revisions are given out again."""
        self.items, self.log = dict(older.items), list(older.log)
        self.leases, self.revision = dict(older.leases), older.revision
        self.era += 1
        self._wake()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    def build(self) -> web.Application:
        """Return the application that serves the calls."""
        app = web.Application(middlewares=[self._inject_faults])
        app.add_routes(
            [
                web.get("/kv-key", self._read),
                web.get("/kv-range", self._list),
                web.get("/kv-watch", self._watch),
                web.post("/kv-txn", self._write),
                web.post("/kv-lease", self._grant),
                web.post("/kv-keep/{id}", self._keep),
                web.delete("/kv-lease-end/{id}", self._end),
            ]
        )
        return app

    @web.middleware
    async def _inject_faults(self, request: web.Request, handler: Any) -> web.StreamResponse:
        self.calls.append(f"{request.method} {request.path}")
        response: web.StreamResponse
        response = web.Response(status=503) if self.refuse else await handler(request)
        if self.era:
            response.headers["Store-Era"] = str(self.era)
        if self.refuse:
            return response
        if self.lost_answers > 0:
            self.lost_answers -= 1
            assert request.transport is not None
            request.transport.close()
        return response

    async def _read(self, request: web.Request) -> web.Response:
        item = self.items.get(request.query["key"])
        if item is None:
            return web.json_response({}, status=404)
        return web.json_response({**item, "storeRevision": self.revision})

    async def _list(self, request: web.Request) -> web.Response:
        page = self.build_page(request.query["prefix"], request.query.get("after", ""))
        return web.json_response(page)

    def build_page(self, prefix: str, after: str) -> dict[str, Any]:
        """Return one page of a list."""
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        return {
            "items": [self.items[key] for key in keys[: self.page]],
            "truncated": len(keys) > self.page,
            "storeRevision": self.revision,
        }

    async def _watch(self, request: web.Request) -> web.Response:
        after = int(request.query["after"])
        if after < self.compacted or after > self.revision:
            return web.json_response({}, status=410)
        prefix = request.query["prefix"]
        changed = self.changed
        events = [
            each for each in self.log if each["revision"] > after and each["key"].startswith(prefix)
        ]
        if not events:
            try:
                async with asyncio.timeout(int(request.query["waitMs"]) / 1000):
                    await changed.wait()
            except TimeoutError:
                pass
            if after > self.revision:
                return web.json_response({}, status=410)
            events = [
                each
                for each in self.log
                if each["revision"] > after and each["key"].startswith(prefix)
            ]
        return web.json_response({"events": events, "storeRevision": self.revision})

    async def _write(self, request: web.Request) -> web.Response:
        body = await request.json()
        for row in body["expected"]:
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                return web.json_response({"items": []}, status=412)
        for key in body["remove"]:
            if key in self.items:
                self.remove(key)
        for put in body["puts"]:
            if put["lease"] and put["lease"] not in self.leases:
                return web.json_response({}, status=404)
        for put in body["puts"]:
            self.put(put["key"], json.loads(base64.b64decode(put["value"])), put["lease"])
        return web.json_response({"revision": self.revision})

    async def _grant(self, request: web.Request) -> web.Response:
        lease = len(self.leases) + 1
        self.leases[lease] = (await request.json())["ttlMs"]
        return web.json_response({"lease": lease, "ttlMs": self.leases[lease]})

    async def _keep(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["id"])
        if lease not in self.leases:
            return web.json_response({}, status=404)
        return web.json_response({"ttlMs": self.leases[lease]})

    async def _end(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["id"])
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item.get("lease") == lease]:
            self.remove(key)
        return web.json_response({})


@dataclass(frozen=True)
class StoreCopy:
    """Content of a stand-in store at some moment."""

    items: dict[str, dict[str, Any]]
    log: list[dict[str, Any]]
    leases: dict[int, int]
    revision: int


@dataclass
class Received:
    """A request as a stand-in endpoint read it."""

    line: str
    headers: dict[str, str]
    body: bytes


@dataclass
class StandinEndpoint:
    """An endpoint that writes exactly the bytes that a test sets.

    :param answers: one per request; ``{id}`` stands for the request's id. ``None`` closes the
        connection without a response; ``b"RESET"`` at the end resets it.
    :param work: seconds before each response.
    :param pause: seconds after each part of a response.
    :param disconnects: number of responses during which the other side closed.
    """

    answers: list[bytes | None] = field(default_factory=list)
    received: list[Received] = field(default_factory=list)
    address: str = ""
    work: float = 0.0
    pause: float = 0.0
    disconnects: int = 0

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the requests of one connection."""
        try:
            while await self._answer(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        line, *rest = head.rstrip().split("\r\n")
        headers = {k.lower(): v for k, _, v in (each.partition(": ") for each in rest)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        received = Received(line, headers, body)
        self.received.append(received)
        if await self._maybe_crash(received, writer):
            return False
        await asyncio.sleep(self.work)
        answer = self.next_answer()
        if answer is None:
            return False
        reset = answer.endswith(b"RESET")
        data = answer.removesuffix(b"RESET")
        data = data.replace(b"{id}", headers.get("x-attempt-id", "").encode())
        for piece in data.split(b"|PAUSE|"):
            try:
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(self.pause)
            except ConnectionError:
                # The other side closed with an event unread, which resets the connection.
                self.disconnects += 1
                raise
            if reader.at_eof() or reader.exception() is not None:
                self.disconnects += 1
                return False
        if reset:
            await asyncio.sleep(0.05)
            _reset(writer)
            return False
        return b"content-length" in data.lower() or b"chunked" in data.lower()

    def next_answer(self) -> bytes | None:
        """Return the response to the next request."""
        return self.answers.pop(0) if self.answers else full_response(b"ok")

    async def _maybe_crash(self, received: Received, writer: asyncio.StreamWriter) -> bool:
        """Crash if the request causes it; return whether it did."""
        return False


@dataclass
class LimitingEndpoint(StandinEndpoint):
    """An endpoint that names a rate limit and records its requests.

    :param limit: as written in the header; ``None`` names none.
    :param begun_at: arrival of each request, on the loop's clock.
    """

    limit: str | None = None
    begun_at: list[float] = field(default_factory=list)

    def next_answer(self) -> bytes | None:
        self.begun_at.append(asyncio.get_running_loop().time())
        named = self.get_named_limit()
        extra = b"" if named is None else f"Server-Limit: {named}\r\n".encode()
        return full_response(b"ok", extra=extra)

    def get_named_limit(self) -> str | None:
        """Return the limit that the next response names."""
        return self.limit

    def count_between(self, start: float, end: float) -> int:
        """Return the number of requests in a period."""
        return sum(start < at <= end for at in self.begun_at)

    def count_peak(self, seconds: float, after: float) -> int:
        """Return the largest number of requests in any ``seconds`` after a time."""
        counted = [at for at in self.begun_at if at > after]
        return max(
            (sum(0 <= at - first < seconds for at in counted) for first in counted), default=0
        )


@dataclass
class NoticingEndpoint(StandinEndpoint):
    """An endpoint that says in its answers that it leaves, or rejects requests and asks for rest.

    :param leaving: value of the header, ``None`` if it doesn't leave.
    :param rest: ``Retry-After`` header lines of its rejections; it accepts requests if empty.
    :param arrivals: sending node and time of each request, on the loop's clock.
    :param noticed: the same of each request that was answered with a notice.
    """

    leaving: str | None = None
    rest: list[str] = field(default_factory=list)
    arrivals: list[tuple[str, float]] = field(default_factory=list)
    noticed: list[tuple[str, float]] = field(default_factory=list)

    def next_answer(self) -> bytes | None:
        # Requests of tests are named after the node that they are sent to.
        node = self.received[-1].headers["x-attempt-id"].partition(".")[0]
        arrival = node, asyncio.get_running_loop().time()
        self.arrivals.append(arrival)
        if self.leaving is not None or self.rest:
            self.noticed.append(arrival)
        extra = b"" if self.leaving is None else f"Server-Leaving: {self.leaving}\r\n".encode()
        if not self.rest:
            return full_response(b"ok", extra=extra)
        extra += "".join(f"Retry-After: {each}\r\n" for each in self.rest).encode()
        return full_response(b"", "503 Service Unavailable", extra + b"X-Not-Executed: 1\r\n")

    def find_noticed_at(self, node: str) -> float:
        """Return when a node first got an answer with a notice."""
        return min((at for name, at in self.noticed if name == node), default=inf)

    def count_arrivals(self, node: str, start: float, end: float = inf) -> int:
        """Return the number of a node's requests in a period."""
        return sum(name == node and start < at <= end for name, at in self.arrivals)


class CrashSign(Enum):
    """How the other side sees a crash.

    ``RESET`` comes before the first byte of a response, ``CUT`` after a first event, ``INSIDE``
    inside an event. ``SILENT`` leaves the connections open, as after a power loss of the host. The
    others close the connection of an answer without a length cleanly: before its first event,
    inside it, and after it.
    """

    RESET = "reset"
    CUT = "cut"
    SILENT = "silent"
    INSIDE = "inside"
    CLOSED_BEFORE = "closed before"
    CLOSED_INSIDE = "closed inside"
    CLOSED_AFTER = "closed after"


_CLOSING_SIGNS = {
    CrashSign.CLOSED_BEFORE: b"",
    CrashSign.CLOSED_INSIDE: b"id: 0\nda",
    CrashSign.CLOSED_AFTER: b"id: 0\n\n",
}


@dataclass
class CrashingEndpoint(StandinEndpoint):
    """An endpoint that crashes when it starts a request with a certain body or prompt segment.

    It restarts some time later under another id, as after a crash on the platform.

    :param store: where it registers itself.
    :param crash_on: part of the body of a request that crashes it.
    :param crash_segments: ids of prompt segments that crash it, except as the last one.
    :param crash_seconds: time from the start of the request to the crash.
    :param down_seconds: time from the crash until it listens again.
    :param begun_at: start of each request that crashes it, on the loop's clock.
    :param crashed_at: times of the crashes.
    """

    store: StandinStore = field(default_factory=StandinStore)
    name: str = "i"
    crash_on: bytes = b"crash"
    crash_segments: frozenset[str] = frozenset()
    sign: CrashSign = CrashSign.RESET
    crash_seconds: float = 0.05
    down_seconds: float = 1.0
    begun_at: list[float] = field(default_factory=list)
    crashed_at: list[float] = field(default_factory=list)
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _starts: int = 0

    async def start(self) -> None:
        """Listen, at the same address each time, and register the new incarnation."""
        port = int(self.address.rpartition(":")[2] or find_free_port())
        self._server = await asyncio.start_server(self.serve, LOOPBACK, port)
        self.address = f"{LOOPBACK}:{self._server.sockets[0].getsockname()[1]}"
        self._starts += 1
        fields = {"service": "plain", "address": self.address, "zone": "z1", "slots": 4}
        key = f"servers/{self.name}-{self._starts}"
        self.store.put(key, {**fields, "state": "ready", "sequence": 1})

    async def stop(self) -> None:
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            if not writer.is_closing():
                _reset(writer)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            await super().serve(reader, writer)
        except asyncio.CancelledError:
            return  # the test has ended
        finally:
            self._writers.discard(writer)

    async def _maybe_crash(self, received: Received, writer: asyncio.StreamWriter) -> bool:
        entries = received.headers.get("x-prompt-prefix", "").split(",")[:-1]
        segments = {each.partition(":")[0] for each in entries}
        if self.crash_on not in received.body and not segments & self.crash_segments:
            return False
        await self._crash(received, writer)
        return True

    async def _crash(self, received: Received, writer: asyncio.StreamWriter) -> None:
        loop = asyncio.get_running_loop()
        self.begun_at.append(loop.time())
        begun = self._begin_answer()
        writer.write(begun.replace(b"{id}", received.headers.get("x-attempt-id", "").encode()))
        await asyncio.sleep(self.crash_seconds)
        if self._server is None:
            return
        self._server.close()
        self._server = None
        self.crashed_at.append(loop.time())
        silent = set(self._writers)
        if self.sign in _CLOSING_SIGNS:
            writer.close()
            self._writers.discard(writer)
        if self.sign is not CrashSign.SILENT:
            await self.stop()
        await self._restart()
        if self.sign is CrashSign.SILENT:
            await asyncio.sleep(self.down_seconds * 4)
            for each in silent:
                if not each.is_closing():
                    _reset(each)

    def _begin_answer(self) -> bytes:
        """Return what is sent before the crash."""
        if self.sign is CrashSign.CUT:
            return stream_response(b"id: 0\n\n", end=False).removesuffix(b"RESET")
        if self.sign is CrashSign.INSIDE:
            return stream_response(b"id: 0\nda", end=False).removesuffix(b"RESET")
        if self.sign in _CLOSING_SIGNS:
            return open_stream_response(_CLOSING_SIGNS[self.sign])
        return b""

    async def lose_power(self) -> None:
        """Stop at once, whatever is in progress, and restart."""
        if self._server is not None:
            self._server.close()
            self._server = None
            await self.stop()
            await self._restart()

    async def _restart(self) -> None:
        await asyncio.sleep(self.down_seconds)
        self.store.remove(f"servers/{self.name}-{self._starts}")
        await self.start()


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close with a reset in place of a clean end."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def full_response(body: bytes, status: str = "200 OK", extra: bytes = b"") -> bytes:
    """Return a response with a length that matches the request."""
    return (
        b"HTTP/1.1 " + status.encode() + b"\r\nX-Attempt-Id: {id}\r\nX-Response-Stamp: s1\r\n"
        b"Content-Length: " + str(len(body)).encode() + b"\r\n" + extra + b"\r\n" + body
    )


def stream_response(*events: bytes, end: bool = True) -> bytes:
    """Return a chunked event stream that matches the request."""
    head = (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Stamp: s1\r\n"
        b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    chunks = b"|PAUSE|".join(
        f"{len(each):x}".encode() + b"\r\n" + each + b"\r\n" for each in events
    )
    return head + chunks + (b"0\r\n\r\n" if end else b"RESET")


def open_stream_response(*events: bytes) -> bytes:
    """Return an event stream without a length, which ends with its connection."""
    head = (
        b"HTTP/1.1 200 OK\r\nX-Attempt-Id: {id}\r\nX-Response-Stamp: s1\r\n"
        b"Content-Type: text/event-stream\r\n\r\n"
    )
    return head + b"|PAUSE|".join(events)


@pytest.fixture
async def stack() -> AsyncIterator[AsyncExitStack]:
    """Own everything that a test opens."""
    async with AsyncExitStack() as stack:
        yield stack


@pytest.fixture
async def store(stack: AsyncExitStack) -> StandinStore:
    """Serve a stand-in of the store."""
    standin = StandinStore()
    runner = web.AppRunner(standin.build(), shutdown_timeout=0.1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    site = web.TCPSite(runner, LOOPBACK, 0)
    await site.start()
    standin.address = f"{LOOPBACK}:{runner.addresses[0][1]}"
    return standin


@pytest.fixture
async def endpoint(stack: AsyncExitStack) -> StandinEndpoint:
    """Serve a stand-in of an endpoint."""
    standin = StandinEndpoint()
    server = await asyncio.start_server(standin.serve, LOOPBACK, 0)
    stack.callback(server.close)
    standin.address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"
    return standin


@pytest.fixture
async def session(stack: AsyncExitStack) -> ClientSession:
    """Open a session that never resends a request."""
    return await stack.enter_async_context(open_no_retry_session())
