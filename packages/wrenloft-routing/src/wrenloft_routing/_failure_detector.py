"""Detection of endpoints that failed while requests ran there."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace
from enum import Enum

from prometheus_client import Counter

from wrenloft_core import ContentId, IncarnationId, SegmentId, note, read_clock
from wrenloft_policy import ANSWERING_SECONDS, Workload
from wrenloft_routing._endpoints import Endpoint, Endpoints, EndpointState
from wrenloft_routing._liveness import PROBE_TIMEOUT_SECONDS, Liveness, probe_address

_LOG = logging.getLogger(__name__)

LOSS_TTL_SECONDS = 8.0
"""Seconds for which a loss is kept while the list may still show a restart: an entry expires after
three heartbeats of 1.2 s, a process restarts within 3 s, and a snapshot of the list is up to 1 s
old."""

MAX_SOUND_SILENCE_SECONDS = 3.0
"""Seconds for which a sound endpoint and its host may be silent."""

PROBE_INTERVAL_SECONDS = 0.1
"""Seconds between two probes of an endpoint that doesn't answer them."""

MAX_PROBE_PERIOD_SECONDS = 2 * (PROBE_TIMEOUT_SECONDS + PROBE_INTERVAL_SECONDS)
"""Seconds from one unanswered probe to the next, at a process that isn't delayed."""

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
    """A lost answer.

    :param at: when its connection broke; when its silence was noticed if it didn't break.
    :param silent: whether the endpoint may have failed some time before.
    :param broken: whether the connection broke.
    :param heard_at: as of the request.
    """

    at: float
    silent: bool
    broken: bool
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

    def end_silence(self) -> None:
        """Remove the losses of silent answers, as the endpoint has continued."""
        self.workloads = {
            workload: replace(loss, silent=False)
            for workload, loss in self.workloads.items()
            if loss.broken
        }


@dataclass(slots=True, eq=False)
class _Check:
    """Probes of an endpoint until one of them is answered.

    :param first_probe: done after the first probe.
    :param started_at: start of the latest probe.
    :param unreachable_since: start of the first probe that nothing answered, of those since this
        node last heard of the endpoint.
    :param unanswered_at: end of the latest probe that nothing answered.
    :param heard_at: when it sent data during the check.
    :param watched_until: until when probes are started even if no answer is lost, because it
        accepted no connection; the last one is started after that.
    """

    first_probe: asyncio.Future[None]
    started_at: float = float("-inf")
    unreachable_since: float | None = None
    unanswered_at: float = float("-inf")
    heard_at: float = float("-inf")
    watched_until: float = float("-inf")

    def end_first_probe(self) -> None:
        """Wake those that wait for the first probe."""
        if not self.first_probe.done():
            self.first_probe.set_result(None)

    def record_unanswered(self, now: float) -> float:
        """Record that nothing answered the latest probe.

        :returns: since when the endpoint has been unreachable.
        """
        known = self.unreachable_since is not None
        if now - (self.unanswered_at if known else self.started_at) > MAX_PROBE_PERIOD_SECONDS:
            # This process was stopped or busy, and may have missed an answer.
            self.unreachable_since = now
        elif self.unreachable_since is None:
            self.unreachable_since = max(self.started_at, self.heard_at)
        self.unanswered_at = now
        return self.unreachable_since

    def record_heard(self, now: float) -> None:
        """Record that the endpoint sent data, so that earlier probes show nothing."""
        self.heard_at = now
        self.unreachable_since = None


