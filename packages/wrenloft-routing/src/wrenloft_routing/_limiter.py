"""Limiter: grants requests to endpoints that announce a rate limit."""

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

MAX_BUCKETS = 8192
"""Buckets kept, about 4 MB in all; the least recently used is evicted first."""

WAITING_TTL_SECONDS = 0.5
"""How long after its retry delay a denied node still counts as waiting if it doesn't ask again."""

LIMITER_RETRY_SECONDS = 0.2
"""Retry delay after asking a node that isn't the limiter or didn't answer; nodes agree on which of
them are alive within this time."""


@dataclass(frozen=True, slots=True)
class GrantRequest:
    """A node's request for a grant to send one request to an endpoint.

    :param place: the endpoint's availability zone.
    :param limit: the limit as known to the requesting node.
    :param urgency: urgency of the request; the lowest value goes first.
    """

    incarnation: IncarnationId
    place: PlaceName
    limit: RateLimit
    urgency: int
    node: NodeId


@dataclass(frozen=True, slots=True)
class Grant:
    """Answer to one grant request.

    :param granted: whether one request may be sent now.
    :param ask_again: if denied, seconds until the node may ask again.
    :param turn: if denied, seconds until a queued request would get its turn.
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

    Each endpoint has one limiter with one token bucket, so that the limit holds for the sum over
    all nodes however callers are spread over them. A bucket starts empty: a limiter that takes
    over from a dead one must not grant again what that one granted a moment before.
    """

    def __init__(self, limits: LimitLedger, members: Members, random: Random) -> None:
        self._limits = limits
        self._members = members
        self._random = random
        self._accounts: OrderedDict[IncarnationId, _Account] = OrderedDict()

    def find_limiter(self, incarnation: IncarnationId, place: PlaceName) -> NodeId:
        """Return the limiter of an endpoint, given the nodes that are reachable from here."""
        reachable = self._members.list_reachable()
        zone = [each.node_id for each in reachable if each.place == place]
        return NodeId(pick_limiter(incarnation, zone, [each.node_id for each in reachable]))

    def grant(self, request: GrantRequest) -> Grant:
        """Decide on one grant request."""
        incarnation = request.incarnation
        self._limits.merge({incarnation: request.limit})
        rate = self._limits.find_rate(incarnation)
        if rate is None:
            return Grant(granted=True)
        if self.find_limiter(incarnation, request.place) != self._members.own.node_id:
            return Grant(False, LIMITER_RETRY_SECONDS, LIMITER_RETRY_SECONDS)
        allotted = allocate_rate(rate, *self._members.count_groups(request.place))
        return self._decide(request, allotted, read_clock())

    def _decide(self, request: GrantRequest, rate: float, now: float) -> Grant:
        account = self._get_account(request.incarnation, now)
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
        waiting[request.node] = _Waiting(urgency, now + ask_again + WAITING_TTL_SECONDS)
        return Grant(False, ask_again, due + ahead / rate)

    def _get_account(self, incarnation: IncarnationId, now: float) -> _Account:
        account = self._accounts.get(incarnation)
        if account is None:
            account = self._accounts[incarnation] = _Account(Bucket(0.0, now))
        self._accounts.move_to_end(incarnation)
        while len(self._accounts) > MAX_BUCKETS:
            self._accounts.popitem(last=False)
        return account
