"""Streams of frames from a relay to nodes, other relays and agents."""

import asyncio
import logging
from collections.abc import Callable

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from wrenloft_core import NodeId, Signal, note, read_clock
from wrenloft_policy import compute_frame_interval
from wrenloft_routing._frames import Frame, FrameScope, decode_frame, encode_frame
from wrenloft_routing._metrics import MESSAGES
from wrenloft_routing._store_snapshots import SharedSnapshot, SnapshotMirror
from wrenloft_routing._zone_view import FrameWriter, ZoneView

_LOG = logging.getLogger(__name__)

FRAME_HEARTBEAT_SECONDS = 0.2
"""Longest time between two frames, so that a silent connection reveals a dead relay."""

FRAME_TIMEOUT_SECONDS = 0.6
"""Time without a frame after which a relay counts as dead: more than two frames are missing. Until
then its nodes rely on its last frames; with older ones, their sends would collide at one engine."""

FRAME_CONNECT_TIMEOUT_SECONDS = 0.3
"""Longest wait for a connection to a relay; one across regions takes 6 ms."""

AGENT_HEARTBEAT_SECONDS = 0.5
AGENT_FRAME_TIMEOUT_SECONDS = 1.5
"""Both as for nodes, but longer: agents work without a relay. Store changes are sent to both at
once: the weights of a new version have seconds to arrive."""

FRAMES_PATH = "/frames"

MAX_FRAME_BYTES = 4 * 1024 * 1024
"""Largest frame; snapshots of 3,000 entries take 1 MB."""


class FrameRoutes:
    """Serves this node's view as frames, as a relay.

    :param changes: fired whenever the store's content has changed.

    ``subscriber_count`` counts the subscribers; this node aggregates while there are any.
    """

    def __init__(self, view: ZoneView, snapshots: list[SharedSnapshot], changes: Signal) -> None:
        self._changes = changes
        self._view = view
        self._snapshots = snapshots
        self._counts = dict.fromkeys(FrameScope, 0)

    @property
    def subscriber_count(self) -> int:
        """Number of nodes and relays that subscribe to this one."""
        return self._counts[FrameScope.FLEET] + self._counts[FrameScope.ZONE]

    def routes(self) -> list[web.RouteDef]:
        """Return the routes for other entry nodes and agents."""
        return [web.get(FRAMES_PATH, self._stream)]

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        try:
            scope = FrameScope(request.query.get("scope", ""))
        except ValueError as error:
            raise web.HTTPBadRequest(text="scope is none of fleet, zone, readings") from error
        subscriber = NodeId(request.query.get("node", ""))
        response = web.StreamResponse()
        await response.prepare(request)
        self._counts[scope] += 1
        try:
            await self._write_frames(response, scope, subscriber)
        except ConnectionResetError as error:
            note(
                _LOG,
                "subscriber disconnected",
                scope=scope.value,
                node=subscriber,
                reason=str(error),
            )
            raise asyncio.CancelledError from error
        finally:
            self._counts[scope] -= 1
        return response

    async def _write_frames(
        self, response: web.StreamResponse, scope: FrameScope, subscriber: NodeId
    ) -> None:
        writer = FrameWriter(self._view, self._snapshots, scope, subscriber)
        if scope is FrameScope.STORE:
            await self._write_deltas(response, writer)
        sent_at = float("-inf")
        while True:
            now = read_clock()
            frame, changed = writer.compose(now)
            if changed or now - sent_at >= FRAME_HEARTBEAT_SECONDS:
                sent_at = now
                await _write(response, frame)
            await self._changes.wait(compute_frame_interval(self._counts[scope]))

    async def _write_deltas(self, response: web.StreamResponse, writer: FrameWriter) -> None:
        while True:
            frame, _ = writer.compose(read_clock())
            await _write(response, frame)
            await self._changes.wait(AGENT_HEARTBEAT_SECONDS)


async def _write(response: web.StreamResponse, frame: Frame) -> None:
    await response.write(encode_frame(frame))
    MESSAGES.labels("frame", "sent").inc()


FrameHandler = Callable[[Frame, SnapshotMirror], None]


async def read_frames(
    session: ClientSession, address: str, scope: FrameScope, own: NodeId, on_frame: FrameHandler
) -> str:
    """Subscribe to a relay until it is lost, and return the reason.

    :param address: the relay's internal address.
    :param on_frame: called with each frame, and with the mirror of that relay's snapshots.
    """
    for_agent = scope is FrameScope.STORE
    read_timeout = AGENT_FRAME_TIMEOUT_SECONDS if for_agent else FRAME_TIMEOUT_SECONDS
    timeout = ClientTimeout(
        total=None, sock_connect=FRAME_CONNECT_TIMEOUT_SECONDS, sock_read=read_timeout
    )
    query = {"scope": scope.value, "node": own}
    requested_at = read_clock()
    mirror = None
    try:
        async with session.get(
            f"http://{address}{FRAMES_PATH}",
            params=query,
            timeout=timeout,
            read_bufsize=MAX_FRAME_BYTES,
        ) as response:
            response.raise_for_status()
            async for line in response.content:
                frame = decode_frame(line)
                if mirror is None:
                    # The first frame was composed after the request was sent, so the relay's
                    # clock is ahead by this much at most; ages computed from it are never
                    # too young.
                    mirror = SnapshotMirror(frame.sent_at - requested_at)
                MESSAGES.labels("frame", "received").inc()
                on_frame(frame, mirror)
    except (ClientError, OSError, TimeoutError, ValueError) as error:
        return str(error) or type(error).__name__
    return "ended"
