"""Tests of the choice of the next chunk and of its source."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from wrenloft_policy import (
    ChunkSource,
    choose_fetch,
    compute_lateness,
    compute_origin_timeout,
    list_origin_fetchers,
)
from wrenloft_policy._fetching import _count_holders

NEAR = ["10.1.0.1:1", "10.1.0.2:1"]
FAR = ["10.2.0.1:1"]


def _choose(
    sources: list[ChunkSource],
    missing: list[int],
    *,
    own: str = NEAR[0],
    waited: float = 0.0,
    idle: float = 0.0,
    origin: list[str] | None = None,
    crosses: bool = True,
    repeats: bool = False,
    free: bool = True,
    first: bool = False,
) -> tuple[int, str | None] | None:
    fetch = choose_fetch(
        missing,
        sources,
        own,
        lambda _: NEAR,
        lambda _: origin if origin is not None else [own],
        lambda _: crosses,
        dict.fromkeys(missing, waited),
        idle,
        free,
        first,
        repeats,
        Random(1),
        2,
    )
    return None if fetch is None else (fetch.chunk, fetch.address)


@given(st.lists(st.integers(0, 2**12 - 1), max_size=20))
def test_holders_are_counted_for_each_chunk(bitmaps: list[int]) -> None:
    """The rarest chunk goes first, so a wrong count would delay a version everywhere."""
    sources = [ChunkSource(f"{n}", bitmap, 0, True) for n, bitmap in enumerate(bitmaps)]
    counts = _count_holders(range(12), sources)
    assert counts == {n: sum(each >> n & 1 for each in bitmaps) for n in range(12)}


class TestChooseFetch:
    """Tests for ``choose_fetch``."""

    def test_origin_comes_before_neighbours(self) -> None:
        """A chunk that nobody stores is fetched first, because all others wait for it."""
        sources = [ChunkSource(NEAR[1], 0b0111, 0, same_region=True)]
        assert _choose(sources, [0, 1, 2, 3]) == (3, None)

    def test_origin_fetcher_reserves_its_link_for_the_origin(self) -> None:
        """Guards against chunks that no agent has when the origin becomes unavailable.

        An agent whose fetches from the origin are all in progress waits for the next of them and
        takes no neighbour's chunk, unless the origin has stopped responding.
        """
        sources = [ChunkSource(NEAR[1], 0b0111, 0, same_region=True)]
        assert _choose(sources, [0, 3], free=False, first=True) is None
        assert _choose(sources, [0, 3], free=False, first=False) == (0, NEAR[1])
        assert _choose(sources, [0, 1], free=False, first=True) is not None

    def test_rarest_chunk_of_the_region_comes_first(self) -> None:
        """Of the chunks that the region stores, the one with the fewest sources comes first."""
        sources = [
            ChunkSource(NEAR[1], 0b011, 0, same_region=True),
            ChunkSource("10.1.0.3:1", 0b001, 0, same_region=True),
        ]
        assert _choose(sources, [0, 1]) == (1, NEAR[1])

    def test_chunk_of_another_region_is_fetched_in_turn(self) -> None:
        """One agent of the region fetches a chunk; the other waits, then takes its turn."""
        sources = [ChunkSource(FAR[0], 0b1, 0, same_region=False)]
        assert _choose(sources, [0], own=NEAR[0]) == (0, FAR[0])
        assert _choose(sources, [0], own=NEAR[1]) is None
        assert _choose(sources, [0], own=NEAR[1], waited=3.0) == (0, FAR[0])

    def test_busy_source_in_the_region_prevents_a_crossing(self) -> None:
        """A chunk of a neighbour that is busy is not fetched from another region."""
        sources = [
            ChunkSource(NEAR[1], 0b1, 2, same_region=True),
            ChunkSource(FAR[0], 0b1, 0, same_region=False),
        ]
        assert _choose(sources, [0]) is None

    def test_idle_agent_ignores_turns(self) -> None:
        """An agent that has received nothing for a while fetches a second copy."""
        assert _choose([], [0], own=NEAR[1], origin=[NEAR[0]]) is None
        assert _choose([], [0], own=NEAR[1], origin=[NEAR[0]], idle=1.5) == (0, None)

    def test_rare_chunk_is_fetched_from_the_origin_again(self) -> None:
        """Once all chunks have left the origin, its link relieves the uplinks of its region."""
        sources = [
            ChunkSource(NEAR[1], 0b11, 0, same_region=True),
            ChunkSource("10.1.0.3:1", 0b01, 0, same_region=True),
            ChunkSource("10.1.0.4:1", 0b01, 0, same_region=True),
        ]
        assert _choose(sources, [0, 1], repeats=True) == (1, None)
        assert _choose(sources, [0], repeats=True) != (0, None)

    def test_chunk_is_left_to_the_agent_whose_turn_it_is(self) -> None:
        """Guards against a chunk that leaves the origin once for each agent that lacks it."""
        assert _choose([], [0], own=NEAR[1], origin=[NEAR[0]]) is None
        assert _choose([], [0], own=NEAR[1], origin=[NEAR[1]]) == (0, None)

    def test_chunk_waits_until_it_may_cross(self) -> None:
        """A chunk that another region is to fetch first is not fetched from the origin's region."""
        sources = [ChunkSource(FAR[0], 0b1, 0, same_region=False)]
        assert _choose(sources, [0], own=NEAR[0], crosses=False) is None


