"""Tests of sending to endpoints that corrupt, lose, mix up or reject responses."""

import asyncio
import gc
from dataclasses import replace
from typing import Any

import pytest
from aiohttp import ClientSession
from hypothesis import given
from hypothesis import strategies as st

from wrenloft_core import AgentId, OrganisationName, PlaceName, RegionName, RequestId, ServiceName
from wrenloft_platform._load_header import parse_load
from wrenloft_platform._runner import RunnerReply, RunnerTransport, parse_named_limit, parse_rest
from wrenloft_policy import HeaderLoad, LayerSpan, MalformedLoad
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

from .conftest import StandinEndpoint, full_response, stream_response


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
        """The first engine gets the addresses of the others and the layers that they serve."""
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

    async def test_rejection_by_a_later_engine_names_that_engine(
        self, session: ClientSession, endpoint: StandinEndpoint
    ) -> None:
        """Guards against blaming the first engine of a chain; half of them would be avoided."""
        endpoint.answers = [
            full_response(
                b"", "503 Service Unavailable", b"X-Not-Executed: 1\r\nAt-Server: 10.0.0.2:80\r\n"
            )
        ]
        result = await _open(session, endpoint)
        assert isinstance(result, Rejected)
        assert result.address == "10.0.0.2:80"

    async def test_refused_connection_is_not_sent(self, session: ClientSession) -> None:
        """A request of any kind can be sent elsewhere if the connection was refused."""
        result = await RunnerTransport(session).open(_attempt("127.0.0.1:9"))
        assert isinstance(result, NotSent)
        assert "127.0.0.1" not in result.reason
        assert "127.0.0.1" in result.detail

    @pytest.mark.parametrize("method", ["GET", "POST", "PUT", "DELETE"])
    async def test_request_on_a_closed_kept_alive_connection_is_sent_once(
        self, session: ClientSession, endpoint: StandinEndpoint, method: str
    ) -> None:
        """Guards against the client library's own retry of a request that may have run.

        The endpoint reads the second request on a kept-alive connection, and closes it without a
        response.
        """
        endpoint.answers = [full_response(b"ok"), None]
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
        """A full endpoint and a wrong endpoint both did not run the request."""
        endpoint.answers = [
            full_response(
                b"", "503 Service Unavailable", b"X-Not-Executed: 1\r\nX-Instance-Load: 4,2,4\r\n"
            ),
            full_response(b"", "421 Misdirected Request"),
        ]
        full = await _open(session, endpoint)
        other = await _open(session, endpoint)
        assert isinstance(full, Rejected)
        assert (full.misdirected, full.load) == (False, HeaderLoad(4, 2, 4))
        assert isinstance(other, Rejected)
        assert other.misdirected

    async def test_503_without_not_executed_header_is_a_reply(
        self, session: ClientSession, endpoint: StandinEndpoint
    ) -> None:
        """Only the endpoint's own header says that a request did not run."""
        endpoint.answers = [full_response(b"", "503 Service Unavailable")]
        assert isinstance(await _open(session, endpoint), RunnerReply)

    @pytest.mark.parametrize(
        "answer",
        [
            full_response(b"ok").replace(b"{id}", b"another"),
            full_response(b"ok").replace(b"X-Response-Stamp: s1\r\n", b""),
            full_response(b"ok", extra=b"Content-Encoding: gzip\r\n"),
        ],
    )
    async def test_mismatched_responses_are_not_genuine(
        self, session: ClientSession, endpoint: StandinEndpoint, answer: bytes
    ) -> None:
        """A response to another request, or unsigned or re-encoded, is never passed on."""
        endpoint.answers = [answer]
        reply = await _open(session, endpoint)
        assert not reply.genuine

    async def test_extra_response_is_not_matched_to_the_next_request(
        self, session: ClientSession, endpoint: StandinEndpoint
    ) -> None:
        """Guards against a second response, left on a kept-alive connection, that a caller gets.

        It carries the earlier request's id, so it is either never read or not genuine.
        """
        extra = full_response(b"late").replace(b"{id}", b"r0")
        endpoint.answers = [full_response(b"ok") + extra, full_response(b"own")]
        first = await _open(session, endpoint)
        await first.read_whole()
        await first.close(reusable=True)
        await asyncio.sleep(0.02)
        second = await _open(session, endpoint)
        if isinstance(second, RunnerReply) and second.genuine:
            assert await second.read_whole() == b"own"

    async def test_truncated_response_raises(
        self, session: ClientSession, endpoint: StandinEndpoint
    ) -> None:
        """A body shorter than its Content-Length is broken."""
        endpoint.answers = [full_response(b"whole body").replace(b"whole body", b"who") + b"RESET"]
        reply = await _open(session, endpoint)
        with pytest.raises(ReplyBrokenError):
            await reply.read_whole()

    async def test_reset_is_not_logged_by_the_event_loop(
        self,
        session: ClientSession,
        endpoint: StandinEndpoint,
        caplog: pytest.LogCaptureFixture,
    ) -> None:
        """Guards against tracebacks in the log for resets that the reader already handles.

        The event loop logs an error that nobody has retrieved.
        """
        endpoint.answers = [stream_response(b"id: 1\n\n", end=False)]
        reply = await _open(session, endpoint)
        with pytest.raises(ReplyBrokenError):
            while await reply.read_some():
                pass
        await reply.close(reusable=False)
        del reply
        gc.collect()
        await asyncio.sleep(0.05)
        assert "never retrieved" not in caplog.text

    async def test_response_without_length_needs_a_clean_close(
        self, session: ClientSession, endpoint: StandinEndpoint
    ) -> None:
        """Guards against a truncated response that is passed on as complete.

        A response without a length ends with its connection, and the library returns the same bytes
        after a close and after a reset.
        """
        unframed = full_response(b"body").replace(b"Content-Length: 4\r\n", b"")
        endpoint.answers = [unframed, unframed + b"RESET"]
        complete = await _open(session, endpoint)
        assert await complete.read_whole() == b"body"
        reset = await _open(session, endpoint)
        with pytest.raises(ReplyBrokenError):
            await reset.read_whole()

    async def test_stream_without_last_chunk_raises(
        self, session: ClientSession, endpoint: StandinEndpoint
    ) -> None:
        """A stream that stops before its last chunk is not complete."""
        endpoint.answers = [stream_response(b"id: 1\n\n", end=False)]
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
def test_parses_rate_limits(values: list[str], rate: float | None) -> None:
    named = parse_named_limit(values)
    assert named is not None
    assert named.rate == rate


