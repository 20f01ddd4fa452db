"""Requests that wait at a node for a runner: bounded, fair, and refused early."""

from collections.abc import Hashable
from dataclasses import dataclass

from wrenloft_core import OrganisationName, Priority


@dataclass(frozen=True, slots=True)
class Ticket:
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
        self._waiting: dict[Priority, dict[OrganisationName, list[Ticket]]] = {
            priority: {} for priority in Priority
        }
        self._served: dict[OrganisationName, float] = {}

    def __len__(self) -> int:
        return sum(len(line) for lines in self._waiting.values() for line in lines.values())

    def count_ahead(self, organisation: OrganisationName, priority: Priority) -> int:
        """Estimate how many requests would be served before one that arrives now."""
        ahead = sum(
            len(line)
            for other, lines in self._waiting.items()
            if other.rank < priority.rank
            for line in lines.values()
        )
        lines = self._waiting[priority]
        own = len(lines.get(organisation, []))
        return ahead + sum(min(len(line), own + 1) for line in lines.values())

    def count(self, organisation: OrganisationName) -> int:
        """Return how many requests of an organisation wait."""
        return sum(len(lines.get(organisation, [])) for lines in self._waiting.values())

    def push(self, ticket: Ticket) -> None:
        """Add a request."""
        lines = self._waiting[ticket.priority]
        if ticket.organisation not in lines:
            lines[ticket.organisation] = []
            # An organisation that was idle starts level with the others; with its old, lower
            # count it would hold the queue until it had caught up on time it never asked for.
            active = [self._served.get(other, 0.0) for other in lines if other in self._served]
            floor = min(active, default=0.0)
            served = self._served.get(ticket.organisation, 0.0)
            self._served[ticket.organisation] = max(served, floor)
        lines[ticket.organisation].append(ticket)

    def pop(self) -> Ticket | None:
        """Take the request that is next, or ``None``."""
        for lines in self._waiting.values():
            if lines:
                organisation = min(lines, key=lambda each: self._served.get(each, 0.0))
                ticket = min(lines[organisation], key=lambda each: each.deadline)
                self._served[organisation] = self._served.get(organisation, 0.0) + 1.0
                self.remove(ticket)
                return ticket
        return None

    def push_back(self, ticket: Ticket) -> None:
        """Undo a :meth:`pop` whose request could not be served."""
        self.push(ticket)
        self._served[ticket.organisation] -= 1.0

    def remove(self, ticket: Ticket) -> None:
        """Take out a request that no longer waits; nothing happens if it is not there."""
        lines = self._waiting[ticket.priority]
        line = lines.get(ticket.organisation, [])
        if ticket in line:
            line.remove(ticket)
        if not line:
            lines.pop(ticket.organisation, None)


def estimate_wait(ahead: int, capacity: int, service_seconds: float) -> float:
    """Estimate the seconds until a request with ``ahead`` others before it gets a runner."""
    return ahead * service_seconds / max(1, capacity)
