"""Endpoints that are leaving, however this node learned of it."""

import logging
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from wrenloft_core import AgentId, note, read_clock

_LOG = logging.getLogger(__name__)

MAX_DEPARTURES = 16384
"""Endpoints remembered as leaving, about 4 MB: five rolling replacements of 3,000 endpoints."""


class DepartureSource(Enum):
    """How a node learned that an endpoint is leaving."""

    LIST = "list"
    ANSWER = "answer"
    REPORT = "report"
    PEER = "peer"


@dataclass(frozen=True, slots=True)
class Departure:
    """The latest incarnation of an endpoint that is known to be leaving.

    :param born: start time of that incarnation; earlier ones are gone.
    :param at: when this node learned of it.
    :param revision: of the ledger that recorded it.
    """

    born: int
    source: DepartureSource
    at: float
    revision: int


DepartureUpdates = dict[AgentId, int]
"""Start times of leaving incarnations, by endpoint."""


class DepartureLedger:
    """Leaving endpoints by id.

    An endpoint that is leaving stays so until it starts again. Departures outlive the entries of
    the list, which expire and return during outages of the store, and older snapshots of it.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._departures: OrderedDict[AgentId, Departure] = OrderedDict()

    def record(self, agent_id: AgentId, born: int, source: DepartureSource) -> Departure | None:
        """Record that an incarnation is leaving; return the departure unless it was known."""
        if self.find(agent_id, born) is not None:
            return None
        self.revision += 1
        departure = Departure(born, source, read_clock(), self.revision)
        self._departures[agent_id] = departure
        self._departures.move_to_end(agent_id)
        if len(self._departures) > MAX_DEPARTURES:
            self._departures.popitem(last=False)
        note(_LOG, "endpoint leaving", endpoint=agent_id, born=born, source=source.value)
        return departure

    def find(self, agent_id: AgentId, born: int) -> Departure | None:
        """Return the departure of an incarnation, ``None`` if it isn't known to be leaving."""
        known = self._departures.get(agent_id)
        return known if known is not None and known.born >= born else None

    def list_changes(self, since: int) -> DepartureUpdates:
        """Return the departures recorded after a revision of this ledger, for publication."""
        if since == self.revision:
            return {}
        return {
            agent_id: each.born
            for agent_id, each in self._departures.items()
            if each.revision > since
        }
