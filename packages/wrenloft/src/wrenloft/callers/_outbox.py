"""The answer on its way from the task that runs a request to the caller."""

import asyncio
from collections import deque
from dataclasses import dataclass

from wrenloft_core import NotRun, Unknown

_LIMIT = 1 << 20


@dataclass(frozen=True, slots=True)
class Head:
    """How an answer begins.

    :param size: bytes of the body if it is known.
    """

    status: int
    content_type: str
    attempts: int
    agent: str
    version: str = ""
    size: int | None = None


class Outbox:
    """Passes on one answer; the run goes on if the caller has left and it may not be cut off."""

    def __init__(self) -> None:
        self._pieces: deque[bytes] = deque()
        self._size = 0
        self._changed = asyncio.Event()
        self.head: asyncio.Future[Head | NotRun | Unknown] = (
            asyncio.get_running_loop().create_future()
        )
        self.ended = False
        self.broken = False
        self.abandoned = False

    def begin(self, head: Head | NotRun | Unknown) -> None:
        """Set how the answer begins."""
        if not self.head.done():
            self.head.set_result(head)

    async def put(self, piece: bytes) -> None:
        """Add a piece, waiting while the caller reads too slowly."""
        if self.abandoned:
            return
        self._pieces.append(piece)
        self._size += len(piece)
        self._notify()
        while self._size > _LIMIT and not self.abandoned:
            await self._changed.wait()

    def end(self, *, broken: bool = False) -> None:
        """Note that nothing more will come."""
        self.ended = True
        self.broken = broken
        self._notify()

    def abandon(self) -> None:
        """Note that the caller has left."""
        self.abandoned = True
        self._pieces.clear()
        self._notify()

    async def take(self) -> bytes:
        """Return all that has come, or ``b""`` at the end."""
        while not self._pieces and not self.ended:
            await self._changed.wait()
        taken = b"".join(self._pieces)
        self._pieces.clear()
        self._size = 0
        self._notify()
        return taken

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()
