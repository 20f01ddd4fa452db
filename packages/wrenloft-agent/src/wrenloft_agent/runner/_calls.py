"""Requests to the runner, and the checks on its answers."""

import asyncio
from collections.abc import Mapping

from aiohttp import ClientConnectorError, ClientError, ClientResponse, ClientSession
from prometheus_client import Counter

from wrenloft_agent._runs import Run, RunState
from wrenloft_core import Header, Priority, RequestId

_EVENT_END = b"\n\n"
_END_MARKER = b"data: [DONE]"
_EVENT_STREAM = "text/event-stream"
_RESUMES = 3

_CROSSED = Counter("wrenloft_agent_crossed_answers", "Answers that carried another request's id")
_RESUMED = Counter("wrenloft_agent_resumed_streams", "Engine streams resumed at their offset")


class RunnerCalls:
    """Sends requests to the runner, each at most once.

    :param echoes_id: whether answers carry the request's id.
    :param resumable: whether streams can be resumed at an offset.
    """

    def __init__(
        self, session: ClientSession, address: str, *, echoes_id: bool, resumable: bool
    ) -> None:
        self._session = session
        self._base = f"http://{address}"
        self._echoes_id = echoes_id
        self._resumable = resumable

    async def call(
        self, run: Run, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> None:
        """Run a request to its end, noting each step in its run."""
        run.state = RunState.STARTED
        try:
            async with self._session.request(
                method, self._base + path, data=body, headers=headers, allow_redirects=False
            ) as response:
                await self._read(run, response)
        except ClientConnectorError as error:
            run.end(RunState.NOT_RUN, f"runner not reached: {error}")
        except (ClientError, TimeoutError) as error:
            await self._recover(run, str(error) or type(error).__name__)

    async def cancel(self, request_id: RequestId) -> None:
        """Tell the engine that nobody waits for a stream any more."""
        try:
            async with self._session.delete(f"{self._base}/v1/streams/{request_id}"):
                pass
        except (ClientError, TimeoutError):
            pass  # the stream then runs to its end and is thrown away

    async def _read(self, run: Run, response: ClientResponse) -> None:
        if response.content_type == _EVENT_STREAM:
            await self._read_events(run, response)
        else:
            self._finish_whole(run, response, await response.read())

    def _finish_whole(self, run: Run, response: ClientResponse, body: bytes) -> None:
        own_id = run.request_id.encode()
        if self._echoes_id and response.status < 300 and own_id not in body:
            self._reject_crossed(run)
            return
        run.head(response.status, response.headers.get("Content-Type", ""))
        run.add(body)
        run.end(RunState.DONE)

    async def _read_events(self, run: Run, response: ClientResponse) -> None:
        """Pass on whole events only, each with the request's own id."""
        run.head(response.status, _EVENT_STREAM)
        rest = b""
        async for piece in response.content.iter_any():
            rest += piece
            cut = rest.rfind(_EVENT_END)
            if cut < 0:
                continue
            events, rest = rest[: cut + len(_EVENT_END)], rest[cut + len(_EVENT_END) :]
            if self._echoes_id and not self._are_own(run.request_id, events):
                self._reject_crossed(run)
                return
            run.add(events)
        if run.body.rstrip().endswith(_END_MARKER):
            run.end(RunState.DONE)
        else:
            await self._recover(run, "stream ended without its end marker")

    @staticmethod
    def _are_own(request_id: RequestId, events: bytes) -> bool:
        """Compare counts instead of parsing: one id per event but for the end marker."""
        expected = events.count(_EVENT_END) - events.count(_END_MARKER)
        return events.count(request_id.encode()) >= expected

    @staticmethod
    def _reject_crossed(run: Run) -> None:
        _CROSSED.inc()
        run.end(RunState.UNKNOWN, "the runner's answer was another request's")

    async def _recover(self, run: Run, reason: str) -> None:
        """Resume a broken stream of the same run at its offset; never start another run."""
        if not self._resumable or run.content_type != _EVENT_STREAM:
            run.end(RunState.UNKNOWN, f"connection to the runner lost: {reason}")
            return
        for attempt in range(_RESUMES):
            await asyncio.sleep(0.05 * attempt)
            if await self._resume(run):
                return
        run.end(RunState.UNKNOWN, f"stream could not be resumed: {reason}")

    async def _resume(self, run: Run) -> bool:
        url = f"{self._base}/v1/streams/{run.request_id}"
        try:
            async with self._session.get(url, params={"offset": len(run.body)}) as response:
                if response.status != 200:
                    return False
                _RESUMED.inc()
                async for piece in response.content.iter_any():
                    run.add(piece)
        except (ClientError, TimeoutError):
            return False
        if run.body.rstrip().endswith(_END_MARKER):
            run.end(RunState.DONE)
        return run.ended


def build_runner_headers(
    request_id: RequestId, priority: Priority, content_type: str
) -> dict[str, str]:
    """Return the headers that the runner gets."""
    return {
        Header.REQUEST_ID: request_id,
        Header.PRIORITY: priority,
        "X-Request-Id": request_id,
        "Content-Type": content_type,
    }
