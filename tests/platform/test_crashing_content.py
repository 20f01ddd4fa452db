"""A request that crashes every endpoint that begins it, repeated at several entry nodes.

Callers see their streams break off and are refused for want of endpoints: one request crashes the
endpoint that begins it, its caller repeats it under a new id at any entry node, and each node
takes each repeat for a new request with two tries of its own. Nobody counts, over all nodes and
attempts, the endpoints that fell under the same content, so nothing ends it. Proved by logs that
name the content: at each fall of a wave the same one was in progress, and nothing else was.
"""

import asyncio
import sys
from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from random import Random

import pytest
from aiohttp import ClientError, ClientSession

from .conftest import CrashingEndpoint, CrashSign, StandinStore, stream_answer, whole_answer
from .test_programs import CONFIGURATION, KEY, Entry, start_program, write_settings

SEED = 5
ENTRY_COUNT = 3
ENDPOINT_COUNT = 6
CRASHES = 3
"""Endpoints that may fall before a content is held back."""

SETTLE_SECONDS = 3.0
"""From the third crash until every node that is in touch must know of it."""

MOST_AFTERWARDS = 3
"""Sends allowed later than that, over the whole fleet."""

REPEATS_SECONDS = 5.0
"""For which the request is repeated after that, so that endpoints are back and could be sent it."""

