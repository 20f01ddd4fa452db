"""What this node knows of agents and of other nodes."""

import asyncio
from collections.abc import Iterator
from dataclasses import dataclass, field

from wrenloft_core import AgentId, ModelName, NodeId, PlaceName, RegionName, Selector
from wrenloft_messages import messages
from wrenloft_policy import EntryNode, Host, RunnerCandidate, matches

_FORGET_SECONDS = 60.0


@dataclass(slots=True)
class AgentEntry:
    """One agent as this node knows it.

    :param steady: grows with each change besides the load; says what peers must be told.
    :param own: requests of this node in progress there.
    :param sent_since: requests sent since the last report, less those that ended.
    """

    record: messages.AgentRecord
    heard_at: float
    ready_at: float
    steady: int
    own: int = 0
    sent_since: int = 0
    prefixes: dict[int, None] = field(default_factory=dict)

    @property
    def agent_id(self) -> AgentId:
        """The agent's id."""
        return AgentId(self.record.agent_id)

    @property
    def labels(self) -> dict[str, str]:
        """The host's labels, with its place and region among them."""
        record = self.record
        return {"place": record.place, "region": record.region, **record.labels}

    @property
    def ready(self) -> bool:
        """Whether it takes new requests."""
        return self.record.phase == messages.PHASE_READY

    def serves(self, model: ModelName) -> bool:
        """Tell whether some whole version of a model is served."""
        return any(each.model == model for each in self.record.served)

    def version_of(self, model: ModelName) -> str:
        """Return the version served of a model, empty if none is."""
        return next((each.version for each in self.record.served if each.model == model), "")


@dataclass(slots=True)
class PeerEntry:
    """Another node, as its own messages describe it."""

    record: messages.NodeRecord
    heard_at: float
    demand: dict[str, float] = field(default_factory=dict)


class View:
    """Agents and nodes, merged from direct streams and from other nodes' messages.

    :param stale_seconds: age at which an agent's report is no longer relied on.
    """

    def __init__(self, stale_seconds: float, suspect_seconds: float) -> None:
        self._stale_seconds = stale_seconds
        self._suspect_seconds = suspect_seconds
        self._steady = 0
        self.agents: dict[AgentId, AgentEntry] = {}
        self.peers: dict[NodeId, PeerEntry] = {}
        self.attached: set[AgentId] = set()
        self.changed = asyncio.Event()

    def merge_record(self, record: messages.AgentRecord, now: float) -> None:
        """Take a whole record, unless a later one is known."""
        agent_id = AgentId(record.agent_id)
        known = self.agents.get(agent_id)
        if known is not None and known.record.sequence >= record.sequence:
            return
        self._steady += 1
        ready_at = now
        if known is not None and known.ready:
            ready_at = known.ready_at
        entry = AgentEntry(record, now, ready_at, self._steady)
        if known is not None:
            entry.own, entry.prefixes = known.own, known.prefixes
        self.agents[agent_id] = entry
        self.notify()

    def merge_load(self, load: messages.AgentLoad, now: float) -> bool:
        """Take a load report; return ``False`` if the agent's record is not known."""
        entry = self.agents.get(AgentId(load.agent_id))
        if entry is None:
            return False
        if load.sequence > entry.record.sequence:
            entry.record.sequence = load.sequence
            entry.record.running = load.running
            entry.record.waiting = load.waiting
            entry.record.revision = load.revision
            entry.heard_at = now
            entry.sent_since = 0
        return True

    def notify(self) -> None:
        """Wake those that wait for something besides a load to change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def merge_peer(
        self, record: messages.NodeRecord, now: float, demand: dict[str, float] | None = None
    ) -> None:
        """Take what another node says of itself."""
        known = self.peers.get(NodeId(record.node_id))
        kept = known.demand if known else {}
        self.peers[NodeId(record.node_id)] = PeerEntry(
            record, now, demand if demand is not None else kept
        )

    def forget_old(self, now: float) -> None:
        """Forget agents and nodes that have been silent for a minute."""
        for agent_id, entry in list(self.agents.items()):
            if entry.heard_at + _FORGET_SECONDS < now and not entry.own:
                del self.agents[agent_id]
        for node_id, peer in list(self.peers.items()):
            if peer.heard_at + _FORGET_SECONDS < now:
                del self.peers[node_id]

    def is_fresh(self, entry: AgentEntry, now: float) -> bool:
        """Tell whether an agent's report is recent enough to rely on."""
        return entry.heard_at + self._stale_seconds >= now

    def suspects(self, node_id: NodeId, now: float) -> bool:
        """Tell whether a node has been silent for too long."""
        peer = self.peers.get(node_id)
        return peer is None or peer.heard_at + self._suspect_seconds < now

    def serving(self, model: ModelName, now: float) -> list[AgentEntry]:
        """Return the agents to which a model's requests may go."""
        return self._prefer_fresh([each for each in self._ready() if each.serves(model)], now)

    def offering(self, selector: Selector, now: float) -> list[AgentEntry]:
        """Return the agents of a plain service."""
        ready = [each for each in self._ready() if matches(selector, each.labels)]
        return self._prefer_fresh(ready, now)

    def _ready(self) -> Iterator[AgentEntry]:
        return (each for each in self.agents.values() if each.ready)

    def _prefer_fresh(self, entries: list[AgentEntry], now: float) -> list[AgentEntry]:
        """Leave out silent agents, unless all are.

        A node cut off from its peers hears of no agent it is not the home of; if it then refused
        everything, alarms that it could still pass on would stay silent. An agent that is really
        gone refuses the connection, which is proof that nothing ran.
        """
        return [each for each in entries if self.is_fresh(each, now)] or entries

    def describe_candidate(
        self, entry: AgentEntry, prefix: int | None, now: float
    ) -> RunnerCandidate:
        """Return what the choice of a runner needs."""
        record = entry.record
        return RunnerCandidate(
            agent_id=entry.agent_id,
            place=PlaceName(record.place),
            region=RegionName(record.region),
            capacity=record.capacity,
            reported=record.running + record.waiting,
            sent_since=entry.sent_since,
            own=entry.own,
            ready_seconds=now - entry.ready_at,
            cached=prefix is not None and prefix in entry.prefixes,
        )

    def list_hosts(self, model: ModelName, version: str, now: float) -> list[Host]:
        """Return what placement needs of each agent that is not silent."""
        return [
            Host(
                agent_id=entry.agent_id,
                place=PlaceName(entry.record.place),
                labels=entry.labels,
                leaving=entry.record.phase == messages.PHASE_LEAVING,
                serves=entry.serves(model),
                stored_share=1.0 if entry.version_of(model) == version else 0.0,
                other_models=sum(each.model != model for each in entry.record.served),
            )
            for entry in self.agents.values()
            if self.is_fresh(entry, now)
        ]

    def list_entries(self, own: messages.NodeRecord, now: float) -> list[EntryNode]:
        """Return all known entry nodes, this one among them."""
        records = {own.node_id: own}
        records.update({each.record.node_id: each.record for each in self.peers.values()})
        return [
            EntryNode(
                node_id=NodeId(record.node_id),
                address=record.http_address,
                place=PlaceName(record.place),
                region=RegionName(record.region),
                draining=record.draining,
                suspected=record is not own and self.suspects(NodeId(record.node_id), now),
            )
            for record in records.values()
        ]
