"""Attribution of endpoint crashes to the request contents that cause them."""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, replace
from enum import IntEnum

from wrenloft_core import IncarnationId

CRASHES_TO_QUARANTINE = 3
"""Crashes with a content in progress before the content is quarantined. A request may be in
progress at one or two crashes by chance; each further crash costs all callers a share of the fleet.
"""

CRASH_TTL_SECONDS = 600.0
"""Time for which a crash counts. Callers retry a failing request for seconds to minutes. A content
repeated less often costs one engine in ten minutes, which recovers within ten seconds."""

PROBE_INTERVAL_SECONDS = 60.0
"""Time from the third crash of a content until one probe in the whole fleet; doubled by each
further crash. A probe costs at most one engine for ten seconds. A content that is quarantined
wrongly has three crashes and is released within a minute; each further crash makes it more likely
that the content is the cause."""

MAX_PROBE_INTERVAL_SECONDS = 480.0
"""Longest such time, so that a probe comes while the earlier crashes still count."""

SUCCESS_TTL_SECONDS = 10.0
"""Time for which a complete response clears its content. A polled content has one more often. With
a longer time, a content that starts to crash endpoints would continue for as long."""


class CrashStatus(IntEnum):
    """Whether a crash counts against a content; of two values the higher one wins.

    ``SUCCEEDED`` means that the content had a complete response, ``LIFTED`` that its quarantine was
    lifted.
    """

    COUNTED = 0
    SUCCEEDED = 1
    LIFTED = 2


@dataclass(frozen=True, slots=True)
class Crash:
    """The crash of an endpoint with a content in progress.

    :param at: time on this node's clock, in seconds.
    """

    at: float
    status: CrashStatus = CrashStatus.COUNTED


Crashes = Mapping[IncarnationId, Crash]
"""The crashes of one content. Several reports of the crash of one incarnation are one crash."""


def list_counted_crashes(crashes: Crashes, now: float) -> set[IncarnationId]:
    """Return the incarnations whose crashes count against a content now."""
    return {
        incarnation
        for incarnation, crash in crashes.items()
        if crash.status is CrashStatus.COUNTED and now - crash.at < CRASH_TTL_SECONDS
    }


def count_unexplained_crashes(crashes: Crashes, others: Iterable[Crashes], now: float) -> int:
    """Return the number of crashes of a content that no content with more crashes explains.

    A request that crashes an engine aborts all others there. While it is repeated, another content
    that is retried can be in progress at three crashes. The cause is present at every crash, so it
    has more of them, and explains those that both have in common.

    :param others: the crashes of the other contents that may be quarantined.
    """
    counted = list_counted_crashes(crashes, now)
    unexplained = set(counted)
    for other in others:
        other_counted = list_counted_crashes(other, now)
        if len(other_counted) > len(counted) and len(other_counted) >= CRASHES_TO_QUARANTINE:
            unexplained -= other_counted
    return len(unexplained)


def merge_crash(known: Crash | None, reported: Crash) -> Crash:
    """Merge two reports of the same crash; the order does not matter."""
    if known is None:
        return reported
    return replace(known, status=max(known.status, reported.status))


def is_cleared_by_success(success_at: float | None, crash_at: float) -> bool:
    """Return whether a complete response shortly before a crash, or after it, outweighs it."""
    return success_at is not None and crash_at - success_at < SUCCESS_TTL_SECONDS


def compute_probe_delay(crash_ats: Collection[float], probe_at: float, now: float) -> float:
    """Return the seconds until a quarantined content may be probed.

    :param crash_ats: times of its crashes.
    :param probe_at: time of the last probe known to this node.
    """
    last = max(probe_at, max(crash_ats, default=float("-inf")))
    extra_crashes = max(0, len(crash_ats) - CRASHES_TO_QUARANTINE)
    interval = min(MAX_PROBE_INTERVAL_SECONDS, PROBE_INTERVAL_SECONDS * 2.0**extra_crashes)
    return max(0.0, last + interval - now)
