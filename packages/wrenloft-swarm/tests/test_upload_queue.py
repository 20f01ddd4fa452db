"""Tests of whose chunk is sent next."""

import asyncio

from wrenloft_swarm import _upload_turns
from wrenloft_swarm._upload_queue import UploadTurns


async def send(turns: UploadTurns, name: str, sent: list[str], *, urgent: bool) -> None:
    """Send a chunk, which takes one turn of the loop."""
    async with turns.take(urgent=urgent):
        sent.append(name)
        await asyncio.sleep(0)


class TestUploadTurns:
    """Tests for ``UploadTurns``."""

    async def test_urgent_chunks_go_first_and_in_order(self) -> None:
        """Half of the engines are to be whole first, so that they serve while the others go on.

        Sent in the order in which they were asked for, all were whole within 0.2 s, and callers
        found no engine for a second.
        """
        turns, sent = UploadTurns(), list[str]()
        names = [("a", False), ("b", False), ("c", True), ("d", True), ("e", False)]
        tasks = [asyncio.create_task(send(turns, n, sent, urgent=u)) for n, u in names]
        await asyncio.gather(*tasks)
        assert sent == ["a", "c", "d", "b", "e"]

    async def test_asker_that_leaves_holds_up_nobody(self) -> None:
        """A neighbour gives up waiting, before its turn and just as it comes: the rest goes on."""
        turns, sent = UploadTurns(), list[str]()
        async with turns.take(urgent=True):
            waiting = [
                asyncio.create_task(send(turns, name, sent, urgent=True)) for name in ("a", "b")
            ]
            await asyncio.sleep(0)
            waiting[0].cancel()
        waiting[1].cancel()
        await asyncio.gather(*waiting, return_exceptions=True)
        await send(turns, "c", sent, urgent=False)
        assert sent == ["c"]

    async def test_slow_receiver_does_not_hold_the_link(self, monkeypatch) -> None:
        """A receiver's link is squeezed: after a time the next chunk is sent beside its own.

        Its turn ends once, and not again with its chunk.
        """
        monkeypatch.setattr(_upload_turns, "ALONE_SECONDS", 0.01)
        turns, sent = UploadTurns(), list[str]()
        async with turns.take(urgent=True):
            async with asyncio.timeout(5):
                await send(turns, "next", sent, urgent=False)
        first = asyncio.create_task(send(turns, "one", sent, urgent=True))
        second = asyncio.create_task(send(turns, "two", sent, urgent=True))
        await asyncio.sleep(0)
        assert sent == ["next", "one"]
        await asyncio.gather(first, second)
