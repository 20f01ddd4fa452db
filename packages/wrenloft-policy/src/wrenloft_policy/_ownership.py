"""Which node should own a shard, and for how long a lease may be relied on."""

from collections.abc import Iterable
from dataclasses import dataclass

from blake3 import blake3

from wrenloft_core import NodeId, ShardNumber

_CLOCK_DRIFT_MARGIN = 0.15


def rank_owners(shard: ShardNumber, nodes: Iterable[NodeId]) -> list[NodeId]:
    """Order nodes by rendezvous hash, so that a change of nodes moves few shards."""

    def rank(node_id: NodeId) -> bytes:
        return blake3(f"{shard}/{node_id}".encode()).digest(8)

    return sorted(nodes, key=rank)


def choose_owner(shard: ShardNumber, nodes: Iterable[NodeId]) -> NodeId | None:
    """Return the node that should own ``shard``."""
    return next(iter(rank_owners(shard, nodes)), None)


@dataclass(slots=True)
class Lease:
    """A lease as its holder may rely on it.

    The service counts from when it handled the renewal, which is after the holder sent it.
    Counting from BEFORE sending, less a margin for clocks that run at different rates, the
    holder always stops first; a holder that was paused sees on its monotonic clock that its
    deadline has passed.

    :param seconds: the time to live granted by the service.
    :param sent_at: monotonic time just before the last renewal that succeeded was sent.
    """

    seconds: float
    sent_at: float

    @property
    def deadline(self) -> float:
        """Monotonic time after which nothing may be done under the lease."""
        return self.sent_at + self.seconds * (1.0 - _CLOCK_DRIFT_MARGIN)

    def is_valid(self, now: float) -> bool:
        """Tell whether the lease may be relied on at ``now``."""
        return now < self.deadline
