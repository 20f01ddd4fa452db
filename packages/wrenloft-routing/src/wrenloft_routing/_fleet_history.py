"""How long this node has reached the other entry nodes, for decisions that must not be early."""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from wrenloft_core import IncarnationId, NodeId, PlaceName, read_clock
from wrenloft_policy import NodeGroup, pick_limiter
from wrenloft_routing._members import Member, Members, NodeState

TAKEOVER_SECONDS = 1.5
"""How long a node must have been reached, or lost, to count as such here. Nodes disagree for about
a second on which of them are alive; the former limiter grants no more when the next one begins."""

START_SECONDS = 3.0
"""How long a node that has started grants nothing. After a restart of all nodes, the first list of
nodes lacks those that register later, and the next one comes 1.5 s after it."""

MAX_GAP_SECONDS = 0.6
"""Longest time between two observations. A process that was suspended longer may have been given up
by the others, who do so after 0.8 s, while all that it knows of them is from before."""

LISTED_SECONDS = 600.0
"""How long a node that was lost and is no longer listed counts as part of the fleet. Entries of
nodes behind a partition expire, and both sides would take themselves for the whole fleet."""

MAX_NODES = 4096
"""Nodes remembered, about 1 MB: each of 400 nodes under ten names within that time."""


CountHeard = Callable[[PlaceName | None], float]


def trust_states(place: PlaceName | None) -> float:
    return inf


@dataclass(slots=True)
class _Record:
    place: PlaceName
    listed_at: float
    reached_since: float = inf
    reached_at: float = -inf
    stopping: bool = False


class FleetHistory:
    """Since when each entry node has been reached from here.

    :param count_heard: returns the number of other nodes of which this one has recent news, of a
        zone or of the fleet.

    :meth:`observe` is to be called several times a second.
    """

    def __init__(self, members: Members, count_heard: CountHeard = trust_states) -> None:
        self._members = members
        self._count_heard = count_heard
        self._nodes: dict[NodeId, _Record] = {}
        self._observed_at = read_clock()
        self._settled_at = self._observed_at + START_SECONDS

    def observe(self) -> None:
        """Record which nodes are reached now."""
        now = read_clock()
        if now - self._observed_at > MAX_GAP_SECONDS:
            self._settled_at = max(self._settled_at, now + TAKEOVER_SECONDS)
        self._observed_at = now
        own = self._members.own
        for member in (own, *self._members.list_others(near=True)):
            self._observe_node(member, now)
        for member in self._members.list_others(near=False):
            self._observe_node(member, now)
        for node_id, record in list(self._nodes.items()):
            if record.listed_at == now:
                continue
            record.reached_since = inf
            if record.stopping or now - record.listed_at > LISTED_SECONDS:
                del self._nodes[node_id]
        while len(self._nodes) > MAX_NODES:
            del self._nodes[next(iter(self._nodes))]

    def _observe_node(self, member: Member, now: float) -> None:
        record = self._nodes.setdefault(member.node_id, _Record(member.place, now))
        record.listed_at = now
        if member is self._members.own or member.state in (NodeState.READY, NodeState.UNREADY):
            record.reached_since = min(record.reached_since, now)
            record.reached_at = now
            record.stopping = member.state is NodeState.UNREADY
        else:
            record.reached_since = inf

    def is_limiter(self, incarnation: IncarnationId, place: PlaceName) -> bool:
        """Return whether this node has been an endpoint's limiter for long enough to grant."""
        now = self._observed_at
        if now < self._settled_at:
            return False
        candidates = {
            node_id: each
            for node_id, each in self._nodes.items()
            if now - each.reached_at <= TAKEOVER_SECONDS
        }
        zone = [node_id for node_id, each in candidates.items() if each.place == place]
        return pick_limiter(incarnation, zone, list(candidates)) == self._members.own.node_id

    def count_groups(self, place: PlaceName) -> tuple[NodeGroup, NodeGroup]:
        """Return the nodes that are reached for long enough, of a zone and of the fleet."""
        reached_before = self._observed_at - TAKEOVER_SECONDS
        fleet = list(self._nodes.values())
        zone = [each for each in fleet if each.place == place]

        def count(nodes: list[_Record], heard: float) -> NodeGroup:
            reached = sum(each.reached_since <= reached_before for each in nodes)
            if self._members.is_lost_to_others:
                reached = 0
            return NodeGroup(int(min(reached, 1.0 + heard)), len(nodes))

        return count(zone, self._count_heard(place)), count(fleet, self._count_heard(None))
