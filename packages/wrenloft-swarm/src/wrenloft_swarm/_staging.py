"""The chunks staged at an engine, and when each was last found intact."""

import asyncio
import logging
from collections.abc import Coroutine, Iterable, Sequence
from math import inf
from typing import Any, TypeVar

from wrenloft_core import PlatformUnavailableError, note, read_clock
from wrenloft_swarm._chunk_store import VersionChunks, VersionName
from wrenloft_swarm._ports import Engine

T = TypeVar("T")

_LOG = logging.getLogger(__name__)

CORRUPTION_GRACE_SECONDS = 3.0
"""Longest time for which a chunk that an engine takes may have been corrupt (operators' rule)."""

_MAX_STAGE_CALLS = 4
"""Staged chunks written or read at once; they don't use the host's link."""


class StagingArea:
    """The chunks staged at an engine, which loads them as they are when it accepts an order.

    Staged chunks may become corrupt at any time. A comparison therefore proves nothing of later
    moments, except in retrospect: a chunk that is intact at two comparisons, and was not written
    between them, was intact all the while.

    :ivar lock: held by writers, and from the comparisons until it is known what an engine took.
    """

    def __init__(self, engine: Engine) -> None:
        self.lock = asyncio.Lock()
        self._engine = engine
        self._name: VersionName | None = None
        self._intact_at: dict[int, float] = {}
        self._last_intact_at: dict[int, float] = {}  # also of chunks that were written since
        self._exposed_at = -inf
        self._unanswered_write = False
        self._writes: set[asyncio.Task[None]] = set()

    async def write_unless_locked(self, name: VersionName, chunk: int, data: bytes) -> None:
        """Stage a chunk, unless the area is locked.

        A cancelled caller leaves the write running and the area locked until it has ended.
        Otherwise the chunk could replace another one after that was compared.
        """
        if self.lock.locked():
            return
        await self.lock.acquire()
        write = asyncio.create_task(self._write_and_release(name, chunk, data))
        self._writes.add(write)
        write.add_done_callback(self._writes.discard)
        await asyncio.shield(write)

    async def _write_and_release(self, name: VersionName, chunk: int, data: bytes) -> None:
        try:
            await self._write(name, chunk, data)
        except PlatformUnavailableError as error:
            note(_LOG, "chunk staging deferred", chunk=chunk, reason=str(error))
        finally:
            self.lock.release()

    async def _write(self, name: VersionName, chunk: int, data: bytes) -> None:
        self._intact_at.pop(chunk, None)
        try:
            await self._engine.stage(name, chunk, data)
        except (PlatformUnavailableError, asyncio.CancelledError):
            self._unanswered_write = True  # the engine may still carry it out
            raise

    async def read_intact(self, version_chunks: VersionChunks, chunk: int) -> bytes | None:
        """Return a staged chunk, ``None`` if it isn't staged or doesn't match its digest."""
        data = await self._engine.read_staged(version_chunks.name, chunk)
        if data is None or chunk >= len(version_chunks.digests):
            return None
        return data if version_chunks.matches(chunk, data) else None

    def measure_age(self, wanted: Iterable[int]) -> float:
        """Return the seconds since the oldest of the chunks' last comparisons as intact.

        :returns: infinity if a chunk has not been found intact since it was staged.
        """
        return read_clock() - min((self._intact_at.get(each, -inf) for each in wanted), default=0.0)

    def forget(self) -> None:
        """Forget all comparisons."""
        self._intact_at.clear()
        self._last_intact_at.clear()

    async def refresh(
        self, version_chunks: VersionChunks, wanted: Sequence[int], max_age: float
    ) -> None:
        """Compare chunks with their digests, and stage those again that are missing or corrupt.

        :param max_age: age in seconds up to which an earlier comparison is kept.
        :raises PlatformUnavailableError: if the engine doesn't answer.
        """
        if version_chunks.name != self._name:
            self._name = version_chunks.name
            self.forget()
        kept_since = read_clock() - max_age
        stale = [each for each in wanted if self._intact_at.get(each, -inf) < kept_since]
        while stale:
            stale = await self._list_corrupt(version_chunks, stale)
            if stale:
                note(
                    _LOG,
                    "staged chunks missing or corrupt",
                    version=version_chunks.name.number,
                    count=len(stale),
                )
                await run_limited([self._restage(version_chunks, each) for each in stale])

    async def _restage(self, version_chunks: VersionChunks, chunk: int) -> None:
        data = version_chunks.get(chunk)
        if data is None:
            raise PlatformUnavailableError("chunk is not stored", step="stage")
        await self._write(version_chunks.name, chunk, data)
        now = read_clock()
        if now - self._last_intact_at.get(chunk, now) > CORRUPTION_GRACE_SECONDS:
            self._exposed_at = now

    async def _list_corrupt(
        self, version_chunks: VersionChunks, chunks: Sequence[int]
    ) -> list[int]:
        intact = await run_limited([self._compare(version_chunks, each) for each in chunks])
        return [chunk for chunk, is_intact in zip(chunks, intact, strict=True) if not is_intact]

    async def _compare(self, version_chunks: VersionChunks, chunk: int) -> bool:
        # The engine reads the chunk after the call, and the answer may be late.
        begun_at = read_clock()
        if await self.read_intact(version_chunks, chunk) is not None:
            self._intact_at[chunk] = self._last_intact_at[chunk] = begun_at
            return True
        return False

    def is_proven(self, wanted: Iterable[int], since: float) -> bool:
        """Return whether no chunk was corrupt for too long at any time from ``since`` until now.

        Each was compared often enough, and no write is undecided.
        """
        return (
            not self._unanswered_write
            and self._exposed_at < since
            and self.measure_age(wanted) <= CORRUPTION_GRACE_SECONDS
        )

    async def prove(
        self, version_chunks: VersionChunks, wanted: Sequence[int], since: float
    ) -> bool:
        """Compare all chunks once more, without a change, to learn the same in retrospect.

        :raises PlatformUnavailableError: if the engine doesn't answer.
        """
        corrupt = await self._list_corrupt(version_chunks, wanted)
        self._unanswered_write = False
        return not corrupt and self._exposed_at < since


async def run_limited(
    calls: Sequence[Coroutine[Any, Any, T]], *, cancel_rest: bool = True
) -> list[T]:
    """Run calls a few at a time, and return their results in order.

    :param cancel_rest: whether the first that fails ends the others. Left running against an engine
        that doesn't answer, the calls of one pass would last into the next ones.
    """
    semaphore = asyncio.Semaphore(_MAX_STAGE_CALLS)

    async def run(call: Coroutine[Any, Any, T]) -> T:
        try:
            async with semaphore:
                return await call
        finally:
            call.close()  # one that was cancelled before its turn

    tasks = [asyncio.create_task(run(each)) for each in calls]
    try:
        return list(await asyncio.gather(*tasks))
    finally:
        if cancel_rest:
            for task in tasks:
                task.cancel()