def test_response_without_the_header_has_no_limit() -> None:
    assert parse_named_limit([]) is None


@pytest.mark.parametrize(
    ("text", "load"),
    [
        (None, None),
        ("4,2,8", HeaderLoad(4, 2, 8)),
        (" 4, 2 ,8 ", HeaderLoad(4, 2, 8)),
        ("4,2,8,100", HeaderLoad(4, 2, 8, 1.0, True)),
        ("4,2,8,512", HeaderLoad(4, 2, 8, 5.12, True)),
        ("4,2,8,10000", HeaderLoad(4, 2, 8, 100.0, True)),
    ],
)
def test_parses_load_headers(text: str | None, load: HeaderLoad | None) -> None:
    assert parse_load(text) == load


MALFORMED = ["", "4", "4,2", "4,2,8,100,1", "4,2,8,", "-4,2,8", "4,2,8,-1", "4,2,8,10001"]
MALFORMED += ["4,2,9999999", "4,2,8,1e2", "4,2,x", "nan,0,8", "4,2,8,1_0", "4,2,\u0668"]
MALFORMED += ["9" * 5000, ",".join(10_000 * ["9999999999"])]


@pytest.mark.parametrize("text", MALFORMED, ids=lambda each: each[:12])
def test_malformed_load_headers_are_told_apart(text: str) -> None:
    """Guards against headers that are ignored unnoticed, and against figures out of bounds."""
    assert parse_load(text) == MalformedLoad(text[:40])


async def test_long_load_header_costs_nothing_of_the_answer(
    session: ClientSession, endpoint: StandinEndpoint
) -> None:
    """Guards against a whole answer that is lost because of one long header."""
    figures = b",".join(10_000 * [b"9999999999"])
    extra = b"X-Instance-Load: " + figures + b"\r\nX-Kept: 1\r\nServer-Limit: 2\r\n"
    endpoint.answers = [
        full_response(b"ok", extra=extra),
        full_response(b"", "503 Service Unavailable", REJECTED + extra),
        full_response(b"ok", extra=b"X-Instance-Load: 1,0,8,120\r\n"),
    ]
    reply = await _open(session, endpoint)
    assert isinstance(reply.load, MalformedLoad)
    assert await reply.read_whole() == b"ok"
    assert ("X-Kept", "1") in reply.headers
    assert "X-Instance-Load" not in dict(reply.headers)
    assert reply.named_limit.rate == 2.0
    rejected = await _open(session, endpoint)
    assert isinstance(rejected, Rejected)
    assert isinstance(rejected.load, MalformedLoad)
    usual = await _open(session, endpoint)
    assert dict(usual.headers)["X-Instance-Load"] == "1,0,8,120"


async def test_pace_of_a_later_engine_is_not_the_first_ones(
    session: ClientSession, endpoint: StandinEndpoint
) -> None:
    """Guards against avoiding the first engine of a chain for the pace of another one."""
    head = REJECTED + b"X-Instance-Load: 4,2,4,500\r\n"
    endpoint.answers = [
        full_response(b"", "503 Service Unavailable", head + at)
        for at in (b"At-Server: 10.0.0.2:80\r\n", b"")
    ]
    assert (await _open(session, endpoint)).load is None
    assert (await _open(session, endpoint)).load == HeaderLoad(4, 2, 4, 5.0, True)


REJECTED = b"X-Not-Executed: 1\r\n"


