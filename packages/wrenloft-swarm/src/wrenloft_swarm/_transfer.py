"""Transfer of the chunks of one version, or of one part of it, to this agent."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import replace
from random import Random

from aiohttp import ClientSession
from prometheus_client import Counter

from wrenloft_core import IntegrityError, PlatformUnavailableError, note, read_clock, warn
from wrenloft_policy import (
    IDLE_TIMEOUT_SECONDS,
    WHOLE_SCOPE,
    ChunkFetch,
    ChunkSource,
    FetchScope,
    VersionProgress,
    WantedVersion,
    choose_fetch,
    compute_lateness,
    compute_origin_timeout,
    pick_origin_fetcher,
)
from wrenloft_swarm._assignments import Assignments
from wrenloft_swarm._chunk_store import VersionChunks
from wrenloft_swarm._neighbours import (
    BUSY_SECONDS,
    BitmapSubscriptions,
    NeighbourBusyError,
    NeighbourState,
    choose_subscriptions,
    fetch_chunk,
)
from wrenloft_swarm._ports import Neighbour, Urgency, WeightsOrigin
from wrenloft_swarm._shared_fetches import SharedFetches

_LOG = logging.getLogger(__name__)

MAX_FETCHES = 5
"""Chunks being fetched at once: the link takes 54 ms for a chunk, a round trip up to 10 ms across
regions, and a source may be slow."""

MAX_FETCHES_PER_SOURCE = 2
"""Chunks requested from one neighbour at once, so that the load spreads."""

MAX_LATER_FETCHES = 3
"""Chunks being fetched of all versions above which none is requested of a version that isn't first,
so that a chunk of the first one that appears at a neighbour is requested at once."""

MAX_ORIGIN_FETCHES = 3
"""Chunks that an origin fetcher requests from the origin at once: one being sent, one whose request
the origin is reading, and one more in case a neighbour's chunk delays the first."""

ORIGIN_STALL_SECONDS = 0.6
"""Time without a chunk from the origin after which it counts as slow or unavailable, and neighbours
are asked as well. By the rates of the two links, a chunk takes 0.3 s while all origin fetchers are
active."""

ORIGIN_COPIES = 2.0
"""Approximate copies of a version that the origin may send. The agents' uplinks are the bottleneck:
after one copy from the origin they send 13 copies for 14 hosts, while the origin's link is idle
after 2.6 s."""

REGION_WAIT_SECONDS = 0.8
"""How long other regions wait for a chunk to reach the region that fetches it first from the
origin's region, which takes 0.2 to 0.4 s."""

BITMAP_WAIT_SECONDS = 0.25
"""Time for neighbours to send their chunk bitmaps: a connection across regions takes 8 ms, or up to
0.2 s behind chunks of another version."""

DEFAULT_DRAIN_SECONDS = 1.0
"""Assumed time for one copy of a version on the origin's link if the link's rate isn't known."""

PROGRESS_LOG_SECONDS = 1.0
"""Interval of progress log lines."""

MIN_CHOICE_SECONDS = 0.02
"""Least time between two choices of fetches unless a chunk arrives. Thirty neighbours send up to
300 bitmaps a second in all; at 0.4 ms a choice, one for each would take an eighth of a core."""

_MAX_CHOICE_SECONDS = 0.05
_LEAST_LATE_SECONDS = 1e-3
_ORIGIN_RETRY_SECONDS = 0.2

FETCHED = Counter("wrenloft_agent_swarm_bytes", "Bytes of whole chunks fetched", ["source"])
CORRUPT = Counter("wrenloft_agent_swarm_spoilt", "Chunks whose digest differed", ["source"])


def _describe_source(state: NeighbourState, now: float, scope: FetchScope) -> ChunkSource:
    """Return a neighbour in the form that ``choose_fetch`` takes.

    A neighbour that is avoided for a moment, or not to be asked for this version, counts as busy
    and not as absent, so that its chunks aren't fetched from another region.
    """
    is_free = scope.from_neighbours and state.avoided_until <= now
    busy = state.busy if is_free else MAX_FETCHES_PER_SOURCE
    neighbour = state.neighbour
    return ChunkSource(neighbour.address, state.bitmap, busy, neighbour.near)


