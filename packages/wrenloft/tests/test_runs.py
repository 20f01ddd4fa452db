"""Tests of attempts and outcomes, with scripted agents."""

import asyncio
from collections.abc import Sequence
from dataclasses import replace
from random import Random
from typing import Any, cast

import pytest
from aiohttp import ClientSession
from wrenloft._view import AgentEntry, View
from wrenloft.agents import AgentClient, Answer, Broken, Fate, Refused, Seen
from wrenloft.callers import KeyedRuns, Router, Sender
from wrenloft.callers._authentication import Caller
from wrenloft.callers._outbox import Head, Outbox
from wrenloft.callers._requests import CallerRequest
from wrenloft.nodes import OwnerClaims
from wrenloft.platform import ConfigurationStore, KeyValueClient

from wrenloft_core import (
    AgentId,
    KeyGrant,
    ModelName,
    NotRun,
    Organisation,
    OrganisationName,
    Priority,
    RequestId,
    Unknown,
    make_request_id,
)
from wrenloft_messages import messages
from wrenloft_policy import Ejections

Sent = Answer | Refused | Seen | Broken


class _Router:
    """Gives out runners in turn, then none."""

    def __init__(self, count: int) -> None:
        self._count = count
        self.ejections = Ejections()

    async def acquire(self, request: CallerRequest, excluded: frozenset[str]) -> Any:
        """Return the next runner."""
        if len(excluded) >= self._count:
            return NotRun("choose-runner", "no runner serves this now", retry_after=1.0)
        record = messages.AgentRecord(agent_id=f"agent-{len(excluded)}", http_address="x")
        return AgentEntry(record, 0.0, 0.0, 1)

    def release(self, request: CallerRequest, entry: AgentEntry, seconds: float | None) -> None:
        """Take a runner back."""


class _Client:
    """Answers from a script."""

    def __init__(self, sent: Sequence[Sent], fate: Fate) -> None:
        self._sent = list(sent)
        self._fate = fate
        self.sends = 0

    async def send(self, *_: object) -> Sent:
        """Return the next scripted result."""
        self.sends += 1
        return self._sent.pop(0)

    async def bury(self, *_: object) -> Fate:
        """Return the scripted fate."""
        return self._fate

    async def follow(self, *_: object) -> Fate:
        """Know nothing."""
        return Fate.UNREACHABLE

    async def cancel(self, *_: object) -> None:
        """Do nothing."""


def _build_request(*, idempotent: bool) -> CallerRequest:
    grant = KeyGrant("0" * 64, [Priority.INTERACTIVE])
    return CallerRequest(
        request_id=make_request_id(),
        caller=Caller(OrganisationName("liptov"), Organisation([grant]), grant),
        target=ModelName("majster-llm"),
        selector=None,
        method="POST",
        path="/v1/chat/completions",
        content_type="application/json",
        body=b"{}",
        priority=Priority.INTERACTIVE,
        idempotent=idempotent,
        key="",
        deadline=asyncio.get_running_loop().time() + 30,
        prefix=None,
    )


async def _run(
    sent: Sequence[Sent], fate: Fate, *, idempotent: bool, runners: int
) -> tuple[Head | NotRun | Unknown, int]:
    client = _Client(sent, fate)
    async with ClientSession() as session:
        store = ConfigurationStore(KeyValueClient(session, ["unused"]))
        sender = Sender(cast(Router, _Router(runners)), cast(AgentClient, client), store, Random(1))
        outbox = Outbox()
        await sender.run(_build_request(idempotent=idempotent), outbox)
    return outbox.head.result(), client.sends


class TestRun:
    """Tests for ``Sender.run``."""

    @pytest.mark.parametrize("fate", [Fate.UNREACHABLE, Fate.GONE, Fate.STARTED])
    async def test_says_unknown_when_an_attempt_may_have_run(self, fate: Fate) -> None:
        """A report's connection breaks, its agent can't tell, and no other runner is left.

        The report may be repeated, but it may also have run; 'not run' would be a guess.
        """
        outcome, sends = await _run([Broken("reset")], fate, idempotent=True, runners=1)
        assert isinstance(outcome, Unknown)
        assert sends == 1

    async def test_stays_unknown_when_a_later_attempt_is_refused(self) -> None:
        """The first attempt's fate is unknown; the second is refused with proof.

        The proof is for the second attempt only, so the request as a whole may have run.
        """
        sent = [Broken("reset"), Refused("leaving")]
        outcome, sends = await _run(sent, Fate.UNREACHABLE, idempotent=True, runners=2)
        assert isinstance(outcome, Unknown)
        assert sends == 2

    async def test_says_not_run_when_every_attempt_was_refused(self) -> None:
        """Each agent proves that nothing started, so the request was not run."""
        sent = [Refused("leaving"), Refused("leaving")]
        outcome, _ = await _run(sent, Fate.NOT_RUN, idempotent=False, runners=2)
        assert isinstance(outcome, NotRun)

    async def test_never_sends_again_what_may_have_run(self) -> None:
        """A note's connection breaks and its agent can't tell: there is no second attempt."""
        outcome, sends = await _run([Broken("reset")], Fate.GONE, idempotent=False, runners=3)
        assert isinstance(outcome, Unknown)
        assert sends == 1

    async def test_sends_a_note_again_when_the_agent_buried_it(self) -> None:
        """The connection broke before the note arrived, and the agent has made sure of it."""
        sent = [Broken("reset"), Refused("leaving")]
        outcome, sends = await _run(sent, Fate.NOT_RUN, idempotent=False, runners=2)
        assert isinstance(outcome, NotRun)
        assert sends == 2


