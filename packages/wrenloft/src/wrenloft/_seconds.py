"""What became of requests, second by second, from collected logs."""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from wrenloft._explain import read_events

_ENDED = "request ended"
_REASON_LENGTH = 40


@dataclass(slots=True)
class Second:
    """Requests that arrived within one second.

    :param in_time: streams whose first event came within the aim.
    :param late: streams whose first event came later, to callers who asked for the first time.
    :param returned: streams answered to callers who had been refused before.
    :param plain: other requests that were answered.
    :param failed: how often each other end came, by step and reason.
    :param predicted: milliseconds to the first event, as predicted when they were sent.
    :param seen: milliseconds to the first event.
    """

    in_time: int = 0
    late: int = 0
    returned: int = 0
    plain: int = 0
    failed: Counter[str] = field(default_factory=Counter)
    predicted: list[float] = field(default_factory=list)
    seen: list[float] = field(default_factory=list)


def count_seconds(lines: Iterable[str], aim_ms: float) -> dict[int, Second]:
    """Count requests by the second in which they arrived.

    :param lines: log lines of any number of processes.
    :param aim_ms: milliseconds within which a first event is in time.
    """
    seconds: dict[int, Second] = {}
    for event in read_events(lines):
        if event.get("message") != _ENDED:
            continue
        arrived = float(event["time"]) - event["ms"] / 1000
        _count(seconds.setdefault(int(arrived), Second()), event, aim_ms)
    return dict(sorted(seconds.items()))


def _count(second: Second, event: dict[str, Any], aim_ms: float) -> None:
    if event["outcome"] != "Done":
        reason = "".join(each for each in event["reason"] if not each.isdigit())
        second.failed[f"{event['step']}: {reason[:_REASON_LENGTH]}"] += 1
        return
    if event["first_ms"] is None:
        second.plain += 1
        return
    second.predicted.append(event["predicted_ms"])
    second.seen.append(event["first_ms"])
    if event["spent_ms"]:
        second.returned += 1
    elif event["first_ms"] <= aim_ms:
        second.in_time += 1
    else:
        second.late += 1


def describe_second(number: int, second: Second) -> str:
    """Return one second as a line: what was served, predictions against what came, failures."""
    failed = ", ".join(f"{reason} {count}" for reason, count in second.failed.most_common(3))
    return (
        f"{number} in time {second.in_time}, late {second.late}, returned {second.returned}, "
        f"plain {second.plain}; first event predicted {_describe_middle(second.predicted)}, "
        f"seen {_describe_middle(second.seen)} ms; failed {second.failed.total()}"
        + (f": {failed}" if failed else "")
    )


def _describe_middle(values: list[float]) -> str:
    """Return the median and the ninth decile."""
    if not values:
        return "-"
    ordered = sorted(values)
    return f"{ordered[len(ordered) // 2]:.0f}/{ordered[len(ordered) * 9 // 10]:.0f}"
