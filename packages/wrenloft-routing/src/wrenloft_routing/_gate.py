"""Admission to endpoints: requests wait briefly by urgency, or are refused early."""

import asyncio
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, replace
from math import inf
from random import Random

from prometheus_client import Counter

from wrenloft_core import AgentId, ServiceName, read_clock
from wrenloft_policy import (
    MAX_OBJECTIVE_SHARE,
    MIN_ENDPOINT_RATE,
    OVERDUE_OBJECTIVE_SHARE,
    QUEUE_SHARE,
    EndpointChoice,
    EndpointLoad,
    Prediction,
    RequestKind,
    Verdict,
    WantedVersion,
    adjust_objective_share,
    choose_endpoint,
    compute_objective_seconds,
    compute_send_probability,
    count_unreachable,
    decide_dispatch,
    decide_timed_dispatch,
    estimate_unreported,
    exceeds_engine_memory,
    is_version_required,
    list_with_memory,
    predict_first_byte,
)
from wrenloft_routing._chains import ChainStage, Eligible, list_eligible
from wrenloft_routing._endpoint_snapshot import EndpointSnapshot, RateLimitReset, RestEnd
from wrenloft_routing._endpoints import Endpoints, EndpointState
from wrenloft_routing._kind_ledger import Competition, KindLedger, KindLoads
from wrenloft_routing._loads import QueueLength
from wrenloft_routing._table import AllowedRegions, BackendService

EXCLUDED = Counter(
    "wrenloft_excluded_requests",
    "Requests refused because no endpoint is left in allowed regions and zones in use",
)

DEFAULT_WORK_SECONDS = 0.03
"""Seconds of work on a request at a plain service, until answers give an estimate."""

_WORK_WEIGHT = 0.05
"""Weight of one answer in the exponential moving average, about the last 20 answers."""

MAX_DENIALS = 5
"""Grants denied in a row after which a request stops requesting them. Each takes a few
milliseconds, so that asking every endpoint would delay the refusal where all are limited."""

FRESH_REFUSED_SECONDS = 1.0
"""Seconds for which overdue requests do not wait at limited endpoints after a fresh request was
refused there."""

MAX_SNAPSHOTS = 256
"""Snapshots kept, which differ by service and by the regions that requests are bound to."""

_SnapshotKey = tuple[ServiceName, bool, AllowedRegions]

_MIN_WAIT_SECONDS = 0.005
"""Shortest interval between two checks of the endpoints."""


@dataclass(slots=True, eq=False)
class PlacementRequest:
    """A request to be placed at an endpoint.

    :param rank: 0 for the most urgent.
    :param since: when it began to wait.
    :param elapsed: seconds from the caller's first attempt until then.
    :param latency_objective: seconds from ``since`` within which an answer has its full value.
    :param deadline: when the caller times out.
    :param begun: whether the caller has part of the answer; the request then goes before all others
        and is refused only if no endpoint can resume it.
    :param not_before: until when it leaves spare capacity to other waiting requests.
    :param denials: grants that limited endpoints denied it since it last waited.
    :param regions: in which it may be served, ``None`` for all.
    """

    service: BackendService
    rank: int
    prompt_tokens: float
    since: float
    elapsed: float
    latency_objective: float
    deadline: float
    begun: bool = False
    not_before: float = 0.0
    denials: int = 0
    regions: AllowedRegions = None

    @property
    def can_request_grants(self) -> bool:
        """Whether it can still request grants; otherwise it only uses unlimited endpoints."""
        return self.denials < MAX_DENIALS

    @property
    def order(self) -> tuple[int, bool]:
        """The sort key of waiting requests: by rank, then those that can be in time first."""
        if self.begun:
            return -1, False
        return self.rank, self.is_overdue

    @property
    def urgency(self) -> int:
        """The order as one number; the lowest goes first."""
        rank, overdue = self.order
        return 2 * rank + overdue

    @property
    def kind(self) -> RequestKind:
        """What distinguishes it from other requests of its service that compete with it."""
        return RequestKind(self.rank, self.latency_objective)

    @property
    def is_overdue(self) -> bool:
        """Whether the answer can't be in time."""
        return not self.begun and self.elapsed > self.latency_objective * QUEUE_SHARE


