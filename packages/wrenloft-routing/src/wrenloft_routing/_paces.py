"""Paces of endpoints: the latest figures in the answers that this node received."""

import logging
from collections import OrderedDict
from dataclasses import dataclass

from prometheus_client import Counter, Gauge

from wrenloft_core import IncarnationId, note, read_clock
from wrenloft_policy import PACE_LAG_SECONDS, estimate_pace

_LOG = logging.getLogger(__name__)

MAX_PACES = 8192
"""Incarnations whose figures are kept, about 5 MB in all."""

PACE_TTL_SECONDS = 10.0
"""Age after which a figure is dropped; its estimate has been 1 for seconds by then."""

SLOW_PACE = 2.0
"""Pace from which an endpoint counts as slow in the log."""

SLOW_LOG_SECONDS = 5.0
"""Time without a slow figure after which an endpoint counts as usual again in the log: paces change
several times a second, and each change would be a line."""

MALFORMED_LOADS = Counter(
    "wrenloft_malformed_load_headers", "Answers whose load header could not be parsed"
)

SLOWEST_PACE = Gauge(
    "wrenloft_slowest_endpoint_pace",
    "How many times longer than usual work takes at the slowest endpoint, as estimated now",
)


@dataclass(frozen=True, slots=True)
class PaceFigure:
    """A figure of an endpoint's pace.

    :param at: the time that it describes.
    """

    pace: float
    at: float

    def estimate(self, now: float) -> float:
        """Return the estimate of the endpoint's pace from this figure."""
        return estimate_pace(self.pace, now - self.at)


@dataclass(slots=True)
class _Entry:
    """The latest figure of one incarnation.

    :param slow_at: time of the latest slow figure, ``None`` while the endpoint counts as usual.
    """

    figure: PaceFigure
    slow_at: float | None = None


class PaceLedger:
    """The latest figure of each incarnation of an endpoint, from answers to this node."""

    def __init__(self) -> None:
        self._entries: OrderedDict[IncarnationId, _Entry] = OrderedDict()
        SLOWEST_PACE.set_function(lambda: self.find_slowest(read_clock()))

    def __len__(self) -> int:
        return len(self._entries)

    def observe(self, incarnation: IncarnationId, pace: float, now: float) -> None:
        """Record the figure of an answer that arrives now."""
        figure = PaceFigure(pace, now - PACE_LAG_SECONDS)
        entry = self._entries.setdefault(incarnation, _Entry(figure))
        entry.figure = figure
        self._entries.move_to_end(incarnation)
        self._drop_old(now)
        _note_change(incarnation, entry)

    def estimate(self, incarnation: IncarnationId, now: float) -> float | None:
        """Return an endpoint's estimated pace, ``None`` if it has stated none lately."""
        entry = self._entries.get(incarnation)
        if entry is None or now - entry.figure.at > PACE_TTL_SECONDS:
            return None
        return entry.figure.estimate(now)

    def find_slowest(self, now: float) -> float:
        """Return the estimated pace of the slowest endpoint."""
        return max((each.figure.estimate(now) for each in self._entries.values()), default=1.0)

    def _drop_old(self, now: float) -> None:
        while self._entries:
            oldest = next(iter(self._entries.values()))
            expired = now - oldest.figure.at > PACE_TTL_SECONDS
            if not expired and len(self._entries) <= MAX_PACES:
                return
            self._entries.popitem(last=False)


def _note_change(incarnation: IncarnationId, entry: _Entry) -> None:
    """Log that an endpoint has become slow, or has been usual again for a time."""
    figure = entry.figure
    slow = figure.pace >= SLOW_PACE
    if slow and entry.slow_at is None:
        note(_LOG, "endpoint slow", endpoint=incarnation, pace=figure.pace)
    if slow:
        entry.slow_at = figure.at
    elif entry.slow_at is not None and figure.at - entry.slow_at > SLOW_LOG_SECONDS:
        entry.slow_at = None
        note(_LOG, "endpoint usual again", endpoint=incarnation)