class _Agent:
    """A client whose agent is reset some times before it gives the answer of a run."""

    def __init__(self, resets: int, fates: Sequence[Fate] = (), last: Any = None) -> None:
        self.answer = Answer(cast(Any, None), AgentId("agent-0"), "x", RequestId("r"))
        self._resets = resets
        self._fates = list(fates)
        self._last = last or self.answer
        self.follows = 0

    async def bury(self, *_: object) -> Fate:
        """Return the next scripted fate; the run has started in the end."""
        return self._fates.pop(0) if self._fates else Fate.STARTED

    async def follow(self, *_: object) -> Any:
        """Return the answer once the resets are over."""
        self.follows += 1
        return Fate.UNREACHABLE if self.follows <= self._resets else self._last


async def _settle(agent: _Agent, request: CallerRequest) -> Answer | NotRun | Unknown:
    async with ClientSession() as session:
        store = ConfigurationStore(KeyValueClient(session, ["unused"]))
        router = _Router(1)
        sender = Sender(cast(Router, router), cast(AgentClient, agent), store, Random(1))
        entry = await router.acquire(request, frozenset())
        return await sender.settle_fate(request, entry, RequestId("r"), Broken("reset"))


class TestSettleFate:
    """Tests for ``Sender.settle_fate``."""

    @pytest.mark.parametrize("idempotent", [False, True])
    async def test_asks_again_for_the_answer_of_a_run_that_started(self, idempotent: bool) -> None:
        """Guards against calling a run unknown because of a reset while its answer is asked for."""
        agent = _Agent(resets=5)
        assert await _settle(agent, _build_request(idempotent=idempotent)) is agent.answer

    @pytest.mark.parametrize("fate", [Fate.STARTED, Fate.NOT_RUN])
    async def test_asks_again_what_became_of_a_request(self, fate: Fate) -> None:
        """Guards against calling a request unknown because its agent is silent for a moment."""
        agent = _Agent(resets=0, fates=[*[Fate.UNREACHABLE] * 3, fate])
        settled = await _settle(agent, _build_request(idempotent=False))
        if fate is Fate.STARTED:
            assert settled is agent.answer
        else:
            assert isinstance(settled, NotRun)

    async def test_gives_up_at_the_deadline(self) -> None:
        """Guards against asking without end for the answer of an agent that stays away."""
        agent = _Agent(resets=1_000_000)
        request = replace(
            _build_request(idempotent=False), deadline=asyncio.get_running_loop().time() + 0.5
        )
        async with asyncio.timeout(20):
            assert isinstance(await _settle(agent, request), Unknown)
        assert agent.follows > 1

    async def test_lets_a_repeatable_request_go_elsewhere(self) -> None:
        """Guards against holding a repeatable request at an agent that stays away."""
        agent = _Agent(resets=1_000_000)
        request = replace(
            _build_request(idempotent=True), deadline=asyncio.get_running_loop().time() + 1000
        )
        async with asyncio.timeout(100):
            assert isinstance(await _settle(agent, request), Unknown)

    @pytest.mark.parametrize("last", [Fate.GONE, Fate.NOT_RUN, Broken("outcome unknown")])
    async def test_ends_when_the_agent_has_no_answer(self, last: Fate | Broken) -> None:
        """Guards against asking on for an answer that the agent has not or took with it."""
        agent = _Agent(resets=1, last=last)
        assert isinstance(await _settle(agent, _build_request(idempotent=False)), Unknown)
        assert agent.follows == 2

    async def test_ends_when_the_caller_leaves(self) -> None:
        """Guards against asking on for an answer that nobody waits for."""
        agent = _Agent(resets=1_000_000)
        settling = asyncio.create_task(_settle(agent, _build_request(idempotent=False)))
        while agent.follows < 2 and not settling.done():
            await asyncio.sleep(0.01)
        settling.cancel()
        with pytest.raises(asyncio.CancelledError):
            await settling
        seen = agent.follows
        await asyncio.sleep(0.5)
        assert agent.follows == seen


class _Claims:
    """An owner that knows of an attempt in progress at the first agent."""

    async def claim(self, _: messages.ClaimRequest) -> messages.ClaimReply:
        """Name the attempt."""
        return messages.ClaimReply(
            verdict=messages.CLAIM_IN_FLIGHT, request_id="r", agent_id="agent-0"
        )

    async def settle(self, _: messages.SettleRequest) -> bool:
        """Keep any answer."""
        return True


class TestJoin:
    """Tests for ``KeyedRuns.run`` when another request with the key is in progress."""

    @pytest.mark.parametrize("seconds", [100.0, 0.5])
    async def test_asks_again_until_the_deadline(self, seconds: float) -> None:
        """Guards against giving up another request's answer because of a reset."""
        agent = _Agent(resets=3 if seconds > 1 else 1_000_000, last=Broken("outcome unknown"))
        request = replace(
            _build_request(idempotent=False),
            key="k",
            deadline=asyncio.get_running_loop().time() + seconds,
        )
        view = View(100.0, 100.0)
        view.merge_record(messages.AgentRecord(agent_id="agent-0", sequence=1), 0.0)
        async with ClientSession() as session:
            store = ConfigurationStore(KeyValueClient(session, ["unused"]))
            router, client = cast(Router, _Router(1)), cast(AgentClient, agent)
            sender = Sender(router, client, store, Random(1))
            claims = cast(OwnerClaims, _Claims())
            keyed = KeyedRuns(router, sender, client, claims, view, store, Random(1))
            outbox = Outbox()
            async with asyncio.timeout(50):
                await keyed.run(request, outbox)
            await keyed.finish()
        assert isinstance(outbox.head.result(), Unknown)
        assert agent.follows == 4 if seconds > 1 else agent.follows > 1
