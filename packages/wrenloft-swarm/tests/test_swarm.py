"""Tests of storing, fetching, serving and loading chunks of weights."""

import asyncio
import hashlib
import json
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from random import Random

import pytest
from aiohttp import ClientSession, web

from wrenloft_core import (
    IntegrityError,
    ModelName,
    Pacer,
    PlatformUnavailableError,
    read_clock,
)
from wrenloft_policy import ALL_LAYERS, LayerSpan, list_span_chunks
from wrenloft_swarm import (
    ChunkStore,
    EngineState,
    LatestState,
    Neighbour,
    OrderResult,
    Reconciler,
    ReconcilerContext,
    SwarmRoutes,
    SwarmTransfer,
    VersionChunks,
    VersionName,
)
from wrenloft_swarm._assignments import Assignments

MODEL = ModelName("m")
COUNT = 12
LAYERS = 4


def _chunks(version: int) -> list[bytes]:
    return [f"chunk {version}/{number}".encode() * 50 for number in range(COUNT)]


def _digests(version: int) -> tuple[str, ...]:
    return tuple(hashlib.sha256(each).hexdigest() for each in _chunks(version))


@dataclass
class FakeOrigin:
    """An origin that records what it sends, and can corrupt its answers or be unavailable.

    :param corrupt_chunks: chunks still to be sent corrupt.
    :param wrong_digest_lists: lists of digests still to be sent with one wrong digest.
    """

    sent: list[tuple[int, int]] = field(default_factory=list)
    corrupt_chunks: int = 0
    wrong_digest_lists: int = 0
    is_unavailable: bool = False

    async def fetch_digests(self, name: VersionName) -> tuple[str, ...]:
        if self.is_unavailable:
            raise PlatformUnavailableError("down", step="fetch-digests")
        if self.wrong_digest_lists > 0:
            self.wrong_digest_lists -= 1
            return ("0" * 64, *_digests(name.number)[1:])
        return _digests(name.number)

    async def fetch_chunk(self, name: VersionName, chunk: int) -> bytes:
        if self.is_unavailable:
            raise PlatformUnavailableError("down", step="fetch-from-origin")
        self.sent.append((name.number, chunk))
        if self.corrupt_chunks > 0:
            self.corrupt_chunks -= 1
            return b"spoilt"
        return _chunks(name.number)[chunk]


@dataclass
class FakeEngine:
    """An engine that loads what is staged at the time of the order.

    :param corrupt_on_stage: chunks that become corrupt when they are staged for the first time.
    :param draining: an order takes effect once this event is set.
    :param keeps_weights: whether it refuses orders to unload.
    :param lost_unloads: orders to unload still to be left without a response.
    """

    staged: dict[int, bytes] = field(default_factory=dict)
    version: int = 0
    loaded: list[tuple[int, bool]] = field(default_factory=list)
    corrupt_on_stage: set[int] = field(default_factory=set)
    busy: int = 0
    spans: list[LayerSpan] = field(default_factory=list)
    span: LayerSpan | None = ALL_LAYERS
    draining: asyncio.Event | None = None
    unloaded: list[tuple[int, int]] = field(default_factory=list)
    keeps_weights: bool = False
    lost_unloads: int = 0
    accepted: int = 0

    async def report(self) -> EngineState:
        span = self.span if self.version else None
        return EngineState(0, 0, self.version, False, 1.0, self.accepted, span)

    async def list_staged(self, name: VersionName) -> set[int]:
        return set(self.staged)

    async def read_staged(self, name: VersionName, chunk: int) -> bytes | None:
        return self.staged.get(chunk)

    async def stage(self, name: VersionName, chunk: int, data: bytes) -> None:
        if chunk in self.corrupt_on_stage:
            self.corrupt_on_stage.discard(chunk)
            data = b"rotten"
        self.staged[chunk] = data

    async def unload(self, name: VersionName, sequence: int) -> OrderResult:
        self.unloaded.append((name.number, sequence))
        if self.lost_unloads > 0:
            self.lost_unloads -= 1
            raise PlatformUnavailableError("no response", step="order")
        if self.busy > 0:
            self.busy -= 1
            return OrderResult.BUSY
        if self.keeps_weights:
            return OrderResult.REFUSED
        self.version = 0
        self.accepted += 1
        return OrderResult.ACCEPTED

    async def order(self, name: VersionName, span: LayerSpan, sequence: int) -> OrderResult:
        if self.busy > 0:
            self.busy -= 1
            return OrderResult.BUSY
        wanted = list_span_chunks(span, LAYERS, COUNT)
        intact = all(self.staged.get(each) == _chunks(name.number)[each] for each in wanted)
        self.accepted += 1
        self.loaded.append((name.number, intact))
        self.spans.append(span)
        if self.draining:
            await self.draining.wait()
        self.version = name.number
        self.span = span
        return OrderResult.ACCEPTED


