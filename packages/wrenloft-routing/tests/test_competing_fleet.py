"""Simulation of competing callers, entry nodes and engines in virtual time."""

import asyncio
import heapq
import itertools
from collections import Counter
from collections.abc import Coroutine, Mapping, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

import pytest

from wrenloft_core import AgentId, ModelName, NodeId, PlaceName, RegionName, ServiceName
from wrenloft_policy import EngineProfile, estimate_elapsed, pick_retry_after, rank_urgency
from wrenloft_routing import (
    BackendService,
    Endpoint,
    Endpoints,
    Gate,
    InProgress,
    LoadUpdate,
    Placed,
    PlacementRequest,
)

from .virtual_time import run_virtually

SERVICE = ServiceName("s")
MODEL = ModelName("m")
PROFILE = EngineProfile(16, 5, 0.009, 0.00004, 19100.0, 2048, 977, 94)
BACKEND = BackendService(SERVICE, 10, PROFILE, MODEL)
ENGINE_RATE = PROFILE.slots / PROFILE.stream_seconds()
PLACE = PlaceName("p")
REGION = RegionName("r")
UPDATE_SECONDS = 0.05
CALLER_SECONDS = 6.0
MAX_ATTEMPTS = 3
WARM_UP_SECONDS = 3.0


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request, and how many requests arrive at all nodes a second."""

    rank: int
    objective: float
    rate: float
    nodes: tuple[int, ...] = ()


@dataclass(slots=True)
class _Work:
    tokens: float
    output: float
    begun: asyncio.Event = field(default_factory=asyncio.Event)
    ended: asyncio.Event = field(default_factory=asyncio.Event)


class Engine:
    """Alternates between prefill and decode as ``EngineProfile`` describes."""

    def __init__(self) -> None:
        self._waiting: list[tuple[int, int, _Work]] = []
        self._batch: list[_Work] = []
        self._order = itertools.count()
        self.task: asyncio.Task[None] | None = None

    def add(self, work: _Work, urgency: int) -> None:
        heapq.heappush(self._waiting, (urgency, next(self._order), work))
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while self._waiting or self._batch:
            while self._waiting and len(self._batch) < PROFILE.slots:
                self._batch.append(heapq.heappop(self._waiting)[2])
            budget = float(PROFILE.prefill_chunk_tokens)
            read = 0.0
            for each in self._batch:
                part = min(each.tokens, budget - read)
                each.tokens -= part
                read += part
            decoding = [each for each in self._batch if each.tokens <= 0]
            seconds = read / PROFILE.prefill_rate
            seconds += PROFILE.decode_seconds(len(decoding)) if decoding else 0.0
            await asyncio.sleep(seconds)
            for each in decoding:
                each.begun.set()
                each.output -= PROFILE.stride
                if each.output <= 0:
                    each.ended.set()
            self._batch = [each for each in self._batch if not each.ended.is_set()]


@dataclass
class Results:
    """Fresh callers by label, those answered in time, those answered at all."""

    asked: Counter[Any] = field(default_factory=Counter)
    in_time: Counter[Any] = field(default_factory=Counter)
    answered: Counter[Any] = field(default_factory=Counter)

    def share(self, *labels: Any) -> float:
        """Return the share in time of some labels' callers."""
        asked = sum(self.asked[each] for each in labels)
        return sum(self.in_time[each] for each in labels) / max(1, asked)

    def show(self) -> str:
        rows = [
            f"{label}: {self.share(label):.3f} in time, "
            f"{self.answered[label] / self.asked[label]:.3f} answered of {self.asked[label]}"
            for label in sorted(self.asked)
        ]
        return "; ".join(rows) + f"; all {self.share(*self.asked):.3f}"


class Node:
    """An entry node: the real gate, and what the forwarder does around it."""

    def __init__(self, fleet: "Fleet", name: str) -> None:
        self.name = NodeId(name)
        self.random = Random(name)
        self.endpoints = Endpoints(PLACE, REGION)
        listed = [_list_engine(number) for number in range(len(fleet.engines))]
        self.endpoints.update(listed, trusted=True)
        self.gate = Gate(
            self.endpoints,
            self.random,
            8.0,
            lambda: len(fleet.nodes),
            lambda: 2 * UPDATE_SECONDS,
            **fleet.options,
        )
        self.longest = 0.0
        self.sent: dict[AgentId, InProgress] = {}


def _list_engine(number: int) -> Endpoint:
    name, slots = AgentId(f"e{number}"), PROFILE.slots
    return Endpoint(name, SERVICE, f"{name}:1", PLACE, REGION, slots, versions={MODEL: 1})


