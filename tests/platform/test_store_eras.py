"""Tests of a store that comes back from an older copy and gives out its revisions again."""

import asyncio
from typing import Any

import pytest

from .conftest import StandinStore
from .test_leaving import Fleet, fleet
from .test_programs import CONFIGURATION

__all__ = ["fleet"]

APPLY_SECONDS = 2.0
"""Time from the store's answer to a change until every node must apply it."""

LOST_WRITES = [1, 8, 60]


def build_configuration(version: int, keys: list[str], *prefixes: str) -> dict[str, Any]:
    """Return a configuration with these keys, and with further public routes."""
    (route,) = [each for each in CONFIGURATION["routes"] if each["name"] == "stream"]
    added = [{**route, "name": each, "prefix": f"/{each}/"} for each in prefixes]
    return {
        **CONFIGURATION,
        "version": version,
        "routes": [*CONFIGURATION["routes"], *added],
        "tenants": [{"name": "org1", "apiKeys": keys}],
    }


async def list_statuses(fleet: Fleet, path: str) -> set[int]:
    """Return the statuses of a request to each node."""
    return {(await fleet.send(each, path))[0] for each in fleet.entries}


async def wait_for_status(fleet: Fleet, path: str, status: int) -> None:
    """Wait until every node answers with this status, at most for the time that it may take."""
    async with asyncio.timeout(APPLY_SECONDS):
        while await list_statuses(fleet, path) != {status}:
            await asyncio.sleep(0.05)


async def lose_writes(fleet: Fleet, count: int, *, noticed: bool) -> None:
    """Let the store lose some writes that all nodes know of.

    :param noticed: whether it is away for a moment before it comes back.
    """
    store: StandinStore = fleet.store
    older = store.copy()
    for number in range(count - 1):
        store.put(f"op/note/{number}", number)
    store.put("op/config", build_configuration(5, ["k1", "k2"], "lost"))
    await wait_for_status(fleet, "/lost/x", 200)
    if noticed:
        store.refuse = True
        await asyncio.sleep(1.5)
        store.refuse = False
    store.restore(older)


@pytest.mark.parametrize("noticed", [False, True])
@pytest.mark.parametrize("lost", LOST_WRITES)
async def test_what_is_written_after_the_return_is_in_force(
    fleet: Fleet, lost: int, noticed: bool
) -> None:
    """Guards against nodes that reject all of a store whose revisions have gone back."""
    await lose_writes(fleet, lost, noticed=noticed)
    await asyncio.sleep(1.0)
    fleet.store.put("op/config", build_configuration(7, ["k2"], "lost", "added"))
    leaving = max(fleet.endpoints, key=lambda each: len(each.arrivals))
    number = fleet.endpoints.index(leaving)
    fields = {"service": "plain", "address": leaving.address, "zone": "z1", "slots": 4}
    fleet.store.put(f"servers/i-{number}", {**fields, "state": "draining", "sequence": 2})
    written_at = asyncio.get_running_loop().time()
    await wait_for_status(fleet, "/added/x", 200)
    assert await list_statuses(fleet, "/once/x") == {401}
    await asyncio.sleep(written_at + APPLY_SECONDS - asyncio.get_running_loop().time())
    await fleet.load(30.0, 3.0)
    assert not [at for _, at in leaving.arrivals if at > written_at + APPLY_SECONDS]


@pytest.mark.parametrize("noticed", [False, True])
async def test_configuration_that_the_store_lost_stays_in_force(
    fleet: Fleet, noticed: bool
) -> None:
    """Guards against nodes that go back to an older configuration with the store."""
    await lose_writes(fleet, 8, noticed=noticed)
    until = asyncio.get_running_loop().time() + 3.0
    while asyncio.get_running_loop().time() < until:
        assert await list_statuses(fleet, "/lost/x") == {200}
        await asyncio.sleep(0.1)
    fleet.store.put("op/config", build_configuration(5, ["k1", "k2"], "lost"))
    await asyncio.sleep(APPLY_SECONDS)
    fleet.store.put("op/config", build_configuration(6, ["k1", "k2"]))
    await wait_for_status(fleet, "/lost/x", 404)


async def test_nodes_whose_entries_the_store_lost_register_again(fleet: Fleet) -> None:
    """Guards against nodes that nobody finds, or that renew what is now another's lease."""
    store = fleet.store
    keys = {f"wrenloft/entry/{node}" for node in fleet.nodes}
    assert keys <= set(store.items)
    older = store.copy()
    for key in keys:
        del older.items[key]
    older.leases.clear()
    store.restore(older)
    store.leases[1] = 60_000  # of another process
    store.put("wrenloft/other", {}, 1)
    async with asyncio.timeout(4.0):
        while not keys <= set(store.items):
            await asyncio.sleep(0.05)
    first = fleet.entries[0]
    first.process.terminate()
    await first.process.communicate()
    assert "wrenloft/other" in store.items
    assert f"wrenloft/entry/{fleet.nodes[0]}" not in store.items
