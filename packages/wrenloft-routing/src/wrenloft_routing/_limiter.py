"""Limiter: grants requests to endpoints that announce a rate limit, and to cold ones."""

from collections import OrderedDict, deque
from dataclasses import dataclass, field
from math import inf
from random import Random

from wrenloft_core import IncarnationId, NodeId, PlaceName, read_clock
from wrenloft_policy import (
    BOUND_WINDOW_SECONDS,
    NO_GRANTS,
    Bucket,
    BucketRule,
    ColdAllowance,
    Coldness,
    RateLimit,
    allocate_rate,
    combine_rules,
    compute_burst_size,
    compute_cold_rule,
    count_required_tokens,
    decide_cold_share,
    pick_grant_retry_delay,
    pick_limiter,
    refill_bucket,
)
from wrenloft_routing._fleet_history import (
    TAKEOVER_SECONDS,
    CountHeard,
    FleetHistory,
    trust_states,
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


COLD_RETRY_SECONDS = 0.4
"""Retry delay for a cold endpoint while its limiter grants nothing because of the nodes that it
reaches, or has just begun to; that lasts at least as long in most cases."""

MAX_COLD_GRANTS = 64
"""Times of grants kept for each cold endpoint, to show how many there were in the last second."""


@dataclass(frozen=True, slots=True)
class GrantRequest:
    """A node's request for a grant to send one request to an endpoint.

    :param place: the endpoint's availability zone.
    :param limit: the limit as known to the requesting node.
    :param urgency: urgency of the request; the lowest value goes first.
    :param cold: set if the endpoint is cold.
    """

    incarnation: IncarnationId
    place: PlaceName
    limit: RateLimit
    urgency: int
    node: NodeId
    cold: Coldness | None = None


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
    cold: ColdAllowance | None = None
    cold_until: float = -inf
    granted_at: deque[float] | None = None


class Limiter:
    """Grants requests to the endpoints for which this node is the limiter.

    Each endpoint has one limiter with one token bucket, so that the limit holds for the sum over
    all nodes however callers are spread over them. A bucket starts empty: a limiter that takes
    over from a dead one must not grant again what that one granted a moment before.

    A cold endpoint has the same bucket with a lower rate and a smaller burst.

    :param count_heard: as of :class:`FleetHistory`.
    """

    def __init__(
        self,
        limits: LimitLedger,
        members: Members,
        random: Random,
        count_heard: CountHeard = trust_states,
    ) -> None:
        self._history = FleetHistory(members, count_heard)
        self._limits = limits
        self._members = members
        self._random = random
        self._accounts: OrderedDict[IncarnationId, _Account] = OrderedDict()

    def find_limiter(self, incarnation: IncarnationId, place: PlaceName) -> NodeId:
        """Return the limiter of an endpoint, given the nodes that are reachable from here."""
        reachable = self._members.list_reachable()
        zone = [each.node_id for each in reachable if each.place == place]
        return NodeId(pick_limiter(incarnation, zone, [each.node_id for each in reachable]))

    def observe_fleet(self) -> None:
        """Record which nodes are reached now, several times a second where endpoints are cold."""
        self._history.observe()

    def count_cold_grants(self, incarnation: IncarnationId) -> int | None:
        """Return the grants of the last second, ``None`` if this node was not asked for any."""
        account = self._accounts.get(incarnation)
        if account is None or account.granted_at is None:
            return None
        since = read_clock() - BOUND_WINDOW_SECONDS
        return sum(at > since for at in account.granted_at)

    def grant(self, request: GrantRequest) -> Grant:
        """Decide on one grant request."""
        incarnation = request.incarnation
        if request.cold is None or request.limit.sequence:
            self._limits.merge({incarnation: request.limit})
        rate = self._limits.find_rate(incarnation)
        if rate is None and request.cold is None:
            return Grant(granted=True)
        if self.find_limiter(incarnation, request.place) != self._members.own.node_id:
            return Grant(False, LIMITER_RETRY_SECONDS, LIMITER_RETRY_SECONDS)
        now = read_clock()
        account = self._get_account(incarnation, now)
        rules = []
        if rate is not None:
            allotted = allocate_rate(rate, *self._members.count_groups(request.place))
            rules.append(BucketRule(allotted, compute_burst_size(allotted)))
        cold = self._find_cold_rule(request, account, now)
        if cold is not None:
            rules.append(cold)
        return self._decide(request, account, combine_rules(rules), now)

    def _find_cold_rule(
        self, request: GrantRequest, account: _Account, now: float
    ) -> BucketRule | None:
        """Return the rule of a cold endpoint, ``None`` if it isn't cold.

        A node that doesn't know yet that it is cold gets its grants by the same rule.
        """
        if request.cold is not None:
            account.cold = request.cold.allowance
            account.granted_at = account.granted_at or deque(maxlen=MAX_COLD_GRANTS)
            account.cold_until = max(account.cold_until, now + request.cold.left)
        if account.cold is None or account.cold_until <= now:
            return None
        self._history.observe()
        if not self._history.is_limiter(request.incarnation, request.place):
            return NO_GRANTS
        share = decide_cold_share(*self._history.count_groups(request.place))
        return compute_cold_rule(account.cold, share)

    def _decide(
        self, request: GrantRequest, account: _Account, rule: BucketRule, now: float
    ) -> Grant:
        rate = rule.rate
        account.bucket = refill_bucket(account.bucket, rate, now, rule.burst)
        if not rate:
            left = max(COLD_RETRY_SECONDS, account.cold_until - now)
            return Grant(False, COLD_RETRY_SECONDS, min(left, TAKEOVER_SECONDS))
        waiting = account.waiting
        for node in [node for node, each in waiting.items() if each.until <= now]:
            del waiting[node]
        known = waiting.get(request.node, _Waiting(request.urgency, now))
        others = [each.urgency for node, each in waiting.items() if node != request.node]
        more_urgent = sum(each < request.urgency for each in others)
        needed = count_required_tokens(more_urgent, rule.burst)
        tokens = account.bucket.tokens
        if tokens >= needed:
            account.bucket = Bucket(tokens - 1.0, now)
            if account.granted_at is not None:
                account.granted_at.append(now)
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
