"""Simulation of a rate-limited endpoint and fleets of entry nodes in discrete time."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

import pytest

from wrenloft_core import IncarnationId, NodeId, PlaceName, RegionName
from wrenloft_policy import AdvertisedLimit, compute_frame_interval
from wrenloft_routing import GrantRequest, Limiter, LimitLedger, Member, Members, NodeState

STEP = 0.01
ANSWER_SECONDS = 0.1
DETECTION_SECONDS = 0.8
"""Time until a node that stopped responding is known to be lost."""

RELAY_FAILOVER_SECONDS = 1.1
"""Time from a relay's failure until its successor sends: detection, connection and aggregation."""

WINDOW_SECONDS = 4.0
USED_SHARE = 0.7
ENDPOINT = IncarnationId("e@1")
REGION = RegionName("r")
FLEETS = {9: [3, 3, 3], 38: [13, 13, 12], 98: [20, 20, 20, 19, 19]}
LIMITS = [0.2, 1.4, 1.8, 5.0, 50.0]


@dataclass
class Node:
    """One entry node."""

    name: NodeId
    zone: int
    ledger: LimitLedger
    members: Members
    limiter: Limiter
    up: bool = True
    frozen: bool = False
    ask_after: float = 0.0
    sent_revisions: dict[NodeId, int] = field(default_factory=dict)


class Model:
    """A fleet in discrete time, with one endpoint whose behaviour a test can replace."""

    def __init__(self, sizes: list[int], rate: float, clock: list[float]) -> None:
        self.clock = clock
        self.random = Random(3)
        self.sizes = sizes
        self.limit: float | None = rate
        self.name_limit: Callable[[], AdvertisedLimit | None] = self._name_limit
        self.arrivals: list[float] = []
        self.answers: list[tuple[float, Node, bool]] = []
        self.cuts: set[frozenset[int]] = set()
        self.later: list[tuple[float, Callable[[], None]]] = []
        self.relay_silent: dict[int, float] = {}
        self.places = [NodeId(f"n{z}-{k}") for z, size in enumerate(sizes) for k in range(size)]
        self.nodes = [self._start(name) for name in self.places]

    @property
    def now(self) -> float:
        return self.clock[0]

    def _start(self, name: NodeId) -> Node:
        random = Random(str(name))
        members = Members(self._list_member(name))
        members.update([self._list_member(each) for each in self.places if each != name])
        members.update_states(dict.fromkeys(self.places, NodeState.READY))
        ledger = LimitLedger(name)
        limiter = Limiter(ledger, members, random)
        return Node(name, self._zone(name), ledger, members, limiter)

    @staticmethod
    def _zone(name: NodeId) -> int:
        return int(name[1 : name.index("-")])

    def _list_member(self, name: NodeId) -> Member:
        return Member(name, PlaceName(f"z{self._zone(name)}"), REGION, "", str(name))

    def _name_limit(self) -> AdvertisedLimit | None:
        return None if self.limit is None else AdvertisedLimit(self.limit, str(self.limit))

    def find(self, name: NodeId) -> Node:
        return next(each for each in self.nodes if each.name == name)

    def can_reach(self, one: Node, other: Node) -> bool:
        live = one.up and other.up and not one.frozen and not other.frozen
        return live and frozenset((one.zone, other.zone)) not in self.cuts

    def exchange_updates(self) -> None:
        """Exchange updates between relays and nodes at the interval for their zone's size."""
        relays = []
        for zone, size in enumerate(self.sizes):
            live = [each for each in self.nodes if each.zone == zone and each.up]
            if not live or self.now < self.relay_silent.get(zone, 0.0):
                continue
            relays.append(live[0])
            if self._is_due(compute_frame_interval(size)):
                for node in live[1:]:
                    self._send_updates(node, live[0])
                    self._send_updates(live[0], node)
        for one in relays:
            for other in relays:
                if one is not other:
                    self._send_updates(one, other)

    def _is_due(self, interval: float) -> bool:
        return int(self.now / interval) != int((self.now - STEP) / interval)

    def _send_updates(self, source: Node, target: Node) -> None:
        if self.can_reach(source, target):
            target.ledger.merge(
                source.ledger.list_changes(target.sent_revisions.get(source.name, 0))
            )
            target.sent_revisions[source.name] = source.ledger.revision

    def request(self, node: Node, urgency: int = 1) -> bool:
        """Handle a caller's request at a node; return whether it reached the endpoint."""
        if not node.up or node.frozen or self.now < node.ask_after:
            return False
        limit = node.ledger.find(ENDPOINT)
        known = limit is not None and limit.rate is not None
        if known:
            assert limit is not None
            place = PlaceName("z0")
            limiter = self.find(node.limiter.find_limiter(ENDPOINT, place))
            if limiter is not node and not self.can_reach(node, limiter):
                node.ask_after = self.now + 0.3
                return False
            grant = limiter.limiter.grant(GrantRequest(ENDPOINT, place, limit, urgency, node.name))
            if not grant.granted:
                node.ask_after = self.now + grant.ask_again
                return False
        self.arrivals.append(self.now)
        self.answers.append((self.now + ANSWER_SECONDS, node, known))
        return True

    def answer(self) -> None:
        """Deliver the endpoint's responses that are due."""
        due = [each for each in self.answers if each[0] <= self.now]
        self.answers = [each for each in self.answers if each[0] > self.now]
        for _, node, known in due:
            if node.up:
                node.ledger.observe(ENDPOINT, self.name_limit(), limit_known=known)

    def set_state(self, node: Node, state: NodeState) -> None:
        """Set a node's state at all other nodes."""
        for each in self.nodes:
            if each is not node:
                each.members.update_states({node.name: state})

    def schedule(self, seconds: float, action: Callable[[], None]) -> None:
        self.later.append((self.now + seconds, action))

    def kill(self, node: Node) -> None:
        node.up = False
        self.relay_silent[node.zone] = self.now + RELAY_FAILOVER_SECONDS
        self.schedule(DETECTION_SECONDS, lambda: self.set_state(node, NodeState.LOST))

    def restart(self, node: Node) -> None:
        """Restart a node with an empty state."""
        restarted = self._start(node.name)
        self.nodes[self.nodes.index(node)] = restarted
        for each in self.nodes:
            each.sent_revisions.pop(node.name, None)
            if not each.up:
                restarted.members.update_states({each.name: NodeState.LOST})
        self.set_state(restarted, NodeState.READY)

    def cut(self, zone: int) -> None:
        """Partition a zone from the others; both sides detect it a little later."""
        others = [each for each in range(len(self.sizes)) if each != zone]
        self.cuts |= {frozenset((zone, each)) for each in others}

        def notice() -> None:
            for one in self.nodes:
                for other in self.nodes:
                    if (one.zone == zone) is not (other.zone == zone):
                        one.members.update_states({other.name: NodeState.LOST})

        self.schedule(DETECTION_SECONDS, notice)

    def run(self, seconds: float, rate: float, pick: Callable[["Model"], Node]) -> None:
        """Simulate ``rate`` requests per second at the nodes that ``pick`` returns."""
        until = self.now + seconds
        while self.now < until:
            for _, action in [each for each in self.later if each[0] <= self.now]:
                action()
            self.later = [each for each in self.later if each[0] > self.now]
            self.answer()
            arriving = int(rate * STEP) + (self.random.random() < rate * STEP % 1.0)
            for _ in range(arriving):
                self.request(pick(self))
            self.exchange_updates()
            self.clock[0] += STEP

    def count_most(self, after: float) -> int:
        """Return the largest number of arrivals in any window that starts after a time."""
        counted = [at for at in self.arrivals if at > after]
        return max(
            (sum(0 <= at - one < WINDOW_SECONDS for at in counted) for one in counted), default=0
        )

    def count_between(self, start: float, end: float) -> int:
        return sum(start < at <= end for at in self.arrivals)


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[float]]:
    """Replace the clock of limiter and ledger by the model's."""
    clock = [1000.0]
    for module in ("_limiter", "_limit_ledger"):
        monkeypatch.setattr(f"wrenloft_routing.{module}.read_clock", lambda: clock[0])
    yield clock


