"""Cold endpoints: how many requests each limiter grants, and for how long coldness lasts."""

from dataclasses import dataclass
from enum import Enum
from math import floor

from wrenloft_policy._rate_limits import BucketRule, NodeGroup

BOUND_WINDOW_SECONDS = 1.0
"""Window in which operators bound the requests that arrive at a cold endpoint."""

ARRIVAL_JITTER_SECONDS = 0.1
"""Time by which delays between grant and arrival may differ, so that grants of a longer window
arrive within one."""

COLD_RATE_SHARE = 0.9
"""Share of what a cold endpoint takes that the limiter of the whole zone grants. The rest covers
the requests that are on their way when another limiter takes over."""

COLD_BURST_TOKENS = 2.5
"""Burst size of that limiter: with less, tokens would be lost while the next request for a grant is
on its way; each token more is one request more at any moment."""

NARROW_RATE_SHARE = 0.8
NARROW_BURST_TOKENS = 1.5
"""Where the bound is too narrow for both, the rate is lowered to this share at most, to keep this
burst: with a burst of one token, a fourth of the rate would be lost."""

PART_RATE_SHARE = 0.45
PART_BURST_TOKENS = 1.5
"""The same for a majority of the fleet without a majority of the endpoint's zone, whose own limiter
may be alive behind a partition."""

LITTLE_RATE_SHARE = 0.1
LITTLE_BURST_TOKENS = 1.0
"""The same for a minority of at least ``MIN_GRANTING_SHARE``."""

MIN_GRANTING_SHARE = 0.25
"""Smallest share of the fleet that grants anything. A bucket must hold one token to grant at all,
so that many small parts would exceed the bound with their first request each."""

MAX_LITTLE_PARTS = 3
"""Most parts of that size beside another limiter."""

COLD_TIMES_CAP = 10.0
"""Longest coldness at a time, in cold times of the service, so that a wrong statement doesn't keep
an endpoint at a low rate."""

DEFAULT_COLD_CAP_SECONDS = 60.0
"""The same in seconds for a service that states no cold time. Endpoints are cold for some seconds;
a much longer statement is more likely wrong."""

MAX_COUNTED_REQUESTS = 1e9
"""Bound above which a figure is as good as none."""

_MARGIN_TOKENS = 0.01
"""Tokens left out, so that rounding errors don't add a request."""


@dataclass(frozen=True, slots=True)
class ColdAllowance:
    """The requests that a cold endpoint may get.

    :param rate: requests a second that it takes.
    :param overrun: factor on the rate above which, with the allowance, no second may be.
    :param allowance: requests.
    """

    rate: float
    overrun: float
    allowance: float

    @property
    def max_requests(self) -> int:
        """The most requests that may arrive in one second; one can't be divided."""
        most = min(self.rate * self.overrun + self.allowance, MAX_COUNTED_REQUESTS)
        return max(1, floor(most + 1e-9))


@dataclass(frozen=True, slots=True)
class Coldness:
    """What a node states of a cold endpoint when it asks for a grant.

    :param left: seconds for which the endpoint counts as cold.
    """

    allowance: ColdAllowance
    left: float


class ColdShare(Enum):
    """Part of a cold endpoint's requests that a limiter may grant, by the nodes that it reaches.

    At most one part of a fleet reaches a majority of the endpoint's zone (``WHOLE``), and one a
    majority of the fleet (``PART`` if it isn't the same).
    """

    WHOLE = "whole"
    PART = "part"
    LITTLE = "little"
    NONE = "none"


NO_GRANTS = BucketRule(0.0, 0.0)


def decide_cold_share(zone: NodeGroup, fleet: NodeGroup) -> ColdShare:
    """Return the share of the limiter of a cold endpoint.

    :param zone: the entry nodes of the endpoint's availability zone.
    """
    if zone.is_majority or (fleet.is_majority and not zone.registered):
        return ColdShare.WHOLE
    if fleet.is_majority:
        return ColdShare.PART
    return ColdShare.LITTLE if fleet.share >= MIN_GRANTING_SHARE else ColdShare.NONE


def compute_cold_rule(allowance: ColdAllowance, share: ColdShare) -> BucketRule:
    """Return the bucket of a cold endpoint's limiter.

    The requests that all limiters grant in one window, including its jitter, stay within the bound:
    ``WHOLE``, ``PART`` and one ``LITTLE``, or ``WHOLE`` and three ``LITTLE``. The limiter of the
    zone comes first; where the bound is narrow, the others grant nothing.
    """
    rate, most = allowance.rate, allowance.max_requests
    whole = _fit_whole_rule(rate, most)
    rest = most - count_most_grants(whole)
    little = _fit_rule(LITTLE_RATE_SHARE * rate, LITTLE_BURST_TOKENS, rest // MAX_LITTLE_PARTS)
    part = _fit_rule(PART_RATE_SHARE * rate, PART_BURST_TOKENS, rest - count_most_grants(little))
    rules = {ColdShare.WHOLE: whole, ColdShare.PART: part, ColdShare.LITTLE: little}
    return rules.get(share, NO_GRANTS)


def count_most_grants(rule: BucketRule) -> int:
    """Return the most requests of one bucket that may arrive within the window of the bound."""
    return floor(rule.burst + rule.rate * (BOUND_WINDOW_SECONDS + ARRIVAL_JITTER_SECONDS))


def _fit_whole_rule(rate: float, most: int) -> BucketRule:
    usual = _fit_rule(COLD_RATE_SHARE * rate, COLD_BURST_TOKENS, most)
    if usual.burst >= NARROW_BURST_TOKENS:
        return usual
    narrow = _fit_rule(NARROW_RATE_SHARE * rate, NARROW_BURST_TOKENS, most)
    return _fit_rule(COLD_RATE_SHARE * rate, narrow.burst, most, keep_burst=True)


def _fit_rule(rate: float, burst: float, most: int, *, keep_burst: bool = False) -> BucketRule:
    """Return a bucket of at most that rate and burst, and of at most so many requests a window.

    :param keep_burst: whether the rate is lowered rather than the burst.
    """
    if most < 1:
        return NO_GRANTS
    window = BOUND_WINDOW_SECONDS + ARRIVAL_JITTER_SECONDS
    room = most + 1.0 - _MARGIN_TOKENS
    if not keep_burst:
        burst = max(1.0, min(burst, room - rate * window))
    return BucketRule(min(rate, (room - burst) / window), burst)


def compute_cold_cap(cold_seconds: float) -> float:
    """Return the seconds for which an endpoint counts as cold at most.

    :param cold_seconds: of its service, 0 if not stated.
    """
    return COLD_TIMES_CAP * cold_seconds or DEFAULT_COLD_CAP_SECONDS
