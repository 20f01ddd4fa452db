"""Callers' connections that ended without a complete answer, counted from collected logs."""

from collections import Counter
from collections.abc import Iterable, Iterator

from wrenloft._explain import INCOMPLETE, read_events

_REASON_WIDTH = 14

IncompleteCounts = Counter[tuple[str, str]]
"""Incomplete answers by reason and endpoint."""


def count_incomplete(lines: Iterable[str]) -> IncompleteCounts:
    """Count the answers that were incomplete.

    :param lines: log lines of any number of processes.
    """
    return Counter(
        (str(each.get("reason") or "unknown"), str(each.get("endpoint") or "no endpoint"))
        for each in read_events(lines)
        if each.get("message") == INCOMPLETE
    )


def describe_incomplete(counts: IncompleteCounts) -> Iterator[str]:
    """Return a line for each reason and endpoint, the most frequent first."""
    for (reason, endpoint), count in sorted(counts.items(), key=lambda each: (-each[1], *each[0])):
        yield f"{count:>6}  {reason:<{_REASON_WIDTH}}  {endpoint}"


def sum_reasons(counts: IncompleteCounts) -> str:
    """Return how many answers were incomplete, and how many for each reason."""
    reasons: Counter[str] = Counter()
    for (reason, _), count in counts.items():
        reasons[reason] += count
    listed = ", ".join(f"{reason} {count}" for reason, count in reasons.most_common())
    return f"incomplete answers {reasons.total()}" + (f": {listed}" if listed else "")