def most_allowed(limit: float) -> int:
    """Return the most requests that an endpoint may get in any window."""
    return int(1.5 * limit * WINDOW_SECONDS + 5 + 1e-9)


def even(model: Model) -> Node:
    return model.random.choice(model.nodes)


def one_node(model: Model) -> Node:
    return model.nodes[-1]


def one_zone(model: Model) -> Node:
    return model.random.choice([each for each in model.nodes if each.zone == 1])


def moving(model: Model) -> Node:
    return model.nodes[int(model.now / 3.0) % len(model.nodes)]


def check(model: Model, limit: float, known_at: float) -> None:
    """Check that the limit is kept, and used, once all nodes know it."""
    assert model.count_most(known_at) <= most_allowed(limit)
    since = known_at + WINDOW_SECONDS
    seconds = model.now - since
    assert model.count_between(since, model.now) >= int(USED_SHARE * limit * seconds)


@pytest.mark.parametrize("size", FLEETS)
@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize("pick", [even, one_node, one_zone, moving])
def test_sum_over_the_nodes_keeps_to_the_limit_and_uses_it(
    clock: list[float], size: int, limit: float, pick: Callable[[Model], Node]
) -> None:
    """Guards against nodes that each apply the whole limit, and against idle shares."""
    model = Model(FLEETS[size], limit, clock)
    demand = max(10.0, 2.0 * limit)
    model.run(0.5 + ANSWER_SECONDS, demand, pick)
    known_at = model.now
    model.run(20.0, demand, pick)
    check(model, limit, known_at)


def _kill_limiter(model: Model) -> None:
    model.kill(model.find(even(model).limiter.find_limiter(ENDPOINT, PlaceName("z0"))))


