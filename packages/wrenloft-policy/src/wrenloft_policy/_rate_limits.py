"""Rate limits that endpoints name: what holds, and how the entry nodes share one."""

from collections.abc import Collection
from dataclasses import dataclass
from random import Random

from blake3 import blake3

from wrenloft_policy._endpoints import (
    MIN_RETRY_AFTER_SECONDS,
    OVERDUE_QUEUE_SHARE,
    Verdict,
)

ANSWERS_TO_CLEAR_LIMIT = 3
"""Answers in a row without a limit after which it has ended. Some answers of an endpoint in need
may lack it; taken for the end, each of these would let every node send freely until the next."""


@dataclass(frozen=True, slots=True)
class AdvertisedLimit:
    """The rate limit that an answer names.

    :param rate: requests a second from all entry nodes together, ``None`` if the text is no rate.
    :param text: as it was written.
    """

    rate: float | None
    text: str


@dataclass(frozen=True, slots=True)
class RateLimit:
    """What is known of the limit of one incarnation of an endpoint.

    :param rate: requests a second from all entry nodes together, ``None`` once it has ended.
    :param missing: answers in a row that did not name it.
    :param sequence: grows with each change.
    :param node: who saw the change; decides between two of the same sequence.
    """

    rate: float | None
    missing: int = 0
    sequence: int = 0
    node: str = ""


def update_limit(known: RateLimit | None, rate: float | None, node: str) -> RateLimit | None:
    """Return what is known after one more answer.

    :param rate: that the answer names, ``None`` if it names none.
    :param node: that read the answer.
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
    """Return which of two beliefs holds, in whichever order they come."""
    if known is None or (reported.sequence, reported.node) > (known.sequence, known.node):
        return reported
    return known


MIN_ENDPOINT_RATE = 0.2
"""Requests a second that an endpoint gets at least, if it names less: its answers are the only
sign that a limit has ended."""

MIN_BURST_TOKENS = 2.0
BURST_SECONDS = 0.25
"""Tokens that a bucket holds at most, and seconds of its rate besides. Fewer, and what is due would
be lost while the next node's question is on its way."""

OTHER_ZONES_SHARE = 0.25
"""Part of a limit that the other zones use while they hear nobody of the endpoint's own zone, whose
nodes may be alive behind a partition and use all of it."""

MINORITY_SHARE = 0.75
"""Part of its share that a smaller part of the fleet uses, while the larger one may use all."""


@dataclass(frozen=True, slots=True)
class Bucket:
    """A token bucket.

    :param updated_at: when it held so many tokens.
    """

    tokens: float
    updated_at: float


def refill_bucket(bucket: Bucket, rate: float, now: float) -> Bucket:
    """Return a bucket with what has come in since.

    :param rate: tokens a second.
    """
    refill = max(0.0, now - bucket.updated_at) * rate
    return Bucket(min(compute_burst_size(rate), bucket.tokens + refill), now)


def compute_burst_size(rate: float) -> float:
    """Return the tokens that a bucket holds at most.

    :param rate: tokens a second.
    """
    return MIN_BURST_TOKENS + BURST_SECONDS * rate


def count_required_tokens(more_urgent: int, rate: float) -> float:
    """Return the tokens that a bucket must hold for a request to have one.

    One is left for each node that waits with a more urgent request, unless the bucket is full:
    what comes in then would be lost.

    :param rate: tokens a second.
    """
    return min(1.0 + more_urgent, compute_burst_size(rate))


@dataclass(frozen=True, slots=True)
class NodeGroup:
    """Entry nodes of which some are heard.

    :param reachable: that are known to be alive, this one included.
    :param registered: that are registered.
    """

    reachable: int
    registered: int

    @property
    def share(self) -> float:
        """The part that is heard."""
        return self.reachable / max(1, self.registered)

    @property
    def is_majority(self) -> bool:
        """Whether more than half are heard, which is so in one part of a split fleet at most."""
        return 2 * self.reachable > self.registered


def allocate_rate(rate: float, zone: NodeGroup, fleet: NodeGroup) -> float:
    """Return the part of a limit that one limiter grants.

    Answers partitions: parts of the fleet that do not hear one another have a limiter each. Two
    parts grant 1.375 times the limit at most, so that bursts fit into one and a half times of it.

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
    """Return the node that grants requests to an endpoint, the same for all that hear the same.

    :param endpoint: names the incarnation.
    :param zone: live entry nodes of the endpoint's availability zone.
    :param fleet: all live entry nodes.
    """

    def hash_pair(node: str) -> bytes:
        return blake3(f"{endpoint}/{node}".encode()).digest(8)

    return max(zone or fleet, key=hash_pair)


MAX_GRANT_RETRY_SECONDS = 2.0
"""Longest pause before a node asks again. Sooner is in vain for most, where many nodes wait; later,
a limiter that died would keep its endpoints idle for as long."""


def pick_grant_retry_delay(due: float, queue: float, random: Random) -> float:
    """Return the seconds after which a node asks again that was denied.

    Spread over the time in which the nodes that wait have their turns, so that about one of them
    asks for each token.

    :param due: seconds until the bucket has a token for it.
    :param queue: seconds that the endpoint needs for the other nodes that wait.
    """
    pause = due * random.uniform(1.0, 1.3) + random.uniform(0.0, queue)
    return min(MAX_GRANT_RETRY_SECONDS * random.uniform(0.7, 1.0), pause)


LIMITED_RETRY_SHARE = 0.5
"""Least part of the time that a caller waits at most, if its turn comes later than that. Limited
endpoints take requests all the time, so those who return are spread over the rest."""


def pick_limited_retry_after(
    wait: float, rate: float, waiting: float, time_left: float, random: Random
) -> float:
    """Return the seconds after which a caller comes back whom limited endpoints cannot take.

    Spread over the time that the endpoints need for all who wait, and within the third of its time
    for which a caller waits at most.

    :param wait: seconds until it would have its turn.
    :param rate: requests a second that the endpoints take together.
    :param waiting: callers that wait or were refused lately.
    :param time_left: seconds that this caller has left.
    """
    turn = wait + random.uniform(0.0, max(1.0, waiting) / rate)
    longest = random.uniform(LIMITED_RETRY_SHARE, 1.0) * time_left / 3
    return max(MIN_RETRY_AFTER_SECONDS, min(turn, longest))


def decide_limited_dispatch(
    wait: float,
    idle_seconds: float,
    queued_seconds: float,
    elapsed_before: float,
    latency_objective: float,
    time_left: float,
) -> Verdict:
    """Decide whether a request waits for its turn at limited endpoints or is refused at once.

    :param wait: seconds until its turn.
    :param idle_seconds: seconds to the first byte at an idle endpoint.
    :param queued_seconds: seconds for which it has waited here.
    :param elapsed_before: seconds from the caller's first attempt until it came here.
    :param latency_objective: seconds within which the answer has its full worth.
    :param time_left: seconds until nobody waits for the answer.
    """
    needed = queued_seconds + wait + idle_seconds
    in_time = elapsed_before + needed <= latency_objective
    return (
        Verdict.QUEUE
        if in_time or needed <= (queued_seconds + time_left) * OVERDUE_QUEUE_SHARE
        else Verdict.REFUSE
    )
