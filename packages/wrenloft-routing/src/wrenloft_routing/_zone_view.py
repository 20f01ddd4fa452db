"""What a relay has heard of its zone and of the others, and what each follower was told of it."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from wrenloft_core import AgentId, NodeId, PlaceName, ServiceName, read_clock
from wrenloft_routing._crash_ledger import CrashLedger
from wrenloft_routing._endpoints import REPORT_STALE_SECONDS, Endpoints, EngineReport
from wrenloft_routing._frames import Frame, FrameScope, ReadingChange
from wrenloft_routing._loads import NO_LOAD, InProgress, LoadUpdate, PeerLoads, QueueLength
from wrenloft_routing._members import Members, NodeState
from wrenloft_routing._store_snapshots import SharedReading

CACHE_SECONDS = 0.01
"""How long a sum over all nodes is used again: followers asked in one turn are told the same."""

LOAD_PART_SECONDS = 0.4
"""Least time between two tellings of an engine's own count of requests. What nodes have in progress
says the same sooner; the count serves only while some node is not heard."""


@dataclass(frozen=True, slots=True)
class HeardReport:
    """An engine's report as its agent told it.

    :param place: the zone whose relay hears that agent.
    """

    report: EngineReport
    place: PlaceName
    heard_at: float


class ZoneView:
    """All that a relay knows.

    :param list_queues: returns what waits at this node for each service.
    :param crashes: of contents, as this node knows them from itself and from others.
    """

    def __init__(
        self,
        endpoints: Endpoints,
        members: Members,
        list_queues: Callable[[], dict[ServiceName, QueueLength]],
        crashes: CrashLedger,
    ) -> None:
        self.crashes = crashes
        self.limits = endpoints.limits
        self._endpoints = endpoints
        self._members = members
        self._list_queues = list_queues
        self._nodes = PeerLoads()
        self.heard = PeerLoads()
        self.reports: dict[str, HeardReport] = {}
        self._sums: dict[FrameScope, dict[AgentId, InProgress]] = {}
        self._summed_at = float("-inf")

    def record_node(self, node: NodeId, update: LoadUpdate) -> None:
        """Take what a node of this zone has in progress."""
        self._nodes.record(node, update, read_clock())
        self.heard.record(node, update, read_clock())

    def record_zone(self, place: PlaceName, update: LoadUpdate) -> None:
        """Take what the nodes of another zone have in progress together."""
        self.heard.record(NodeId(place), update, read_clock())

    def forget(self, source: NodeId) -> None:
        """Drop the word of a node, or of a zone: it begins anew, or is silent."""
        self._nodes.forget(source)
        self.heard.forget(source)

    def record_report(self, address: str, report: EngineReport, place: PlaceName) -> None:
        """Take an engine's report."""
        self.reports[address] = HeardReport(report, place, read_clock())

    def forget_report(self, address: str) -> None:
        """Take that an engine's agent is no longer heard."""
        self.reports.pop(address, None)

    def refresh_reports(self, place: PlaceName, lost: Iterable[str]) -> list[str]:
        """Take that a zone's relay still hears its agents but those that it lost.

        :returns: the addresses of the engines whose agents it hears.
        """
        for address in lost:
            self.forget_report(address)
        now = read_clock()
        heard = [address for address, each in self.reports.items() if each.place == place]
        for address in heard:
            self.reports[address] = replace(self.reports[address], heard_at=now)
        return heard

    def drop_silent(self) -> None:
        """Drop what has not been heard of for too long."""
        now = read_clock()
        self._nodes.drop_silent(now)
        self.heard.drop_silent(now)
        for address, each in list(self.reports.items()):
            if now - each.heard_at > REPORT_STALE_SECONDS:
                del self.reports[address]

    def sum_loads(self, scope: FrameScope, follower: NodeId) -> dict[AgentId, InProgress]:
        """Return the requests in progress that a follower does not know by itself."""
        self._sum_again()
        sums = self._sums[scope].copy()
        if scope is FrameScope.FLEET:
            for agent_id, load in self._nodes.told_by(follower).items():
                sums[agent_id] = sums.get(agent_id, NO_LOAD) - load
        return sums

    def _sum_again(self) -> None:
        now = read_clock()
        if now - self._summed_at < CACHE_SECONDS:
            return
        self._summed_at = now
        own = self._endpoints.list_in_progress()
        self._sums[FrameScope.ZONE] = _add_loads(own, self._nodes.sums())
        self._sums[FrameScope.FLEET] = _add_loads(own, self.heard.sums())

    def count_heard(self, scope: FrameScope, follower: NodeId) -> int:
        """Return how many nodes such sums tell of."""
        if scope is FrameScope.ZONE:
            return 1 + self._nodes.count_heard()
        return 1 + self.heard.count_heard() - self._nodes.is_heard(follower)

    def sum_queues(self, scope: FrameScope, follower: NodeId) -> dict[ServiceName, QueueLength]:
        """Return the requests that wait elsewhere than at a follower, by service."""
        queues = self._list_queues()
        heard = self._nodes if scope is FrameScope.ZONE else self.heard
        for name, queue in heard.queues(but=follower).items():
            queues[name] = queues.get(name, QueueLength()) + queue
        return queues

    def list_reports(self, scope: FrameScope) -> dict[str, EngineReport]:
        """Return the engines' reports that a follower wants."""
        own = self._members.own.place
        return {
            address: each.report
            for address, each in self.reports.items()
            if scope is FrameScope.FLEET or each.place == own
        }

    def list_states(self, scope: FrameScope) -> dict[NodeId, NodeState]:
        """Return what is known of nodes, which a follower wants."""
        places = self._members.list_places()
        own = self._members.own.place
        wanted = [own] if scope is FrameScope.ZONE else {own, *places}
        states: dict[NodeId, NodeState] = {}
        for place in wanted:
            states.update(self._members.list_states(place))
        return states


