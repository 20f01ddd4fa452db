"""Fetching one version until it is whole."""

import asyncio
import logging
from collections.abc import Callable, Sequence
from random import Random

from aiohttp import ClientSession
from prometheus_client import Counter

from wrenloft_core import IntegrityError, PlatformUnavailableError, note, read_clock, warn
from wrenloft_policy import ChunkSource, Pick, choose_fetch
from wrenloft_swarm._holdings import Holding
from wrenloft_swarm._neighbours import (
    BUSY_SECONDS,
    Followed,
    NeighbourBusyError,
    Possessions,
    fetch_chunk,
)
from wrenloft_swarm._ports import Neighbour, Wave, WeightsOrigin

_LOG = logging.getLogger(__name__)

FETCHES = 5
"""Chunks on their way here at once: the link carries one in 54 ms, a request and its answer take
up to 10 ms across regions, and a source may be slow."""

SOURCE_FETCHES = 2
"""Chunks asked of one neighbour at once, so that the load spreads."""

ORIGIN_FETCHES = 2
"""Chunks that a feeder asks of the origin at once: two of its five fetches, so that four feeders
fill the origin's link although neighbours use theirs too."""

HEAR_SECONDS = 0.25
"""Time for neighbours to say what they hold: a connection across regions takes 8 ms, behind chunks
of another version up to 0.2 s."""

LEAST_FEEDERS = 3
"""Agents of the origin's region that suffice to use up the origin's link, twice a host's."""

PROGRESS_SECONDS = 1.0
"""Between two log lines on a transfer."""

_IDLE_SECONDS = 0.05
_ORIGIN_PAUSE = 0.2

FETCHED = Counter("wrenloft_agent_swarm_bytes", "Bytes of whole chunks fetched", ["source"])
SPOILT = Counter("wrenloft_agent_swarm_spoilt", "Chunks whose digest differed", ["source"])


def list_origin_members(own: Neighbour, others: Sequence[Neighbour]) -> list[str]:
    """Return the agents that take turns at the origin, in an order that is the same everywhere.

    Those of the origin's region, unless too few of them are left to use up its link.
    """
    everyone = [own, *others]
    local = [each for each in everyone if each.at_origin]
    chosen = local if len(local) >= LEAST_FEEDERS else everyone
    return sorted(each.address for each in chosen)


def _describe_source(followed: Followed, now: float) -> ChunkSource:
    """Return a neighbour as the choice reads it.

    One that is avoided for a moment is busy and not absent: what it holds need not be brought
    over from another region.
    """
    busy = SOURCE_FETCHES if followed.avoided_until > now else followed.busy
    neighbour = followed.neighbour
    return ChunkSource(neighbour.address, followed.held, busy, neighbour.near)


