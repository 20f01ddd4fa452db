"""The project's two programs as processes, with the commands of the deploy file."""

import asyncio
import json
import os
import shlex
import signal
import socket
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]

RULE_BROKEN = 10
"""Exit code of a scenario that saw the rule broken; an uncaught error ends it with 1."""

BOUNDS = {
    "grace": 8,
    "revoke": 5.0,
    "retry_ratio": 0.2,
    "retry_slack": 106,
    "retry_window": 10,
    "version": 8.0,
    "directory_keep": 5,
}
"""Bounds of a small deployment, as the settings template fills them in."""

CONTRACTS = [
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "platform",
    "chunks",
]
"""Contracts in force on the small sites."""


def find_free_port(*hosts: str) -> int:
    """Return a port that is free at all of some loopback addresses."""
    while True:
        with socket.create_server((hosts[0], 0)) as first:
            port = int(first.getsockname()[1])
        try:
            for host in hosts:
                socket.create_server((host, port)).close()
        except OSError:
            continue
        return port


@dataclass(frozen=True)
class Event:
    """One line of a record."""

    at: float
    name: str
    fields: dict[str, Any]


class Record:
    """What was sent, answered and run, one line each."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self.events: list[Event] = []
        self._begun = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the start of the script."""
        return time.monotonic() - self._begun

    def write(self, event: str, **fields: Any) -> None:
        """Write one line."""
        values = " ".join(f"{name}={json.dumps(value)}" for name, value in fields.items())
        self.events.append(Event(self.now, event, fields))
        self._file.write(f"{self.now:8.3f} {event} {values}\n")
        self._file.flush()


def encode_settings(settings: dict[str, Any]) -> str:
    """Encode flat settings and their tables as TOML."""
    lines = [f"{key} = {json.dumps(each)}" for key, each in settings.items() if _is_plain(each)]
    for key, table in settings.items():
        if not _is_plain(table):
            lines.append(f"[{key}]")
            lines += [f"{json.dumps(name)} = {json.dumps(each)}" for name, each in table.items()]
    return "\n".join(lines) + "\n"


def _is_plain(value: Any) -> bool:
    return not isinstance(value, dict)


class Program:
    """One process of a role of the deploy file."""

    def __init__(self, role: str, settings: dict[str, Any], folder: Path) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text(encoding="utf-8"))
        self._command = shlex.split(deploy["roles"][role]["run"])
        self.settings = settings
        self.path = folder / f"{settings['name']}.toml"
        self._log = folder / f"{settings['name']}.log"
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Write the settings and start the process."""
        self.path.write_text(encode_settings(self.settings), encoding="utf-8")
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment |= {
            "WRENLOFT_NODE_FILE": str(self.path),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended or was never started."""
        return self.process is None or self.process.returncode is not None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is None:
            return
        self.signal(signal.SIGKILL)
        await self.process.wait()

    def read_log(self) -> str:
        """Return what the process has logged."""
        return self._log.read_text(encoding="utf-8", errors="replace")


def run_scenario(main: Callable[[], Awaitable[int]]) -> int:
    """Run a scenario, which ends its processes on SIGTERM too, and return its exit code."""

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await main()

    try:
        return asyncio.run(run())
    except asyncio.CancelledError:
        return 2


async def wait_ready(address: str, seconds: float = 20.0) -> None:
    """Wait until an entry host answers its readiness check with 200."""
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(seconds):
        while not await _is_ready(host, int(port)):
            await asyncio.sleep(0.05)


async def _is_ready(host: str, port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    try:
        writer.write(b"GET /readyz HTTP/1.1\r\nHost: readiness\r\nConnection: close\r\n\r\n")
        return b" 200 " in await reader.readline()
    except OSError:
        return False
    finally:
        writer.close()
