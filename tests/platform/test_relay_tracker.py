"""Tests of when an agent reads the store itself."""

import asyncio
from random import Random

import pytest
from aiohttp import ClientSession

from wrenloft_core import PlaceName, read_clock
from wrenloft_platform import _relay_tracker
from wrenloft_platform._relay_tracker import UPDATE_TTL_SECONDS, RelayTracker
from wrenloft_platform._store import StoreClient

from .conftest import StandinStore

KEY = "wrenloft/seed/z1"


@pytest.fixture
def tracker(session: ClientSession, store: StandinStore) -> RelayTracker:
    """Return a tracker over the stand-in of the store."""
    return RelayTracker(StoreClient(session, store.address), PlaceName("z1"), Random(1))


class TestRelayTracker:
    """Tests for ``RelayTracker``."""

    async def test_lists_nothing_until_the_seed_key_is_read(
        self, tracker: RelayTracker, store: StandinStore, monkeypatch
    ) -> None:
        """Guards against agents that list ranges while the links between regions are full.

        Lists of a megabyte each, read by hundreds of agents, would keep the links full.
        """
        monkeypatch.setattr(_relay_tracker, "RETRY_SECONDS", 0.01)
        store.refuse = True
        search = asyncio.create_task(tracker.find_seed())
        async with asyncio.timeout(5):
            while len(store.calls) < 3:
                await asyncio.sleep(0.01)
        assert not tracker.can_list
        store.refuse = False
        store.put(KEY, {"internal": "h1:1", "large": False})
        await search
        assert tracker.relay == "h1:1"
        assert tracker.is_current  # the wait for the seed has begun

    @pytest.mark.parametrize("large", [False, True])
    async def test_agents_of_a_large_fleet_wait_longer(
        self, tracker: RelayTracker, store: StandinStore, large: bool
    ) -> None:
        """Guards against agents of a large fleet that all list thousands of endpoints at once.

        When the zone's relay fails, each waits for a random time; in a small fleet none waits.
        """
        store.put(KEY, {"internal": "h1:1", "large": large})
        await tracker.find_seed()
        tracker._current_until = read_clock() - 0.01
        assert tracker.can_list is not large

    async def test_lost_relay_is_tried_last(self, tracker: RelayTracker) -> None:
        """After the later of two relays fails, the earlier one is used."""
        tracker.record_relay("h1:1")
        tracker.record_relay("h2:1")
        tracker.demote_relay("h2:1")
        assert tracker.relay == "h1:1"
        tracker.record_update(read_clock())
        assert tracker.is_current
        tracker._current_until -= UPDATE_TTL_SECONDS
        assert not tracker.is_current
