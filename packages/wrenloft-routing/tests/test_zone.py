"""Tests of frames, of a relay's merged view, and of nodes that subscribe over the loopback."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field, replace
from random import Random

import pytest
from aiohttp import ClientSession, web
from hypothesis import given
from hypothesis import strategies as st

from wrenloft_core import (
    AgentId,
    ContentId,
    IncarnationId,
    NodeId,
    PlaceName,
    RegionName,
    ServiceName,
    Signal,
    read_clock,
)
from wrenloft_policy import CrashStatus, LayerSpan, RateLimit, RequestKind
from wrenloft_routing import (
    CrashLedger,
    Endpoint,
    Endpoints,
    EngineReport,
    Frame,
    FrameRoutes,
    FrameScope,
    FrameWriter,
    InProgress,
    Item,
    KindLoad,
    LoadRoutes,
    LoadUpdate,
    Member,
    Members,
    NodePeer,
    NodeState,
    NodeSubscriber,
    NodeUpdate,
    QueueLength,
    ReceivedSnapshot,
    ReportedCrash,
    SharedSnapshot,
    SnapshotMirror,
    StoreDelta,
    StoreSnapshot,
    Subscriptions,
    ZoneLink,
    ZoneRole,
    ZoneView,
    decode_frame,
    decode_update,
    encode_frame,
    encode_update,
)
from wrenloft_routing._load_streams import RECONNECT_DELAY_SECONDS
from wrenloft_routing._zone import CHECK_INTERVAL_SECONDS

SERVICE = ServiceName("s")
ENGINE = AgentId("e")
REGION = RegionName("r")
REGIONS = {"p": "r", "q": "r"}

agents = st.sampled_from([AgentId("e1"), AgentId("e2"), AgentId("e3")])
in_progress = st.builds(
    InProgress,
    unread=st.integers(0, 9),
    unread_tokens=st.integers(0, 9000),
    running=st.integers(0, 16),
)
reports = st.builds(
    EngineReport,
    running=st.integers(0, 9),
    waiting=st.integers(0, 9),
    version=st.integers(0, 4),
    loading=st.booleans(),
    pace=st.sampled_from([1.0, 2.5]),
    span=st.sampled_from([None, LayerSpan(0, 8)]),
    born=st.integers(0, 9),
)
queues = st.dictionaries(
    st.just(SERVICE), st.builds(QueueLength, fresh=st.integers(0, 9), overdue=st.integers(0, 9))
)
items = st.builds(
    Item, key=st.sampled_from("abc"), value=st.binary(max_size=4), revision=st.integers(1, 9)
)
crash_updates = st.dictionaries(
    st.sampled_from([ContentId("c1"), ContentId("c2")]),
    st.dictionaries(
        st.sampled_from([IncarnationId("e1@5"), IncarnationId("e2@0")]),
        st.builds(
            ReportedCrash, age=st.sampled_from([0.0, 1.25]), status=st.sampled_from(CrashStatus)
        ),
    ),
)
limit_updates = st.dictionaries(
    st.sampled_from([IncarnationId("e1@5"), IncarnationId("e2@0")]),
    st.builds(
        RateLimit,
        rate=st.sampled_from([None, 0.0, 1.8, 50.0]),
        missing=st.integers(0, 2),
        sequence=st.integers(1, 9),
        node=st.sampled_from(["n1", "n2"]),
    ),
)
departure_updates = st.dictionaries(agents, st.integers(0, 9))
kind_loads = st.none() | st.dictionaries(
    st.just(SERVICE),
    st.dictionaries(
        st.builds(RequestKind, rank=st.integers(0, 3), objective=st.sampled_from([0.406, 0.8])),
        st.builds(KindLoad, fresh=st.integers(0, 9), refused=st.booleans()),
        min_size=1,
    ),
)
frames = st.builds(
    Frame,
    sent_at=st.floats(0, 1e6),
    node_count=st.integers(0, 400),
    loads=st.dictionaries(agents, in_progress),
    queues=queues,
    reports=st.dictionaries(st.sampled_from(["h:1", "h:2"]), reports),
    lost=st.lists(st.sampled_from(["h:1", "h:2"]), max_size=2).map(tuple),
    states=st.dictionaries(st.sampled_from([NodeId("n")]), st.sampled_from(NodeState)),
    store_deltas=st.lists(
        st.builds(
            StoreDelta,
            name=st.just("x"),
            begun_at=st.floats(0, 1e6),
            trusted=st.booleans(),
            revision=st.integers(0, 99),
            changed=st.lists(items, max_size=2).map(tuple),
            removed=st.lists(st.sampled_from("abc"), max_size=2).map(tuple),
            era=st.integers(0, 3),
        ),
        max_size=2,
    ).map(tuple),
    crashes=crash_updates,
    limits=limit_updates,
    departures=departure_updates,
    kinds=kind_loads,
)


class TestCodec:
    """Tests of the encoding of frames and updates."""

    @given(frames)
    def test_frame_round_trips(self, frame: Frame) -> None:
        """Nothing of a frame is lost or changed by encoding."""
        assert decode_frame(encode_frame(frame)) == frame

    @given(
        st.booleans(),
        st.dictionaries(agents, in_progress),
        queues,
        crash_updates,
        limit_updates,
        departure_updates,
        kind_loads,
    )
    def test_update_round_trips(
        self, ready, loads, waiting, crashes, limits, departures, kinds
    ) -> None:
        """Nothing of an update is lost or changed by encoding."""
        load = LoadUpdate(loads, waiting, kinds=kinds)
        update = NodeUpdate(ready, load, crashes, limits, departures)
        assert decode_update(encode_update(update)) == update

    @given(st.one_of(st.binary(max_size=40), st.text(max_size=40).map(str.encode)))
    def test_malformed_lines_raise_value_error(self, line: bytes) -> None:
        """Malformed data from a peer costs its connection, never the task that reads it."""
        for decode in (decode_frame, decode_update):
            with pytest.raises(ValueError):
                decode(line)


@dataclass
class _Relay:
    """A relay's state without a network."""

    endpoints: Endpoints
    members: Members
    view: ZoneView
    shared: SharedSnapshot

    def open_writer(self, scope: FrameScope, subscriber: str = "f") -> FrameWriter:
        return FrameWriter(self.view, [self.shared], scope, NodeId(subscriber))


