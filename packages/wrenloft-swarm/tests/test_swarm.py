"""Tests of weights on their way: what is kept, from whom it is fetched, what is loaded."""

import asyncio
import hashlib
import json
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from random import Random

import pytest
from aiohttp import ClientSession, web

from wrenloft_core import IntegrityError, ModelName, Pacer, PlatformUnavailableError
from wrenloft_policy import EVERY_LAYER, LayerSpan, list_span_chunks
from wrenloft_swarm import (
    EngineState,
    Holding,
    Holdings,
    LatestState,
    Means,
    Neighbour,
    OrderResult,
    SwarmRoutes,
    SwarmTransfer,
    Upkeep,
    VersionName,
)
from wrenloft_swarm._assignments import Duties

MODEL = ModelName("m")
COUNT = 12
LAYERS = 4


def _chunks(version: int) -> list[bytes]:
    return [f"chunk {version}/{number}".encode() * 50 for number in range(COUNT)]


def _digests(version: int) -> tuple[str, ...]:
    return tuple(hashlib.sha256(each).hexdigest() for each in _chunks(version))


@dataclass
class FakeOrigin:
    """An origin that counts what it sends and spoils or refuses on request."""

    sent: list[tuple[int, int]] = field(default_factory=list)
    spoil: int = 0
    wrong_lists: int = 0
    down: bool = False

    async def fetch_digests(self, name: VersionName) -> tuple[str, ...]:
        if self.down:
            raise PlatformUnavailableError("down", step="fetch-digests")
        if self.wrong_lists > 0:
            self.wrong_lists -= 1
            return ("0" * 64, *_digests(name.number)[1:])
        return _digests(name.number)

    async def fetch_chunk(self, name: VersionName, chunk: int) -> bytes:
        if self.down:
            raise PlatformUnavailableError("down", step="fetch-from-origin")
        self.sent.append((name.number, chunk))
        if self.spoil > 0:
            self.spoil -= 1
            return b"spoilt"
        return _chunks(name.number)[chunk]


@dataclass
class FakeEngine:
    """An engine that loads what lies staged at the moment of the order.

    :param rot: chunks that turn bad as soon as they are staged for the first time.
    :param draining: when set, an order takes effect once this event has come.
    """

    staged: dict[int, bytes] = field(default_factory=dict)
    version: int = 0
    loaded: list[tuple[int, bool]] = field(default_factory=list)
    rot: set[int] = field(default_factory=set)
    busy: int = 0
    spans: list[LayerSpan] = field(default_factory=list)
    span: LayerSpan | None = EVERY_LAYER
    draining: asyncio.Event | None = None

    async def report(self) -> EngineState:
        span = self.span if self.version else None
        return EngineState(0, 0, self.version, False, 1.0, len(self.loaded), span)

    async def list_staged(self, name: VersionName) -> set[int]:
        return set(self.staged)

    async def read_staged(self, name: VersionName, chunk: int) -> bytes | None:
        return self.staged.get(chunk)

    async def stage(self, name: VersionName, chunk: int, data: bytes) -> None:
        if chunk in self.rot:
            self.rot.discard(chunk)
            data = b"rotten"
        self.staged[chunk] = data

    async def order(self, name: VersionName, span: LayerSpan) -> OrderResult:
        if self.busy > 0:
            self.busy -= 1
            return OrderResult.BUSY
        wanted = list_span_chunks(span, LAYERS, COUNT)
        sound = all(self.staged.get(each) == _chunks(name.number)[each] for each in wanted)
        self.loaded.append((name.number, sound))
        self.spans.append(span)
        if self.draining:
            await self.draining.wait()
        self.version = name.number
        self.span = span
        return OrderResult.ACCEPTED


@dataclass
class Peer:
    """One agent's holdings, served on the loopback address."""

    holdings: Holdings
    neighbour: Neighbour
    heard: list[tuple[str, int]]
    latest: LatestState = field(default_factory=LatestState)


@pytest.fixture
async def stack() -> AsyncIterator[AsyncExitStack]:
    """Own everything that a test opens."""
    async with AsyncExitStack() as stack:
        yield stack


@pytest.fixture
async def session(stack: AsyncExitStack) -> ClientSession:
    """Open a session."""
    return await stack.enter_async_context(ClientSession())


class HeldLink(Pacer):
    """A link that carries nothing until it is set free."""

    def __init__(self) -> None:
        super().__init__(1e9)
        self.free = asyncio.Event()

    async def carry(self, size: int) -> None:
        await self.free.wait()


