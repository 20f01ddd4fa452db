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
    def test_spreads_over_places_and_excludes_leaving_hosts(
        self, hosts: list[Host], replicas: int
    ) -> None:
        """Chooses as many hosts as wanted or possible, none that leaves, spread evenly."""
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
    def test_chooses_the_same_hosts_again(self, hosts: list[Host], replicas: int) -> None:
        """Guards against moving replicas when their hosts serve and the others do not."""
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
    def test_grants_each_chunk_once_at_the_rate_of_the_link(
        self, chunk_count: int, host_count: int
    ) -> None:
        """No chunk leaves the origin twice, and permits do not exceed the rate of its link."""
        hosts = [AgentId(f"a{number}") for number in range(host_count)]
        sizes = [100] * chunk_count
        permits = grant_permits(range(chunk_count), sizes, hosts, origin_rate=1000.0)
        granted = sorted(
            (each.not_before, each.chunk) for given in permits.values() for each in given
        )
        assert [chunk for _, chunk in granted] == list(range(chunk_count))
        assert all(abs(at - index * 0.1) < 1e-6 for index, (at, _) in enumerate(granted))

    def test_second_copy_goes_to_another_host_later(self) -> None:
        """Second copies leave the origin after all first copies, to other hosts."""
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

    def test_chooses_the_rarest_chunk_from_the_least_busy_source(self) -> None:
        """Guards against losing a chunk with the only neighbour that stores it."""
        sources = [
            NeighbourSource(AgentId("a"), {1, 2}, busy=1, distance=0),
            NeighbourSource(AgentId("b"), {1}, busy=0, distance=0),
            NeighbourSource(AgentId("c"), {1}, busy=0, distance=2),
        ]
        assert choose_chunk([1, 2], sources, Random(1), 2) == (2, "a")
        assert choose_chunk([1], sources, Random(1), 2) == (1, "b")

    def test_waits_when_all_sources_are_busy(self) -> None:
        """No source gets more concurrent requests of this host than its limit."""
        sources = [NeighbourSource(AgentId("a"), {1}, busy=2, distance=0)]
        assert choose_chunk([1], sources, Random(1), 2) is None


class TestPickNeighbours:
    """Tests for ``pick_neighbours``."""

    def test_is_bounded_and_keeps_the_swarm_connected(self) -> None:
        """With 1,300 hosts in 13 places, each has few neighbours and over 1,000 are reachable."""
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

    def test_order_differs_by_caller_with_near_nodes_first(self) -> None:
        """No node is first for all callers; draining ones are excluded, suspected ones last."""
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

    def test_partitioned_node_still_lists_others(self) -> None:
        """A node that suspects all others lists itself first and the others after it."""
        nodes = [
            EntryNode(NodeId("own"), "own", PlaceName("p"), _REGION),
            EntryNode(NodeId("far"), "far", PlaceName("p"), _REGION, suspected=True),
        ]
        listed = choose_entries("c", nodes, PlaceName("p"), _REGION)
        assert [each.address for each in listed] == ["own", "far"]


class TestChooseOwner:
    """Tests for ``choose_owner``."""

    def test_moves_only_the_shards_of_the_node_that_left(self) -> None:
        """The shards of all other nodes stay where they are when one node fails."""
        nodes = [NodeId(f"n{number}") for number in range(9)]
        for value in range(64):
            shard = ShardNumber(value)
            before = choose_owner(shard, nodes)
            after = choose_owner(shard, nodes[1:])
            assert before == nodes[0] or before == after
