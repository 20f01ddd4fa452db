"""Waking all tasks that wait for a change."""

import asyncio


class Signal:
    """Wakes every task that waits at the moment of a change, again and again.

    An ``asyncio.Event`` stays set: whoever clears it takes the change from the others.
    """

    def __init__(self) -> None:
        self._changed = asyncio.Event()

    def fire(self) -> None:
        """Wake whoever waits now."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, seconds: float) -> bool:
        """Wait for the next change, for so long at most; return whether it came."""
        changed = self._changed
        try:
            async with asyncio.timeout(seconds):
                await changed.wait()
        except TimeoutError:
            return False
        return True
