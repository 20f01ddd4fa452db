"""Assignment of chunks to the agents that fetch them from the origin and across regions."""

from collections.abc import Callable, Sequence

from wrenloft_policy import (
    ORIGIN_FETCHERS,
    SWAP_GROUPS,
    TURN_SECONDS,
    assign_parts,
    list_origin_fetchers,
)
from wrenloft_swarm._ports import Neighbour

MIN_AT_ORIGIN = 3
"""Agents of the origin's region that can use all of the origin's link, twice a host's rate."""


class Assignments:
    """Chunks assigned to each agent, computed by every agent from the same list.

    An agent is assigned the part of the version that its own engine loads first, so that it fetches
    for others the chunks that it needs first itself. Both follow from the list of agents only: what
    one agent observes, such as the versions it fetches now, differs between agents.

    :param parts: number of parts that the version is split into.
    :param chunks: number of chunks of the version.
    """

    def __init__(
        self, own: Neighbour, others: Sequence[Neighbour], parts: int, chunks: int
    ) -> None:
        everyone = [own, *others]
        self.addresses = sorted(each.address for each in everyone)
        self._part_by_address = assign_parts(self.addresses, parts, SWAP_GROUPS)
        self._parts = parts
        self._chunks = chunks
        near = [own, *(each for each in others if each.near)]
        at_origin = [each for each in everyone if each.at_origin]
        if len(at_origin) < MIN_AT_ORIGIN:
            at_origin = everyone
        first = sorted(each.address for each in at_origin)
        self._origin_order = first + [each for each in self.addresses if each not in set(first)]
        self._own = own.address
        self._region = own.region
        self._far_regions = sorted({each.region for each in everyone if not each.at_origin})
        self._near = self._split(near)
        self._at_origin = self._split(at_origin)

    def _split(self, members: Sequence[Neighbour]) -> list[list[str]]:
        """Group members by part; a part without members is assigned to all of them."""
        addresses = sorted(each.address for each in members)
        split: list[list[str]] = [[] for _ in range(self._parts)]
        for address in addresses:
            split[self._part_by_address[address]].append(address)
        return [each or addresses for each in split]

    @property
    def own_part(self) -> int:
        """The part that this agent's engine loads first."""
        return self._part_by_address[self._own]

    def find_part(self, chunk: int) -> int:
        """Return the part that a chunk belongs to."""
        return chunk * self._parts // self._chunks

    def is_first_region(self, chunk: int) -> bool:
        """Return whether this region fetches a chunk directly from the origin's region."""
        return not self._far_regions or (
            self._far_regions[chunk % len(self._far_regions)] == self._region
        )

    def count_at_origin(self) -> int:
        """Return the number of agents among which fetches from the origin are shared out."""
        return len({address for part in self._at_origin for address in part})

    def list_region_fetchers(self, chunk: int) -> list[str]:
        """Return the agents of this region that may fetch a chunk from another region."""
        return self._near[self.find_part(chunk)]

    @property
    def rank_at_origin(self) -> int:
        """This agent's rank among those that fetch from the origin without an assignment."""
        return self._origin_order.index(self._own)

    def bind_origin_fetchers(
        self, late_seconds: float, drain_seconds: float = 0.0
    ) -> Callable[[int], list[str]]:
        """Return a function from a chunk to the agents that may fetch it from the origin.

        :param late_seconds: seconds for which chunks have been late.
        :param drain_seconds: time for one copy of the version on the origin's link, the least time
            before a chunk is reassigned to the next agent.
        """
        each = max(1, ORIGIN_FETCHERS // self._parts)
        reassign_seconds = max(TURN_SECONDS, drain_seconds)
        origin_fetchers = [
            list_origin_fetchers(members, late_seconds, reassign_seconds, each)
            for members in self._at_origin
        ]
        return lambda chunk: origin_fetchers[self.find_part(chunk)]
