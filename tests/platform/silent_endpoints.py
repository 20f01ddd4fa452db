"""Stand-in of an endpoint that is silent for some time in the middle of its answers."""

import asyncio
import socket
import struct
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from enum import Enum

from .conftest import LOOPBACK

_POLL_SECONDS = 0.01
_REJECTION = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %b\r\nX-Not-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)


class Phase(Enum):
    """The part of an answer before which an endpoint is silent.

    An event is written in two halves; a body as well.
    """

    HEAD = "before the head"
    FIRST_PART = "behind the head"
    INSIDE_EVENT = "inside an event"
    NEXT_EVENT = "between events"
    INSIDE_BODY = "inside a body"
    END = "before the end"


STREAM_PHASES = tuple(each for each in Phase if each is not Phase.INSIDE_BODY)
WHOLE_PHASES = (Phase.HEAD, Phase.FIRST_PART, Phase.INSIDE_BODY, Phase.END)


class Framing(Enum):
    """How the end of an answer is stated."""

    CHUNKED = "chunked"
    LENGTH = "length"
    CLOSE = "close"


@dataclass(frozen=True)
class Silence:
    """A pause in the answers of an endpoint.

    :param index: of the event before or inside which it is, counted from the first one of its
        answer; only for the phases between and inside events.
    :param requests: number of requests with it, counted from the endpoint's first; ``None`` for
        all.
    :param send: the only one of each request's sends, over all endpoints, that has it; the first
        one is 1; ``None`` for all.
    :param prefix: beginning of the ids of the requests with it.
    :param breaks: whether the connection is reset then, in place of going on.
    """

    phase: Phase
    seconds: float
    index: int = 1
    requests: int | None = None
    send: int | None = None
    prefix: str = ""
    breaks: bool = False

    def applies_to(self, phase: Phase, index: int, served: "Served") -> bool:
        """Return whether it is due before a part of an answer."""
        counted = phase in (Phase.NEXT_EVENT, Phase.INSIDE_EVENT)
        if phase is not self.phase or (counted and index != self.index):
            return False
        return (
            (self.requests is None or served.number <= self.requests)
            and self.send in (None, served.send)
            and served.request_id.startswith(self.prefix)
        )


@dataclass
class Served:
    """A request as an endpoint got it, and what the endpoint wrote.

    :param number: among the requests of its endpoint; the first one is 1.
    :param send: among the sends of the same request to all endpoints; the first one is 1.
    :param last_event: id of the event behind which it is to begin, ``None`` if it isn't resumed.
    :param arrived: time on the loop's clock.
    :param written: bytes of the answer, its head and framing included.
    :param is_complete: whether the answer, or rejection, was written to its end.
    :param is_broken: whether the endpoint reset the connection.
    :param closed_at: when the other side had closed the connection of an incomplete answer.
    """

    endpoint: str
    request_id: str
    path: str
    body: bytes
    number: int
    send: int
    last_event: int | None
    arrived: float
    written: int = 0
    is_rejected: bool = False
    is_complete: bool = False
    is_broken: bool = False
    closed_at: float | None = None

    @property
    def is_resumed(self) -> bool:
        """Whether another endpoint had written the events before."""
        return self.last_event is not None

    @property
    def is_open(self) -> bool:
        """Whether the endpoint still works on it."""
        return not self.is_complete and not self.is_broken and self.closed_at is None


class _BreakError(Exception):
    """The endpoint is to reset the connection."""


def make_event(request_id: str, number: int, size: int = 0) -> bytes:
    """Return one event of a stream, the same at each endpoint.

    :param size: bytes to which its text is filled up.
    """
    text = f"{request_id} {number} ".ljust(size, ".")
    return f"id: {number}\ndata: {text}\n\n".encode()


def make_stream(request_id: str, events: int, size: int = 0) -> bytes:
    """Return the body of a whole stream."""
    return b"".join(make_event(request_id, number, size) for number in range(events))


def make_body(endpoint: str, request_id: str, size: int = 0) -> bytes:
    """Return the body that an endpoint gives to a request.

    :param size: bytes to which it is filled up.
    """
    return f"{endpoint} {request_id} ".encode().ljust(size, b".")


