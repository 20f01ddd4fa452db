"""Tests of finding the zone's seed at the start."""

import asyncio

import pytest
from aiohttp import ClientSession

from wrenloft_core import PlaceName, PlatformUnavailableError, read_clock
from wrenloft_platform._seeds import Seed, SeedRegistry
from wrenloft_platform._store import StoreClient
from wrenloft_routing import ReceivedSnapshot

from .conftest import StandinStore

PLACE = PlaceName("z1")
KEY = "wrenloft/seed/z1"


@pytest.fixture
def client(session: ClientSession, store: StandinStore) -> StoreClient:
    """Return a client of the stand-in."""
    return StoreClient(session, store.address)


async def read_shared(client: StoreClient) -> ReceivedSnapshot:
    """Read what entry nodes wrote."""
    begun_at = read_clock()
    return ReceivedSnapshot(await client.list("wrenloft/"), begun_at, True)


class TestSeedRegistry:
    """Tests for ``SeedRegistry``."""

    async def test_nodes_that_start_together_find_one_seed(
        self, client: StoreClient, store: StandinStore
    ) -> None:
        """Guards against a start at which all nodes of a zone list ranges of the store.

        Those lists kept the links between regions full for half a minute. One of a hundred nodes
        becomes the seed, and the others read its address.
        """
        seeds = [SeedRegistry(client, PLACE, f"h{number}:1") for number in range(100)]
        found = await asyncio.gather(*(each.find_or_claim() for each in seeds))
        assert len(set(found)) == 1
        assert found[0] is not None and found[0].large
        assert "GET /kv-range" not in store.calls
        assert len(store.calls) <= 3 * len(seeds)

    async def test_seed_key_survives_its_process(
        self, client: StoreClient, store: StandinStore
    ) -> None:
        """After a failure of all processes they find the same address and size."""
        store.put(KEY, {"internal": "h1:1", "large": False})
        assert await SeedRegistry(client, PLACE, "h2:1").find_or_claim() == Seed(
            "h1:1", large=False
        )

    async def test_unavailable_store_is_not_taken_for_a_missing_seed(
        self, client: StoreClient, store: StandinStore
    ) -> None:
        """Guards against a node that takes itself for the first while the store is down."""
        store.refuse = True
        seeds = SeedRegistry(client, PLACE, "h1:1")
        for call in (seeds.find, seeds.find_or_claim):
            with pytest.raises(PlatformUnavailableError):
                await call()

    @pytest.mark.parametrize("value", ["no seed", {"internal": "h1:1"}, 7, [[]]])
    async def test_malformed_seed_is_ignored(
        self, client: StoreClient, store: StandinStore, value: object
    ) -> None:
        """A value of another program delays the start but does not stop the node."""
        store.put(KEY, value)
        assert await SeedRegistry(client, PLACE).find() is None

    async def test_relay_replaces_a_lost_seed(
        self, client: StoreClient, store: StandinStore
    ) -> None:
        """A connected seed stays; a lost one is replaced by the zone's relay, once."""
        store.put(KEY, {"internal": "h1:1", "large": True})
        seeds = SeedRegistry(client, PLACE, "h2:1")
        seeds.apply(await read_shared(client))
        await seeds.update(lambda address: address == "h1:1")
        await seeds.update(lambda _: False)
        await seeds.update(lambda _: False)
        assert await seeds.find() == Seed("h2:1", large=True)
        assert store.calls.count("POST /kv-txn") == 1

    async def test_seed_that_the_store_lost_is_registered_again(
        self, client: StoreClient, store: StandinStore
    ) -> None:
        """Guards against a zone without a seed after the store came back from an older copy."""
        older = store.copy()
        seeds = SeedRegistry(client, PLACE, "h1:1")
        await seeds.update(lambda _: True)
        unread = await read_shared(client)
        store.restore(older)
        await seeds.update(lambda _: True)
        assert await seeds.find() is None
        seeds.apply(await read_shared(client))
        await seeds.update(lambda _: True)
        assert await seeds.find() == Seed("h1:1", large=True)
        seeds.apply(unread)
        await seeds.update(lambda _: True)
        assert store.calls.count("POST /kv-txn") == 2
