"""Tests of what a node believes of the store, of endpoints and of other nodes, and for how long."""

import asyncio
from collections.abc import Callable
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
from wrenloft_policy import EVERY_LAYER
from wrenloft_routing import (
    CurrencyProof,
    Endpoint,
    Endpoints,
    EngineReport,
    EventSplitter,
    Item,
    Member,
    Members,
    NodeState,
    ReaderRole,
    Reading,
    SharedBudget,
    SharedReading,
    Taken,
)

PLACE = PlaceName("p")
REGION = RegionName("r")
SERVICE = ServiceName("s")


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

    def test_leaving_outlives_an_older_reading(self) -> None:
        """An endpoint that said it leaves gets nothing more.

        A reading from before it said so arrives afterwards, from a node that was slow.
        """
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a", leaving=True)], trusted=True)
        endpoints.update([_endpoint("a")], trusted=True)
        assert endpoints.of_service(SERVICE)[0].leaving

    def test_leaving_outlives_a_lapsed_entry(self) -> None:
        """The mark holds also when the entry vanishes and comes back."""
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a", leaving=True)], trusted=True)
        endpoints.update([], trusted=True)
        endpoints.update([_endpoint("a")], trusted=True)
        assert endpoints.of_service(SERVICE)[0].leaving

    def test_missing_entry_is_gone_only_if_the_reading_is_trusted(self) -> None:
        """Entries lapse while the store is away; their endpoints still serve.

        Once the store has been back for a while, a missing entry is a left endpoint at once.
        """
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a")], trusted=True)
        endpoints.update([], trusted=False)
        assert endpoints.of_service(SERVICE)
        endpoints.update([], trusted=True)
        assert not endpoints.of_service(SERVICE)

    def test_lapsed_endpoint_that_returns_is_used_again(self) -> None:
        """Being gone is no mark of leaving."""
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a")], trusted=True)
        endpoints.update([], trusted=True)
        endpoints.update([_endpoint("a")], trusted=True)
        assert not endpoints.of_service(SERVICE)[0].leaving

    def test_endpoint_that_starts_again_has_left_nothing(self) -> None:
        """An endpoint drains, ends, and starts again under the id that it had.

        Kept as leaving, it would get no request for the rest of its life. The marks of the former
        incarnation, its failures and its sends end with it.
        """
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a", leaving=True, born=1000)], trusted=True)
        endpoints.record_failure(endpoints.of_service(SERVICE)[0], read_clock())
        endpoints.update([_endpoint("a", born=2000)], trusted=True)
        (state,) = endpoints.of_service(SERVICE)
        assert (state.leaving, state.failures) == (False, 0)

    def test_word_of_an_earlier_incarnation_changes_nothing(self) -> None:
        """A node that was slow passes on a reading from before the endpoint started again.

        Neither the list nor a report of the former incarnation may speak for the new one.
        """
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a", born=2000)], trusted=True)
        endpoints.update([_endpoint("a", leaving=True, born=1000)], trusted=True)
        endpoints.record_report("a:1", EngineReport(9, 9, 3, False, 1.0, born=1000), read_clock())
        (state,) = endpoints.of_service(SERVICE)
        assert (state.leaving, state.endpoint.born, state.report) == (False, 2000, None)

    def test_report_of_a_new_incarnation_goes_before_the_list(self) -> None:
        """The list is seconds behind and still names what the engine held before its restart.

        Sent there, requests would be rejected one after the other until the list has changed.
        """
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a", versions={"m": 3}, born=1000)], trusted=True)
        (state,) = endpoints.of_service(SERVICE)
        endpoints.record_report("a:1", EngineReport(0, 0, 0, False, 1.0, None, 2000), 100.0)
        assert state.weights_of("m", 200.0).span is None

    def test_sends_since_a_report_count(self) -> None:
        """Between two reports an idle engine does not look idle to the node that fills it."""
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a")], trusted=True)
        now = read_clock()
        endpoints.record_report("a:1", EngineReport(2, 1, 1, False, 1.0), now)
        state = endpoints.of_service(SERVICE)[0]
        for seconds in (0.05, 0.1, 0.15):
            state.note_sent(now + seconds)
        load = endpoints.measure(state, now + 0.2)
        assert (load.running, load.waiting, load.sent_since) == (2, 1, 3)

    def test_a_report_ends_the_count_of_what_was_sent_before(self) -> None:
        """A report shows the engine as it was a quarter of a second before it arrived.

        Requests sent in that time count as recent, from which the sends of other nodes are guessed.
        """
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a")], trusted=True)
        state = endpoints.of_service(SERVICE)[0]
        state.note_sent(100.0)
        state.note_sent(100.2)
        endpoints.record_report("a:1", EngineReport(1, 0, 1, False, 1.0), 100.3)
        state.note_sent(100.35)
        load = endpoints.measure(state, 100.36)
        assert (load.sent_since, load.recent) == (1, 2)

    def test_old_report_of_loading_does_not_keep_requests_away(self) -> None:
        """An agent dies while its engine loads; the engine serves again and gets requests.

        Its last report, that the engine loads, would otherwise hold until the agent is back.
        """
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a", versions={"m": 1})], trusted=True)
        state = endpoints.of_service(SERVICE)[0]
        endpoints.record_report("a:1", EngineReport(0, 0, 1, True, 1.0, None), 100.0)
        assert state.weights_of("m", 100.1).span is None
        assert state.weights_of("m", 105.0).span == EVERY_LAYER

    def test_engine_that_gave_up_a_version_is_not_used_because_of_the_list(self) -> None:
        """An engine drops one version for the next; the list still names the old one.

        Requests sent by the list would be rejected, and count against the budget.
        """
        endpoints = Endpoints(PLACE, REGION)
        endpoints.update([_endpoint("a", versions={"m": 1})], trusted=True)
        state = endpoints.of_service(SERVICE)[0]
        endpoints.record_report("a:1", EngineReport(0, 0, 0, True, 1.0, None), 100.0)
        assert state.weights_of("m", 100.1).span is None

    def test_failures_keep_requests_away_longer_each_time(self) -> None:
        """A flapping endpoint is tried ever less often, up to a bound, and forgiven at once."""
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
    """Tests for ``SharedBudget``."""

    @pytest.mark.parametrize("nodes", [1, 3, 9])
    def test_all_nodes_together_stay_within_the_allowance(self, nodes: int) -> None:
        """Whatever the callers do, second tries stay below the shared bound in every window.

        All nodes spend whatever they may, with ten requests a second each, for a minute.
        """
        budgets = [SharedBudget(0.2, 106.0, 10.0, nodes) for _ in range(nodes)]
        spent: list[float] = []
        for tenth in range(600):
            now = tenth / 10
            for budget in budgets:
                budget.earn(SERVICE, now)
                while budget.spend(SERVICE, now):
                    spent.append(now)
        for start in range(50):
            inside = sum(start <= at < start + 10 for at in spent)
            assert inside <= 0.2 * nodes * 100 + 106