async def _serve(stack: AsyncExitStack, *, near: bool = True, pacer: Pacer | None = None) -> Peer:
    holdings = Holdings()
    latest = LatestState()
    heard: list[tuple[str, int]] = []
    routes = SwarmRoutes(
        holdings,
        latest,
        lambda: False,
        lambda model, number: heard.append((model, number)),
        pacer or Pacer(1e9),
        lambda address: heard.append((address, 0)),
    )
    app = web.Application()
    app.add_routes(routes.routes())
    runner = web.AppRunner(app, shutdown_timeout=0.1, handler_cancellation=True)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    address = f"127.0.0.1:{runner.addresses[0][1]}"
    return Peer(holdings, Neighbour(address, near), heard, latest)


def _fill(holding: Holding, chunks: range) -> None:
    for chunk in chunks:
        holding.add(chunk, _chunks(holding.name.number)[chunk], "test")


def _transfer(
    peer: Peer, others: list[Peer], session: ClientSession, origin: FakeOrigin, version: int = 1
) -> SwarmTransfer:
    name = VersionName(MODEL, version)
    holding = peer.holdings.get(name) or peer.holdings.open(name, _digests(version))
    neighbours = [each.neighbour for each in others]
    return SwarmTransfer(
        holding, session, origin, lambda: neighbours, peer.neighbour, Random(peer.neighbour.address)
    )


class TestHolding:
    """Tests for ``Holding``."""

    def test_refuses_spoilt_bytes(self) -> None:
        """What does not fit its digest is never kept, so it is never passed on or loaded."""
        holding = Holding(VersionName(MODEL, 1), _digests(1))
        with pytest.raises(IntegrityError):
            holding.add(0, _chunks(2)[0], "peer")
        assert holding.get(0) is None
        assert not holding.mask

    def test_drops_old_versions_only(self) -> None:
        """The version in service and the ones about it stay."""
        holdings = Holdings()
        for number in range(1, 6):
            holdings.open(VersionName(MODEL, number), _digests(number))
        kept = [n for n in range(1, 6) if holdings.get(VersionName(MODEL, n))]
        assert kept == [3, 4, 5]


