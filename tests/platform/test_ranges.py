"""Tests of reading many entries by what has changed."""

from random import Random

import pytest
from aiohttp import ClientSession

from wrenloft_core import read_clock
from wrenloft_platform._ranges import LARGE_ITEMS, RangeReader
from wrenloft_platform._store import StoreClient
from wrenloft_routing import ReceivedSnapshot, StoreSnapshot

from .conftest import StandinStore

PREFIX = "servers/"


@pytest.fixture
def reader(session: ClientSession, store: StandinStore) -> RangeReader:
    """Return a reader of the stand-in."""
    return RangeReader(StoreClient(session, store.address), PREFIX)


def take(reading: StoreSnapshot) -> ReceivedSnapshot:
    """Return a reading as a node has it."""
    return ReceivedSnapshot(reading, read_clock(), True)


def show(reading: StoreSnapshot) -> dict[str, int]:
    """Return the revision of each key."""
    return reading.list_revisions()


def fill(store: StandinStore, count: int) -> None:
    """List endpoints."""
    for number in range(count):
        store.put(f"{PREFIX}{number:04}", number)


class TestRangeReader:
    """Tests for ``RangeReader``."""

    async def test_few_are_read_whole(self, reader: RangeReader, store: StandinStore) -> None:
        """One page costs one call, and needs no history."""
        fill(store, 20)
        known = take(await reader.read(None))
        store.remove(f"{PREFIX}0003")
        await reader.read(known)
        assert store.calls == ["GET /kv-range"] * 2

    async def test_many_are_read_by_what_has_changed(
        self, reader: RangeReader, store: StandinStore
    ) -> None:
        """An endpoint leaves among 3,000: the reader hears of it by one call and a few bytes.

        Read whole by several nodes across regions, the list filled the links between them, and
        the word of leaving came seconds late.
        """
        fill(store, 3000)
        known = take(await reader.read(None))
        store.calls.clear()
        store.remove(f"{PREFIX}0003")
        store.put(f"{PREFIX}0004", "draining")
        store.put("other/1", 1)
        reading = await reader.read(known)
        assert store.calls == ["GET /kv-watch"]
        assert show(reading) == {
            key: item["revision"] for key, item in store.items.items() if key.startswith(PREFIX)
        }
        assert reading.revision == store.revision

    async def test_lost_history_is_read_whole(
        self, reader: RangeReader, store: StandinStore
    ) -> None:
        """The store forgot what has changed: nothing is missed."""
        fill(store, LARGE_ITEMS + 1)
        known = take(await reader.read(None))
        store.remove(f"{PREFIX}0003")
        store.forgotten = store.revision
        reading = await reader.read(known)
        assert f"{PREFIX}0003" not in show(reading)

    @pytest.mark.parametrize("seed", range(10))
    async def test_changes_between_pages_are_not_missed(
        self, reader: RangeReader, store: StandinStore, seed: int
    ) -> None:
        """Entries change while a list is read page by page, on pages read before and after.

        The next reading, by changes alone, has every one of them.
        """
        random = Random(seed)
        store.page = 100
        fill(store, LARGE_ITEMS + 100)
        whole = store.build_page

        def change_and_build(prefix: str, after: str) -> dict[str, object]:
            page = whole(prefix, after)
            key = f"{PREFIX}{random.randrange(LARGE_ITEMS):04}"
            if key in store.items and random.random() < 0.5:
                store.remove(key)
            else:
                store.put(key, "changed")
            return page

        store.build_page = change_and_build  # type: ignore[method-assign]
        known = take(await reader.read(None))
        store.build_page = whole  # type: ignore[method-assign]
        reading = await reader.read(known)
        assert show(reading) == {key: item["revision"] for key, item in store.items.items()}
