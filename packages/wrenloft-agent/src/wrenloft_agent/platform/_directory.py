"""The entry nodes that are registered in the key-value service."""

import base64
import json
from collections.abc import Sequence

from aiohttp import ClientError, ClientSession, ClientTimeout

from wrenloft_core import PlatformUnavailableError

_NODES = b"/wrenloft/nodes/"
_AFTER_NODES = b"/wrenloft/nodes0"
"""The first key behind all registrations."""

_TIMEOUT = ClientTimeout(total=2.0)


class NodeDirectory:
    """Reads where entry nodes listen.

    :param addresses: of the key-value service; the next one is asked after a failure.
    """

    def __init__(self, session: ClientSession, addresses: Sequence[str]) -> None:
        self._session = session
        self._addresses = list(addresses)

    async def list_nodes(self) -> list[str]:
        """Return the gRPC addresses of the registered nodes, none if no service is configured.

        :raises PlatformUnavailableError: if the service does not answer.
        """
        if not self._addresses:
            return []
        address = self._addresses[0]
        body = {"key": _encode(_NODES), "range_end": _encode(_AFTER_NODES)}
        try:
            async with self._session.post(
                f"http://{address}/v3/kv/range", json=body, timeout=_TIMEOUT
            ) as response:
                response.raise_for_status()
                answer = await response.json()
            return [
                str(json.loads(base64.b64decode(each["value"]))["grpc_address"])
                for each in answer.get("kvs", [])
            ]
        except (ClientError, OSError, TimeoutError, ValueError, KeyError) as error:
            self._addresses.append(self._addresses.pop(0))
            reason = str(error) or type(error).__name__
            raise PlatformUnavailableError(reason, step="list-nodes", peer=address) from error


def _encode(key: bytes) -> str:
    return base64.b64encode(key).decode()
