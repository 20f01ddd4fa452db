"""The endpoints of all services: what the list says of them and what this node saw itself."""

import asyncio
import logging
from collections import deque
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, field, replace

from prometheus_client import Gauge

from wrenloft_core import (
    AgentId,
    IncarnationId,
    NodeId,
    PlaceName,
    RegionName,
    ServiceName,
    note,
)
from wrenloft_policy import (
    EVERY_LAYER,
    REPORT_LAG_SECONDS,
    EndpointLoad,
    LayerSpan,
    NamedLimit,
)
from wrenloft_routing._limit_ledger import LimitLedger
from wrenloft_routing._loads import NO_LOAD, InProgress, PeerLoads

_LOG = logging.getLogger(__name__)

SUSPECT_SECONDS = 1.5
"""How long a first failure keeps requests away; doubled by each further one in a row."""

SUSPECT_LONGEST = 6.0
"""Half of the shortest recovery that operators allow, so that a return is noticed in time."""

FULL_SECONDS = 0.12
"""How long an endpoint that said it was full is passed over: about one slot becomes free."""

REPORT_STALE_SECONDS = 0.7
"""Age after which an agent's report is no longer used: seven reports were missed."""

RATE_LIMIT = Gauge(
    "wrenloft_endpoint_rate_limit",
    "Requests a second that an endpoint takes from all entry nodes together",
    ["endpoint"],
)

SENT_KEPT = 64
"""Times of sent requests kept for each endpoint: four times an engine's slots, sent in a second."""

KEPT_SECONDS = 4.0
"""How long an idle connection to an endpoint is kept; shorter than endpoints keep theirs, so that a
request does not meet their close."""

