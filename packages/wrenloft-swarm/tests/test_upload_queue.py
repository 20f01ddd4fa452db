"""Tests of the order of uploads."""

import asyncio

from wrenloft_swarm import _upload_queue
from wrenloft_swarm._upload_queue import UploadQueue


async def send(queue: UploadQueue, name: str, sent: list[str], *, urgent: bool) -> None:
    """Send a chunk, which takes one iteration of the event loop."""
    async with queue.reserve(urgent=urgent):
        sent.append(name)
        await asyncio.sleep(0)


class TestUploadQueue:
    """Tests for ``UploadQueue``."""

    async def test_urgent_chunks_go_first_and_in_order(self) -> None:
        """Half of the engines complete a version first, so that they serve while the others swap.

        With chunks sent in the order of requests, all engines are complete within 0.2 s and swap
        together, and callers find no engine for a second.
        """
        queue, sent = UploadQueue(), list[str]()
        names = [("a", False), ("b", False), ("c", True), ("d", True), ("e", False)]
        tasks = [asyncio.create_task(send(queue, n, sent, urgent=u)) for n, u in names]
        await asyncio.gather(*tasks)
        assert sent == ["a", "c", "d", "b", "e"]

    async def test_cancelled_request_does_not_block_the_queue(self) -> None:
        """Requests cancelled before and just as they get the link don't block others."""
        queue, sent = UploadQueue(), list[str]()
        async with queue.reserve(urgent=True):
            waiting = [
                asyncio.create_task(send(queue, name, sent, urgent=True)) for name in ("a", "b")
            ]
            await asyncio.sleep(0)
            waiting[0].cancel()
        waiting[1].cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        await send(queue, "c", sent, urgent=False)
        assert sent == ["c"]

    async def test_slow_receiver_does_not_hold_the_link(self, monkeypatch) -> None:
        """A receiver's link is slow: after ``EXCLUSIVE_SECONDS`` the next chunk is sent as well.

        The reservation is released once, and not again at the end of the chunk.
        """
        monkeypatch.setattr(_upload_queue, "EXCLUSIVE_SECONDS", 0.01)
        queue, sent = UploadQueue(), list[str]()
        async with queue.reserve(urgent=True):
            async with asyncio.timeout(5):
                await send(queue, "next", sent, urgent=False)
        first = asyncio.create_task(send(queue, "one", sent, urgent=True))
        second = asyncio.create_task(send(queue, "two", sent, urgent=True))
        await asyncio.sleep(0)
        assert sent == ["next", "one"]
        await asyncio.gather(first, second)
