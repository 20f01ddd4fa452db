"""The bytes that a node holds for callers and endpoints, and reservations of them."""

import logging
from collections import Counter as Tally
from math import exp
from types import TracebackType

from prometheus_client import Counter, Gauge

from wrenloft_core import note, read_clock
from wrenloft_policy import MemoryLimits, Shortage, ShortageReason, find_shortage

_LOG = logging.getLogger(__name__)

HELD_BYTES = Gauge("wrenloft_memory_held_bytes", "Bytes held for callers and endpoints")
REFUSED = Counter(
    "wrenloft_memory_refusals", "Requests refused because of memory, by the bound met", ["reason"]
)

RATE_SECONDS = 1.0
"""Time constant of the rate at which bytes are released: about as long as a request takes."""

CALM_SECONDS = 1.0
"""Seconds without a refusal after which a shortage has ended, so that it is logged once."""


class MemoryBudget:
    """Bytes held for all connections.

    :param limits: ``None`` if nothing is bounded; reservations then always succeed and are not
        counted.
    """

    def __init__(self, limits: MemoryLimits | None = None) -> None:
        self.limits = limits
        self.held = 0
        self.reservations = 0
        self.refusals: Tally[ShortageReason] = Tally()
        self._short_since: float | None = None
        self._refused_at = 0.0
        self._refused = 0
        self._released = 0.0
        self._released_at = 0.0
        if limits is not None:
            HELD_BYTES.set_function(lambda: self.held)

    def open(self) -> "Reservation":
        """Return an empty reservation, which its user releases on every path."""
        return Reservation(self)

    @property
    def shortage_seconds(self) -> float | None:
        """Seconds since the shortage began, ``None`` if there is none."""
        return None if self._short_since is None else read_clock() - self._short_since

    @property
    def release_rate(self) -> float:
        """Bytes released a second, recently."""
        return self._decay_released(read_clock()) / RATE_SECONDS

    def record_refusal(self, shortage: Shortage) -> None:
        """Count a refused request; a shortage begins with the first one."""
        now = read_clock()
        self.refusals[shortage.reason] += 1
        REFUSED.labels(shortage.reason.value).inc()
        self._refused_at = now
        self._refused += 1
        if self._short_since is None:
            self._short_since = now
            note(
                _LOG,
                "memory shortage begun",
                reason=shortage.reason.value,
                held=shortage.held,
                limit=shortage.limit,
                missing=shortage.missing,
                reservations=self.reservations,
            )

    def review(self) -> None:
        """End a shortage in which no request was refused recently."""
        now = read_clock()
        if self._short_since is None or now - self._refused_at < CALM_SECONDS:
            return
        note(
            _LOG,
            "memory shortage ended",
            ms=round((self._refused_at - self._short_since) * 1000),
            refused=self._refused,
            held=self.held,
        )
        self._short_since, self._refused = None, 0

    def change(self, by: int) -> None:
        """Add to the bytes held, or subtract from them."""
        self.held += by
        if by < 0:
            now = read_clock()
            self._released = self._decay_released(now) - by
            self._released_at = now

    def _decay_released(self, now: float) -> float:
        return self._released * exp(min(0.0, self._released_at - now) / RATE_SECONDS)


class Reservation:
    """Bytes held for one connection or request; a context manager that releases them."""

    __slots__ = ("_budget", "_open", "size")

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget
        self._open = False
        self.size = 0

    @property
    def is_bounded(self) -> bool:
        """Whether there is any bound."""
        return self._budget.limits is not None

    def grow(self, size: int, *, new_work: bool = False) -> Shortage | None:
        """Reserve more bytes.

        :param new_work: whether they are for a request that has not been sent to an endpoint.
        :returns: why they could not be reserved, ``None`` if they were.
        """
        limits = self._budget.limits
        if limits is None:
            return None
        shortage = find_shortage(limits, self._budget.held, self.size, size, new_work=new_work)
        if shortage is None:
            self.resize(self.size + size)
        return shortage

    def add(self, size: int) -> bool:
        """Count bytes that are held already; return whether the connection's bound is kept."""
        limits = self._budget.limits
        self.resize(self.size + size)
        return limits is None or self.size <= limits.connection

    def resize(self, size: int) -> None:
        """Set the bytes held, whatever the bounds: they are held already, or no longer."""
        if self._budget.limits is None or size == self.size:
            return
        if not self._open:
            self._open = True
            self._budget.reservations += 1
        self._budget.change(size - self.size)
        self.size = size

    def release(self) -> None:
        """Release all bytes."""
        self.resize(0)
        if self._open:
            self._open = False
            self._budget.reservations -= 1

    def __enter__(self) -> "Reservation":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self.release()


UNBOUNDED = MemoryBudget().open()
"""Holds nothing, and has room for everything."""
