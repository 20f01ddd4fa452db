"""Tests of distinguishing a failed endpoint from a broken connection."""

import asyncio
import socket
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

from .virtual_time import VirtualLoop, read_loop_time, run_virtually

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


async def test_connection_that_an_ending_process_never_accepts_shows_no_life() -> None:
    """Guards against a process that counts as alive as its kernel still completes connections."""
    listener = socket.create_server(("127.0.0.1", 0))
    asyncio.get_running_loop().call_later(0.02, listener.close)
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    assert await probe_address(address) is Liveness.REFUSED


async def test_endpoint_that_resets_connections_is_alive() -> None:
    """Guards against taking an endpoint with too many connections for one that has ended."""

    async def reset(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.transport.abort()

    server = await asyncio.start_server(reset, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    assert await probe_address(address) is Liveness.REACHABLE
    server.close()


async def test_process_that_stands_still_is_alive() -> None:
    """Guards against taking a paused process for one that has ended."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        assert await probe_address(address) is Liveness.REACHABLE


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


@pytest.mark.parametrize("seconds", [0.3, 1.0, 2.9])
@pytest.mark.parametrize("heard", [False, True])
def test_silence_of_a_sound_endpoint_is_no_failure(
    monkeypatch: pytest.MonkeyPatch, seconds: float, heard: bool
) -> None:
    """Guards against counting an endpoint as crashed whose host is silent and goes on.

    The answers continue, or their attempts have been ended meanwhile.
    """

    async def act() -> None:
        harness = DetectorHarness(Liveness.UNREACHABLE)
        await harness.lose_answers("a", silent=True)
        await harness.lose_answers("b", silent=False)
        await asyncio.sleep(seconds)
        harness.liveness = Liveness.REACHABLE
        if heard:
            harness.detector.record_heard(harness.state)
        await asyncio.sleep(MAX_SOUND_SILENCE_SECONDS + LATEST_PROBE_SECONDS)
        harness.detector.review()
        assert not harness.failures

    run_virtually(monkeypatch, act)


def test_endpoint_that_computes_before_its_silence_is_sound(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against counting the time before an answer begins as a silence of the host."""

    async def act() -> None:
        harness = DetectorHarness(Liveness.REACHABLE)
        state = harness.state
        with harness.detector.track_request([state], Workload(CONTENT, frozenset())) as request:
            await asyncio.sleep(5.0)
            harness.detector.record_silence(state, request)
            await asyncio.sleep(1.0)
            harness.liveness = Liveness.UNREACHABLE
            harness.detector.record_unreachable(state)
            await asyncio.sleep(2.9)
            harness.liveness = Liveness.REACHABLE
            await asyncio.sleep(MAX_SOUND_SILENCE_SECONDS + LATEST_PROBE_SECONDS)
            assert not harness.failures

    run_virtually(monkeypatch, act)


def test_crash_behind_a_silence_is_confirmed_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """The host is silent for a second, and comes back without the process."""

    async def act() -> None:
        harness = DetectorHarness(Liveness.UNREACHABLE)
        await harness.lose_answers("a", silent=True)
        await asyncio.sleep(1.0)
        harness.liveness = Liveness.REFUSED
        await asyncio.sleep(PROBE_TIMEOUT_SECONDS + 2 * PROBE_INTERVAL_SECONDS)
        assert [each.sign for each in harness.failures] == [FailureSign.REFUSED]

    run_virtually(monkeypatch, act)


def test_entry_that_expires_during_a_silence_shows_no_restart(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against counting an endpoint that is silent for three heartbeats as restarted.

    Its entry expires and comes back with the same incarnation.
    """

    async def act() -> None:
        harness = DetectorHarness(Liveness.UNREACHABLE)
        await harness.lose_answers("a", silent=True)
        await asyncio.sleep(2.0)
        harness.endpoints.update([], trusted=True)
        harness.detector.review()
        await asyncio.sleep(0.9)
        harness.liveness = Liveness.REACHABLE
        harness.endpoints.update([ENDPOINT], trusted=True)
        harness.detector.review()
        await asyncio.sleep(MAX_SOUND_SILENCE_SECONDS + LATEST_PROBE_SECONDS)
        harness.detector.review()
        assert not harness.failures

    run_virtually(monkeypatch, act)


@pytest.mark.parametrize("liveness", [Liveness.REACHABLE, Liveness.UNREACHABLE])
def test_silence_before_a_planned_end_is_no_failure(
    monkeypatch: pytest.MonkeyPatch, liveness: Liveness
) -> None:
    """Guards against counting a rolling replacement as crashes of silent requests.

    The attempt was ended while silent; the endpoint leaves, ends and starts again.
    """

    async def act() -> None:
        harness = DetectorHarness(liveness)
        await harness.lose_answers("a", silent=True)
        await asyncio.sleep(1.0)
        harness.endpoints.update([replace(ENDPOINT, leaving=True)], trusted=True)
        await asyncio.sleep(MAX_SOUND_SILENCE_SECONDS + LATEST_PROBE_SECONDS)
        harness.endpoints.update([replace(ENDPOINT, born=9)], trusted=True)
        harness.detector.review()
        assert not harness.failures

    run_virtually(monkeypatch, act)


def test_heard_endpoint_is_silent_anew(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against adding up two silences, and against missing that the second one lasts."""

    async def act() -> None:
        harness = DetectorHarness(Liveness.UNREACHABLE)
        await harness.lose_answers("a", silent=True)
        await asyncio.sleep(2.0)
        harness.detector.record_heard(harness.state)
        await harness.lose_answers("b", silent=True)
        await asyncio.sleep(MAX_SOUND_SILENCE_SECONDS)
        assert not harness.failures
        await asyncio.sleep(LATEST_PROBE_SECONDS)
        assert [each.contents for each in harness.failures] == [{"b"}]

    run_virtually(monkeypatch, act)


async def test_silent_answer_that_continues_is_not_lost_with_a_restart() -> None:
    """Guards against counting an answer that continued when its endpoint is replaced."""
    harness = DetectorHarness(Liveness.REACHABLE)
    await harness.lose_answers("a", silent=True)
    harness.detector.record_heard(harness.state)
    harness.endpoints.update([replace(ENDPOINT, born=9)], trusted=True)
    harness.detector.review()
    assert not harness.failures


async def test_answer_that_breaks_off_after_a_silence_is_lost() -> None:
    """An endpoint that has been silent for long crashes; the silence alone was no failure."""
    harness = DetectorHarness(Liveness.REACHABLE)
    await harness.lose_answers("a", silent=True)
    await asyncio.sleep(0.01)
    harness.liveness = Liveness.REFUSED
    broken_at = read_loop_time()
    await harness.lose_answers("a")
    (failure,) = harness.failures
    assert (failure.contents, failure.sign) == ({"a"}, FailureSign.REFUSED)
    assert failure.at >= broken_at


async def test_data_that_was_under_way_hides_no_crash() -> None:
    """A connection breaks with a crash; what was sent on another one before is read after it."""
    harness = DetectorHarness(Liveness.REFUSED)
    harness.detector.record_loss(harness.state, _make_request("a", 0.0), silent=False)
    harness.detector.record_heard(harness.state)
    await asyncio.sleep(0.01)
    assert [each.contents for each in harness.failures] == [{"a"}]


def test_ended_attempts_count_once_their_endpoint_has_failed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against forgetting a request that was answered elsewhere after a silence."""

    async def act() -> None:
        harness = DetectorHarness(Liveness.UNREACHABLE)
        with harness.detector.track_request(
            [harness.state], Workload(CONTENT, frozenset())
        ) as request:
            harness.detector.record_silence(harness.state, request)
        await asyncio.sleep(MAX_SOUND_SILENCE_SECONDS + LATEST_PROBE_SECONDS)
        assert [each.contents for each in harness.failures] == [{CONTENT}]

    run_virtually(monkeypatch, act)


def test_request_sent_to_an_unreachable_endpoint_is_not_involved(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It is sent on a connection that was open when the endpoint failed."""

    async def act() -> None:
        harness = DetectorHarness(Liveness.UNREACHABLE)
        await harness.lose_answers("a", silent=True)
        await asyncio.sleep(1.0)
        await harness.lose_answers("b", sent_at=read_loop_time(), silent=True)
        await asyncio.sleep(MAX_SOUND_SILENCE_SECONDS + LATEST_PROBE_SECONDS)
        assert [each.contents for each in harness.failures] == [{"a"}]

    run_virtually(monkeypatch, act)


def test_delay_of_this_process_is_no_silence(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against adding the time for which this process was stopped to a silence.

    The endpoint is silent for a moment before this process is stopped and for another one after.
    """

    async def act() -> None:
        harness = DetectorHarness(Liveness.UNREACHABLE)
        await harness.lose_answers("a", silent=True)
        await asyncio.sleep(0.3)
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        loop.selector.now += 2 * MAX_SOUND_SILENCE_SECONDS
        await asyncio.sleep(1.0)
        harness.liveness = Liveness.REACHABLE
        await asyncio.sleep(MAX_SOUND_SILENCE_SECONDS)
        assert not harness.failures

    run_virtually(monkeypatch, act)


def test_failure_that_is_heard_again_involves_no_more_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The endpoint was silent for longer than expected and goes on; other answers continue."""

    async def act() -> None:
        harness = DetectorHarness(Liveness.UNREACHABLE)
        sent_at = read_loop_time()
        await harness.lose_answers("a", sent_at=sent_at, silent=True)
        await asyncio.sleep(MAX_SOUND_SILENCE_SECONDS + LATEST_PROBE_SECONDS)
        assert len(harness.failures) == 1
        harness.liveness = Liveness.REACHABLE
        harness.detector.record_heard(harness.state)
        await harness.lose_answers("b", sent_at=sent_at, silent=True)
        await asyncio.sleep(1.0)
        assert len(harness.failures) == 1

    run_virtually(monkeypatch, act)


def test_requests_wait_for_the_first_probe_only(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against second attempts that wait until a silence is known to be a failure."""

    async def act() -> None:
        harness = DetectorHarness(Liveness.UNREACHABLE)
        await harness.lose_answers("a")
        begun = read_loop_time()
        await harness.detector.wait_for_checks([harness.state])
        assert harness.probed == 1
        assert read_loop_time() - begun <= PROBE_TIMEOUT_SECONDS + 0.001
        await harness.detector.wait_for_checks([harness.state])
        assert read_loop_time() - begun <= PROBE_TIMEOUT_SECONDS + 0.001
        await harness.detector.close()

    run_virtually(monkeypatch, act)


@pytest.mark.parametrize("seconds", [0.3, 1.0, 2.9])
def test_unreachable_endpoint_is_used_once_it_accepts_a_connection(
    monkeypatch: pytest.MonkeyPatch, seconds: float
) -> None:
    """Guards against excluding an endpoint for longer than its host was silent."""

    async def act() -> None:
        harness = DetectorHarness(Liveness.UNREACHABLE)
        state = harness.state
        for _ in range(5):
            harness.endpoints.record_failure(state, read_loop_time())
            harness.detector.record_unreachable(state)
        await asyncio.sleep(seconds)
        assert state.suspect_until > read_loop_time()
        harness.liveness = Liveness.REACHABLE
        await asyncio.sleep(PROBE_TIMEOUT_SECONDS + 2 * PROBE_INTERVAL_SECONDS)
        assert state.suspect_until <= read_loop_time()
        assert not harness.failures

    run_virtually(monkeypatch, act)


def test_endpoint_that_stays_unreachable_is_watched_for_a_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It stays excluded, and is not probed until the next connection to it fails."""

    async def act() -> None:
        harness = DetectorHarness(Liveness.UNREACHABLE)
        state = harness.state
        for _ in range(3):
            harness.endpoints.record_failure(state, read_loop_time())
            harness.detector.record_unreachable(state)
        await asyncio.sleep(MAX_SOUND_SILENCE_SECONDS + LATEST_PROBE_SECONDS)
        probed = harness.probed
        await asyncio.sleep(2.0)
        assert harness.probed == probed
        assert state.suspect_until > read_loop_time()
        harness.detector.record_unreachable(state)
        await asyncio.sleep(1.0)
        assert harness.probed > probed
        await harness.detector.close()

    run_virtually(monkeypatch, act)


async def test_refused_connections_keep_an_endpoint_excluded() -> None:
    """A process that has ended is not expected back within a moment."""
    harness = DetectorHarness(Liveness.REFUSED)
    state = harness.state
    harness.endpoints.record_failure(state, read_loop_time())
    harness.detector.record_unreachable(state)
    await asyncio.sleep(0.01)
    assert state.suspect_until > read_loop_time()
    assert harness.probed == 1


async def test_planned_restart_after_a_silence_is_no_failure() -> None:
    """Guards against counting a silent request as crashed once its endpoint is replaced."""
    harness = DetectorHarness(Liveness.REACHABLE)
    await harness.lose_answers("a", silent=True)
    harness.endpoints.update([replace(ENDPOINT, leaving=True)], trusted=True)
    harness.detector.review()
    assert not harness.failures
    harness.endpoints.update([replace(ENDPOINT, born=6)], trusted=True)
    harness.detector.review()
    assert not harness.failures
