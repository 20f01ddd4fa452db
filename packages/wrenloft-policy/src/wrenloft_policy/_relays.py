"""Choice of the relay of an availability zone, and of the nodes that read the store."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import inf
from random import Random

from blake3 import blake3

STALE_INTERVALS = 1.6
"""Age of a store snapshot, in intervals, at which the second zone's relay reads the store itself.
The first may be partitioned from the store, slow or dead. A snapshot is up to 1.3 intervals old
when it arrives; a configuration must take effect within 2.5."""

TAKEOVER_STEP = 0.05
MAX_STALE_INTERVALS = 1.8
"""Intervals by which each further zone waits longer, so that they don't all read at once, and the
maximum for all: with two relays partitioned, the third still has time to read and to publish."""

DIRECT_READ_INTERVALS = 2.2
"""Age of a store snapshot, in intervals, at which a node that is not its zone's relay reads the
store itself. By then the last of the relays has read it and published it; a configuration must take
effect within 2.5."""

DIRECT_READ_SPREAD_SECONDS = 0.16
"""Time over which the nodes of a zone spread their first such reads."""

MAX_FIRST_DIRECT_READS = 16
"""Most such reads of a zone. In a larger one, the relay gets the snapshot of one of these nodes."""

DIRECT_READS_PER_SECOND = 3.0
"""Reads a second of a zone's nodes after that, while they succeed: only the relays are cut off."""

DIRECT_READ_SECONDS = 1.0
"""Mean time between two reads of the store by a node that is not its zone's relay, for each node of
the zone, while its reads fail: one call a second and zone in total."""

FRAMES_PER_SECOND = 160.0
"""Maximum rate at which one relay sends frames, to all nodes of its zone together. Each node
receives an update every 0.025 s in a zone of 3, every 0.125 s in a zone of 20: at most a quarter of
the latency objective of a first event. At 250 frames a second, the relay of 13 nodes used 0.23 of a
core, three times as much as the others."""

MIN_FRAME_SECONDS = 0.025
"""Shortest time between two frames: a tenth of an engine's time to a first event."""

MAX_FRAME_SECONDS = 0.4
"""Longest time between two frames: subscribers consider a relay dead after 0.6 s. Reached at 64
subscribers, twice the number of nodes in a zone at the target fleet size."""


@dataclass(frozen=True, slots=True)
class RelayCandidate:
    """A node that can relay.

    :param cores: available processor time, in cores.
    """

    node_id: str
    cores: float


def rank_relays(candidates: Sequence[RelayCandidate]) -> list[str]:
    """Return nodes in the order in which they relay for their zone, the same at every node.

    Most cores first, because a relay works for all other nodes besides its own callers. A hash of
    the name breaks ties, so that the names that operators choose have no influence.
    """

    def rank(each: RelayCandidate) -> tuple[float, bytes]:
        return -each.cores, blake3(each.node_id.encode()).digest(8)

    return [each.node_id for each in sorted(candidates, key=rank)]


def assign_places(
    agent_zones: Sequence[str], relay_zones: Sequence[str], regions: Mapping[str, str]
) -> dict[str, str]:
    """Return the zone whose relay subscribes to the agents of each zone.

    A zone without a live entry node is assigned to another one, if possible of its region: its
    engines still serve, and their load would otherwise not be published.

    :param agent_zones: zones with agents.
    :param relay_zones: zones with a live entry node.
    :param regions: region of each zone.
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
    """Return the seconds between two frames to each subscriber.

    :param subscribers: number of nodes that a relay sends to.
    """
    return min(MAX_FRAME_SECONDS, max(MIN_FRAME_SECONDS, subscribers / FRAMES_PER_SECOND))


def compute_max_snapshot_age(interval: float, place_rank: int | None) -> float:
    """Return the age of a store snapshot, in seconds, at which a node reads the store itself.

    One relay of all reads the store; the others receive its snapshots and take over in turn.

    :param interval: seconds between two reads.
    :param place_rank: rank of the availability zone that this node relays for, ``None`` if it
        relays for none and its relay is reachable.
    """
    if place_rank is None:
        return inf
    if place_rank == 0:
        return interval
    return interval * min(MAX_STALE_INTERVALS, STALE_INTERVALS + TAKEOVER_STEP * (place_rank - 1))


def pick_direct_read_wait(
    rank: int, nodes: int, *, reads: int, failures: int, max_age: float, random: Random
) -> float:
    """Return the seconds for which a node that relays for no zone waits before it reads the store.

    The nodes of a zone read at once when no relay has a fresh snapshot: all relays may be cut off
    from the store, and a change must still be in force in time. Further reads are rationed by zone,
    more so while the store fails for this node too.

    :param rank: its rank among the nodes of its zone.
    :param nodes: number of nodes of its zone.
    :param reads: reads in a row without a fresh snapshot from a relay.
    :param failures: how many of the last reads failed.
    :param max_age: age of the snapshot, in seconds, at which it begins to wait.
    """
    if not reads and rank < MAX_FIRST_DIRECT_READS:
        return DIRECT_READ_SPREAD_SECONDS * rank / min(nodes, MAX_FIRST_DIRECT_READS)
    if failures:
        return random.uniform(0.0, 2.0 * DIRECT_READ_SECONDS * nodes)
    return random.uniform(0.0, 2.0 * max(0.0, nodes / DIRECT_READS_PER_SECOND - max_age))