class FailureDetector:
    """Decide after a lost answer whether its endpoint failed or only the connection.

    Both look alike on the connection. A process that ended refuses the next connection, a host that
    is down leaves it unanswered for longer than a sound one may be silent, and an endpoint that has
    restarted is listed as another incarnation. An endpoint with none of these signs lost only a
    connection, or was silent for a moment.

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
        self._checks: dict[IncarnationId, _Check] = {}
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
        """Record that an endpoint accepted no connection, and watch it until it accepts one.

        Requests in progress there may wait until their deadlines, seconds after the failure. The
        next connection to the endpoint detects it sooner, and repeats are quarantined sooner.
        """
        self._endpoints.record_failed_connect(state, read_clock())
        for request in list(self._running.get(state.endpoint.incarnation, ())):
            self.record_loss(state, request, silent=True)
        if not state.leaving and self._is_listed(state):
            check = self._begin_check(state)
            check.watched_until = read_clock() + MAX_SOUND_SILENCE_SECONDS

    def record_loss(self, state: EndpointState, request: RunningRequest, *, silent: bool) -> None:
        """Record that the answer to a tracked request was lost at an endpoint, and check it.

        An endpoint that is leaving, or is no longer listed, may end at any time, which is no
        failure. But a timeout may be noticed only when the list already has the endpoint's next
        incarnation, or none. A request that was sent after the failure is not involved in it.
        """
        endpoint, workload = state.endpoint, request.workload
        if state.leaving or not (silent or self._is_listed(state)):
            return
        losses = self._losses.setdefault(endpoint.incarnation, _EndpointLosses(endpoint))
        known = losses.workloads.get(workload)
        if known is None and len(losses.workloads) >= MAX_WORKLOADS:
            return
        loss = _Loss(read_clock(), silent, not silent, request.heard_at, request.is_answering)
        if losses.sign is not None:
            if known is None and request.sent_at <= losses.failed_at:
                losses.workloads[workload] = loss
                self._report(losses, frozenset({workload}))
            return
        if known is None:
            losses.workloads[workload] = loss
        elif loss.broken and not known.broken:
            losses.workloads[workload] = replace(loss, silent=True)
        self._begin_check(state)

    def record_silence(self, state: EndpointState, request: RunningRequest) -> None:
        """Record that the answer to a tracked request has been silent, and check the endpoint.

        It counts as lost if the endpoint turns out to have failed, whether or not the request is
        still in progress there by then.
        """
        self.record_loss(state, request, silent=True)

    def record_heard(self, state: EndpointState) -> None:
        """Record that part of an answer arrived from an endpoint: its process is alive.

        Answers that were silent before aren't lost, and neither are those of connections that broke
        if it has been heard after a probe that nothing answered.
        """
        if not (self._losses or self._checks):
            return
        incarnation = state.endpoint.incarnation
        check = self._checks.get(incarnation)
        was_unreachable = check is not None and check.unreachable_since is not None
        if check is not None:
            check.record_heard(read_clock())
        losses = self._losses.get(incarnation)
        if losses is None or losses.sign not in (None, FailureSign.SILENT):
            return
        if was_unreachable:
            _note_alive(losses)
        losses.end_silence()
        if was_unreachable or losses.sign is not None or not losses.workloads:
            del self._losses[incarnation]

    def _is_listed(self, state: EndpointState) -> bool:
        return self._endpoints.get(state.endpoint.agent_id) is state

    async def wait_for_checks(self, states: Iterable[EndpointState]) -> None:
        """Wait until the endpoints at which answers were lost have been probed once."""
        known = (self._checks.get(each.endpoint.incarnation) for each in states)
        probes = {each.first_probe for each in known if each is not None}
        if probes:
            await asyncio.wait(probes)

    async def has_ended(self, state: EndpointState) -> bool:
        """Return whether an endpoint that has closed a connection cleanly has ended.

        An answer without a length ends with its connection, and so does each answer of a process
        that ends. One that is leaving serves until it ends, so that the same holds for it.
        """
        return await self._probe(state.endpoint.address) is Liveness.REFUSED

    def _begin_check(self, state: EndpointState) -> _Check:
        """Return the check of an endpoint in progress, a new one if there is none."""
        incarnation = state.endpoint.incarnation
        check = self._checks.get(incarnation)
        if check is None:
            check = _Check(asyncio.get_running_loop().create_future())
            self._checks[incarnation] = check
            task = asyncio.create_task(self._run_check(state, check))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return check

    async def _run_check(self, state: EndpointState, check: _Check) -> None:
        incarnation = state.endpoint.incarnation
        try:
            while not await self._probe_once(state, incarnation, check):
                await asyncio.sleep(PROBE_INTERVAL_SECONDS)
                if not self._is_due(incarnation, check):
                    return
        finally:
            del self._checks[incarnation]
            check.end_first_probe()

    async def _probe_once(
        self, state: EndpointState, incarnation: IncarnationId, check: _Check
    ) -> bool:
        """Probe an endpoint, and return whether that ends its check.

        One that nothing answers has failed if it was unreachable for longer than a sound endpoint
        may be silent when the probe began.
        """
        check.started_at = read_clock()
        liveness = await self._probe(state.endpoint.address)
        check.end_first_probe()
        losses = self._find_unresolved(incarnation)
        if liveness is Liveness.UNREACHABLE:
            since = check.record_unanswered(read_clock())
            if check.started_at - since <= MAX_SOUND_SILENCE_SECONDS:
                return False
            if losses is not None:
                self._confirm_silent(losses, since)
        elif liveness is Liveness.REACHABLE:
            self._endpoints.record_reachable(state, read_clock())
            if losses is not None:
                self._discard_losses(losses)
        elif losses is not None:
            self._confirm(losses, FailureSign.REFUSED)
        return True

    def _find_unresolved(self, incarnation: IncarnationId) -> _EndpointLosses | None:
        """Return the losses at an endpoint that isn't known to have failed."""
        losses = self._losses.get(incarnation)
        return losses if losses is not None and losses.sign is None else None

    def _is_due(self, incarnation: IncarnationId, check: _Check) -> bool:
        """Return whether an endpoint that nothing answers is probed again."""
        unresolved = self._find_unresolved(incarnation) is not None
        return unresolved or check.started_at <= check.watched_until

    def _confirm_silent(self, losses: _EndpointLosses, since: float) -> None:
        """Record that an endpoint failed that has been unreachable since some time.

        Requests that were sent later are not involved.
        """
        losses.workloads = {
            workload: loss for workload, loss in losses.workloads.items() if loss.heard_at <= since
        }
        self._confirm(losses, FailureSign.SILENT)

    def _discard_losses(self, losses: _EndpointLosses) -> None:
        """Discard the losses of an endpoint that accepts connections, except silent ones.

        A connection that broke just now broke for another reason. After a silence of seconds the
        endpoint may have failed and restarted, which a later snapshot of the list shows.
        """
        _note_alive(losses)
        losses.workloads = {
            workload: loss for workload, loss in losses.workloads.items() if loss.silent
        }
        if self._has_restarted(losses.endpoint):
            self._confirm(losses, FailureSign.RESTARTED)

    def review(self) -> None:
        """Compare losses with a new snapshot of the list, and drop old ones."""
        oldest = read_clock() - LOSS_TTL_SECONDS
        for incarnation, losses in list(self._losses.items()):
            checked = losses.sign is None and incarnation in self._checks
            if not checked and all(each.at < oldest for each in losses.workloads.values()):
                del self._losses[incarnation]
            elif losses.sign is None and self._has_restarted(losses.endpoint):
                self._confirm(losses, FailureSign.RESTARTED)

    def _has_departed(self, endpoint: Endpoint) -> bool:
        """Return whether an endpoint has been found to be leaving since its answers were lost.

        It may end at any time, so that nothing shows that it failed.
        """
        return self._endpoints.departures.find(endpoint.agent_id, endpoint.born) is not None

    def _has_restarted(self, endpoint: Endpoint) -> bool:
        listed = self._endpoints.find_by_address(endpoint.address)
        return any(each.endpoint.incarnation != endpoint.incarnation for each in listed)

    def _confirm(self, losses: _EndpointLosses, sign: FailureSign) -> None:
        if losses.sign is not None or not losses.workloads:
            return
        if sign is not FailureSign.REFUSED and self._has_departed(losses.endpoint):
            return
        losses.sign = sign
        times = [each.at for each in losses.workloads.values()]
        if sign is FailureSign.REFUSED:
            times = [each.at for each in losses.workloads.values() if each.broken] or times
        losses.failed_at = min(times)
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


def _note_alive(losses: _EndpointLosses) -> None:
    note(
        _LOG,
        "endpoint answers after a lost answer",
        endpoint=losses.endpoint.agent_id,
        contents=sorted({each.content for each in losses.workloads}),
    )
