"""Tests of the client of the platform's store."""

import asyncio

import pytest
from aiohttp import ClientSession

from wrenloft_core import PlatformUnavailableError
from wrenloft_platform._store import ConditionFailedError, HistoryLostError, StoreClient

from .conftest import StandinEndpoint, StandinStore


@pytest.fixture
def client(session: ClientSession, store: StandinStore) -> StoreClient:
    """Return a client of the stand-in."""
    return StoreClient(session, store.address)


class TestStoreClient:
    """Tests for ``StoreClient``."""

    async def test_reads_one_key(self, client: StoreClient, store: StandinStore) -> None:
        """A key is read with the revision of its last change."""
        revision = store.put("a/1", {"x": 1})
        item = await client.read("a/1")
        assert item is not None
        assert (item.value, item.revision) == (b'{"x": 1}', revision)
        assert await client.read("a/2") is None

    async def test_lists_all_pages(self, client: StoreClient, store: StandinStore) -> None:
        """A list that the store splits into pages is read completely."""
        store.page = 3
        for number in range(8):
            store.put(f"a/{number}", number)
        store.put("b/1", 0)
        snapshot = await client.list("a/")
        assert [each.key for each in snapshot.items] == [f"a/{number}" for number in range(8)]

    async def test_watch_returns_changes_and_deletions(
        self, client: StoreClient, store: StandinStore
    ) -> None:
        """A watch returns what was written and removed since a revision."""
        at = store.put("a/1", 1)
        store.put("a/2", 2)
        store.remove("a/1")
        snapshot = await client.watch("a/", at, 0.1)
        assert [(each.key, each.value) for each in snapshot.items] == [("a/2", b"2"), ("a/1", None)]

    async def test_watch_of_compacted_history_raises(
        self, client: StoreClient, store: StandinStore
    ) -> None:
        """Guards against taking compacted history for no changes."""
        store.compacted = 100
        with pytest.raises(HistoryLostError):
            await client.watch("a/", 5, 0.1)

    async def test_refused_call_and_lost_response_raise_the_same_error(
        self, client: StoreClient, store: StandinStore
    ) -> None:
        """A write whose response is lost takes effect all the same, which the client can't know."""
        store.refuse = True
        with pytest.raises(PlatformUnavailableError):
            await client.list("a/")
        store.refuse = False
        store.lost_answers = 1
        with pytest.raises(PlatformUnavailableError):
            await client.put("a/1", b"1", 0)
        assert "a/1" in store.items

    async def test_renewal_of_an_expired_lease_fails(
        self, client: StoreClient, store: StandinStore
    ) -> None:
        """An expired lease raises another error than a store that does not answer."""
        lease = await client.grant_lease(5.0)
        await client.renew_lease(lease)
        await client.put("a/1", b"1", lease)
        await client.end_lease(lease)
        assert "a/1" not in store.items
        with pytest.raises(ConditionFailedError):
            await client.renew_lease(lease)

    async def test_pages_of_two_eras_are_no_list(
        self, client: StoreClient, store: StandinStore
    ) -> None:
        """Guards against a list whose pages show the store before and after its return."""
        for number in range(8):
            store.put(f"a/{number}", number)
        older = store.copy()
        store.page = 3
        build_page = store.build_page

        def restore_and_build(prefix: str, after: str) -> dict[str, object]:
            if after:
                store.build_page = build_page  # type: ignore[method-assign]
                store.restore(older)
            return build_page(prefix, after)

        store.build_page = restore_and_build  # type: ignore[method-assign]
        with pytest.raises(PlatformUnavailableError):
            await client.list("a/")
        assert (await client.list("a/")).era == 2

    async def test_waiting_watch_shows_the_next_era(
        self, client: StoreClient, store: StandinStore
    ) -> None:
        """Guards against a watch that hides the store's return because nothing was cut."""
        older = store.copy()
        at = store.put("a/1", 1)
        watching = asyncio.create_task(client.watch("a/", at - 1, 5.0))
        assert (await watching).era == 1
        watching = asyncio.create_task(client.watch("a/", at, 5.0))
        await asyncio.sleep(0.1)
        store.restore(older)
        store.put("b/1", 1)
        store.put("a/2", 2)
        assert (await watching).era == 2

    async def test_store_without_eras_is_read(
        self, client: StoreClient, store: StandinStore
    ) -> None:
        store.era = 0
        store.put("a/1", 1)
        assert (await client.list("a/")).era == 0


async def test_redirect_of_a_write_is_a_failed_call(
    session: ClientSession, endpoint: StandinEndpoint
) -> None:
    """Guards against a write that is sent once more, to where an answer points."""
    redirect = b"HTTP/1.1 307 Temporary Redirect\r\nLocation: /kv-txn\r\nContent-Length: 0\r\n\r\n"
    endpoint.answers = [redirect] * 3
    with pytest.raises(PlatformUnavailableError):
        await StoreClient(session, endpoint.address).put("k", b"v", 1)
    assert len(endpoint.received) == 1
