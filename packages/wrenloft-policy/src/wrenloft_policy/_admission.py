"""Limits per organisation, held at each node without a shared counter."""

from collections.abc import Mapping
from dataclasses import dataclass
from random import Random

from wrenloft_core import Limits, NodeId, NotRun, Priority

_DEMAND_FLOOR = 0.1
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
    """Return this node's share, in proportion to recent demand.

    Every node keeps at least a tenth of an equal share: a caller that moves to a node without
    recent demand would otherwise be refused until demand had been exchanged.

    :param demand: requests a second by node, as last heard.
    """
    count = max(1, node_count)
    own = demand.get(node_id, 0.0)
    total = sum(demand.values())
    proportional = own / total if total > 0 else 1.0 / count
    fraction = _DEMAND_FLOOR / count + (1.0 - _DEMAND_FLOOR) * proportional
    return LimitShare(
        rate=limits.rate * fraction,
        concurrent=max(1, round(limits.concurrent * fraction)),
        queue=limits.queue,
    )


class TokenBucket:
    """Allows ``rate`` requests a second with bursts of one second's worth."""

    def __init__(self, now: float) -> None:
        self._tokens: float | None = None
        self._updated_at = now

    def take(self, rate: float, now: float) -> float:
        """Take one token.

        :returns: 0.0 if there was one, else the seconds until there will be one.
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
    """Decide whether an organisation's request may enter.

    Alarms are never limited: a caller is granted the class by configuration, and an alarm that
    is refused is an alarm that stays silent.

    :returns: the refusal, or ``None`` to let it in.
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