class TestCurrencyProof:
    """Tests for ``CurrencyProof``."""

    def test_keys_need_a_young_proof(self) -> None:
        """Without one, before the first and after the bound, no key may be used."""
        proof = CurrencyProof(5.0)
        assert not proof.allows_keys()
        proof.record(read_clock())
        assert proof.allows_keys()

    def test_proof_counts_from_the_beginning_of_its_read(self) -> None:
        """An answer that took four seconds proves what was true four seconds ago."""
        proof = CurrencyProof(5.0)
        proof.record(read_clock() - 4.5)
        assert not proof.allows_keys()

    def test_late_answer_does_not_take_a_younger_proof_away(self) -> None:
        """Answers overtake each other; the youngest counts."""
        proof = CurrencyProof(5.0)
        proof.record(read_clock())
        proof.record(read_clock() - 60.0)
        assert proof.allows_keys()


class TestEventSplitter:
    """Tests for ``EventSplitter``."""

    def test_cuts_at_any_place(self) -> None:
        """Wherever the network cuts, the same whole events come out."""
        data = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
        for cut in range(len(data)):
            splitter = EventSplitter()
            events = splitter.feed(data[:cut]) + splitter.feed(data[cut:])
            assert [each.number for each in events] == [1, 2]
            assert b"".join(each.data for each in events) == data
            assert not splitter.torn


