"""Which chunk an agent fetches next, and from whom, without an owner who tells it."""

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from random import Random

TURN_SECONDS = 1.5
"""Time after which a chunk's turn passes to the next agent. An agent whose link is squeezed or
that froze would otherwise hold up all others with the chunks that only it may fetch."""

ORIGIN_FETCHERS = 4
"""Agents that fetch from the origin at a time. Its link is twice as wide as a host's, so three fill
it, and one more makes up for a slow one. It accepts few connections and resets those beyond."""

REGION_TURN_SECONDS = 2.5
"""Time for which a chunk that only other regions hold is left to the agent whose turn it is. An
agent brings a quarter of all chunks over in about that time."""

IDLE_TIMEOUT_SECONDS = 1.0
"""Seconds without any chunk after which turns no longer count: better twice than never."""

ORIGIN_TIMEOUT_STEP_SECONDS = 0.25
"""Seconds by which each further agent waits longer before it asks the origin out of turn. All 33 at
once, when it had been away, drew 35 chunks of which 17 were missing."""

DRAIN_TIME_FACTOR = 1.2
"""Times of the seconds in which the origin's link carries a version, after which chunks that
nobody holds are late. Counted from the beginning alone, turns passed on after 1.5 s and others
helped after 1.0 s, while the feeders still had the chunks on their way: of the first 64 chunks that
left the origin, 17 were second copies, and it went away before 17 others."""

STALL_SECONDS = 1.0
"""Time in which nobody got a chunk that nobody had, after which the rest is late as well: the
agents whose turn it is may be dead."""


@dataclass(frozen=True, slots=True)
class ChunkSource:
    """Another agent as the fetcher sees it.

    :param chunk_bitmap: bit mask of the chunks that it holds.
    :param busy: chunks being fetched from it by this agent.
    :param near: whether it is in the same region.
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
    """Return whose turn it is to bring a chunk over, among members in a common order.

    :param waited: seconds for which the chunk could have been had.
    """
    return members[(chunk + int(waited / REGION_TURN_SECONDS)) % len(members)]


def compute_lateness(age: float, stalled: float, drain_seconds: float) -> float:
    """Return for how many seconds chunks that nobody holds have been late, 0 if they are not.

    :param age: seconds since the transfer began.
    :param stalled: seconds since a chunk that nobody had was first seen.
    :param drain_seconds: in which the origin's link carries a version.
    """
    return max(0.0, age - DRAIN_TIME_FACTOR * drain_seconds, stalled - STALL_SECONDS)


def compute_origin_timeout(rank: int) -> float:
    """Return the seconds without a chunk after which an agent asks the origin out of turn.

    :param rank: its place in the common order, those of the origin's region first.
    """
    return IDLE_TIMEOUT_SECONDS + ORIGIN_TIMEOUT_STEP_SECONDS * rank


def list_origin_fetchers(
    members: Sequence[str], late: float, turn: float = TURN_SECONDS, count: int = ORIGIN_FETCHERS
) -> list[str]:
    """Return the agents among which chunks to fetch from the origin are shared out now.

    A few, spread over the common order, while chunks are not late. All of them once they are: the
    origin was away, or feeders are dead, and each chunk is again one agent's. Fetched by whoever
    lacked it, 25 chunks took 4.5 s where the origin's link carries them in 1.1 s.

    :param members: agents that could, best those of the origin's region: a chunk that enters
        another region first crosses to the origin's region a second time.
    :param late: seconds for which chunks have been late.
    :param turn: seconds after which a late chunk passes on to the next agent.
    :param count: how many, of chunks that are not late.
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
) -> ChunkFetch | None:
    """Choose the next chunk to fetch.

    First a chunk that nobody holds and whose turn at the origin is this agent's, then one that
    only other regions hold and whose turn to cross is this agent's, then the rarest that a
    neighbour in the region holds. What feeds others goes before what only this agent needs: in
    the other order neighbours kept all fetches busy, the origin's link rested, and after 5 s a
    third of the chunks had not left it. Turns keep chunks from leaving the origin, or crossing
    between regions, more than once.

    :param missing: chunks neither held nor being fetched.
    :param list_region_fetchers: returns the agents of this region among which a chunk's turns to cross
        go, in the same order everywhere.
    :param list_origin_fetchers: returns the agents that may fetch a chunk from the origin now.
    :param can_cross: tells whether a chunk may be brought over already.
    :param waited: seconds for which each chunk has been held elsewhere.
    :param idle: seconds since a chunk last came.
    :param origin_free: whether another fetch from the origin may start.
    :param origin_first: whether this agent's link is left to the origin while chunks that are its
        turn there have not left it. The origin may go away at any moment: shared with neighbours'
        chunks, three feeders took 21 chunks a second of 37 that its link gives, and 14 of 64 were
        missing to everybody when it went away 2.3 s after the naming.
    :param origin_timeout: seconds without a chunk after which turns at the origin no longer count.
    :param origin_repeats: whether that may be a chunk that others hold, but fewer than half of
        them. The uplinks of the origin's region carry every chunk to the other regions besides
        their own, and bind; an agent that joins finds enough holders without the origin.
    """
    counts = {chunk: sum(each.chunk_bitmap >> chunk & 1 for each in sources) for chunk in missing}
    near_bitmap = _merge_bitmaps(each for each in sources if each.same_region)
    idle_too_long = idle > IDLE_TIMEOUT_SECONDS
    unstored = [chunk for chunk in missing if not counts[chunk]]
    own_turn = [
        chunk
        for chunk in unstored
        if _pick_origin_fetcher(chunk, list_origin_fetchers(chunk)) == own_address
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
            idle_too_long
            or pick_region_fetcher(chunk, list_region_fetchers(chunk), waited.get(chunk, 0.0))
            == own_address
        )
    ]
    near = [each for each in sources if each.same_region and each.busy < max_busy]
    found = _pick_from(crossing, far, counts, random) or _pick_from(missing, near, counts, random)
    if found is None and origin_free and idle > IDLE_TIMEOUT_SECONDS + origin_timeout and missing:
        return ChunkFetch(random.choice(missing), None)
    return found


def _pick_origin_fetcher(chunk: int, fetchers: Sequence[str]) -> str:
    return fetchers[chunk % len(fetchers)]


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
    reachable = _merge_bitmaps(sources)
    eligible = [chunk for chunk in chunks if reachable >> chunk & 1]
    if not eligible:
        return None
    chunk = min(eligible, key=lambda each: (counts[each], random.random()))
    holders = [each for each in sources if each.chunk_bitmap >> chunk & 1]
    source = min(holders, key=lambda each: (each.busy, random.random()))
    return ChunkFetch(chunk, source.address)
