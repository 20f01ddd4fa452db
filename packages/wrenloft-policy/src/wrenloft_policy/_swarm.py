"""Distribution of chunks: permits for the origin, neighbours, and the next chunk to fetch."""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from random import Random

from blake3 import blake3

from wrenloft_core import AgentId, PlaceName, RegionName

MAX_NEIGHBOURS = 16
_MAX_NEAR_NEIGHBOURS = 10
_SAMPLE_SIZE = 48


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission to fetch one chunk from the origin.

    :param not_before: seconds after the order's arrival until the fetch may start.
    """

    chunk: int
    not_before: float


@dataclass(frozen=True, slots=True)
class NeighbourSource:
    """A neighbour as the fetcher sees it.

    :param stored_chunks: chunks that it stores.
    :param busy: chunks being fetched from it.
    :param distance: 0 for the same place, 1 for the same region, 2 beyond.
    """

    agent_id: AgentId
    stored_chunks: Collection[int]
    busy: int
    distance: int


def grant_permits(
    chunks: Sequence[int],
    sizes: Sequence[int],
    hosts: Sequence[AgentId],
    origin_rate: float,
    *,
    copies: int = 1,
) -> dict[AgentId, list[Permit]]:
    """Assign each chunk to a host that fetches it first, at the rate of the origin's link.

    If all chunks were requested at once, the hosts would share the origin's link, and none would
    have a complete chunk to pass on until as many as there are hosts have arrived. Spaced, the
    first chunk is complete after one chunk's time on the link.

    :param origin_rate: bytes a second of the origin's link.
    :param copies: number of times each chunk may leave the origin. Further copies go to other hosts
        once all first ones have left; a host that has the chunk by then does not fetch it.
    :returns: the permits of each host.
    """
    permits: dict[AgentId, list[Permit]] = {each: [] for each in hosts}
    at = 0.0
    for copy in range(copies):
        for index, chunk in enumerate(chunks):
            host = hosts[(index + copy * _copy_stride(len(hosts))) % len(hosts)]
            permits[host].append(Permit(chunk, at))
            at += sizes[chunk] / origin_rate
    return permits


def _copy_stride(host_count: int) -> int:
    """Return the distance in the list of hosts between those that may fetch the same chunk."""
    return max(1, host_count // 2)


def pick_neighbours(
    agent_id: AgentId,
    places: Mapping[AgentId, tuple[PlaceName, RegionName]],
    limit: int = MAX_NEIGHBOURS,
) -> list[AgentId]:
    """Pick the hosts to fetch from: most of them near, the rest anywhere.

    Ties are broken by a hash of the pair, so that every owner picks the same, and few change when
    hosts join or leave.
    """
    own = places[agent_id]
    others = [each for each in places if each != agent_id]
    if len(others) <= limit:
        return others

    def tie(other: AgentId) -> bytes:
        return blake3("/".join(sorted((agent_id, other))).encode()).digest(8)

    def distance(other: AgentId) -> int:
        return _compute_distance(own, places[other])

    near = sorted(others, key=lambda each: (distance(each), tie(each)))[:_MAX_NEAR_NEIGHBOURS]
    far = sorted((each for each in others if each not in near), key=tie)
    return near + far[: limit - len(near)]


def _compute_distance(
    one: tuple[PlaceName, RegionName], other: tuple[PlaceName, RegionName]
) -> int:
    if one[0] == other[0]:
        return 0
    return 1 if one[1] == other[1] else 2


def choose_chunk(
    missing: Sequence[int], sources: Sequence[NeighbourSource], random: Random, max_busy: int
) -> tuple[int, AgentId] | None:
    """Choose the rarest chunk, and the least busy source for it, near ones first.

    Only a random sample of the chunks is considered, so that hosts fetch different chunks and the
    cost does not grow with the model.

    :param max_busy: maximum number of concurrent fetches from one source.
    :returns: ``None`` if no missing chunk is available now.
    """
    free = [each for each in sources if each.busy < max_busy]
    if not free:
        return None
    sample = missing if len(missing) <= _SAMPLE_SIZE else random.sample(missing, _SAMPLE_SIZE)
    best: tuple[tuple[int, float], int] | None = None
    for chunk in sample:
        holders = sum(chunk in each.stored_chunks for each in sources)
        if not any(chunk in each.stored_chunks for each in free):
            continue
        rank = (holders, random.random())
        if best is None or rank < best[0]:
            best = (rank, chunk)
    if best is None:
        return None
    chunk = best[1]
    eligible = [each for each in free if chunk in each.stored_chunks]
    source = min(eligible, key=lambda each: (each.busy, each.distance, random.random()))
    return chunk, source.agent_id
