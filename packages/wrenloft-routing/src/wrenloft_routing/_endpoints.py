"""The endpoints of all services: their list entries, reports and the load that this node
observes."""

import asyncio
import logging
from collections import OrderedDict, deque
from collections.abc import Iterable
from contextlib import suppress
from dataclasses import dataclass, field, replace

from prometheus_client import Counter, Gauge

from wrenloft_core import (
    AgentId,
    IncarnationId,
    NodeId,
    PlaceName,
    RegionName,
    ServiceName,
    note,
    read_clock,
)
from wrenloft_policy import (
    ALL_LAYERS,
    REPORT_LAG_SECONDS,
    AdvertisedLimit,
    Coldness,
    EndpointLoad,
    EndpointNotice,
    HeaderLoad,
    LayerSpan,
    MalformedLoad,
)
from wrenloft_routing._cold_ledger import ColdLedger, ColdUpdates
from wrenloft_routing._cold_tracker import ColdRules, ColdTracker
from wrenloft_routing._departures import (
    Departure,
    DepartureLedger,
    DepartureSource,
    DepartureUpdates,
)
from wrenloft_routing._limit_ledger import LimitLedger
from wrenloft_routing._loads import NO_LOAD, InProgress, PeerLoads
from wrenloft_routing._paces import MALFORMED_LOADS, PaceLedger
from wrenloft_routing._rests import RestLedger
from wrenloft_routing._table import AllowedRegions

_LOG = logging.getLogger(__name__)

SUSPECT_SECONDS = 1.5
"""Seconds for which a first failure excludes an endpoint; doubled by each further one in a row."""

MAX_SUSPECT_SECONDS = 6.0
"""Half of the shortest recovery time that operators allow, so that a return is noticed in time."""

FULL_SECONDS = 0.12
"""Seconds for which an endpoint that was full is skipped: about one slot becomes free meanwhile."""

REPORT_STALE_SECONDS = 0.7
"""Age after which an agent's report is ignored: seven reports were missed."""

RATE_LIMIT = Gauge(
    "wrenloft_endpoint_rate_limit",
    "Requests a second that an endpoint takes from all entry nodes together",
    ["endpoint"],
)

NOTICES = Counter(
    "wrenloft_endpoint_notices", "Answers by what they say of their endpoint", ["notice"]
)

LEAVING = Gauge("wrenloft_endpoints_leaving", "Listed endpoints that are leaving")

MAX_LOGGED_TEXT = 40
"""Characters of an unreadable header that are logged."""

MAX_SENT_TIMES = 64
"""Times of sent requests kept per endpoint: four times an engine's slots, sent within a second."""

RETURN_GRACE_SECONDS = 4.0
"""Time after the last snapshot that isn't trusted in which endpoints that were gone before are not
used: entries of ended ones expire within three heartbeats of 1.2 s."""

MAX_GONE = 4096
"""Endpoints remembered as gone, about 0.5 MB: more than 3,000 that are all replaced at once."""

IDLE_CONNECTION_SECONDS = 4.0
"""Seconds for which an idle connection to an endpoint is kept. Shorter than the endpoints' own
keep-alive timeout, so that no request is sent on a connection that is being closed."""

HEADER_STALE_SECONDS = 0.5
"""Age after which the load in an answer's header is ignored."""


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One incarnation of an endpoint, as listed.

    :param versions: version of each model that it serves.
    :param span: the layers that it has loaded, ``None`` if none.
    :param born: start time in milliseconds since the epoch of its own clock, 0 if unknown. An
        endpoint may restart under the same id; each start is a new incarnation.
    :param cold_seconds: time for which it said that it stays cold, when its entry was written.
    :param incarnation: distinguishes starts under the same id; computed from the others.
    """

    agent_id: AgentId
    service: ServiceName
    address: str
    place: PlaceName
    region: RegionName
    slots: int
    leaving: bool = False
    versions: dict[str, int] = field(default_factory=dict)
    span: LayerSpan | None = ALL_LAYERS
    born: int = 0
    cold_seconds: float = 0.0
    incarnation: IncarnationId = field(init=False, repr=False, compare=False)

    def __post_init__(self) -> None:
        # Computed once: each measurement of an endpoint's load looks up several ledgers by it.
        object.__setattr__(self, "incarnation", IncarnationId(f"{self.agent_id}@{self.born}"))


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An agent's report of its own engine.

    :param version: of the model's weights in service, 0 if there are none.
    :param loading: whether an order is in progress.
    :param span: the layers of that version in service, ``None`` while it takes no new requests.
    :param born: as of :class:`Endpoint`.
    """

    running: int
    waiting: int
    version: int
    loading: bool
    pace: float
    span: LayerSpan | None = ALL_LAYERS
    born: int = 0

    def differs_in_load_only(self, other: "EngineReport") -> bool:
        """Return whether nothing but the numbers of requests may differ."""
        return (
            self.version == other.version
            and self.loading == other.loading
            and self.pace == other.pace
            and self.span == other.span
            and self.born == other.born
        )