def _restart_limiter(model: Model) -> None:
    node = model.find(even(model).limiter.find_limiter(ENDPOINT, PlaceName("z0")))
    model.kill(node)
    model.schedule(1.5, lambda: model.restart(node))


def _freeze_limiter(model: Model) -> None:
    node = model.find(even(model).limiter.find_limiter(ENDPOINT, PlaceName("z0")))
    node.frozen = True
    model.schedule(DETECTION_SECONDS, lambda: model.set_state(node, NodeState.LOST))

    def wake() -> None:
        node.frozen = False
        model.schedule(DETECTION_SECONDS, lambda: model.set_state(node, NodeState.READY))

    model.schedule(3.0, wake)


def _restart_many(model: Model) -> None:
    for number, node in enumerate(model.nodes[:: len(model.nodes) // 4]):
        model.schedule(number * 1.5, lambda node=node: model.kill(node))
        model.schedule(number * 1.5 + 1.0, lambda node=node: model.restart(node))


def _cut_endpoints_zone(model: Model) -> None:
    model.cut(0)


def _cut_other_zone(model: Model) -> None:
    model.cut(1)


@pytest.mark.parametrize("size", FLEETS)
@pytest.mark.parametrize("limit", LIMITS)
@pytest.mark.parametrize(
    "disturb",
    [
        _kill_limiter,
        _restart_limiter,
        _freeze_limiter,
        _restart_many,
        _cut_endpoints_zone,
        _cut_other_zone,
    ],
)
def test_limit_holds_through_node_failures_and_partitions(
    clock: list[float], size: int, limit: float, disturb: Callable[[Model], None]
) -> None:
    """Guards against two limiters that each grant the whole limit, and against none."""
    model = Model(FLEETS[size], limit, clock)
    demand = max(40.0, 8.0 * limit)  # enough in the smallest partition
    model.run(0.7, demand, even)
    known_at = model.now
    model.run(6.0, demand, even)
    disturb(model)
    model.run(14.0, demand, even)
    check(model, limit, known_at)


@pytest.mark.parametrize("size", FLEETS)
def test_changes_are_known_within_a_second(clock: list[float], size: int) -> None:
    """Guards against nodes that keep applying an outdated limit."""
    model = Model(FLEETS[size], 1.8, clock)
    model.run(5.0, 100.0, even)
    for limit in (20.0, 1.4, 5.0, 0.2):
        model.limit = limit
        model.run(1.0, 100.0, even)
        since = model.now
        model.run(8.0, 100.0, even)
        check(model, limit, since)


@pytest.mark.parametrize("limit", [0.2, 1.8, 50.0])
def test_end_of_a_limit_is_learnt_from_few_responses(clock: list[float], limit: float) -> None:
    """Guards against a limit that never ends because hardly any requests are sent any more."""
    model = Model(FLEETS[38], limit, clock)
    model.run(3.0, 20.0, even)
    model.limit = None
    model.run(5.0 / limit + 1.0, 20.0, even)
    assert all(each.ledger.find_rate(ENDPOINT) is None for each in model.nodes)


def test_limit_missing_from_some_responses_stays_in_force(clock: list[float]) -> None:
    """Guards against nodes that drop the limit after each response that lacks it."""
    model = Model(FLEETS[9], 1.8, clock)
    model.run(1.0, 20.0, even)
    known_at = model.now
    missing = iter([True, False] * 1000)
    model.name_limit = lambda: None if next(missing) else AdvertisedLimit(1.8, "1.8")
    model.run(20.0, 20.0, even)
    check(model, 1.8, known_at)


def test_flapping_limit_is_bounded_by_its_higher_value(clock: list[float]) -> None:
    model = Model(FLEETS[38], 1.4, clock)
    model.run(1.0, 20.0, even)
    known_at = model.now
    flapping = iter([1.4, 5.0] * 1000)
    model.name_limit = lambda: AdvertisedLimit(next(flapping), "")
    model.run(20.0, 20.0, even)
    assert model.count_most(known_at) <= most_allowed(5.0)
    assert model.count_between(known_at, model.now) >= USED_SHARE * 1.4 * 20.0


def test_most_urgent_requests_come_first(clock: list[float]) -> None:
    """Guards against alarms refused while another node's less urgent requests are sent."""
    model = Model(FLEETS[9], 2.0, clock)
    model.run(2.0, 10.0, even)
    sent = {0: 0, 3: 0}
    asked = {0: 0, 3: 0}
    until = model.now + 60.0
    while model.now < until:
        urgency = 0 if model.random.random() < 0.15 else 3
        if model.random.random() < 10.0 * STEP:
            asked[urgency] += 1
            node = even(model)
            model.answer()
            for _ in range(150):
                if model.request(node, urgency):
                    sent[urgency] += 1
                    break
                if urgency == 3:
                    break
                clock[0] += STEP
        model.exchange_updates()
        clock[0] += STEP
    assert sent[0] >= 0.9 * asked[0]
