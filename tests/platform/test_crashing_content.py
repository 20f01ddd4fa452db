"""Tests of requests that crash endpoints and are repeated at several entry nodes.

A caller whose request crashed an endpoint repeats it under a new id at any entry node, and each
node takes each repeat for a new request with two tries of its own. Unless the nodes together count
the endpoints that failed under the same content, one request takes down all of them, and other
callers see broken streams and refusals for lack of endpoints.
"""

import asyncio
import sys
from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from random import Random
from typing import Any

import pytest
from aiohttp import ClientError, ClientSession

from .conftest import CrashingEndpoint, CrashSign, StandinStore, full_response, stream_response
from .test_programs import CONFIGURATION, KEY, Entry, start_program, write_settings

SEED = 5
ENTRY_COUNT = 3
ENDPOINT_COUNT = 6
CRASHES = 3
"""Number of endpoint failures after which a content is quarantined."""

SETTLE_SECONDS = 3.0
"""Time after the third crash by which every connected node must know of it."""

MAX_SENT_AFTERWARDS = 3
"""Largest number of sends after that time, over the whole fleet."""

REPEAT_SECONDS = 5.0
"""How long the request is repeated after that, so that restarted endpoints could receive it."""

CRASHING_BODY = b"crash"


@dataclass
class Fleet:
    """Entry nodes as processes of their own, and endpoints that crash."""

    entries: list[Entry]
    paths: list[Path]
    endpoints: list[CrashingEndpoint]
    client: ClientSession
    store: StandinStore
    path: str = "/stream/x"
    random: Random = field(default_factory=lambda: Random(SEED))
    numbers: Iterator[int] = field(default_factory=count)

    async def send(
        self, body: bytes, entry: Entry | None = None, segments: str = ""
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request under a new id, and return status, headers and body."""
        node = entry or self.random.choice(self.entries)
        headers = {"Host": "shop.example", "X-Attempt-Id": f"r{next(self.numbers)}"}
        headers |= KEY
        if segments:
            headers["X-Prompt-Prefix"] = segments
        headers["X-Deadline-Ms"] = str(self.random.randrange(2500, 4000))
        url = f"http://{node.settings['front']}{self.path}"
        try:
            async with self.client.post(url, headers=headers, data=body) as response:
                return response.status, dict(response.headers), await response.read()
        except ClientError:
            return 0, {}, b""

    async def kill(self, *numbers: int) -> None:
        """Kill entry nodes at the same moment, and start them again."""
        for number in numbers:
            self.entries[number].process.kill()
        for number in numbers:
            await _end(self.entries[number])
            process = await start_program("entry.py", self.paths[number])
            self.entries[number].process = process
        for number in numbers:
            await self.entries[number].wait_ready()

    async def repeat(self, seconds: float) -> list[tuple[int, dict[str, str], bytes]]:
        """Repeat the request at random nodes, and return the responses."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        tasks = []
        while loop.time() < until:
            tasks.append(asyncio.create_task(self.send(CRASHING_BODY)))
            await asyncio.sleep(0.1)
        return list(await asyncio.gather(*tasks))

    @property
    def crashes(self) -> list[float]:
        """Times of all endpoint crashes, in order."""
        return sorted(at for each in self.endpoints for at in each.crashed_at)

    def count_sent(self, after: float) -> int:
        """Return how many crashing requests reached endpoints after a time."""
        return sum(at > after for each in self.endpoints for at in each.begun_at)

    async def wait_for_crashes(self, wanted: int) -> float:
        """Repeat the request until ``wanted`` endpoints have crashed; return when the last did."""
        pending: set[asyncio.Task[object]] = set()
        async with asyncio.timeout(30):
            while len(self.crashes) < wanted:
                pending.add(asyncio.create_task(self.send(CRASHING_BODY)))
                await asyncio.sleep(0.1)
        await asyncio.gather(*pending)
        return self.crashes[wanted - 1]


@pytest.fixture
async def fleet(store: StandinStore, tmp_path: Path) -> AsyncIterator[Fleet]:
    """Run the entry nodes of two zones and the endpoints of one service."""
    async with AsyncExitStack() as stack:
        yield await start_fleet(stack, store, tmp_path)


async def start_fleet(stack: AsyncExitStack, store: StandinStore, tmp_path: Path) -> Fleet:
    """Start entry nodes, and endpoints that crash on a certain body."""
    store.put("op/config", CONFIGURATION)
    client = await stack.enter_async_context(ClientSession())
    endpoints = [
        CrashingEndpoint(answers=[stream_response(b"id: 0\n\n")] * 1000, store=store, name=f"i{n}")
        for n in range(ENDPOINT_COUNT)
    ]
    for each in endpoints:
        await each.start()
        stack.push_async_callback(each.stop)
    entries, paths = await start_entries(stack, store, client, tmp_path)
    return Fleet(entries, paths, endpoints, client, store)


async def start_entries(
    stack: AsyncExitStack,
    store: StandinStore,
    client: ClientSession,
    tmp_path: Path,
    entry_count: int = ENTRY_COUNT,
    **changes: Any,
) -> tuple[list[Entry], list[Path]]:
    """Run entry nodes of two zones, the last of them in the second.

    :param changes: further settings of all of them.
    """
    entries: list[Entry] = []
    paths: list[Path] = []
    for number in range(entry_count):
        path = tmp_path / f"{number}.toml"
        place = "z1" if number < entry_count - 1 else "z2"
        regions = {"z1": "r1", "z2": "r2"}
        settings = write_settings(
            path,
            store.address,
            name=f"entry-{number}",
            place=place,
            region=regions[place],
            regions=regions,
            **changes,
        )
        process = await start_program("entry.py", path)
        entries.append(Entry(process, settings, client))
        stack.push_async_callback(_end, entries[-1])
        paths.append(path)
    for each in entries:
        await each.wait_ready()
    await _wait_connected(store, entries)
    return entries, paths


async def _wait_connected(store: StandinStore, entries: list[Entry]) -> None:
    """Wait until all nodes are registered and have had time to connect to each other."""
    async with asyncio.timeout(10):
        while sum(key.startswith("wrenloft/entry/") for key in store.items) < len(entries):
            await asyncio.sleep(0.05)
    await asyncio.sleep(2.0)


async def _end(entry: Entry) -> None:
    if entry.process.returncode is None:
        entry.process.kill()
    await entry.process.communicate()


@pytest.mark.parametrize("sign", list(CrashSign))
async def test_crashing_request_is_quarantined(fleet: Fleet, sign: CrashSign) -> None:
    """Guards against a request that goes on to crash endpoints when it is repeated.

    After three crashes, seen as a reset, a truncated stream or silence, repeats are refused at any
    node. They come ten times a second with other ids and deadlines, beside other requests.
    """
    for each in fleet.endpoints:
        each.sign = sign
    await _repeat_beside_others(fleet)


@pytest.mark.parametrize("sign", list(CrashSign))
async def test_crashing_unsafe_call_is_quarantined(fleet: Fleet, sign: CrashSign) -> None:
    """The same for a call that can be sent only once, whose silence lasts until its deadline."""
    fleet.path = "/once/x"
    for each in fleet.endpoints:
        each.sign = sign
        each.answers = [full_response(b"ok")] * 1000
    await _repeat_beside_others(fleet)


async def _repeat_beside_others(fleet: Fleet) -> None:
    """Crash three endpoints, repeat the request, and check what is sent and who is served."""
    third = await fleet.wait_for_crashes(CRASHES)
    loop = asyncio.get_running_loop()
    statuses = []
    repeats = []
    while loop.time() < third + SETTLE_SECONDS + REPEAT_SECONDS:
        repeats.append(asyncio.create_task(fleet.send(CRASHING_BODY)))
        status, _, _ = await fleet.send(b"harmless %d" % fleet.random.randrange(1000))
        statuses.append(status)
        await asyncio.sleep(0.1)
    await asyncio.gather(*repeats)
    assert fleet.count_sent(third + SETTLE_SECONDS) <= MAX_SENT_AFTERWARDS
    assert set(statuses[-5:]) == {200}


async def test_quarantine_survives_restart_of_all_entry_nodes(fleet: Fleet) -> None:
    """Guards against a restart of all nodes that costs three more endpoints."""
    third = await fleet.wait_for_crashes(CRASHES)
    await _wait_stored(fleet)
    await fleet.kill(*range(ENTRY_COUNT))
    await asyncio.sleep(SETTLE_SECONDS)
    before = fleet.count_sent(third)
    answers = await fleet.repeat(2.0)
    assert fleet.count_sent(third) == before
    assert {status for status, _, _ in answers} == {503}


async def _wait_stored(fleet: Fleet) -> None:
    async with asyncio.timeout(5):
        while not any(key.startswith("wrenloft/held/") for key in fleet.store.items):
            await asyncio.sleep(0.05)


async def test_crashes_spread_without_the_store_and_a_relay(fleet: Fleet) -> None:
    """Guards against crash updates that need the store, or a node that may relay for others."""
    await fleet.wait_for_crashes(CRASHES - 1)
    fleet.store.refuse = True
    third = await fleet.wait_for_crashes(CRASHES)
    fleet.entries[0].process.kill()
    others = fleet.entries[1:]
    fleet.entries = others
    await asyncio.sleep(SETTLE_SECONDS)
    before = fleet.count_sent(third)
    await fleet.repeat(2.0)
    assert fleet.count_sent(third) - before <= MAX_SENT_AFTERWARDS


async def test_quarantined_content_is_refused_until_an_operator_lifts_it(fleet: Fleet) -> None:
    """Each repeat is refused at once with a reason; after the lift, any node sends it again."""
    await fleet.wait_for_crashes(CRASHES)
    await asyncio.sleep(1.0)
    status, headers, body = await fleet.send(CRASHING_BODY, fleet.entries[2])
    assert (status, body) == (503, b"hold: 3 endpoints fell under this request\n")
    assert 50.0 < float(headers["Retry-After"]) <= 60.0
    node = fleet.entries[0].settings
    url = f"http://{node['ip']}:{node['internal_port']}/operators/v1/held"
    async with fleet.client.get(url) as response:
        (row,) = (await response.json())["held"]
    async with fleet.client.post(url, json={"lift": row["content"]}) as response:
        assert response.status == 200
    for each in fleet.endpoints:
        each.crash_on = b"no longer"
    async with asyncio.timeout(5):
        while (await fleet.send(CRASHING_BODY, fleet.entries[2]))[0] != 200:
            await asyncio.sleep(0.1)


async def test_power_loss_of_a_rack_quarantines_no_polls(fleet: Fleet) -> None:
    """Guards against quarantining a poll that many callers had in progress at a power loss.

    Half of the endpoints fail at once while all callers poll the same path.
    """
    answer = stream_response(b"id: 0\n\n", b"id: 1\n\n", b"id: 2\n\n")
    for each in fleet.endpoints:
        each.answers = [answer] * 1000
        each.pause = 0.05
    statuses = []
    outages = []
    for turn in range(40):
        tasks = [asyncio.create_task(fleet.send(b"poll", node)) for node in fleet.entries * 4]
        await asyncio.sleep(0.05)
        if turn == 10:
            outages = [asyncio.create_task(each.lose_power()) for each in fleet.endpoints[::2]]
        statuses += [(await each)[0] for each in tasks]
    await asyncio.gather(*outages)
    assert set(statuses[-60:]) == {200}
    failures = 0.0
    for entry in fleet.entries:
        counts = await _read_metrics(entry)
        assert counts["wrenloft_held_back_total"] == 0.0
        assert counts["wrenloft_contents_held"] == 0.0
        failures += counts.get('wrenloft_endpoint_failures_total{sign="refused"}', 0.0)
    assert failures >= CRASHES


async def _read_metrics(entry: Entry) -> dict[str, float]:
    url = f"http://{entry.settings['ip']}:{entry.settings['internal_port']}/metrics"
    async with entry.client.get(url) as response:
        lines = (await response.text()).splitlines()
    rows = (line.rpartition(" ") for line in lines if not line.startswith("#"))
    return {name: float(value) for name, _, value in rows}


async def test_command_lists_and_lifts_quarantines(fleet: Fleet) -> None:
    """The command works at any node; lifting a content that is not quarantined fails clearly."""
    node = fleet.entries[1].settings
    address = f"{node['ip']}:{node['internal_port']}"
    assert await run_command("held", "list", "--node", address) == (0, "nothing is held back")
    await fleet.wait_for_crashes(CRASHES)
    await asyncio.sleep(1.0)
    code, line = await run_command("held", "list", "--node", address)
    assert code == 0, line
    content, _, rest = line.partition("  ")
    assert rest.startswith("3 endpoints fell")
    assert (await run_command("held", "lift", content, "--node", address))[0] == 0
    code, line = await run_command("held", "lift", content, "--node", address)
    assert (code, line) == (1, f"{content} is not held back")


async def run_command(*words: str) -> tuple[int | None, str]:
    """Run ``wrenloft`` with these arguments, and return its exit code and output."""
    command = "from wrenloft._cli import main; main()"
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", command, *words,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )  # fmt: skip
    out, _ = await process.communicate()
    return process.returncode, out.decode().strip()
