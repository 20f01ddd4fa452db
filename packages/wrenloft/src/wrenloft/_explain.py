"""Finding what became of a request, from collected logs."""

import json
from collections.abc import Iterable, Iterator
from typing import Any

_SHOWN_FIRST = ("time", "message", "outcome", "step", "reason")
_HIDDEN = frozenset({"level", "logger", "request"})


def find_request(request_id: str, lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the events of one request in order of time.

    :param lines: log lines of any number of processes, each with whatever stands before the
        event's JSON; lines without any are passed over.
    """
    events = [each for each in read_events(lines) if each.get("request") == request_id]
    return sorted(events, key=lambda each: float(each.get("time", 0.0)))


def read_events(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Return the events of log lines; what is none is passed over."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            event = json.loads(line[start:])
        except ValueError:
            continue  # a line that was cut, or another program's
        if isinstance(event, dict):
            yield event


def describe_event(event: dict[str, Any]) -> str:
    """Return one event as a line: what happened first, then what decided it."""
    names = [name for name in _SHOWN_FIRST if event.get(name) not in (None, "")]
    names += [name for name in event if name not in (*_SHOWN_FIRST, *_HIDDEN)]
    shown = [f"{name}={event[name]}" for name in names if event[name] not in (None, "")]
    return " ".join(shown)
