"""What the neighbours hold of one version, and fetching chunks from them."""

import asyncio
import json
from collections.abc import Sequence
from dataclasses import dataclass

from aiohttp import ClientError, ClientSession, ClientTimeout
from blake3 import blake3

from wrenloft_core import PlatformUnavailableError, read_clock
from wrenloft_swarm._chunk_store import VersionName
from wrenloft_swarm._ports import Neighbour, Urgency

CONNECT_SECONDS = 1.0
"""Longest wait for a connection; its packets queue behind four chunks, 0.2 s, at either end."""

SILENCE_SECONDS = 3.0
"""Silence of a neighbour's list after which its connection is opened anew."""

CHUNK_SECONDS = 2.0
"""Longest time for a chunk from a neighbour: it takes 54 ms alone, and 0.5 s beside seven more."""

DIGESTS_SECONDS = 1.0
BUSY_SECONDS = 0.1
"""How long a neighbour that sends to enough others is passed over: two chunks leave meanwhile."""

_PENALTY_SECONDS = 0.5
_PENALTY_LONGEST = 4.0


MOST_NEAR = 16
"""Agents of the own region that are followed. In a random graph of this degree a chunk is two hops
from everybody; to follow all was 118 connections an agent at 119, each with ten messages a
second."""

MOST_AT_ORIGIN = 8
"""Agents of the origin's region that are followed from elsewhere: twice those that fetch there."""

MOST_ELSEWHERE = 4
"""Agents followed of each other region, which pass on what they took from the origin's."""


def choose_followed(own: Neighbour, others: Sequence[Neighbour]) -> list[Neighbour]:
    """Choose the agents whose possessions this one follows, few in a fleet of any size.

    Each agent draws its own by hash, so that none is followed by all.
    """

    def rank(each: Neighbour) -> bytes:
        return blake3(f"{own.address}/{each.address}".encode()).digest(8)

    by_region: dict[str, list[Neighbour]] = {}
    for each in sorted(others, key=rank):
        by_region.setdefault(each.region, []).append(each)
    chosen = []
    for members in by_region.values():
        first = members[0]
        elsewhere = MOST_AT_ORIGIN if first.at_origin else MOST_ELSEWHERE
        chosen += members[: MOST_NEAR if first.near else elsewhere]
    return chosen


class NeighbourBusyError(PlatformUnavailableError):
    """The neighbour sends to as many others as it may."""


@dataclass(slots=True)
class Followed:
    """A neighbour, what it holds and how it has behaved."""

    neighbour: Neighbour
    held: int = 0
    connected: bool = False
    busy: int = 0
    failures: int = 0
    avoided_until: float = 0.0

    def record_failure(self) -> None:
        """Avoid it for a while, longer each time in a row."""
        pause = min(_PENALTY_LONGEST, _PENALTY_SECONDS * 2**self.failures)
        self.failures += 1
        self.avoided_until = read_clock() + pause


class Possessions:
    """Follows what each neighbour holds of one version.

    :param wake: called whenever something has changed.
    """

    def __init__(self, name: VersionName, session: ClientSession, wake: asyncio.Event) -> None:
        self._name = name
        self._session = session
        self._wake = wake
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self.known: dict[str, Followed] = {}

    def update(self, neighbours: Sequence[Neighbour]) -> None:
        """Follow exactly these neighbours."""
        wanted = {each.address: each for each in neighbours}
        for address in self.known.keys() - wanted.keys():
            del self.known[address]
            self._tasks.pop(address).cancel()
        for address in wanted.keys() - self.known.keys():
            followed = Followed(wanted[address])
            self.known[address] = followed
            self._tasks[address] = asyncio.create_task(self._follow(followed))

    async def close(self) -> None:
        """Stop following."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    async def _follow(self, followed: Followed) -> None:
        url = f"http://{followed.neighbour.address}/held/{self._name.model}/{self._name.number}"
        timeout = ClientTimeout(total=None, sock_connect=CONNECT_SECONDS, sock_read=SILENCE_SECONDS)
        while True:
            try:
                async with self._session.get(url, timeout=timeout) as response:
                    response.raise_for_status()
                    async for line in response.content:
                        followed.held = int(line, 16)
                        followed.connected = True
                        self._wake.set()
            except (ClientError, OSError, TimeoutError, ValueError):
                followed.connected = False
            await asyncio.sleep(CONNECT_SECONDS)


async def fetch_chunk(
    session: ClientSession, address: str, name: VersionName, chunk: int, urgency: Urgency
) -> bytes:
    """Fetch one chunk from a neighbour, unchecked.

    :raises PlatformUnavailableError: if it does not come whole and in time.
    """
    url = f"http://{address}/chunks/{name.model}/{name.number}/{chunk}?urgency={urgency.value}"
    return await _read(session, url, CHUNK_SECONDS, "fetch-from-neighbour", address)


async def fetch_digests(session: ClientSession, address: str, name: VersionName) -> tuple[str, ...]:
    """Fetch the digests of a version from a neighbour.

    :raises PlatformUnavailableError: if it does not have them.
    """
    url = f"http://{address}/digests/{name.model}/{name.number}"
    data = await _read(session, url, DIGESTS_SECONDS, "fetch-digests", address)
    try:
        return tuple(json.loads(data)["digests"])
    except (ValueError, KeyError, TypeError) as error:
        raise PlatformUnavailableError(str(error), step="fetch-digests", peer=address) from error


async def _read(session: ClientSession, url: str, seconds: float, step: str, peer: str) -> bytes:
    timeout = ClientTimeout(total=seconds, sock_connect=CONNECT_SECONDS)
    try:
        async with session.get(url, timeout=timeout) as response:
            if response.status == 429:
                raise NeighbourBusyError("sends to others", step=step, peer=peer)
            if response.status != 200:
                reason = f"status {response.status}"
                raise PlatformUnavailableError(reason, step=step, peer=peer)
            return await response.read()
    except (ClientError, OSError, TimeoutError) as error:
        reason = str(error) or type(error).__name__
        raise PlatformUnavailableError(reason, step=step, peer=peer) from error
