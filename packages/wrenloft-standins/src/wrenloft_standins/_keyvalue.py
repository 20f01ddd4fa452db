"""A small key-value service that speaks etcd's v3 JSON API over HTTP."""

import asyncio
import base64
import json
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from aiohttp import web

_LEASE_TICK = 0.05


@dataclass(frozen=True, slots=True)
class KeyValueFaults:
    """What the service does wrong.

    :param delay: seconds added to each call.
    :param outage: every call fails, and open watches end.
    :param lose_replies: part of the writes that take effect but whose reply is lost.
    :param lose_next: number of writes whose reply is lost.
    """

    delay: float = 0.0
    outage: bool = False
    lose_replies: float = 0.0
    lose_next: int = 0


@dataclass(slots=True)
class _Entry:
    value: str
    create_revision: int
    mod_revision: int
    version: int
    lease: int


@dataclass(slots=True)
class _Event:
    revision: int
    kind: str
    key: bytes
    value: str


class KeyValue:
    """Keys, leases and watches, in memory."""

    def __init__(self, seed: int = 0) -> None:
        self.faults = KeyValueFaults()
        self._random = random.Random(seed)
        self._revision = 1
        self._entries: dict[bytes, _Entry] = {}
        self._events: list[_Event] = []
        self._changed = asyncio.Condition()
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 1000
        self._counts = {"reads": 0, "writes": 0, "watches": 0, "bytes_in": 0}

    def stats(self) -> dict[str, Any]:
        """Return the calls counted so far and the number of keys."""
        return {**self._counts, "keys": len(self._entries), "revision": self._revision}

    def routes(self) -> list[web.RouteDef]:
        """Return the subset of the published routes that wrenloft uses."""
        return [
            web.post("/v3/kv/range", self._handle(self._range, "reads")),
            web.post("/v3/kv/txn", self._handle(self._txn, "writes")),
            web.post("/v3/lease/grant", self._handle(self._grant, "writes")),
            web.post("/v3/lease/keepalive", self._handle(self._keepalive, "writes")),
            web.post("/v3/lease/revoke", self._handle(self._revoke, "writes")),
            web.post("/v3/watch", self._watch),
        ]

    def _handle(self, act: Callable[[dict[str, Any]], dict[str, Any]], kind: str) -> Any:
        async def handle(request: web.Request) -> web.Response:
            body = await request.read()
            fields = json.loads(body)
            self._counts["reads" if _only_reads(fields) else kind] += 1
            self._counts["bytes_in"] += len(body)
            await self._misbehave()
            self._expire_leases()
            answer = act(fields)
            async with self._changed:
                self._changed.notify_all()
            if kind == "writes" and self._loses_reply():
                self._drop(request)
            return web.json_response({"header": {"revision": str(self._revision)}, **answer})

        return handle

    async def _misbehave(self) -> None:
        if self.faults.delay:
            await asyncio.sleep(self.faults.delay)
        if self.faults.outage:
            raise web.HTTPServiceUnavailable(text="outage")

    def _loses_reply(self) -> bool:
        if self.faults.lose_next > 0:
            self.faults = replace(self.faults, lose_next=self.faults.lose_next - 1)
            return True
        return self._random.random() < self.faults.lose_replies

    @staticmethod
    def _drop(request: web.Request) -> None:
        if request.transport is not None:
            request.transport.abort()
        raise ConnectionResetError("reply lost")

    def _expire_leases(self) -> None:
        now = asyncio.get_running_loop().time()
        for lease, (_, until) in list(self._leases.items()):
            if until <= now:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self._leases.pop(lease, None)
        for key in [key for key, entry in self._entries.items() if entry.lease == lease]:
            self._delete(key)

    def _put(self, key: bytes, value: str, lease: int) -> None:
        self._revision += 1
        old = self._entries.get(key)
        self._entries[key] = _Entry(
            value=value,
            create_revision=old.create_revision if old else self._revision,
            mod_revision=self._revision,
            version=old.version + 1 if old else 1,
            lease=lease,
        )
        self._events.append(_Event(self._revision, "PUT", key, value))

    def _delete(self, key: bytes) -> None:
        if self._entries.pop(key, None):
            self._revision += 1
            self._events.append(_Event(self._revision, "DELETE", key, ""))

    def _keys(self, fields: dict[str, Any]) -> list[bytes]:
        key = base64.b64decode(fields["key"])
        end = base64.b64decode(fields.get("range_end", ""))
        if not end:
            return [key] if key in self._entries else []
        return sorted(each for each in self._entries if key <= each < end)

    def _range(self, fields: dict[str, Any]) -> dict[str, Any]:
        return {"kvs": [self._show(key) for key in self._keys(fields)]}

    def _show(self, key: bytes) -> dict[str, Any]:
        entry = self._entries[key]
        return {
            "key": base64.b64encode(key).decode(),
            "value": entry.value,
            "create_revision": str(entry.create_revision),
            "mod_revision": str(entry.mod_revision),
            "version": str(entry.version),
        }

    def _txn(self, fields: dict[str, Any]) -> dict[str, Any]:
        succeeded = all(self._compare(each) for each in fields.get("compare", []))
        operations = fields.get("success" if succeeded else "failure", [])
        return {
            "succeeded": succeeded,
            "responses": [self._operate(each) for each in operations],
        }

    def _compare(self, fields: dict[str, Any]) -> bool:
        entry = self._entries.get(base64.b64decode(fields["key"]))
        target = fields["target"].lower() + "_revision"
        actual = getattr(entry, target) if entry else 0
        return bool(actual == int(fields[target]))

    def _operate(self, fields: dict[str, Any]) -> dict[str, Any]:
        if put := fields.get("request_put"):
            self._put(base64.b64decode(put["key"]), put["value"], int(put.get("lease", 0)))
            return {"response_put": {}}
        if delete := fields.get("request_delete_range"):
            for key in self._keys(delete):
                self._delete(key)
            return {"response_delete_range": {}}
        return {"response_range": self._range(fields["request_range"])}

    def _grant(self, fields: dict[str, Any]) -> dict[str, Any]:
        self._next_lease += 1
        seconds = float(fields["TTL"])
        self._leases[self._next_lease] = (seconds, asyncio.get_running_loop().time() + seconds)
        return {"ID": str(self._next_lease), "TTL": str(fields["TTL"])}

    def _keepalive(self, fields: dict[str, Any]) -> dict[str, Any]:
        lease = int(fields["ID"])
        if lease not in self._leases:
            return {"result": {"ID": str(lease), "TTL": "0"}}
        seconds = self._leases[lease][0]
        self._leases[lease] = (seconds, asyncio.get_running_loop().time() + seconds)
        return {"result": {"ID": str(lease), "TTL": str(int(seconds))}}

    def _revoke(self, fields: dict[str, Any]) -> dict[str, Any]:
        self._end_lease(int(fields["ID"]))
        return {}

    async def _watch(self, request: web.Request) -> web.StreamResponse:
        fields = (await request.json())["create_request"]
        self._counts["watches"] += 1
        await self._misbehave()
        start = base64.b64decode(fields["key"])
        end = base64.b64decode(fields.get("range_end", "")) or start + b"\0"
        seen = int(fields.get("start_revision", self._revision + 1)) - 1
        response = web.StreamResponse()
        await response.prepare(request)
        await response.write(b'{"result":{"created":true}}\n')
        while not self.faults.outage:
            self._expire_leases()
            events = [each for each in self._events if each.revision > seen]
            if events:
                seen = events[-1].revision
            shown = [self._show_event(each) for each in events if start <= each.key < end]
            if shown:
                await asyncio.sleep(self.faults.delay)
                line = json.dumps({"result": {"events": shown}})
                await response.write(line.encode() + b"\n")
            await self._wait_for_change()
        return response

    async def _wait_for_change(self) -> None:
        try:
            async with asyncio.timeout(_LEASE_TICK), self._changed:
                await self._changed.wait()
        except TimeoutError:
            pass

    @staticmethod
    def _show_event(event: _Event) -> dict[str, Any]:
        return {
            "type": event.kind,
            "kv": {
                "key": base64.b64encode(event.key).decode(),
                "value": event.value,
                "mod_revision": str(event.revision),
            },
        }


def _only_reads(fields: dict[str, Any]) -> bool:
    """Tell whether a transaction writes nothing."""
    operations = fields.get("success", [])
    return bool(operations) and all("request_range" in each for each in operations)
