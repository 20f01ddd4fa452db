"""How old the last proof is that this node's configuration is the newest."""

from wrenloft_core import read_clock

MARGIN_SECONDS = 0.6
"""Time for a request to get from this node to an endpoint and begin, and for unequal clocks."""


class FreshnessProof:
    """The moment at which the configuration was last known to be the newest.

    A linearizable read that was begun at ``t`` proves the state at ``t`` at the earliest, so the
    time BEFORE the call counts. A watch that stays silent proves nothing: it may be cut off or
    deaf.

    :param max_age: seconds that a key may go on being used after it was taken away; ``None`` if
        keys are not bound to a time.
    """

    def __init__(self, max_age: float | None) -> None:
        self._max_age = max_age
        self._proved_at: float | None = None

    def record(self, begun_at: float) -> None:
        """Take a read that was begun at ``begun_at`` and is in force now."""
        if self._proved_at is None or begun_at > self._proved_at:
            self._proved_at = begun_at

    @property
    def age(self) -> float:
        """Seconds since the last proof, infinite before the first."""
        return float("inf") if self._proved_at is None else read_clock() - self._proved_at

    def allows_keys(self) -> bool:
        """Whether a request with a key may be sent on now."""
        if self._max_age is None:
            return self._proved_at is not None
        return self.age < self._max_age - MARGIN_SECONDS