def _add_loads(
    first: Mapping[AgentId, InProgress], second: Mapping[AgentId, InProgress]
) -> dict[AgentId, InProgress]:
    total = dict(first)
    for agent_id, load in second.items():
        known = total.get(agent_id)
        total[agent_id] = load if known is None else known + load
    return total


class FrameWriter:
    """Makes the frames for one follower: what has changed since the last one."""

    def __init__(
        self,
        view: ZoneView,
        readings: Iterable[SharedReading],
        scope: FrameScope,
        follower: NodeId,
    ) -> None:
        self._view = view
        self._readings = tuple(readings)
        self._scope = scope
        self._follower = follower
        self._loads: dict[AgentId, InProgress] = {}
        self._queues: dict[ServiceName, QueueLength] = {}
        self._reports: dict[str, EngineReport] = {}
        self._load_parts_at = float("-inf")
        self._states: dict[NodeId, NodeState] = {}
        self._crash_revision = 0
        self._limit_revision = 0
        self._revisions: dict[str, dict[str, int]] = {}
        self._begun_at: dict[str, float] = {}

    def compose(self, now: float) -> tuple[Frame, bool]:
        """Return the next frame, and whether it tells anything new."""
        readings = tuple(
            change for each in self._readings if (change := self._compare_reading(each))
        )
        if self._scope is FrameScope.READINGS:
            return Frame(now, readings=readings), False
        loads = self._compare_loads()
        queues = self._view.sum_queues(self._scope, self._follower)
        reports, lost = self._compare_reports(now)
        states = self._compare_states()
        crashes = self._view.crashes.list_changes(self._crash_revision)
        self._crash_revision = self._view.crashes.revision
        limits = self._view.limits.list_changes(self._limit_revision)
        self._limit_revision = self._view.limits.revision
        changed = bool(loads or reports or lost or states or readings or crashes or limits)
        changed = changed or queues != self._queues
        self._queues = queues
        heard = self._view.count_heard(self._scope, self._follower)
        frame = Frame(now, heard, loads, queues, reports, lost, states, readings, crashes, limits)
        return frame, changed

    def _compare_loads(self) -> dict[AgentId, InProgress]:
        current = self._view.sum_loads(self._scope, self._follower)
        changed = {
            agent_id: load
            for agent_id, load in current.items()
            if self._loads.get(agent_id, NO_LOAD) != load
        }
        for agent_id in self._loads.keys() - current.keys():
            changed[agent_id] = NO_LOAD
        self._loads = current
        return changed

    def _compare_reports(self, now: float) -> tuple[dict[str, EngineReport], tuple[str, ...]]:
        current = self._view.list_reports(self._scope)
        whole = now - self._load_parts_at > LOAD_PART_SECONDS
        if whole:
            self._load_parts_at = now
        changed = {}
        for address, report in current.items():
            told = self._reports.get(address)
            if told is not None and not whole:
                report = replace(report, running=told.running, waiting=told.waiting)
            if told != report:
                changed[address] = report
        lost = tuple(self._reports.keys() - current.keys())
        for address in lost:
            del self._reports[address]
        self._reports.update(changed)
        return changed, lost

    def _compare_states(self) -> dict[NodeId, NodeState]:
        current = self._view.list_states(self._scope)
        changed = {
            node_id: state
            for node_id, state in current.items()
            if self._states.get(node_id) is not state
        }
        self._states = current
        return changed

    def _compare_reading(self, shared: SharedReading) -> ReadingChange | None:
        latest = shared.latest
        if latest is None or self._begun_at.get(shared.name) == latest.begun_at:
            return None
        self._begun_at[shared.name] = latest.begun_at
        told = self._revisions.get(shared.name, {})
        items = shared.list_items(for_agents=self._scope is FrameScope.READINGS)
        current = {each.key: each.revision for each in items}
        self._revisions[shared.name] = current
        return ReadingChange(
            name=shared.name,
            begun_at=latest.begun_at,
            trusted=latest.trusted,
            revision=latest.reading.revision,
            changed=tuple(each for each in items if told.get(each.key) != each.revision),
            removed=tuple(told.keys() - current.keys()),
        )
