"""Granting requests to endpoints that name a rate limit."""

from collections import OrderedDict
from dataclasses import dataclass, field
from random import Random

from wrenloft_core import IncarnationId, NodeId, PlaceName, read_clock
from wrenloft_policy import (
    Bucket,
    RateLimit,
    allocate_rate,
    count_required_tokens,
    pick_grant_retry_delay,
    pick_limiter,
    refill_bucket,
)
from wrenloft_routing._limit_ledger import LimitLedger
from wrenloft_routing._members import Members

MOST_BUCKETS = 8192
"""Buckets kept, about 4 MB; an endpoint without requests loses its bucket first."""

WAITING_SECONDS = 0.5
"""How long after its pause a node that was denied counts as waiting, if it does not ask again."""

MISTAKEN_SECONDS = 0.2
"""Pause after a node was asked that is not the limiter, or that did not answer: nodes agree on who
is alive within this time."""


@dataclass(frozen=True, slots=True)
class GrantRequest:
    """A node's question for one request to an endpoint.

    :param place: the endpoint's availability zone.
    :param limit: as the asking node knows it.
    :param urgency: of the request; the lowest goes first.
    """

    incarnation: IncarnationId
    place: PlaceName
    limit: RateLimit
    urgency: int
    node: NodeId


@dataclass(frozen=True, slots=True)
class Grant:
    """The answer to one question.

    :param granted: whether one request may be sent now.
    :param ask_again: seconds until the node may ask again, if denied.
    :param turn: seconds until a request that waits would have its turn, if denied.
    """

    granted: bool
    ask_again: float = 0.0
    turn: float = 0.0


@dataclass(frozen=True, slots=True)
class _Waiting:
    urgency: int
    until: float


@dataclass(slots=True)
class _Account:
    bucket: Bucket
    waiting: dict[NodeId, _Waiting] = field(default_factory=dict)


class Limiter:
    """Grants requests to the endpoints for which this node is the limiter.

    One node grants for each endpoint, out of a token bucket, so the bound holds for the sum over
    all nodes however callers are spread over them. A bucket begins empty: a limiter that takes
    over from one that died does not grant again what that one had granted a moment before.
    """

    def __init__(self, limits: LimitLedger, members: Members, random: Random) -> None:
        self._limits = limits
        self._members = members
        self._random = random
        self._accounts: OrderedDict[IncarnationId, _Account] = OrderedDict()

    def find_limiter(self, incarnation: IncarnationId, place: PlaceName) -> NodeId:
        """Return the node that grants for an endpoint, as this node sees the fleet."""
        heard = self._members.list_heard()
        zone = [each.node_id for each in heard if each.place == place]
        return NodeId(pick_limiter(incarnation, zone, [each.node_id for each in heard]))

    def grant(self, request: GrantRequest) -> Grant:
        """Decide on one question."""
        incarnation = request.incarnation
        self._limits.merge({incarnation: request.limit})
        rate = self._limits.find_rate(incarnation)
        if rate is None:
            return Grant(granted=True)
        if self.find_limiter(incarnation, request.place) != self._members.own.node_id:
            return Grant(False, MISTAKEN_SECONDS, MISTAKEN_SECONDS)
        allotted = allocate_rate(rate, *self._members.count_groups(request.place))
        return self._decide(request, allotted, read_clock())

    def _decide(self, request: GrantRequest, rate: float, now: float) -> Grant:
        account = self._take_account(request.incarnation, now)
        account.bucket = refill_bucket(account.bucket, rate, now)
        waiting = account.waiting
        for node in [node for node, each in waiting.items() if each.until <= now]:
            del waiting[node]
        known = waiting.get(request.node, _Waiting(request.urgency, now))
        others = [each.urgency for node, each in waiting.items() if node != request.node]
        needed = count_required_tokens(sum(each < request.urgency for each in others), rate)
        tokens = account.bucket.tokens
        if tokens >= needed:
            account.bucket = Bucket(tokens - 1.0, now)
            if request.urgency <= known.urgency:
                waiting.pop(request.node, None)
            return Grant(granted=True)
        due = (needed - tokens) / rate
        ahead = sum(each == request.urgency for each in others)
        ask_again = pick_grant_retry_delay(due, ahead / rate, self._random)
        urgency = min(request.urgency, known.urgency)
        waiting[request.node] = _Waiting(urgency, now + ask_again + WAITING_SECONDS)
        return Grant(False, ask_again, due + ahead / rate)

    def _take_account(self, incarnation: IncarnationId, now: float) -> _Account:
        account = self._accounts.get(incarnation)
        if account is None:
            account = self._accounts[incarnation] = _Account(Bucket(0.0, now))
        self._accounts.move_to_end(incarnation)
        while len(self._accounts) > MOST_BUCKETS:
            self._accounts.popitem(last=False)
        return account
