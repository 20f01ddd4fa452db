"""Tests of reading large ranges by their changes."""

import base64
from random import Random

import pytest
from aiohttp import ClientSession

from wrenloft_core import read_clock
from wrenloft_platform._ranges import LARGE_RANGE_ITEMS, RangeReader
from wrenloft_platform._store import StoreClient
from wrenloft_routing import ReceivedSnapshot, StoreSnapshot

from .conftest import StandinStore

PREFIX = "servers/"


@pytest.fixture
def reader(session: ClientSession, store: StandinStore) -> RangeReader:
    """Return a reader of the stand-in."""
    return RangeReader(StoreClient(session, store.address), PREFIX)


def as_taken(snapshot: StoreSnapshot) -> ReceivedSnapshot:
    """Return a snapshot as a node stores it."""
    return ReceivedSnapshot(snapshot, read_clock(), True)


def get_revisions(snapshot: StoreSnapshot) -> dict[str, int]:
    """Return the revision of each key."""
    return snapshot.list_revisions()


def add_endpoints(store: StandinStore, count: int) -> None:
    """Add ``count`` endpoints."""
    for number in range(count):
        store.put(f"{PREFIX}{number:04}", number)


class TestRangeReader:
    """Tests for ``RangeReader``."""

    async def test_small_range_is_read_in_full(
        self, reader: RangeReader, store: StandinStore
    ) -> None:
        """One page costs one call and needs no history."""
        add_endpoints(store, 20)
        known = as_taken(await reader.read(None))
        store.remove(f"{PREFIX}0003")
        await reader.read(known)
        assert store.calls == ["GET /kv-range"] * 2

    async def test_large_range_is_read_by_its_changes(
        self, reader: RangeReader, store: StandinStore
    ) -> None:
        """Guards against full reads of 3,000 endpoints, which filled the links between regions.

        The departure of an endpoint was then seen seconds late. Its change is one call and a few
        bytes.
        """
        add_endpoints(store, 3000)
        known = as_taken(await reader.read(None))
        store.calls.clear()
        store.remove(f"{PREFIX}0003")
        store.put(f"{PREFIX}0004", "draining")
        store.put("other/1", 1)
        snapshot = await reader.read(known)
        assert store.calls == ["GET /kv-watch"]
        assert get_revisions(snapshot) == {
            key: item["revision"] for key, item in store.items.items() if key.startswith(PREFIX)
        }
        assert snapshot.revision == store.revision

    async def test_compacted_history_causes_a_full_read(
        self, reader: RangeReader, store: StandinStore
    ) -> None:
        """No change is missed when the store has compacted the history."""
        add_endpoints(store, LARGE_RANGE_ITEMS + 1)
        known = as_taken(await reader.read(None))
        store.remove(f"{PREFIX}0003")
        store.compacted = store.revision
        snapshot = await reader.read(known)
        assert f"{PREFIX}0003" not in get_revisions(snapshot)

    @pytest.mark.parametrize("seed", range(10))
    async def test_changes_between_pages_are_not_missed(
        self, reader: RangeReader, store: StandinStore, seed: int
    ) -> None:
        """Guards against changes lost while a list is read page by page.

        Entries change on pages read before and after; the next read, by changes alone, has all.
        """
        random = Random(seed)
        store.page = 100
        add_endpoints(store, LARGE_RANGE_ITEMS + 100)
        build_page = store.build_page

        def change_and_build(prefix: str, after: str) -> dict[str, object]:
            page = build_page(prefix, after)
            key = f"{PREFIX}{random.randrange(LARGE_RANGE_ITEMS):04}"
            if key in store.items and random.random() < 0.5:
                store.remove(key)
            else:
                store.put(key, "changed")
            return page

        store.build_page = change_and_build  # type: ignore[method-assign]
        known = as_taken(await reader.read(None))
        store.build_page = build_page  # type: ignore[method-assign]
        snapshot = await reader.read(known)
        assert get_revisions(snapshot) == {
            key: item["revision"] for key, item in store.items.items()
        }

    @pytest.mark.parametrize("lost", [1, 8, 60, 5000])
    @pytest.mark.parametrize("written", [0, 1, 7, 60, 6000])
    async def test_range_is_read_in_full_after_a_return_from_an_older_copy(
        self, reader: RangeReader, store: StandinStore, lost: int, written: int
    ) -> None:
        """Guards against changes that are taken from revisions which were given out again.

        They may lie below, at and beyond the one that was read last.
        """
        add_endpoints(store, LARGE_RANGE_ITEMS + 1)
        older = store.copy()
        for number in range(lost):
            store.put(f"{PREFIX}{number % 300:04}", f"lost-{number}")
        known = as_taken(await reader.read(None))
        store.restore(older)
        for number in range(written):
            store.put(f"{PREFIX}{number % 400:04}", f"new-{number}")
        snapshot = await reader.read(known)
        assert snapshot.era == 2
        assert {each.key: (each.revision, each.value) for each in snapshot.items} == {
            key: (item["revision"], base64.b64decode(item["value"]))
            for key, item in store.items.items()
        }
