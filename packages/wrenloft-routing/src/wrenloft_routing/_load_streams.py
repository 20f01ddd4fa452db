"""Load updates: published by each entry node, received by its zone's relay."""

import asyncio
import json
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from wrenloft_core import DECODE_ERRORS, AgentId, ServiceName, note, read_clock
from wrenloft_policy import compute_frame_interval
from wrenloft_routing._cold_ledger import ColdUpdates
from wrenloft_routing._crash_ledger import CrashLedger, CrashUpdates
from wrenloft_routing._crash_source import CrashSource
from wrenloft_routing._departures import DepartureUpdates
from wrenloft_routing._endpoints import Endpoints
from wrenloft_routing._frames import (
    decode_cold,
    decode_crashes,
    decode_departures,
    decode_kinds,
    decode_limits,
    decode_loads,
    decode_queues,
    decode_segment_crashes,
    encode_cold,
    encode_crashes,
    encode_kinds,
    encode_limits,
    encode_loads,
    encode_queues,
    encode_segment_crashes,
)
from wrenloft_routing._kind_ledger import KindLoads
from wrenloft_routing._limit_ledger import LimitUpdates
from wrenloft_routing._loads import NO_LOAD, InProgress, LoadUpdate, QueueLength
from wrenloft_routing._members import Members, NodeState
from wrenloft_routing._metrics import MESSAGES
from wrenloft_routing._segment_ledger import SegmentCrashUpdates
from wrenloft_routing._subscriptions import NodePeer
from wrenloft_routing._zone_view import ZoneView

_LOG = logging.getLogger(__name__)

LOAD_HEARTBEAT_SECONDS = 0.2
"""Longest time between two updates, so that a silent connection reveals a dead node."""

LOAD_TIMEOUT_SECONDS = 0.8
"""Time without an update after which a node counts as dead and its address is no longer given to
callers: three updates are missing. A caller's connection attempt to it would take a second."""

CONNECT_TIMEOUT_SECONDS = 0.4

RECONNECT_DELAY_SECONDS = 0.3
"""Delay before the next connection attempt to a lost node."""

LOADS_PATH = "/loads"


@dataclass(frozen=True, slots=True)
class NodeUpdate:
    """One load update of a node.

    :param ready: whether callers may be sent to the node.
    :param crashes: crash records by content that are new since the last update.
    :param limits: rate limits of endpoints that have changed since the last update.
    :param departures: endpoints newly known to be leaving since the last update.
    :param cold: coldness that answers have stated since the last update.
    :param segment_crashes: endpoints that crashed, with the prompt segments there, that are new
        since the last update.
    """

    ready: bool
    load: LoadUpdate
    crashes: CrashUpdates = field(default_factory=dict)
    limits: LimitUpdates = field(default_factory=dict)
    departures: DepartureUpdates = field(default_factory=dict)
    cold: ColdUpdates = field(default_factory=dict)
    segment_crashes: SegmentCrashUpdates = field(default_factory=dict)


class LoadRoutes:
    """Publishes the requests in progress and queued at this node to relays.

    :param list_queues: returns the queue at this node for each service.
    :param is_ready: returns whether callers may be sent here.
    :param on_relay_request: called with the address of each relay that connects.
    :param crashes: ledger whose changes are published as well.
    :param list_kinds: returns the competing kinds of requests at this node.
    """

    def __init__(
        self,
        endpoints: Endpoints,
        members: Members,
        list_queues: Callable[[], dict[ServiceName, QueueLength]],
        is_ready: Callable[[], bool],
        on_relay_request: Callable[[str], None],
        crashes: CrashLedger,
        list_kinds: Callable[[], KindLoads] = dict,
    ) -> None:
        self._crashes = crashes
        self._list_kinds = list_kinds
        self._on_relay_request = on_relay_request
        self._endpoints = endpoints
        self._members = members
        self._list_queues = list_queues
        self._is_ready = is_ready

    def routes(self) -> list[web.RouteDef]:
        """Return the routes for other entry nodes."""
        return [web.get(LOADS_PATH, self._stream)]

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        self._on_relay_request(request.query.get("relay", ""))
        response = web.StreamResponse()
        await response.prepare(request)
        try:
            await self._write_updates(response)
        except ConnectionResetError as error:
            note(
                _LOG,
                "relay disconnected",
                path=request.path,
                peer=request.remote,
                reason=str(error),
            )
            raise asyncio.CancelledError from error
        return response

    async def _write_updates(self, response: web.StreamResponse) -> None:
        sent: dict[AgentId, InProgress] = {}
        sent_rest: tuple[bool, dict[ServiceName, QueueLength]] | None = None
        sent_at = float("-inf")
        sent_kinds: KindLoads = {}
        sent_crash_revision = sent_limit_revision = sent_departure_revision = 0
        sent_cold_revision = -1
        sent_segment_revision = 0
        while True:
            crashes = self._crashes.list_changes(sent_crash_revision)
            sent_crash_revision = self._crashes.revision
            segment_crashes = self._crashes.segments.list_changes(sent_segment_revision)
            sent_segment_revision = self._crashes.segments.revision
            limits = self._endpoints.limits.list_changes(sent_limit_revision)
            sent_limit_revision = self._endpoints.limits.revision
            departures = self._endpoints.list_departures(sent_departure_revision)
            sent_departure_revision = self._endpoints.departures.revision
            cold = self._endpoints.cold.ledger.list_changes(sent_cold_revision)
            sent_cold_revision = self._endpoints.cold.ledger.revision
            current = self._endpoints.list_in_progress()
            changed = {
                agent_id: current.get(agent_id, NO_LOAD)
                for agent_id in sent.keys() | current.keys()
                if sent.get(agent_id) != current.get(agent_id)
            }
            rest = (self._is_ready(), self._list_queues())
            now = read_clock()
            has_changes = bool(changed or crashes or limits or departures or cold)
            has_changes = has_changes or bool(segment_crashes)
            kinds = self._list_kinds()
            has_changes = has_changes or rest != sent_rest or kinds != sent_kinds
            if has_changes or now - sent_at >= LOAD_HEARTBEAT_SECONDS:
                sent, sent_rest, sent_at = current, rest, now
                load = LoadUpdate(changed, rest[1], kinds=None if kinds == sent_kinds else kinds)
                sent_kinds = kinds
                update = NodeUpdate(
                    rest[0], load, crashes, limits, departures, cold, segment_crashes
                )
                await response.write(encode_update(update))
                MESSAGES.labels("load", "sent").inc()
            await asyncio.sleep(compute_frame_interval(self._members.count_near()))


