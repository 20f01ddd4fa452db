"""Claiming, holding and handing over shards."""

import asyncio
import json
import logging
from collections.abc import Awaitable, Callable, Collection, Iterable, Mapping
from dataclasses import dataclass

from wrenloft.platform._keys import name_node, name_shard
from wrenloft.platform._keyvalue import Absent, Condition, KeyValueClient, Put, Unchanged
from wrenloft.platform._membership import Membership, ShardRecord
from wrenloft_core import NodeId, PlatformUnavailableError, ShardNumber, log_decision
from wrenloft_policy import choose_owner

_LOG = logging.getLogger(__name__)
_CALLS_AT_ONCE = 8


@dataclass(frozen=True, slots=True)
class OwnedShard:
    """A shard that this node claimed.

    :param mod_revision: of the claim; a write that names it fails once another node has claimed.
    """

    number: ShardNumber
    epoch: int
    mod_revision: int


class Shards:
    """The shards that this node owns.

    :param on_claimed: called with each new shard before it counts as owned.
    :param on_lost: called with each shard that is gone.
    """

    def __init__(
        self,
        keyvalue: KeyValueClient,
        membership: Membership,
        shard_count: int,
        on_claimed: Callable[[OwnedShard], Awaitable[None]],
        on_lost: Callable[[ShardNumber], None],
    ) -> None:
        self._keyvalue = keyvalue
        self._membership = membership
        self._count = shard_count
        self._on_claimed = on_claimed
        self._on_lost = on_lost
        self._owned: dict[ShardNumber, OwnedShard] = {}
        self.draining = False
        self.draining_peers: Callable[[], Collection[NodeId]] = frozenset

    def get(self, number: ShardNumber) -> OwnedShard | None:
        """Return a shard if it is owned here and the lease still holds."""
        return self._owned.get(number) if self._membership.holds_lease() else None

    def owned(self) -> list[OwnedShard]:
        """Return all shards that may be acted for now."""
        return list(self._owned.values()) if self._membership.holds_lease() else []

    def lose(self, number: ShardNumber) -> None:
        """Note that another node has claimed a shard."""
        if self._owned.pop(number, None):
            self._on_lost(number)

    async def balance(self) -> None:
        """After every read of the tables, claim and hand over, until cancelled."""
        while True:
            await self._membership.polled.wait()
            if not self._membership.holds_lease():
                continue
            self._compare()
            await self._hand_over()
            await self._claim()

    async def release_all(self) -> None:
        """Hand every shard back, so that others claim at once."""
        self.draining = True
        await self._release(
            {
                each.number: ShardRecord(self._membership.node_id, each.epoch, each.mod_revision)
                for each in self._owned.values()
            }
        )

    def _wanted_owner(self, number: ShardNumber) -> NodeId | None:
        nodes = self._membership.tables.nodes.keys() - set(self.draining_peers())
        if self.draining:
            nodes = nodes - {self._membership.node_id}
        return choose_owner(number, nodes)

    def _compare(self) -> None:
        """Give up what the table no longer says is ours, and take back what it does.

        The reply to a claim may have been lost though the claim took effect; the table is the
        truth, and the epoch in it is ours to use.
        """
        for number in list(self._owned):
            record = self._membership.tables.shards.get(number)
            owned = self._owned[number]
            if record is None or record.mod_revision < owned.mod_revision:
                continue  # read before the claim
            if record.owner != self._membership.node_id or record.epoch != owned.epoch:
                self.lose(number)

    async def _hand_over(self) -> None:
        """Release every shard in this node's name that another node should own.

        The table decides, not memory: the reply to an earlier release may have been lost though
        nothing was written, and the shard would stay in the name of a node that has let go of
        it, with nobody allowed to claim it.
        """
        own = self._membership.node_id
        moved = {
            number: record
            for number, record in self._membership.tables.shards.items()
            if record.owner == own and self._wanted_owner(number) not in (None, own)
        }
        await self._release(moved)

    async def _release(self, records: Mapping[ShardNumber, ShardRecord]) -> None:
        for number in records:
            self.lose(number)
        await _gather_bounded(
            self._release_one(number, record) for number, record in records.items()
        )

    async def _release_one(self, number: ShardNumber, record: ShardRecord) -> None:
        key = name_shard(number)
        put = Put(key, _encode(NodeId(""), record.epoch))
        try:
            await self._keyvalue.commit([Unchanged(key, record.mod_revision)], [put])
        except PlatformUnavailableError as error:
            _LOG.warning("shard %d not released yet: %s", number, error)

    async def _claim(self) -> None:
        if self.draining:
            return
        own = self._membership.node_id
        free: list[tuple[ShardNumber, ShardRecord | None]] = []
        for number in map(ShardNumber, range(self._count)):
            record = self._membership.tables.shards.get(number)
            is_ours = number in self._owned or self._wanted_owner(number) != own
            if not is_ours and (record is None or self._is_free(record)):
                free.append((number, record))
        await _gather_bounded(self._claim_one(number, record) for number, record in free)

    def _is_free(self, record: ShardRecord) -> bool:
        """A shard is free once its owner's registration, and so its lease, is gone."""
        own = self._membership.node_id
        return record.owner in ("", own) or record.owner not in self._membership.tables.nodes

    async def _claim_one(self, number: ShardNumber, record: ShardRecord | None) -> None:
        key = name_shard(number)
        epoch = record.epoch + 1 if record else 1
        put = Put(key, _encode(self._membership.node_id, epoch))
        try:
            await self._keyvalue.commit(self._list_conditions(key, record), [put])
        except PlatformUnavailableError as error:
            _LOG.warning("reply to the claim of shard %d lost, reading back: %s", number, error)
        try:
            entry = await self._keyvalue.get(key)
            if entry is None or entry.value != put.value:
                return
            owned = OwnedShard(number, epoch, entry.mod_revision)
            await self._on_claimed(owned)
        except PlatformUnavailableError as error:
            _LOG.warning("shard %d not claimed yet: %s", number, error)
            return
        self._owned[number] = owned
        log_decision(
            f"shard {number}",
            chosen=self._membership.node_id,
            reason="first by rendezvous hash, and free",
            epoch=epoch,
        )

    def _list_conditions(self, key: str, record: ShardRecord | None) -> list[Condition]:
        if record is None:
            return [Absent(key)]
        conditions: list[Condition] = [Unchanged(key, record.mod_revision)]
        # The table may be old: an owner that renewed since must keep its shard, or two nodes
        # would act for it at once. The service itself compares, at the write.
        if record.owner not in ("", self._membership.node_id):
            conditions.append(Absent(name_node(record.owner)))
        return conditions


async def _gather_bounded(work: Iterable[Awaitable[None]]) -> None:
    """Do all, a few at a time, so that a take-over does not flood the service."""
    slots = asyncio.Semaphore(_CALLS_AT_ONCE)

    async def do(each: Awaitable[None]) -> None:
        async with slots:
            await each

    await asyncio.gather(*map(do, work))


def _encode(owner: NodeId, epoch: int) -> bytes:
    return json.dumps({"owner": owner, "epoch": epoch}).encode()
