"""An entry node's role in its zone: subscriber of the zone's relay, or relay itself."""

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping
from contextlib import AsyncExitStack
from math import inf

from aiohttp import ClientSession

from wrenloft_core import NodeId, PlaceName, note, read_clock
from wrenloft_policy import assign_places
from wrenloft_routing._crash_source import CrashSource
from wrenloft_routing._endpoints import Endpoints
from wrenloft_routing._frame_streams import FrameRoutes, read_frames
from wrenloft_routing._frames import Frame, FrameScope
from wrenloft_routing._load_streams import NodeSubscriber
from wrenloft_routing._loads import LoadUpdate, PeerLoads
from wrenloft_routing._members import Member, Members, NodeState
from wrenloft_routing._report_streams import ReportSubscriber
from wrenloft_routing._store_snapshots import SharedSnapshot, SnapshotMirror, ZoneRole
from wrenloft_routing._subscriptions import AgentPeer, NodePeer, Subscriptions
from wrenloft_routing._zone_view import ZoneView

_LOG = logging.getLogger(__name__)

CHECK_INTERVAL_SECONDS = 0.1
"""Time between two checks of which node relays, and of what a relay subscribes to."""

AGGREGATION_LINGER_SECONDS = 2.0
"""How long a node goes on aggregating after its last subscriber has disconnected, so that a node
that lost its relay for a moment finds the next one with up-to-date state."""

_RELAY_SOURCE = NodeId("relay")
"""Source name under which a subscriber records the sums that its relay sends."""


