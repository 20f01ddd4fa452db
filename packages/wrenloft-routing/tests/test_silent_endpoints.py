"""Tests of endpoints that fall silent for a moment and go on, in virtual time."""

import asyncio
from dataclasses import replace
from typing import Any

import pytest

from wrenloft_core import AgentId, Done
from wrenloft_policy import LayerSpan
from wrenloft_routing import EndpointState, Lost, Rejected, ReplyBrokenError

from . import test_forward
from .conftest import FakeReply, FakeSink
from .test_forward import ENGINES, TABLE, DelayedReply, Harness, _events
from .virtual_time import VirtualLoopPolicy, use_loop_clock


@pytest.fixture
def event_loop_policy() -> VirtualLoopPolicy:
    """Run the tests in virtual time, so that a busy machine changes nothing."""
    return VirtualLoopPolicy()


@pytest.fixture(autouse=True)
def extend_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    """Leave callers time for silences of seconds."""
    use_loop_clock(monkeypatch, test_forward)
    rules = tuple(replace(each, timeout=8.0) for each in TABLE.rules)
    monkeypatch.setattr(test_forward, "TABLE", replace(TABLE, rules=rules))


async def test_silent_stream_goes_on_without_a_second_try_left() -> None:
    """Guards against cutting a stream because the retry budget is empty."""
    harness = Harness(FakeReply([_events(0), 0.3, _events(1)], is_stream=True), slack=0.0)
    harness.use_up_budget()
    assert isinstance(await harness.send("stream", caller_timeout=8.0), Done)
    assert harness.sink.body == _events(0, 1)
    assert len(harness.attempts) == 1


@pytest.mark.parametrize(
    "refused",
    [
        Rejected("status 503", misdirected=False),
        Lost("reset"),
        FakeReply([b"failed"], status=500),
        FakeReply([_events(5)], is_stream=True),
        FakeReply([ReplyBrokenError("cut")], is_stream=True),
        FakeReply([b"x"], genuine=False),
    ],
)
async def test_silent_stream_goes_on_after_a_refused_resumption(refused: Any) -> None:
    """Guards against cutting a stream because another endpoint does not resume it."""
    harness = Harness(FakeReply([_events(0), 1.2, _events(1)], is_stream=True), refused)
    assert isinstance(await harness.send("stream", caller_timeout=8.0), Done)
    assert harness.sink.body == _events(0, 1)
    assert harness.attempts[1].last_event == 0


async def test_silent_stream_goes_on_where_no_endpoint_takes_it() -> None:
    """Guards against cutting a stream because no other endpoint is left."""
    harness = Harness(FakeReply([_events(0), 1.2, _events(1)], is_stream=True))
    only = harness.endpoints.of_service(ENGINES)[0].endpoint
    harness.endpoints.update([only], trusted=True)
    assert isinstance(await harness.send("stream", caller_timeout=8.0), Done)
    assert harness.sink.body == _events(0, 1)


async def test_retry_that_is_not_sent_is_returned_to_the_budget() -> None:
    """Guards against retries that are lost where no endpoint can take them."""
    harness = Harness(FakeReply([_events(0), 1.2, _events(1)], is_stream=True))
    only = harness.endpoints.of_service(ENGINES)[0].endpoint
    harness.endpoints.update([only], trusted=True)
    before = harness.count_retries()
    await harness.send("stream", caller_timeout=8.0)
    assert harness.count_retries() >= before


async def test_first_endpoint_to_go_on_wins_and_the_other_is_closed() -> None:
    """Guards against two endpoints that work on one stream after one has gone on."""
    first = FakeReply([_events(0), 1.2, _events(1), 0.05, _events(2)], is_stream=True)
    second = FakeReply([5.0, _events(1, 2)], is_stream=True)
    harness = Harness(first, second)
    assert isinstance(await harness.send("stream", caller_timeout=8.0), Done)
    assert harness.sink.body == _events(0, 1, 2)
    assert second.closed == [False]
    assert second.parts


async def test_hedge_is_closed_before_the_silent_endpoint_goes_on() -> None:
    """Guards against a second endpoint that works until the stream of the first one ends."""
    first = FakeReply([_events(0), 1.2, _events(1), 1.0, _events(2)], is_stream=True)
    second = FakeReply([5.0, _events(1, 2)], is_stream=True)
    harness = Harness(first, second)

    class Sink(FakeSink):
        async def write(self, data: bytes) -> None:
            assert second.closed or data == _events(0)
            await super().write(data)

    harness.sink = Sink()
    assert isinstance(await harness.send("stream", caller_timeout=8.0), Done)


async def test_endpoint_that_resumes_a_stream_replaces_the_silent_one() -> None:
    """Guards against events of the silent endpoint behind those of the other."""
    first = FakeReply([_events(0), 4.0, _events(1, 2)], is_stream=True)
    second = FakeReply([_events(1), 0.3, _events(2)], is_stream=True)
    harness = Harness(first, second)
    assert isinstance(await harness.send("stream", caller_timeout=8.0), Done)
    assert harness.sink.body == _events(0, 1, 2)
    assert first.closed == [False]


