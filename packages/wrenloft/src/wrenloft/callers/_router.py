"""Admission, queues and the choice of a runner at this node."""

import asyncio
import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

from prometheus_client import Counter, Gauge

from wrenloft._settings import Choice
from wrenloft._view import AgentEntry, View
from wrenloft.callers._requests import CallerRequest
from wrenloft.platform import ConfigurationStore
from wrenloft_core import (
    AgentId,
    ModelName,
    NodeId,
    NotRun,
    OrganisationName,
    PlaceName,
    Priority,
    RegionName,
    log_decision,
)
from wrenloft_policy import (
    Ejections,
    FairQueue,
    QueuedRequest,
    RunnerCandidate,
    RunnerChoice,
    TokenBucket,
    admit,
    choose_least_reported,
    choose_random,
    choose_runner,
    divide_limits,
    estimate_load,
    estimate_wait,
)

ChooseRunner = Callable[
    [Sequence[RunnerCandidate], PlaceName, RegionName, Random], RunnerChoice | None
]

_PUMP_SECONDS = 0.02
_SERVICE_SMOOTHING = 0.1
_DEMAND_SECONDS = 5.0
_PREFIXES_KEPT = 256

_REFUSED = Counter("wrenloft_refused_requests", "Requests refused as not run", ["reason"])
_QUEUED = Gauge("wrenloft_queued_requests", "Requests waiting for a runner", ["target"])


def build_choice(choice: Choice) -> ChooseRunner:
    """Return the function that chooses runners."""
    turns = itertools.count()

    def choose_next(
        candidates: Sequence[RunnerCandidate], place: PlaceName, region: RegionName, random: Random
    ) -> RunnerChoice | None:
        if not candidates:
            return None
        return RunnerChoice(candidates[next(turns) % len(candidates)].agent_id, "next in turn")

    return {
        Choice.TWO_CANDIDATES: choose_runner,
        Choice.RANDOM: lambda candidates, place, region, random: choose_random(candidates, random),
        Choice.ROUND_ROBIN: choose_next,
        Choice.LEAST_REPORTED: lambda candidates, *_: choose_least_reported(candidates),
    }[choice]


@dataclass(slots=True)
class _Line:
    """Requests that wait for one target."""

    queue: FairQueue = field(default_factory=FairQueue)
    turns: dict[QueuedRequest, asyncio.Future[AgentEntry]] = field(default_factory=dict)
    requests: dict[QueuedRequest, CallerRequest] = field(default_factory=dict)
    service_seconds: float = 0.5
    pump: asyncio.Task[None] | None = None
    freed: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(slots=True)
class _Account:
    """What this node counts of one organisation."""

    bucket: TokenBucket
    in_progress: int = 0
    demand: float = 0.0
    counted_at: float = 0.0