class ZoneLink:
    """Keeps a node's view of the fleet up to date.

    Each node subscribes to one relay of its zone, the first by rank that it can reach. A node with
    subscribers aggregates: from the zone's nodes and agents, and from a relay of each other zone.
    So the number of connections of a node that isn't a relay doesn't grow with the fleet, and no
    election is needed: a node that reaches its relay drops its subscription to the next one, and a
    node that reaches no other aggregates for itself.

    :param regions: region of each zone.
    :param is_ready: returns whether callers may be sent to this node.
    """

    def __init__(
        self,
        endpoints: Endpoints,
        members: Members,
        view: ZoneView,
        session: ClientSession,
        regions: Mapping[str, str],
        is_ready: Callable[[], bool],
    ) -> None:
        self._is_ready = is_ready
        self._endpoints = endpoints
        self._members = members
        self._view = view
        self._snapshots: dict[str, SharedSnapshot] = {}
        self._reported_engines: set[str] = set()
        self._requesting_relay = ""
        self._session = session
        self._regions = regions
        self._relay_loads = PeerLoads()
        self._agents: tuple[AgentPeer, ...] = ()
        self._routes: FrameRoutes | None = None
        self._aggregate_until = float("-inf")
        self.role = ZoneRole.STARTING
        endpoints.peer_loads = self._relay_loads

    def attach(self, routes: FrameRoutes, snapshots: Iterable[SharedSnapshot]) -> None:
        """Set the routes for subscribers of this node, and the snapshots that frames update."""
        self._routes = routes
        self._snapshots = {each.name: each for each in snapshots}

    def record_relay_request(self, address: str) -> None:
        """Record the address of a relay that connected to this node.

        A node that starts while the store is unavailable has no other way to find the other nodes.
        """
        self._requesting_relay = address

    def count_heard(self, place: PlaceName | None) -> float:
        """Return the number of other nodes of which there is recent news.

        A subscriber has the states of its zone's nodes from its relay; they are recent while its
        frames arrive. A relay hears each node of its zone.

        :param place: only those of an availability zone; infinity if the states are recent.
        """
        now = read_clock()
        loads = self._endpoints.peer_loads
        loads.drop_expired(now)
        if place is None:
            return loads.count_reachable()
        own = self._members.own
        if self.role is ZoneRole.RELAYING and place == own.place:
            self._view.drop_expired()
            return self._view.count_reachable(FrameScope.ZONE, own.node_id) - 1
        source = NodeId(place) if self.role is ZoneRole.RELAYING else _RELAY_SOURCE
        return inf if loads.is_reachable(source) else 0.0

    def set_agents(self, agents: Iterable[AgentPeer]) -> None:
        """Set the agents of all listed engines."""
        self._agents = tuple(agents)

    async def run(self, stack: AsyncExitStack) -> None:
        """Subscribe and aggregate until cancelled; the stack closes what is opened."""
        nodes = Subscriptions(NodeSubscriber(self._view, self._members, self._session).subscribe)
        internal = self._members.own.internal
        reports = ReportSubscriber(self._endpoints, self._view, self._session, internal)
        agents = Subscriptions(reports.subscribe)
        zones = Subscriptions(self._subscribe_to_zone)
        for each in (nodes, agents, zones):
            stack.push_async_callback(each.close)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._subscribe_to_relays())
            group.create_task(self._aggregate(nodes, agents, zones))

    async def _subscribe_to_relays(self) -> None:
        while True:
            relay = self._members.pick_relay(self._members.own.place)
            if len(self._members) == 1 and self.role is ZoneRole.STARTING:
                await self._subscribe_to_requesting_relay()
            elif relay is None or relay is self._members.own:
                self._members.record_own_state(NodeState.READY)
                self._set_role(ZoneRole.RELAYING, self._view.fleet_loads)
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            else:
                await self._subscribe_to_relay(relay)

    async def _subscribe_to_requesting_relay(self) -> None:
        """Wait for the list of nodes; meanwhile, subscribe to a relay that has connected."""
        await asyncio.sleep(CHECK_INTERVAL_SECONDS / 4)
        if (
            not self._requesting_relay
            or len(self._members) > 1
            or self.role is not ZoneRole.STARTING
        ):
            return
        own = self._members.own
        relay = Member(
            NodeId(self._requesting_relay), own.place, own.region, "", self._requesting_relay
        )
        self._requesting_relay = ""
        await self._subscribe_to_relay(relay)

    def start_alone(self) -> None:
        """Act as relay until other nodes are known: the list was read and names no other node."""
        if self.role is ZoneRole.STARTING and len(self._members) == 1:
            self._set_role(ZoneRole.RELAYING, self._view.fleet_loads)

    def _set_role(self, role: ZoneRole, loads: PeerLoads) -> None:
        if role is not self.role:
            note(_LOG, "zone role changed", role=role.value, nodes=len(self._members))
        self.role = role
        self._endpoints.peer_loads = loads

    async def _subscribe_to_relay(self, relay: Member) -> None:
        """Subscribe to a relay until it is lost or a better one can be tried."""
        own = self._members.own
        connected = False

        def on_frame(frame: Frame, mirror: SnapshotMirror) -> None:
            nonlocal connected
            if not connected:
                connected = True
                self._relay_loads.forget(_RELAY_SOURCE)
                self._reported_engines.clear()
                self._members.record_relay(relay, connected=True)
                note(_LOG, "relay connected", relay=relay.node_id)
            self._set_role(ZoneRole.SUBSCRIBED, self._relay_loads)
            self._apply_frame(frame, mirror)

        stream = asyncio.create_task(
            read_frames(self._session, relay.internal, FrameScope.FLEET, own.node_id, on_frame)
        )
        try:
            while not stream.done():
                await asyncio.wait([stream], timeout=CHECK_INTERVAL_SECONDS)
                if connected and not stream.done() and self._has_better_relay(relay):
                    return
        finally:
            stream.cancel()
        reason = stream.result() if stream.done() and not stream.cancelled() else "left"
        self._members.record_relay(relay, connected=False)
        note(_LOG, "relay lost", relay=relay.node_id, heard=connected, reason=reason)

    def _has_better_relay(self, relay: Member) -> bool:
        """Return whether another node should relay.

        A node that knows only itself has no list yet, and stays with the relay that connected to
        it.
        """
        if len(self._members) == 1:
            return False
        return self._members.pick_relay(self._members.own.place) is not relay

    def _apply_frame(self, frame: Frame, mirror: SnapshotMirror) -> None:
        now = read_clock()
        update = LoadUpdate(frame.loads or {}, frame.queues or {}, frame.node_count, frame.kinds)
        self._relay_loads.record(_RELAY_SOURCE, update, now)
        self._reported_engines.update(frame.reports or {})
        self._reported_engines.difference_update(frame.lost)
        self._apply_reports(frame, self._reported_engines, now)
        states = dict(frame.states or {})
        self._members.record_own_state(states.pop(self._members.own.node_id, None))
        self._members.update_states(states)
        self._view.crashes.merge(frame.crashes or {}, CrashSource.PEER)
        self._view.crashes.segments.merge(frame.segment_crashes or {}, CrashSource.PEER)
        self._view.limits.merge(frame.limits or {})
        self._endpoints.merge_departures(frame.departures or {})
        self._apply_deltas(frame, mirror)
        self._endpoints.merge_cold(frame.cold or {})

    def _apply_reports(self, frame: Frame, reachable: Iterable[str], now: float) -> None:
        for address, report in (frame.reports or {}).items():
            self._endpoints.record_report(address, report, now)
        for address in frame.lost:
            self._endpoints.forget_report(address)
        self._endpoints.refresh_reports(reachable, now)

    def _apply_deltas(self, frame: Frame, mirror: SnapshotMirror) -> None:
        for change in frame.store_deltas:
            received = mirror.apply(change)
            if change.name in self._snapshots:
                self._snapshots[change.name].accept(received)

    async def _aggregate(
        self,
        nodes: Subscriptions[NodePeer],
        agents: Subscriptions[AgentPeer],
        zones: Subscriptions[PlaceName],
    ) -> None:
        while True:
            own = self._members.own
            own.state = NodeState.READY if self._is_ready() else NodeState.UNREADY
            aggregates = self._should_aggregate()
            self._view.drop_expired()
            nodes.update(self._list_zone_peers() if aggregates else ())
            agents.update(self._list_agents() if aggregates else ())
            zones.update(self._list_other_zones() if aggregates else ())
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def _should_aggregate(self) -> bool:
        now = read_clock()
        if self.role is ZoneRole.RELAYING or (self._routes and self._routes.subscriber_count):
            self._aggregate_until = now + AGGREGATION_LINGER_SECONDS
        return now < self._aggregate_until

    def _list_zone_peers(self) -> list[NodePeer]:
        return [
            NodePeer(each.node_id, each.internal) for each in self._members.list_others(near=True)
        ]

    def _list_other_zones(self) -> list[PlaceName]:
        return sorted({each.place for each in self._members.list_others(near=False)})

    def _list_agents(self) -> list[AgentPeer]:
        own = self._members.own.place
        places = sorted({each.place for each in self._agents})
        assigned = assign_places(places, self._members.list_places(), self._regions)
        return [each for each in self._agents if assigned.get(each.place) == own]

    async def _subscribe_to_zone(self, place: PlaceName) -> None:
        """Subscribe to a relay of another zone until cancelled."""
        source = NodeId(place)
        own = self._members.own.node_id
        try:
            while True:
                relay = self._members.pick_relay(place)
                if relay is None:
                    await asyncio.sleep(CHECK_INTERVAL_SECONDS)
                    continue
                connected = False

                def on_frame(frame: Frame, mirror: SnapshotMirror, by: Member = relay) -> None:
                    nonlocal connected
                    if not connected:
                        connected = True
                        self._view.forget(source)
                        self._members.record_relay(by, connected=True)
                        note(_LOG, "zone connected", place=place, relay=by.node_id)
                    self._apply_zone_frame(frame, mirror, place)

                reason = await read_frames(
                    self._session, relay.internal, FrameScope.ZONE, own, on_frame
                )
                self._members.record_relay(relay, connected=False)
                if not connected:
                    # No other node may be left to report the loss: the whole zone may be down.
                    self._members.update_states({relay.node_id: NodeState.LOST})
                note(_LOG, "zone lost", place=place, relay=relay.node_id, reason=reason)
        finally:
            self._view.forget(source)

    def _apply_zone_frame(self, frame: Frame, mirror: SnapshotMirror, place: PlaceName) -> None:
        now = read_clock()
        update = LoadUpdate(frame.loads or {}, frame.queues or {}, frame.node_count, frame.kinds)
        self._view.record_zone(place, update)
        for address, report in (frame.reports or {}).items():
            self._view.record_report(address, report, place)
        reachable_engines = self._view.refresh_reports(place, frame.lost)
        if self.role is ZoneRole.RELAYING:
            self._apply_reports(frame, reachable_engines, now)
        self._members.update_states(frame.states or {})
        self._view.crashes.merge(frame.crashes or {}, CrashSource.PEER)
        self._view.crashes.segments.merge(frame.segment_crashes or {}, CrashSource.PEER)
        self._view.limits.merge(frame.limits or {})
        self._endpoints.merge_departures(frame.departures or {})
        self._apply_deltas(frame, mirror)
        self._endpoints.merge_cold(frame.cold or {})