async def test_stream_waits_for_both_where_both_are_silent() -> None:
    """Guards against giving up a stream because the endpoint that resumes it is silent too."""
    first = FakeReply([_events(0), 1.2, _events(1)], is_stream=True)
    second = FakeReply([5.0], is_stream=True)
    harness = Harness(first, second)
    assert isinstance(await harness.send("stream", caller_timeout=8.0), Done)
    assert harness.sink.body == _events(0, 1)
    assert second.closed == [False]


async def test_broken_first_endpoint_leaves_the_stream_to_the_second() -> None:
    """Guards against ending a stream whose resumption is under way."""
    first = FakeReply([_events(0), 1.0, ReplyBrokenError("reset")], is_stream=True)
    second = FakeReply([1.5, _events(1)], is_stream=True)
    harness = Harness(first, second)
    assert isinstance(await harness.send("stream", caller_timeout=8.0), Done)
    assert harness.sink.body == _events(0, 1)


@pytest.mark.parametrize("rule", ["once", "unsafe", "fixed"])
async def test_request_that_may_run_once_is_sent_once(rule: str) -> None:
    """Guards against a second run of a request whose endpoint is silent."""
    whole = FakeReply([b"ok"])
    stream = FakeReply([0.3, _events(0), 0.3, _events(1)], is_stream=True)
    harness = Harness(lambda: stream if rule == "fixed" else whole)
    assert isinstance(await harness.send(rule), Done)
    assert len(harness.attempts) == 1


async def test_silent_answer_is_taken_where_the_second_try_is_refused() -> None:
    """Guards against a failure in place of an answer that comes a moment later."""
    harness = Harness(
        DelayedReply(4.0, FakeReply([b"late"])), Rejected("status 503", misdirected=False)
    )
    harness.set_objective(0.02)
    assert isinstance(await harness.send("safe", caller_timeout=8.0), Done)
    assert harness.sink.body == b"late"
    assert len(harness.attempts) == 2


async def test_second_answer_ends_the_silent_attempt() -> None:
    """Guards against an endpoint that goes on working on an answered request."""
    late = FakeReply([b"late"])
    harness = Harness(DelayedReply(6.0, late), FakeReply([b"ok"]))
    harness.set_objective(0.02)
    assert isinstance(await harness.send("safe", caller_timeout=8.0), Done)
    assert harness.sink.body == b"ok"
    await asyncio.sleep(0.01)
    assert not harness.open_count


async def test_caller_that_leaves_ends_both_attempts() -> None:
    """Guards against work that goes on at two endpoints for a caller that is gone."""
    first = FakeReply([_events(0), 5.0], is_stream=True)
    second = FakeReply([5.0], is_stream=True)
    harness = Harness(first, second)
    sending = asyncio.create_task(harness.send("stream", caller_timeout=8.0))
    while len(harness.attempts) < 2:
        await asyncio.sleep(0.01)
    await asyncio.sleep(0.01)
    sending.cancel()
    await asyncio.wait([sending])
    assert first.closed == second.closed == [False]
    states = harness.endpoints.of_service(ENGINES)
    assert not any(state.in_progress.total for state in states)


async def test_attempts_stay_limited_in_repeated_silence() -> None:
    """Guards against more endpoints per request than its rule allows."""
    first = FakeReply([_events(0), 1.2, _events(1), 0.3, _events(2)], is_stream=True)
    second = FakeReply([5.0], is_stream=True)
    harness = Harness(first, second)
    assert isinstance(await harness.send("stream", caller_timeout=8.0), Done)
    assert harness.sink.body == _events(0, 1, 2)
    assert len(harness.attempts) == 2


async def test_head_of_a_chain_shows_nothing_of_its_later_engines() -> None:
    """Guards against taking a later engine for alive because the first one sent a head."""
    harness = Harness(FakeReply([0.05, _events(0)], is_stream=True))
    harness.set_spans({0: LayerSpan(0, 8), 1: LayerSpan(8, 16), 2: LayerSpan(0, 0)})
    heard: list[tuple[AgentId, bool]] = []
    record = harness.endpoints.record_heard

    def record_heard(state: EndpointState, now: float) -> None:
        heard.append((state.endpoint.agent_id, harness.sink.status == 0))
        record(state, now)

    harness.endpoints.record_heard = record_heard  # type: ignore[method-assign]
    assert isinstance(await harness.send("fixed"), Done)
    first, *later = (each.state.endpoint.agent_id for each in harness.attempts[0].chain)
    assert heard[0] == (first, True)
    assert [each for each, _ in heard].count(first) == 2
    assert later
    assert all([each for each, _ in heard].count(engine) == 1 for engine in later)


async def test_failure_is_kept_until_a_retry_does_better() -> None:
    """Guards against replacing an endpoint's failure by one of this node's."""
    harness = Harness(FakeReply([b"sorry"], status=500), Rejected("status 503", misdirected=False))
    assert isinstance(await harness.send("safe", caller_timeout=8.0), Done)
    assert (harness.sink.status, harness.sink.body) == (500, b"sorry")


async def test_slow_failure_does_not_delay_the_retry() -> None:
    """Guards against waiting for the body of a failure that nobody needs."""
    failure = FakeReply([5.0, b"sorry"], status=500)
    harness = Harness(failure, FakeReply([b"ok"]))
    assert isinstance(await harness.send("safe", caller_timeout=8.0), Done)
    assert harness.sink.body == b"ok"
    assert failure.closed == [False]