@dataclass
class Peer:
    """One agent's chunk store, served on the loopback address."""

    chunk_store: ChunkStore
    neighbour: Neighbour
    received: list[tuple[str, int]]
    latest: LatestState = field(default_factory=LatestState)


@pytest.fixture
async def stack() -> AsyncIterator[AsyncExitStack]:
    """Close everything that a test opens."""
    async with AsyncExitStack() as stack:
        yield stack


@pytest.fixture
async def session(stack: AsyncExitStack) -> ClientSession:
    """Open a session."""
    return await stack.enter_async_context(ClientSession())


class BlockedPacer(Pacer):
    """A pacer that passes nothing until it is released."""

    def __init__(self) -> None:
        super().__init__(1e9)
        self.released = asyncio.Event()

    async def acquire(self, size: int) -> None:
        await self.released.wait()


async def _serve(stack: AsyncExitStack, *, near: bool = True, pacer: Pacer | None = None) -> Peer:
    chunk_store = ChunkStore()
    latest = LatestState()
    received: list[tuple[str, int]] = []
    routes = SwarmRoutes(
        chunk_store,
        latest,
        lambda: False,
        lambda model, number: received.append((model, number)),
        pacer or Pacer(1e9),
        lambda address: received.append((address, 0)),
    )
    app = web.Application()
    app.add_routes(routes.routes())
    runner = web.AppRunner(app, shutdown_timeout=0.1, handler_cancellation=True)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, "127.0.0.1", 0).start()
    address = f"127.0.0.1:{runner.addresses[0][1]}"
    return Peer(chunk_store, Neighbour(address, near), received, latest)


def _fill(version_chunks: VersionChunks, chunks: range) -> None:
    for chunk in chunks:
        version_chunks.add(chunk, _chunks(version_chunks.name.number)[chunk], "test")


def _transfer(
    peer: Peer, others: list[Peer], session: ClientSession, origin: FakeOrigin, version: int = 1
) -> SwarmTransfer:
    name = VersionName(MODEL, version)
    version_chunks = peer.chunk_store.get(name) or peer.chunk_store.open(name, _digests(version))
    neighbours = [each.neighbour for each in others]
    return SwarmTransfer(
        version_chunks,
        session,
        origin,
        lambda: neighbours,
        peer.neighbour,
        Random(peer.neighbour.address),
    )


class TestVersionChunks:
    """Tests for ``VersionChunks`` and ``ChunkStore``."""

    def test_rejects_corrupt_bytes(self) -> None:
        """Bytes that don't match their digest are never stored, so never sent on or loaded."""
        version_chunks = VersionChunks(VersionName(MODEL, 1), _digests(1))
        with pytest.raises(IntegrityError):
            version_chunks.add(0, _chunks(2)[0], "peer")
        assert version_chunks.get(0) is None
        assert not version_chunks.bitmap

    def test_drops_old_versions_only(self) -> None:
        """The three newest versions stay."""
        chunk_store = ChunkStore()
        for number in range(1, 6):
            chunk_store.open(VersionName(MODEL, number), _digests(number))
        kept = [n for n in range(1, 6) if chunk_store.get(VersionName(MODEL, n))]
        assert kept == [3, 4, 5]


