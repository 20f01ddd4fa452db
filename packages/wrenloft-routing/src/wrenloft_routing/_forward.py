"""Handling of one caller's request, from its arrival to its final answer."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Sequence
from random import Random

from wrenloft_core import (
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
from wrenloft_routing._answers import AnswerShortageError, relay_answer
from wrenloft_routing._budget import SharedRetryBudget
from wrenloft_routing._content import identify_content
from wrenloft_routing._crash_guard import AnyQuarantine, CrashGuard
from wrenloft_routing._endings import give_up, send_failure, send_refusal
from wrenloft_routing._endpoints import Endpoints, EndpointState
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
    record_outcome,
)
from wrenloft_routing._request_progress import RequestProgress, build_placement_request
from wrenloft_routing._segment_ledger import SegmentQuarantine
from wrenloft_routing._streams import StreamEnd, forward_stream
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
"""Latency objectives after which an idempotent request without an answer is retried elsewhere, if
time is left: it is overdue, but can still be answered before its caller times out."""

_SILENCE_SHARE = 0.4
"""Share of the remaining time that a silent endpoint may use before another one is tried."""

TIMEOUT_DECAY = 0.9995
"""Factor by which the longest caller timeout of a rule decays with each request, so that a shorter
timeout in a new configuration is learned within some hundred requests."""

BEGIN_MARGIN_SECONDS = 0.3
"""Margin before a version's deadline at which a request that has not begun is cancelled. Closing
the connection takes up to 0.2 s to reach an endpoint that is receiving chunks of weights."""

_MIN_TIME_LEFT_SECONDS = 0.03
"""Remaining seconds below which a request is no longer sent: the round trip takes 8 ms, and a plain
service works on a request for 20 ms."""

_DRAIN_SECONDS = 0.03
"""Longest wait for the rest of an answer that is discarded."""


RequestGrants = Callable[[Sequence[EndpointState], int], Awaitable[bool]]


async def _grant_all(states: Sequence[EndpointState], urgency: int) -> bool:
    return True


class Forwarder:
    """Forward callers' requests, each to exactly one final answer.

    :param open_attempt: sends one attempt and returns the head of the answer.
    :param request_grants: returns whether the rate limits of endpoints admit one request of an
        urgency; the lowest urgency goes first.
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
        self._opening: dict[RunningRequest, asyncio.Timeout] = {}
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
        return progress

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
        while True:
            if (quarantine := await self._find_quarantine(progress)) is not None:
                return self._refuse_quarantined(progress, quarantine)
            placed = await self._place(progress)
            if isinstance(placed, Refused):
                return give_up(progress, "place", placed, self._random)
            if not progress.is_probe and self._guard.find_refusal(progress.workload) is not None:
                continue  # the update arrived while the request waited
            outcome = await self._attempt(progress, placed, sink)
            if outcome is not None:
                return outcome

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

    async def _place(self, progress: RequestProgress) -> Placed | Refused:
        if progress.left < _MIN_TIME_LEFT_SECONDS:
            return Refused("no time left", 0)
        # An endpoint that failed used up the objective. The next one gets a new objective, since a
        # late answer is better than a refusal while endpoints have spare capacity.
        untried = progress.attempts == 0 and progress.not_sent == 0
        since = progress.request.arrived if untried else read_clock()
        placement = build_placement_request(progress, since)
        while True:
            placement.regions = self._find_regions(progress)
            placed = await self._gate.place(placement, progress.tried)
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

    async def _attempt(
        self, progress: RequestProgress, placed: Placed, sink: AnswerSink
    ) -> Outcome | None:
        """Send the request once; ``None`` means that another attempt may follow."""
        state = placed.state
        state.record_sent(read_clock())
        state.pop_idle_connection()
        tokens = round(progress.request.prompt_tokens)
        progress.load = InProgress(unread=1, unread_tokens=tokens)
        state.add_load(progress.load)
        for stage in placed.chain[1:]:
            stage.state.downstream_requests += 1
        progress.peer = state.endpoint.agent_id
        progress.prediction = placed.prediction
        begin_limit = self._gate.measure_begin_limit(state, progress.service)
        progress.begin_by = read_clock() + begin_limit - BEGIN_MARGIN_SECONDS
        revision = self.table.revision if self.table else 0
        rate_limit = self._endpoints.find_rate_limit(state)
        progress.limit_known = rate_limit is not None
        coldness = self._endpoints.find_coldness(state)
        log_attempt(progress, placed, revision, self._proof.age, rate_limit, coldness)
        try:
            with self._detector.track_request(placed.states, progress.workload) as progress.running:
                started = progress.running.sent_at
                result = await self._open_within(progress, placed)
                if not isinstance(result, NotSent | Rejected | Lost):
                    progress.running.record_data()
                    return await self._handle_reply(progress, placed, result, sink, started)
        finally:
            for stage in placed.chain[1:]:
                stage.state.downstream_requests -= 1
            self._release_load(progress, state)
        ATTEMPTS.labels(type(result).__name__).inc()
        note(
            _LOG,
            "attempt failed",
            request=progress.request.request_id,
            endpoint=progress.peer,
            result=type(result).__name__,
            reason=result.reason,
            ms=round((read_clock() - started) * 1000),
        )
        at_fault = self._find_at_fault(state, result)
        self._record_losses(progress, placed, result, at_fault)
        progress.tried.update(each.endpoint.agent_id for each in at_fault)
        if isinstance(result, NotSent):
            progress.connect_seconds += read_clock() - started
            return self._after_not_sent(progress, state, result)
        progress.attempts += 1
        if isinstance(result, Rejected):
            return self._after_rejected(progress, state, result, at_fault)
        if result.at_fault:
            self._endpoints.record_failure(state, read_clock())
        elif (quarantine := self._guard.find_refusal(progress.workload)) is not None:
            progress.may_have_run = True
            return self._refuse_quarantined(progress, quarantine)
        return await self._after_lost(progress, placed, "send", result.reason)

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
        progress: RequestProgress,
        placed: Placed,
        result: NotSent | Rejected | Lost,
        at_fault: Sequence[EndpointState],
    ) -> None:
        """Check the endpoints that may have failed while running the request.

        In a chain the first engine reports the failure of one behind it.
        """
        if isinstance(result, Lost) and result.at_fault:
            self._record_loss(progress, placed, silent=result.silent)
        elif isinstance(result, Rejected):
            for each in at_fault:
                if each is not placed.state:
                    self._detector.record_loss(each, progress.running, silent=True)

    def _record_loss(self, progress: RequestProgress, placed: Placed, *, silent: bool) -> None:
        for state in placed.states:
            self._detector.record_loss(state, progress.running, silent=silent)

    def _record_answer(self, progress: RequestProgress, placed: Placed, status: int) -> None:
        incarnations = [each.endpoint.incarnation for each in placed.states]
        self._guard.record_answer(progress.workload, incarnations, progress.running.sent_at, status)

    async def _open_within(
        self, progress: RequestProgress, placed: Placed
    ) -> Reply | NotSent | Rejected | Lost:
        left = progress.left
        attempt = Attempt(
            request=progress.request,
            endpoint=placed.state.endpoint,
            left=left,
            organisation=progress.organisation,
            version=placed.version,
            last_event=progress.stream.last_event,
            chain=placed.chain,
            urgency=rank_urgency(
                progress.rank, overdue=progress.elapsed > 0.0, begun=progress.stream.begun
            ),
        )
        running = progress.running
        try:
            async with asyncio.timeout(self._silence_timeout(progress, left)) as timeout:
                if not progress.is_probe:
                    self._opening[running] = timeout
                return await self._open(attempt)
        except TimeoutError:
            if running in self._opening and self._is_refused(running):
                return Lost("quarantined while it waited at the endpoint", at_fault=False)
            if read_clock() >= progress.begin_by:
                # Cancelled ahead of a version's deadline, which is no fault of the endpoint.
                # Counted as a failure, it excluded every engine for 1.5 s after each swap.
                return Lost("not begun before the version is due", at_fault=False)
            return Lost("no answer in time", silent=True)
        finally:
            self._opening.pop(running, None)

    def _is_refused(self, running: RunningRequest) -> bool:
        return self._guard.find_refusal(running.workload) is not None

    def _cancel_refused(self) -> None:
        """Cancel requests that wait at endpoints and would crash them once they begin."""
        now = asyncio.get_running_loop().time()
        for running, timeout in self._opening.items():
            if self._is_refused(running):
                timeout.reschedule(now)

    def _silence_timeout(self, progress: RequestProgress, left: float) -> float:
        """Return the seconds for which an endpoint may stay silent before it is given up."""
        if not progress.stream.begun:
            # A request that waits at a slow endpoint would begin on a version past its deadline.
            # Cancelling it earlier closes the connection, and the endpoint drops it.
            left = max(0.0, min(left, progress.begin_by - read_clock()))
        if not self._can_retry(progress, progress.attempts + 1):
            return left
        return min(
            left, max(progress.rule.latency_objective * _SILENCE_OBJECTIVES, left * _SILENCE_SHARE)
        )

    def _can_retry(self, progress: RequestProgress, attempts: int) -> bool:
        allowed = progress.rule.idempotent and not progress.is_probe
        return allowed and not progress.answer_begun and attempts < progress.rule.max_attempts

    def _after_not_sent(
        self, progress: RequestProgress, state: EndpointState, result: NotSent
    ) -> Outcome | None:
        self._endpoints.record_failure(state, read_clock())
        self._detector.record_unreachable(state)
        progress.not_sent += 1
        if progress.connect_seconds > _MAX_CONNECT_SECONDS:
            return give_up(progress, "connect", Refused(result.reason, 1), self._random)
        return None

    def _after_rejected(
        self,
        progress: RequestProgress,
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
        allowed = progress.attempts < progress.rule.max_attempts and not progress.is_probe
        if allowed and self._budget.withdraw(progress.service.name, now):
            return None
        rest = self._gate.measure_rest(progress.service, progress.regions)
        return give_up(progress, "endpoint", Refused(result.reason, 1, rest=rest), self._random)

    async def _after_lost(
        self, progress: RequestProgress, placed: Placed, step: str, reason: str
    ) -> Outcome | None:
        progress.may_have_run = True
        if self._can_retry(progress, progress.attempts) and progress.left > _MIN_TIME_LEFT_SECONDS:
            if await self._may_have_crashed(progress, placed):
                return Unknown(step, f"{reason}; it may have crashed the endpoint", progress.peer)
            if self._budget.withdraw(progress.service.name, read_clock()):
                return None
            reason = f"{reason}; no second try left in the budget"
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
        placed: Placed,
        reply: Reply,
        sink: AnswerSink,
        started: float,
    ) -> Outcome | None:
        """Forward an answer, or reject it as invalid."""
        state = placed.state
        progress.attempts += 1
        now = read_clock()
        self._endpoints.record_header_load(state, reply.load, now)
        self._endpoints.record_notice(state, reply.notice, now)
        self._endpoints.record_cold_answer(state, reply.notice)
        if reply.named_limit is not None or (reply.genuine and reply.status < 500):
            self._endpoints.record_limit(state, reply.named_limit, limit_known=progress.limit_known)
        try:
            if not reply.genuine:
                return await self._discard_reply(progress, placed, "answer is not this request's")
            if reply.status >= 500 and placed.chain:
                self._record_loss(progress, placed, silent=True)  # perhaps of a later engine
            failed = reply.status >= 500 and self._can_retry(progress, progress.attempts)
            if failed and self._budget.withdraw(progress.service.name, now):
                ATTEMPTS.labels("failed").inc()
                progress.tried.add(state.endpoint.agent_id)
                progress.may_have_run = True
                await self._drain(reply)
                return None
            streams = reply.is_stream and reply.status < 300
            if progress.stream.begun and not streams:
                # The body of an error response is not part of the stream of another engine.
                reason = f"status {reply.status} behind a begun stream"
                return await self._discard_reply(progress, placed, reason)
            if streams:
                return await self._relay_stream(progress, placed, reply, sink)
            return await self._relay_whole(progress, placed, reply, sink, started)
        finally:
            await reply.close(reusable=False)

    async def _release_connection(
        self, progress: RequestProgress, state: EndpointState, reply: Reply
    ) -> None:
        """Keep the connection of a complete answer open for another request.

        The endpoint has no more to do with it, however slowly the caller takes the answer.
        """
        await reply.close(reusable=True)
        if reply.framed and not reply.closing:
            state.push_idle_connection(read_clock())
        self._release_load(progress, state)

    def _release_load(self, progress: RequestProgress, state: EndpointState) -> None:
        if progress.load != NO_LOAD:
            state.add_load(NO_LOAD - progress.load)
            progress.load = NO_LOAD
            self._endpoints.wake_waiting()

    async def _drain(self, reply: Reply) -> None:
        """Read a short answer to its end, so that its connection can be reused."""
        try:
            async with asyncio.timeout(_DRAIN_SECONDS):
                while await reply.read_some():
                    pass
                await reply.close(reusable=True)
        except (ReplyBrokenError, TimeoutError):
            return

    async def _discard_reply(
        self, progress: RequestProgress, placed: Placed, reason: str, *, silent: bool = False
    ) -> Outcome | None:
        ATTEMPTS.labels("broken").inc()
        note(
            _LOG,
            "answer discarded",
            request=progress.request.request_id,
            endpoint=progress.peer,
            reason=reason,
        )
        progress.tried.add(placed.state.endpoint.agent_id)
        self._record_loss(progress, placed, silent=silent)
        return await self._after_lost(progress, placed, "read", reason)

    async def _relay_whole(
        self,
        progress: RequestProgress,
        placed: Placed,
        reply: Reply,
        sink: AnswerSink,
        started: float,
    ) -> Outcome | None:
        state = placed.state
        try:
            async with asyncio.timeout(max(0.0, progress.left)):
                body = await relay_answer(reply, sink, progress)
        except TimeoutError:
            self._record_loss(progress, placed, silent=True)
            return Unknown("read", "deadline passed", progress.peer)
        except AnswerShortageError as error:
            return Unknown("read", f"memory: {error}", progress.peer)
        except ReplyBrokenError as error:
            return await self._discard_reply(progress, placed, f"answer broke off: {error}")
        if not reply.framed and await self._detector.has_ended(state):
            return await self._discard_reply(progress, placed, "endpoint ended with its answer")
        await self._release_connection(progress, state, reply)
        self._endpoints.record_success(state)
        self._record_answer(progress, placed, reply.status)
        if body is not None and progress.rule.kind is not RuleKind.STREAM:
            seconds = compute_usual_seconds(read_clock() - started, reply.load)
            self._gate.record_work_seconds(progress.service.name, seconds)
        ATTEMPTS.labels("answered").inc()
        if body is None:
            await sink.end()
        else:
            await sink.send_whole(reply.status, reply.headers, body)
        return Done(progress.peer)

    async def _relay_stream(
        self, progress: RequestProgress, placed: Placed, reply: Reply, sink: AnswerSink
    ) -> Outcome | None:
        state = placed.state
        first = not progress.stream.begun
        held = progress.request.held
        before = held.size

        def mark_running() -> None:
            running = InProgress(running=1)
            state.add_load(running - progress.load)
            progress.load = running
            progress.running.record_first_event()

        end = await forward_stream(
            reply,
            sink,
            progress.stream,
            first_event_timeout=self._silence_timeout(progress, progress.left),
            gap_objective=progress.rule.gap_objective,
            deadline=progress.deadline,
            resumable=self._can_retry(progress, progress.attempts),
            on_first_event=mark_running,
            on_data=progress.running.record_data,
            held=held,
        )
        held.resize(before)  # an event that did not become whole
        if first and progress.stream.begun:
            FIRST_EVENT_SECONDS.observe(progress.stream.begun_at - progress.request.arrived)
            self._record_first_event(progress)
        if end is StreamEnd.COMPLETE and not reply.framed and await self._detector.has_ended(state):
            end = StreamEnd.BROKEN
        if end is StreamEnd.COMPLETE:
            await self._release_connection(progress, state, reply)
            self._endpoints.record_success(state)
            self._record_answer(progress, placed, reply.status)
            ATTEMPTS.labels("answered").inc()
            await sink.end()
            return Done(progress.peer)
        if end is StreamEnd.DEADLINE:
            self._record_loss(progress, placed, silent=True)
            return Unknown("stream", "deadline passed", progress.peer)
        if end is StreamEnd.STALLED:
            self._endpoints.record_failure(state, read_clock())
        stalled = end is StreamEnd.STALLED
        return await self._discard_reply(progress, placed, f"stream {end.value}", silent=stalled)

    def _record_first_event(self, progress: RequestProgress) -> None:
        """Record first attempts only; a retried request was late before it was sent."""
        if not progress.elapsed and progress.attempts == 1:
            seconds = progress.stream.begun_at - progress.request.arrived
            in_time = seconds <= progress.rule.latency_objective
            self._gate.record_first_event(progress.service.name, in_time=in_time)
