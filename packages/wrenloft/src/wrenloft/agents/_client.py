"""Requests to agents over HTTP, and questions about what became of them."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass
from enum import Enum

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    ConnectionTimeoutError,
)

from wrenloft_core import AgentId, Header, RequestId

_WITNESS_SECONDS = 2.0
_RESUME_SECONDS = 6.0
_RESUME_PAUSE = 0.1


class Fate(Enum):
    """What an agent says became of a request."""

    NOT_RUN = "not-run"
    STARTED = "started"
    DONE = "done"
    UNKNOWN = "unknown"
    UNREACHABLE = "unreachable"
    GONE = "gone"


@dataclass(frozen=True, slots=True)
class Refused:
    """The request never started there: refused with proof, or never sent."""

    reason: str


@dataclass(frozen=True, slots=True)
class Seen:
    """The agent has seen this id before; the first copy decides."""


@dataclass(frozen=True, slots=True)
class Broken:
    """It was sent, and how far it came is not known."""

    reason: str


@dataclass(slots=True)
class Answer:
    """The head of an answer whose body is on its way."""

    response: ClientResponse
    agent_id: AgentId
    address: str
    request_id: RequestId

    @property
    def status(self) -> int:
        """The runner's HTTP status."""
        return self.response.status

    @property
    def content_type(self) -> str:
        """The answer's type."""
        return self.response.headers.get("Content-Type", "application/octet-stream")


class AgentClient:
    """Talks to any agent by its address.

    :param secret: shared by wrenloft's own processes.
    """

    def __init__(self, session: ClientSession, secret: str) -> None:
        self._session = session
        self._secret = {Header.SECRET: secret}

    async def send(
        self,
        agent_id: AgentId,
        address: str,
        request_id: RequestId,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        seconds: float,
    ) -> Answer | Refused | Seen | Broken:
        """Send a request once and wait for the head of its answer.

        :param seconds: until the caller's deadline.
        """
        url = f"http://{address}/run{path}"
        own = {Header.AGENT: agent_id, Header.REQUEST_ID: request_id, **self._secret}
        try:
            async with asyncio.timeout(seconds):
                response = await self._session.request(
                    method, url, data=body, headers={**headers, **own}, allow_redirects=False
                )
        except (ClientConnectorError, ConnectionTimeoutError) as error:
            return Refused(f"never sent: {error}")
        except (ClientError, TimeoutError) as error:
            return Broken(str(error) or type(error).__name__)
        return self._read_head(response, agent_id, address, request_id)

    async def follow(
        self, agent_id: AgentId, address: str, request_id: RequestId, offset: int, seconds: float
    ) -> Answer | Refused | Broken | Fate:
        """Ask for the answer of a request that was sent before, from ``offset`` on."""
        url = f"http://{address}/runs/{request_id}"
        try:
            async with asyncio.timeout(seconds):
                response = await self._session.get(
                    url, params={"offset": offset}, headers=self._secret
                )
        except ClientConnectorError:
            return Fate.GONE
        except (ClientError, TimeoutError):
            return Fate.UNREACHABLE
        if response.status == 404 and Header.OUTCOME not in response.headers:
            same = response.headers.get(Header.AGENT) == agent_id
            response.release()
            return Fate.NOT_RUN if same else Fate.GONE
        head = self._read_head(response, agent_id, address, request_id)
        return Fate.STARTED if isinstance(head, Seen) else head

    async def bury(self, agent_id: AgentId, address: str, request_id: RequestId) -> Fate:
        """Ask whether a request started, and if not, make sure that it never will."""
        url = f"http://{address}/runs/{request_id}/bury"
        try:
            async with self._session.post(
                url, headers=self._secret, timeout=ClientTimeout(total=_WITNESS_SECONDS)
            ) as response:
                if response.headers.get(Header.AGENT) != agent_id:
                    return Fate.GONE
                return Fate(response.headers[Header.OUTCOME])
        except ClientConnectorError:
            return Fate.GONE
        except (ClientError, TimeoutError, KeyError, ValueError):
            return Fate.UNREACHABLE

    async def cancel(self, address: str, request_id: RequestId) -> None:
        """Tell that nobody waits for an idempotent request any more."""
        url = f"http://{address}/runs/{request_id}"
        try:
            async with self._session.delete(
                url, headers=self._secret, timeout=ClientTimeout(total=_WITNESS_SECONDS)
            ):
                pass
        except (ClientError, TimeoutError):
            pass  # the agent cancels by itself a run that nobody comes back for

    async def read(self, answer: Answer, deadline: float) -> AsyncIterator[bytes]:
        """Yield the body as it comes, resuming the same run if the connection breaks.

        :param deadline: until when a broken answer is asked for again, in seconds on the
            monotonic clock; one that breaks off later is asked for a few seconds all the same.
        :raises ClientError: if the rest can't be had.
        """
        loop = asyncio.get_running_loop()
        received = resumed_at = 0
        response = answer.response
        until = 0.0
        while True:
            try:
                async for piece in response.content.iter_any():
                    received += len(piece)
                    yield piece
                return
            except ClientError:
                response.close()
                if not until or received > resumed_at:
                    until = max(deadline, loop.time() + _RESUME_SECONDS)
                elif loop.time() >= until:
                    raise
                else:
                    await asyncio.sleep(_RESUME_PAUSE)
            resumed_at = received
            response = await self._resume(answer, received, until)

    async def _resume(self, answer: Answer, offset: int, until: float) -> ClientResponse:
        """Ask for the rest of an answer while the agent may still have it.

        Each try is given longer than the one before, so an agent that is slow to reply each time
        is heard in the end.
        """
        loop = asyncio.get_running_loop()
        patience = _WITNESS_SECONDS
        while True:
            again = await self.follow(
                answer.agent_id, answer.address, answer.request_id, offset, patience
            )
            if isinstance(again, Answer):
                return again.response
            if again is not Fate.UNREACHABLE or loop.time() >= until:
                raise ClientError(f"answer broken off: {again}")
            await asyncio.sleep(_RESUME_PAUSE)
            patience = min(2 * patience, max(_WITNESS_SECONDS, until - loop.time()))

    @staticmethod
    def _read_head(
        response: ClientResponse, agent_id: AgentId, address: str, request_id: RequestId
    ) -> Answer | Refused | Seen | Broken:
        outcome = response.headers.get(Header.OUTCOME, "")
        if outcome == Fate.STARTED.value and response.status != 409:
            if response.headers.get(Header.REQUEST_ID) == request_id:
                return Answer(response, agent_id, address, request_id)
            response.close()
            return Broken("answer to another request")
        response.release()
        if outcome == Fate.NOT_RUN.value:
            return Refused(response.reason or "refused")
        if response.status == 409:
            return Seen()
        return Broken(f"status {response.status}, outcome {outcome or 'none'}")
