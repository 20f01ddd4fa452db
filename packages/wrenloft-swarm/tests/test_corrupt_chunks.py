"""Tests of staged chunks that become corrupt before an engine takes them, in virtual time."""

import asyncio
import hashlib
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from random import Random
from typing import Any
from unittest.mock import Mock

import pytest
from virtual_fleet import run_virtually

from wrenloft_core import ModelName, PlatformUnavailableError, read_clock
from wrenloft_policy import LayerSpan, list_span_chunks
from wrenloft_swarm import (
    ChunkStore,
    EngineState,
    LatestState,
    Neighbour,
    OrderResult,
    Reconciler,
    ReconcilerContext,
    VersionChunks,
    VersionName,
)
from wrenloft_swarm._staging import StagingArea

MODEL = ModelName("m")
CHUNKS = 24
LAYERS = 4
WHOLE = LayerSpan(0, LAYERS)

EXCUSED_SECONDS = 3.0
"""Time for which a chunk may have been corrupt when the engine takes it."""

DEADLINE_SECONDS = 2.0
"""Time from the naming of version 2 until requests may begin on it only."""

LOAD_SECONDS = 1.0
CALL_SECONDS = 0.002
CALL_TIMEOUT_SECONDS = 1.0


def _make_chunk(version: int, chunk: int) -> bytes:
    return f"{version}/{chunk}".encode()


@dataclass
class Weights:
    """Layers that an engine has taken.

    :param flawed: chunks missing, of another version, or corrupt for longer than is excused.
    """

    version: int
    span: LayerSpan
    flawed: list[int]


@dataclass
class Engine:
    """An engine that loads staged chunks as they are when it accepts an order.

    :param drain_seconds: time from an order to unload until the last stream has ended.
    :param call_seconds: time of a call that reads or writes a chunk.
    :param before_order: awaited by each order to load before the engine gets it.
    :param before_write: awaited by each write of a chunk before the engine gets it.
    :param silent_until: time until which the engine carries out nothing. It gets orders then, of
        which the callers no longer wait for an answer.
    :ivar unsound: times at which requests could have begun on flawed weights.
    """

    latest: LatestState
    drain_seconds: float = 6.0
    call_seconds: float = CALL_SECONDS
    before_order: Callable[[], Awaitable[None]] | None = None
    before_write: Callable[[VersionName, int], Awaitable[None]] | None = None
    staged: dict[int, bytes] = field(default_factory=dict)
    corrupt_since: dict[int, float] = field(default_factory=dict)
    weights: Weights | None = field(default_factory=lambda: Weights(1, WHOLE, []))
    busy: bool = False
    sequence: int = 0
    taken: list[Weights] = field(default_factory=list)
    rejected: int = 0
    unsound: list[float] = field(default_factory=list)
    silent_until: float = 0.0
    calls: set[asyncio.Task[Any]] = field(default_factory=set)

    async def _check_silence(self) -> None:
        if read_clock() < self.silent_until:
            await asyncio.sleep(CALL_TIMEOUT_SECONDS)
            raise PlatformUnavailableError("no answer", step="call")

    async def report(self) -> EngineState:
        await self._check_silence()
        await asyncio.sleep(CALL_SECONDS)
        held = self.weights
        version, span = (held.version, held.span) if held else (0, None)
        return EngineState(0, 0, version, self.busy, 1.0, self.sequence, span)

    async def list_staged(self, _: VersionName) -> set[int]:
        return set(self.staged)

    async def read_staged(self, _: VersionName, chunk: int) -> bytes | None:
        await self._check_silence()
        await asyncio.sleep(self.call_seconds)
        return self.staged.get(chunk)

    async def stage(self, name: VersionName, chunk: int, data: bytes) -> None:
        """Carry a write out, also when the caller no longer waits for the answer."""
        write = asyncio.create_task(self._stage_later(name, chunk, data))
        self.calls.add(write)
        await asyncio.shield(write)

    async def _stage_later(self, name: VersionName, chunk: int, data: bytes) -> None:
        if self.before_write is not None:
            await self.before_write(name, chunk)
        await self._check_silence()
        await asyncio.sleep(self.call_seconds)
        self.staged[chunk] = data
        self.corrupt_since.pop(chunk, None)

    def spoil(self, chunks: list[int]) -> None:
        """Let staged chunks become corrupt."""
        for chunk in chunks:
            self.staged[chunk] = b"corrupt"
            self.corrupt_since.setdefault(chunk, read_clock())

    async def order(self, name: VersionName, span: LayerSpan, sequence: int = -1) -> OrderResult:
        """Carry an order out, also when the caller no longer waits for the answer."""
        call = asyncio.create_task(self._order_later(name, span, sequence))
        self.calls.add(call)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                return await asyncio.shield(call)
        except TimeoutError as error:
            raise PlatformUnavailableError("no answer", step="order") from error

    async def _order_later(self, name: VersionName, span: LayerSpan, sequence: int) -> OrderResult:
        if self.before_order is not None:
            await self.before_order()
        await asyncio.sleep(max(0.0, self.silent_until - read_clock()))
        await asyncio.sleep(CALL_SECONDS)
        if self.busy or sequence not in (-1, self.sequence):
            self.rejected += 1
            return OrderResult.BUSY
        held = self.weights
        if held and held.version == name.number and held.span.contains(span):
            return OrderResult.ACCEPTED
        wanted = list_span_chunks(span, LAYERS, CHUNKS)
        weights = Weights(name.number, span, self._list_flawed(name.number, wanted))
        self.taken.append(weights)
        self._begin(LOAD_SECONDS, weights)
        return OrderResult.ACCEPTED

    def _list_flawed(self, version: int, wanted: range) -> list[int]:
        now = read_clock()
        return [
            chunk
            for chunk in wanted
            if self.staged.get(chunk) != _make_chunk(version, chunk)
            and now - self.corrupt_since.get(chunk, 0.0) > EXCUSED_SECONDS
        ]

    async def unload(self, name: VersionName, sequence: int) -> OrderResult:
        await asyncio.sleep(CALL_SECONDS)
        if self.busy or sequence != self.sequence:
            return OrderResult.BUSY
        is_flawed = self.weights is not None and bool(self.weights.flawed)
        self._begin(0.5 if is_flawed else self.drain_seconds, None)
        return OrderResult.ACCEPTED

    def _begin(self, seconds: float, weights: Weights | None) -> None:
        self.busy = True
        self.sequence += 1
        asyncio.get_running_loop().call_later(seconds, self._end, weights)

    def _end(self, weights: Weights | None) -> None:
        self.weights, self.busy = weights, False

    async def observe(self) -> None:
        """Record when entry nodes would send requests to flawed weights, until cancelled.

        A change of the report reaches them within a tenth of a second.
        """
        while True:
            state = self.latest.state
            shown = state is not None and state.span is not None and not state.loading
            withheld = self.latest.swap_pending or getattr(self.latest, "withheld", False)
            if shown and not withheld and self.weights is not None and self.weights.flawed:
                self.unsound.append(read_clock())
            await asyncio.sleep(0.01)


