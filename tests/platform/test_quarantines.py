"""Tests of holds and trials in the store."""

import asyncio
import time
from collections.abc import AsyncIterator

import pytest
from aiohttp import ClientSession

from wrenloft_core import ContentId, IncarnationId
from wrenloft_platform import _holds
from wrenloft_platform._quarantines import StoredHolds, decode_holds, encode_hold
from wrenloft_platform._store import StoreClient
from wrenloft_policy import TRIAL_SECONDS, Standing
from wrenloft_routing import Item, Reading, ToldCrash

from .conftest import StandinStore

CONTENT = ContentId("c")
CRASHES = {IncarnationId("e@1"): ToldCrash(1.5, Standing.COUNTS)}
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


async def test_hold_is_stored_and_read_back(client: StoreClient, store: StandinStore) -> None:
    """A node that starts finds what was held back before, with its age."""
    holds = StoredHolds(client)
    holds.keep(CONTENT, CRASHES)
    await _wait_for(store, present=True)
    news = decode_holds(await client.list("wrenloft/"), time.time() + 100.0)
    (told,) = news[CONTENT].values()
    assert 100.0 < told.age - 1.5 < 110.0
    holds.drop(CONTENT)
    await _wait_for(store, present=False)
    await holds.close()


async def test_one_hold_is_written_once_in_a_while(
    client: StoreClient, store: StandinStore
) -> None:
    """Several engines fall under a content within a second: one lease, one write."""
    holds = StoredHolds(client)
    for _ in range(5):
        holds.keep(CONTENT, CRASHES)
        await asyncio.sleep(0.02)
    assert store.calls.count("POST /kv-txn") == 1
    await holds.close()


async def test_hold_is_stored_once_the_store_is_back(
    client: StoreClient, store: StandinStore, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The store was away at the third crash; the hold is written when it answers again."""
    monkeypatch.setattr(_holds, "RETRY_SECONDS", 0.02)
    store.refuse = True
    holds = StoredHolds(client)
    holds.keep(CONTENT, CRASHES)
    await asyncio.sleep(0.1)
    store.refuse = False
    await _wait_for(store, present=True)
    await holds.close()


async def test_one_of_two_nodes_claims_a_trial(client: StoreClient) -> None:
    """Both find at the same moment that a minute has passed; one request is let through."""
    first, second = StoredHolds(client), StoredHolds(client)
    claims = await asyncio.gather(
        first.claim(CONTENT, TRIAL_SECONDS), second.claim(CONTENT, TRIAL_SECONDS)
    )
    assert sorted(claims) == [False, True]


async def test_no_trial_without_the_store(client: StoreClient, store: StandinStore) -> None:
    """Nobody can tell whether another node has it, so nobody does."""
    store.refuse = True
    assert not await StoredHolds(client).claim(CONTENT, TRIAL_SECONDS)


@pytest.mark.parametrize("value", BAD_ENTRIES)
def test_entry_that_is_no_hold_is_left_out(value: bytes) -> None:
    """It was written by another program; the other entries count."""
    good = Item(KEY, encode_hold(CONTENT, CRASHES, 50.0), 2)
    reading = Reading((Item("wrenloft/held/x", value, 1), good), 2)
    assert decode_holds(reading, 50.0) == {CONTENT: CRASHES}


def test_old_hold_does_not_begin_anew_at_a_node_that_starts(store: StandinStore) -> None:
    """A hold of nine minutes is read by a node that has just started; it ends in one minute."""
    item = Item(KEY, encode_hold(CONTENT, CRASHES, 1000.0), 1)
    (told,) = decode_holds(Reading((item,), 1), 1540.0)[CONTENT].values()
    assert told.age == 541.5
    (told,) = decode_holds(Reading((item,), 1), 990.0)[CONTENT].values()
    assert told.age == 1.5