class TestSwarmTransfer:
    """Tests for ``SwarmTransfer``."""

    async def test_takes_what_neighbours_hold_without_the_origin(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """A host that joins draws nothing from the origin while a neighbour has all."""
        full, new = await _serve(stack), await _serve(stack)
        _fill(full.holdings.open(VersionName(MODEL, 1), _digests(1)), range(COUNT))
        origin = FakeOrigin()
        async with asyncio.timeout(10):
            await _transfer(new, [full], session, origin).run()
        assert not origin.sent

    async def test_swarm_draws_about_one_copy_from_the_origin(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Five hosts that start with nothing all become whole from little more than one copy."""
        peers = [await _serve(stack) for _ in range(5)]
        origin = FakeOrigin()
        transfers = [
            _transfer(peer, [each for each in peers if each is not peer], session, origin)
            for peer in peers
        ]
        async with asyncio.timeout(20):
            await asyncio.gather(*(each.run() for each in transfers))
        assert len(origin.sent) <= 2 * COUNT

    async def test_spoilt_chunk_is_fetched_again(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """The origin's link spoils three chunks; the version still becomes whole and right."""
        peer = await _serve(stack)
        origin = FakeOrigin(spoil=3)
        transfer = _transfer(peer, [], session, origin)
        async with asyncio.timeout(10):
            await transfer.run()
        assert sum(transfer.spoilt.values()) == 3

    async def test_dead_neighbour_does_not_hold_up_its_turns(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Chunks whose turn is a dead host's are fetched by another after a while."""
        peer = await _serve(stack)
        dead = Peer(Holdings(), Neighbour("127.0.0.1:9", near=True), [])
        async with asyncio.timeout(20):
            await _transfer(peer, [dead], session, FakeOrigin()).run()

    async def test_asking_tells_the_neighbour_of_a_version(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """An agent that the store has not told yet hears of a version from whoever asks for it."""
        peer, other = await _serve(stack), await _serve(stack)
        async with asyncio.timeout(20):
            await _transfer(peer, [other], session, FakeOrigin(), version=2).run()
        assert (MODEL, 2) in other.heard


class Rig:
    """An upkeep with a fake engine and origin, and no neighbours unless some are given."""

    def __init__(
        self,
        stack: AsyncExitStack,
        session: ClientSession,
        engine: FakeEngine,
        neighbours: Sequence[Neighbour] = (),
        *,
        cold: bool = False,
    ) -> None:
        self.cold = cold
        self.engine = engine
        self.latest = LatestState()
        self.origin = FakeOrigin()
        means = Means(
            engine=engine,
            origin=self.origin,
            session=session,
            holdings=Holdings(),
            latest=self.latest,
            neighbours=lambda: list(neighbours),
            own=Neighbour("127.0.0.1:1", near=True),
            link_rate=1e6,
            chunk_bytes=100,
            random=Random(1),
            layers=LAYERS,
            is_cold=lambda: self.cold,
        )
        self.upkeep = Upkeep(MODEL, means)
        for work in (self.upkeep.follow_engine(), self.upkeep.run()):
            stack.callback(asyncio.create_task(work).cancel)

    async def wait_for(self, version: int) -> None:
        """Wait until the engine has loaded a version."""
        async with asyncio.timeout(15):
            while self.engine.version != version:
                await asyncio.sleep(0.02)


class TestSwarmRoutes:
    """Tests for ``SwarmRoutes``."""

    async def test_further_chunks_wait_and_the_rest_is_refused(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Ten neighbours ask at once for a chunk each.

        Sent all at once each would be late; refused all but two, the link would rest between them.
        Those not served first are refused before the others.
        """
        link = HeldLink()
        peer = await _serve(stack, pacer=link)
        _fill(peer.holdings.open(VersionName(MODEL, 1), _digests(1)), range(COUNT))

        async def ask(chunk: int, urgency: str) -> int:
            url = f"http://{peer.neighbour.address}/chunks/{MODEL}/1/{chunk}?urgency={urgency}"
            async with session.get(url) as response:
                await response.read()
                return response.status

        for urgency, served in (("rest", 4), ("first", 6)):
            link.free.clear()
            tasks = {asyncio.create_task(ask(chunk, urgency)) for chunk in range(10)}
            refused: set[asyncio.Task[int]] = set()
            while len(refused) < 10 - served:
                done, _ = await asyncio.wait(tasks - refused, return_when=asyncio.FIRST_COMPLETED)
                refused |= done
            link.free.set()
            answers = await asyncio.gather(*tasks)
            assert {await each for each in refused} == {429}
            assert answers.count(200) == served

    async def test_yielding_engine_is_reported_without_layers(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Entry nodes stop sending to an engine that is about to go on to another version."""
        peer = await _serve(stack)
        peer.latest.set(EngineState(1, 0, 1, False, 1.0, 0, LayerSpan(0, 4)))
        peer.latest.set_yielding(True)
        url = f"http://{peer.neighbour.address}/reports"
        async with asyncio.timeout(5), session.get(url) as response:
            report = json.loads(await response.content.readline())
        assert (report["version"], report["span"]) == (1, None)


class TestDuties:
    """Tests for ``Duties``."""

    def test_part_without_members_is_everybodys(self) -> None:
        """A region with one host still fetches both parts."""
        own = Neighbour("10.1.0.1:1", near=True)
        duties = Duties(own, [Neighbour("10.2.0.1:1", near=False, at_origin=False)], 2, 12)
        assert [duties.list_carriers(chunk) for chunk in (0, 11)] == [[own.address]] * 2

    def test_one_region_takes_each_chunk_first(self) -> None:
        """The others take it from there, and not from the origin's region once more."""
        hosts = [
            Neighbour(f"10.{n}.0.1:1", near=False, at_origin=n == 1, region=f"r{n}")
            for n in (1, 2, 3)
        ]
        firsts = [
            [Duties(own, [o for o in hosts if o is not own], 1, 12).is_first_region(chunk)]
            for own in hosts[1:]
            for chunk in (0, 1)
        ]
        assert firsts == [[True], [False], [False], [True]]


class TestUpkeep:
    """Tests for ``Upkeep``."""

    async def test_cold_engine_serves_its_part_before_it_has_the_rest(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """All hosts lost power; callers are refused until some engines hold all layers together.

        The engine loads its half as soon as it has that, and the rest beside the work.
        """
        others = [Neighbour("127.0.0.1:9", near=True)]
        rig = Rig(stack, session, FakeEngine(), others, cold=True)
        async with asyncio.timeout(20):
            while len(rig.engine.spans) < 2:
                await asyncio.sleep(0.02)
        assert rig.engine.spans == [LayerSpan(0, 2), LayerSpan(0, LAYERS)]
        assert rig.engine.loaded == [(1, True), (1, True)]

    async def test_part_is_loaded_though_others_were_faster(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """After a loss of power the engines with the other half are a second faster.

        They count as serving, so the fleet is no longer without weights; but they serve nobody
        until this engine has loaded its half.
        """
        rig = Rig(stack, session, FakeEngine(), [Neighbour("127.0.0.1:9", near=True)], cold=True)
        async with asyncio.timeout(20):
            while rig.upkeep._plan.parts == 1:
                await asyncio.sleep(0.01)
            rig.cold = False
            while not rig.engine.spans:
                await asyncio.sleep(0.02)
        assert rig.engine.spans[0] == LayerSpan(0, 2)

    async def test_stalled_fetch_keeps_no_requests_away(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """The origin goes away when the last chunks of a version are still missing.

        Kept idle until it is back, all engines would refuse what they can serve on the version
        before.
        """
        rig = Rig(stack, session, FakeEngine(version=1))
        async with asyncio.timeout(5):
            while rig.latest.state is None:
                await asyncio.sleep(0.02)
        rig.origin.down = True
        holding = rig.upkeep._means.holdings.open(VersionName(MODEL, 2), _digests(2))
        _fill(holding, range(COUNT - 1))
        rig.upkeep.name_version(2)
        await asyncio.sleep(1.0)
        assert not rig.latest.yielding

    async def test_engine_that_joins_others_waits_for_the_whole_version(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """While others serve, a chain with the new engine would only slow them down."""
        others = [Neighbour("127.0.0.1:9", near=True)]
        rig = Rig(stack, session, FakeEngine(), others)
        await rig.wait_for(1)
        assert rig.engine.spans == [LayerSpan(0, LAYERS)]

    async def test_next_version_is_fetched_while_the_engine_still_loads(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """A third version is named while streams keep the engine from going on to the second.

        Fetched only after that, the third would miss its deadline by as much. What lies staged
        for the second must stay until the engine has taken it.
        """
        engine = FakeEngine(version=1, draining=asyncio.Event())
        rig = Rig(stack, session, engine)
        rig.upkeep.name_version(2)
        async with asyncio.timeout(10):
            while not engine.loaded:
                await asyncio.sleep(0.02)
            rig.upkeep.name_version(3)
            holdings = rig.upkeep._means.holdings
            third = VersionName(MODEL, 3)
            while (held := holdings.get(third)) is None or held.missing():
                await asyncio.sleep(0.02)
        assert engine.version == 1
        engine.draining.set()
        await rig.wait_for(3)
        assert engine.loaded == [(2, True), (3, True)]

    async def test_next_versions_chunk_takes_no_checked_ones_place(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """A chunk of the next version arrives between the check of a part and its order.

        The engine loads what lies staged at the order and checks nothing: written then, the chunk
        would be loaded into the version before.
        """
        engine = FakeEngine()
        rig = Rig(stack, session, engine, [Neighbour("127.0.0.1:9", near=True)], cold=True)
        order = engine.order

        async def order_late(name: VersionName, span: LayerSpan) -> OrderResult:
            await rig.upkeep._stage_early(VersionName(MODEL, 2), 0, _chunks(2)[0])
            return await order(name, span)

        engine.order = order_late  # type: ignore[method-assign]
        async with asyncio.timeout(20):
            while not engine.loaded:
                await asyncio.sleep(0.02)
        assert engine.loaded[0] == (1, True)

    async def test_requests_are_kept_away_before_the_engine_goes_on(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Sent to an engine that waits for its last stream, requests would only be refused."""
        engine = FakeEngine(version=1, draining=asyncio.Event())
        rig = Rig(stack, session, engine)
        rig.upkeep.name_version(2)
        async with asyncio.timeout(10):
            while not engine.loaded:
                await asyncio.sleep(0.02)
        assert rig.latest.yielding
        engine.draining.set()
        async with asyncio.timeout(10):
            while rig.latest.yielding:
                await asyncio.sleep(0.02)
        assert engine.version == 2

    async def test_requests_are_kept_away_while_the_version_after_is_fetched(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Two versions are named within seconds; the first is held and about to be loaded.

        Judged by the one that is fetched meanwhile, the engine looked far from any load: requests
        were sent to it until its order, and rejected (24 within a second at ten engines).
        """
        rig = Rig(stack, session, FakeEngine(version=1))
        rig.origin.down = True
        upkeep = rig.upkeep
        upkeep.name_version(2)
        upkeep.name_version(3)
        holdings = upkeep._means.holdings
        _fill(holdings.open(VersionName(MODEL, 2), _digests(2)), range(COUNT))
        holdings.open(VersionName(MODEL, 3), _digests(3))
        upkeep._current = upkeep._newest
        assert upkeep._is_about_to_load(EngineState(0, 0, 1, False, 1.0, 0, LayerSpan(0, LAYERS)))

    async def test_empty_engine_gets_the_first_version(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """An engine that was added serves without anybody's order."""
        rig = Rig(stack, session, FakeEngine())
        await rig.wait_for(1)
        assert rig.engine.loaded == [(1, True)]

    async def test_named_version_is_loaded_whole(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """A version that operators name is in service, every chunk of it right."""
        rig = Rig(stack, session, FakeEngine(version=1))
        rig.upkeep.name_version(2)
        await rig.wait_for(2)
        assert rig.engine.loaded == [(2, True)]
        assert rig.engine.spans == [LayerSpan(0, LAYERS)]

    async def test_rotten_staged_chunks_are_replaced_before_the_order(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Two staged chunks turn bad; the engine never loads them.

        The engine takes whatever lies staged when it is ordered, and checks nothing.
        """
        rig = Rig(stack, session, FakeEngine(version=1, rot={3, 7}))
        rig.upkeep.name_version(2)
        await rig.wait_for(2)
        assert rig.engine.loaded == [(2, True)]

    async def test_restarted_engine_is_loaded_again(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """An engine that lost its weights gets them back from this agent, not from the origin."""
        rig = Rig(stack, session, FakeEngine())
        await rig.wait_for(1)
        drawn = len(rig.origin.sent)
        rig.engine.version = 0
        rig.engine.staged.clear()
        await rig.wait_for(1)
        assert rig.engine.loaded == [(1, True), (1, True)]
        assert len(rig.origin.sent) == drawn

    async def test_busy_engine_is_ordered_again(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """An order that met a busy engine is not taken for one that was accepted."""
        rig = Rig(stack, session, FakeEngine(busy=2))
        await rig.wait_for(1)

    async def test_wrong_list_of_digests_is_replaced(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """One digest was spoilt on its way, so its chunk never fits; the list is asked for anew."""
        rig = Rig(stack, session, FakeEngine())
        rig.origin.wrong_lists = 1
        await rig.wait_for(1)
        assert rig.engine.loaded == [(1, True)]

    async def test_staged_chunks_are_taken_at_the_start(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """What lies staged beside the engine is held, but not what rotted there."""
        staged = dict(enumerate(_chunks(1)))
        staged[4] = b"rotten"
        rig = Rig(stack, session, FakeEngine(staged=staged, version=1))
        holdings = rig.upkeep._means.holdings
        async with asyncio.timeout(5):
            while (held := holdings.get(VersionName(MODEL, 1))) is None or held.held < COUNT - 1:
                await asyncio.sleep(0.02)
        assert held.missing() == [4]
        assert not rig.origin.sent

    async def test_staged_chunks_are_taken_once_the_origin_has_started(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """An agent starts before the origin, whose digests tell sound chunks from rotten ones.

        Given up then, its neighbours could never fetch from it, and an engine that joins would
        draw from the origin what lies beside every engine.
        """
        engine = FakeEngine(staged=dict(enumerate(_chunks(1))), version=1)
        rig = Rig(stack, session, engine)
        rig.origin.down = True
        await asyncio.sleep(0.6)
        rig.origin.down = False
        holdings = rig.upkeep._means.holdings
        async with asyncio.timeout(10):
            while (held := holdings.get(VersionName(MODEL, 1))) is None or held.missing():
                await asyncio.sleep(0.02)
        assert not rig.origin.sent

    async def test_version_is_fetched_while_nobody_has_the_digests_of_what_lies_staged(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """All hosts lost power; beside the engine lies the version before the one that is wanted.

        Nobody has its digests any more, and asking for them takes seconds. Callers waited for
        each of those seconds, as the agent began to fetch only when it had given them up.
        """
        engine = FakeEngine(staged=dict(enumerate(_chunks(1))))
        rig = Rig(stack, session, engine)
        fetch = rig.origin.fetch_digests

        async def fetch_slowly(name: VersionName) -> tuple[str, ...]:
            if name.number == 1:
                await asyncio.Event().wait()
            return await fetch(name)

        rig.origin.fetch_digests = fetch_slowly  # type: ignore[method-assign]
        rig.upkeep.name_version(2)
        await rig.wait_for(2)
        assert engine.loaded == [(2, True)]

    async def test_killed_agent_goes_on_where_it_was(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """All agents are killed while a version is on its way; most of it lies staged.

        Fetched from the beginning, it came eight seconds later, and the version before it was
        refused by then: callers found no engine. What is another version's does not fit.
        """
        staged = dict(enumerate(_chunks(2)))
        staged[3] = _chunks(1)[3]
        engine = FakeEngine(staged=staged, version=1)
        rig = Rig(stack, session, engine)
        rig.upkeep.name_version(2)
        await rig.wait_for(2)
        assert engine.loaded == [(2, True)]
        assert [each for each in rig.origin.sent if each[0] == 2] == [(2, 3)]
