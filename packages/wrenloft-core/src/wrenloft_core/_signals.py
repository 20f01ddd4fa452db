"""Notification of all tasks that wait for a change."""

import asyncio


class Signal:
    """Wakes every task that waits at the time of a change, for any number of changes.

    An ``asyncio.Event`` stays set, and a task that clears it may hide the change from other tasks.
    """

    def __init__(self) -> None:
        self._changed = asyncio.Event()

    def fire(self) -> None:
        """Wake all tasks that are waiting now."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait(self, seconds: float) -> bool:
        """Wait for the next change for at most ``seconds``; return whether there was one."""
        changed = self._changed
        try:
            async with asyncio.timeout(seconds):
                await changed.wait()
        except TimeoutError:
            return False
        return True
