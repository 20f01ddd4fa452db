"""Reconciliation of one engine with the version of its weights that operators set."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from math import ceil, log2
from random import Random

from aiohttp import ClientSession
from prometheus_client import Counter

from wrenloft_core import ModelName, PlatformUnavailableError, note, read_clock, warn
from wrenloft_policy import (
    SWAP_GROUPS,
    USABLE_LINK_SHARE,
    LayerSpan,
    LinkTimes,
    WantedVersion,
    choose_version,
    compute_swap_turn,
    has_time_for_both,
    is_version_required,
    list_span_chunks,
    pick_swap_time,
    predict_first_complete,
    should_fetch_parts,
    should_load_part,
    should_skip_version,
    split_layers,
)
from wrenloft_swarm._assignments import Assignments
from wrenloft_swarm._chunk_store import KEPT_VERSIONS, ChunkStore, VersionChunks, VersionName
from wrenloft_swarm._load_orders import LoadOrders
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
from wrenloft_swarm._shared_fetches import SharedFetches
from wrenloft_swarm._staging import StagingArea, run_limited
from wrenloft_swarm._transfer import DEFAULT_DRAIN_SECONDS, SwarmTransfer

_LOG = logging.getLogger(__name__)

POLL_SECONDS = 0.1
"""Interval of reads of the engine's report while it isn't on its target version, and of checks for
work to do."""

IDLE_POLL_SECONDS = 0.3
"""Interval of reads of the report while the engine serves its target version. A read takes 2 ms of
processor time; at ten a second an idle agent would use 0.028 of a core."""

ORDER_RETRY_SECONDS = 0.1
"""Pause after an order to a busy engine; an engine ends a pass about as often."""

DIGEST_ROUNDS = 3
"""Rounds in which neighbours are asked for a list of digests before the origin is, with up to eight
agents. A round takes 0.1 s, and an origin fetcher has the list after the second. Each doubling of
the agents adds two rounds, because the list spreads from agent to agent."""

DIGEST_NEIGHBOURS = 2
"""Neighbours asked in a round besides one origin fetcher. The list is 7 KB: requested from the
origin fetchers alone by a hundred agents, it would fill the link of each for half a second."""

CORRUPT_LIMIT = 3
"""Corrupt copies of a chunk after which the digests are fetched again: the list may be wrong."""

SWAP_PENDING_SECONDS = 0.8
"""Time before a swap during which no new requests are sent to the engine. Half of its streams end
in that time, and the entry nodes receive the change within 0.05 s."""

STALL_SECONDS = 0.5
"""Time without a chunk after which the end of a fetch is no longer predicted: the origin may be
unavailable for seconds, and all engines would stand idle until it is back."""

RECOVERY_WAIT_SECONDS = 0.5
"""Longest delay of the first fetch by the recovery of staged chunks. After a power loss no agent
has the digests to check them by, and waiting for these delays the fetch by up to four seconds."""

RECOVERY_RETRY_SECONDS = 1.0
"""Interval of attempts to recover staged chunks: the origin starts within seconds of the agents."""

UNLOAD_POLL_SECONDS = 0.05
"""Interval of checks whether the engine serves a version on which requests may no longer begin."""

UNLOADS = Counter(
    "wrenloft_agent_unloads", "Orders to drop a version past its deadline", ["result"]
)

_RETRY_SECONDS = 0.2
_ORDER_EFFECT_SECONDS = 1.0
"""Time without a sign of an accepted order in the engine's report, after which the order is
repeated: the engine crashed, or the order was lost."""


@dataclass(frozen=True, slots=True)
class ReconcilerContext:
    """What a reconciler needs of its host, its neighbours and the service.

    :param neighbours: returns the other agents of the service.
    :param own: this agent as its neighbours see it.
    :param link_rate: bytes a second of this host's link.
    :param chunk_bytes: bytes of one chunk.
    :param layers: layers of the model.
    :param version_seconds: from setting a version until requests start on that version only.
    :param is_cold: returns whether hardly any engine of the service has weights loaded.
    :param origin_rate: bytes a second of the origin's link, 0 if not known.
    """

    engine: Engine
    origin: WeightsOrigin
    session: ClientSession
    chunk_store: ChunkStore
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

    def compute_drain_seconds(self, chunks: int) -> float:
        """Return the seconds that ``chunks`` chunks take on the origin's link."""
        if not self.origin_rate:
            return DEFAULT_DRAIN_SECONDS
        return chunks * self.chunk_bytes / self.origin_rate

    def compute_link_times(self) -> LinkTimes:
        """Return the seconds that one chunk takes on the origin's link and on a host's."""
        host = self.chunk_bytes / (self.link_rate * USABLE_LINK_SHARE)
        return LinkTimes(self.chunk_bytes / self.origin_rate if self.origin_rate else host, host)


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """How an engine loads a version.

    :param first: layers to fetch first; the engine may serve them in a chain with other engines.
    :param parts: number of parts that the version is split into.
    :param group: 0 for the engines whose chunks are sent first.
    :param turn: position in the order of swaps, from 0 for the first engine to 1 for the last.
    """

    first: LayerSpan
    parts: int
    group: int
    turn: float


