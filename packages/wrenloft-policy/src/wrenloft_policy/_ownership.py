"""Ownership of shards, and the validity of leases."""

from collections.abc import Iterable
from dataclasses import dataclass

from blake3 import blake3

from wrenloft_core import NodeId, ShardNumber

_CLOCK_DRIFT_MARGIN = 0.15


def rank_owners(shard: ShardNumber, nodes: Iterable[NodeId]) -> list[NodeId]:
    """Order nodes by rendezvous hash, so that few shards move when nodes join or leave."""

    def rank(node_id: NodeId) -> bytes:
        return blake3(f"{shard}/{node_id}".encode()).digest(8)

    return sorted(nodes, key=rank)


def choose_owner(shard: ShardNumber, nodes: Iterable[NodeId]) -> NodeId | None:
    """Return the node that should own ``shard``."""
    return next(iter(rank_owners(shard, nodes)), None)


@dataclass(slots=True)
class Lease:
    """A lease from the point of view of its holder.

    The service counts from the time at which it handled the renewal, which is after the holder sent
    it. The holder counts from the time before sending, less a margin for clock drift, so its lease
    always ends first. A holder that was paused sees on its monotonic clock that the deadline has
    passed.

    :param seconds: time to live granted by the service.
    :param sent_at: monotonic time just before the last successful renewal was sent.
    """

    seconds: float
    sent_at: float

    @property
    def deadline(self) -> float:
        """Monotonic time after which the holder must not act under the lease."""
        return self.sent_at + self.seconds * (1.0 - _CLOCK_DRIFT_MARGIN)

    def is_valid(self, now: float) -> bool:
        """Return whether the holder may act under the lease at ``now``."""
        return now < self.deadline
