"""Tests of the routes by which entry nodes ask what became of a request."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from aiohttp import ClientError, ClientSession, web
from wrenloft_agent._runs import Run, Runs, RunState
from wrenloft_agent._sessions import open_session
from wrenloft_agent.nodes import RequestRoutes, Rules
from wrenloft_agent.runner import Gate, RunnerCalls

from wrenloft_core import AgentId, Header, Pacer, RequestId

_ID = RequestId("request.1")


async def _run_on() -> None:
    await asyncio.Event().wait()


@asynccontextmanager
async def _open_agent() -> AsyncIterator[tuple[ClientSession, str, Run]]:
    """Serve the routes of an agent on which one idempotent run has given five bytes."""
    runs = Runs(60.0)
    run = runs.open(_ID, idempotent=True)
    assert run is not None
    run.state = RunState.STARTED
    run.head(200, "text/event-stream")
    run.add(b"01234")
    async with open_session() as session:
        calls = RunnerCalls(session, "127.0.0.1:9", echoes_id=True, resumable=True)
        routes = RequestRoutes(
            AgentId("agent"), runs, Gate(1, 1), calls, Pacer(1e9), Rules, lambda model: "v1"
        )
        app = web.Application()
        app.add_routes(routes.routes())
        runner = web.AppRunner(app)
        await runner.setup()
        try:
            await web.TCPSite(runner, "127.0.0.1", 0).start()
            yield session, f"http://127.0.0.1:{runner.addresses[0][1]}/runs/{_ID}", run
        finally:
            await runner.cleanup()


class TestFollow:
    """Tests for the route that answers for a request seen before."""

    async def test_says_that_a_broken_answer_has_no_more(self) -> None:
        """Guards against leaving a node to ask again for what will never come."""
        async with _open_agent() as (session, url, run):
            run.end(RunState.UNKNOWN, "stream could not be resumed")
            with pytest.raises(ClientError):
                async with session.get(url, params={"offset": 2}) as response:
                    await response.read()
            async with session.get(url, params={"offset": 5}) as response:
                assert response.status == 502
                assert response.headers[Header.OUTCOME] == "unknown"

    async def test_keeps_a_run_whose_node_is_silent_for_a_moment(self) -> None:
        """Guards against cancelling a run before a node that was silent can come back for it."""
        async with _open_agent() as (session, url, run):
            run.task = asyncio.create_task(_run_on())
            async with session.get(url) as response:
                assert await response.content.readexactly(5) == b"01234"
                response.close()
            while run.readers:
                run.add(b".")
                await asyncio.sleep(0.01)
            await asyncio.sleep(3.5)
            assert not run.task.cancelling()
            run.end(RunState.DONE)
            async with session.get(url) as response:
                assert await response.read() == run.body
            run.task.cancel()

    async def test_cancels_a_run_that_no_node_comes_back_for(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against running on for nobody when a node ends without a word."""
        monkeypatch.setattr("wrenloft_agent.nodes._requests._ORPHAN_SECONDS", 0.1)
        async with _open_agent() as (session, url, run):
            run.task = asyncio.create_task(_run_on())
            async with session.get(url) as response:
                await response.content.readexactly(5)
                response.close()
            while run.readers:
                run.add(b".")
                await asyncio.sleep(0.01)
            async with asyncio.timeout(20):
                await asyncio.wait([run.task])
            assert run.task.cancelled()
