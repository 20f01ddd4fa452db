"""Starts the project's programs with the commands and templates of the deploy file."""

import asyncio
import json
import os
import re
import signal
import socket
import sys
import tomllib
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
_TAG = re.compile(r"\{\{([#^/]?)([^{}|]*)(\|json)?\}\}")


def load_role(name: str) -> dict[str, Any]:
    """Return a role of the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    role: dict[str, Any] = deploy["roles"][name]
    return role


def render_template(text: str, fields: dict[str, Any]) -> str:
    """Fill in a template as the platform does."""
    rendered, _ = _render(text, 0, [fields], None, "", False)
    return rendered


def _render(
    text: str, at: int, scopes: list[Any], end: str | None, key: str, last: bool
) -> tuple[str, int]:
    parts = []
    while (found := _TAG.search(text, at)) is not None:
        parts.append(text[at : found.start()])
        at = found.end()
        mark, name, as_json = found.group(1), found.group(2), found.group(3)
        if mark == "/":
            assert name == end
            return "".join(parts), at
        if mark in ("#", "^"):
            shown, after = "", at
            entries = _list_entries(_find(name, scopes)) if mark == "#" else []
            if mark == "^" and not _list_entries(_find(name, scopes)):
                entries = [("", scopes[-1])]
            for number, (label, entry) in enumerate(entries):
                is_last = number == len(entries) - 1
                part, after = _render(text, at, [*scopes, entry], name, label, is_last)
                shown += part
            _, after = _render(text, at, scopes, name, "", True)
            parts.append(shown)
            at = after
        elif name == ",":
            parts.append("" if last else ",")
        elif name == "@":
            parts.append(key)
        else:
            parts.append(_show(_find(name, scopes), bool(as_json)))
    parts.append(text[at:])
    return "".join(parts), len(text)


def _find(name: str, scopes: list[Any]) -> Any:
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        value = scope
        for step in name.split("."):
            if isinstance(value, dict):
                value = value.get(step)
            elif isinstance(value, list) and step.isdecimal() and int(step) < len(value):
                value = value[int(step)]
            else:
                value = None
        if value is not None:
            return value
    return None


def _list_entries(value: Any) -> list[tuple[str, Any]]:
    if isinstance(value, dict):
        return [(str(key), each) for key, each in value.items()]
    if isinstance(value, list):
        return [(str(number), each) for number, each in enumerate(value)]
    return [] if value is None or value is False else [("", value)]


def _show(value: Any, as_json: bool) -> str:
    if as_json:
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(_show(each, False) for each in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def find_ports(host: str, count: int) -> list[int]:
    """Return free ports of a loopback address."""
    sockets = [socket.create_server((host, 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def build_fields(
    name: str, ip: str, zone: str, zones: dict[str, str], ports: list[int], store: str
) -> dict[str, Any]:
    """Return the fields of a small deployment for one machine.

    :param ports: of the front, readiness and directory listeners, and the first internal one.
    """
    return {
        "nodeName": name,
        "ip": ip,
        "zone": zone,
        "region": zones[zone],
        "zones": zones,
        "listen": {
            "front": f"{ip}:{ports[0]}",
            "readiness": f"{ip}:{ports[1]}",
            "directory": f"{ip}:{ports[2]}",
        },
        "internalPorts": [ports[3], ports[3] + 15],
        "limits": {"cpuShare": 0.537, "cores": 2, "memoryMb": 300, "linkMbps": 1000.0},
        "contracts": [
            *("base", "drain", "config", "cost", "retry", "recover"),
            *("engine", "stream", "tenants", "platform", "chunks"),
        ],
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


@dataclass
class Program:
    """One process of the project.

    :param fields: of its settings file, before the template.
    """

    role: str
    fields: dict[str, Any]
    folder: Path
    process: asyncio.subprocess.Process | None = None
    exits: list[int] = field(default_factory=list)

    @property
    def _path(self) -> Path:
        return self.folder / f"{self.fields['nodeName']}.settings"

    def write_settings(self) -> None:
        """Place the settings file in one step."""
        template = ROOT / load_role(self.role)["template"]
        draft = self._path.with_suffix(".draft")
        draft.write_text(render_template(template.read_text(), self.fields))
        draft.replace(self._path)

    async def start(self) -> None:
        """Start the process, with its output in a file beside the settings."""
        self.write_settings()
        words = load_role(self.role)["run"].split()
        kept = {each: os.environ[each] for each in ("PATH", "HOME", "LANG") if each in os.environ}
        log = (self.folder / f"{self.fields['nodeName']}.log").open("ab")
        with log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable if words[0] == "python3" else words[0],
                *words[1:],
                cwd=ROOT,
                env={
                    **kept,
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "WRENLOFT_NODE_FILE": str(self._path),
                },
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def read_log(self) -> str:
        """Return what the process has written."""
        return (self.folder / f"{self.fields['nodeName']}.log").read_text()

    async def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process is None:
            return
        with suppress(ProcessLookupError):
            self.process.kill()
        await self.process.wait()


async def end_all(programs: Iterable[Program]) -> None:
    """Kill all processes that still run."""
    for each in programs:
        await each.end()


async def wait_ready(program: Program, seconds: float = 20.0) -> bool:
    """Wait until an entry node says that it is ready; return whether it does."""
    ip, _, port = program.fields["listen"]["readiness"].rpartition(":")
    with suppress(TimeoutError):
        async with asyncio.timeout(seconds):
            while True:
                with suppress(OSError, asyncio.IncompleteReadError):
                    reader, writer = await asyncio.open_connection(ip, int(port))
                    writer.write(b"GET /readyz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
                    answer = await reader.read()
                    writer.close()
                    if answer.startswith(b"HTTP/1.1 200"):
                        return True
                await asyncio.sleep(0.05)
    return False
