"""The platform's metadata store: keys, leases, watches, conditions, over HTTP/1.1."""

import asyncio
import base64
import json
import time
from collections import deque
from typing import Any

from aiohttp import web

PAGE_ITEMS = 500
HISTORY_SECONDS = 20.0


class Store:
    """Keys in memory. Each call is answered at once and linearizably."""

    def __init__(self) -> None:
        self._items: dict[str, dict[str, Any]] = {}
        self._history: deque[tuple[float, dict[str, Any]]] = deque()
        self._forgotten = 0
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 100
        self.revision = 1
        self._changed = asyncio.Event()

    def put(self, key: str, value: Any, lease: int = 0) -> int:
        """Write a JSON value, as the operator and the runners do."""
        return self._put(key, json.dumps(value).encode(), lease)

    def remove(self, key: str) -> None:
        """Remove a key if it exists."""
        if key not in self._items:
            return
        del self._items[key]
        self.revision += 1
        self._record({"key": key, "revision": self.revision, "tombstone": True})

    def _put(self, key: str, value: bytes, lease: int) -> int:
        self.revision += 1
        known = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self._items[key] = item
        self._record(item)
        return self.revision

    def _record(self, event: dict[str, Any]) -> None:
        now = time.monotonic()
        self._history.append((now, event))
        while self._history and now - self._history[0][0] > HISTORY_SECONDS:
            self._forgotten = self._history.popleft()[1]["revision"]
        self._changed.set()
        self._changed = asyncio.Event()

    async def expire_leases(self) -> None:
        """End leases whose time is up, until cancelled."""
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for lease in [each for each, (end, _) in self._leases.items() if end < now]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        for key in [key for key, item in self._items.items() if item["lease"] == lease]:
            self.remove(key)

    def build(self) -> web.Application:
        """Return the application that serves the calls."""
        app = web.Application()
        app.add_routes(
            [
                web.get("/kv-key", self._read),
                web.get("/kv-range", self._list),
                web.get("/kv-watch", self._watch),
                web.post("/kv-txn", self._write),
                web.post("/kv-lease", self._grant),
                web.post("/kv-keep/{id}", self._keep),
                web.delete("/kv-lease-end/{id}", self._end),
            ]
        )
        return app

    async def _read(self, request: web.Request) -> web.Response:
        item = self._items.get(request.query["key"])
        if item is None:
            return web.json_response({"storeRevision": self.revision}, status=404)
        return web.json_response({**item, "storeRevision": self.revision})

    async def _list(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self._items if key.startswith(prefix) and key > after)
        page = [self._items[key] for key in keys[:PAGE_ITEMS]]
        truncated = len(keys) > PAGE_ITEMS
        return web.json_response(
            {"items": page, "truncated": truncated, "storeRevision": self.revision}
        )

    async def _watch(self, request: web.Request) -> web.Response:
        prefix, after = request.query["prefix"], int(request.query["after"])
        if after < self._forgotten:
            return web.json_response({}, status=410)
        end = time.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            changed = self._changed
            events = [
                each
                for _, each in self._history
                if each["revision"] > after and each["key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return web.json_response({"events": events, "storeRevision": self.revision})
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                continue

    async def _write(self, request: web.Request) -> web.Response:
        body = await request.json()
        expected = body.get("expected", [])
        if any(
            self._items.get(row["key"], {}).get("revision", 0) != row["revision"]
            for row in expected
        ):
            current = [self._items[row["key"]] for row in expected if row["key"] in self._items]
            return web.json_response({"items": current}, status=412)
        puts = body.get("puts", [])
        if any(each["lease"] and each["lease"] not in self._leases for each in puts):
            return web.json_response({}, status=404)
        for key in body.get("remove", []):
            self.remove(key)
        for each in puts:
            self._put(each["key"], base64.b64decode(each["value"]), each["lease"])
        return web.json_response({"revision": self.revision})

    async def _grant(self, request: web.Request) -> web.Response:
        seconds = (await request.json())["ttlMs"] / 1000
        self._next_lease += 1
        self._leases[self._next_lease] = time.monotonic() + seconds, seconds
        return web.json_response({"lease": self._next_lease, "ttlMs": round(seconds * 1000)})

    async def _keep(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["id"])
        if lease not in self._leases:
            return web.json_response({}, status=404)
        seconds = self._leases[lease][1]
        self._leases[lease] = time.monotonic() + seconds, seconds
        return web.json_response({"ttlMs": round(seconds * 1000)})

    async def _end(self, request: web.Request) -> web.Response:
        lease = int(request.match_info["id"])
        if lease in self._leases:
            self._end_lease(lease)
        return web.json_response({})