@dataclass
class SilentEndpoint:
    """An endpoint that gives whole answers or, on paths with ``stream``, events.

    :param log: requests in the order of their arrival; endpoints may share it.
    :param events: number of events of each stream.
    :param pace: seconds between two events.
    :param silences: all of them apply.
    :param statuses: status by the number of the request's sends, else 200; other answers than
        successes are whole.
    :param rejected_sends: numbers of the sends of each request that are rejected.
    :param restarted_sends: numbers of the sends of each request whose streams begin with the first
        event, whatever the request says.
    :param body_size: bytes to which the body of a whole answer is filled up.
    :param event_size: bytes to which the text of an event is filled up.
    :param is_rejecting: whether it rejects all requests.
    """

    name: str
    log: list[Served] = field(default_factory=list)
    events: int = 6
    pace: float = 0.05
    silences: list[Silence] = field(default_factory=list)
    framing: Framing = Framing.CHUNKED
    statuses: dict[int, int] = field(default_factory=dict)
    rejected_sends: frozenset[int] = frozenset()
    restarted_sends: frozenset[int] = frozenset()
    body_size: int = 0
    event_size: int = 0
    is_rejecting: bool = False
    address: str = ""
    _flowing: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self._flowing.set()

    @property
    def served(self) -> list[Served]:
        """Its own requests."""
        return [each for each in self.log if each.endpoint == self.name]

    def hold(self) -> None:
        """Become silent on all connections, in whatever part they are."""
        self._flowing.clear()

    def release(self) -> None:
        """Go on on all connections."""
        self._flowing.set()

    @asynccontextmanager
    async def listen(self) -> AsyncIterator[None]:
        """Listen on a port of its own."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"
        try:
            yield
        finally:
            server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while await self._answer(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the connection or the test has ended
        finally:
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether another one may follow."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        line, *rest = head.rstrip().split("\r\n")
        headers = {k.lower(): v for k, _, v in (each.partition(": ") for each in rest)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        if "x-attempt-id" not in headers:  # a health check
            await self._flowing.wait()
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return True
        served = self._record(line.split()[1], headers, body)
        if self.is_rejecting or served.send in self.rejected_sends:
            served.is_rejected = served.is_complete = True
            writer.write(_REJECTION % served.request_id.encode())
            return True
        try:
            for phase, index, data in self._make_parts(served):
                await self._pause_before(phase, index, served, reader)
                writer.write(data)
                served.written += len(data)
                await writer.drain()
        except _BreakError:
            served.is_broken = True
            _reset(writer)
            return False
        except ConnectionError:
            served.closed_at = asyncio.get_running_loop().time()
            raise
        served.is_complete = True
        return self.framing is not Framing.CLOSE

    def _record(self, path: str, headers: dict[str, str], body: bytes) -> Served:
        request_id = headers["x-attempt-id"]
        last = headers.get("last-event-id")
        served = Served(
            endpoint=self.name,
            request_id=request_id,
            path=path,
            body=body,
            number=len(self.served) + 1,
            send=sum(each.request_id == request_id for each in self.log) + 1,
            last_event=None if last is None else int(last),
            arrived=asyncio.get_running_loop().time(),
        )
        self.log.append(served)
        return served

    def _make_parts(self, served: Served) -> Iterator[tuple[Phase, int, bytes]]:
        """Yield the parts of an answer, each with the phase before it."""
        status = self.statuses.get(served.send, 200)
        if _is_stream(served) and status == 200:
            yield Phase.HEAD, 0, self._make_head(served, status, "text/event-stream")
            is_restarted = served.last_event is None or served.send in self.restarted_sends
            first = 0 if is_restarted else (served.last_event or 0) + 1
            for index, number in enumerate(range(first, self.events)):
                event = make_event(served.request_id, number, self.event_size)
                half = len(event) // 2
                phase = Phase.NEXT_EVENT if index else Phase.FIRST_PART
                yield phase, index, self._frame(served, event[:half])
                yield Phase.INSIDE_EVENT, index, self._frame(served, event[half:])
        else:
            body = make_body(self.name, served.request_id, self.body_size)
            half = len(body) // 2
            yield Phase.HEAD, 0, self._make_head(served, status, "text/plain", len(body))
            yield Phase.FIRST_PART, 0, self._frame(served, body[:half])
            yield Phase.INSIDE_BODY, 0, self._frame(served, body[half:])
        yield Phase.END, 0, b"0\r\n\r\n" if self._is_chunked(served) else b""

    def _make_head(self, served: Served, status: int, content: str, length: int = 0) -> bytes:
        lines = [
            f"HTTP/1.1 {status} Status",
            f"X-Attempt-Id: {served.request_id}",
            f"X-Response-Stamp: {self.name}-{served.request_id}",
            f"Content-Type: {content}",
        ]
        if self._is_chunked(served):
            lines.append("Transfer-Encoding: chunked")
        elif self.framing is Framing.LENGTH:
            lines.append(f"Content-Length: {length}")
        return "\r\n".join((*lines, "", "")).encode()

    def _is_chunked(self, served: Served) -> bool:
        if self.framing is Framing.LENGTH:
            return _is_stream(served)  # its length isn't known in advance
        return self.framing is Framing.CHUNKED

    def _frame(self, served: Served, data: bytes) -> bytes:
        if not self._is_chunked(served):
            return data
        return f"{len(data):x}\r\n".encode() + data + b"\r\n"

    async def _pause_before(
        self, phase: Phase, index: int, served: Served, reader: asyncio.StreamReader
    ) -> None:
        """Wait until a part is due.

        :raises ConnectionError: if the other side closed the connection.
        :raises _BreakError: if the connection is to be reset.
        """
        loop = asyncio.get_running_loop()
        silences = [each for each in self.silences if each.applies_to(phase, index, served)]
        due = loop.time() + (self.pace if phase is Phase.NEXT_EVENT else 0.0)
        due += sum(each.seconds for each in silences)
        while True:
            if reader.at_eof() or reader.exception() is not None:
                raise ConnectionError("closed by the other side")
            if loop.time() >= due and self._flowing.is_set():
                if any(each.breaks for each in silences):
                    raise _BreakError
                return
            await asyncio.sleep(_POLL_SECONDS)


def _is_stream(served: Served) -> bool:
    return "stream" in served.path


def _reset(writer: asyncio.StreamWriter) -> None:
    """Close with a reset in place of a clean end."""
    connection = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
