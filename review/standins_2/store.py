"""Stand-in of the platform's metadata store."""

import asyncio
import base64
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from standins_2.http import Request, Response, encode_json, serve_connection

PAGE_ITEMS = 500


@dataclass
class Lease:
    """A lease and when it ends, on the monotonic clock."""

    ttl_ms: int
    ends_at: float


@dataclass
class Store:
    """The store's calls over a dictionary, with one listener for each machine.

    A listener of its own for each machine lets the store turn some machines away and serve the
    others.

    :ivar turned_away: addresses of the listeners at which every call gets 503 and does nothing.
    """

    items: dict[str, dict[str, Any]] = field(default_factory=dict)
    log: list[dict[str, Any]] = field(default_factory=list)
    leases: dict[int, Lease] = field(default_factory=dict)
    revision: int = 1
    turned_away: set[str] = field(default_factory=set)
    _servers: list[asyncio.Server] = field(default_factory=list)
    _changed: asyncio.Event = field(default_factory=asyncio.Event)

    async def listen(self, host: str) -> str:
        """Open a listener and return its address."""
        name = ""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            async def handle(request: Request) -> Response | None:
                return self._handle(name, request) or await self._handle_watch(request)

            await serve_connection(reader, writer, handle)

        server = await asyncio.start_server(serve, host, 0)
        self._servers.append(server)
        name = f"{host}:{server.sockets[0].getsockname()[1]}"
        return name

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write one key."""
        self.revision += 1
        known = self.items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": known["created"] if known else self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._append(item)
        return self.revision

    def put_json(self, key: str, fields: Any) -> int:
        """Write one key as JSON, as operators and runners do."""
        return self.put(key, json.dumps(fields).encode())

    def remove(self, key: str) -> None:
        """Remove one key if it exists."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append({"key": key, "revision": self.revision, "tombstone": True})

    def _append(self, event: dict[str, Any]) -> None:
        self.log.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = time.monotonic()
        for number in [number for number, each in self.leases.items() if each.ends_at <= now]:
            self._end_lease(number)

    def _end_lease(self, number: int) -> None:
        del self.leases[number]
        for key in [key for key, item in self.items.items() if item["lease"] == number]:
            self.remove(key)

    def _handle(self, name: str, request: Request) -> Response | None:
        """Answer a call; ``None`` for a watch."""
        if name in self.turned_away:
            return Response(503)
        self._expire()
        calls: dict[tuple[str, str], Callable[[Request], Response]] = {
            ("GET", "/kv-key"): self._read,
            ("GET", "/kv-range"): self._list,
            ("POST", "/kv-txn"): self._write,
            ("POST", "/kv-lease"): self._grant,
        }
        call = calls.get((request.method, request.path))
        if call is not None:
            return call(request)
        if request.path == "/kv-watch":
            return None
        kind, _, number = request.path.strip("/").partition("/")
        if kind not in ("kv-keep", "kv-lease-end") or not number.isdecimal():
            return Response(404)
        lease = self.leases.get(int(number))
        if lease is None:
            return encode_json({}, 404)
        if kind == "kv-lease-end":
            self._end_lease(int(number))
            return encode_json({})
        lease.ends_at = time.monotonic() + lease.ttl_ms / 1000
        return encode_json({"ttlMs": lease.ttl_ms})

    def _read(self, request: Request) -> Response:
        item = self.items.get(request.query["key"])
        if item is None:
            return encode_json({}, 404)
        return encode_json({**item, "storeRevision": self.revision})

    def _list(self, request: Request) -> Response:
        prefix, after = request.query["prefix"], request.query.get("after", "")
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        return encode_json(
            {
                "items": [self.items[key] for key in keys[:PAGE_ITEMS]],
                "truncated": len(keys) > PAGE_ITEMS,
                "storeRevision": self.revision,
            }
        )

    def _write(self, request: Request) -> Response:
        body = request.read_json()
        for row in body.get("expected", []):
            if self.items.get(row["key"], {}).get("revision", 0) != row["revision"]:
                keys = [each["key"] for each in body["expected"]]
                return encode_json({"items": [self.items[k] for k in keys if k in self.items]}, 412)
        puts = body.get("puts", [])
        if any(each.get("lease") and each["lease"] not in self.leases for each in puts):
            return encode_json({}, 404)
        names = [each["key"] for each in puts] + body.get("remove", [])
        if any(name.startswith(("op/", "servers/")) for name in names):
            return encode_json({}, 403)
        for key in body.get("remove", []):
            self.remove(key)
        for each in puts:
            self.put(each["key"], base64.b64decode(each["value"]), each.get("lease", 0))
        return encode_json({"revision": self.revision})

    def _grant(self, request: Request) -> Response:
        ttl_ms = int(request.read_json()["ttlMs"])
        number = 1000 + self.revision * 100 + len(self.leases)
        self.leases[number] = Lease(ttl_ms, time.monotonic() + ttl_ms / 1000)
        return encode_json({"lease": number, "ttlMs": ttl_ms})

    async def _handle_watch(self, request: Request) -> Response:
        prefix, after = request.query["prefix"], int(request.query["after"])
        ends_at = time.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            changed = self._changed
            events = [
                each
                for each in self.log
                if each["revision"] > after and each["key"].startswith(prefix)
            ]
            left = ends_at - time.monotonic()
            if events or left <= 0:
                return encode_json({"events": events, "storeRevision": self.revision})
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue

    def close(self) -> None:
        """Close all listeners."""
        for each in self._servers:
            each.close()
