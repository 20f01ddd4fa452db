"""Rate limits that endpoints advertise, and how entry nodes share one."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from random import Random

from blake3 import blake3

from wrenloft_policy._endpoints import (
    MIN_RETRY_AFTER_SECONDS,
    OVERDUE_QUEUE_SHARE,
    Verdict,
)

ANSWERS_TO_CLEAR_LIMIT = 3
"""Consecutive responses without a limit after which it has ended. An overloaded endpoint may omit
it from some; if one were enough, every node would send without limit until the next response."""


@dataclass(frozen=True, slots=True)
class AdvertisedLimit:
    """The rate limit that a response advertises.

    :param rate: requests a second from all entry nodes together, ``None`` if the text is no rate.
    :param text: the limit as received.
    """

    rate: float | None
    text: str


@dataclass(frozen=True, slots=True)
class RateLimit:
    """The known limit of one incarnation of an endpoint.

    :param rate: requests a second from all entry nodes together, ``None`` once it has ended.
    :param missing: consecutive responses without it.
    :param sequence: increases with each change.
    :param node: the node that observed the change; breaks ties of the sequence.
    """

    rate: float | None
    missing: int = 0
    sequence: int = 0
    node: str = ""


def update_limit(known: RateLimit | None, rate: float | None, node: str) -> RateLimit | None:
    """Return the known limit after one more response.

    :param rate: advertised by the response, ``None`` if it advertises none.
    :param node: the node that received the response.
    """
    sequence = known.sequence + 1 if known is not None else 1
    if rate is not None:
        if known is not None and known.rate == rate and not known.missing:
            return known
        return RateLimit(rate, 0, sequence, node)
    if known is None or known.rate is None:
        return known
    missing = known.missing + 1
    return RateLimit(
        known.rate if missing < ANSWERS_TO_CLEAR_LIMIT else None, missing, sequence, node
    )


def merge_limit(known: RateLimit | None, reported: RateLimit) -> RateLimit:
    """Return the later of two limits; the order of arrival does not matter."""
    if known is None or (reported.sequence, reported.node) > (known.sequence, known.node):
        return reported
    return known


MIN_ENDPOINT_RATE = 0.2
"""Minimum rate at which requests are sent to an endpoint, in requests a second: its responses are
the only sign that a limit has ended."""

MIN_BURST_TOKENS = 2.0
BURST_SECONDS = 0.25
"""Burst size of a bucket: a constant, plus seconds of its rate. With a smaller one, tokens would be
lost while the next node's grant request is on its way."""

OTHER_ZONES_SHARE = 0.25
"""Share of a limit that other zones use while they reach no node of the endpoint's own zone, whose
nodes may be alive behind a partition and use all of it."""

MINORITY_SHARE = 0.75
"""Factor on the share of a minority partition, while a majority may use the whole limit."""


@dataclass(frozen=True, slots=True)
class Bucket:
    """A token bucket.

    :param updated_at: time at which it held that many tokens.
    """

    tokens: float
    updated_at: float


@dataclass(frozen=True, slots=True)
class BucketRule:
    """How a bucket fills.

    :param rate: tokens a second.
    :param burst: tokens that it holds at most.
    """

    rate: float
    burst: float


def refill_bucket(bucket: Bucket, rate: float, now: float, burst: float | None = None) -> Bucket:
    """Return a bucket with the tokens accrued until ``now``.

    :param rate: tokens a second.
    :param burst: tokens that it holds at most, ``None`` for the usual burst size of that rate.
    """
    refill = max(0.0, now - bucket.updated_at) * rate
    size = compute_burst_size(rate) if burst is None else burst
    return Bucket(min(size, bucket.tokens + refill), now)


def compute_burst_size(rate: float) -> float:
    """Return the burst size of a bucket, in tokens.

    :param rate: tokens a second.
    """
    return MIN_BURST_TOKENS + BURST_SECONDS * rate


def count_required_tokens(more_urgent: int, burst: float) -> float:
    """Return the tokens that a bucket must hold to grant a request.

    One is reserved for each node that waits with a more urgent request, unless the bucket is full,
    when further tokens would be lost.

    :param more_urgent: nodes that wait with a more urgent request.
    :param burst: tokens that the bucket holds at most.
    """
    return min(1.0 + more_urgent, burst)


def combine_rules(rules: Sequence[BucketRule]) -> BucketRule:
    """Return the lower of rules that all bind; there is at least one."""
    return BucketRule(min(each.rate for each in rules), min(each.burst for each in rules))


