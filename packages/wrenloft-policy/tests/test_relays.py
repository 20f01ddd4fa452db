"""Tests of the choice of relays and of the nodes that read the store."""

from math import inf
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wrenloft_policy import (
    DIRECT_READ_INTERVALS,
    DIRECT_READ_SPREAD_SECONDS,
    RelayCandidate,
    assign_places,
    compute_frame_interval,
    compute_max_snapshot_age,
    count_unreachable,
    pick_direct_read_wait,
    rank_relays,
)

candidates = st.lists(
    st.builds(
        RelayCandidate,
        node_id=st.text(min_size=1, max_size=6),
        cores=st.sampled_from([1.0, 2.0]),
    ),
    unique_by=lambda each: each.node_id,
    max_size=12,
)


class TestRankRelays:
    """Tests for ``rank_relays``."""

    @given(candidates, st.randoms())
    def test_order_is_the_same_at_every_node(self, nodes: list[RelayCandidate], random) -> None:
        """Nodes agree on the relay whatever order they list the nodes in."""
        shuffled = list(nodes)
        random.shuffle(shuffled)
        assert rank_relays(shuffled) == rank_relays(nodes)

    @given(candidates)
    def test_nodes_with_most_cores_come_first(self, nodes: list[RelayCandidate]) -> None:
        """A relay works for its whole zone, so hosts with more processor time come first."""
        cores = {each.node_id: each.cores for each in nodes}
        ranked = [cores[each] for each in rank_relays(nodes)]
        assert ranked == sorted(ranked, reverse=True)


REGIONS = {"a": "r1", "b": "r1", "c": "r2"}


class TestAssignPlaces:
    """Tests for ``assign_places``."""

    def test_zone_without_entry_nodes_is_assigned_within_its_region(self) -> None:
        """Guards against engines whose load is not published once their zone has no entry node.

        Each node would then only know the requests that it sent itself.
        """
        assert assign_places(["a", "b", "c"], ["b", "c"], REGIONS) == {
            "a": "b",
            "b": "b",
            "c": "c",
        }

    def test_no_live_entry_node(self) -> None:
        """Without a live entry node there is nothing to assign."""
        assert assign_places(["a"], [], REGIONS) == {}


class TestFrameInterval:
    """Tests for ``compute_frame_interval``."""

    @given(st.integers(1, 60))
    def test_frames_a_second_are_bounded(self, subscribers: int) -> None:
        """A relay's frame rate has a limit, however many nodes its zone has."""
        assert subscribers / compute_frame_interval(subscribers) <= 160.0001 or subscribers < 5


class TestMaxSnapshotAge:
    """Tests for ``compute_max_snapshot_age``."""

    def test_relays_take_over_in_turn(self) -> None:
        """The first relay reads at its interval; the others later, each at a different age."""
        ages = [compute_max_snapshot_age(0.8, rank) for rank in range(5)]
        assert ages[0] == 0.8
        assert ages == sorted(set(ages))
        assert ages[-1] <= 1.44
        assert compute_max_snapshot_age(0.8, None) == inf


class TestDirectReads:
    """Tests of the reads of nodes that relay for no zone."""

    @pytest.mark.parametrize("nodes", [3, 6, 16])
    def test_every_node_reads_in_time_if_all_relays_are_cut_off(self, nodes: int) -> None:
        """Guards against a change of the configuration that is not in force within its bound."""
        interval, bound, read = 0.8, 2.0, 0.05
        age = DIRECT_READ_INTERVALS * interval
        for rank in range(nodes):
            wait = pick_direct_read_wait(
                rank, nodes, reads=0, failures=0, max_age=age, random=Random(rank)
            )
            assert compute_max_snapshot_age(interval, 2) < age
            assert age + wait + read <= bound

    @pytest.mark.parametrize("nodes", [3, 20, 72])
    def test_reads_of_a_zone_are_bounded(self, nodes: int) -> None:
        """Guards against the calls of every node while the store is down, or for long."""
        random, age = Random(1), DIRECT_READ_INTERVALS * 0.8

        def measure_rate(failures: int, pause: float) -> float:
            waits = [
                pick_direct_read_wait(
                    1, nodes, reads=1, failures=failures, max_age=age, random=random
                )
                for _ in range(2000)
            ]
            return nodes / (pause + sum(waits) / len(waits))

        first = [
            pick_direct_read_wait(rank, nodes, reads=0, failures=0, max_age=age, random=random)
            for rank in range(nodes)
        ]
        assert sum(each <= DIRECT_READ_SPREAD_SECONDS for each in first) <= 20
        assert measure_rate(1, 0.0) < 1.1
        assert measure_rate(0, age) < 3.3


class TestCountUnreachable:
    """Tests for ``count_unreachable``."""

    def test_few_of_many_do_not_count(self) -> None:
        """With one of 98 nodes unreachable, the updates of the others beat older reports."""
        assert count_unreachable(98, 96) == 0
        assert count_unreachable(9, 7) == 1
        assert count_unreachable(98, 60) == 37
