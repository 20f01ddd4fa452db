"""Handling of one caller's request, from its arrival to its final answer."""

import logging
from collections.abc import Awaitable, Callable, Sequence, Set
from contextlib import AsyncExitStack
from functools import partial
from itertools import dropwhile
from math import inf
from random import Random

from wrenloft_core import (
    AgentId,
    Done,
    NotRun,
    Outcome,
    Unknown,
    note,
    read_clock,
)
from wrenloft_policy import (
    compute_usual_seconds,
    estimate_elapsed,
    rank_urgency,
)
from wrenloft_routing._answers import relay_answer
from wrenloft_routing._attempts import (
    AnswerTooLarge,
    AttemptProgress,
    BrokenAnswer,
    OpenAttempts,
    Phase,
    Result,
    WholeAnswer,
    read_whole,
    wait_alone,
)
from wrenloft_routing._budget import SharedRetryBudget
from wrenloft_routing._content import identify_content
from wrenloft_routing._crash_guard import AnyQuarantine, CrashGuard
from wrenloft_routing._durations import RequestDurations
from wrenloft_routing._endings import give_up, send_failure, send_refusal
from wrenloft_routing._endpoints import Endpoints, EndpointState
from wrenloft_routing._events import Event
from wrenloft_routing._exchange import (
    AnswerSink,
    Attempt,
    CallerRequest,
    Lost,
    NotSent,
    OpenAttempt,
    Rejected,
    Reply,
    ReplyBrokenError,
)
from wrenloft_routing._failure_detector import FailureDetector, RunningRequest
from wrenloft_routing._gate import Gate, Placed, Refused
from wrenloft_routing._loads import NO_LOAD, InProgress
from wrenloft_routing._proof import FreshnessProof
from wrenloft_routing._request_log import (
    ATTEMPTS,
    FIRST_EVENT_SECONDS,
    log_attempt,
    log_no_second_attempt,
    log_silence,
    log_silence_end,
    log_superseded,
    record_outcome,
)
from wrenloft_routing._request_progress import (
    FailureAnswer,
    RequestProgress,
    build_placement_request,
)
from wrenloft_routing._segment_ledger import SegmentQuarantine
from wrenloft_routing._streams import (
    STALL_OBJECTIVES,
    EventReader,
    StreamEnd,
    forward_events,
)
from wrenloft_routing._table import (
    AllowedRegions,
    RoutingTable,
    RuleKind,
    pick_target,
)

_LOG = logging.getLogger(__name__)

_MAX_CONNECT_SECONDS = 0.9
"""Time spent on connections that failed after which a request is given up. A connection that is
refused takes milliseconds, one that times out 0.25 s, so that four of these take up to a second."""

_SILENCE_OBJECTIVES = 4.0
"""Latency objectives after which an idempotent request without an answer is tried elsewhere too, if
time is left: it is overdue, but can still be answered before its caller times out."""

_SILENCE_SHARE = 0.4
"""Share of the remaining time that a silent endpoint may use before another one is tried too."""

TIMEOUT_DECAY = 0.9995
"""Factor by which the longest caller timeout of a rule decays with each request, so that a shorter
timeout in a new configuration is learned within some hundred requests."""

BEGIN_MARGIN_SECONDS = 0.3
"""Margin before a version's deadline at which a request that has not begun is cancelled. Closing
the connection takes up to 0.2 s to reach an endpoint that is receiving chunks of weights."""

_MIN_TIME_LEFT_SECONDS = 0.03
"""Remaining seconds below which a request is no longer sent: the round trip takes 8 ms, and a plain
service works on a request for 20 ms."""

_NO_RETRY_LEFT = "no second try left in the budget"

_DEADLINE_STEPS = {
    Phase.HEAD: "send",
    Phase.FIRST_EVENT: "stream",
    Phase.GAP: "stream",
    Phase.BODY: "read",
    Phase.FAILURE_BODY: "read",
}
"""Step of a request that its deadline ended, by what its first open attempt waited for."""


RequestGrants = Callable[[Sequence[EndpointState], int], Awaitable[bool]]


async def _grant_all(states: Sequence[EndpointState], urgency: int) -> bool:
    return True


