"""Which agents fetch a chunk for the others: from the origin, and across regions."""

from collections.abc import Callable, Sequence

from wrenloft_policy import FEEDERS, TURN_SECONDS, list_feeders, pick_parts
from wrenloft_swarm._ports import Neighbour

LEAST_AT_ORIGIN = 3
"""Agents of the origin's region that suffice to use up the origin's link, twice a host's."""


class Duties:
    """Who brings which chunks, as every agent works it out from the same list.

    An agent's duty is the part of the version that its own engine loads first; the chunks that it
    brings for others are then the ones that it waits for itself.

    :param parts: into how many parts a version is split.
    :param chunks: chunks of a version.
    """

    def __init__(
        self, own: Neighbour, others: Sequence[Neighbour], parts: int, chunks: int
    ) -> None:
        everyone = [own, *others]
        self.addresses = sorted(each.address for each in everyone)
        self._part_by_address = pick_parts(self.addresses, parts)
        self._parts = parts
        self._chunks = chunks
        near = [own, *(each for each in others if each.near)]
        at_origin = [each for each in everyone if each.at_origin]
        if len(at_origin) < LEAST_AT_ORIGIN:
            at_origin = everyone
        first = sorted(each.address for each in at_origin)
        self._order = first + [each for each in self.addresses if each not in set(first)]
        self._own = own.address
        self._region = own.region
        self._far_regions = sorted({each.region for each in everyone if not each.at_origin})
        self._near = self._split(near)
        self._at_origin = self._split(at_origin)

    def _split(self, members: Sequence[Neighbour]) -> list[list[str]]:
        """Sort members by their part; a part without any is everybody's."""
        addresses = sorted(each.address for each in members)
        split: list[list[str]] = [[] for _ in range(self._parts)]
        for address in addresses:
            split[self._part_by_address[address]].append(address)
        return [each or addresses for each in split]

    def part_of(self, chunk: int) -> int:
        """Return the part that a chunk belongs to."""
        return chunk * self._parts // self._chunks

    def is_first_region(self, chunk: int) -> bool:
        """Tell whether this region takes a chunk straight from the origin's region."""
        return not self._far_regions or (
            self._far_regions[chunk % len(self._far_regions)] == self._region
        )

    def count_at_origin(self) -> int:
        """Return how many agents fetch from the origin in turns."""
        return len({address for part in self._at_origin for address in part})

    def list_carriers(self, chunk: int) -> list[str]:
        """Return the agents of this region that may bring a chunk over from another one."""
        return self._near[self.part_of(chunk)]

    @property
    def rank_at_origin(self) -> int:
        """This agent's place in the order in which agents ask the origin out of turn."""
        return self._order.index(self._own)

    def remember_feeders(
        self, late: float, drain_seconds: float = 0.0
    ) -> Callable[[int], list[str]]:
        """Return what gives the agents among which a chunk's fetch from the origin is shared out.

        :param late: seconds for which chunks have been late.
        :param drain_seconds: in which the origin's link carries a version; a chunk passes on to
            the next agent no sooner.
        """
        each = max(1, FEEDERS // self._parts)
        turn = max(TURN_SECONDS, drain_seconds)
        feeders = [list_feeders(members, late, turn, each) for members in self._at_origin]
        return lambda chunk: feeders[self.part_of(chunk)]
