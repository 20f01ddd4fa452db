"""The HTTP routes for callers."""

import asyncio
import json
import logging
from collections.abc import Awaitable, Callable

from aiohttp import web
from prometheus_client import Counter, Histogram

from wrenloft._view import View
from wrenloft.callers._authentication import Authenticator, Caller
from wrenloft.callers._keyed import KeyedRuns
from wrenloft.callers._outbox import Head, Outbox
from wrenloft.callers._requests import (
    CallerRequest,
    RejectedError,
    read_model_request,
    read_service_request,
)
from wrenloft.callers._router import Router
from wrenloft.callers._runs import Sender
from wrenloft.platform import ConfigurationStore
from wrenloft_core import Configuration, Header, NotRun, PlaceName, RegionName, Unknown
from wrenloft_messages import messages
from wrenloft_policy import choose_entries

_LOG = logging.getLogger(__name__)
_LISTED_ENTRIES = 6
_UNKNOWN_STATUS = 502

_OUTCOMES = Counter("wrenloft_requests", "Requests by class and outcome", ["priority", "outcome"])
_SECONDS = Histogram("wrenloft_request_seconds", "Seconds to the end of an answer", ["priority"])

Read = Callable[[web.Request, Caller, Configuration], Awaitable[CallerRequest]]


class CallerRoutes:
    """Takes callers' requests.

    :param describe: returns this node's present record.
    """

    def __init__(
        self,
        authenticator: Authenticator,
        router: Router,
        sender: Sender,
        keyed: KeyedRuns,
        view: View,
        configurations: ConfigurationStore,
        describe: Callable[[], messages.NodeRecord],
        keep_seconds: float,
    ) -> None:
        self._authenticator = authenticator
        self._router = router
        self._sender = sender
        self._keyed = keyed
        self._view = view
        self._configurations = configurations
        self._describe = describe
        self._keep_seconds = keep_seconds
        self._tasks: set[asyncio.Task[None]] = set()
        self.refusing = False
        self.in_progress = 0

    def routes(self) -> list[web.RouteDef]:
        """Return the callers' routes."""
        return [
            web.get("/v1/entry", self._list_entries),
            web.get("/v1/models", self._list_models),
            web.post("/v1/chat/completions", self._take_model_request),
            web.post("/v1/completions", self._take_model_request),
            web.route("*", "/v1/services/{name}/{path:.*}", self._take_service_request),
        ]

    async def finish(self) -> None:
        """Wait until no request is in progress and every keyed answer is kept."""
        while self.in_progress or self._tasks:
            await asyncio.sleep(0.05)
        await self._keyed.finish()

    async def _list_entries(self, request: web.Request) -> web.Response:
        caller = request.headers.get("Authorization", "") + (request.remote or "")
        return web.json_response(
            {"addresses": self._rank_addresses(caller), "keep_seconds": self._keep_seconds}
        )

    def _rank_addresses(self, caller: str) -> list[str]:
        own = self._describe()
        now = asyncio.get_running_loop().time()
        nodes = self._view.list_entries(own, now)
        ranked = choose_entries(caller, nodes, PlaceName(own.place), RegionName(own.region))
        return [each.address for each in ranked[:_LISTED_ENTRIES]]

    async def _list_models(self, request: web.Request) -> web.Response:
        caller = self._authenticator.authenticate(request.headers.get("Authorization", ""))
        if caller is None:
            return self._reject(RejectedError(401, "unknown key"))
        now = asyncio.get_running_loop().time()
        names = [
            name for name in self._configurations.current.models if self._view.serving(name, now)
        ]
        return web.json_response(
            {"object": "list", "data": [{"id": name, "object": "model"} for name in names]}
        )

    async def _take_model_request(self, request: web.Request) -> web.StreamResponse:
        return await self._take(request, read_model_request)

    async def _take_service_request(self, request: web.Request) -> web.StreamResponse:
        return await self._take(request, read_service_request)

    async def _take(self, request: web.Request, read: Read) -> web.StreamResponse:
        if self.refusing:
            return self._answer_not_run(NotRun("accept", "this node is stopping", retry_after=0.0))
        if not self._configurations.revision:
            refusal = NotRun("accept", "no configuration yet", retry_after=1.0)
            return self._answer_not_run(refusal)
        caller = self._authenticator.authenticate(request.headers.get("Authorization", ""))
        if caller is None:
            return self._reject(RejectedError(401, "unknown key"))
        self.in_progress += 1
        try:
            wanted = await read(request, caller, self._configurations.current)
            return await self._serve(request, wanted)
        except RejectedError as error:
            return self._reject(error)
        finally:
            self.in_progress -= 1

    async def _serve(self, request: web.Request, wanted: CallerRequest) -> web.StreamResponse:
        if refusal := self._router.enter(wanted):
            return self._answer_not_run(refusal, wanted)
        started = asyncio.get_running_loop().time()
        outbox = Outbox()
        task = asyncio.create_task(self._run(wanted, outbox))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            return await self._relay(request, wanted, outbox)
        except (asyncio.CancelledError, ConnectionResetError):
            # The caller left. What may not be repeated runs on, for its answer may be asked for.
            outbox.abandon()
            if wanted.idempotent:
                task.cancel()
            raise
        finally:
            elapsed = asyncio.get_running_loop().time() - started
            _SECONDS.labels(wanted.priority).observe(elapsed)

    async def _run(self, wanted: CallerRequest, outbox: Outbox) -> None:
        run = self._keyed.run if wanted.key else self._sender.run
        try:
            await run(wanted, outbox)
        except Exception:
            _LOG.exception("request %s failed", wanted.request_id)
            outbox.begin(Unknown("run", "fault in this node"))
            outbox.end(broken=True)
        finally:
            self._router.leave(wanted)

    async def _relay(
        self, request: web.Request, wanted: CallerRequest, outbox: Outbox
    ) -> web.StreamResponse:
        head = await outbox.head
        if isinstance(head, NotRun):
            return self._answer_not_run(head, wanted)
        if isinstance(head, Unknown):
            return self._answer_unknown(head, wanted)
        response = web.StreamResponse(status=head.status, headers=self._build_headers(head, wanted))
        response.content_length = head.size
        await response.prepare(request)
        while piece := await outbox.take():
            await response.write(piece)
        if outbox.broken:
            _OUTCOMES.labels(wanted.priority, "broken").inc()
            if request.transport is not None:
                request.transport.abort()
            raise ConnectionResetError("answer broke off")
        await response.write_eof()
        _OUTCOMES.labels(wanted.priority, "done").inc()
        return response

    def _build_headers(self, head: Head, wanted: CallerRequest) -> dict[str, str]:
        return {
            "Content-Type": head.content_type,
            Header.OUTCOME: "done",
            Header.REQUEST_ID: wanted.request_id,
            Header.ATTEMPTS: str(head.attempts),
            Header.REVISION: str(self._configurations.revision),
            Header.AGENT: head.agent,
            Header.VERSION: head.version,
        }

    def _answer_not_run(self, outcome: NotRun, wanted: CallerRequest | None = None) -> web.Response:
        """Say that nothing ran, and whether, when and where to come back."""
        headers = {Header.OUTCOME: "not-run"}
        if outcome.retry_after is not None:
            headers["Retry-After"] = str(max(1, round(outcome.retry_after)))
        retry = {
            "allowed": outcome.retry_after is not None,
            "after_seconds": outcome.retry_after,
            "where": self._rank_addresses(wanted.request_id if wanted else ""),
        }
        if wanted is not None:
            _OUTCOMES.labels(wanted.priority, "not-run").inc()
        return self._answer_error(
            outcome.status, "not_run", outcome, headers, {"retry": retry}, wanted
        )

    def _answer_unknown(self, outcome: Unknown, wanted: CallerRequest) -> web.Response:
        _OUTCOMES.labels(wanted.priority, "unknown").inc()
        headers = {Header.OUTCOME: "unknown"}
        retry = {"allowed": wanted.idempotent or bool(wanted.key), "after_seconds": 1.0}
        return self._answer_error(
            _UNKNOWN_STATUS, "unknown", outcome, headers, {"retry": retry}, wanted
        )

    def _answer_error(
        self,
        status: int,
        kind: str,
        outcome: NotRun | Unknown,
        headers: dict[str, str],
        extra: dict[str, object],
        wanted: CallerRequest | None,
    ) -> web.Response:
        _LOG.info(
            "request %s: %s at %s: %s",
            wanted.request_id if wanted else "-",
            kind,
            outcome.step,
            outcome.reason,
        )
        if wanted is not None:
            headers[Header.REQUEST_ID] = wanted.request_id
        headers[Header.REVISION] = str(self._configurations.revision)
        error = {
            "type": kind,
            "message": outcome.reason,
            "step": outcome.step,
            "peer": outcome.peer,
            **extra,
        }
        return web.Response(
            status=status,
            headers=headers,
            text=json.dumps({"error": error}),
            content_type="application/json",
        )

    def _reject(self, error: RejectedError) -> web.Response:
        """Refuse a wrong request; nothing of it ran."""
        _LOG.info("rejected with %d: %s", error.status, error.reason)
        outcome = NotRun("read-request", error.reason, status=error.status)
        return self._answer_error(
            error.status,
            "not_run",
            outcome,
            {Header.OUTCOME: "not-run"},
            {"retry": {"allowed": False}},
            None,
        )
