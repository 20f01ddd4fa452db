"""Which entry node of an availability zone relays for it, and who reads the store."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import inf

from blake3 import blake3

STALE_INTERVALS = 1.6
"""Age of a reading, in intervals, at which the second place's relay reads the store itself. The
first may be cut off from the store, slow or dead. A reading is up to 1.3 intervals old when it
arrives; a configuration must be in force within 2.5."""

TAKEOVER_STEP = 0.05
MAX_STALE_INTERVALS = 1.8
"""Intervals by which each further place waits longer, so that they don't all read at once, and
longest patience of all: with two relays cut off, the third still has time to read and to tell."""

DIRECT_READ_SECONDS = 1.0
"""For each node of a zone, the mean time between two reads of the store by a node that is not its
zone's relay, while no relay has a fresh reading: one call a second and zone in all."""

FRAMES_PER_SECOND = 160.0
"""Frames a second that one relay sends at most, to all nodes of its zone together. With 3 nodes
each hears of the others every 0.025 s, with 20 every 0.125 s, a quarter of a first event's aim or
less. At 250 the relay of 13 nodes used 0.23 of a core, three times what the others did."""

MIN_FRAME_SECONDS = 0.025
"""Shortest time between two frames: a tenth of what an engine takes to a first event."""

MAX_FRAME_SECONDS = 0.4
"""Longest time between two frames: followers take a relay for dead after 0.6 s. Reached at 64
followers, twice the nodes of a zone at the size that is built towards."""


@dataclass(frozen=True, slots=True)
class RelayCandidate:
    """A node that can relay.

    :param cores: processor time that it has, in cores.
    """

    node_id: str
    cores: float


def rank_relays(candidates: Sequence[RelayCandidate]) -> list[str]:
    """Return nodes in the order in which they relay for their zone, the same at every node.

    The strongest first: a relay works for all others besides its own callers. Among equals a
    hash of the name decides, so that the names that operators pick don't.
    """

    def rank(each: RelayCandidate) -> tuple[float, bytes]:
        return -each.cores, blake3(each.node_id.encode()).digest(8)

    return [each.node_id for each in sorted(candidates, key=rank)]


def assign_places(
    agent_zones: Sequence[str], relay_zones: Sequence[str], regions: Mapping[str, str]
) -> dict[str, str]:
    """Return which zone's relay follows the agents of each zone.

    A zone without a live entry node is followed from another one, of its region if there is one:
    its engines still serve, and nobody there would tell of them.

    :param agent_zones: zones with agents.
    :param relay_zones: zones with a live entry node.
    """
    assigned = {}
    for place in agent_zones:
        if place in relay_zones:
            assigned[place] = place
            continue
        same_region = [each for each in relay_zones if regions.get(each) == regions.get(place)]
        choices = sorted(same_region or relay_zones)
        if choices:
            digest = blake3(place.encode()).digest(4)
            assigned[place] = choices[int.from_bytes(digest) % len(choices)]
    return assigned


def compute_frame_interval(subscribers: int) -> float:
    """Return the seconds between two frames to each follower.

    :param subscribers: how many a relay sends to.
    """
    return min(MAX_FRAME_SECONDS, max(MIN_FRAME_SECONDS, subscribers / FRAMES_PER_SECOND))


def compute_max_snapshot_age(interval: float, place_rank: int | None) -> float:
    """Return the age of a reading at which a node reads the store itself.

    One relay of all reads; the others are passed its readings and take over in turn.

    :param interval: seconds between two reads.
    :param place_rank: rank of the place that this node relays for, ``None`` if it relays for
        none and its relay is heard.
    """
    if place_rank is None:
        return inf
    if place_rank == 0:
        return interval
    return interval * min(MAX_STALE_INTERVALS, STALE_INTERVALS + TAKEOVER_STEP * (place_rank - 1))
