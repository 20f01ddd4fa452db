"""Tests of endpoints that say in their answers that they leave."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from random import Random

import pytest
from aiohttp import ClientError, ClientSession

from .conftest import LOOPBACK, NoticingEndpoint, StandinStore
from .test_crashing_content import run_command, start_entries
from .test_programs import CONFIGURATION, KEY, Entry

SEED = 7
ENDPOINT_COUNT = 3
DRAIN_SECONDS = 2.0
"""Time after an answer that states it until no request of that node may reach the endpoint."""

PROPAGATION_SECONDS = 1.0
"""Time after which other nodes know of an endpoint that told one of them."""


@dataclass
class Fleet:
    """Entry nodes as processes of their own, and endpoints that state what they want."""

    entries: list[Entry]
    endpoints: list[NoticingEndpoint]
    client: ClientSession
    store: StandinStore
    random: Random = field(default_factory=lambda: Random(SEED))
    numbers: Iterator[int] = field(default_factory=count)

    async def send(
        self, entry: Entry, path: str = "/stream/x", timeout: int = 3000
    ) -> tuple[int, str]:
        """Send a request to a node, and return its status and ``Retry-After``.

        :param timeout: the caller's, in milliseconds.
        """
        request_id = f"{entry.settings['name']}.{next(self.numbers)}"
        headers = {"Host": "shop.example", "X-Attempt-Id": request_id}
        headers |= KEY | {"X-Deadline-Ms": str(timeout)}
        url = f"http://{entry.settings['front']}{path}"
        try:
            async with self.client.post(url, headers=headers) as response:
                await response.read()
                return response.status, response.headers.get("Retry-After", "")
        except ClientError:
            return 0, ""

    async def load(self, rate: float, seconds: float) -> list[tuple[int, str]]:
        """Send ``rate`` requests a second to random nodes."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        tasks = []
        while loop.time() < until:
            tasks.append(asyncio.create_task(self.send(self.random.choice(self.entries))))
            await asyncio.sleep(self.random.expovariate(rate))
        return list(await asyncio.gather(*tasks))

    @property
    def nodes(self) -> list[str]:
        """Names of the entry nodes."""
        return [each.settings["name"] for each in self.entries]


@pytest.fixture
async def fleet(store: StandinStore, tmp_path: Path) -> AsyncIterator[Fleet]:
    """Run three entry nodes of two zones and three endpoints of one service."""
    store.put("op/config", CONFIGURATION)
    async with AsyncExitStack() as stack:
        client = await stack.enter_async_context(ClientSession())
        endpoints = [NoticingEndpoint() for _ in range(ENDPOINT_COUNT)]
        for number, each in enumerate(endpoints):
            server = await asyncio.start_server(each.serve, LOOPBACK, 0)
            stack.callback(server.close)
            each.address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"
            fields = {"service": "plain", "address": each.address, "zone": "z1", "slots": 4}
            store.put(f"servers/i-{number}", {**fields, "state": "ready", "sequence": 1})
        entries, _ = await start_entries(stack, store, client, tmp_path)
        yield Fleet(entries, endpoints, client, store)


@pytest.mark.parametrize("store_down", [False, True])
async def test_no_node_sends_to_an_endpoint_that_said_it_leaves(
    fleet: Fleet, store_down: bool
) -> None:
    """Guards against endpoints whose leaving is learnt from the store alone."""
    await fleet.load(20.0, 1.0)
    leaving = max(fleet.endpoints, key=lambda each: len(each.arrivals))
    fleet.store.refuse = store_down
    leaving.leaving = "1"
    answers = await fleet.load(20.0, DRAIN_SECONDS + 4.0)
    assert leaving.noticed
    for node in fleet.nodes:
        told_at = leaving.find_noticed_at(node)
        assert leaving.count_arrivals(node, told_at + DRAIN_SECONDS) == 0
    assert {status for status, _ in answers} == {200}


async def test_nodes_tell_each_other_of_leaving_endpoints(fleet: Fleet) -> None:
    """Guards against endpoints that each node of a fleet has to find out about by a request."""
    await fleet.load(20.0, 1.0)
    fleet.store.refuse = True
    leaving = max(fleet.endpoints, key=lambda each: len(each.arrivals))
    leaving.leaving = "1"
    first, *others = fleet.entries
    while not leaving.noticed:
        await fleet.send(first)
    await asyncio.sleep(PROPAGATION_SECONDS)
    for _ in range(20):
        for each in others:
            await fleet.send(each)
    assert {node for node, _ in leaving.noticed} == {first.settings["name"]}


async def test_command_lists_leaving_and_resting_endpoints(fleet: Fleet) -> None:
    node = fleet.entries[0].settings
    address = f"{node['ip']}:{node['internal_port']}"
    expected = (0, "no endpoint leaves or rests")
    assert await run_command("endpoints", "list", "--node", address) == expected
    for each in fleet.endpoints:
        each.leaving, each.rest = "1", ["600"]
    async with asyncio.timeout(20):
        while not all(each.noticed for each in fleet.endpoints):
            await fleet.send(fleet.entries[0])
    code, text = await run_command("endpoints", "list", "--node", address)
    assert code == 0, text
    lines = text.splitlines()
    assert [line.partition(" ")[0] for line in lines] == ["i-0", "i-1", "i-2"]
    assert all("(source: answer), rests for 5" in line for line in lines)