class Forwarder:
    """Forward callers' requests, each to exactly one final answer.

    :param open_attempt: sends one attempt and returns the head of the answer.
    :param request_grants: returns whether the rate limits of endpoints admit one request of an
        urgency; the lowest urgency goes first.
    :ivar ends_by: when all answers have to be complete, as this node stops; infinite before.
    """

    def __init__(
        self,
        endpoints: Endpoints,
        gate: Gate,
        budget: SharedRetryBudget,
        proof: FreshnessProof,
        open_attempt: OpenAttempt,
        random: Random,
        detector: FailureDetector,
        guard: CrashGuard,
        request_grants: RequestGrants = _grant_all,
    ) -> None:
        self.table: RoutingTable | None = None
        self.ends_by = inf
        self._durations = RequestDurations()
        self._endpoints = endpoints
        self._gate = gate
        self._budget = budget
        self._proof = proof
        self._open = open_attempt
        self._random = random
        self._detector = detector
        self._guard = guard
        self._request_grants = request_grants
        self._longest_timeouts: dict[str, float] = {}
        self._opening: dict[RunningRequest, AttemptProgress] = {}
        guard.segments.on_begin = self._cancel_refused

    async def forward(self, request: CallerRequest, sink: AnswerSink) -> Outcome:
        """Answer a request with exactly one final answer, on every path."""
        progress = self._admit(request)
        if isinstance(progress, NotRun):
            await send_refusal(progress, sink)
            record_outcome(request, "none", progress, None)
            return progress
        outcome = await self._run(progress, sink)
        if isinstance(outcome, NotRun):
            await send_refusal(outcome, sink)
        elif isinstance(outcome, Unknown):
            await send_failure(progress, outcome, sink)
        record_outcome(request, progress.rule.kind.value, outcome, progress)
        return outcome

    def _admit(self, request: CallerRequest) -> RequestProgress | NotRun:
        """Check that the configuration allows the request."""
        table = self.table
        if table is None:
            return NotRun("admit", "no configuration yet", retry_after=0.5)
        rule = table.find_rule(request.host, request.path)
        if rule is None:
            return NotRun("admit", "no rule matches", status=404)
        organisation, rank = None, rule.rank
        if table.keyed and not rule.public:
            if not self._proof.allows_keys():
                # The key may have been revoked without this node knowing it; sending the request
                # would violate the bound on revocation.
                reason = f"configuration proved {self._proof.age:.2f} s ago"
                return NotRun("admit", reason, retry_after=0.3)
            caller = table.callers.get(request.key or "")
            if caller is None:
                return NotRun("admit", "unknown key", status=401)
            organisation = caller.organisation
            rank = rule.rank if caller.rank is None else caller.rank
        service = table.services.get(pick_target(rule.targets, self._random))
        if service is None:
            return NotRun("admit", "service not configured", retry_after=0.5)
        caller_timeout = rule.timeout if request.caller_timeout is None else request.caller_timeout
        deadline = request.arrived + min(caller_timeout, rule.timeout)
        content = identify_content(organisation, request.target, request.body_digest)
        regions = table.find_regions(rule, request.key)
        progress = RequestProgress(
            request, rule, service, organisation, rank, deadline, content, regions
        )
        progress.elapsed = self._estimate_elapsed(rule.name, caller_timeout)
        return progress if self._can_end(progress) else _refuse_late()

    def _can_end(self, progress: RequestProgress) -> bool:
        """Return whether a request that is sent now can end before this node stops.

        One that can't would be cut off, and may have run. Other nodes can serve it from the start.
        """
        if self.ends_by == inf:
            return True
        estimate = self._durations.estimate(progress.rule.name)
        end = progress.deadline
        if estimate is not None:
            end = min(end, read_clock() + estimate)
        return end <= self.ends_by

    def _estimate_elapsed(self, rule: str, caller_timeout: float) -> float:
        """Estimate the seconds since the caller's first attempt from its remaining timeout.

        :param caller_timeout: seconds.
        """
        longest = max(caller_timeout, self._longest_timeouts.get(rule, 0.0) * TIMEOUT_DECAY)
        self._longest_timeouts[rule] = longest
        return estimate_elapsed(caller_timeout, longest)

    async def _run(self, progress: RequestProgress, sink: AnswerSink) -> Outcome:
        """Send attempts until one gives the answer or no further one is allowed."""
        self._budget.deposit(progress.service.name, read_clock())
        outcome: Outcome | None = None
        try:
            async with OpenAttempts() as attempts:
                while outcome is None:
                    outcome = await self._start_next(progress, attempts)
                    if outcome is None:
                        outcome = await self._follow(progress, attempts, sink)
        finally:
            self._return_retries(progress)
        return await self._conclude(progress, outcome, sink)

    async def _start_next(
        self, progress: RequestProgress, attempts: OpenAttempts
    ) -> Outcome | None:
        """Send an attempt while no other is open, or return why none is sent."""
        while True:
            if (quarantine := await self._find_quarantine(progress)) is not None:
                return self._refuse_quarantined(progress, quarantine)
            placed = await self._place(progress)
            if isinstance(placed, Refused):
                return give_up(progress, "place", placed, self._random)
            if not progress.may_have_run and not self._can_end(progress):
                return _refuse_late()
            if progress.is_probe or self._guard.find_refusal(progress.workload) is None:
                self._start_attempt(progress, placed, attempts)
                return None
            # Otherwise the update arrived while the request waited.

    def _charge_retry(self, progress: RequestProgress) -> bool:
        """Charge the retry budget for an attempt, unless one is already charged and not sent."""
        if not progress.unsent_retries:
            if not self._budget.withdraw(progress.service.name, read_clock()):
                return False
            progress.unsent_retries = 1
        return True

    def _return_retries(self, progress: RequestProgress) -> None:
        """Return the retries to the budget that were charged and not sent."""
        for _ in range(progress.unsent_retries):
            self._budget.refund(progress.service.name)
        progress.unsent_retries = 0

    async def _conclude(
        self, progress: RequestProgress, outcome: Outcome, sink: AnswerSink
    ) -> Outcome:
        """Send an endpoint's answer that was kept while others might have given a better one."""
        failure = progress.failure
        if isinstance(outcome, Done) or failure is None or progress.stream.begun:
            return outcome
        ATTEMPTS.labels("answered").inc()
        await sink.send_whole(failure.status, failure.headers, failure.body)
        return Done(failure.peer)

    async def _find_quarantine(self, progress: RequestProgress) -> AnyQuarantine | None:
        """Return the quarantine that forbids sending a request, ``None`` if it may be sent.

        A request that crashes each engine that begins it is repeated under new ids, at any node.
        Unless the attempts of one content are limited together, it takes down the whole fleet and
        every stream that runs there. Refusing it after the third crash preserves the other engines.
        """
        quarantine = self._guard.find_refusal(progress.workload)
        if quarantine is None:
            return None
        if progress.attempts:
            return quarantine
        progress.is_probe = progress.is_probe or await self._guard.claim_probe(quarantine)
        return None if progress.is_probe else quarantine

    def _refuse_quarantined(self, progress: RequestProgress, quarantine: AnyQuarantine) -> Outcome:
        """End a quarantined request, with the time of the next probe."""
        self._guard.count_refusal(quarantine)
        retry_after = self._guard.measure_retry_after(quarantine)
        note(
            _LOG,
            "quarantined request refused",
            request=progress.request.request_id,
            content=progress.content,
            segment=quarantine.segment if isinstance(quarantine, SegmentQuarantine) else None,
            crashes=quarantine.count,
            age_ms=round(quarantine.age * 1000),
            source=quarantine.source.value,
            attempts=progress.attempts,
            retry_after=round(retry_after, 2),
        )
        reason = quarantine.reason
        if progress.may_have_run or progress.stream.begun:
            return Unknown("hold", reason, progress.peer)
        return NotRun("hold", reason, retry_after=retry_after)

    async def _place(
        self, progress: RequestProgress, excluded: Set[AgentId] = frozenset()
    ) -> Placed | Refused:
        """Choose an endpoint, waiting briefly for one if necessary.

        :param excluded: endpoints not to choose beside those that were tried.
        """
        if progress.left < _MIN_TIME_LEFT_SECONDS:
            return Refused("no time left", 0)
        # An endpoint that failed used up the objective. The next one gets a new objective, since a
        # late answer is better than a refusal while endpoints have spare capacity.
        untried = progress.attempts == 0 and progress.not_sent == 0
        since = progress.request.arrived if untried else read_clock()
        placement = build_placement_request(progress, since)
        while True:
            placement.regions = self._find_regions(progress)
            placed = await self._gate.place(placement, progress.tried | excluded)
            if isinstance(placed, Refused):
                return placed
            if placement.regions != self._find_regions(progress):
                continue  # a configuration that arrived while the request waited
            if not await self._request_grants(placed.states, placement.urgency):
                placement.denials += 1
            elif all(each.is_open(read_clock()) for each in placed.states):
                return placed

    def _find_regions(self, progress: RequestProgress) -> AllowedRegions:
        """Return the regions in which a request may be served.

        Both the configuration that admitted it and the one in force bind.
        """
        table, request = self.table, progress.request
        rule = table.find_rule(request.host, request.path) if table is not None else None
        if rule is None or table is None:
            return progress.regions
        current = table.find_regions(rule, request.key)
        if progress.regions is None or current is None:
            return progress.regions if current is None else current
        return progress.regions & current

    def _start_attempt(
        self, progress: RequestProgress, placed: Placed, attempts: OpenAttempts
    ) -> None:
        """Send the request once; attempts that are open stay so."""
        state = placed.state
        now = read_clock()
        state.record_sent(now)
        state.pop_idle_connection()
        progress.peer = state.endpoint.agent_id
        progress.prediction = placed.prediction
        rate_limit = self._endpoints.find_rate_limit(state)
        revision = self.table.revision if self.table else 0
        coldness = self._endpoints.find_coldness(state)
        beside = [each.peer for each in attempts.attempts]
        log_attempt(progress, placed, revision, self._proof.age, rate_limit, coldness, beside)
        progress.attempts += 1
        charged = progress.unsent_retries > 0
        if charged:
            progress.unsent_retries -= 1
        cleanup = AsyncExitStack()
        running = cleanup.enter_context(
            self._detector.track_request(placed.states, progress.workload)
        )
        begin_limit = self._gate.measure_begin_limit(state, progress.service)
        attempt = AttemptProgress(
            placed,
            running,
            begin_by=now + begin_limit - BEGIN_MARGIN_SECONDS,
            limit_known=rate_limit is not None,
            charged=charged,
            patience=self._measure_patience(progress),
            heard_at=now,
            cleanup=cleanup,
            load=InProgress(unread=1, unread_tokens=round(progress.request.prompt_tokens)),
        )
        state.add_load(attempt.load)
        cleanup.callback(self._release_load, attempt)
        for stage in placed.chain[1:]:
            stage.state.downstream_requests += 1
        cleanup.callback(_release_chain, placed)
        attempt.wait = partial(self._open, self._build_attempt(progress, attempt))
        if not progress.is_probe:
            self._opening[running] = attempt
            cleanup.callback(self._opening.pop, running, None)
        attempts.attempts.append(attempt)

    async def _follow(
        self, progress: RequestProgress, attempts: OpenAttempts, sink: AnswerSink
    ) -> Outcome | None:
        """Wait for the open attempts; ``None`` if all ended and another one may follow."""
        while attempts:
            if progress.left <= 0:
                return self._end_at_deadline(progress, attempts)
            outcome = await self._review_times(progress, attempts)
            if outcome is None and attempts:
                outcome = await self._wait_for_result(progress, attempts, sink)
            if outcome is not None:
                return outcome
        return None

    async def _wait_for_result(
        self, progress: RequestProgress, attempts: OpenAttempts, sink: AnswerSink
    ) -> Outcome | None:
        """Wait until the next check at the latest, and handle what arrives."""
        seconds = max(0.0, self._find_next_check(progress, attempts) - read_clock())
        if attempts.is_single:
            attempt = attempts.attempts[0]
            result = await wait_alone(attempt, seconds)
            if result is None:
                return None
            return await self._handle_result(progress, attempts, attempt, result, sink)
        await attempts.wait(seconds)
        while (finished := attempts.find_finished()) is not None:
            result = finished.take_result()
            outcome = await self._handle_result(progress, attempts, finished, result, sink)
            if outcome is not None:
                return outcome
        placement = attempts.take_placement()
        if placement is not None:
            return self._handle_placement(progress, attempts, placement)
        return None

    def _find_next_check(self, progress: RequestProgress, attempts: OpenAttempts) -> float:
        times = [progress.deadline]
        for each in attempts.attempts:
            times.append(each.next_review_at)
            if self._must_begin(progress, each):
                times.append(each.begin_by)
        return min(times)

    def _must_begin(self, progress: RequestProgress, attempt: AttemptProgress) -> bool:
        """Return whether an attempt may still begin on a version that is about to be due."""
        return attempt.phase in (Phase.HEAD, Phase.FIRST_EVENT) and not progress.stream.begun

    async def _review_times(
        self, progress: RequestProgress, attempts: OpenAttempts
    ) -> Outcome | None:
        """End attempts that have not begun in time, and hedge silent ones."""
        now = read_clock()
        for attempt in list(attempts.attempts):
            if self._must_begin(progress, attempt) and now >= attempt.begin_by:
                # No fault of the endpoint: counted as a failure, it would exclude every engine
                # after each swap.
                late = Lost("not begun before the version is due", at_fault=False)
                outcome = await self._end_failed(progress, attempts, attempt, late)
                if outcome is not None:
                    return outcome
            elif now >= attempt.next_review_at:
                self._review_silence(progress, attempts, attempt, now)
        return None

    def _review_silence(
        self,
        progress: RequestProgress,
        attempts: OpenAttempts,
        attempt: AttemptProgress,
        now: float,
    ) -> None:
        """Hedge a silent attempt, which may still go on."""
        if attempt.silent_since is None:
            attempt.silent_since = attempt.heard_at
            log_silence(progress, attempt)
            self._record_silence(attempt, now)
        attempt.reviewed_at = now
        if attempts.all_silent and self._can_retry(progress):
            attempts.begin_placement(partial(self._place_hedge, progress, attempts, attempt))

    def _record_silence(self, attempt: AttemptProgress, now: float) -> None:
        """Exclude a silent endpoint for now, and check whether it has failed."""
        self._endpoints.record_silence(attempt.state, attempt.heard_at, now)
        for state in attempt.placed.states:
            self._detector.record_silence(state, attempt.running)

    async def _place_hedge(
        self, progress: RequestProgress, attempts: OpenAttempts, silent: AttemptProgress
    ) -> Placed | Refused:
        """Place an attempt to be made while a silent one stays open."""
        if await self._may_have_crashed(progress, silent.placed):
            return Refused("it may have crashed the endpoint", 0)
        if not self._budget.has_retry(progress.service.name, read_clock()):
            return Refused(_NO_RETRY_LEFT, 0)
        return await self._place_further(progress, attempts)

    async def _place_further(
        self, progress: RequestProgress, attempts: OpenAttempts
    ) -> Placed | Refused:
        """Place an attempt while others are open.

        The budget is charged once there is a place: one that is still waited for would keep a retry
        from a request whose only attempt broke off.
        """
        if self._guard.find_refusal(progress.workload) is not None:
            return Refused("quarantined", 0)
        placed = await self._place(progress, {each.peer for each in attempts.attempts})
        if isinstance(placed, Placed) and not self._charge_retry(progress):
            return Refused(_NO_RETRY_LEFT, 0)
        return placed

    def _handle_placement(
        self, progress: RequestProgress, attempts: OpenAttempts, placement: Placed | Refused
    ) -> Outcome | None:
        """Send a further attempt where it was placed, or go on without it."""
        if attempts.winner is not None:
            self._return_retries(progress)
            return None
        if isinstance(placement, Placed):
            if self._guard.find_refusal(progress.workload) is None:
                self._start_attempt(progress, placement, attempts)
                return None
            placement = Refused("quarantined", 0)
        self._return_retries(progress)
        if not attempts.attempts:
            return give_up(progress, "place", placement, self._random)
        self._keep_waiting(progress, attempts, placement.reason)
        return None

    def _end_at_deadline(self, progress: RequestProgress, attempts: OpenAttempts) -> Outcome:
        """End all attempts; their endpoints may have failed."""
        now = read_clock()
        for each in attempts.attempts:
            self._record_silence(each, now)
        progress.may_have_run = True
        phase = attempts.attempts[0].phase if attempts.attempts else Phase.HEAD
        step = _DEADLINE_STEPS[phase]
        reason = "no answer in time" if phase is Phase.HEAD else "deadline passed"
        return Unknown(step, reason, progress.peer)

    async def _handle_result(
        self,
        progress: RequestProgress,
        attempts: OpenAttempts,
        attempt: AttemptProgress,
        result: Result,
        sink: AnswerSink,
    ) -> Outcome | None:
        """Act on what one step of an attempt gave."""
        if attempts.winner not in (None, attempt):
            await attempts.drop(attempt)
            return None
        progress.peer = attempt.peer
        if isinstance(result, NotSent | Rejected | Lost):
            return await self._end_failed(progress, attempts, attempt, result)
        if isinstance(result, list):
            return await self._handle_events(progress, attempts, attempt, result, sink)
        if isinstance(result, StreamEnd):
            return await self._handle_stream_end(progress, attempts, attempt, result, sink)
        if isinstance(result, WholeAnswer | BrokenAnswer | AnswerTooLarge):
            return await self._handle_whole(progress, attempts, attempt, result, sink)
        return await self._handle_reply(progress, attempts, attempt, result, sink)

    def _record_heard(self, attempt: AttemptProgress) -> None:
        """Record that the endpoint sent something.

        The first engine of a chain may send the head before the later ones have done anything.
        """
        attempt.heard_at = read_clock()
        attempt.running.record_data()
        in_head = attempt.phase is Phase.HEAD
        for state in (attempt.state,) if in_head else attempt.placed.states:
            self._endpoints.record_heard(state, attempt.heard_at)
            self._detector.record_heard(state)

    async def _end_failed(
        self,
        progress: RequestProgress,
        attempts: OpenAttempts,
        attempt: AttemptProgress,
        result: NotSent | Rejected | Lost,
    ) -> Outcome | None:
        """End an attempt that gave no answer; ``None`` if others are open or may follow."""
        state = attempt.state
        await attempts.drop(attempt)
        ATTEMPTS.labels(type(result).__name__).inc()
        note(
            _LOG,
            "attempt failed",
            request=progress.request.request_id,
            endpoint=attempt.peer,
            result=type(result).__name__,
            reason=result.reason,
            detail="" if isinstance(result, Rejected) else result.detail,
            ms=round((read_clock() - attempt.running.sent_at) * 1000),
        )
        at_fault = self._find_at_fault(state, result)
        self._record_losses(attempt, result, at_fault)
        progress.tried.update(each.endpoint.agent_id for each in at_fault)
        if isinstance(result, NotSent):
            progress.attempts -= 1
            if attempt.charged:
                progress.unsent_retries += 1
            progress.connect_seconds += read_clock() - attempt.running.sent_at
            return self._after_not_sent(progress, attempts, state, result)
        if isinstance(result, Rejected):
            return self._after_rejected(progress, attempts, state, result, at_fault)
        if result.at_fault:
            self._endpoints.record_failure(state, read_clock())
        elif not attempts and (quarantine := self._guard.find_refusal(progress.workload)):
            progress.may_have_run = True
            return self._refuse_quarantined(progress, quarantine)
        return await self._after_lost(progress, attempts, attempt, "send", result.reason)

    def _find_at_fault(
        self, state: EndpointState, result: NotSent | Rejected | Lost
    ) -> list[EndpointState]:
        """Return the endpoints at which an attempt failed.

        An engine of a chain names the one that refused; the others can take the request again.
        """
        if isinstance(result, Rejected) and result.address is not None:
            return self._endpoints.find_by_address(result.address) or [state]
        return [state]

    def _record_losses(
        self,
        attempt: AttemptProgress,
        result: NotSent | Rejected | Lost,
        at_fault: Sequence[EndpointState],
    ) -> None:
        """Check the endpoints that may have failed while running the request.

        In a chain the first engine reports the failure of one behind it.
        """
        if isinstance(result, Lost) and result.at_fault:
            self._record_loss(attempt, silent=result.silent)
        elif isinstance(result, Rejected):
            for each in at_fault:
                if each is not attempt.state:
                    self._detector.record_loss(each, attempt.running, silent=True)

    def _record_loss(self, attempt: AttemptProgress, *, silent: bool) -> None:
        for state in attempt.placed.states:
            self._detector.record_loss(state, attempt.running, silent=silent)

    def _record_answer(
        self, progress: RequestProgress, attempt: AttemptProgress, status: int
    ) -> None:
        self._durations.record(progress.rule.name, read_clock() - attempt.running.sent_at)
        incarnations = [each.endpoint.incarnation for each in attempt.placed.states]
        sent_at = attempt.running.sent_at
        self._guard.record_answer(progress.workload, incarnations, sent_at, status)

    def _build_attempt(self, progress: RequestProgress, attempt: AttemptProgress) -> Attempt:
        placed = attempt.placed
        return Attempt(
            request=progress.request,
            endpoint=placed.state.endpoint,
            left=progress.left,
            organisation=progress.organisation,
            version=placed.version,
            last_event=progress.stream.last_event,
            chain=placed.chain,
            urgency=rank_urgency(
                progress.rank, overdue=progress.elapsed > 0.0, begun=progress.stream.begun
            ),
        )

    def _is_refused(self, running: RunningRequest) -> bool:
        return self._guard.find_refusal(running.workload) is not None

    def _cancel_refused(self) -> None:
        """Cancel requests that wait at endpoints and would crash them once they begin."""
        for running, attempt in self._opening.items():
            if self._is_refused(running):
                reason = "quarantined while it waited at the endpoint"
                attempt.cancel(Lost(reason, at_fault=False))

    def _measure_patience(self, progress: RequestProgress) -> float:
        """Return the seconds of silence before a first event after which to try another endpoint.

        Infinite if none may be tried.
        """
        if not self._can_retry(progress):
            return inf
        return max(
            progress.rule.latency_objective * _SILENCE_OBJECTIVES, progress.left * _SILENCE_SHARE
        )

    def _can_retry(self, progress: RequestProgress) -> bool:
        allowed = progress.rule.idempotent and not progress.is_probe
        allowed = allowed and not progress.answer_begun and progress.can_resume
        return allowed and progress.attempts < progress.rule.max_attempts

    def _after_not_sent(
        self,
        progress: RequestProgress,
        attempts: OpenAttempts,
        state: EndpointState,
        result: NotSent,
    ) -> Outcome | None:
        self._endpoints.record_failure(state, read_clock())
        self._detector.record_unreachable(state)
        progress.not_sent += 1
        if progress.connect_seconds <= _MAX_CONNECT_SECONDS:
            if attempts.all_silent and attempts:
                attempts.begin_placement(partial(self._place_further, progress, attempts))
            return None
        if attempts:
            self._return_retries(progress)
            self._keep_waiting(progress, attempts, result.reason)
            return None
        return give_up(progress, "connect", Refused(result.reason, 1), self._random)

    def _after_rejected(
        self,
        progress: RequestProgress,
        attempts: OpenAttempts,
        state: EndpointState,
        result: Rejected,
        at_fault: Sequence[EndpointState],
    ) -> Outcome | None:
        """Retry a rejected request elsewhere if the budget allows; it has not run."""
        now = read_clock()
        self._endpoints.record_header_load(state, result.load, now)
        self._endpoints.record_notice(state, result.notice, now)
        if result.named_limit is not None and not result.misdirected:
            self._endpoints.record_limit(state, result.named_limit, limit_known=True)
        for each in at_fault:
            self._endpoints.record_full(each, now)
            self._endpoints.record_cold_answer(each, result.notice)
            if result.misdirected:
                self._endpoints.record_failure(each, now)
        if attempts and not attempts.all_silent:
            return None
        allowed = progress.attempts < progress.rule.max_attempts and not progress.is_probe
        if allowed and self._charge_retry(progress):
            if attempts:
                attempts.begin_placement(partial(self._place_further, progress, attempts))
            return None
        if attempts:
            self._keep_waiting(progress, attempts, result.reason)
            return None
        rest = self._gate.measure_rest(progress.service, progress.regions)
        return give_up(progress, "endpoint", Refused(result.reason, 1, rest=rest), self._random)

    def _keep_waiting(self, progress: RequestProgress, attempts: OpenAttempts, reason: str) -> None:
        """Leave the answer to the open attempts, whose endpoints may still give it."""
        for each in attempts.attempts:
            log_no_second_attempt(progress, each, reason)

    async def _after_lost(
        self,
        progress: RequestProgress,
        attempts: OpenAttempts,
        attempt: AttemptProgress,
        step: str,
        reason: str,
    ) -> Outcome | None:
        """Decide on another attempt after one that was lost, and dropped."""
        progress.may_have_run = True
        if attempts and not attempts.all_silent:
            return None
        if self._can_retry(progress) and progress.left > _MIN_TIME_LEFT_SECONDS:
            if await self._may_have_crashed(progress, attempt.placed):
                reason = f"{reason}; it may have crashed the endpoint"
            elif self._charge_retry(progress):
                if attempts:
                    attempts.begin_placement(partial(self._place_further, progress, attempts))
                return None
            else:
                reason = f"{reason}; {_NO_RETRY_LEFT}"
        if attempts:
            self._keep_waiting(progress, attempts, reason)
            return None
        return Unknown(step, reason, progress.peer)

    async def _may_have_crashed(self, progress: RequestProgress, placed: Placed) -> bool:
        """Return whether a request is suspected of having crashed its endpoint.

        Its second try would crash another one. Requests whose segments are answered, or were in
        progress at this crash only, are probably victims, and are tried again at once.
        """
        if not self._guard.segments.lacks_answer(progress.workload):
            return False
        await self._detector.wait_for_checks(placed.states)
        return self._guard.segments.is_suspect(progress.workload)

    async def _handle_reply(
        self,
        progress: RequestProgress,
        attempts: OpenAttempts,
        attempt: AttemptProgress,
        reply: Reply,
        sink: AnswerSink,
    ) -> Outcome | None:
        """Begin to read an answer, or reject it as invalid."""
        state = attempt.state
        self._opening.pop(attempt.running, None)
        now = read_clock()
        self._record_heard(attempt)
        self._endpoints.record_header_load(state, reply.load, now)
        self._endpoints.record_notice(state, reply.notice, now)
        self._endpoints.record_cold_answer(state, reply.notice)
        if reply.named_limit is not None or (reply.genuine and reply.status < 500):
            self._endpoints.record_limit(state, reply.named_limit, limit_known=attempt.limit_known)
        if not reply.genuine:
            reason = "answer is not this request's"
            return await self._discard_reply(progress, attempts, attempt, reason)
        if reply.status >= 500 and attempt.placed.chain:
            self._record_loss(attempt, silent=True)  # perhaps of a later engine
        streams = reply.is_stream and reply.status < 300
        if progress.stream.begun and not streams:
            # The body of an error response is not part of the stream of another engine.
            reason = f"status {reply.status} behind a begun stream"
            return await self._discard_reply(progress, attempts, attempt, reason)
        if streams:
            await self._end_silence(progress, attempts, attempt)
            attempt.phase = Phase.FIRST_EVENT
            attempt.patience = self._measure_patience(progress)
            attempt.events = EventReader(
                reply, partial(self._record_heard, attempt), progress.request.held
            )
            attempt.wait = attempt.events.read
            return None
        attempt.patience = inf
        if reply.status >= 500 and self._retry_failure(progress, attempts):
            attempt.phase = Phase.FAILURE_BODY
        else:
            attempt.phase = Phase.BODY
            await self._end_silence(progress, attempts, attempt)
        claim = partial(self._keep_only, progress, attempts, attempt)
        attempt.wait = partial(read_whole, partial(relay_answer, reply, sink, progress, claim))
        return None

    def _retry_failure(self, progress: RequestProgress, attempts: OpenAttempts) -> bool:
        """Begin a retry of a request that failed at an endpoint, unless others are open.

        :returns: whether another endpoint may still answer. The failure is kept until then, as the
            retry may be refused.
        """
        if attempts.placement is not None or len(attempts.attempts) > 1:
            return True
        if not self._can_retry(progress) or not self._charge_retry(progress):
            return False
        attempts.begin_placement(partial(self._place_further, progress, attempts))
        return True

    async def _end_silence(
        self, progress: RequestProgress, attempts: OpenAttempts, attempt: AttemptProgress
    ) -> None:
        """Note that a silent endpoint goes on, and place no hedge that is not sent yet."""
        if attempt.silent_since is None:
            return
        log_silence_end(progress, attempt)
        attempt.silent_since = None
        attempt.refusal = ""
        await self._cancel_placement(progress, attempts)

    async def _cancel_placement(self, progress: RequestProgress, attempts: OpenAttempts) -> None:
        await attempts.cancel_placement()
        self._return_retries(progress)

    async def _keep_only(
        self, progress: RequestProgress, attempts: OpenAttempts, winner: AttemptProgress
    ) -> None:
        """End the attempts that another one's answer replaces.

        :raises ReplyBrokenError: if another one's answer has replaced this one.
        """
        if not attempts.claim(winner):
            raise ReplyBrokenError("superseded")
        await self._cancel_placement(progress, attempts)
        for each in list(attempts.attempts):
            if each is not winner:
                ATTEMPTS.labels("superseded").inc()
                log_superseded(progress, each, winner)
                await attempts.drop(each)

    async def _handle_events(
        self,
        progress: RequestProgress,
        attempts: OpenAttempts,
        attempt: AttemptProgress,
        events: list[Event],
        sink: AnswerSink,
    ) -> Outcome | None:
        """Forward events; the first attempt that has any goes on alone."""
        if progress.stream.begun and attempt.phase is not Phase.GAP:
            # Events without an id don't show that this endpoint goes on with the stream.
            events = list(dropwhile(lambda each: each.number is None, events))
            if not events:
                return None
        if not progress.stream.continues_with(events):
            return await self._end_broken_stream(progress, attempts, attempt)
        attempts.claim(attempt)
        await self._end_silence(progress, attempts, attempt)
        if not attempts.is_single:
            await self._keep_only(progress, attempts, attempt)
        if attempt.phase is not Phase.GAP:
            self._mark_running(attempt)
        first = not progress.stream.begun
        assert attempt.reply is not None
        await forward_events(events, attempt.reply, sink, progress.stream)
        attempts.winner = None  # another endpoint may go on with the stream
        if first:
            FIRST_EVENT_SECONDS.observe(progress.stream.begun_at - progress.request.arrived)
            self._record_first_event(progress)
        attempt.heard_at = read_clock()
        attempt.patience = inf
        if self._can_retry(progress):
            attempt.patience = progress.rule.gap_objective * STALL_OBJECTIVES
        return None

    def _mark_running(self, attempt: AttemptProgress) -> None:
        attempt.phase = Phase.GAP
        running = InProgress(running=1)
        attempt.state.add_load(running - attempt.load)
        attempt.load = running
        attempt.running.record_first_event()

    async def _handle_stream_end(
        self,
        progress: RequestProgress,
        attempts: OpenAttempts,
        attempt: AttemptProgress,
        end: StreamEnd,
        sink: AnswerSink,
    ) -> Outcome | None:
        reply = attempt.reply
        assert reply is not None
        if end is StreamEnd.BROKEN or not progress.stream.begun:
            return await self._end_broken_stream(progress, attempts, attempt)
        if not reply.framed and await self._detector.has_ended(attempt.state):
            return await self._end_broken_stream(progress, attempts, attempt)
        if not attempts.claim(attempt):
            await attempts.drop(attempt)
            return None
        await self._end_silence(progress, attempts, attempt)
        await self._keep_only(progress, attempts, attempt)
        await self._release_connection(attempt, reply)
        self._endpoints.record_success(attempt.state)
        self._record_answer(progress, attempt, reply.status)
        ATTEMPTS.labels("answered").inc()
        await sink.end()
        return Done(attempt.peer)

    async def _end_broken_stream(
        self, progress: RequestProgress, attempts: OpenAttempts, attempt: AttemptProgress
    ) -> Outcome | None:
        reason = f"stream {StreamEnd.BROKEN.value}"
        return await self._discard_reply(progress, attempts, attempt, reason)

    async def _handle_whole(
        self,
        progress: RequestProgress,
        attempts: OpenAttempts,
        attempt: AttemptProgress,
        result: WholeAnswer | BrokenAnswer | AnswerTooLarge,
        sink: AnswerSink,
    ) -> Outcome | None:
        reply = attempt.reply
        assert reply is not None
        if isinstance(result, AnswerTooLarge):
            progress.may_have_run = True
            await attempts.drop(attempt)
            if attempts:
                self._keep_waiting(progress, attempts, f"memory: {result.reason}")
                return None
            return Unknown("read", f"memory: {result.reason}", attempt.peer)
        if isinstance(result, BrokenAnswer):
            reason = f"answer broke off: {result.reason}"
            return await self._discard_reply(progress, attempts, attempt, reason, result.detail)
        if not reply.framed and await self._detector.has_ended(attempt.state):
            reason = "endpoint ended with its answer"
            return await self._discard_reply(progress, attempts, attempt, reason)
        if attempt.phase is Phase.FAILURE_BODY and result.body is not None:
            return await self._keep_failure(progress, attempts, attempt, result.body)
        if not attempts.claim(attempt):
            await attempts.drop(attempt)
            return None
        await self._keep_only(progress, attempts, attempt)
        await self._release_connection(attempt, reply)
        self._endpoints.record_success(attempt.state)
        self._record_answer(progress, attempt, reply.status)
        if result.body is not None and progress.rule.kind is not RuleKind.STREAM:
            elapsed = read_clock() - attempt.running.sent_at
            seconds = compute_usual_seconds(elapsed, reply.load)
            self._gate.record_work_seconds(progress.service.name, seconds)
        ATTEMPTS.labels("answered").inc()
        if result.body is None:
            await sink.end()
        else:
            await sink.send_whole(reply.status, reply.headers, result.body)
        return Done(attempt.peer)

    async def _keep_failure(
        self,
        progress: RequestProgress,
        attempts: OpenAttempts,
        attempt: AttemptProgress,
        body: bytes,
    ) -> Outcome | None:
        """Keep an endpoint's failure, to be sent if nothing better comes."""
        reply = attempt.reply
        assert reply is not None
        ATTEMPTS.labels("failed").inc()
        progress.may_have_run = True
        progress.tried.add(attempt.peer)
        progress.failure = FailureAnswer(reply.status, reply.headers, body, attempt.peer)
        await reply.close(reusable=True)
        await attempts.drop(attempt)
        if attempts:
            return None
        return Unknown("read", f"status {reply.status}", attempt.peer)

    async def _discard_reply(
        self,
        progress: RequestProgress,
        attempts: OpenAttempts,
        attempt: AttemptProgress,
        reason: str,
        detail: str = "",
    ) -> Outcome | None:
        """Drop an attempt whose answer is invalid or broke off.

        :param detail: for the log.
        """
        ATTEMPTS.labels("broken").inc()
        note(
            _LOG,
            "answer discarded",
            request=progress.request.request_id,
            endpoint=attempt.peer,
            reason=reason,
            detail=detail,
        )
        progress.tried.add(attempt.peer)
        self._record_loss(attempt, silent=False)
        await attempts.drop(attempt)
        return await self._after_lost(progress, attempts, attempt, "read", reason)

    async def _release_connection(self, attempt: AttemptProgress, reply: Reply) -> None:
        """Keep the connection of a complete answer open for another request.

        The endpoint has no more to do with it, however slowly the caller takes the answer.
        """
        await reply.close(reusable=True)
        if reply.framed and not reply.closing:
            attempt.state.push_idle_connection(read_clock())
        self._release_load(attempt)

    def _release_load(self, attempt: AttemptProgress) -> None:
        if attempt.load != NO_LOAD:
            attempt.state.add_load(NO_LOAD - attempt.load)
            attempt.load = NO_LOAD
            self._endpoints.wake_waiting()

    def _record_first_event(self, progress: RequestProgress) -> None:
        """Record first attempts only; a retried request was late before it was sent."""
        if not progress.elapsed and progress.attempts == 1:
            seconds = progress.stream.begun_at - progress.request.arrived
            in_time = seconds <= progress.rule.latency_objective
            self._gate.record_first_event(progress.service.name, in_time=in_time)


def _refuse_late() -> NotRun:
    return NotRun("admit", "this node is stopping", retry_after=0.0)


def _release_chain(placed: Placed) -> None:
    for stage in placed.chain[1:]:
        stage.state.downstream_requests -= 1
