"""Pacing of chunk traffic on a host's link, below the priority of live requests."""

import asyncio


class Pacer:
    """Paces chunk traffic in one direction of the link.

    Live traffic is never delayed: it only moves the time at which the link is idle again, so that
    chunks wait for live traffic and not the reverse.

    :param rate: bytes a second.
    :param burst: bytes that may pass at once after an idle time.
    """

    def __init__(self, rate: float, burst: float = 0.0) -> None:
        self._rate = rate
        self._burst_seconds = burst / rate
        self._idle_at = 0.0

    def record_live(self, size: int) -> None:
        """Record ``size`` bytes of live traffic."""
        now = asyncio.get_running_loop().time()
        self._idle_at = max(now, self._idle_at) + size / self._rate

    async def acquire(self, size: int) -> None:
        """Wait until ``size`` bytes of chunk traffic have passed."""
        now = asyncio.get_running_loop().time()
        self._idle_at = max(now - self._burst_seconds, self._idle_at) + size / self._rate
        await asyncio.sleep(max(0.0, self._idle_at - now))
