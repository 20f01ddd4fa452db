"""Tests of accepting and adopting configurations."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest
from aiohttp import ClientSession
from wrenloft.platform import ConfigurationStore, HistoryEntry, KeyValueClient
from wrenloft.platform._keys import HEAD

from wrenloft_core import (
    Configuration,
    ConflictError,
    Fleet,
    PlatformUnavailableError,
    Revision,
    digest_bytes,
    split_sections,
)
from wrenloft_standins import KeyValue, KeyValueFaults, serve


@asynccontextmanager
async def _open_stores(
    keyvalue: KeyValue, count: int = 2
) -> AsyncIterator[list[ConfigurationStore]]:
    async with serve(keyvalue) as server, ClientSession() as session:
        yield [
            ConfigurationStore(KeyValueClient(session, [server.address], timeout=0.5))
            for _ in range(count)
        ]


def _sections(answer_bytes: int) -> dict[str, bytes]:
    return split_sections(Configuration(fleet=Fleet(answer_bytes=answer_bytes)))


async def _accept(
    store: ConfigurationStore, value: int, base: int, operation: str = ""
) -> HistoryEntry:
    return await store.accept(
        _sections(value),
        base=Revision(base),
        operation=operation or f"operation-{value}",
        author=f"author-{value}",
        summary="",
    )


class TestAccept:
    """Tests for ``ConfigurationStore.accept``."""

    @pytest.mark.parametrize("lost", [1, 2, 3])
    async def test_is_accepted_once_though_replies_are_lost(self, lost: int) -> None:
        """The service takes the change but its reply never comes.

        Reading back finds the change by its operation id, so the operator is told that it was
        accepted, and it becomes one revision and not two.
        """
        keyvalue = KeyValue()
        async with _open_stores(keyvalue, 1) as (store,):
            await _accept(store, 1, base=0)
            keyvalue.faults = KeyValueFaults(lose_next=lost)
            head = await _accept(store, 2, base=1, operation="second")
            assert head.revision == 2
            assert store.current.fleet.answer_bytes == 2

    async def test_finds_its_own_change_after_the_reply_was_lost(self) -> None:
        """The head moves but the reply is lost, so the next try finds the head moved.

        Only the operation id tells that it was this change; without it the operator would be
        told that somebody else had won, though the change is in force.
        """
        keyvalue = KeyValue()
        async with _open_stores(keyvalue, 1) as (store,):
            await _accept(store, 1, base=0)
            keyvalue.faults = KeyValueFaults(lose_next=1)
            head = await _accept(store, 1, base=1, operation="same sections")
            assert (head.revision, head.operation) == (2, "same sections")

    async def test_tells_the_loser_of_a_race_who_won(self) -> None:
        """Two operators change the configuration at the same moment.

        One is accepted; the other is told which change came first, and nothing is overwritten.
        """
        async with _open_stores(KeyValue()) as (one, other):
            results = await asyncio.gather(
                _accept(one, 1, base=0), _accept(other, 2, base=0), return_exceptions=True
            )
            winners = [each for each in results if isinstance(each, HistoryEntry)]
            losers = [each for each in results if isinstance(each, ConflictError)]
            assert (len(winners), len(losers)) == (1, 1)
            assert winners[0].author in losers[0].reason
            present = await one.read_history(Revision(1))
            assert present is not None
            assert present.operation == winners[0].operation

    async def test_many_racing_operators_lose_no_accepted_change(self) -> None:
        """Whoever is told 'accepted' finds the change in the history, whatever is lost."""
        keyvalue = KeyValue(seed=5)
        accepted: list[str] = []

        async def change(store: ConfigurationStore, number: int) -> None:
            for attempt in range(20):
                entry = await store._keyvalue.get(HEAD)
                base = HistoryEntry.decode(entry.value).revision if entry else 0
                operation = f"{number}-{attempt}"
                try:
                    await _accept(store, number * 100 + attempt, base, operation)
                except (ConflictError, PlatformUnavailableError):
                    continue
                accepted.append(operation)
                return

        async with _open_stores(keyvalue, 6) as stores:
            keyvalue.faults = KeyValueFaults(lose_replies=0.2)
            await asyncio.gather(*(change(each, n) for n, each in enumerate(stores)))
            keyvalue.faults = KeyValueFaults()
            newest = max(each.revision for each in stores)
            history = [await stores[0].read_history(Revision(n + 1)) for n in range(newest)]
        operations = [each.operation for each in history if each is not None]
        assert len(accepted) == 6
        assert set(accepted) <= set(operations)
        assert len(set(operations)) == newest

    async def test_says_that_it_does_not_know_when_the_service_is_out(self) -> None:
        """During an outage nothing is accepted, and nothing is claimed to be."""
        keyvalue = KeyValue()
        keyvalue.faults = KeyValueFaults(outage=True)
        async with _open_stores(keyvalue, 1) as (store,):
            with pytest.raises(PlatformUnavailableError):
                await _accept(store, 1, base=0)
            assert store.revision == 0


class TestAdopt:
    """Tests for ``ConfigurationStore.adopt``."""

    async def test_never_goes_back(self) -> None:
        """A message with an old revision arrives after a newer one is in force.

        Were it applied, a key that was withdrawn would work again on this node.
        """
        async with _open_stores(KeyValue()) as (one, other):
            await _accept(one, 1, base=0)
            old_head, old_bodies = one.head, dict(one.bodies)
            await _accept(one, 2, base=1)
            assert other.adopt(one.head, one.bodies)
            assert not other.adopt(old_head, old_bodies)
            assert (other.revision, other.current.fleet.answer_bytes) == (2, 2)

    async def test_refuses_a_bundle_that_is_not_whole(self) -> None:
        """A peer sends a head without one of its sections: the old revision stays in force."""
        async with _open_stores(KeyValue(), 1) as (store,):
            await _accept(store, 1, base=0)
            sections = {"fleet": str(digest_bytes(b"elsewhere"))}
            head = HistoryEntry(revision=Revision(2), sections=sections)
            with pytest.raises(Exception, match="not whole"):
                store.adopt(head, {})
            assert store.revision == 1
