"""Tests of the choice of an endpoint, and of sending, queueing and refusing requests."""

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

    def test_idle_engine_takes_prefill_and_one_pass(self) -> None:
        """A mean prompt at an idle engine takes its prefill and one decode pass."""
        prediction = predict_first_event(PROFILE, 0, 0, 977)
        assert 0.09 < prediction.total < 0.13

    @given(st.integers(0, 40), st.integers(0, 40), st.floats(0, 8000))
    def test_more_work_ahead_is_never_faster(
        self, running: int, waiting: int, prompt: float
    ) -> None:
        """One more request in the batch or in the queue does not shorten the wait."""
        here = predict_first_event(PROFILE, running, waiting, prompt).total
        assert predict_first_event(PROFILE, running + 1, waiting, prompt).total >= here - 1e-9
        assert predict_first_event(PROFILE, running, waiting + 1, prompt).total >= here - 1e-9

    def test_slow_engine_takes_longer(self) -> None:
        """An engine that reports half speed is predicted to take twice as long."""
        expected = predict_first_event(PROFILE, 8, 1, 977).total
        assert predict_first_event(PROFILE, 8, 1, 977, pace=2.0).total == 2 * expected


class TestChooseEndpoint:
    """Tests for ``choose_endpoint``."""

    def test_chooses_the_least_loaded(self) -> None:
        """The idle one of two engines is chosen."""
        chosen = choose_endpoint([_load("a", 16), _load("b", 2)], PROFILE, 977, 0.02, Random(1))
        assert chosen is not None
        assert chosen.key == "b"

    def test_prefers_the_own_zone_among_equals(self) -> None:
        """Of equally loaded engines, the one in the same zone avoids paid traffic."""
        loads = [_load("far", 4, distance=2), _load("near", 4)]
        chosen = choose_endpoint(loads, PROFILE, 977, 0.02, Random(1))
        assert chosen is not None
        assert chosen.key == "near"

    def test_suspect_is_the_last_resort(self) -> None:
        """An endpoint that failed recently is used only if there is no other."""
        both = [_load("bad", suspect=True), _load("good", 16)]
        alone = [_load("bad", suspect=True)]
        first = choose_endpoint(both, PROFILE, 977, 0.02, Random(1))
        second = choose_endpoint(alone, PROFILE, 977, 0.02, Random(1))
        assert first is not None
        assert second is not None
        assert (first.key, second.key) == ("good", "bad")

    def test_nodes_with_the_same_reports_spread_their_requests(self) -> None:
        """Guards against all nodes sending to the one engine that was idle in the last report."""
        loads = [_load(str(number), number % 3) for number in range(12)]
        chosen = {
            choice.key
            for seed in range(60)
            if (choice := choose_endpoint(loads, PROFILE, 977, 0.02, Random(seed)))
        }
        assert len(chosen) >= 4


class TestDecideDispatch:
    """Tests for ``decide_dispatch``."""

    def test_fresh_request_is_queued_while_it_can_be_in_time(self) -> None:
        """Guards against refusing while all engines are full for a moment and one needs 0.1 s.

        The caller's retry would be late, and the slot that becomes free would go to an overdue
        request.
        """
        full = {"latency_objective": 0.4, "time_left": 6.0, "limited": True, "idle_seconds": 0.1}
        assert decide_dispatch(0.9, 0.2, **full) is Verdict.QUEUE
        assert decide_dispatch(0.9, 0.3, **full) is Verdict.REFUSE

    def test_overload_queues_a_moment_then_refuses(self) -> None:
        """Without capacity in time, a request waits a tenth of its objective and is refused."""
        assert decide_dispatch(0.9, 0.01, 0.4, 6.0, limited=True) is Verdict.QUEUE
        assert decide_dispatch(0.9, 0.06, 0.4, 6.0, limited=True) is Verdict.REFUSE

    def test_service_without_an_engine_sends_what_ends_before_the_timeout(self) -> None:
        """Where capacity is not scarce, a late response is better than a refusal."""
        assert decide_dispatch(0.5, 0.1, 0.1, 0.9, limited=False) is Verdict.SEND
        assert decide_dispatch(2.0, 0.1, 0.1, 0.9, limited=False) is Verdict.REFUSE

    def test_overdue_requests_use_spare_capacity_only(self) -> None:
        """A request whose caller was refused before waits for capacity that fresh ones leave."""
        busy = decide_dispatch(0.3, 1.0, 0.4, 4.0, limited=True, elapsed_before=1.0)
        spare = decide_dispatch(0.1, 1.0, 0.4, 4.0, limited=True, elapsed_before=1.0)
        waited = decide_dispatch(0.3, 2.5, 0.4, 4.0, limited=True, elapsed_before=1.0)
        assert (busy, spare, waited) == (Verdict.QUEUE, Verdict.SEND, Verdict.REFUSE)

    def test_large_prompts_may_queue_as_long_as_others(self) -> None:
        """Guards against refusing the largest prompts under load while mean ones are admitted.

        Their own prefill takes half of the objective; counted in full, they would never fit.
        """
        mean = compute_objective_seconds(predict_first_event(PROFILE, 10, 0, 977), PROFILE)
        large = compute_objective_seconds(predict_first_event(PROFILE, 10, 0, 3880), PROFILE)
        assert large - mean < 0.1

    def test_late_first_events_lower_the_objective_share(self) -> None:
        """The share falls with a few late first events and recovers with events in time."""
        share = MAX_OBJECTIVE_SHARE
        for _ in range(10):
            share = adjust_objective_share(share, in_time=False)
        lowered = share
        for _ in range(60):
            share = adjust_objective_share(share, in_time=True)
        assert lowered < 0.6 * MAX_OBJECTIVE_SHARE
        assert share == MAX_OBJECTIVE_SHARE


