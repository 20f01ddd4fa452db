"""Entry nodes and endpoints as processes of their own, and the faults that befall them."""

import asyncio
import os
import signal
import sys
import time
from collections.abc import Awaitable, Callable, Iterator
from contextlib import AsyncExitStack, suppress
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from random import Random
from typing import Any, NamedTuple

import tomli_w
from aiohttp import ClientSession

from wrenloft_platform import _names as names
from wrenloft_platform._serve import SETTINGS_VARIABLE, split_address

from ..platform.conftest import StandinStore, find_free_port
from ..platform.test_programs import ROOT, Entry, write_settings
from .documents import SERVICES, Configuration
from .link import Link, Way

GRACE_SECONDS = 8.0
SILENCE_SECONDS = (0.3, 2.9)


@dataclass
class Incarnation:
    """One run of an entry node's program; the time of its signal to stop is 0 until then.

    :param killed: whether it had to be killed as its grace had passed.
    """

    started_at: float
    signalled_at: float = 0.0
    code: int | None = None
    killed: bool = False


@dataclass
class Node(Entry):
    """An entry node and its incarnations.

    :param busy: held while its settings are being written or it is being restarted.
    """

    path: Path
    incarnations: list[Incarnation]
    busy: asyncio.Lock = field(default_factory=asyncio.Lock)

    def find_incarnation(self, opened_at: float) -> Incarnation:
        """Return the incarnation to which a connection was opened."""
        return [each for each in self.incarnations if each.started_at <= opened_at][-1]

    def signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        with suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def stop(self) -> None:
        """Stop the process as the platform does, which kills it once its grace has passed."""
        incarnation = self.incarnations[-1]
        incarnation.signalled_at = time.monotonic()
        self.signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(GRACE_SECONDS):
                await self.process.wait()
        except TimeoutError:
            incarnation.killed = True
            await _kill(self.process)
        incarnation.code = self.process.returncode


@dataclass
class EndpointProcess:
    """An endpoint's process behind its link.

    :param pauses: number of pauses in progress; it runs while there is none.
    """

    name: str
    service: str
    slots: int
    journal: Path
    process: asyncio.subprocess.Process
    link: Link
    pauses: int = 0


class Silence(NamedTuple):
    """A period in which an endpoint was paused, or its link held bytes back."""

    start: float
    end: float
    endpoint: str
    held: bool


