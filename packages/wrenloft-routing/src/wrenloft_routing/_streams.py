"""Passing an event stream on, and noticing when it no longer comes."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from wrenloft_core import read_clock
from wrenloft_routing._events import Event, EventSplitter
from wrenloft_routing._exchange import AnswerSink, Reply, ReplyBrokenError

STALL_OBJECTIVES = 2.5
"""Aimed pauses after which a stream counts as stalled if it may go on elsewhere. Within twice the
pause a busy engine still writes; callers leave after eight times the pause at the earliest."""


class StreamEnd(Enum):
    """How a stream from one endpoint ended."""

    COMPLETE = "complete"
    BROKEN = "broke off"
    STALLED = "stalled"
    DEADLINE = "deadline passed"


@dataclass(slots=True)
class StreamProgress:
    """How far a stream has come, over all endpoints that wrote it.

    :param last: id of the last event that was passed on.
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
) -> StreamEnd:
    """Pass events on until the endpoint's stream ends.

    The caller's head is sent with the first whole event: until then the request can still be
    tried elsewhere, or refused with its own status.

    :param first_event_timeout: seconds until the first event.
    :param resumable: whether a stall after it may end this endpoint's stream; if not, its silence
        is borne until the deadline, since nobody else could go on.
    :param on_first_event: called when this endpoint's first event has come.
    """
    splitter = EventSplitter()
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
        events = splitter.feed(data)
        if not events:
            continue
        if not _is_contiguous(events, stream.last_event):
            return StreamEnd.BROKEN
        if not begun:
            begun = True
            on_first_event()
        await _forward_events(events, reply, sink, stream)
        timeout = gap_objective * STALL_OBJECTIVES


def _is_contiguous(events: list[Event], last: int | None) -> bool:
    """Check that no event is missing, doubled or from another run."""
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
