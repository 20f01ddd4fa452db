"""How long requests of a rule take from their sending to the end of their answer."""

_DECAY = 0.99
"""Factor by which the longest duration of a rule decays with each request: what only a few of the
latest hundred requests took still counts, and a shorter answer length is learned as fast."""


class RequestDurations:
    """The longest recent duration of each rule's requests."""

    def __init__(self) -> None:
        self._longest: dict[str, float] = {}

    def record(self, rule: str, seconds: float) -> None:
        """Record a request that got its whole answer."""
        self._longest[rule] = max(seconds, self._longest.get(rule, 0.0) * _DECAY)

    def estimate(self, rule: str) -> float | None:
        """Return the seconds that a request may take, ``None`` if none has ended yet."""
        return self._longest.get(rule)
