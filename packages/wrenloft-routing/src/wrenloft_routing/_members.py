"""Entry nodes: which are offered to callers, and which relay for their zone."""

import logging
from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from wrenloft_core import NodeId, PlaceName, RegionName, note, read_clock
from wrenloft_policy import NodeGroup, RelayCandidate, rank_relays
from wrenloft_routing._table import AllowedRegions

_LOG = logging.getLogger(__name__)

_MIN_NEAR_NODES = 2
"""Entry nodes that suffice near a caller; with only one, its failure would send the caller back to
the directory."""

RELAY_BACKOFF_SECONDS = 1.0
"""How long a lost relay is skipped; doubled by each further loss in a row. A process that ended is
restarted within a second."""

MAX_RELAY_BACKOFF_SECONDS = 8.0
"""Longest such time: an attempt to reach a dead host leaves the node without frames for a third of
a second."""


class NodeState(Enum):
    """State of an entry node."""

    UNKNOWN = "unknown"
    READY = "ready"
    UNREADY = "unready"
    LOST = "lost"


@dataclass(slots=True)
class Member:
    """One entry node.

    :param front: address for callers.
    :param internal: address for other nodes.
    :param strength: available processor time in cores.
    :param avoided_until: time until which it isn't used as a relay, after its loss as one.
    :param losses: number of such losses in a row.
    """

    node_id: NodeId
    place: PlaceName
    region: RegionName
    front: str
    internal: str
    strength: float = 1.0
    state: NodeState = NodeState.UNKNOWN
    avoided_until: float = field(default=0.0, compare=False)
    losses: int = field(default=0, compare=False)

    @property
    def is_advertised(self) -> bool:
        """Whether its address is given to callers; a node in unknown state counts as ready."""
        return self.state in (NodeState.UNKNOWN, NodeState.READY)