@dataclass(frozen=True, slots=True)
class Placed:
    """The chosen endpoint, and the basis of the choice.

    :param version: the only version on which the request may begin there, ``None`` for any. The
        endpoint verifies it, since this node's information may be outdated.
    :param chain: the engines that it goes through, empty if the endpoint alone suffices.
    """

    state: EndpointState
    prediction: Prediction
    candidates: int
    version: int | None
    chain: tuple[ChainStage, ...] = ()

    @property
    def states(self) -> tuple[EndpointState, ...]:
        """All endpoints that the request goes through."""
        return (self.state, *(stage.state for stage in self.chain[1:]))


@dataclass(frozen=True, slots=True)
class LimitedTurn:
    """The expected turn of a request at endpoints whose rate limits are used up.

    :param wait: seconds until its turn.
    :param rate: total requests per second that these endpoints take.
    :param waiting: requests that wait for them at all nodes.
    """

    wait: float
    rate: float
    waiting: int


@dataclass(frozen=True, slots=True)
class Refused:
    """No endpoint can answer in time.

    :param turn: set if only rate limits prevent it.
    :param rest: seconds until the first endpoint takes requests again, if all of them rest.
    :param final: whether a retry would be refused again.
    """

    reason: str
    candidates: int
    turn: LimitedTurn | None = None
    rest: float | None = None
    final: bool = False


