"""What this agent asks of other agents."""

import asyncio
import contextlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import grpc
from aiohttp import ClientError, ClientSession, ClientTimeout

from wrenloft_core import (
    AgentId,
    ChunkDigest,
    Header,
    Manifest,
    Pacer,
    PlatformUnavailableError,
    VersionDigest,
)
from wrenloft_messages import messages, services

_PIECE = 65536
_RECONNECT_SECONDS = 0.3
_PENALTY_SECONDS = 0.5
_PENALTY_LONGEST = 30.0


@dataclass(slots=True)
class Neighbour:
    """Another agent that holds, or will hold, chunks of a version."""

    agent_id: AgentId
    http_address: str
    grpc_address: str
    distance: int
    held: set[int] = field(default_factory=set)
    busy: int = 0
    failures: int = 0
    avoided_until: float = 0.0

    def record_failure(self, now: float) -> None:
        """Avoid it for a while, longer each time it fails again."""
        self.failures += 1
        pause = min(_PENALTY_LONGEST, _PENALTY_SECONDS * 2 ** (self.failures - 1))
        self.avoided_until = now + pause


class Neighbours:
    """The neighbours for one version, and a subscription to what each holds."""

    def __init__(self, version: VersionDigest, secret: str, notify: Callable[[], None]) -> None:
        self._version = version
        self._metadata = ((Header.SECRET.lower(), secret),)
        self._notify = notify
        self._tasks: dict[AgentId, asyncio.Task[None]] = {}
        self.known: dict[AgentId, Neighbour] = {}

    def update(self, neighbours: Sequence[Neighbour]) -> None:
        """Follow exactly the given neighbours."""
        wanted = {each.agent_id: each for each in neighbours}
        for agent_id in self.known.keys() - wanted.keys():
            del self.known[agent_id]
            self._tasks.pop(agent_id).cancel()
        for agent_id in wanted.keys() - self.known.keys():
            self.known[agent_id] = wanted[agent_id]
            self._tasks[agent_id] = asyncio.create_task(self._follow(wanted[agent_id]))

    async def close(self) -> None:
        """End all subscriptions."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    async def _follow(self, neighbour: Neighbour) -> None:
        """Keep one neighbour's possession up to date until cancelled."""
        while True:
            async with grpc.aio.insecure_channel(neighbour.grpc_address) as channel:
                stub = services.AgentStub(channel)
                request = messages.PossessionRequest(version=self._version)
                with contextlib.suppress(grpc.aio.AioRpcError):
                    async for update in stub.Possession(request, metadata=self._metadata):
                        neighbour.held.update(update.added)
                        self._notify()
            neighbour.held.clear()
            await asyncio.sleep(_RECONNECT_SECONDS)


async def fetch_from_neighbour(
    session: ClientSession,
    neighbour: Neighbour,
    digest: ChunkDigest,
    *,
    secret: str,
    pacer: Pacer,
    seconds: float,
) -> bytes:
    """Fetch one chunk; the caller checks it.

    :param seconds: after which the answer counts as stalled.
    :raises PlatformUnavailableError: if the neighbour does not give all of it.
    """
    url = f"http://{neighbour.http_address}/chunks/{digest}"
    data = bytearray()
    try:
        async with session.get(
            url, headers={Header.SECRET: secret}, timeout=ClientTimeout(total=seconds)
        ) as response:
            response.raise_for_status()
            async for piece in response.content.iter_chunked(_PIECE):
                data += piece
                await pacer.acquire(len(piece))
    except (ClientError, TimeoutError) as error:
        reason = str(error) or type(error).__name__
        raise PlatformUnavailableError(
            reason, step="fetch-from-neighbour", peer=neighbour.agent_id
        ) from error
    return bytes(data)


async def fetch_manifest_from_neighbour(
    session: ClientSession, neighbour: Neighbour, version: VersionDigest, secret: str
) -> Manifest | None:
    """Fetch a manifest, or return ``None`` if the neighbour can't give it."""
    url = f"http://{neighbour.http_address}/manifests/{version}"
    try:
        async with session.get(
            url, headers={Header.SECRET: secret}, timeout=ClientTimeout(total=5)
        ) as response:
            if response.status != 200:
                return None
            data = await response.read()
    except (ClientError, TimeoutError):
        return None
    return Manifest.decode(data, version, peer=neighbour.agent_id)