class Members:
    """Entry nodes by id: listed in the store, with states as observed by their zone's relay.

    ``is_lost_to_others`` is whether the relay says that it can't reach this node.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        own.state = NodeState.READY
        self.is_lost_to_others = False
        self._members: dict[NodeId, Member] = {own.node_id: own}

    def update(self, listed: Iterable[Member]) -> None:
        """Update the members from the list in the store.

        A missing node that is still reachable stays: its entry may have expired while the store was
        unavailable.
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
            reachable = member.state in (NodeState.READY, NodeState.UNREADY)
            if node_id not in seen and member is not self.own and not reachable:
                del self._members[node_id]
                note(_LOG, "entry node gone", node=node_id)

    def list_others(self, *, near: bool) -> list[Member]:
        """Return the other nodes: those of this availability zone, or all the rest."""
        return [
            each
            for each in self._members.values()
            if each is not self.own and (each.place == self.own.place) is near
        ]

    def get(self, node_id: NodeId) -> Member | None:
        """Return a node if it is known."""
        return self._members.get(node_id)

    def list_reachable(self) -> list[Member]:
        """Return the reachable nodes, this one included."""
        reachable = (NodeState.READY, NodeState.UNREADY)
        return [
            each for each in self._members.values() if each is self.own or each.state in reachable
        ]

    def count_groups(self, place: PlaceName) -> tuple[NodeGroup, NodeGroup]:
        """Return the numbers of reachable and of listed nodes, for a zone and for the fleet."""
        reachable = self.list_reachable()
        zone_reachable = sum(each.place == place for each in reachable)
        zone_listed = sum(each.place == place for each in self._members.values())
        return NodeGroup(zone_reachable, zone_listed), NodeGroup(len(reachable), len(self._members))

    def is_address_reachable(self, internal: str) -> bool:
        """Return whether the node at an internal address is this one or reachable."""
        reachable = (NodeState.READY, NodeState.UNREADY)
        return any(
            each is self.own or each.state in reachable
            for each in self._members.values()
            if each.internal == internal
        )

    def record_own_state(self, state: NodeState | None) -> None:
        """Record this node's state as its relay sees it, ``None`` if unchanged."""
        if state is not None:
            self.is_lost_to_others = state is NodeState.LOST

    def update_states(self, states: Mapping[NodeId, NodeState]) -> None:
        """Update the states of nodes as observed by a relay; unknown states change nothing."""
        for node_id, state in states.items():
            member = self._members.get(node_id)
            if member is None or member is self.own or member.state is state:
                continue
            if state is not NodeState.UNKNOWN:
                note(_LOG, "entry node state changed", node=node_id, state=state.value)
                member.state = state

    def list_states(self, places: Container[PlaceName]) -> dict[NodeId, NodeState]:
        """Return the states of the nodes of some zones."""
        return {each.node_id: each.state for each in self._members.values() if each.place in places}

    def list_places(self) -> list[PlaceName]:
        """Return the availability zones with a node that isn't known to be lost, in order."""
        return sorted(self.find_places())

    def find_places(self) -> set[PlaceName]:
        """Return the availability zones with a node that isn't known to be lost."""
        return {each.place for each in self._members.values() if each.state is not NodeState.LOST}

    def rank_members(self, place: PlaceName) -> list[Member]:
        """Return a zone's nodes in the order in which they relay, the strongest first."""
        among = [each for each in self._members.values() if each.place == place]
        order = rank_relays([RelayCandidate(each.node_id, each.strength) for each in among])
        return [self._members[NodeId(each)] for each in order]

    def pick_relay(self, place: PlaceName) -> Member | None:
        """Return the node that relays for a zone, ``None`` if there is none to try now.

        This node's own zone has at least itself: a node that reaches no other relays for itself.
        """
        now = read_clock()
        ranked = [each for each in self.rank_members(place) if each.avoided_until <= now]
        live = [each for each in ranked if each.state is not NodeState.LOST or each is self.own]
        return next(iter([*live, *ranked]), None)

    def record_relay(self, member: Member, *, connected: bool) -> None:
        """Record whether a subscription to a node as relay succeeded."""
        if connected:
            member.losses, member.avoided_until = 0, 0.0
            return
        pause = min(MAX_RELAY_BACKOFF_SECONDS, RELAY_BACKOFF_SECONDS * 2**member.losses)
        member.losses += 1
        member.avoided_until = read_clock() + pause

    def pick_reachable(self, random: Random) -> Member | None:
        """Return a random reachable node."""
        reachable = [
            each
            for each in self._members.values()
            if each is not self.own and each.state in (NodeState.READY, NodeState.UNREADY)
        ]
        return random.choice(reachable) if reachable else None

    def choose_addresses(
        self, place: PlaceName, region: RegionName, allowed: AllowedRegions = None
    ) -> list[str]:
        """Return the addresses for a caller: the nearest ones if they suffice, else all.

        A node that reaches no other may itself be cut off; it then returns all addresses it knows,
        since callers try another one on failure.

        :param allowed: regions in which the caller's requests may be served. Other nodes than these
            and those of the caller's region are returned only if there is none of them.
        """
        advertised = [each for each in self._members.values() if each.is_advertised]
        for scope in (
            [each for each in advertised if each.place == place],
            [each for each in advertised if each.region == region],
        ):
            if len(scope) >= _MIN_NEAR_NODES:
                return [each.front for each in scope]
        if allowed is not None:
            bound = [each for each in advertised if each.region == region or each.region in allowed]
            if bound:
                return [each.front for each in bound]
        if advertised:
            return [each.front for each in advertised]
        return [each.front for each in self._members.values()]

    def count_live(self) -> int:
        """Return the number of entry nodes not known to be lost, this one included."""
        return sum(each.state is not NodeState.LOST for each in self._members.values())

    def count_near(self) -> int:
        """Return the number of such nodes in this availability zone, this one included."""
        near = [each for each in self._members.values() if each.place == self.own.place]
        return sum(each.state is not NodeState.LOST for each in near)

    def __len__(self) -> int:
        return len(self._members)
