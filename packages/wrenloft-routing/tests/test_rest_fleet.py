"""Simulation of resting endpoints and fleets of entry nodes in discrete time."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

import pytest

from wrenloft_core import AgentId, PlaceName, RegionName, ServiceName
from wrenloft_policy import EndpointNotice
from wrenloft_routing import Endpoint, Endpoints, EndpointState

STEP = 0.01
IN_FLIGHT_SECONDS = 0.5
MAX_ARRIVALS = 2
SERVICE = ServiceName("s")
PLACE = PlaceName("p")
REGION = RegionName("r")


def _endpoint(number: int, born: int = 1) -> Endpoint:
    name = f"e{number}"
    return Endpoint(AgentId(name), SERVICE, f"{name}:1", PLACE, REGION, 4, born=born)


@dataclass
class _Answer:
    at: float
    node: int
    state: EndpointState
    notice: EndpointNotice


@dataclass
class _Model:
    """Nodes that each send to random open endpoints, and endpoints that count what they get.

    :param rest: seconds that an endpoint asks for now, by its id; missing if it serves.
    :param arrivals: endpoint, node and time of each request.
    :param asked: the same of each rejection, with the end of the rest.
    """

    clock: list[float]
    node_count: int
    listed: list[Endpoint]
    rest: dict[str, float] = field(default_factory=dict)
    arrivals: list[tuple[str, int, float]] = field(default_factory=list)
    asked: list[tuple[str, int, float, float]] = field(default_factory=list)
    answers: list[_Answer] = field(default_factory=list)
    refused: int = 0
    random: Random = field(default_factory=lambda: Random(5))
    nodes: list[Endpoints] = field(default_factory=list)

    def __post_init__(self) -> None:
        self.nodes = [Endpoints(PLACE, REGION) for _ in range(self.node_count)]
        self.list_all(self.listed)

    @property
    def now(self) -> float:
        return self.clock[0]

    def list_all(self, listed: list[Endpoint]) -> None:
        """Give all nodes a new list."""
        self.listed = listed
        for node in self.nodes:
            node.update(listed, trusted=True)

    def run(self, seconds: float, rate: float) -> None:
        """Simulate ``rate`` requests per second at random nodes."""
        until = self.now + seconds
        while self.now < until:
            self._answer()
            for _ in range(int(rate * STEP) + (self.random.random() < rate * STEP % 1.0)):
                self._request(self.random.randrange(self.node_count))
            for node in self.nodes:
                node.end_rests(self.now)
            self.clock[0] += STEP

    def _request(self, number: int) -> None:
        node = self.nodes[number]
        states = [each for each in node.of_service(SERVICE) if each.is_open(self.now)]
        if not states:
            self.refused += 1
            return
        state = self.random.choice(states)
        name = state.endpoint.agent_id
        rest = self.rest.get(name, 0.0)
        self.arrivals.append((name, number, self.now))
        if rest:
            self.asked.append((name, number, self.now, self.now + rest))
        delay = self.random.uniform(0.0, 0.3)
        self.answers.append(_Answer(self.now + delay, number, state, EndpointNotice(rest=rest)))

    def _answer(self) -> None:
        due = [each for each in self.answers if each.at <= self.now]
        self.answers = [each for each in self.answers if each.at > self.now]
        for each in due:
            self.nodes[each.node].record_notice(each.state, each.notice, self.now)

    def count_most(self) -> int:
        """Return the largest number of requests of one node in any rest that was asked for."""
        by_pair: dict[tuple[str, int], list[float]] = {}
        for name, node, at in self.arrivals:
            by_pair.setdefault((name, node), []).append(at)
        return max(
            sum(at + IN_FLIGHT_SECONDS < each <= end for each in by_pair[name, node])
            for name, node, at, end in self.asked
        )


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[list[float]]:
    clock = [1000.0]
    yield clock


@pytest.mark.parametrize("node_count", [9, 98])
@pytest.mark.parametrize("rest", [0.2, 1.0, 3.0, 30.0, 600.0])
@pytest.mark.parametrize("resting", [1, 3, 4])
def test_no_node_disturbs_resting_endpoints(
    clock: list[float], node_count: int, rest: float, resting: int
) -> None:
    """Guards against nodes that go on sending to one, several or all resting endpoints."""
    model = _Model(clock, node_count, [_endpoint(number) for number in range(4)])
    rate = 4.0 * node_count
    model.run(1.0, rate)
    model.rest = {f"e{number}": rest for number in range(resting)}
    model.run(min(2 * rest, 10.0) + 1.0, rate)
    assert model.asked
    assert model.count_most() <= MAX_ARRIVALS
    if resting < len(model.listed):
        assert not model.refused


@pytest.mark.parametrize("rest", [0.2, 1.0, 3.0])
def test_endpoint_serves_soon_after_its_rest(clock: list[float], rest: float) -> None:
    """Guards against endpoints that stay idle after their rest."""
    model = _Model(clock, 9, [_endpoint(number) for number in range(4)])
    model.rest = {"e0": rest}
    model.run(2.0, 40.0)
    model.rest = {}
    last = max(end for *_, end in model.asked)
    model.run(last - model.now + 1.0, 40.0)
    assert sum(name == "e0" and at > last for name, _, at in model.arrivals) >= 5


def _shorten(model: _Model) -> None:
    model.rest = {"e0": 0.2}


def _lengthen(model: _Model) -> None:
    model.rest = {"e0": 5.0}


def _relist(model: _Model) -> None:
    model.list_all(model.listed[1:])
    model.run(0.2, 40.0)
    model.list_all([_endpoint(0), *model.listed])


def _restart(model: _Model) -> None:
    model.rest = {}
    model.list_all([_endpoint(0, born=2), *model.listed[1:]])


@pytest.mark.parametrize("change", [_shorten, _lengthen, _relist])
def test_rest_holds_whatever_comes_after_it(
    clock: list[float], change: Callable[[_Model], None]
) -> None:
    """Guards against rests that a later rejection or a rebuilt list cuts short."""
    model = _Model(clock, 9, [_endpoint(number) for number in range(4)])
    model.rest = {"e0": 3.0}
    model.run(0.2, 200.0)
    change(model)
    model.run(8.0, 40.0)
    assert model.count_most() <= MAX_ARRIVALS


def test_restarted_endpoint_does_not_rest(clock: list[float]) -> None:
    """Guards against holding the rest of an earlier incarnation against the next one."""
    model = _Model(clock, 9, [_endpoint(number) for number in range(4)])
    model.rest = {"e0": 600.0}
    model.run(2.0, 40.0)
    _restart(model)
    restarted_at = model.now
    model.run(1.0, 40.0)
    assert sum(name == "e0" and at > restarted_at for name, _, at in model.arrivals) >= 3


@pytest.mark.parametrize(
    ("second", "end"), [(0.2, 1003.0), (3.0, 1003.5), (30.0, 1030.5)], ids=["0.2", "3", "30"]
)
def test_rest_ends_when_all_that_were_asked_for_have_ended(second: float, end: float) -> None:
    """Guards against a rejection of a moment that cuts a longer rest short."""
    endpoints = Endpoints(PLACE, REGION)
    endpoints.update([_endpoint(0)], trusted=True)
    (state,) = endpoints.of_service(SERVICE)
    endpoints.record_notice(state, EndpointNotice(rest=3.0), 1000.0)
    endpoints.record_notice(state, EndpointNotice(rest=second), 1000.5)
    assert state.rest_until == endpoints.rests.find_end(state.endpoint.incarnation) == end


def test_rest_holds_for_an_endpoint_that_was_listed_again_meanwhile() -> None:
    """Guards against a rest that is kept only in what the request was sent with."""
    endpoints = Endpoints(PLACE, REGION)
    endpoints.update([_endpoint(0)], trusted=True)
    (sent_with,) = endpoints.of_service(SERVICE)
    endpoints.update([], trusted=True)
    endpoints.update([_endpoint(0)], trusted=True)
    endpoints.record_notice(sent_with, EndpointNotice(rest=3.0), 1000.0)
    (listed,) = endpoints.of_service(SERVICE)
    assert not listed.is_open(1002.9)
    assert listed.is_open(1003.0)


def test_rests_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against memory that grows with every incarnation that asked for rest."""
    monkeypatch.setattr("wrenloft_routing._rests.MAX_RESTS", 3)
    endpoints = Endpoints(PLACE, REGION)
    for born in range(9):
        endpoints.update([_endpoint(0, born=born)], trusted=True)
        notice = EndpointNotice(rest=1e300)
        endpoints.record_notice(endpoints.of_service(SERVICE)[0], notice, 0.0)
    assert len(endpoints.rests) == 3
