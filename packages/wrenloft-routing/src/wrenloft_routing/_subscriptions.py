"""One task for each peer that is followed."""

import asyncio
from collections.abc import Awaitable, Callable, Hashable, Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

from wrenloft_core import NodeId, PlaceName

K = TypeVar("K", bound=Hashable)


@dataclass(frozen=True, slots=True)
class FollowedNode:
    """Another entry node.

    :param address: for other nodes.
    """

    node_id: NodeId
    address: str


@dataclass(frozen=True, slots=True)
class FollowedAgent:
    """An engine's agent.

    :param engine: the engine's address.
    :param address: the agent's own.
    :param place: where both are.
    """

    engine: str
    address: str
    place: PlaceName


class Followers(Generic[K]):
    """Keeps a task for each peer that is to be followed, and for no other.

    :param follow: follows one peer until cancelled.
    """

    def __init__(self, follow: Callable[[K], Awaitable[None]]) -> None:
        self._follow = follow
        self._tasks: dict[K, asyncio.Task[None]] = {}

    def update(self, wanted: Iterable[K]) -> None:
        """Follow exactly these."""
        peers = set(wanted)
        for peer in self._tasks.keys() - peers:
            self._tasks.pop(peer).cancel()
        for peer in peers - self._tasks.keys():
            self._tasks[peer] = asyncio.ensure_future(self._follow(peer))

    async def close(self) -> None:
        """Stop following."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def __len__(self) -> int:
        return len(self._tasks)
