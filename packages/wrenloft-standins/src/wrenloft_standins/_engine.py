"""A model engine: OpenAI-style HTTP, server-sent events, and orders with a fencing number."""

import asyncio
import heapq
import itertools
import json
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web
from blake3 import blake3

from wrenloft_core import Header, Priority

_DEFAULT_TOKENS = 16


@dataclass(frozen=True, slots=True)
class EngineFaults:
    """What the engine does wrong.

    :param ignores_fencing: orders with an old fencing number are carried out.
    :param report_lag: seconds by which load reports are old.
    :param slow: factor on the time per token.
    :param break_streams: streams that break off half-way, counted down.
    :param crossed: answers that carry another request's id, counted down.
    """

    ignores_fencing: bool = False
    report_lag: float = 0.0
    slow: float = 1.0
    break_streams: int = 0
    crossed: int = 0


@dataclass(slots=True)
class _Stream:
    """One run's output, kept so that it can be resumed."""

    pieces: list[bytes] = field(default_factory=list)
    ended: bool = False
    cancelled: bool = False
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    def add(self, piece: bytes) -> None:
        self.pieces.append(piece)
        self.grown.set()
        self.grown = asyncio.Event()


class _Slots:
    """Places in the batch, given by priority."""

    def __init__(self, count: int) -> None:
        self.count = count
        self.running = 0
        self._order = itertools.count()
        self._waiting: list[tuple[int, int, asyncio.Future[None]]] = []

    @property
    def waiting(self) -> int:
        return len(self._waiting)

    @asynccontextmanager
    async def hold(self, priority: Priority) -> AsyncIterator[None]:
        if self.running >= self.count:
            turn = asyncio.get_running_loop().create_future()
            heapq.heappush(self._waiting, (priority.rank, next(self._order), turn))
            await turn
        else:
            self.running += 1
        try:
            yield
        finally:
            self._pass_on()

    def _pass_on(self) -> None:
        while self._waiting:
            turn = heapq.heappop(self._waiting)[2]
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1


