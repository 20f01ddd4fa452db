"""Stand-ins of the platform for the cases: its store, and the start of programs by the deploy file.

Only the standard library is used, so that a case runs with any Python 3.11.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import sys
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
HEARTBEAT_SECONDS = 1.2
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"]
CONTRACTS += ["platform", "chunks"]
_SECTION = re.compile(r"\{\{([#^])([^{}]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)
_VALUE = re.compile(r"\{\{([^{}#^/,]+)\}\}")

Head = tuple[str, str, dict[str, str]]


class Record:
    """The record of a case: one line for each thing that was sent, answered, run or done."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._begun = time.monotonic()

    def note(self, text: str) -> None:
        """Write one line with the seconds since the start of the case."""
        self._file.write(f"{time.monotonic() - self._begun:8.3f} {text}\n")
        self._file.flush()


def find_free_port() -> int:
    """Return a port of the loopback address on which nothing listens."""
    with socket.create_server((LOOPBACK, 0)) as server:
        return int(server.getsockname()[1])


def fill_template(text: str, fields: dict[str, Any]) -> str:
    """Fill in a settings template as the platform does."""

    def look_up(name: str, scope: dict[str, Any]) -> Any:
        value: Any = scope
        for part in name.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def show(value: Any, as_json: bool) -> str:
        if value is None:
            return ""
        if as_json or isinstance(value, dict | bool):
            return json.dumps(value)
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)

    def fill(part: str, scope: dict[str, Any], item: Any, key: Any, last: bool) -> str:
        def section(match: re.Match[str]) -> str:
            kind, name, inner = match.groups()
            value = look_up(name, scope)
            if kind == "^":
                return "" if value else fill(inner, scope, item, key, last)
            if not value:
                return ""
            if isinstance(value, dict):
                entries = list(value.items())
            elif isinstance(value, list):
                entries = list(enumerate(value))
            else:
                return fill(inner, scope, item, key, last)
            return "".join(
                fill(inner, scope, each, its_key, number == len(entries) - 1)
                for number, (its_key, each) in enumerate(entries)
            )

        def placeholder(match: re.Match[str]) -> str:
            name, _, form = match.group(1).partition("|")
            if name == "@":
                return str(key)
            value = item if name == "." else look_up(name, scope)
            return show(value, form == "json")

        part = _SECTION.sub(section, part)
        part = part.replace("{{,}}", "" if last else ",")
        return _VALUE.sub(placeholder, part)

    return fill(text, fields, None, None, True)


def build_fields(role: str, store: str, **changes: Any) -> dict[str, Any]:
    """Return the settings of one process of a small deployment, under the platform's names."""
    fields: dict[str, Any] = {
        "nodeName": f"{role}-1",
        "zone": "hall-a",
        "region": "east",
        "zones": {"hall-a": "east"},
        "ip": LOOPBACK,
        "listen": {
            name: f"{LOOPBACK}:{find_free_port()}" for name in ("front", "readiness", "directory")
        },
        "internalPorts": [find_free_port(), 0],
        "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "linkMbps": 1000.0},
        "contracts": CONTRACTS,
        "bounds": {
            "graceS": 8,
            "strictRevocation": True,
            "revokeMs": 5000,
            "retryBudgetRatio": 0.2,
            "retryBudgetSlack": 106,
            "budgetWindowS": 10,
            "version_ms": 8000,
            "ttl_max_s": 5,
        },
        "platform": {"address": store},
    }
    fields.update(changes)
    return fields


