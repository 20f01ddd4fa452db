"""Tests of sending to endpoints that spoil, lose, cross or refuse answers."""

import asyncio
import gc
from dataclasses import replace
from typing import Any

import pytest
from aiohttp import ClientSession

from wrenloft_core import AgentId, OrganisationName, PlaceName, RegionName, RequestId, ServiceName
from wrenloft_platform._runner import RunnerReply, RunnerTransport, read_named_limit
from wrenloft_policy import LayerSpan
from wrenloft_routing import (
    Attempt,
    CallerRequest,
    ChainStage,
    Endpoint,
    EndpointState,
    Lost,
    NotSent,
    Rejected,
    ReplyBrokenError,
)

from .conftest import StandinEndpoint, stream_answer, whole_answer


def _attempt(address: str, method: str = "POST", **changes: Any) -> Attempt:
    request = CallerRequest(
        request_id=RequestId("r1"),
        method=method,
        host="shop.example",
        path="/a/b",
        target="/a/b?x=%2F",
        headers=(("X-Attempt-Id", "r1"), ("X-Custom", "kept")),
        body=b"body",
        body_digest=b"",
        key=None,
        caller_timeout=1.0,
        prompt_tokens=0.0,
        last_event=None,
        arrived=0.0,
    )
    endpoint = Endpoint(
        AgentId("i-1"), ServiceName("s"), address, PlaceName("p"), RegionName("r"), 4
    )
    fields: dict[str, Any] = {
        "request": request,
        "endpoint": endpoint,
        "left": 0.5,
        "organisation": OrganisationName("org"),
        "version": None,
        "last_event": None,
    }
    return Attempt(**{**fields, **changes})


async def _open(session: ClientSession, endpoint: StandinEndpoint, **changes: Any) -> Any:
    return await RunnerTransport(session).open(_attempt(endpoint.address, **changes))


