"""Sharing a host's link: live requests first, chunks with what they leave."""

import asyncio


class Pacer:
    """Paces chunk traffic in one direction of the link.

    Live bytes are never held back: they push the time at which the link is free again, so that
    chunks wait for them and not the other way round.

    :param rate: bytes a second.
    :param burst: bytes that may pass at once after a calm time.
    """

    def __init__(self, rate: float, burst: float = 0.0) -> None:
        self._rate = rate
        self._burst_seconds = burst / rate
        self._free_at = 0.0

    def note_live(self, size: int) -> None:
        """Count ``size`` bytes of live traffic."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + size / self._rate

    async def carry(self, size: int) -> None:
        """Wait until ``size`` bytes of a chunk have passed."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(now - self._burst_seconds, self._free_at) + size / self._rate
        await asyncio.sleep(max(0.0, self._free_at - now))
