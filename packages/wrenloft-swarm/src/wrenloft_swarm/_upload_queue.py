"""Whose chunk is sent next over this host's link."""

import asyncio
import heapq
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import count

ALONE_SECONDS = 0.25
"""How long a chunk has the link to itself: three times what it takes at the full rate. After that
the receiver's link is the slower one, and the next chunk is sent beside it."""


class UploadTurns:
    """Lets one chunk go at a time, the urgent ones first.

    Sent side by side, two chunks are whole at the next agent, and can be passed on, in twice the
    time, and a version that spreads by doubling in as much more. Those that are not urgent take
    what the others leave: all engines would otherwise be whole within the same moment, and go on
    to the version together, with none left for requests.
    """

    def __init__(self) -> None:
        self._busy = False
        self._order = count()
        self._waiting: list[tuple[bool, int, asyncio.Future[None]]] = []

    @asynccontextmanager
    async def take(self, *, urgent: bool) -> AsyncIterator[None]:
        """Wait for a turn, which ends with the block or after a time."""
        await self._acquire(urgent)
        held = True

        def release() -> None:
            nonlocal held
            if held:
                held = False
                self._pass_on()

        timer = asyncio.get_running_loop().call_later(ALONE_SECONDS, release)
        try:
            yield
        finally:
            timer.cancel()
            release()

    async def _acquire(self, urgent: bool) -> None:
        if not self._busy:
            self._busy = True
            return
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (not urgent, next(self._order), turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self._pass_on()  # it was this one's turn when its asker left
            raise

    def _pass_on(self) -> None:
        while self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            if not turn.done():
                turn.set_result(None)
                return
        self._busy = False
