"""Stand-in of an endpoint that is silent for some time in the middle of its answers."""

import asyncio
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
    FIRST_EVENT = "behind the head"
    INSIDE_EVENT = "inside an event"
    NEXT_EVENT = "between events"
    INSIDE_BODY = "inside a body"
    END = "before the end"


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
    """

    phase: Phase
    seconds: float
    index: int = 1
    requests: int | None = None

    def applies_to(self, phase: Phase, index: int, number: int) -> bool:
        """Return whether it is due before a part.

        :param number: of the endpoint's requests before this one.
        """
        counted = phase in (Phase.NEXT_EVENT, Phase.INSIDE_EVENT)
        is_selected = self.requests is None or number < self.requests
        return is_selected and phase is self.phase and (index == self.index or not counted)


@dataclass
class Served:
    """A request as an endpoint got it, and what it wrote.

    :param last_event: id of the event behind which it is to begin, ``None`` if it isn't resumed.
    :param arrived: time on the loop's clock.
    :param written: bytes of the answer, its head and framing included.
    :param is_complete: whether the answer, or rejection, was written to its end.
    :param closed_at: when the other side had closed the connection of an incomplete answer.
    """

    request_id: str
    path: str
    last_event: int | None
    arrived: float
    written: int = 0
    is_rejected: bool = False
    is_complete: bool = False
    closed_at: float | None = None

    @property
    def is_resumed(self) -> bool:
        """Whether another endpoint had written the events before."""
        return self.last_event is not None

    @property
    def is_open(self) -> bool:
        """Whether the endpoint still works on it."""
        return not self.is_complete and self.closed_at is None


def make_event(request_id: str, number: int) -> bytes:
    """Return one event of a stream, the same at each endpoint."""
    return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


def make_stream(request_id: str, events: int) -> bytes:
    """Return the body of a whole stream."""
    return b"".join(make_event(request_id, number) for number in range(events))


def make_body(name: str, request_id: str, size: int = 0) -> bytes:
    """Return the body that an endpoint gives to a request.

    :param size: bytes to which it is filled up.
    """
    return f"{name} {request_id} ".encode().ljust(size, b".")


@dataclass
class SilentEndpoint:
    """An endpoint that gives whole answers or, on paths with ``stream``, events.

    :param events: number of events of each stream.
    :param pace: seconds between two events.
    :param silences: all of them apply.
    :param statuses: of its next whole answers, 200 if there are no more.
    :param body_size: bytes to which the body of a whole answer is filled up.
    :param is_rejecting: whether it rejects requests that begin an answer.
    :param is_rejecting_resumed: whether it rejects requests that resume a stream.
    :param served: its requests, in the order of their arrival.
    """

    name: str
    events: int = 6
    pace: float = 0.05
    silences: list[Silence] = field(default_factory=list)
    framing: Framing = Framing.CHUNKED
    statuses: list[int] = field(default_factory=list)
    body_size: int = 0
    is_rejecting: bool = False
    is_rejecting_resumed: bool = False
    served: list[Served] = field(default_factory=list)
    address: str = ""
    _flowing: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        self._flowing.set()

    def hold(self) -> None:
        """Become silent on all connections, in whatever they are."""
        self._flowing.clear()

    def release(self) -> None:
        """Go on on all connections."""
        self._flowing.set()

    def find(self, request_id: str) -> list[Served]:
        """Return what it got of one request."""
        return [each for each in self.served if each.request_id == request_id]

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
            pass  # a task of a handler that ends with its error logs it
        finally:
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Answer one request; return whether another one may follow."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        line, *rest = head.rstrip().split("\r\n")
        headers = {k.lower(): v for k, _, v in (each.partition(": ") for each in rest)}
        await reader.readexactly(int(headers.get("content-length", "0")))
        last = headers.get("last-event-id")
        served = Served(
            headers.get("x-attempt-id", ""),
            line.split()[1],
            None if last is None else int(last),
            asyncio.get_running_loop().time(),
        )
        number = len(self.served)
        self.served.append(served)
        if self.is_rejecting_resumed if served.is_resumed else self.is_rejecting:
            served.is_rejected = served.is_complete = True
            writer.write(_REJECTION % served.request_id.encode())
            return True
        try:
            for phase, index, data in self._make_parts(served):
                await self._pause_before(phase, index, number, reader)
                writer.write(data)
                served.written += len(data)
                await writer.drain()
        except ConnectionError:
            served.closed_at = asyncio.get_running_loop().time()
            raise
        served.is_complete = True
        return self.framing is not Framing.CLOSE

    def _make_parts(self, served: Served) -> Iterator[tuple[Phase, int, bytes]]:
        """Yield the parts of an answer, each with the phase before it."""
        if "stream" in served.path:
            yield Phase.HEAD, 0, self._make_head(served, 200, "text/event-stream", None)
            first = 0 if served.last_event is None else served.last_event + 1
            for index, number in enumerate(range(first, self.events)):
                event = make_event(served.request_id, number)
                half = len(event) // 2
                phase = Phase.NEXT_EVENT if index else Phase.FIRST_EVENT
                yield phase, index, self._frame(event[:half])
                yield Phase.INSIDE_EVENT, index, self._frame(event[half:])
        else:
            status = self.statuses.pop(0) if self.statuses else 200
            body = make_body(self.name, served.request_id, self.body_size)
            half = len(body) // 2
            yield Phase.HEAD, 0, self._make_head(served, status, "text/plain", len(body))
            yield Phase.FIRST_EVENT, 0, self._frame(body[:half])
            yield Phase.INSIDE_BODY, 0, self._frame(body[half:])
        yield Phase.END, 0, b"0\r\n\r\n" if self._is_chunked(served) else b""

    def _make_head(self, served: Served, status: int, content: str, length: int | None) -> bytes:
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
        is_stream = "stream" in served.path
        return self.framing is Framing.CHUNKED or (self.framing is Framing.LENGTH and is_stream)

    def _frame(self, data: bytes) -> bytes:
        if self.framing is not Framing.CHUNKED:
            return data
        return f"{len(data):x}\r\n".encode() + data + b"\r\n"

    async def _pause_before(
        self, phase: Phase, index: int, number: int, reader: asyncio.StreamReader
    ) -> None:
        """Wait until a part is due.

        :raises ConnectionError: if the other side closed the connection.
        """
        loop = asyncio.get_running_loop()
        due = loop.time() + (self.pace if phase is Phase.NEXT_EVENT else 0.0)
        due += sum(each.seconds for each in self.silences if each.applies_to(phase, index, number))
        while True:
            if reader.at_eof() or reader.exception() is not None:
                raise ConnectionError("closed by the other side")
            if loop.time() >= due and self._flowing.is_set():
                return
            await asyncio.sleep(_POLL_SECONDS)
