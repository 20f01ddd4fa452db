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


def find_crashes(request: Iterable[dict[str, Any]], lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the events of the crashes for which a request was refused, in order of time.

    Of each endpoint and each quarantine the first event is returned; other nodes log the same.

    :param request: events of the request.
    :param lines: log lines as in :func:`find_request`.
    """
    refusals = [each for each in request if each.get("message") == "quarantined request refused"]
    if not refusals:
        return []
    segments = {each["segment"] for each in refusals if each.get("segment")}
    contents = {each.get("content") for each in refusals if not each.get("segment")}
    found: dict[tuple[Any, Any], dict[str, Any]] = {}
    for event in sorted(read_events(lines), key=lambda each: float(each.get("time", 0.0))):
        if _concerns(event, segments, contents):
            name = event.get("endpoint") or event.get("segment") or event.get("content")
            found.setdefault((event["message"], name), event)
    return list(found.values())


def _concerns(event: dict[str, Any], segments: set[Any], contents: set[Any]) -> bool:
    """Return whether an event is a crash or a quarantine of these segments or contents."""
    message = event.get("message")
    if message == "endpoint failed":
        at_endpoint = {segment for each in event.get("segments", ()) for segment in each}
        return bool(segments & at_endpoint or contents & set(event.get("contents", ())))
    if message in ("segment quarantined", "segment quarantine ended"):
        return event.get("segment") in segments
    return (
        message in ("content quarantined", "content quarantine ended")
        and event.get("content") in contents
    )


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
