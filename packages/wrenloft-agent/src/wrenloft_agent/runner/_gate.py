"""Who may go on to the runner: alarms at once, the others as slots allow."""

import asyncio
import heapq
import itertools
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from wrenloft_core import Priority, WrenloftError

_ALARM_FACTOR = 4


class GateFullError(WrenloftError):
    """The runner's slots and the agent's queue are full."""


class Gate:
    """Slots at the runner, some of which only alarms may take.

    :param capacity: requests that the runner works on at once.
    :param queue: requests that may wait here.
    """

    def __init__(self, capacity: int, queue: int) -> None:
        self.capacity = capacity
        self.alarm_slots = 1 if capacity > 1 else 0
        self.running = 0
        self._queue = queue
        self._order = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return sum(not turn.done() for _, _, turn in self._waiting)

    @asynccontextmanager
    async def enter(self, priority: Priority) -> AsyncIterator[None]:
        """Hold a slot.

        Alarms never wait here: beyond the reserved slots they go on to the engine, whose own
        priorities put them first. Were they queued, a flood of long batch answers would hold
        an alarm until one of them ended.

        :raises GateFullError: if the request can neither run nor wait.
        """
        if self._allows(priority):
            self.running += 1
        else:
            await self._wait(priority)
        try:
            yield
        finally:
            self.running -= 1
            self._admit_next()

    def _allows(self, priority: Priority) -> bool:
        if priority is Priority.ALARM:
            return self.running < self.capacity * _ALARM_FACTOR
        return self.running < max(1, self.capacity - self.alarm_slots)

    async def _wait(self, priority: Priority) -> None:
        if priority is Priority.ALARM or self.waiting >= self._queue:
            raise GateFullError("no slot and no room in the queue", step="enter-gate")
        turn = asyncio.get_running_loop().create_future()
        heapq.heappush(self._waiting, (priority.rank, next(self._order), turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.running -= 1
                self._admit_next()
            raise

    def _admit_next(self) -> None:
        while self._waiting and self._allows(Priority.BATCH):
            turn = heapq.heappop(self._waiting)[2]
            if not turn.done():
                self.running += 1
                turn.set_result(None)
