"""Splitting of event streams into whole events."""

from dataclasses import dataclass

_END = b"\n\n"
_ID = b"id:"


@dataclass(frozen=True, slots=True)
class Event:
    """One whole event as received, with its id if it has one."""

    data: bytes
    number: int | None


class EventSplitter:
    """Buffer bytes and return whole events.

    Only whole events are forwarded: an endpoint may stop within one, and the rest would be joined
    to the first event of the endpoint that resumes the stream.
    """

    def __init__(self) -> None:
        self._rest = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Whether part of an event is buffered."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes; return the events that are complete now."""
        searched = max(0, len(self._rest) - len(_END) + 1)
        self._rest += data
        if self._rest.find(_END, searched) < 0:
            return []
        *whole, rest = bytes(self._rest).split(_END)
        self._rest = bytearray(rest)
        return [Event(each + _END, _read_number(each)) for each in whole]


def _read_number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            try:
                return int(line[len(_ID) :])
            except ValueError:
                return None
    return None
