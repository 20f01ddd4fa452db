"""Fetching one version until it is whole."""

import asyncio
import logging
from collections.abc import Callable
from random import Random

from aiohttp import ClientSession
from prometheus_client import Counter

from wrenloft_swarm._holdings import Holding
from wrenloft_swarm._neighbours import Followed, Possessions, fetch_chunk
from wrenloft_swarm._ports import Neighbour, WeightsOrigin
from wrenloft_core import IntegrityError, PlatformUnavailableError, note, read_clock, warn
from wrenloft_policy import ChunkSource, Pick, choose_fetch

_LOG = logging.getLogger(__name__)

FETCHES = 5
"""Chunks on their way here at once: the link carries one in 54 ms, a request and its answer take
up to 10 ms across regions, and a source may be slow."""

SOURCE_FETCHES = 2
"""Chunks asked of one neighbour at once, so that the load spreads."""

ORIGIN_FETCHES = 1
"""Chunks asked of the origin at once. Its link serves all agents; a second one would only halve
the first one's rate, and a whole chunk is what others can use."""

_IDLE_SECONDS = 0.05
_ORIGIN_PAUSE = 0.2

FETCHED = Counter("wrenloft_agent_swarm_bytes", "Bytes of whole chunks fetched", ["source"])
SPOILT = Counter("wrenloft_agent_swarm_spoilt", "Chunks whose digest differed", ["source"])


class SwarmTransfer:
    """One version on its way here.

    :param neighbours: returns the other agents as now known.
    :param own_address: this agent's address, as neighbours know it.
    """

    def __init__(
        self,
        holding: Holding,
        session: ClientSession,
        origin: WeightsOrigin,
        neighbours: Callable[[], list[Neighbour]],
        own_address: str,
        random: Random,
    ) -> None:
        self._holding = holding
        self._session = session
        self._origin = origin
        self._neighbours = neighbours
        self._own = own_address
        self._random = random
        self._wake = asyncio.Event()
        self._possessions = Possessions(holding.name, session, self._wake)
        self._in_flight: set[int] = set()
        self._from_origin = 0
        self._origin_after = 0.0
        self._received_at = read_clock()
        self.spoilt: dict[int, int] = {}

    async def run(self) -> None:
        """Fetch until every chunk is held."""
        begun = read_clock()
        try:
            async with asyncio.TaskGroup() as group:
                while not self._holding.whole:
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
            group.create_task(self._fetch(pick))

    def _choose(self) -> Pick | None:
        now = read_clock()
        missing = [each for each in self._holding.missing() if each not in self._in_flight]
        usable = [
            each
            for each in self._possessions.known.values()
            if each.connected and each.avoided_until <= now
        ]
        fetching = [each for each in usable if not self._is_whole(each)]
        members = sorted([self._own, *(each.neighbour.address for each in fetching)])
        near = sorted(
            [self._own, *(each.neighbour.address for each in fetching if each.neighbour.near)]
        )
        return choose_fetch(
            missing,
            [
                ChunkSource(each.neighbour.address, each.held, each.busy, each.neighbour.near)
                for each in usable
            ],
            self._own,
            near,
            members,
            now - self._received_at,
            self._from_origin < ORIGIN_FETCHES and now >= self._origin_after,
            self._random,
            SOURCE_FETCHES,
        )

    def _is_whole(self, followed: Followed) -> bool:
        return followed.held.bit_count() >= len(self._holding.digests)

    async def _fetch(self, pick: Pick) -> None:
        try:
            if pick.address is None:
                await self._fetch_from_origin(pick.chunk)
            else:
                await self._fetch_from_neighbour(pick.chunk, pick.address)
        finally:
            self._in_flight.discard(pick.chunk)
            self._wake.set()

    async def _fetch_from_neighbour(self, chunk: int, address: str) -> None:
        followed = self._possessions.known.get(address)
        if followed is None:
            return
        followed.busy += 1
        try:
            data = await fetch_chunk(self._session, address, self._holding.name, chunk)
            self._keep(chunk, data, "agent", address)
            followed.failures = 0
        except IntegrityError as error:
            self._note_spoilt(chunk, "agent", error)
            followed.record_failure()
        except PlatformUnavailableError as error:
            note(_LOG, "chunk not had", chunk=chunk, reason=str(error))
            followed.record_failure()
        finally:
            followed.busy -= 1

    async def _fetch_from_origin(self, chunk: int) -> None:
        self._from_origin += 1
        try:
            data = await self._origin.fetch_chunk(self._holding.name, chunk)
            self._keep(chunk, data, "origin", "origin")
        except IntegrityError as error:
            self._note_spoilt(chunk, "origin", error)
        except PlatformUnavailableError as error:
            note(_LOG, "chunk not had", chunk=chunk, reason=str(error))
            self._origin_after = read_clock() + self._random.uniform(0.5, 1.5) * _ORIGIN_PAUSE
        finally:
            self._from_origin -= 1

    def _keep(self, chunk: int, data: bytes, source: str, peer: str) -> None:
        self._holding.add(chunk, data, peer)
        self._received_at = read_clock()
        FETCHED.labels(source).inc(len(data))

    def _note_spoilt(self, chunk: int, source: str, error: IntegrityError) -> None:
        SPOILT.labels(source).inc()
        self.spoilt[chunk] = self.spoilt.get(chunk, 0) + 1
        warn(_LOG, "spoilt chunk", chunk=chunk, reason=str(error), times=self.spoilt[chunk])
