"""A model runner: streams, its report, staged pieces and orders."""

import asyncio
import json
import time
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web

from .processes import Record
from .store import Store
from .weights import LAYERS, MODEL, build_chunk, list_chunks

HEARTBEAT_SECONDS = 1.2
LOAD_SECONDS = 0.3
SLOTS = 16
STAMP = "X-Response-Stamp"


@dataclass
class Weights:
    """Layers of one version in service.

    :param flawed: pieces that were missing, spoilt or of another version when they were taken.
    """

    version: int
    start: int
    stop: int
    flawed: list[int] = field(default_factory=list)


@dataclass
class Order:
    """An order in progress."""

    weights: Weights | None
    alongside: bool


class Runner:
    """One runner, beside which an agent runs.

    :param events: events of each stream.
    :param gap: seconds between two events.
    """

    def __init__(
        self, name: str, service: str, address: str, zone: str, store: Store, record: Record
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.zone = zone
        self.events = 28
        self.gap = 0.2
        self.weights: Weights | None = Weights(1, 0, LAYERS)
        self.staged: dict[int, bytes] = {n: build_chunk(1, n) for n in list_chunks(0, LAYERS)}
        self.spoilt_at: dict[int, float] = {}
        self.order: Order | None = None
        self.sequence = 0
        self.refused_version = 0
        self.ends: dict[str, float] = {}
        self._beats = 0
        self._store = store
        self._record = record
        self._tasks: set[asyncio.Task[None]] = set()

    def build(self) -> web.Application:
        """Return the application that serves the calls."""
        app = web.Application()
        app.add_routes(
            [
                web.get("/report", self._send_report),
                web.get("/healthz", self._send_health),
                web.get("/stage-get/{model}", self._read_staged),
                web.put("/stage-put/{model}", self._stage),
                web.post("/order", self._accept_order),
                web.post("/{path:.*}", self._run),
            ]
        )
        return app

    async def beat(self) -> None:
        """Write the entry in the store about every heartbeat, until cancelled."""
        while True:
            self._beats += 1
            self._store.put(
                f"servers/{self.name}",
                {
                    "service": self.service,
                    "address": self.address,
                    "zone": self.zone,
                    "version": "v1",
                    "slots": SLOTS,
                    "state": "ready",
                    "coldRemainingMs": 0,
                    "sequence": self._beats,
                    **self._describe(),
                },
            )
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def spoil(self, chunks: list[int]) -> None:
        """Let staged pieces turn bad."""
        now = time.monotonic()
        for chunk in chunks:
            data = self.staged[chunk]
            self.staged[chunk] = bytes([data[0] ^ 0xFF]) + data[1:]
            self.spoilt_at[chunk] = now

    def _describe(self) -> dict[str, Any]:
        held = self.weights
        if held is None:
            return {"stage": "both", "models": [], "layers": None}
        model = {"name": MODEL, "version": held.version, "adapters": []}
        layers = {"from": held.start, "target": held.stop, "version": held.version}
        return {"stage": "both", "models": [model], "layers": layers}

    async def _send_report(self, _: web.Request) -> web.Response:
        fields = {
            **self._describe(),
            "busy": self.order is not None,
            "sequence": self.sequence,
            "waiting": 0,
            "running": len(self.ends),
            "kvUsed": 0,
            "kvTotal": 1180000 * LAYERS,
            "handles": 0,
            "pace": 1.0,
        }
        return web.json_response(fields)

    async def _send_health(self, _: web.Request) -> web.Response:
        return web.Response(headers={"X-Instance-Id": self.name})

    async def _read_staged(self, request: web.Request) -> web.Response:
        if "quantity" not in request.query:
            return web.json_response({"held": sorted(self.staged)})
        data = self.staged.get(int(request.query["quantity"]))
        return web.Response(status=404) if data is None else web.Response(body=data)

    async def _stage(self, request: web.Request) -> web.Response:
        chunk = int(request.query["quantity"])
        self.staged[chunk] = await request.read()
        self.spoilt_at.pop(chunk, None)
        return web.Response()

    async def _accept_order(self, request: web.Request) -> web.Response:
        """Accept an order unless another one is in progress.

        Weights are taken as they are staged at this moment.
        """
        fields = json.loads(await request.read())
        start, stop = fields.get("from", 0), fields.get("target", LAYERS)
        version = fields["version"]
        status = self._check_order(fields, version, start, stop)
        self._record.write(
            "order",
            runner=self.name,
            version=version,
            layers=[start, stop],
            running=len(self.ends),
            status=status,
        )
        if status == 409 and start < stop:
            self.refused_version = version
        if status != 202:
            return web.Response(status=status)
        self.sequence += 1
        held = self.weights
        alongside = held is not None and held.version == version and start < stop
        taken = self._take(version, start, stop) if start < stop else None
        self.order = Order(taken, alongside)
        task = asyncio.create_task(self._carry_out(self.order))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return web.Response(status=202)

    def _check_order(self, fields: dict[str, Any], version: int, start: int, stop: int) -> int:
        if fields.get("operation") != "start" or fields.get("model") != MODEL:
            return 400
        if fields.get("expected", self.sequence) != self.sequence or self.order is not None:
            return 409
        held = self.weights
        if start == stop:
            return 200 if held is None else 202
        if held is not None and held.version == version:
            return 200 if held.start <= start and stop <= held.stop else 202
        return 202

    def _take(self, version: int, start: int, stop: int) -> Weights:
        needed = list_chunks(start, stop)
        flawed = [each for each in needed if self.staged.get(each) != build_chunk(version, each)]
        now = time.monotonic()
        ages = {each: round(now - self.spoilt_at.get(each, 0.0), 2) for each in flawed}
        if flawed:
            self._record.write(
                "flawed pieces taken", runner=self.name, version=version, spoilt_s_ago=ages
            )
        # A piece that turned bad in the last three seconds is excused.
        return Weights(version, start, stop, [each for each in flawed if ages[each] > 3.0])

    async def _carry_out(self, order: Order) -> None:
        while self.ends and not order.alongside:
            await asyncio.sleep(0.02)
        if order.weights is not None:
            share = (order.weights.stop - order.weights.start) / LAYERS
            await asyncio.sleep(LOAD_SECONDS * share)
            held = self.weights
            if order.alongside and held is not None:
                order.weights.start = min(order.weights.start, held.start)
                order.weights.stop = max(order.weights.stop, held.stop)
                order.weights.flawed += held.flawed
        self.weights = order.weights
        self.order = None
        self._record.write("order complete", runner=self.name, **self._describe())

    def _reject(self, request: web.Request) -> web.Response | None:
        headers = {"X-Attempt-Id": request.headers.get("X-Attempt-Id", ""), "X-Not-Executed": "1"}
        held, order = self.weights, self.order
        if request.headers.get("X-Expect-Instance", self.name) != self.name:
            return web.Response(status=421, headers=headers)
        if held is None or (held.start, held.stop) != (0, LAYERS):
            return web.Response(status=421, headers=headers)
        if request.headers.get("X-Expect-Version", str(held.version)) != str(held.version):
            return web.Response(status=421, headers=headers)
        if (order is not None and not order.alongside) or len(self.ends) >= SLOTS:
            return web.Response(status=503, headers=headers)
        return None

    async def _run(self, request: web.Request) -> web.StreamResponse:
        """Run a request: a stream of events, each with its id."""
        await request.read()
        rejected = self._reject(request)
        if rejected is not None:
            return rejected
        assert self.weights is not None
        request_id = request.headers["X-Attempt-Id"]
        first = int(request.headers.get("Last-Event-Id", "-1")) + 1
        left = int(request.headers["X-Deadline-Ms"]) / 1000
        length = (self.events - first) * self.gap
        self.ends[request_id] = time.monotonic() + min(length, left)
        self._record.write(
            "run",
            runner=self.name,
            request=request_id,
            version=self.weights.version,
            flawed=self.weights.flawed,
            first=first,
        )
        try:
            async with asyncio.timeout(left):
                return await self._stream(request, request_id, first)
        finally:
            del self.ends[request_id]

    async def _stream(
        self, request: web.Request, request_id: str, first: int
    ) -> web.StreamResponse:
        assert self.weights is not None
        response = web.StreamResponse(
            headers={
                "Content-Type": "text/event-stream",
                "X-Attempt-Id": request_id,
                STAMP: f"{self.name}.{request_id}",
                "X-Weight-Versions": str(self.weights.version),
            }
        )
        await response.prepare(request)
        for number in range(first, self.events):
            await asyncio.sleep(self.gap)
            await response.write(f"id: {number}\ndata: {self.name}\n\n".encode())
        await response.write_eof()
        return response
