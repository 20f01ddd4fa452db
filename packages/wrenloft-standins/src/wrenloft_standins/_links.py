"""A link that carries so many bytes a second."""

import asyncio


class Link:
    """Paces the senders that share it, in the order in which they ask."""

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self._free_at = 0.0

    async def carry(self, size: int) -> None:
        """Wait until ``size`` bytes have passed."""
        now = asyncio.get_running_loop().time()
        self._free_at = max(now, self._free_at) + size / self.rate
        await asyncio.sleep(self._free_at - now)
