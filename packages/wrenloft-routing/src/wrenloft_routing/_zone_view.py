"""A relay's view of its own zone and the others, and the frames that subscribers get of it."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from wrenloft_core import AgentId, NodeId, PlaceName, ServiceName, read_clock
from wrenloft_routing._crash_ledger import CrashLedger
from wrenloft_routing._endpoints import REPORT_STALE_SECONDS, Endpoints, EngineReport
from wrenloft_routing._frames import Frame, FrameScope, StoreDelta
from wrenloft_routing._kind_ledger import KindLoads, add_kinds
from wrenloft_routing._loads import NO_LOAD, InProgress, LoadUpdate, PeerLoads, QueueLength
from wrenloft_routing._members import Members, NodeState
from wrenloft_routing._packing import Item
from wrenloft_routing._store_snapshots import SharedSnapshot

SUM_CACHE_SECONDS = 0.01
"""How long a sum over all nodes is cached: subscribers served in one round share it."""

KINDS_INTERVAL_SECONDS = 0.15
"""Least time between two sums of competing kinds for a subscriber. A sum over eleven nodes takes
0.1 ms; with one for each frame, a relay would spend 0.02 of a core on them."""

REPORTED_LOAD_INTERVAL_SECONDS = 0.4
"""Least time between two frames with an engine's own count of requests. Loads of nodes show the
same sooner; the count is used only while some node is unreachable."""


@dataclass(frozen=True, slots=True)
class ReceivedReport:
    """An engine's report as received from its agent.

    :param place: the zone whose relay is connected to that agent.
    """

    report: EngineReport
    place: PlaceName
    received_at: float


class ZoneView:
    """Merged state of the fleet as known to a relay.

    :param list_queues: returns the queue at this node for each service.
    :param crashes: crash records by content, from this node and from others.
    :param list_kinds: returns the competing kinds of requests at this node.
    """

    def __init__(
        self,
        endpoints: Endpoints,
        members: Members,
        list_queues: Callable[[], dict[ServiceName, QueueLength]],
        crashes: CrashLedger,
        list_kinds: Callable[[], KindLoads] = dict,
    ) -> None:
        self.crashes = crashes
        self.limits = endpoints.limits
        self.endpoints = endpoints
        self._members = members
        self._list_queues = list_queues
        self._list_kinds = list_kinds
        self._zone_loads = PeerLoads()
        self.fleet_loads = PeerLoads()
        self.reports: dict[str, ReceivedReport] = {}
        self._sums: dict[FrameScope, dict[AgentId, InProgress]] = {}
        self._summed_at = float("-inf")

    def record_node(self, node: NodeId, update: LoadUpdate) -> None:
        """Record the load update of a node of this zone."""
        self._zone_loads.record(node, update, read_clock())
        self.fleet_loads.record(node, update, read_clock())

    def record_zone(self, place: PlaceName, update: LoadUpdate) -> None:
        """Record the merged load update of another zone."""
        self.fleet_loads.record(NodeId(place), update, read_clock())

    def forget(self, source: NodeId) -> None:
        """Drop all loads of a node or zone that restarted its stream or stopped sending."""
        self._zone_loads.forget(source)
        self.fleet_loads.forget(source)

    def record_report(self, address: str, report: EngineReport, place: PlaceName) -> None:
        """Record an engine's report."""
        self.reports[address] = ReceivedReport(report, place, read_clock())

    def forget_report(self, address: str) -> None:
        """Drop the report of an engine whose agent is no longer connected."""
        self.reports.pop(address, None)

    def refresh_reports(self, place: PlaceName, lost: Iterable[str]) -> list[str]:
        """Refresh the reports of a zone's agents, except those whose connection its relay lost.

        :returns: the addresses of the engines whose reports were refreshed.
        """
        for address in lost:
            self.forget_report(address)
        now = read_clock()
        refreshed = [address for address, each in self.reports.items() if each.place == place]
        for address in refreshed:
            self.reports[address] = replace(self.reports[address], received_at=now)
        return refreshed

    def drop_expired(self) -> None:
        """Drop loads and reports that have expired."""
        now = read_clock()
        self._zone_loads.drop_expired(now)
        self.fleet_loads.drop_expired(now)
        for address, each in list(self.reports.items()):
            if now - each.received_at > REPORT_STALE_SECONDS:
                del self.reports[address]

    def sum_loads(self, scope: FrameScope, subscriber: NodeId) -> dict[AgentId, InProgress]:
        """Return the requests in progress, without those that a subscriber has sent itself."""
        self._refresh_sums()
        sums = self._sums[scope].copy()
        if scope is FrameScope.FLEET:
            for agent_id, load in self._zone_loads.get_loads(subscriber).items():
                sums[agent_id] = sums.get(agent_id, NO_LOAD) - load
        return sums

    def _refresh_sums(self) -> None:
        now = read_clock()
        if now - self._summed_at < SUM_CACHE_SECONDS:
            return
        self._summed_at = now
        own = self.endpoints.list_in_progress()
        self._sums[FrameScope.ZONE] = _add_loads(own, self._zone_loads.get_sums())
        self._sums[FrameScope.FLEET] = _add_loads(own, self.fleet_loads.get_sums())

    def count_reachable(self, scope: FrameScope, subscriber: NodeId) -> int:
        """Return the number of nodes that such sums cover."""
        if scope is FrameScope.ZONE:
            return 1 + self._zone_loads.count_reachable()
        return 1 + self.fleet_loads.count_reachable() - self._zone_loads.is_reachable(subscriber)

    def sum_queues(self, scope: FrameScope, subscriber: NodeId) -> dict[ServiceName, QueueLength]:
        """Return the requests queued at nodes other than the subscriber, by service."""
        queues = self._list_queues()
        loads = self._zone_loads if scope is FrameScope.ZONE else self.fleet_loads
        for name, queue in loads.sum_queues(exclude=subscriber).items():
            queues[name] = queues.get(name, QueueLength()) + queue
        return queues

    def sum_kinds(self, scope: FrameScope, subscriber: NodeId) -> KindLoads:
        """Return the competing kinds of requests at nodes other than the subscriber."""
        loads = self._zone_loads if scope is FrameScope.ZONE else self.fleet_loads
        return add_kinds([self._list_kinds(), loads.sum_kinds(exclude=subscriber)])

    def list_reports(self, scope: FrameScope) -> dict[str, EngineReport]:
        """Return the engines' reports for a subscriber."""
        own = self._members.own.place
        return {
            address: each.report
            for address, each in self.reports.items()
            if scope is FrameScope.FLEET or each.place == own
        }

    def list_states(self, scope: FrameScope) -> dict[NodeId, NodeState]:
        """Return the states of entry nodes for a subscriber."""
        places = {self._members.own.place}
        if scope is FrameScope.FLEET:
            places |= self._members.find_places()
        return self._members.list_states(places)


