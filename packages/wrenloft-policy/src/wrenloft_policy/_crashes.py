"""Which requests count as crashing the endpoints that run them."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from enum import IntEnum

from wrenloft_core import IncarnationId

CRASHES_TO_QUARANTINE = 3
"""Endpoints that fall under one content before it is held back. A request is in progress at one or
two that fall by chance; each further one takes a share of the fleet from everybody."""

CRASH_TTL_SECONDS = 600.0
"""How long a crash counts. A caller repeats a failing request for seconds to minutes; one whose
repeats are further apart costs one engine in ten minutes, which is back within ten seconds."""

PROBE_INTERVAL_SECONDS = 60.0
"""From the third crash of a content until it is tried once more, in the whole fleet; doubled by
each further crash. A trial costs one engine for ten seconds at the worst. Whatever was held back
wrongly has three crashes and is found out within a minute; the more engines fell, the surer it is
that the next one falls too."""

MAX_PROBE_INTERVAL_SECONDS = 480.0
"""Longest such wait: a trial comes while the crashes before it still count."""

SUCCESS_TTL_SECONDS = 10.0
"""How long a whole answer speaks for its content. Whatever is polled has one more often than that;
longer, a content that begins to crash endpoints would go on for as long."""


class CrashStatus(IntEnum):
    """Whether a crash counts against a content; of two opinions the higher one holds."""

    COUNTED = 0
    SUCCEEDED = 1
    LIFTED = 2


@dataclass(frozen=True, slots=True)
class Crash:
    """The fall of an endpoint at which a content was in progress.

    :param at: on this node's clock.
    """

    at: float
    status: CrashStatus = CrashStatus.COUNTED


Crashes = Mapping[IncarnationId, Crash]
"""The crashes of one content. Told by several nodes, the fall of one incarnation is one crash."""


def list_counted_crashes(crashes: Crashes, now: float) -> set[IncarnationId]:
    """Return the crashes that count against a content now."""
    return {
        incarnation
        for incarnation, crash in crashes.items()
        if crash.status is CrashStatus.COUNTED and now - crash.at < CRASH_TTL_SECONDS
    }


def count_unexplained_crashes(crashes: Crashes, others: Iterable[Crashes], now: float) -> int:
    """Return the crashes of a content that no worse one explains.

    A request that crashes engines takes with it whatever else runs there. While it is repeated, an
    innocent one that is tried again can be present three times; the guilty one is present each
    time, so it has more crashes, and accounts for those that both have.

    :param others: the crashes of the other contents that may be held back.
    """
    counted = list_counted_crashes(crashes, now)
    unexplained = set(counted)
    for other in others:
        other_counted = list_counted_crashes(other, now)
        if len(other_counted) > len(counted) and len(other_counted) >= CRASHES_TO_QUARANTINE:
            unexplained -= other_counted
    return len(unexplained)


def merge_crash(known: Crash | None, reported: Crash) -> Crash:
    """Return what two words on the same crash say together, in whichever order they come."""
    if known is None:
        return reported
    return replace(known, status=max(known.status, reported.status))


def is_cleared_by_success(success_at: float | None, crash_at: float) -> bool:
    """Tell whether a whole answer was so late before a crash, or after it, that it counts more."""
    return success_at is not None and crash_at - success_at < SUCCESS_TTL_SECONDS


def compute_probe_delay(crash_ats: Collection[float], probe_at: float, now: float) -> float:
    """Return the seconds until a content that is held back may be tried once more.

    :param crash_ats: when endpoints fell under it.
    :param probe_at: when this node last knew of a trial.
    """
    last = max(probe_at, max(crash_ats, default=float("-inf")))
    extra_crashes = max(0, len(crash_ats) - CRASHES_TO_QUARANTINE)
    interval = min(MAX_PROBE_INTERVAL_SECONDS, PROBE_INTERVAL_SECONDS * 2.0**extra_crashes)
    return max(0.0, last + interval - now)
