"""Tests of one limiter's decisions."""

from random import Random

import pytest

from wrenloft_core import IncarnationId, NodeId, PlaceName, RegionName
from wrenloft_policy import RateLimit
from wrenloft_routing import Grant, GrantRequest, Limiter, LimitLedger, Member, Members, NodeState

ENDPOINT = IncarnationId("e@1")
PLACE = PlaceName("p")
REGION = RegionName("r")


class LimiterPair:
    """Two nodes that can reach each other."""

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
            members.update_states({NodeId(each): NodeState.READY for each in names})
            limiters.append(Limiter(LimitLedger(own.node_id), members, Random(1)))
        chosen = names.index(limiters[0].find_limiter(ENDPOINT, PLACE))
        self.limiter, self.other = limiters[chosen], limiters[1 - chosen]

    def request_grant(
        self, node: str = "n3", urgency: int = 1, limiter: Limiter | None = None
    ) -> Grant:
        limit = RateLimit(2.0, 0, 1, node)
        request = GrantRequest(ENDPOINT, PLACE, limit, urgency, NodeId(node))
        return (limiter or self.limiter).grant(request)


@pytest.fixture
def pair(monkeypatch: pytest.MonkeyPatch) -> LimiterPair:
    """Return two nodes, one of which is the endpoint's limiter."""
    return LimiterPair(monkeypatch)


def test_bucket_starts_empty(pair: LimiterPair) -> None:
    """Guards against a new limiter that grants again what its predecessor has granted."""
    denied = pair.request_grant()
    assert not denied.granted
    assert denied.ask_again >= 0.5


def test_node_that_is_not_the_limiter_grants_nothing(pair: LimiterPair) -> None:
    """Guards against two granting nodes when nodes disagree on which of them are alive."""
    pair.request_grant(limiter=pair.other)
    pair.now += 60.0
    assert not pair.request_grant(limiter=pair.other).granted


def test_urgent_request_that_was_denied_goes_first(pair: LimiterPair) -> None:
    """Guards against less urgent requests that take every token before an alarm."""
    pair.request_grant("n3", urgency=0)
    pair.request_grant("n4", urgency=2)
    pair.now += 0.6
    assert not pair.request_grant("n4", urgency=2).granted
    assert pair.request_grant("n3", urgency=0).granted


def test_abandoned_urgent_request_blocks_others_only_briefly(pair: LimiterPair) -> None:
    """Guards against an endpoint left idle for a caller that has gone away."""
    pair.request_grant("n3", urgency=0)
    pair.now += 1.2
    assert pair.request_grant("n4", urgency=2).granted
