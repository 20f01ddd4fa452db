"""Fetching the chunks of one version, all or those of one part."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from random import Random

from aiohttp import ClientSession
from prometheus_client import Counter

from wrenloft_core import IntegrityError, PlatformUnavailableError, note, read_clock, warn
from wrenloft_policy import (
    ChunkSource,
    Pick,
    choose_fetch,
    measure_lateness,
    measure_origin_patience,
)
from wrenloft_swarm._assignments import Duties
from wrenloft_swarm._chunk_store import Holding
from wrenloft_swarm._neighbours import (
    BUSY_SECONDS,
    Followed,
    NeighbourBusyError,
    Possessions,
    choose_followed,
    fetch_chunk,
)
from wrenloft_swarm._ports import Neighbour, Urgency, WeightsOrigin

_LOG = logging.getLogger(__name__)

FETCHES = 5
"""Chunks on their way here at once: the link carries one in 54 ms, a request and its answer take
up to 10 ms across regions, and a source may be slow."""

SOURCE_FETCHES = 2
"""Chunks asked of one neighbour at once, so that the load spreads."""

ORIGIN_FETCHES = 3
"""Chunks that a feeder asks of the origin at once: one on the link, one that the origin is reading
the question for, and one more while a neighbour's chunk holds the first up."""

ORIGIN_SILENCE_SECONDS = 0.6
"""Time without a chunk from the origin after which it is taken for slow or away, and neighbours are
asked beside it: with all feeders at once a chunk takes 0.3 s (computed from the two links)."""

ORIGIN_COPIES = 2.0
"""Copies of a version that may leave the origin, about. All agents' uplinks together bind: with one
copy from the origin they carry 13 copies for 14 hosts, and the origin's link rests after 2.6 s."""

RELAY_SECONDS = 0.8
"""How long a chunk is waited for in the region that takes it from the origin's first: its way there
takes 0.2 to 0.4 s."""

HEAR_SECONDS = 0.25
"""Time for neighbours to say what they hold: a connection across regions takes 8 ms, behind chunks
of another version up to 0.2 s."""

DRAIN_SECONDS = 1.0
"""Taken for the time in which the origin's link carries a version if its rate is not known."""

PROGRESS_SECONDS = 1.0
"""Between two log lines on a transfer."""

LEAST_REST_SECONDS = 0.02
"""Least time between two choices that no chunk's arrival calls for. Thirty neighbours tell what
they hold up to three hundred times a second in all; a choice takes 0.4 ms, all an eighth of a
core."""

_IDLE_SECONDS = 0.05
_ORIGIN_PAUSE = 0.2

FETCHED = Counter("wrenloft_agent_swarm_bytes", "Bytes of whole chunks fetched", ["source"])
SPOILT = Counter("wrenloft_agent_swarm_spoilt", "Chunks whose digest differed", ["source"])


def _describe_source(followed: Followed, now: float) -> ChunkSource:
    """Return a neighbour as the choice reads it.

    One that is avoided for a moment is busy and not absent: what it holds need not be brought
    over from another region.
    """
    busy = SOURCE_FETCHES if followed.avoided_until > now else followed.busy
    neighbour = followed.neighbour
    return ChunkSource(neighbour.address, followed.held, busy, neighbour.near)