class SwarmTransfer:
    """One version on its way here.

    :param neighbours: returns the other agents as now known.
    :param own: this agent as neighbours know it.
    """

    def __init__(
        self,
        holding: Holding,
        session: ClientSession,
        origin: WeightsOrigin,
        neighbours: Callable[[], list[Neighbour]],
        own: Neighbour,
        random: Random,
    ) -> None:
        self._holding = holding
        self._session = session
        self._origin = origin
        self._neighbours = neighbours
        self._own = own
        self._random = random
        self._wake = asyncio.Event()
        self._possessions = Possessions(holding.name, session, self._wake)
        self._in_flight: set[int] = set()
        self._from_origin = 0
        self._origin_after = 0.0
        self._begun_at = self._received_at = read_clock()
        self._noted_at = 0.0
        self._seen_at: dict[int, float] = {}
        self._counts = {"near": 0, "far": 0, "origin": 0}
        self.spoilt: dict[int, int] = {}

    async def run(self) -> None:
        """Fetch until every chunk is held."""
        begun = self._begun_at
        try:
            async with asyncio.TaskGroup() as group:
                while not self._holding.whole:
                    self._note_progress(begun)
                    self._possessions.update(self._neighbours())
                    self._start_fetches(group)
                    await self._rest()
        finally:
            await self._possessions.close()
        note(
            _LOG,
            "version whole",
            model=self._holding.name.model,
            version=self._holding.name.number,
            ms=round((read_clock() - begun) * 1000),
        )

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
        try:
            async with asyncio.timeout(_IDLE_SECONDS):
                await self._wake.wait()
        except TimeoutError:
            pass
        self._wake.clear()

    def _start_fetches(self, group: asyncio.TaskGroup) -> None:
        while len(self._in_flight) < FETCHES and (pick := self._choose()):
            self._in_flight.add(pick.chunk)
            # Counted before the task runs: the next choice of this loop must see it.
            if pick.address is None:
                self._from_origin += 1
            else:
                self._possessions.known[pick.address].busy += 1
            group.create_task(self._fetch(pick))

    def _choose(self) -> Pick | None:
        now = read_clock()
        missing = [each for each in self._holding.missing() if each not in self._in_flight]
        usable = [each for each in self._possessions.known.values() if each.connected]
        # Those not yet connected count: alone in its own view, each agent would take every turn.
        known = self._possessions.known.values()
        fetching = [each for each in known if not self._is_whole(each)]
        near = sorted(
            [
                self._own.address,
                *(each.neighbour.address for each in fetching if each.neighbour.near),
            ]
        )
        origin_members = list_origin_members(self._own, [each.neighbour for each in fetching])
        return choose_fetch(
            missing,
            [_describe_source(each, now) for each in usable],
            self._own.address,
            sorted([self._own.address, *near]),
            origin_members,
            self._measure_waits(missing, now),
            now - self._begun_at,
            now - self._received_at,
            self._may_ask_origin(now),
            self._random,
            SOURCE_FETCHES,
        )

    def _may_ask_origin(self, now: float) -> bool:
        """Tell whether another fetch from the origin may start.

        Not before the neighbours have said what they hold: an agent that joins would draw chunks
        from the origin that all others have.
        """
        known = self._possessions.known.values()
        heard = all(each.connected for each in known) or now - self._begun_at > HEAR_SECONDS
        return heard and self._from_origin < ORIGIN_FETCHES and now >= self._origin_after

    def _measure_waits(self, missing: Sequence[int], now: float) -> dict[int, float]:
        """Return for how long each missing chunk has been known to be held by somebody."""
        held = 0
        for each in self._possessions.known.values():
            held |= each.held
        for chunk in missing:
            if held >> chunk & 1:
                self._seen_at.setdefault(chunk, now)
        return {chunk: now - at for chunk, at in self._seen_at.items()}

    def _pick_wave(self) -> Wave:
        """Return the wave of this agent: every other one of its region is in the first."""
        known = self._possessions.known.values()
        near = [each.neighbour.address for each in known if each.neighbour.near]
        index = sorted([self._own.address, *near]).index(self._own.address)
        return Wave.SECOND if index % 2 else Wave.FIRST

    def _is_whole(self, followed: Followed) -> bool:
        return followed.held.bit_count() >= len(self._holding.digests)

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
            self._wake.set()

    async def _fetch_from_neighbour(self, chunk: int, followed: Followed) -> None:
        address = followed.neighbour.address
        try:
            data = await fetch_chunk(
                self._session, address, self._holding.name, chunk, self._pick_wave()
            )
            self._keep(chunk, data, "near" if followed.neighbour.near else "far", address)
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
            self._keep(chunk, data, "origin", "origin")
        except IntegrityError as error:
            self._note_spoilt(chunk, "origin", error)
        except PlatformUnavailableError as error:
            note(_LOG, "chunk not had", chunk=chunk, reason=str(error))
            self._origin_after = read_clock() + self._random.uniform(0.5, 1.5) * _ORIGIN_PAUSE

    def _keep(self, chunk: int, data: bytes, source: str, peer: str) -> None:
        self._holding.add(chunk, data, peer)
        self._received_at = read_clock()
        self._counts[source] += 1
        FETCHED.labels(source).inc(len(data))

    def _note_spoilt(self, chunk: int, source: str, error: IntegrityError) -> None:
        SPOILT.labels(source).inc()
        self.spoilt[chunk] = self.spoilt.get(chunk, 0) + 1
        warn(_LOG, "spoilt chunk", chunk=chunk, reason=str(error), times=self.spoilt[chunk])
