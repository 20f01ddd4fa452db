"""Order of chunk uploads on this host's link."""

import asyncio
import heapq
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count

EXCLUSIVE_SECONDS = 0.25
"""Time for which an upload has the link to itself: three times that of a chunk at the full rate. An
upload that takes longer is limited by the receiver's link, so the next one starts beside it."""


class UploadQueue:
    """Priority queue that lets one upload at a time use the link, urgent ones first.

    Two chunks sent at the same time each take twice as long until the receiver can pass them on,
    which slows a version that spreads by doubling. Uploads that aren't urgent use spare capacity:
    otherwise all engines would complete the version, and swap to it, at the same time, with none
    left for requests.
    """

    def __init__(self) -> None:
        self._busy = False
        self._sequence = count()
        self._waiting: list[tuple[bool, int, asyncio.Future[None]]] = []

    @asynccontextmanager
    async def reserve(self, *, urgent: bool) -> AsyncIterator[None]:
        """Wait for the link, and reserve it for the block or ``EXCLUSIVE_SECONDS``."""
        await self._acquire(urgent)
        is_active = True

        def release() -> None:
            nonlocal is_active
            if is_active:
                is_active = False
                self._wake_next()

        timer = asyncio.get_running_loop().call_later(EXCLUSIVE_SECONDS, release)
        try:
            yield
        finally:
            timer.cancel()
            release()

    async def _acquire(self, urgent: bool) -> None:
        if not self._busy:
            self._busy = True
            return
        waiter = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (not urgent, next(self._sequence), waiter))
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.done() and not waiter.cancelled():
                self._wake_next()  # the link was granted to a request that is cancelled
            raise

    def _wake_next(self) -> None:
        while self._waiting:
            _, _, waiter = heapq.heappop(self._waiting)
            if not waiter.done():
                waiter.set_result(None)
                return
        self._busy = False
