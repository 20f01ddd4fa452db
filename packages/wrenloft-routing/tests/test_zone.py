"""Tests of frames, of what a relay gathers, and of nodes that follow one over the loopback."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
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
from wrenloft_policy import LayerSpan, RateLimit, Standing
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
    SharedSnapshot,
    SnapshotMirror,
    StoreDelta,
    StoreSnapshot,
    Subscriptions,
    ToldCrash,
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
crash_news = st.dictionaries(
    st.sampled_from([ContentId("c1"), ContentId("c2")]),
    st.dictionaries(
        st.sampled_from([IncarnationId("e1@5"), IncarnationId("e2@0")]),
        st.builds(ToldCrash, age=st.sampled_from([0.0, 1.25]), standing=st.sampled_from(Standing)),
    ),
)
limit_news = st.dictionaries(
    st.sampled_from([IncarnationId("e1@5"), IncarnationId("e2@0")]),
    st.builds(
        RateLimit,
        rate=st.sampled_from([None, 0.0, 1.8, 50.0]),
        missing=st.integers(0, 2),
        sequence=st.integers(1, 9),
        node=st.sampled_from(["n1", "n2"]),
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
        ),
        max_size=2,
    ).map(tuple),
    crashes=crash_news,
    limits=limit_news,
)


class TestCodec:
    """Tests of how frames and updates are encoded."""

    @given(frames)
    def test_frame_comes_back_as_it_was(self, frame: Frame) -> None:
        """Nothing of a frame is lost or changed on its way."""
        assert decode_frame(encode_frame(frame)) == frame

    @given(st.booleans(), st.dictionaries(agents, in_progress), queues, crash_news, limit_news)
    def test_update_comes_back_as_it_was(self, ready, loads, waiting, crashes, limits) -> None:
        """The same holds for what nodes tell."""
        update = NodeUpdate(ready, LoadUpdate(loads, waiting), crashes, limits)
        assert decode_update(encode_update(update)) == update

    @given(st.one_of(st.binary(max_size=40), st.text(max_size=40).map(str.encode)))
    def test_any_bytes_are_refused_in_one_way(self, line: bytes) -> None:
        """A peer that sends anything else costs its connection, and never the task that reads."""
        for decode in (decode_frame, decode_update):
            with pytest.raises(ValueError):
                decode(line)


@dataclass
class _Relay:
    """A relay's state, without a network."""

    endpoints: Endpoints
    members: Members
    view: ZoneView
    shared: SharedSnapshot

    def follow(self, scope: FrameScope, follower: str = "f") -> FrameWriter:
        return FrameWriter(self.view, [self.shared], scope, NodeId(follower))


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

    async def test_follower_is_not_told_its_own_requests(self) -> None:
        """A node knows what it has sent itself, sooner than its relay.

        Told of it too, it would count each of its requests twice and refuse callers for it.
        """
        async with _relay() as relay:
            own, other = NodeId("f"), NodeId("g")
            relay.view.record_node(own, LoadUpdate({ENGINE: InProgress(1, 10, 2)}, {}))
            relay.view.record_node(other, LoadUpdate({ENGINE: InProgress(2, 20, 3)}, {}))
            relay.view.record_zone(
                PlaceName("q"), LoadUpdate({ENGINE: InProgress(0, 0, 4)}, {}, nodes=5)
            )
            frame, _ = relay.follow(FrameScope.FLEET).compose(1.0)
            assert frame.loads == {ENGINE: InProgress(2, 20, 7)}
            assert frame.node_count == 1 + 1 + 5
            zone, _ = relay.follow(FrameScope.ZONE).compose(1.0)
            assert zone.loads == {ENGINE: InProgress(3, 30, 5)}

    async def test_only_changes_are_told(self) -> None:
        """A frame without news is short, and an endpoint that became idle is told once."""
        async with _relay() as relay:
            writer = relay.follow(FrameScope.FLEET)
            node = NodeId("g")
            relay.view.record_node(node, LoadUpdate({ENGINE: InProgress(1, 10, 0)}, {}))
            assert writer.compose(1.0)[0].loads
            frame, changed = writer.compose(2.0)
            assert (frame.loads, changed) == ({}, False)
            relay.view.forget(node)
            relay.view._summed_at = 0.0
            assert writer.compose(3.0)[0].loads == {ENGINE: InProgress()}

    async def test_lost_agent_is_told(self) -> None:
        """An engine's agent falls silent: what it said last must not pass for fresh elsewhere."""
        async with _relay() as relay:
            writer = relay.follow(FrameScope.FLEET)
            report = EngineReport(1, 0, 2, False, 1.0)
            relay.view.record_report("h:1", report, PlaceName("p"))
            assert writer.compose(1.0)[0].reports == {"h:1": report}
            relay.view.forget_report("h:1")
            assert writer.compose(2.0)[0].lost == ("h:1",)

    @pytest.mark.parametrize("seed", range(20))
    async def test_mirror_follows_whatever_is_read(self, seed: int) -> None:
        """Entries come, change and go between frames; the follower has what the relay has."""
        random = Random(seed)
        async with _relay() as relay:
            writer = relay.follow(FrameScope.STORE)
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
                taken = ReceivedSnapshot(StoreSnapshot(found, revision), read_clock(), True)
                relay.shared.accept(taken)
                if random.random() < 0.6:
                    frame, _ = writer.compose(read_clock())
                    for change in decode_frame(encode_frame(frame)).store_deltas:
                        reading = mirror.apply(change).snapshot
                        mirrored = {each.key: each.revision for each in reading.items}
                    assert mirrored == content


