"""The clock for everything that must not outlive a suspension of the host."""

import time


def read_clock() -> float:
    """Return seconds on a clock that also counts while the host is suspended.

    ``time.monotonic`` stands still during a suspension: a node that wakes after ten seconds
    would take beliefs ten seconds old for fresh ones.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
