"""What this agent gives to other agents."""

import asyncio
from collections.abc import AsyncIterator

from aiohttp import web

from wrenloft_agent._store import ChunkStore
from wrenloft_core import ChunkDigest, Pacer, VersionDigest
from wrenloft_messages import messages

_PIECE = 65536
_UPLOADS = 4
_UPLOAD_QUEUE = 8
_POSSESSION_INTERVAL = 0.1


class ChunkRoutes:
    """Serves chunks and manifests, paced, with a bounded number of uploads."""

    def __init__(self, store: ChunkStore, pacer: Pacer) -> None:
        self._store = store
        self._pacer = pacer
        self._slots = asyncio.Semaphore(_UPLOADS)
        self._asked = 0

    def routes(self) -> list[web.RouteDef]:
        """Return the routes for other agents."""
        return [
            web.get("/chunks/{digest}", self._send_chunk),
            web.get("/manifests/{version}", self._send_manifest),
        ]

    async def _send_manifest(self, request: web.Request) -> web.Response:
        manifest = self._store.manifest(VersionDigest(request.match_info["version"]))
        if manifest is None:
            raise web.HTTPNotFound
        return web.Response(body=manifest.encode(), content_type="application/json")

    async def _send_chunk(self, request: web.Request) -> web.StreamResponse:
        data = self._store.get(ChunkDigest(request.match_info["digest"]))
        if data is None:
            raise web.HTTPNotFound
        if self._asked >= _UPLOADS + _UPLOAD_QUEUE:
            raise web.HTTPTooManyRequests
        self._asked += 1
        try:
            async with self._slots:
                return await self._send(request, data)
        finally:
            self._asked -= 1

    async def _send(self, request: web.Request, data: bytes) -> web.StreamResponse:
        response = web.StreamResponse(headers={"Content-Length": str(len(data))})
        await response.prepare(request)
        view = memoryview(data)
        for at in range(0, len(data), _PIECE):
            piece = view[at : at + _PIECE]
            await self._pacer.acquire(len(piece))
            await response.write(piece)
        return response


async def stream_possession(
    store: ChunkStore, version: VersionDigest
) -> AsyncIterator[messages.PossessionUpdate]:
    """Yield the chunks held, then those added: at once after a rest, else every 100 ms.

    A new chunk is told at once so that it doubles early; while many arrive they are told
    together, in few messages.
    """
    while (manifest := store.manifest(version)) is None:
        await store.changed.wait()
    numbers: dict[ChunkDigest, list[int]] = {}
    for number, digest in enumerate(manifest.digests):
        numbers.setdefault(digest, []).append(number)
    _, position = store.added_since(0)
    held = store.held(version)
    yield messages.PossessionUpdate(total_chunks=len(manifest.digests), added=held)
    while True:
        changed = store.changed
        digests, position = store.added_since(position)
        added = [number for digest in digests for number in numbers.get(digest, [])]
        if added:
            yield messages.PossessionUpdate(added=added)
            await asyncio.sleep(_POSSESSION_INTERVAL)
        else:
            await changed.wait()
