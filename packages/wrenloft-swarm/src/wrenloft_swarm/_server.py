"""What an agent gives to others: its engine's reports, what it holds, and chunks."""

import asyncio
import json
import logging
from collections.abc import Awaitable, Callable
from dataclasses import asdict

from aiohttp import web
from prometheus_client import Counter

from wrenloft_core import ModelName, Pacer, note, read_clock
from wrenloft_policy import LayerSpan
from wrenloft_swarm._chunk_store import Holding, Holdings, VersionName
from wrenloft_swarm._ports import EngineState, Urgency
from wrenloft_swarm._upload_queue import UploadTurns

_LOG = logging.getLogger(__name__)

REPORT_SECONDS = 0.2
"""Least time between two reports to a relay that differ in the engine's load only. What entry
nodes have in progress says the same sooner; what an engine serves is told at once."""

REPORT_IDLE_SECONDS = 0.4
"""Longest time between two, so that silence for a second shows a dead connection."""

POSSESSION_SECONDS = 0.03
"""Least time between two messages of what is held to one neighbour: a round trip to any region."""

POSSESSIONS_PER_SECOND = 80.0
"""Such messages a second to all neighbours together, so that an agent's part does not grow with
the fleet."""

POSSESSION_BURST = 240.0
"""Such messages that may go out at once after a calm time: the first ten chunks to 24 neighbours. A
new version spreads by doubling; while each hop waited 0.3 s for its turn to tell of a chunk, the
uplinks of most agents rested for the first two seconds."""

UPLOADS = 6
"""Chunks asked for at once, of which one is sent and the others wait for their turn, so that the
link does not rest between two. A further one is refused, and asked of another neighbour."""

REST_UPLOADS = 4
"""The same for agents that are not served first; they take what the others leave."""

UPLOAD_SHARE = 0.82
"""Part of the link that chunks sent to others may use. The engine's streams leave by the same
link: at full rate over half of the streams came late while weights moved, at 0.9 a fifth of all
requests, at 0.82 one to four in a hundred (one play of a day with one new version each)."""

_PIECE_BYTES = 2880
"""Bytes written at a time: two packets, 6 ms of the link, which an event may have to wait."""


MESSAGES = Counter("wrenloft_agent_messages", "Messages sent to other processes", ["kind"])


class LatestState:
    """The engine's last report, and a signal when there is a newer one.

    ``yielding`` is set while requests are kept away from an engine that still serves, because it
    is about to go on to another version. ``service_changed`` tells of a change of what it serves.
    """

    def __init__(self) -> None:
        self.service_changed = asyncio.Event()
        self.state: EngineState | None = None
        self.at = 0.0
        self.yielding = False
        self.changed = asyncio.Event()

    def set_yielding(self, yielding: bool) -> None:
        """Tell entry nodes that the engine takes nothing new, or that it does again."""
        if yielding != self.yielding:
            self.yielding = yielding
            self.changed.set()
            self.changed = asyncio.Event()
            self._tell_service_changed()

    def set(self, state: EngineState | None) -> None:
        """Take a report, or none if the engine did not answer."""
        differs = state != self.state
        serves_other = _describe_service(state) != _describe_service(self.state)
        self.state = state
        self.at = read_clock()
        if differs:
            self.changed.set()
            self.changed = asyncio.Event()
        if serves_other:
            self._tell_service_changed()

    def _tell_service_changed(self) -> None:
        self.service_changed.set()
        self.service_changed = asyncio.Event()


def _describe_service(state: EngineState | None) -> tuple[int, LayerSpan | None] | None:
    return None if state is None else (state.version, state.span)


