"""A clock that counts suspensions of the host."""

import time


def read_clock() -> float:
    """Return seconds on a monotonic clock that also advances while the host is suspended.

    ``time.monotonic`` stops during a suspension: after one of ten seconds, a node would treat state
    that is ten seconds old as current.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
