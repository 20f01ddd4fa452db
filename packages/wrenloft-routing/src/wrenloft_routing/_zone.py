"""An entry node's part in its zone: following the zone's relay, or relaying itself."""

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping
from contextlib import AsyncExitStack

from aiohttp import ClientSession

from wrenloft_core import NodeId, PlaceName, note, read_clock
from wrenloft_policy import assign_places
from wrenloft_routing._crash_ledger import CrashSource
from wrenloft_routing._endpoints import Endpoints
from wrenloft_routing._frame_streams import FrameRoutes, read_frames
from wrenloft_routing._frames import Frame, FrameScope
from wrenloft_routing._load_streams import NodeFollower
from wrenloft_routing._loads import LoadUpdate, PeerLoads
from wrenloft_routing._members import Member, Members, NodeState
from wrenloft_routing._report_streams import ReportFollower
from wrenloft_routing._store_snapshots import ReaderRole, ReadingMirror, SharedReading
from wrenloft_routing._subscriptions import FollowedAgent, FollowedNode, Followers
from wrenloft_routing._zone_view import ZoneView

_LOG = logging.getLogger(__name__)

LOOK_SECONDS = 0.1
"""Between two looks at who relays, and at whom a relay follows."""

LINGER_SECONDS = 2.0
"""How long a node goes on gathering after its last follower has left: one that lost its relay for
a moment finds the next one informed."""

_RELAY = NodeId("relay")
"""Name under which a follower keeps the sums that its relay tells."""