@asynccontextmanager
async def _relay() -> AsyncIterator[_Relay]:
    endpoints = Endpoints(PlaceName("p"), REGION)
    members = Members(Member(NodeId("c"), PlaceName("p"), REGION, "c:80", "c:1"))
    view = ZoneView(endpoints, members, dict, CrashLedger())

    async def fetch() -> StoreSnapshot:
        return StoreSnapshot((), 1)

    async with ClientSession() as session:
        shared = SharedSnapshot(
            "x",
            fetch,
            lambda _: None,
            1.0,
            members,
            session,
            lambda: ZoneRole.RELAYING,
            Random(1),
            Signal(),
        )
        yield _Relay(endpoints, members, view, shared)


class TestFrameWriter:
    """Tests for ``FrameWriter``."""

    async def test_same_revisions_of_the_next_era_are_sent(self) -> None:
        """Guards against subscribers that keep values which the store has lost."""
        async with _relay() as relay:
            writer, mirror = relay.open_writer(FrameScope.FLEET), SnapshotMirror(0.0)
            values = []
            for era, value in ((1, b"lost"), (2, b"new")):
                items = (Item("a", value, 5), Item("b", b"same", 4))
                relay.shared.accept(ReceivedSnapshot(StoreSnapshot(items, 5, era), era, True))
                frame, _ = writer.compose(float(era))
                (delta,) = decode_frame(encode_frame(frame)).store_deltas
                snapshot = mirror.apply(delta).snapshot
                values.append((snapshot.era, {each.key: each.value for each in snapshot.items}))
                assert len(delta.changed) == (2 if era == 1 else 1)
        assert values == [(1, {"a": b"lost", "b": b"same"}), (2, {"a": b"new", "b": b"same"})]

    async def test_frames_say_when_the_content_before_was_last_read(self) -> None:
        """Guards against deadlines that count from a reading long before the change.

        Of a subscriber that was not sent the content before, it says nothing.
        """
        async with _relay() as relay:
            writer, slow = (relay.open_writer(FrameScope.STORE) for _ in range(2))
            mirror = SnapshotMirror(0.5)

            def read(begun_at: float, revision: int) -> None:
                items = (Item("a", b"v", revision),)
                snapshot = StoreSnapshot(items, revision)
                relay.shared.accept(ReceivedSnapshot(snapshot, begun_at, True))

            def receive(source: FrameWriter) -> float | None:
                frame = decode_frame(encode_frame(source.compose(9.0)[0]))
                return mirror.apply(frame.store_deltas[0]).unchanged_at

            read(1.0, 5)
            assert receive(writer) is None
            assert receive(slow) is None
            read(2.0, 5)
            read(3.0, 5)
            read(4.0, 6)
            assert receive(writer) == 3.0 - 0.5
            read(5.0, 6)
            assert receive(writer) is None
            read(6.0, 7)
            assert receive(writer) == 5.0 - 0.5
            assert receive(slow) is None

    async def test_subscriber_does_not_get_its_own_requests(self) -> None:
        """A node would count its own requests twice and refuse callers for it.

        It knows its own sends sooner than its relay does, so frames leave them out.
        """
        async with _relay() as relay:
            own, other = NodeId("f"), NodeId("g")
            relay.view.record_node(own, LoadUpdate({ENGINE: InProgress(1, 10, 2)}, {}))
            relay.view.record_node(other, LoadUpdate({ENGINE: InProgress(2, 20, 3)}, {}))
            relay.view.record_zone(
                PlaceName("q"), LoadUpdate({ENGINE: InProgress(0, 0, 4)}, {}, nodes=5)
            )
            frame, _ = relay.open_writer(FrameScope.FLEET).compose(1.0)
            assert frame.loads == {ENGINE: InProgress(2, 20, 7)}
            assert frame.node_count == 1 + 1 + 5
            zone, _ = relay.open_writer(FrameScope.ZONE).compose(1.0)
            assert zone.loads == {ENGINE: InProgress(3, 30, 5)}

    async def test_competing_kinds_of_others_are_sent_when_they_change(self) -> None:
        """A node must not yield to its own requests, nor to those of a node that is lost."""
        async with _relay() as relay:
            kind = RequestKind(0, 0.4)
            for name, fresh in (("f", 3), ("g", 2)):
                load = LoadUpdate({}, {}, kinds={SERVICE: {kind: KindLoad(fresh)}})
                relay.view.record_node(NodeId(name), load)
            writer = relay.open_writer(FrameScope.FLEET)
            assert writer.compose(1.0)[0].kinds == {SERVICE: {kind: KindLoad(2)}}
            assert writer.compose(2.0)[0].kinds is None
            relay.view.record_node(NodeId("g"), LoadUpdate({}, {}))
            assert writer.compose(3.0)[0].kinds is None
            relay.view.forget(NodeId("g"))
            assert writer.compose(4.0)[0].kinds == {}

    async def test_only_changes_are_sent(self) -> None:
        """A frame without changes is short, and an endpoint that became idle is sent once."""
        async with _relay() as relay:
            writer = relay.open_writer(FrameScope.FLEET)
            node = NodeId("g")
            relay.view.record_node(node, LoadUpdate({ENGINE: InProgress(1, 10, 0)}, {}))
            assert writer.compose(1.0)[0].loads
            frame, changed = writer.compose(2.0)
            assert (frame.loads, changed) == ({}, False)
            relay.view.forget(node)
            relay.view._summed_at = 0.0
            assert writer.compose(3.0)[0].loads == {ENGINE: InProgress()}

    async def test_lost_agent_is_reported(self) -> None:
        """An agent's connection is lost: its last report must not count as current elsewhere."""
        async with _relay() as relay:
            writer = relay.open_writer(FrameScope.FLEET)
            report = EngineReport(1, 0, 2, False, 1.0)
            relay.view.record_report("h:1", report, PlaceName("p"))
            assert writer.compose(1.0)[0].reports == {"h:1": report}
            relay.view.forget_report("h:1")
            assert writer.compose(2.0)[0].lost == ("h:1",)

    async def test_change_of_weights_is_sent_before_a_change_of_load(self) -> None:
        """Guards against a lost change of load that was held back, or of weights sent with it."""
        async with _relay() as relay:
            writer = relay.open_writer(FrameScope.FLEET)
            place, first = PlaceName("p"), EngineReport(1, 0, 2, False, 1.0)
            relay.view.record_report("h:1", first, place)
            assert writer.compose(1.0)[0].reports == {"h:1": first}
            relay.view.record_report("h:1", replace(first, running=4, waiting=1), place)
            assert writer.compose(1.1)[0].reports == {}
            relay.view.record_report("h:1", EngineReport(5, 1, 3, False, 1.0), place)
            assert writer.compose(1.2)[0].reports == {"h:1": EngineReport(1, 0, 3, False, 1.0)}
            assert writer.compose(1.3)[0].reports == {}
            assert writer.compose(1.5)[0].reports == {"h:1": EngineReport(5, 1, 3, False, 1.0)}
            assert writer.compose(2.0)[0].reports == {}

    @pytest.mark.parametrize("seed", range(20))
    async def test_mirror_matches_every_read(self, seed: int) -> None:
        """Entries are added, changed and removed between frames; the subscriber has the same."""
        random = Random(seed)
        async with _relay() as relay:
            writer = relay.open_writer(FrameScope.STORE)
            mirror = SnapshotMirror(0.0)
            mirrored: dict[str, int] = {}
            content: dict[str, int] = {}
            for revision in range(2, 30):
                key = random.choice("abcde")
                if random.random() < 0.3:
                    content.pop(key, None)
                else:
                    content[key] = revision
                found = tuple(Item(each, b"v", number) for each, number in content.items())
                received = ReceivedSnapshot(StoreSnapshot(found, revision), read_clock(), True)
                relay.shared.accept(received)
                if random.random() < 0.6:
                    frame, _ = writer.compose(read_clock())
                    for change in decode_frame(encode_frame(frame)).store_deltas:
                        snapshot = mirror.apply(change).snapshot
                        mirrored = {each.key: each.revision for each in snapshot.items}
                    assert mirrored == content


