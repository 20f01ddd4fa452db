"""Tests of requests that a node gets shortly before it has to end."""

from collections.abc import Sequence

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wrenloft_core import read_clock
from wrenloft_routing import EndpointState
from wrenloft_routing._durations import RequestDurations

from .conftest import FakeReply
from .test_forward import Harness

LEFT_SECONDS = 0.5


@pytest.mark.parametrize(
    ("rule", "known", "timeout", "status"),
    [
        ("once", 0.1, 0.8, 200),
        ("once", 0.6, 0.8, 503),
        ("once", 0.6, 0.4, 200),
        ("once", None, 0.8, 503),
        ("once", None, 0.4, 200),
    ],
    ids=["ends", "would not end", "times out before", "unknown", "unknown, times out before"],
)
async def test_request_that_can_not_end_is_not_sent(
    rule: str, known: float | None, timeout: float, status: int
) -> None:
    """Guards against a request that is cut off with its node although it could run elsewhere."""
    harness = Harness(FakeReply([b"ok"]))
    if known is not None:
        harness.forwarder._durations.record(rule, known)
    harness.forwarder.ends_by = read_clock() + LEFT_SECONDS
    await harness.send(rule, caller_timeout=timeout)
    assert harness.sink.status == status
    assert len(harness.attempts) == (status == 200)
    if status == 503:
        assert harness.sink.headers["Retry-After"] == "0.000"


async def test_request_that_waited_too_long_for_a_place_is_not_sent() -> None:
    """Guards against a request that was admitted in time and is passed on too late."""
    harness = Harness(FakeReply([b"ok"]))
    harness.forwarder._durations.record("once", 0.3)

    async def wait(states: Sequence[EndpointState], urgency: int) -> bool:
        harness.forwarder.ends_by = read_clock() + 0.2
        return True

    harness.forwarder._request_grants = wait
    await harness.send("once")
    assert harness.sink.status == 503
    assert not harness.attempts


async def test_answers_teach_how_long_requests_take() -> None:
    """Guards against an estimate that no request ever changes."""
    harness = Harness(FakeReply([0.05, b"ok"]))
    await harness.send("once")
    estimate = harness.forwarder._durations.estimate("once")
    assert estimate is not None
    assert estimate >= 0.05


@given(st.lists(st.floats(0.0, 60.0), min_size=1, max_size=300))
def test_estimate_covers_the_latest_and_forgets_the_earlier(seconds: list[float]) -> None:
    """Guards against one long request that keeps others out for good."""
    durations = RequestDurations()
    for each in seconds:
        durations.record("r", each)
    estimate = durations.estimate("r")
    assert estimate is not None
    assert seconds[-1] <= estimate <= max(seconds)
    assert (
        estimate
        <= max(each * 0.99 ** (len(seconds) - 1 - n) for n, each in enumerate(seconds)) + 1e-9
    )
