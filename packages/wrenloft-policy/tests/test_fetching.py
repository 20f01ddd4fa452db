"""Tests of which chunk an agent fetches next, and from whom."""

from random import Random

from wrenloft_policy import (
    ChunkSource,
    choose_fetch,
    compute_lateness,
    compute_origin_timeout,
    list_origin_fetchers,
)

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
    pick = choose_fetch(
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
    return None if pick is None else (pick.chunk, pick.address)


class TestChooseFetch:
    """Tests for ``choose_fetch``."""

    def test_origin_goes_before_neighbours(self) -> None:
        """A chunk that nobody holds is fetched first: all others wait for it."""
        sources = [ChunkSource(NEAR[1], 0b0111, 0, same_region=True)]
        assert _choose(sources, [0, 1, 2, 3]) == (3, None)

    def test_feeder_leaves_its_link_to_the_origin(self) -> None:
        """The origin goes away two seconds after a version was named, with chunks still in it.

        Nobody can finish until it is back. A feeder whose fetches there are all under way waits
        for the next of them and takes no neighbour's chunk, unless the origin has fallen silent.
        """
        sources = [ChunkSource(NEAR[1], 0b0111, 0, same_region=True)]
        assert _choose(sources, [0, 3], free=False, first=True) is None
        assert _choose(sources, [0, 3], free=False, first=False) == (0, NEAR[1])
        assert _choose(sources, [0, 1], free=False, first=True) is not None

    def test_rarest_near_chunk_is_taken(self) -> None:
        """Of what the region holds, the chunk with the fewest holders comes first."""
        sources = [
            ChunkSource(NEAR[1], 0b011, 0, same_region=True),
            ChunkSource("10.1.0.3:1", 0b001, 0, same_region=True),
        ]
        assert _choose(sources, [0, 1]) == (1, NEAR[1])

    def test_far_chunk_is_brought_over_in_turn(self) -> None:
        """One agent of the region brings a chunk over; the other waits, then takes its turn."""
        sources = [ChunkSource(FAR[0], 0b1, 0, same_region=False)]
        assert _choose(sources, [0], own=NEAR[0]) == (0, FAR[0])
        assert _choose(sources, [0], own=NEAR[1]) is None
        assert _choose(sources, [0], own=NEAR[1], waited=3.0) == (0, FAR[0])

    def test_busy_near_holder_keeps_a_chunk_from_crossing(self) -> None:
        """A neighbour that is busy for a moment still holds its chunks."""
        sources = [
            ChunkSource(NEAR[1], 0b1, 2, same_region=True),
            ChunkSource(FAR[0], 0b1, 0, same_region=False),
        ]
        assert _choose(sources, [0]) is None

    def test_starving_agent_ignores_turns(self) -> None:
        """With nothing coming for seconds, better twice than never."""
        assert _choose([], [0], own=NEAR[1], origin=[NEAR[0]]) is None
        assert _choose([], [0], own=NEAR[1], origin=[NEAR[0]], idle=1.5) == (0, None)

    def test_origin_gives_a_rare_chunk_twice(self) -> None:
        """Once all chunks have left the origin, its idle link relieves its region's uplinks."""
        sources = [
            ChunkSource(NEAR[1], 0b11, 0, same_region=True),
            ChunkSource("10.1.0.3:1", 0b01, 0, same_region=True),
            ChunkSource("10.1.0.4:1", 0b01, 0, same_region=True),
        ]
        assert _choose(sources, [0, 1], repeats=True) == (1, None)
        assert _choose(sources, [0], repeats=True) != (0, None)

    def test_chunk_is_left_to_the_agent_whose_turn_it_is(self) -> None:
        """Fetched by everybody who lacks it, a chunk would leave the origin many times."""
        assert _choose([], [0], own=NEAR[1], origin=[NEAR[0]]) is None
        assert _choose([], [0], own=NEAR[1], origin=[NEAR[1]]) == (0, None)

    def test_chunk_waits_for_the_region_that_relays_it(self) -> None:
        """What another region is to bring nearer is not fetched from the origin's region yet."""
        sources = [ChunkSource(FAR[0], 0b1, 0, same_region=False)]
        assert _choose(sources, [0], own=NEAR[0], crosses=False) is None


class TestListFeeders:
    """Tests for ``list_origin_fetchers``."""

    def test_few_fetch_while_chunks_are_not_late(self) -> None:
        """Four of many ask the origin, which accepts few connections."""
        members = [f"a{number:02}" for number in range(14)]
        first = list_origin_fetchers(members, 0.0)
        assert len(first) == len(set(first)) == 4

    def test_late_chunks_are_everybody_s_and_pass_on(self) -> None:
        """A feeder is dead, or the origin was away and 25 chunks are still in it.

        All agents share them out, each chunk one agent's; after a while it is another's, so that
        no dead agent keeps a chunk from the others.
        """
        members = [f"a{number:02}" for number in range(14)]
        owners = [list_origin_fetchers(members, late) for late in (0.1, 1.6, 3.1)]
        assert all(sorted(each) == members for each in owners)
        for chunk in range(64):
            turns = [each[chunk % len(each)] for each in owners]
            assert len(set(turns)) == len(turns)

    def test_small_swarms_all_feed(self) -> None:
        """Two agents are two feeders."""
        assert set(list_origin_fetchers(["a", "b"], 0.0)) == {"a", "b"}


class TestLateness:
    """Tests for ``compute_lateness`` and ``compute_origin_timeout``."""

    def test_chunks_are_not_late_while_the_origin_is_drained(self) -> None:
        """The origin's link needs 2.8 s for a version, and a chunk leaves it every 0.05 s.

        Taken for late after a second, what the feeders had on their way was fetched again by
        others, and the origin went away before a quarter of the chunks had left it.
        """
        assert compute_lateness(age=2.5, stalled=0.3, drain_seconds=2.8) == 0.0
        assert compute_lateness(age=5.0, stalled=0.3, drain_seconds=2.8) > 1.0

    def test_dead_feeders_are_replaced(self) -> None:
        """The agents whose turn it is die: nobody gets anything, and turns pass on."""
        assert compute_lateness(age=2.0, stalled=1.8, drain_seconds=4.3) > 0.0

    def test_not_everybody_asks_when_the_origin_is_back(self) -> None:
        """It was away for seconds and no agent got a chunk; 35 of them would draw one each."""
        patience = [compute_origin_timeout(rank) for rank in range(35)]
        assert sum(each < 2.0 for each in patience) <= 5
        assert patience == sorted(patience)