def _add_loads(
    first: Mapping[AgentId, InProgress], second: Mapping[AgentId, InProgress]
) -> dict[AgentId, InProgress]:
    total = dict(first)
    for agent_id, load in second.items():
        known = total.get(agent_id)
        total[agent_id] = load if known is None else known + load
    return total


class FrameWriter:
    """Composes the frames for one subscriber: changes since the previous frame."""

    def __init__(
        self,
        view: ZoneView,
        snapshots: Iterable[SharedSnapshot],
        scope: FrameScope,
        subscriber: NodeId,
    ) -> None:
        self._view = view
        self._snapshots = tuple(snapshots)
        self._scope = scope
        self._subscriber = subscriber
        self._loads: dict[AgentId, InProgress] = {}
        self._queues: dict[ServiceName, QueueLength] = {}
        self._kinds: KindLoads = {}
        self._kinds_at = float("-inf")
        self._reports: dict[str, EngineReport] = {}
        self._reported_loads_at = float("-inf")
        self._states: dict[NodeId, NodeState] = {}
        self._crash_revision = 0
        self._segment_revision = 0
        self._limit_revision = 0
        self._departure_revision = 0
        self._cold_revision = -1
        self._items: dict[str, dict[str, Item]] = {}
        self._begun_at: dict[str, float] = {}
        self._content_numbers: dict[str, int] = {}

    def compose(self, now: float) -> tuple[Frame, bool]:
        """Return the next frame, and whether it contains any change."""
        deltas = tuple(change for each in self._snapshots if (change := self._diff_snapshot(each)))
        if self._scope is FrameScope.STORE:
            return Frame(now, store_deltas=deltas), False
        loads = self._diff_loads()
        queues = self._view.sum_queues(self._scope, self._subscriber)
        reports, lost = self._diff_reports(now)
        states = self._diff_states()
        crashes = self._view.crashes.list_changes(self._crash_revision)
        self._crash_revision = self._view.crashes.revision
        segment_crashes = self._view.crashes.segments.list_changes(self._segment_revision)
        self._segment_revision = self._view.crashes.segments.revision
        limits = self._view.limits.list_changes(self._limit_revision)
        self._limit_revision = self._view.limits.revision
        departures = self._view.endpoints.list_departures(self._departure_revision)
        self._departure_revision = self._view.endpoints.departures.revision
        cold = self._view.endpoints.cold.ledger.list_changes(self._cold_revision)
        self._cold_revision = self._view.endpoints.cold.ledger.revision
        changed = bool(loads or reports or lost or states or deltas or crashes or limits)
        changed = changed or bool(departures or cold or segment_crashes)
        changed = changed or queues != self._queues
        self._queues = queues
        kinds = self._diff_kinds(now)
        changed = changed or kinds is not None
        nodes = self._view.count_reachable(self._scope, self._subscriber)
        frame = Frame(
            now, nodes, loads, queues, reports, lost, states, deltas, crashes, limits, departures
        )
        frame = replace(frame, cold=cold, segment_crashes=segment_crashes)
        if kinds is not None:
            frame = replace(frame, kinds=kinds)
        return frame, changed

    def _diff_loads(self) -> dict[AgentId, InProgress]:
        current = self._view.sum_loads(self._scope, self._subscriber)
        changed = {
            agent_id: load
            for agent_id, load in current.items()
            if self._loads.get(agent_id, NO_LOAD) != load
        }
        for agent_id in self._loads.keys() - current.keys():
            changed[agent_id] = NO_LOAD
        self._loads = current
        return changed

    def _diff_kinds(self, now: float) -> KindLoads | None:
        if now - self._kinds_at < KINDS_INTERVAL_SECONDS:
            return None
        self._kinds_at = now
        kinds = self._view.sum_kinds(self._scope, self._subscriber)
        if kinds == self._kinds:
            return None
        self._kinds = kinds
        return kinds

    def _diff_reports(self, now: float) -> tuple[dict[str, EngineReport], tuple[str, ...]]:
        current = self._view.list_reports(self._scope)
        include_loads = now - self._reported_loads_at > REPORTED_LOAD_INTERVAL_SECONDS
        if include_loads:
            self._reported_loads_at = now
        changed = {}
        for address, report in current.items():
            sent = self._reports.get(address)
            if sent is report:
                continue
            if sent is not None and not include_loads:
                if report.differs_in_load_only(sent):
                    continue
                report = replace(report, running=sent.running, waiting=sent.waiting)
            if sent != report:
                changed[address] = report
        lost = tuple(self._reports.keys() - current.keys())
        for address in lost:
            del self._reports[address]
        self._reports.update(changed)
        return changed, lost

    def _diff_states(self) -> dict[NodeId, NodeState]:
        current = self._view.list_states(self._scope)
        changed = {
            node_id: state
            for node_id, state in current.items()
            if self._states.get(node_id) is not state
        }
        self._states = current
        return changed

    def _diff_snapshot(self, shared: SharedSnapshot) -> StoreDelta | None:
        latest = shared.latest
        if latest is None or self._begun_at.get(shared.name) == latest.begun_at:
            return None
        self._begun_at[shared.name] = latest.begun_at
        follows = self._content_numbers.get(shared.name) == shared.content_number - 1
        self._content_numbers[shared.name] = shared.content_number
        sent = self._items.get(shared.name, {})
        items = shared.list_items(for_agents=self._scope is FrameScope.STORE)
        current = {each.key: each for each in items}
        self._items[shared.name] = current
        return StoreDelta(
            name=shared.name,
            begun_at=latest.begun_at,
            trusted=latest.trusted,
            revision=latest.snapshot.revision,
            # By content: the next era gives out the same revisions for other values.
            changed=tuple(each for each in items if sent.get(each.key) != each),
            removed=tuple(sent.keys() - current.keys()),
            era=latest.snapshot.era,
            unchanged_at=shared.unchanged_at if follows else None,
        )
