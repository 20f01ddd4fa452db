"""Frames over connections: told by a relay, followed by nodes, relays and agents."""

import asyncio
import logging
from collections.abc import Callable

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from wrenloft_core import NodeId, Signal, note, read_clock
from wrenloft_policy import measure_frame_interval
from wrenloft_routing._frames import Frame, FrameScope, decode_frame, encode_frame
from wrenloft_routing._metrics import MESSAGES
from wrenloft_routing._store_snapshots import ReadingMirror, SharedReading
from wrenloft_routing._zone_view import FrameWriter, ZoneView

_LOG = logging.getLogger(__name__)

FRAME_IDLE_SECONDS = 0.2
"""Longest time between two frames, so that silence shows a relay that is dead."""

FRAME_SILENCE_SECONDS = 0.6
"""Silence after which a relay is taken for dead: two frames and more are missing. Until then its
nodes go by what it said last; unseen for longer, their sends would meet at one engine."""

FRAME_CONNECT_SECONDS = 0.3
"""Longest wait for a connection to a relay; across regions it takes 6 ms."""

AGENT_IDLE_SECONDS = 0.5
AGENT_SILENCE_SECONDS = 1.5
"""The same as for nodes, for agents: they go on without a relay and can wait longer. What the store
holds is told to both as soon as it has changed: a version's weights have seconds to arrive."""

FRAMES_PATH = "/frames"

MOST_LINE_BYTES = 4 * 1024 * 1024
"""Longest frame: readings of 3,000 entries are 1 MB."""


class FrameRoutes:
    """Tells others what this node has view, as their relay.

    :param news: fired whenever the store's content has changed.

    ``followers`` counts who listens; while anybody does, this node gathers.
    """

    def __init__(self, view: ZoneView, readings: list[SharedReading], news: Signal) -> None:
        self._news = news
        self._view = view
        self._readings = readings
        self._counts = dict.fromkeys(FrameScope, 0)

    @property
    def followers(self) -> int:
        """How many nodes and relays follow this one."""
        return self._counts[FrameScope.FLEET] + self._counts[FrameScope.ZONE]

    def routes(self) -> list[web.RouteDef]:
        """Return the routes for other entry nodes and agents."""
        return [web.get(FRAMES_PATH, self._stream)]

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        try:
            scope = FrameScope(request.query.get("scope", ""))
        except ValueError as error:
            raise web.HTTPBadRequest(text="scope is none of fleet, zone, readings") from error
        follower = NodeId(request.query.get("node", ""))
        response = web.StreamResponse()
        await response.prepare(request)
        self._counts[scope] += 1
        try:
            await self._write_frames(response, scope, follower)
        except ConnectionResetError as error:
            note(_LOG, "follower gone", scope=scope.value, node=follower, reason=str(error))
            raise asyncio.CancelledError from error
        finally:
            self._counts[scope] -= 1
        return response

    async def _write_frames(
        self, response: web.StreamResponse, scope: FrameScope, follower: NodeId
    ) -> None:
        writer = FrameWriter(self._view, self._readings, scope, follower)
        if scope is FrameScope.READINGS:
            await self._write_readings(response, writer)
        told_at = float("-inf")
        while True:
            now = read_clock()
            frame, changed = writer.compose(now)
            if changed or now - told_at >= FRAME_IDLE_SECONDS:
                told_at = now
                await _write(response, frame)
            await self._news.wait(measure_frame_interval(self._counts[scope]))

    async def _write_readings(self, response: web.StreamResponse, writer: FrameWriter) -> None:
        while True:
            frame, _ = writer.compose(read_clock())
            await _write(response, frame)
            await self._news.wait(AGENT_IDLE_SECONDS)


async def _write(response: web.StreamResponse, frame: Frame) -> None:
    await response.write(encode_frame(frame))
    MESSAGES.labels("frame", "sent").inc()


FrameTaker = Callable[[Frame, ReadingMirror], None]


async def read_frames(
    session: ClientSession, address: str, scope: FrameScope, own: NodeId, take: FrameTaker
) -> str:
    """Follow a relay until it is lost, and return why it was.

    :param address: its internal address.
    :param take: called with each frame, and with the mirror of that relay's readings.
    """
    agent = scope is FrameScope.READINGS
    silence = AGENT_SILENCE_SECONDS if agent else FRAME_SILENCE_SECONDS
    timeout = ClientTimeout(total=None, sock_connect=FRAME_CONNECT_SECONDS, sock_read=silence)
    query = {"scope": scope.value, "node": own}
    asked_at = read_clock()
    mirror = None
    try:
        async with session.get(
            f"http://{address}{FRAMES_PATH}",
            params=query,
            timeout=timeout,
            read_bufsize=MOST_LINE_BYTES,
        ) as response:
            response.raise_for_status()
            async for line in response.content:
                frame = decode_frame(line)
                if mirror is None:
                    # The first frame was made after the question was sent, so its clock is ahead
                    # by this much at most; ages counted so are never too young.
                    mirror = ReadingMirror(frame.at - asked_at)
                MESSAGES.labels("frame", "received").inc()
                take(frame, mirror)
    except (ClientError, OSError, TimeoutError, ValueError) as error:
        return str(error) or type(error).__name__
    return "ended"
