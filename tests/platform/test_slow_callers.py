"""Tests of callers that read their answers slowly or not at all."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import AsyncExitStack
from typing import Any, cast

import pytest
import uvloop

from wrenloft_platform._front import FrontSink
from wrenloft_policy import READ_AHEAD_BYTES, MemoryLimits
from wrenloft_routing import CallerRequest, Forwarder, IncompleteReason, RuleKind
from wrenloft_routing import _caller_buffers as buffers
from wrenloft_routing._incomplete_answers import INCOMPLETE_ANSWERS

from .bounded_node import (
    BoundedNode,
    ImpatientEndpoint,
    SlowCaller,
    make_event,
    wait_until,
)

LIMITS = MemoryLimits(total=20_000_000, connection=6_000_000, new_work=15_000_000)
REQUEST = b"POST /x HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a1\r\nContent-Length: 0\r\n\r\n"
CLOSING_REQUEST = REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")

ONE_READ_BYTES = 300_000
"""Most that one stream brings before the node notices that there is no memory for it."""

Play = Callable[[AsyncExitStack], Awaitable[None]]
Runner = Callable[[Play], None]
Count = Callable[[], dict[str, int]]


@pytest.fixture(params=[asyncio.run, uvloop.run])
def run(request: pytest.FixtureRequest) -> Runner:
    """Run on the library's loop, and on that of the programs, which buffers in its own way."""
    run_loop: Callable[[Coroutine[Any, Any, None]], None] = request.param

    async def own(play: Play) -> None:
        async with AsyncExitStack() as stack:
            await play(stack)

    return lambda play: run_loop(own(play))


async def _start(
    stack: AsyncExitStack, endpoint: ImpatientEndpoint, limits: MemoryLimits | None = LIMITS
) -> BoundedNode:
    await endpoint.start(stack)
    node = BoundedNode(stack, limits)
    await node.start(endpoint)
    return node