@pytest.mark.parametrize(
    ("status", "extra", "leaving"),
    [
        ("200 OK", b"Server-Leaving: 1\r\n", True),
        ("200 OK", b"", False),
        ("200 OK", b"Server-Leaving: 0\r\n", False),
        ("200 OK", b"Server-Leaving: 0\r\nServer-Leaving: 1\r\n", True),
        ("404 Not Found", b"server-leaving: 1\r\n", True),
        ("500 Internal Server Error", b"Server-Leaving: 1\r\n", True),
        ("503 Service Unavailable", REJECTED + b"Server-Leaving: 1\r\n", True),
        ("429 Too Many Requests", REJECTED + b"Server-Leaving: 1\r\n", True),
        ("421 Misdirected Request", b"Server-Leaving: 1\r\n", True),
        (
            "503 Service Unavailable",
            REJECTED + b"Server-Leaving: 1\r\nAt-Server: 10.0.0.2:80\r\n",
            False,
        ),
    ],
)
async def test_leaving_is_read_from_every_kind_of_answer(
    session: ClientSession, endpoint: StandinEndpoint, status: str, extra: bytes, leaving: bool
) -> None:
    """Guards against kinds of answer from which leaving is not learnt."""
    endpoint.answers = [full_response(b"", status, extra)]
    assert (await _open(session, endpoint)).notice.leaving is leaving


async def test_leaving_is_read_before_the_first_event_of_a_stream(
    session: ClientSession, endpoint: StandinEndpoint
) -> None:
    """Guards against learning it only when a stream of many seconds ends."""
    head = b"X-Response-Stamp: s1\r\nServer-Leaving: 1\r\n"
    answer = stream_response(b"id: 1\n\n").replace(b"X-Response-Stamp: s1\r\n", head)
    endpoint.answers = [answer.partition(b"\r\n\r\n")[0] + b"\r\n\r\n|PAUSE|RESET"]
    endpoint.pause = 1.0
    async with asyncio.timeout(0.5):
        assert (await _open(session, endpoint)).notice.leaving


async def test_answer_to_another_request_says_nothing_of_the_endpoint(
    session: ClientSession, endpoint: StandinEndpoint
) -> None:
    """Guards against excluding an endpoint because of an answer that belongs to nobody."""
    answer = full_response(b"ok", extra=b"Server-Leaving: 1\r\n").replace(b"{id}", b"other")
    endpoint.answers = [answer]
    assert not (await _open(session, endpoint)).notice.leaving


@pytest.mark.parametrize(
    ("text", "seconds"),
    [
        ("0.2", 0.2),
        ("1", 1.0),
        (" 3 ", 3.0),
        ("30", 30.0),
        ("600", 600.0),
        ("1e300", 1e300),
        ("0", 0.0),
        ("3, 5", 5.0),
        ("3, soon", 3.0),
        ("Wed, 21 Oct 2026 07:28:07 GMT", 7.0),
        ("Wed, 21 Oct 2026 07:27:50 GMT", 0.0),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("", None),
        ("soon", None),
    ],
)
def test_parses_rests(text: str, seconds: float | None) -> None:
    assert parse_rest(text, "Wed, 21 Oct 2026 07:28:00 GMT") == seconds


@given(st.text(max_size=40))
def test_any_text_is_a_rest_or_unreadable(text: str) -> None:
    """Guards against answers that are lost because a header can't be parsed."""
    seconds = parse_rest(text, "")
    assert seconds is None or seconds >= 0.0


@pytest.mark.parametrize(
    ("status", "extra", "rest", "unreadable"),
    [
        ("503 Service Unavailable", REJECTED + b"Retry-After: 3\r\n", 3.0, ""),
        ("503 Service Unavailable", b"Retry-After: 0.2\r\n", 0.2, ""),
        (
            "503 Service Unavailable",
            REJECTED + b"Retry-After: 1\r\nRetry-After: 4\r\n",
            4.0,
            "",
        ),
        ("503 Service Unavailable", REJECTED + b"Retry-After: soon\r\n", 0.0, "soon"),
        (
            "503 Service Unavailable",
            REJECTED + b"Retry-After: 3\r\nAt-Server: 10.0.0.2:80\r\n",
            3.0,
            "",
        ),
        ("503 Service Unavailable", REJECTED, 0.0, ""),
        ("429 Too Many Requests", REJECTED + b"Retry-After: 3\r\n", 0.0, ""),
        ("200 OK", b"Retry-After: 3\r\n", 0.0, ""),
    ],
)
async def test_rest_is_read_from_rejections(
    session: ClientSession,
    endpoint: StandinEndpoint,
    status: str,
    extra: bytes,
    rest: float,
    unreadable: str,
) -> None:
    """Guards against rests that are missed, and against rests that nobody asked for."""
    endpoint.answers = [full_response(b"", status, extra)]
    notice = (await _open(session, endpoint)).notice
    assert (notice.rest, notice.unreadable) == (rest, unreadable)
