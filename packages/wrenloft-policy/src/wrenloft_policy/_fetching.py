"""Choice of the next chunk that an agent fetches, and of its source, without a coordinator."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from random import Random

TURN_SECONDS = 1.5
"""Time after which a late chunk passes on to the next agent. An agent that is frozen or has a slow
link would otherwise delay all others with the chunks that only it may fetch."""

ORIGIN_FETCHERS = 4
"""Agents that fetch from the origin at a time. Its link is twice as wide as a host's, so three
saturate it, and one more makes up for a slow one. It accepts few connections and resets others."""

REGION_TURN_SECONDS = 2.5
"""Time for which a chunk that only other regions store is left to one region fetcher. An agent
transfers a quarter of all chunks between regions in about that time."""

IDLE_TIMEOUT_SECONDS = 1.0
"""Time without any chunk after which turns no longer apply: a second copy is better than none."""

ORIGIN_TIMEOUT_STEP_SECONDS = 0.25
"""Seconds by which each further agent waits longer before it fetches from the origin out of turn.
When all 33 agents do so at once after the origin's recovery, they fetch 35 chunks, of which 17 are
missing."""

DRAIN_TIME_FACTOR = 1.2
"""Multiple of the origin's transfer time of a version after which chunks that nobody stores are
late. With a fixed time from the start, turns pass on after 1.5 s and others help after 1.0 s while
the fetchers still have the chunks in transfer: 17 of the first 64 chunks from the origin are second
copies, and 17 others are missing when it becomes unavailable."""

STALL_SECONDS = 1.0
"""Time without a chunk that is new to all agents, after which the remaining chunks are late as
well: the agents whose turn it is may be dead."""


@dataclass(frozen=True, slots=True)
class ChunkSource:
    """Another agent as the fetcher sees it.

    :param chunk_bitmap: bitmap of the chunks that it stores.
    :param busy: chunks being fetched from it by this agent.
    :param same_region: whether it is in the same region.
    """

    address: str
    chunk_bitmap: int
    busy: int
    same_region: bool


@dataclass(frozen=True, slots=True)
class ChunkFetch:
    """A chunk to fetch; ``address`` is ``None`` for the origin."""

    chunk: int
    address: str | None


def pick_region_fetcher(chunk: int, members: Sequence[str], waited: float) -> str:
    """Return the member whose turn it is to fetch a chunk from another region.

    :param members: agents of the region, in the same order at every agent.
    :param waited: seconds for which the chunk has been available.
    """
    return members[(chunk + int(waited / REGION_TURN_SECONDS)) % len(members)]


def compute_lateness(age: float, stalled: float, drain_seconds: float) -> float:
    """Return the seconds for which chunks that nobody stores have been late, 0 if they are not.

    :param age: seconds since the transfer began.
    :param stalled: seconds since a chunk that is new to all agents was first seen.
    :param drain_seconds: seconds in which the origin's link transfers a version.
    """
    return max(0.0, age - DRAIN_TIME_FACTOR * drain_seconds, stalled - STALL_SECONDS)


def compute_origin_timeout(rank: int) -> float:
    """Return the seconds without a chunk after which an agent uses the origin out of turn.

    :param rank: its index in the common order, agents of the origin's region first.
    """
    return IDLE_TIMEOUT_SECONDS + ORIGIN_TIMEOUT_STEP_SECONDS * rank


def list_origin_fetchers(
    members: Sequence[str], late: float, turn: float = TURN_SECONDS, count: int = ORIGIN_FETCHERS
) -> list[str]:
    """Return the agents among which the chunks to fetch from the origin are divided now.

    A few, spread over the common order, while chunks are not late. All of them once they are,
    because the origin was unavailable or fetchers are dead; each chunk still belongs to one agent.
    When every agent that lacks a chunk fetches it, 25 chunks take 4.5 s instead of the 1.1 s that
    the origin's link needs.

    :param members: candidates, preferably of the origin's region: a chunk that enters another
        region first crosses to the origin's region a second time.
    :param late: seconds for which chunks have been late.
    :param turn: seconds after which a late chunk passes on to the next agent.
    :param count: number of agents while chunks are not late.
    """
    if late > 0.0:
        skip = int(late / turn) % len(members)
        return [*members[skip:], *members[:skip]]
    count = min(count, len(members))
    return [members[index * len(members) // count] for index in range(count)]


def choose_fetch(
    missing: Sequence[int],
    sources: Sequence[ChunkSource],
    own_address: str,
    list_region_fetchers: Callable[[int], Sequence[str]],
    list_origin_fetchers: Callable[[int], Sequence[str]],
    can_cross: Callable[[int], bool],
    waited: Mapping[int, float],
    idle: float,
    origin_free: bool,
    origin_first: bool,
    origin_repeats: bool,
    random: Random,
    max_busy: int,
    origin_timeout: float = IDLE_TIMEOUT_SECONDS,
    turn_wait: float = 0.0,
) -> ChunkFetch | None:
    """Choose the next chunk to fetch.

    First a chunk that nobody stores and that this agent fetches from the origin, then one that only
    other regions store and that this agent fetches for its region, then the rarest that a neighbour
    in the region stores. Chunks that others need go before those that only this agent needs: in the
    other order, neighbours occupy all fetches, the origin's link is idle, and after 5 s a third of
    the chunks have not left it. Turns prevent that a chunk leaves the origin, or crosses between
    regions, more than once.

    :param missing: chunks neither stored nor being fetched.
    :param list_region_fetchers: returns the agents of this region that take turns at fetching a
        chunk from other regions, in the same order at every agent.
    :param list_origin_fetchers: returns the agents that may fetch a chunk from the origin now.
    :param can_cross: returns whether a chunk may be fetched from another region already.
    :param waited: seconds for which each chunk has been stored elsewhere.
    :param idle: seconds since the last chunk arrived.
    :param origin_free: whether another fetch from the origin may start.
    :param origin_first: whether this agent's link is reserved for the origin while chunks that it
        should fetch there have not left it. The origin may become unavailable at any moment: when
        they share their links with neighbours' chunks, three fetchers receive 21 of 37 possible
        chunks a second, and 14 of 64 are missing at all agents when the origin becomes unavailable
        2.3 s after the version is named.
    :param origin_repeats: whether that may be a chunk that others store, but fewer than half of
        them. The uplinks of the origin's region, which carry every chunk to the other regions as
        well as their own, are the bottleneck; an agent that joins later finds enough sources
        without the origin.
    :param max_busy: maximum number of concurrent fetches from one source.
    :param origin_timeout: seconds without a chunk after which turns at the origin no longer apply.
    :param turn_wait: seconds for which a chunk must have been stored elsewhere before an idle agent
        fetches it from another region out of turn.
    :returns: ``None`` if nothing can be fetched now.
    """
    counts = _count_holders(missing, sources)
    near_bitmap = _merge_bitmaps(each for each in sources if each.same_region)
    idle_too_long = idle > IDLE_TIMEOUT_SECONDS
    unstored = [chunk for chunk in missing if not counts[chunk]]
    own_turn = [
        chunk
        for chunk in unstored
        if pick_origin_fetcher(chunk, list_origin_fetchers(chunk)) == own_address
    ]
    if own_turn and origin_first and not origin_free:
        return None
    if origin_free:
        if own_turn or (idle > origin_timeout and unstored):
            return ChunkFetch(random.choice(own_turn or unstored), None)
        rare = [chunk for chunk in missing if counts[chunk] < len(sources) / 2]
        if origin_repeats and rare and not unstored:
            return ChunkFetch(min(rare, key=lambda each: (counts[each], random.random())), None)
    far = [each for each in sources if not each.same_region and each.busy < max_busy]
    crossing = [
        chunk
        for chunk in missing
        if counts[chunk]
        and not near_bitmap >> chunk & 1
        and can_cross(chunk)
        and (
            (idle_too_long and waited.get(chunk, 0.0) >= turn_wait)
            or pick_region_fetcher(chunk, list_region_fetchers(chunk), waited.get(chunk, 0.0))
            == own_address
        )
    ]
    near = [each for each in sources if each.same_region and each.busy < max_busy]
    found = _pick_from(crossing, far, counts, random) or _pick_from(missing, near, counts, random)
    if found is None and origin_free and idle > IDLE_TIMEOUT_SECONDS + origin_timeout and missing:
        return ChunkFetch(random.choice(missing), None)
    return found


def pick_origin_fetcher(chunk: int, fetchers: Sequence[str]) -> str:
    """Return the agent whose turn it is to fetch a chunk from the origin."""
    return fetchers[chunk % len(fetchers)]


def _count_holders(chunks: Sequence[int], sources: Sequence[ChunkSource]) -> dict[int, int]:
    """Return the number of sources that store each chunk.

    All chunks are counted at once, with one bitmap for each bit of their counts.
    """
    count_bits: list[int] = []
    for source in sources:
        carry = source.chunk_bitmap
        for index, bits in enumerate(count_bits):
            count_bits[index], carry = bits ^ carry, bits & carry
        if carry:
            count_bits.append(carry)
    return {
        chunk: sum((bits >> chunk & 1) << index for index, bits in enumerate(count_bits))
        for chunk in chunks
    }


def _merge_bitmaps(sources: Iterable[ChunkSource]) -> int:
    bitmap = 0
    for source in sources:
        bitmap |= source.chunk_bitmap
    return bitmap


def _pick_from(
    chunks: Sequence[int],
    sources: Sequence[ChunkSource],
    counts: Mapping[int, int],
    random: Random,
) -> ChunkFetch | None:
    available = _merge_bitmaps(sources)
    eligible = [chunk for chunk in chunks if available >> chunk & 1]
    if not eligible:
        return None
    chunk = min(eligible, key=lambda each: (counts[each], random.random()))
    holders = [each for each in sources if each.chunk_bitmap >> chunk & 1]
    source = min(holders, key=lambda each: (each.busy, random.random()))
    return ChunkFetch(chunk, source.address)
