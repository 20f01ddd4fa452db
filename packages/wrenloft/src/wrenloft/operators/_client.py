"""The client of the operators' API, used by the command line."""

from dataclasses import dataclass
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

from wrenloft_core import CheckedConnector

_TIMEOUT = 30.0


@dataclass(frozen=True)
class OperatorError(Exception):
    """The node refused a call, or was not reached.

    :param status: the HTTP status, 0 if it was not reached.
    :param reason: what the node said.
    """

    status: int
    reason: str

    def __str__(self) -> str:
        return self.reason


class OperatorClient:
    """Calls one entry node."""

    def __init__(self, address: str, key: str) -> None:
        self._base = f"http://{address}/operators/v1"
        self._headers = {"Authorization": f"Bearer {key}"}

    async def get(self, path: str) -> dict[str, Any]:
        """Read something.

        :raises OperatorError: if it is refused or the node is not reached.
        """
        return await self._call("GET", path, None)

    async def post(self, path: str, fields: dict[str, Any]) -> dict[str, Any]:
        """Change something.

        :raises OperatorError: if it is refused or the node is not reached.
        """
        return await self._call("POST", path, fields)

    async def _call(self, method: str, path: str, fields: dict[str, Any] | None) -> dict[str, Any]:
        timeout = ClientTimeout(total=_TIMEOUT)
        try:
            async with (
                ClientSession(
                    connector=CheckedConnector(), headers=self._headers, timeout=timeout
                ) as session,
                session.request(method, f"{self._base}/{path}", json=fields) as response,
            ):
                answer: dict[str, Any] = await response.json()
        except (ClientError, TimeoutError) as error:
            raise OperatorError(0, f"node not reached: {error}") from error
        if response.status >= 300:
            raise OperatorError(response.status, str(answer.get("error", answer)))
        return answer
