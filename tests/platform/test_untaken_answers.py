"""Tests of answers that callers do not take in time, and of the exit."""

import asyncio
import signal
from contextlib import AsyncExitStack
from typing import Any

import pytest

from wrenloft_platform._cutoff import Cutoff
from wrenloft_platform._serve import close_together

from .bounded_node import ImpatientEndpoint, SlowCaller, make_event, wait_until
from .conftest import full_response, stream_response
from .test_slow_callers import REQUEST, Runner, _start, run, short_stall  # noqa: F401
from .test_stopping import (
    SMALL_RECEIVE_BUFFER,
    Caller,
    build_request,
    list_incomplete,
    start,  # noqa: F401
    stop,
)
from .test_stopping import wait_until as wait_for


def test_stalled_caller_that_is_cut_off_does_not_see_a_complete_answer(
    run: Runner,  # noqa: F811
    short_stall: None,  # noqa: F811
) -> None:
    """Guards against an answer without a length that looks complete where it was cut off."""

    async def play(stack: AsyncExitStack) -> None:
        endpoint = ImpatientEndpoint([make_event(n, 50_000) for n in range(100)], patience=10.0)
        node = await _start(stack, endpoint)
        caller = SlowCaller(node, REQUEST.replace(b"HTTP/1.1", b"HTTP/1.0"))
        reviewing = asyncio.create_task(node.review(10.0))
        await wait_until(lambda: endpoint.lost)
        await wait_until(node.is_released)
        reviewing.cancel()
        with pytest.raises(ConnectionResetError):
            await caller.read_all(100_000, 0.0)

    run(play)


async def test_lifted_limit_does_not_end_its_block() -> None:
    """Guards against ending an answer that is written in the moment of the cutoff."""
    cutoff = Cutoff()
    ready = asyncio.Event()

    async def answer() -> str:
        async with cutoff.limit() as limit:
            await ready.wait()
            cutoff.lift(limit)  # the end of the answer is being written
            await asyncio.sleep(0.02)
        return "whole"

    task = asyncio.create_task(answer())
    await asyncio.sleep(0.01)
    ready.set()
    cutoff.end()
    assert await task == "whole"


async def test_untaken_answer_without_a_length_does_not_look_complete_at_the_exit(
    stack: AsyncExitStack,
    start: Any,  # noqa: F811
    endpoint: Any,
) -> None:
    """Guards against an answer without a length that the exit cuts and that looks complete."""
    entry = await start(contracts=["pressure"], memory_mb=2000)
    events = [make_event(n, 40_000) for n in range(20)]
    endpoint.answers = [stream_response(*events)]
    caller = await Caller.open(stack, entry, receive_buffer=SMALL_RECEIVE_BUFFER)
    caller.send("/stream/x", "old", version="1.0")
    await wait_for(lambda: endpoint.received)
    await asyncio.sleep(0.5)
    entry.process.send_signal(signal.SIGTERM)
    log = await stop(entry)
    try:
        answer = await caller.read_rest()
    except ConnectionResetError:
        return
    got = sum(each in answer for each in events)
    assert got == len(events), (got, len(answer), list_incomplete(log))


@pytest.mark.parametrize("closing", [False, True])
async def test_untaken_answer_that_closes_its_connection_is_sent_before_the_exit(
    stack: AsyncExitStack,
    start: Any,  # noqa: F811
    endpoint: Any,
    closing: bool,
) -> None:
    """Guards against an exit long before the grace is over, with the rest of an answer unsent."""
    entry = await start(contracts=["pressure"], memory_mb=2000, bounds={"grace": 7.0})
    body = bytes(1_000_000)
    endpoint.answers = [full_response(body)]
    caller = await Caller.open(stack, entry, receive_buffer=SMALL_RECEIVE_BUFFER)
    request = build_request("/once/x", "large")
    if closing:  # the caller asks for it
        caller.writer.write(request.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n", 1))
        await wait_for(lambda: endpoint.received)
        await asyncio.sleep(0.3)
        entry.process.send_signal(signal.SIGTERM)
    else:  # the node announces it, as in all answers of its stop
        entry.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.5)
        caller.writer.write(request)
        await wait_for(lambda: endpoint.received)
    await asyncio.sleep(4.0)
    received = len(await caller.read_rest())
    log = await stop(entry)
    assert received > len(body), (received, list_incomplete(log))


async def test_listeners_are_closed_at_the_same_time() -> None:
    """Guards against a node that outlives its grace because it closes them one after the other."""
    barrier = asyncio.Barrier(3)
    stacks = [AsyncExitStack() for _ in range(3)]
    for each in stacks:
        each.push_async_callback(barrier.wait)
    async with asyncio.timeout(20):
        await close_together(stacks)