@dataclass
class Fleet:
    """All processes of one run, with what was done to them and when.

    :param retired: endpoints that have left the list.
    :param faults: what was done.
    """

    folder: Path
    store: StandinStore
    random: Random
    stack: AsyncExitStack
    configuration: Configuration
    nodes: list[Node] = field(default_factory=list)
    endpoints: list[EndpointProcess] = field(default_factory=list)
    retired: list[EndpointProcess] = field(default_factory=list)
    silences: list[Silence] = field(default_factory=list)
    refusals: int = 0
    faults: list[str] = field(default_factory=list)
    _numbers: Iterator[int] = field(default_factory=count)

    async def start(self, entry_count: int, endpoint_count: int, **changes: Any) -> None:
        """Start all processes, and wait until the entry nodes are ready.

        :param changes: settings of the entry nodes.
        """
        self.write_configuration()
        for number in range(endpoint_count):
            await self._add_endpoint(SERVICES[number % 3 // 2])
        client = await self.stack.enter_async_context(ClientSession())
        for number in range(entry_count):
            name = f"entry-{number}"
            path = self.folder / f"{name}.toml"
            settings = write_settings(path, self.store.address, name=name, **changes)
            process = await self._start_entry(path)
            node = Node(process, settings, client, path, [Incarnation(time.monotonic())])
            self.nodes.append(node)
        await asyncio.gather(*(each.wait_ready() for each in self.nodes))
        await asyncio.sleep(1.5)  # until the nodes know each other

    def list_fronts(self) -> list[tuple[str, int]]:
        """Return the addresses of all entry nodes."""
        return [split_address(each.settings["front"]) for each in self.nodes]

    def write_configuration(self) -> None:
        """Write the next version of the configuration."""
        self.store.put(names.CONFIGURATION_KEY, self.configuration.build(time.monotonic()))

    async def _start_entry(self, path: Path) -> asyncio.subprocess.Process:
        with path.with_suffix(".log").open("ab") as log:
            process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(ROOT / "platform" / "entry.py"),
                cwd=ROOT,
                env={**os.environ, SETTINGS_VARIABLE: str(path)},
                stdout=log,
                stderr=log,
            )
        self.stack.push_async_callback(_kill, process)
        return process

    async def _add_endpoint(self, service: str) -> None:
        name = f"i{next(self._numbers)}"
        journal = self.folder / f"{name}.jsonl"
        port, slots = find_free_port(), self.random.choice((8, 16, 24))
        path = os.pathsep.join([str(ROOT / "platform"), os.environ.get("PYTHONPATH", "")])
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(Path(__file__).with_name("endpoint.py")),
            *(name, str(port), str(slots), str(journal)),
            env={**os.environ, "PYTHONPATH": path},
            stdout=asyncio.subprocess.PIPE,
        )
        self.stack.push_async_callback(_kill, process)
        assert process.stdout is not None
        assert await process.stdout.readline() == b"ready\n"
        link = await self.stack.enter_async_context(Link(port).serve())
        endpoint = EndpointProcess(name, service, slots, journal, process, link)
        self.endpoints.append(endpoint)
        self._put_endpoint(endpoint, "ready")

    def _put_endpoint(self, endpoint: EndpointProcess, state: str) -> None:
        fields = {"service": endpoint.service, "address": endpoint.link.address, "zone": "z1"}
        fields |= {"slots": endpoint.slots, "state": state, "sequence": 1}
        self.store.put(names.ENDPOINT_PREFIX + endpoint.name, fields)

    async def cause_faults(self, start: float, seconds: float, count: int) -> None:
        """Cause faults at random times of a period, and wait until the last one is over."""
        kinds: dict[Callable[[], Awaitable[None]], int] = {
            self._pause: 2,
            self._hold: 2,
            self._change: 3,
            self._reload: 1,
            self._restart: 1,
            self._replace: 1,
            self._refuse: 1,
        }
        times = sorted(self.random.uniform(0.0, seconds) for _ in range(count))
        causes = self.random.choices(list(kinds), list(kinds.values()), k=count)
        async with asyncio.TaskGroup() as group:
            for at, cause in zip(times, causes, strict=True):
                await asyncio.sleep(max(0.0, start + at - time.monotonic()))
                self.faults.append(f"{at:.2f} {cause.__name__.strip('_')}")
                group.create_task(cause())

    def _draw_endpoints(self) -> list[EndpointProcess]:
        """Return one, several or all endpoints."""
        present = self.endpoints + self.retired
        return self.random.sample(present, self.random.choice((1, 1, 1, 2, len(present))))

    async def _pause(self) -> None:
        """Pause endpoints once or twice in a row."""
        chosen = self._draw_endpoints()
        for _ in range(self.random.choice((1, 1, 2))):
            start = time.monotonic()
            for each in chosen:
                each.pauses += 1
                each.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(self.random.uniform(*SILENCE_SECONDS))
            for each in chosen:
                each.pauses -= 1
                if not each.pauses:
                    each.process.send_signal(signal.SIGCONT)
                self.silences.append(Silence(start, time.monotonic(), each.name, held=False))
            await asyncio.sleep(self.random.uniform(0.05, 0.5))

    async def _hold(self) -> None:
        """Hold back the bytes of links, in one or both directions."""
        ways = self.random.choice(([Way.REQUESTS], [Way.ANSWERS], list(Way)))
        start, seconds = time.monotonic(), self.random.uniform(*SILENCE_SECONDS)
        for each in self._draw_endpoints():
            for way in ways:
                each.link.hold(way, seconds)
            self.silences.append(Silence(start, start + seconds, each.name, held=True))

    async def _change(self) -> None:
        """Write new versions of the configuration, one or several in a row."""
        for _ in range(self.random.choice((1, 1, 2, 5))):
            self.configuration.change()
            self.write_configuration()
            await asyncio.sleep(self.random.uniform(0.0, 0.6))

    async def _reload(self) -> None:
        """Signal a change of the settings file, which for a moment is written in part."""
        node = self.random.choice(self.nodes)
        async with node.busy:
            node.settings["log_lines"] += 1
            text = tomli_w.dumps(node.settings)
            for part in (text[: self.random.randrange(len(text))], text):
                node.path.write_text(part)
                node.signal(signal.SIGHUP)
                await asyncio.sleep(self.random.uniform(0.0, 1.2))

    async def _restart(self) -> None:
        """Stop an entry node, and start it again."""
        node = self.random.choice(self.nodes)
        async with node.busy:
            await node.stop()
            node.process = await self._start_entry(node.path)
            node.incarnations.append(Incarnation(time.monotonic()))
            await node.wait_ready()

    async def _replace(self) -> None:
        """Replace an endpoint by a new one; it serves on after it has left the list."""
        endpoint = self.random.choice(self.endpoints)
        self.endpoints.remove(endpoint)
        self.retired.append(endpoint)
        if self.random.random() < 0.7:
            self._put_endpoint(endpoint, "draining")
        await self._add_endpoint(endpoint.service)
        await asyncio.sleep(self.random.uniform(0.2, 2.0))
        self.store.remove(names.ENDPOINT_PREFIX + endpoint.name)

    async def _refuse(self) -> None:
        """Let the store refuse all calls for a while."""
        self.refusals += 1
        self.store.refuse = True
        await asyncio.sleep(self.random.uniform(0.5, 3.0))
        self.refusals -= 1
        self.store.refuse = self.refusals > 0

    async def stop(self) -> None:
        """Stop all entry nodes at once."""

        async def stop(node: Node) -> None:
            async with node.busy:
                await node.stop()

        await asyncio.gather(*(stop(each) for each in self.nodes))


async def _kill(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
    await process.wait()
