"""Reads from the origin."""

from aiohttp import ClientError, ClientSession, ClientTimeout

from wrenloft_core import Manifest, Pacer, PlatformUnavailableError, VersionDigest

_PIECE = 65536


class OriginClient:
    """One origin, read under permits only."""

    def __init__(self, session: ClientSession, address: str, pacer: Pacer) -> None:
        self._session = session
        self._address = address
        self._pacer = pacer

    async def fetch_manifest(self, version: VersionDigest) -> Manifest:
        """Fetch and check a manifest.

        :raises PlatformUnavailableError: if the origin does not give it.
        :raises IntegrityError: if it is not the one that ``version`` names.
        """
        url = f"http://{self._address}/manifests/{version}"
        try:
            async with self._session.get(url, timeout=ClientTimeout(total=10)) as response:
                response.raise_for_status()
                data = await response.read()
        except (ClientError, TimeoutError) as error:
            raise self._fail("fetch-manifest", error) from error
        return Manifest.decode(data, version, peer=self._address)

    async def fetch_chunk(self, path: str, manifest: Manifest, chunk: int, seconds: float) -> bytes:
        """Fetch the bytes of one chunk; the caller checks them.

        :param seconds: after which the answer counts as stalled.
        :raises PlatformUnavailableError: if the origin does not give all of them.
        """
        start = manifest.offset(chunk)
        size = manifest.sizes[chunk]
        headers = {"Range": f"bytes={start}-{start + size - 1}"}
        url = f"http://{self._address}/weights/{path}"
        data = bytearray()
        try:
            timeout = ClientTimeout(total=seconds)
            async with self._session.get(url, headers=headers, timeout=timeout) as response:
                response.raise_for_status()
                async for piece in response.content.iter_chunked(_PIECE):
                    data += piece
                    await self._pacer.acquire(len(piece))
        except (ClientError, TimeoutError) as error:
            raise self._fail("fetch-from-origin", error) from error
        return bytes(data)

    def _fail(self, step: str, error: Exception) -> PlatformUnavailableError:
        reason = str(error) or type(error).__name__
        return PlatformUnavailableError(reason, step=step, peer=self._address)