def test_caller_that_reads_nothing_does_not_block_the_endpoint(run: Runner) -> None:
    """Guards against an endpoint that cuts off an answer and counts as failed."""
    parts = [make_event(n, 10_000) for n in range(READ_AHEAD_BYTES // 10_000)]

    async def play(stack: AsyncExitStack) -> None:
        endpoint = ImpatientEndpoint(list(parts))
        node = await _start(stack, endpoint)
        caller = SlowCaller(node, CLOSING_REQUEST)
        await wait_until(lambda: endpoint.finished + endpoint.cut_off)
        assert (endpoint.finished, endpoint.cut_off) == (1, 0)
        await wait_until(lambda: node.in_progress == 0)
        answer = await caller.read_all(100_000, 0.0)
        assert answer.endswith(b"0\r\n\r\n")
        assert sum(part in answer for part in parts) == len(parts)
        node.front.review_memory()
        assert node.budget.held == 0

    run(play)


@pytest.fixture
def short_stall(monkeypatch: pytest.MonkeyPatch) -> None:
    """Cut callers off after fractions of a second instead of seconds."""

    def is_stalled(seconds: float, *, blocking: bool) -> bool:
        return seconds >= (0.4 if blocking else 0.8)

    monkeypatch.setattr(buffers, "is_caller_stalled", is_stalled)


@pytest.fixture
def count_incomplete() -> Count:
    """Count the connections that end without a complete answer during a test, by reason."""

    def read() -> dict[str, int]:
        counters = {each.value: INCOMPLETE_ANSWERS.labels(each.value) for each in IncompleteReason}
        return {reason: int(each._value.get()) for reason, each in counters.items()}

    before = read()
    return lambda: {
        reason: count - before[reason] for reason, count in read().items() if count > before[reason]
    }


def test_caller_that_blocks_its_endpoint_is_cut_off_before_the_endpoint_gives_up(
    run: Runner, short_stall: None, count_incomplete: Count
) -> None:
    """Guards against a stream that the endpoint ends, which is then run again elsewhere."""

    async def play(stack: AsyncExitStack) -> None:
        endpoint = ImpatientEndpoint([make_event(n, 50_000) for n in range(100)], patience=10.0)
        node = await _start(stack, endpoint)
        caller = SlowCaller(node, REQUEST)
        reviewing = asyncio.create_task(node.review(10.0))
        await wait_until(lambda: endpoint.lost)
        assert (endpoint.cut_off, endpoint.received) == (0, 1)
        await wait_until(node.is_released)
        answer = await caller.read_all(100_000, 0.0)
        assert not answer.endswith(b"0\r\n\r\n")
        assert count_incomplete() == {"caller stalled": 1}
        reviewing.cancel()

    run(play)


def test_caller_that_takes_its_stream_slowly_gets_all_of_it(run: Runner) -> None:
    """Guards against cutting off callers that read, only because they are slow."""
    parts = [make_event(n, 30_000) for n in range(60)]

    async def play(stack: AsyncExitStack) -> None:
        endpoint = ImpatientEndpoint(list(parts), patience=10.0)
        node = await _start(stack, endpoint)
        caller = SlowCaller(node, CLOSING_REQUEST)
        reviewing = asyncio.create_task(node.review(20.0))
        answer = await caller.read_all(20_000, 0.01)
        assert answer.endswith(b"0\r\n\r\n")
        assert sum(part in answer for part in parts) == len(parts)
        assert READ_AHEAD_BYTES / 4 < node.budget.peak < 2 * READ_AHEAD_BYTES
        reviewing.cancel()

    run(play)


def test_slow_callers_together_stay_within_the_budget(run: Runner) -> None:
    """Guards against a sum of slow callers that exceeds the memory, and events lost for it."""
    limits = MemoryLimits(total=3_000_000, connection=2_000_000, new_work=2_500_000)
    parts = [make_event(n, 30_000) for n in range(30)]

    async def play(stack: AsyncExitStack) -> None:
        endpoint = ImpatientEndpoint(list(parts), patience=30.0)
        node = await _start(stack, endpoint, limits)
        callers = [SlowCaller(node, CLOSING_REQUEST) for _ in range(8)]
        await wait_until(lambda: endpoint.received == len(callers))
        reviewing = asyncio.create_task(node.review(30.0))
        await wait_until(lambda: node.budget.peak > 0.8 * limits.total)
        await asyncio.sleep(0.5)  # for more than the budget to arrive, if nothing stops it
        assert node.budget.peak < limits.total + len(callers) * ONE_READ_BYTES
        reading = asyncio.gather(*(each.read_all(100_000, 0.0) for each in callers))
        for answer in await reading:
            assert sum(part in answer for part in parts) == len(parts)
        await wait_until(node.is_released)
        reviewing.cancel()

    run(play)


def test_callers_that_read_are_served_beside_slow_ones(run: Runner) -> None:
    """Guards against slow callers that take the endpoint or the memory of others."""
    parts = [make_event(n, 30_000) for n in range(30)]

    async def play(stack: AsyncExitStack) -> None:
        endpoint = ImpatientEndpoint(list(parts))
        node = await _start(stack, endpoint)
        slow = [SlowCaller(node, REQUEST) for _ in range(5)]
        await wait_until(lambda: endpoint.finished == len(slow) and node.in_progress == 0)
        for _ in range(5):
            answer = await SlowCaller(node, CLOSING_REQUEST).read_all(100_000, 0.0)
            assert sum(part in answer for part in parts) == len(parts)
        assert endpoint.cut_off == 0

    run(play)


def test_whole_answer_that_is_not_taken_frees_its_endpoint_and_then_its_memory(
    run: Runner, short_stall: None, count_incomplete: Count
) -> None:
    """Guards against answers that stay in memory for as long as a caller likes."""

    async def play(stack: AsyncExitStack) -> None:
        body = bytes(3_000_000)
        endpoint = ImpatientEndpoint([body], framing=b"Content-Length: 3000000\r\n")
        await endpoint.start(stack)
        node = BoundedNode(stack, LIMITS)
        await node.start(endpoint, kind=RuleKind.SAFE)
        caller = SlowCaller(node, REQUEST)
        await wait_until(lambda: endpoint.finished)
        await wait_until(lambda: node.in_progress == 0)
        node.front.review_memory()
        assert node.budget.held >= len(body)
        await wait_until(node.is_released)
        assert len(await caller.read_all(100_000, 0.0)) < len(body)
        assert count_incomplete() == {"caller stalled": 1}

    run(play)


def test_events_for_a_caller_that_reads_are_written_at_once(run: Runner) -> None:
    """Guards against a read-ahead that delays each event by a switch to another task."""

    async def play(stack: AsyncExitStack) -> None:
        written: list[bool] = []

        class Writer:
            table = None

            async def forward(self, request: CallerRequest, sink: FrontSink) -> None:
                await sink.begin(200, ())
                for number in range(20):
                    writing = sink.write(make_event(number, 1000))
                    try:
                        writing.send(None)
                    except StopIteration:
                        written.append(True)
                    await asyncio.sleep(0.002)
                await sink.end()

        endpoint = ImpatientEndpoint([])
        node = await _start(stack, endpoint)
        node.front._forwarder = cast(Forwarder, Writer())
        await SlowCaller(node, CLOSING_REQUEST).read_all(100_000, 0.0)
        assert written == [True] * 20

    run(play)
