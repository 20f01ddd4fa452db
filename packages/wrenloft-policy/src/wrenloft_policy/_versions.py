"""Which version of the weights an agent should work on, and when requests insist on it."""

from dataclasses import dataclass

LINK_SHARE = 0.8
"""Part of a link's rate that chunks reach: what agents send is paced at that."""

START_SECONDS = 0.8
"""From naming a version until chunks come at the full rate, with four feeders at the origin."""

INSTALL_SECONDS = 0.8
"""From the last chunk until the engine serves: staging, reading back, the end of its streams."""

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
    current: WantedVersion,
    newest: WantedVersion,
    total_bytes: float,
    link_rate: float,
) -> int:
    """Choose between finishing the current version and starting the newest at once.

    Whichever leaves engines without a permitted version for less time. With ``f`` seconds to
    bring a version into service and ``gap`` between the two namings, switching passes the
    current version's deadline by ``gap + f`` less the time allowed, and finishing first passes
    the newest's by ``2 f - install - gap`` less the same.

    Only the namings decide, and not how far this agent has come: agents that choose differently
    split the swarm, and neither half has enough to fetch from.

    :param total_bytes: bytes of one version.
    :param link_rate: bytes a second of a host's link.
    """
    if current.number >= newest.number:
        return current.number
    fetch = total_bytes / (link_rate * LINK_SHARE) + START_SECONDS
    gap = newest.seen_at - current.seen_at
    return current.number if gap > fetch / 2 else newest.number


def must_insist(wanted: WantedVersion, allowed: float, now: float) -> bool:
    """Tell whether requests may begin on this version only."""
    return now >= wanted.seen_at + allowed - BEGIN_SECONDS
