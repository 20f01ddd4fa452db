"""When requests that are quarantined were last sent as probes."""

from collections import OrderedDict

MAX_PROBES = 256
"""Probes that are remembered; more contents or prompt segments are not quarantined at once."""


class ProbeTimes:
    """Times of the latest probes by name, on this node's clock."""

    def __init__(self) -> None:
        self._times: OrderedDict[str, float] = OrderedDict()

    def get(self, name: str) -> float:
        """Return the time of the last probe, minus infinity if none is known."""
        return self._times.get(name, float("-inf"))

    def record(self, name: str, at: float) -> None:
        """Record a probe."""
        self._times[name] = at
        self._times.move_to_end(name)
        if len(self._times) > MAX_PROBES:
            self._times.popitem(last=False)
