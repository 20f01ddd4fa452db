"""A fleet of reconcilers in virtual time, with a model of the links between them."""

import asyncio
import hashlib
import selectors
from collections import Counter
from collections.abc import Callable, Coroutine, Mapping, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from random import Random
from typing import Any
from unittest.mock import Mock, patch

from wrenloft_core import ModelName, PlatformUnavailableError, read_clock
from wrenloft_policy import REQUEST_START_SECONDS, LayerSpan
from wrenloft_swarm import (
    ChunkStore,
    EngineState,
    LatestState,
    Neighbour,
    OrderResult,
    Reconciler,
    ReconcilerContext,
    VersionName,
)
from wrenloft_swarm._neighbours import NeighbourBusyError, NeighbourState
from wrenloft_swarm._ports import Urgency
from wrenloft_swarm._server import MAX_REST_UPLOADS, MAX_UPLOADS, UPLOAD_SHARE
from wrenloft_swarm._upload_queue import UploadQueue

MODEL = ModelName("m")
BITMAP_SECONDS = 0.06
LOAD_SECONDS = 0.8
STREAM_SECONDS = 1.0
"""Time until the last stream of an engine that unloads has ended."""

STAGE_SECONDS = 0.02
"""Time of a call that stages or reads back a chunk."""
_MEGABIT = 125_000.0


class _Selector(selectors.SelectSelector):
    now = 1000.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        if timeout is None:
            raise RuntimeError("every task waits for another")
        self.now += max(0.0, timeout)
        return []


class _Loop(asyncio.SelectorEventLoop):
    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        return self._virtual.now


def run_virtually(work: Callable[[], Coroutine[Any, Any, None]]) -> None:
    """Run a coroutine in virtual time, which passes only while every task waits."""
    with asyncio.Runner(loop_factory=_Loop) as runner:
        clock = Mock(clock_gettime=lambda _: runner.get_loop().time())
        with patch("wrenloft_core._clock.time", clock):
            runner.run(work())


@dataclass(frozen=True)
class Scenario:
    """A fleet, its links, and what happens to it.

    :param chunk_bytes: bytes of one chunk.
    :param origin: rate of the origin's link in Mbit/s.
    :param link: rate of each agent's link in each direction in Mbit/s.
    :param between: rate of the link between two regions in Mbit/s.
    :param due: seconds from a naming until requests begin on that version only.
    :param named: time of the naming by version, in seconds.
    :param away: times from and until which the origin is unavailable.
    """

    named: Mapping[int, float]
    away: tuple[float, float] = (0.0, 0.0)
    agents: int = 41
    regions: int = 3
    chunks: int = 96
    chunk_bytes: int = 24_576
    origin: float = 4.38
    link: float = 3.65
    between: float = 13.0
    due: float = 13.4
    layers: int = 8
    seed: int = 1


@dataclass
class Pipe:
    """A link that carries one chunk after another."""

    rate: float
    free_at: float = 0.0

    def reserve(self, size: int) -> float:
        """Reserve the time for a chunk; return the seconds until it has passed."""
        now = read_clock()
        self.free_at = max(now, self.free_at) + size / self.rate
        return self.free_at - now


