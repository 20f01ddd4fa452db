"""An origin of weights behind one limited link: plain HTTP with ranges and ETags."""

import asyncio
import random
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from wrenloft_core import Manifest, digest_bytes
from wrenloft_standins._links import Link

_PIECE = 65536


@dataclass(frozen=True, slots=True)
class OriginFaults:
    """What the origin does wrong.

    :param corrupt: part of the answers with a wrong byte.
    :param stall: part of the answers that stop half-way and stay open.
    :param down: every call fails.
    :param delay: seconds before each answer.
    """

    corrupt: float = 0.0
    stall: float = 0.0
    down: bool = False
    delay: float = 0.0


class Origin:
    """Files in memory, sent over a link of ``rate`` bytes a second."""

    def __init__(self, rate: float, seed: int = 0) -> None:
        self.faults = OriginFaults()
        self._link = Link(rate)
        self._random = random.Random(seed)
        self._files: dict[str, bytes] = {}
        self._manifests: dict[str, bytes] = {}
        self._sent = 0
        self._calls = 0

    def publish(self, path: str, data: bytes, manifest: Manifest) -> None:
        """Offer a file and its manifest."""
        self._files[path] = data
        self._manifests[manifest.version] = manifest.encode()

    def stats(self) -> dict[str, Any]:
        """Return the bytes of weights sent and the calls answered."""
        return {"bytes_sent": self._sent, "calls": self._calls}

    def routes(self) -> list[web.RouteDef]:
        """Return the manifest and the file routes."""
        return [
            web.get("/manifests/{version}", self._send_manifest),
            web.get("/weights/{path:.+}", self._send_range),
        ]

    async def _misbehave(self) -> None:
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        if self.faults.down:
            raise web.HTTPServiceUnavailable(text="origin down")

    async def _send_manifest(self, request: web.Request) -> web.Response:
        await self._misbehave()
        manifest = self._manifests.get(request.match_info["version"])
        if manifest is None:
            raise web.HTTPNotFound
        return web.Response(body=manifest, content_type="application/json")

    async def _send_range(self, request: web.Request) -> web.StreamResponse:
        self._calls += 1
        await self._misbehave()
        data = self._files.get(request.match_info["path"])
        if data is None:
            raise web.HTTPNotFound
        wanted = request.http_range
        start = wanted.start or 0
        stop = len(data) if wanted.stop is None else min(wanted.stop, len(data))
        part = memoryview(data)[start:stop]
        response = web.StreamResponse(
            status=206,
            headers={
                "Content-Length": str(len(part)),
                "Content-Range": f"bytes {start}-{stop - 1}/{len(data)}",
                "ETag": f'"{len(data)}-{digest_bytes(data[:64])[:16]}"',
            },
        )
        await response.prepare(request)
        await self._send(response, bytes(part))
        return response

    async def _send(self, response: web.StreamResponse, part: bytes) -> None:
        if part and self._random.random() < self.faults.corrupt:
            part = bytes([part[0] ^ 0xFF]) + part[1:]
        stalls = self._random.random() < self.faults.stall
        for at in range(0, len(part), _PIECE):
            piece = part[at : at + _PIECE]
            if stalls and at >= len(part) // 2:
                await asyncio.Event().wait()
            await self._link.carry(len(piece))
            self._sent += len(piece)
            await response.write(piece)
