"""Tests of when an agent may ask the store itself."""

import asyncio
from random import Random

import pytest
from aiohttp import ClientSession

from wrenloft_core import PlaceName, read_clock
from wrenloft_platform import _feed
from wrenloft_platform._relay_tracker import FED_SECONDS, Feed
from wrenloft_platform._store import StoreClient

from .conftest import StandinStore

KEY = "wrenloft/seed/z1"


@pytest.fixture
def feed(session: ClientSession, store: StandinStore) -> Feed:
    """Return a feed over the stand-in."""
    return Feed(StoreClient(session, store.address), PlaceName("z1"), Random(1))


class TestFeed:
    """Tests for ``Feed``."""

    async def test_lists_nothing_while_the_store_answers_nothing(
        self, feed: Feed, store: StandinStore, monkeypatch
    ) -> None:
        """Links between regions are full: the question for the seed gets no answer.

        Lists asked for instead, a megabyte each by hundreds of agents, would keep them full.
        """
        monkeypatch.setattr(_feed, "RETRY_SECONDS", 0.01)
        store.refuse = True
        asking = asyncio.create_task(feed.find_seed())
        async with asyncio.timeout(5):
            while len(store.calls) < 3:
                await asyncio.sleep(0.01)
        assert not feed.may_list
        store.refuse = False
        store.put(KEY, {"internal": "h1:1", "large": False})
        await asking
        assert feed.relay == "h1:1"
        assert feed.is_fed  # it waits for the seed for a moment

    @pytest.mark.parametrize("large", [False, True])
    async def test_agents_of_a_large_fleet_wait_longer(
        self, feed: Feed, store: StandinStore, large: bool
    ) -> None:
        """The zone's relay is lost: in a small fleet the store is asked at once, in a large one
        each agent waits for a time of its own, or all would list thousands of endpoints together.
        """
        store.put(KEY, {"internal": "h1:1", "large": large})
        await feed.find_seed()
        feed._told_until = read_clock() - 0.01
        assert feed.may_list is not large

    async def test_relay_that_is_lost_is_asked_last(self, feed: Feed) -> None:
        """Two entry nodes have followed the agent; the later one dies."""
        feed.record_relay("h1:1")
        feed.record_relay("h2:1")
        feed.leave("h2:1")
        assert feed.relay == "h1:1"
        feed.record_told(read_clock())
        assert feed.is_fed
        feed._told_until -= FED_SECONDS
        assert not feed.is_fed
