"""Times for which endpoints asked this node for no requests."""

import logging
from collections import OrderedDict

from prometheus_client import Gauge

from wrenloft_core import IncarnationId, note

_LOG = logging.getLogger(__name__)

MAX_REST_SECONDS = 86400.0
"""Longest rest that is kept to. An endpoint that asks for years by mistake is asked again daily."""

MAX_RESTS = 16384
"""Rests kept, about 3 MB: several of each endpoint's incarnations at 3,000 endpoints."""

RESTING = Gauge("wrenloft_endpoints_resting", "Endpoints that asked this node for rest")


class RestLedger:
    """Rests in progress by incarnation.

    They outlive the entries of the list, which expire and return during outages of the store. They
    bind this node alone: an endpoint that rejects one node's requests may accept another's.
    """

    def __init__(self) -> None:
        self._ends: OrderedDict[IncarnationId, float] = OrderedDict()
        RESTING.set_function(lambda: len(self._ends))

    def __len__(self) -> int:
        return len(self._ends)

    def extend(self, incarnation: IncarnationId, seconds: float, now: float) -> float:
        """Record a rest, and return when all rests that the incarnation asked for have ended.

        A shorter rest doesn't end an earlier one, which was also asked for.
        """
        known = self.find_end(incarnation)
        end = now + min(seconds, MAX_REST_SECONDS)
        if end <= known:
            return known
        self._ends[incarnation] = end
        self._ends.move_to_end(incarnation)
        if len(self._ends) > MAX_RESTS:
            self._ends.popitem(last=False)
        note(
            _LOG,
            "endpoint rest extended" if known > now else "endpoint rest begun",
            endpoint=incarnation,
            seconds=seconds,
            left_before_ms=round(max(0.0, known - now) * 1000),
        )
        return end

    def find_end(self, incarnation: IncarnationId) -> float:
        """Return when the rest of an incarnation ends, 0 if it asked for none."""
        return self._ends.get(incarnation, 0.0)

    def drop_ended(self, now: float) -> bool:
        """Drop the rests that have ended; return whether there were any."""
        ended = [incarnation for incarnation, end in self._ends.items() if end <= now]
        for incarnation in ended:
            late = now - self._ends.pop(incarnation)
            note(_LOG, "endpoint rest ended", endpoint=incarnation, late_ms=round(late * 1000))
        return bool(ended)
