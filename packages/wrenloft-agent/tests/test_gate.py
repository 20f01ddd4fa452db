"""Tests of the gate to the runner."""

import asyncio

import pytest
from wrenloft_agent.runner import Gate, GateFullError

from wrenloft_core import Priority


async def _occupy(gate: Gate, priority: Priority, release: asyncio.Event) -> None:
    async with gate.enter(priority):
        await release.wait()


class TestEnter:
    """Tests for ``Gate.enter``."""

    async def test_lets_an_alarm_past_a_full_queue(self) -> None:
        """A humidity alarm comes while batch reports fill the runner and its queue.

        Every slot that others may take is taken and others wait; the alarm goes on at once.
        """
        gate = Gate(capacity=3, queue=2)
        release = asyncio.Event()
        tasks = [asyncio.create_task(_occupy(gate, Priority.BATCH, release)) for _ in range(4)]
        await asyncio.sleep(0)
        assert (gate.running, gate.waiting) == (2, 2)
        async with gate.enter(Priority.ALARM):
            assert gate.running == 3
        release.set()
        await asyncio.gather(*tasks)
        assert gate.running == 0

    async def test_admits_the_more_urgent_first(self) -> None:
        """An interactive request that came after a batch request gets the next slot."""
        gate = Gate(capacity=2, queue=5)
        order: list[Priority] = []
        first = asyncio.Event()

        async def take(priority: Priority) -> None:
            async with gate.enter(priority):
                order.append(priority)

        holder = asyncio.create_task(_occupy(gate, Priority.BATCH, first))
        await asyncio.sleep(0)
        waiting = [
            asyncio.create_task(take(each)) for each in (Priority.BATCH, Priority.INTERACTIVE)
        ]
        await asyncio.sleep(0)
        first.set()
        await asyncio.gather(holder, *waiting)
        assert order == [Priority.INTERACTIVE, Priority.BATCH]

    async def test_refuses_at_once_when_the_queue_is_full(self) -> None:
        """The refusal comes at once, so that the node can try another runner."""
        gate = Gate(capacity=2, queue=0)
        release = asyncio.Event()
        holder = asyncio.create_task(_occupy(gate, Priority.BATCH, release))
        await asyncio.sleep(0)
        with pytest.raises(GateFullError):
            async with gate.enter(Priority.BATCH):
                pass
        release.set()
        await holder

    async def test_gives_back_the_slot_of_a_cancelled_waiter(self) -> None:
        """A caller leaves in the moment in which its turn comes; the slot is not lost."""
        gate = Gate(capacity=2, queue=5)
        release = asyncio.Event()
        holder = asyncio.create_task(_occupy(gate, Priority.BATCH, release))
        waiter = asyncio.create_task(_occupy(gate, Priority.BATCH, release))
        await asyncio.sleep(0)
        release.set()
        await holder
        waiter.cancel()
        await asyncio.gather(waiter, return_exceptions=True)
        assert gate.running == 0
