"""Attempts at a request without a key, until it has an outcome."""

import asyncio
import logging
from random import Random

from aiohttp import ClientError
from prometheus_client import Counter

from wrenloft._view import AgentEntry
from wrenloft.agents import AgentClient, Answer, Broken, Fate, Refused, Seen
from wrenloft.callers._outbox import Head, Outbox
from wrenloft.callers._requests import CallerRequest
from wrenloft.callers._router import Router
from wrenloft.platform import ConfigurationStore
from wrenloft_core import AgentId, Header, NotRun, Priority, RequestId, Unknown
from wrenloft_policy import RetryBudget, pick_backoff

_LOG = logging.getLogger(__name__)
_MAX_ATTEMPTS = 4
_RETRY_AFTER = 1.0
_AWAY_SECONDS = 4.0
_ASK_PAUSE = 0.1

_ATTEMPTS = Counter("wrenloft_attempts", "Attempts sent to agents", ["priority"])


class Sender:
    """Sends a request to agents, again only where that is allowed."""

    def __init__(
        self,
        router: Router,
        client: AgentClient,
        configurations: ConfigurationStore,
        random: Random,
    ) -> None:
        self._router = router
        self._client = client
        self._configurations = configurations
        self._random = random
        self._budgets: dict[str, RetryBudget] = {}

    def may_retry(self, request: CallerRequest, attempts: int) -> bool:
        """Tell whether another attempt is within the budget; alarms always are."""
        now = asyncio.get_running_loop().time()
        if attempts >= _MAX_ATTEMPTS or now >= request.deadline:
            return False
        if request.priority is Priority.ALARM:
            return True
        return self._budget(request).withdraw(now)

    def count_first(self, request: CallerRequest) -> None:
        """Count a first attempt towards the budget."""
        self._budget(request).deposit()

    async def back_off(self, attempts: int) -> None:
        """Wait before another attempt."""
        await asyncio.sleep(pick_backoff(attempts, self._random))

    async def send(
        self, request: CallerRequest, entry: AgentEntry, attempt_id: RequestId
    ) -> Answer | Refused | Seen | Broken:
        """Send one attempt."""
        _ATTEMPTS.labels(request.priority).inc()
        now = asyncio.get_running_loop().time()
        result = await self._client.send(
            entry.agent_id,
            entry.record.http_address,
            attempt_id,
            request.method,
            request.path,
            self._build_headers(request),
            request.body,
            max(0.01, request.deadline - now),
        )
        self._record(entry, result)
        return result

    async def run(self, request: CallerRequest, outbox: Outbox) -> None:
        """Bring a request to its outcome.

        Once an attempt's fate is unknown, a later one's refusal proves nothing for the request
        as a whole; said to be not run, it might be sent again by hand and run twice.
        """
        self.count_first(request)
        excluded: set[AgentId] = set()
        doubt: Unknown | None = None
        for attempts in range(1, _MAX_ATTEMPTS + 1):
            entry = await self._router.acquire(request, frozenset(excluded))
            if isinstance(entry, NotRun):
                outbox.begin(doubt or entry)
                return
            started = asyncio.get_running_loop().time()
            seconds: float | None = None
            try:
                failure = await self._attempt(request, entry, attempts, outbox)
                seconds = asyncio.get_running_loop().time() - started
            finally:
                self._router.release(request, entry, seconds)
            if failure is None:
                return
            excluded.add(entry.agent_id)
            if isinstance(failure, Unknown):
                doubt = failure
            repeatable = doubt is None or request.idempotent
            if not repeatable or not self.may_retry(request, attempts):
                outbox.begin(doubt or failure)
                return
            await self.back_off(attempts)

    async def _attempt(
        self, request: CallerRequest, entry: AgentEntry, attempts: int, outbox: Outbox
    ) -> NotRun | Unknown | None:
        """Make one attempt; return why another is needed, or ``None`` if there is an outcome."""
        attempt_id = RequestId(f"{request.request_id}.{attempts}")
        try:
            result = await self.send(request, entry, attempt_id)
            if isinstance(result, Refused):
                return NotRun("send", result.reason, retry_after=_RETRY_AFTER)
            if isinstance(result, Broken | Seen):
                settled = await self.settle_fate(request, entry, attempt_id, result)
                if not isinstance(settled, Answer):
                    return settled
                result = settled
            return await self._pass_on(request, result, attempts, outbox)
        except asyncio.CancelledError:
            if request.idempotent:
                await asyncio.shield(self._client.cancel(entry.record.http_address, attempt_id))
            raise

    async def settle_fate(
        self,
        request: CallerRequest,
        entry: AgentEntry,
        attempt_id: RequestId,
        failure: Broken | Seen,
    ) -> Answer | NotRun | Unknown:
        """Learn from the agent what became of an attempt whose answer was lost.

        Sending it elsewhere instead would run it a second time; calling it not run would be a
        guess. The agent either has the answer, or makes sure that the request never starts.
        """
        reason = failure.reason if isinstance(failure, Broken) else "seen before"
        fate = await self._ask_for_fate(request, entry, attempt_id)
        if fate is Fate.NOT_RUN:
            return NotRun("send", reason, entry.agent_id, retry_after=_RETRY_AFTER)
        if fate in (Fate.STARTED, Fate.DONE):
            answer = await self._ask_for_answer(request, entry, attempt_id)
            if isinstance(answer, Answer):
                return answer
        return Unknown("send", f"{reason}; agent says {fate.value}", entry.agent_id)

    async def _ask_for_fate(
        self, request: CallerRequest, entry: AgentEntry, attempt_id: RequestId
    ) -> Fate:
        """Ask whether an attempt started, again while the agent does not reply.

        Only what may not be sent elsewhere depends on the reply.
        """
        loop = asyncio.get_running_loop()
        while True:
            fate = await self._client.bury(entry.agent_id, entry.record.http_address, attempt_id)
            if fate is not Fate.UNREACHABLE or _may_go_elsewhere(request):
                return fate
            if loop.time() >= request.deadline:
                return fate
            await asyncio.sleep(_ASK_PAUSE)

    async def _ask_for_answer(
        self, request: CallerRequest, entry: AgentEntry, attempt_id: RequestId
    ) -> Answer | Refused | Broken | Fate:
        """Ask for the answer of a run that started, again while the agent does not reply.

        A request that may be sent elsewhere is not held back for the whole time by an agent that
        stays away.
        """
        loop = asyncio.get_running_loop()
        elsewhere = _may_go_elsewhere(request)
        until = 0.0
        while True:
            seconds = max(1.0, request.deadline - loop.time())
            answer = await self._client.follow(
                entry.agent_id, entry.record.http_address, attempt_id, 0, seconds
            )
            if answer is not Fate.UNREACHABLE:
                return answer
            now = loop.time()
            if not until:
                until = (
                    min(request.deadline, now + _AWAY_SECONDS) if elsewhere else request.deadline
                )
            if now >= until:
                return answer
            await asyncio.sleep(_ASK_PAUSE)

    async def _pass_on(
        self, request: CallerRequest, answer: Answer, attempts: int, outbox: Outbox
    ) -> NotRun | Unknown | None:
        passed = False
        try:
            async for piece in self._client.read(answer, request.deadline):
                if not passed:
                    outbox.begin(describe_head(answer, attempts))
                    passed = True
                await outbox.put(piece)
        except ClientError as error:
            if not passed:
                return Unknown("read-answer", str(error), answer.agent_id)
            # Another run's words can't be joined to these: the caller sees the stream break.
            outbox.end(broken=True)
            return None
        outbox.begin(describe_head(answer, attempts))
        outbox.end()
        return None

    def _budget(self, request: CallerRequest) -> RetryBudget:
        name = request.caller.name
        if name not in self._budgets:
            self._budgets[name] = RetryBudget(asyncio.get_running_loop().time())
        return self._budgets[name]

    def _record(self, entry: AgentEntry, result: Answer | Refused | Seen | Broken) -> None:
        now = asyncio.get_running_loop().time()
        if isinstance(result, Answer):
            self._router.ejections.record_success(entry.agent_id)
        elif isinstance(result, Broken) or _is_unreached(result):
            self._router.ejections.record_failure(entry.agent_id, now)

    def _build_headers(self, request: CallerRequest) -> dict[str, str]:
        return {
            Header.MODEL: request.target,
            Header.PRIORITY: request.priority,
            Header.IDEMPOTENT: "true" if request.idempotent else "false",
            Header.ORGANISATION: request.caller.name,
            Header.REVISION: str(self._configurations.revision),
            "Content-Type": request.content_type,
        }


def describe_head(answer: Answer, attempts: int) -> Head:
    """Return the head of an answer as the caller is to get it."""
    return Head(
        status=answer.status,
        content_type=answer.content_type,
        attempts=attempts,
        agent=answer.agent_id,
        version=answer.response.headers.get(Header.VERSION, ""),
        size=answer.response.content_length,
    )


def _may_go_elsewhere(request: CallerRequest) -> bool:
    """Tell whether an attempt of unknown fate may be followed by another one."""
    return request.idempotent and not request.key


def _is_unreached(result: Answer | Refused | Seen | Broken) -> bool:
    return isinstance(result, Refused) and result.reason.startswith("never sent")
