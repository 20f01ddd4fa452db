"""Tests of the queue for runners."""

import asyncio
from collections.abc import Sequence
from random import Random

import pytest
from aiohttp import ClientSession
from wrenloft._view import AgentEntry, View
from wrenloft.callers import Router
from wrenloft.callers._authentication import Caller
from wrenloft.callers._requests import CallerRequest
from wrenloft.platform import ConfigurationStore, KeyValueClient

from wrenloft_core import (
    AgentId,
    KeyGrant,
    ModelName,
    NodeId,
    NotRun,
    Organisation,
    OrganisationName,
    PlaceName,
    Priority,
    RegionName,
    make_request_id,
)
from wrenloft_messages import messages
from wrenloft_policy import RunnerCandidate, RunnerChoice, choose_runner

_MODEL = ModelName("majster-llm")
_AGENT = AgentId("agent-0")


def _build_request() -> CallerRequest:
    grant = KeyGrant("0" * 64, [Priority.INTERACTIVE])
    return CallerRequest(
        request_id=make_request_id(),
        caller=Caller(OrganisationName("liptov"), Organisation([grant]), grant),
        target=_MODEL,
        selector=None,
        method="POST",
        path="/v1/chat/completions",
        content_type="application/json",
        body=b"{}",
        priority=Priority.INTERACTIVE,
        idempotent=True,
        key="",
        deadline=asyncio.get_running_loop().time() + 100,
        prefix=None,
    )


class _Choice:
    """Chooses runners as usual, and ends a wait just before its request gets its turn."""

    def __init__(self) -> None:
        self.ending: asyncio.Timeout | None = None

    def choose(
        self,
        candidates: Sequence[RunnerCandidate],
        place: PlaceName,
        region: RegionName,
        random: Random,
    ) -> RunnerChoice | None:
        """Choose a runner."""
        chosen = choose_runner(candidates, place, region, random)
        if chosen is not None and self.ending is not None:
            self.ending.reschedule(asyncio.get_running_loop().time())
            self.ending = None
        return chosen


class TestAcquire:
    """Tests for ``Router.acquire`` with one runner, which has room for one request."""

    async def _open(self, session: ClientSession) -> tuple[Router, View, _Choice]:
        now = asyncio.get_running_loop().time()
        view = View(100.0, 100.0)
        served = [messages.ServedVersion(model=_MODEL, version="v1")]
        record = messages.AgentRecord(
            agent_id=_AGENT, capacity=1, phase=messages.PHASE_READY, sequence=1, served=served
        )
        view.merge_record(record, now)
        store = ConfigurationStore(KeyValueClient(session, ["unused"]))
        choice = _Choice()
        router = Router(
            view,
            store,
            NodeId("node"),
            PlaceName(""),
            RegionName(""),
            Random(1),
            choice.choose,
        )
        return router, view, choice

    async def test_keeps_a_runner_whose_request_leaves_as_it_comes_free(self) -> None:
        """Guards against counting a runner as taken by a request that has stopped waiting."""
        async with ClientSession() as session:
            router, view, _ = await self._open(session)
            request = _build_request()
            entry = await router.acquire(request, frozenset())
            assert isinstance(entry, AgentEntry)
            waiting = asyncio.create_task(router.acquire(_build_request(), frozenset()))
            for _ in range(10):
                await asyncio.sleep(0)
            router.release(request, entry, None)
            waiting.cancel()
            with pytest.raises(asyncio.CancelledError):
                await waiting
            await asyncio.sleep(0)
            assert view.agents[_AGENT].own == 0
            assert isinstance(await router.acquire(_build_request(), frozenset()), AgentEntry)

    async def test_keeps_a_runner_that_comes_with_the_deadline(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against losing a runner whose turn comes in the moment of the timeout."""
        timeouts: list[asyncio.Timeout] = []
        build = asyncio.timeout

        def keep(delay: float | None) -> asyncio.Timeout:
            timeouts.append(build(delay))
            return timeouts[-1]

        async with ClientSession() as session:
            router, view, choice = await self._open(session)
            request = _build_request()
            entry = await router.acquire(request, frozenset())
            assert isinstance(entry, AgentEntry)
            monkeypatch.setattr(asyncio, "timeout", keep)
            waiting = asyncio.create_task(router.acquire(_build_request(), frozenset()))
            for _ in range(10):
                await asyncio.sleep(0)
            choice.ending = timeouts[0]
            router.release(request, entry, None)
            assert isinstance(await waiting, NotRun)
            assert view.agents[_AGENT].own == 0
            assert isinstance(await router.acquire(_build_request(), frozenset()), AgentEntry)
