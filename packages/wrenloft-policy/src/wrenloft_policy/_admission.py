"""Limits per organisation, enforced at each node without a shared counter."""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from wrenloft_core import Limits, NodeId, NotRun, Priority

_MIN_DEMAND_SHARE = 0.1
_BURST_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class LimitShare:
    """One node's part of an organisation's limits."""

    rate: float
    concurrent: int
    queue: int


def divide_limits(
    limits: Limits, demand: Mapping[NodeId, float], node_id: NodeId, node_count: int
) -> LimitShare:
    """Return this node's share of the limits, in proportion to recent demand.

    Every node keeps at least a tenth of an equal share. Otherwise, a caller that moves to a node
    without recent demand would be refused until the nodes have exchanged their demand.

    :param demand: requests a second by node, as last reported.
    """
    count = max(1, node_count)
    own = demand.get(node_id, 0.0)
    total = sum(demand.values())
    proportional = own / total if total > 0 else 1.0 / count
    fraction = _MIN_DEMAND_SHARE / count + (1.0 - _MIN_DEMAND_SHARE) * proportional
    return LimitShare(
        rate=limits.rate * fraction,
        concurrent=max(1, round(limits.concurrent * fraction)),
        queue=limits.queue,
    )


class TokenBucket:
    """Allow ``rate`` requests a second with bursts of up to one second's tokens."""

    def __init__(self, now: float) -> None:
        self._tokens: float | None = None
        self._updated_at = now

    def take(self, rate: float, now: float) -> float:
        """Take one token.

        :returns: 0.0 if one was available, else the seconds until one is.
        """
        burst = max(1.0, rate * _BURST_SECONDS)
        tokens = burst if self._tokens is None else self._tokens
        tokens = min(burst, tokens + (now - self._updated_at) * rate)
        self._updated_at = now
        self._tokens = tokens - 1.0 if tokens >= 1.0 else tokens
        return 0.0 if tokens >= 1.0 else (1.0 - tokens) / rate


def admit(
    priority: Priority,
    *,
    bucket: TokenBucket,
    share: LimitShare,
    in_progress: int,
    spread_seconds: float,
    now: float,
    random: Random,
) -> NotRun | None:
    """Decide whether an organisation's request is admitted.

    Alarms are never limited: the configuration grants this class to callers, and a refused alarm
    would not sound.

    :returns: the refusal, or ``None`` if the request is admitted.
    """
    if priority is Priority.ALARM:
        return None
    if in_progress >= share.concurrent:
        delay = random.uniform(0.0, spread_seconds)
        return NotRun("admit", "too many requests in progress", retry_after=delay, status=429)
    if wait := bucket.take(share.rate, now):
        delay = wait + random.uniform(0.0, spread_seconds)
        return NotRun("admit", "rate limit reached", retry_after=delay, status=429)
    return None