class Engine:
    """Serves whichever version it was last told to, and writes down each run."""

    def __init__(self, *, capacity: int = 8, token_seconds: float = 0.005) -> None:
        self.faults = EngineFaults()
        self._slots = _Slots(capacity)
        self._token_seconds = token_seconds
        self._loaded: dict[str, dict[str, str]] = {}
        self._serving: dict[str, str] = {}
        self._fences: dict[str, int] = {}
        self._runs: Counter[str] = Counter()
        self._bodies: Counter[str] = Counter()
        self._orders: list[dict[str, Any]] = []
        self._streams: dict[str, _Stream] = {}
        self._reports: list[tuple[float, dict[str, Any]]] = []
        self._waits: dict[str, list[float]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def stats(self) -> dict[str, Any]:
        """Return runs by request id and by body, the orders taken and what is served."""
        return {
            "runs": dict(self._runs),
            "bodies": dict(self._bodies),
            "orders": self._orders,
            "serving": self._serving,
            "loaded": self._loaded,
            "waits": self._waits,
        }

    def set_serving(self, model: str, version: str) -> None:
        """Begin as if a version had been loaded and were served."""
        self._loaded.setdefault(model, {})[version] = ""
        self._serving[model] = version

    def forget(self) -> None:
        """Hold nothing any more, as after a restart."""
        self._loaded.clear()
        self._serving.clear()

    def routes(self) -> list[web.RouteDef]:
        """Return the request, stream, order and report routes."""
        return [
            web.post("/v1/chat/completions", self._complete),
            web.post("/v1/completions", self._complete),
            web.get("/v1/streams/{id}", self._resume),
            web.delete("/v1/streams/{id}", self._cancel),
            web.put("/orders/weights/{model}/{version}", self._load),
            web.post("/orders/serve/{model}/{version}", self._serve),
            web.delete("/orders/weights/{model}/{version}", self._unload),
            web.get("/orders/state", self._state),
            web.get("/load", self._report),
        ]

    def _check_fence(self, request: web.Request) -> None:
        number = int(request.headers[Header.FENCING])
        model = request.match_info["model"]
        fence = self._fences.get(model, 0)
        if number < fence and not self.faults.ignores_fencing:
            raise web.HTTPConflict(text=f"fencing number {number} is older than {fence}")
        self._fences[model] = max(fence, number)
        self._orders.append({"path": request.path, "method": request.method, "fence": number})

    async def _load(self, request: web.Request) -> web.Response:
        self._check_fence(request)
        digest = blake3()
        async for piece in request.content.iter_any():
            digest.update(piece)
        model, version = request.match_info["model"], request.match_info["version"]
        self._loaded.setdefault(model, {})[version] = digest.hexdigest()
        return web.json_response({"digest": digest.hexdigest()})

    async def _serve(self, request: web.Request) -> web.Response:
        self._check_fence(request)
        model, version = request.match_info["model"], request.match_info["version"]
        if version not in self._loaded.get(model, {}):
            raise web.HTTPNotFound(text="version is not loaded")
        self._serving[model] = version
        return web.json_response({})

    async def _unload(self, request: web.Request) -> web.Response:
        self._check_fence(request)
        model, version = request.match_info["model"], request.match_info["version"]
        self._loaded.get(model, {}).pop(version, None)
        if self._serving.get(model) == version:
            del self._serving[model]
        return web.json_response({})

    async def _state(self, request: web.Request) -> web.Response:
        return web.json_response(
            {"fences": self._fences, "serving": self._serving, "loaded": self._loaded}
        )

    async def _report(self, request: web.Request) -> web.Response:
        now = asyncio.get_running_loop().time()
        self._reports.append(
            (now, {"running": self._slots.running, "waiting": self._slots.waiting})
        )
        known = [report for at, report in self._reports if at <= now - self.faults.report_lag]
        self._reports = self._reports[-200:]
        return web.json_response(known[-1] if known else self._reports[0][1])

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        fields = await request.json()
        request_id = request.headers.get(Header.REQUEST_ID, "direct")
        model = fields["model"]
        if model not in self._serving:
            raise web.HTTPNotFound(text="model is not served")
        arrived = asyncio.get_running_loop().time()
        priority = Priority(request.headers.get(Header.PRIORITY, Priority.INTERACTIVE))
        self._runs[request_id] += 1
        self._bodies[json.dumps(fields.get("messages", fields.get("prompt")))] += 1
        stream = self._streams[request_id] = _Stream()
        work = asyncio.create_task(self._generate(stream, request_id, fields, priority, arrived))
        self._tasks.add(work)
        work.add_done_callback(self._tasks.discard)
        if fields.get("stream"):
            return await self._send(request, stream, 0)
        await work
        return self._whole(request_id, fields, stream)

    async def _generate(
        self,
        stream: _Stream,
        request_id: str,
        fields: dict[str, Any],
        priority: Priority,
        arrived: float,
    ) -> None:
        model = fields["model"]
        shown = request_id
        if self.faults.crossed > 0:
            shown = "another-request"
            self.faults = _count_down(self.faults, "crossed")
        async with self._slots.hold(priority):
            waited = asyncio.get_running_loop().time() - arrived
            self._waits.setdefault(priority, []).append(waited)
            version = self._serving.get(model, "")
            for number in range(int(fields.get("max_tokens", _DEFAULT_TOKENS))):
                if stream.cancelled:
                    return
                await asyncio.sleep(self._token_seconds * self.faults.slow)
                event = {
                    "id": shown,
                    "model": model,
                    "system_fingerprint": version,
                    "choices": [{"index": 0, "delta": {"content": f"{number} "}}],
                }
                stream.add(b"data: " + json.dumps(event).encode() + b"\n\n")
        stream.add(b"data: [DONE]\n\n")
        stream.ended = True
        stream.add(b"")

    def _whole(self, request_id: str, fields: dict[str, Any], stream: _Stream) -> web.Response:
        events = [json.loads(piece[6:]) for piece in stream.pieces if piece.startswith(b"data: {")]
        text = "".join(event["choices"][0]["delta"]["content"] for event in events)
        last = events[-1] if events else {"id": request_id, "system_fingerprint": ""}
        return web.json_response(
            {
                "id": last["id"],
                "object": "chat.completion",
                "model": fields["model"],
                "system_fingerprint": last["system_fingerprint"],
                "choices": [{"index": 0, "message": {"role": "assistant", "content": text}}],
                "usage": {"completion_tokens": len(events)},
            }
        )

    async def _send(self, request: web.Request, stream: _Stream, offset: int) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        breaks = offset == 0 and self.faults.break_streams > 0
        if breaks:
            self.faults = _count_down(self.faults, "break_streams")
        index = 0
        skipped = 0
        while True:
            while index < len(stream.pieces):
                piece = stream.pieces[index]
                index += 1
                if skipped < offset:
                    cut = min(len(piece), offset - skipped)
                    skipped += cut
                    piece = piece[cut:]
                await response.write(piece)
                if breaks and index >= 4 and request.transport is not None:
                    request.transport.abort()
                    raise ConnectionResetError("stream broken")
            if stream.ended or stream.cancelled:
                return response
            await stream.grown.wait()

    async def _resume(self, request: web.Request) -> web.StreamResponse:
        stream = self._streams.get(request.match_info["id"])
        if stream is None:
            raise web.HTTPNotFound
        return await self._send(request, stream, int(request.query.get("offset", 0)))

    async def _cancel(self, request: web.Request) -> web.Response:
        if stream := self._streams.get(request.match_info["id"]):
            stream.cancelled = True
            stream.add(b"")
        return web.json_response({})


def _count_down(faults: EngineFaults, name: str) -> EngineFaults:
    fields = {each: getattr(faults, each) for each in EngineFaults.__dataclass_fields__}
    fields[name] -= 1
    return EngineFaults(**fields)
