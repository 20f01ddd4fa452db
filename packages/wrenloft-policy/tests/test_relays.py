"""Tests of who relays for a zone, and who reads the store."""

from math import inf

from hypothesis import given
from hypothesis import strategies as st

from wrenloft_policy import (
    RelayCandidate,
    assign_places,
    compute_frame_interval,
    compute_max_snapshot_age,
    count_unreachable,
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
        """Nodes list one another in any order and still agree on who relays."""
        shuffled = list(nodes)
        random.shuffle(shuffled)
        assert rank_relays(shuffled) == rank_relays(nodes)

    @given(candidates)
    def test_strongest_come_first(self, nodes: list[RelayCandidate]) -> None:
        """A relay works for its whole zone, so a host with more processor time does it."""
        cores = {each.node_id: each.cores for each in nodes}
        ranked = [cores[each] for each in rank_relays(nodes)]
        assert ranked == sorted(ranked, reverse=True)


REGIONS = {"a": "r1", "b": "r1", "c": "r2"}


class TestAssignPlaces:
    """Tests for ``assign_places``."""

    def test_zone_without_entry_nodes_is_followed_from_its_region(self) -> None:
        """All entry nodes of a zone are gone, its engines serve on.

        Nobody would tell of their load, and each node would go by its own sends.
        """
        assert assign_places(["a", "b", "c"], ["b", "c"], REGIONS) == {
            "a": "b",
            "b": "b",
            "c": "c",
        }

    def test_nobody_is_left(self) -> None:
        """Without any live entry node there is nothing to assign."""
        assert assign_places(["a"], [], REGIONS) == {}


class TestFrameInterval:
    """Tests for ``compute_frame_interval``."""

    @given(st.integers(1, 60))
    def test_frames_a_second_stay_bounded(self, followers: int) -> None:
        """A relay's part does not grow beyond its rate, however many nodes its zone has."""
        assert followers / compute_frame_interval(followers) <= 160.0001 or followers < 5


class TestReadPatience:
    """Tests for ``compute_max_snapshot_age``."""

    def test_relays_take_over_in_turn(self) -> None:
        """The first reads at its interval; the others later, each at another time."""
        patience = [compute_max_snapshot_age(0.8, rank) for rank in range(5)]
        assert patience[0] == 0.8
        assert patience == sorted(set(patience))
        assert patience[-1] <= 1.44
        assert compute_max_snapshot_age(0.8, None) == inf


class TestCountUnheard:
    """Tests for ``count_unreachable``."""

    def test_few_of_many_do_not_count(self) -> None:
        """One of 98 nodes is silent: the word of all others is better than older reports."""
        assert count_unreachable(98, 96) == 0
        assert count_unreachable(9, 7) == 1
        assert count_unreachable(98, 60) == 37
