"""Tests of distinguishing a failed endpoint from a broken connection."""

import asyncio
from dataclasses import replace

import pytest

from wrenloft_core import AgentId, ContentId, PlaceName, RegionName, ServiceName
from wrenloft_policy import Workload
from wrenloft_routing import (
    Endpoint,
    EndpointFailure,
    Endpoints,
    EndpointState,
    FailureDetector,
    FailureSign,
    Liveness,
    probe_address,
)
from wrenloft_routing._failure_detector import (
    MAX_SOUND_SILENCE_SECONDS,
    PROBE_INTERVAL_SECONDS,
    RunningRequest,
)
from wrenloft_routing._liveness import PROBE_TIMEOUT_SECONDS

from .virtual_time import read_loop_time, run_virtually

ENDPOINT = Endpoint(
    AgentId("e"), ServiceName("s"), "127.0.0.1:1", PlaceName("p"), RegionName("r"), 4, born=5
)
CONTENT = ContentId("c")
LATEST_PROBE_SECONDS = 2 * PROBE_TIMEOUT_SECONDS + 2 * PROBE_INTERVAL_SECONDS
"""Time after the longest silence by which a probe that began after it has ended."""


def _make_request(content: str, sent_at: float) -> RunningRequest:
    workload = Workload(ContentId(content), frozenset())
    return RunningRequest(workload, sent_at, heard_at=read_loop_time())


class DetectorHarness:
    """A detector of one endpoint whose address answers as a test says."""

    def __init__(self, liveness: Liveness) -> None:
        self.liveness = liveness
        self.probed = 0
        self.failures: list[EndpointFailure] = []
        self.endpoints = Endpoints(PlaceName("p"), RegionName("r"))
        self.endpoints.update([ENDPOINT], trusted=True)
        self.detector = FailureDetector(self.endpoints, self.failures.append, self._probe)

    @property
    def state(self) -> EndpointState:
        state = self.endpoints.get(ENDPOINT.agent_id)
        assert state is not None
        return state

    async def _probe(self, address: str) -> Liveness:
        self.probed += 1
        liveness = self.liveness
        if liveness is Liveness.UNREACHABLE:
            await asyncio.sleep(PROBE_TIMEOUT_SECONDS)
        return liveness

    async def lose_answers(
        self, *contents: str, sent_at: float = 0.0, silent: bool = False
    ) -> None:
        """Lose the answers to requests, and let the endpoint be probed."""
        for content in contents:
            request = _make_request(content, sent_at)
            self.detector.record_loss(self.state, request, silent=silent)
        await asyncio.sleep(0)
        await asyncio.sleep(0)


async def test_endpoint_that_accepts_no_connection_has_failed() -> None:
    """All requests that were lost with it are reported, and it is probed once."""
    harness = DetectorHarness(Liveness.REFUSED)
    await harness.lose_answers("a", "b")
    assert [(each.incarnation, each.contents) for each in harness.failures] == [("e@5", {"a", "b"})]
    assert harness.failures[0].sign is FailureSign.REFUSED
    await harness.lose_answers("c")
    assert harness.failures[-1].contents == {"c"}
    assert harness.probed == 1


@pytest.mark.parametrize("silent", [False, True])
def test_endpoint_that_stays_unreachable_has_failed(
    monkeypatch: pytest.MonkeyPatch, silent: bool
) -> None:
    """All requests that were lost with it are reported, but not while it may only be silent."""

    async def act() -> None:
        harness = DetectorHarness(Liveness.UNREACHABLE)
        begun = read_loop_time()
        await harness.lose_answers("a", "b", sent_at=begun - 1.0, silent=silent)
        await asyncio.sleep(MAX_SOUND_SILENCE_SECONDS)
        assert not harness.failures
        await asyncio.sleep(LATEST_PROBE_SECONDS)
        (failure,) = harness.failures
        assert (failure.incarnation, failure.contents) == ("e@5", {"a", "b"})
        assert failure.sign is FailureSign.SILENT
        assert failure.at == begun
        probed = harness.probed
        await harness.lose_answers("c", sent_at=begun - 1.0, silent=silent)
        assert harness.failures[-1].contents == {"c"}
        await asyncio.sleep(1.0)
        assert harness.probed == probed

    run_virtually(monkeypatch, act)


async def test_broken_connection_to_a_live_endpoint_is_no_failure() -> None:
    """Connections of a whole zone are reset: answers are lost, but no endpoint failed."""
    harness = DetectorHarness(Liveness.REACHABLE)
    await harness.lose_answers("a")
    harness.detector.review()
    assert not harness.failures


