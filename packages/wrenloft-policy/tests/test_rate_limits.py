"""Tests of how rate limits are known and shared."""

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
    decide_limited_dispatch,
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


class TestJoinLimit:
    @given(
        st.lists(limits, min_size=1, max_size=4, unique_by=lambda each: (each.sequence, each.node))
    )
    def test_nodes_agree_in_whichever_order_they_hear(self, told: list[RateLimit]) -> None:
        """Guards against nodes that keep to different limits for good."""
        results = set()
        for order in permutations(told):
            known = None
            for each in order:
                known = merge_limit(known, each)
            results.add(known)
        assert len(results) == 1

    def test_what_one_node_sees_goes_before_what_it_had_heard(self) -> None:
        heard = RateLimit(1.8, 0, 7, "n9")
        seen = update_limit(heard, 5.0, "n1")
        assert seen is not None
        assert merge_limit(heard, seen) == merge_limit(seen, heard) == seen


class TestAllotRate:
    @pytest.mark.parametrize("sizes", [(3, 3, 3), (13, 13, 12), (20, 20, 20, 19, 19), (1, 1, 1)])
    def test_two_parts_of_a_split_fleet_leave_room_for_their_bursts(
        self, sizes: tuple[int, ...]
    ) -> None:
        """Guards against a whole limit for each part of a fleet that is split."""
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

    def test_lone_survivors_use_all_of_it_once_the_others_are_not_listed(self) -> None:
        assert allocate_rate(5.0, NodeGroup(1, 1), NodeGroup(1, 1)) == 5.0
        assert allocate_rate(5.0, NodeGroup(0, 0), NodeGroup(2, 2)) == 5.0

    def test_some_requests_go_to_an_endpoint_that_names_nothing_at_all(self) -> None:
        """Guards against a limit of zero that is never heard to end."""
        assert allocate_rate(0.0, NodeGroup(3, 3), NodeGroup(9, 9)) == MIN_ENDPOINT_RATE


class TestPickLimiter:
    def test_nodes_of_the_endpoints_zone_go_first(self) -> None:
        fleet = [f"n{number}" for number in range(9)]
        assert pick_limiter("e@1", fleet[:3], fleet) in fleet[:3]
        assert pick_limiter("e@1", [], fleet) in fleet

    def test_endpoints_are_spread_over_the_nodes(self) -> None:
        fleet = [f"n{number}" for number in range(9)]
        picked = {pick_limiter(f"e{number}@1", fleet, fleet) for number in range(200)}
        assert picked == set(fleet)


class TestRefillBucket:
    @given(st.floats(0.2, 1000.0), st.floats(0.0, 100.0))
    def test_holds_little_however_long_nobody_came(self, rate: float, seconds: float) -> None:
        """Guards against a burst that the endpoint does not take, after a pause."""
        bucket = refill_bucket(Bucket(0.0, 10.0), rate, 10.0 + seconds)
        assert bucket.tokens + 4.0 * rate <= 6.0 * rate + 5.0


class TestCallers:
    def test_returns_lie_within_the_time_that_a_caller_waits(self) -> None:
        random = Random(1)
        for _ in range(200):
            seconds = pick_limited_retry_after(20.0, 1.0, 40, 6.0, random)
            assert 1.0 <= seconds <= 2.0

    def test_returns_come_as_the_endpoints_take_requests(self) -> None:
        """Guards against callers who all return before the first of them has its turn."""
        random = Random(1)
        returns = sorted(pick_limited_retry_after(0.2, 50.0, 40, 6.0, random) for _ in range(200))
        assert returns[0] >= 0.2
        assert returns[-1] <= 0.2 + 40 / 50.0

    @pytest.mark.parametrize(
        ("wait", "verdict"),
        [(0.1, Verdict.QUEUE), (0.45, Verdict.QUEUE), (1.2, Verdict.QUEUE), (1.6, Verdict.REFUSE)],
    )
    def test_turn_that_comes_in_time_or_soon_enough_is_waited_for(
        self, wait: float, verdict: Verdict
    ) -> None:
        assert decide_limited_dispatch(wait, 0.1, 0.0, 0.0, 0.5, 6.0) is verdict

    def test_nobody_is_held_for_long_by_turns_that_never_come(self) -> None:
        """Guards against a request that is held until there is no time left to answer it."""
        held = 0.0
        while decide_limited_dispatch(0.1, 0.1, held, 0.0, 0.5, 6.0 - held) is Verdict.QUEUE:
            held += 0.05
        assert held <= 1.5
