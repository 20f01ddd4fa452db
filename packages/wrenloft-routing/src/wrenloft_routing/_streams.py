"""Reading of event streams, and what the caller has of them."""

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from wrenloft_core import read_clock
from wrenloft_routing._events import Event, EventSplitter
from wrenloft_routing._exchange import AnswerSink, Reply, ReplyBrokenError
from wrenloft_routing._memory_budget import UNBOUNDED, Reservation

STALL_OBJECTIVES = 2.5
"""Multiples of the gap objective after which an endpoint counts as silent. A busy engine still
writes within twice the objective; callers leave after eight times the objective at the earliest."""


MAX_EVENT_BYTES = 16 * 2**20
"""Longest event, as it is only forwarded whole. A stream with a longer one counts as broken off."""


class StreamEnd(Enum):
    """How a stream from one endpoint ended."""

    COMPLETE = "complete"
    BROKEN = "broke off"


@dataclass(slots=True)
class StreamProgress:
    """The progress of a stream, over all endpoints that wrote it.

    :param last_event: id of the last forwarded event.
    """

    begun: bool = False
    begun_at: float = 0.0
    last_event: int | None = None

    def continues_with(self, events: list[Event]) -> bool:
        """Return whether no event is missing, repeated or from another run."""
        last = self.last_event
        for event in events:
            if event.number is not None:
                if last is not None and event.number != last + 1:
                    return False
                last = event.number
        return True


class EventReader:
    """Reads whole events from one endpoint's answer.

    :param on_data: called whenever bytes arrive.
    :param held: counts the parts of an event until it is whole; a stream with an event beyond the
        bound of a connection, or beyond the longest event, counts as broken off.
    """

    def __init__(
        self,
        reply: Reply,
        on_data: Callable[[], None] = lambda: None,
        held: Reservation = UNBOUNDED,
    ) -> None:
        self._reply = reply
        self._on_data = on_data
        self._held = held
        self._partial_bytes = 0
        self._splitter = EventSplitter()

    async def read(self) -> list[Event] | StreamEnd:
        """Return the next whole events, or how the stream ended.

        A call that was cancelled loses nothing: the next one continues.
        """
        while True:
            try:
                data = await self._reply.read_some()
            except ReplyBrokenError:
                return StreamEnd.BROKEN
            if not data:
                partial = self._splitter.has_partial_event
                return StreamEnd.BROKEN if partial else StreamEnd.COMPLETE
            self._on_data()
            events = self._splitter.feed(data)
            if events:
                self.release()
                return events
            self._partial_bytes += len(data)
            is_held = self._held.add(len(data))
            if not is_held or self._partial_bytes > MAX_EVENT_BYTES:
                return StreamEnd.BROKEN

    def release(self) -> None:
        """Release what is held of an event that is not whole."""
        self._held.resize(self._held.size - self._partial_bytes)
        self._partial_bytes = 0


async def forward_events(
    events: list[Event], reply: Reply, sink: AnswerSink, stream: StreamProgress
) -> None:
    """Send events to the caller.

    The head is sent with the first whole event: until then the request can still be tried
    elsewhere, or refused with its own status.
    """
    if not stream.begun:
        await sink.begin(reply.status, reply.headers)
        stream.begun = True
        stream.begun_at = read_clock()
    for event in events:
        if event.number is not None:
            stream.last_event = event.number
    await sink.write(b"".join(event.data for event in events))
