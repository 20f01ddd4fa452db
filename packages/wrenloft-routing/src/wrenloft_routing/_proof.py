"""Age of the last proof that this node's configuration is the newest."""

from wrenloft_core import read_clock

MARGIN_SECONDS = 0.6
"""Time for a request to reach an endpoint and begin, and for unequal clocks."""


class FreshnessProof:
    """The time at which the configuration was last known to be the newest.

    A linearizable read that was begun at ``t`` proves the state at ``t`` at the earliest, so the
    time *before* the call counts. A silent watch proves nothing, since its connection may be
    broken.

    :param max_age: seconds for which a key may still be used after its removal; ``None`` if keys
        are not bound to a time.
    """

    def __init__(self, max_age: float | None) -> None:
        self._max_age = max_age
        self._proved_at: float | None = None

    def record(self, begun_at: float) -> None:
        """Record a read that was begun at ``begun_at`` and is in force now."""
        if self._proved_at is None or begun_at > self._proved_at:
            self._proved_at = begun_at

    @property
    def age(self) -> float:
        """Seconds since the last proof, infinite before the first."""
        return float("inf") if self._proved_at is None else read_clock() - self._proved_at

    def allows_keys(self) -> bool:
        """Return whether a request with a key may be sent now."""
        if self._max_age is None:
            return self._proved_at is not None
        return self.age < self._max_age - MARGIN_SECONDS
