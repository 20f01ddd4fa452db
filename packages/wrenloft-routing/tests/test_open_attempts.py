"""Tests of attempts that are open at the same time."""

import asyncio
from dataclasses import replace
from typing import Any

import pytest
import uvloop

from wrenloft_core import Done, read_clock
from wrenloft_policy import compute_memory_limits
from wrenloft_routing import (
    Liveness,
    Lost,
    MemoryBudget,
    NotSent,
    Rejected,
    ReplyBrokenError,
    RuleKind,
)
from wrenloft_routing._attempts import OpenAttempts

from . import test_forward
from .conftest import FakeReply, FakeSink, make_rule
from .test_forward import PLAIN, TABLE, Harness, _events
from .virtual_time import VirtualLoopPolicy, use_loop_clock


@pytest.fixture
def event_loop_policy() -> VirtualLoopPolicy:
    """Run the tests in virtual time, so that a busy machine changes nothing."""
    return VirtualLoopPolicy()


@pytest.fixture(autouse=True)
def virtual_clock(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the package read the loop's time."""
    use_loop_clock(monkeypatch, test_forward)


class _After:
    """Any result of sending, after some seconds."""

    def __init__(self, seconds: float, result: Any) -> None:
        self.seconds, self.result = seconds, result


class _Harness(Harness):
    async def _open(self, attempt: Any) -> Any:
        if isinstance(self.outcomes[0], _After):
            outcome = self.outcomes.pop(0)
            self.attempts.append(attempt)
            self.open_count += 1
            try:
                await asyncio.sleep(outcome.seconds)
            finally:
                self.open_count -= 1
            return outcome.result
        return await super()._open(attempt)

    def set_rule(self, kind: RuleKind, name: str, service: Any, **changes: Any) -> None:
        self.forwarder.table = replace(TABLE, rules=(make_rule(name, kind, service, **changes),))


async def test_placement_ends_with_its_request() -> None:
    """Guards against a placement that another one replaces and that outlives its request."""
    harness = _Harness(_After(0.25, NotSent("refused")), FakeReply([b"ok"]), FakeReply([b"ok"]))
    harness.set_objective(0.02)
    calls = 0

    async def slow(states: Any, urgency: int) -> bool:
        nonlocal calls
        calls += 1
        if calls == 2:
            await asyncio.sleep(5.0)
        return True

    harness.forwarder._request_grants = slow
    before = asyncio.all_tasks()
    await harness.send("safe", caller_timeout=0.5)
    left = [each for each in asyncio.all_tasks() - before if "_place_" in repr(each)]
    for each in left:
        each.cancel()
    assert not left


async def test_answer_in_progress_survives_another_complete_one() -> None:
    """Guards against aborting an answer that is being forwarded as another one is complete."""
    first = FakeReply([b"short"], framed=False)
    second = FakeReply([b"x" * 1000, 0.1, b"y" * 90_000_000, 0.2, b"end"])
    harness = _Harness(_After(0.42, first), _After(0.02, second))
    harness.set_objective(0.02)

    async def probe(address: str) -> Liveness:
        await asyncio.sleep(0.15)
        return Liveness.REACHABLE

    harness.forwarder._detector._probe = probe
    held = MemoryBudget(compute_memory_limits(64)).open()
    outcome = await harness.send("safe", held=held)
    assert isinstance(outcome, Done)
    assert harness.sink.ended and not harness.sink.aborted
    assert harness.sink.body.endswith(b"end") or harness.sink.body == b"short"


async def test_kept_failure_is_sent_after_the_attempts_are_closed() -> None:
    """Guards against an endpoint that works on while a kept failure is sent at the deadline."""
    harness = _Harness(FakeReply([b"sorry"], status=500), _After(5.0, FakeReply([b"ok"])))

    class Sink(FakeSink):
        async def send_whole(self, *parts: Any) -> None:
            self.open_count = harness.open_count
            await super().send_whole(*parts)

    harness.sink = Sink()
    assert isinstance(await harness.send("safe"), Done)
    assert harness.sink.body == b"sorry"
    assert not harness.sink.open_count


async def test_kept_failure_is_the_only_answer() -> None:
    """Guards against a second answer of an attempt that is open while a failure is sent."""
    second = FakeReply([b"x" * 1000, 0.55, b"y" * 90_000_000, b"end"])
    harness = _Harness(
        FakeReply([b"sorry"], status=500),
        _After(0.4, second),
        _After(5.0, FakeReply([b"ok"])),
    )
    harness.set_rule(RuleKind.SAFE, "safe", PLAIN, latency_objective=0.02, max_attempts=3)
    begun = []

    class Sink(FakeSink):
        async def begin(self, status: int, headers: Any) -> None:
            begun.append(status)

        async def send_whole(self, status: int, headers: Any, body: bytes) -> None:
            await self.begin(status, headers)
            await asyncio.sleep(0.4)
            self.body, self.ended = body, True

    harness.sink = Sink()
    held = MemoryBudget(compute_memory_limits(64)).open()
    await harness.send("safe", held=held)
    assert begun == [500]


async def test_charged_retry_whose_placement_never_began_is_returned() -> None:
    """Guards against a retry that is lost as its placement is cancelled before it began."""
    harness = _Harness(_After(0.66, Lost("reset")), _After(0.36, FakeReply([b"ok"])))
    harness.set_rule(RuleKind.SAFE, "safe", PLAIN, latency_objective=0.02, max_attempts=4)
    budget = harness.budget
    started = asyncio.get_running_loop().time()
    withdrawn = refunded = 0
    withdraw, refund = budget.withdraw, budget.refund

    def count_withdraw(*arguments: Any) -> bool:
        nonlocal withdrawn
        if 0.4 < asyncio.get_running_loop().time() - started < 0.63:
            return False
        granted = withdraw(*arguments)
        withdrawn += granted
        return granted

    def count_refund(*arguments: Any) -> None:
        nonlocal refunded
        refunded += 1
        refund(*arguments)

    budget.withdraw, budget.refund = count_withdraw, count_refund  # type: ignore[method-assign]
    original = OpenAttempts.wait

    async def wait(self: OpenAttempts, seconds: float) -> None:
        await original(self, seconds)
        steps = [each.step for each in self.attempts if each.step is not None]
        if len(steps) == 2 and steps[0].done():
            await asyncio.wait(steps)  # both are finished in the same tick

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(OpenAttempts, "wait", wait)
        assert isinstance(await harness.send("safe"), Done)
    assert withdrawn - refunded == len(harness.attempts) - 1 == 1


async def test_request_that_ran_is_not_refused_as_not_run() -> None:
    """Guards against "not run" for a request whose answer found no room in memory."""
    harness = _Harness(
        _After(0.5, Rejected("status 503", misdirected=False)),
        FakeReply([b"x" * 90_000_000]),
        slack=0.0,
    )
    harness.set_objective(0.02)
    harness.budget._account(PLAIN, 0.0)
    harness.budget._account(PLAIN, read_clock()).tokens = 1.0
    held = MemoryBudget(compute_memory_limits(64)).open()
    outcome = await harness.send("safe", held=held, takes_chunks=False)
    assert len(harness.attempts) == 2
    assert harness.sink.status != 503, outcome


@pytest.mark.parametrize("first", [b": ping\n\n", b"retry: 10\n\n", b"data: hello\n\n"])
async def test_event_without_a_number_does_not_replace_a_silent_attempt(first: bytes) -> None:
    """Guards against closing a silent attempt for an event that continues nothing."""
    harness = _Harness(
        FakeReply([_events(0), 0.4, _events(1)], is_stream=True),
        FakeReply([first, ReplyBrokenError("cut")], is_stream=True),
    )
    outcome = await harness.send("stream")
    assert isinstance(outcome, Done), (outcome, harness.sink.body)
    assert harness.sink.body == _events(0, 1)


class _LateTail(FakeReply):
    """A body whose rest arrives as its reader is cancelled."""

    async def read_some(self) -> bytes:
        if self.parts == [b"last"] and not self.closed and not hasattr(self, "waited"):
            self.waited = True
            await asyncio.sleep(5.0)
        return await super().read_some()


def test_body_that_ends_at_the_deadline_is_never_truncated() -> None:
    """Guards against a body that is read anew, without its beginning, just before its deadline."""

    async def ask(timeout: float) -> bytes:
        harness = _Harness(_LateTail([b"first", b"last"]))
        outcome = await harness.send("unsafe", caller_timeout=timeout)
        return harness.sink.body if isinstance(outcome, Done) else b""

    async def ask_all() -> list[bytes]:
        return [await ask(0.1 + 0.000_37 * n) for n in range(40)]

    bodies = uvloop.run(ask_all())
    counts = {body: bodies.count(body) for body in set(bodies)}
    assert set(bodies) <= {b"firstlast", b""}, counts


async def test_head_that_comes_behind_the_winner_is_closed() -> None:
    """Guards against an open connection whose head arrives as another answer was claimed."""
    reply = FakeReply([b"late"])
    harness = _Harness(_After(0.4, reply), _After(0.04, FakeReply([0.02, b"ok"])))
    harness.set_objective(0.02)
    handle = harness.forwarder._handle_result

    async def handle_late(
        progress: Any, attempts: Any, attempt: Any, result: Any, sink: Any
    ) -> Any:
        if result is reply:
            attempts.winner = next(each for each in attempts.attempts if each is not attempt)
        return await handle(progress, attempts, attempt, result, sink)

    harness.forwarder._handle_result = handle_late  # type: ignore[method-assign]
    harness.outcomes[1].result = FakeReply([0.2, b"ok"])
    assert isinstance(await harness.send("safe"), Done)
    assert reply.closed


async def test_retry_that_is_not_yet_placed_does_not_starve_a_broken_stream() -> None:
    """Guards against a waiting hedge that keeps a retry from a stream that broke off."""
    harness = _Harness(
        FakeReply([_events(0), 0.6, _events(1)], is_stream=True),
        FakeReply([_events(0), 0.25, ReplyBrokenError("reset")], is_stream=True),
        FakeReply([_events(1)], is_stream=True),
        slack=1.0,
    )
    calls = 0

    async def slow(states: Any, urgency: int) -> bool:
        nonlocal calls
        calls += 1
        if calls == 3:
            await asyncio.sleep(0.5)  # the silent one's; it goes on before it is placed
        return True

    harness.forwarder._request_grants = slow
    silent = asyncio.create_task(harness.send("stream"))
    await asyncio.sleep(0.05)
    harness.sink = sink = FakeSink()
    broken = asyncio.create_task(harness.send("stream"))
    outcomes = await asyncio.gather(silent, broken)
    assert [type(each) for each in outcomes] == [Done, Done], (outcomes, sink)
