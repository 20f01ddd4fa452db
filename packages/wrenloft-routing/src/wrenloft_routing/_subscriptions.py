"""Subscriptions to peers: one task each."""

import asyncio
from collections.abc import Awaitable, Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from wrenloft_core import NodeId, PlaceName

K = TypeVar("K", bound=Hashable)


@dataclass(frozen=True, slots=True)
class NodePeer:
    """Another entry node.

    :param address: its internal address.
    """

    node_id: NodeId
    address: str


@dataclass(frozen=True, slots=True)
class AgentPeer:
    """An engine's agent.

    :param engine: the engine's address.
    :param address: the agent's address.
    :param place: availability zone of both.
    """

    engine: str
    address: str
    place: PlaceName


class Subscriptions(Generic[K]):
    """Runs one task for each subscribed peer.

    :param subscribe: subscribes to one peer until cancelled.
    """

    def __init__(self, subscribe: Callable[[K], Awaitable[None]]) -> None:
        self._subscribe = subscribe
        self._tasks: dict[K, asyncio.Task[None]] = {}

    def update(self, wanted: Iterable[K]) -> None:
        """Start and cancel tasks so that exactly these peers are subscribed to."""
        peers = set(wanted)
        for peer in self._tasks.keys() - peers:
            self._tasks.pop(peer).cancel()
        for peer in peers - self._tasks.keys():
            self._tasks[peer] = asyncio.ensure_future(self._subscribe(peer))

    async def close(self) -> None:
        """Cancel all subscriptions."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def __len__(self) -> int:
        return len(self._tasks)