@dataclass
class Host:
    """One agent with its engine; stands in for the engine and the origin's client."""

    fleet: "Fleet"
    neighbour: Neighbour
    up: Pipe
    down: Pipe
    chunk_store: ChunkStore = field(default_factory=ChunkStore)
    queue: UploadQueue = field(default_factory=UploadQueue)
    uploads: int = 0
    staged: dict[int, bytes] = field(default_factory=dict)
    version: int = 1
    loading: bool = False
    sequence: int = 0
    span: LayerSpan | None = None
    served: dict[int, float] = field(default_factory=dict)
    unloaded: dict[int, float] = field(default_factory=dict)
    ordered: dict[int, float] = field(default_factory=dict)
    reconciler: Reconciler = field(init=False)

    async def report(self) -> EngineState:
        span = None if self.loading or not self.version else self.span or self.fleet.whole
        return EngineState(0, 0, self.version, self.loading, 1.0, self.sequence, span)

    async def list_staged(self, _: VersionName) -> set[int]:
        return set(self.staged)

    async def read_staged(self, _: VersionName, chunk: int) -> bytes | None:
        await asyncio.sleep(STAGE_SECONDS)
        return self.staged.get(chunk)

    async def stage(self, _: VersionName, chunk: int, data: bytes) -> None:
        await asyncio.sleep(STAGE_SECONDS)
        self.staged[chunk] = data

    async def order(self, name: VersionName, span: LayerSpan, sequence: int) -> OrderResult:
        if self.loading:
            return OrderResult.BUSY
        self.ordered.setdefault(name.number, self.fleet.elapsed)
        self.loading = True
        self.sequence += 1
        asyncio.get_running_loop().call_later(LOAD_SECONDS, self._finish, name.number, span)
        return OrderResult.ACCEPTED

    async def unload(self, name: VersionName, sequence: int) -> OrderResult:
        if sequence != self.sequence:
            return OrderResult.BUSY
        self.sequence += 1
        self.unloaded[name.number] = self.fleet.elapsed
        self.loading = True
        asyncio.get_running_loop().call_later(STREAM_SECONDS, self._drop)
        return OrderResult.ACCEPTED

    def _drop(self) -> None:
        self.version, self.loading = 0, False

    def _finish(self, number: int, span: LayerSpan) -> None:
        self.version, self.span, self.loading = number, span, False
        if span == self.fleet.whole:
            self.served[number] = self.fleet.elapsed

    async def fetch_digests(self, name: VersionName) -> tuple[str, ...]:
        await self._pass_origin(self.fleet.scenario.chunk_bytes // 3)
        return self.fleet.digests(name.number)

    async def fetch_chunk(self, name: VersionName, chunk: int) -> bytes:
        await self._pass_origin(self.fleet.scenario.chunk_bytes)
        self.fleet.sent[name.number] += 1
        self.fleet.out.setdefault(name.number, {}).setdefault(chunk, self.fleet.elapsed)
        return make_chunk(name.number, chunk)

    async def _pass_origin(self, size: int) -> None:
        if self.fleet.is_origin_away():
            await asyncio.sleep(0.05)
            raise PlatformUnavailableError("away", step="origin")
        await asyncio.sleep(max(self.fleet.origin.reserve(size), self.down.reserve(size)))
        if self.fleet.is_origin_away():
            raise PlatformUnavailableError("away", step="origin")


def make_chunk(version: int, chunk: int) -> bytes:
    """Return the bytes of a chunk."""
    return f"{version}/{chunk}".encode()


class Subscriptions:
    """Stands in for ``BitmapSubscriptions``: bitmaps arrive after a delay."""

    def __init__(self, name: VersionName, session: Host, wake: asyncio.Event) -> None:
        self._name = name
        self._fleet = session.fleet
        self._wake = wake
        self.states: dict[str, NeighbourState] = {}
        self._task = asyncio.create_task(self._refresh())

    def update(self, neighbours: Sequence[Neighbour]) -> None:
        self.states = {each.address: NeighbourState(each) for each in neighbours}

    async def close(self) -> None:
        self._task.cancel()

    async def _refresh(self) -> None:
        while True:
            await asyncio.sleep(BITMAP_SECONDS)
            for address, state in self.states.items():
                found = self._fleet.hosts[address].chunk_store.get(self._name)
                bitmap = 0 if found is None else found.bitmap
                state.connected = True
                if bitmap != state.bitmap:
                    state.bitmap = bitmap
                    self._wake.set()


class Fleet:
    """The agents of a scenario, and what was observed of them.

    :ivar sent: chunks sent by the origin, by version.
    :ivar out: times at which chunks left the origin for the first time, by version.
    :ivar crossed: chunks sent between regions, by version.
    :ivar complete: times at which each agent had a whole version, by version.
    """

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.started_at = read_clock()
        self.whole = LayerSpan(0, scenario.layers)
        self.capacity: list[tuple[float, float]] = []
        self.origin = Pipe(scenario.origin * _MEGABIT)
        self.sent: Counter[int] = Counter()
        self.crossed: Counter[int] = Counter()
        self.out: dict[int, dict[int, float]] = {}
        self.complete: dict[int, dict[str, float]] = {each: {} for each in scenario.named}
        self._between: dict[tuple[str, str], Pipe] = {}
        regions = {
            f"10.{n % scenario.regions}.0.{n}:1": f"r{n % scenario.regions}"
            for n in range(scenario.agents)
        }
        rate = scenario.link * _MEGABIT
        self.hosts = {
            address: Host(
                self, self._describe(address, region, region), Pipe(rate * UPLOAD_SHARE), Pipe(rate)
            )
            for address, region in regions.items()
        }
        for address, region in regions.items():
            others = [
                self._describe(each, its, region)
                for each, its in regions.items()
                if each != address
            ]
            self.hosts[address].reconciler = self._build(self.hosts[address], others)

    @staticmethod
    def _describe(address: str, region: str, seen_from: str) -> Neighbour:
        return Neighbour(address, region == seen_from, region == "r0", region)

    def _build(self, host: Host, others: list[Neighbour]) -> Reconciler:
        scenario = self.scenario
        first = VersionName(MODEL, 1)
        for chunk in range(scenario.chunks):
            host.chunk_store.open(first, self.digests(1)).add(chunk, make_chunk(1, chunk), "own")
        context = ReconcilerContext(
            engine=host,
            origin=host,
            session=host,  # type: ignore[arg-type]
            chunk_store=host.chunk_store,
            latest=LatestState(),
            neighbours=lambda: others,
            own=host.neighbour,
            link_rate=scenario.link * _MEGABIT,
            chunk_bytes=scenario.chunk_bytes,
            layers=scenario.layers,
            random=Random(f"{scenario.seed}/{host.neighbour.address}"),
            version_seconds=scenario.due,
            origin_rate=scenario.origin * _MEGABIT,
        )
        return Reconciler(MODEL, context)

    @property
    def elapsed(self) -> float:
        """Seconds since the start of the scenario."""
        return read_clock() - self.started_at

    def is_origin_away(self) -> bool:
        start, stop = self.scenario.away
        return start <= self.elapsed < stop

    def digests(self, version: int) -> tuple[str, ...]:
        return tuple(
            hashlib.sha256(make_chunk(version, each)).hexdigest()
            for each in range(self.scenario.chunks)
        )

    async def fetch_chunk(
        self, to: Host, address: str, name: VersionName, chunk: int, urgency: Urgency
    ) -> bytes:
        """Send a chunk from one agent to another."""
        source = self.hosts[address]
        is_rest = urgency is Urgency.REST
        if source.uploads >= (MAX_REST_UPLOADS if is_rest else MAX_UPLOADS):
            raise NeighbourBusyError("busy", step="fetch", peer=address)
        source.uploads += 1
        try:
            async with source.queue.reserve(urgent=not is_rest):
                pipes = [source.up, to.down]
                ends = (source.neighbour.region, to.neighbour.region)
                if ends[0] != ends[1]:
                    self.crossed[name.number] += 1
                    rate = self.scenario.between * _MEGABIT
                    pipes.append(self._between.setdefault(ends, Pipe(rate)))
                await asyncio.sleep(max(p.reserve(self.scenario.chunk_bytes) for p in pipes))
        finally:
            source.uploads -= 1
        data = source.chunk_store.get(name)
        assert data is not None
        found = data.get(chunk)
        assert found is not None
        return found

    async def fetch_digests(self, _: Host, address: str, name: VersionName) -> tuple[str, ...]:
        """Return the digests of a version if an agent has them."""
        await asyncio.sleep(0.02)
        found = self.hosts[address].chunk_store.get(name)
        if found is None:
            raise PlatformUnavailableError("none yet", step="fetch-digests")
        return found.digests

    async def play(self, seconds: float) -> None:
        """Run all agents for a time."""
        random = Random(self.scenario.seed)
        async with AsyncExitStack() as stack:
            for target, replacement in (
                ("wrenloft_swarm._transfer.fetch_chunk", self.fetch_chunk),
                ("wrenloft_swarm._transfer.BitmapSubscriptions", Subscriptions),
                ("wrenloft_swarm._reconciler.fetch_digests", self.fetch_digests),
            ):
                stack.enter_context(patch(target, replacement))
            for host in self.hosts.values():
                for work in (host.reconciler.poll_engine(), host.reconciler.run()):
                    stack.callback(asyncio.create_task(work).cancel)
                for number, at in self.scenario.named.items():
                    asyncio.get_running_loop().call_later(
                        at + random.uniform(0.05, 0.25), host.reconciler.set_target_version, number
                    )
            while self.elapsed < seconds:
                await asyncio.sleep(0.05)
                self._observe()

    def _measure_capacity(self) -> float:
        """Return the share of the engines that serve, half of one for an engine in a chain."""
        now = self.elapsed + REQUEST_START_SECONDS
        required = max(
            (each for each, at in self.scenario.named.items() if at + self.scenario.due <= now),
            default=1,
        )
        spans = [
            host.span or self.whole
            for host in self.hosts.values()
            if host.version >= required and not host.loading
        ]
        parts = Counter(span for span in spans if span != self.whole)
        chains = min(parts.values()) if len(parts) > 1 else 0
        return (sum(each == self.whole for each in spans) + chains) / len(self.hosts)

    def _observe(self) -> None:
        self.capacity.append((self.elapsed, self._measure_capacity()))
        for number, times in self.complete.items():
            for address, host in self.hosts.items():
                found = host.chunk_store.get(VersionName(MODEL, number))
                if address not in times and found is not None and found.is_complete:
                    times[address] = self.elapsed

    def find_complete(self, number: int, share: float = 0.0) -> float:
        """Return when this share of the agents, or the first, had a whole version."""
        times = sorted(self.complete[number].values())
        index = min(len(self.hosts) - 1, int(share * len(self.hosts)))
        return times[index] if index < len(times) else float("inf")

    def count_serving(self, number: int, at: float) -> int:
        """Return the number of engines that had a version or a newer one in service by a time."""
        return sum(
            any(each >= number and when <= at for each, when in host.served.items())
            for host in self.hosts.values()
        )


def play(scenario: Scenario, seconds: float) -> Fleet:
    """Play a scenario in virtual time."""
    fleets: list[Fleet] = []

    async def work() -> None:
        fleets.append(Fleet(scenario))
        await fleets[0].play(seconds)

    run_virtually(work)
    return fleets[0]