class TestMembers:
    """Tests for ``Members``."""

    def test_callers_get_the_nearest_that_are_enough(self) -> None:
        """Two nodes in the caller's zone suffice; one does not."""
        members = Members(_member("a"))
        members.update([_member("b"), _member("c", "q")])
        assert members.choose(PLACE, REGION) == ["a:80", "b:80"]
        assert len(members.choose(PlaceName("q"), REGION)) == 3

    def test_lost_node_is_no_longer_named(self) -> None:
        """A node that its zone's relay has lost, or that says it is not ready, is out at once."""
        members = Members(_member("a"))
        members.update([_member("b"), _member("c"), _member("d")])
        assert "b:80" in members.choose(PLACE, REGION)
        members.take_states({NodeId("b"): NodeState.LOST, NodeId("c"): NodeState.UNREADY})
        assert members.choose(PLACE, REGION) == ["a:80", "d:80"]

    def test_cut_off_node_names_all_it_knows(self) -> None:
        """A node that hears nobody and is not ready itself still gives callers somewhere to go."""
        members = Members(_member("a"))
        members.update([_member("b")])
        members.own.state = NodeState.UNREADY
        members.take_states({NodeId("b"): NodeState.LOST})
        assert len(members.choose(PLACE, REGION)) == 2

    def test_lapsed_entry_of_a_live_node_stays(self) -> None:
        """Entries lapse while the store is away; nodes that are heard of are still there."""
        members = Members(_member("a"))
        members.update([_member("b"), _member("c")])
        members.take_states({NodeId("b"): NodeState.READY, NodeId("c"): NodeState.LOST})
        members.update([])
        assert members.get(NodeId("b")) is not None
        assert members.get(NodeId("c")) is None

    def test_relay_that_was_lost_is_passed_over_for_a_while(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A node's relay dies. It asks the next, at last itself, and later the first again.

        Each further loss in a row keeps a relay out for longer, so that a dark one costs little.
        """
        clock = _Clock()
        monkeypatch.setattr("wrenloft_routing._members.read_clock", clock.read)
        own = _member("z")
        members = Members(own)
        members.update([_member("b"), _member("c")])
        order = [each.node_id for each in members.rank_place(PLACE)]
        picked = []
        while (relay := members.pick_relay(PLACE)) is not own:
            assert relay is not None
            picked.append(relay.node_id)
            members.record_relay(relay, heard=False)
        assert picked == order[: order.index(own.node_id)]
        clock.now += 1.5
        assert members.pick_relay(PLACE) is members.rank_place(PLACE)[0]

    def test_dark_zone_is_tried_again(self) -> None:
        """All relays of another zone were lost; it may be back, and nobody else would tell."""
        members = Members(_member("a"))
        members.update([_member("x", "q"), _member("y", "q")])
        members.take_states({NodeId("x"): NodeState.LOST, NodeId("y"): NodeState.LOST})
        assert members.pick_relay(PlaceName("q")) is not None


class _Clock:
    def __init__(self) -> None:
        self.now = 1000.0

    def read(self) -> float:
        return self.now


def _shared(
    fetch: Callable[[], Any],
    taken: list[Taken],
    session: ClientSession,
    role: ReaderRole = ReaderRole.RELAYING,
    members: Members | None = None,
) -> tuple[SharedReading, Members]:
    members = members or Members(_member("a"))
    shared = SharedReading(
        "x", fetch, taken.append, 0.01, members, session, lambda: role, Random(7), Signal()
    )
    return shared, members


class TestSharedReading:
    """Tests for ``SharedReading``."""

    async def test_reads_the_store_and_recovers(self) -> None:
        """Readings go on after the store was away."""
        outcomes: list[Any] = [1, None, None, 2]

        async def fetch() -> Reading:
            outcome = outcomes.pop(0) if outcomes else 2
            if outcome is None:
                raise PlatformUnavailableError("away", step="list")
            return Reading((Item("k", b"v", outcome),), outcome)

        taken: list[Taken] = []
        async with ClientSession() as session:
            shared, _ = _shared(fetch, taken, session)
            task = asyncio.create_task(shared.follow())
            async with asyncio.timeout(5):
                while not taken or taken[-1].reading.revision != 2:
                    await asyncio.sleep(0.01)
            task.cancel()
        assert taken[0].reading.revision == 1

    async def test_returns_are_trusted_only_after_a_while(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Right after an outage a missing entry may have lapsed; two seconds later it is gone.

        A single late reading is no outage, and changes nothing.
        """
        clock = _Clock()
        monkeypatch.setattr("wrenloft_routing._store_snapshots.read_clock", clock.read)
        taken: list[Taken] = []

        async def fetch() -> Reading:
            return Reading((), 5)

        async with ClientSession() as session:
            shared, _ = _shared(fetch, taken, session)
            trusted = []
            for pause in (0.0, 0.7, 1.8, 6.0, 1.0, 1.0, 1.0):
                clock.now += pause
                await shared.read()
                trusted.append(taken[-1].trusted)
        assert trusted == [True, True, True, False, False, False, True]

    async def test_older_reading_is_not_taken(self) -> None:
        """A neighbour's older reading that arrives late never reverts a newer one."""
        taken: list[Taken] = []

        async def fetch() -> Reading:
            raise PlatformUnavailableError("away", step="list")

        async with ClientSession() as session:
            shared, _ = _shared(fetch, taken, session)
            shared.accept(Taken(Reading((), 7), 100.0, True))
            shared.accept(Taken(Reading((), 6), 101.0, True))
        assert [each.reading.revision for each in taken] == [7]

    async def test_one_relay_reads_for_all(self) -> None:
        """Of all relays the first zone's reads; the others take over when it falls silent.

        Without an order, each change of reader would let all of them call the store at once.
        """
        patience = []
        async with ClientSession() as session:
            for place in ("p", "q", "r"):
                members = Members(_member("a", place))
                members.update([_member(f"n{each}", each) for each in ("p", "q", "r")])
                shared, _ = _shared(_fail, [], session, members=members)
                patience.append(shared._measure_patience())
        assert patience[0] == 0.01
        assert 0.015 < patience[1] < patience[2]

    async def test_change_is_read_at_once(self) -> None:
        """A version of weights is named just after a read; its deadline runs from now on.

        Read at the next interval, it would be known to the agents up to 0.8 s late.
        """
        revision = 1

        async def fetch() -> Reading:
            return Reading((Item("k", b"v", revision),), revision)

        taken: list[Taken] = []
        async with ClientSession() as session:
            shared, _ = _shared(fetch, taken, session)
            shared._interval = 60.0
            task = asyncio.create_task(shared.follow())
            async with asyncio.timeout(10):
                while not taken:
                    await asyncio.sleep(0.01)
                revision = 2
                shared.hurry()
                while taken[-1].reading.revision != 2:
                    await asyncio.sleep(0.01)
            task.cancel()

    async def test_store_that_is_away_gets_few_calls_from_many_nodes(self) -> None:
        """The store is down, and 40 nodes of a zone have no fresh reading for two seconds.

        Each on its own would call six times a second, 480 times in all.
        """
        calls = 0

        async def fetch() -> Reading:
            nonlocal calls
            calls += 1
            raise PlatformUnavailableError("away", step="list")

        members = Members(_member("a"))
        members.update([_member(f"n{number}") for number in range(39)])
        async with ClientSession() as session:
            tasks = []
            for number in range(40):
                shared, _ = _shared(fetch, [], session, ReaderRole.FOLLOWING, members)
                shared._random = Random(number)
                tasks.append(asyncio.create_task(shared.follow()))
            await asyncio.sleep(2.0)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        assert calls < 40

    async def test_node_whose_relay_has_no_fresh_reading_reads_itself(self) -> None:
        """The store turns the zone's relay away, and serves this node."""

        async def fetch() -> Reading:
            return Reading((), 3)

        taken: list[Taken] = []
        async with ClientSession() as session:
            shared, _ = _shared(fetch, taken, session, ReaderRole.FOLLOWING)
            task = asyncio.create_task(shared.follow())
            async with asyncio.timeout(10):
                while not taken:
                    await asyncio.sleep(0.01)
            task.cancel()
        assert taken[0].reading.revision == 3


async def _fail() -> Reading:
    raise PlatformUnavailableError("away", step="list")