KILLER = b"crash"


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

    async def ask(
        self, body: bytes, entry: Entry | None = None
    ) -> tuple[int, dict[str, str], bytes]:
        """Send a request under a new id, and return status, headers and body."""
        node = entry or self.random.choice(self.entries)
        headers = {"Host": "shop.example", "X-Attempt-Id": f"r{next(self.numbers)}"}
        headers |= KEY
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
        """Repeat the request at random nodes, and return the answers."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        asked = []
        while loop.time() < until:
            asked.append(asyncio.create_task(self.ask(KILLER)))
            await asyncio.sleep(0.1)
        return list(await asyncio.gather(*asked))

    @property
    def crashes(self) -> list[float]:
        """When endpoints crashed."""
        return sorted(at for each in self.endpoints for at in each.crashed_at)

    def count_sent(self, after: float) -> int:
        """Return how often the request that crashes endpoints reached one after a time."""
        return sum(at > after for each in self.endpoints for at in each.begun_at)

    async def wait_crashes(self, wanted: int) -> float:
        """Repeat the request until so many endpoints have crashed, and return when the last did."""
        pending: set[asyncio.Task[object]] = set()
        async with asyncio.timeout(30):
            while len(self.crashes) < wanted:
                pending.add(asyncio.create_task(self.ask(KILLER)))
                await asyncio.sleep(0.1)
        await asyncio.gather(*pending)
        return self.crashes[wanted - 1]


@pytest.fixture
async def fleet(store: StandinStore, tmp_path: Path) -> AsyncIterator[Fleet]:
    """Run the entry nodes of two zones and the endpoints of one service."""
    store.put("op/config", CONFIGURATION)
    async with AsyncExitStack() as stack:
        client = await stack.enter_async_context(ClientSession())
        endpoints = [
            CrashingEndpoint(
                answers=[stream_answer(b"id: 0\n\n")] * 1000, store=store, name=f"i{n}"
            )
            for n in range(ENDPOINT_COUNT)
        ]
        for each in endpoints:
            await each.start()
            stack.push_async_callback(each.stop)
        entries, paths = await start_entries(stack, store, client, tmp_path)
        yield Fleet(entries, paths, endpoints, client, store)


async def start_entries(
    stack: AsyncExitStack,
    store: StandinStore,
    client: ClientSession,
    tmp_path: Path,
    entry_count: int = ENTRY_COUNT,
) -> tuple[list[Entry], list[Path]]:
    """Run entry nodes of two zones, the last of them in the second."""
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
    """Wait until all nodes are listed and one has had time to hear of the others."""
    async with asyncio.timeout(10):
        while sum(key.startswith("wrenloft/entry/") for key in store.items) < len(entries):
            await asyncio.sleep(0.05)
    await asyncio.sleep(2.0)


async def _end(entry: Entry) -> None:
    if entry.process.returncode is None:
        entry.process.kill()
    await entry.process.communicate()


@pytest.mark.parametrize("sign", list(CrashSign))
async def test_request_that_crashes_endpoints_reaches_no_more_of_them(
    fleet: Fleet, sign: CrashSign
) -> None:
    """Three endpoints fall; then repeats at any node are answered without being sent.

    The crash shows as a reset, as a stream cut short or as silence. Repeats come ten times a
    second at random nodes, with other ids and deadlines, beside another caller's requests.
    """
    for each in fleet.endpoints:
        each.sign = sign
    await _repeat_beside_others(fleet)


@pytest.mark.parametrize("sign", list(CrashSign))
async def test_unsafe_call_that_crashes_endpoints_reaches_no_more_of_them(
    fleet: Fleet, sign: CrashSign
) -> None:
    """The same with a call that may be sent once only; its silence is borne to its deadline."""
    fleet.path = "/once/x"
    for each in fleet.endpoints:
        each.sign = sign
        each.answers = [whole_answer(b"ok")] * 1000
    await _repeat_beside_others(fleet)


async def _repeat_beside_others(fleet: Fleet) -> None:
    """Crash three endpoints, go on repeating, and check who is sent and who is served."""
    third = await fleet.wait_crashes(CRASHES)
    loop = asyncio.get_running_loop()
    statuses = []
    repeats = []
    while loop.time() < third + SETTLE_SECONDS + REPEATS_SECONDS:
        repeats.append(asyncio.create_task(fleet.ask(KILLER)))
        status, _, _ = await fleet.ask(b"harmless %d" % fleet.random.randrange(1000))
        statuses.append(status)
        await asyncio.sleep(0.1)
    await asyncio.gather(*repeats)
    assert fleet.count_sent(third + SETTLE_SECONDS) <= MOST_AFTERWARDS
    assert set(statuses[-5:]) == {200}


async def test_hold_outlives_every_entry_node(fleet: Fleet) -> None:
    """All entry nodes are killed at once and start again; the request is still held back.

    Without the store's word, each start would cost three more endpoints.
    """
    third = await fleet.wait_crashes(CRASHES)
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


async def test_nodes_tell_one_another_while_the_store_and_a_relay_are_away(fleet: Fleet) -> None:
    """The store refuses everyone, and a node that may relay for the others dies with the crash."""
    await fleet.wait_crashes(CRASHES - 1)
    fleet.store.refuse = True
    third = await fleet.wait_crashes(CRASHES)
    fleet.entries[0].process.kill()
    others = fleet.entries[1:]
    fleet.entries = others
    await asyncio.sleep(SETTLE_SECONDS)
    before = fleet.count_sent(third)
    await fleet.repeat(2.0)
    assert fleet.count_sent(third) - before <= MOST_AFTERWARDS


async def test_callers_of_a_held_content_are_told_and_an_operator_lifts_it(fleet: Fleet) -> None:
    """Each repeat gets its own answer at once; after the lift it is sent again, at any node."""
    await fleet.wait_crashes(CRASHES)
    await asyncio.sleep(1.0)
    status, headers, body = await fleet.ask(KILLER, fleet.entries[2])
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
        while (await fleet.ask(KILLER, fleet.entries[2]))[0] != 200:
            await asyncio.sleep(0.1)


async def test_polls_in_progress_where_a_rack_falls_are_served_on(fleet: Fleet) -> None:
    """Half of the endpoints lose power at once while many callers poll the same path.

    Each of them has the poll in progress. It crashed none, and is not held back at any node.
    """
    answer = stream_answer(b"id: 0\n\n", b"id: 1\n\n", b"id: 2\n\n")
    for each in fleet.endpoints:
        each.answers = [answer] * 1000
        each.pause = 0.05
    statuses = []
    falls = []
    for turn in range(40):
        asked = [asyncio.create_task(fleet.ask(b"poll", node)) for node in fleet.entries * 4]
        await asyncio.sleep(0.05)
        if turn == 10:
            falls = [asyncio.create_task(each.fall()) for each in fleet.endpoints[::2]]
        statuses += [(await each)[0] for each in asked]
    await asyncio.gather(*falls)
    assert set(statuses[-60:]) == {200}
    seen = 0.0
    for entry in fleet.entries:
        counts = await _read_metrics(entry)
        assert counts["wrenloft_held_back_total"] == 0.0
        assert counts["wrenloft_contents_held"] == 0.0
        seen += counts.get('wrenloft_endpoint_failures_total{sign="refused"}', 0.0)
    assert seen >= CRASHES


async def _read_metrics(entry: Entry) -> dict[str, float]:
    url = f"http://{entry.settings['ip']}:{entry.settings['internal_port']}/metrics"
    async with entry.client.get(url) as response:
        lines = (await response.text()).splitlines()
    rows = (line.rpartition(" ") for line in lines if not line.startswith("#"))
    return {name: float(value) for name, _, value in rows}


async def test_command_lists_what_is_held_back_and_lifts_it(fleet: Fleet) -> None:
    """An operator at any host; a lift of what is not held back fails with a clear error."""
    node = fleet.entries[1].settings
    address = f"{node['ip']}:{node['internal_port']}"
    assert await run_command("held", "list", "--node", address) == (0, "nothing is held back")
    await fleet.wait_crashes(CRASHES)
    await asyncio.sleep(1.0)
    code, line = await run_command("held", "list", "--node", address)
    assert code == 0, line
    content, _, rest = line.partition("  ")
    assert rest.startswith("3 endpoints fell")
    assert (await run_command("held", "lift", content, "--node", address))[0] == 0
    code, line = await run_command("held", "lift", content, "--node", address)
    assert (code, line) == (1, f"{content} is not held back")


async def run_command(*words: str) -> tuple[int | None, str]:
    """Run ``wrenloft`` with these words, and return its exit code and what it printed."""
    command = "from wrenloft._cli import main; main()"
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-c", command, *words,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )  # fmt: skip
    out, _ = await process.communicate()
    return process.returncode, out.decode().strip()