class SwarmTransfer:
    """Chunks of one version on their way here.

    :param neighbours: returns the other agents as now known.
    :param own: this agent as neighbours know it.
    :param wanted: the chunks to fetch.
    :param urgency: what they are fetched for.
    :param parts: into how many parts the version is split for its first load.
    :param drain_seconds: in which the origin's link carries a version.
    :param on_kept: awaited with each chunk that was kept, and its bytes.
    """

    def __init__(
        self,
        holding: Holding,
        session: ClientSession,
        origin: WeightsOrigin,
        neighbours: Callable[[], list[Neighbour]],
        own: Neighbour,
        random: Random,
        *,
        wanted: range | None = None,
        urgency: Urgency = Urgency.FIRST_PART,
        parts: int = 1,
        drain_seconds: float = DRAIN_SECONDS,
        on_kept: Callable[[int, bytes], Awaitable[None]] | None = None,
    ) -> None:
        self._wanted = range(len(holding.digests)) if wanted is None else wanted
        self._urgency = urgency
        self._parts = parts
        self._on_kept = on_kept
        self._holding = holding
        self._session = session
        self._origin = origin
        self._neighbours = neighbours
        self._own = own
        self._random = random
        self._wake = asyncio.Event()
        self._arrived = asyncio.Event()
        self._possessions = Possessions(holding.name, session, self._wake)
        self._in_flight: set[int] = set()
        self._from_origin = 0
        self._repeated = 0
        self._origin_after = 0.0
        self._origin_heard_at = read_clock()
        self._begun_at = self._received_at = read_clock()
        self._noted_at = 0.0
        self._any_held = 0
        self._news_at = self._begun_at
        self._drain_seconds = drain_seconds
        self._seen_at: dict[int, float] = {}
        self._known: list[Neighbour] = []
        self._duties = Duties(own, [], parts, len(holding.digests))
        self._counts = {"near": 0, "far": 0, "origin": 0}
        self.spoilt: dict[int, int] = {}

    async def run(self) -> None:
        """Fetch until every chunk that is wanted is held."""
        begun = self._begun_at
        try:
            async with asyncio.TaskGroup() as group:
                while self._holding.missing(self._wanted):
                    self._note_progress(begun)
                    self._take_neighbours(self._neighbours())
                    self._start_fetches(group)
                    await self._rest()
        finally:
            await self._possessions.close()
        note(
            _LOG,
            "chunks fetched",
            model=self._holding.name.model,
            version=self._holding.name.number,
            wanted=len(self._wanted),
            held=self._holding.held,
            sources=self._counts,
            ms=round((read_clock() - begun) * 1000),
        )

    def _take_neighbours(self, neighbours: list[Neighbour]) -> None:
        """Work out anew who fetches what, and whom to follow, if hosts have come or gone.

        Turns are taken among all agents, followed or not: from different lists two would take
        the same one.
        """
        if neighbours == self._known:
            return
        self._known = neighbours
        chunks = len(self._holding.digests)
        self._duties = Duties(self._own, neighbours, self._parts, chunks)
        self._possessions.update(choose_followed(self._own, neighbours))

    def _note_progress(self, begun: float) -> None:
        now = read_clock()
        if now - self._noted_at < PROGRESS_SECONDS:
            return
        self._noted_at = now
        note(
            _LOG,
            "version on its way",
            version=self._holding.name.number,
            ms=round((now - begun) * 1000),
            held=self._holding.held,
            in_flight=len(self._in_flight),
            sources=self._counts,
            connected=sum(each.connected for each in self._possessions.known.values()),
            any_held=self._count_any_held(),
        )

    def _count_any_held(self) -> int:
        held = self._holding.mask
        for each in self._possessions.known.values():
            held |= each.held
        return held.bit_count()

    async def _rest(self) -> None:
        """Wait until a fetch has ended, or a moment has passed and neighbours told something."""
        await _wait(self._arrived, LEAST_REST_SECONDS)
        if not self._arrived.is_set():
            await _wait(self._wake, _IDLE_SECONDS - LEAST_REST_SECONDS)
        self._arrived.clear()
        self._wake.clear()

    def _start_fetches(self, group: asyncio.TaskGroup) -> None:
        while len(self._in_flight) < FETCHES and (pick := self._choose()):
            self._in_flight.add(pick.chunk)
            # Counted before the task runs: the next choice of this loop must see it.
            if pick.address is None:
                self._from_origin += 1
                self._repeated += pick.chunk in self._seen_at
            else:
                self._possessions.known[pick.address].busy += 1
            group.create_task(self._fetch(pick))

    def _choose(self) -> Pick | None:
        now = read_clock()
        missing = [
            each for each in self._holding.missing(self._wanted) if each not in self._in_flight
        ]
        usable = [each for each in self._possessions.known.values() if each.connected]
        duties = self._duties
        late = self._measure_lateness(now)
        return choose_fetch(
            missing,
            [_describe_source(each, now) for each in usable],
            self._own.address,
            duties.list_carriers,
            duties.remember_feeders(late, self._drain_seconds),
            lambda chunk: self._may_cross(chunk, duties, now),
            self._measure_waits(missing, now),
            now - self._received_at,
            self._may_ask_origin(now),
            now - self._origin_heard_at < ORIGIN_SILENCE_SECONDS,
            self._may_repeat_origin(duties),
            self._random,
            SOURCE_FETCHES,
            measure_origin_patience(duties.rank_at_origin),
        )

    def _measure_lateness(self, now: float) -> float:
        held = self._count_any_held()
        if held > self._any_held:
            self._any_held, self._news_at = held, now
        return measure_lateness(now - self._begun_at, now - self._news_at, self._drain_seconds)

    def _may_ask_origin(self, now: float) -> bool:
        """Tell whether another fetch from the origin may start.

        Not before the neighbours have said what they hold: an agent that joins would draw chunks
        from the origin that all others have.
        """
        known = self._possessions.known.values()
        heard = all(each.connected for each in known) or now - self._begun_at > HEAR_SECONDS
        return heard and self._from_origin < ORIGIN_FETCHES and now >= self._origin_after

    def _may_cross(self, chunk: int, duties: Duties, now: float) -> bool:
        """Tell whether a chunk may be brought over from another region already.

        Each chunk has one region that takes it from the origin's; the others wait a moment to take
        it from there. The origin's region alone would carry every chunk to each other region.
        """
        if duties.is_first_region(chunk) or now - self._seen_at.get(chunk, now) > RELAY_SECONDS:
            return True
        return any(
            each.held >> chunk & 1 and not each.neighbour.at_origin
            for each in self._possessions.known.values()
        )

    def _may_repeat_origin(self, duties: Duties) -> bool:
        """Tell whether the origin may be asked for a chunk that others hold already."""
        share = (ORIGIN_COPIES - 1.0) / max(1, duties.count_at_origin())
        most = share * len(self._holding.digests)
        return self._own.at_origin and self._repeated + 1 <= most

    def _measure_waits(self, missing: Sequence[int], now: float) -> dict[int, float]:
        """Return for how long each missing chunk has been known to be held by somebody."""
        held = 0
        for each in self._possessions.known.values():
            held |= each.held
        for chunk in missing:
            if held >> chunk & 1:
                self._seen_at.setdefault(chunk, now)
        return {chunk: now - at for chunk, at in self._seen_at.items()}

    async def _fetch(self, pick: Pick) -> None:
        followed = self._possessions.known.get(pick.address or "")
        try:
            if pick.address is None:
                await self._fetch_from_origin(pick.chunk)
            elif followed is not None:
                await self._fetch_from_neighbour(pick.chunk, followed)
        finally:
            self._in_flight.discard(pick.chunk)
            if pick.address is None:
                self._from_origin -= 1
            elif followed is not None:
                followed.busy -= 1
            self._arrived.set()
            self._wake.set()

    async def _fetch_from_neighbour(self, chunk: int, followed: Followed) -> None:
        address = followed.neighbour.address
        try:
            data = await fetch_chunk(
                self._session, address, self._holding.name, chunk, self._urgency
            )
            await self._keep(chunk, data, "near" if followed.neighbour.near else "far", address)
            followed.failures = 0
        except IntegrityError as error:
            self._note_spoilt(chunk, "agent", error)
            followed.record_failure()
        except NeighbourBusyError:
            followed.avoided_until = read_clock() + BUSY_SECONDS
        except PlatformUnavailableError as error:
            note(_LOG, "chunk not had", chunk=chunk, reason=str(error))
            followed.record_failure()

    async def _fetch_from_origin(self, chunk: int) -> None:
        try:
            data = await self._origin.fetch_chunk(self._holding.name, chunk)
            self._origin_heard_at = read_clock()
            await self._keep(chunk, data, "origin", "origin")
        except IntegrityError as error:
            self._note_spoilt(chunk, "origin", error)
        except PlatformUnavailableError as error:
            note(_LOG, "chunk not had", chunk=chunk, reason=str(error))
            self._origin_after = read_clock() + self._random.uniform(0.5, 1.5) * _ORIGIN_PAUSE

    async def _keep(self, chunk: int, data: bytes, source: str, peer: str) -> None:
        self._holding.add(chunk, data, peer)
        self._received_at = read_clock()
        self._counts[source] += 1
        FETCHED.labels(source).inc(len(data))
        if self._on_kept is not None:
            await self._on_kept(chunk, data)

    def _note_spoilt(self, chunk: int, source: str, error: IntegrityError) -> None:
        SPOILT.labels(source).inc()
        self.spoilt[chunk] = self.spoilt.get(chunk, 0) + 1
        warn(_LOG, "spoilt chunk", chunk=chunk, reason=str(error), times=self.spoilt[chunk])


async def _wait(event: asyncio.Event, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        pass  # time to look again