@dataclass(frozen=True, slots=True)
class NodeGroup:
    """A group of entry nodes, some of which are reachable.

    :param reachable: nodes known to be alive, this one included.
    :param registered: nodes that are registered.
    """

    reachable: int
    registered: int

    @property
    def share(self) -> float:
        """The share that is reachable."""
        return self.reachable / max(1, self.registered)

    @property
    def is_majority(self) -> bool:
        """Whether more than half are reachable, which holds in one partition at most."""
        return 2 * self.reachable > self.registered


def allocate_rate(rate: float, zone: NodeGroup, fleet: NodeGroup) -> float:
    """Return the part of a limit that one limiter grants, in requests a second.

    During a partition, each part of the fleet has its own limiter. Two parts together grant at most
    1.375 times the limit, so that with bursts they stay below 1.5 times.

    :param rate: the endpoint's limit, in requests a second.
    :param zone: the entry nodes of the endpoint's availability zone.
    """
    rate = max(MIN_ENDPOINT_RATE, rate)
    if zone.registered and zone.reachable == zone.registered:
        return rate
    if not fleet.is_majority:
        return rate * MINORITY_SHARE * fleet.share
    return rate if zone.reachable or not zone.registered else rate * OTHER_ZONES_SHARE


def pick_limiter(endpoint: str, zone: Collection[str], fleet: Collection[str]) -> str:
    """Return the limiter of an endpoint, the same at all nodes with the same view of the fleet.

    :param endpoint: identifies the incarnation.
    :param zone: live entry nodes of the endpoint's availability zone.
    :param fleet: all live entry nodes.
    """

    def hash_pair(node: str) -> bytes:
        return blake3(f"{endpoint}/{node}".encode()).digest(8)

    return max(zone or fleet, key=hash_pair)


MAX_GRANT_RETRY_SECONDS = 2.0
"""Longest delay before a node repeats a grant request. Earlier requests are mostly denied while
many nodes wait; with a longer delay, endpoints would idle that long after their limiter failed."""


def pick_grant_retry_delay(due: float, queue: float, random: Random) -> float:
    """Return the seconds after which a node repeats a denied grant request.

    Spread over the time that the waiting nodes need for their turns, so that about one of them
    requests each token.

    :param due: seconds until the bucket has a token for this node.
    :param queue: seconds that the endpoint needs for the other waiting nodes.
    """
    pause = due * random.uniform(1.0, 1.3) + random.uniform(0.0, queue)
    return min(MAX_GRANT_RETRY_SECONDS * random.uniform(0.7, 1.0), pause)


LIMITED_RETRY_SHARE = 0.5
"""Minimum share of a caller's longest wait after which it retries, if its turn comes later. Limited
endpoints take requests continuously, so retries are spread over the rest."""


def pick_limited_retry_after(
    wait: float, rate: float, waiting: float, time_left: float, random: Random
) -> float:
    """Return the seconds after which a caller refused by rate limits should retry.

    Spread over the time that the endpoints need for all waiting callers, and at most a third of the
    caller's time left, which is the longest that callers wait.

    :param wait: seconds until its turn.
    :param rate: requests a second that the endpoints take together.
    :param waiting: callers that wait or were refused recently.
    :param time_left: seconds until the caller's timeout.
    """
    turn = wait + random.uniform(0.0, max(1.0, waiting) / rate)
    longest = random.uniform(LIMITED_RETRY_SHARE, 1.0) * time_left / 3
    return max(MIN_RETRY_AFTER_SECONDS, min(turn, longest))


def decide_timed_dispatch(
    wait: float,
    idle_seconds: float,
    queued_seconds: float,
    elapsed_before: float,
    latency_objective: float,
    time_left: float,
) -> Verdict:
    """Decide whether a request is queued until it can be sent or refused.

    :param wait: seconds until its turn at limited endpoints, or until an endpoint's rest ends.
    :param idle_seconds: seconds to the first byte at an idle endpoint.
    :param queued_seconds: seconds for which it has been queued here.
    :param elapsed_before: seconds from the caller's first attempt until the request arrived here.
    :param latency_objective: seconds within which the response has its full value.
    :param time_left: seconds until the caller's timeout.
    """
    needed = queued_seconds + wait + idle_seconds
    in_time = elapsed_before + needed <= latency_objective
    return (
        Verdict.QUEUE
        if in_time or needed <= (queued_seconds + time_left) * OVERDUE_QUEUE_SHARE
        else Verdict.REFUSE
    )
