"""Stand-in of a runner of a plain service."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from standins_2.http import Request, Response, serve_connection
from standins_2.record import Record
from standins_2.store import Store

HEARTBEAT_SECONDS = 1.2


@dataclass
class Run:
    """A request that a runner began to work on."""

    request_id: str
    at: float
    headers: dict[str, str]
    body: bytes


@dataclass
class Runner:
    """Runs each request for a while, and answers with its body.

    :param work_seconds: time that it works on a request.
    """

    name: str
    service: str
    zone: str
    store: Store
    record: Record
    slots: int = 8
    work_seconds: float = 0.02
    state: str = "ready"
    runs: list[Run] = field(default_factory=list)
    answer: Callable[[Request], Response] | None = None
    address: str = ""
    sequence: int = 0
    _running: int = 0
    _server: asyncio.Server | None = None

    async def listen(self, host: str) -> None:
        """Listen and register in the store."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = f"{host}:{self._server.sockets[0].getsockname()[1]}"
        self.beat()

    def beat(self) -> None:
        """Write the entry in the store."""
        self.sequence += 1
        fields = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
        }
        self.store.put_json(f"servers/{self.name}", fields)

    async def run_heartbeat(self) -> None:
        """Write the entry at each heartbeat until cancelled."""
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.beat()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await serve_connection(reader, writer, self.handle)

    async def handle(self, request: Request) -> Response | None:
        """Answer one request."""
        if request.path == "/healthz":
            return Response(200, {"X-Instance-Id": self.name})
        request_id = request.headers.get("x-attempt-id")
        if request_id is None:
            return Response(400, {"X-Not-Executed": "1"})
        echo = {"X-Attempt-Id": request_id}
        if request.headers.get("x-expect-instance", self.name) != self.name:
            return Response(421, {**echo, "X-Instance-Id": self.name})
        if self._running >= self.slots:
            return Response(503, {**echo, "X-Not-Executed": "1"})
        return await self._run(request, request_id, echo)

    async def _run(self, request: Request, request_id: str, echo: dict[str, str]) -> Response:
        at = self.record.write("run", runner=self.name, request=request_id)
        self.runs.append(Run(request_id, at, request.headers, request.body))
        self._running += 1
        try:
            await asyncio.sleep(self.work_seconds)
        finally:
            self._running -= 1
        answer = self.answer(request) if self.answer else Response(200, {}, b"done " + request.body)
        stamp = {"X-Response-Stamp": f"{self.name}.{len(self.runs)}"}
        return Response(answer.status, {**echo, **stamp, **answer.headers}, answer.body)

    def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
