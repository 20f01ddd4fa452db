"""Ejection of runners that fail, but never of all of them."""

from collections.abc import Sequence
from dataclasses import dataclass

from wrenloft_core import AgentId


@dataclass(frozen=True, slots=True)
class EjectionRule:
    """When and for how long a runner is ejected.

    :param failures: consecutive failures until ejection.
    :param base_seconds: duration of an ejection, doubled by each consecutive one.
    :param max_seconds: longest ejection.
    :param min_kept_share: smallest fraction of the runners that is never ejected.
    """

    failures: int = 2
    base_seconds: float = 1.0
    max_seconds: float = 30.0
    min_kept_share: float = 0.5


@dataclass(slots=True)
class _History:
    failures: int = 0
    ejections: int = 0
    until: float = 0.0


class Ejections:
    """Failures observed by this node, by runner."""

    def __init__(self, rule: EjectionRule = EjectionRule()) -> None:
        self._rule = rule
        self._histories: dict[AgentId, _History] = {}

    def record_success(self, agent_id: AgentId) -> None:
        """Forget the runner's failures."""
        self._histories.pop(agent_id, None)

    def record_failure(self, agent_id: AgentId, now: float) -> None:
        """Count a failure to connect or to respond."""
        history = self._histories.setdefault(agent_id, _History())
        history.failures += 1
        if history.failures >= self._rule.failures:
            seconds = min(self._rule.max_seconds, self._rule.base_seconds * 2**history.ejections)
            history.until = now + seconds
            history.ejections += 1
            history.failures = 0

    def filter(self, agent_ids: Sequence[AgentId], now: float) -> set[AgentId]:
        """Return the runners that can be used.

        If most runners fail, the fault is more likely in this node's own link. Those whose ejection
        ends first are then kept, so that requests are still sent.
        """
        kept = [each for each in agent_ids if self._ejected_until(each) <= now]
        min_kept = -(-len(agent_ids) * self._rule.min_kept_share // 1)
        ejected = sorted(
            (each for each in agent_ids if self._ejected_until(each) > now), key=self._ejected_until
        )
        while len(kept) < min_kept and ejected:
            kept.append(ejected.pop(0))
        return set(kept)

    def _ejected_until(self, agent_id: AgentId) -> float:
        history = self._histories.get(agent_id)
        return history.until if history else 0.0
