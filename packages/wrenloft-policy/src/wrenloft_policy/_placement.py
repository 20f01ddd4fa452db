"""Placement of models on hosts."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from blake3 import blake3

from wrenloft_core import AgentId, ModelName, PlaceName, Selector


@dataclass(frozen=True, slots=True)
class Host:
    """A host as known to the placement.

    :param serves: whether it serves any version of the model now.
    :param stored_share: share of the wanted version's chunks that it stores, 0 to 1.
    :param other_models: number of other models that it serves.
    """

    agent_id: AgentId
    place: PlaceName
    labels: Mapping[str, str]
    leaving: bool = False
    serves: bool = False
    stored_share: float = 0.0
    other_models: int = 0


@dataclass(frozen=True, slots=True)
class Placement:
    """A host and the reason for choosing it."""

    agent_id: AgentId
    reason: str


def matches(selector: Selector, labels: Mapping[str, str]) -> bool:
    """Return whether labels satisfy a selector; an empty selector matches everything."""
    return all(labels.get(name) in values for name, values in selector.items())


def choose_hosts(
    model: ModelName, selector: Selector, replicas: int, hosts: Sequence[Host]
) -> list[Placement]:
    """Choose the hosts of a model, one at a time.

    Each next host is in the place with the fewest so far. Within a place, hosts that serve the
    model or store most of it come first, so that few placements move when hosts join or leave.
    """
    allowed = [each for each in hosts if not each.leaving and matches(selector, each.labels)]
    remaining = {each.agent_id: each for each in allowed}
    by_place: Counter[PlaceName] = Counter()
    placed: list[Placement] = []
    while remaining and len(placed) < replicas:
        best = min(remaining.values(), key=lambda each: _rank(model, each, by_place))
        del remaining[best.agent_id]
        placed.append(Placement(best.agent_id, _explain(best, by_place, len(allowed))))
        by_place[best.place] += 1
    return placed


def _rank(
    model: ModelName, host: Host, by_place: Counter[PlaceName]
) -> tuple[int, bool, float, int, bytes]:
    tie = blake3(f"{model}/{host.agent_id}".encode()).digest(8)
    return by_place[host.place], not host.serves, -host.stored_share, host.other_models, tie


def _explain(host: Host, by_place: Counter[PlaceName], allowed: int) -> str:
    kept = "serves it already" if host.serves else f"holds {host.stored_share:.0%}"
    return f"{kept}; {by_place[host.place]} before it in {host.place}; {allowed} hosts allowed"