class Router:
    """Lets requests in and gives each a runner.

    :param choose: the rule for choosing a runner; others than the default serve measurements.
    """

    def __init__(
        self,
        view: View,
        configurations: ConfigurationStore,
        node_id: NodeId,
        place: PlaceName,
        region: RegionName,
        random: Random,
        choose: ChooseRunner = choose_runner,
    ) -> None:
        self._view = view
        self._configurations = configurations
        self._node_id = node_id
        self._place = place
        self._region = region
        self._random = random
        self._choose = choose
        self._lines: dict[ModelName, _Line] = {}
        self._accounts: dict[OrganisationName, _Account] = {}
        self.ejections = Ejections()

    def enter(self, request: CallerRequest) -> NotRun | None:
        """Count a request in, or refuse it by its organisation's limits."""
        now = asyncio.get_running_loop().time()
        account = self._account(request.caller.name, now)
        self._count_demand(account, now)
        share = divide_limits(
            request.caller.organisation.limits,
            self._collect_demand(request.caller.name),
            self._node_id,
            len(self._view.peers) + 1,
        )
        refusal = admit(
            request.priority,
            bucket=account.bucket,
            share=share,
            in_progress=account.in_progress,
            spread_seconds=self._configurations.current.fleet.spread_seconds,
            now=now,
            random=self._random,
        )
        if refusal is None:
            account.in_progress += 1
        else:
            _REFUSED.labels(refusal.reason).inc()
        return refusal

    def leave(self, request: CallerRequest) -> None:
        """Count a request out."""
        self._accounts[request.caller.name].in_progress -= 1

    def demand(self) -> dict[str, float]:
        """Return requests a second by organisation, for the other nodes."""
        now = asyncio.get_running_loop().time()
        for account in self._accounts.values():
            self._decay_demand(account, now)
        return {name: each.demand for name, each in self._accounts.items() if each.demand > 0.01}

    async def acquire(
        self, request: CallerRequest, excluded: frozenset[AgentId]
    ) -> AgentEntry | NotRun:
        """Give a request a runner, waiting in line if need be; :meth:`release` gives it back."""
        entries = self._list_entries(request, excluded)
        if not entries:
            return self._refuse("choose-runner", "no runner serves this now", 1.0)
        line = self._lines.setdefault(request.target, _Line())
        may_go = request.priority is Priority.ALARM or not len(line.queue)
        if may_go and (entry := self._choose_entry(request, entries)):
            return entry
        return await self._wait(request, line, entries)

    def release(self, request: CallerRequest, entry: AgentEntry, seconds: float | None) -> None:
        """Give a runner back.

        :param seconds: how long the request took there, ``None`` if it did not run.
        """
        current = self._view.agents.get(entry.agent_id, entry)
        current.own = max(0, current.own - 1)
        current.sent_since -= 1
        line = self._lines[request.target]
        if seconds is not None:
            line.service_seconds += _SERVICE_SMOOTHING * (seconds - line.service_seconds)
        line.freed.set()

    def explain(self, request: CallerRequest) -> list[tuple[RunnerCandidate, bool]]:
        """Return all candidates for a request, each with whether it has room."""
        now = asyncio.get_running_loop().time()
        entries = self._list_entries(request, frozenset())
        candidates = [self._view.describe_candidate(each, request.prefix, now) for each in entries]
        return [(each, self._has_room(each, request.priority)) for each in candidates]

    def _account(self, name: OrganisationName, now: float) -> _Account:
        if name not in self._accounts:
            self._accounts[name] = _Account(TokenBucket(now), counted_at=now)
        return self._accounts[name]

    def _count_demand(self, account: _Account, now: float) -> None:
        self._decay_demand(account, now)
        account.demand += 1.0 / _DEMAND_SECONDS

    @staticmethod
    def _decay_demand(account: _Account, now: float) -> None:
        account.demand *= max(0.0, 1.0 - (now - account.counted_at) / _DEMAND_SECONDS)
        account.counted_at = now

    def _collect_demand(self, name: OrganisationName) -> dict[NodeId, float]:
        demand = {node_id: each.demand.get(name, 0.0) for node_id, each in self._view.peers.items()}
        demand[self._node_id] = self._accounts[name].demand
        return demand

    def _list_entries(
        self, request: CallerRequest, excluded: frozenset[AgentId]
    ) -> list[AgentEntry]:
        now = asyncio.get_running_loop().time()
        if request.selector is None:
            entries = self._view.serving(request.target, now)
        else:
            entries = self._view.offering(request.selector, now)
        kept = self.ejections.filter([each.agent_id for each in entries], now)
        return [each for each in entries if each.agent_id in kept - excluded]

    def _has_room(self, candidate: RunnerCandidate, priority: Priority) -> bool:
        """Tell whether a request may go there now.

        Beyond its capacity a runner only lets requests wait where this node can no longer put a
        more urgent one before them. Alarms may always go: their slots are reserved there.
        """
        if priority is Priority.ALARM:
            return True
        reserved = self._configurations.current.fleet.alarm_slots
        return estimate_load(candidate) < max(1, candidate.capacity - reserved)

    def _choose_entry(
        self, request: CallerRequest, entries: Sequence[AgentEntry]
    ) -> AgentEntry | None:
        now = asyncio.get_running_loop().time()
        candidates = [
            candidate
            for each in entries
            if self._has_room(
                candidate := self._view.describe_candidate(each, request.prefix, now),
                request.priority,
            )
        ]
        chosen = self._choose(candidates, self._place, self._region, self._random)
        if chosen is None:
            return None
        log_decision(
            request.request_id,
            chosen=chosen.agent_id,
            reason=chosen.reason,
            candidates=len(candidates),
            target=request.target,
            priority=request.priority,
        )
        entry = self._view.agents[chosen.agent_id]
        entry.own += 1
        entry.sent_since += 1
        if request.prefix is not None:
            entry.prefixes.pop(request.prefix, None)
            entry.prefixes[request.prefix] = None
            if len(entry.prefixes) > _PREFIXES_KEPT:
                del entry.prefixes[next(iter(entry.prefixes))]
        return entry

    async def _wait(
        self, request: CallerRequest, line: _Line, entries: Sequence[AgentEntry]
    ) -> AgentEntry | NotRun:
        name, priority = request.caller.name, request.priority
        now = asyncio.get_running_loop().time()
        capacity = sum(each.record.capacity for each in entries)
        ahead = line.queue.count_ahead(name, priority)
        expected = estimate_wait(ahead, capacity, line.service_seconds)
        if line.queue.count(name) >= request.caller.organisation.limits.queue:
            return self._refuse("queue", "organisation's queue is full", expected)
        if now + expected >= request.deadline:
            return self._refuse("queue", "deadline can't be met", expected)
        ticket = QueuedRequest(request.request_id, name, priority, request.deadline)
        turn: asyncio.Future[AgentEntry] = asyncio.get_running_loop().create_future()
        line.turns[ticket] = turn
        line.requests[ticket] = request
        line.queue.push(ticket)
        _QUEUED.labels(request.target).set(len(line.queue))
        if line.pump is None or line.pump.done():
            line.pump = asyncio.create_task(self._pump(line))
        try:
            async with asyncio.timeout(request.deadline - now):
                return await turn
        except TimeoutError:
            self._release_turn(request, turn)
            return self._refuse("queue", "deadline reached while waiting", expected)
        except asyncio.CancelledError:
            self._release_turn(request, turn)
            raise
        finally:
            line.queue.remove(ticket)
            del line.turns[ticket], line.requests[ticket]
            _QUEUED.labels(request.target).set(len(line.queue))

    def _release_turn(self, request: CallerRequest, turn: asyncio.Future[AgentEntry]) -> None:
        """Give back a runner that came in the moment in which its request stopped waiting."""
        if turn.done() and not turn.cancelled():
            self.release(request, turn.result(), None)

    async def _pump(self, line: _Line) -> None:
        """Hand runners to waiting requests as they come free, while any wait."""
        while len(line.queue):
            line.freed.clear()
            while ticket := line.queue.pop():
                if line.turns[ticket].done():
                    continue
                entry = self._try(line.requests[ticket])
                if entry is None:
                    line.queue.push_back(ticket)
                    break
                line.turns[ticket].set_result(entry)
            try:
                async with asyncio.timeout(_PUMP_SECONDS):
                    await line.freed.wait()
            except TimeoutError:
                pass

    def _try(self, request: CallerRequest) -> AgentEntry | None:
        return self._choose_entry(request, self._list_entries(request, frozenset()))

    def _refuse(self, step: str, reason: str, expected: float) -> NotRun:
        """Refuse at once, with a time to come back that spreads the returns."""
        _REFUSED.labels(reason).inc()
        spread = self._configurations.current.fleet.spread_seconds
        return NotRun(step, reason, retry_after=expected + self._random.uniform(0.0, spread))
