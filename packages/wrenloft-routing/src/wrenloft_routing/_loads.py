"""Requests in progress at each endpoint, as entry nodes tell them one another."""

from collections.abc import Mapping
from dataclasses import dataclass

from wrenloft_core import AgentId, NodeId, ServiceName

HEARD_SECONDS = 1.0
"""How long another node's word holds without a further one; it says something every 0.2 s."""


@dataclass(frozen=True, slots=True)
class InProgress:
    """Requests in progress at one endpoint.

    :param unread: sent, and without a first event yet.
    :param unread_tokens: prompt tokens of those.
    :param running: whose first event has come.
    """

    unread: int = 0
    unread_tokens: int = 0
    running: int = 0

    @property
    def total(self) -> int:
        """All of them."""
        return self.unread + self.running

    def __add__(self, other: "InProgress") -> "InProgress":
        return InProgress(
            self.unread + other.unread,
            self.unread_tokens + other.unread_tokens,
            self.running + other.running,
        )

    def __sub__(self, other: "InProgress") -> "InProgress":
        return InProgress(
            self.unread - other.unread,
            self.unread_tokens - other.unread_tokens,
            self.running - other.running,
        )


NO_LOAD = InProgress()


@dataclass(frozen=True, slots=True)
class QueueLength:
    """Requests that wait at entry nodes for room at a service's endpoints.

    :param fresh: that can still be in time.
    :param late: that cannot.
    """

    fresh: int = 0
    late: int = 0

    def __add__(self, other: "QueueLength") -> "QueueLength":
        return QueueLength(self.fresh + other.fresh, self.late + other.late)


@dataclass(frozen=True, slots=True)
class LoadUpdate:
    """What a node tells its relay, or a relay tells of many nodes.

    :param in_progress: at each endpoint where it has changed since the last update.
    :param queues: of each service for which requests wait there now.
    :param nodes: how many nodes it tells of.
    """

    in_progress: dict[AgentId, InProgress]
    queues: dict[ServiceName, QueueLength]
    nodes: int = 1


class PeerLoads:
    """What the other entry nodes have in progress, by endpoint, from nodes or from relays.

    An engine's report is as old when it arrives as a first event may take. Nodes that go by reports
    all send their next requests to the engine that looks idle; what nodes tell one another is a
    few hundredths of a second old.
    """

    def __init__(self) -> None:
        self._told: dict[NodeId, dict[AgentId, InProgress]] = {}
        self._nodes: dict[NodeId, int] = {}
        self._heard_at: dict[NodeId, float] = {}
        self._sums: dict[AgentId, InProgress] = {}
        self._queues: dict[NodeId, dict[ServiceName, QueueLength]] = {}

    def record(self, node: NodeId, update: LoadUpdate, now: float) -> None:
        """Take a node's update."""
        known = self._told.setdefault(node, {})
        for agent_id, load in update.in_progress.items():
            self._change(agent_id, load - known.get(agent_id, NO_LOAD))
            if load == NO_LOAD:
                known.pop(agent_id, None)
            else:
                known[agent_id] = load
        self._queues[node] = update.queues
        self._nodes[node] = update.nodes
        self._heard_at[node] = now

    def forget(self, node: NodeId) -> None:
        """Drop a node's word: it begins anew, or is silent."""
        for agent_id, load in self._told.pop(node, {}).items():
            self._change(agent_id, NO_LOAD - load)
        self._queues.pop(node, None)
        self._nodes.pop(node, None)
        self._heard_at.pop(node, None)

    def drop_silent(self, now: float) -> None:
        """Drop the word of nodes that have been silent for too long."""
        for node, at in list(self._heard_at.items()):
            if now - at > HEARD_SECONDS:
                self.forget(node)

    def count_heard(self) -> int:
        """Return how many other nodes' word is held."""
        return sum(self._nodes.values())

    def told_by(self, node: NodeId) -> Mapping[AgentId, InProgress]:
        """Return what a node has in progress, as it said last."""
        return self._told.get(node, {})

    def is_heard(self, node: NodeId) -> bool:
        """Tell whether a node's word is held."""
        return node in self._heard_at

    def sums(self) -> Mapping[AgentId, InProgress]:
        """Return what all other nodes have in progress, by endpoint."""
        return self._sums

    def queues(self, *, but: NodeId | None = None) -> dict[ServiceName, QueueLength]:
        """Return what waits at all other nodes, by service.

        :param but: a node to leave out.
        """
        total: dict[ServiceName, QueueLength] = {}
        for node, queues in self._queues.items():
            for name, queue in queues.items():
                if node != but:
                    total[name] = total.get(name, QueueLength()) + queue
        return total

    def at(self, agent_id: AgentId) -> InProgress:
        """Return what all other nodes have in progress at an endpoint."""
        return self._sums.get(agent_id, NO_LOAD)

    def queue_of(self, service: ServiceName) -> QueueLength:
        """Return what waits at all other nodes for a service."""
        queues = (each[service] for each in self._queues.values() if service in each)
        return sum(queues, QueueLength())

    def _change(self, agent_id: AgentId, by: InProgress) -> None:
        total = self._sums.get(agent_id, NO_LOAD) + by
        if total == NO_LOAD:
            self._sums.pop(agent_id, None)
        else:
            self._sums[agent_id] = total
