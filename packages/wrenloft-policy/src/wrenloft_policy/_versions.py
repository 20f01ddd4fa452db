"""Choice of the version of the weights to fetch, and when engines and requests switch to it."""

from dataclasses import dataclass

USABLE_LINK_SHARE = 0.82
"""Share of a link's rate that chunks use; agents pace their transfers to it."""

FETCH_START_SECONDS = 0.8
"""From the naming of a version until chunks arrive at full rate, with four origin fetchers."""

INSTALL_SECONDS = 0.8
"""From the last chunk until the engine serves: staging, verification, the end of its streams."""

REQUEST_START_SECONDS = 0.5
"""Time that a request may take from this node until it begins at an endpoint: it is sent only if
its first event is predicted within half a second, and aborted if it has not begun in time."""

SWAP_GROUPS = 2
"""Groups of engines that swap to a new version one after the other."""

MIN_SWAP_SPREAD_SECONDS = 1.2
"""Minimum time over which the swaps of all engines are spread, if the deadline permits. An engine
accepts no requests from its order until its last stream has ended and its layers are loaded: 0.4 to
1.5 s at half load."""

SWAP_LEAD_SECONDS = 2.6
"""Time before the deadline by which every engine is ordered to swap: a stream may run for 1.5 s
more, and requests require the new version ``REQUEST_START_SECONDS`` before the deadline."""

WHOLE_FETCH_GRACE_SECONDS = 1.2
"""Lateness of a whole version above which it is fetched in parts. Below it, chains would serve for
less time than loading twice takes."""

PART_LEAD_SECONDS = 1.2
"""Time before a version's deadline at which an engine that has only the first part loads it: its
streams take 0.4 to 1.5 s to end, and requests require the version 0.5 s before the deadline."""


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

    Choose what leaves engines without a permitted version for less time. With ``f`` seconds to
    bring a version into service and ``gap`` between the two namings, switching exceeds the
    current version's deadline by ``gap + f`` less the time allowed, and finishing first exceeds
    the newest's by ``2 f - install - gap`` less the same.

    Only the times of the namings matter, not this agent's progress: agents that choose differently
    would split the swarm, and neither half would have enough sources.

    :param total_bytes: bytes of one version.
    :param link_rate: bytes a second of a host's link.
    """
    if current.number >= newest.number:
        return current.number
    fetch = total_bytes / (link_rate * USABLE_LINK_SHARE) + FETCH_START_SECONDS
    gap = newest.seen_at - current.seen_at
    return current.number if gap > fetch / 2 else newest.number


def has_time_for_both(
    older: WantedVersion, newer: WantedVersion, total_bytes: float, link_rate: float, allowed: float
) -> bool:
    """Return whether an engine can have both of two versions before the newer is required.

    Where it can't, versions are fetched one at a time. Fetched at the same time, half of the
    engines would have neither version when the older is required.

    :param total_bytes: bytes of one version.
    :param link_rate: bytes a second of a host's link.
    :param allowed: seconds from a naming until requests begin on that version only.
    """
    fetch = total_bytes / (link_rate * USABLE_LINK_SHARE)
    time = newer.seen_at - older.seen_at + allowed - REQUEST_START_SECONDS
    return FETCH_START_SECONDS + 2.0 * fetch + INSTALL_SECONDS <= time


def is_version_required(wanted: WantedVersion, allowed: float, now: float) -> bool:
    """Return whether requests may begin on this version only.

    :param allowed: seconds from the naming until requests begin on it only.
    """
    return now >= wanted.seen_at + allowed - REQUEST_START_SECONDS


def compute_swap_turn(index: int, count: int) -> float:
    """Return an engine's position in the order of swaps, from 0 for the first to nearly 1.

    Engines of the first group, which receive chunks first, come before those of the second.

    :param index: its index in the common order of engines.
    :param count: number of engines.
    """
    return index % SWAP_GROUPS / SWAP_GROUPS + index // SWAP_GROUPS / max(1, count)


def predict_first_complete(named_at: float, total_bytes: float, link_rate: float) -> float:
    """Return the earliest time at which the engines that receive chunks first have a version.

    :param total_bytes: bytes of the version.
    :param link_rate: bytes a second of a host's link.
    """
    return named_at + FETCH_START_SECONDS + total_bytes / link_rate


def pick_swap_time(
    turn: float, ready_at: float, named_at: float, allowed: float, first_at: float | None = None
) -> float:
    """Return the time at which an engine that serves an older version is ordered to swap.

    If each engine swapped as soon as it is ready, all engines would stop accepting requests within
    the same second under load. The swaps are spread over the time until the deadline instead.

    :param turn: position in the order of swaps, 0 for the first engines, 1 for the last.
    :param ready_at: time at which the first part of the version was staged.
    :param named_at: time at which the version was named.
    :param allowed: seconds from the naming until requests begin on the new version only.
    :param first_at: time at which the first engines are ready, if earlier than this one: engines
        that are ready at different times keep to one order.
    """
    latest = named_at + allowed - SWAP_LEAD_SECONDS
    start = ready_at if first_at is None else min(first_at, ready_at)
    return max(ready_at, min(start + turn * max(MIN_SWAP_SPREAD_SECONDS, latest - start), latest))


def should_fetch_parts(
    wanted: WantedVersion, allowed: float, now: float, fetch_seconds: float
) -> bool:
    """Return whether a whole version would be so late that it is fetched in parts.

    Covers an origin that was unavailable for seconds, and a version named while another is fetched.

    :param allowed: seconds from the naming until requests begin on it only.
    :param fetch_seconds: time to fetch the missing chunks at full rate.
    """
    return now + fetch_seconds > wanted.seen_at + allowed + WHOLE_FETCH_GRACE_SECONDS


def should_load_part(wanted: WantedVersion, allowed: float, now: float) -> bool:
    """Return whether an engine loads only the first part of a version.

    Engines in chains take about half as many requests as with the whole version, and stop serving
    the older version. This is worthwhile only once requests no longer accept the older version.

    :param allowed: seconds from the naming until requests begin on it only.
    """
    return now >= wanted.seen_at + allowed - PART_LEAD_SECONDS
