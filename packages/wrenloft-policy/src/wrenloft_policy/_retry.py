"""How often and when a request is tried again."""

from random import Random

_BACKOFF_BASE = 0.02
_BACKOFF_CAP = 1.0


class RetryBudget:
    """Allows further attempts as a fraction of first attempts.

    Without it, a fault that fails every attempt doubles or triples the load at the moment when
    the fleet can carry least; the budget bounds the extra load to ``ratio``. The few attempts
    a second that come on top let an organisation with little traffic try again at all.

    :param now: monotonic time, in seconds.
    :param ratio: further attempts earned by each first attempt.
    :param trickle: further attempts earned each second.
    :param reserve: most that can be saved, and what it begins with.
    """

    def __init__(
        self, now: float, ratio: float = 0.1, trickle: float = 0.2, reserve: float = 10.0
    ) -> None:
        self._ratio = ratio
        self._trickle = trickle
        self._reserve = reserve
        self._tokens = reserve
        self._at = now

    def earn(self) -> None:
        """Count one first attempt."""
        self._tokens = min(self._reserve, self._tokens + self._ratio)

    def spend(self, now: float) -> bool:
        """Take one further attempt, if the budget allows it."""
        self._tokens = min(self._reserve, self._tokens + (now - self._at) * self._trickle)
        self._at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def pick_backoff(attempt: int, random: Random) -> float:
    """Return seconds to wait before attempt number ``attempt``, with full jitter."""
    return random.uniform(0.0, min(_BACKOFF_CAP, _BACKOFF_BASE * 2**attempt))
