"""What a node knows of a service's endpoints at one moment, for the decisions right after it."""

from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from heapq import nsmallest

from wrenloft_core import AgentId
from wrenloft_policy import EndpointLoad, EngineProfile, count_room, rank_endpoint
from wrenloft_routing._chains import Able

SNAPSHOT_SECONDS = 0.02
"""How long a snapshot is used. While requests wait, each looks again whenever something changes. A
look took 1.1 ms at 34 endpoints and 3.5 ms at 119; with it 0.09 and 0.16 ms (300 looks in a row).
Frames of other nodes come less often than this."""

BEST_KEPT = 8
"""Best endpoints remembered: a further request is compared with these in place of all."""


@dataclass(frozen=True, slots=True)
class Opening:
    """When endpoints whose rate limits are used up take a request again.

    :param at: the soonest time of any.
    :param rate: requests a second that they take together.
    :param least_urgent: the one where the least urgent request was denied.
    """

    at: float
    rate: float
    least_urgent: Able

    @property
    def urgency(self) -> int:
        """Of that request; a more urgent one may ask there at once."""
        return self.least_urgent.state.denial.urgency


@dataclass(slots=True)
class Snapshot:
    """Endpoints that can take a request of a service, and their loads.

    :param revision: of what is known of endpoints beyond their loads, and the oldest version on
        which requests may begin.
    :param work: seconds of work on a request at a plain service.
    :param opening: set if all that could take a request have rate limits.
    """

    taken_at: float
    revision: tuple[int, int]
    able: Sequence[Able]
    loads: list[EndpointLoad]
    engine: EngineProfile | None
    work: float
    opening: Opening | None = None
    _index: dict[str, int] = field(default_factory=dict)
    _best: list[int] = field(default_factory=list)
    _rooms: dict[float, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._index = {load.key: at for at, load in enumerate(self.loads)}
        usual = self.engine.usual_prompt if self.engine is not None else 0.0

        def rank(at: int) -> float:
            return rank_endpoint(self.loads[at], self.engine, usual, self.work)

        self._best = nsmallest(BEST_KEPT, range(len(self.loads)), key=rank)

    def is_fresh(self, now: float, revision: tuple[int, int]) -> bool:
        """Whether it may still be decided by."""
        return self.revision == revision and now - self.taken_at < SNAPSHOT_SECONDS

    @property
    def best(self) -> list[EndpointLoad]:
        """The endpoints that were best when it was taken, with their loads now."""
        return [self.loads[at] for at in self._best]

    def find(self, key: str) -> Able:
        """Return an endpoint by its id."""
        return self.able[self._index[AgentId(key)]]

    def is_limited(self, key: str) -> bool:
        """Whether an endpoint takes a request only with a grant."""
        return self.loads[self._index[AgentId(key)]].limited

    def count_room(self, engine: EngineProfile, limit: float) -> int:
        """Count the usual requests that all of them could take with a first event in time."""
        room = self._rooms.get(limit)
        if room is None:
            room = sum(count_room(each, engine, limit) for each in self.loads)
            self._rooms[limit] = room
        return room

    def count_sent(self, key: str, prompt_tokens: float) -> None:
        """Take that a request is sent to an endpoint."""
        at = self._index[key]
        load = self.loads[at]
        tokens = None if load.unread_tokens is None else load.unread_tokens + prompt_tokens
        self.loads[at] = replace(load, waiting=load.waiting + 1, unread_tokens=tokens)
        for limit, room in self._rooms.items():
            self._rooms[limit] = max(0, room - 1)
