"""Keeping one engine on the version that operators want."""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from math import ceil, log2
from random import Random
from typing import Any, TypeVar

from aiohttp import ClientSession

from wrenloft_core import ModelName, PlatformUnavailableError, note, read_clock, warn
from wrenloft_policy import (
    LINK_SHARE,
    SWAP_GROUPS,
    LayerSpan,
    WantedVersion,
    choose_version,
    is_whole_late,
    list_span_chunks,
    must_load_part,
    pick_swap_time,
    pick_turn,
    predict_first_whole,
    split_layers,
)
from wrenloft_swarm._assignments import Duties
from wrenloft_swarm._chunk_store import KEPT_VERSIONS, Holding, Holdings, VersionName
from wrenloft_swarm._neighbours import fetch_digests
from wrenloft_swarm._ports import (
    Engine,
    EngineState,
    Neighbour,
    OrderResult,
    Urgency,
    WeightsOrigin,
)
from wrenloft_swarm._server import LatestState
from wrenloft_swarm._transfer import DRAIN_SECONDS, SwarmTransfer

T = TypeVar("T")

_LOG = logging.getLogger(__name__)

REPORT_SECONDS = 0.1
"""Between two reads of the engine's report while it goes on to other weights, and between two looks
at what is to be done."""

REPORT_CALM_SECONDS = 0.3
"""The same while it serves what it should. Each read takes 2 ms of processor time: at ten a second
an agent that had nothing to do used 0.028 of a core."""

ORDER_RETRY_SECONDS = 0.1
"""Pause after an order that met a busy engine; it ends a pass about as often."""

DIGEST_ROUNDS = 3
"""Rounds in which neighbours are asked for a list of digests before the origin is, with up to eight
agents; each round takes 0.1 s, and a feeder has the list after the second. For each doubling of
the agents there are two more: the list passes from agent to agent."""

DIGEST_NEIGHBOURS = 2
"""Neighbours asked in a round besides one of the feeders. The list is 7 KB; asked of the feeders
alone, it took the link of each for half a second where there were a hundred agents."""

SPOILT_LIMIT = 3
"""Times a chunk may come spoilt before its digest is doubted: the list may be what is wrong."""

YIELD_SECONDS = 0.8
"""Before a version is whole, from when requests are kept away from an engine that serves an older
one: half of its streams end in that time, and the entry nodes learn of it within 0.05 s."""

STALL_SECONDS = 0.5
"""Time without a chunk after which the end of a fetch is no longer predicted: the origin may be
away for seconds, and all engines would wait for it without work."""

RECOVER_FIRST_SECONDS = 0.5
"""How long nothing is fetched while what lies staged is taken. After a loss of power nobody has the
digests to check it by: agents that waited for them began to fetch up to four seconds late."""

RECOVER_SECONDS = 1.0
"""Between two tries to take what lies staged: the origin starts within seconds of the agents."""

_RETRY_SECONDS = 0.2
_STAGE_AT_ONCE = 4
"""Staged chunks written or read at once; they cross no link."""

_SETTLE_SECONDS = 1.0
"""How long an engine may report neither loading nor what it was ordered to load, before it is
ordered again: it has crashed, or the order was lost."""


@dataclass(frozen=True, slots=True)
class Means:
    """What an upkeep works with.

    :param own: this agent as neighbours know it.
    :param link_rate: bytes a second of this host's link.
    :param chunk_bytes: bytes of one chunk.
    :param layers: layers of the model.
    :param version_seconds: from naming a version until requests begin on it only.
    :param is_cold: tells whether hardly any engine of the service holds weights.
    :param origin_rate: bytes a second of the origin's link, 0 if not known.
    """

    engine: Engine
    origin: WeightsOrigin
    session: ClientSession
    holdings: Holdings
    latest: LatestState
    neighbours: Callable[[], list[Neighbour]]
    own: Neighbour
    link_rate: float
    chunk_bytes: int
    random: Random
    layers: int = 1
    version_seconds: float = 8.0
    is_cold: Callable[[], bool] = lambda: False
    origin_rate: float = 0.0

    def measure_drain(self, chunks: int) -> float:
        """Return the seconds in which the origin's link carries so many chunks."""
        if not self.origin_rate:
            return DRAIN_SECONDS
        return chunks * self.chunk_bytes / self.origin_rate


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """How an engine loads a version.

    :param first: the layers that it fetches first, and serves with other engines if it must.
    :param parts: into how many parts the version is split.
    :param group: 0 for the engines that are sent chunks first.
    :param turn: when it goes on to the version, from 0 for the first to 1 for the last.
    """

    first: LayerSpan
    parts: int
    group: int
    turn: float


