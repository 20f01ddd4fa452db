"""Snapshot of a service's endpoints, shared by the decisions made right after it."""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from heapq import nsmallest
from math import inf

from wrenloft_core import AgentId
from wrenloft_policy import EndpointLoad, EngineProfile, compute_endpoint_cost, count_spare_slots
from wrenloft_routing._chains import Eligible

SNAPSHOT_TTL_SECONDS = 0.02
"""How long a snapshot is used. Every waiting request decides again at each change; measuring all
endpoints for it takes 1.1 ms at 34 endpoints and 3.5 ms at 119, with a snapshot 0.09 and 0.16 ms.
Frames of other nodes arrive less often than this."""

MAX_BEST_ENDPOINTS = 8
"""Best endpoints kept: a further request is compared with these instead of all."""


@dataclass(frozen=True, slots=True)
class RateLimitReset:
    """When endpoints whose rate limits are used up take requests again.

    :param at: the earliest time of any.
    :param rate: requests per second of all of them together.
    :param least_urgent: the endpoint where the least urgent request was denied.
    :param ends_at: when the first of them takes requests without a rate limit.
    """

    at: float
    rate: float
    least_urgent: Eligible
    ends_at: float = inf

    @property
    def urgency(self) -> int:
        """Urgency of that request; a more urgent one may request a grant there at once."""
        return self.least_urgent.state.denial.urgency


@dataclass(frozen=True, slots=True)
class RestEnd:
    """When the first of several endpoints that all rest takes requests again.

    :param untried: whether a request that has been rejected may still be sent to one of them.
    """

    at: float
    untried: bool


@dataclass(slots=True)
class EndpointSnapshot:
    """Endpoints that are eligible for a service's requests, and their loads.

    :param revision: revision of the endpoints' state apart from loads, and the oldest version on
        which requests may begin.
    :param work: seconds of work on a request at a plain service.
    :param rate_limit_reset: set if all endpoints that could take a request have rate limits.
    :param rest_end: set if all endpoints that could take a request rest.
    """

    taken_at: float
    revision: tuple[int, int]
    eligible: Sequence[Eligible]
    loads: list[EndpointLoad]
    engine: EngineProfile | None
    work: float
    rate_limit_reset: RateLimitReset | None = None
    rest_end: RestEnd | None = None
    _index: dict[str, int] = field(default_factory=dict)
    _best: list[int] = field(default_factory=list)
    _spare_slots: dict[float, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._index = {load.key: at for at, load in enumerate(self.loads)}
        usual = self.engine.mean_prompt_tokens if self.engine is not None else 0.0

        def rank(at: int) -> float:
            return compute_endpoint_cost(self.loads[at], self.engine, usual, self.work)

        self._best = nsmallest(MAX_BEST_ENDPOINTS, range(len(self.loads)), key=rank)

    def is_fresh(self, now: float, revision: tuple[int, int]) -> bool:
        """Return whether decisions may still use this snapshot."""
        return self.revision == revision and now - self.taken_at < SNAPSHOT_TTL_SECONDS

    @property
    def best(self) -> list[EndpointLoad]:
        """The best endpoints at the time of the snapshot, with their current loads."""
        return [self.loads[at] for at in self._best]

    def find(self, key: str) -> Eligible:
        """Return an endpoint by its id."""
        return self.eligible[self._index[AgentId(key)]]

    def is_limited(self, key: str) -> bool:
        """Return whether an endpoint takes a request only with a grant."""
        return self.loads[self._index[AgentId(key)]].limited

    def count_spare_slots(self, engine: EngineProfile, limit: float) -> int:
        """Count the usual requests that all endpoints could take with a first event in time."""
        spare_slots = self._spare_slots.get(limit)
        if spare_slots is None:
            spare_slots = sum(count_spare_slots(each, engine, limit) for each in self.loads)
            self._spare_slots[limit] = spare_slots
        return spare_slots

    def record_sent(self, key: str, prompt_tokens: float) -> None:
        """Record that a request is sent to an endpoint."""
        at = self._index[key]
        load = self.loads[at]
        tokens = None if load.unread_tokens is None else load.unread_tokens + prompt_tokens
        self.loads[at] = replace(load, waiting=load.waiting + 1, unread_tokens=tokens)
        for limit, spare_slots in self._spare_slots.items():
            self._spare_slots[limit] = max(0, spare_slots - 1)
