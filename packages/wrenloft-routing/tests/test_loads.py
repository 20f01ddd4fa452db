"""Tests of the load updates between entry nodes."""

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
    def test_sum_counts_last_update_of_each_node(
        self, updates: list[tuple[NodeId, InProgress]]
    ) -> None:
        """However many updates a node sends, only its last one is counted."""
        peers = PeerLoads()
        for node, load in updates:
            peers.record(node, LoadUpdate({ENGINE: load}, {}), 0.0)
        last = dict(updates)
        total = sum(last.values(), InProgress())
        assert peers.get_load(ENGINE) == total

    def test_expired_node_is_not_counted(self) -> None:
        """The load of a dead node would count for ever.

        A node dies with 16 requests at an engine, which drops them. Still counted, they would make
        the engine look full to all other nodes, and callers would be refused.
        """
        peers = PeerLoads()
        peers.record(NODES[0], LoadUpdate({ENGINE: InProgress(running=16)}, {}), 100.0)
        peers.record(NODES[1], LoadUpdate({ENGINE: InProgress(running=2)}, {}), 100.9)
        peers.drop_expired(101.5)
        assert (peers.get_load(ENGINE).running, peers.count_reachable()) == (2, 1)


class TestMeasure:
    """Tests for ``Endpoints.measure`` with the loads of other nodes."""

    @staticmethod
    def _endpoints() -> Endpoints:
        endpoints = Endpoints(PlaceName("p"), RegionName("r"))
        endpoint = Endpoint(
            ENGINE, ServiceName("s"), "e:1", PlaceName("p"), RegionName("r"), slots=16
        )
        endpoints.update([endpoint], trusted=True)
        return endpoints

    def test_requests_of_other_nodes_count_before_a_report(self) -> None:
        """All nodes would overload the same engine that looks idle.

        Few engines are back after a loss of power, and their reports are as old as a first event
        may take. Nine nodes that go by reports alone send one engine 65 requests within a second,
        and nearly all of their responses are late.
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

    def test_report_counts_while_a_node_is_unreachable(self) -> None:
        """A partitioned node keeps sending; only the engine's report includes its requests."""
        endpoints = self._endpoints()
        (state,) = endpoints.of_service(ServiceName("s"))
        endpoints.record_report("e:1", EngineReport(12, 3, 1, False, 1.0), 100.0)
        endpoints.peer_loads.record(
            NODES[0], LoadUpdate({ENGINE: InProgress(running=5)}, {}), 100.0
        )
        load = endpoints.measure_load(state, 100.0, all_reachable=False)
        assert (load.running, load.waiting) == (12, 3)


class TestContention:
    """Tests of many requests at many nodes that compete for few slots."""

    NODES = 9
    WAITING = 4

    @classmethod
    def _gates(cls) -> list[Gate]:
        """Build nodes that know one another's queues and see one idle engine."""
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
    def _request(elapsed: float = 0.0) -> PlacementRequest:
        now = read_clock()
        return PlacementRequest(
            BACKEND, 1, 1000.0, now, elapsed, latency_objective=0.4, deadline=now + 6.0
        )

    async def test_restarted_engine_is_not_overloaded(self) -> None:
        """Nodes that see the same idle engine would overload it together.

        36 requests wait at nine nodes. Two or three sends per node look harmless to each, but 21
        within a twentieth of a second had only a third of their responses in time. Each node sends
        its share of the spare capacity and keeps the rest queued until load updates arrive.
        """
        sent = 0
        for gate in self._gates():
            requests = [self._request() for _ in range(self.WAITING)]
            tasks = [asyncio.create_task(gate.place(each, ())) for each in requests]
            await asyncio.sleep(0.02)
            sent += sum(task.done() and isinstance(task.result(), Placed) for task in tasks)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        assert 3 <= sent <= 14

    async def test_overdue_request_waits_for_fresh_requests_of_other_nodes(self) -> None:
        """An overdue request would take a slot from one that can still be in time.

        The response to a caller who was refused before is late whenever it comes.
        """
        gate = self._gates()[0]
        task = asyncio.create_task(gate.place(self._request(elapsed=1.5), ()))
        await asyncio.sleep(0.05)
        assert not task.done()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_resumed_stream_does_not_wait(self) -> None:
        """Its caller already has part of the response and notices any pause."""
        request = self._request()
        request.begun = True
        async with asyncio.timeout(1.0):
            assert isinstance(await self._gates()[0].place(request, ()), Placed)