@dataclass
class Origin:
    """An origin of weights, unavailable at first.

    :param is_away: whether it doesn't answer.
    """

    is_away: bool = True

    async def fetch_digests(self, name: VersionName) -> tuple[str, ...]:
        self._check()
        chunks = [_make_chunk(name.number, each) for each in range(CHUNKS)]
        return tuple(hashlib.sha256(each).hexdigest() for each in chunks)

    async def fetch_chunk(self, name: VersionName, chunk: int) -> bytes:
        self._check()
        await asyncio.sleep(0.01)
        return _make_chunk(name.number, chunk)

    def _check(self) -> None:
        if self.is_away:
            raise PlatformUnavailableError("away", step="origin")


class Agent:
    """A reconciler beside an engine that serves version 1."""

    def __init__(self, stack: AsyncExitStack) -> None:
        self.cold = False
        self.latest = LatestState()
        self.engine = Engine(self.latest)
        self.origin = Origin()
        self.stack = stack
        self.neighbours: list[Neighbour] = []

    def start(self) -> None:
        """Start the reconciler; called again, it stands for a new process."""
        context = ReconcilerContext(
            engine=self.engine,
            origin=self.origin,
            session=Mock(),
            chunk_store=ChunkStore(),
            latest=self.latest,
            neighbours=lambda: self.neighbours,
            own=Neighbour("127.0.0.1:1", near=True),
            link_rate=1e6,
            chunk_bytes=100,
            random=Random(1),
            layers=LAYERS,
            is_cold=lambda: self.cold,
            version_seconds=DEADLINE_SECONDS,
        )
        self.reconciler = Reconciler(MODEL, context)
        works = (self.reconciler.poll_engine(), self.reconciler.run(), self.engine.observe())
        self.tasks = [asyncio.create_task(work) for work in works]
        for task in self.tasks:
            self.stack.callback(task.cancel)

    async def stop(self) -> None:
        """End the process."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def begin_unload(self) -> None:
        """Name version 2, and let the engine be ordered to unload before its chunks arrive."""
        self.start()
        self.reconciler.set_target_version(2)
        while not self.engine.busy:
            await asyncio.sleep(0.01)
        self.origin.is_away = False

    async def wait_until(self, condition: Callable[[], bool], seconds: float = 20.0) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.01)

    def has_loaded(self, version: int) -> bool:
        """Return whether the engine has all layers of a version in service, and is not busy."""
        held = self.engine.weights
        return held is not None and held.version == version and held.span == WHOLE

    async def wait_for_load(self, version: int = 2) -> None:
        """Wait until entry nodes may send requests to all layers, and a while longer."""

        def serves() -> bool:
            withheld = getattr(self.latest, "withheld", False)
            return self.has_loaded(version) and not self.engine.busy and not withheld

        await self.wait_until(serves, 60.0)
        await asyncio.sleep(1.0)
        await self.wait_until(serves)

    def check_weights(self) -> None:
        """Check that the engine's weights are sound and no request could begin on others."""
        assert self.engine.weights is not None
        assert not self.engine.weights.flawed
        assert not self.engine.unsound


