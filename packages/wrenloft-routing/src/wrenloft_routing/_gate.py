"""Waiting for room at an endpoint: most urgent first, briefly, refused early."""

import asyncio
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, replace
from math import inf
from random import Random

from wrenloft_core import AgentId, ServiceName, read_clock
from wrenloft_policy import (
    AIM_SHARE_MOST,
    HOLD_SHARE,
    LATE_SHARE,
    LEAST_RATE,
    Choice,
    EndpointLoad,
    Prediction,
    Verdict,
    WantedVersion,
    adjust_aim_share,
    choose_endpoint,
    count_seconds,
    count_unheard,
    decide_limited_turn,
    decide_turn,
    estimate_unseen,
    must_insist,
    predict_answer,
    share_room,
)
from wrenloft_routing._chains import Able, ChainStage, list_able
from wrenloft_routing._endpoint_snapshot import Opening, Snapshot
from wrenloft_routing._endpoints import Endpoints, EndpointState
from wrenloft_routing._loads import QueueLength
from wrenloft_routing._table import BackendService

WORK_SECONDS = 0.03
"""Seconds a plain service works on a request, until answers have shown better."""

_WORK_WEIGHT = 0.05
"""Weight of one answer in the running mean: the last 20 answers count most."""

MOST_DENIALS = 5
"""Grants denied in a row after which a request stops asking. Each takes a few milliseconds; where
all endpoints are limited and used up, asking every one of them would be a wait by itself."""

FRESH_REFUSED_SECONDS = 1.0
"""How long after a fresh request found no room at limited endpoints late ones do not wait there."""

_LEAST_WAIT = 0.005
"""Shortest pause between two looks at the endpoints, in seconds."""


@dataclass(slots=True, eq=False)
class PlacementRequest:
    """A request that wants an endpoint.

    :param rank: 0 for the most urgent.
    :param since: when it began to wait.
    :param spent: seconds from the caller's first attempt until then.
    :param aim: seconds from ``since`` within which it has its full worth.
    :param deadline: when nobody waits any more.
    :param begun: whether the caller has part of the answer; it then goes before all others and
        is refused only if nobody can go on.
    :param not_before: until when it leaves the room that there is to others that wait.
    :param denials: grants that limited endpoints denied it since it last waited.
    """

    service: BackendService
    rank: int
    prompt_tokens: float
    since: float
    spent: float
    aim: float
    deadline: float
    begun: bool = False
    not_before: float = 0.0
    denials: int = 0

    @property
    def asks_limited(self) -> bool:
        """Whether it may still ask for grants, and not only go where none is needed."""
        return self.denials < MOST_DENIALS

    @property
    def order(self) -> tuple[int, bool]:
        """What goes first: the most urgent, and of these those that can still be in time."""
        if self.begun:
            return -1, False
        return self.rank, self.is_late

    @property
    def urgency(self) -> int:
        """The same as one number; the lowest goes first."""
        rank, late = self.order
        return 2 * rank + late

    @property
    def is_late(self) -> bool:
        """Whether the answer comes late in any case."""
        return not self.begun and self.spent > self.aim * HOLD_SHARE


