"""Tests of what entry nodes tell one another of their requests in progress."""

from hypothesis import given
from hypothesis import strategies as st

from wrenloft_core import AgentId, NodeId, PlaceName, RegionName, ServiceName
from wrenloft_routing import Endpoint, Endpoints, EngineReport, InProgress, OtherNodes

ENGINE = AgentId("e")
NODES = [NodeId("n1"), NodeId("n2"), NodeId("n3")]

loads = st.builds(
    InProgress,
    unread=st.integers(0, 9),
    unread_tokens=st.integers(0, 9000),
    running=st.integers(0, 16),
)


class TestOtherNodes:
    """Tests for ``OtherNodes``."""

    @given(st.lists(st.tuples(st.sampled_from(NODES), loads), max_size=12))
    def test_sum_is_of_the_last_word_of_each(self, words: list[tuple[NodeId, InProgress]]) -> None:
        """However often nodes speak, each counts once, with what it said last."""
        others = OtherNodes()
        for node, load in words:
            others.record(node, {ENGINE: load}, 0.0)
        last = dict(words)
        total = sum(last.values(), InProgress())
        assert others.at(ENGINE) == total

    def test_silent_node_stops_counting(self) -> None:
        """A node dies with 16 requests at an engine, which drops them.

        Counted for ever, the engine would look full to all others, and callers would be refused.
        """
        others = OtherNodes()
        others.record(NODES[0], {ENGINE: InProgress(running=16)}, 100.0)
        others.record(NODES[1], {ENGINE: InProgress(running=2)}, 100.9)
        others.drop_silent(101.5)
        assert (others.at(ENGINE).running, others.count_heard()) == (2, 1)


class TestMeasure:
    """Tests for ``Endpoints.measure`` with other nodes' word."""

    @staticmethod
    def _endpoints() -> Endpoints:
        endpoints = Endpoints(PlaceName("p"), RegionName("r"))
        endpoint = Endpoint(
            ENGINE, ServiceName("s"), "e:1", PlaceName("p"), RegionName("r"), slots=16
        )
        endpoints.update([endpoint], trusted=True)
        return endpoints

    def test_requests_of_other_nodes_show_before_any_report(self) -> None:
        """Few engines are back after a loss of power, and every node finds the same one idle.

        Its report is as old as a first event may take. Nine nodes that go by it send it 65
        requests within a second, and nearly all of their answers are late.
        """
        endpoints = self._endpoints()
        (state,) = endpoints.of_service(ServiceName("s"))
        endpoints.record_report("e:1", EngineReport(0, 0, 1, False, 1.0), 100.0)
        endpoints.others.record(NODES[0], {ENGINE: InProgress(5, 6000, 8)}, 100.0)
        state.change(InProgress(unread=1, unread_tokens=500))
        load = endpoints.measure(state, 100.0, all_heard=True)
        assert (load.running, load.waiting, load.unread_tokens) == (8, 6, 6500)

    def test_report_counts_while_a_node_is_not_heard(self) -> None:
        """A node that is cut off from the others goes on sending; the engine knows of those."""
        endpoints = self._endpoints()
        (state,) = endpoints.of_service(ServiceName("s"))
        endpoints.record_report("e:1", EngineReport(12, 3, 1, False, 1.0), 100.0)
        endpoints.others.record(NODES[0], {ENGINE: InProgress(running=5)}, 100.0)
        load = endpoints.measure(state, 100.0, all_heard=False)
        assert (load.running, load.waiting) == (12, 3)
