"""Tests of a node's local copy of the store, endpoints and nodes, and when it expires."""

import asyncio
from collections.abc import Callable
from dataclasses import replace
from random import Random
from typing import Any

import pytest
from aiohttp import ClientSession

from wrenloft_core import (
    AgentId,
    NodeId,
    PlaceName,
    PlatformUnavailableError,
    RegionName,
    ServiceName,
    Signal,
    read_clock,
)
from wrenloft_policy import ALL_LAYERS, EndpointNotice
from wrenloft_routing import (
    DepartureSource,
    Endpoint,
    Endpoints,
    EngineReport,
    EventSplitter,
    FreshnessProof,
    Item,
    Member,
    Members,
    NodeState,
    ReceivedSnapshot,
    SharedRetryBudget,
    SharedSnapshot,
    StoreSnapshot,
    ZoneRole,
)

PLACE = PlaceName("p")
REGION = RegionName("r")
SERVICE = ServiceName("s")
LEAVING = EndpointNotice(leaving=True)


def _endpoint(name: str, **changes: Any) -> Endpoint:
    fields: dict[str, Any] = {
        "agent_id": AgentId(name),
        "service": SERVICE,
        "address": f"{name}:1",
        "place": PLACE,
        "region": REGION,
        "slots": 4,
    }
    return Endpoint(**{**fields, **changes})


def _member(name: str, place: str = "p") -> Member:
    return Member(NodeId(name), PlaceName(place), REGION, f"{name}:80", f"{name}:7700")


