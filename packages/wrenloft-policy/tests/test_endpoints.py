"""Tests of which endpoint gets a request, and whether it is sent, held or refused."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wrenloft_policy import (
    MAX_OBJECTIVE_SHARE,
    URGENCY_LEVELS,
    EndpointLoad,
    EngineProfile,
    Verdict,
    adjust_objective_share,
    choose_endpoint,
    compute_objective_seconds,
    compute_send_probability,
    count_spare_slots,
    decide_dispatch,
    estimate_elapsed,
    estimate_unreported,
    pick_retry_after,
    predict_first_event,
    rank_urgency,
)

PROFILE = EngineProfile(16, 5, 0.00887, 0.0000388, 19100.0, 2048, 977, 94)


def _load(key: str, running: int = 0, distance: int = 0, *, suspect: bool = False) -> EndpointLoad:
    return EndpointLoad(key, 16, running, 0, 0, distance, suspect=suspect)


class TestPredictFirstEvent:
    """Tests for ``predict_first_event``."""

    def test_idle_engine_reads_and_writes(self) -> None:
        """With nothing before it, a usual prompt takes its reading and one pass."""
        prediction = predict_first_event(PROFILE, 0, 0, 977)
        assert 0.09 < prediction.total < 0.13

    @given(st.integers(0, 40), st.integers(0, 40), st.floats(0, 8000))
    def test_more_work_before_it_is_never_faster(
        self, running: int, waiting: int, prompt: float
    ) -> None:
        """A request more in the batch or in the queue does not shorten the wait."""
        here = predict_first_event(PROFILE, running, waiting, prompt).total
        assert predict_first_event(PROFILE, running + 1, waiting, prompt).total >= here - 1e-9
        assert predict_first_event(PROFILE, running, waiting + 1, prompt).total >= here - 1e-9

    def test_slow_engine_takes_longer(self) -> None:
        """An engine that says it runs at half speed is predicted to take twice as long."""
        usual = predict_first_event(PROFILE, 8, 1, 977).total
        assert predict_first_event(PROFILE, 8, 1, 977, pace=2.0).total == 2 * usual


class TestChooseEndpoint:
    """Tests for ``choose_endpoint``."""

    def test_takes_the_least_loaded_of_few(self) -> None:
        """Of two engines the idle one is taken."""
        chosen = choose_endpoint([_load("a", 16), _load("b", 2)], PROFILE, 977, 0.02, Random(1))
        assert chosen is not None
        assert chosen.key == "b"

    def test_prefers_near_among_equals(self) -> None:
        """Between alike engines the one in the same zone saves bytes that are paid for."""
        loads = [_load("far", 4, distance=2), _load("near", 4)]
        chosen = choose_endpoint(loads, PROFILE, 977, 0.02, Random(1))
        assert chosen is not None
        assert chosen.key == "near"

    def test_suspect_is_used_only_if_there_is_no_other(self) -> None:
        """An endpoint that failed lately is left alone, but is better than none."""
        both = [_load("bad", suspect=True), _load("good", 16)]
        alone = [_load("bad", suspect=True)]
        first = choose_endpoint(both, PROFILE, 977, 0.02, Random(1))
        second = choose_endpoint(alone, PROFILE, 977, 0.02, Random(1))
        assert first is not None
        assert second is not None
        assert (first.key, second.key) == ("good", "bad")

    def test_nodes_that_know_the_same_spread_their_requests(self) -> None:
        """Nine nodes with the same reports do not all send to the one idle engine."""
        loads = [_load(str(number), number % 3) for number in range(12)]
        chosen = {
            choice.key
            for seed in range(60)
            if (choice := choose_endpoint(loads, PROFILE, 977, 0.02, Random(seed)))
        }
        assert len(chosen) >= 4


class TestDecideTurn:
    """Tests for ``decide_dispatch``."""

    def test_fresh_request_is_held_while_it_can_be_in_time(self) -> None:
        """Every engine is full for a moment; one that became free would serve it in 0.1 s.

        Refused at once, its caller comes back late, and the free place goes to a late request.
        """
        full = {"latency_objective": 0.4, "time_left": 6.0, "limited": True, "idle_seconds": 0.1}
        assert decide_dispatch(0.9, 0.2, **full) is Verdict.QUEUE
        assert decide_dispatch(0.9, 0.3, **full) is Verdict.REFUSE

    def test_overload_holds_a_moment_then_refuses(self) -> None:
        """With nothing free in time, a request waits a tenth of its aim and is then refused."""
        assert decide_dispatch(0.9, 0.01, 0.4, 6.0, limited=True) is Verdict.QUEUE
        assert decide_dispatch(0.9, 0.06, 0.4, 6.0, limited=True) is Verdict.REFUSE

    def test_plain_service_sends_what_can_still_be_answered(self) -> None:
        """Where capacity is not scarce, late is better than refused."""
        assert decide_dispatch(0.5, 0.1, 0.1, 0.9, limited=False) is Verdict.SEND
        assert decide_dispatch(2.0, 0.1, 0.1, 0.9, limited=False) is Verdict.REFUSE

    def test_late_returns_use_spare_room_only(self) -> None:
        """A caller refused before is late already: it waits for room that nobody else needs."""
        busy = decide_dispatch(0.3, 1.0, 0.4, 4.0, limited=True, elapsed_before=1.0)
        spare = decide_dispatch(0.1, 1.0, 0.4, 4.0, limited=True, elapsed_before=1.0)
        waited = decide_dispatch(0.3, 2.5, 0.4, 4.0, limited=True, elapsed_before=1.0)
        assert (busy, spare, waited) == (Verdict.QUEUE, Verdict.SEND, Verdict.REFUSE)

    def test_large_prompts_queue_as_long_as_others(self) -> None:
        """Under load the largest prompts are let in where a usual one is.

        Their own reading takes half of the aim; counted in full they would never find room.
        """
        usual = compute_objective_seconds(predict_first_event(PROFILE, 10, 0, 977), PROFILE)
        large = compute_objective_seconds(predict_first_event(PROFILE, 10, 0, 3880), PROFILE)
        assert large - usual < 0.1

    def test_late_first_events_lower_what_is_let_in(self) -> None:
        """A few late first events make a node stricter, a calm while lets it open again."""
        share = MAX_OBJECTIVE_SHARE
        for _ in range(10):
            share = adjust_objective_share(share, in_time=False)
        strict = share
        for _ in range(60):
            share = adjust_objective_share(share, in_time=True)
        assert strict < 0.6 * MAX_OBJECTIVE_SHARE
        assert share == MAX_OBJECTIVE_SHARE


class TestCountRoom:
    """Tests for ``count_spare_slots``."""

    def test_idle_engine_has_room_for_several(self) -> None:
        """Each request that is sent delays the next by the reading of its prompt."""
        assert 3 <= count_spare_slots(_load("a"), PROFILE, 0.36) <= 8

    def test_full_engine_has_none(self) -> None:
        """One that could not start the next in time counts for nothing, and not below it."""
        assert count_spare_slots(_load("a", running=30), PROFILE, 0.36) == 0


class TestShareRoom:
    """Tests for ``compute_send_probability``."""

    @given(st.integers(0, 200), st.integers(1, 200), st.integers(1, 200))
    def test_about_as_many_go_as_there_is_room(self, room: int, fresh: int, late: int) -> None:
        """Summed over all that wait, the chances never come to more than the room."""
        chance = compute_send_probability(room, fresh, late, for_overdue=False)
        late_chance = compute_send_probability(room, fresh, late, for_overdue=True)
        expected = fresh * min(1.0, chance) + late * min(1.0, late_chance)
        assert expected <= room + 1e-6

    def test_late_requests_take_what_is_left_over(self) -> None:
        """While those that can be in time fill the room, late ones wait."""
        assert compute_send_probability(5, 5, 3, for_overdue=True) == 0.0
        assert compute_send_probability(8, 5, 3, for_overdue=True) == 1.0


class TestEstimateSpent:
    """Tests for ``estimate_elapsed``."""

    @pytest.mark.parametrize("patience", [5.2, 5.6, 6.0])
    def test_natural_differences_of_patience_are_no_return(self, patience: float) -> None:
        """No request was refused, and callers wait 5.2 to 6.0 s.

        Taken for returning callers, most of them waited for room to spare, and came late for that.
        """
        assert estimate_elapsed(patience, 6.0) == 0.0

    @given(st.floats(0.87, 1.0), st.integers(0, 1000))
    def test_refused_caller_is_known_when_it_returns(self, share: float, seed: int) -> None:
        """What a returning caller has left tells it from a fresh one, however patient it was."""
        patience = 6.0 * share
        left = patience - pick_retry_after(patience, 5, Random(seed))
        assert estimate_elapsed(left, 6.0) > 0.0


class TestRankUrgency:
    """Tests for ``rank_urgency``."""

    def test_order_at_an_engine(self) -> None:
        """A stream that goes on elsewhere first, then by kind, then those that can be in time."""
        ranks = [
            rank_urgency(3, overdue=False, begun=True),
            rank_urgency(0, overdue=False, begun=False),
            rank_urgency(0, overdue=True, begun=False),
            rank_urgency(1, overdue=False, begun=False),
            rank_urgency(9, overdue=False, begun=False),
        ]
        assert ranks == sorted(ranks) and ranks[-1] < URGENCY_LEVELS and ranks[0] == 0


class TestPickReturn:
    """Tests for ``pick_retry_after``."""

    @given(st.floats(0.1, 10), st.integers(0, 3), st.integers())
    def test_callers_can_wait_that_long(self, left: float, candidates: int, seed: int) -> None:
        """Nobody is told a time that it will not wait."""
        assert 0.05 <= pick_retry_after(left, candidates, Random(seed)) <= max(0.05, left / 3)

    def test_returns_are_spread(self) -> None:
        """A burst that is refused does not come back as one."""
        returns = sorted(pick_retry_after(6.0, 5, Random(seed)) for seed in range(50))
        assert returns[-1] - returns[0] > 0.8

    def test_outage_sends_callers_far_ahead(self) -> None:
        """While no endpoint can take requests, an early return would be refused again."""
        assert min(pick_retry_after(6.0, 0, Random(seed)) for seed in range(50)) >= 1.6


class TestEstimateUnseen:
    """Tests for ``estimate_unreported``."""

    def test_first_engine_back_is_not_filled_by_all_nodes_at_once(self) -> None:
        """Every node finds the same single engine idle, and none sees the sends of the others.

        Each sends a handful in a quarter of a second; nine nodes fill 16 slots three times over.
        """
        unreported = estimate_unreported(5, nodes=9, endpoints=1, engine=PROFILE)
        assert predict_first_event(PROFILE, 0, unreported, 977).total > 1.0

    def test_calm_fleet_is_not_held_back(self) -> None:
        """Spread over many engines, what others send is read before it would matter."""
        assert estimate_unreported(4, nodes=9, endpoints=14, engine=PROFILE) == 0.0

    def test_plain_services_are_not_guessed_at(self) -> None:
        """Their endpoints answer in milliseconds and tell their load with each answer."""
        assert estimate_unreported(50, nodes=9, endpoints=1, engine=None) == 0.0