class Process:
    """One program of the deploy file, started and restarted as the platform does."""

    def __init__(self, role: str, fields: dict[str, Any], folder: Path, record: Record) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        self.role = deploy["roles"][role]
        self.name = fields["nodeName"]
        self.fields = fields
        self.path = folder / f"{self.name}.toml"
        self.log = folder / f"{self.name}.log"
        self.record = record
        self.process: asyncio.subprocess.Process | None = None
        self.write_settings()

    def write_settings(self) -> None:
        """Place the filled-in template at the settings' location."""
        template = (ROOT / self.role["template"]).read_text(encoding="utf-8")
        self.path.write_text(fill_template(template, self.fields), encoding="utf-8")

    async def start(self) -> None:
        """Start the program with the command of the deploy file."""
        command, *words = self.role["run"].split()
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable if command == "python3" else command,
                *words,
                cwd=ROOT,
                env={
                    "PATH": os.environ.get("PATH", ""),
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": os.environ.get("LANG", "C.UTF-8"),
                    "PYTHONPATH": str(ROOT / "target/deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "WRENLOFT_NODE_FILE": str(self.path),
                },
                stdout=log,
                stderr=log,
            )
        self.record.note(f"platform: {self.name} started")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the program, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.record.note(f"platform: {number.name} to {self.name}")
            self.process.send_signal(number)

    @property
    def code(self) -> int | None:
        """The exit code, ``None`` while it runs."""
        return None if self.process is None else self.process.returncode

    def read_resident_mb(self) -> float:
        """Return the memory that the program has resident, in megabytes."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        with suppress(OSError, IndexError):
            status = Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii")
            return int(status.split("VmRSS:")[1].split()[0]) / 1024
        return 0.0

    async def end(self) -> None:
        """Kill the program if it still runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    async def wait_ready(self, seconds: float = 20.0) -> bool:
        """Ask the readiness address until it answers with 200."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            with suppress(OSError, asyncio.IncompleteReadError, ValueError, IndexError):
                status, _, _ = await call(self.fields["listen"]["readiness"], "GET", "/readyz")
                if status == 200:
                    return True
            await asyncio.sleep(0.1)
        return False


async def read_head(reader: asyncio.StreamReader) -> Head:
    """Read the head of a request or an answer."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    line, *rest = head.rstrip().split("\r\n")
    first, second, *_ = line.split(" ")
    headers = {name.lower(): value for name, _, value in (each.partition(": ") for each in rest)}
    return first, second, headers


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read a body with a length or in chunks; raise ``IncompleteReadError`` if it ends early."""
    if "chunked" not in headers.get("transfer-encoding", ""):
        return await reader.readexactly(int(headers.get("content-length", "0")))
    parts = []
    while size := int(await reader.readuntil(b"\r\n"), 16):
        parts.append(await reader.readexactly(size))
        await reader.readexactly(2)
    await reader.readexactly(2)
    return b"".join(parts)


async def call(
    address: str, method: str, path: str, headers: str = "", body: bytes = b""
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a connection of its own, and return its whole answer."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
        host_line = "" if "Host:" in headers else f"Host: {address}\r\n"
        head = f"{method} {path} HTTP/1.1\r\n{host_line}{headers}{length}\r\n"
        writer.write(head.encode() + body)
        _, status, answered = await read_head(reader)
        return int(status), answered, await read_body(reader, answered)
    finally:
        writer.close()


class Store:
    """The platform's metadata store, as its page describes it.

    :ivar refusing: whether it answers 503 to every call and does nothing.
    """

    def __init__(self) -> None:
        self.items: dict[str, dict[str, Any]] = {}
        self.log: list[dict[str, Any]] = []
        self.leases: dict[int, float] = {}
        self.lengths: dict[int, float] = {}
        self.revision = 100
        self.refusing = False
        self.address = ""
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"
        self._expiry = asyncio.create_task(self._expire())

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write one item, as the operator and the servers do."""
        self.revision += 1
        created = self.items.get(key, {}).get("created", self.revision)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created,
            "lease": lease,
        }
        self.items[key] = item
        self._append(item)
        return self.revision

    def put_json(self, key: str, value: Any) -> int:
        """Write one item as JSON."""
        return self.put(key, json.dumps(value).encode())

    def remove(self, key: str) -> None:
        """Remove one item."""
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._append({"key": key, "revision": self.revision, "tombstone": True})

    def _append(self, event: dict[str, Any]) -> None:
        self.log.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            for lease in [each for each, end in self.leases.items() if end < time.monotonic()]:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["lease"] == lease]:
            self.remove(key)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                method, target, headers = await read_head(reader)
                body = await read_body(reader, headers)
                url = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                if self.refusing:
                    status, fields = 503, {}
                else:
                    status, fields = await self._answer(method, url.path, query, body)
                data = json.dumps(fields).encode()
                head = f"HTTP/1.1 {status} x\r\nContent-Type: application/json\r\n"
                writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        writer.close()

    async def _answer(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, dict[str, Any]]:
        revision = {"storeRevision": self.revision}
        if path == "/kv-key":
            item = self.items.get(query["key"])
            return (404, revision) if item is None else (200, item | revision)
        if path == "/kv-range":
            keys = sorted(
                key
                for key in self.items
                if key.startswith(query["prefix"]) and key > query.get("after", "")
            )
            page = {"items": [self.items[key] for key in keys[:500]], "truncated": len(keys) > 500}
            return 200, page | revision
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-txn":
            return self._write(json.loads(body))
        if path == "/kv-lease":
            seconds = json.loads(body)["ttlMs"] / 1000
            lease = 70000 + len(self.lengths)
            self.lengths[lease], self.leases[lease] = seconds, time.monotonic() + seconds
            return 200, {"lease": lease, "ttlMs": int(seconds * 1000)}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if method == "DELETE":
            self._end_lease(lease)
            return 200, {}
        self.leases[lease] = time.monotonic() + self.lengths[lease]
        return 200, {"ttlMs": int(self.lengths[lease] * 1000)}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after, until = int(query["after"]), time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            events = [
                each
                for each in self.log
                if each["revision"] > after and each["key"].startswith(query["prefix"])
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "storeRevision": self.revision}
            with suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await self._changed.wait()

    def _write(self, fields: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        rows = fields.get("expected", [])
        known = [self.items.get(row["key"]) for row in rows]
        for row, item in zip(rows, known, strict=True):
            if (item or {"revision": 0})["revision"] != row["revision"]:
                return 412, {"items": [each for each in known if each is not None]}
        puts = fields.get("puts", [])
        if any(put.get("lease") and put["lease"] not in self.leases for put in puts):
            return 404, {}
        for put in puts:
            self.put(put["key"], base64.b64decode(put["value"]), put.get("lease", 0))
        for key in fields.get("remove", []):
            self.remove(key)
        return 200, {"revision": self.revision}


class Server:
    """A sound runner of a plain service: one answer for each request, with its signature.

    :ivar seconds: of work on each request.
    :ivar dark: while set, it neither reads nor answers, and accepts connections only in the kernel.
    :ivar runs: ids of the requests that it has begun to work on.
    """

    def __init__(self, store: Store, record: Record, name: str, service: str) -> None:
        self.store, self.record, self.name, self.service = store, record, name, service
        self.address = ""
        self.seconds = 0.045
        self.light = asyncio.Event()
        self.light.set()
        self.runs: list[str] = []
        self.headers: list[dict[str, str]] = []

    async def start(self) -> None:
        """Listen, and register in the store."""
        server = await asyncio.start_server(self._serve, LOOPBACK, 0, limit=1 << 23)
        self.address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"
        self._beat = asyncio.create_task(self._write_entries())
        await asyncio.sleep(0)

    async def _write_entries(self) -> None:
        """Keep the entry as the platform does.

        It changes when more than its ``sequence`` does, which is never here, and is removed after
        three heartbeat intervals of silence.
        """
        key, heard_at = f"servers/{self.name}", time.monotonic()
        while True:
            if self.light.is_set():
                heard_at = time.monotonic()
                if key not in self.store.items:
                    self.store.put_json(key, self.build_entry())
            elif time.monotonic() - heard_at > 3 * HEARTBEAT_SECONDS:
                self.store.remove(key)
            await asyncio.sleep(0.05)

    def build_entry(self) -> dict[str, Any]:
        """Return what it says of itself in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "hall-a",
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                await self.light.wait()
                _, target, headers = await read_head(reader)
                body = await read_body(reader, headers)
                await self.light.wait()
                await self._answer(writer, target, headers, body)
                await writer.drain()
        writer.close()

    async def _answer(
        self, writer: asyncio.StreamWriter, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        request_id = headers.get("x-attempt-id", "")
        echo = f"X-Attempt-Id: {request_id}\r\n" if request_id else ""
        if headers.get("x-expect-instance", self.name) != self.name:
            writer.write(f"HTTP/1.1 421 x\r\n{echo}Content-Length: 0\r\n\r\n".encode())
            return
        self.runs.append(request_id)
        self.headers.append(headers)
        self.record.note(f"{self.name}: runs {request_id} {target} ({len(body)} bytes)")
        await asyncio.sleep(self.seconds)
        await self.light.wait()
        answer = f"{request_id} by {self.name}\n".encode()
        stamp = f"X-Response-Stamp: {self.name}.{request_id}\r\n"
        length = f"Content-Length: {len(answer)}\r\n"
        writer.write(f"HTTP/1.1 200 OK\r\n{echo}{stamp}{length}\r\n".encode() + answer)


def build_configuration(version: int, **changes: Any) -> dict[str, Any]:
    """Return a configuration with a route of each kind to one plain service."""

    def route(kind: str, timeout: int, attempts: int) -> dict[str, Any]:
        return {
            "name": f"r-{kind}",
            "host": "hall.example",
            "prefix": f"/{kind}/",
            "kind": kind,
            "timeoutMs": timeout,
            "targetLatencyMs": 207,
            "priority": 2,
            "service": "vault",
            "maxAttempts": attempts,
            "public": False,
        }

    configuration: dict[str, Any] = {
        "version": version,
        "routes": [route("unsafe", 2500, 2), route("safe", 2500, 2)],
        "services": [
            {
                "name": "vault",
                "healthPath": "/healthz",
                "maxConnections": 110,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "county", "apiKeys": ["key-one", "key-two"], "priority": 1}],
    }
    return configuration | changes


def run_case(folder: Path, play: Callable[[Record, bool], Awaitable[bool | None]]) -> int:
    """Play a case; return 10 if the rule was broken, 0 if it held, 2 if it couldn't run.

    Python itself ends with 1 on an error.
    """
    record = Record(folder / "record.txt")
    troubled = os.environ.get("TROUBLE", "1") != "0"
    record.note(f"case {folder.name}, {'with' if troubled else 'without'} the disruption")

    async def bounded() -> bool | None:
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        async with asyncio.timeout(110.0):
            return await play(record, troubled)

    try:
        broken = asyncio.run(bounded())
    except Exception as error:
        record.note(f"could not run: {error!r}")
        return 2
    if broken is None:
        record.note("could not run")
        return 2
    record.note("the rule was BROKEN" if broken else "the rule held")
    return 10 if broken else 0
