"""Finding what became of a request, from collected logs."""

import json
import re
from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from math import isfinite
from typing import Any, NewType

LogSource = NewType("LogSource", str)
"""The file and the process that a log line is from."""

AROUND_SECONDS = 3.0
"""How long before and after a silence other events are shown. Endpoints that go on are silent for
less than that."""

_MAX_SHOWN = 3
"""Events of a kind that are shown; the others are counted."""

_SHOWN_FIRST = ("time", "message", "outcome", "step", "reason")
_HIDDEN = frozenset({"level", "logger"})

_SILENT = "endpoint silent"
_CONTINUED = "silent endpoint continued"
_FAILED = "endpoint failed"
INCOMPLETE = "answer incomplete"
_ATTEMPT_ENDS = frozenset({_CONTINUED, "attempt superseded", "attempt failed"})
_NODE_CHANGES = frozenset({"configuration applied", "settings reloaded", "stopping"})

_TIME_WORD = re.compile(r".*\d\d:\d\d:\d\d.*|\[?\d+(\.\d+)?\]?")
"""A word before an event that tells the time, as log collectors write it."""


@dataclass(frozen=True, slots=True)
class LogEvent:
    """An event, and where it was logged."""

    source: LogSource
    fields: dict[str, Any]

    @property
    def time(self) -> float:
        """Seconds on the clock of the host that logged it."""
        return _get_time(self.fields)

    @property
    def message(self) -> str:
        """What happened."""
        return str(self.fields.get("message", ""))


@dataclass(frozen=True, slots=True)
class Interval:
    """A time during which a request waited for an endpoint that sent nothing.

    An answer that was incomplete for another reason has one that begins and ends with it.

    :param endpoint: empty if the answer had none.
    :param begun: in seconds.
    :param ended: in seconds.
    """

    endpoint: str
    begun: float
    ended: float

    def covers(self, time: float) -> bool:
        """Return whether a time is not far from the interval."""
        return self.begun - AROUND_SECONDS <= time <= self.ended + AROUND_SECONDS


@dataclass(frozen=True, slots=True)
class Surroundings:
    """What else happened while a request waited, in order of time.

    :param others: silences of the same endpoint, and their ends, in other requests.
    :param failures: of the same endpoint.
    :param elsewhere: silences of other endpoints in requests of the same node.
    :param changes: of the same node.
    """

    interval: Interval
    others: list[LogEvent]
    failures: list[LogEvent]
    elsewhere: list[LogEvent]
    changes: list[LogEvent]


def find_request(request_id: str, lines: Iterable[str]) -> list[dict[str, Any]]:
    """Return the events of one request in order of time.

    :param lines: log lines of any number of processes, each with whatever stands before the
        event's JSON; lines without any are passed over.
    """
    events = [each for each in read_events(lines) if each.get("request") == request_id]
    return sorted(events, key=_get_time)


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
    for event in sorted(read_events(lines), key=_get_time):
        if _concerns(event, segments, contents):
            name = event.get("endpoint") or event.get("segment") or event.get("content")
            found.setdefault((event["message"], name), event)
    return list(found.values())


def _concerns(event: dict[str, Any], segments: set[Any], contents: set[Any]) -> bool:
    """Return whether an event is a crash or a quarantine of these segments or contents."""
    message = event.get("message")
    if message == _FAILED:
        at_endpoint = {segment for each in event.get("segments", ()) for segment in each}
        return bool(segments & at_endpoint or contents & set(event.get("contents", ())))
    if message in ("segment quarantined", "segment quarantine ended"):
        return event.get("segment") in segments
    return (
        message in ("content quarantined", "content quarantine ended")
        and event.get("content") in contents
    )


def find_surroundings(request_id: str, logs: Mapping[str, Iterable[str]]) -> list[Surroundings]:
    """Return what happened around the silences and the incomplete answer of a request.

    :param logs: log lines by the name of their file, each as in :func:`find_request`.
    """
    own: list[LogEvent] = []
    others: list[LogEvent] = []
    for event in sorted(_read_log_events(logs), key=lambda each: each.time):
        (own if event.fields.get("request") == request_id else others).append(event)
    nodes = {each.source for each in own}
    return [_find_around(interval, others, nodes) for interval in _find_intervals(own)]


def _find_intervals(own: Iterable[LogEvent]) -> list[Interval]:
    """Return when a request waited, by endpoint; those that are close together as one."""
    found: list[Interval] = []
    open_since: dict[str, float] = {}
    last = 0.0
    for event in own:
        last = event.time
        endpoint = str(event.fields.get("endpoint") or "")
        if event.message == _SILENT:
            begun = last - float(event.fields.get("silent_ms") or 0.0) / 1000
            open_since.setdefault(endpoint, begun)
        elif event.message == INCOMPLETE or (
            event.message in _ATTEMPT_ENDS and endpoint in open_since
        ):
            found.append(Interval(endpoint, open_since.pop(endpoint, last), last))
    found += [Interval(endpoint, begun, last) for endpoint, begun in open_since.items()]
    return _join_intervals(found)