class TestSwarmTransfer:
    """Tests for ``SwarmTransfer``."""

    async def test_fetches_from_neighbours_without_the_origin(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """A host that joins fetches nothing from the origin while a neighbour has all chunks."""
        complete, joining = await _serve(stack), await _serve(stack)
        _fill(complete.chunk_store.open(VersionName(MODEL, 1), _digests(1)), range(COUNT))
        origin = FakeOrigin()
        async with asyncio.timeout(10):
            await _transfer(joining, [complete], session, origin).run()
        assert not origin.sent

    async def test_swarm_fetches_about_one_copy_from_the_origin(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Five hosts that start with no chunks take at most two copies in all from the origin."""
        peers = [await _serve(stack) for _ in range(5)]
        origin = FakeOrigin()
        transfers = [
            _transfer(peer, [each for each in peers if each is not peer], session, origin)
            for peer in peers
        ]
        async with asyncio.timeout(20):
            await asyncio.gather(*(each.run() for each in transfers))
        assert len(origin.sent) <= 2 * COUNT

    async def test_corrupt_chunk_is_fetched_again(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Three chunks from the origin arrive corrupt; the version still becomes complete."""
        peer = await _serve(stack)
        origin = FakeOrigin(corrupt_chunks=3)
        transfer = _transfer(peer, [], session, origin)
        async with asyncio.timeout(10):
            await transfer.run()
        assert sum(transfer.corrupt.values()) == 3

    async def test_chunks_of_a_dead_neighbour_are_reassigned(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Chunks assigned to a dead host are fetched by another one after a while."""
        peer = await _serve(stack)
        dead = Peer(ChunkStore(), Neighbour("127.0.0.1:9", near=True), [])
        async with asyncio.timeout(20):
            await _transfer(peer, [dead], session, FakeOrigin()).run()

    async def test_request_announces_the_version_to_the_neighbour(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """An agent that lags behind the store learns of a version from a neighbour's request."""
        peer, other = await _serve(stack), await _serve(stack)
        async with asyncio.timeout(20):
            await _transfer(peer, [other], session, FakeOrigin(), version=2).run()
        assert (MODEL, 2) in other.received


class Harness:
    """A reconciler with a fake engine and origin, and with the given neighbours."""

    def __init__(
        self,
        stack: AsyncExitStack,
        session: ClientSession,
        engine: FakeEngine,
        neighbours: Sequence[Neighbour] = (),
        *,
        cold: bool = False,
        version_seconds: float = 8.0,
    ) -> None:
        self.cold = cold
        self.engine = engine
        self.latest = LatestState()
        self.origin = FakeOrigin()
        context = ReconcilerContext(
            engine=engine,
            origin=self.origin,
            session=session,
            chunk_store=ChunkStore(),
            latest=self.latest,
            neighbours=lambda: list(neighbours),
            own=Neighbour("127.0.0.1:1", near=True),
            link_rate=1e6,
            chunk_bytes=100,
            random=Random(1),
            layers=LAYERS,
            is_cold=lambda: self.cold,
            version_seconds=version_seconds,
        )
        self.reconciler = Reconciler(MODEL, context)
        for work in (self.reconciler.poll_engine(), self.reconciler.run()):
            stack.callback(asyncio.create_task(work).cancel)

    async def wait_for(self, version: int) -> None:
        """Wait until the engine has loaded a version."""
        async with asyncio.timeout(15):
            while self.engine.version != version:
                await asyncio.sleep(0.02)


class TestSwarmRoutes:
    """Tests for ``SwarmRoutes``."""

    async def test_uploads_are_queued_up_to_a_limit(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Ten neighbours request a chunk each at once; some are queued, the others refused.

        Sent all at once, every chunk would be late; with only two accepted, the link would be idle
        between them. Requests that aren't urgent have the lower limit.
        """
        pacer = BlockedPacer()
        peer = await _serve(stack, pacer=pacer)
        _fill(peer.chunk_store.open(VersionName(MODEL, 1), _digests(1)), range(COUNT))

        async def request_chunk(chunk: int, urgency: str) -> int:
            url = f"http://{peer.neighbour.address}/chunks/{MODEL}/1/{chunk}?urgency={urgency}"
            async with session.get(url) as response:
                await response.read()
                return response.status

        for urgency, served in (("rest", 4), ("first", 6)):
            pacer.released.clear()
            tasks = {asyncio.create_task(request_chunk(chunk, urgency)) for chunk in range(10)}
            refused: set[asyncio.Task[int]] = set()
            while len(refused) < 10 - served:
                done, _ = await asyncio.wait(tasks - refused, return_when=asyncio.FIRST_COMPLETED)
                refused |= done
            pacer.released.set()
            answers = await asyncio.gather(*tasks)
            assert {await each for each in refused} == {429}
            assert answers.count(200) == served

    async def test_engine_with_pending_swap_is_reported_without_layers(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Entry nodes stop sending to an engine that is about to swap to another version."""
        peer = await _serve(stack)
        peer.latest.set(EngineState(1, 0, 1, False, 1.0, 0, LayerSpan(0, 4)))
        peer.latest.set_swap_pending(True)
        url = f"http://{peer.neighbour.address}/reports"
        async with asyncio.timeout(5), session.get(url) as response:
            report = json.loads(await response.content.readline())
        assert (report["version"], report["span"]) == (1, None)


class TestAssignments:
    """Tests for ``Assignments``."""

    def test_part_without_members_is_assigned_to_all(self) -> None:
        """A region with one host still fetches both parts of a version."""
        own = Neighbour("10.1.0.1:1", near=True)
        assignments = Assignments(
            own, [Neighbour("10.2.0.1:1", near=False, at_origin=False)], 2, 12
        )
        assert [assignments.list_region_fetchers(chunk) for chunk in (0, 11)] == [[own.address]] * 2

    def test_one_region_fetches_each_chunk_first(self) -> None:
        """Other regions fetch a chunk from that one, and not from the origin's region again."""
        hosts = [
            Neighbour(f"10.{n}.0.1:1", near=False, at_origin=n == 1, region=f"r{n}")
            for n in (1, 2, 3)
        ]
        firsts = [
            [Assignments(own, [o for o in hosts if o is not own], 1, 12).is_first_region(chunk)]
            for own in hosts[1:]
            for chunk in (0, 1)
        ]
        assert firsts == [[True], [False], [False], [True]]


class TestReconciler:
    """Tests for ``Reconciler``."""

    async def test_cold_engine_serves_its_part_before_it_has_the_rest(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """After a power loss callers are refused until engines serve all layers in a chain.

        The engine loads its half as soon as that is stored, and the rest while it serves.
        """
        others = [Neighbour("127.0.0.1:9", near=True)]
        harness = Harness(stack, session, FakeEngine(), others, cold=True)
        async with asyncio.timeout(20):
            while len(harness.engine.spans) < 2:
                await asyncio.sleep(0.02)
        assert harness.engine.spans == [LayerSpan(0, 2), LayerSpan(0, LAYERS)]
        assert harness.engine.loaded == [(1, True), (1, True)]

    async def test_part_is_loaded_though_others_were_faster(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """After a power loss the engines with the other half load it a second earlier.

        They count as serving, so the fleet is no longer cold; but no request can be served until
        this engine has loaded its half.
        """
        harness = Harness(
            stack, session, FakeEngine(), [Neighbour("127.0.0.1:9", near=True)], cold=True
        )
        async with asyncio.timeout(20):
            while harness.reconciler._plan.parts == 1:
                await asyncio.sleep(0.01)
            harness.cold = False
            while not harness.engine.spans:
                await asyncio.sleep(0.02)
        assert harness.engine.spans[0] == LayerSpan(0, 2)

    async def test_stalled_fetch_keeps_no_requests_away(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """The origin becomes unavailable while the last chunks of a version are missing.

        With requests kept away until it is back, all engines would stand idle that could serve
        their current version.
        """
        harness = Harness(stack, session, FakeEngine(version=1))
        async with asyncio.timeout(5):
            while harness.latest.state is None:
                await asyncio.sleep(0.02)
        harness.origin.is_unavailable = True
        version_chunks = harness.reconciler._context.chunk_store.open(
            VersionName(MODEL, 2), _digests(2)
        )
        _fill(version_chunks, range(COUNT - 1))
        harness.reconciler.set_target_version(2)
        await asyncio.sleep(1.0)
        assert not harness.latest.swap_pending

    async def test_engine_that_joins_others_waits_for_the_whole_version(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """While other engines serve, chains with the new one would only reduce their capacity."""
        others = [Neighbour("127.0.0.1:9", near=True)]
        harness = Harness(stack, session, FakeEngine(), others)
        await harness.wait_for(1)
        assert harness.engine.spans == [LayerSpan(0, LAYERS)]

    async def test_next_version_is_fetched_while_the_engine_still_loads(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """A third version is set while streams delay the engine's swap to the second.

        Fetched only after the swap, the third would miss its deadline by the same delay. The chunks
        staged for the second must stay until the engine has loaded them.
        """
        engine = FakeEngine(version=1, draining=asyncio.Event())
        harness = Harness(stack, session, engine)
        harness.reconciler.set_target_version(2)
        async with asyncio.timeout(10):
            while not engine.loaded:
                await asyncio.sleep(0.02)
            harness.reconciler.set_target_version(3)
            chunk_store = harness.reconciler._context.chunk_store
            third = VersionName(MODEL, 3)
            while (
                version_chunks := chunk_store.get(third)
            ) is None or version_chunks.list_missing():
                await asyncio.sleep(0.02)
        assert engine.version == 1
        engine.draining.set()
        await harness.wait_for(3)
        assert engine.loaded == [(2, True), (3, True)]

    async def test_next_versions_chunk_overwrites_no_verified_one(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """A chunk of the next version arrives between the verification of a part and its order.

        The engine loads what is staged at the order without checks: a chunk staged at that point
        would be loaded into the wrong version.
        """
        engine = FakeEngine()
        harness = Harness(stack, session, engine, [Neighbour("127.0.0.1:9", near=True)], cold=True)
        order = engine.order

        async def order_late(name: VersionName, span: LayerSpan, sequence: int) -> OrderResult:
            await harness.reconciler._stage_on_arrival(VersionName(MODEL, 2), 0, _chunks(2)[0])
            return await order(name, span, sequence)

        engine.order = order_late  # type: ignore[method-assign]
        async with asyncio.timeout(20):
            while not engine.loaded:
                await asyncio.sleep(0.02)
        assert engine.loaded[0] == (1, True)

    async def test_requests_are_kept_away_before_a_swap(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """An engine that waits for its last stream before a swap would refuse new requests."""
        engine = FakeEngine(version=1, draining=asyncio.Event())
        harness = Harness(stack, session, engine)
        harness.reconciler.set_target_version(2)
        async with asyncio.timeout(10):
            while not engine.loaded:
                await asyncio.sleep(0.02)
        assert harness.latest.swap_pending
        engine.draining.set()
        async with asyncio.timeout(10):
            while harness.latest.swap_pending:
                await asyncio.sleep(0.02)
        assert engine.version == 2

    async def test_requests_are_kept_away_while_the_version_after_is_fetched(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Two versions are set within seconds; the first is stored and about to be loaded.

        If only the version being fetched is considered, no swap seems near: requests are sent to
        the engine until its order and rejected, 24 within a second at ten engines.
        """
        harness = Harness(stack, session, FakeEngine(version=1))
        harness.origin.is_unavailable = True
        reconciler = harness.reconciler
        reconciler.set_target_version(2)
        reconciler.set_target_version(3)
        chunk_store = reconciler._context.chunk_store
        _fill(chunk_store.open(VersionName(MODEL, 2), _digests(2)), range(COUNT))
        chunk_store.open(VersionName(MODEL, 3), _digests(3))
        reconciler._current = reconciler._newest
        assert reconciler._is_swap_pending(
            EngineState(0, 0, 1, False, 1.0, 0, LayerSpan(0, LAYERS))
        )

    async def test_version_past_its_deadline_is_unloaded_though_nothing_replaces_it(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Guards against old weights that stay in service for requests that arrive too late."""
        harness = Harness(stack, session, FakeEngine(version=1), version_seconds=1.0)
        harness.origin.is_unavailable = True
        harness.reconciler.set_target_version(2)
        await harness.wait_for(0)
        assert harness.engine.unloaded == [(1, 0)]
        harness.origin.is_unavailable = False
        await harness.wait_for(2)
        assert harness.engine.loaded == [(2, True)]

    async def test_order_to_unload_is_repeated_after_a_lost_response(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Guards against weights that stay in service because one call failed."""
        engine = FakeEngine(version=1, lost_unloads=2)
        harness = Harness(stack, session, engine, version_seconds=1.0)
        harness.origin.is_unavailable = True
        harness.reconciler.set_target_version(2)
        await harness.wait_for(0)
        assert len(engine.unloaded) == 3

    async def test_order_to_unload_is_repeated_after_another_order_came_first(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Guards against weights that stay in service because a report was older than an order."""
        engine = FakeEngine(version=1, busy=3)
        harness = Harness(stack, session, engine, version_seconds=1.0)
        harness.origin.is_unavailable = True
        harness.reconciler.set_target_version(2)
        await harness.wait_for(0)
        assert len(engine.unloaded) == 4

    async def test_unloaded_engines_do_not_make_a_nearly_complete_version_split(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Guards against a fetch that begins anew, in parts, when its last chunks are missing."""
        others = [Neighbour("127.0.0.1:9", near=True)]
        harness = Harness(stack, session, FakeEngine(version=1), others, version_seconds=1.0)
        harness.origin.is_unavailable = True
        reconciler = harness.reconciler
        name = VersionName(MODEL, 2)
        version_chunks = reconciler._context.chunk_store.open(name, _digests(2))
        _fill(version_chunks, range(COUNT - 1))
        reconciler.set_target_version(2)
        await harness.wait_for(0)
        harness.cold = True
        await asyncio.sleep(0.3)
        assert not reconciler._should_split(reconciler._newest, version_chunks)

    async def test_engine_that_cannot_unload_is_asked_once(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Guards against an order every 50 ms to an engine that knows none to unload."""
        engine = FakeEngine(version=1, keeps_weights=True)
        harness = Harness(stack, session, engine, version_seconds=0.6)
        harness.origin.is_unavailable = True
        harness.reconciler.set_target_version(2)
        await asyncio.sleep(1.5)
        assert engine.unloaded == [(1, 0)]

    async def test_version_counts_from_when_it_was_not_yet_named(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Guards against an agent that heard of a version late and keeps the old one for longer."""
        harness = Harness(stack, session, FakeEngine(version=1))
        harness.origin.is_unavailable = True
        harness.reconciler.set_target_version(2, read_clock() - 8.0)
        await harness.wait_for(0)
        assert harness.engine.unloaded == [(1, 0)]

    async def test_version_seen_again_keeps_its_deadline(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Guards against an engine that is emptied early because an old reading came afterwards."""
        harness = Harness(stack, session, FakeEngine(version=1))
        harness.origin.is_unavailable = True
        harness.reconciler.set_target_version(2, read_clock() - 0.2)
        harness.reconciler.set_target_version(2, read_clock() - 60.0)
        await asyncio.sleep(0.5)
        assert not harness.engine.unloaded

    async def test_empty_engine_is_not_loaded_with_a_version_past_its_deadline(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Guards against a load that keeps the engine busy when the permitted version arrives."""
        harness = Harness(stack, session, FakeEngine(), version_seconds=0.6)
        name = VersionName(MODEL, 1)
        _fill(harness.reconciler._context.chunk_store.open(name, _digests(1)), range(COUNT))
        harness.origin.is_unavailable = True
        harness.reconciler.set_target_version(2, read_clock() - 1.0)
        await asyncio.sleep(1.0)
        harness.origin.is_unavailable = False
        await harness.wait_for(2)
        assert harness.engine.loaded == [(2, True)]

    async def test_empty_engine_gets_the_first_version(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """A new engine loads the first version without an operator's action."""
        harness = Harness(stack, session, FakeEngine())
        await harness.wait_for(1)
        assert harness.engine.loaded == [(1, True)]

    async def test_target_version_is_loaded_completely(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """The version that operators set is loaded with every chunk intact."""
        harness = Harness(stack, session, FakeEngine(version=1))
        harness.reconciler.set_target_version(2)
        await harness.wait_for(2)
        assert harness.engine.loaded == [(2, True)]
        assert harness.engine.spans == [LayerSpan(0, LAYERS)]

    async def test_corrupt_staged_chunks_are_replaced_before_the_order(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Two staged chunks become corrupt, and are replaced before the engine loads them.

        The engine loads whatever is staged at the order, without checks.
        """
        harness = Harness(stack, session, FakeEngine(version=1, corrupt_on_stage={3, 7}))
        harness.reconciler.set_target_version(2)
        await harness.wait_for(2)
        assert harness.engine.loaded == [(2, True)]

    async def test_restarted_engine_is_loaded_again(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """An engine that lost its weights loads them again from this agent, not from the origin."""
        harness = Harness(stack, session, FakeEngine())
        await harness.wait_for(1)
        fetched = len(harness.origin.sent)
        harness.engine.version = 0
        harness.engine.staged.clear()
        await harness.wait_for(1)
        assert harness.engine.loaded == [(1, True), (1, True)]
        assert len(harness.origin.sent) == fetched

    async def test_busy_engine_is_ordered_again(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """An order that a busy engine turned down is repeated, not taken as accepted."""
        harness = Harness(stack, session, FakeEngine(busy=2))
        await harness.wait_for(1)

    async def test_wrong_list_of_digests_is_replaced(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """A digest corrupted in transit matches no chunk, so the list is fetched again."""
        harness = Harness(stack, session, FakeEngine())
        harness.origin.wrong_digest_lists = 1
        await harness.wait_for(1)
        assert harness.engine.loaded == [(1, True)]

    async def test_staged_chunks_are_recovered_at_the_start(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Chunks staged at the engine are stored, except those that became corrupt."""
        staged = dict(enumerate(_chunks(1)))
        staged[4] = b"rotten"
        harness = Harness(stack, session, FakeEngine(staged=staged, version=1))
        chunk_store = harness.reconciler._context.chunk_store
        async with asyncio.timeout(5):
            while (
                version_chunks := chunk_store.get(VersionName(MODEL, 1))
            ) is None or version_chunks.stored_count < COUNT - 1:
                await asyncio.sleep(0.02)
        assert version_chunks.list_missing() == [4]
        assert not harness.origin.sent

    async def test_staged_chunks_are_recovered_once_the_origin_has_started(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """An agent starts before the origin, whose digests are needed to verify staged chunks.

        Without a retry its neighbours could never fetch them from it, and an engine that joins
        would fetch from the origin what is staged at every engine.
        """
        engine = FakeEngine(staged=dict(enumerate(_chunks(1))), version=1)
        harness = Harness(stack, session, engine)
        harness.origin.is_unavailable = True
        await asyncio.sleep(0.6)
        harness.origin.is_unavailable = False
        chunk_store = harness.reconciler._context.chunk_store
        async with asyncio.timeout(10):
            while (
                version_chunks := chunk_store.get(VersionName(MODEL, 1))
            ) is None or version_chunks.list_missing():
                await asyncio.sleep(0.02)
        assert not harness.origin.sent

    async def test_version_is_fetched_while_digests_of_staged_chunks_are_missing(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """After a power loss, the version before the target is staged, and its digests are lost.

        Requests for them take seconds to fail. If the fetch of the target waited for that, callers
        would wait as long.
        """
        engine = FakeEngine(staged=dict(enumerate(_chunks(1))))
        harness = Harness(stack, session, engine)
        fetch = harness.origin.fetch_digests

        async def fetch_slowly(name: VersionName) -> tuple[str, ...]:
            if name.number == 1:
                await asyncio.Event().wait()
            return await fetch(name)

        harness.origin.fetch_digests = fetch_slowly  # type: ignore[method-assign]
        harness.reconciler.set_target_version(2)
        await harness.wait_for(2)
        assert engine.loaded == [(2, True)]

    async def test_killed_agent_resumes_the_fetch(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """All agents are killed during a fetch, with most of the version staged.

        Fetched from the beginning, it would be complete eight seconds later, when requests for the
        version before are already refused and callers find no engine. Staged chunks of another
        version don't match.
        """
        staged = dict(enumerate(_chunks(2)))
        staged[3] = _chunks(1)[3]
        engine = FakeEngine(staged=staged, version=1)
        harness = Harness(stack, session, engine)
        harness.reconciler.set_target_version(2)
        await harness.wait_for(2)
        assert engine.loaded == [(2, True)]
        assert [each for each in harness.origin.sent if each[0] == 2] == [(2, 3)]

    async def test_killed_agent_that_begins_with_the_first_version_resumes_the_fetch(
        self, stack: AsyncExitStack, session: ClientSession
    ) -> None:
        """Guards against agents that all fetch a staged version again after a loss of power."""
        staged = dict(enumerate(_chunks(2)))
        staged[3] = _chunks(1)[3]
        engine = FakeEngine(staged=staged)
        harness = Harness(stack, session, engine)
        answers = asyncio.Event()
        fetch_chunk = harness.origin.fetch_chunk

        async def fetch_later(name: VersionName, chunk: int) -> bytes:
            if name.number == 1:
                await answers.wait()  # the first version is still on its way
            return await fetch_chunk(name, chunk)

        harness.origin.fetch_chunk = fetch_later  # type: ignore[method-assign]
        async with asyncio.timeout(10):
            while 1 not in harness.reconciler._plans:
                await asyncio.sleep(0.02)
        harness.reconciler.set_target_version(2)
        await harness.wait_for(2)
        assert (2, True) in engine.loaded
        assert [each for each in harness.origin.sent if each[0] == 2] == [(2, 3)]