class TestListOriginFetchers:
    """Tests for ``list_origin_fetchers``."""

    def test_few_fetch_while_chunks_are_not_late(self) -> None:
        """Only four of many agents use the origin, which accepts few connections."""
        members = [f"a{number:02}" for number in range(14)]
        first = list_origin_fetchers(members, 0.0)
        assert len(first) == len(set(first)) == 4

    def test_late_chunks_are_divided_among_all_and_pass_on(self) -> None:
        """Guards against a dead agent that keeps a late chunk from the others.

        Chunks are late because a fetcher is dead or the origin was unavailable. Each belongs to one
        of all agents, and after a while to another.
        """
        members = [f"a{number:02}" for number in range(14)]
        turns = [list_origin_fetchers(members, late) for late in (0.1, 1.6, 3.1)]
        assert all(sorted(each) == members for each in turns)
        for chunk in range(64):
            fetchers = [each[chunk % len(each)] for each in turns]
            assert len(set(fetchers)) == len(fetchers)

    def test_all_agents_of_a_small_swarm_fetch(self) -> None:
        """With two agents, both fetch from the origin."""
        assert set(list_origin_fetchers(["a", "b"], 0.0)) == {"a", "b"}


class TestLateness:
    """Tests for ``compute_lateness`` and ``compute_origin_timeout``."""

    def test_chunks_are_not_late_while_the_origin_is_drained(self) -> None:
        """Guards against second copies of chunks that are still in transfer from the origin.

        Its link needs 2.8 s for a version. If chunks were late after a second, other agents would
        fetch them again, which delays those that have not left the origin.
        """
        assert compute_lateness(age=2.5, stalled=0.3, drain_seconds=2.8) == 0.0
        assert compute_lateness(age=5.0, stalled=0.3, drain_seconds=2.8) > 1.0

    def test_dead_fetchers_are_replaced(self) -> None:
        """Turns pass on if the agents whose turn it is are dead and no new chunk arrives."""
        assert compute_lateness(age=2.0, stalled=1.8, drain_seconds=4.3) > 0.0

    def test_agents_use_a_recovered_origin_at_different_times(self) -> None:
        """Guards against 35 agents that all fetch from the origin when it recovers."""
        timeouts = [compute_origin_timeout(rank) for rank in range(35)]
        assert sum(each < 2.0 for each in timeouts) <= 5
        assert timeouts == sorted(timeouts)