@dataclass(frozen=True, slots=True)
class EngineWeights:
    """The weights that an engine can use; version 0 and no layers if none."""

    version: int
    span: LayerSpan | None


@dataclass(frozen=True, slots=True)
class Denial:
    """A grant that an endpoint's limiter denied.

    :param urgency: of the request; a more urgent one may request a grant before ``retry_at``.
    :param retry_at: until when others request no grant.
    :param turn_at: when a waiting request would have its turn.
    """

    urgency: int
    retry_at: float
    turn_at: float


NO_DENIAL = Denial(0, 0.0, 0.0)


@dataclass(slots=True)
class EndpointState:
    """An endpoint with this node's information on it.

    :param in_progress: requests that this node sent to it.
    :param reported_at: when the latest report was received.
    :param agent_contact_at: when its agent was last reachable, with or without a new report.
    :param downstream_requests: requests of this node in progress that reach it behind another
        engine.
    :param idle_since: since when each connection to it has been idle.
    :param denial: the latest denied grant: its rate limit is used up.
    :param departure: set once it is leaving.
    :param rest_until: until when it wants no requests from this node.
    :param evacuated: whether operators evacuate its availability zone.
    :param sent_malformed_load: whether one of its answers had a load header that is no load.
    :param entry_read_at: when an entry with this content was first read.
    :param started_at: when it was first listed, if that shows that it has just started.
    :param failures: failures in a row.
    :param failed_until: until when it is excluded because of them.
    :param other_failures: failures that caused this exclusion and weren't failures to connect.
    :param heard_at: when part of an answer last arrived from it.
    :param silent_since: since when it has been silent, if a silence was recorded and nothing has
        arrived since.
    :param silent_from: when the exclusion because of that silence began.
    :param silent_until: until when it is excluded because of that silence.
    """

    endpoint: Endpoint
    departure: Departure | None = None
    rest_until: float = 0.0
    in_progress: InProgress = NO_LOAD
    failures: int = 0
    failed_until: float = 0.0
    other_failures: int = 0
    heard_at: float = float("-inf")
    silent_since: float | None = None
    silent_from: float = 0.0
    silent_until: float = 0.0
    full_until: float = 0.0
    report: EngineReport | None = None
    reported_at: float = 0.0
    agent_contact_at: float = 0.0
    header_load: HeaderLoad | None = None
    header_at: float = 0.0
    sent_at: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SENT_TIMES))
    downstream_requests: int = 0
    idle_since: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SENT_TIMES))
    denial: Denial = NO_DENIAL
    evacuated: bool = False
    sent_malformed_load: bool = False
    entry_read_at: float = 0.0
    started_at: float = float("-inf")

    @property
    def leaving(self) -> bool:
        """Whether it is leaving, and takes no new requests."""
        return self.departure is not None

    @property
    def suspect_until(self) -> float:
        """Until when it is excluded, because of failures or a silence."""
        return max(self.failed_until, self.silent_until)

    def is_open(self, now: float) -> bool:
        """Return whether it takes new requests of this node, if it has slots."""
        return self.is_allowed(None) and self.rest_until <= now

    def is_allowed(self, regions: AllowedRegions) -> bool:
        """Return whether it may get new requests that are bound to some regions.

        :param regions: as of a request, ``None`` for all.
        """
        bound = regions is not None and self.endpoint.region not in regions
        return not (bound or self.leaving or self.evacuated)

    def push_idle_connection(self, now: float) -> None:
        """Record that a connection to it was left open and idle."""
        self.idle_since.append(now)

    def pop_idle_connection(self) -> None:
        """Record that a request reuses the connection that was used last."""
        if self.idle_since:
            self.idle_since.pop()

    def has_idle_connection(self, now: float) -> bool:
        """Return whether a connection to it is open and idle."""
        return bool(self.idle_since) and now - self.idle_since[-1] < IDLE_CONNECTION_SECONDS

    def add_load(self, by: InProgress) -> None:
        """Add a change of this node's requests in progress there."""
        self.in_progress += by

    def has_fresh_report(self, now: float) -> bool:
        """Return whether its agent was reachable recently."""
        return self.report is not None and now - self.agent_contact_at < REPORT_STALE_SECONDS

    def record_sent(self, now: float) -> None:
        """Record that a request was sent to it."""
        self.sent_at.append(now)

    def count_sent(self, since: float) -> int:
        """Return the number of requests sent from this node after a time."""
        return sum(at > since for at in self.sent_at)

    def find_load_time(self, now: float) -> float:
        """Return the time up to which sent requests are included in its known load."""
        known_at = self.reported_at if self.has_fresh_report(now) else self.header_at
        return max(known_at, now - REPORT_STALE_SECONDS)

    def find_weights(self, model: str, now: float) -> EngineWeights:
        """Return the weights of a model that it has loaded.

        A fresh report takes precedence over the list, which is seconds behind: an engine that drops
        a version for the next one is still listed with the old one. A stale report does not, since
        its agent may have died while the engine continued.
        """
        listed = self.endpoint.versions.get(model, 0)
        report = self.report
        if report is not None and report.born > self.endpoint.born:
            # The list shows the previous incarnation, whose weights are gone.
            return EngineWeights(report.version, report.span)
        fresh = report is not None and self.has_fresh_report(now)
        if report is not None and fresh and (report.version == 0 or report.version >= listed):
            return EngineWeights(report.version, report.span)
        return EngineWeights(listed, self.endpoint.span)


