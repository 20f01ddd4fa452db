"""Requests that wait at a node for a runner: bounded, fair, and refused early."""

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
    """Waiting requests: by class, then the organisation served least, then by deadline.

    Within a class every organisation gets an equal part whatever it sends, so that one
    organisation's flood fills its own queue and not the others'.
    """

    def __init__(self) -> None:
        self._waiting: dict[Priority, dict[OrganisationName, list[QueuedRequest]]] = {
            priority: {} for priority in Priority
        }
        self._served: dict[OrganisationName, float] = {}

    def __len__(self) -> int:
        return sum(len(queue) for queues in self._waiting.values() for queue in queues.values())

    def count_ahead(self, organisation: OrganisationName, priority: Priority) -> int:
        """Estimate how many requests would be served before one that arrives now."""
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
        """Return how many requests of an organisation wait."""
        return sum(len(queues.get(organisation, [])) for queues in self._waiting.values())

    def push(self, ticket: QueuedRequest) -> None:
        """Add a request."""
        queues = self._waiting[ticket.priority]
        if ticket.organisation not in queues:
            queues[ticket.organisation] = []
            # An organisation that was idle starts level with the others; with its old, lower
            # count it would hold the queue until it had caught up on time it never asked for.
            active = [self._served.get(other, 0.0) for other in queues if other in self._served]
            floor = min(active, default=0.0)
            served = self._served.get(ticket.organisation, 0.0)
            self._served[ticket.organisation] = max(served, floor)
        queues[ticket.organisation].append(ticket)

    def pop(self) -> QueuedRequest | None:
        """Take the request that is next, or ``None``."""
        for queues in self._waiting.values():
            if queues:
                organisation = min(queues, key=lambda each: self._served.get(each, 0.0))
                ticket = min(queues[organisation], key=lambda each: each.deadline)
                self._served[organisation] = self._served.get(organisation, 0.0) + 1.0
                self.remove(ticket)
                return ticket
        return None

    def push_back(self, ticket: QueuedRequest) -> None:
        """Undo a :meth:`pop` whose request could not be served."""
        self.push(ticket)
        self._served[ticket.organisation] -= 1.0

    def remove(self, ticket: QueuedRequest) -> None:
        """Take out a request that no longer waits; nothing happens if it is not there."""
        queues = self._waiting[ticket.priority]
        queue = queues.get(ticket.organisation, [])
        if ticket in queue:
            queue.remove(ticket)
        if not queue:
            queues.pop(ticket.organisation, None)


def estimate_wait(ahead: int, capacity: int, service_seconds: float) -> float:
    """Estimate the seconds until a request with ``ahead`` others before it gets a runner."""
    return ahead * service_seconds / max(1, capacity)
