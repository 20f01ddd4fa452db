"""The HTTP routes by which entry nodes send requests and ask what became of them."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass

from aiohttp import web
from prometheus_client import Counter

from wrenloft_agent._runs import Run, Runs, RunState
from wrenloft_agent.nodes._attach import Rules
from wrenloft_agent.runner import Gate, GateFullError, RunnerCalls, build_runner_headers
from wrenloft_core import AgentId, Header, ModelName, Pacer, Priority, RequestId

_LOG = logging.getLogger(__name__)

_COALESCE_SECONDS = 0.01
# Longer than a sound host may be silent (3 s), with time to connect again.
_ORPHAN_SECONDS = 6.0
_EVENT_STREAM = "text/event-stream"

_REFUSED = Counter("wrenloft_agent_refused_requests", "Requests refused as not run", ["reason"])


@dataclass(frozen=True, slots=True)
class _Call:
    """A request as a node sends it."""

    request_id: RequestId
    agent_id: AgentId
    model: ModelName
    priority: Priority
    idempotent: bool
    method: str
    path: str
    content_type: str

    @classmethod
    def read(cls, request: web.Request) -> "_Call":
        headers = request.headers
        return cls(
            request_id=RequestId(headers[Header.REQUEST_ID]),
            agent_id=AgentId(headers[Header.AGENT]),
            model=ModelName(headers[Header.MODEL]),
            priority=Priority(headers[Header.PRIORITY]),
            idempotent=headers[Header.IDEMPOTENT] == "true",
            method=request.method,
            path="/" + request.raw_path.removeprefix("/run/"),
            content_type=headers.get("Content-Type", "application/octet-stream"),
        )


class RequestRoutes:
    """Runs requests, and answers by id for those it has seen.

    :param rules: returns the rules now in force here.
    :param version_of: returns the version served for a model, ``None`` if none is,
        and ``""`` for a plain service.
    """

    def __init__(
        self,
        agent_id: AgentId,
        runs: Runs,
        gate: Gate,
        calls: RunnerCalls,
        pacer: Pacer,
        rules: Callable[[], Rules],
        version_of: Callable[[ModelName], str | None],
    ) -> None:
        self._agent_id = agent_id
        self._runs = runs
        self._gate = gate
        self._calls = calls
        self._pacer = pacer
        self._rules = rules
        self._version_of = version_of
        self._tasks: set[asyncio.Task[None]] = set()
        self.leaving = False

    def routes(self) -> list[web.RouteDef]:
        """Return the routes for entry nodes."""
        return [
            web.route("*", "/run/{path:.*}", self._run),
            web.get("/runs/{id}", self._follow),
            web.post("/runs/{id}/bury", self._bury),
            web.delete("/runs/{id}", self._cancel),
        ]

    async def _run(self, request: web.Request) -> web.StreamResponse:
        try:
            call = _Call.read(request)
        except (KeyError, ValueError) as error:
            raise web.HTTPBadRequest(text=f"header missing or wrong: {error}") from error
        body = await request.read()
        self._pacer.record_live(len(body))
        if reason := self._find_refusal(call):
            return self._refuse(reason)
        run = self._runs.open(call.request_id, idempotent=call.idempotent)
        if run is None:
            return self._refuse_copy(call.request_id)
        run.version = self._version_of(call.model) or ""
        task = asyncio.create_task(self._execute(run, call, body))
        run.task = task
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await run.headed.wait()
        return await self._relay(request, run, 0)

    def _find_refusal(self, call: _Call) -> str | None:
        """Name the reason for which a request may not start here.

        The checks stand here as well as at the node: a node's view is seconds old, and only the
        agent knows at the moment of the start whether it is leaving or what its engine serves.
        """
        if call.agent_id != self._agent_id:
            return "another-agent"
        if self.leaving:
            return "leaving"
        if call.model not in self._rules().allowed:
            return "withdrawn"
        if self._version_of(call.model) is None:
            return "not-served"
        return None

    @staticmethod
    def _refuse(reason: str) -> web.Response:
        _REFUSED.labels(reason).inc()
        return web.Response(
            status=503, text=reason, headers={Header.OUTCOME: RunState.NOT_RUN.value}
        )

    def _refuse_copy(self, request_id: RequestId) -> web.Response:
        """Refuse a second copy; it says nothing of the first one's fate."""
        run = self._runs.get(request_id)
        state = run.state if run else RunState.UNKNOWN
        outcome = RunState.NOT_RUN if state is RunState.NOT_RUN else RunState.STARTED
        return web.Response(status=409, text="seen", headers={Header.OUTCOME: outcome.value})

    async def _execute(self, run: Run, call: _Call, body: bytes) -> None:
        headers = build_runner_headers(call.request_id, call.priority, call.content_type)
        try:
            async with self._gate.enter(call.priority):
                if run.ended:
                    return
                await self._calls.call(run, call.method, call.path, headers, body)
        except GateFullError as error:
            run.end(RunState.NOT_RUN, "full")
            _LOG.info("request %s refused: %s", run.request_id, error)
        except asyncio.CancelledError:
            run.end(RunState.NOT_RUN if run.state is RunState.QUEUED else RunState.UNKNOWN)
            raise
        except Exception:
            run.end(RunState.UNKNOWN, "fault in the agent")
            _LOG.exception("request %s failed", run.request_id)

    async def _relay(self, request: web.Request, run: Run, offset: int) -> web.StreamResponse:
        """Send an answer from ``offset``, as it comes."""
        if run.state is RunState.NOT_RUN:
            return self._refuse(run.reason or "not-run")
        if run.state is RunState.UNKNOWN and offset >= len(run.body):
            headers = {Header.OUTCOME: RunState.UNKNOWN.value}
            return web.Response(status=502, text=run.reason, headers=headers)
        response = web.StreamResponse(status=run.status, headers=self._head(run))
        if run.state is RunState.DONE:
            response.content_length = len(run.body) - offset
        run.readers += 1
        try:
            await response.prepare(request)
            await self._send(request, response, run, offset)
        except ConnectionResetError:
            self._keep(self._cancel_orphan(run))
            raise
        finally:
            run.readers -= 1
        return response

    def _head(self, run: Run) -> dict[str, str]:
        return {
            "Content-Type": run.content_type or "application/octet-stream",
            Header.OUTCOME: RunState.STARTED.value,
            Header.REQUEST_ID: run.request_id,
            Header.VERSION: run.version,
        }

    async def _send(
        self, request: web.Request, response: web.StreamResponse, run: Run, offset: int
    ) -> None:
        sent = offset
        while True:
            grown = run.grown
            if len(run.body) > sent:
                piece = bytes(memoryview(run.body)[sent:])
                sent += len(piece)
                self._pacer.record_live(len(piece))
                await response.write(piece)
            if run.ended and sent >= len(run.body):
                break
            await grown.wait()
            if not run.ended and run.content_type == _EVENT_STREAM:
                await asyncio.sleep(_COALESCE_SECONDS)
        if run.state is not RunState.DONE and request.transport is not None:
            # Ending the body cleanly would make a broken answer look whole to the node.
            request.transport.abort()
            raise ConnectionResetError(run.reason)

    def _keep(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _cancel_orphan(self, run: Run) -> None:
        """Cancel an idempotent run that nobody has come back for.

        A node whose connection broke comes back for the rest; a caller that left does not. A
        run that may not be repeated goes on to its end, for the caller may ask again.
        """
        await asyncio.sleep(_ORPHAN_SECONDS)
        if run.idempotent and run.readers <= 0 and not run.ended:
            await self._stop(run)

    async def _stop(self, run: Run) -> None:
        if run.task is not None:
            run.task.cancel()
        await self._calls.cancel(run.request_id)

    async def _follow(self, request: web.Request) -> web.StreamResponse:
        run = self._runs.get(RequestId(request.match_info["id"]))
        if run is None and self._runs.is_spent(RequestId(request.match_info["id"])):
            headers = {Header.OUTCOME: RunState.UNKNOWN.value, Header.AGENT: self._agent_id}
            return web.Response(status=410, text="its answer is not kept any more", headers=headers)
        if run is None:
            raise web.HTTPNotFound(headers={Header.AGENT: self._agent_id})
        await run.headed.wait()
        return await self._relay(request, run, int(request.query.get("offset", 0)))

    async def _bury(self, request: web.Request) -> web.Response:
        run = self._runs.bury(RequestId(request.match_info["id"]))
        headers = {Header.OUTCOME: run.state.value, Header.AGENT: self._agent_id}
        return web.Response(headers=headers)

    async def _cancel(self, request: web.Request) -> web.Response:
        run = self._runs.get(RequestId(request.match_info["id"]))
        if run is not None and run.idempotent and not run.ended:
            await self._stop(run)
        return web.Response()
