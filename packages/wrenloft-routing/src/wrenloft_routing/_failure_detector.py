"""Finding out whether an endpoint fell while requests ran there."""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from enum import Enum

from prometheus_client import Counter

from wrenloft_core import ContentId, IncarnationId, note, read_clock
from wrenloft_routing._endpoints import Endpoint, Endpoints, EndpointState
from wrenloft_routing._liveness import Liveness, probe_address

_LOG = logging.getLogger(__name__)

KEPT_SECONDS = 8.0
"""How long a loss is kept while the endpoint's restart may still be told: an entry lapses after
three heartbeats of 1.2 s, a process needs up to 3 s to come back and a reading is 1 s old."""

MOST_CONTENTS = 64
"""Contents kept for one endpoint: four times an engine's slots."""

ENDPOINT_FAILURES = Counter(
    "wrenloft_endpoint_failures", "Endpoints found to have crashed", ["sign"]
)


class FailureSign(Enum):
    """By what an endpoint's fall was found out."""

    REFUSED = "refused"
    SILENT = "silent"
    RESTARTED = "restarted"


@dataclass(frozen=True, slots=True)
class EndpointFailure:
    """An endpoint that ended while requests ran there.

    :param contents: of the requests whose answers were lost with it at this node.
    :param at: when the first of them was lost.
    """

    incarnation: IncarnationId
    contents: frozenset[ContentId]
    sign: FailureSign
    at: float


@dataclass(frozen=True, slots=True)
class _Loss:
    at: float
    silent: bool


@dataclass(frozen=True, slots=True)
class _Run:
    content: ContentId
    sent_at: float


@dataclass(slots=True)
class _Losses:
    endpoint: Endpoint
    contents: dict[ContentId, _Loss] = field(default_factory=dict)
    sign: FailureSign | None = None
    fell_at: float = 0.0
    probing: bool = False


class FailureDetector:
    """Judges, after an answer was lost, whether its endpoint fell or only the connection broke.

    Both look alike on the connection. A process that fell refuses the next connection, a host that
    is dark leaves it unanswered, and one that has restarted meanwhile is another incarnation in the
    list; an endpoint that shows none of these lost a connection and nothing else.

    :param on_fall: called with each fall, and again if more requests are found to have been there.
    """

    def __init__(
        self,
        endpoints: Endpoints,
        on_fall: Callable[[EndpointFailure], None],
        probe: Callable[[str], Awaitable[Liveness]] = probe_address,
    ) -> None:
        self._endpoints = endpoints
        self._on_fall = on_fall
        self._probe = probe
        self._losses: dict[IncarnationId, _Losses] = {}
        self._running: dict[IncarnationId, list[_Run]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @contextmanager
    def run(self, states: Iterable[EndpointState], content: ContentId) -> Iterator[float]:
        """Take that a request is in progress at endpoints; yields when it was sent."""
        run = _Run(content, read_clock())
        incarnations = [each.endpoint.incarnation for each in states]
        for incarnation in incarnations:
            self._running.setdefault(incarnation, []).append(run)
        try:
            yield run.sent_at
        finally:
            for incarnation in incarnations:
                self._running[incarnation].remove(run)
                if not self._running[incarnation]:
                    del self._running[incarnation]

    def note_unreachable(self, state: EndpointState) -> None:
        """Take that an endpoint took no connection.

        Requests in progress there may wait in silence until their deadlines, seconds after the
        fall: its next caller finds it out sooner, and repeats are held back the sooner.
        """
        for run in list(self._running.get(state.endpoint.incarnation, ())):
            self.note_loss(state, run.content, run.sent_at, silent=True)

    def note_loss(
        self, state: EndpointState, content: ContentId, sent_at: float, *, silent: bool
    ) -> None:
        """Take that the answer to a request was lost at an endpoint.

        One that is leaving, or is listed no more, may end at any time: that is no fall. But silence
        may be noticed only when the list already has the endpoint's next incarnation, or none. A
        request that was sent when the endpoint had fallen had no part in it.

        :param silent: whether that was noticed by silence, and so perhaps long after the fall.
        """
        endpoint = state.endpoint
        listed = self._endpoints.get(endpoint.agent_id) is state
        if state.leaving or not (listed or silent):
            return
        losses = self._losses.setdefault(endpoint.incarnation, _Losses(endpoint))
        if content in losses.contents or len(losses.contents) >= MOST_CONTENTS:
            return
        if losses.sign is not None:
            if sent_at <= losses.fell_at:
                losses.contents[content] = _Loss(read_clock(), silent)
                self._tell(losses, frozenset({content}))
            return
        losses.contents[content] = _Loss(read_clock(), silent)
        if not losses.probing:
            losses.probing = True
            task = asyncio.create_task(self._check(losses))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _check(self, losses: _Losses) -> None:
        liveness = await self._probe(losses.endpoint.address)
        losses.probing = False
        if liveness is Liveness.REFUSED:
            self._confirm(losses, FailureSign.REFUSED)
        elif liveness is Liveness.UNREACHABLE:
            self._confirm(losses, FailureSign.SILENT)
        else:
            self._clear(losses)

    def _clear(self, losses: _Losses) -> None:
        """Take that an endpoint is there.

        A connection that broke just now was broken by something else. After a silence of seconds
        the endpoint may have fallen and come back; the list will tell.
        """
        endpoint, contents = losses.endpoint, sorted(losses.contents)
        note(_LOG, "endpoint answers after a loss", endpoint=endpoint.agent_id, contents=contents)
        losses.contents = {
            content: loss for content, loss in losses.contents.items() if loss.silent
        }
        if self._has_restarted(endpoint):
            self._confirm(losses, FailureSign.RESTARTED)

    def review(self) -> None:
        """Compare losses with a new reading of the list, and drop old ones."""
        oldest = read_clock() - KEPT_SECONDS
        for incarnation, losses in list(self._losses.items()):
            if all(each.at < oldest for each in losses.contents.values()):
                del self._losses[incarnation]
            elif losses.sign is None and self._has_restarted(losses.endpoint):
                self._confirm(losses, FailureSign.RESTARTED)

    def _has_restarted(self, endpoint: Endpoint) -> bool:
        listed = self._endpoints.find_address(endpoint.address)
        return any(each.endpoint.incarnation != endpoint.incarnation for each in listed)

    def _confirm(self, losses: _Losses, sign: FailureSign) -> None:
        if losses.sign is not None or not losses.contents:
            return
        losses.sign = sign
        losses.fell_at = min(each.at for each in losses.contents.values())
        ENDPOINT_FAILURES.labels(sign.value).inc()
        self._tell(losses, frozenset(losses.contents))

    def _tell(self, losses: _Losses, contents: frozenset[ContentId]) -> None:
        assert losses.sign is not None
        endpoint = losses.endpoint
        note(
            _LOG,
            "endpoint failed",
            endpoint=endpoint.agent_id,
            address=endpoint.address,
            sign=losses.sign.value,
            lost_ms_ago=round((read_clock() - losses.fell_at) * 1000),
            contents=sorted(contents),
        )
        self._on_fall(EndpointFailure(endpoint.incarnation, contents, losses.sign, losses.fell_at))

    async def close(self) -> None:
        """Give up what is being asked."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