class TestSnapshotMirror:
    """Tests for ``SnapshotMirror``."""

    def test_snapshot_never_looks_newer_than_it_is(self) -> None:
        """A removed key would stay valid for as long again as its frame was delayed.

        Keys are refused by the age of their proof. The relay's clock has another origin, so ages
        must be bounded by the time of the request, not by the frame's arrival.
        """
        requested_at, sent_at_by_relay = 100.0, 5000.0
        mirror = SnapshotMirror(sent_at_by_relay - requested_at)
        change = StoreDelta("x", sent_at_by_relay - 3.0, True, 7, (), ())
        assert mirror.apply(change).begun_at == requested_at - 3.0


@dataclass
class _Node:
    """An entry node's links with a listener of its own."""

    name: str
    place: str
    session: ClientSession
    stack: AsyncExitStack = field(default_factory=AsyncExitStack)

    async def start(self) -> None:
        self.endpoints = Endpoints(PlaceName(self.place), REGION)
        self.endpoints.update(
            [Endpoint(ENGINE, SERVICE, "h:1", PlaceName("p"), REGION, 8)], trusted=True
        )
        app = web.Application()
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        own = Member(NodeId(self.name), PlaceName(self.place), REGION, f"{self.name}:80", "")
        self.members = Members(own)
        self.crashes = CrashLedger()
        self.view = ZoneView(self.endpoints, self.members, dict, self.crashes)
        self.link = ZoneLink(
            self.endpoints, self.members, self.view, self.session, REGIONS, lambda: True
        )
        routes = FrameRoutes(self.view, [], Signal())
        self.link.attach(routes, [])
        loads = LoadRoutes(
            self.endpoints,
            self.members,
            dict,
            lambda: True,
            self.link.record_relay_request,
            self.crashes,
        )
        app.add_routes(routes.routes())
        app.add_routes(loads.routes())
        await runner.setup()
        self.stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        own.internal = f"127.0.0.1:{runner.addresses[0][1]}"

    def run(self) -> None:
        task = asyncio.create_task(self.link.run(self.stack))
        self.stack.callback(task.cancel)

    def send(self, running: int) -> None:
        (state,) = self.endpoints.of_service(SERVICE)
        state.add_load(InProgress(running=running))

    @property
    def running_elsewhere(self) -> int:
        return self.endpoints.peer_loads.get_load(ENGINE).running


