"""Fetching one version until it is whole."""

import asyncio
import logging
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from aiohttp import ClientSession
from prometheus_client import Counter

from wrenloft_agent._store import ChunkStore
from wrenloft_agent.origin import OriginClient
from wrenloft_agent.peers import (
    Neighbour,
    Neighbours,
    fetch_from_neighbour,
    fetch_manifest_from_neighbour,
)
from wrenloft_core import (
    AgentId,
    IntegrityError,
    Manifest,
    Pacer,
    PlatformUnavailableError,
    VersionDigest,
    WrenloftError,
)
from wrenloft_policy import NeighbourSource, Permit, choose_chunk

_LOG = logging.getLogger(__name__)

_FETCHES = 6
_ORIGIN_WORKERS = 2
_BUSY_LIMIT = 2
_IDLE_SECONDS = 0.1
_STALL_FACTOR = 8
_STALL_FLOOR = 1.0
_RETRY_SECONDS = 0.3
_HEDGE_PART = 0.5

_CORRUPT = Counter("wrenloft_agent_corrupt_chunks", "Chunks whose digest differed", ["source"])
_FETCHED = Counter("wrenloft_agent_fetched_bytes", "Bytes of whole chunks fetched", ["source"])
_HEDGED = Counter("wrenloft_agent_hedged_chunks", "Chunks asked of a second source")


@dataclass(frozen=True, slots=True)
class TransferMeans:
    """What every transfer of this agent uses."""

    store: ChunkStore
    session: ClientSession
    origin: OriginClient
    pacer: Pacer
    secret: str
    link_rate: float
    random: Random


