"""Tests of the front under large bodies, with a bound on what it holds."""

import asyncio
import gzip
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, suppress
from typing import Any, cast

import pytest
from aiohttp import ClientSession

from wrenloft_platform._front import FrontHandler
from wrenloft_platform._serve import start_listener
from wrenloft_policy import REQUEST_BYTES, UNKNOWN_LENGTH_STEP, MemoryLimits
from wrenloft_routing import AnswerSink, CallerRequest, Forwarder, MemoryBudget

BODY = bytes(1_000_000)
LIMITS = MemoryLimits(total=6_000_000, connection=2_000_000, new_work=4_500_000)
"""Room for four such bodies at once."""

PATIENCE_SECONDS = 10.0


class HeldForwarder:
    """A forwarder that answers only when a test lets it.

    :ivar bodies: sizes of the bodies that reached it.
    :ivar received: the small ones of these bodies.
    """

    def __init__(self) -> None:
        self.table = None
        self.bodies: list[int] = []
        self.received: list[bytes] = []
        self.answering = asyncio.Event()

    async def forward(self, request: CallerRequest, sink: AnswerSink) -> None:
        self.bodies.append(len(request.body))
        if len(request.body) < 10_000:
            self.received.append(request.body)
        await self.answering.wait()
        await sink.send_whole(200, (), b"ok")


class MeasuredBudget(MemoryBudget):
    """A budget that records the most that was held at once."""

    peak = 0

    def change(self, by: int) -> None:
        super().change(by)
        self.peak = max(self.peak, self.held)


class Front:
    """A front with a bounded memory on a port of the kernel's choice."""

    def __init__(self, stack: AsyncExitStack) -> None:
        self.stack = stack
        self.budget = MeasuredBudget(LIMITS)
        self.forwarder = HeldForwarder()
        self.port = 0

    async def start(self) -> None:
        handler = FrontHandler(cast(Forwarder, self.forwarder), lambda: False, self.budget)
        listener = await start_listener(
            self.stack, handler.handle, "127.0.0.1:0", caller_facing=True, memory_bounded=True
        )
        self.port = listener.sockets[0].getsockname()[1]

    @property
    def url(self) -> str:
        return f"http://127.0.0.1:{self.port}/x"

    async def connect(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.stack.callback(writer.transport.abort)
        return reader, writer

    async def wait_until(self, is_met: Any) -> None:
        async with asyncio.timeout(PATIENCE_SECONDS):
            while not is_met():
                await asyncio.sleep(0.01)


@pytest.fixture
async def front() -> AsyncIterator[Front]:
    async with AsyncExitStack() as stack:
        front = Front(stack)
        await front.start()
        yield front


@pytest.fixture
async def session() -> AsyncIterator[ClientSession]:
    async with ClientSession() as session:
        yield session


async def test_large_bodies_beyond_the_sum_are_refused_and_earlier_ones_served(
    front: Front, session: ClientSession
) -> None:
    """Guards against a node that reads whatever arrives until it is killed."""

    async def post() -> tuple[int, Any, str]:
        async with session.post(front.url, data=BODY) as response:
            await response.read()
            return response.status, response.headers.get("Retry-After"), response.reason or ""

    accepted = [asyncio.create_task(post()) for _ in range(4)]
    await front.wait_until(lambda: len(front.forwarder.bodies) == 4)
    assert front.budget.held == 4 * (len(BODY) + REQUEST_BYTES)
    refused = await asyncio.gather(*(post() for _ in range(6)))
    assert {status for status, _, _ in refused} == {503}
    assert all(float(retry_after) > 0 for _, retry_after, _ in refused)
    assert front.budget.peak <= LIMITS.new_work
    front.forwarder.answering.set()
    assert [(await each)[0] for each in accepted] == [200] * 4
    assert front.budget.held == 0
    assert (await post())[0] == 200


async def test_refusal_comes_before_the_body_and_closes_the_connection(front: Front) -> None:
    """Guards against reading a body only to refuse it."""
    held = front.budget.open()
    held.resize(LIMITS.new_work)
    reader, writer = await front.connect()
    writer.write(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n")
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503 ")
    assert b"retry-after: " in head.lower()
    assert b"connection: close" in head.lower()
    assert b"MB of this node are in use" in await reader.read()
    assert not front.forwarder.bodies


async def test_request_without_body_needs_room_too(front: Front) -> None:
    """Guards against a flood of small requests that is never refused."""
    held = front.budget.open()
    held.resize(LIMITS.new_work - REQUEST_BYTES)
    front.forwarder.answering.set()
    for expected, status in ((b"", b"200"), (b"", b"503")):
        reader, writer = await front.connect()
        writer.write(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n" + expected)
        assert (await reader.readuntil(b"\r\n"))[9:12] == status
        await front.wait_until(lambda: front.budget.held == held.size)
        held.resize(LIMITS.new_work)


async def test_body_of_unknown_length_is_refused_at_the_bound(front: Front) -> None:
    """Guards against bodies that state no length and so pass every bound."""
    reader, writer = await front.connect()
    writer.write(b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
    chunk = bytes(100_000)

    async def upload() -> None:
        with suppress(ConnectionError):
            while not writer.is_closing():
                writer.write(f"{len(chunk):x}\r\n".encode() + chunk + b"\r\n")
                await writer.drain()

    uploading = asyncio.create_task(upload())
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503 ")
    await front.wait_until(lambda: front.budget.held == 0)
    lowest = LIMITS.connection - 2 * UNKNOWN_LENGTH_STEP
    assert lowest <= front.budget.peak <= LIMITS.connection
    assert not front.forwarder.bodies
    writer.transport.abort()
    await uploading


@pytest.mark.parametrize("encoding", ["gzip", "deflate", "unknown"])
async def test_compressed_body_stays_as_sent(
    front: Front, session: ClientSession, encoding: str
) -> None:
    """Guards against a body that is changed on its way, or takes a thousand times its size."""
    packed = gzip.compress(bytes(3_000_000))
    front.forwarder.answering.set()
    headers = {"Content-Encoding": encoding}
    async with session.post(front.url, data=packed, headers=headers) as response:
        assert response.status == 200
    assert front.forwarder.received == [packed]
    assert front.budget.peak <= len(packed) + REQUEST_BYTES


async def test_small_body_of_unknown_length_is_served(front: Front) -> None:
    """Guards against refusing every body without a length."""
    front.forwarder.answering.set()
    reader, writer = await front.connect()
    writer.write(
        b"POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
    )
    assert (await reader.readuntil(b"\r\n")).startswith(b"HTTP/1.1 200 ")
    assert front.forwarder.bodies == [3]


@pytest.mark.parametrize("framing", [b"Content-Length: 900000", b"Transfer-Encoding: chunked"])
async def test_cancelled_upload_releases_its_reservation(front: Front, framing: bytes) -> None:
    """Guards against a budget that callers who disconnect use up for good."""
    _, writer = await front.connect()
    writer.write(b"POST /x HTTP/1.1\r\nHost: h\r\n" + framing + b"\r\n\r\n3\r\nabc\r\n")
    await front.wait_until(lambda: front.budget.held > 0)
    writer.transport.abort()
    await front.wait_until(lambda: front.budget.held == 0)


async def test_caller_that_leaves_while_its_request_runs_releases_its_reservation(
    front: Front,
) -> None:
    """Guards against a budget that running requests of gone callers use up for good."""
    _, writer = await front.connect()
    writer.write(b"POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc")
    await front.wait_until(lambda: front.forwarder.bodies)
    writer.transport.abort()
    await front.wait_until(lambda: front.budget.held == 0)