@dataclass(frozen=True, slots=True)
class LoadStep:
    """Layers of a version that the engine should load now."""

    version_chunks: VersionChunks
    span: LayerSpan
    wanted: WantedVersion


class Reconciler:
    """Loads each target version into one engine, and loads it again after a restart."""

    def __init__(self, model: ModelName, context: ReconcilerContext) -> None:
        self._model = model
        self._context = context
        self._wanted = [WantedVersion(1, read_clock())]
        self._unnamed_at: dict[int, float] = {}
        self._unload_answered_at: tuple[int, int] | None = None
        self._unloaded_sequence: int | None = None
        self._target_changed = asyncio.Event()
        self._staging = StagingArea(context.engine)
        self._load_orders = LoadOrders(
            context.engine, context.latest, self._staging, self._is_engine_unloading
        )
        self._ready_at: dict[int, float] = {}
        self._adopted: set[int] = set()
        self._plan = LoadPlan(LayerSpan(0, context.layers), 1, 0, 0.0)
        self._plans: dict[int, LoadPlan] = {}
        self._sharing = SharedFetches(
            model,
            context.compute_link_times(),
            context.link_rate,
            context.chunk_bytes,
            context.version_seconds,
            lambda: self._newest,
        )

    @property
    def _newest(self) -> WantedVersion:
        return self._wanted[-1]

    def set_target_version(self, number: int, unnamed_at: float | None = None) -> None:
        """Set the version to load, unless a newer one is already set.

        :param unnamed_at: a time at which the version was not yet named, if known; requests begin
            on an older version until ``version_seconds`` after it. By default, the present time.
        """
        if number > self._newest.number:
            now = read_clock()
            unnamed_at = now if unnamed_at is None else unnamed_at
            self._wanted = [*self._wanted[1 - KEPT_VERSIONS :], WantedVersion(number, now)]
            self._unnamed_at[number] = unnamed_at
            required = max(filter(self._is_required, self._unnamed_at), default=0)
            self._unnamed_at = {n: at for n, at in self._unnamed_at.items() if n >= required}
            note(
                _LOG,
                "target version set",
                model=self._model,
                version=number,
                unnamed_ms=round((now - unnamed_at) * 1000),
            )
            self._target_changed.set()

    async def poll_engine(self) -> None:
        """Read the engine's report periodically until cancelled."""
        failing, sequence = False, 0
        while True:
            try:
                report = await self._context.engine.report()
                if report.sequence < sequence:
                    self._staging.forget()
                sequence = report.sequence
                self._context.latest.set(report)
                failing = False
            except PlatformUnavailableError as error:
                if not failing:
                    note(_LOG, "engine report unavailable", reason=str(error))
                failing = True
                self._context.latest.set(None)
            is_idle = self._is_in_service(VersionName(self._model, self._newest.number))
            await asyncio.sleep(IDLE_POLL_SECONDS if is_idle else POLL_SECONDS)

    async def run(self) -> None:
        """Fetch and load versions until cancelled.

        Fetching, loading and unloading are separate tasks: a swap lasts until the engine's streams
        have ended, and the next version is fetched meanwhile.
        """
        async with asyncio.TaskGroup() as group:
            recovering = group.create_task(self._run_recovery())
            await asyncio.wait([recovering], timeout=RECOVERY_WAIT_SECONDS)
            group.create_task(self._run_fetching())
            group.create_task(self._run_loading())
            group.create_task(self._run_unloading())

    async def _run_fetching(self) -> None:
        """Fetch all wanted versions at the same time, in the order that ``SharedFetches`` gives."""
        fetches: dict[int, asyncio.Task[None]] = {}
        async with asyncio.TaskGroup() as group:
            while True:
                wanted = {each.number: each for each in self._list_to_fetch()}
                for number in fetches.keys() - wanted.keys():
                    fetches.pop(number).cancel()
                for number in wanted.keys() - fetches.keys():
                    fetches[number] = group.create_task(self._fetch_whole(wanted[number]))
                await self._wait_for_target()

    def _list_to_fetch(self) -> list[WantedVersion]:
        """Return the wanted versions newer than the newest that is stored or in service.

        The version that this process started with has no deadline. It is completed beside a newer
        one only if most of it was there when that one was named.
        """
        found: list[WantedVersion] = []
        for wanted in reversed(self._wanted):
            name = VersionName(self._model, wanted.number)
            version_chunks = self._context.chunk_store.get(name)
            if self._is_in_service(name) or (
                version_chunks is not None and not version_chunks.list_missing()
            ):
                break
            if found and wanted.number == 1 and not self._completes_first(wanted, found[-1]):
                continue
            if found and not self._has_time_for_both(wanted, found[-1]):
                return [wanted] if self._completes_first(wanted, found[-1]) else found
            found.append(wanted)
        return found

    def _has_time_for_both(self, older: WantedVersion, newer: WantedVersion) -> bool:
        size = self._measure_version(older) or self._measure_version(newer)
        allowed = self._context.version_seconds
        return has_time_for_both(older, newer, size, self._context.link_rate, allowed)

    def _completes_first(self, older: WantedVersion, newer: WantedVersion) -> bool:
        """Return whether an older version whose fetch has begun is completed before a newer one."""
        size = self._measure_version(older)
        if not size or older.number not in self._plans:
            return False
        return choose_version(older, newer, size, self._context.link_rate) == older.number

    def _measure_version(self, wanted: WantedVersion) -> int:
        """Return the bytes of a version, 0 if its digests aren't known yet."""
        version_chunks = self._context.chunk_store.get(VersionName(self._model, wanted.number))
        return len(version_chunks.digests) * self._context.chunk_bytes if version_chunks else 0

    async def _fetch_whole(self, wanted: WantedVersion) -> None:
        name = VersionName(self._model, wanted.number)
        while wanted in self._list_to_fetch():
            try:
                await self._fetch_version(wanted, name)
            except PlatformUnavailableError as error:
                note(_LOG, "version fetch failed", version=name.number, reason=str(error))
                await asyncio.sleep(_RETRY_SECONDS)

    def _is_in_service(self, name: VersionName) -> bool:
        state = self._context.latest.state
        return state is not None and state.serves(name.number, LayerSpan(0, self._context.layers))

    async def _wait_for_target(self) -> None:
        try:
            async with asyncio.timeout(POLL_SECONDS):
                await self._target_changed.wait()
        except TimeoutError:
            pass
        self._target_changed.clear()

    async def _run_loading(self) -> None:
        while True:
            state = self._context.latest.state
            self._context.latest.set_swap_pending(
                state is not None and self._is_swap_pending(state)
            )
            try:
                step = None if state is None else self._choose_load(state)
                if step is not None:
                    await self._load(step)
            except PlatformUnavailableError as error:
                note(_LOG, "version not loaded", reason=str(error))
            await asyncio.sleep(POLL_SECONDS)

    async def _run_unloading(self) -> None:
        """Unload each version on which requests may no longer begin.

        Entry nodes stop sending such requests in time, but a narrowed link delivers them, and the
        close of their connections, seconds later. An engine accepts none once it has the order.
        """
        while True:
            state = self._context.latest.state
            if state is not None and self._must_unload(state):
                await self._unload(state)
            is_idle = self._is_in_service(VersionName(self._model, self._newest.number))
            await asyncio.sleep(IDLE_POLL_SECONDS if is_idle else UNLOAD_POLL_SECONDS)

    def _must_unload(self, state: EngineState) -> bool:
        return (
            state.span is not None
            and not state.loading
            and (state.version, state.sequence) != self._unload_answered_at
            and self._is_superseded(state.version)
        )

    def _is_unloading(self, state: EngineState) -> bool:
        """Return whether the engine's streams end before it drops a version past its deadline.

        The next version can be staged and verified meanwhile.
        """
        return state.loading and state.sequence == self._unloaded_sequence

    def _is_engine_unloading(self) -> bool:
        state = self._context.latest.state
        return state is not None and self._is_unloading(state)

    def _is_superseded(self, number: int) -> bool:
        """Return whether requests may begin on a newer version than this only."""
        return any(newer > number and self._is_required(newer) for newer in self._unnamed_at)

    def _is_required(self, number: int) -> bool:
        wanted = WantedVersion(number, self._unnamed_at[number])
        return is_version_required(wanted, self._context.version_seconds, read_clock())

    async def _unload(self, state: EngineState) -> None:
        try:
            result = await self._context.engine.unload(
                VersionName(self._model, state.version), state.sequence
            )
        except PlatformUnavailableError as error:
            UNLOADS.labels("failed").inc()
            note(_LOG, "version not unloaded", version=state.version, reason=str(error))
            return
        UNLOADS.labels(result.value).inc()
        note(
            _LOG,
            "engine ordered to unload",
            version=state.version,
            running=state.running,
            waiting=state.waiting,
            result=result.value,
        )
        if result is OrderResult.ACCEPTED:
            self._unloaded_sequence = state.sequence + 1
        if result is not OrderResult.BUSY:
            self._unload_answered_at = state.version, state.sequence

    def _choose_load(self, state: EngineState) -> LoadStep | None:
        """Return what the engine should be ordered to load now, if anything.

        This is the newest version whose chunks are all stored. Part of a version is loaded only
        if no engine could serve callers otherwise: engines in a chain take about half of the
        requests that they take with all layers loaded.
        """
        if state.loading and not self._is_unloading(state):
            return None
        everything = LayerSpan(0, self._context.layers)
        for wanted in reversed(self._wanted):
            if state.serves(wanted.number, everything) or self._is_superseded(wanted.number):
                return None
            version_chunks = self._context.chunk_store.get(VersionName(self._model, wanted.number))
            if version_chunks is None:
                continue
            if not version_chunks.list_missing():
                swaps = state.span is not None and state.version < wanted.number
                if swaps and (
                    self._skips(wanted)
                    or self._predict_swap_time(version_chunks, wanted) > read_clock()
                ):
                    return None
                return LoadStep(version_chunks, everything, wanted)
            first = self._find_plan(wanted.number).first
            is_stored = not version_chunks.list_missing(self._list_chunks(first, version_chunks))
            if (
                is_stored
                and not state.serves(wanted.number, first)
                and self._needs_part(state, wanted)
            ):
                return LoadStep(version_chunks, first, wanted)
        return None

    def _is_chosen(self, step: LoadStep) -> bool:
        state = self._context.latest.state
        return state is not None and self._choose_load(state) == step

    def _needs_part(self, state: EngineState, wanted: WantedVersion) -> bool:
        if state.span is None:
            return True
        now, allowed = read_clock(), self._context.version_seconds
        newer = [each for each in self._wanted if each.number > state.version]
        return should_load_part(wanted, allowed, now) or any(
            is_version_required(each, allowed, now) for each in newer
        )

    def _is_swap_pending(self, state: EngineState) -> bool:
        """Return whether the engine is about to swap to a newer version.

        From the order to swap until its last stream has ended, an engine refuses new requests, so
        requests are sent to engines that swap later. Every newer version counts that is stored or
        being fetched: the one being fetched now may be the one after the next.
        """
        if state.span is None:
            return False
        return any(self._swaps_soon(each) for each in self._wanted if each.number > state.version)

    def _swaps_soon(self, wanted: WantedVersion) -> bool:
        version_chunks = self._context.chunk_store.get(VersionName(self._model, wanted.number))
        if version_chunks is None:
            return False
        if version_chunks.list_missing() and read_clock() - version_chunks.added_at > STALL_SECONDS:
            return False
        if self._skips(wanted):
            return False
        return self._predict_swap_time(version_chunks, wanted) - read_clock() < SWAP_PENDING_SECONDS

    def _skips(self, wanted: WantedVersion) -> bool:
        """Return whether this engine waits for a newer version instead of loading one."""
        return should_skip_version(
            wanted,
            self._sharing.find_first_group(wanted.number),
            self._find_plan(wanted.number).group,
            self._sharing.predict_newer_complete(wanted.number),
            self._context.version_seconds,
        )

    def _predict_swap_time(self, version_chunks: VersionChunks, wanted: WantedVersion) -> float:
        """Return when this engine swaps to a version, which may still be incomplete.

        An engine that has not loaded an older version swaps to this one by that one's deadline.
        """
        chunk_seconds = self._context.chunk_bytes / (self._context.link_rate * USABLE_LINK_SHARE)
        ready_at = read_clock() + len(version_chunks.list_missing()) * chunk_seconds
        if not version_chunks.list_missing():
            ready_at = self._ready_at.setdefault(wanted.number, ready_at)
        seconds = self._context.version_seconds
        size = len(version_chunks.digests) * self._context.chunk_bytes
        state = self._context.latest.state
        serving = wanted.number if state is None else state.version
        times = []
        for each in self._wanted:
            if serving < each.number <= wanted.number:
                first_at = predict_first_complete(each.seen_at, size, self._context.link_rate)
                turn = self._find_turn(each.number)
                times.append(pick_swap_time(turn, ready_at, each.seen_at, seconds, first_at))
        return min(times, default=ready_at)

    def _find_turn(self, number: int) -> float:
        """Return this engine's position in the order of swaps to a version."""
        turn = self._find_plan(number).turn
        if self._sharing.find_first_group(number):
            return (turn + 1 / SWAP_GROUPS) % 1.0
        return turn

    def _find_group(self, number: int) -> int:
        """Return the group of the engine; an empty one belongs to those that fetch the oldest."""
        state = self._context.latest.state
        is_empty = state is None or state.span is None
        return 0 if is_empty else self._find_plan(number).group

    def _find_plan(self, number: int) -> LoadPlan:
        return self._plans.get(number, self._plan)

    def _list_chunks(self, span: LayerSpan, version_chunks: VersionChunks) -> range:
        return list_span_chunks(span, self._context.layers, len(version_chunks.digests))

    async def _run_recovery(self) -> None:
        """Retry the recovery of staged chunks until it succeeds.

        Agents may start before the origin, which has the digests to check the chunks by. Without a
        retry, two of six agents have no chunks for the engines that join, and those fetch from the
        origin what is staged on every host.
        """
        while not await self._recover_staged():
            await asyncio.sleep(RECOVERY_RETRY_SECONDS)

    async def _recover_staged(self) -> bool:
        """Store the chunks already staged at the engine, so that neighbours can fetch them.

        Engines present at the start have the first version loaded; without this, the first engine
        that joins would fetch a whole copy from the origin while seven hosts have one.

        :returns: whether that was possible, or there is nothing to recover.
        """
        context = self._context
        name = VersionName(self._model, 1)
        try:
            while context.latest.state is None:
                await asyncio.sleep(POLL_SECONDS)
            number = max(1, context.latest.state.version)
            if number < self._newest.number - 1:
                return True  # the origin no longer has its digests, and no agent needs it
            name = VersionName(self._model, number)
            if await context.engine.list_staged(name):
                await self._adopt_staged(await self._open(name))
            return True
        except PlatformUnavailableError as error:
            note(_LOG, "staged chunk recovery failed", reason=str(error))
            return False

    async def _adopt_staged(self, version_chunks: VersionChunks) -> None:
        """Store the staged chunks that match a version's digests."""
        staged = await self._context.engine.list_staged(version_chunks.name)
        adoptions = [self._adopt(version_chunks, chunk) for chunk in sorted(staged)]
        await run_limited(adoptions, cancel_rest=False)
        note(
            _LOG,
            "staged chunks recovered",
            version=version_chunks.name.number,
            held=version_chunks.stored_count,
        )

    async def _adopt(self, version_chunks: VersionChunks, chunk: int) -> None:
        data = await self._staging.read_intact(version_chunks, chunk)
        if data is not None:
            version_chunks.add(chunk, data, "engine")

    async def _open(self, name: VersionName) -> VersionChunks:
        """Return the version's stored chunks, fetching its digests if they aren't known."""
        version_chunks = self._context.chunk_store.get(name)
        if version_chunks is not None:
            return version_chunks
        digests = await self._find_digests(name)
        return self._context.chunk_store.open(name, digests)

    async def _find_digests(self, name: VersionName) -> tuple[str, ...]:
        """Fetch the digests, from the origin if this agent is an origin fetcher, else nearby.

        Requested by every agent at once, the origin resets connections, and the lists take as much
        of its link as several chunks.
        """
        if not self._is_origin_fetcher():
            for _ in range(_count_digest_rounds(len(self._context.neighbours()))):
                if (digests := await self._fetch_digests_nearby(name)) is not None:
                    return digests
                await asyncio.sleep(POLL_SECONDS)
        try:
            return await self._context.origin.fetch_digests(name)
        except PlatformUnavailableError as error:
            note(_LOG, "digests not received from the origin", reason=str(error))
        if (digests := await self._fetch_digests_nearby(name)) is not None:
            return digests
        raise PlatformUnavailableError(
            "neither the origin nor a neighbour has the digests", step="find-digests"
        )

    def _is_origin_fetcher(self) -> bool:
        return self._context.own.address in self._list_origin_fetchers()

    def _list_origin_fetchers(self) -> list[str]:
        assignments = Assignments(self._context.own, self._context.neighbours(), parts=1, chunks=1)
        return assignments.bind_origin_fetchers(0.0)(0)

    async def _fetch_digests_nearby(self, name: VersionName) -> tuple[str, ...] | None:
        """Ask an origin fetcher and a few other neighbours for a version's digests."""
        random = self._context.random
        neighbours = self._context.neighbours()
        known = {each.address for each in neighbours}
        origin_fetchers = [each for each in self._list_origin_fetchers() if each in known]
        near = [each.address for each in neighbours if each.near] or sorted(known)
        addresses = random.sample(origin_fetchers, min(1, len(origin_fetchers)))
        addresses += random.sample(near, min(DIGEST_NEIGHBOURS, len(near)))
        for address in dict.fromkeys(addresses):
            try:
                return await fetch_digests(self._context.session, address, name)
            except PlatformUnavailableError:
                continue  # the next one may have them; the caller logs it if none has
        return None

    async def _fetch_version(self, named: WantedVersion, name: VersionName) -> None:
        """Fetch a version, in parts if the whole version would be complete too late."""
        version_chunks = await self._open(name)
        if named.number not in self._adopted:
            # Chunks are staged on arrival and outlive this process: if all agents are killed
            # during a fetch, none of these chunks has to be fetched again. Each version counts: a
            # process that has just started begins with the first one, until it learns of the next.
            self._adopted.add(named.number)
            await self._adopt_staged(version_chunks)
        # Decided now, since a change during the fetch cancels what is on its way.
        missing_before = self._sharing.count_missing_before(named.number)
        plan = self._make_plan(split=self._should_split(named, version_chunks, missing_before))
        self._plan = self._plans[named.number] = plan
        for number in self._plans.keys() - {each.number for each in self._wanted}:
            del self._plans[number]
        if plan.parts > 1:
            wanted = self._list_chunks(plan.first, version_chunks)
            if not await self._fetch(named, version_chunks, wanted, Urgency.FIRST_PART):
                return
        urgent = plan.parts == 1 and plan.group == 0
        urgency = Urgency.FIRST_PART if urgent else Urgency.REST
        await self._fetch(named, version_chunks, range(len(version_chunks.digests)), urgency)

    def _needs_split(self, named: WantedVersion, version_chunks: VersionChunks) -> bool:
        if self._context.layers == 1 or not self._context.neighbours():
            return False
        split = self._should_split(named, version_chunks)
        if split:
            note(
                _LOG,
                "fetching in parts",
                version=version_chunks.name.number,
                held=version_chunks.stored_count,
            )
        return split

    def _is_load_pending(
        self, wanted: WantedVersion, state: EngineState, name: VersionName
    ) -> bool:
        """Return whether ``wanted``, older than ``name``, is stored and not yet loaded."""
        version_chunks = self._context.chunk_store.get(VersionName(self._model, wanted.number))
        if not state.version < wanted.number < name.number or self._is_superseded(wanted.number):
            return False
        return version_chunks is not None and not version_chunks.list_missing()

    def _should_split(
        self, named: WantedVersion, version_chunks: VersionChunks, missing_before: int = 0
    ) -> bool:
        """Return whether to fetch a version in parts.

        :param missing_before: chunks of older versions that are fetched before.
        """
        state = self._context.latest.state
        is_unloaded = state is not None and state.sequence == self._unloaded_sequence
        # Engines that unload make the fleet look cold while the next version is nearly complete.
        if self._context.is_cold() and not is_unloaded:
            return True
        if state is None or (state.span is None and not is_unloaded):
            return False  # other engines serve, and take more requests without chains with this one
        missing = (len(version_chunks.list_missing()) + missing_before) * self._context.chunk_bytes
        return should_fetch_parts(
            named,
            self._context.version_seconds,
            read_clock(),
            missing / (self._context.link_rate * USABLE_LINK_SHARE),
        )

    def _make_plan(self, *, split: bool) -> LoadPlan:
        """Plan the load, of the whole version or split among the agents known now."""
        context = self._context
        neighbours = context.neighbours()
        parts = split_layers(context.layers if split and neighbours else 1)
        if len(parts) == 1:
            parts = [LayerSpan(0, context.layers)]
        assignments = Assignments(context.own, neighbours, len(parts), chunks=len(parts))
        addresses = assignments.addresses
        index = addresses.index(context.own.address)
        turn = compute_swap_turn(index, len(addresses))
        return LoadPlan(parts[assignments.own_part], len(parts), index % SWAP_GROUPS, turn)

    async def _fetch(
        self, named: WantedVersion, version_chunks: VersionChunks, wanted: range, urgency: Urgency
    ) -> bool:
        """Fetch the wanted chunks.

        :returns: whether all are stored; ``False`` if the fetch was abandoned for a split into
            parts or new digests.
        """
        context = self._context
        transfer = SwarmTransfer(
            version_chunks,
            context.session,
            context.origin,
            context.neighbours,
            context.own,
            context.random,
            wanted=wanted,
            urgency=urgency,
            parts=self._find_plan(named.number).parts,
            drain_seconds=context.compute_drain_seconds(len(version_chunks.digests)),
            on_stored=lambda chunk, data: self._stage_on_arrival(version_chunks.name, chunk, data),
            named=named,
            sharing=self._sharing,
            group=self._find_group(named.number),
        )
        task = asyncio.create_task(transfer.run())
        try:
            while not task.done():
                await asyncio.wait([task], timeout=POLL_SECONDS)
                is_whole = self._find_plan(named.number).parts == 1
                if is_whole and self._needs_split(named, version_chunks):
                    return False
                if max(transfer.corrupt.values(), default=0) >= CORRUPT_LIMIT:
                    await self._refetch_digests(version_chunks)
                    return False
            await task
            return True
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def _stage_on_arrival(self, name: VersionName, chunk: int, data: bytes) -> None:
        """Stage a chunk on its arrival, unless an older version is still to be loaded.

        The engine has one staging area for each model, and loads what is in it when it accepts an
        order.
        """
        state = self._context.latest.state
        if state is None or (state.loading and not self._is_unloading(state)):
            return
        if any(self._is_load_pending(each, state, name) for each in self._wanted):
            return
        await self._staging.write_unless_locked(name, chunk, data)

    async def _refetch_digests(self, version_chunks: VersionChunks) -> None:
        """Fetch the digests again: a digest corrupted in transit matches no chunk."""
        digests = await self._context.origin.fetch_digests(version_chunks.name)
        if digests == version_chunks.digests:
            return
        warn(_LOG, "digests replaced by the origin's", version=version_chunks.name.number)
        replacement = self._context.chunk_store.open(version_chunks.name, digests)
        for chunk in range(len(digests)):
            data = version_chunks.get(chunk)
            if data is not None and replacement.matches(chunk, data):
                replacement.add(chunk, data, "own")

    async def _load(self, step: LoadStep) -> None:
        """Order the engine to load what is staged, and wait until it has."""
        wanted = self._list_chunks(step.span, step.version_chunks)
        result = await self._load_orders.load(
            step.version_chunks, step.span, wanted, lambda: self._is_chosen(step)
        )
        if result is OrderResult.ACCEPTED:
            await self._await_loaded(step.wanted.number, step.span)

    async def _await_loaded(self, number: int, span: LayerSpan) -> None:
        """Wait until the engine reports what it was ordered to load.

        Its report is up to 0.2 s old, so it may still show the state before the order.
        """
        idle_since = read_clock()
        while read_clock() - idle_since < _ORDER_EFFECT_SECONDS:
            state = self._context.latest.state
            if state is not None and state.serves(number, span):
                return
            if state is not None and state.loading:
                idle_since = read_clock()
            await asyncio.sleep(ORDER_RETRY_SECONDS)
        warn(_LOG, "load order had no effect", version=number, stop_layer=span.stop)


def _count_digest_rounds(neighbours: int) -> int:
    return DIGEST_ROUNDS + 2 * max(0, ceil(log2(max(1, neighbours) / 8)))
