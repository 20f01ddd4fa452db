"""Tests of what entry nodes tell one another of their requests in progress."""

import asyncio
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from wrenloft_core import (
    AgentId,
    ModelName,
    NodeId,
    PlaceName,
    RegionName,
    ServiceName,
    read_clock,
)
from wrenloft_policy import EngineProfile
from wrenloft_routing import (
    BackendService,
    Endpoint,
    Endpoints,
    EngineReport,
    Gate,
    InProgress,
    LoadUpdate,
    PeerLoads,
    Placed,
    PlacementRequest,
    QueueLength,
)

ENGINE = AgentId("e")
SERVICE = ServiceName("s")
MODEL = ModelName("m")
PROFILE = EngineProfile(16, 6, 0.00673, 0.00002, 30600.0, 2048, 977, 120)
BACKEND = BackendService(SERVICE, 10, PROFILE, MODEL, layers=16)
NODES = [NodeId("n1"), NodeId("n2"), NodeId("n3")]

loads = st.builds(
    InProgress,
    unread=st.integers(0, 9),
    unread_tokens=st.integers(0, 9000),
    running=st.integers(0, 16),
)


class TestPeerLoads:
    """Tests for ``PeerLoads``."""

    @given(st.lists(st.tuples(st.sampled_from(NODES), loads), max_size=12))
    def test_sum_is_of_the_last_word_of_each(
        self, updates: list[tuple[NodeId, InProgress]]
    ) -> None:
        """However often nodes speak, each counts once, with what it said last."""
        others = PeerLoads()
        for node, load in updates:
            others.record(node, LoadUpdate({ENGINE: load}, {}), 0.0)
        last = dict(updates)
        total = sum(last.values(), InProgress())
        assert others.at(ENGINE) == total

    def test_silent_node_stops_counting(self) -> None:
        """A node dies with 16 requests at an engine, which drops them.

        Counted for ever, the engine would look full to all others, and callers would be refused.
        """
        others = PeerLoads()
        others.record(NODES[0], LoadUpdate({ENGINE: InProgress(running=16)}, {}), 100.0)
        others.record(NODES[1], LoadUpdate({ENGINE: InProgress(running=2)}, {}), 100.9)
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
        endpoints.peer_loads.record(
            NODES[0], LoadUpdate({ENGINE: InProgress(5, 6000, 8)}, {}), 100.0
        )
        state.add_load(InProgress(unread=1, unread_tokens=500))
        load = endpoints.measure_load(state, 100.0, all_reachable=True)
        assert (load.running, load.waiting, load.unread_tokens) == (8, 6, 6500)

    def test_report_counts_while_a_node_is_not_heard(self) -> None:
        """A node that is cut off from the others goes on sending; the engine knows of those."""
        endpoints = self._endpoints()
        (state,) = endpoints.of_service(ServiceName("s"))
        endpoints.record_report("e:1", EngineReport(12, 3, 1, False, 1.0), 100.0)
        endpoints.peer_loads.record(
            NODES[0], LoadUpdate({ENGINE: InProgress(running=5)}, {}), 100.0
        )
        load = endpoints.measure_load(state, 100.0, all_reachable=False)
        assert (load.running, load.waiting) == (12, 3)


class TestContention:
    """Tests of many requests at many nodes that wait for the same few places."""

    NODES = 9
    WAITING = 4

    @classmethod
    def _gates(cls) -> list[Gate]:
        """Build nodes that have heard of one another's queues, and see one idle engine."""
        names = [NodeId(f"n{number}") for number in range(cls.NODES)]
        gates = []
        for own in names:
            endpoints = Endpoints(PlaceName("p"), RegionName("r"))
            endpoint = Endpoint(
                ENGINE, SERVICE, "e:1", PlaceName("p"), RegionName("r"), 16, versions={MODEL: 1}
            )
            endpoints.update([endpoint], trusted=True)
            for other in names:
                if other != own:
                    queue = {SERVICE: QueueLength(fresh=cls.WAITING)}
                    endpoints.peer_loads.record(other, LoadUpdate({}, queue), read_clock())
            gates.append(
                Gate(
                    endpoints,
                    Random(own),
                    8.0,
                    lambda: cls.NODES,
                    update_interval=lambda: 10.0,
                )
            )
        return gates

    @staticmethod
    def _ask(spent: float = 0.0) -> PlacementRequest:
        now = read_clock()
        return PlacementRequest(
            BACKEND, 1, 1000.0, now, spent, latency_objective=0.4, deadline=now + 6.0
        )

    async def test_engine_that_is_back_is_not_flooded(self) -> None:
        """An engine is back while 36 requests wait at nine nodes, which all see it idle.

        Each node counts its own sends only, and two or three a node look harmless; 21 of them
        within a twentieth of a second had a third of their answers in time. Now about as many go
        as there is room for, and the others stay in line until the nodes have heard.
        """
        sent = 0
        for gate in self._gates():
            asks = [self._ask() for _ in range(self.WAITING)]
            tasks = [asyncio.create_task(gate.place(each, ())) for each in asks]
            await asyncio.sleep(0.02)
            sent += sum(task.done() and isinstance(task.result(), Placed) for task in tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        assert 3 <= sent <= 14

    async def test_late_request_waits_while_another_node_has_fresh_ones(self) -> None:
        """An engine is back; here a caller waits who was refused before, elsewhere fresh ones.

        Its answer is late whenever it comes, so the place goes to those that can be in time.
        """
        gate = self._gates()[0]
        task = asyncio.create_task(gate.place(self._ask(spent=1.5), ()))
        await asyncio.sleep(0.05)
        assert not task.done()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_stream_that_goes_on_elsewhere_does_not_wait(self) -> None:
        """Its caller has part of the answer and counts the pause."""
        ask = self._ask()
        ask.begun = True
        async with asyncio.timeout(1.0):
            assert isinstance(await self._gates()[0].place(ask, ()), Placed)