def _join_intervals(intervals: Iterable[Interval]) -> list[Interval]:
    joined: list[Interval] = []
    for each in sorted(intervals, key=lambda each: (each.endpoint, each.begun)):
        known = joined[-1] if joined else None
        if (
            known is not None
            and known.endpoint == each.endpoint
            and each.begun - known.ended <= 2 * AROUND_SECONDS
        ):
            ended = max(known.ended, each.ended)
            joined[-1] = Interval(known.endpoint, known.begun, ended)
        else:
            joined.append(each)
    return sorted(joined, key=lambda each: each.begun)


def _find_around(
    interval: Interval, events: Iterable[LogEvent], nodes: Collection[LogSource]
) -> Surroundings:
    around = Surroundings(interval, [], [], [], [])
    for event in events:
        if not interval.covers(event.time):
            continue
        is_same = bool(interval.endpoint) and event.fields.get("endpoint") == interval.endpoint
        if is_same and event.message in (_SILENT, _CONTINUED):
            around.others.append(event)
        elif is_same and event.message == _FAILED:
            around.failures.append(event)
        elif event.source in nodes and event.message == _SILENT:
            around.elsewhere.append(event)
        elif event.source in nodes and event.message in _NODE_CHANGES:
            around.changes.append(event)
    return around


def describe_surroundings(surroundings: Surroundings) -> Iterator[str]:
    """Return lines on what happened around a silence: counts, then the first events."""
    interval = surroundings.interval
    endpoint = f"endpoint {interval.endpoint}" if interval.endpoint else "no endpoint"
    yield (
        f"{endpoint} from {interval.begun:.3f} to {interval.ended:.3f},"
        f" and {AROUND_SECONDS:g} s before and after:"
    )
    kinds = Counter(each.message for each in surroundings.others)
    nodes = len({each.source for each in surroundings.others})
    yield (
        f"other requests: {_SILENT} {kinds[_SILENT]}, {_CONTINUED} {kinds[_CONTINUED]},"
        f" logged by {nodes} processes"
    )
    yield from _describe_first(surroundings.others)
    yield f"{_SILENT} at other endpoints, logged by the same process: {len(surroundings.elsewhere)}"
    yield from _describe_first(surroundings.failures)
    yield from _describe_first(surroundings.changes)


def _describe_first(events: Sequence[LogEvent]) -> Iterator[str]:
    for event in events[:_MAX_SHOWN]:
        yield describe_event(event.fields, shows_request=True)
    if len(events) > _MAX_SHOWN:
        yield f"{len(events) - _MAX_SHOWN} more"


def _read_log_events(logs: Mapping[str, Iterable[str]]) -> Iterator[LogEvent]:
    for name, lines in logs.items():
        for line in lines:
            fields = _parse_event(line)
            if fields is not None:
                yield LogEvent(_find_source(name, line), fields)


def _find_source(name: str, line: str) -> LogSource:
    """Return the file of a line, with what stands before its event and is not the time."""
    words = line[: line.find("{")].split()
    return LogSource(" ".join([name, *(each for each in words if not _TIME_WORD.fullmatch(each))]))


def read_events(lines: Iterable[str]) -> Iterator[dict[str, Any]]:
    """Return the events of log lines; what is none is passed over."""
    for line in lines:
        event = _parse_event(line)
        if event is not None:
            yield event


def _parse_event(line: str) -> dict[str, Any] | None:
    """Return the event of a line, ``None`` if it was cut or is another program's."""
    start = line.find("{")
    if start < 0:
        return None
    try:
        event = json.loads(line[start:])
        has_time = isinstance(event, dict) and isfinite(_get_time(event))
    except (ValueError, TypeError, OverflowError):
        return None
    return event if has_time else None


def _get_time(event: Mapping[str, Any]) -> float:
    return float(event.get("time", "nan"))


def describe_event(event: dict[str, Any], *, shows_request: bool = False) -> str:
    """Return one event as a line: what happened first, then what decided it."""
    hidden = _HIDDEN if shows_request else {*_HIDDEN, "request"}
    names = [name for name in _SHOWN_FIRST if event.get(name) not in (None, "")]
    names += [name for name in event if name not in (*_SHOWN_FIRST, *hidden)]
    shown = [f"{name}={event[name]}" for name in names if event[name] not in (None, "")]
    return " ".join(shown)
