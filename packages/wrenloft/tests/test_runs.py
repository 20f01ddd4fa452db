"""Tests of attempts and outcomes, with scripted agents."""

import asyncio
from collections.abc import Sequence
from random import Random
from typing import Any, cast

import pytest
from aiohttp import ClientSession
from wrenloft._view import AgentEntry
from wrenloft.agents import AgentClient, Answer, Broken, Fate, Refused, Seen
from wrenloft.callers import Router, Sender
from wrenloft.callers._authentication import Caller
from wrenloft.callers._outbox import Head, Outbox
from wrenloft.callers._requests import CallerRequest
from wrenloft.platform import ConfigurationStore, KeyValueClient

from wrenloft_core import (
    KeyGrant,
    ModelName,
    NotRun,
    Organisation,
    OrganisationName,
    Priority,
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
