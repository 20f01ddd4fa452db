"""Routes of an agent for others: engine reports, chunk bitmaps, digests and chunks."""

import asyncio
import json
import logging
from collections.abc import Awaitable, Callable
from dataclasses import asdict

from aiohttp import web
from prometheus_client import Counter

from wrenloft_core import ModelName, Pacer, note, read_clock
from wrenloft_swarm._chunk_store import ChunkStore, VersionChunks, VersionName
from wrenloft_swarm._ports import EngineState, Urgency
from wrenloft_swarm._upload_queue import UploadQueue

_LOG = logging.getLogger(__name__)

MIN_REPORT_SECONDS = 0.2
"""Least time between two reports to a relay that differ in the engine's load only: entry nodes know
the load sooner from their own requests in progress. A change of what the engine serves is sent
immediately."""

MAX_REPORT_SECONDS = 0.4
"""Longest time between two messages, so that a second without one indicates a dead connection."""

BITMAP_INTERVAL_SECONDS = 0.03
"""Least time between two bitmaps to one neighbour: a round trip to any region."""

BITMAPS_PER_SECOND = 80.0
"""Bitmaps a second to all neighbours, so that an agent's load doesn't grow with the fleet."""

BITMAP_BURST = 240.0
"""Bitmaps that may be sent at once after an idle time: for the first ten chunks to 24 neighbours. A
new version spreads by doubling; a delay of 0.3 s for the bitmap at each hop leaves the uplinks of
most agents idle for the first two seconds."""

MAX_UPLOADS = 6
"""Uploads accepted at once. One is sent and the others are queued, so that the link isn't idle
between two. Further requests are refused, and the neighbour asks another agent."""

MAX_REST_UPLOADS = 4
"""The same for requests of urgency ``REST``, which use spare capacity only."""

UPLOAD_SHARE = 0.82
"""Part of the link that chunks sent to others may use. The engine's streams use the same link: at
the full rate over half of the streams are late while weights move, at 0.9 a fifth of all requests,
and at 0.82 one to four in a hundred."""

_WRITE_BYTES = 2880
"""Bytes written at a time: two packets, 6 ms of the link, for which a stream's event may wait."""


MESSAGES = Counter("wrenloft_agent_messages", "Messages sent to other processes", ["kind"])


