"""Orders to a model engine, each with a fencing number."""

from collections.abc import AsyncIterator
from dataclasses import dataclass

from aiohttp import ClientError, ClientSession

from wrenloft_agent._store import ChunkStore
from wrenloft_core import (
    Header,
    Manifest,
    ModelName,
    PlatformUnavailableError,
    VersionDigest,
    WrenloftError,
)


@dataclass(frozen=True, slots=True)
class EngineState:
    """What an engine really holds and serves.

    :param fences: the highest fencing number it has seen, by model.
    """

    fences: dict[ModelName, int]
    serving: dict[ModelName, VersionDigest]
    loaded: dict[ModelName, list[VersionDigest]]


class EngineOrders:
    """The only place from which orders go to the engine."""

    def __init__(self, session: ClientSession, address: str) -> None:
        self._session = session
        self._base = f"http://{address}"
        self._address = address

    async def read_state(self) -> EngineState:
        """Read what the engine holds.

        :raises PlatformUnavailableError: if it does not answer.
        """
        try:
            async with self._session.get(f"{self._base}/orders/state") as response:
                response.raise_for_status()
                fields = await response.json()
        except (ClientError, TimeoutError) as error:
            raise PlatformUnavailableError(
                str(error), step="read-engine", peer=self._address
            ) from error
        return EngineState(
            fences=fields["fences"],
            serving=fields["serving"],
            loaded={model: list(versions) for model, versions in fields["loaded"].items()},
        )

    async def load(
        self, model: ModelName, manifest: Manifest, store: ChunkStore, fence: int
    ) -> None:
        """Stream a whole version to the engine.

        :raises WrenloftError: if it was refused, or its fate is not known.
        """

        async def stream() -> AsyncIterator[bytes]:
            for digest in manifest.digests:
                data = store.get(digest)
                if data is None:
                    raise WrenloftError("a chunk is missing", step="load-weights")
                yield data

        path = f"/orders/weights/{model}/{manifest.version}"
        await self._order("PUT", path, fence, stream())

    async def serve(self, model: ModelName, version: VersionDigest, fence: int) -> None:
        """Switch to a loaded version in one step."""
        await self._order("POST", f"/orders/serve/{model}/{version}", fence)

    async def unload(self, model: ModelName, version: VersionDigest, fence: int) -> None:
        """Free a version."""
        await self._order("DELETE", f"/orders/weights/{model}/{version}", fence)

    async def _order(
        self, method: str, path: str, fence: int, data: AsyncIterator[bytes] | None = None
    ) -> None:
        headers = {Header.FENCING: str(fence)}
        try:
            async with self._session.request(
                method, self._base + path, data=data, headers=headers
            ) as response:
                if response.status >= 300:
                    reason = f"{response.status}: {await response.text()}"
                    raise WrenloftError(reason, step="order-engine", peer=self._address)
        except (ClientError, TimeoutError) as error:
            raise PlatformUnavailableError(
                str(error), step="order-engine", peer=self._address
            ) from error
