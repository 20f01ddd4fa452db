"""A narrow client of the key-value service: etcd's v3 JSON API over HTTP."""

import asyncio
import base64
import json
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

from wrenloft_core import PlatformUnavailableError

_MAX_WATCH_LINE = 8 << 20


@dataclass(frozen=True, slots=True)
class Entry:
    """A key with its value and the revision of its last change."""

    key: str
    value: bytes
    mod_revision: int
    create_revision: int


@dataclass(frozen=True, slots=True)
class Unchanged:
    """Condition: the key was last changed at ``mod_revision``."""

    key: str
    mod_revision: int


@dataclass(frozen=True, slots=True)
class Absent:
    """Condition: the key does not exist."""

    key: str


@dataclass(frozen=True, slots=True)
class Put:
    """A write, optionally bound to a lease."""

    key: str
    value: bytes
    lease: int = 0


Condition = Unchanged | Absent


class KeyValueClient:
    """Calls to the key-value service.

    Every method raises :class:`PlatformUnavailableError` if no answer came. A write whose reply
    was lost may have taken effect, so callers settle it by reading back what they wrote.

    :param addresses: tried in turn after a failure.
    :param timeout: seconds for one call.
    """

    def __init__(
        self, session: ClientSession, addresses: Sequence[str], timeout: float = 2.0
    ) -> None:
        self._session = session
        self._addresses = list(addresses)
        self._timeout = ClientTimeout(total=timeout)

    async def get(self, key: str) -> Entry | None:
        """Read one key."""
        answer = await self._call("range", "/v3/kv/range", {"key": _encode(key)})
        entries = _read_entries(answer)
        return entries[0] if entries else None

    async def scan(self, prefix: str) -> list[Entry]:
        """Read all keys with a prefix, in order."""
        answer = await self._call("range", "/v3/kv/range", _prefix_range(prefix))
        return _read_entries(answer)

    async def scan_many(self, prefixes: Sequence[str]) -> list[list[Entry]]:
        """Read several prefixes at one revision, in one call."""
        operations = [{"request_range": _prefix_range(each)} for each in prefixes]
        answer = await self._call("read-tables", "/v3/kv/txn", {"success": operations})
        return [_read_entries(each["response_range"]) for each in answer["responses"]]

    async def commit(
        self, conditions: Sequence[Condition], puts: Sequence[Put], deletes: Sequence[str] = ()
    ) -> bool:
        """Write everything if every condition holds, and nothing otherwise."""
        operations: list[dict[str, Any]] = [
            {
                "request_put": {
                    "key": _encode(put.key),
                    "value": base64.b64encode(put.value).decode(),
                    "lease": str(put.lease),
                }
            }
            for put in puts
        ]
        operations += [{"request_delete_range": {"key": _encode(key)}} for key in deletes]
        compare = [_encode_condition(each) for each in conditions]
        answer = await self._call(
            "commit", "/v3/kv/txn", {"compare": compare, "success": operations}
        )
        return bool(answer.get("succeeded", False))

    async def grant(self, seconds: int) -> int:
        """Get a lease."""
        answer = await self._call("grant", "/v3/lease/grant", {"TTL": str(seconds)})
        return int(answer["ID"])

    async def keep_alive(self, lease: int) -> bool:
        """Renew a lease; return whether it still existed."""
        answer = await self._call("keep-alive", "/v3/lease/keepalive", {"ID": str(lease)})
        return int(answer["result"].get("TTL", 0)) > 0

    async def revoke(self, lease: int) -> None:
        """End a lease and the keys bound to it."""
        await self._call("revoke", "/v3/lease/revoke", {"ID": str(lease)})

    async def watch(self, key: str) -> AsyncIterator[None]:
        """Yield whenever a key has changed, until the service ends the watch."""
        body = {"create_request": {"key": _encode(key)}}
        url = f"http://{self._addresses[0]}/v3/watch"
        try:
            async with self._session.post(
                url, json=body, timeout=ClientTimeout(total=None), read_bufsize=_MAX_WATCH_LINE
            ) as response:
                response.raise_for_status()
                async for line in response.content:
                    if json.loads(line).get("result", {}).get("events"):
                        yield
        except (ClientError, TimeoutError, ValueError) as error:
            raise self._fail("watch", error) from error
        raise PlatformUnavailableError("watch ended", step="watch", peer=self._addresses[0])

    async def _call(self, step: str, path: str, body: dict[str, Any]) -> dict[str, Any]:
        url = f"http://{self._addresses[0]}{path}"
        try:
            async with self._session.post(url, json=body, timeout=self._timeout) as response:
                response.raise_for_status()
                answer: dict[str, Any] = await response.json()
                return answer
        except (ClientError, TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
            raise self._fail(step, error) from error

    def _fail(self, step: str, error: Exception) -> PlatformUnavailableError:
        failed = self._addresses[0]
        self._addresses.append(self._addresses.pop(0))
        reason = str(error) or type(error).__name__
        return PlatformUnavailableError(reason, step=step, peer=failed)


def _encode(key: str) -> str:
    return base64.b64encode(key.encode()).decode()


def _prefix_range(prefix: str) -> dict[str, str]:
    end = prefix[:-1] + chr(ord(prefix[-1]) + 1)
    return {"key": _encode(prefix), "range_end": _encode(end)}


def _encode_condition(condition: Condition) -> dict[str, str]:
    if isinstance(condition, Absent):
        fields = {"target": "CREATE", "create_revision": "0"}
    else:
        fields = {"target": "MOD", "mod_revision": str(condition.mod_revision)}
    return {"key": _encode(condition.key), "result": "EQUAL", **fields}


def _read_entries(answer: dict[str, Any]) -> list[Entry]:
    return [
        Entry(
            key=base64.b64decode(each["key"]).decode(),
            value=base64.b64decode(each.get("value", "")),
            mod_revision=int(each["mod_revision"]),
            create_revision=int(each["create_revision"]),
        )
        for each in answer.get("kvs", [])
    ]
