"""Bytes of answers that wait for callers that read slowly."""

import fcntl
import struct
import termios
from asyncio import WriteTransport
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Protocol

from prometheus_client import Counter, Gauge

from wrenloft_core import RequestId, read_clock
from wrenloft_policy import (
    READ_AHEAD_BYTES,
    READ_AHEAD_RESUME_BYTES,
    SHORT_READ_AHEAD_BYTES,
    UNCOUNTED_BYTES,
    is_caller_stalled,
)
from wrenloft_routing._incomplete_answers import IncompleteReason, record_incomplete
from wrenloft_routing._memory_budget import MemoryBudget

SLOW_CALLERS = Gauge("wrenloft_slow_callers", "Connections with bytes that wait for their callers")
CUT_OFF = Counter("wrenloft_callers_cut_off", "Callers cut off because they took no byte")

_INT = struct.Struct("i")


class AnswerWriter(Protocol):
    """Writer of one answer on a caller's connection.

    ``output_size`` counts the bytes written so far, with head and framing.
    """

    output_size: int

    async def drain(self) -> None:
        """Wait until the connection takes more bytes."""


class CallerBuffer:
    """The bytes that wait for one caller.

    :ivar blocking: whether the endpoint's answer is not read on until the caller takes more.
    :ivar counted: bytes of the answer that its request's own reservation counts already.
    :ivar cut_off: whether the caller was cut off because it took nothing.
    :ivar on_cut_off: called before the connection is aborted for that.
    """

    def __init__(self, transport: WriteTransport, budget: MemoryBudget) -> None:
        self._transport = transport
        self._held = budget.open()
        self._writer: AnswerWriter | None = None
        self._request_id = RequestId("")
        self._written_before = 0
        self._taken = 0
        self._taken_at = read_clock()
        self.blocking = False
        self.counted = 0
        self.cut_off = False
        self.on_cut_off: Callable[[], None] = lambda: None
        _restore_limits(transport)

    def begin(self, writer: AnswerWriter, request_id: RequestId) -> None:
        """Begin the next answer on the connection."""
        if self._writer is not None:
            self._written_before += self._writer.output_size
        self._writer = writer
        self._request_id = request_id

    def needs_room(self) -> bool:
        """Count the waiting bytes if there are many; return whether there is no memory for them."""
        waiting = self._transport.get_write_buffer_size()
        more = waiting - max(UNCOUNTED_BYTES, self._held.size)
        return more > 0 and self._held.grow(waiting - self._held.size) is not None

    async def flush(self) -> None:
        """Wait until the caller has taken all bytes that wait for it."""
        assert self._writer is not None
        self._held.resize(self._transport.get_write_buffer_size())
        self._transport.set_write_buffer_limits(SHORT_READ_AHEAD_BYTES, 0)
        try:
            await self._writer.drain()
        finally:
            self._held.resize(self._transport.get_write_buffer_size())
            _restore_limits(self._transport)

    def review(self, now: float) -> bool:
        """Account for the waiting bytes, and cut the caller off if it takes none of them.

        :returns: whether any wait.
        """
        waiting = 0 if self.cut_off else self._transport.get_write_buffer_size()
        self._held.resize(max(0, waiting - self.counted))
        if not waiting:
            self._taken_at = now
            return False
        taken = self._count_taken(waiting)
        if taken > self._taken:
            self._taken, self._taken_at = taken, now
        elif is_caller_stalled(now - self._taken_at, blocking=self.blocking):
            self.cut_off = True
            CUT_OFF.inc()
            record_incomplete(
                self._request_id, IncompleteReason.CALLER_STALLED, f"{waiting} bytes not taken"
            )
            self.on_cut_off()
            self._transport.abort()
            self.close()
            return False
        return True

    def _count_taken(self, waiting: int) -> int:
        written = self._written_before + (self._writer.output_size if self._writer else 0)
        return written - waiting - _count_unconfirmed(self._transport)

    def close(self) -> None:
        """Release what is held."""
        self._held.release()


class CallerBuffers:
    """The buffers of all connections with an answer, and of those with waiting bytes.

    :param budget: from which they are taken.
    """

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._buffers: dict[WriteTransport, CallerBuffer] = {}
        self._answering: set[WriteTransport] = set()

    @contextmanager
    def watch(
        self, transport: WriteTransport | None, writer: AnswerWriter, request_id: RequestId
    ) -> Iterator[CallerBuffer | None]:
        """Watch a connection while it gets an answer, and until the caller has taken it.

        :param transport: ``None`` if the connection is lost already.
        """
        if transport is None or transport.is_closing() or self._budget.limits is None:
            yield None
            return
        buffer = self._buffers.get(transport)
        if buffer is None:
            buffer = self._buffers[transport] = CallerBuffer(transport, self._budget)
        buffer.begin(writer, request_id)
        self._answering.add(transport)
        try:
            yield buffer
        finally:
            self._answering.discard(transport)
            buffer.counted = 0
            if not buffer.review(read_clock()):
                self._forget(transport)

    def review(self) -> None:
        """Account for all waiting bytes, and cut off callers that take none of them."""
        now = read_clock()
        slow = 0
        for transport, buffer in list(self._buffers.items()):
            waits = buffer.review(now)
            slow += waits
            if not waits and transport not in self._answering:
                self._forget(transport)
        SLOW_CALLERS.set(slow)

    def _forget(self, transport: WriteTransport) -> None:
        buffer = self._buffers.pop(transport, None)
        if buffer is not None:
            buffer.close()


def _restore_limits(transport: WriteTransport) -> None:
    if not transport.is_closing():
        transport.set_write_buffer_limits(READ_AHEAD_BYTES, READ_AHEAD_RESUME_BYTES)


def _count_unconfirmed(transport: WriteTransport) -> int:
    """Return the bytes in the kernel that the caller's host has not confirmed."""
    socket = transport.get_extra_info("socket")
    if socket is None or socket.fileno() < 0:
        return 0
    try:
        answer = fcntl.ioctl(socket.fileno(), termios.TIOCOUTQ, bytes(_INT.size))
    except OSError:
        return 0
    return int(_INT.unpack(answer)[0])
