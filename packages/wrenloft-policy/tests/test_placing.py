"""Tests of placement, swarm, entry lists and ownership."""

from collections import Counter
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from wrenloft_core import AgentId, ModelName, NodeId, PlaceName, RegionName, ShardNumber
from wrenloft_policy import (
    EntryNode,
    Host,
    NeighbourSource,
    choose_chunk,
    choose_entries,
    choose_hosts,
    choose_owner,
    grant_permits,
    pick_neighbours,
)
from wrenloft_standins.strategies import host_lists

_MODEL = ModelName("majster-llm")
_REGION = RegionName("liptov")


class TestChooseHosts:
    """Tests for ``choose_hosts``."""

    @given(host_lists, st.integers(0, 8))
    def test_spreads_over_places_and_leaves_out_the_leaving(
        self, hosts: list[Host], replicas: int
    ) -> None:
        """As many as wanted or possible, none that leaves, places as even as they allow."""
        placed = choose_hosts(_MODEL, {}, replicas, hosts)
        staying = {each.agent_id: each for each in hosts if not each.leaving}
        assert len(placed) == min(replicas, len(staying))
        assert {each.agent_id for each in placed} <= staying.keys()
        counts = Counter(staying[each.agent_id].place for each in placed)
        available = Counter(each.place for each in staying.values())
        for place, count in counts.items():
            for other, total in available.items():
                assert count <= counts[other] + 1 or counts[other] == total, place

    @given(host_lists, st.integers(1, 6))
    def test_moves_nothing_when_a_host_that_serves_not_comes(
        self, hosts: list[Host], replicas: int
    ) -> None:
        """Placing again with the chosen ones serving chooses the same ones."""
        chosen = {each.agent_id for each in choose_hosts(_MODEL, {}, replicas, hosts)}
        settled = [
            Host(
                each.agent_id,
                each.place,
                each.labels,
                each.leaving,
                serves=each.agent_id in chosen,
            )
            for each in hosts
        ]
        again = {each.agent_id for each in choose_hosts(_MODEL, {}, replicas, settled)}
        assert again == chosen


class TestGrantPermits:
    """Tests for ``grant_permits``."""

    @given(st.integers(1, 200), st.integers(1, 30))
    def test_grants_each_chunk_once_at_the_pace_of_the_link(
        self, chunk_count: int, host_count: int
    ) -> None:
        """No chunk leaves the origin twice, and the permits never ask for more than it carries."""
        hosts = [AgentId(f"a{number}") for number in range(host_count)]
        sizes = [100] * chunk_count
        permits = grant_permits(range(chunk_count), sizes, hosts, origin_rate=1000.0)
        granted = sorted(
            (each.not_before, each.chunk) for given in permits.values() for each in given
        )
        assert [chunk for _, chunk in granted] == list(range(chunk_count))
        assert all(abs(at - index * 0.1) < 1e-6 for index, (at, _) in enumerate(granted))

    def test_gives_a_second_copy_to_another_host_and_later(self) -> None:
        """Where time weighs more, the idle origin sends chunks again, after all first copies."""
        hosts = [AgentId(f"a{number}") for number in range(4)]
        permits = grant_permits(range(8), [100] * 8, hosts, origin_rate=1000.0, copies=2)
        by_chunk: dict[int, list[tuple[float, str]]] = {}
        for host, granted in permits.items():
            for each in granted:
                by_chunk.setdefault(each.chunk, []).append((each.not_before, host))
        for copies in by_chunk.values():
            (first, one), (second, other) = sorted(copies)
            assert one != other
            assert first < 0.75 < second


class TestChooseChunk:
    """Tests for ``choose_chunk``."""

    def test_takes_the_rarest_from_the_idlest(self) -> None:
        """A chunk that only one neighbour has is fetched before it can be lost with it."""
        sources = [
            NeighbourSource(AgentId("a"), {1, 2}, busy=1, distance=0),
            NeighbourSource(AgentId("b"), {1}, busy=0, distance=0),
            NeighbourSource(AgentId("c"), {1}, busy=0, distance=2),
        ]
        assert choose_chunk([1, 2], sources, Random(1), 2) == (2, "a")
        assert choose_chunk([1], sources, Random(1), 2) == (1, "b")

    def test_waits_when_all_sources_are_busy(self) -> None:
        """No source gets more than its share of this host's requests."""
        sources = [NeighbourSource(AgentId("a"), {1}, busy=2, distance=0)]
        assert choose_chunk([1], sources, Random(1), 2) is None


class TestPickNeighbours:
    """Tests for ``pick_neighbours``."""

    def test_is_bounded_and_keeps_the_swarm_connected(self) -> None:
        """With 1,300 hosts in 13 places each has few neighbours, and all can be reached."""
        places = {
            AgentId(f"a{number}"): (PlaceName(f"p{number % 13}"), RegionName(f"r{number % 6}"))
            for number in range(1300)
        }
        neighbours = {each: pick_neighbours(each, places) for each in list(places)[:40]}
        assert all(len(each) == 16 for each in neighbours.values())
        seen = {AgentId("a0")}
        edge = list(seen)
        while edge:
            found = {other for each in edge for other in pick_neighbours(each, places)} - seen
            seen |= found
            edge = list(found)[:60]
        assert len(seen) > 1000


class TestChooseEntries:
    """Tests for ``choose_entries``."""

    def test_gives_callers_different_orders_near_first(self) -> None:
        """No node is everyone's first; draining ones are left out, suspected ones come last."""
        nodes = [
            EntryNode(NodeId(f"n{number}"), f"n{number}", PlaceName(f"p{number % 3}"), _REGION)
            for number in range(9)
        ]
        nodes.append(EntryNode(NodeId("d"), "d", PlaceName("p0"), _REGION, draining=True))
        nodes.append(EntryNode(NodeId("s"), "s", PlaceName("p0"), _REGION, suspected=True))
        orders = [
            [each.address for each in choose_entries(f"c{n}", nodes, PlaceName("p0"), _REGION)]
            for n in range(60)
        ]
        assert {order[0] for order in orders} == {"n0", "n3", "n6"}
        assert all("d" not in order and order[-1] == "s" for order in orders)

    def test_a_node_that_is_cut_off_still_gives_addresses(self) -> None:
        """It suspects everybody; its callers are told to use it, and the others after it."""
        nodes = [
            EntryNode(NodeId("own"), "own", PlaceName("p"), _REGION),
            EntryNode(NodeId("far"), "far", PlaceName("p"), _REGION, suspected=True),
        ]
        listed = choose_entries("c", nodes, PlaceName("p"), _REGION)
        assert [each.address for each in listed] == ["own", "far"]


class TestChooseOwner:
    """Tests for ``choose_owner``."""

    def test_moves_only_the_shards_of_the_node_that_left(self) -> None:
        """The death of one node leaves the shards of all others where they are."""
        nodes = [NodeId(f"n{number}") for number in range(9)]
        for value in range(64):
            shard = ShardNumber(value)
            before = choose_owner(shard, nodes)
            after = choose_owner(shard, nodes[1:])
            assert before == nodes[0] or before == after
