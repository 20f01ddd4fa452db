"""The entry nodes that callers are told of."""

import logging
from collections.abc import Iterable
from dataclasses import dataclass

from wrenloft_core import NodeId, PlaceName, RegionName, note, read_clock

_LOG = logging.getLogger(__name__)

MISSED_PINGS = 2
"""Pings in a row without an answer after which a node is no longer named: one may be lost, and
two at half a second each are noticed before a caller's second try."""

_ENOUGH_NEAR = 2
"""Entry nodes that suffice near a caller; with one, a failure there would send the caller back to
the directory."""


@dataclass(slots=True)
class Member:
    """One entry node.

    :param front: address that callers connect to.
    :param internal: address for other nodes.
    """

    node_id: NodeId
    place: PlaceName
    region: RegionName
    front: str
    internal: str
    missed: int = 0
    ready: bool = True
    heard_at: float = 0.0


class Members:
    """Entry nodes by id: listed in the store, judged by what this node hears of them."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self._members: dict[NodeId, Member] = {own.node_id: own}

    def update(self, listed: Iterable[Member]) -> None:
        """Take a reading of the list.

        A node that is missing but still answers stays: its entry may have lapsed while the
        store was away.
        """
        seen = {each.node_id: each for each in listed}
        for node_id, member in seen.items():
            if node_id == self.own.node_id:
                continue
            known = self._members.get(node_id)
            if known is None or (known.front, known.internal) != (member.front, member.internal):
                self._members[node_id] = member
                note(_LOG, "entry node listed", node=node_id, address=member.front)
        for node_id, member in list(self._members.items()):
            if node_id not in seen and member is not self.own and member.missed >= MISSED_PINGS:
                del self._members[node_id]
                note(_LOG, "entry node gone", node=node_id)

    def others(self, *, near: bool) -> list[Member]:
        """Return the other nodes: those of this availability zone, or the rest."""
        return [
            each
            for each in self._members.values()
            if each is not self.own and (each.place == self.own.place) is near
        ]

    def record(self, member: Member, *, answered: bool, ready: bool, refused: bool = False) -> None:
        """Take the outcome of a ping.

        :param refused: whether the host answered that nothing listens there.
        """
        was_named = self._is_named(member)
        if answered:
            member.missed, member.ready, member.heard_at = 0, ready, read_clock()
        else:
            member.missed += MISSED_PINGS if refused else 1
        if self._is_named(member) != was_named:
            note(
                _LOG,
                "entry node judged",
                node=member.node_id,
                named=not was_named,
                missed=member.missed,
                ready=member.ready,
            )

    @staticmethod
    def _is_named(member: Member) -> bool:
        return member.ready and member.missed < MISSED_PINGS

    def pick_reader(self) -> Member | None:
        """Return the node that reads the store for this zone, ``None`` if that is this node."""
        near = [each for each in self.others(near=True) if each.missed < MISSED_PINGS]
        first = min([self.own, *near], key=lambda each: each.node_id)
        return None if first is self.own else first

    def pick_other(self) -> Member | None:
        """Return any node that answers, nearest first and heard of last."""
        heard = [
            each
            for near in (True, False)
            for each in self.others(near=near)
            if each.missed == 0 and each.heard_at
        ]
        return heard[int(read_clock() * 7) % min(len(heard), 3)] if heard else None

    def choose(self, place: PlaceName, region: RegionName) -> list[str]:
        """Return the addresses for a caller: the nearest that are enough, else all there are.

        A node that hears nobody may itself be cut off; it then names all it knows, since callers
        try another when one fails.
        """
        named = [each for each in self._members.values() if self._is_named(each)]
        for scope in (
            [each for each in named if each.place == place],
            [each for each in named if each.region == region],
        ):
            if len(scope) >= _ENOUGH_NEAR:
                return [each.front for each in scope]
        if named:
            return [each.front for each in named]
        return [each.front for each in self._members.values()]

    def count_live(self) -> int:
        """Return how many entry nodes answer pings, this one included."""
        others = [each for near in (True, False) for each in self.others(near=near)]
        return 1 + sum(each.missed < MISSED_PINGS for each in others)

    def __len__(self) -> int:
        return len(self._members)