class TestReadingMirror:
    """Tests for ``SnapshotMirror``."""

    def test_reading_never_looks_younger_than_it_is(self) -> None:
        """A relay's host has been up for another time, and its frame was long on its way.

        Keys that were taken away are refused by the age of the proof: counted from the frame's
        arrival, a key would be good for as long again as the frame was held up.
        """
        asked_at, made_at_by_relay = 100.0, 5000.0
        mirror = SnapshotMirror(made_at_by_relay - asked_at)
        change = StoreDelta("x", made_at_by_relay - 3.0, True, 7, (), ())
        assert mirror.apply(change).begun_at == asked_at - 3.0


@dataclass
class _Node:
    """An entry node's links, with a listener of its own."""

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
        state.change(InProgress(running=running))

    @property
    def hears(self) -> int:
        return self.endpoints.others.get_load(ENGINE).running


@asynccontextmanager
async def _fleet(*names: str) -> AsyncIterator[dict[str, _Node]]:
    """Run nodes whose names begin with their zone, and know one another from the store."""
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


async def _wait_for(holds: Callable[[], bool]) -> None:
    async with asyncio.timeout(20):
        while not holds():
            await asyncio.sleep(0.01)


class TestZoneLink:
    """Tests for ``ZoneLink``, several nodes in one process."""

    NAMES = ("p1", "p2", "p3", "p4", "q1", "q2")

    async def test_requests_of_each_node_reach_all_others(self) -> None:
        """Six nodes in two zones see one another's sends, and no node its own twice."""
        async with _fleet(*self.NAMES) as nodes:
            for weight, node in enumerate(nodes.values()):
                node.send(2**weight)
            total = 2 ** len(nodes) - 1
            for weight, node in enumerate(nodes.values()):
                await _wait_for(lambda n=node, w=weight: n.hears == total - 2**w)
            assert all(node.endpoints.others.count_reachable() == 5 for node in nodes.values())

    async def test_one_relay_serves_its_zone(self) -> None:
        """Connections of a node that relays for nobody don't grow with the fleet."""
        async with _fleet(*self.NAMES) as nodes:
            await _wait_for(
                lambda: all(node.link.role is not ZoneRole.STARTING for node in nodes.values())
            )
            relaying = [name for name, node in nodes.items() if node.link.role is ZoneRole.RELAYING]
            assert sorted(name[0] for name in relaying) == ["p", "q"]

    async def test_relay_that_dies_is_replaced(self, caplog: pytest.LogCaptureFixture) -> None:
        """The node that relays for a zone dies while all others have requests in progress.

        They follow the next one, hear one another again, and none of them names the dead one. Its
        own requests stop counting.
        """
        caplog.set_level("INFO")
        async with _fleet(*self.NAMES) as nodes:
            for node in nodes.values():
                node.send(1)
            await _wait_for(lambda: all(node.hears == 5 for node in nodes.values()))
            (relay,) = [
                name
                for name, node in nodes.items()
                if node.link.role is ZoneRole.RELAYING and name[0] == "p"
            ]
            dead = nodes.pop(relay)
            await dead.stack.aclose()
            await _wait_for(lambda: all(node.hears == 4 for node in nodes.values()))
            near = [node for node in nodes.values() if node.place == "p"]
            await _wait_for(
                lambda: all(
                    dead.members.own.front
                    not in node.members.choose_addresses(PlaceName("p"), REGION)
                    for node in near
                )
            )
        assert sum(record.message == "relay lost" for record in caplog.records) >= 3

    async def test_node_that_starts_while_the_store_is_away_follows_who_asks(self) -> None:
        """A node starts anew during an outage of the store, and cannot read who else is there.

        The relay still knows its address and asks it for its load; the node follows that one,
        and so has the configuration and the endpoints within a second instead of after the outage.
        """
        async with _fleet("p1", "p2", "p3") as nodes:
            for node in nodes.values():
                node.send(1)
            await _wait_for(lambda: all(node.hears == 2 for node in nodes.values()))
            (relay,) = [node for node in nodes.values() if node.link.role is ZoneRole.RELAYING]
            late = _Node("p9", "p", relay.session)
            await late.start()
            late.run()
            async with late.stack:
                assert late.link.role is ZoneRole.STARTING
                relay.members.update(
                    [
                        *(relay.members.others(near=True)),
                        Member(
                            NodeId("p9"), PlaceName("p"), REGION, "p9:80", late.members.own.internal
                        ),
                    ]
                )
                await _wait_for(lambda: late.hears == 3)
                await asyncio.sleep(5 * CHECK_INTERVAL_SECONDS)
                assert late.link.role is ZoneRole.SUBSCRIBED