class TestRunnerTransport:
    """Tests for ``RunnerTransport``."""

    async def test_sends_the_request_unchanged_with_its_own_headers(
        self, session: ClientSession, endpoint: StandinEndpoint
    ) -> None:
        """Path, query and body arrive as sent, with identity, time left and organisation."""
        reply = await _open(session, endpoint, version=3, last_event=7)
        assert await reply.read_whole() == b"ok"
        got = endpoint.received[0]
        assert got.line == "POST /a/b?x=%2F HTTP/1.1"
        assert got.body == b"body"
        assert got.headers["host"] == "shop.example"
        assert got.headers["x-expect-instance"] == "i-1"
        assert got.headers["x-expect-version"] == "3"
        assert got.headers["last-event-id"] == "7"
        assert got.headers["x-tenant"] == "org"
        assert 0 < int(got.headers["x-deadline-ms"]) <= 500
        assert got.headers["x-custom"] == "kept"

    async def test_chain_is_named_with_the_layers_of_each_engine(
        self, session: ClientSession, endpoint: StandinEndpoint
    ) -> None:
        """The first engine learns which others hold the layers that it lacks."""
        first = Endpoint(
            AgentId("i-1"), ServiceName("s"), endpoint.address, PlaceName("p"), RegionName("r"), 4
        )
        second = replace(first, agent_id=AgentId("i-2"), address="10.0.0.2:80")
        chain = (
            ChainStage(EndpointState(first), LayerSpan(0, 8)),
            ChainStage(EndpointState(second), LayerSpan(8, 16)),
        )
        await _open(session, endpoint, version=2, chain=chain)
        path = endpoint.received[0].headers["path"]
        assert path == f"{endpoint.address}=0-8,10.0.0.2:80=8-16"

    async def test_refusal_by_a_later_engine_names_it(
        self, session: ClientSession, endpoint: StandinEndpoint
    ) -> None:
        """The first engine is sound; put down to it, half of the engines would be avoided."""
        endpoint.answers = [
            whole_answer(
                b"", "503 Service Unavailable", b"X-Not-Executed: 1\r\nAt-Server: 10.0.0.2:80\r\n"
            )
        ]
        result = await _open(session, endpoint)
        assert isinstance(result, Rejected)
        assert result.address == "10.0.0.2:80"

    async def test_refused_connection_is_not_sent(self, session: ClientSession) -> None:
        """Nothing listens: the request may go elsewhere, whatever its kind."""
        result = await RunnerTransport(session).open(_attempt("127.0.0.1:9"))
        assert isinstance(result, NotSent)

    @pytest.mark.parametrize("method", ["GET", "POST", "PUT", "DELETE"])
    async def test_closed_kept_connection_is_lost_and_sent_once(
        self, session: ClientSession, endpoint: StandinEndpoint, method: str
    ) -> None:
        """A kept connection closes under a request: it may have run, and is not sent again.

        The first request leaves the connection open; the endpoint reads the second and closes
        without an answer. The client library would repeat some methods by itself.
        """
        endpoint.answers = [whole_answer(b"ok"), None]
        request = _attempt(endpoint.address, method)
        transport = RunnerTransport(session)
        first = await transport.open(request)
        assert isinstance(first, RunnerReply)
        await first.read_whole()
        await first.close(reusable=True)
        assert isinstance(await transport.open(request), Lost)
        assert len(endpoint.received) == 2

    async def test_rejections_are_told_apart(
        self, session: ClientSession, endpoint: StandinEndpoint
    ) -> None:
        """A full endpoint and one that is somebody else both did not run the request."""
        endpoint.answers = [
            whole_answer(
                b"", "503 Service Unavailable", b"X-Not-Executed: 1\r\nX-Instance-Load: 4,2,4\r\n"
            ),
            whole_answer(b"", "421 Misdirected Request"),
        ]
        full = await _open(session, endpoint)
        other = await _open(session, endpoint)
        assert isinstance(full, Rejected)
        assert (full.misdirected, full.load) == (False, (4, 2, 4))
        assert isinstance(other, Rejected)
        assert other.misdirected

    async def test_503_without_the_mark_is_an_answer(
        self, session: ClientSession, endpoint: StandinEndpoint
    ) -> None:
        """Only the endpoint's own word says that a request did not run."""
        endpoint.answers = [whole_answer(b"", "503 Service Unavailable")]
        assert isinstance(await _open(session, endpoint), RunnerReply)

    @pytest.mark.parametrize(
        "answer",
        [
            whole_answer(b"ok").replace(b"{id}", b"another"),
            whole_answer(b"ok").replace(b"X-Response-Stamp: s1\r\n", b""),
            whole_answer(b"ok", extra=b"Content-Encoding: gzip\r\n"),
        ],
    )
    async def test_foreign_answers_are_not_genuine(
        self, session: ClientSession, endpoint: StandinEndpoint, answer: bytes
    ) -> None:
        """An answer of another request, unsigned or re-encoded is never passed on."""
        endpoint.answers = [answer]
        reply = await _open(session, endpoint)
        assert not reply.genuine

    async def test_extra_answer_is_not_taken_for_the_next(
        self, session: ClientSession, endpoint: StandinEndpoint
    ) -> None:
        """A second answer waits on a kept connection when the next request is sent.

        Its id is the earlier request's, so it either never reaches the next or is not genuine.
        """
        extra = whole_answer(b"late").replace(b"{id}", b"r0")
        endpoint.answers = [whole_answer(b"ok") + extra, whole_answer(b"own")]
        first = await _open(session, endpoint)
        await first.read_whole()
        await first.close(reusable=True)
        await asyncio.sleep(0.02)
        second = await _open(session, endpoint)
        if isinstance(second, RunnerReply) and second.genuine:
            assert await second.read_whole() == b"own"

    async def test_cut_answer_is_broken(
        self, session: ClientSession, endpoint: StandinEndpoint
    ) -> None:
        """A body shorter than announced is not a body."""
        endpoint.answers = [whole_answer(b"whole body").replace(b"whole body", b"who") + b"RESET"]
        reply = await _open(session, endpoint)
        with pytest.raises(ReplyBrokenError):
            await reply.read_whole()

    async def test_reset_is_told_once(
        self,
        session: ClientSession,
        endpoint: StandinEndpoint,
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        """An endpoint resets a connection while its answer is read.

        Whoever reads it learns of that. Told once more by the event loop, as an error that nobody
        fetched, each reset put a stack into the log, where it hid what mattered.
        """
        endpoint.answers = [stream_answer(b"id: 1\n\n", end=False)]
        reply = await _open(session, endpoint)
        with pytest.raises(ReplyBrokenError):
            while await reply.read_some():
                pass
        await reply.close(reusable=False)
        del reply
        gc.collect()
        await asyncio.sleep(0.05)
        assert "never retrieved" not in caplog.text

    async def test_unframed_answer_ends_with_a_clean_close_only(
        self, session: ClientSession, endpoint: StandinEndpoint
    ) -> None:
        """An answer without a length is whole after a close and broken after a reset.

        The library gives the same bytes in both cases; the caller would get half an answer that
        looks whole.
        """
        unframed = whole_answer(b"body").replace(b"Content-Length: 4\r\n", b"")
        endpoint.answers = [unframed, unframed + b"RESET"]
        whole = await _open(session, endpoint)
        assert await whole.read_whole() == b"body"
        reset = await _open(session, endpoint)
        with pytest.raises(ReplyBrokenError):
            await reset.read_whole()

    async def test_stream_without_its_end_is_broken(
        self, session: ClientSession, endpoint: StandinEndpoint
    ) -> None:
        """A stream that stops before its last chunk does not end as complete."""
        endpoint.answers = [stream_answer(b"id: 1\n\n", end=False)]
        reply = await _open(session, endpoint)
        assert reply.is_stream
        assert await reply.read_some() == b"id: 1\n\n"
        with pytest.raises(ReplyBrokenError):
            await reply.read_some()


@pytest.mark.parametrize(
    ("values", "rate"),
    [
        (["1.8"], 1.8),
        ([" 0.2 "], 0.2),
        (["0"], 0.0),
        (["1e9"], 1e9),
        (["5", "1.4"], 1.4),
        (["5, x, 2"], 2.0),
        ([""], None),
        (["-1"], None),
        (["nan"], None),
        (["inf"], None),
        (["soon"], None),
    ],
)
def test_reads_named_limits_and_what_is_none(values: list[str], rate: float | None) -> None:
    named = read_named_limit(values)
    assert named is not None
    assert named.rate == rate


def test_answer_without_the_header_names_no_limit() -> None:
    assert read_named_limit([]) is None
