"""Starts real processes on the loopback address: stand-ins, entry nodes and agents."""

import asyncio
import os
import signal
import sys
from collections.abc import AsyncIterator, Mapping, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import tomli_w
from aiohttp import ClientSession, ClientTimeout, TCPConnector

_START_SECONDS = 30.0
_STOP_SECONDS = 30.0
_READ_BYTES = 65536
_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_USER_TICKS = 11
_SYSTEM_TICKS = 12

SECRET = "fleet-secret"
OPERATOR_KEY = "operator-key"


@dataclass(slots=True)
class Process:
    """One process, with the addresses that it listens at."""

    name: str
    addresses: list[str]
    handle: asyncio.subprocess.Process
    log: Path

    @property
    def http(self) -> str:
        """The HTTP address."""
        return self.addresses[0]

    @property
    def grpc(self) -> str:
        """The gRPC address."""
        return self.addresses[1]

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self.handle.returncode is None

    def read_cpu_seconds(self) -> float:
        """Return the processor time that it has used, 0.0 once it has ended."""
        if not self.running:
            return 0.0
        fields = Path(f"/proc/{self.handle.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[_USER_TICKS]) + int(fields[_SYSTEM_TICKS])) / _TICKS_PER_SECOND

    def send(self, number: signal.Signals) -> None:
        """Send a signal, if it still runs."""
        if self.running:
            self.handle.send_signal(number)

    async def kill(self) -> None:
        """End it at once."""
        self.send(signal.SIGKILL)
        await self.handle.wait()

    async def stop(self, seconds: float = _STOP_SECONDS) -> int:
        """Ask it to end, and return its exit code.

        :raises TimeoutError: if it does not end in time.
        """
        self.send(signal.SIGTERM)
        return await self.wait(seconds)

    async def wait(self, seconds: float = _STOP_SECONDS) -> int:
        """Wait for it to end by itself, and return its exit code.

        :raises TimeoutError: if it does not end in time.
        """
        async with asyncio.timeout(seconds):
            return await self.handle.wait()


@dataclass(slots=True)
class Fleet:
    """All processes of one run.

    :param folder: settings and logs go there.
    """

    folder: Path
    session: ClientSession
    processes: list[Process] = field(default_factory=list)
    readers: list[asyncio.Task[None]] = field(default_factory=list)

    async def start(self, name: str, arguments: Sequence[str]) -> Process:
        """Start a process and wait until it listens.

        :raises RuntimeError: if it ends or stays silent instead.
        """
        log = self.folder / f"{name}.log"
        environment = {**os.environ, "PYTHONUNBUFFERED": "1"}
        with log.open("ab") as output:
            handle = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                *arguments,
                stdout=asyncio.subprocess.PIPE,
                stderr=output,
                env=environment,
            )
        assert handle.stdout is not None
        async with asyncio.timeout(_START_SECONDS):
            line = (await handle.stdout.readline()).decode().split()
        if not line or line[0] != "listening":
            handle.kill()
            raise RuntimeError(f"{name} did not start: {log.read_text()[-2000:]}")
        process = Process(name, line[1:], handle, log)
        self.processes.append(process)
        self.readers.append(asyncio.create_task(_keep_output(handle.stdout, log)))
        return process

    async def start_standin(self, name: str, kind: str, *arguments: str) -> Process:
        """Start a stand-in of the platform."""
        return await self.start(name, ["wrenloft_standins", kind, *arguments])

    async def start_node(self, name: str, settings: Mapping[str, Any]) -> Process:
        """Start an entry node."""
        path = self._write(name, {"name": name, "secret": SECRET, **settings})
        return await self.start(name, ["wrenloft", "serve", str(path)])

    async def start_agent(self, name: str, settings: Mapping[str, Any]) -> Process:
        """Start an agent."""
        path = self._write(name, {"name": name, "secret": SECRET, **settings})
        return await self.start(name, ["wrenloft_agent", "run", str(path)])

    async def set_faults(self, process: Process, **faults: object) -> None:
        """Make a stand-in misbehave, or behave again."""
        async with self.session.post(f"http://{process.http}/faults", json=faults) as response:
            response.raise_for_status()

    async def read_stats(self, process: Process) -> dict[str, Any]:
        """Read what a stand-in counted."""
        async with self.session.get(f"http://{process.http}/stats") as response:
            response.raise_for_status()
            stats: dict[str, Any] = await response.json()
            return stats

    async def close(self) -> None:
        """End every process that was started here."""
        for process in self.processes:
            process.send(signal.SIGCONT)
            process.send(signal.SIGKILL)
        await asyncio.gather(*(each.handle.wait() for each in self.processes))
        await asyncio.gather(*self.readers)

    def _write(self, name: str, settings: Mapping[str, Any]) -> Path:
        path = self.folder / f"{name}.toml"
        path.write_text(tomli_w.dumps(settings))
        return path


async def _keep_output(output: asyncio.StreamReader, log: Path) -> None:
    """Write a process's logs to its file until it ends.

    Left unread, a full buffer stops the reading of the pipe: its end is never seen, and waiting
    for the process never returns.
    """
    with log.open("ab") as file:
        while data := await output.read(_READ_BYTES):
            file.write(data)


@asynccontextmanager
async def open_fleet(folder: Path) -> AsyncIterator[Fleet]:
    """Give an empty fleet, and end all its processes at the end."""
    async with AsyncExitStack() as stack:
        session = await stack.enter_async_context(
            ClientSession(
                # Without a limit on connections: callers that wait for one another in this
                # process would look like requests that wait in the system.
                connector=TCPConnector(limit=0),
                timeout=ClientTimeout(total=120),
                read_bufsize=1 << 20,
            )
        )
        fleet = Fleet(folder, session)
        stack.push_async_callback(fleet.close)
        yield fleet