def _play(work: Callable[[Agent], Awaitable[None]]) -> None:
    async def run() -> None:
        async with AsyncExitStack() as stack:
            await work(Agent(stack))

    run_virtually(run)


def _delay_once(agent: Agent, seconds: float, spoilt: list[int]) -> Callable[[], Awaitable[None]]:
    """Return what delays the first order that the engine would accept."""

    async def delay() -> None:
        if not agent.engine.busy:
            agent.engine.before_order = None
            agent.engine.spoil(spoilt)
            await asyncio.sleep(seconds)

    return delay


class TestCorruptChunks:
    """Tests of the chunks that an engine takes."""

    @pytest.mark.parametrize("seed", range(1, 11))
    def test_chunks_corrupt_during_an_unload_are_replaced(self, seed: int) -> None:
        """Guards against an engine that takes chunks compared seconds before its streams ended."""
        random = Random(seed)

        async def work(agent: Agent) -> None:
            await agent.begin_unload()
            await agent.wait_until(lambda: agent.engine.rejected > 0)
            await asyncio.sleep(random.uniform(0.0, 1.0))
            agent.engine.spoil(random.sample(range(CHUNKS), 5))
            await agent.wait_for_load()
            assert not any(each.flawed for each in agent.engine.taken)
            agent.check_weights()

        _play(work)

    @pytest.mark.parametrize("seed", range(1, 6))
    def test_chunks_corrupt_again_and_again_are_replaced(self, seed: int) -> None:
        """Guards against a load that never begins, or takes chunks that were not compared again."""
        random = Random(seed)

        async def work(agent: Agent) -> None:
            async def spoil() -> None:
                while True:
                    await asyncio.sleep(random.uniform(0.0, 0.3))
                    agent.engine.spoil(random.sample(sorted(agent.engine.staged), 2))

            agent.engine.staged = {each: _make_chunk(1, each) for each in range(CHUNKS)}
            await agent.begin_unload()
            agent.stack.callback(asyncio.create_task(spoil()).cancel)
            begun = read_clock()
            await agent.wait_for_load()
            assert read_clock() - begun < agent.engine.drain_seconds + LOAD_SECONDS + 2.0
            assert not any(each.flawed for each in agent.engine.taken)
            agent.check_weights()

        _play(work)

    @pytest.mark.parametrize("seconds", [3.5, 5.0])
    def test_order_sent_long_after_the_comparison_is_undone(self, seconds: float) -> None:
        """Guards against corrupt chunks in service after the agent was paused before its order."""

        async def work(agent: Agent) -> None:
            order = agent.engine.order

            async def order_late(*arguments: object) -> OrderResult:
                if not agent.engine.busy:
                    agent.engine.order = order  # type: ignore[method-assign]
                    agent.engine.spoil([3, 7])
                    await asyncio.sleep(seconds)
                return await order(*arguments)  # type: ignore[arg-type]

            agent.engine.order = order_late  # type: ignore[method-assign]
            await agent.begin_unload()
            await agent.wait_for_load()
            assert agent.engine.taken[0].flawed == [3, 7]
            agent.check_weights()

        _play(work)

    @pytest.mark.parametrize("seconds", [0.9, 1.5, 4.0])
    def test_order_carried_out_after_its_timeout_is_undone(self, seconds: float) -> None:
        """Guards against corrupt chunks in service after an order that was not answered."""

        async def work(agent: Agent) -> None:
            agent.engine.before_order = _delay_once(agent, seconds, [3, 7])
            await agent.begin_unload()
            await agent.wait_for_load()
            agent.check_weights()

        _play(work)

    @pytest.mark.parametrize("seconds", [1.5, 4.0, 6.0])
    def test_order_carried_out_by_an_engine_that_was_silent_is_undone(self, seconds: float) -> None:
        """Guards against corrupt chunks in service after an engine read its calls seconds late."""

        async def work(agent: Agent) -> None:
            async def fall_silent() -> None:
                if not agent.engine.busy:
                    agent.engine.before_order = None
                    agent.engine.spoil([3, 7])
                    agent.engine.silent_until = read_clock() + seconds

            agent.engine.before_order = fall_silent
            await agent.begin_unload()
            await agent.wait_for_load()
            assert bool(agent.engine.taken[0].flawed) == (seconds > EXCUSED_SECONDS)
            agent.check_weights()

        _play(work)

    def test_engine_is_withheld_until_a_late_order_is_settled(self) -> None:
        """Guards against requests to corrupt weights before the engine has unloaded them."""

        async def work(agent: Agent) -> None:
            agent.engine.weights = None
            order = agent.engine.order

            async def order_late(*arguments: object) -> OrderResult:
                agent.engine.order = order  # type: ignore[method-assign]
                agent.engine.spoil([3, 7])
                await asyncio.sleep(4.0)
                return await order(*arguments)  # type: ignore[arg-type]

            agent.engine.order = order_late  # type: ignore[method-assign]
            agent.origin.is_away = False
            agent.start()
            await agent.wait_for_load(1)
            assert agent.engine.taken[0].flawed == [3, 7]
            agent.check_weights()

        _play(work)

    def test_intact_chunks_of_a_late_order_are_kept(self) -> None:
        """Guards against an engine that is emptied although it took intact chunks late."""

        async def work(agent: Agent) -> None:
            agent.engine.before_order = _delay_once(agent, 4.0, [])
            await agent.begin_unload()
            await agent.wait_for_load()
            assert len(agent.engine.taken) == 1
            agent.check_weights()

        _play(work)

    def test_slow_pass_of_comparisons_is_not_relied_on(self) -> None:
        """Guards against a chunk that becomes corrupt while the last ones are still compared."""

        async def work(agent: Agent) -> None:
            agent.engine.call_seconds = 0.9  # a pass takes 5.4 s
            await agent.begin_unload()
            await agent.wait_until(lambda: not agent.engine.busy)
            read = agent.engine.read_staged
            reads = 0

            async def read_and_spoil(name: VersionName, chunk: int) -> bytes | None:
                nonlocal reads
                data = await read(name, chunk)
                reads += chunk == 0
                if chunk == 0 and reads == 2:
                    agent.engine.spoil([0])
                return data

            agent.engine.read_staged = read_and_spoil  # type: ignore[method-assign]
            await agent.wait_for_load()
            assert reads >= 2
            agent.check_weights()

        _play(work)

    def test_version_is_chosen_again_while_the_engine_is_busy(self) -> None:
        """Guards against seconds spent on a version that a newer one has replaced meanwhile."""

        async def work(agent: Agent) -> None:
            await agent.begin_unload()
            await agent.wait_until(lambda: agent.engine.rejected > 0)
            agent.reconciler.set_target_version(3)
            await agent.wait_for_load(3)
            assert [each.version for each in agent.engine.taken] == [3]
            agent.check_weights()

        _play(work)

    def test_second_part_is_compared_again(self) -> None:
        """Guards against chunks that were intact when the first part of a version was loaded."""

        async def work(agent: Agent) -> None:
            agent.neighbours = [Neighbour("127.0.0.1:9", near=True)]
            agent.engine.weights = None
            agent.cold = True
            agent.origin.is_away = False
            agent.start()
            await agent.wait_until(lambda: bool(agent.engine.taken))
            agent.engine.spoil([0, 1, CHUNKS - 1])
            await asyncio.sleep(EXCUSED_SECONDS + LOAD_SECONDS)
            agent.cold = False
            await agent.wait_for_load(1)
            assert len(agent.engine.taken) > 1
            assert not any(each.flawed for each in agent.engine.taken)
            agent.check_weights()

        _play(work)

    def test_recovered_chunks_are_compared_again(self) -> None:
        """Guards against chunks that a restarted agent recovered before they became corrupt."""

        async def work(agent: Agent) -> None:
            await agent.begin_unload()
            await agent.wait_until(lambda: agent.engine.rejected > 0)
            await agent.stop()
            agent.start()
            agent.reconciler.set_target_version(2, read_clock() - DEADLINE_SECONDS)
            await asyncio.sleep(0.3)
            agent.engine.spoil([5, 6])
            await agent.wait_for_load()
            assert not any(each.flawed for each in agent.engine.taken)
            agent.check_weights()

        _play(work)

    def test_chunks_are_recovered_beside_one_that_cannot_be_read(self) -> None:
        """Guards against fetching all staged chunks again since one read got no answer."""

        async def work(agent: Agent) -> None:
            agent.engine.staged = {each: _make_chunk(2, each) for each in range(CHUNKS)}
            read, fetch = agent.engine.read_staged, agent.origin.fetch_chunk
            fetched: list[int] = []

            async def fail_first(name: VersionName, chunk: int) -> bytes | None:
                if chunk == 0 and name.number == 2:
                    agent.engine.read_staged = read  # type: ignore[method-assign]
                    raise PlatformUnavailableError("no answer", step="call")
                return await read(name, chunk)

            async def record(name: VersionName, chunk: int) -> bytes:
                fetched.append(chunk)
                return await fetch(name, chunk)

            agent.engine.read_staged = fail_first  # type: ignore[method-assign]
            agent.origin.fetch_chunk = record  # type: ignore[method-assign]
            agent.origin.is_away = False
            agent.start()
            agent.reconciler.set_target_version(2)
            await agent.wait_for_load()
            assert fetched == [0]

        _play(work)

    def test_write_of_an_abandoned_fetch_ends_before_the_comparison(self) -> None:
        """Guards against a chunk of another version that arrives after it was compared."""

        async def work(agent: Agent) -> None:
            async def delay(name: VersionName, chunk: int) -> None:
                if name.number == 3:
                    await asyncio.sleep(0.8)

            agent.engine.before_write = delay
            agent.start()
            agent.reconciler.set_target_version(2)
            await agent.wait_until(lambda: agent.engine.busy)
            await asyncio.sleep(0.3)
            write = asyncio.create_task(
                agent.reconciler._stage_on_arrival(VersionName(MODEL, 3), 2, _make_chunk(3, 2))
            )
            await asyncio.sleep(0.1)
            write.cancel()
            agent.origin.is_away = False
            await agent.wait_for_load()
            assert not any(each.flawed for each in agent.engine.taken)
            agent.check_weights()

        _play(work)


