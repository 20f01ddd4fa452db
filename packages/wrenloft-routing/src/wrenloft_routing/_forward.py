"""One caller's request, from its arrival to its final answer."""

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
    estimate_elapsed,
    rank_urgency,
)
from wrenloft_routing._budget import SharedBudget
from wrenloft_routing._content import identify_content
from wrenloft_routing._crash_guard import CrashGuard
from wrenloft_routing._crash_ledger import Hold
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
from wrenloft_routing._failure_detector import FailureDetector
from wrenloft_routing._gate import Gate, Placed, Refused
from wrenloft_routing._loads import NO_LOAD, InProgress
from wrenloft_routing._proof import CurrencyProof
from wrenloft_routing._request_log import (
    ATTEMPTS,
    FIRST_SECONDS,
    conclude,
    log_attempt,
)
from wrenloft_routing._request_progress import RequestProgress, build_placement_request
from wrenloft_routing._streams import StreamEnd, pump_stream
from wrenloft_routing._table import RoutingTable, RuleKind, pick_target

_LOG = logging.getLogger(__name__)

_MAX_CONNECT_ATTEMPTS = 4
"""Endpoints that may fail to connect before a request is given up; a connection is tried for a
quarter of a second, so this is one second in all."""

_SILENCE_AIMS = 4.0
"""Aims after which an idempotent request that has no answer is tried elsewhere, if time is left:
late already, it can still be answered before its caller gives up."""

_SILENCE_SHARE = 0.4
"""Part of the time left that a silent endpoint may use up before another is tried."""

PATIENCE_DECAY = 0.9995
"""By which the longest patience of a rule fades with each request, so that a shorter one in a new
configuration is learnt within some hundred requests."""

BEGIN_MARGIN_SECONDS = 0.3
"""Before a version's deadline, by which a request that has not begun is given up: its close reaches
an endpoint behind chunks of weights in 0.2 s at the worst."""

_MIN_TIME_LEFT_SECONDS = 0.03
"""Seconds below which a request is not sent any more: the way there and back takes 8 ms, and a
plain service works 20 ms on it."""

_DRAIN_SECONDS = 0.03
"""Longest wait for the rest of an answer that is not passed on."""


TakeGrants = Callable[[Sequence[EndpointState], int], Awaitable[bool]]


async def _need_no_grants(states: Sequence[EndpointState], urgency: int) -> bool:
    return True