class LatestState:
    """The engine's last report, and events for changes of it.

    :ivar state: the report, ``None`` if the engine didn't answer.
    :ivar received_at: time of the report.
    :ivar swap_pending: whether the engine, which still serves, is about to swap to another version
        and should receive no new requests.
    :ivar withheld: whether the engine may have taken corrupt chunks; it should receive no requests.
    :ivar changed: set, and replaced, on any change.
    :ivar service_changed: set, and replaced, when what the engine serves changes.
    """

    def __init__(self) -> None:
        self.service_changed = asyncio.Event()
        self.state: EngineState | None = None
        self.received_at = 0.0
        self.swap_pending = False
        self.withheld = False
        self.changed = asyncio.Event()

    def set_swap_pending(self, swap_pending: bool) -> None:
        """Set whether entry nodes should stop sending new requests to the engine."""
        if swap_pending != self.swap_pending:
            self.swap_pending = swap_pending
            self._notify_changed()

    def set_withheld(self, withheld: bool) -> None:
        """Set whether entry nodes should send no requests until the engine's weights are proven."""
        if withheld != self.withheld:
            self.withheld = withheld
            self._notify_changed()

    def _notify_changed(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
        self._notify_service_changed()

    def set(self, state: EngineState | None) -> None:
        """Set the report, ``None`` if the engine didn't answer."""
        differs = state != self.state
        serves_other = _describe_service(state) != _describe_service(self.state)
        self.state = state
        self.received_at = read_clock()
        if differs:
            self.changed.set()
            self.changed = asyncio.Event()
        if serves_other:
            self._notify_service_changed()

    def _notify_service_changed(self) -> None:
        self.service_changed.set()
        self.service_changed = asyncio.Event()


def _describe_service(state: EngineState | None) -> tuple[object, ...] | None:
    if state is None:
        return None
    return state.version, state.span, state.leaving, state.cold > 0.0


class SwarmRoutes:
    """Routes for entry nodes and for other agents.

    :param is_stopping: returns whether the agent is shutting down.
    :param on_version: called with each model and version that others request.
    :param pacer: paces all chunks sent from here.
    :param on_relay: called with the address of each entry node that subscribes to the reports.
    """

    def __init__(
        self,
        chunk_store: ChunkStore,
        latest: LatestState,
        is_stopping: Callable[[], bool],
        on_version: Callable[[str, int], None],
        pacer: Pacer,
        on_relay: Callable[[str], None],
    ) -> None:
        self._on_relay = on_relay
        self._bitmap_pacer = Pacer(BITMAPS_PER_SECOND, BITMAP_BURST)
        self._pacer = pacer
        self._on_version = on_version
        self._chunk_store = chunk_store
        self._latest = latest
        self._is_stopping = is_stopping
        self._upload_count = 0
        self._queue = UploadQueue()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes."""
        return [
            web.get("/reports", _log_disconnect(self._stream_reports)),
            web.get("/held/{model}/{version}", _log_disconnect(self._stream_bitmaps)),
            web.get("/digests/{model}/{version}", self._send_digests),
            web.get("/chunks/{model}/{version}/{chunk}", _log_disconnect(self._send_chunk)),
        ]

    async def _stream_reports(self, request: web.Request) -> web.StreamResponse:
        self._on_relay(request.query.get("relay", ""))
        response = web.StreamResponse()
        await response.prepare(request)
        while not self._is_stopping():
            changed, service_changed = self._latest.changed, self._latest.service_changed
            if (state := self._latest.state) is not None:
                fields = asdict(state)
                del fields["sequence"]
                if not state.cold:
                    del fields["cold"]
                if self._latest.swap_pending or self._latest.withheld:
                    fields["span"] = None
                await response.write(json.dumps(fields).encode() + b"\n")
                MESSAGES.labels("report").inc()
            # A change of what the engine serves is sent at once: for each tenth of a second of
            # delay, entry nodes send requests to an engine that refuses them, or refuse callers
            # that it could serve.
            await _wait(service_changed, MIN_REPORT_SECONDS)
            if not service_changed.is_set():
                await _wait(changed, MAX_REPORT_SECONDS - MIN_REPORT_SECONDS)
        return response

    async def _stream_bitmaps(self, request: web.Request) -> web.StreamResponse:
        name = _read_name(request)
        # The neighbour may have learnt of the version from the store before this agent.
        self._on_version(name.model, name.number)
        response = web.StreamResponse()
        await response.prepare(request)
        await self._write_bitmaps(response, name)
        return response

    async def _write_bitmaps(self, response: web.StreamResponse, name: VersionName) -> None:
        sent_bitmap = -1
        while not self._is_stopping():
            version_chunks = self._chunk_store.get(name)
            bitmap = version_chunks.bitmap if version_chunks is not None else 0
            if bitmap != sent_bitmap:
                await self._bitmap_pacer.acquire(1)
                sent_bitmap = bitmap if version_chunks is None else version_chunks.bitmap
                await response.write(f"{sent_bitmap:x}\n".encode())
                MESSAGES.labels("possession").inc()
            await asyncio.sleep(BITMAP_INTERVAL_SECONDS)
            if version_chunks is not None and version_chunks.bitmap == sent_bitmap:
                await _wait(version_chunks.changed, MAX_REPORT_SECONDS)

    async def _send_digests(self, request: web.Request) -> web.Response:
        version_chunks = self._find(request)
        return web.json_response({"digests": version_chunks.digests})

    async def _send_chunk(self, request: web.Request) -> web.StreamResponse:
        version_chunks = self._find(request)
        data = version_chunks.get(_read_integer(request, "chunk"))
        if data is None:
            raise web.HTTPNotFound
        is_rest = request.query.get("urgency") == Urgency.REST.value
        if self._upload_count >= (MAX_REST_UPLOADS if is_rest else MAX_UPLOADS):
            raise web.HTTPTooManyRequests
        self._upload_count += 1
        try:
            async with self._queue.reserve(urgent=not is_rest):
                return await self._send_paced(request, data)
        finally:
            self._upload_count -= 1

    async def _send_paced(self, request: web.Request, data: bytes) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_length = len(data)
        await response.prepare(request)
        for at in range(0, len(data), _WRITE_BYTES):
            piece = data[at : at + _WRITE_BYTES]
            await self._pacer.acquire(len(piece))
            await response.write(piece)
        await response.write_eof()
        return response

    def _find(self, request: web.Request) -> VersionChunks:
        version_chunks = self._chunk_store.get(_read_name(request))
        if version_chunks is None:
            raise web.HTTPNotFound
        return version_chunks


def _log_disconnect(
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
    """Wrap a handler to log a client's disconnect in one line.

    After a suspension a host finds the connections of all others closed, and aiohttp would log each
    with a stack trace.
    """

    async def handle(request: web.Request) -> web.StreamResponse:
        try:
            return await handler(request)
        except ConnectionResetError as error:
            note(
                _LOG,
                "client disconnected",
                path=request.path,
                peer=request.remote,
                reason=str(error),
            )
            raise asyncio.CancelledError from error

    return handle


def _read_name(request: web.Request) -> VersionName:
    return VersionName(ModelName(request.match_info["model"]), _read_integer(request, "version"))


def _read_integer(request: web.Request, name: str) -> int:
    try:
        return int(request.match_info[name])
    except ValueError as error:
        raise web.HTTPBadRequest(text=f"{name} is no number") from error


async def _wait(event: asyncio.Event, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        pass
