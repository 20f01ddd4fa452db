"""Tests of quarantines and probe claims in the store."""

import asyncio
import time
from collections.abc import AsyncIterator
from random import Random

import pytest
from aiohttp import ClientSession

from wrenloft_core import ContentId, IncarnationId
from wrenloft_platform import _quarantines
from wrenloft_platform._quarantines import StoredQuarantines, decode_quarantines, encode_quarantine
from wrenloft_platform._store import StoreClient
from wrenloft_policy import PROBE_INTERVAL_SECONDS, CrashStatus
from wrenloft_routing import Item, ReportedCrash, StoreSnapshot

from .conftest import StandinStore

CONTENT = ContentId("c")
CRASHES = {IncarnationId("e@1"): ReportedCrash(1.5, CrashStatus.COUNTED)}
KEY = "wrenloft/held/c"
BAD_ENTRIES = [
    b"",
    b"{",
    b"[]",
    b'{"crashes": {}}',
    b'{"written_at": 1, "crashes": {"c": 3}}',
    b'{"written_at": 1, "crashes": {"c": [["e", "x", 0]]}}',
]


@pytest.fixture
async def client(store: StandinStore) -> AsyncIterator[StoreClient]:
    """Open a client of the stand-in."""
    async with ClientSession() as session:
        yield StoreClient(session, store.address)


async def _wait_for(store: StandinStore, *, present: bool) -> None:
    async with asyncio.timeout(5):
        while (KEY in store.items) is not present:
            await asyncio.sleep(0.01)


async def test_quarantine_is_stored_and_read_back(client: StoreClient, store: StandinStore) -> None:
    """A node that starts finds the stored quarantines with their age."""
    quarantines = StoredQuarantines(client)
    quarantines.keep(CONTENT, CRASHES)
    await _wait_for(store, present=True)
    updates = decode_quarantines(await client.list("wrenloft/"), time.time() + 100.0)
    (reported,) = updates[CONTENT].values()
    assert 100.0 < reported.age - 1.5 < 110.0
    quarantines.drop(CONTENT)
    await _wait_for(store, present=False)
    await quarantines.close()


async def test_repeated_writes_of_a_quarantine_are_rate_limited(
    client: StoreClient, store: StandinStore
) -> None:
    """Several engines that fail under one content within a second cost one lease and one write."""
    quarantines = StoredQuarantines(client)
    for _ in range(5):
        quarantines.keep(CONTENT, CRASHES)
        await asyncio.sleep(0.02)
    assert store.calls.count("POST /kv-txn") == 1
    await quarantines.close()


async def test_write_is_retried_until_the_store_is_back(
    client: StoreClient, store: StandinStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A quarantine that began during a store outage is written afterwards."""
    monkeypatch.setattr(_quarantines, "RETRY_SECONDS", 0.02)
    store.refuse = True
    quarantines = StoredQuarantines(client)
    quarantines.keep(CONTENT, CRASHES)
    await asyncio.sleep(0.1)
    store.refuse = False
    await _wait_for(store, present=True)
    await quarantines.close()


async def test_only_one_of_two_nodes_claims_a_probe(client: StoreClient) -> None:
    """Guards against two nodes that both send a probe when it is due."""
    first, second = StoredQuarantines(client), StoredQuarantines(client)
    claims = await asyncio.gather(
        first.claim(CONTENT, PROBE_INTERVAL_SECONDS), second.claim(CONTENT, PROBE_INTERVAL_SECONDS)
    )
    assert sorted(claims) == [False, True]


async def test_probe_is_not_claimed_without_the_store(
    client: StoreClient, store: StandinStore
) -> None:
    """Without the store no node knows whether another one has the claim."""
    store.refuse = True
    assert not await StoredQuarantines(client).claim(CONTENT, PROBE_INTERVAL_SECONDS)


@pytest.mark.parametrize("value", BAD_ENTRIES)
def test_malformed_quarantine_is_ignored(value: bytes) -> None:
    """An entry of another program does not hide the others."""
    good = Item(KEY, encode_quarantine(CONTENT, CRASHES, 50.0), 2)
    snapshot = StoreSnapshot((Item("wrenloft/held/x", value, 1), good), 2)
    assert decode_quarantines(snapshot, 50.0) == {CONTENT: CRASHES}


def test_stored_age_is_kept_at_a_node_that_starts(store: StandinStore) -> None:
    """Guards against a quarantine whose time starts over at a node that has just started.

    After nine minutes it must end within one more.
    """
    item = Item(KEY, encode_quarantine(CONTENT, CRASHES, 1000.0), 1)
    (reported,) = decode_quarantines(StoreSnapshot((item,), 1), 1540.0)[CONTENT].values()
    assert reported.age == 541.5
    (reported,) = decode_quarantines(StoreSnapshot((item,), 1), 990.0)[CONTENT].values()
    assert reported.age == 1.5


@pytest.mark.parametrize("ended", [False, True])
async def test_writes_that_the_store_lost_are_repeated(
    client: StoreClient, store: StandinStore, ended: bool
) -> None:
    """Guards against quarantines that are lost, or back, after a return from an older copy."""
    quarantines = StoredQuarantines(client)
    older = store.copy()
    quarantines.keep(CONTENT, CRASHES)
    await _wait_for(store, present=True)
    if ended:
        older = store.copy()
        quarantines.drop(CONTENT)
        await _wait_for(store, present=False)
    store.restore(older)
    quarantines.replay(Random(1))
    await _wait_for(store, present=not ended)
    await quarantines.close()