HEADER_STALE_SECONDS = 0.5
"""Age after which the load that came with an answer is no longer used."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One incarnation of an endpoint, as the list names it.

    :param versions: version of each model that it serves.
    :param span: the layers that it holds, ``None`` if it holds none.
    :param born: when it was started, in milliseconds since the epoch of its own clock, 0 if not
        told. An endpoint may start again under its id; the later start is another incarnation.
    """

    agent_id: AgentId
    service: ServiceName
    address: str
    place: PlaceName
    region: RegionName
    slots: int
    leaving: bool = False
    versions: dict[str, int] = field(default_factory=dict)
    span: LayerSpan | None = EVERY_LAYER
    born: int = 0

    @property
    def incarnation(self) -> IncarnationId:
        """What tells it from an endpoint that was started before or after under the same id."""
        return IncarnationId(f"{self.agent_id}@{self.born}")


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an agent reports of its own engine.

    :param version: of the model's weights in service, 0 if there are none.
    :param loading: whether an order is in progress.
    :param span: the layers of that version in service, ``None`` while it takes nothing new.
    :param born: as of :class:`Endpoint`.
    """

    running: int
    waiting: int
    version: int
    loading: bool
    pace: float
    span: LayerSpan | None = EVERY_LAYER
    born: int = 0


@dataclass(frozen=True, slots=True)
class HeldWeights:
    """What an engine can work with; version 0 and no layers if nothing."""

    version: int
    span: LayerSpan | None


@dataclass(frozen=True, slots=True)
class Denial:
    """A grant that an endpoint's limiter denied.

    :param urgency: of the request; a more urgent one may ask before the pause is over.
    :param ask_after: until when others do not ask.
    :param turn_at: when a request that waits would have its turn.
    """

    urgency: int
    ask_after: float
    turn_at: float


NO_DENIAL = Denial(0, 0.0, 0.0)


@dataclass(slots=True)
class EndpointState:
    """An endpoint and what this node knows of it beyond the list.

    :param in_progress: requests that this node sent to it.
    :param reported_at: when the report came.
    :param agent_heard_at: when its agent, which had nothing new to say, was still heard.
    :param later_parts: requests in progress of this node that go through it after another engine.
    :param kept_at: since when each idle connection to it is kept.
    :param denial: the latest grant that was denied: its rate limit is used up.
    """

    endpoint: Endpoint
    leaving: bool = False
    in_progress: InProgress = NO_LOAD
    failures: int = 0
    suspect_until: float = 0.0
    full_until: float = 0.0
    report: EngineReport | None = None
    reported_at: float = 0.0
    agent_heard_at: float = 0.0
    header_load: tuple[int, int, int] | None = None
    header_at: float = 0.0
    sent_at: deque[float] = field(default_factory=lambda: deque(maxlen=SENT_KEPT))
    later_parts: int = 0
    kept_at: deque[float] = field(default_factory=lambda: deque(maxlen=SENT_KEPT))
    denial: Denial = NO_DENIAL

    def note_kept(self, now: float) -> None:
        """Take that a connection to it was left open and idle."""
        self.kept_at.append(now)

    def take_kept(self) -> None:
        """Take that a request uses the connection that was used last."""
        if self.kept_at:
            self.kept_at.pop()

    def has_kept(self, now: float) -> bool:
        """Whether a connection to it is open and idle."""
        return bool(self.kept_at) and now - self.kept_at[-1] < KEPT_SECONDS

    def change(self, by: InProgress) -> None:
        """Take that requests of this node began, went on or ended there."""
        self.in_progress += by

    def has_fresh_report(self, now: float) -> bool:
        """Whether its agent reported lately."""
        return self.report is not None and now - self.agent_heard_at < REPORT_STALE_SECONDS

    def note_sent(self, now: float) -> None:
        """Take that a request was sent to it."""
        self.sent_at.append(now)

    def count_sent(self, since: float) -> int:
        """Return the requests sent from here after a time."""
        return sum(at > since for at in self.sent_at)

    def know_since(self, now: float) -> float:
        """Return from when on sent requests are missing in what is known of its load."""
        known_at = self.reported_at if self.has_fresh_report(now) else self.header_at
        return max(known_at, now - REPORT_STALE_SECONDS)

    def weights_of(self, model: str, now: float) -> HeldWeights:
        """Return what it holds of a model.

        A fresh report goes before the list, which is seconds behind: an engine that gives up a
        version for the next one is still listed with it. A stale one does not, since its agent
        may have died while the engine went on.
        """
        listed = self.endpoint.versions.get(model, 0)
        report = self.report
        if report is not None and report.born > self.endpoint.born:
            # The list still shows the incarnation before; what that held is gone.
            return HeldWeights(report.version, report.span)
        fresh = report is not None and self.has_fresh_report(now)
        if report is not None and fresh and (report.version == 0 or report.version >= listed):
            return HeldWeights(report.version, report.span)
        return HeldWeights(listed, self.endpoint.span)


class Endpoints:
    """All endpoints by id.

    :param place: this node's availability zone.
    :param limits: rate limits that endpoints name.
    """

    def __init__(
        self, place: PlaceName, region: RegionName, limits: LimitLedger | None = None
    ) -> None:
        self.limits = limits or LimitLedger(NodeId(""))
        self.limits.on_change = self._take_limit
        self._place = place
        self._region = region
        self._states: dict[AgentId, EndpointState] = {}
        self._left: dict[AgentId, int] = {}
        self._by_service: dict[ServiceName, list[EndpointState]] = {}
        self._by_address: dict[str, list[EndpointState]] = {}
        self.others = PeerLoads()
        self.changed = asyncio.Event()
        self.revision = 0

    def touch(self) -> None:
        """Take that something has changed that decides which endpoints can be used at all."""
        self.revision += 1

    def notify(self) -> None:
        """Wake whoever waits for room."""
        self.changed.set()
        self.changed = asyncio.Event()

    def update(self, listed: Iterable[Endpoint], *, trusted: bool) -> None:
        """Take a new reading of the list.

        A leaving endpoint stays leaving, whatever a later reading says: an older reading that
        arrives late would otherwise send it new requests after it had been told to go.

        :param trusted: whether a missing entry may count as gone. Entries lapse while the store
            is away without their endpoints having died; taking them for dead would empty the
            list at the moment when nothing can refill it.
        """
        seen = {each.agent_id: each for each in listed}
        for agent_id, endpoint in seen.items():
            self._take(agent_id, endpoint)
        for agent_id, state in list(self._states.items()):
            if agent_id not in seen and trusted:
                del self._states[agent_id]
                _show_limit(agent_id, None)
                note(_LOG, "endpoint gone", endpoint=agent_id, service=state.endpoint.service)
        self._index()

    def _take(self, agent_id: AgentId, endpoint: Endpoint) -> None:
        state = self._states.get(agent_id)
        if state is not None and endpoint.born < state.endpoint.born:
            return  # an older reading, of the incarnation before
        if state is not None and endpoint.born > state.endpoint.born:
            # It started again and knows nothing of before: with the former one's report it would
            # get requests for weights it lacks, with its mark of leaving it would get none.
            note(_LOG, "endpoint started again", endpoint=agent_id, born=endpoint.born)
            state = None
        if state is None:
            leaving = self._left.get(agent_id, -1) >= endpoint.born
            state = EndpointState(endpoint, leaving=leaving)
            self._states[agent_id] = state
            _show_limit(agent_id, self.find_limit(state))
            note(
                _LOG,
                "endpoint listed",
                endpoint=agent_id,
                service=endpoint.service,
                address=endpoint.address,
            )
        state.endpoint = endpoint
        if endpoint.leaving and not state.leaving:
            self._mark_leaving(state)

    def _mark_leaving(self, state: EndpointState) -> None:
        """Send this incarnation nothing more, whatever the list says later."""
        self._left[state.endpoint.agent_id] = state.endpoint.born
        state.leaving = True
        note(_LOG, "endpoint leaving", endpoint=state.endpoint.agent_id, born=state.endpoint.born)

    def _index(self) -> None:
        self._by_service = {}
        self._by_address = {}
        for state in self._states.values():
            self._by_service.setdefault(state.endpoint.service, []).append(state)
            self._by_address.setdefault(state.endpoint.address, []).append(state)
        self.touch()
        self.notify()

    def list_in_progress(self) -> dict[AgentId, InProgress]:
        """Return what this node has in progress, by endpoint; others are told of it."""
        return {
            agent_id: state.in_progress
            for agent_id, state in self._states.items()
            if state.in_progress != NO_LOAD
        }

    def get(self, agent_id: AgentId) -> EndpointState | None:
        """Return an endpoint's state, if it is known."""
        return self._states.get(agent_id)

    def of_service(self, service: ServiceName) -> list[EndpointState]:
        """Return the known endpoints of a service, leaving ones included."""
        return self._by_service.get(service, [])

    def find_address(self, address: str) -> list[EndpointState]:
        """Return the incarnations listed at an address."""
        return self._by_address.get(address, [])

    def record_report(self, address: str, report: EngineReport, now: float) -> None:
        """Take an agent's report of its engine, unless it is of an earlier incarnation."""
        for state in self.find_address(address):
            if report.born >= state.endpoint.born:
                if state.report is None or _serves_other(state.report, report):
                    self.touch()
                state.report = report
                state.reported_at = state.agent_heard_at = now
        self.notify()

    def forget_report(self, address: str) -> None:
        """Take that an engine's agent is no longer heard."""
        for state in self.find_address(address):
            state.report = None
        self.touch()

    def refresh_reports(self, addresses: Iterable[str], now: float) -> None:
        """Take that agents are still heard, and have nothing new to say."""
        for address in addresses:
            for state in self.find_address(address):
                state.agent_heard_at = now

    def record_header(
        self, state: EndpointState, load: tuple[int, int, int] | None, now: float
    ) -> None:
        """Take the load that came with an answer."""
        if load is not None:
            state.header_load = load
            state.header_at = now

    def find_limit(self, state: EndpointState) -> float | None:
        """Return the requests a second that an endpoint takes, ``None`` if it has no limit."""
        return self.limits.find_rate(state.endpoint.incarnation) if self.limits else None

    def record_limit(
        self, state: EndpointState, named: NamedLimit | None, *, limit_known: bool
    ) -> None:
        """Take the rate limit that an answer names, or that it names none.

        :param limit_known: whether a limit was known when the request was sent.
        """
        self.limits.observe(state.endpoint.incarnation, named, limit_known=limit_known)

    def _take_limit(self, incarnation: IncarnationId, old: float | None) -> None:
        """Show an endpoint's limit; let requests ask again at once if it has risen or ended."""
        agent_id = AgentId(incarnation.rpartition("@")[0])
        state = self._states.get(agent_id)
        if state is None or state.endpoint.incarnation != incarnation:
            return
        rate = self.find_limit(state)
        _show_limit(agent_id, rate)
        if rate is None or (old is not None and rate > old):
            state.denial = NO_DENIAL
        self.touch()
        self.notify()

    def defer(self, state: EndpointState, denial: Denial) -> None:
        """Pass an endpoint over whose rate limit is used up."""
        state.denial = denial
        self.touch()

    def record_success(self, state: EndpointState) -> None:
        """Forget failures."""
        state.failures = 0
        state.suspect_until = 0.0

    def record_failure(self, state: EndpointState, now: float) -> None:
        """Keep requests away for a while, longer each time in a row."""
        pause = min(SUSPECT_LONGEST, SUSPECT_SECONDS * 2**state.failures)
        state.failures += 1
        state.suspect_until = now + pause
        self.touch()

    def record_full(self, state: EndpointState, now: float) -> None:
        """Pass an endpoint over for a moment: it said that it takes nothing more."""
        state.full_until = now + FULL_SECONDS
        self.touch()

    def measure(self, state: EndpointState, now: float, *, all_heard: bool = False) -> EndpointLoad:
        """Return an endpoint's load as the choice reads it.

        :param all_heard: whether every other entry node tells what it has in progress there; if
            not, the endpoint's own word counts too, which is older and knows of all.
        """
        pace = 1.0
        if state.report is not None and state.has_fresh_report(now):
            pace = max(1.0, state.report.pace)
        told = state.in_progress + self.others.get_load(state.endpoint.agent_id)
        load = EndpointLoad(
            key=state.endpoint.agent_id,
            slots=state.endpoint.slots,
            running=told.running,
            waiting=told.unread,
            sent_since=0,
            distance=self._measure_distance(state.endpoint),
            pace=pace,
            suspect=state.suspect_until > now,
            unread_tokens=told.unread_tokens,
            connected=state.has_kept(now),
            limited=self.find_limit(state) is not None,
        )
        return load if all_heard else self._add_reported(load, state, now)

    def _add_reported(self, load: EndpointLoad, state: EndpointState, now: float) -> EndpointLoad:
        running, waiting, slots = state.in_progress.total, 0, load.slots
        if state.report is not None and state.has_fresh_report(now):
            running, waiting = state.report.running, state.report.waiting
        elif state.header_load is not None and now - state.header_at < HEADER_STALE_SECONDS:
            running, waiting, slots = state.header_load
        since = state.know_since(now)
        return replace(
            load,
            slots=slots,
            running=max(running, load.running),
            waiting=max(waiting, load.waiting),
            sent_since=state.count_sent(since),
            recent=state.count_sent(since - REPORT_LAG_SECONDS),
            unread_tokens=None,
        )

    def _measure_distance(self, endpoint: Endpoint) -> int:
        if endpoint.place == self._place:
            return 0
        return 1 if endpoint.region == self._region else 2


def _show_limit(agent_id: AgentId, rate: float | None) -> None:
    if rate is not None:
        RATE_LIMIT.labels(agent_id).set(rate)
    else:
        with suppress(KeyError):
            RATE_LIMIT.remove(agent_id)


def _serves_other(before: EngineReport, report: EngineReport) -> bool:
    return (before.version, before.span, before.born) != (report.version, report.span, report.born)
