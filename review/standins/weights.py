"""The origin of weights, and the pieces of each version."""

import asyncio
import hashlib
import random
import time
from functools import cache

from aiohttp import web

MODEL = "m1"
CHUNKS = 96
CHUNK_BYTES = 24576
LAYERS = 16
WRITE_BYTES = 4096


@cache
def build_chunk(version: int, number: int) -> bytes:
    """Return one piece of one version."""
    return random.Random(version * 1000 + number).randbytes(CHUNK_BYTES)


@cache
def digest_chunk(version: int, number: int) -> str:
    """Return the SHA-256 of one piece."""
    return hashlib.sha256(build_chunk(version, number)).hexdigest()


def list_chunks(start: int, stop: int) -> range:
    """Return the pieces that layers need."""
    return range(start * CHUNKS // LAYERS, -(-stop * CHUNKS // LAYERS))


class Link:
    """A link that carries one write after the other."""

    def __init__(self, bits_per_second: float) -> None:
        self._rate = bits_per_second / 8
        self._free_at = 0.0

    async def carry(self, size: int) -> None:
        """Wait until some bytes have passed."""
        now = time.monotonic()
        self._free_at = max(now, self._free_at) + size / self._rate
        await asyncio.sleep(self._free_at - now)


class Origin:
    """Sends manifests and pieces over its link.

    :param rate: bits a second.
    """

    def __init__(self, rate: float) -> None:
        self._link = Link(rate)
        self.newest = 1

    def build(self) -> web.Application:
        """Return the application that serves the calls."""
        app = web.Application()
        app.add_routes(
            [
                web.get("/manifest/{model}", self._send_manifest),
                web.get("/piece/{model}", self._send_piece),
            ]
        )
        return app

    def _find_version(self, request: web.Request) -> int:
        version = int(request.query.get("version", self.newest))
        if version <= self.newest - 2:
            raise web.HTTPGone
        if request.match_info["model"] != MODEL or version > self.newest:
            raise web.HTTPNotFound
        return version

    async def _send_manifest(self, request: web.Request) -> web.Response:
        version = self._find_version(request)
        await self._link.carry(CHUNKS * 67)
        return web.json_response(
            {
                "model": MODEL,
                "version": version,
                "chunkBytes": CHUNK_BYTES,
                "layers": LAYERS,
                "digests": [digest_chunk(version, each) for each in range(CHUNKS)],
            }
        )

    async def _send_piece(self, request: web.Request) -> web.StreamResponse:
        data = build_chunk(self._find_version(request), int(request.query["quantity"]))
        response = web.StreamResponse()
        response.content_length = len(data)
        await response.prepare(request)
        for at in range(0, len(data), WRITE_BYTES):
            part = data[at : at + WRITE_BYTES]
            await self._link.carry(len(part))
            await response.write(part)
        await response.write_eof()
        return response
