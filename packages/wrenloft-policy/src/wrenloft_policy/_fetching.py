"""Which chunk an agent fetches next, and from whom, without an owner who tells it."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from random import Random

FAR_PATIENCE = 1.0
"""Seconds for which a chunk that only other regions hold is left to the one agent of this region
whose turn it is: each chunk should cross a link between regions once."""

ORIGIN_PATIENCE = 1.2
"""Seconds for which a chunk that nobody holds is left to the one agent whose turn it is at the
origin: a chunk of 24 KB takes that agent about 0.4 s while all fetch at once."""


@dataclass(frozen=True, slots=True)
class ChunkSource:
    """Another agent as the fetcher sees it.

    :param held: bit mask of the chunks that it holds.
    :param busy: chunks being fetched from it by this agent.
    :param near: whether it is in the same region.
    """

    address: str
    held: int
    busy: int
    near: bool


@dataclass(frozen=True, slots=True)
class Pick:
    """A chunk to fetch; ``address`` is ``None`` for the origin."""

    chunk: int
    address: str | None


def rank_turn(chunk: int, members: Sequence[str], skip: int = 0) -> str:
    """Return whose turn a chunk is among members in a common order."""
    return members[(chunk + skip) % len(members)]


def choose_fetch(
    missing: Sequence[int],
    sources: Sequence[ChunkSource],
    own_address: str,
    region_members: Sequence[str],
    members: Sequence[str],
    waited: float,
    origin_free: bool,
    random: Random,
    busy_limit: int,
) -> Pick | None:
    """Choose the next chunk: the rarest that a neighbour in the region holds, then one whose turn
    to cross a link or leave the origin is this agent's.

    Rarest first keeps chunks from piling up at few agents, so that every agent always has
    something that others need and no link rests.

    :param missing: chunks neither held nor being fetched.
    :param region_members: agents of this region that fetch the version, this one included.
    :param members: all agents that fetch the version, in the same order everywhere.
    :param waited: seconds since the transfer last received a chunk.
    :param origin_free: whether another fetch from the origin may start.
    """
    counts = {chunk: 0 for chunk in missing}
    near_held = 0
    any_held = 0
    for source in sources:
        any_held |= source.held
        if source.near:
            near_held |= source.held
        for chunk in missing:
            if source.held >> chunk & 1:
                counts[chunk] += 1
    free_near = [each for each in sources if each.near and each.busy < busy_limit]
    if found := _pick_from(missing, free_near, counts, random):
        return found
    own_turns = [
        chunk
        for chunk in missing
        if rank_turn(chunk, region_members) == own_address or waited > FAR_PATIENCE
    ]
    far = [each for each in sources if not each.near and each.busy < busy_limit]
    only_far = [chunk for chunk in own_turns if any_held >> chunk & 1 and not near_held >> chunk & 1]
    if found := _pick_from(only_far, far, counts, random):
        return found
    if origin_free:
        return _pick_origin(missing, any_held, own_address, members, waited, random)
    return None


def _pick_from(
    chunks: Sequence[int],
    sources: Sequence[ChunkSource],
    counts: Mapping[int, int],
    random: Random,
) -> Pick | None:
    reachable = 0
    for source in sources:
        reachable |= source.held
    able = [chunk for chunk in chunks if reachable >> chunk & 1]
    if not able:
        return None
    chunk = min(able, key=lambda each: (counts[each], random.random()))
    holders = [each for each in sources if each.held >> chunk & 1]
    source = min(holders, key=lambda each: (each.busy, random.random()))
    return Pick(chunk, source.address)


def _pick_origin(
    missing: Sequence[int],
    any_held: int,
    own_address: str,
    members: Sequence[str],
    waited: float,
    random: Random,
) -> Pick | None:
    unheld = [chunk for chunk in missing if not any_held >> chunk & 1]
    mine = [chunk for chunk in unheld if rank_turn(chunk, members) == own_address]
    if mine:
        return Pick(mine[0], None)
    if waited > ORIGIN_PATIENCE and unheld:
        return Pick(random.choice(unheld), None)
    if waited > 2 * ORIGIN_PATIENCE and missing:
        return Pick(random.choice(missing), None)
    return None
