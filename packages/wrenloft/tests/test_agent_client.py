"""Tests of requests to agents, with agents that are reset or silent."""

import asyncio
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest
from aiohttp import ClientError, ClientSession, web
from wrenloft.agents import AgentClient, Answer

from wrenloft_core import AgentId, Header, RequestId

_ID = RequestId("request.1")
_AGENT = AgentId("agent")
_BODY = b"0123456789"
_HEADERS = {Header.OUTCOME: "started", Header.REQUEST_ID: _ID}

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


async def _break_off(request: web.Request, body: bytes = _BODY[:5]) -> web.StreamResponse:
    """Send the beginning of an answer and reset the connection."""
    response = web.StreamResponse(headers=_HEADERS)
    await response.prepare(request)
    await response.write(body)
    await asyncio.sleep(0.05)
    assert request.transport is not None
    request.transport.abort()
    return response


@asynccontextmanager
async def _open_answer(follow: Handler) -> AsyncIterator[tuple[AgentClient, Answer]]:
    """Send a request to an agent that breaks its answer off; ``follow`` answers for the rest."""
    app = web.Application()
    app.add_routes([web.post("/run/x", _break_off), web.get("/runs/{id}", follow)])
    runner = web.AppRunner(app)
    await runner.setup()
    try:
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        address = f"127.0.0.1:{runner.addresses[0][1]}"
        async with ClientSession() as session:
            client = AgentClient(session, "secret")
            answer = await client.send(_AGENT, address, _ID, "POST", "/x", {}, b"", 30.0)
            assert isinstance(answer, Answer)
            yield client, answer
    finally:
        await runner.cleanup()


async def _read(client: AgentClient, answer: Answer, seconds: float) -> bytes:
    deadline = asyncio.get_running_loop().time() + seconds
    return b"".join([piece async for piece in client.read(answer, deadline)])


class TestRead:
    """Tests for ``AgentClient.read``."""

    async def test_waits_for_a_silent_agent(self) -> None:
        """Guards against giving up an answer that its agent keeps while it is silent."""

        async def follow(request: web.Request) -> web.StreamResponse:
            await asyncio.sleep(2.5)
            return web.Response(body=_BODY[int(request.query["offset"]) :], headers=_HEADERS)

        async with _open_answer(follow) as (client, answer):
            assert await _read(client, answer, 30.0) == _BODY

    async def test_asks_again_after_each_reset(self) -> None:
        """Guards against giving up an answer after a fixed number of resets."""
        follows = 0

        async def follow(request: web.Request) -> web.StreamResponse:
            nonlocal follows
            follows += 1
            if follows <= 3:
                assert request.transport is not None
                request.transport.abort()
            elif follows <= 6:
                return await _break_off(request, b"")
            return web.Response(body=_BODY[int(request.query["offset"]) :], headers=_HEADERS)

        async with _open_answer(follow) as (client, answer):
            assert await _read(client, answer, 30.0) == _BODY

    @pytest.mark.parametrize(
        ("status", "headers"),
        [(502, {Header.OUTCOME: "unknown"}), (404, {Header.AGENT: _AGENT}), (404, {})],
    )
    async def test_ends_when_the_agent_has_no_more(
        self, status: int, headers: dict[str, str]
    ) -> None:
        """Guards against asking on for an answer that its agent says it has not."""
        follows = 0

        async def follow(request: web.Request) -> web.StreamResponse:
            nonlocal follows
            follows += 1
            return web.Response(status=status, headers=headers)

        async with _open_answer(follow) as (client, answer):
            with pytest.raises(ClientError):
                await _read(client, answer, 30.0)
        assert follows == 1

    async def test_ends_when_its_reader_leaves(self) -> None:
        """Guards against asking on for an answer that nobody waits for."""
        follows = 0
        asked = asyncio.Event()

        async def follow(request: web.Request) -> web.StreamResponse:
            nonlocal follows
            follows += 1
            asked.set()
            assert request.transport is not None
            request.transport.abort()
            return web.Response()

        async with _open_answer(follow) as (client, answer):
            reading = asyncio.create_task(_read(client, answer, 30.0))
            await asked.wait()
            reading.cancel()
            with pytest.raises(asyncio.CancelledError):
                await reading
            seen = follows
            await asyncio.sleep(0.5)
        assert follows == seen


async def test_redirect_is_an_answer_and_sends_nothing_again() -> None:
    """Guards against a request that may run once and runs again where its answer points."""
    ran: list[str] = []

    async def run(request: web.Request) -> web.Response:
        ran.append(request.path)
        headers = {**_HEADERS, Header.AGENT: _AGENT, "Location": "/run/y"}
        return web.Response(status=307, headers=headers)

    app = web.Application()
    app.add_routes([web.post("/run/{rest}", run)])
    runner = web.AppRunner(app)
    await runner.setup()
    try:
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        address = f"127.0.0.1:{runner.addresses[0][1]}"
        async with ClientSession() as session:
            client = AgentClient(session, "secret")
            answer = await client.send(_AGENT, address, _ID, "POST", "/x", {}, b"b", 30.0)
            assert isinstance(answer, Answer)
            assert answer.status == 307
            answer.response.close()
    finally:
        await runner.cleanup()
    assert ran == ["/run/x"]
