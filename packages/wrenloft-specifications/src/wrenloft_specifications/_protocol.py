"""The form of a specification, and its check."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

MAX_STATES = 400_000

Step = tuple[str, Any]


@dataclass(frozen=True, slots=True)
class Specification:
    """A state machine and what must hold in every state that it can reach.

    :param steps: returns the labelled next states of a state.
    """

    name: str
    initial: NamedTuple
    steps: Callable[[Any], Iterable[Step]]
    invariants: Mapping[str, Callable[[Any], bool]]


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the checker found.

    :param exhaustive: whether every reachable state was looked at.
    :param broken: names of invariants with the labels that lead to a state without them.
    """

    states: int
    exhaustive: bool
    broken: Mapping[str, list[str]]


def find_counterexample(specification: Specification) -> Verdict:
    """Check every invariant in every reachable state."""
    kind: Any = type(specification.initial)

    def expand(state: tuple[Any, ...]) -> list[tuple[str, tuple[Any, ...]]]:
        return [(label, tuple(after)) for label, after in specification.steps(kind(*state))]

    def adapt(holds: Callable[[Any], bool]) -> Callable[[dict[str, Any]], bool]:
        return lambda fields: holds(kind(**fields))

    protocol = Protocol(
        name=specification.name,
        candidate=False,
        fields=kind._fields,
        initial=tuple(specification.initial),
        transitions=expand,
        invariants={name: adapt(holds) for name, holds in specification.invariants.items()},
    )
    result = check_safety(protocol, max_states=MAX_STATES)
    return Verdict(
        states=result["reachable_states"],
        exhaustive=result["exhaustive"],
        broken={
            name: [step["label"] for step in each["counterexample"][1:]]
            for name, each in result["properties"].items()
            if each["holds"] is False
        },
    )
