"""A runner of a plain service, which works on each request for some time."""

import asyncio
import hashlib
from typing import Any

from aiohttp import web

from .processes import Record
from .store import Store

HEARTBEAT_SECONDS = 1.2
QUEUE = 24
MAX_BODY_BYTES = 1 << 23


def digest_body(body: bytes) -> str:
    """Return what a record holds of a body."""
    return hashlib.sha256(body).hexdigest()[:16]


class PlainRunner:
    """Records each request that it runs, and answers it with the digest of its body.

    :param slots: requests that it works on at once; it queues a few more and rejects the others.
    :param work_seconds: time for which it works on a request.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        zone: str,
        store: Store,
        record: Record,
        *,
        slots: int = 6,
        work_seconds: float = 0.03,
    ) -> None:
        self.name = name
        self._entry: dict[str, Any] = {
            "service": service,
            "address": address,
            "zone": zone,
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "coldRemainingMs": 0,
        }
        self._store = store
        self._record = record
        self._slots = asyncio.Semaphore(slots)
        self._limit = slots + QUEUE
        self._work_seconds = work_seconds
        self._held = 0
        self._beats = 0

    def build(self) -> web.Application:
        """Return the application that serves the calls."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.add_routes([web.get("/healthz", self._send_health)])
        app.router.add_route("*", "/{path:.*}", self._run)
        return app

    async def beat(self) -> None:
        """Write the entry in the store about every heartbeat, until cancelled."""
        while True:
            self._beats += 1
            self._store.put(f"servers/{self.name}", {**self._entry, "sequence": self._beats})
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _send_health(self, _: web.Request) -> web.Response:
        return web.Response(headers={"X-Instance-Id": self.name})

    async def _run(self, request: web.Request) -> web.Response:
        request_id = request.headers.get("X-Attempt-Id", "")
        headers = {"X-Attempt-Id": request_id}
        body = await request.read()
        if request.headers.get("X-Expect-Instance", self.name) != self.name:
            return web.Response(status=421, headers=headers | {"X-Not-Executed": "1"})
        if self._held >= self._limit:
            return web.Response(status=503, headers=headers | {"X-Not-Executed": "1"})
        self._record.write("arrived", runner=self.name, request=request_id)
        digest = digest_body(body)
        self._held += 1
        try:
            async with self._slots:
                self._record_run(request, request_id, body, digest)
                await asyncio.sleep(self._work_seconds)
        finally:
            self._held -= 1
        self._record.write("run complete", runner=self.name, request=request_id)
        headers["X-Response-Stamp"] = f"{self.name}.{request_id}"
        return web.Response(text=digest, headers=headers)

    def _record_run(self, request: web.Request, request_id: str, body: bytes, digest: str) -> None:
        self._record.write(
            "run",
            runner=self.name,
            request=request_id,
            method=request.method,
            target=request.raw_path,
            encoding=request.headers.get("Content-Encoding", ""),
            size=len(body),
            digest=digest,
        )
