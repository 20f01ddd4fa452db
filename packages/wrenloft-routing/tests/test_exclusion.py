"""Tests of how long an endpoint is excluded after a silence or a failure."""

from random import Random

import pytest

from wrenloft_core import AgentId, PlaceName, RegionName, ServiceName
from wrenloft_routing import Endpoint, Endpoints, EndpointState
from wrenloft_routing._endpoints import MAX_SUSPECT_SECONDS, SUSPECT_SECONDS

SERVICE = ServiceName("s")
BEGIN = 100.0


def _list_endpoint() -> tuple[Endpoints, EndpointState]:
    place, region = PlaceName("p"), RegionName("r")
    endpoints = Endpoints(place, region)
    endpoints.update(
        [Endpoint(AgentId("e"), SERVICE, "127.0.0.1:1", place, region, 4)], trusted=True
    )
    return endpoints, endpoints.of_service(SERVICE)[0]


@pytest.mark.parametrize("seconds", [0.3, 1.0, 2.9])
@pytest.mark.parametrize("seed", range(20))
def test_exclusion_is_no_longer_than_the_silence(seconds: float, seed: int) -> None:
    """Guards against exclusions that add up with the requests that notice one silence.

    The requests were sent before and during the silence, and each notices it at some time.
    """
    random = Random(seed)
    endpoints, state = _list_endpoint()
    endpoints.record_heard(state, BEGIN)
    first = random.uniform(0.1, 0.5) * seconds
    times = [first, *(random.uniform(first, 2 * first) for _ in range(30))]
    for at in sorted(times):
        since = random.uniform(-1.0, at)
        endpoints.record_silence(state, BEGIN + since, BEGIN + at)
        assert state.suspect_until <= BEGIN + first + at + 1e-9
    assert state.suspect_until - (BEGIN + first) <= seconds + 1e-9


def test_exclusion_of_a_silence_ends_with_the_first_data() -> None:
    """Guards against requests that wait for an endpoint that has continued."""
    endpoints, state = _list_endpoint()
    endpoints.record_silence(state, BEGIN, BEGIN + 1.0)
    assert endpoints.measure_load(state, BEGIN + 1.1).suspect
    revision, changed = endpoints.revision, endpoints.changed
    endpoints.record_heard(state, BEGIN + 1.1)
    assert not endpoints.measure_load(state, BEGIN + 1.1).suspect
    assert endpoints.revision > revision
    assert changed.is_set()


def test_data_without_a_silence_changes_nothing() -> None:
    """Guards against decisions that are made anew for each piece of data of any answer."""
    endpoints, state = _list_endpoint()
    revision, changed = endpoints.revision, endpoints.changed
    endpoints.record_heard(state, BEGIN)
    endpoints.record_heard(state, BEGIN + 0.1)
    assert endpoints.revision == revision
    assert not changed.is_set()


def test_data_ends_no_exclusion_of_a_failure() -> None:
    """An endpoint that breaks off some answers still sends others."""
    endpoints, state = _list_endpoint()
    endpoints.record_silence(state, BEGIN - 2.0, BEGIN)
    endpoints.record_failure(state, BEGIN)
    endpoints.record_heard(state, BEGIN + 0.1)
    assert state.suspect_until == BEGIN + SUSPECT_SECONDS


def test_request_that_waits_at_a_busy_endpoint_excludes_it_for_a_moment_only() -> None:
    """The endpoint sends other answers all the while."""
    endpoints, state = _list_endpoint()
    endpoints.record_heard(state, BEGIN + 2.9)
    endpoints.record_silence(state, BEGIN, BEGIN + 3.0)
    assert state.suspect_until == pytest.approx(BEGIN + 3.1)


def test_endpoint_that_is_silent_for_good_is_excluded_again_for_longer() -> None:
    """Guards against sending a request there each second; each exclusion ends before the next."""
    endpoints, state = _list_endpoint()
    now, pauses = BEGIN, []
    for _ in range(5):
        endpoints.record_silence(state, now, now + 1.0)
        pauses.append(state.suspect_until - (now + 1.0))
        now = state.suspect_until
    assert pauses == [1.0, 3.0, 6.0, 6.0, 6.0]
    assert max(pauses) == MAX_SUSPECT_SECONDS


def test_silence_after_the_first_data_counts_from_it() -> None:
    """Guards against adding up two silences."""
    endpoints, state = _list_endpoint()
    endpoints.record_silence(state, BEGIN, BEGIN + 2.0)
    endpoints.record_heard(state, BEGIN + 2.5)
    endpoints.record_silence(state, BEGIN, BEGIN + 3.0)
    assert state.suspect_until == pytest.approx(BEGIN + 3.5)


def test_whole_answer_ends_all_exclusions() -> None:
    """A whole answer shows that the endpoint is sound."""
    endpoints, state = _list_endpoint()
    endpoints.record_silence(state, BEGIN, BEGIN + 1.0)
    endpoints.record_failure(state, BEGIN + 1.0)
    endpoints.record_success(state)
    assert state.suspect_until == 0.0
    endpoints.record_silence(state, BEGIN + 2.0, BEGIN + 2.1)
    assert state.suspect_until == pytest.approx(BEGIN + 2.2)


@pytest.mark.parametrize("counted_first", [False, True])
def test_accepted_connection_ends_an_exclusion_of_failures_to_connect(counted_first: bool) -> None:
    """Guards against excluding an endpoint for longer than its host was silent."""
    endpoints, state = _list_endpoint()
    endpoints.record_failure(state, BEGIN - 10.0)  # of another kind, over since
    for _ in range(3):
        if counted_first:
            endpoints.record_failed_connect(state, BEGIN)
        endpoints.record_failure(state, BEGIN)
        if not counted_first:
            endpoints.record_failed_connect(state, BEGIN)
    changed = endpoints.changed
    endpoints.record_reachable(state, BEGIN + 0.5)
    assert state.suspect_until <= BEGIN + 0.5
    assert changed.is_set()


@pytest.mark.parametrize("connect_last", [False, True])
def test_accepted_connection_ends_no_exclusion_of_another_failure(connect_last: bool) -> None:
    """An endpoint that breaks off its answers accepts connections all the while."""
    endpoints, state = _list_endpoint()
    for failed_connect in (not connect_last, connect_last):
        endpoints.record_failure(state, BEGIN)
        if failed_connect:
            endpoints.record_failed_connect(state, BEGIN)
    endpoints.record_reachable(state, BEGIN + 0.5)
    assert state.suspect_until == BEGIN + 2 * SUSPECT_SECONDS


def test_accepted_connection_ends_no_exclusion_of_a_silence() -> None:
    """The kernel of a stopped process accepts connections."""
    endpoints, state = _list_endpoint()
    endpoints.record_silence(state, BEGIN, BEGIN + 2.0)
    endpoints.record_failure(state, BEGIN + 2.0)
    endpoints.record_failed_connect(state, BEGIN + 2.0)
    endpoints.record_reachable(state, BEGIN + 2.1)
    assert state.suspect_until == BEGIN + 4.0
