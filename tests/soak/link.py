"""A link to an endpoint that can hold back the bytes of its connections, and the ends of them."""

import asyncio
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field
from enum import Enum

from .endpoint import LOOPBACK


class Way(Enum):
    """Direction of bytes."""

    REQUESTS = "requests"
    ANSWERS = "answers"


@dataclass
class Link:
    """Passes connections on to a port, in order, and nothing while a direction is held."""

    port: int
    address: str = ""
    _held_until: dict[Way, float] = field(default_factory=lambda: dict.fromkeys(Way, 0.0))

    def hold(self, way: Way, seconds: float) -> None:
        """Hold back all bytes of a direction for some time."""
        self._held_until[way] = max(time.monotonic() + seconds, self._held_until[way])

    @asynccontextmanager
    async def serve(self) -> AsyncIterator["Link"]:
        """Listen until the context ends."""
        server = await asyncio.start_server(self._connect, LOOPBACK, 0, backlog=512)
        self.address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"
        try:
            yield self
        finally:
            server.close()

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        async with AsyncExitStack() as stack:
            stack.callback(writer.close)
            back, forth = await asyncio.open_connection(LOOPBACK, self.port)
            stack.callback(forth.close)
            ways = (Way.REQUESTS, reader, forth), (Way.ANSWERS, back, writer)
            tasks = [asyncio.create_task(self._copy(*each)) for each in ways]
            stack.callback(lambda: [each.cancel() for each in tasks])
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)

    async def _copy(
        self, way: Way, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with suppress(ConnectionError):
            more = True
            while more:
                data = await reader.read(65536)
                while (left := self._held_until[way] - time.monotonic()) > 0:
                    await asyncio.sleep(left)
                writer.write(data)
                await writer.drain()
                more = bool(data)