class Endpoints:
    """All endpoints by id.

    :param place: this node's availability zone.
    :param limits: rate limits that endpoints name.
    :param node: this node.
    """

    def __init__(
        self,
        place: PlaceName,
        region: RegionName,
        limits: LimitLedger | None = None,
        node: NodeId | None = None,
    ) -> None:
        self.limits = LimitLedger(NodeId("")) if limits is None else limits
        self.cold = ColdTracker(ColdLedger(node or NodeId("")))
        self._has_list = False
        self.limits.on_change = self._on_limit_change
        self.paces = PaceLedger()
        self._place = place
        self._region = region
        self._states: dict[AgentId, EndpointState] = {}
        self.departures = DepartureLedger()
        self._gone: OrderedDict[AgentId, int] = OrderedDict()
        self._distrusted_at = float("-inf")
        self.rests = RestLedger()
        self._evacuated: frozenset[PlaceName] = frozenset()
        self._by_service: dict[ServiceName, list[EndpointState]] = {}
        self._by_address: dict[str, list[EndpointState]] = {}
        LEAVING.set_function(lambda: sum(each.leaving for each in self._states.values()))
        self.peer_loads = PeerLoads()
        self.changed = asyncio.Event()
        self.revision = 0

    def mark_changed(self) -> None:
        """Record a change of which endpoints can be used at all."""
        self.revision += 1

    def wake_waiting(self) -> None:
        """Wake all requests that wait for spare capacity."""
        self.changed.set()
        self.changed = asyncio.Event()

    def update(
        self, listed: Iterable[Endpoint], *, trusted: bool, read_at: float | None = None
    ) -> None:
        """Apply a new snapshot of the list.

        A leaving endpoint stays leaving: an older snapshot that arrives late would otherwise send
        new requests to an endpoint that is draining.

        :param trusted: whether a missing entry means that its endpoint is gone. Entries expire
            while the store is unavailable although their endpoints are alive; removing them would
            empty the list at a time when it can't be refilled.
        :param read_at: when the read of the list began; now if not given.
        """
        now = read_clock()
        if not trusted:
            self._distrusted_at = now
        settled = now - self._distrusted_at > RETURN_GRACE_SECONDS
        seen = {each.agent_id: each for each in listed if settled or not self._is_gone(each)}
        for agent_id, endpoint in seen.items():
            self._update_endpoint(agent_id, endpoint, now if read_at is None else read_at)
        self._has_list = True
        for agent_id, state in list(self._states.items()):
            if agent_id not in seen and trusted:
                del self._states[agent_id]
                self._record_gone(state.endpoint)
                _export_rate_limit(agent_id, None)
                note(_LOG, "endpoint gone", endpoint=agent_id, service=state.endpoint.service)
        self._index()

    def _record_gone(self, endpoint: Endpoint) -> None:
        self._gone[endpoint.agent_id] = endpoint.born
        self._gone.move_to_end(endpoint.agent_id)
        if len(self._gone) > MAX_GONE:
            self._gone.popitem(last=False)

    def _is_gone(self, endpoint: Endpoint) -> bool:
        """Return whether an incarnation that isn't listed was removed from the list before.

        A store that comes back from an older copy lists endpoints again that have ended, until
        their entries expire.
        """
        if endpoint.agent_id in self._states:
            return False
        return self._gone.get(endpoint.agent_id, -1) >= endpoint.born

    def _update_endpoint(self, agent_id: AgentId, endpoint: Endpoint, read_at: float) -> None:
        state = self._states.get(agent_id)
        if state is not None and endpoint.born < state.endpoint.born:
            return  # an older snapshot, of the previous incarnation
        if state is not None and endpoint.born > state.endpoint.born:
            # A restarted endpoint keeps no earlier state: the report of the previous incarnation
            # would send it requests for weights that it lacks, and its leaving mark would exclude
            # it.
            note(_LOG, "endpoint started again", endpoint=agent_id, born=endpoint.born)
            state = None
        if state is None:
            departure = self.departures.find(agent_id, endpoint.born)
            rest_until = self.rests.find_end(endpoint.incarnation)
            state = EndpointState(endpoint, departure=departure, rest_until=rest_until)
            state.evacuated = endpoint.place in self._evacuated
            state.entry_read_at = read_at
            if self._has_list and self._gone.get(agent_id) != endpoint.born:
                state.started_at = read_clock()
            self._states[agent_id] = state
            self._record_entry(state)
            _export_rate_limit(agent_id, self.find_rate_limit(state))
            note(
                _LOG,
                "endpoint listed",
                endpoint=agent_id,
                service=endpoint.service,
                address=endpoint.address,
            )
        if endpoint is not state.endpoint and endpoint != state.endpoint:
            state.endpoint, state.entry_read_at = endpoint, read_at
            self._record_entry(state)
        if endpoint.leaving:
            self.record_departure(agent_id, endpoint.born, DepartureSource.LIST)

    def _record_entry(self, state: EndpointState) -> None:
        endpoint = state.endpoint
        if self.cold.record_entry(
            endpoint.incarnation,
            endpoint.service,
            endpoint.cold_seconds,
            state.entry_read_at,
            state.started_at,
        ):
            self.mark_changed()

    def set_cold_rules(self, rules: ColdRules) -> None:
        """Set by which rules endpoints are cold, and apply them to the entries that are known."""
        if rules == self.cold.rules:
            return
        self.cold.rules = rules
        for state in self._states.values():
            self._record_entry(state)
        self.mark_changed()
        self.wake_waiting()

    def record_cold_answer(self, state: EndpointState, notice: EndpointNotice) -> None:
        """Record what an answer says of its endpoint's coldness."""
        endpoint = state.endpoint
        if self.cold.record_answer(endpoint.incarnation, endpoint.service, notice):
            self.mark_changed()

    def record_reported_coldness(self, address: str, born: int, seconds: float) -> None:
        """Record for how long the engine at an address says to its agent that it is cold.

        :param born: start time of that engine, 0 if unknown.
        """
        if not 0.0 < seconds < float("inf"):
            return
        for state in self.find_by_address(address):
            if born in (0, state.endpoint.born):
                self.record_cold_answer(state, EndpointNotice(cold=seconds))

    def record_evacuation_ends(self, places: frozenset[PlaceName]) -> None:
        """Count the endpoints of zones whose evacuation has ended as cold.

        They may be, after a time without requests, and the list shows it late.
        """
        for state in self._states.values():
            endpoint = state.endpoint
            if endpoint.place in places:
                self.cold.record_evacuation_end(endpoint.incarnation, endpoint.service)
        self.mark_changed()

    def merge_cold(self, updates: ColdUpdates) -> None:
        """Record the coldness of listed endpoints that another node reports."""
        for incarnation, report in updates.items():
            state = self._find_incarnation(incarnation)
            if state is None:
                continue
            if self.cold.merge(incarnation, state.endpoint.service, report):
                self.mark_changed()

    def end_cold(self) -> None:
        """End coldness whose time is up, and wake the requests that wait for it."""
        ended = self.cold.ledger.drop_ended()
        for incarnation in ended:
            state = self._find_incarnation(incarnation)
            if state is not None:
                state.denial = NO_DENIAL
        if ended:
            self.mark_changed()
            self.wake_waiting()

    def _find_incarnation(self, incarnation: IncarnationId) -> EndpointState | None:
        state = self._states.get(AgentId(incarnation.rpartition("@")[0]))
        return state if state is not None and state.endpoint.incarnation == incarnation else None

    def find_coldness(self, state: EndpointState) -> Coldness | None:
        """Return the coldness of an endpoint, ``None`` if it isn't cold."""
        return self.cold.find(state.endpoint.incarnation, state.endpoint.service)

    @property
    def has_grants(self) -> bool:
        """Whether any endpoint may take requests only with a grant."""
        return bool(len(self.limits) or len(self.cold.ledger))

    def find_grant_rate(self, state: EndpointState) -> float | None:
        """Return the requests a second that an endpoint gets by grants, ``None`` if it needs none.

        It needs them if it has a rate limit, and while it is cold.
        """
        limit = self.find_rate_limit(state)
        if not len(self.cold.ledger):
            return limit
        cold = self.cold.find_rate(state.endpoint.incarnation, state.endpoint.service)
        return limit if cold is None else min(cold, cold if limit is None else limit)

    def find_grant_end(self, state: EndpointState) -> float:
        """Return when an endpoint that gets requests by grants needs none, infinity if unknown."""
        end = self.cold.ledger.find_end(state.endpoint.incarnation)
        limited = self.find_rate_limit(state) is not None
        return float("inf") if limited or end == float("-inf") else end

    def set_evacuated(self, places: frozenset[PlaceName]) -> None:
        """Send no new requests to the endpoints of these availability zones, and only these."""
        self._evacuated = places
        for state in self._states.values():
            state.evacuated = state.endpoint.place in places
        self.mark_changed()
        self.wake_waiting()

    def record_reported_departure(self, address: str, born: int) -> None:
        """Record that the engine at an address says to its agent that it leaves.

        :param born: start time of that engine, 0 if unknown.
        """
        for state in self.find_by_address(address):
            endpoint = state.endpoint
            if born in (0, endpoint.born):
                self.record_departure(endpoint.agent_id, endpoint.born, DepartureSource.REPORT)

    def list_departures(self, since: int) -> DepartureUpdates:
        """Return the listed endpoints recorded as leaving after a revision of ``departures``."""
        changes = self.departures.list_changes(since)
        return {agent_id: born for agent_id, born in changes.items() if agent_id in self._states}

    def merge_departures(self, updates: DepartureUpdates) -> None:
        """Record the departures that another node knows of."""
        for agent_id, born in updates.items():
            self.record_departure(agent_id, born, DepartureSource.PEER)

    def record_departure(self, agent_id: AgentId, born: int, source: DepartureSource) -> None:
        """Exclude an incarnation from new requests, whatever the list says later."""
        departure = self.departures.record(agent_id, born, source)
        state = self._states.get(agent_id)
        if departure is None or state is None or state.endpoint.born > born:
            return
        state.departure = departure
        self.mark_changed()
        self.wake_waiting()

    def _index(self) -> None:
        self._by_service = {}
        self._by_address = {}
        for state in self._states.values():
            self._by_service.setdefault(state.endpoint.service, []).append(state)
            self._by_address.setdefault(state.endpoint.address, []).append(state)
        self.mark_changed()
        self.wake_waiting()

    def list_in_progress(self) -> dict[AgentId, InProgress]:
        """Return this node's requests in progress by endpoint, for publication to other nodes."""
        return {
            agent_id: state.in_progress
            for agent_id, state in self._states.items()
            if state.in_progress != NO_LOAD
        }

    def list_all(self) -> list[EndpointState]:
        """Return all known endpoints by id."""
        return [self._states[agent_id] for agent_id in sorted(self._states)]

    def get(self, agent_id: AgentId) -> EndpointState | None:
        """Return an endpoint's state, if it is known."""
        return self._states.get(agent_id)

    def of_service(self, service: ServiceName) -> list[EndpointState]:
        """Return the known endpoints of a service, including leaving ones."""
        return self._by_service.get(service, [])

    def find_by_address(self, address: str) -> list[EndpointState]:
        """Return the incarnations listed at an address."""
        return self._by_address.get(address, [])

    def record_report(self, address: str, report: EngineReport, now: float) -> None:
        """Record an agent's report of its engine, unless it is of an earlier incarnation."""
        for state in self.find_by_address(address):
            if report.born >= state.endpoint.born:
                if state.report is None or _serves_different_weights(state.report, report):
                    self.mark_changed()
                state.report = report
                state.reported_at = state.agent_contact_at = now
        self.wake_waiting()

    def forget_report(self, address: str) -> None:
        """Drop the report of an engine whose agent is no longer reachable."""
        for state in self.find_by_address(address):
            state.report = None
        self.mark_changed()

    def refresh_reports(self, addresses: Iterable[str], now: float) -> None:
        """Record that agents without a new report are still reachable."""
        for address in addresses:
            for state in self.find_by_address(address):
                state.agent_contact_at = now

    def record_header_load(
        self, state: EndpointState, load: HeaderLoad | MalformedLoad | None, now: float
    ) -> None:
        """Record the load in an answer's header."""
        if isinstance(load, MalformedLoad):
            self._count_malformed_load(state, load)
        elif load is not None:
            state.header_load = load
            state.header_at = now
            if load.states_pace:
                self.paces.observe(state.endpoint.incarnation, load.pace, now)

    def _count_malformed_load(self, state: EndpointState, load: MalformedLoad) -> None:
        MALFORMED_LOADS.inc()
        if not state.sent_malformed_load:
            state.sent_malformed_load = True
            incarnation = state.endpoint.incarnation
            note(_LOG, "cannot parse load header", endpoint=incarnation, text=load.text)

    def record_notice(self, state: EndpointState, notice: EndpointNotice, now: float) -> None:
        """Record what an answer says of its endpoint."""
        endpoint = state.endpoint
        if notice.leaving:
            NOTICES.labels("leaving").inc()
            self.record_departure(endpoint.agent_id, endpoint.born, DepartureSource.ANSWER)
        if notice.rest:
            NOTICES.labels("rest").inc()
            rest_until = self.rests.extend(endpoint.incarnation, notice.rest, now)
            for each in (state, self._states.get(endpoint.agent_id)):
                if each is not None and each.endpoint.incarnation == endpoint.incarnation:
                    each.rest_until = rest_until
            self.mark_changed()
        if notice.unreadable:
            NOTICES.labels("unreadable").inc()
            text = notice.unreadable[:MAX_LOGGED_TEXT]
            note(_LOG, "cannot parse rest", endpoint=endpoint.agent_id, text=text)

    def end_rests(self, now: float) -> None:
        """End the rests whose time is up, and wake the requests that wait for it."""
        if self.rests.drop_ended(now):
            self.mark_changed()
            self.wake_waiting()

    def find_rate_limit(self, state: EndpointState) -> float | None:
        """Return the requests per second that an endpoint takes, ``None`` if it has no limit."""
        return self.limits.find_rate(state.endpoint.incarnation) if len(self.limits) else None

    def record_limit(
        self, state: EndpointState, named: AdvertisedLimit | None, *, limit_known: bool
    ) -> None:
        """Record the rate limit that an answer names, or the lack of one.

        :param limit_known: whether a limit was known when the request was sent.
        """
        self.limits.observe(state.endpoint.incarnation, named, limit_known=limit_known)

    def _on_limit_change(self, incarnation: IncarnationId, old: float | None) -> None:
        """Export an endpoint's limit; end its denial if the limit has risen or ended."""
        agent_id = AgentId(incarnation.rpartition("@")[0])
        state = self._states.get(agent_id)
        if state is None or state.endpoint.incarnation != incarnation:
            return
        rate = self.find_rate_limit(state)
        _export_rate_limit(agent_id, rate)
        if rate is None or (old is not None and rate > old):
            state.denial = NO_DENIAL
        self.mark_changed()
        self.wake_waiting()

    def record_denial(self, state: EndpointState, denial: Denial) -> None:
        """Skip an endpoint whose rate limit is used up."""
        state.denial = denial
        self.mark_changed()

    def record_success(self, state: EndpointState) -> None:
        """Reset the failures of an endpoint."""
        state.failures = state.other_failures = 0
        state.failed_until = state.silent_until = 0.0
        state.silent_since = None

    def record_failure(self, state: EndpointState, now: float) -> None:
        """Exclude an endpoint for a time that doubles with each failure in a row."""
        pause = min(MAX_SUSPECT_SECONDS, SUSPECT_SECONDS * 2**state.failures)
        state.failures += 1
        self._add_other_failures(state, 1, now)
        state.failed_until = now + pause
        self.mark_changed()

    def record_failed_connect(self, state: EndpointState, now: float) -> None:
        """Record that a failure that is recorded just before or after is a failure to connect."""
        self._add_other_failures(state, -1, now)

    def _add_other_failures(self, state: EndpointState, number: int, now: float) -> None:
        if state.failed_until <= now:
            state.other_failures = min(0, state.other_failures)
        state.other_failures += number

    def record_reachable(self, state: EndpointState, now: float) -> None:
        """Record that an endpoint accepts connections again.

        Ends an exclusion that only failures to connect have caused. The kernel of a stopped process
        accepts connections too, so it says nothing of one that is silent on an open connection.
        """
        if state.failed_until > now and state.other_failures <= 0:
            state.failed_until = 0.0
            self.mark_changed()
            self.wake_waiting()

    def record_silence(self, state: EndpointState, since: float, now: float) -> None:
        """Exclude an endpoint for as long as it has been silent.

        Requests that notice the same silence later extend the exclusion to the length of the
        silence so far. While nothing arrives, the next exclusion counts from its beginning too.

        :param since: when a request there was sent, or last got part of its answer.
        """
        since = max(since, state.heard_at)
        if state.silent_since is None or since < state.silent_since:
            state.silent_since = since
        if state.silent_until <= now:
            state.silent_from = now
        silence = min(MAX_SUSPECT_SECONDS, now - state.silent_since)
        if state.silent_from + silence > max(now, state.silent_until):
            state.silent_until = state.silent_from + silence
            self.mark_changed()

    def record_heard(self, state: EndpointState, now: float) -> None:
        """Record that part of an answer arrived from an endpoint; it ends a silence."""
        state.heard_at = now
        if state.silent_since is None:
            return
        state.silent_since = None
        if state.silent_until > now:
            state.silent_until = 0.0
            self.mark_changed()
            self.wake_waiting()

    def record_full(self, state: EndpointState, now: float) -> None:
        """Skip an endpoint for a moment after it rejected a request as full."""
        state.full_until = now + FULL_SECONDS
        self.mark_changed()

    def measure_load(
        self, state: EndpointState, now: float, *, all_reachable: bool = False
    ) -> EndpointLoad:
        """Return an endpoint's load for the choice of an endpoint.

        :param all_reachable: whether all other entry nodes publish their requests in progress
            there; if not, the endpoint's own report counts too, which is older but includes all
            requests.
        """
        pace = 1.0
        if state.report is not None and state.has_fresh_report(now):
            pace = max(1.0, state.report.pace)
        header_pace = None
        if len(self.paces):
            header_pace = self.paces.estimate(state.endpoint.incarnation, now)
        in_progress = state.in_progress + self.peer_loads.get_load(state.endpoint.agent_id)
        load = EndpointLoad(
            key=state.endpoint.agent_id,
            slots=state.endpoint.slots,
            running=in_progress.running,
            waiting=in_progress.unread,
            sent_since=0,
            distance=self._measure_distance(state.endpoint),
            pace=max(pace, header_pace or 1.0),
            paced=header_pace is not None,
            suspect=state.suspect_until > now,
            unread_tokens=in_progress.unread_tokens,
            connected=state.has_idle_connection(now),
            limited=self.find_grant_rate(state) is not None,
        )
        return load if all_reachable else self._add_reported(load, state, now)

    def _add_reported(self, load: EndpointLoad, state: EndpointState, now: float) -> EndpointLoad:
        running, waiting, slots = state.in_progress.total, 0, load.slots
        if state.report is not None and state.has_fresh_report(now):
            running, waiting = state.report.running, state.report.waiting
        elif state.header_load is not None and now - state.header_at < HEADER_STALE_SECONDS:
            header = state.header_load
            running, waiting, slots = header.running, header.waiting, header.slots
        since = state.find_load_time(now)
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


def _export_rate_limit(agent_id: AgentId, rate: float | None) -> None:
    if rate is not None:
        RATE_LIMIT.labels(agent_id).set(rate)
    else:
        with suppress(KeyError):
            RATE_LIMIT.remove(agent_id)


def _serves_different_weights(before: EngineReport, report: EngineReport) -> bool:
    return (before.version, before.span, before.born) != (report.version, report.span, report.born)
