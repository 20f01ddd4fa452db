"""Limits on the predicted latency of requests that compete with more urgent ones.

An engine's queue must not grow beyond what the most urgent kind of request can still use. A request
with a longer objective therefore waits at its entry node instead.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from math import inf

RESERVE_SHARE = 0.15
"""Share of the limit that a less urgent request leaves free for each more urgent rank that lacks
capacity: some tens of milliseconds, in which an engine reads about one prompt."""

MAX_RESERVE_SHARE = 0.4
"""Largest share of the limit that is left free. An engine with a longer reserve would idle between
two urgent requests."""

MIN_RANK_SHARE = 0.4
"""Share of the mean served share below which a rank no longer yields to more urgent ones. Callers
of no kind may fall below a quarter of the mean; a rank is held above it by some margin, since the
shares of the last seconds are estimates."""


@dataclass(frozen=True, slots=True)
class RequestKind:
    """What distinguishes competing requests of a service.

    :param rank: 0 for the most urgent.
    :param objective: latency objective in seconds.
    """

    rank: int
    objective: float


@dataclass(frozen=True, slots=True)
class ServedShare:
    """Requests of the last seconds that could be in time, and those of them that were sent."""

    requested: float = 0.0
    sent: float = 0.0


def compute_shared_objectives(kinds: Iterable[RequestKind]) -> dict[int, float]:
    """Return, by rank, the shortest objective of the kinds that are at least as urgent.

    Empty if no kind has a longer objective than a more urgent one: the objectives then order the
    kinds already.
    """
    shared: dict[int, float] = {}
    shortest, more_urgent = inf, inf
    competing = False
    for kind in sorted(kinds, key=lambda each: (each.rank, each.objective)):
        if kind.rank not in shared:
            more_urgent = shortest
        competing = competing or kind.objective > more_urgent
        shortest = min(shortest, kind.objective)
        shared[kind.rank] = shortest
    return shared if competing else {}


def list_starved_ranks(shares: Mapping[int, ServedShare]) -> frozenset[int]:
    """Return the ranks that are served so much less often than the mean that they may not yield."""
    requested = sum(each.requested for each in shares.values())
    sent = sum(each.sent for each in shares.values())
    least = MIN_RANK_SHARE * sent / requested if requested > 0 else 0.0
    return frozenset(rank for rank, each in shares.items() if each.sent < least * each.requested)


def compute_latency_limit(
    rank: int, objective: float, shared: Mapping[int, float], lacking: Collection[int]
) -> float:
    """Return the latency objective that the prediction of a request may use, in seconds.

    :param objective: of the request itself.
    :param shared: shared objectives by rank, empty if ranks don't compete.
    :param lacking: ranks of which fresh requests wait or were refused.
    """
    if not shared:
        return objective
    limit = min([objective, *(seconds for other, seconds in shared.items() if other <= rank)])
    urgent = sum(other < rank for other in lacking)
    return limit * (1.0 - min(MAX_RESERVE_SHARE, urgent * RESERVE_SHARE))