@dataclass(frozen=True, slots=True)
class LoadStep:
    """Layers of a version that the engine should load now."""

    holding: Holding
    span: LayerSpan
    wanted: WantedVersion


class Upkeep:
    """Brings one engine to each version that is named, and back to it after a restart."""

    def __init__(self, model: ModelName, means: Means) -> None:
        self._model = model
        self._means = means
        self._wanted = [WantedVersion(1, read_clock())]
        self._current = self._newest
        self._named = asyncio.Event()
        self._staging = asyncio.Lock()
        self._ready_at: dict[int, float] = {}
        self._is_first_fetch = True
        self._plan = LoadPlan(LayerSpan(0, means.layers), 1, 0, 0.0)

    @property
    def _newest(self) -> WantedVersion:
        return self._wanted[-1]

    def name_version(self, number: int) -> None:
        """Take a version that operators named; older ones than the newest change nothing."""
        if number > self._newest.number:
            self._wanted = [*self._wanted[1 - KEPT_VERSIONS :], WantedVersion(number, read_clock())]
            note(_LOG, "weights named", model=self._model, version=number)
            self._named.set()

    async def follow_engine(self) -> None:
        """Read the engine's report again and again until cancelled."""
        failing = False
        while True:
            try:
                self._means.latest.set(await self._means.engine.report())
                failing = False
            except PlatformUnavailableError as error:
                if not failing:
                    note(_LOG, "engine lost", reason=str(error))
                failing = True
                self._means.latest.set(None)
            calm = self._is_in_service(VersionName(self._model, self._newest.number))
            await asyncio.sleep(REPORT_CALM_SECONDS if calm else REPORT_SECONDS)

    async def run(self) -> None:
        """Fetch and load until cancelled.

        Two tasks: the next version is fetched while the engine still goes on to the one before,
        which takes as long as its streams run.
        """
        async with asyncio.TaskGroup() as group:
            recovering = group.create_task(self._keep_recovering())
            await asyncio.wait([recovering], timeout=RECOVER_FIRST_SECONDS)
            group.create_task(self._keep_fetching())
            group.create_task(self._keep_loading())

    async def _keep_fetching(self) -> None:
        while True:
            self._current = self._newest
            name = VersionName(self._model, self._current.number)
            holding = self._means.holdings.get(name)
            if self._is_in_service(name) or (holding is not None and not holding.missing()):
                await self._rest()
                continue
            try:
                await self._fetch_version(name)
            except PlatformUnavailableError as error:
                note(_LOG, "version not had", version=name.number, reason=str(error))
                await asyncio.sleep(_RETRY_SECONDS)

    def _is_in_service(self, name: VersionName) -> bool:
        state = self._means.latest.state
        return state is not None and state.holds(name.number, LayerSpan(0, self._means.layers))

    async def _rest(self) -> None:
        try:
            async with asyncio.timeout(REPORT_SECONDS):
                await self._named.wait()
        except TimeoutError:
            pass
        self._named.clear()

    async def _keep_loading(self) -> None:
        while True:
            state = self._means.latest.state
            self._means.latest.set_yielding(state is not None and self._is_about_to_load(state))
            try:
                step = None if state is None else self._choose_load(state)
                if step is not None:
                    await self._load(step)
            except PlatformUnavailableError as error:
                note(_LOG, "version not loaded", reason=str(error))
            await asyncio.sleep(REPORT_SECONDS)

    def _choose_load(self, state: EngineState) -> LoadStep | None:
        """Return what the engine should be ordered to load now, if anything.

        The newest version that is held whole. Part of a version only if callers would find
        nothing else: engines in a chain take about half of the requests that they take whole.
        """
        if state.loading:
            return None
        everything = LayerSpan(0, self._means.layers)
        for wanted in reversed(self._wanted):
            if state.holds(wanted.number, everything):
                return None
            holding = self._means.holdings.get(VersionName(self._model, wanted.number))
            if holding is None:
                continue
            if not holding.missing():
                swaps = state.span is not None and state.version < wanted.number
                if swaps and self._predict_swap(holding, wanted) > read_clock():
                    return None
                return LoadStep(holding, everything, wanted)
            first = self._plan.first
            held = not holding.missing(self._list_chunks(first, holding))
            if held and not state.holds(wanted.number, first) and self._needs_part(state, wanted):
                return LoadStep(holding, first, wanted)
        return None

    def _needs_part(self, state: EngineState, wanted: WantedVersion) -> bool:
        if state.span is None:
            return True
        return must_load_part(wanted, self._means.version_seconds, read_clock())

    def _is_about_to_load(self, state: EngineState) -> bool:
        """Tell whether the engine goes on to a version within a moment.

        An engine takes nothing new from its order until its last stream has ended. Kept away
        before, requests go to the engines that are not there yet. Any version counts that is held
        or on its way: the one that is fetched now may be the one after that.
        """
        if state.span is None:
            return False
        return any(self._goes_on_soon(each) for each in self._wanted if each.number > state.version)

    def _goes_on_soon(self, wanted: WantedVersion) -> bool:
        holding = self._means.holdings.get(VersionName(self._model, wanted.number))
        if holding is None:
            return False
        if holding.missing() and read_clock() - holding.added_at > STALL_SECONDS:
            return False
        return self._predict_swap(holding, wanted) - read_clock() < YIELD_SECONDS

    def _predict_swap(self, holding: Holding, wanted: WantedVersion) -> float:
        """Return when this engine goes on to a version, which may not be whole yet."""
        chunk_seconds = self._means.chunk_bytes / (self._means.link_rate * LINK_SHARE)
        ready_at = read_clock() + len(holding.missing()) * chunk_seconds
        if not holding.missing():
            ready_at = self._ready_at.setdefault(wanted.number, ready_at)
        seconds = self._means.version_seconds
        size = len(holding.digests) * self._means.chunk_bytes
        first_at = predict_first_whole(wanted.seen_at, size, self._means.link_rate)
        return pick_swap_time(self._plan.turn, ready_at, wanted.seen_at, seconds, first_at)

    def _list_chunks(self, span: LayerSpan, holding: Holding) -> range:
        return list_span_chunks(span, self._means.layers, len(holding.digests))

    async def _keep_recovering(self) -> None:
        """Try again to take what lies staged until it is had.

        Agents may start before the origin, which has the digests to check it by. With one try, two
        of six agents held nothing for the engines that joined, and those drew from the origin what
        lay beside every engine.
        """
        while not await self._recover_staged():
            await asyncio.sleep(RECOVER_SECONDS)

    async def _recover_staged(self) -> bool:
        """Take what already lies staged beside the engine, so that neighbours can have it.

        Engines present at the start hold the first version; without this, the first engine that
        joins would draw a whole copy from the origin while seven hosts have one.

        :returns: whether that was possible, or there is nothing to take.
        """
        means = self._means
        name = VersionName(self._model, 1)
        try:
            while means.latest.state is None:
                await asyncio.sleep(REPORT_SECONDS)
            number = max(1, means.latest.state.version)
            if number < self._newest.number - 1:
                return True  # the origin has no digests of it any more, and nobody wants it
            name = VersionName(self._model, number)
            if await means.engine.list_staged(name):
                await self._adopt_staged(await self._open(name))
            return True
        except PlatformUnavailableError as error:
            note(_LOG, "staged chunks not taken", reason=str(error))
            return False

    async def _adopt_staged(self, holding: Holding) -> None:
        """Take the chunks of a version that lie staged; those of another one don't fit."""
        staged = await self._means.engine.list_staged(holding.name)
        await _run_limited([self._adopt(holding, chunk) for chunk in sorted(staged)])
        note(_LOG, "staged chunks taken", version=holding.name.number, held=holding.held)

    async def _adopt(self, holding: Holding, chunk: int) -> None:
        data = await self._means.engine.read_staged(holding.name, chunk)
        if data is not None and chunk < len(holding.digests) and holding.is_own(chunk, data):
            holding.add(chunk, data, "engine")

    async def _open(self, name: VersionName) -> Holding:
        """Return the version's chunks as far as they are held, with its digests."""
        holding = self._means.holdings.get(name)
        if holding is not None:
            return holding
        digests = await self._find_digests(name)
        return self._means.holdings.open(name, digests)

    async def _find_digests(self, name: VersionName) -> tuple[str, ...]:
        """Ask the origin for the list of digests if this agent is a feeder, else neighbours.

        Asked by every agent at once, the origin resets connections, and the list takes as much
        of its link as several chunks.
        """
        if not self._is_feeder():
            for _ in range(_count_digest_rounds(len(self._means.neighbours()))):
                if (digests := await self._ask_neighbours(name)) is not None:
                    return digests
                await asyncio.sleep(REPORT_SECONDS)
        try:
            return await self._means.origin.fetch_digests(name)
        except PlatformUnavailableError as error:
            note(_LOG, "digests not had from the origin", reason=str(error))
        if (digests := await self._ask_neighbours(name)) is not None:
            return digests
        raise PlatformUnavailableError("nobody has the digests", step="find-digests")

    def _is_feeder(self) -> bool:
        return self._means.own.address in self._list_feeders()

    def _list_feeders(self) -> list[str]:
        duties = Duties(self._means.own, self._means.neighbours(), parts=1, chunks=1)
        return duties.remember_feeders(0.0)(0)

    async def _ask_neighbours(self, name: VersionName) -> tuple[str, ...] | None:
        """Ask a feeder and a few others for a version's digests."""
        random = self._means.random
        neighbours = self._means.neighbours()
        known = {each.address for each in neighbours}
        feeders = [each for each in self._list_feeders() if each in known]
        near = [each.address for each in neighbours if each.near] or sorted(known)
        addresses = random.sample(feeders, min(1, len(feeders)))
        addresses += random.sample(near, min(DIGEST_NEIGHBOURS, len(near)))
        for address in dict.fromkeys(addresses):
            try:
                return await fetch_digests(self._means.session, address, name)
            except PlatformUnavailableError:
                continue  # the next may have them, and the caller says so if none has
        return None

    async def _fetch_version(self, name: VersionName) -> None:
        """Fetch a version, in parts if the whole would come too late."""
        holding = await self._open(name)
        if self._is_first_fetch:
            # Chunks are staged on their arrival and outlive this process. Where all agents were
            # killed in the middle of a version, nobody has to fetch any of them again.
            self._is_first_fetch = False
            await self._adopt_staged(holding)
        self._plan = plan = self._make_plan(split=self._should_split(holding))
        if plan.parts > 1:
            wanted = self._list_chunks(plan.first, holding)
            if not await self._fetch(holding, wanted, Urgency.FIRST_PART):
                return
        urgent = plan.parts == 1 and plan.group == 0
        urgency = Urgency.FIRST_PART if urgent else Urgency.REST
        await self._fetch(holding, range(len(holding.digests)), urgency)

    def _splits_now(self, holding: Holding) -> bool:
        if self._means.layers == 1 or not self._means.neighbours():
            return False
        split = self._should_split(holding)
        if split:
            note(_LOG, "fetching in parts", version=holding.name.number, held=holding.held)
        return split

    def _is_due(self, wanted: WantedVersion, state: EngineState, name: VersionName) -> bool:
        """Tell whether a version older than ``name`` is held whole and still to be loaded."""
        holding = self._means.holdings.get(VersionName(self._model, wanted.number))
        older = state.version < wanted.number < name.number
        return older and holding is not None and not holding.missing()

    def _should_split(self, holding: Holding) -> bool:
        if self._means.is_cold():
            return True
        state = self._means.latest.state
        if state is None or state.span is None:
            return False  # others serve, and take more requests without this one in chains
        missing = len(holding.missing()) * self._means.chunk_bytes
        return is_whole_late(
            self._current,
            self._means.version_seconds,
            read_clock(),
            missing / (self._means.link_rate * LINK_SHARE),
        )

    def _make_plan(self, *, split: bool) -> LoadPlan:
        """Plan the fetch, split among the agents known now or whole."""
        means = self._means
        addresses = sorted([means.own.address, *(each.address for each in means.neighbours())])
        parts = split_layers(means.layers if split and len(addresses) > 1 else 1)
        if len(parts) == 1:
            parts = [LayerSpan(0, means.layers)]
        index = addresses.index(means.own.address)
        turn = pick_turn(index, len(addresses))
        return LoadPlan(parts[index % len(parts)], len(parts), index % SWAP_GROUPS, turn)

    async def _fetch(self, holding: Holding, wanted: range, urgency: Urgency) -> bool:
        """Fetch until all that is wanted is held; ``False`` if a newer version took its place."""
        means = self._means
        transfer = SwarmTransfer(
            holding,
            means.session,
            means.origin,
            means.neighbours,
            means.own,
            means.random,
            wanted=wanted,
            urgency=urgency,
            parts=self._plan.parts,
            drain_seconds=means.measure_drain(len(holding.digests)),
            on_kept=lambda chunk, data: self._stage_early(holding.name, chunk, data),
        )
        task = asyncio.create_task(transfer.run())
        try:
            while not task.done():
                await asyncio.wait([task], timeout=REPORT_SECONDS)
                if self._plan.parts == 1 and self._splits_now(holding):
                    return False
                if self._should_switch(holding):
                    note(_LOG, "version given up", version=holding.name.number, held=holding.held)
                    return False
                if max(transfer.spoilt.values(), default=0) >= SPOILT_LIMIT:
                    await self._doubt_digests(holding)
                    return False
            await task
            return True
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _stage_early(self, name: VersionName, chunk: int, data: bytes) -> None:
        """Stage a chunk on its arrival, unless an older version is still to be loaded.

        The engine has one place for a model's chunks, and loads what lies there when it accepts
        the order.
        """
        state = self._means.latest.state
        if state is None or state.loading:
            return
        if self._staging.locked() or any(self._is_due(x, state, name) for x in self._wanted):
            return
        async with self._staging:
            try:
                await self._means.engine.stage(name, chunk, data)
            except PlatformUnavailableError as error:
                note(_LOG, "chunk not staged yet", chunk=chunk, reason=str(error))

    def _should_switch(self, holding: Holding) -> bool:
        if self._newest.number <= holding.name.number:
            return False
        size = len(holding.digests) * self._means.chunk_bytes
        chosen = choose_version(self._current, self._newest, size, self._means.link_rate)
        return chosen != holding.name.number

    async def _doubt_digests(self, holding: Holding) -> None:
        """Ask for the digests anew: one that was spoilt on its way fits no chunk."""
        digests = await self._means.origin.fetch_digests(holding.name)
        if digests == holding.digests:
            return
        warn(_LOG, "digests differed", version=holding.name.number)
        fresh = self._means.holdings.open(holding.name, digests)
        for chunk in range(len(digests)):
            data = holding.get(chunk)
            if data is not None and fresh.is_own(chunk, data):
                fresh.add(chunk, data, "own")

    async def _stage(self, holding: Holding, chunk: int) -> None:
        """Stage a chunk unless it lies there already, and read it back.

        Staged bytes may rot. What is wrong at the moment of the order is loaded, so each chunk
        is compared with its digest just before.
        """
        data = holding.get(chunk)
        if data is None:
            raise PlatformUnavailableError("chunk not held", step="stage")
        await self._means.engine.stage(holding.name, chunk, data)

    async def _is_staged(self, holding: Holding, chunk: int) -> bool:
        data = await self._means.engine.read_staged(holding.name, chunk)
        return data is not None and holding.is_own(chunk, data)

    async def _verify(self, holding: Holding, wanted: range) -> None:
        """Read staged chunks back, and stage those again that differ."""
        sound = await _run_limited([self._is_staged(holding, each) for each in wanted])
        spoilt = [chunk for chunk, good in zip(wanted, sound, strict=True) if not good]
        if spoilt:
            note(
                _LOG,
                "staged chunks missing or spoilt",
                version=holding.name.number,
                count=len(spoilt),
            )
            await _run_limited([self._stage(holding, each) for each in spoilt])
            await self._verify(holding, wanted)

    async def _load(self, step: LoadStep) -> None:
        """Stage, check and order what was chosen, and wait until the engine has loaded it."""
        wanted = self._list_chunks(step.span, step.holding)
        number = step.wanted.number
        # The engine loads what lies staged when it accepts the order. Without the lock a chunk of
        # the next version, just fetched, could take a checked one's place before that.
        async with self._staging:
            await self._verify(step.holding, wanted)
            result = await self._means.engine.order(step.holding.name, step.span)
        note(
            _LOG,
            "engine ordered",
            version=number,
            first_layer=step.span.start,
            stop_layer=step.span.stop,
            result=result.value,
        )
        if result is OrderResult.ACCEPTED:
            await self._await_loaded(number, step.span)

    async def _await_loaded(self, number: int, span: LayerSpan) -> None:
        """Wait until the engine reports what it was ordered to load.

        Its report is 0.2 s old: for a moment it still shows the time before the order.
        """
        idle_since = read_clock()
        while read_clock() - idle_since < _SETTLE_SECONDS:
            state = self._means.latest.state
            if state is not None and state.holds(number, span):
                return
            if state is not None and state.loading:
                idle_since = read_clock()
            await asyncio.sleep(ORDER_RETRY_SECONDS)
        warn(_LOG, "order without effect", version=number, stop_layer=span.stop)


async def _run_limited(calls: Sequence[Coroutine[Any, Any, T]]) -> list[T]:
    """Run calls a few at a time, and return their results in order."""
    gate = asyncio.Semaphore(_STAGE_AT_ONCE)

    async def run(call: Coroutine[Any, Any, T]) -> T:
        async with gate:
            return await call

    return list(await asyncio.gather(*(run(each) for each in calls)))


def _count_digest_rounds(neighbours: int) -> int:
    return DIGEST_ROUNDS + 2 * max(0, ceil(log2(max(1, neighbours) / 8)))
