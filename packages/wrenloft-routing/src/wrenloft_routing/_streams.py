"""Forwarding of event streams, with detection of stalls."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from wrenloft_core import read_clock
from wrenloft_routing._events import Event, EventSplitter
from wrenloft_routing._exchange import AnswerSink, Reply, ReplyBrokenError
from wrenloft_routing._memory_budget import UNBOUNDED, Reservation

STALL_OBJECTIVES = 2.5
"""Multiples of the gap objective after which a resumable stream counts as stalled. A busy engine
still writes within twice the objective; callers leave after eight times the objective at the
earliest."""


class StreamEnd(Enum):
    """How a stream from one endpoint ended."""

    COMPLETE = "complete"
    BROKEN = "broke off"
    STALLED = "stalled"
    DEADLINE = "deadline passed"


@dataclass(slots=True)
class StreamProgress:
    """The progress of a stream, over all endpoints that wrote it.

    :param last_event: id of the last forwarded event.
    """

    begun: bool = False
    begun_at: float = 0.0
    last_event: int | None = None


async def forward_stream(
    reply: Reply,
    sink: AnswerSink,
    stream: StreamProgress,
    *,
    first_event_timeout: float,
    gap_objective: float,
    deadline: float,
    resumable: bool,
    on_first_event: Callable[[], None],
    on_data: Callable[[], None] = lambda: None,
    held: Reservation = UNBOUNDED,
) -> StreamEnd:
    """Forward events until the endpoint's stream ends.

    The head is sent with the first whole event: until then the request can still be tried
    elsewhere, or refused with its own status.

    :param first_event_timeout: seconds until the first event.
    :param resumable: whether a later stall may end this endpoint's stream; if not, the stream waits
        until the deadline, since no other endpoint could resume it.
    :param on_first_event: called on the first event of this endpoint.
    :param on_data: called whenever bytes arrive.
    :param held: counts the parts of an event until it is whole; a stream with an event beyond the
        bound of a connection counts as broken off.
    """
    splitter = EventSplitter()
    before = held.size
    timeout = first_event_timeout
    begun = False
    while True:
        left = deadline - read_clock()
        if left <= 0:
            return StreamEnd.DEADLINE
        wait = min(left, timeout) if resumable or not stream.begun else left
        try:
            async with asyncio.timeout(wait):
                data = await reply.read_some()
        except TimeoutError:
            return StreamEnd.DEADLINE if wait >= left else StreamEnd.STALLED
        except ReplyBrokenError:
            return StreamEnd.BROKEN
        if not data:
            return (
                StreamEnd.BROKEN
                if splitter.has_partial_event or not stream.begun
                else StreamEnd.COMPLETE
            )
        on_data()
        events = splitter.feed(data)
        if not events:
            if not held.add(len(data)):
                return StreamEnd.BROKEN
            continue
        held.resize(before)
        if not _is_contiguous(events, stream.last_event):
            return StreamEnd.BROKEN
        if not begun:
            begun = True
            on_first_event()
        await _forward_events(events, reply, sink, stream)
        timeout = gap_objective * STALL_OBJECTIVES


def _is_contiguous(events: list[Event], last: int | None) -> bool:
    """Return whether no event is missing, repeated or from another run."""
    for event in events:
        if event.number is not None:
            if last is not None and event.number != last + 1:
                return False
            last = event.number
    return True


async def _forward_events(
    events: list[Event], reply: Reply, sink: AnswerSink, stream: StreamProgress
) -> None:
    if not stream.begun:
        await sink.begin(reply.status, reply.headers)
        stream.begun = True
        stream.begun_at = read_clock()
    for event in events:
        if event.number is not None:
            stream.last_event = event.number
    await sink.write(b"".join(event.data for event in events))
