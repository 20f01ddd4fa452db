"""Tests of how rate limits are merged and shared."""

from itertools import permutations
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wrenloft_policy import (
    MIN_ENDPOINT_RATE,
    Bucket,
    NodeGroup,
    RateLimit,
    Verdict,
    allocate_rate,
    decide_timed_dispatch,
    merge_limit,
    pick_limited_retry_after,
    pick_limiter,
    refill_bucket,
    update_limit,
)

limits = st.builds(
    RateLimit,
    rate=st.sampled_from([None, 1.8, 5.0]),
    missing=st.just(0),
    sequence=st.integers(1, 3),
    node=st.sampled_from(["n1", "n2", "n3"]),
)


class TestMergeLimit:
    @given(
        st.lists(limits, min_size=1, max_size=4, unique_by=lambda each: (each.sequence, each.node))
    )
    def test_nodes_agree_in_any_order_of_updates(self, updates: list[RateLimit]) -> None:
        """Guards against nodes that apply different limits permanently."""
        results = set()
        for order in permutations(updates):
            known = None
            for each in order:
                known = merge_limit(known, each)
            results.add(known)
        assert len(results) == 1

    def test_own_observation_supersedes_an_earlier_update(self) -> None:
        received = RateLimit(1.8, 0, 7, "n9")
        observed = update_limit(received, 5.0, "n1")
        assert observed is not None
        assert merge_limit(received, observed) == merge_limit(observed, received) == observed


class TestAllocateRate:
    @pytest.mark.parametrize("sizes", [(3, 3, 3), (13, 13, 12), (20, 20, 20, 19, 19), (1, 1, 1)])
    def test_two_partitions_leave_capacity_for_bursts(self, sizes: tuple[int, ...]) -> None:
        """Guards against granting the whole limit in each partition."""
        total = sum(sizes)
        for inside in range(sizes[0] + 1):
            for outside in range(total - sizes[0] + 1):
                one = allocate_rate(
                    8.0, NodeGroup(inside, sizes[0]), NodeGroup(inside + outside, total)
                )
                rest = total - inside - outside
                other = allocate_rate(
                    8.0, NodeGroup(sizes[0] - inside, sizes[0]), NodeGroup(rest, total)
                )
                parts = (one if inside + outside else 0.0) + (other if rest else 0.0)
                assert parts <= 1.375 * 8.0

    def test_remaining_nodes_use_all_of_it_once_the_others_are_deregistered(self) -> None:
        assert allocate_rate(5.0, NodeGroup(1, 1), NodeGroup(1, 1)) == 5.0
        assert allocate_rate(5.0, NodeGroup(0, 0), NodeGroup(2, 2)) == 5.0

    def test_endpoint_with_a_limit_of_zero_gets_some_requests(self) -> None:
        """Guards against a limit of zero whose end is never observed."""
        assert allocate_rate(0.0, NodeGroup(3, 3), NodeGroup(9, 9)) == MIN_ENDPOINT_RATE


class TestPickLimiter:
    def test_nodes_of_the_endpoints_zone_come_first(self) -> None:
        fleet = [f"n{number}" for number in range(9)]
        assert pick_limiter("e@1", fleet[:3], fleet) in fleet[:3]
        assert pick_limiter("e@1", [], fleet) in fleet

    def test_endpoints_are_spread_over_the_nodes(self) -> None:
        fleet = [f"n{number}" for number in range(9)]
        picked = {pick_limiter(f"e{number}@1", fleet, fleet) for number in range(200)}
        assert picked == set(fleet)


class TestRefillBucket:
    @given(st.floats(0.2, 1000.0), st.floats(0.0, 100.0))
    def test_burst_is_bounded_after_idle_time(self, rate: float, seconds: float) -> None:
        """Guards against a burst after idle time that the endpoint cannot take."""
        bucket = refill_bucket(Bucket(0.0, 10.0), rate, 10.0 + seconds)
        assert bucket.tokens + 4.0 * rate <= 6.0 * rate + 5.0


class TestCallers:
    def test_retries_come_within_the_time_that_a_caller_waits(self) -> None:
        random = Random(1)
        for _ in range(200):
            seconds = pick_limited_retry_after(20.0, 1.0, 40, 6.0, random)
            assert 1.0 <= seconds <= 2.0

    def test_retries_match_the_rate_of_the_endpoints(self) -> None:
        """Guards against callers that all retry before the first of them has its turn."""
        random = Random(1)
        delays = sorted(pick_limited_retry_after(0.2, 50.0, 40, 6.0, random) for _ in range(200))
        assert delays[0] >= 0.2
        assert delays[-1] <= 0.2 + 40 / 50.0

    @pytest.mark.parametrize(
        ("wait", "verdict"),
        [(0.1, Verdict.QUEUE), (0.45, Verdict.QUEUE), (1.2, Verdict.QUEUE), (1.6, Verdict.REFUSE)],
    )
    def test_request_is_queued_if_its_turn_comes_soon_enough(
        self, wait: float, verdict: Verdict
    ) -> None:
        assert decide_timed_dispatch(wait, 0.1, 0.0, 0.0, 0.5, 6.0) is verdict

    def test_queueing_is_bounded_if_the_turn_never_comes(self) -> None:
        """Guards against a request that is queued until no time is left to serve it."""
        queued = 0.0
        while decide_timed_dispatch(0.1, 0.1, queued, 0.0, 0.5, 6.0 - queued) is Verdict.QUEUE:
            queued += 0.05
        assert queued <= 1.5