class Fleet:
    """Nodes that exchange updates, engines, and callers who return after a refusal."""

    def __init__(self, nodes: int, engines: int, **options: Any) -> None:
        self.loop = asyncio.get_running_loop()
        self.seed = 11
        self.options = options
        self.engines = [Engine() for _ in range(engines)]
        self.nodes: list[Node] = []
        self.nodes = [Node(self, f"n{k}") for k in range(nodes)]
        self.results = Results()
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def capacity(self) -> float:
        """Mean requests a second."""
        return len(self.engines) * ENGINE_RATE

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run(self, seconds: float, kinds: Mapping[Any, Kind]) -> Results:
        """Simulate so many seconds of load after a warm-up."""
        self._start(self._exchange())
        begun = self.loop.time()
        for label, kind in kinds.items():
            self._start(self._arrive(label, kind, begun + WARM_UP_SECONDS + seconds))
        await asyncio.sleep(WARM_UP_SECONDS)
        self.results = Results()
        await asyncio.sleep(seconds)
        results = self.results
        self.results = Results()
        tasks = [*self._tasks, *(each.task for each in self.engines if each.task is not None)]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return results

    async def _arrive(self, label: Any, kind: Kind, until: float) -> None:
        nodes = [self.nodes[each] for each in kind.nodes] or self.nodes
        random = Random(f"{self.seed} {label}")
        while self.loop.time() < until:
            await asyncio.sleep(random.expovariate(kind.rate))
            caller = Random(random.random())
            self._start(self._call(label, kind, nodes, self.results, caller))

    async def _exchange(self) -> None:
        while True:
            await asyncio.sleep(UPDATE_SECONDS)
            now = self.loop.time()
            for one in self.nodes:
                current = one.endpoints.list_in_progress()
                changed = {
                    key: current.get(key, InProgress()) for key in one.sent.keys() | current.keys()
                }
                one.sent = current
                update = LoadUpdate(changed, one.gate.list_queues(), kinds=one.gate.list_kinds())
                for other in self.nodes:
                    if other is not one:
                        other.endpoints.peer_loads.record(one.name, update, now)
                        other.endpoints.wake_waiting()

    async def _call(
        self, label: Any, kind: Kind, nodes: Sequence[Node], results: Results, random: Random
    ) -> None:
        results.asked[label] += 1
        begun = self.loop.time()
        timeout = CALLER_SECONDS * random.uniform(0.86, 1.0)
        deadline = begun + timeout
        work = _Work(
            min(8000.0, random.lognormvariate(6.6, 0.75)),
            max(5.0, random.expovariate(1 / PROFILE.mean_output_tokens)),
        )
        for _ in range(MAX_ATTEMPTS):
            node = random.choice(nodes)
            left = deadline - self.loop.time()
            node.longest = max(left, node.longest)
            placement = PlacementRequest(
                BACKEND,
                kind.rank,
                work.tokens,
                self.loop.time(),
                estimate_elapsed(left, node.longest),
                kind.objective,
                deadline,
            )
            placed = await node.gate.place(placement, ())
            if isinstance(placed, Placed):
                first = await self._serve(node, placement, placed, work)
                results.answered[label] += first < deadline
                results.in_time[label] += first - begun <= kind.objective
                return
            left = deadline - self.loop.time()
            pause = pick_retry_after(left, placed.candidates, random)
            if pause >= left:
                return
            await asyncio.sleep(pause)

    async def _serve(
        self, node: Node, placement: PlacementRequest, placed: Placed, work: _Work
    ) -> float:
        """Run a request at an engine; return when its first event arrived."""
        state = placed.state
        load = InProgress(unread=1, unread_tokens=round(work.tokens))
        state.record_sent(self.loop.time())
        state.add_load(load)
        await asyncio.sleep(0.002)
        urgency = rank_urgency(placement.rank, overdue=placement.elapsed > 0.0, begun=False)
        self.engines[int(state.endpoint.agent_id[1:])].add(work, urgency)
        await work.begun.wait()
        first = self.loop.time() + 0.002
        state.add_load(InProgress(running=1) - load)
        if not placement.elapsed:
            in_time = first - placement.since <= placement.latency_objective
            node.gate.record_first_event(SERVICE, in_time=in_time)
        self._start(self._finish(node, placed, work))
        return first

    async def _finish(self, node: Node, placed: Placed, work: _Work) -> None:
        await work.ended.wait()
        placed.state.add_load(InProgress() - InProgress(running=1))
        node.endpoints.wake_waiting()


KINDS = {"urgent": (0, 0.406, 0.3), "usual": (1, 0.45, 0.3), "cheap": (2, 0.805, 0.4)}
"""Rank, latency objective and share of the capacity that callers of a kind use normally."""


def play(monkeypatch: pytest.MonkeyPatch, loads: Mapping[str, float], **options: Any) -> Results:
    """Simulate a fleet under factors on the usual load of each kind."""

    async def act() -> Results:
        fleet = Fleet(12, 5, **options)
        kinds = {
            name: Kind(rank, objective, loads[name] * share * fleet.capacity)
            for name, (rank, objective, share) in KINDS.items()
        }
        return await fleet.run(9.0, kinds)

    return run_virtually(monkeypatch, act)


@pytest.mark.parametrize(
    "loads",
    [
        {"urgent": 1.0, "usual": 1.0, "cheap": 2.0},
        {"urgent": 1.2, "usual": 1.2, "cheap": 1.2},
    ],
    ids=["flood", "overload"],
)
def test_urgent_kinds_are_served_as_often_as_the_cheap_one(
    monkeypatch: pytest.MonkeyPatch, loads: Mapping[str, float]
) -> None:
    """Guards against engines filled beyond what callers with a shorter objective can use."""
    before = play(monkeypatch, loads)
    after = play(monkeypatch, loads, limits_by_urgency=True)
    for kind in ("urgent", "usual"):
        assert after.share(kind) >= after.share("cheap") - 0.03, after.show()
    assert after.share(*KINDS) >= before.share(*KINDS), (before.show(), after.show())


def test_urgent_overload_leaves_some_capacity_to_the_cheap_kind(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a less urgent kind that waits at its nodes until all of it is refused."""
    results = play(monkeypatch, {"urgent": 3.0, "usual": 2.0, "cheap": 1.0}, limits_by_urgency=True)
    assert results.share("cheap") >= 0.25 * results.share(*KINDS), results.show()
    assert results.share("urgent") >= results.share("usual") >= results.share("cheap")


def test_equal_objectives_are_served_as_before(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against limits where no kind has a longer objective than a more urgent one."""
    monkeypatch.setattr(f"{__name__}.KINDS", {"a": (0, 0.8, 0.5), "b": (1, 0.8, 0.6)})
    loads = {"a": 1.0, "b": 1.0}
    assert play(monkeypatch, loads, limits_by_urgency=True) == play(monkeypatch, loads)
