"""Kinds of requests that arrived lately, and those of them that lack capacity."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from math import exp

from wrenloft_core import ServiceName
from wrenloft_policy import (
    RequestKind,
    ServedShare,
    compute_latency_limit,
    compute_shared_objectives,
    list_starved_ranks,
)

KIND_SECONDS = 5.0
"""Time after its last request in which a kind counts. Shorter than a pause of the urgent kinds in
which others may use their share, longer than the time between two requests at one node."""

LACKING_SECONDS = 1.0
"""Time for which a rank lacks capacity after one of its fresh requests was refused."""

SHARE_SECONDS = 5.0
"""Time constant with which served shares decay: some ten requests of a rare kind at one node."""

MAX_KINDS = 32
"""Kinds kept for each service; the one that was asked for least recently is dropped."""

MAX_SERVICES = 64
"""Services kept, by the same order."""

_CACHE_SECONDS = 0.02
"""How long computed limits are used: as long as a snapshot of the endpoints."""


@dataclass(frozen=True, slots=True)
class KindLoad:
    """Requests of one kind that lack capacity.

    :param fresh: number of queued requests that can still be answered in time.
    :param refused: whether one was refused in about the last second.
    """

    fresh: int = 0
    refused: bool = False

    def __add__(self, other: "KindLoad") -> "KindLoad":
        return KindLoad(self.fresh + other.fresh, self.refused or other.refused)


@dataclass(frozen=True, slots=True)
class Competition:
    """How a kind of request competes with others of its service.

    :param objective: latency objective that a prediction may use, in seconds.
    :param yields: whether its requests leave capacity to waiting ones that are more urgent.
    :param more_urgent: fresh requests of more urgent ranks that wait at other nodes.
    :param less_urgent: the same of less urgent ranks.
    """

    objective: float
    yields: bool
    more_urgent: int
    less_urgent: int


KindLoads = Mapping[ServiceName, Mapping[RequestKind, KindLoad]]
"""Kinds that arrived lately by service, whether or not they lack capacity."""


def add_kinds(parts: Iterable[KindLoads]) -> dict[ServiceName, dict[RequestKind, KindLoad]]:
    """Return the sum of what several nodes know."""
    total: dict[ServiceName, dict[RequestKind, KindLoad]] = {}
    for part in parts:
        for service, kinds in part.items():
            sums = total.setdefault(service, {})
            for kind, load in kinds.items():
                known = sums.get(kind)
                if known is None:
                    sums[kind] = load
                elif load.fresh or load.refused:
                    sums[kind] = known + load
    return total


class _ServiceKinds:
    """The kinds of one service.

    :param arrived: when the last request of each kind arrived at this node.
    :param refused: when a fresh request of each kind was refused last.
    :param shares: decayed counts of fresh requests by rank.
    """

    def __init__(self) -> None:
        self.arrived: dict[RequestKind, float] = {}
        self.refused: dict[RequestKind, float] = {}
        self.shares: dict[int, ServedShare] = {}
        self.computed_at = float("-inf")
        self._shared: dict[int, float] = {}
        self._lacking: frozenset[int] = frozenset()
        self._starved: frozenset[int] = frozenset()
        self._elsewhere: Mapping[RequestKind, KindLoad] = {}
        self._assessed: dict[RequestKind, Competition | None] = {}
        self._decayed_at = 0.0

    def count(self, rank: int, now: float, *, requested: int = 0, sent: int = 0) -> None:
        factor = exp((self._decayed_at - now) / SHARE_SECONDS)
        self._decayed_at = now
        self.shares = {
            other: ServedShare(each.requested * factor, each.sent * factor)
            for other, each in self.shares.items()
            if each.requested * factor > 0.01
        }
        known = self.shares.get(rank, ServedShare())
        self.shares[rank] = ServedShare(known.requested + requested, known.sent + sent)

    def refresh(self, elsewhere: Mapping[RequestKind, KindLoad], now: float) -> None:
        self.computed_at = now
        self._assessed = {}
        self._elsewhere = elsewhere
        self.arrived = {k: at for k, at in self.arrived.items() if now - at < KIND_SECONDS}
        self.refused = {k: at for k, at in self.refused.items() if now - at < LACKING_SECONDS}
        lacking = [kind for kind, load in elsewhere.items() if load.fresh or load.refused]
        self._shared = compute_shared_objectives({*self.arrived, *elsewhere})
        self._lacking = frozenset(kind.rank for kind in (*lacking, *self.refused))
        self._starved = list_starved_ranks(self.shares)

    def assess(self, kind: RequestKind) -> Competition | None:
        if kind not in self._assessed:
            self._assessed[kind] = self._compute_competition(kind)
        return self._assessed[kind]

    def _compute_competition(self, kind: RequestKind) -> Competition | None:
        if not self._shared:
            return None
        yields = kind.rank not in self._starved
        lacking = self._lacking if yields else ()
        loads = self._elsewhere.items()
        return Competition(
            compute_latency_limit(kind.rank, kind.objective, self._shared, lacking),
            yields,
            sum(load.fresh for other, load in loads if other.rank < kind.rank),
            sum(load.fresh for other, load in loads if other.rank > kind.rank),
        )


class KindLedger:
    """Recent kinds of requests by service."""

    def __init__(self) -> None:
        self._services: dict[ServiceName, _ServiceKinds] = {}

    def record_arrival(
        self, service: ServiceName, kind: RequestKind, now: float, *, fresh: bool
    ) -> None:
        """Record that a request arrived."""
        kinds = self._services.pop(service, None) or _ServiceKinds()
        self._services[service] = kinds
        if len(self._services) > MAX_SERVICES:
            del self._services[next(iter(self._services))]
        if kinds.arrived.pop(kind, None) is None:
            kinds.computed_at = float("-inf")
        kinds.arrived[kind] = now
        if len(kinds.arrived) > MAX_KINDS:
            oldest = next(iter(kinds.arrived))
            del kinds.arrived[oldest]
            kinds.refused.pop(oldest, None)
        if fresh:
            kinds.count(kind.rank, now, requested=1)

    def record_sent(self, service: ServiceName, kind: RequestKind, now: float) -> None:
        """Record that a fresh request is sent."""
        if (kinds := self._services.get(service)) is not None:
            kinds.count(kind.rank, now, sent=1)

    def record_refusal(self, service: ServiceName, kind: RequestKind, now: float) -> None:
        """Record that a fresh request was refused for lack of capacity."""
        if (kinds := self._services.get(service)) is not None:
            kinds.refused[kind] = now
            kinds.computed_at = float("-inf")

    def assess(
        self,
        service: ServiceName,
        kind: RequestKind,
        sum_elsewhere: Callable[[ServiceName], Mapping[RequestKind, KindLoad]],
        now: float,
    ) -> Competition | None:
        """Return how a kind competes with others, ``None`` if ranks don't compete.

        :param sum_elsewhere: returns the kinds of a service at other nodes.
        """
        kinds = self._services.get(service)
        if kinds is None:
            return None
        if now - kinds.computed_at >= _CACHE_SECONDS:
            kinds.refresh(sum_elsewhere(service), now)
        return kinds.assess(kind)

    def list_kinds(
        self, service: ServiceName, waiting: Iterable[RequestKind], now: float
    ) -> dict[RequestKind, KindLoad]:
        """Return a service's recent kinds, for publication to other nodes.

        :param waiting: kinds of the fresh requests that wait here.
        """
        kinds = self._services.get(service)
        if kinds is None:
            return {}
        loads = {
            kind: KindLoad(refused=now - kinds.refused.get(kind, float("-inf")) < LACKING_SECONDS)
            for kind, at in kinds.arrived.items()
            if now - at < KIND_SECONDS
        }
        for kind in waiting:
            loads[kind] = loads.get(kind, KindLoad()) + KindLoad(1)
        return loads