class SwarmTransfer:
    """Fetches chunks of one version from neighbours and the origin.

    :param neighbours: returns the other agents as now known.
    :param own: this agent as its neighbours see it.
    :param wanted: numbers of the chunks to fetch, all by default.
    :param urgency: what they are fetched for.
    :param parts: number of parts that the version is split into for its first load.
    :param drain_seconds: time for one copy of the version on the origin's link.
    :param on_stored: awaited with the number and the bytes of each chunk that was stored.
    :param named: the version and when it was named; needed with ``sharing`` only.
    :param sharing: the transfers of all versions on this host's link, if there may be others.
    :param group: the group of this agent's engine in the order of swaps.
    """

    def __init__(
        self,
        version_chunks: VersionChunks,
        session: ClientSession,
        origin: WeightsOrigin,
        neighbours: Callable[[], list[Neighbour]],
        own: Neighbour,
        random: Random,
        *,
        wanted: range | None = None,
        urgency: Urgency = Urgency.FIRST_PART,
        parts: int = 1,
        drain_seconds: float = DEFAULT_DRAIN_SECONDS,
        on_stored: Callable[[int, bytes], Awaitable[None]] | None = None,
        named: WantedVersion | None = None,
        sharing: SharedFetches | None = None,
        group: int = 0,
    ) -> None:
        self._group = group
        self._named = named or WantedVersion(version_chunks.name.number, read_clock())
        self._sharing = sharing
        self._scope = WHOLE_SCOPE
        self._wanted = range(len(version_chunks.digests)) if wanted is None else wanted
        self._urgency = urgency
        self._parts = parts
        self._on_stored = on_stored
        self._version_chunks = version_chunks
        self._session = session
        self._origin = origin
        self._neighbours = neighbours
        self._own = own
        self._random = random
        self._wake = asyncio.Event()
        self._arrived = asyncio.Event()
        self._subscriptions = BitmapSubscriptions(version_chunks.name, session, self._wake)
        self._in_flight: set[int] = set()
        self._origin_fetches = 0
        self._repeated_fetches = 0
        self._origin_retry_at = 0.0
        self._origin_failed_at = 0.0
        self._late_since: float | None = None
        self._origin_received_at = read_clock()
        self._started_at = self._received_at = read_clock()
        self._logged_at = 0.0
        self._available_count = 0
        self._available_at = self._started_at
        self._age_since = self._started_at
        self._drain_seconds = drain_seconds
        self._available_since: dict[int, float] = {}
        self._known_neighbours: list[Neighbour] = []
        self._assignments = Assignments(own, [], parts, len(version_chunks.digests))
        self._counts = {"near": 0, "far": 0, "origin": 0}
        self.corrupt: dict[int, int] = {}

    async def run(self) -> None:
        """Fetch until every wanted chunk is stored."""
        started_at = self._started_at
        number = self._version_chunks.name.number
        if self._sharing is not None:
            self._sharing.join(number, self)
        try:
            async with asyncio.TaskGroup() as group:
                while self._version_chunks.list_missing(self._wanted):
                    self._log_progress(started_at)
                    self._update_neighbours(self._neighbours())
                    self._start_fetches(group)
                    await self._wait_for_change()
        finally:
            if self._sharing is not None:
                self._sharing.leave(number, self)
            await self._subscriptions.close()
        note(
            _LOG,
            "chunks fetched",
            model=self._version_chunks.name.model,
            version=number,
            wanted=len(self._wanted),
            held=self._version_chunks.stored_count,
            sources=self._counts,
            ms=round((read_clock() - started_at) * 1000),
        )

    def _update_neighbours(self, neighbours: list[Neighbour]) -> None:
        """Update assignments and subscriptions if the neighbours have changed.

        Assignments are shared out among all agents, subscribed to or not: from different lists,
        two agents would take the same chunk.
        """
        if neighbours == self._known_neighbours:
            return
        self._known_neighbours = neighbours
        chunks = len(self._version_chunks.digests)
        self._assignments = Assignments(self._own, neighbours, self._parts, chunks)
        self._subscriptions.update(choose_subscriptions(self._own, neighbours))

    def _log_progress(self, started_at: float) -> None:
        now = read_clock()
        if now - self._logged_at < PROGRESS_LOG_SECONDS:
            return
        self._logged_at = now
        note(
            _LOG,
            "version transfer in progress",
            version=self._version_chunks.name.number,
            ms=round((now - started_at) * 1000),
            held=self._version_chunks.stored_count,
            in_flight=len(self._in_flight),
            sources=self._counts,
            connected=sum(each.connected for each in self._subscriptions.states.values()),
            any_held=self._count_available(),
        )

    def _count_available(self) -> int:
        return self._merge_available().bit_count()

    def _merge_available(self) -> int:
        available = self._version_chunks.bitmap
        for each in self._subscriptions.states.values():
            available |= each.bitmap
        return available

    def describe_progress(self) -> VersionProgress:
        """Return what this agent observes of the version's spread."""
        chunks = len(self._version_chunks.digests)
        bitmaps = [each.bitmap for each in self._subscriptions.states.values()]
        most = max(each.bit_count() for each in (self._version_chunks.bitmap, *bitmaps))
        return VersionProgress(self._named, chunks, chunks - self._count_available(), chunks - most)

    def count_missing(self) -> int:
        """Return the number of chunks of the whole version that are missing here."""
        return len(self._version_chunks.digests) - self._version_chunks.stored_count

    def count_fetches(self) -> tuple[int, int]:
        """Return the number of fetches in progress, in all and from the origin."""
        return len(self._in_flight), self._origin_fetches

    def is_late(self) -> bool:
        """Return whether chunks that nobody stores are late."""
        return self._measure_lateness(read_clock()) > 0.0

    def find_last_new(self) -> float:
        """Return when a chunk that is new to all known agents was last seen."""
        self._measure_lateness(read_clock())
        return self._available_at

    def is_origin_turn(self) -> bool:
        """Return whether this agent has yet to request a chunk from the origin in its turn."""
        late = self._measure_lateness(read_clock())
        list_fetchers = self._assignments.bind_origin_fetchers(late, self._drain_seconds)
        available = self._merge_available()
        return any(
            not available >> chunk & 1
            and chunk not in self._in_flight
            and pick_origin_fetcher(chunk, list_fetchers(chunk)) == self._own.address
            for chunk in self._wanted
        )

    async def _wait_for_change(self) -> None:
        """Wait for the end of a fetch, or for a new bitmap after the least time between choices."""
        await _wait(self._arrived, MIN_CHOICE_SECONDS)
        if not self._arrived.is_set():
            await _wait(self._wake, _MAX_CHOICE_SECONDS - MIN_CHOICE_SECONDS)
        self._arrived.clear()
        self._wake.clear()

    def _start_fetches(self, group: asyncio.TaskGroup) -> None:
        while self._can_start_fetch() and (pick := self._choose_next()):
            self._in_flight.add(pick.chunk)
            # Counted before the task runs, as the next choice of this loop depends on it.
            if pick.address is None:
                self._origin_fetches += 1
                self._repeated_fetches += pick.chunk in self._available_since
            else:
                self._subscriptions.states[pick.address].busy += 1
            group.create_task(self._fetch(pick))

    def _can_start_fetch(self) -> bool:
        if self._sharing is None:
            return len(self._in_flight) < MAX_FETCHES
        scope = self._sharing.find_scope(self._version_chunks.name.number, self._group)
        if not scope.is_first and self._sharing.count_fetches()[0] >= MAX_LATER_FETCHES:
            scope = replace(scope, from_neighbours=False)
        self._update_scope(scope)
        return len(self._in_flight) < MAX_FETCHES

    def _update_scope(self, scope: FetchScope) -> None:
        """Apply a scope; time in which nothing may be fetched isn't time without a chunk."""
        now = read_clock()
        self._scope = scope
        if not scope.can_be_late:
            self._age_since = self._available_at = now
            self._late_since = None
        if not scope.can_be_late or not scope.from_neighbours:
            self._received_at = now

    def _choose_next(self) -> ChunkFetch | None:
        now = read_clock()
        scope = self._scope
        missing = [
            each
            for each in self._version_chunks.list_missing(self._wanted)
            if each not in self._in_flight
        ]
        connected = [each for each in self._subscriptions.states.values() if each.connected]
        assignments = self._assignments
        late = self._measure_lateness(now)
        return choose_fetch(
            missing,
            [_describe_source(each, now, scope) for each in connected],
            self._own.address,
            assignments.list_region_fetchers,
            assignments.bind_origin_fetchers(late, self._drain_seconds),
            lambda chunk: self._can_cross_regions(chunk, assignments, now),
            self._measure_wait_seconds(missing, now),
            now - self._find_idle_since(),
            scope.from_origin and self._can_fetch_from_origin(now),
            scope.from_origin and now - self._origin_received_at < ORIGIN_STALL_SECONDS,
            self._can_repeat_from_origin(assignments),
            self._random,
            MAX_FETCHES_PER_SOURCE,
            compute_origin_timeout(assignments.rank_at_origin),
            IDLE_TIMEOUT_SECONDS if self._overlaps else 0.0,
        )

    def _measure_lateness(self, now: float) -> float:
        available = self._count_available()
        if available > self._available_count:
            self._available_count, self._available_at = available, now
        late = compute_lateness(
            now - self._age_since, now - self._available_at, self._drain_seconds
        )
        if not self._overlaps or (self._late_since is None and late <= 0.0):
            return late
        # Agents notice the origin's return at different moments. Until the end of the transfer
        # they all count as late, and turns don't pass on while the origin is unavailable:
        # otherwise a third of the chunks sent after an outage would be second copies.
        if self._late_since is None:
            self._late_since = now
        return max(_LEAST_LATE_SECONDS, now - max(self._late_since, self._origin_failed_at))

    @property
    def _overlaps(self) -> bool:
        """Whether another version is fetched, or was, at the same time."""
        return self._sharing is not None and self._sharing.overlaps(
            self._version_chunks.name.number
        )

    def _find_idle_since(self) -> float:
        """Return since when no chunk has arrived.

        With two versions on the way, an origin that fails says that waiting is no one's fault.
        """
        failed_at = self._origin_failed_at if self._overlaps else 0.0
        return max(self._received_at, failed_at)

    def _can_fetch_from_origin(self, now: float) -> bool:
        """Return whether another fetch from the origin may start.

        None starts before the neighbours have sent their bitmaps: an agent that joins would fetch
        chunks from the origin that all others have.
        """
        states = self._subscriptions.states.values()
        neighbours_ready = (
            all(each.connected for each in states) or now - self._started_at > BITMAP_WAIT_SECONDS
        )
        return (
            neighbours_ready
            and self._count_origin_fetches() < MAX_ORIGIN_FETCHES
            and now >= self._origin_retry_at
        )

    def _count_origin_fetches(self) -> int:
        return self._origin_fetches if self._sharing is None else self._sharing.count_fetches()[1]

    def _can_cross_regions(self, chunk: int, assignments: Assignments, now: float) -> bool:
        """Return whether a chunk may be fetched from another region now.

        One region fetches the chunk from the origin's region, and the others wait to fetch it from
        there. Otherwise the origin's region would send every chunk to each other region.
        """
        if (
            assignments.is_first_region(chunk)
            or now - self._available_since.get(chunk, now) > REGION_WAIT_SECONDS
        ):
            return True
        return any(
            each.bitmap >> chunk & 1 and not each.neighbour.at_origin
            for each in self._subscriptions.states.values()
        )

    def _can_repeat_from_origin(self, assignments: Assignments) -> bool:
        """Return whether a chunk that neighbours already have may be fetched from the origin.

        Not while chunks of another version have not left it, which nobody can send instead.
        """
        number = self._version_chunks.name.number
        if self._sharing is not None and self._sharing.has_unsent_beside(number):
            return False
        share = (ORIGIN_COPIES - 1.0) / max(1, assignments.count_at_origin())
        max_repeats = share * len(self._version_chunks.digests)
        return self._own.at_origin and self._repeated_fetches + 1 <= max_repeats

    def _measure_wait_seconds(self, missing: Sequence[int], now: float) -> dict[int, float]:
        """Return the seconds for which each missing chunk has been available from a neighbour."""
        available = 0
        for each in self._subscriptions.states.values():
            available |= each.bitmap
        for chunk in missing:
            if available >> chunk & 1:
                self._available_since.setdefault(chunk, now)
        return {chunk: now - at for chunk, at in self._available_since.items()}

    async def _fetch(self, pick: ChunkFetch) -> None:
        state = self._subscriptions.states.get(pick.address or "")
        try:
            if pick.address is None:
                await self._fetch_from_origin(pick.chunk)
            elif state is not None:
                await self._fetch_from_neighbour(pick.chunk, state)
        finally:
            self._in_flight.discard(pick.chunk)
            if pick.address is None:
                self._origin_fetches -= 1
            elif state is not None:
                state.busy -= 1
            self._arrived.set()
            self._wake.set()

    async def _fetch_from_neighbour(self, chunk: int, state: NeighbourState) -> None:
        address = state.neighbour.address
        urgency = self._choose_urgency(state.neighbour)
        try:
            data = await fetch_chunk(
                self._session, address, self._version_chunks.name, chunk, urgency
            )
            await self._store(chunk, data, "near" if state.neighbour.near else "far", address)
            state.failures = 0
        except IntegrityError as error:
            self._record_corrupt(chunk, "agent", error)
            state.record_failure()
        except NeighbourBusyError:
            state.avoided_until = read_clock() + BUSY_SECONDS
        except PlatformUnavailableError as error:
            note(_LOG, "chunk fetch failed", chunk=chunk, reason=str(error))
            state.record_failure()

    def _choose_urgency(self, neighbour: Neighbour) -> Urgency:
        """Return the urgency of a fetch; of versions that overlap, each group is first for one."""
        if self._scope.is_urgent is None:
            return self._urgency
        is_rest = self._parts > 1 and self._urgency is Urgency.REST
        # The whole region waits for a chunk that this agent fetches from another.
        is_urgent = self._scope.is_urgent or not neighbour.near
        return Urgency.FIRST_PART if is_urgent and not is_rest else Urgency.REST

    async def _fetch_from_origin(self, chunk: int) -> None:
        try:
            data = await self._origin.fetch_chunk(self._version_chunks.name, chunk)
            self._origin_received_at = read_clock()
            await self._store(chunk, data, "origin", "origin")
        except IntegrityError as error:
            self._record_corrupt(chunk, "origin", error)
        except PlatformUnavailableError as error:
            note(_LOG, "chunk fetch failed", chunk=chunk, reason=str(error))
            self._origin_failed_at = read_clock()
            self._origin_retry_at = (
                read_clock() + self._random.uniform(0.5, 1.5) * _ORIGIN_RETRY_SECONDS
            )

    async def _store(self, chunk: int, data: bytes, source: str, peer: str) -> None:
        self._version_chunks.add(chunk, data, peer)
        self._received_at = read_clock()
        self._counts[source] += 1
        FETCHED.labels(source).inc(len(data))
        if self._on_stored is not None:
            await self._on_stored(chunk, data)

    def _record_corrupt(self, chunk: int, source: str, error: IntegrityError) -> None:
        CORRUPT.labels(source).inc()
        self.corrupt[chunk] = self.corrupt.get(chunk, 0) + 1
        warn(_LOG, "corrupt chunk", chunk=chunk, reason=str(error), times=self.corrupt[chunk])


async def _wait(event: asyncio.Event, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        pass
