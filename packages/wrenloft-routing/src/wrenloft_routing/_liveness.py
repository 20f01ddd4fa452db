"""Probe of whether an endpoint's process lives."""

import asyncio
from enum import Enum

PROBE_TIMEOUT_SECONDS = 0.25
"""Longest wait for a connection; an endpoint in another region answers in 6 ms."""

END_TIMEOUT_SECONDS = 0.1
"""Longest wait for the end of a connection that has nothing to send. After it the process counts
as alive, since a paused one takes longer."""


class Liveness(Enum):
    """Result of a connection attempt to an address.

    ``REFUSED`` shows that the host is up and the process isn't, ``UNREACHABLE`` that nothing
    answers.
    """

    REACHABLE = "answers"
    REFUSED = "refused"
    UNREACHABLE = "silent"


async def probe_address(address: str) -> Liveness:
    """Open a connection to an address, and see how it ends.

    A kernel completes connections until the process has closed its listener, also while the process
    is ending, and then resets those that were not accepted. A process that lives ends a connection
    on which it gets nothing; it may reset one too many, but goes on listening.
    """
    try:
        if await _is_reset(*await _connect(address)):
            _, writer = await _connect(address)
            writer.close()
    except ConnectionRefusedError:
        return Liveness.REFUSED
    except (OSError, TimeoutError):
        return Liveness.UNREACHABLE
    return Liveness.REACHABLE


async def _connect(address: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
        return await asyncio.open_connection(host, int(port))


async def _is_reset(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
    """Send the end of a connection, and return whether the other side resets it."""
    try:
        writer.write_eof()
        async with asyncio.timeout(END_TIMEOUT_SECONDS):
            await reader.read(1)
    except TimeoutError:
        return False
    except OSError:
        return True
    finally:
        writer.close()
    return False
