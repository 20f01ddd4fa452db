"""Tests of leases and of claiming shards."""

import asyncio
import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from random import Random

import pytest
from aiohttp import ClientSession
from wrenloft.platform import (
    ConfigurationStore,
    KeyValueClient,
    Membership,
    NodeRegistration,
    OwnedShard,
    Shards,
)
from wrenloft.platform._keys import name_shard

from wrenloft_core import NodeId, PlaceName, RegionName, ShardNumber
from wrenloft_policy import Lease
from wrenloft_standins import KeyValue, KeyValueFaults, serve

_COUNT = 8
_LEASE_SECONDS = 1


@dataclass
class _Member:
    """One node's membership and shards, with their tasks."""

    membership: Membership
    shards: Shards
    claimed: list[OwnedShard]
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self) -> None:
        """Start its tasks."""
        self.tasks = [
            asyncio.create_task(self.membership.keep_lease()),
            asyncio.create_task(self.membership.poll()),
            asyncio.create_task(self.shards.balance()),
        ]

    async def die(self) -> None:
        """Stop without a word."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)


@asynccontextmanager
async def _open_members(keyvalue: KeyValue, count: int) -> AsyncIterator[list[_Member]]:
    async with serve(keyvalue) as server, ClientSession() as session:
        members = [_build_member(session, server.address, number) for number in range(count)]
        try:
            yield members
        finally:
            await asyncio.gather(*(each.die() for each in members))


def _build_member(session: ClientSession, address: str, number: int) -> _Member:
    client = KeyValueClient(session, [address], timeout=0.5)
    registration = NodeRegistration(
        NodeId(f"node-{number}"), "h", "g", PlaceName("p"), RegionName("r")
    )
    membership = Membership(
        client,
        ConfigurationStore(client),
        registration,
        lease_seconds=_LEASE_SECONDS,
        poll_seconds=0.05,
        random=Random(number),
    )
    claimed: list[OwnedShard] = []

    async def note(owned: OwnedShard) -> None:
        claimed.append(owned)

    shards = Shards(client, membership, _COUNT, note, lambda _: None)
    return _Member(membership, shards, claimed)


def _owned(members: list[_Member]) -> list[ShardNumber]:
    return sorted(owned.number for each in members for owned in each.shards.owned())


async def _wait_for_all(members: list[_Member]) -> None:
    while _owned(members) != list(range(_COUNT)):
        await asyncio.sleep(0.02)


class TestBalance:
    """Tests for ``Shards.balance``."""

    async def test_gives_every_shard_exactly_one_owner(self) -> None:
        """Nodes that start together share the shards among them."""
        async with _open_members(KeyValue(), 3) as members:
            for each in members:
                each.start()
            await _wait_for_all(members)
            assert all(each.shards.owned() for each in members)

    async def test_takes_over_a_dead_owner_with_a_higher_epoch(self) -> None:
        """An entry node is killed; its shards are planned again after its lease has lapsed."""
        async with _open_members(KeyValue(), 2) as members:
            for each in members:
                each.start()
            await _wait_for_all(members)
            before = {owned.number: owned.epoch for owned in members[0].shards.owned()}
            await members[0].die()
            await _wait_for_all(members[1:])
            after = {owned.number: owned.epoch for owned in members[1].shards.owned()}
            assert before
            assert all(after[number] > epoch for number, epoch in before.items())

    async def test_leaves_a_paused_owner_its_shards_until_its_lease_lapses(self) -> None:
        """A node is paused and does not know it.

        Its successor can claim only once the service has ended the lease, and by then the
        paused node's own deadline has passed: at no moment do both count as owners.
        """
        keyvalue = KeyValue()
        async with _open_members(keyvalue, 2) as members:
            for each in members:
                each.start()
            await _wait_for_all(members)
            await members[0].die()  # paused: it renews nothing and is told nothing
            until = asyncio.get_running_loop().time() + 3 * _LEASE_SECONDS
            while asyncio.get_running_loop().time() < until:
                numbers = _owned(members)
                assert len(numbers) == len(set(numbers))
                await asyncio.sleep(0.005)
            assert _owned(members[:1]) == []
            assert _owned(members[1:]) == list(range(_COUNT))

    async def test_nobody_takes_over_during_an_outage(self) -> None:
        """The service is out: leases can't be checked, so no shard changes hands."""
        keyvalue = KeyValue()
        async with _open_members(keyvalue, 2) as members:
            members[0].start()
            await _wait_for_all(members[:1])
            keyvalue.faults = KeyValueFaults(outage=True)
            members[1].start()
            await asyncio.sleep(2 * _LEASE_SECONDS)
            assert members[1].claimed == []
            assert members[0].shards.owned() == []
            keyvalue.faults = KeyValueFaults()
            await _wait_for_all(members)

    async def test_settles_claims_whose_replies_are_lost(self) -> None:
        """Half of the writes take effect without a reply; each shard still gets one owner."""
        keyvalue = KeyValue(seed=2)
        keyvalue.faults = KeyValueFaults(lose_replies=0.5)
        async with _open_members(keyvalue, 2) as members:
            for each in members:
                each.start()
            await asyncio.sleep(1.0)
            keyvalue.faults = KeyValueFaults()
            await _wait_for_all(members)

    async def test_releases_again_what_was_not_released(self) -> None:
        """A node lets go of a shard for a new node, but its release never reaches the service.

        The shard stays in the old node's name in the table. Unless it is released again from
        there, nobody owns it, and every keyed request of the shard is refused.
        """
        async with _open_members(KeyValue(), 2) as members:
            old, new = members
            old.start()
            await _wait_for_all([old])
            for number in range(_COUNT):
                old.shards.lose(ShardNumber(number))
            new.start()
            await _wait_for_all(members)

    async def test_hands_over_at_once_on_a_planned_stop(self) -> None:
        """A node that leaves releases its shards; nobody has to wait for its lease."""
        async with _open_members(KeyValue(), 2) as members:
            for each in members:
                each.start()
            await _wait_for_all(members)
            members[1].shards.draining_peers = lambda: {NodeId("node-0")}
            await members[0].shards.release_all()
            await _wait_for_all(members[1:])
            assert members[0].membership.holds_lease()

    async def test_does_not_claim_from_an_owner_that_renewed_since_the_read(self) -> None:
        """A node acts on an old table in which the owner's lease had lapsed.

        The service compares at the write: the owner is registered, so the claim fails.
        """
        async with _open_members(KeyValue(), 2) as members:
            owner, thief = members
            owner.start()
            await _wait_for_all([owner])
            thief.membership.lease.sent_at = asyncio.get_running_loop().time()
            await thief.membership._read_tables()
            record = thief.membership.tables.shards[ShardNumber(0)]
            await thief.shards._claim_one(ShardNumber(0), record)
            assert thief.claimed == []
            entry = await thief.membership._keyvalue.get(name_shard(ShardNumber(0)))
            assert entry is not None
            assert json.loads(entry.value)["owner"] == "node-0"


class TestLease:
    """Tests for ``Lease``."""

    @pytest.mark.parametrize(("now", "holds"), [(0.0, True), (8.4, True), (8.6, False)])
    def test_ends_before_the_service_ends_it(self, now: float, holds: bool) -> None:
        """The holder counts from before it sent the renewal, less a margin."""
        assert Lease(seconds=10.0, sent_at=0.0).is_valid(now) is holds
