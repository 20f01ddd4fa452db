"""Tests of the choice of a runner."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from wrenloft_core import AgentId, PlaceName, RegionName
from wrenloft_policy import RunnerCandidate, choose_least_reported, choose_runner, estimate_load
from wrenloft_standins.strategies import candidate_lists

_PLACE = PlaceName("liptov-cave-a")
_REGION = RegionName("liptov")


def _candidate(name: str, **changes: object) -> RunnerCandidate:
    fields: dict[str, object] = {
        "agent_id": AgentId(name),
        "place": _PLACE,
        "region": _REGION,
        "capacity": 8,
        "reported": 0,
        "sent_since": 0,
        "own": 0,
        "ready_seconds": 100.0,
    }
    return RunnerCandidate(**{**fields, **changes})  # type: ignore[arg-type]


class TestChooseRunner:
    """Tests for ``choose_runner``."""

    @given(candidate_lists, st.integers())
    def test_chooses_one_of_the_candidates(self, given: list[RunnerCandidate], seed: int) -> None:
        """One of the candidates is chosen whatever their reports, ``None`` if there are none."""
        chosen = choose_runner(given, _PLACE, _REGION, Random(seed))
        if not given:
            assert chosen is None
        else:
            assert chosen is not None
            assert chosen.agent_id in {each.agent_id for each in given}

    def test_burst_is_spread_between_reports(self) -> None:
        """Guards against sending a burst between two reports to the runner that was idle.

        By the reports alone, one runner gets all twelve requests. Counting the requests sent since
        spreads them.
        """
        loads = {"a": 0, "b": 1, "c": 1}
        counted: dict[str, int] = dict.fromkeys(loads, 0)
        by_report: dict[str, int] = dict.fromkeys(loads, 0)
        random = Random(4)
        for _ in range(12):
            present = [
                _candidate(name, reported=load, sent_since=counted[name])
                for name, load in loads.items()
            ]
            chosen = choose_runner(present, _PLACE, _REGION, random)
            naive = choose_least_reported(present)
            assert chosen is not None
            assert naive is not None
            counted[chosen.agent_id] += 1
            by_report[naive.agent_id] += 1
        assert max(by_report.values()) == 12
        assert max(counted.values()) <= 6

    def test_new_replica_starts_slowly(self) -> None:
        """A replica that just became ready has cold caches and gets fewer requests at first."""
        fresh = _candidate("fresh", ready_seconds=0.0)
        warm = _candidate("warm", reported=2)
        chosen = choose_runner([fresh, warm], _PLACE, _REGION, Random(1))
        assert chosen is not None
        assert chosen.agent_id == "warm"

    def test_prefers_a_cached_prefix_among_equals(self) -> None:
        """A cached prefix breaks ties, but does not outweigh a much longer queue."""
        cached = _candidate("cached", cached=True)
        busy = _candidate("busy", cached=True, reported=8)
        idle = _candidate("idle")
        first = choose_runner([cached, idle], _PLACE, _REGION, Random(1))
        second = choose_runner([busy, idle], _PLACE, _REGION, Random(1))
        assert first is not None
        assert second is not None
        assert (first.agent_id, second.agent_id) == ("cached", "idle")


class TestEstimateLoad:
    """Tests for ``estimate_load``."""

    def test_never_below_the_own_requests(self) -> None:
        """Guards against an old report of an idle runner that hides own requests in progress."""
        assert estimate_load(_candidate("a", reported=0, sent_since=-2, own=3)) == 3
