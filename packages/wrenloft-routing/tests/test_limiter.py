"""Tests of one limiter's decisions."""

from random import Random

import pytest

from wrenloft_core import IncarnationId, NodeId, PlaceName, RegionName
from wrenloft_policy import RateLimit
from wrenloft_routing import Grant, GrantRequest, Limiter, LimitLedger, Member, Members, NodeState

ENDPOINT = IncarnationId("e@1")
PLACE = PlaceName("p")
REGION = RegionName("r")


class Bench:
    """A node that hears one other."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 100.0
        for module in ("_limiter", "_limit_ledger"):
            monkeypatch.setattr(f"wrenloft_routing.{module}.read_clock", lambda: self.now)
        listed = [Member(NodeId(name), PLACE, REGION, "", name) for name in ("n1", "n2")]
        names = [str(each.node_id) for each in listed]
        limiters = []
        for own in listed:
            members = Members(own)
            members.update(listed)
            members.take_states({NodeId(each): NodeState.READY for each in names})
            limiters.append(Limiter(LimitLedger(own.node_id), members, Random(1)))
        chosen = names.index(limiters[0].find_limiter(ENDPOINT, PLACE))
        self.limiter, self.other = limiters[chosen], limiters[1 - chosen]

    def ask(self, node: str = "n3", rank: int = 1, limiter: Limiter | None = None) -> Grant:
        limit = RateLimit(2.0, 0, 1, node)
        request = GrantRequest(ENDPOINT, PLACE, limit, rank, NodeId(node))
        return (limiter or self.limiter).grant(request)


@pytest.fixture
def bench(monkeypatch: pytest.MonkeyPatch) -> Bench:
    """Return two nodes, one of which grants."""
    return Bench(monkeypatch)


def test_bucket_begins_empty(bench: Bench) -> None:
    """Guards against a new limiter that grants again what the one before has granted."""
    denied = bench.ask()
    assert not denied.granted
    assert denied.ask_again >= 0.5


def test_node_that_is_not_the_limiter_grants_nothing(bench: Bench) -> None:
    """Guards against two nodes that grant because askers disagree on who is alive."""
    bench.ask(limiter=bench.other)
    bench.now += 60.0
    assert not bench.ask(limiter=bench.other).granted


def test_urgent_request_that_was_denied_goes_first(bench: Bench) -> None:
    """Guards against alarms that come too late for each token."""
    bench.ask("n3", rank=0)
    bench.ask("n4", rank=2)
    bench.now += 0.6
    assert not bench.ask("n4", rank=2).granted
    assert bench.ask("n3", rank=0).granted


def test_urgent_request_that_never_comes_back_blocks_nobody_for_long(bench: Bench) -> None:
    """Guards against an endpoint that is left idle for a caller who has gone."""
    bench.ask("n3", rank=0)
    bench.now += 1.2
    assert bench.ask("n4", rank=2).granted
