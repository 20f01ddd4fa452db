"""Telling a relay of requests in progress and waiting here, and hearing nodes as a relay."""

import asyncio
import json
import logging
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from wrenloft_core import AgentId, ServiceName, note, read_clock
from wrenloft_policy import measure_frame_interval
from wrenloft_routing._crash_ledger import CrashLedger, CrashNews, CrashSource
from wrenloft_routing._endpoints import Endpoints
from wrenloft_routing._frames import (
    decode_crashes,
    decode_limits,
    decode_loads,
    decode_queues,
    encode_crashes,
    encode_limits,
    encode_loads,
    encode_queues,
)
from wrenloft_routing._limit_ledger import LimitNews
from wrenloft_routing._loads import NO_LOAD, InProgress, LoadUpdate, QueueLength
from wrenloft_routing._members import Members, NodeState
from wrenloft_routing._metrics import MESSAGES
from wrenloft_routing._subscriptions import FollowedNode
from wrenloft_routing._zone_view import ZoneView

_LOG = logging.getLogger(__name__)

LOADS_IDLE_SECONDS = 0.2
"""Longest time between two updates, so that silence shows a dead node."""

SILENCE_SECONDS = 0.8
"""Silence after which a node is taken for dead and no longer named: three updates were missed. A
caller's connection attempt to it would take a second."""

CONNECT_SECONDS = 0.4

RECONNECT_SECONDS = 0.3
"""Pause before a node that is lost is tried again."""

LOADS_PATH = "/loads"


@dataclass(frozen=True, slots=True)
class NodeUpdate:
    """What a node tells a relay.

    :param ready: whether callers may be sent there.
    :param crashes: of contents, where something new is known there.
    :param limits: that endpoints name, where they have changed.
    """

    ready: bool
    load: LoadUpdate
    crashes: CrashNews = field(default_factory=dict)
    limits: LimitNews = field(default_factory=dict)


class LoadRoutes:
    """Tells relays what this node has in progress, and what waits here.

    :param list_queues: returns what waits here for each service.
    :param is_ready: whether callers may be sent here.
    :param on_asker: called with the address of each relay that asks.
    :param crashes: of which what is new is told as well.
    """

    def __init__(
        self,
        endpoints: Endpoints,
        members: Members,
        list_queues: Callable[[], dict[ServiceName, QueueLength]],
        is_ready: Callable[[], bool],
        on_asker: Callable[[str], None],
        crashes: CrashLedger,
    ) -> None:
        self._crashes = crashes
        self._on_asker = on_asker
        self._endpoints = endpoints
        self._members = members
        self._list_queues = list_queues
        self._is_ready = is_ready

    def routes(self) -> list[web.RouteDef]:
        """Return the routes for other entry nodes."""
        return [web.get(LOADS_PATH, self._stream)]

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        self._on_asker(request.query.get("relay", ""))
        response = web.StreamResponse()
        await response.prepare(request)
        try:
            await self._write_updates(response)
        except ConnectionResetError as error:
            note(_LOG, "asker gone", path=request.path, peer=request.remote, reason=str(error))
            raise asyncio.CancelledError from error
        return response

    async def _write_updates(self, response: web.StreamResponse) -> None:
        told: dict[AgentId, InProgress] = {}
        told_rest: tuple[bool, dict[ServiceName, QueueLength]] | None = None
        told_at = float("-inf")
        told_crashes = told_limits = 0
        while True:
            crashes = self._crashes.list_changes(told_crashes)
            told_crashes = self._crashes.revision
            limits = self._endpoints.limits.list_changes(told_limits)
            told_limits = self._endpoints.limits.revision
            current = self._endpoints.list_in_progress()
            changed = {
                agent_id: current.get(agent_id, NO_LOAD)
                for agent_id in told.keys() | current.keys()
                if told.get(agent_id) != current.get(agent_id)
            }
            rest = (self._is_ready(), self._list_queues())
            now = read_clock()
            news = bool(changed or crashes or limits or rest != told_rest)
            if news or now - told_at >= LOADS_IDLE_SECONDS:
                told, told_rest, told_at = current, rest, now
                update = NodeUpdate(rest[0], LoadUpdate(changed, rest[1]), crashes, limits)
                await response.write(encode_update(update))
                MESSAGES.labels("load", "sent").inc()
            await asyncio.sleep(measure_frame_interval(self._members.count_near()))


def encode_update(update: NodeUpdate) -> bytes:
    """Encode an update as one line."""
    load = update.load
    fields: list[Any] = [
        update.ready,
        encode_loads(load.in_progress),
        encode_queues(load.queues),
    ]
    if update.crashes or update.limits:
        fields.append(encode_crashes(update.crashes))
    if update.limits:
        fields.append(encode_limits(update.limits))
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


def decode_update(line: bytes) -> NodeUpdate:
    """Decode one line.

    :raises ValueError: if it is no update.
    """
    try:
        ready, rows, queues, *rest = json.loads(line)
        load = LoadUpdate(decode_loads(rows), decode_queues(queues))
        crashes = decode_crashes(rest[0] if rest else {})
        limits = decode_limits(rest[1] if len(rest) > 1 else [])
        return NodeUpdate(bool(ready), load, crashes, limits)
    except (TypeError, AttributeError, RecursionError) as error:
        raise ValueError(f"no update: {error!r}") from error


class NodeFollower:
    """Hears the entry nodes of a zone, for its relay."""

    def __init__(self, view: ZoneView, members: Members, session: ClientSession) -> None:
        self._view = view
        self._members = members
        self._session = session

    async def follow(self, node: FollowedNode) -> None:
        """Follow one node until cancelled.

        A connection that breaks is opened again at once: that it broke says little of the node,
        that no new one can be had says that it is lost.
        """
        try:
            while True:
                heard, reason = await self._read_updates(node)
                if heard:
                    continue
                member = self._members.get(node.node_id)
                if member is not None and member.state is not NodeState.LOST:
                    note(_LOG, "node lost", node=node.node_id, reason=reason)
                self._members.take_states({node.node_id: NodeState.LOST})
                self._view.forget(node.node_id)
                await asyncio.sleep(RECONNECT_SECONDS)
        finally:
            self._view.forget(node.node_id)

    async def _read_updates(self, node: FollowedNode) -> tuple[bool, str]:
        """Read one connection to its end; return whether anything came, and why it ended."""
        timeout = ClientTimeout(total=None, sock_connect=CONNECT_SECONDS, sock_read=SILENCE_SECONDS)
        heard = False
        try:
            url = f"http://{node.address}{LOADS_PATH}"
            query = {"relay": self._members.own.internal}
            async with self._session.get(url, params=query, timeout=timeout) as response:
                response.raise_for_status()
                # The other side begins anew with all that it has in progress.
                self._view.forget(node.node_id)
                async for line in response.content:
                    self._take(node, decode_update(line))
                    heard = True
        except (ClientError, OSError, TimeoutError, ValueError) as error:
            # Silence is a loss by itself: a new connection to a frozen host would hang as long.
            silent = isinstance(error, TimeoutError)
            return heard and not silent, str(error) or type(error).__name__
        return heard, "ended"

    def _take(self, node: FollowedNode, update: NodeUpdate) -> None:
        MESSAGES.labels("load", "received").inc()
        self._view.record_node(node.node_id, update.load)
        self._view.crashes.merge(update.crashes, CrashSource.PEER)
        self._view.limits.merge(update.limits)
        state = NodeState.READY if update.ready else NodeState.UNREADY
        self._members.take_states({node.node_id: state})
