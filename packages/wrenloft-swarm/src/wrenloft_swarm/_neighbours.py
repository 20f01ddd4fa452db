"""Neighbours of an agent: the chunks that they have, and fetching from them."""

import asyncio
import json
from collections.abc import Sequence
from dataclasses import dataclass

from aiohttp import ClientError, ClientSession, ClientTimeout
from blake3 import blake3

from wrenloft_core import DECODE_ERRORS, PlatformUnavailableError, read_body, read_clock
from wrenloft_swarm._chunk_store import VersionName
from wrenloft_swarm._ports import Neighbour, Urgency

CONNECT_TIMEOUT_SECONDS = 1.0
"""Connection timeout; packets may queue behind four chunks, 0.2 s, at either end."""

STREAM_TIMEOUT_SECONDS = 3.0
"""Read timeout of a neighbour's bitmap stream, after which it is opened again."""

CHUNK_TIMEOUT_SECONDS = 2.0
"""Timeout of a chunk from a neighbour: it takes 54 ms alone, and 0.5 s beside seven more."""

MAX_CHUNK_BYTES = 33554432
"""Longest body of an answer with a chunk or digests. A chunk takes a part of a second on a link, so
that it has a few megabytes."""

DIGESTS_TIMEOUT_SECONDS = 1.0
BUSY_SECONDS = 0.1
"""Time for which a neighbour with all upload slots in use is skipped: it sends two chunks in it."""

_MIN_PENALTY_SECONDS = 0.5
_MAX_PENALTY_SECONDS = 4.0


MAX_NEAR = 16
"""Subscriptions to agents of the own region. In a random graph of this degree every agent is two
hops from any chunk. Subscriptions to all of 119 agents would be 118 connections for each, with ten
messages a second on each."""

MAX_AT_ORIGIN = 8
"""Subscriptions from elsewhere to agents of the origin's region: twice the origin fetchers."""

MAX_ELSEWHERE = 4
"""Subscriptions to agents of each other region, which send chunks fetched from the origin's."""


def choose_subscriptions(own: Neighbour, others: Sequence[Neighbour]) -> list[Neighbour]:
    """Choose the agents whose bitmaps this one subscribes to, few in a fleet of any size.

    Agents are ranked by a hash that includes the own address, so that none has all as subscribers.
    """

    def rank(each: Neighbour) -> bytes:
        return blake3(f"{own.address}/{each.address}".encode()).digest(8)

    by_region: dict[str, list[Neighbour]] = {}
    for each in sorted(others, key=rank):
        by_region.setdefault(each.region, []).append(each)
    chosen = []
    for members in by_region.values():
        first = members[0]
        elsewhere = MAX_AT_ORIGIN if first.at_origin else MAX_ELSEWHERE
        chosen += members[: MAX_NEAR if first.near else elsewhere]
    return chosen


class NeighbourBusyError(PlatformUnavailableError):
    """The neighbour has no free upload slot."""


@dataclass(slots=True)
class NeighbourState:
    """A neighbour with its chunk bitmap and the state of fetches from it.

    :ivar bitmap: bit ``n`` is set if it has chunk ``n``.
    :ivar busy: fetches in progress from it.
    :ivar failures: failed fetches in a row.
    """

    neighbour: Neighbour
    bitmap: int = 0
    connected: bool = False
    busy: int = 0
    failures: int = 0
    avoided_until: float = 0.0

    def record_failure(self) -> None:
        """Avoid the neighbour for a while, twice as long after each further failure in a row."""
        pause = min(_MAX_PENALTY_SECONDS, _MIN_PENALTY_SECONDS * 2**self.failures)
        self.failures += 1
        self.avoided_until = read_clock() + pause


class BitmapSubscriptions:
    """Subscriptions to the neighbours' chunk bitmaps of one version.

    :param wake: set when a bitmap is received.
    """

    def __init__(self, name: VersionName, session: ClientSession, wake: asyncio.Event) -> None:
        self._name = name
        self._session = session
        self._wake = wake
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self.states: dict[str, NeighbourState] = {}

    def update(self, neighbours: Sequence[Neighbour]) -> None:
        """Subscribe to these neighbours, and cancel all other subscriptions."""
        wanted = {each.address: each for each in neighbours}
        for address in self.states.keys() - wanted.keys():
            del self.states[address]
            self._tasks.pop(address).cancel()
        for address in wanted.keys() - self.states.keys():
            state = NeighbourState(wanted[address])
            self.states[address] = state
            self._tasks[address] = asyncio.create_task(self._subscribe(state))

    async def close(self) -> None:
        """Cancel all subscriptions."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    async def _subscribe(self, state: NeighbourState) -> None:
        url = f"http://{state.neighbour.address}/held/{self._name.model}/{self._name.number}"
        timeout = ClientTimeout(
            total=None, sock_connect=CONNECT_TIMEOUT_SECONDS, sock_read=STREAM_TIMEOUT_SECONDS
        )
        while True:
            try:
                async with self._session.get(url, timeout=timeout) as response:
                    response.raise_for_status()
                    async for line in response.content:
                        state.bitmap = int(line, 16)
                        state.connected = True
                        self._wake.set()
            except (ClientError, OSError, TimeoutError, ValueError):
                state.connected = False
            await asyncio.sleep(CONNECT_TIMEOUT_SECONDS)


async def fetch_chunk(
    session: ClientSession, address: str, name: VersionName, chunk: int, urgency: Urgency
) -> bytes:
    """Fetch one chunk from a neighbour, unchecked.

    :raises PlatformUnavailableError: if it isn't received completely before the timeout.
    """
    url = f"http://{address}/chunks/{name.model}/{name.number}/{chunk}?urgency={urgency.value}"
    return await _read(session, url, CHUNK_TIMEOUT_SECONDS, "fetch-from-neighbour", address)


async def fetch_digests(session: ClientSession, address: str, name: VersionName) -> tuple[str, ...]:
    """Fetch the digests of a version from a neighbour.

    :raises PlatformUnavailableError: if the neighbour doesn't return them.
    """
    url = f"http://{address}/digests/{name.model}/{name.number}"
    data = await _read(session, url, DIGESTS_TIMEOUT_SECONDS, "fetch-digests", address)
    try:
        return tuple(str(each) for each in json.loads(data)["digests"])
    except DECODE_ERRORS as error:
        raise PlatformUnavailableError(repr(error), step="fetch-digests", peer=address) from error


async def _read(session: ClientSession, url: str, seconds: float, step: str, peer: str) -> bytes:
    timeout = ClientTimeout(total=seconds, sock_connect=CONNECT_TIMEOUT_SECONDS)
    try:
        async with session.get(url, timeout=timeout) as response:
            if response.status == 429:
                raise NeighbourBusyError("no free upload slot", step=step, peer=peer)
            if response.status != 200:
                reason = f"status {response.status}"
                raise PlatformUnavailableError(reason, step=step, peer=peer)
            return await read_body(response, MAX_CHUNK_BYTES)
    except (ClientError, OSError, TimeoutError) as error:
        reason = str(error) or type(error).__name__
        raise PlatformUnavailableError(reason, step=step, peer=peer) from error