class SwarmRoutes:
    """Routes for entry nodes and for other agents.

    :param pacer: for all chunks sent from here.
    :param on_relay: called with the address of each entry node that follows the reports.
    :param on_version: called with each model and version that others ask for.
    """

    def __init__(
        self,
        holdings: Holdings,
        latest: LatestState,
        is_stopping: Callable[[], bool],
        on_version: Callable[[str, int], None],
        pacer: Pacer,
        on_relay: Callable[[str], None],
    ) -> None:
        self._on_relay = on_relay
        self._possessions = Pacer(POSSESSIONS_PER_SECOND, POSSESSION_BURST)
        self._pacer = pacer
        self._on_version = on_version
        self._holdings = holdings
        self._latest = latest
        self._is_stopping = is_stopping
        self._uploads = 0
        self._turns = UploadTurns()

    def routes(self) -> list[web.RouteDef]:
        """Return the routes."""
        return [
            web.get("/reports", _end_quietly(self._stream_reports)),
            web.get("/held/{model}/{version}", _end_quietly(self._stream_held)),
            web.get("/digests/{model}/{version}", self._send_digests),
            web.get("/chunks/{model}/{version}/{chunk}", _end_quietly(self._send_chunk)),
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
                if self._latest.yielding:
                    fields["span"] = None
                await response.write(json.dumps(fields).encode() + b"\n")
                MESSAGES.labels("report").inc()
            # What an engine serves is told at once: each tenth of a second later, requests go to
            # one that takes none, or callers are refused though one is back.
            await _wait(service_changed, REPORT_SECONDS)
            if not service_changed.is_set():
                await _wait(changed, REPORT_IDLE_SECONDS - REPORT_SECONDS)
        return response

    async def _stream_held(self, request: web.Request) -> web.StreamResponse:
        name = _read_name(request)
        # Whoever asks for a version has heard of it from the store, perhaps before this agent.
        self._on_version(name.model, name.number)
        response = web.StreamResponse()
        await response.prepare(request)
        await self._write_possessions(response, name)
        return response

    async def _write_possessions(self, response: web.StreamResponse, name: VersionName) -> None:
        told = -1
        while not self._is_stopping():
            holding = self._holdings.get(name)
            mask = holding.mask if holding is not None else 0
            if mask != told:
                await self._possessions.carry(1)
                told = mask if holding is None else holding.mask
                await response.write(f"{told:x}\n".encode())
                MESSAGES.labels("possession").inc()
            await asyncio.sleep(POSSESSION_SECONDS)
            if holding is not None and holding.mask == told:
                await _wait(holding.changed, REPORT_IDLE_SECONDS)

    async def _send_digests(self, request: web.Request) -> web.Response:
        holding = self._find(request)
        return web.json_response({"digests": holding.digests})

    async def _send_chunk(self, request: web.Request) -> web.StreamResponse:
        holding = self._find(request)
        data = holding.get(_read_integer(request, "chunk"))
        if data is None:
            raise web.HTTPNotFound
        rest = request.query.get("urgency") == Urgency.REST.value
        if self._uploads >= (REST_UPLOADS if rest else UPLOADS):
            raise web.HTTPTooManyRequests
        self._uploads += 1
        try:
            async with self._turns.take(urgent=not rest):
                return await self._send_paced(request, data)
        finally:
            self._uploads -= 1

    async def _send_paced(self, request: web.Request, data: bytes) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_length = len(data)
        await response.prepare(request)
        for at in range(0, len(data), _PIECE_BYTES):
            piece = data[at : at + _PIECE_BYTES]
            await self._pacer.carry(len(piece))
            await response.write(piece)
        await response.write_eof()
        return response

    def _find(self, request: web.Request) -> Holding:
        holding = self._holdings.get(_read_name(request))
        if holding is None:
            raise web.HTTPNotFound
        return holding


def _end_quietly(
    handler: Callable[[web.Request], Awaitable[web.StreamResponse]],
) -> Callable[[web.Request], Awaitable[web.StreamResponse]]:
    """Answer with a handler, and say in one line that whoever asked has gone meanwhile.

    A host that wakes from a freeze finds the connections of all others closed; the library logs
    each with its whole stack.
    """

    async def handle(request: web.Request) -> web.StreamResponse:
        try:
            return await handler(request)
        except ConnectionResetError as error:
            note(_LOG, "asker gone", path=request.path, peer=request.remote, reason=str(error))
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
