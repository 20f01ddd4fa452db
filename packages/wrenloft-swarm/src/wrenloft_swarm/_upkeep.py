"""Keeping one engine on the version that operators want."""

import asyncio
import logging
from collections.abc import Callable, Coroutine, Sequence
from dataclasses import dataclass
from random import Random
from typing import Any, TypeVar

from aiohttp import ClientSession

from wrenloft_core import ModelName, PlatformUnavailableError, note, read_clock, warn
from wrenloft_policy import WantedVersion, choose_version, list_feeders
from wrenloft_swarm._holdings import Holding, Holdings, VersionName
from wrenloft_swarm._neighbours import fetch_digests
from wrenloft_swarm._ports import (
    Engine,
    EngineState,
    Neighbour,
    OrderResult,
    WeightsOrigin,
)
from wrenloft_swarm._server import LatestState
from wrenloft_swarm._transfer import SwarmTransfer, list_origin_members

T = TypeVar("T")

_LOG = logging.getLogger(__name__)

REPORT_SECONDS = 0.1
"""Between two reads of the engine's report, which is free on its own host."""

ORDER_RETRY_SECONDS = 0.1
"""Pause after an order that met a busy engine; it ends a pass about as often."""

NEIGHBOUR_TRIES = 4
NEIGHBOURS_ASKED = 3
"""Rounds and neighbours a round before the origin is asked for a list of digests: 0.4 s, in which
a feeder has had it even through a slow link."""

SPOILT_LIMIT = 3
"""Times a chunk may come spoilt before its digest is doubted: the list may be what is wrong."""

_RETRY_SECONDS = 0.2
_STAGE_AT_ONCE = 4
"""Staged chunks written or read at once; they cross no link."""

_SETTLE_SECONDS = 1.0
"""How long an engine may report an older version after its order before it is ordered again."""


@dataclass(frozen=True, slots=True)
class Means:
    """What an upkeep works with.

    :param own: this agent as neighbours know it.
    :param link_rate: bytes a second of this host's link.
    :param chunk_bytes: bytes of one chunk.
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


class Upkeep:
    """Brings one engine to each version that is named, and back to it after a restart."""

    def __init__(self, model: ModelName, means: Means) -> None:
        self._model = model
        self._means = means
        self._newest = WantedVersion(1, read_clock())
        self._current = self._newest
        self._named = asyncio.Event()
        self._ordered: tuple[int, float] | None = None

    def name_version(self, number: int) -> None:
        """Take a version that operators named; older ones than the newest change nothing."""
        if number > self._newest.number:
            self._newest = WantedVersion(number, read_clock())
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
            await asyncio.sleep(REPORT_SECONDS)

    async def run(self) -> None:
        """Work towards the newest version until cancelled."""
        await self._recover_staged()
        while True:
            state = self._means.latest.state
            target = self._newest
            if state is None or self._is_settled(state, target):
                await self._rest()
                continue
            self._current = target
            try:
                await self._bring(VersionName(self._model, target.number))
            except PlatformUnavailableError as error:
                note(_LOG, "version not brought", version=target.number, reason=str(error))
                await asyncio.sleep(_RETRY_SECONDS)

    def _is_settled(self, state: EngineState, target: WantedVersion) -> bool:
        if state.version >= target.number:
            self._ordered = None
            return True
        if state.loading:
            holding = self._means.holdings.get(VersionName(self._model, target.number))
            return holding is not None and holding.whole
        ordered = self._ordered
        if ordered is None or ordered[0] != target.number:
            return False
        return read_clock() - ordered[1] < _SETTLE_SECONDS

    async def _rest(self) -> None:
        try:
            async with asyncio.timeout(REPORT_SECONDS):
                await self._named.wait()
        except TimeoutError:
            pass
        self._named.clear()

    async def _recover_staged(self) -> None:
        """Take what already lies staged beside the engine, so that neighbours can have it.

        Engines present at the start hold the first version; without this, the first engine that
        joins would draw a whole copy from the origin while seven hosts have one.
        """
        means = self._means
        name = VersionName(self._model, 1)
        try:
            while means.latest.state is None:
                await asyncio.sleep(REPORT_SECONDS)
            number = max(1, means.latest.state.version)
            name = VersionName(self._model, number)
            staged = await means.engine.list_staged(name)
            if not staged:
                return
            holding = await self._open(name)
            await _run_limited([self._adopt(holding, chunk) for chunk in sorted(staged)])
            note(_LOG, "staged chunks taken", version=number, held=holding.held)
        except PlatformUnavailableError as error:
            note(_LOG, "staged chunks not taken", reason=str(error))

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
            for _ in range(NEIGHBOUR_TRIES):
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
        members = list_origin_members(self._means.own, self._means.neighbours())
        return list_feeders(members, 0.0)

    async def _ask_neighbours(self, name: VersionName) -> tuple[str, ...] | None:
        """Ask a few neighbours, feeders first, for a version's digests."""
        addresses = [each.address for each in self._means.neighbours()]
        feeders = set(self._list_feeders())
        self._means.random.shuffle(addresses)
        addresses.sort(key=lambda each: each not in feeders)
        for address in addresses[:NEIGHBOURS_ASKED]:
            try:
                return await fetch_digests(self._means.session, address, name)
            except PlatformUnavailableError:
                continue  # the next may have them, and the caller says so if none has
        return None

    async def _bring(self, name: VersionName) -> None:
        """Fetch a version whole, stage it and order the engine to load it."""
        holding = await self._open(name)
        if not holding.whole and not await self._fetch(holding):
            return
        await self._stage_whole(holding)
        await self._order(holding)

    async def _fetch(self, holding: Holding) -> bool:
        """Fetch until whole; ``False`` if a newer version took its place."""
        means = self._means
        transfer = SwarmTransfer(
            holding,
            means.session,
            means.origin,
            means.neighbours,
            means.own,
            means.random,
        )
        task = asyncio.create_task(transfer.run())
        try:
            while not task.done():
                await asyncio.wait([task], timeout=REPORT_SECONDS)
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

    async def _stage_whole(self, holding: Holding) -> None:
        await _run_limited([self._stage(holding, each) for each in range(len(holding.digests))])

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

    async def _verify(self, holding: Holding) -> None:
        """Read every staged chunk back, and stage those again that differ."""
        chunks = range(len(holding.digests))
        sound = await _run_limited([self._is_staged(holding, each) for each in chunks])
        spoilt = [chunk for chunk, good in zip(chunks, sound, strict=True) if not good]
        if spoilt:
            warn(_LOG, "staged chunks spoilt", version=holding.name.number, chunks=spoilt)
            await _run_limited([self._stage(holding, each) for each in spoilt])
            await self._verify(holding)

    async def _order(self, holding: Holding) -> None:
        number = holding.name.number
        while True:
            state = self._means.latest.state
            if state is None or state.version >= number:
                return
            if self._newest.number > number and state.loading:
                return
            if not state.loading:
                await self._verify(holding)
                result = await self._means.engine.order(holding.name)
                note(_LOG, "engine ordered", version=number, result=result.value)
                if result is OrderResult.ACCEPTED:
                    self._ordered = (number, read_clock())
                    return
            await asyncio.sleep(ORDER_RETRY_SECONDS)


async def _run_limited(calls: Sequence[Coroutine[Any, Any, T]]) -> list[T]:
    """Run calls a few at a time, and return their results in order."""
    gate = asyncio.Semaphore(_STAGE_AT_ONCE)

    async def run(call: Coroutine[Any, Any, T]) -> T:
        async with gate:
            return await call

    return list(await asyncio.gather(*(run(each) for each in calls)))