class Forwarder:
    """Takes callers' requests and sees each to its final answer.

    :param open_attempt: sends one attempt and returns the head of the answer.
    :param take_grants: returns whether the rate limits of endpoints allow one request, of an
        urgency of which the lowest goes first.
    """

    def __init__(
        self,
        endpoints: Endpoints,
        gate: Gate,
        budget: SharedBudget,
        proof: CurrencyProof,
        open_attempt: OpenAttempt,
        random: Random,
        detector: FailureDetector,
        guard: CrashGuard,
        take_grants: TakeGrants = _need_no_grants,
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
        self._take_grants = take_grants
        self._longest: dict[str, float] = {}

    async def forward(self, request: CallerRequest, sink: AnswerSink) -> Outcome:
        """Answer a request; every way out gives exactly one final answer."""
        progress = self._admit(request)
        if isinstance(progress, NotRun):
            await send_refusal(progress, sink)
            conclude(request, "none", progress, None)
            return progress
        outcome = await self._run(progress, sink)
        if isinstance(outcome, NotRun):
            await send_refusal(outcome, sink)
        elif isinstance(outcome, Unknown):
            await send_failure(progress, outcome, sink)
        conclude(request, progress.rule.kind.value, outcome, progress)
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
                # A key may have been taken away unseen; a request sent on would break that.
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
        patience = rule.timeout if request.patience is None else request.patience
        deadline = request.arrived + min(patience, rule.timeout)
        content = identify_content(organisation, request.target, request.body_digest)
        progress = RequestProgress(request, rule, service, organisation, rank, deadline, content)
        progress.spent = self._estimate_spent(rule.name, patience)
        return progress

    def _estimate_spent(self, rule: str, patience: float) -> float:
        """Estimate the seconds since the caller's first attempt, from how long it will still wait.

        :param patience: seconds.
        """
        longest = max(patience, self._longest.get(rule, 0.0) * PATIENCE_DECAY)
        self._longest[rule] = longest
        return estimate_elapsed(patience, longest)

    async def _run(self, progress: RequestProgress, sink: AnswerSink) -> Outcome:
        """Send attempts until one gives the answer or no further one is allowed."""
        self._budget.earn(progress.service.name, read_clock())
        while True:
            if (hold := await self._find_hold(progress)) is not None:
                return self._hold_back(progress, hold)
            placed = await self._place(progress)
            if isinstance(placed, Refused):
                return give_up(progress, "place", placed, self._random)
            if not progress.on_trial and self._guard.find_hold(progress.content) is not None:
                continue  # word of it came while the request waited for room
            outcome = await self._attempt(progress, placed, sink)
            if outcome is not None:
                return outcome

    async def _find_hold(self, progress: RequestProgress) -> Hold | None:
        """Return why a request must not be sent, ``None`` if it may be.

        A request that crashes each engine that begins it comes again under a new id, at any node.
        Unless all tries of one content end together, it takes the fleet down and with it every
        stream that runs there; refusing it after the third crash leaves the others to all callers.
        """
        hold = self._guard.find_hold(progress.content)
        if hold is None:
            return None
        if progress.attempts:
            return hold
        progress.on_trial = progress.on_trial or await self._guard.claim_trial(hold)
        return None if progress.on_trial else hold

    def _hold_back(self, progress: RequestProgress, hold: Hold) -> Outcome:
        """End a request whose content is held back; it is told when a trial is due."""
        self._guard.count_held_back(hold)
        retry_after = self._guard.measure_return(hold)
        note(
            _LOG,
            "request held back",
            request=progress.request.request_id,
            content=progress.content,
            crashes=hold.count,
            age_ms=round(hold.age * 1000),
            source=hold.source.value,
            attempts=progress.attempts,
            retry_after=round(retry_after, 2),
        )
        reason = f"{hold.count} endpoints fell under this request"
        if progress.may_have_run or progress.pump.begun:
            return Unknown("hold", reason, progress.peer)
        return NotRun("hold", reason, retry_after=retry_after)

    async def _place(self, progress: RequestProgress) -> Placed | Refused:
        if progress.left < _MIN_TIME_LEFT_SECONDS:
            return Refused("no time left", 0)
        # An endpoint that failed used up the aim; the next gets one of its own, since an answer
        # that comes late is better than a refusal while endpoints have room.
        untried = progress.attempts == 0 and progress.not_sent == 0
        since = progress.request.arrived if untried else read_clock()
        wanted = build_placement_request(progress, since)
        while True:
            placed = await self._gate.place(wanted, progress.tried)
            if isinstance(placed, Refused):
                return placed
            if await self._take_grants(placed.states, wanted.urgency):
                return placed
            wanted.denials += 1

    async def _attempt(
        self, progress: RequestProgress, placed: Placed, sink: AnswerSink
    ) -> Outcome | None:
        """Send once; ``None`` means that another attempt may follow."""
        state = placed.state
        state.note_sent(read_clock())
        state.take_kept()
        tokens = round(progress.request.prompt_tokens)
        progress.share = InProgress(unread=1, unread_tokens=tokens)
        state.change(progress.share)
        for stage in placed.chain[1:]:
            stage.state.later_parts += 1
        progress.peer = state.endpoint.agent_id
        progress.prediction = placed.prediction
        begin_limit = self._gate.measure_begin_limit(state, progress.service)
        progress.begin_by = read_clock() + begin_limit - BEGIN_MARGIN_SECONDS
        revision = self.table.revision if self.table else 0
        rate_limit = self._endpoints.find_limit(state)
        progress.limit_known = rate_limit is not None
        log_attempt(progress, placed, revision, self._proof.age, rate_limit)
        try:
            with self._detector.run(placed.states, progress.content) as started:
                progress.sent_at = started
                result = await self._open_within(progress, placed)
                if not isinstance(result, NotSent | Rejected | Lost):
                    return await self._take_reply(progress, placed, result, sink, started)
        finally:
            state.change(NO_LOAD - progress.share)
            for stage in placed.chain[1:]:
                stage.state.later_parts -= 1
            self._endpoints.notify()
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
        self._note_losses(progress, placed, result, at_fault)
        progress.tried.update(each.endpoint.agent_id for each in at_fault)
        if isinstance(result, NotSent):
            return self._after_not_sent(progress, state, result)
        progress.attempts += 1
        if isinstance(result, Rejected):
            return self._after_rejected(progress, state, result, at_fault)
        if result.at_fault:
            self._endpoints.record_failure(state, read_clock())
        return self._after_lost(progress, "send", result.reason)

    def _find_at_fault(
        self, state: EndpointState, result: NotSent | Rejected | Lost
    ) -> list[EndpointState]:
        """Return the endpoints at which a sending failed.

        An engine of a chain names the one that refused; the others may take the request again.
        """
        if isinstance(result, Rejected) and result.address is not None:
            return self._endpoints.find_address(result.address) or [state]
        return [state]

    def _note_losses(
        self,
        progress: RequestProgress,
        placed: Placed,
        result: NotSent | Rejected | Lost,
        at_fault: Sequence[EndpointState],
    ) -> None:
        """Have the endpoints looked at that may have fallen under the request.

        In a chain the first engine answers for one that fell behind it.
        """
        if isinstance(result, Lost) and result.at_fault:
            self._look_at(progress, placed, silent=result.silent)
        elif isinstance(result, Rejected):
            for each in at_fault:
                if each is not placed.state:
                    self._detector.note_loss(each, progress.content, progress.sent_at, silent=True)

    def _look_at(self, progress: RequestProgress, placed: Placed, *, silent: bool) -> None:
        for state in placed.states:
            self._detector.note_loss(state, progress.content, progress.sent_at, silent=silent)

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
            last_event=progress.pump.last,
            chain=placed.chain,
            urgency=rank_urgency(
                progress.rank, overdue=progress.spent > 0.0, begun=progress.pump.begun
            ),
        )
        try:
            async with asyncio.timeout(self._silence_limit(progress, left)):
                return await self._open(attempt)
        except TimeoutError:
            if read_clock() >= progress.begin_by:
                # Given up here, ahead of a version's deadline: the endpoint did nothing wrong.
                # Put down to it, every engine was kept out for 1.5 s after each swap.
                return Lost("not begun before the version is due", at_fault=False)
            return Lost("no answer in time", silent=True)

    def _silence_limit(self, progress: RequestProgress, left: float) -> float:
        """Return how long an endpoint may stay silent before it is given up."""
        if not progress.pump.begun:
            # A request that waits at a slow endpoint would begin on a version past its deadline;
            # given up before, its connection closes and the endpoint drops it.
            left = max(0.0, min(left, progress.begin_by - read_clock()))
        if not self._may_repeat(progress, progress.attempts + 1):
            return left
        return min(left, max(progress.rule.aim * _SILENCE_AIMS, left * _SILENCE_SHARE))

    def _may_repeat(self, progress: RequestProgress, attempts: int) -> bool:
        allowed = progress.rule.idempotent and not progress.on_trial
        return allowed and attempts < progress.rule.max_attempts

    def _after_not_sent(
        self, progress: RequestProgress, state: EndpointState, result: NotSent
    ) -> Outcome | None:
        self._endpoints.record_failure(state, read_clock())
        self._detector.note_unreachable(state)
        progress.not_sent += 1
        if progress.not_sent >= _MAX_CONNECT_ATTEMPTS:
            return give_up(progress, "connect", Refused(result.reason, 1), self._random)
        return None

    def _after_rejected(
        self,
        progress: RequestProgress,
        state: EndpointState,
        result: Rejected,
        at_fault: Sequence[EndpointState],
    ) -> Outcome | None:
        """A rejected request has not run, so it may go elsewhere if the budget allows."""
        now = read_clock()
        self._endpoints.record_header(state, result.load, now)
        if result.named_limit is not None and not result.mistaken:
            self._endpoints.record_limit(state, result.named_limit, limit_known=True)
        for each in at_fault:
            self._endpoints.record_full(each, now)
            if result.mistaken:
                self._endpoints.record_failure(each, now)
        allowed = progress.attempts < progress.rule.max_attempts and not progress.on_trial
        if allowed and self._budget.spend(progress.service.name, now):
            return None
        return give_up(progress, "endpoint", Refused(result.reason, 1), self._random)

    def _after_lost(self, progress: RequestProgress, step: str, reason: str) -> Outcome | None:
        progress.may_have_run = True
        if self._may_repeat(progress, progress.attempts) and progress.left > _MIN_TIME_LEFT_SECONDS:
            if self._budget.spend(progress.service.name, read_clock()):
                return None
            reason = f"{reason}; no second try left in the budget"
        return Unknown(step, reason, progress.peer)

    async def _take_reply(
        self,
        progress: RequestProgress,
        placed: Placed,
        reply: Reply,
        sink: AnswerSink,
        started: float,
    ) -> Outcome | None:
        """Pass an answer on, or decide that it is none."""
        state = placed.state
        progress.attempts += 1
        now = read_clock()
        self._endpoints.record_header(state, reply.load, now)
        if reply.named_limit is not None or (reply.genuine and reply.status < 500):
            self._endpoints.record_limit(state, reply.named_limit, limit_known=progress.limit_known)
        try:
            if not reply.genuine:
                return self._drop_reply(progress, placed, "answer is not this request's")
            if reply.status >= 500 and placed.chain:
                self._look_at(progress, placed, silent=True)  # it may answer for one behind it
            failed = reply.status >= 500 and self._may_repeat(progress, progress.attempts)
            if failed and self._budget.spend(progress.service.name, now):
                ATTEMPTS.labels("failed").inc()
                progress.tried.add(state.endpoint.agent_id)
                progress.may_have_run = True
                await self._drain(reply)
                return None
            goes_on = reply.is_stream and reply.status < 300
            if progress.pump.begun and not goes_on:
                # A failure sent behind events of another engine would be bytes of no answer.
                reason = f"status {reply.status} behind a begun stream"
                return self._drop_reply(progress, placed, reason)
            if goes_on:
                return await self._relay_stream(progress, placed, reply, sink)
            return await self._relay_whole(progress, placed, reply, sink, started)
        finally:
            await reply.close(reusable=False)

    @staticmethod
    async def _keep(state: EndpointState, reply: Reply) -> None:
        """Leave the connection of a whole answer open for another request."""
        await reply.close(reusable=True)
        if not reply.leaving:
            state.note_kept(read_clock())

    async def _drain(self, reply: Reply) -> None:
        """Read a short answer to its end, so that its connection can be used again."""
        try:
            async with asyncio.timeout(_DRAIN_SECONDS):
                await reply.read_whole()
                await reply.close(reusable=True)
        except (ReplyBrokenError, TimeoutError):
            return

    def _drop_reply(
        self, progress: RequestProgress, placed: Placed, reason: str, *, silent: bool = False
    ) -> Outcome | None:
        ATTEMPTS.labels("broken").inc()
        note(
            _LOG,
            "answer dropped",
            request=progress.request.request_id,
            endpoint=progress.peer,
            reason=reason,
        )
        progress.tried.add(placed.state.endpoint.agent_id)
        self._look_at(progress, placed, silent=silent)
        return self._after_lost(progress, "read", reason)

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
                body = await reply.read_whole()
        except TimeoutError:
            self._look_at(progress, placed, silent=True)
            return Unknown("read", "deadline passed", progress.peer)
        except ReplyBrokenError as error:
            return self._drop_reply(progress, placed, f"answer broke off: {error}")
        await self._keep(state, reply)
        self._endpoints.record_success(state)
        if reply.status < 500:
            self._guard.record_success(progress.content)
        if progress.rule.kind is not RuleKind.STREAM:
            self._gate.record_work(progress.service.name, read_clock() - started)
        ATTEMPTS.labels("answered").inc()
        await sink.send_whole(reply.status, reply.headers, body)
        return Done(progress.peer)

    async def _relay_stream(
        self, progress: RequestProgress, placed: Placed, reply: Reply, sink: AnswerSink
    ) -> Outcome | None:
        state = placed.state
        first = not progress.pump.begun

        def note_begun() -> None:
            running = InProgress(running=1)
            state.change(running - progress.share)
            progress.share = running

        end = await pump_stream(
            reply,
            sink,
            progress.pump,
            first_limit=self._silence_limit(progress, progress.left),
            gap_aim=progress.rule.gap_aim,
            deadline=progress.deadline,
            resumable=self._may_repeat(progress, progress.attempts),
            on_begin=note_begun,
        )
        if first and progress.pump.begun:
            FIRST_SECONDS.observe(progress.pump.begun_at - progress.request.arrived)
            self._note_first_event(progress)
        if end is StreamEnd.COMPLETE:
            await self._keep(state, reply)
            self._endpoints.record_success(state)
            self._guard.record_success(progress.content)
            ATTEMPTS.labels("answered").inc()
            await sink.end()
            return Done(progress.peer)
        if end is StreamEnd.DEADLINE:
            self._look_at(progress, placed, silent=True)
            return Unknown("stream", "deadline passed", progress.peer)
        if end is StreamEnd.STALLED:
            self._endpoints.record_failure(state, read_clock())
        stalled = end is StreamEnd.STALLED
        return self._drop_reply(progress, placed, f"stream {end.value}", silent=stalled)

    def _note_first_event(self, progress: RequestProgress) -> None:
        """Learn from first attempts only; others were late before they were sent."""
        if not progress.spent and progress.attempts == 1:
            seconds = progress.pump.begun_at - progress.request.arrived
            in_time = seconds <= progress.rule.aim
            self._gate.record_first_event(progress.service.name, in_time=in_time)
