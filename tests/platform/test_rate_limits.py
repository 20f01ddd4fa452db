"""Endpoints that name a rate limit, and what they get from several entry nodes."""

import asyncio
from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from random import Random

import pytest
from aiohttp import ClientError, ClientSession

from .conftest import LOOPBACK, LimitingEndpoint, StandinStore
from .test_crashing_content import start_entries
from .test_programs import CONFIGURATION, KEY, Entry

SEED = 7
WINDOW_SECONDS = 4.0
TOLD_SECONDS = 0.5
"""From the first answer with a limit until every node must keep to it."""

SETTLE_SECONDS = 3.0
"""From the first answer with a limit until what the endpoint gets is counted at the lower end."""

USED_SHARE = 0.7
"""Part of a limit that is used at least while callers are there."""


@dataclass
class Fleet:
    """Entry nodes as processes of their own, and endpoints that name limits."""

    entries: list[Entry]
    endpoints: list[LimitingEndpoint]
    client: ClientSession
    random: Random = field(default_factory=lambda: Random(SEED))
    numbers: Iterator[int] = field(default_factory=count)

    async def ask(self, path: str = "/stream/x", entry: Entry | None = None) -> tuple[int, str]:
        """Send a request and return its status and when to come back."""
        node = entry or self.random.choice(self.entries)
        headers = {"Host": "shop.example", "X-Attempt-Id": f"r{next(self.numbers)}"}
        headers |= KEY | {"X-Deadline-Ms": "3000"}
        url = f"http://{node.settings['front']}{path}"
        try:
            async with self.client.post(url, headers=headers) as response:
                await response.read()
                return response.status, response.headers.get("Retry-After", "")
        except ClientError:
            return 0, ""

    async def load(
        self, rate: float, seconds: float, entry: Entry | None = None
    ) -> list[tuple[int, str]]:
        """Send so many requests a second at random nodes, or at one."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        asked = []
        while loop.time() < until:
            asked.append(asyncio.create_task(self.ask(entry=entry)))
            await asyncio.sleep(self.random.expovariate(rate))
        return list(await asyncio.gather(*asked))


def most_allowed(limit: float) -> int:
    """Return the requests that an endpoint may get in any window."""
    return int(1.5 * limit * WINDOW_SECONDS + 5)


@pytest.fixture
async def fleet(store: StandinStore, tmp_path: Path) -> AsyncIterator[Fleet]:
    """Run three entry nodes of two zones, and two endpoints of which most are near the first."""
    store.put("op/config", CONFIGURATION)
    async with AsyncExitStack() as stack:
        client = await stack.enter_async_context(ClientSession())
        endpoints = [LimitingEndpoint() for _ in range(2)]
        for number, each in enumerate(endpoints):
            server = await asyncio.start_server(each.serve, LOOPBACK, 0)
            stack.callback(server.close)
            each.address = f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"
            place = f"z{number + 1}"
            fields = {"service": "plain", "address": each.address, "zone": place, "slots": 40}
            store.put(f"servers/i-{number}", {**fields, "state": "ready", "sequence": 1})
        entries, _ = await start_entries(stack, store, client, tmp_path)
        yield Fleet(entries, endpoints, client)


@pytest.mark.parametrize("limit", [0.2, 1.8])
async def test_limited_endpoint_gets_no_more_from_all_nodes_than_it_named(
    fleet: Fleet, limit: float
) -> None:
    """Guards against nodes that send to an endpoint in need as if it had named no limit."""
    limited = fleet.endpoints[0]
    await fleet.load(16.0, 1.0)
    limited.limit = str(limit)
    named_at = asyncio.get_running_loop().time()
    answers = await fleet.load(16.0, SETTLE_SECONDS + 2 * WINDOW_SECONDS)
    since = named_at + SETTLE_SECONDS
    assert limited.count_most(WINDOW_SECONDS, named_at + TOLD_SECONDS) <= most_allowed(limit)
    until = asyncio.get_running_loop().time()
    assert limited.count_between(since, until) >= int(USED_SHARE * limit * (until - since))
    assert {status for status, _ in answers} == {200}
