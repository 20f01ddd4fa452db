"""Detection of endpoints that failed while requests ran there."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum

from prometheus_client import Counter

from wrenloft_core import ContentId, IncarnationId, SegmentId, note, read_clock
from wrenloft_policy import ANSWERING_SECONDS, Workload
from wrenloft_routing._endpoints import Endpoint, Endpoints, EndpointState
from wrenloft_routing._liveness import Liveness, probe_address

_LOG = logging.getLogger(__name__)

LOSS_TTL_SECONDS = 8.0
"""Seconds for which a loss is kept while the list may still show a restart: an entry expires after
three heartbeats of 1.2 s, a process restarts within 3 s, and a snapshot of the list is up to 1 s
old."""

MAX_WORKLOADS = 64
"""Workloads kept per endpoint: four times an engine's slots."""

MAX_LOGGED_WORKLOADS = 32
"""Workloads named in the log line of a failure: twice an engine's slots."""

MAX_LOGGED_SEGMENTS = 8
"""Prompt segments named for each of these; prompts usually have up to three."""

ENDPOINT_FAILURES = Counter(
    "wrenloft_endpoint_failures", "Endpoints found to have crashed", ["sign"]
)


class FailureSign(Enum):
    """The evidence of an endpoint's failure."""

    REFUSED = "refused"
    SILENT = "silent"
    RESTARTED = "restarted"


@dataclass(frozen=True, slots=True)
class EndpointFailure:
    """An endpoint that ended while requests ran there.

    :param at: time of the first loss; where it was noticed by a timeout, the time at which this
        node last heard of the endpoint.
    :param workloads: of the requests of this node whose answers were lost with it.
    :param answering: segments of requests that it had been answering for some time.
    """

    incarnation: IncarnationId
    workloads: frozenset[Workload]
    sign: FailureSign
    at: float
    answering: frozenset[SegmentId] = frozenset()

    @property
    def contents(self) -> frozenset[ContentId]:
        """Contents of these requests."""
        return frozenset(each.content for each in self.workloads)


@dataclass(frozen=True, slots=True)
class _Loss:
    at: float
    silent: bool
    heard_at: float
    answering: bool


@dataclass(slots=True, eq=False)
class RunningRequest:
    """A request in progress at an endpoint.

    :param heard_at: when the endpoint last sent part of the answer, ``sent_at`` before that.
    :param begun_at: when the first event of the answer arrived, ``None`` before that.
    """

    workload: Workload
    sent_at: float
    heard_at: float
    begun_at: float | None = None

    def record_data(self) -> None:
        """Record that part of the answer has arrived."""
        self.heard_at = read_clock()

    def record_first_event(self) -> None:
        """Record that the first event of the answer has arrived."""
        self.begun_at = read_clock()

    @property
    def is_answering(self) -> bool:
        """Whether events have arrived for long enough to show that beginning crashed nothing."""
        return self.begun_at is not None and self.heard_at - self.begun_at >= ANSWERING_SECONDS


@dataclass(slots=True)
class _EndpointLosses:
    endpoint: Endpoint
    workloads: dict[Workload, _Loss] = field(default_factory=dict)
    sign: FailureSign | None = None
    failed_at: float = 0.0
    check: asyncio.Task[None] | None = None