class ZoneLink:
    """Keeps a node informed of the fleet.

    Each node follows one relay of its zone, the first by rank that it can hear. Whoever is
    followed gathers: from the zone's nodes and agents, and from a relay of each other zone. So
    the connections of a node that relays for nobody do not grow with the fleet, and nobody has
    to be elected: a node that hears its relay no longer follows the next one, which then
    gathers; a node that hears nobody gathers for itself.

    :param regions: region of each zone.
    :param is_ready: whether callers may be sent to this node.
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
        self._readings: dict[str, SharedReading] = {}
        self._reported: set[str] = set()
        self._asker = ""
        self._session = session
        self._regions = regions
        self._followed = PeerLoads()
        self._agents: tuple[FollowedAgent, ...] = ()
        self._routes: FrameRoutes | None = None
        self._gather_until = float("-inf")
        self.role = ReaderRole.STARTING
        endpoints.others = self._followed

    def attach(self, routes: FrameRoutes, readings: Iterable[SharedReading]) -> None:
        """Take the routes by which others follow this node, and the readings that frames bring."""
        self._routes = routes
        self._readings = {each.name: each for each in readings}

    def record_asker(self, address: str) -> None:
        """Take that a relay asks this node.

        A node that starts while the store is away can learn of the others in no other way.
        """
        self._asker = address

    def set_agents(self, agents: Iterable[FollowedAgent]) -> None:
        """Take the agents of all engines that are listed."""
        self._agents = tuple(agents)

    async def run(self, stack: AsyncExitStack) -> None:
        """Follow and gather until cancelled; what is opened closes with the stack."""
        nodes = Followers(NodeFollower(self._view, self._members, self._session).follow)
        internal = self._members.own.internal
        reports = ReportFollower(self._endpoints, self._view, self._session, internal)
        agents = Followers(reports.follow)
        zones = Followers(self._follow_zone)
        for each in (nodes, agents, zones):
            stack.push_async_callback(each.close)
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_relays())
            group.create_task(self._gather(nodes, agents, zones))

    async def _follow_relays(self) -> None:
        while True:
            relay = self._members.pick_relay(self._members.own.place)
            if len(self._members) == 1 and self.role is ReaderRole.STARTING:
                await self._follow_asker()
            elif relay is None or relay is self._members.own:
                self._take_role(ReaderRole.RELAYING, self._view.heard)
                await asyncio.sleep(LOOK_SECONDS)
            else:
                await self._follow_relay(relay)

    async def _follow_asker(self) -> None:
        """Wait for the list of nodes, and follow a relay that asks meanwhile."""
        await asyncio.sleep(LOOK_SECONDS / 4)
        if not self._asker or len(self._members) > 1 or self.role is not ReaderRole.STARTING:
            return
        own = self._members.own
        relay = Member(NodeId(self._asker), own.place, own.region, "", self._asker)
        self._asker = ""
        await self._follow_relay(relay)

    def start_alone(self) -> None:
        """Relay until other nodes are known: the list has been read and names nobody else."""
        if self.role is ReaderRole.STARTING and len(self._members) == 1:
            self._take_role(ReaderRole.RELAYING, self._view.heard)

    def _take_role(self, role: ReaderRole, loads: PeerLoads) -> None:
        if role is not self.role:
            note(_LOG, "part in zone changed", role=role.value, nodes=len(self._members))
        self.role = role
        self._endpoints.others = loads

    async def _follow_relay(self, relay: Member) -> None:
        """Follow a relay until it is lost or a better one can be tried."""
        own = self._members.own
        heard = False

        def take(frame: Frame, mirror: ReadingMirror) -> None:
            nonlocal heard
            if not heard:
                heard = True
                self._followed.forget(_RELAY)
                self._reported.clear()
                self._members.record_relay(relay, heard=True)
                note(_LOG, "relay heard", relay=relay.node_id)
            self._take_role(ReaderRole.FOLLOWING, self._followed)
            self._take_frame(frame, mirror)

        reading = asyncio.create_task(
            read_frames(self._session, relay.internal, FrameScope.FLEET, own.node_id, take)
        )
        try:
            while not reading.done():
                await asyncio.wait([reading], timeout=LOOK_SECONDS)
                if heard and not reading.done() and self._has_better(relay):
                    return
        finally:
            reading.cancel()
        reason = reading.result() if reading.done() and not reading.cancelled() else "left"
        self._members.record_relay(relay, heard=False)
        note(_LOG, "relay lost", relay=relay.node_id, heard=heard, reason=reason)

    def _has_better(self, relay: Member) -> bool:
        """Tell whether another node should relay.

        One that knows only itself has no list yet, and stays with whoever asked it.
        """
        if len(self._members) == 1:
            return False
        return self._members.pick_relay(self._members.own.place) is not relay

    def _take_frame(self, frame: Frame, mirror: ReadingMirror) -> None:
        now = read_clock()
        update = LoadUpdate(frame.loads or {}, frame.queues or {}, frame.heard)
        self._followed.record(_RELAY, update, now)
        self._reported.update(frame.reports or {})
        self._reported.difference_update(frame.lost)
        self._take_reports(frame, self._reported, now)
        states = dict(frame.states or {})
        states.pop(self._members.own.node_id, None)
        self._members.take_states(states)
        self._view.crashes.merge(frame.crashes or {}, CrashSource.PEER)
        self._view.limits.merge(frame.limits or {})
        self._take_readings(frame, mirror)

    def _take_reports(self, frame: Frame, heard: Iterable[str], now: float) -> None:
        for address, report in (frame.reports or {}).items():
            self._endpoints.record_report(address, report, now)
        for address in frame.lost:
            self._endpoints.forget_report(address)
        self._endpoints.refresh_reports(heard, now)

    def _take_readings(self, frame: Frame, mirror: ReadingMirror) -> None:
        for change in frame.readings:
            taken = mirror.apply(change)
            if change.name in self._readings:
                self._readings[change.name].accept(taken)

    async def _gather(
        self,
        nodes: Followers[FollowedNode],
        agents: Followers[FollowedAgent],
        zones: Followers[PlaceName],
    ) -> None:
        while True:
            own = self._members.own
            own.state = NodeState.READY if self._is_ready() else NodeState.UNREADY
            gathers = self._must_gather()
            self._view.drop_silent()
            nodes.update(self._list_near() if gathers else ())
            agents.update(self._list_agents() if gathers else ())
            zones.update(self._list_far_places() if gathers else ())
            await asyncio.sleep(LOOK_SECONDS)

    def _must_gather(self) -> bool:
        now = read_clock()
        if self.role is ReaderRole.RELAYING or (self._routes and self._routes.followers):
            self._gather_until = now + LINGER_SECONDS
        return now < self._gather_until

    def _list_near(self) -> list[FollowedNode]:
        return [
            FollowedNode(each.node_id, each.internal) for each in self._members.others(near=True)
        ]

    def _list_far_places(self) -> list[PlaceName]:
        return sorted({each.place for each in self._members.others(near=False)})

    def _list_agents(self) -> list[FollowedAgent]:
        own = self._members.own.place
        places = sorted({each.place for each in self._agents})
        assigned = assign_places(places, self._members.list_places(), self._regions)
        return [each for each in self._agents if assigned.get(each.place) == own]

    async def _follow_zone(self, place: PlaceName) -> None:
        """Follow a relay of another zone until cancelled."""
        source = NodeId(place)
        own = self._members.own.node_id
        try:
            while True:
                relay = self._members.pick_relay(place)
                if relay is None:
                    await asyncio.sleep(LOOK_SECONDS)
                    continue
                heard = False

                def take(frame: Frame, mirror: ReadingMirror, by: Member = relay) -> None:
                    nonlocal heard
                    if not heard:
                        heard = True
                        self._view.forget(source)
                        self._members.record_relay(by, heard=True)
                        note(_LOG, "zone heard", place=place, relay=by.node_id)
                    self._take_zone_frame(frame, mirror, place)

                reason = await read_frames(
                    self._session, relay.internal, FrameScope.ZONE, own, take
                )
                self._members.record_relay(relay, heard=False)
                if not heard:
                    # Nobody there may tell of it: its whole zone may be dark.
                    self._members.take_states({relay.node_id: NodeState.LOST})
                note(_LOG, "zone lost", place=place, relay=relay.node_id, reason=reason)
        finally:
            self._view.forget(source)

    def _take_zone_frame(self, frame: Frame, mirror: ReadingMirror, place: PlaceName) -> None:
        now = read_clock()
        update = LoadUpdate(frame.loads or {}, frame.queues or {}, frame.heard)
        self._view.record_zone(place, update)
        for address, report in (frame.reports or {}).items():
            self._view.record_report(address, report, place)
        heard_engines = self._view.refresh_reports(place, frame.lost)
        if self.role is ReaderRole.RELAYING:
            self._take_reports(frame, heard_engines, now)
        self._members.take_states(frame.states or {})
        self._view.crashes.merge(frame.crashes or {}, CrashSource.PEER)
        self._view.limits.merge(frame.limits or {})
        self._take_readings(frame, mirror)
