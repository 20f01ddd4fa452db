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
        self._rest = b""

    @property
    def has_partial_event(self) -> bool:
        """Whether part of an event is buffered."""
        return bool(self._rest.strip())

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes; return the events that are complete now."""
        self._rest += data
        if _END not in self._rest:
            return []
        *whole, self._rest = self._rest.split(_END)
        return [Event(each + _END, _read_number(each)) for each in whole]


def _read_number(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            try:
                return int(line[len(_ID) :])
            except ValueError:
                return None
    return None