class FailureDetector:
    """Decide after a lost answer whether its endpoint failed or only the connection.

    Both look alike on the connection. A process that ended refuses the next connection, a host that
    is down leaves it unanswered, and an endpoint that has restarted is listed as another
    incarnation. An endpoint with none of these signs lost only a connection.

    :param on_failure: called with each failure, and again for each further request involved.
    """

    def __init__(
        self,
        endpoints: Endpoints,
        on_failure: Callable[[EndpointFailure], None],
        probe: Callable[[str], Awaitable[Liveness]] = probe_address,
    ) -> None:
        self._endpoints = endpoints
        self._on_failure = on_failure
        self._probe = probe
        self._losses: dict[IncarnationId, _EndpointLosses] = {}
        self._running: dict[IncarnationId, list[RunningRequest]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @contextmanager
    def track_request(
        self,
        states: Iterable[EndpointState],
        workload: Workload,
    ) -> Iterator[RunningRequest]:
        """Track a request in progress at endpoints."""
        now = read_clock()
        request = RunningRequest(workload, now, now)
        incarnations = [each.endpoint.incarnation for each in states]
        for incarnation in incarnations:
            self._running.setdefault(incarnation, []).append(request)
        try:
            yield request
        finally:
            for incarnation in incarnations:
                self._running[incarnation].remove(request)
                if not self._running[incarnation]:
                    del self._running[incarnation]

    def record_unreachable(self, state: EndpointState) -> None:
        """Record that an endpoint accepted no connection.

        Requests in progress there may wait until their deadlines, seconds after the failure. The
        next connection to the endpoint detects it sooner, and repeats are quarantined sooner.
        """
        for request in list(self._running.get(state.endpoint.incarnation, ())):
            self.record_loss(state, request, silent=True)

    def record_loss(self, state: EndpointState, request: RunningRequest, *, silent: bool) -> None:
        """Record that the answer to a tracked request was lost at an endpoint."""
        loss = _Loss(read_clock(), silent, request.heard_at, request.is_answering)
        self._record_loss(state, request.workload, request.sent_at, loss)

    def _record_loss(
        self, state: EndpointState, workload: Workload, sent_at: float, loss: _Loss
    ) -> None:
        """Record a lost answer, and check the endpoint.

        An endpoint that is leaving, or is no longer listed, may end at any time, which is no
        failure. But a timeout may be noticed only when the list already has the endpoint's next
        incarnation, or none. A request that was sent after the failure is not involved in it.
        """
        endpoint = state.endpoint
        listed = self._endpoints.get(endpoint.agent_id) is state
        if state.leaving or not (listed or loss.silent):
            return
        losses = self._losses.setdefault(endpoint.incarnation, _EndpointLosses(endpoint))
        if workload in losses.workloads or len(losses.workloads) >= MAX_WORKLOADS:
            return
        if losses.sign is not None:
            if sent_at <= losses.failed_at:
                losses.workloads[workload] = loss
                self._report(losses, frozenset({workload}))
            return
        losses.workloads[workload] = loss
        if losses.check is None or losses.check.done():
            losses.check = asyncio.create_task(self._check(losses))
            self._tasks.add(losses.check)
            losses.check.add_done_callback(self._tasks.discard)

    def record_silence(self, state: EndpointState, request: RunningRequest) -> None:
        """Record that the answer to a tracked request has been silent, and check the endpoint."""
        self.record_loss(state, request, silent=True)

    def record_heard(self, state: EndpointState) -> None:
        """Record that part of an answer arrived from an endpoint."""

    async def wait_for_checks(self, states: Iterable[EndpointState]) -> None:
        """Wait until the endpoints at which answers were lost have been checked."""
        known = (self._losses.get(each.endpoint.incarnation) for each in states)
        checks = [each.check for each in known if each is not None and each.check is not None]
        if checks:
            await asyncio.wait(checks)

    async def has_ended(self, state: EndpointState) -> bool:
        """Return whether an endpoint that has closed a connection cleanly has ended.

        An answer without a length ends with its connection, and so does each answer of a process
        that ends. An endpoint that is leaving, or is no longer listed, may end after its answer.
        """
        listed = self._endpoints.get(state.endpoint.agent_id) is state
        if state.leaving or not listed:
            return False
        return await self._probe(state.endpoint.address) is Liveness.REFUSED

    async def _check(self, losses: _EndpointLosses) -> None:
        liveness = await self._probe(losses.endpoint.address)
        if liveness is Liveness.REFUSED:
            self._confirm(losses, FailureSign.REFUSED)
        elif liveness is Liveness.UNREACHABLE:
            self._confirm(losses, FailureSign.SILENT)
        else:
            self._discard_losses(losses)

    def _discard_losses(self, losses: _EndpointLosses) -> None:
        """Discard the losses of an endpoint that accepts connections, except silent ones.

        A connection that broke just now broke for another reason. After a silence of seconds the
        endpoint may have failed and restarted, which a later snapshot of the list shows.
        """
        endpoint = losses.endpoint
        note(
            _LOG,
            "endpoint answers after a lost answer",
            endpoint=endpoint.agent_id,
            contents=sorted({each.content for each in losses.workloads}),
        )
        losses.workloads = {
            workload: loss for workload, loss in losses.workloads.items() if loss.silent
        }
        if self._has_restarted(endpoint):
            self._confirm(losses, FailureSign.RESTARTED)

    def review(self) -> None:
        """Compare losses with a new snapshot of the list, and drop old ones."""
        oldest = read_clock() - LOSS_TTL_SECONDS
        for incarnation, losses in list(self._losses.items()):
            if all(each.at < oldest for each in losses.workloads.values()):
                del self._losses[incarnation]
            elif losses.sign is None and self._has_restarted(losses.endpoint):
                self._confirm(losses, FailureSign.RESTARTED)

    def _has_restarted(self, endpoint: Endpoint) -> bool:
        listed = self._endpoints.find_by_address(endpoint.address)
        return any(each.endpoint.incarnation != endpoint.incarnation for each in listed)

    def _confirm(self, losses: _EndpointLosses, sign: FailureSign) -> None:
        if losses.sign is not None or not losses.workloads:
            return
        losses.sign = sign
        losses.failed_at = min(each.at for each in losses.workloads.values())
        ENDPOINT_FAILURES.labels(sign.value).inc()
        self._report(losses, frozenset(losses.workloads))

    def _report(self, losses: _EndpointLosses, workloads: frozenset[Workload]) -> None:
        assert losses.sign is not None
        endpoint = losses.endpoint
        contents = {each.content for each in workloads}
        note(
            _LOG,
            "endpoint failed",
            endpoint=endpoint.agent_id,
            address=endpoint.address,
            sign=losses.sign.value,
            lost_ms_ago=round((read_clock() - losses.failed_at) * 1000),
            contents=sorted(contents),
            segments=[
                sorted(each.segments)[:MAX_LOGGED_SEGMENTS]
                for each in list(workloads)[:MAX_LOGGED_WORKLOADS]
            ],
        )
        at = losses.failed_at
        if losses.sign is not FailureSign.REFUSED:
            at = min(at, max(each.heard_at for each in losses.workloads.values()))
        answering = {
            segment
            for each in workloads
            if losses.workloads[each].answering
            for segment in each.segments
        }
        self._on_failure(
            EndpointFailure(endpoint.incarnation, workloads, losses.sign, at, frozenset(answering))
        )

    async def close(self) -> None:
        """Cancel the probes in progress."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