@pytest.mark.parametrize("after", [{"born": 9}, {"agent_id": AgentId("other")}])
async def test_restarted_endpoint_has_failed(after: dict[str, object]) -> None:
    """The endpoint failed seconds before the timeout and accepts connections when probed.

    The next snapshot of the list shows another incarnation.
    """
    harness = DetectorHarness(Liveness.REACHABLE)
    await harness.lose_answers("a", silent=True)
    harness.endpoints.update([replace(ENDPOINT, **after)], trusted=True)  # type: ignore[arg-type]
    harness.detector.review()
    assert [each.sign for each in harness.failures] == [FailureSign.RESTARTED]


async def test_restart_listed_before_the_timeout_is_a_failure() -> None:
    """The endpoint restarted within a second, and its requests had waited for two."""
    harness = DetectorHarness(Liveness.REACHABLE)
    state = harness.endpoints.get(ENDPOINT.agent_id)
    assert state is not None
    harness.endpoints.update([replace(ENDPOINT, agent_id=AgentId("other"))], trusted=True)
    harness.detector.record_loss(state, _make_request(CONTENT, 0.0), silent=True)
    await asyncio.sleep(0.01)
    assert [each.sign for each in harness.failures] == [FailureSign.RESTARTED]


async def test_end_of_a_leaving_endpoint_is_no_failure() -> None:
    """It is draining, or no longer listed; its last answers are cut when it ends."""
    harness = DetectorHarness(Liveness.REFUSED)
    harness.endpoints.update([replace(ENDPOINT, leaving=True)], trusted=True)
    await harness.lose_answers("a")
    assert not harness.probed


async def test_refused_connection_shows_that_another_request_is_lost() -> None:
    """Guards against a failure that is unnoticed until a request's deadline.

    A request that may be sent only once waits at an endpoint whose process has ended; the
    connection of another request with another content is refused meanwhile.
    """
    harness = DetectorHarness(Liveness.REFUSED)
    state = harness.state
    with harness.detector.track_request([state], Workload(CONTENT, frozenset())):
        harness.detector.record_unreachable(state)
        await asyncio.sleep(0.01)
        assert [each.contents for each in harness.failures] == [{"c"}]
    harness.detector.record_unreachable(state)
    await asyncio.sleep(0.01)
    assert len(harness.failures) == 1


def test_silent_failure_is_detected_by_the_next_request(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a failure that is unnoticed until a request's deadline.

    A request that may be sent only once waits at an unreachable endpoint; the connection of another
    request with another content times out meanwhile.
    """

    async def act() -> None:
        harness = DetectorHarness(Liveness.UNREACHABLE)
        state = harness.state
        with harness.detector.track_request([state], Workload(CONTENT, frozenset())):
            harness.detector.record_unreachable(state)
            await asyncio.sleep(MAX_SOUND_SILENCE_SECONDS)
            assert not harness.failures
            await asyncio.sleep(LATEST_PROBE_SECONDS)
            assert [each.contents for each in harness.failures] == [{"c"}]
        harness.detector.record_unreachable(state)
        await asyncio.sleep(MAX_SOUND_SILENCE_SECONDS + LATEST_PROBE_SECONDS)
        assert len(harness.failures) == 1

    run_virtually(monkeypatch, act)


async def test_probe_distinguishes_closed_and_open_ports() -> None:
    """A process that ended refuses the next connection."""
    server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    assert await probe_address(address) is Liveness.REACHABLE
    server.close()
    await server.wait_closed()
    assert await probe_address(address) is Liveness.REFUSED


async def test_request_sent_after_the_failure_is_not_involved() -> None:
    """A chain reports an engine that failed before the request was sent."""
    harness = DetectorHarness(Liveness.REFUSED)
    await harness.lose_answers("a")
    await harness.lose_answers("b", sent_at=harness.failures[0].at + 0.01)
    assert [each.contents for each in harness.failures] == [{"a"}]


async def test_connection_broken_before_a_failure_is_not_involved() -> None:
    """A reset ends one request; a second later another request crashes the endpoint."""
    harness = DetectorHarness(Liveness.REACHABLE)
    await harness.lose_answers("a")
    harness.liveness = Liveness.REFUSED
    await harness.lose_answers("b")
    assert [each.contents for each in harness.failures] == [{"b"}]