class TestStagingArea:
    """Tests for ``StagingArea``."""

    def test_area_stays_locked_until_an_abandoned_write_has_ended(self) -> None:
        """Guards against a load between the comparison of a chunk and a write that replaces it."""

        async def work(agent: Agent) -> None:
            area = StagingArea(agent.engine)
            agent.engine.call_seconds = 0.5
            write = asyncio.create_task(area.write_unless_locked(VersionName(MODEL, 3), 2, b"next"))
            await asyncio.sleep(0.1)
            write.cancel()
            await asyncio.gather(write, return_exceptions=True)
            assert area.lock.locked()
            async with area.lock:
                assert agent.engine.staged == {2: b"next"}

        _play(work)

    def test_pass_over_a_silent_engine_leaves_no_calls_behind(self) -> None:
        """Guards against passes that pile up while an engine does not answer."""

        async def work(agent: Agent) -> None:
            agent.engine.silent_until = read_clock() + 60.0
            version_chunks = VersionChunks(VersionName(MODEL, 1), ["0" * 64] * CHUNKS)
            before = asyncio.all_tasks()
            with pytest.raises(PlatformUnavailableError):
                await StagingArea(agent.engine).refresh(version_chunks, range(CHUNKS), 0.0)
            await asyncio.sleep(0.01)
            assert asyncio.all_tasks() == before

        _play(work)
