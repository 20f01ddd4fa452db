"""Which version of the weights an agent should work on, and when requests insist on it."""

from dataclasses import dataclass

USABLE_LINK_SHARE = 0.82
"""Part of a link's rate that chunks reach: what agents send is paced at that."""

FETCH_START_SECONDS = 0.8
"""From naming a version until chunks come at the full rate, with four feeders at the origin."""

INSTALL_SECONDS = 0.8
"""From the last chunk until the engine serves: staging, reading back, the end of its streams."""

REQUEST_START_SECONDS = 0.5
"""Time that a request may take from this node until it begins at an endpoint: it is sent only if
its first event is predicted within half a second, and given up if it has not begun in time."""

SWAP_GROUPS = 2
"""Groups of engines that go on to a new version one after the other."""

MIN_SWAP_SPREAD_SECONDS = 1.2
"""Least time over which engines go on one after the other, if the deadline leaves it. An engine
takes nothing new from its order until its last stream has ended and its layers are loaded: 0.4 to
1.5 s at half load, read off a calm day's reports."""

SWAP_LEAD_SECONDS = 2.6
"""Before the deadline, by which every engine is ordered: a stream may run for 1.5 s more, and
requests insist on the new version ``REQUEST_START_SECONDS`` before the deadline."""

WHOLE_FETCH_GRACE_SECONDS = 1.2
"""How long after its deadline a whole version may come before it is fetched in parts. Below that,
chains would serve for less time than it takes to load twice."""

PART_LEAD_SECONDS = 1.2
"""Before a version's deadline, by which an engine that has only the first part loads that: its
streams take 0.4 to 1.5 s to end, and requests insist on the version 0.5 s before the deadline."""


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
    fetch = total_bytes / (link_rate * USABLE_LINK_SHARE) + FETCH_START_SECONDS
    gap = newest.seen_at - current.seen_at
    return current.number if gap > fetch / 2 else newest.number


def is_version_required(wanted: WantedVersion, allowed: float, now: float) -> bool:
    """Tell whether requests may begin on this version only."""
    return now >= wanted.seen_at + allowed - REQUEST_START_SECONDS


def compute_swap_turn(index: int, count: int) -> float:
    """Return when an engine's turn to go on is, from 0 for the first to nearly 1 for the last.

    Engines of the first group, which are sent chunks first, come before those of the second.

    :param index: its place in the common order of engines.
    :param count: of engines.
    """
    return index % SWAP_GROUPS / SWAP_GROUPS + index // SWAP_GROUPS / max(1, count)


def predict_first_complete(named_at: float, total_bytes: float, link_rate: float) -> float:
    """Return when the engines that are sent chunks first have a version, at the earliest.

    :param total_bytes: bytes of the version.
    :param link_rate: bytes a second of a host's link.
    """
    return named_at + FETCH_START_SECONDS + total_bytes / link_rate


def pick_swap_time(
    turn: float, ready_at: float, named_at: float, allowed: float, first_at: float | None = None
) -> float:
    """Return when an engine that serves an older version is ordered to go on to a new one.

    Answers a new version under load: ordered as soon as each is ready, all engines stop taking
    requests within the same second, and callers find none. So they go one after the other, over
    all the time that the deadline leaves.

    :param turn: 0 for the engines that go first, 1 for the last.
    :param ready_at: when the first part of the version was staged.
    :param allowed: seconds from the naming until requests begin on the new version only.
    :param first_at: when the first engines are ready, if not when this one is: engines that are
        ready at different times keep to one order.
    """
    latest = named_at + allowed - SWAP_LEAD_SECONDS
    start = ready_at if first_at is None else min(first_at, ready_at)
    return max(ready_at, min(start + turn * max(MIN_SWAP_SPREAD_SECONDS, latest - start), latest))


def should_fetch_parts(
    wanted: WantedVersion, allowed: float, now: float, fetch_seconds: float
) -> bool:
    """Tell whether a whole version would come so late that it is fetched in parts.

    Answers a version whose origin is away for seconds, and one named while another is fetched.

    :param allowed: seconds from the naming until requests begin on it only.
    :param fetch_seconds: time to fetch what is missing at the full rate.
    """
    return now + fetch_seconds > wanted.seen_at + allowed + WHOLE_FETCH_GRACE_SECONDS


def should_load_part(wanted: WantedVersion, allowed: float, now: float) -> bool:
    """Tell whether an engine loads only the first part of a version.

    Engines in chains take about half of the requests that they take whole, and drop out of an
    older version for it. That pays only once the older version is refused.
    """
    return now >= wanted.seen_at + allowed - PART_LEAD_SECONDS