class Transfer:
    """One version on its way here, from neighbours and, under permits, from the origin."""

    def __init__(self, version: VersionDigest, origin_path: str, means: TransferMeans) -> None:
        self._version = version
        self._origin_path = origin_path
        self._means = means
        self._neighbours = Neighbours(version, means.secret, self._wake)
        self._permits: dict[int, float] = {}
        self._in_flight: dict[int, float] = {}
        self._from_origin: set[int] = set()
        self._woken = asyncio.Event()
        self._fetching = 0

    def update(self, neighbours: Sequence[Neighbour], permits: Sequence[Permit]) -> None:
        """Take the neighbours and the further permits of a new order."""
        self._neighbours.update(neighbours)
        now = asyncio.get_running_loop().time()
        for permit in permits:
            self._permits.setdefault(permit.chunk, now + permit.not_before)
        self._wake()

    async def run(self, manifest: Manifest) -> None:
        """Fetch until every chunk is held."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._schedule(manifest, group))
            for _ in range(_ORIGIN_WORKERS):
                group.create_task(self._work_under_permits(manifest))

    async def close(self) -> None:
        """Stop following the neighbours."""
        await self._neighbours.close()

    def _wake(self) -> None:
        self._woken.set()
        self._woken = asyncio.Event()

    async def _rest(self, seconds: float = _IDLE_SECONDS) -> None:
        try:
            async with asyncio.timeout(seconds):
                await self._woken.wait()
        except TimeoutError:
            pass

    async def find_manifest(self) -> Manifest:
        """Take the manifest from a neighbour if one has it, so that the origin sends few."""
        store = self._means.store
        while (manifest := store.manifest(self._version)) is None:
            try:
                manifest = await self._ask_for_manifest()
            except WrenloftError as error:
                _LOG.warning("manifest not had: %s", error)
                await asyncio.sleep(_RETRY_SECONDS)
                continue
            store.add_manifest(manifest)
        return manifest

    async def _ask_for_manifest(self) -> Manifest:
        means = self._means
        for neighbour in list(self._neighbours.known.values()):
            if neighbour.held:
                manifest = await fetch_manifest_from_neighbour(
                    means.session, neighbour, self._version, means.secret
                )
                if manifest is not None:
                    return manifest
        return await means.origin.fetch_manifest(self._version)

    def _missing(self, manifest: Manifest) -> list[int]:
        get = self._means.store.get
        return [number for number, each in enumerate(manifest.digests) if get(each) is None]

    def _stall_seconds(self, size: int) -> float:
        return _STALL_FLOOR + _STALL_FACTOR * size / self._means.link_rate

    async def _schedule(self, manifest: Manifest, group: asyncio.TaskGroup) -> None:
        """Start fetches from neighbours, so many at once, until nothing is missing.

        One task chooses for all: with a task per fetch, each message of a neighbour woke them
        all, and a tenth of the samples of an agent's profile went into choosing in vain.
        """
        while missing := self._missing(manifest):
            open_chunks = [each for each in missing if each not in self._in_flight]
            while self._fetching < _FETCHES and (found := self._choose(manifest, open_chunks)):
                chunk, neighbour = found
                if chunk in open_chunks:
                    open_chunks.remove(chunk)
                self._in_flight[chunk] = asyncio.get_running_loop().time()
                self._fetching += 1
                neighbour.busy += 1
                group.create_task(self._fetch(manifest, chunk, neighbour))
            await self._rest()

    def _choose(self, manifest: Manifest, open_chunks: list[int]) -> tuple[int, Neighbour] | None:
        now = asyncio.get_running_loop().time()
        sources = [
            NeighbourSource(each.agent_id, each.held, each.busy, each.distance)
            for each in self._neighbours.known.values()
            if each.avoided_until <= now and each.held and each.busy < _BUSY_LIMIT
        ]
        if not sources:
            return None
        choice = choose_chunk(open_chunks, sources, self._means.random, _BUSY_LIMIT)
        if choice is None and not open_chunks:
            choice = self._choose_hedge(manifest, sources, now)
        if choice is None:
            return None
        return choice[0], self._neighbours.known[choice[1]]

    def _choose_hedge(
        self, manifest: Manifest, sources: list[NeighbourSource], now: float
    ) -> tuple[int, AgentId] | None:
        """At the end, ask a second source for a chunk that is late.

        One stalled source would otherwise hold the whole version until its time-out; a chunk
        that arrives twice is kept once.
        """
        late = [
            chunk
            for chunk, since in self._in_flight.items()
            if now - since > _HEDGE_PART * self._stall_seconds(manifest.sizes[chunk])
        ]
        choice = choose_chunk(late, sources, self._means.random, 1) if late else None
        if choice is not None:
            _HEDGED.inc()
        return choice

    async def _fetch(self, manifest: Manifest, chunk: int, neighbour: Neighbour) -> None:
        loop = asyncio.get_running_loop()
        digest = manifest.digests[chunk]
        try:
            data = await fetch_from_neighbour(
                self._means.session,
                neighbour,
                digest,
                secret=self._means.secret,
                pacer=self._means.pacer,
                seconds=self._stall_seconds(manifest.sizes[chunk]),
            )
            self._means.store.add(digest, data, peer=neighbour.agent_id)
            neighbour.failures = 0
            _FETCHED.labels("agent").inc(len(data))
        except IntegrityError as error:
            _CORRUPT.labels("agent").inc()
            _LOG.warning("corrupt chunk: %s", error)
            neighbour.record_failure(loop.time())
        except PlatformUnavailableError as error:
            _LOG.info("chunk not had: %s", error)
            neighbour.record_failure(loop.time())
        finally:
            neighbour.busy -= 1
            self._fetching -= 1
            self._in_flight.pop(chunk, None)
            self._wake()

    async def _work_under_permits(self, manifest: Manifest) -> None:
        """Fetch from the origin those chunks for which the owner gave leave."""
        loop = asyncio.get_running_loop()
        while missing := set(self._missing(manifest)):
            now = loop.time()
            due = [
                (at, chunk)
                for chunk, at in self._permits.items()
                if chunk in missing and chunk not in self._from_origin
            ]
            if not due:
                await self._rest()
            elif (first := min(due))[0] > now:
                await self._rest(min(first[0] - now, _IDLE_SECONDS))
            else:
                await self._fetch_from_origin(manifest, first[1])

    async def _fetch_from_origin(self, manifest: Manifest, chunk: int) -> None:
        loop = asyncio.get_running_loop()
        self._from_origin.add(chunk)
        self._in_flight[chunk] = loop.time()
        try:
            data = await self._means.origin.fetch_chunk(
                self._origin_path, manifest, chunk, self._stall_seconds(manifest.sizes[chunk])
            )
            self._means.store.add(manifest.digests[chunk], data, peer="origin")
            _FETCHED.labels("origin").inc(len(data))
        except IntegrityError as error:
            _CORRUPT.labels("origin").inc()
            _LOG.warning("corrupt chunk: %s", error)
        except PlatformUnavailableError as error:
            _LOG.warning("chunk not had: %s", error)
            self._permits[chunk] = loop.time() + self._means.random.uniform(0, _RETRY_SECONDS)
        finally:
            self._from_origin.discard(chunk)
            self._in_flight.pop(chunk, None)