@asynccontextmanager
async def _fleet(*names: str) -> AsyncIterator[dict[str, _Node]]:
    """Run nodes whose names begin with their zone and that know one another from the store."""
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(ClientSession())
        nodes = {name: _Node(name, name[0], session) for name in names}
        for node in nodes.values():
            await node.start()
            stack.push_async_callback(node.stack.aclose)
        for node in nodes.values():
            node.members.update(
                [
                    Member(
                        each.members.own.node_id,
                        PlaceName(each.place),
                        REGION,
                        each.members.own.front,
                        each.members.own.internal,
                    )
                    for each in nodes.values()
                ]
            )
            node.run()
        yield nodes


async def _wait_for(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not condition():
            await asyncio.sleep(0.01)


class TestZoneLink:
    """Tests for ``ZoneLink`` with several nodes in one process."""

    NAMES = ("p1", "p2", "p3", "p4", "q1", "q2")

    async def test_requests_of_each_node_reach_all_others(self) -> None:
        """Six nodes in two zones see one another's requests, and no node its own twice."""
        async with _fleet(*self.NAMES) as nodes:
            for weight, node in enumerate(nodes.values()):
                node.send(2**weight)
            total = 2 ** len(nodes) - 1
            for weight, node in enumerate(nodes.values()):
                await _wait_for(lambda n=node, w=weight: n.running_elsewhere == total - 2**w)
            assert all(node.endpoints.peer_loads.count_reachable() == 5 for node in nodes.values())

    async def test_one_relay_serves_its_zone(self) -> None:
        """Connections of a node that isn't a relay don't grow with the fleet."""
        async with _fleet(*self.NAMES) as nodes:
            await _wait_for(
                lambda: all(node.link.role is not ZoneRole.STARTING for node in nodes.values())
            )
            relaying = [name for name, node in nodes.items() if node.link.role is ZoneRole.RELAYING]
            assert sorted(name[0] for name in relaying) == ["p", "q"]

    async def test_relay_that_dies_is_replaced(self, caplog: pytest.LogCaptureFixture) -> None:
        """A zone's relay dies while all nodes have requests in progress.

        The others subscribe to the next relay and receive one another's loads again, none of them
        gives callers the dead node's address, and its own requests are no longer counted.
        """
        caplog.set_level("INFO")
        async with _fleet(*self.NAMES) as nodes:
            for node in nodes.values():
                node.send(1)
            await _wait_for(lambda: all(node.running_elsewhere == 5 for node in nodes.values()))
            (relay,) = [
                name
                for name, node in nodes.items()
                if node.link.role is ZoneRole.RELAYING and name[0] == "p"
            ]
            dead = nodes.pop(relay)
            await dead.stack.aclose()
            await _wait_for(lambda: all(node.running_elsewhere == 4 for node in nodes.values()))
            near = [node for node in nodes.values() if node.place == "p"]
            await _wait_for(
                lambda: all(
                    dead.members.own.front
                    not in node.members.choose_addresses(PlaceName("p"), REGION)
                    for node in near
                )
            )
        assert sum(record.message == "relay lost" for record in caplog.records) >= 3

    async def test_node_that_starts_without_the_store_subscribes_to_its_relay(self) -> None:
        """A node that starts during an outage of the store cannot read the list of nodes.

        The relay still knows its address and requests its loads; the node subscribes to that relay,
        and so has configuration and endpoints within a second instead of after the outage.
        """
        async with _fleet("p1", "p2", "p3") as nodes:
            for node in nodes.values():
                node.send(1)
            await _wait_for(lambda: all(node.running_elsewhere == 2 for node in nodes.values()))
            (relay,) = [node for node in nodes.values() if node.link.role is ZoneRole.RELAYING]
            latecomer = _Node("p9", "p", relay.session)
            await latecomer.start()
            latecomer.run()
            async with latecomer.stack:
                assert latecomer.link.role is ZoneRole.STARTING
                relay.members.update(
                    [
                        *(relay.members.list_others(near=True)),
                        Member(
                            NodeId("p9"),
                            PlaceName("p"),
                            REGION,
                            "p9:80",
                            latecomer.members.own.internal,
                        ),
                    ]
                )
                await _wait_for(lambda: latecomer.running_elsewhere == 3)
                await asyncio.sleep(5 * CHECK_INTERVAL_SECONDS)
                assert latecomer.link.role is ZoneRole.SUBSCRIBED


class TestNodeSubscriber:
    """Tests for ``NodeSubscriber``."""

    async def test_loss_of_a_node_is_logged_once_and_it_is_reconnected(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """A node dies while its relay is subscribed to it, and returns at the same address.

        The log must show when its requests weren't counted: one line at its loss, however often
        reconnecting fails meanwhile, and one when it is connected again.
        """
        caplog.set_level("INFO")
        source = Endpoints(PlaceName("p"), REGION)
        own = Member(NodeId("n2"), PlaceName("p"), REGION, "n2:80", "")
        routes = LoadRoutes(
            source,
            Members(own),
            lambda: {SERVICE: QueueLength(fresh=3)},
            lambda: True,
            lambda _: None,
            CrashLedger(),
        )
        async with _relay() as relay, AsyncExitStack() as stack:
            session = await stack.enter_async_context(ClientSession())
            first = await _listen(routes, 0)
            port = first.addresses[0][1]
            node = NodePeer(NodeId("n2"), f"127.0.0.1:{port}")
            relay.members.update(
                [Member(node.node_id, PlaceName("p"), REGION, "n2:80", node.address)]
            )
            subscriptions = Subscriptions(
                NodeSubscriber(relay.view, relay.members, session).subscribe
            )
            stack.push_async_callback(subscriptions.close)
            subscriptions.update([node])
            await _wait_for(lambda: relay.view.fleet_loads.get_queue(SERVICE).fresh == 3)
            await first.cleanup()
            await _wait_for(lambda: _count(caplog, "node lost") == 1)
            await asyncio.sleep(3 * RECONNECT_DELAY_SECONDS)
            assert relay.view.fleet_loads.get_queue(SERVICE).fresh == 0
            second = await _listen(routes, port)
            stack.push_async_callback(second.cleanup)
            await _wait_for(lambda: relay.view.fleet_loads.get_queue(SERVICE).fresh == 3)
        assert _count(caplog, "node lost") == 1
        states = [each.fields["state"] for each in caplog.records if hasattr(each, "fields")
                  and each.message == "entry node state changed"]  # fmt: skip
        assert states == ["ready", "lost", "ready"]


async def _listen(routes: LoadRoutes, port: int) -> web.AppRunner:
    app = web.Application()
    app.add_routes(routes.routes())
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    return runner


def _count(caplog: pytest.LogCaptureFixture, message: str) -> int:
    return sum(record.message == message for record in caplog.records)
