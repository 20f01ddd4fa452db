"""Fair queue of the requests that wait at a node for a runner."""

from collections.abc import Hashable
from dataclasses import dataclass

from wrenloft_core import OrganisationName, Priority


@dataclass(frozen=True, slots=True)
class QueuedRequest:
    """One waiting request.

    :param deadline: on the monotonic clock, in seconds.
    """

    key: Hashable
    organisation: OrganisationName
    priority: Priority
    deadline: float


class FairQueue:
    """Waiting requests, by class, then by the least served organisation, then by deadline.

    Within a class, every organisation gets an equal share whatever it sends, so that one
    organisation's flood fills its own queue only.
    """

    def __init__(self) -> None:
        self._waiting: dict[Priority, dict[OrganisationName, list[QueuedRequest]]] = {
            priority: {} for priority in Priority
        }
        self._served: dict[OrganisationName, float] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queues in self._waiting.values() for queue in queues.values())

    def count_ahead(self, organisation: OrganisationName, priority: Priority) -> int:
        """Estimate the number of requests that are served before one that arrives now."""
        ahead = sum(
            len(queue)
            for other, queues in self._waiting.items()
            if other.rank < priority.rank
            for queue in queues.values()
        )
        queues = self._waiting[priority]
        own = len(queues.get(organisation, []))
        return ahead + sum(min(len(queue), own + 1) for queue in queues.values())

    def count(self, organisation: OrganisationName) -> int:
        """Return the number of waiting requests of an organisation."""
        return sum(len(queues.get(organisation, [])) for queues in self._waiting.values())

    def push(self, request: QueuedRequest) -> None:
        """Add a request."""
        queues = self._waiting[request.priority]
        if request.organisation not in queues:
            queues[request.organisation] = []
            # An organisation that was idle starts level with the others. With its old, lower
            # count it would be served alone until it has caught up.
            active = [self._served.get(other, 0.0) for other in queues if other in self._served]
            least_served = min(active, default=0.0)
            served = self._served.get(request.organisation, 0.0)
            self._served[request.organisation] = max(served, least_served)
        queues[request.organisation].append(request)

    def pop(self) -> QueuedRequest | None:
        """Remove and return the next request, or ``None``."""
        for queues in self._waiting.values():
            if queues:
                organisation = min(queues, key=lambda each: self._served.get(each, 0.0))
                request = min(queues[organisation], key=lambda each: each.deadline)
                self._served[organisation] = self._served.get(organisation, 0.0) + 1.0
                self.remove(request)
                return request
        return None

    def push_back(self, request: QueuedRequest) -> None:
        """Undo a :meth:`pop` whose request could not be served."""
        self.push(request)
        self._served[request.organisation] -= 1.0

    def remove(self, request: QueuedRequest) -> None:
        """Remove a request, if present."""
        queues = self._waiting[request.priority]
        queue = queues.get(request.organisation, [])
        if request in queue:
            queue.remove(request)
        if not queue:
            queues.pop(request.organisation, None)


def estimate_wait(ahead: int, capacity: int, service_seconds: float) -> float:
    """Estimate the seconds until a request with ``ahead`` others before it gets a runner."""
    return ahead * service_seconds / max(1, capacity)
