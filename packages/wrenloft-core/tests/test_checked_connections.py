"""Tests of connections on which responses are checked."""

import asyncio
import random
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest
from aiohttp import ClientError, ClientSession

from wrenloft_core import CheckedConnector, InvalidResponseError, read_body, read_json

OK = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b"
PATIENCE_SECONDS = 20.0


def _respond(body: bytes) -> bytes:
    return OK % (len(body), body)


def _respond_chunked(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n0\r\n\r\n" % (
        len(body),
        body,
    )


class Peer:
    """Writes the next of its answers for each request.

    :ivar connections: number of connections that were opened.
    :ivar requests: number of requests.
    """

    def __init__(self, answers: list[bytes]) -> None:
        self._answers = answers
        self.connections = 0
        self.requests = 0
        self.address = ""
        self.writer: asyncio.StreamWriter | None = None

    @asynccontextmanager
    async def listen(self) -> AsyncIterator["Peer"]:
        """Listen on a port of its own."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        try:
            yield self
        finally:
            server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        self.writer = writer
        try:
            while True:
                await reader.readuntil(b"\r\n\r\n")
                self.requests += 1
                writer.write(self._answers.pop(0))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()


async def _wait_until(is_met: Callable[[], bool]) -> None:
    async with asyncio.timeout(PATIENCE_SECONDS):
        while not is_met():
            await asyncio.sleep(0.01)


async def _get(session: ClientSession, peer: Peer) -> bytes:
    async with session.get(f"http://{peer.address}/") as response:
        return await response.read()


@pytest.mark.parametrize("behind", [b"\x00\x01", _respond(b"extra"), b"HTTP/1.1 000 Zero\r\n\r\n"])
async def test_connection_with_bytes_behind_a_response_is_not_used_again(behind: bytes) -> None:
    """Guards against a response that the next request gets although it is not its own."""
    answers = [_respond(b"first") + behind, _respond(b"second")]
    async with (
        Peer(answers).listen() as peer,
        ClientSession(connector=CheckedConnector()) as session,
    ):
        assert await _get(session, peer) == b"first"
        assert await _get(session, peer) == b"second"
        assert peer.connections == 2


async def test_unused_connection_is_closed_by_unrequested_bytes() -> None:
    """Guards against bytes without end that an unused connection keeps."""
    async with (
        Peer([_respond(b"first"), _respond(b"second")]).listen() as peer,
        ClientSession(connector=CheckedConnector()) as session,
    ):
        assert await _get(session, peer) == b"first"
        writer = peer.writer
        assert writer is not None
        writer.write(b"HTTP/1.1 408 Request Timeout\r\n\r\n")
        await _wait_until(writer.is_closing)
        assert await _get(session, peer) == b"second"
        assert peer.connections == 2


async def test_empty_lines_behind_a_response_cost_no_connection() -> None:
    """They may be left out (RFC 9112, section 9.2)."""
    async with (
        Peer([_respond(b"first") + b"\r\n", b"\r\n" + _respond(b"second")]).listen() as peer,
        ClientSession(connector=CheckedConnector()) as session,
    ):
        assert await _get(session, peer) == b"first"
        assert await _get(session, peer) == b"second"
        assert peer.connections == 1


@pytest.mark.parametrize("size", [200_000, 3_000_000])
@pytest.mark.parametrize("behind", [b"", b"\x00", bytes(2_000_000)], ids=["none", "one", "many"])
@pytest.mark.parametrize("chunked", [False, True])
async def test_response_read_late_is_whole(size: int, behind: bytes, chunked: bool) -> None:
    """Guards against the loss of what the library holds back until its reader goes on."""
    body = random.Random(size).randbytes(size)
    answer = _respond_chunked(body) if chunked else _respond(body)
    async with (
        Peer([answer + behind]).listen() as peer,
        ClientSession(connector=CheckedConnector()) as session,
        session.get(f"http://{peer.address}/") as response,
    ):
        for _ in range(20):
            await asyncio.sleep(0.005)  # the peer goes on
        read = b""
        async with asyncio.timeout(PATIENCE_SECONDS):
            while part := await response.content.readany():
                read += part
                await asyncio.sleep(0.005)
        assert read == body


async def test_response_in_a_slow_rhythm_is_whole() -> None:
    """Guards against a response that stalls as its reader goes on behind its last bytes."""
    body = random.Random(1).randbytes(1_500_000)
    async with (
        Peer([_respond_chunked(body), _respond(b"second")]).listen() as peer,
        ClientSession(connector=CheckedConnector()) as session,
    ):
        async with session.get(f"http://{peer.address}/") as response:
            async with asyncio.timeout(PATIENCE_SECONDS):
                read = b""
                while part := await response.content.read(1000):
                    read += part
                    await asyncio.sleep(0)
            assert read == body
        assert await _get(session, peer) == b"second"
        assert peer.connections == 1


async def test_invalid_response_names_nothing_of_itself() -> None:
    """Guards against errors that quote a peer to whom they are passed on."""
    async with (
        Peer([b"HTTP/1.1 000 Secret\r\n\r\n"]).listen() as peer,
        ClientSession(connector=CheckedConnector()) as session,
    ):
        with pytest.raises(ClientError) as raised:
            await _get(session, peer)
        assert str(raised.value) == "invalid status line"
        assert "Secret" in repr(raised.value)


@pytest.mark.parametrize("size", [10, 11])
@pytest.mark.parametrize("is_chunked", [False, True])
async def test_body_is_read_up_to_its_bound(size: int, is_chunked: bool) -> None:
    """Guards against a body that is held without a bound, or cut and taken for whole."""
    body = size * b"x"
    answer = _respond_chunked(body) if is_chunked else _respond(body)
    async with (
        Peer([answer]).listen() as peer,
        ClientSession(connector=CheckedConnector()) as session,
        session.get(f"http://{peer.address}/") as response,
    ):
        if size > 10:
            with pytest.raises(InvalidResponseError, match="body too long"):
                await read_body(response, 10)
        else:
            assert await read_body(response, 10) == body


async def test_json_without_end_of_nesting_is_a_value_error() -> None:
    """Guards against an error that callers don't expect of a document."""
    async with (
        Peer([_respond(100_000 * b"[")]).listen() as peer,
        ClientSession(connector=CheckedConnector()) as session,
        session.get(f"http://{peer.address}/") as response,
    ):
        with pytest.raises(ValueError, match="nested"):
            await read_json(response, 1_000_000)
