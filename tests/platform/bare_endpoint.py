"""Stand-in of an endpoint that answers with any bytes, also without end."""

import asyncio
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from itertools import repeat

from .conftest import LOOPBACK

Pieces = Callable[[bytes], Iterator[bytes]]
"""Returns the pieces of the answer to the request with an id."""


def send_once(answer: bytes) -> Pieces:
    """Answer with these bytes; ``{id}`` stands for the request's id."""
    return lambda request_id: iter([answer.replace(b"{id}", request_id)])


def send_without_end(start: bytes, piece: bytes) -> Pieces:
    """Answer with a start and then with one piece again and again, until the other side closes."""

    def generate(request_id: bytes) -> Iterator[bytes]:
        yield start.replace(b"{id}", request_id)
        # Large writes keep the connection filled.
        yield from repeat(piece * (1 + 65536 // len(piece)))

    return generate


@dataclass
class BareEndpoint:
    """An endpoint that writes pieces of bytes in answer to each request.

    :param pieces: gives the pieces of the next answers.
    :param pause: seconds between two pieces.
    :ivar received: ids of the requests, in the order of their arrival.
    :ivar sent: bytes written.
    :ivar closed: connections that the other side has closed.
    """

    pieces: Pieces
    pause: float = 0.0
    received: list[str] = field(default_factory=list)
    sent: int = 0
    closed: int = 0
    address: str = ""

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
            while True:
                await self._answer(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed += 1
        except asyncio.CancelledError:
            pass  # the test has ended
        finally:
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        lines = dict(each.split(b": ", 1) for each in head.strip().split(b"\r\n")[1:])
        await reader.readexactly(int(lines.get(b"content-length", b"0")))
        request_id = lines.get(b"x-attempt-id", b"")
        self.received.append(request_id.decode())
        for piece in self.pieces(request_id):
            writer.write(piece)
            await writer.drain()
            self.sent += len(piece)
            await asyncio.sleep(self.pause)
