"""Which version of the weights an agent should work on, and when requests insist on it."""

from dataclasses import dataclass

LINK_SHARE = 0.85
"""Part of a link's rate that chunks reach; the rest are heads, acknowledgements and requests."""

BEGIN_SECONDS = 0.8
"""Time that a request may take from this node until it begins at an endpoint: it is sent only if
its first event is predicted within half a second."""


@dataclass(frozen=True, slots=True)
class WantedVersion:
    """A version that operators named.

    :param seen_at: a time at which it was not yet named, in seconds of this process's clock.
    """

    number: int
    seen_at: float


def choose_version(
    current: int,
    remaining_bytes: float,
    newest: WantedVersion,
    total_bytes: float,
    link_rate: float,
    allowed: float,
    now: float,
) -> int:
    """Choose between finishing the current version and starting the newest at once.

    The current one is finished only if the newest can still be had in time afterwards; else
    everything spent on it is lost, and so is the newest's deadline.

    :param remaining_bytes: bytes of the current version still to be received.
    :param link_rate: bytes a second of this host's link.
    :param allowed: seconds from naming a version until every endpoint must have it.
    """
    if current >= newest.number:
        return current
    rate = link_rate * LINK_SHARE
    finish_both = now + (remaining_bytes + total_bytes) / rate
    return current if finish_both <= newest.seen_at + allowed else newest.number


def must_insist(wanted: WantedVersion, allowed: float, now: float) -> bool:
    """Tell whether requests may begin on this version only."""
    return now >= wanted.seen_at + allowed - BEGIN_SECONDS