def encode_update(update: NodeUpdate) -> bytes:
    """Encode an update as one line."""
    load = update.load
    further: dict[str, Any] = {}
    if load.kinds is not None:
        further["kinds"] = encode_kinds(load.kinds)
    if update.cold:
        further["cold"] = encode_cold(update.cold)
    if update.segment_crashes:
        further["segments"] = encode_segment_crashes(update.segment_crashes)
    fields: list[Any] = [
        update.ready,
        encode_loads(load.in_progress),
        encode_queues(load.queues),
    ]
    if update.crashes or update.limits or update.departures or further:
        fields.append(encode_crashes(update.crashes))
    if update.limits or update.departures or further:
        fields.append(encode_limits(update.limits))
    if update.departures or further:
        fields.append(update.departures)
    if further:
        fields.append(further)
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


def decode_update(line: bytes) -> NodeUpdate:
    """Decode one line.

    :raises ValueError: if the line is not an update.
    """
    try:
        ready, rows, queues, *rest = json.loads(line)
        further = rest[3] if len(rest) > 3 else {}
        kinds = decode_kinds(further.get("kinds"))
        load = LoadUpdate(decode_loads(rows), decode_queues(queues), kinds=kinds)
        crashes = decode_crashes(rest[0] if rest else {})
        limits = decode_limits(rest[1] if len(rest) > 1 else [])
        departures = decode_departures(rest[2] if len(rest) > 2 else {})
        cold = decode_cold(further.get("cold", []))
        segment_crashes = decode_segment_crashes(further.get("segments", {}))
        return NodeUpdate(bool(ready), load, crashes, limits, departures, cold, segment_crashes)
    except DECODE_ERRORS as error:
        raise ValueError(f"line is not a load update: {error!r}") from error


class NodeSubscriber:
    """Receives the load updates of a zone's entry nodes on behalf of its relay."""

    def __init__(self, view: ZoneView, members: Members, session: ClientSession) -> None:
        self._view = view
        self._members = members
        self._session = session

    async def subscribe(self, node: NodePeer) -> None:
        """Subscribe to one node until cancelled.

        A broken connection is reopened at once. The break alone doesn't show that the node is lost;
        a failed attempt to reconnect does.
        """
        try:
            while True:
                received, reason = await self._read_updates(node)
                if received:
                    continue
                member = self._members.get(node.node_id)
                if member is not None and member.state is not NodeState.LOST:
                    note(_LOG, "node lost", node=node.node_id, reason=reason)
                self._members.update_states({node.node_id: NodeState.LOST})
                self._view.forget(node.node_id)
                await asyncio.sleep(RECONNECT_DELAY_SECONDS)
        finally:
            self._view.forget(node.node_id)

    async def _read_updates(self, node: NodePeer) -> tuple[bool, str]:
        """Read one connection to its end; return whether any update arrived, and why it ended."""
        timeout = ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_SECONDS, sock_read=LOAD_TIMEOUT_SECONDS
        )
        received = False
        try:
            url = f"http://{node.address}{LOADS_PATH}"
            query = {"relay": self._members.own.internal}
            async with self._session.get(url, params=query, timeout=timeout) as response:
                response.raise_for_status()
                # A new connection starts with the node's complete load.
                self._view.forget(node.node_id)
                async for line in response.content:
                    self._apply_update(node, decode_update(line))
                    received = True
        except (ClientError, OSError, TimeoutError, ValueError) as error:
            # A timeout counts as a loss at once: reconnecting to a frozen host would hang as long.
            timed_out = isinstance(error, TimeoutError)
            return received and not timed_out, str(error) or type(error).__name__
        return received, "ended"

    def _apply_update(self, node: NodePeer, update: NodeUpdate) -> None:
        MESSAGES.labels("load", "received").inc()
        self._view.record_node(node.node_id, update.load)
        self._view.crashes.merge(update.crashes, CrashSource.PEER)
        self._view.crashes.segments.merge(update.segment_crashes, CrashSource.PEER)
        self._view.limits.merge(update.limits)
        self._view.endpoints.merge_departures(update.departures)
        self._view.endpoints.merge_cold(update.cold)
        state = NodeState.READY if update.ready else NodeState.UNREADY
        self._members.update_states({node.node_id: state})
