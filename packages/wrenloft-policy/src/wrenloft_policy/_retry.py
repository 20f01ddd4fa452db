"""Retry budget and backoff."""

from random import Random

_BACKOFF_BASE_SECONDS = 0.02
_BACKOFF_CAP_SECONDS = 1.0


class RetryBudget:
    """Limits retries to a fraction of first attempts.

    Without it, a fault that fails every attempt doubles or triples the load while the fleet has the
    least capacity; the budget bounds the extra load to ``ratio``. The retries that accrue over time
    let an organisation with little traffic retry at all.

    :param now: monotonic time, in seconds.
    :param ratio: retries deposited by each first attempt.
    :param deposit_rate: retries deposited each second.
    :param max_tokens: most retries that can accumulate; the budget starts with as many.
    """

    def __init__(
        self, now: float, ratio: float = 0.1, deposit_rate: float = 0.2, max_tokens: float = 10.0
    ) -> None:
        self._ratio = ratio
        self._deposit_rate = deposit_rate
        self._max_tokens = max_tokens
        self._tokens = max_tokens
        self._updated_at = now

    def deposit(self) -> None:
        """Record a first attempt."""
        self._tokens = min(self._max_tokens, self._tokens + self._ratio)

    def withdraw(self, now: float) -> bool:
        """Withdraw one retry.

        :returns: whether the budget allows it.
        """
        self._tokens = min(
            self._max_tokens, self._tokens + (now - self._updated_at) * self._deposit_rate
        )
        self._updated_at = now
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def pick_backoff(attempt: int, random: Random) -> float:
    """Return the seconds to wait before attempt number ``attempt``, with full jitter."""
    return random.uniform(0.0, min(_BACKOFF_CAP_SECONDS, _BACKOFF_BASE_SECONDS * 2**attempt))
