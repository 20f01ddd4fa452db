"""Requests with an idempotency key: claimed, run at most once, answered the same each time."""

import asyncio
import logging
from random import Random

from aiohttp import ClientError

from wrenloft._view import AgentEntry, View
from wrenloft.agents import AgentClient, Answer, Broken, Fate, Refused, Seen
from wrenloft.callers._outbox import Head, Outbox
from wrenloft.callers._requests import CallerRequest
from wrenloft.callers._router import Router
from wrenloft.callers._runs import Sender, describe_head
from wrenloft.nodes import OwnerClaims
from wrenloft.platform import ConfigurationStore
from wrenloft_core import AgentId, NotRun, RequestId, Unknown
from wrenloft_messages import messages

_LOG = logging.getLogger(__name__)
_OWNER_SECONDS = 2.0
_OWNER_PAUSE = 0.1
_START_SECONDS = 1.0
_START_PAUSE = 0.1
_RETRY_AFTER = 1.0
_MAX_CLAIMS = 8
_SETTLE_TRIES = 5
_SETTLE_PAUSE = 0.5
_CONFLICT_STATUS = 422
_OVERSIZE_STATUS = 410


class KeyedRuns:
    """Brings keyed requests to their outcome."""

    def __init__(
        self,
        router: Router,
        sender: Sender,
        client: AgentClient,
        claims: OwnerClaims,
        view: View,
        configurations: ConfigurationStore,
        random: Random,
    ) -> None:
        self._router = router
        self._sender = sender
        self._client = client
        self._claims = claims
        self._view = view
        self._configurations = configurations
        self._random = random
        self._settling: set[asyncio.Task[None]] = set()

    async def finish(self) -> None:
        """Wait until every answer has been handed to its owner."""
        await asyncio.gather(*self._settling, return_exceptions=True)

    async def run(self, request: CallerRequest, outbox: Outbox) -> None:
        """Bring a request to its outcome."""
        self._sender.count_first(request)
        refuted = ""
        excluded: frozenset[AgentId] = frozenset()
        attempts = 1
        for number in range(1, _MAX_CLAIMS + 1):
            entry = await self._router.acquire(request, excluded)
            if isinstance(entry, NotRun):
                self._free_key(request, refuted)
                outbox.begin(entry)
                return
            attempt_id = RequestId(f"{request.request_id}.{number}")
            started = asyncio.get_running_loop().time()
            seconds: float | None = None
            try:
                failed = await self._attempt(request, entry, attempt_id, refuted, attempts, outbox)
                seconds = asyncio.get_running_loop().time() - started
            finally:
                self._router.release(request, entry, seconds)
            if failed is None:
                return
            refuted = failed
            if failed != attempt_id:
                # Another request's attempt was buried; this one has not sent anything yet, so
                # it is no retry. Counted as one, a spent budget would refuse the key for ever.
                continue
            excluded |= {entry.agent_id}
            if not self._sender.may_retry(request, attempts):
                break
            await self._sender.back_off(attempts)
            attempts += 1
        self._free_key(request, refuted)
        outbox.begin(NotRun("send", "no attempt started", retry_after=_RETRY_AFTER))

    def _free_key(self, request: CallerRequest, refuted: str) -> None:
        """Have the record of an attempt that never started taken away.

        Left there, it would name an agent that may be gone by the time the key is used again;
        nobody could then repeat the proof, and the key would be answered 'unknown' for good.
        """
        if refuted:
            self._settle_soon(request, refuted, messages.StoredAnswer(not_run=True))

    async def _attempt(
        self,
        request: CallerRequest,
        entry: AgentEntry,
        attempt_id: RequestId,
        refuted: str,
        attempts: int,
        outbox: Outbox,
    ) -> str | None:
        """Claim and send once.

        :returns: the id of an attempt proved not to have started, or ``None`` at an outcome.
        """
        reply = await self._claim(request, entry, attempt_id, refuted)
        if reply.verdict == messages.CLAIM_GRANTED:
            return await self._send(request, entry, attempt_id, attempts, outbox)
        if reply.verdict == messages.CLAIM_IN_FLIGHT:
            return await self._join(request, reply, attempts, outbox)
        if reply.verdict == messages.CLAIM_SETTLED:
            await self._repeat(reply.answer, outbox)
        elif reply.verdict == messages.CLAIM_CONFLICT:
            reason = "this key was used with another request"
            outbox.begin(NotRun("claim", reason, status=_CONFLICT_STATUS))
        else:
            # Never sent to any agent, so this is proof; holding it back would help nobody.
            reason = "the claim could not be written"
            spread = self._configurations.current.fleet.spread_seconds
            delay = _RETRY_AFTER + self._random.uniform(0.0, spread)
            outbox.begin(NotRun("claim", reason, retry_after=delay))
        return None

    async def _claim(
        self, request: CallerRequest, entry: AgentEntry, attempt_id: RequestId, refuted: str
    ) -> messages.ClaimReply:
        """Ask the shard's owner, again for a while if the shard is changing hands."""
        loop = asyncio.get_running_loop()
        until = min(request.deadline, loop.time() + _OWNER_SECONDS)
        while True:
            reply = await self._claims.claim(
                messages.ClaimRequest(
                    organisation=request.caller.name,
                    key=request.key,
                    body_digest=request.body_digest,
                    request_id=attempt_id,
                    agent_id=entry.agent_id,
                    refuted_request_id=refuted,
                )
            )
            if reply.verdict != messages.CLAIM_NOT_OWNER or loop.time() >= until:
                return reply
            await asyncio.sleep(_OWNER_PAUSE)

    async def _send(
        self,
        request: CallerRequest,
        entry: AgentEntry,
        attempt_id: RequestId,
        attempts: int,
        outbox: Outbox,
    ) -> str | None:
        result = await self._sender.send(request, entry, attempt_id)
        if isinstance(result, Broken | Seen):
            settled = await self._sender.settle_fate(request, entry, attempt_id, result)
            if isinstance(settled, Unknown):
                await self._give_up(request, entry, attempt_id, settled, outbox)
                return None
            if isinstance(settled, NotRun):
                return attempt_id
            result = settled
        if isinstance(result, Refused):
            return attempt_id
        assert isinstance(result, Answer)
        await self._pass_on(request, result, attempts, outbox)
        return None

    async def _pass_on(
        self, request: CallerRequest, answer: Answer, attempts: int, outbox: Outbox
    ) -> None:
        """Pass an answer on as it comes, and have it kept once it is whole."""
        limit = self._configurations.current.fleet.answer_bytes
        body = bytearray()
        outbox.begin(describe_head(answer, attempts))
        try:
            async for piece in self._client.read(answer, request.deadline):
                if len(body) <= limit:
                    body += piece
                await outbox.put(piece)
        except ClientError as error:
            _LOG.warning("answer of %s broke off: %s", answer.request_id, error)
            outbox.end(broken=True)
            return
        outbox.end()
        oversize = len(body) > limit
        stored = messages.StoredAnswer(
            status=answer.status,
            content_type=answer.content_type,
            body=b"" if oversize else bytes(body),
            oversize=oversize,
        )
        self._settle_soon(request, answer.request_id, stored)

    async def _join(
        self, request: CallerRequest, reply: messages.ClaimReply, attempts: int, outbox: Outbox
    ) -> str | None:
        """Get the answer of an attempt that another request with this key began."""
        attempt_id, agent_id = RequestId(reply.request_id), AgentId(reply.agent_id)
        entry = self._view.agents.get(agent_id)
        if entry is None:
            reason = "the agent that may have run it is not known any more"
            outbox.begin(Unknown("join", reason, agent_id))
            return None
        result = await self._follow(request, entry, attempt_id)
        if isinstance(result, Answer):
            await self._pass_on(request, result, attempts, outbox)
            return None
        if isinstance(result, Refused) or result is Fate.NOT_RUN:
            return attempt_id
        gone = result is Fate.GONE or isinstance(result, Broken)
        outcome = Unknown("join", "the agent can't tell", agent_id)
        if gone:
            await self._give_up(request, entry, attempt_id, outcome, outbox)
        else:
            outbox.begin(outcome)
        return None

    async def _follow(
        self, request: CallerRequest, entry: AgentEntry, attempt_id: RequestId
    ) -> Answer | Refused | Broken | Fate:
        """Follow an attempt, again until the deadline while its agent does not reply.

        One that has not arrived after a while is made never to start. The node that was granted
        it may have died or may be paused before sending it. If it wakes later, the agent refuses
        the copy.
        """
        loop = asyncio.get_running_loop()
        address = entry.record.http_address
        patience = loop.time() + _START_SECONDS
        while True:
            seconds = max(1.0, request.deadline - loop.time())
            result = await self._client.follow(entry.agent_id, address, attempt_id, 0, seconds)
            silent = result is Fate.UNREACHABLE
            if result is Fate.NOT_RUN and loop.time() >= patience:
                fate = await self._client.bury(entry.agent_id, address, attempt_id)
                silent = fate is Fate.UNREACHABLE
                if not silent and fate not in (Fate.STARTED, Fate.DONE):
                    return fate
            elif not silent and result is not Fate.NOT_RUN:
                return result
            if silent and loop.time() >= request.deadline:
                return Fate.UNREACHABLE
            await asyncio.sleep(_START_PAUSE)

    async def _give_up(
        self,
        request: CallerRequest,
        entry: AgentEntry,
        attempt_id: RequestId,
        outcome: Unknown,
        outbox: Outbox,
    ) -> None:
        """Answer 'unknown' and, if the agent is gone for good, have that kept."""
        outbox.begin(outcome)
        fate = await self._client.bury(entry.agent_id, entry.record.http_address, attempt_id)
        if fate in (Fate.GONE, Fate.UNKNOWN):
            self._settle_soon(request, attempt_id, messages.StoredAnswer(unknown=True))

    async def _repeat(self, answer: messages.StoredAnswer, outbox: Outbox) -> None:
        if answer.unknown:
            outbox.begin(Unknown("claim", "it may have run, and nobody is left who could tell"))
            return
        if answer.oversize:
            body = b"it ran, and its answer was too large to be kept\n"
            outbox.begin(Head(_OVERSIZE_STATUS, "text/plain", 0, "", size=len(body)))
        else:
            body = answer.body
            outbox.begin(Head(answer.status, answer.content_type, 0, "", size=len(body)))
        await outbox.put(body)
        outbox.end()

    def _settle_soon(
        self, request: CallerRequest, attempt_id: str, answer: messages.StoredAnswer
    ) -> None:
        """Have an answer kept, without holding it back from the caller meanwhile."""
        task = asyncio.create_task(self._settle(request, attempt_id, answer))
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    async def _settle(
        self, request: CallerRequest, attempt_id: str, answer: messages.StoredAnswer
    ) -> None:
        message = messages.SettleRequest(
            organisation=request.caller.name,
            key=request.key,
            request_id=attempt_id,
            answer=answer,
        )
        for attempt in range(_SETTLE_TRIES):
            if await self._claims.settle(message):
                return
            await asyncio.sleep(_SETTLE_PAUSE * attempt)
        _LOG.warning("answer of %s not kept; its agent still has it", attempt_id)