class TestNodeFollower:
    """Tests for ``NodeSubscriber``."""

    async def test_loss_of_a_node_is_logged_once_and_it_is_heard_again(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """A node dies while its relay follows it, and is back at the same address.

        Whoever looks for why engines were misjudged then finds when its requests did not count: a
        line when it is lost, however often it is tried meanwhile, and one when it is heard again.
        """
        caplog.set_level("INFO")
        told = Endpoints(PlaceName("p"), REGION)
        own = Member(NodeId("n2"), PlaceName("p"), REGION, "n2:80", "")
        routes = LoadRoutes(
            told,
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
            followers = Subscriptions(NodeSubscriber(relay.view, relay.members, session).subscribe)
            stack.push_async_callback(followers.close)
            followers.update([node])
            await _wait_for(lambda: relay.view.fleet_loads.get_queue(SERVICE).fresh == 3)
            await first.cleanup()
            await _wait_for(lambda: _count(caplog, "node lost") == 1)
            await asyncio.sleep(3 * RECONNECT_DELAY_SECONDS)
            assert relay.view.fleet_loads.get_queue(SERVICE).fresh == 0
            second = await _listen(routes, port)
            stack.push_async_callback(second.cleanup)
            await _wait_for(lambda: relay.view.fleet_loads.get_queue(SERVICE).fresh == 3)
        assert _count(caplog, "node lost") == 1
        judged = [each.fields["state"] for each in caplog.records if hasattr(each, "fields")
                  and each.message == "entry node judged"]  # fmt: skip
        assert judged == ["ready", "lost", "ready"]


async def _listen(routes: LoadRoutes, port: int) -> web.AppRunner:
    app = web.Application()
    app.add_routes(routes.routes())
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
    await runner.setup()
    await web.TCPSite(runner, "127.0.0.1", port).start()
    return runner


def _count(caplog: pytest.LogCaptureFixture, message: str) -> int:
    return sum(record.message == message for record in caplog.records)