class TestCountSpareSlots:
    """Tests for ``count_spare_slots``."""

    def test_idle_engine_has_several(self) -> None:
        """Each request that is sent delays the next by its prefill."""
        assert 3 <= count_spare_slots(_load("a"), PROFILE, 0.36) <= 8

    def test_full_engine_has_none(self) -> None:
        """An engine that cannot start the next request in time has 0 slots, not fewer."""
        assert count_spare_slots(_load("a", running=30), PROFILE, 0.36) == 0


class TestComputeSendProbability:
    """Tests for ``compute_send_probability``."""

    @given(st.integers(0, 200), st.integers(1, 200), st.integers(1, 200))
    def test_sends_as_many_as_there_are_slots(self, slots: int, fresh: int, overdue: int) -> None:
        """The expected number of sent requests never exceeds the spare slots."""
        probability = compute_send_probability(slots, fresh, overdue, for_overdue=False)
        overdue_probability = compute_send_probability(slots, fresh, overdue, for_overdue=True)
        expected = fresh * min(1.0, probability) + overdue * min(1.0, overdue_probability)
        assert expected <= slots + 1e-6

    def test_overdue_requests_get_the_remaining_slots(self) -> None:
        """While fresh requests fill all slots, overdue ones wait."""
        assert compute_send_probability(5, 5, 3, for_overdue=True) == 0.0
        assert compute_send_probability(8, 5, 3, for_overdue=True) == 1.0


class TestEstimateElapsed:
    """Tests for ``estimate_elapsed``."""

    @pytest.mark.parametrize("timeout", [5.2, 5.6, 6.0])
    def test_varying_timeouts_are_not_retries(self, timeout: float) -> None:
        """Guards against taking fresh callers, whose timeouts vary, for ones that retry.

        They would wait for spare capacity, and most would be late because of it.
        """
        assert estimate_elapsed(timeout, 6.0) == 0.0

    @given(st.floats(0.87, 1.0), st.integers(0, 1000))
    def test_retry_of_a_refused_caller_is_recognised(self, share: float, seed: int) -> None:
        """A retry has less time left than any fresh caller, whatever its timeout was."""
        timeout = 6.0 * share
        time_left = timeout - pick_retry_after(timeout, 5, Random(seed))
        assert estimate_elapsed(time_left, 6.0) > 0.0


class TestRankUrgency:
    """Tests for ``rank_urgency``."""

    def test_order_at_an_engine(self) -> None:
        """Resumed streams first, then by kind, then those that can be in time."""
        ranks = [
            rank_urgency(3, overdue=False, begun=True),
            rank_urgency(0, overdue=False, begun=False),
            rank_urgency(0, overdue=True, begun=False),
            rank_urgency(1, overdue=False, begun=False),
            rank_urgency(9, overdue=False, begun=False),
        ]
        assert ranks == sorted(ranks) and ranks[-1] < URGENCY_LEVELS and ranks[0] == 0


class TestPickRetryAfter:
    """Tests for ``pick_retry_after``."""

    @given(st.floats(0.1, 10), st.integers(0, 3), st.integers())
    def test_callers_can_wait_that_long(self, time_left: float, candidates: int, seed: int) -> None:
        """No caller is asked to wait longer than it can."""
        assert (
            0.05
            <= pick_retry_after(time_left, candidates, Random(seed))
            <= max(0.05, time_left / 3)
        )

    def test_retries_are_spread(self) -> None:
        """Guards against a refused burst that returns as one."""
        delays = sorted(pick_retry_after(6.0, 5, Random(seed)) for seed in range(50))
        assert delays[-1] - delays[0] > 0.8

    def test_outage_delays_retries(self) -> None:
        """While no endpoint can take requests, an early retry would be refused again."""
        assert min(pick_retry_after(6.0, 0, Random(seed)) for seed in range(50)) >= 1.6


class TestEstimateUnreported:
    """Tests for ``estimate_unreported``."""

    def test_first_recovered_engine_is_not_overloaded(self) -> None:
        """Guards against all nodes sending to the one idle engine before they learn of each other.

        Each sends a handful in a quarter of a second; nine nodes fill 16 slots three times over.
        """
        unreported = estimate_unreported(5, nodes=9, endpoints=1, engine=PROFILE)
        assert predict_first_event(PROFILE, 0, unreported, 977).total > 1.0

    def test_normal_load_is_not_delayed(self) -> None:
        """Spread over many engines, other nodes' requests are read before they matter."""
        assert estimate_unreported(4, nodes=9, endpoints=14, engine=PROFILE) == 0.0

    def test_services_without_an_engine_need_no_estimate(self) -> None:
        """Their endpoints respond in milliseconds and report their load with each response."""
        assert estimate_unreported(50, nodes=9, endpoints=1, engine=None) == 0.0
