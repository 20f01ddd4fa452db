"""Requests in progress at each endpoint, as exchanged between entry nodes."""

from collections.abc import Mapping
from dataclasses import dataclass

from wrenloft_core import AgentId, NodeId, ServiceName
from wrenloft_policy import RequestKind
from wrenloft_routing._kind_ledger import KindLoad, KindLoads, add_kinds

LOAD_TTL_SECONDS = 1.0
"""How long the last update of another node stays valid; nodes send one at least every 0.2 s."""


@dataclass(frozen=True, slots=True)
class InProgress:
    """Requests in progress at one endpoint.

    :param unread: number of requests sent that have had no first event yet.
    :param unread_tokens: prompt tokens of those requests.
    :param running: number of requests whose first event has arrived.
    """

    unread: int = 0
    unread_tokens: int = 0
    running: int = 0

    @property
    def total(self) -> int:
        """Number of all requests in progress."""
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
    """Requests queued at entry nodes for spare capacity at a service's endpoints.

    :param fresh: number of requests that can still be answered in time.
    :param overdue: number of requests that cannot.
    """

    fresh: int = 0
    overdue: int = 0

    def __add__(self, other: "QueueLength") -> "QueueLength":
        return QueueLength(self.fresh + other.fresh, self.overdue + other.overdue)


@dataclass(frozen=True, slots=True)
class LoadUpdate:
    """Update that a node sends to its relay, or that a relay sends for many nodes.

    :param in_progress: load at each endpoint where it has changed since the last update.
    :param queues: queue of each service for which requests wait now.
    :param nodes: number of nodes that the update covers.
    :param kinds: competing kinds of requests, ``None`` if they have not changed.
    """

    in_progress: dict[AgentId, InProgress]
    queues: dict[ServiceName, QueueLength]
    nodes: int = 1
    kinds: KindLoads | None = None


class PeerLoads:
    """Loads of the other entry nodes by endpoint, as received from nodes or relays.

    An engine's report can be as old on arrival as a first event may take. Nodes that relied on
    reports alone would all send their next requests to the engine that looks idle; updates between
    nodes are a few hundredths of a second old.
    """

    def __init__(self) -> None:
        self._loads: dict[NodeId, dict[AgentId, InProgress]] = {}
        self._nodes: dict[NodeId, int] = {}
        self._received_at: dict[NodeId, float] = {}
        self._sums: dict[AgentId, InProgress] = {}
        self._queues: dict[NodeId, dict[ServiceName, QueueLength]] = {}
        self._kinds: dict[NodeId, KindLoads] = {}

    def record(self, node: NodeId, update: LoadUpdate, now: float) -> None:
        """Record a node's update."""
        known = self._loads.setdefault(node, {})
        for agent_id, load in update.in_progress.items():
            self._change(agent_id, load - known.get(agent_id, NO_LOAD))
            if load == NO_LOAD:
                known.pop(agent_id, None)
            else:
                known[agent_id] = load
        self._queues[node] = update.queues
        if update.kinds is not None:
            self._kinds[node] = update.kinds
        self._nodes[node] = update.nodes
        self._received_at[node] = now

    def forget(self, node: NodeId) -> None:
        """Drop all data of a node that restarted its stream or stopped sending."""
        for agent_id, load in self._loads.pop(node, {}).items():
            self._change(agent_id, NO_LOAD - load)
        self._queues.pop(node, None)
        self._kinds.pop(node, None)
        self._nodes.pop(node, None)
        self._received_at.pop(node, None)

    def drop_expired(self, now: float) -> None:
        """Drop the data of nodes whose last update has expired."""
        for node, at in list(self._received_at.items()):
            if now - at > LOAD_TTL_SECONDS:
                self.forget(node)

    def count_reachable(self) -> int:
        """Return the number of other nodes with a valid update."""
        return sum(self._nodes.values())

    def get_loads(self, node: NodeId) -> Mapping[AgentId, InProgress]:
        """Return the load at each endpoint in a node's last update."""
        return self._loads.get(node, {})

    def is_reachable(self, node: NodeId) -> bool:
        """Return whether a node's last update is still valid."""
        return node in self._received_at

    def get_sums(self) -> Mapping[AgentId, InProgress]:
        """Return the load of all other nodes by endpoint."""
        return self._sums

    def sum_queues(self, *, exclude: NodeId | None = None) -> dict[ServiceName, QueueLength]:
        """Return the requests queued at all other nodes by service.

        :param exclude: a node to leave out.
        """
        total: dict[ServiceName, QueueLength] = {}
        for node, queues in self._queues.items():
            for name, queue in queues.items():
                if node != exclude:
                    total[name] = total.get(name, QueueLength()) + queue
        return total

    def get_load(self, agent_id: AgentId) -> InProgress:
        """Return the load of all other nodes at an endpoint."""
        return self._sums.get(agent_id, NO_LOAD)

    def get_queue(self, service: ServiceName) -> QueueLength:
        """Return the requests queued at all other nodes for a service."""
        queues = (each[service] for each in self._queues.values() if service in each)
        return sum(queues, QueueLength())

    def sum_kinds(self, *, exclude: NodeId | None = None) -> KindLoads:
        """Return the competing kinds of requests at all other nodes.

        :param exclude: a node to leave out.
        """
        return add_kinds(kinds for node, kinds in self._kinds.items() if node != exclude)

    def get_kinds(self, service: ServiceName) -> Mapping[RequestKind, KindLoad]:
        """Return the competing kinds of requests at all other nodes for a service."""
        known = [{service: each[service]} for each in self._kinds.values() if service in each]
        return add_kinds(known).get(service, {})

    def _change(self, agent_id: AgentId, by: InProgress) -> None:
        total = self._sums.get(agent_id, NO_LOAD) + by
        if total == NO_LOAD:
            self._sums.pop(agent_id, None)
        else:
            self._sums[agent_id] = total
