"""A link to an endpoint that holds the bytes of its connections, and the ends of them, back."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field

_READ_BYTES = 65536


@dataclass
class HeldLink:
    """Passes connections on to an address, in order, and nothing while it holds them.

    As in a narrowed link, the close of a connection waits behind the bytes that were sent before.

    :param target: address of the endpoint behind the link.
    """

    target: str
    address: str = ""
    _is_open: asyncio.Event = field(default_factory=asyncio.Event)
    _held: asyncio.Event = field(default_factory=asyncio.Event)

    def hold(self) -> None:
        """Hold back all that is sent to the endpoint from now on."""
        self._is_open.clear()

    def release(self) -> None:
        """Pass on what was held back, and what follows."""
        self._is_open.set()

    async def wait_held(self) -> None:
        """Wait until bytes are held back."""
        await self._held.wait()

    @asynccontextmanager
    async def serve(self, ip: str) -> AsyncIterator["HeldLink"]:
        """Listen on a port of an address until the context ends."""
        self._is_open.set()
        server = await asyncio.start_server(self._connect, ip, 0)
        self.address = f"{ip}:{server.sockets[0].getsockname()[1]}"
        try:
            yield self
        finally:
            self._is_open.set()
            server.close()

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self.target.partition(":")
        async with AsyncExitStack() as stack:
            stack.callback(writer.close)
            endpoint_reader, endpoint_writer = await asyncio.open_connection(host, int(port))
            stack.callback(endpoint_writer.close)
            answers = asyncio.create_task(_copy(endpoint_reader, writer))
            stack.callback(answers.cancel)
            with suppress(ConnectionError):
                while data := await reader.read(_READ_BYTES):
                    if not self._is_open.is_set():
                        self._held.set()
                    await self._is_open.wait()
                    endpoint_writer.write(data)
                await self._is_open.wait()


async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    with suppress(ConnectionError):
        while data := await reader.read(_READ_BYTES):
            writer.write(data)
