"""Tests of endpoints that name a rate limit and get requests from several entry nodes."""

import asyncio
import signal
from collections.abc import AsyncIterator, Iterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from random import Random
from typing import Any

import pytest
from aiohttp import ClientError, ClientSession

from .conftest import LOOPBACK, LimitingEndpoint, StandinStore
from .test_crashing_content import run_command, start_entries
from .test_programs import CONFIGURATION, KEY, Entry

SEED = 7
WINDOW_SECONDS = 4.0
PROPAGATION_SECONDS = 0.5
"""Time after the first response with a limit by which every node must apply it."""

SETTLE_SECONDS = 3.0
"""Time after the first response with a limit from which the least rate is checked."""

USED_SHARE = 0.7
"""Least part of a limit that is used while there are enough requests."""


@dataclass
class Fleet:
    """Entry nodes as processes of their own, and endpoints that name limits."""

    entries: list[Entry]
    endpoints: list[LimitingEndpoint]
    client: ClientSession
    random: Random = field(default_factory=lambda: Random(SEED))
    numbers: Iterator[int] = field(default_factory=count)

    async def send(self, path: str = "/stream/x", entry: Entry | None = None) -> tuple[int, str]:
        """Send a request, and return its status and ``Retry-After``."""
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
        """Send ``rate`` requests a second to random nodes, or to one."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        tasks = []
        while loop.time() < until:
            tasks.append(asyncio.create_task(self.send(entry=entry)))
            await asyncio.sleep(self.random.expovariate(rate))
        return list(await asyncio.gather(*tasks))


def max_allowed(limit: float) -> int:
    """Return the largest number of requests that an endpoint may get in any window."""
    return int(1.5 * limit * WINDOW_SECONDS + 5)


@pytest.fixture
async def fleet(store: StandinStore, tmp_path: Path) -> AsyncIterator[Fleet]:
    """Run three entry nodes of two zones and an endpoint in each zone."""
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
async def test_all_nodes_together_keep_to_the_limit_of_an_endpoint(
    fleet: Fleet, limit: float
) -> None:
    """Guards against nodes that ignore the limit of an overloaded endpoint."""
    limited = fleet.endpoints[0]
    await fleet.load(16.0, 1.0)
    limited.limit = str(limit)
    named_at = asyncio.get_running_loop().time()
    answers = await fleet.load(16.0, SETTLE_SECONDS + 2 * WINDOW_SECONDS)
    since = named_at + SETTLE_SECONDS
    assert limited.count_peak(WINDOW_SECONDS, named_at + PROPAGATION_SECONDS) <= max_allowed(limit)
    until = asyncio.get_running_loop().time()
    assert limited.count_between(since, until) >= int(USED_SHARE * limit * (until - since))
    assert {status for status, _ in answers} == {200}


async def list_limits(fleet: Fleet, entry: Entry) -> list[dict[str, Any]]:
    """Return the limits in force that one node shows to operators."""
    node = entry.settings
    url = f"http://{node['ip']}:{node['internal_port']}/operators/v1/limits"
    async with fleet.client.get(url) as response:
        limits: list[dict[str, Any]] = (await response.json())["limits"]
        return limits


async def wait_for_limits(fleet: Fleet, expected: dict[str, float]) -> list[dict[str, Any]]:
    """Send requests until every node has exactly these limits, by endpoint."""
    async with asyncio.timeout(30):
        while True:
            await fleet.load(16.0, 0.3)
            known = [await list_limits(fleet, each) for each in fleet.entries]
            if all({row["endpoint"]: row["rate"] for row in rows} == expected for rows in known):
                return known[0]


async def test_every_node_applies_a_limit_its_changes_and_its_removal(fleet: Fleet) -> None:
    """Guards against nodes that apply an outdated or removed limit."""
    limited = fleet.endpoints[0]
    for text, rate in (("5", 5.0), ("1.8", 1.8), ("20", 20.0)):
        limited.limit = text
        await wait_for_limits(fleet, {"i-0": rate})
    limited.limit = None
    await wait_for_limits(fleet, {})


async def test_callers_beyond_the_limits_get_retry_after(fleet: Fleet) -> None:
    """Guards against callers that wait for a turn they cannot get, or all return at once."""
    for each in fleet.endpoints:
        each.limit = "0.5"
    await wait_for_limits(fleet, {"i-0": 0.5, "i-1": 0.5})
    limited_at = asyncio.get_running_loop().time()
    answers = await fleet.load(16.0, 2 * WINDOW_SECONDS)
    for each in fleet.endpoints:
        assert each.count_peak(WINDOW_SECONDS, limited_at) <= max_allowed(0.5)
    retry_delays = [float(after) for status, after in answers if status == 503]
    assert {status for status, _ in answers} == {200, 503}
    assert min(retry_delays) > 0
    assert len(set(retry_delays)) > 0.75 * len(retry_delays)


@pytest.mark.parametrize("fault", ["killed", "stopped"])
async def test_failed_limiter_is_replaced(fleet: Fleet, fault: str) -> None:
    """Guards against a limit that no node grants any more, or that two nodes grant."""
    limited = fleet.endpoints[0]
    limited.limit = "1.8"
    (row,) = await wait_for_limits(fleet, {"i-0": 1.8})
    limited_at = asyncio.get_running_loop().time()
    limiter = next(each for each in fleet.entries if each.settings["name"] == row["limiter"])
    other = next(each for each in fleet.entries if each is not limiter)
    limiter.process.send_signal(signal.SIGKILL if fault == "killed" else signal.SIGSTOP)
    await fleet.load(16.0, WINDOW_SECONDS, other)
    replaced_at = asyncio.get_running_loop().time()
    if fault == "stopped":
        limiter.process.send_signal(signal.SIGCONT)
    await fleet.load(16.0, 2 * WINDOW_SECONDS, other)
    until = asyncio.get_running_loop().time()
    assert limited.count_peak(WINDOW_SECONDS, limited_at) <= max_allowed(1.8)
    assert limited.count_between(replaced_at, until) >= int(
        USED_SHARE * 1.8 * (until - replaced_at)
    )


async def test_limits_hold_while_the_store_is_down(fleet: Fleet, store: Any) -> None:
    """Guards against limits that are applied only while the store is reachable."""
    limited = fleet.endpoints[0]
    store.refuse = True
    limited.limit = "1.8"
    await wait_for_limits(fleet, {"i-0": 1.8})
    limited_at = asyncio.get_running_loop().time()
    await fleet.load(16.0, WINDOW_SECONDS)
    assert limited.count_peak(WINDOW_SECONDS, limited_at) <= max_allowed(1.8)


async def test_command_lists_the_limits(fleet: Fleet) -> None:
    node = fleet.entries[1].settings
    address = f"{node['ip']}:{node['internal_port']}"
    expected = (0, "no endpoint names a rate limit")
    assert await run_command("limits", "list", "--node", address) == expected
    fleet.endpoints[0].limit = "1.8"
    await wait_for_limits(fleet, {"i-0": 1.8})
    code, line = await run_command("limits", "list", "--node", address)
    assert code == 0, line
    assert line.startswith("i-0  1.8 requests a second for ")