class TestEndpoints:
    """Tests for ``Endpoints``."""

    def test_leaving_outlives_an_older_snapshot(self) -> None:
        """An endpoint that is leaving must get no more requests.

        A snapshot from before it was marked may arrive afterwards, from a slow node.
        """
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a", leaving=True)], trusted=True)
        endpoints.update([_endpoint("a")], trusted=True)
        assert endpoints.of_service(SERVICE)[0].leaving

    def test_leaving_outlives_a_lapsed_entry(self) -> None:
        """The leaving mark survives an entry that expires and returns."""
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a", leaving=True)], trusted=True)
        endpoints.update([], trusted=True)
        endpoints.update([_endpoint("a")], trusted=True)
        assert endpoints.of_service(SERVICE)[0].leaving

    @pytest.mark.parametrize(
        "contradict",
        [
            lambda: [_endpoint("a", born=5)],
            lambda: [],
            lambda: [_endpoint("a", born=4)],
            lambda: [_endpoint("a", born=5, address="b:1")],
        ],
        ids=["ready", "missing", "earlier start", "other address"],
    )
    def test_leaving_told_by_an_answer_outlives_what_the_list_says(
        self, contradict: Callable[[], list[Endpoint]]
    ) -> None:
        """Guards against requests to a leaving endpoint whose entry is older than its answer."""
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a", born=5)], trusted=True)
        endpoints.record_notice(endpoints.of_service(SERVICE)[0], LEAVING, read_clock())
        endpoints.update(contradict(), trusted=True)
        endpoints.update([_endpoint("a", born=5)], trusted=True)
        assert endpoints.of_service(SERVICE)[0].leaving

    @pytest.mark.parametrize(
        "next_endpoint",
        [_endpoint("a", born=6), _endpoint("b", address="a:1", born=5)],
        ids=["same id", "same address"],
    )
    def test_leaving_ends_with_the_incarnation(self, next_endpoint: Endpoint) -> None:
        """Guards against excluding the endpoint that takes the place of one that has left."""
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a", born=5)], trusted=True)
        left = endpoints.of_service(SERVICE)[0]
        endpoints.record_notice(left, LEAVING, read_clock())
        endpoints.update([next_endpoint], trusted=True)
        endpoints.record_notice(left, LEAVING, read_clock())
        (state,) = endpoints.of_service(SERVICE)
        assert not state.leaving

    def test_departures_are_bounded(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Guards against memory that grows with every endpoint that has ever left."""
        monkeypatch.setattr("wrenloft_routing._departures.MAX_DEPARTURES", 3)
        endpoints = Endpoints(PLACE, REGION)
        for number in range(5):
            endpoints.record_departure(AgentId(f"e{number}"), 0, DepartureSource.ANSWER)
        found = [endpoints.departures.find(AgentId(f"e{number}"), 0) for number in range(5)]
        assert [each is not None for each in found] == [False, False, True, True, True]

    def test_missing_entry_is_gone_only_if_the_snapshot_is_trusted(self) -> None:
        """Entries expire during an outage of the store while their endpoints still serve.

        Once the store has been back for a while, a missing entry means that the endpoint has left.
        """
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a")], trusted=True)
        endpoints.update([], trusted=False)
        assert endpoints.of_service(SERVICE)
        endpoints.update([], trusted=True)
        assert not endpoints.of_service(SERVICE)

    def test_ended_endpoint_that_an_older_copy_lists_is_not_used(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against requests to endpoints that ended before the store came back older.

        One that is still listed seconds later is alive, and so is another incarnation of it.
        """
        clock = _Clock()
        monkeypatch.setattr("wrenloft_routing._endpoints.read_clock", clock.read)
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a", born=5), _endpoint("b", born=5)], trusted=True)
        endpoints.update([], trusted=True)
        clock.now += 1.0
        restored = [_endpoint("a", born=5), _endpoint("b", born=6), _endpoint("c")]
        names = []
        for pause, trusted in ((0.0, False), (2.0, False), (3.0, True), (2.0, True)):
            clock.now += pause
            endpoints.update(restored, trusted=trusted)
            names.append("".join(s.endpoint.agent_id for s in endpoints.list_all()))
        assert names == ["bc", "bc", "bc", "abc"]

    def test_lapsed_endpoint_that_returns_is_used_again(self) -> None:
        """An expired entry is not a leaving mark."""
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a")], trusted=True)
        endpoints.update([], trusted=True)
        endpoints.update([_endpoint("a")], trusted=True)
        assert not endpoints.of_service(SERVICE)[0].leaving

    def test_endpoint_that_starts_again_has_left_nothing(self) -> None:
        """An endpoint drains, ends, and starts again under the same id.

        Kept as leaving, it would never get a request again. Leaving mark, failures and sends of the
        former incarnation end with it.
        """
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a", leaving=True, born=1000)], trusted=True)
        endpoints.record_failure(endpoints.of_service(SERVICE)[0], read_clock())
        endpoints.update([_endpoint("a", born=2000)], trusted=True)
        (state,) = endpoints.of_service(SERVICE)
        assert (state.leaving, state.failures) == (False, 0)

    def test_report_of_an_earlier_incarnation_changes_nothing(self) -> None:
        """A slow node may pass on a snapshot from before an endpoint's restart.

        Neither the list nor a report of the former incarnation may change the new one's state.
        """
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a", born=2000)], trusted=True)
        endpoints.update([_endpoint("a", leaving=True, born=1000)], trusted=True)
        endpoints.record_report("a:1", EngineReport(9, 9, 3, False, 1.0, born=1000), read_clock())
        (state,) = endpoints.of_service(SERVICE)
        assert (state.leaving, state.endpoint.born, state.report) == (False, 2000, None)

    def test_report_of_a_new_incarnation_overrides_the_list(self) -> None:
        """The list is seconds old and names the weights from before the engine's restart.

        Requests sent by it would be rejected one after the other until the list has changed.
        """
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a", versions={"m": 3}, born=1000)], trusted=True)
        (state,) = endpoints.of_service(SERVICE)
        endpoints.record_report("a:1", EngineReport(0, 0, 0, False, 1.0, None, 2000), 100.0)
        assert state.find_weights("m", 200.0).span is None

    def test_sends_since_a_report_count(self) -> None:
        """Sends since a report count: an engine mustn't look idle to the node that fills it."""
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a")], trusted=True)
        now = read_clock()
        endpoints.record_report("a:1", EngineReport(2, 1, 1, False, 1.0), now)
        state = endpoints.of_service(SERVICE)[0]
        for seconds in (0.05, 0.1, 0.15):
            state.record_sent(now + seconds)
        load = endpoints.measure_load(state, now + 0.2)
        assert (load.running, load.waiting, load.sent_since) == (2, 1, 3)

    def test_report_resets_the_count_of_earlier_sends(self) -> None:
        """A report shows the engine as it was a quarter of a second before its arrival.

        Requests sent in that time count as recent; sends of other nodes are estimated from them.
        """
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a")], trusted=True)
        state = endpoints.of_service(SERVICE)[0]
        state.record_sent(100.0)
        state.record_sent(100.2)
        endpoints.record_report("a:1", EngineReport(1, 0, 1, False, 1.0), 100.3)
        state.record_sent(100.35)
        load = endpoints.measure_load(state, 100.36)
        assert (load.sent_since, load.recent) == (1, 2)

    def test_old_report_of_loading_does_not_keep_requests_away(self) -> None:
        """An agent dies while its engine loads; the engine serves again and gets requests.

        Its last report, that the engine is loading, would otherwise count until the agent is back.
        """
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a", versions={"m": 1})], trusted=True)
        state = endpoints.of_service(SERVICE)[0]
        endpoints.record_report("a:1", EngineReport(0, 0, 1, True, 1.0, None), 100.0)
        assert state.find_weights("m", 100.1).span is None
        assert state.find_weights("m", 105.0).span == ALL_LAYERS

    def test_engine_that_gave_up_a_version_is_not_used_because_of_the_list(self) -> None:
        """An engine drops a version for the next while the list still names the old one.

        Requests sent by the list would be rejected and count against the retry budget.
        """
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a", versions={"m": 1})], trusted=True)
        state = endpoints.of_service(SERVICE)[0]
        endpoints.record_report("a:1", EngineReport(0, 0, 0, True, 1.0, None), 100.0)
        assert state.find_weights("m", 100.1).span is None

    def test_failures_keep_requests_away_longer_each_time(self) -> None:
        """A flapping endpoint is tried ever less often, up to a bound; one success resets it."""
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a")], trusted=True)
        state = endpoints.of_service(SERVICE)[0]
        pauses = []
        for _ in range(5):
            endpoints.record_failure(state, 100.0)
            pauses.append(state.suspect_until - 100.0)
        assert pauses == sorted(pauses)
        assert pauses[-1] <= 6.0
        endpoints.record_success(state)
        assert state.suspect_until == 0.0


class TestSharedBudget:
    """Tests for ``SharedRetryBudget``."""

    @pytest.mark.parametrize("nodes", [1, 3, 9])
    def test_all_nodes_together_stay_within_the_allowance(self, nodes: int) -> None:
        """Retries of all nodes together must stay below the shared bound in every window.

        All nodes retry as often as their budgets allow, at ten requests per second each.
        """
        budgets = [SharedRetryBudget(0.2, 106.0, 10.0, nodes) for _ in range(nodes)]
        retries: list[float] = []
        for tenth in range(600):
            now = tenth / 10
            for budget in budgets:
                budget.deposit(SERVICE, now)
                while budget.withdraw(SERVICE, now):
                    retries.append(now)
        for start in range(50):
            inside = sum(start <= at < start + 10 for at in retries)
            assert inside <= 0.2 * nodes * 100 + 106


class TestCurrencyProof:
    """Tests for ``FreshnessProof``."""

    def test_keys_need_a_recent_proof(self) -> None:
        """No key may be used before the first proof or after the newest one has expired."""
        proof = FreshnessProof(5.0)
        assert not proof.allows_keys()
        proof.record(read_clock())
        assert proof.allows_keys()

    def test_proof_counts_from_the_beginning_of_its_read(self) -> None:
        """A response that took four seconds proves what was true four seconds ago."""
        proof = FreshnessProof(5.0)
        proof.record(read_clock() - 4.5)
        assert not proof.allows_keys()

    def test_late_response_does_not_replace_a_newer_proof(self) -> None:
        """Responses may arrive out of order; the newest proof counts."""
        proof = FreshnessProof(5.0)
        proof.record(read_clock())
        proof.record(read_clock() - 60.0)
        assert proof.allows_keys()


class TestEventSplitter:
    """Tests for ``EventSplitter``."""

    def test_cuts_at_any_place(self) -> None:
        """The same complete events come out wherever the network splits the data."""
        data = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        for cut in range(len(data)):
            splitter = EventSplitter()
            events = splitter.feed(data[:cut]) + splitter.feed(data[cut:])
            assert [each.number for each in events] == [1, 2]
            assert b"".join(each.data for each in events) == data
            assert not splitter.has_partial_event


class TestMembers:
    """Tests for ``Members``."""

    def test_callers_get_the_nearest_sufficient_nodes(self) -> None:
        """Two nodes in the caller's zone suffice; one doesn't."""
        members = Members(_member("a"))
        members.update([_member("b"), _member("c", "q")])
        assert members.choose_addresses(PLACE, REGION) == ["a:80", "b:80"]
        assert len(members.choose_addresses(PlaceName("q"), REGION)) == 3

    def test_lost_node_is_no_longer_returned(self) -> None:
        """A node that its relay has lost, or that isn't ready, is excluded at once."""
        members = Members(_member("a"))
        members.update([_member("b"), _member("c"), _member("d")])
        assert "b:80" in members.choose_addresses(PLACE, REGION)
        members.update_states({NodeId("b"): NodeState.LOST, NodeId("c"): NodeState.UNREADY})
        assert members.choose_addresses(PLACE, REGION) == ["a:80", "d:80"]

    def test_isolated_node_returns_all_addresses(self) -> None:
        """A node that reaches no other and isn't ready still returns addresses to callers."""
        members = Members(_member("a"))
        members.update([_member("b")])
        members.own.state = NodeState.UNREADY
        members.update_states({NodeId("b"): NodeState.LOST})
        assert len(members.choose_addresses(PLACE, REGION)) == 2

    def test_live_node_with_expired_entry_stays(self) -> None:
        """Entries expire during an outage of the store; reachable nodes stay."""
        members = Members(_member("a"))
        members.update([_member("b"), _member("c")])
        members.update_states({NodeId("b"): NodeState.READY, NodeId("c"): NodeState.LOST})
        members.update([])
        assert members.get(NodeId("b")) is not None
        assert members.get(NodeId("c")) is None

    def test_lost_relay_is_skipped_for_a_while(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A node whose relay dies tries the next, at last itself, and later the first again.

        Each further loss in a row excludes a relay for longer, so that a dead one costs little.
        """
        clock = _Clock()
        monkeypatch.setattr("wrenloft_routing._members.read_clock", clock.read)
        own = _member("z")
        members = Members(own)
        members.update([_member("b"), _member("c")])
        order = [each.node_id for each in members.rank_members(PLACE)]
        picked = []
        while (relay := members.pick_relay(PLACE)) is not own:
            assert relay is not None
            picked.append(relay.node_id)
            members.record_relay(relay, connected=False)
        assert picked == order[: order.index(own.node_id)]
        clock.now += 1.5
        assert members.pick_relay(PLACE) is members.rank_members(PLACE)[0]

    def test_unreachable_zone_is_retried(self) -> None:
        """A zone whose relays were all lost may be back, and no other node would report it."""
        members = Members(_member("a"))
        members.update([_member("x", "q"), _member("y", "q")])
        members.update_states({NodeId("x"): NodeState.LOST, NodeId("y"): NodeState.LOST})
        assert members.pick_relay(PlaceName("q")) is not None


class _Clock:
    def __init__(self) -> None:
        self.now = 1000.0

    def read(self) -> float:
        return self.now


def _shared(
    fetch: Callable[[], Any],
    received: list[ReceivedSnapshot],
    session: ClientSession,
    role: ZoneRole = ZoneRole.RELAYING,
    members: Members | None = None,
) -> tuple[SharedSnapshot, Members]:
    members = members or Members(_member("a"))
    shared = SharedSnapshot(
        "x", fetch, received.append, 0.01, members, session, lambda: role, Random(7), Signal()
    )
    return shared, members


class TestSharedSnapshot:
    """Tests for ``SharedSnapshot``."""

    async def test_reads_the_store_and_recovers(self) -> None:
        """Reads resume after an outage of the store."""
        outcomes: list[Any] = [1, None, None, 2]

        async def fetch() -> StoreSnapshot:
            outcome = outcomes.pop(0) if outcomes else 2
            if outcome is None:
                raise PlatformUnavailableError("away", step="list")
            return StoreSnapshot((Item("k", b"v", outcome),), outcome)

        received: list[ReceivedSnapshot] = []
        async with ClientSession() as session:
            shared, _ = _shared(fetch, received, session)
            task = asyncio.create_task(shared.run())
            async with asyncio.timeout(5):
                while not received or received[-1].snapshot.revision != 2:
                    await asyncio.sleep(0.01)
            task.cancel()
        assert received[0].snapshot.revision == 1

    async def test_subscriber_reads_the_store_once_its_relays_have_no_fresh_snapshot(self) -> None:
        """Guards against a node that waits for relays which are all cut off from the store."""
        reads = asyncio.Event()

        async def fetch() -> StoreSnapshot:
            reads.set()
            return StoreSnapshot((), 6)

        received: list[ReceivedSnapshot] = []
        members = Members(_member("b"))
        members.update([_member("a"), _member("c")])
        async with ClientSession() as session:
            shared, _ = _shared(fetch, received, session, ZoneRole.SUBSCRIBED, members)
            shared.accept(ReceivedSnapshot(StoreSnapshot((), 5), read_clock(), True))
            task = asyncio.create_task(shared.run())
            async with asyncio.timeout(5):
                await reads.wait()
            task.cancel()
        assert shared._direct_reads == 1
        shared.accept(ReceivedSnapshot(StoreSnapshot((), 7), read_clock(), True))
        assert shared._direct_reads == 0

    async def test_missing_entries_are_trusted_only_a_while_after_an_outage(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Right after an outage a missing entry may have expired; two seconds later it was removed.

        A single late read is not an outage and changes nothing.
        """
        clock = _Clock()
        monkeypatch.setattr("wrenloft_routing._store_snapshots.read_clock", clock.read)
        received: list[ReceivedSnapshot] = []

        async def fetch() -> StoreSnapshot:
            return StoreSnapshot((), 5)

        async with ClientSession() as session:
            shared, _ = _shared(fetch, received, session)
            trusted = []
            for pause in (0.0, 0.7, 1.8, 6.0, 1.0, 1.0, 1.0):
                clock.now += pause
                await shared.read()
                trusted.append(received[-1].trusted)
        assert trusted == [True, True, True, False, False, False, True]

    async def test_older_snapshot_is_ignored(self) -> None:
        """An older snapshot of a neighbour that arrives late never replaces a newer one."""
        received: list[ReceivedSnapshot] = []

        async def fetch() -> StoreSnapshot:
            raise PlatformUnavailableError("away", step="list")

        async with ClientSession() as session:
            shared, _ = _shared(fetch, received, session)
            shared.accept(ReceivedSnapshot(StoreSnapshot((), 7), 100.0, True))
            shared.accept(ReceivedSnapshot(StoreSnapshot((), 6), 101.0, True))
        assert [each.snapshot.revision for each in received] == [7]

    @pytest.mark.parametrize("revision", [1, 6, 7, 8, 5000])
    async def test_next_era_replaces_whatever_its_revisions_are(self, revision: int) -> None:
        """Guards against nodes that reject a store whose revisions went back.

        Its answers may cross: one of the former era that arrives later changes nothing.
        """
        received: list[ReceivedSnapshot] = []

        async def fetch() -> StoreSnapshot:
            raise PlatformUnavailableError("away", step="list")

        before = StoreSnapshot((Item("k", b"lost", 7),), 7, era=3)
        after = StoreSnapshot((Item("k", b"new", revision),), revision, era=4)
        async with ClientSession() as session:
            shared, _ = _shared(fetch, received, session)
            shared.accept(ReceivedSnapshot(before, 100.0, True))
            shared.accept(ReceivedSnapshot(after, 99.9, True))
            shared.accept(ReceivedSnapshot(replace(before, revision=9000), 101.0, True))
            twice = StoreSnapshot((), 3, era=6)
            shared.accept(ReceivedSnapshot(twice, 102.0, True))
        assert [each.snapshot for each in received] == [before, after, twice]

    async def test_entries_missing_from_an_older_copy_are_not_removed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against dropping endpoints whose entries the store has lost and gets again."""
        clock = _Clock()
        monkeypatch.setattr("wrenloft_routing._store_snapshots.read_clock", clock.read)
        received: list[ReceivedSnapshot] = []
        eras = iter([1, 1, 2, 2, 2, 2, 2])

        async def fetch() -> StoreSnapshot:
            return StoreSnapshot((), 5, next(eras))

        async with ClientSession() as session:
            shared, _ = _shared(fetch, received, session)
            for _ in range(7):
                clock.now += 0.7
                await shared.read()
        assert [each.trusted for each in received] == [True, True, *[False] * 4, True]

    async def test_store_that_answers_with_older_content_is_read_with_pauses(self) -> None:
        """Guards against relays that read a store hundreds of times a second in vain."""
        received: list[ReceivedSnapshot] = []
        reads = 0

        async def fetch() -> StoreSnapshot:
            nonlocal reads
            reads += 1
            await asyncio.sleep(0.001)
            return StoreSnapshot((), 7 if reads == 1 else 6)

        async with ClientSession() as session:
            shared, _ = _shared(fetch, received, session)
            task = asyncio.create_task(shared.run())
            await asyncio.sleep(1.5)
            task.cancel()
        assert 2 < reads < 15

    async def test_one_relay_reads_for_all(self) -> None:
        """The first zone's relay reads the store; the others take over in order when it fails.

        Without an order, all relays would call the store at once at each change of reader.
        """
        read_delays = []
        async with ClientSession() as session:
            for place in ("p", "q", "r"):
                members = Members(_member("a", place))
                members.update([_member(f"n{each}", each) for each in ("p", "q", "r")])
                shared, _ = _shared(_fail, [], session, members=members)
                read_delays.append(shared._measure_read_delay())
        assert read_delays[0] == 0.01
        assert 0.015 < read_delays[1] < read_delays[2]

    async def test_change_is_read_at_once(self) -> None:
        """A version of weights is published just after a read, and its deadline runs from then.

        Read at the next interval, it would reach the agents up to 0.8 s late.
        """
        revision = 1

        async def fetch() -> StoreSnapshot:
            return StoreSnapshot((Item("k", b"v", revision),), revision)

        received: list[ReceivedSnapshot] = []
        async with ClientSession() as session:
            shared, _ = _shared(fetch, received, session)
            shared._interval = 60.0
            task = asyncio.create_task(shared.run())
            async with asyncio.timeout(10):
                while not received:
                    await asyncio.sleep(0.01)
                revision = 2
                shared.request_refresh()
                while received[-1].snapshot.revision != 2:
                    await asyncio.sleep(0.01)
            task.cancel()

    async def test_unavailable_store_gets_few_calls_from_many_nodes(self) -> None:
        """The store is down, and 40 nodes of a zone have no recent snapshot for two seconds.

        Each on its own would call six times a second, 480 times in all.
        """
        calls = 0

        async def fetch() -> StoreSnapshot:
            nonlocal calls
            calls += 1
            raise PlatformUnavailableError("away", step="list")

        nodes = [_member(f"n{number}") for number in range(40)]
        async with ClientSession() as session:
            tasks = []
            for number, own in enumerate(nodes):
                members = Members(own)
                members.update([each for each in nodes if each is not own])
                shared, _ = _shared(fetch, [], session, ZoneRole.SUBSCRIBED, members)
                shared._random = Random(number)
                tasks.append(asyncio.create_task(shared.run()))
            await asyncio.sleep(2.0)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        assert calls < 40

    async def test_node_whose_relay_has_no_recent_snapshot_reads_itself(self) -> None:
        """The store refuses the zone's relay but serves this node."""

        async def fetch() -> StoreSnapshot:
            return StoreSnapshot((), 3)

        received: list[ReceivedSnapshot] = []
        async with ClientSession() as session:
            shared, _ = _shared(fetch, received, session, ZoneRole.SUBSCRIBED)
            task = asyncio.create_task(shared.run())
            async with asyncio.timeout(10):
                while not received:
                    await asyncio.sleep(0.01)
            task.cancel()
        assert received[0].snapshot.revision == 3


async def _fail() -> StoreSnapshot:
    raise PlatformUnavailableError("away", step="list")