@dataclass(frozen=True, slots=True)
class Placed:
    """The endpoint that was chosen, and what the choice was made from.

    :param version: the only version on which the request may begin there, ``None`` for any. The
        endpoint checks it: what this node knows of its version may be old.
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
    """What a request can expect of endpoints whose rate limits are used up.

    :param wait: seconds until it would have its turn.
    :param rate: requests a second that these endpoints take together.
    :param waiting: requests that wait for them anywhere.
    """

    wait: float
    rate: float
    waiting: int


@dataclass(frozen=True, slots=True)
class Refused:
    """No endpoint can answer in time.

    :param turn: set if only rate limits stand against it.
    """

    reason: str
    candidates: int
    turn: LimitedTurn | None = None


class Gate:
    """Places requests at endpoints.

    :param version_seconds: from naming a version until requests may begin on it only.
    :param count_nodes: returns how many live entry nodes send to the same endpoints.
    :param update_interval: returns the seconds until other nodes have heard of what was sent.
    """

    def __init__(
        self,
        endpoints: Endpoints,
        random: Random,
        version_seconds: float,
        count_nodes: Callable[[], int] = lambda: 1,
        update_interval: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self._endpoints = endpoints
        self._random = random
        self._version_seconds = version_seconds
        self._waiting: dict[ServiceName, list[PlacementRequest]] = {}
        self._work: dict[ServiceName, float] = {}
        self._aim_shares: dict[ServiceName, float] = {}
        self._wanted: dict[str, list[WantedVersion]] = {}
        self._count_nodes = count_nodes
        self._update_interval = update_interval
        self._fresh_refused_at: dict[ServiceName, float] = {}
        self._snapshots: dict[tuple[ServiceName, bool], Snapshot] = {}

    def record_work(self, service: ServiceName, seconds: float) -> None:
        """Take the time that a plain service needed for an answer."""
        mean = self._work.get(service, WORK_SECONDS)
        self._work[service] = mean + _WORK_WEIGHT * (seconds - mean)

    def record_first_event(self, service: ServiceName, *, in_time: bool) -> None:
        """Take whether a request that could be in time had its first event in time."""
        share = self._aim_shares.get(service, AIM_SHARE_MOST)
        self._aim_shares[service] = adjust_aim_share(share, in_time=in_time)

    def name_version(self, model: str, wanted: WantedVersion) -> bool:
        """Take a version that operators named; return whether it is newer than all known.

        Each has its own deadline: a third version named before the second is in service does
        not put off the second's.
        """
        known = self._wanted.setdefault(model, [])
        if known and known[-1].number >= wanted.number:
            return False
        known.append(wanted)
        return True

    def required_version(self, service: BackendService, now: float) -> int:
        """Return the oldest version on which requests may begin now, 0 for any."""
        due = [
            each.number
            for each in self._wanted.get(service.model or "", ())
            if must_insist(each, self._version_seconds, now)
        ]
        return max(due, default=0)

    def measure_begin_limit(self, state: EndpointState, service: BackendService) -> float:
        """Return the seconds after which a request may no longer begin at an endpoint.

        Infinite if no version newer than the endpoint's is named.
        """
        if service.model is None:
            return float("inf")
        now = read_clock()
        version = state.weights_of(service.model, now).version
        wanted = self._wanted.get(service.model, ())
        dues = [each.seen_at + self._version_seconds for each in wanted if each.number > version]
        return min(dues, default=float("inf")) - now

    async def place(
        self, request: PlacementRequest, tried: Collection[AgentId]
    ) -> Placed | Refused:
        """Return an endpoint with room, waiting a moment for one if it must."""
        line = self._waiting.setdefault(request.service.name, [])
        line.append(request)
        try:
            while True:
                changed = self._endpoints.changed
                outcome = self._decide(request, tried)
                if outcome is not None:
                    return outcome
                await _wait(changed, request)
        finally:
            line.remove(request)

    def _decide(
        self, request: PlacementRequest, tried: Collection[AgentId]
    ) -> Placed | Refused | None:
        now = read_clock()
        snapshot = self._look(request.service, tried, now, limited=request.asks_limited)
        choice, verdict = self._weigh(request, snapshot, now)
        if verdict is Verdict.SEND and choice is not None:
            chosen = snapshot.find(choice.key)
            snapshot.count_sent(choice.key, request.prompt_tokens)
            return self._place_at(request, chosen, choice.prediction, len(snapshot.able), now)
        opening = snapshot.opening if request.asks_limited else None
        if choice is None and opening is not None and request.urgency < opening.urgency:
            idle = self._predict_idle(request, snapshot.work)
            return self._place_at(request, opening.least_urgent, idle, 1, now)
        turn = self._find_turn(request, snapshot, now)
        if turn is not None:
            return self._decide_turn(request, turn, snapshot.work, now)
        if verdict is Verdict.REFUSE:
            known = len(self._endpoints.of_service(request.service.name))
            if choice is None:
                return Refused(f"none of {known} endpoints can take it", 0)
            needed = count_seconds(choice.prediction, request.service.engine)
            return Refused(f"best of {len(snapshot.able)} needs {needed:.3f} s", len(snapshot.able))
        return None

    def _place_at(
        self,
        request: PlacementRequest,
        chosen: Able,
        prediction: Prediction,
        candidates: int,
        now: float,
    ) -> Placed:
        # Engines of a chain are told the version as well: one that has just gone on to the next
        # version would otherwise run its layers of that.
        insisted = self.required_version(request.service, now) or chosen.chain
        version = chosen.version if insisted else None
        return Placed(chosen.state, prediction, candidates, version, chosen.chain)

    def _find_turn(
        self, request: PlacementRequest, snapshot: Snapshot, now: float
    ) -> LimitedTurn | None:
        """Return what a request can expect if nothing but rate limits stands against it."""
        opening = snapshot.opening
        if opening is None:
            return None
        service = request.service.name
        ahead = self._count_ahead(request)
        elsewhere = self._endpoints.others.queue_of(service)
        wait = max(0.0, opening.at - now) + (ahead + elsewhere.fresh) / opening.rate
        waiting = len(self._waiting[service]) + elsewhere.fresh + elsewhere.late
        return LimitedTurn(wait, opening.rate, waiting)

    def _decide_turn(
        self, request: PlacementRequest, turn: LimitedTurn, work: float, now: float
    ) -> Refused | None:
        least = self._measure_least(request, work)
        held, left = now - request.since, request.deadline - now
        verdict = decide_limited_turn(turn.wait, least, held, request.spent, request.aim, left)
        if request.is_late and self._has_refused_fresh(request.service.name, now):
            verdict = Verdict.REFUSE  # fresh ones take all there is
        if verdict is Verdict.HOLD:
            request.denials = 0
            return None
        if not request.is_late:
            self._fresh_refused_at[request.service.name] = now
        return Refused(f"rate limits leave room in {turn.wait:.2f} s", 0, turn)

    def _has_refused_fresh(self, service: ServiceName, now: float) -> bool:
        at = self._fresh_refused_at.get(service, -inf)
        return now - at < FRESH_REFUSED_SECONDS

    def _look(
        self, service: BackendService, tried: Collection[AgentId], now: float, *, limited: bool
    ) -> Snapshot:
        """Return what is known of a service's endpoints now, or was a moment ago.

        :param limited: whether those with a rate limit count as well.
        """
        revision = (self._endpoints.revision, self.required_version(service, now))
        key = (service.name, limited)
        known = self._snapshots.get(key)
        if known is not None and not tried and known.is_fresh(now, revision):
            return known
        able = self._list_able(service, tried, now, limited=limited)
        work = self._work.get(service.name, WORK_SECONDS)
        loads = self._measure(able, service, now)
        opening = None
        if all(each.limited for each in loads):
            opening = self._find_opening(service, tried, now, limited=limited)
        snapshot = Snapshot(now, revision, able, loads, service.engine, work, opening)
        if not tried:
            self._snapshots[key] = snapshot
        return snapshot

    def _weigh(
        self, request: PlacementRequest, snapshot: Snapshot, now: float
    ) -> tuple[Choice | None, Verdict]:
        """Choose an endpoint, and decide whether the request is sent there now."""
        engine = request.service.engine
        work = snapshot.work
        aim_share = self._aim_shares.get(request.service.name, AIM_SHARE_MOST)
        elapsed = now - request.since + request.spent
        choice = choose_endpoint(
            snapshot.loads,
            engine,
            request.prompt_tokens,
            work,
            self._random,
            request.aim * aim_share - elapsed,
            snapshot.best,
        )
        needed, least = None, inf
        if choice is not None:
            least = self._measure_least(request, work)
            urgent = any(each.order < request.order for each in self._waiting[request.service.name])
            limit = request.aim * aim_share
            # A limiter says itself who goes; yielding to others as well would be a wait in vain.
            granted = snapshot.is_limited(choice.key)
            if not urgent and (granted or not self._must_yield(request, snapshot, limit, now)):
                needed = count_seconds(choice.prediction, engine)
        verdict = decide_turn(
            needed,
            elapsed,
            request.aim,
            request.deadline - now,
            limited=engine is not None and not request.begun,
            spent=request.spent,
            aim_share=aim_share,
            least=least,
        )
        return choice, verdict

    def _count_ahead(self, request: PlacementRequest) -> int:
        """Count the requests that wait here and go before one."""
        line = self._waiting[request.service.name]
        place = line.index(request)
        earlier = sum(each.order <= request.order for each in line[:place])
        return earlier + sum(each.order < request.order for each in line[place + 1 :])

    def _must_yield(
        self, request: PlacementRequest, snapshot: Snapshot, limit: float, now: float
    ) -> bool:
        """Tell whether a request leaves what room there is to others that wait, here or elsewhere.

        Answers an engine that is back while many wait: all nodes saw it idle at the same moment,
        and 21 requests reached it within a twentieth of a second, of which a third were in time.
        Each goes with the chance that lets in as many as there is room for, until the nodes have
        heard of one another's sends.

        :param limit: seconds to a first event that are in time.
        """
        engine = request.service.engine
        if engine is None or request.begun:
            return False
        if now < request.not_before:
            return True
        queue = self._count_queue(request.service.name)
        queue += self._endpoints.others.queue_of(request.service.name)
        if queue.fresh + queue.late <= 1:
            return False
        share = LATE_SHARE if request.is_late else 1.0
        room = snapshot.count_room(engine, limit * share)
        if self._random.random() < share_room(
            room, queue.fresh, queue.late, late_ask=request.is_late
        ):
            return False
        request.not_before = now + self._update_interval()
        return True

    def _count_queue(self, service: ServiceName) -> QueueLength:
        waiting = self._waiting.get(service, ())
        late = sum(each.is_late for each in waiting)
        return QueueLength(len(waiting) - late, late)

    def list_queues(self) -> dict[ServiceName, QueueLength]:
        """Return what waits here for each service; other nodes are told of it."""
        return {
            service: self._count_queue(service)
            for service, waiting in self._waiting.items()
            if waiting
        }

    def _measure_least(self, request: PlacementRequest, work: float) -> float:
        """Return the seconds that count against the aim at an idle endpoint."""
        return count_seconds(self._predict_idle(request, work), request.service.engine)

    def _predict_idle(self, request: PlacementRequest, work: float) -> Prediction:
        idle = EndpointLoad("idle", slots=1, running=0, waiting=0, sent_since=0, distance=0)
        return predict_answer(idle, request.service.engine, request.prompt_tokens, work)

    def _measure(
        self, able: Sequence[Able], service: BackendService, now: float
    ) -> list[EndpointLoad]:
        self._endpoints.others.drop_silent(now)
        unheard = count_unheard(self._count_nodes(), self._endpoints.others.count_heard())
        loads = [self._endpoints.measure(each.state, now, all_heard=not unheard) for each in able]
        if not unheard:
            return loads
        recent = sum(each.recent for each in loads)
        unseen = estimate_unseen(recent, 1 + unheard, len(loads), service.engine)
        return [replace(each, unseen=unseen) for each in loads]

    def _list_able(
        self, service: BackendService, tried: Collection[AgentId], now: float, *, limited: bool
    ) -> list[Able]:
        usable = self._list_usable(service, tried, now)
        states = [each for each in usable if each.denial.ask_after <= now]
        if not limited:
            states = [each for each in states if self._endpoints.find_limit(each) is None]
        required = self.required_version(service, now)
        return list_able(service, states, required, now, self._random)

    def _find_opening(
        self, service: BackendService, tried: Collection[AgentId], now: float, *, limited: bool
    ) -> Opening | None:
        """Return when endpoints that only their rate limits keep out take a request again.

        :param limited: whether a request may ask those that have not denied one.
        """
        if not len(self._endpoints.limits):
            return None
        states = self._list_usable(service, tried, now)
        able = list_able(service, states, self.required_version(service, now), now, self._random)
        rates = [self._endpoints.find_limit(each.state) for each in able]
        if not able or any(each is None for each in rates):
            return None
        pauses = [each.state.denial for each in able if each.state.denial.ask_after > now]
        may_ask = not pauses or (limited and len(pauses) < len(able))
        return Opening(
            at=now if may_ask else min(each.turn_at for each in pauses),
            rate=sum(max(LEAST_RATE, each) for each in rates if each is not None),
            least_urgent=max(able, key=lambda each: each.state.denial.urgency),
        )

    def _list_usable(
        self, service: BackendService, tried: Collection[AgentId], now: float
    ) -> list[EndpointState]:
        """Return the endpoints that nothing but weights or a rate limit keeps out."""
        return [
            each
            for each in self._endpoints.of_service(service.name)
            if not each.leaving and each.endpoint.agent_id not in tried and each.full_until <= now
        ]


async def _wait(changed: asyncio.Event, request: PlacementRequest) -> None:
    """Wait for a change, or for a moment in which marks of full endpoints may have passed.

    A stream that goes on elsewhere looks again at once; others leave a moment between two looks,
    since each change wakes all that wait.
    """
    if not request.begun:
        await asyncio.sleep(_LEAST_WAIT)
    try:
        async with asyncio.timeout(max(_LEAST_WAIT, request.aim * HOLD_SHARE / 4)):
            await changed.wait()
    except TimeoutError:
        pass