class Gate:
    """Place requests at endpoints.

    :param version_seconds: from the announcement of a version until requests may begin only on it.
    :param count_nodes: returns the number of live entry nodes that send to the same endpoints.
    :param update_interval: returns the seconds until other nodes know of sent requests.
    :param limits_by_urgency: whether less urgent requests leave capacity to more urgent ones with
        a shorter latency objective.
    """

    def __init__(
        self,
        endpoints: Endpoints,
        random: Random,
        version_seconds: float,
        count_nodes: Callable[[], int] = lambda: 1,
        update_interval: Callable[[], float] = lambda: 0.0,
        *,
        limits_by_urgency: bool = False,
    ) -> None:
        self._endpoints = endpoints
        self._random = random
        self._version_seconds = version_seconds
        self._waiting: dict[ServiceName, list[PlacementRequest]] = {}
        self._work: dict[ServiceName, float] = {}
        self._objective_shares: dict[ServiceName, float] = {}
        self._wanted: dict[str, list[WantedVersion]] = {}
        self._count_nodes = count_nodes
        self._update_interval = update_interval
        self._fresh_refused_at: dict[ServiceName, float] = {}
        self._snapshots: dict[_SnapshotKey, EndpointSnapshot] = {}
        self._kinds = KindLedger() if limits_by_urgency else None

    def record_work_seconds(self, service: ServiceName, seconds: float) -> None:
        """Record the time that a plain service needed for an answer."""
        mean = self._work.get(service, DEFAULT_WORK_SECONDS)
        self._work[service] = mean + _WORK_WEIGHT * (seconds - mean)

    def record_first_event(self, service: ServiceName, *, in_time: bool) -> None:
        """Record whether a request that could be in time had its first event in time."""
        share = self._objective_shares.get(service, MAX_OBJECTIVE_SHARE)
        self._objective_shares[service] = adjust_objective_share(share, in_time=in_time)

    def announce_version(self, model: str, wanted: WantedVersion) -> bool:
        """Record an announced version; return whether it is newer than all known ones.

        Each has its own deadline: announcing a third version before the second is in service does
        not postpone the deadline of the second.
        """
        known = self._wanted.setdefault(model, [])
        if known and known[-1].number >= wanted.number:
            return False
        known.append(wanted)
        return True

    def find_required_version(self, service: BackendService, now: float) -> int:
        """Return the oldest version on which requests may begin now, 0 for any."""
        due = [
            each.number
            for each in self._wanted.get(service.model or "", ())
            if is_version_required(each, self._version_seconds, now)
        ]
        return max(due, default=0)

    def measure_begin_limit(self, state: EndpointState, service: BackendService) -> float:
        """Return the seconds after which a request may no longer begin at an endpoint.

        Infinite if no version newer than the endpoint's is announced.
        """
        if service.model is None:
            return float("inf")
        now = read_clock()
        version = state.find_weights(service.model, now).version
        wanted = self._wanted.get(service.model, ())
        deadlines = [
            each.seen_at + self._version_seconds for each in wanted if each.number > version
        ]
        return min(deadlines, default=float("inf")) - now

    async def place(
        self, request: PlacementRequest, tried: Collection[AgentId]
    ) -> Placed | Refused:
        """Return an endpoint with spare capacity, waiting briefly for one if necessary."""
        queue = self._waiting.setdefault(request.service.name, [])
        queue.append(request)
        self._record_arrival(request)
        try:
            while True:
                changed = self._endpoints.changed
                outcome = self._decide(request, tried)
                if outcome is not None:
                    self._record_outcome(request, outcome)
                    return outcome
                await _wait(changed, request)
        finally:
            queue.remove(request)

    def _record_arrival(self, request: PlacementRequest) -> None:
        engine = request.service.engine
        if self._kinds is None or engine is None:
            return
        usual = replace(request, prompt_tokens=engine.mean_prompt_tokens)
        if self._measure_idle_latency(usual, 0.0) > request.latency_objective:
            return  # no endpoint is ever fast enough, so others must not leave any free for it
        fresh, now = not request.is_overdue, read_clock()
        self._kinds.record_arrival(request.service.name, request.kind, now, fresh=fresh)

    def _record_outcome(self, request: PlacementRequest, outcome: Placed | Refused) -> None:
        """Record whether a fresh request found capacity."""
        if self._kinds is None or request.is_overdue:
            return
        service, now = request.service.name, read_clock()
        if isinstance(outcome, Placed):
            self._kinds.record_sent(service, request.kind, now)
        elif outcome.candidates:
            self._kinds.record_refusal(service, request.kind, now)

    def _assess_competition(self, request: PlacementRequest, now: float) -> Competition | None:
        if self._kinds is None or request.service.engine is None or request.begun:
            return None
        sum_elsewhere = self._endpoints.peer_loads.get_kinds
        return self._kinds.assess(request.service.name, request.kind, sum_elsewhere, now)

    def _is_behind_others(self, request: PlacementRequest, competition: Competition | None) -> bool:
        """Return whether a request that waits here goes before this one."""
        waiting = self._waiting[request.service.name]
        if competition is None:
            return any(each.order < request.order for each in waiting)
        if not competition.yields:
            return False
        # An overdue request leaves endpoints free that a fresh one of any rank can use.
        return any(
            each.order < request.order and (request.is_overdue or not each.is_overdue)
            for each in waiting
        )

    def _decide(
        self, request: PlacementRequest, tried: Collection[AgentId]
    ) -> Placed | Refused | None:
        now = read_clock()
        if exceeds_engine_memory(request.service.engine, request.prompt_tokens):
            tokens = round(request.prompt_tokens)
            return Refused(f"prompt of {tokens} tokens exceeds engines' memory", 0, final=True)
        snapshot = self._get_snapshot(request, tried, now)
        if not snapshot.eligible and (reason := self._find_exclusion(request)):
            EXCLUDED.inc()
            return Refused(reason, 0)
        choice, verdict = self._choose_endpoint(request, snapshot, now)
        if verdict is Verdict.SEND and choice is not None:
            chosen = snapshot.find(choice.key)
            snapshot.record_sent(choice.key, request.prompt_tokens)
            return self._place_at(request, chosen, choice.prediction, len(snapshot.eligible), now)
        starved = choice is None and bool(snapshot.loads)  # of the engines' memory
        reset = snapshot.rate_limit_reset if request.can_request_grants and not starved else None
        if choice is None and reset is not None and request.urgency < reset.urgency:
            idle = self._predict_idle(request, snapshot.work)
            return self._place_at(request, reset.least_urgent, idle, 1, now)
        turn = self._find_turn(request, snapshot, now)
        if turn is not None:
            return self._decide_turn(request, turn, snapshot.work, now)
        if snapshot.rest_end is not None:
            return self._decide_rest(request, snapshot.rest_end, snapshot.work, now)
        if verdict is Verdict.REFUSE:
            known = len(self._endpoints.of_service(request.service.name))
            if starved:
                return Refused(f"memory of {len(snapshot.loads)} engines is in use", known)
            if choice is None:
                return Refused(f"none of {known} endpoints can take it", 0)
            needed = compute_objective_seconds(choice.prediction, request.service.engine)
            return Refused(
                f"best of {len(snapshot.eligible)} needs {needed:.3f} s", len(snapshot.eligible)
            )
        return None

    def _place_at(
        self,
        request: PlacementRequest,
        chosen: Eligible,
        prediction: Prediction,
        candidates: int,
        now: float,
    ) -> Placed:
        # Pin the version for all engines of a chain: one that has just swapped would otherwise run
        # its layers of the next version.
        pinned = self.find_required_version(request.service, now) or chosen.chain
        version = chosen.version if pinned else None
        return Placed(chosen.state, prediction, candidates, version, chosen.chain)

    def _find_turn(
        self, request: PlacementRequest, snapshot: EndpointSnapshot, now: float
    ) -> LimitedTurn | None:
        """Return the expected turn of a request if only rate limits prevent sending it."""
        reset = snapshot.rate_limit_reset
        if reset is None:
            return None
        service = request.service.name
        ahead = self._count_ahead(request)
        elsewhere = self._endpoints.peer_loads.get_queue(service)
        wait = max(0.0, reset.at - now) + (ahead + elsewhere.fresh) / reset.rate
        wait = min(wait, max(0.0, reset.ends_at - now))
        waiting = len(self._waiting[service]) + elsewhere.fresh + elsewhere.overdue
        return LimitedTurn(wait, reset.rate, waiting)

    def _decide_turn(
        self, request: PlacementRequest, turn: LimitedTurn, work: float, now: float
    ) -> Refused | None:
        idle_seconds = self._measure_idle_latency(request, work)
        waited, left = now - request.since, request.deadline - now
        verdict = decide_timed_dispatch(
            turn.wait, idle_seconds, waited, request.elapsed, request.latency_objective, left
        )
        if request.is_overdue and self._has_refused_fresh(request.service.name, now):
            verdict = Verdict.REFUSE  # fresh requests use all capacity
        if verdict is Verdict.QUEUE:
            request.denials = 0
            return None
        if not request.is_overdue:
            self._fresh_refused_at[request.service.name] = now
        return Refused(f"rate limits leave room in {turn.wait:.2f} s", 0, turn)

    def _decide_rest(
        self, request: PlacementRequest, rest_end: RestEnd, work: float, now: float
    ) -> Refused | None:
        wait = rest_end.at - now
        verdict = decide_timed_dispatch(
            wait,
            self._measure_idle_latency(request, work),
            now - request.since,
            request.elapsed,
            request.latency_objective,
            request.deadline - now,
        )
        if rest_end.untried and verdict is Verdict.QUEUE:
            return None
        return Refused(f"endpoints rest for {wait:.2f} s", 0, rest=wait)

    def _has_refused_fresh(self, service: ServiceName, now: float) -> bool:
        at = self._fresh_refused_at.get(service, -inf)
        return now - at < FRESH_REFUSED_SECONDS

    def _find_exclusion(self, request: PlacementRequest) -> str | None:
        """Return why operators exclude all endpoints of a request, ``None`` if they don't."""
        known = self._endpoints.of_service(request.service.name)
        regions = request.regions
        if regions is not None:
            known = [each for each in known if each.endpoint.region in regions]
            if not known:
                return f"no endpoint in allowed regions: {', '.join(sorted(regions)) or 'none'}"
        if known and all(each.evacuated for each in known):
            return "all allowed endpoints are in evacuated zones"
        return None

    def _get_snapshot(
        self, request: PlacementRequest, tried: Collection[AgentId], now: float
    ) -> EndpointSnapshot:
        """Return a snapshot of the endpoints for a request, at most a moment old."""
        service, regions = request.service, request.regions
        limited = request.can_request_grants
        revision = (self._endpoints.revision, self.find_required_version(service, now))
        key = (service.name, limited, regions)
        known = self._snapshots.get(key)
        if known is not None and not tried and known.is_fresh(now, revision):
            return known
        usable = self._list_usable(request, tried, now)
        eligible = self._list_eligible(service, usable, now, limited=limited)
        work = self._work.get(service.name, DEFAULT_WORK_SECONDS)
        loads = self._measure_loads(eligible, service, now)
        reset = None
        if all(each.limited for each in loads):
            reset = self._find_rate_limit_reset(service, usable, now, limited=limited)
        rest_end = None if eligible else self._find_rest_end(service, regions, tried, now)
        snapshot = EndpointSnapshot(
            now, revision, eligible, loads, service.engine, work, reset, rest_end
        )
        if not tried:
            self._store_snapshot(key, snapshot)
        return snapshot

    def _choose_endpoint(
        self, request: PlacementRequest, snapshot: EndpointSnapshot, now: float
    ) -> tuple[EndpointChoice | None, Verdict]:
        """Choose an endpoint, and decide whether to send the request there now."""
        engine = request.service.engine
        work = snapshot.work
        objective_share = self._objective_shares.get(request.service.name, MAX_OBJECTIVE_SHARE)
        total_elapsed = now - request.since + request.elapsed
        competition = self._assess_competition(request, now)
        objective = competition.objective if competition else request.latency_objective
        limit = objective * objective_share
        choice = choose_endpoint(
            list_with_memory(snapshot.loads, engine, request.prompt_tokens),
            engine,
            request.prompt_tokens,
            work,
            self._random,
            min(limit, request.latency_objective * objective_share - total_elapsed),
            list_with_memory(snapshot.best, engine, request.prompt_tokens),
        )
        needed, idle_seconds = None, inf
        if choice is not None:
            idle_seconds = self._measure_idle_latency(request, work)
            # A limiter orders the requests itself; deferring to others as well would only add a
            # wait.
            needs_grant = snapshot.is_limited(choice.key)
            if not self._is_behind_others(request, competition) and (
                needs_grant or not self._should_defer(request, snapshot, limit, now, competition)
            ):
                needed = compute_objective_seconds(choice.prediction, engine)
        verdict = decide_dispatch(
            needed,
            total_elapsed,
            request.latency_objective,
            request.deadline - now,
            limited=engine is not None and not request.begun,
            elapsed_before=request.elapsed,
            objective_share=objective_share,
            idle_seconds=idle_seconds,
            # What an idle endpoint needs is free, whatever more urgent requests are due.
            longest_predicted=max(limit, idle_seconds) if competition else limit,
        )
        return choice, verdict

    def _count_ahead(self, request: PlacementRequest) -> int:
        """Count the requests that wait here and go before a request."""
        queue = self._waiting[request.service.name]
        place = queue.index(request)
        earlier = sum(each.order <= request.order for each in queue[:place])
        return earlier + sum(each.order < request.order for each in queue[place + 1 :])

    def _should_defer(
        self,
        request: PlacementRequest,
        snapshot: EndpointSnapshot,
        limit: float,
        now: float,
        competition: Competition | None = None,
    ) -> bool:
        """Return whether a request leaves the spare capacity to others, here or elsewhere.

        When an engine returns while many requests wait, all nodes see it idle at the same moment:
        21 requests reach it within 50 ms, of which a third are in time. Each request is
        therefore sent with a probability that admits as many as there is capacity for, until the
        nodes have received one another's load updates.

        :param limit: seconds to a first event that is in time.
        """
        engine = request.service.engine
        if engine is None or request.begun:
            return False
        if now < request.not_before:
            return True
        queue = self._count_queue(request.service.name)
        queue += self._endpoints.peer_loads.get_queue(request.service.name)
        if queue.fresh + queue.overdue <= 1:
            return False
        share = OVERDUE_OBJECTIVE_SHARE if request.is_overdue else 1.0
        capacity = snapshot.count_spare_slots(engine, limit * share)
        fresh = queue.fresh
        if competition is not None and not request.is_overdue:
            fresh -= self._count_less_urgent(request) + competition.less_urgent
            if competition.yields:
                capacity, fresh = (
                    capacity - competition.more_urgent,
                    fresh - competition.more_urgent,
                )
        if self._random.random() < compute_send_probability(
            capacity, fresh, queue.overdue, for_overdue=request.is_overdue
        ):
            return False
        request.not_before = now + self._update_interval()
        return True

    def _count_queue(self, service: ServiceName) -> QueueLength:
        waiting = self._waiting.get(service, ())
        overdue = sum(each.is_overdue for each in waiting)
        return QueueLength(len(waiting) - overdue, overdue)

    def _count_less_urgent(self, request: PlacementRequest) -> int:
        waiting = self._waiting[request.service.name]
        return sum(each.rank > request.rank and not each.is_overdue for each in waiting)

    def list_kinds(self) -> KindLoads:
        """Return the recent kinds of requests of each service, for publication to other nodes."""
        if self._kinds is None:
            return {}
        now = read_clock()
        return {
            service: kinds
            for service, waiting in self._waiting.items()
            if (
                kinds := self._kinds.list_kinds(
                    service, [each.kind for each in waiting if not each.is_overdue], now
                )
            )
        }

    def list_queues(self) -> dict[ServiceName, QueueLength]:
        """Return the waiting requests of each service, for publication to other nodes."""
        return {
            service: self._count_queue(service)
            for service, waiting in self._waiting.items()
            if waiting
        }

    def _measure_idle_latency(self, request: PlacementRequest, work: float) -> float:
        """Return the seconds that count against the latency objective at an idle endpoint."""
        return compute_objective_seconds(self._predict_idle(request, work), request.service.engine)

    def _predict_idle(self, request: PlacementRequest, work: float) -> Prediction:
        idle = EndpointLoad("idle", slots=1, running=0, waiting=0, sent_since=0, distance=0)
        return predict_first_byte(idle, request.service.engine, request.prompt_tokens, work)

    def _measure_loads(
        self, eligible: Sequence[Eligible], service: BackendService, now: float
    ) -> list[EndpointLoad]:
        self._endpoints.peer_loads.drop_expired(now)
        unreachable = count_unreachable(
            self._count_nodes(), self._endpoints.peer_loads.count_reachable()
        )
        loads = [
            self._endpoints.measure_load(each.state, now, all_reachable=not unreachable)
            for each in eligible
        ]
        if not unreachable:
            return loads
        recent = sum(each.recent for each in loads)
        unreported = estimate_unreported(recent, 1 + unreachable, len(loads), service.engine)
        return [replace(each, unreported=unreported) for each in loads]

    def _store_snapshot(self, key: _SnapshotKey, snapshot: EndpointSnapshot) -> None:
        if len(self._snapshots) >= MAX_SNAPSHOTS:
            self._snapshots.clear()
        self._snapshots[key] = snapshot

    def _list_eligible(
        self, service: BackendService, usable: Sequence[EndpointState], now: float, *, limited: bool
    ) -> list[Eligible]:
        states = [each for each in usable if each.denial.retry_at <= now]
        if not limited:
            states = [each for each in states if self._endpoints.find_grant_rate(each) is None]
        required = self.find_required_version(service, now)
        return list_eligible(service, states, required, now, self._random)

    def _find_rate_limit_reset(
        self, service: BackendService, usable: Sequence[EndpointState], now: float, *, limited: bool
    ) -> RateLimitReset | None:
        """Return when endpoints that are excluded only by rate limits take a request again.

        :param usable: endpoints that only weights or a rate limit can exclude.
        :param limited: whether a request may use those that have not denied one.
        """
        if not self._endpoints.has_grants:
            return None
        eligible = list_eligible(
            service, usable, self.find_required_version(service, now), now, self._random
        )
        rates = [self._endpoints.find_grant_rate(each.state) for each in eligible]
        if not eligible or any(each is None for each in rates):
            return None
        pauses = [each.state.denial for each in eligible if each.state.denial.retry_at > now]
        can_request = not pauses or (limited and len(pauses) < len(eligible))
        return RateLimitReset(
            at=now if can_request else min(each.turn_at for each in pauses),
            rate=sum(max(MIN_ENDPOINT_RATE, each) for each in rates if each is not None),
            least_urgent=max(eligible, key=lambda each: each.state.denial.urgency),
            ends_at=min(self._endpoints.find_grant_end(each.state) for each in eligible),
        )

    def _list_usable(
        self, request: PlacementRequest, tried: Collection[AgentId], now: float
    ) -> list[EndpointState]:
        """Return the endpoints that only weights or a rate limit can exclude."""
        return [
            each
            for each in self._endpoints.of_service(request.service.name)
            if each.is_allowed(request.regions)
            and each.rest_until <= now
            and each.endpoint.agent_id not in tried
            and each.full_until <= now
        ]

    def measure_rest(self, service: BackendService, regions: AllowedRegions = None) -> float | None:
        """Return the seconds until an endpoint takes requests again, ``None`` if one does now."""
        now = read_clock()
        rest_end = self._find_rest_end(service, regions, (), now)
        return None if rest_end is None else rest_end.at - now

    def _find_rest_end(
        self,
        service: BackendService,
        regions: AllowedRegions,
        tried: Collection[AgentId],
        now: float,
    ) -> RestEnd | None:
        if not len(self._endpoints.rests):
            return None
        listed = self._endpoints.of_service(service.name)
        states = [each for each in listed if each.is_allowed(regions)]
        required = self.find_required_version(service, now)
        ends: dict[bool, list[float]] = {True: [], False: []}
        for each in list_eligible(service, states, required, now, self._random):
            stages = [each.state, *(stage.state for stage in each.chain)]
            untried = not any(stage.endpoint.agent_id in tried for stage in stages)
            ends[untried].append(max(stage.rest_until for stage in stages))
        first = min(ends[True] or ends[False], default=now)
        return RestEnd(first, untried=bool(ends[True])) if first > now else None


async def _wait(changed: asyncio.Event, request: PlacementRequest) -> None:
    """Wait for a change, or until a full endpoint may be used again.

    A resumed stream checks again at once. Others pause between two checks, since each change wakes
    all waiting requests.
    """
    if not request.begun:
        await asyncio.sleep(_MIN_WAIT_SECONDS)
    try:
        async with asyncio.timeout(
            max(_MIN_WAIT_SECONDS, request.latency_objective * QUEUE_SHARE / 4)
        ):
            await changed.wait()
    except TimeoutError:
        pass
