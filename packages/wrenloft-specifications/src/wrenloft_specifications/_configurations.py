"""Accepting a change, lost replies, spreading, restarts.

Bounds: two operators who race from the same revision, two processes, one message of each
process on the network, any reply may be lost, each process may restart once.
"""

from collections.abc import Iterator
from enum import Enum, auto
from typing import NamedTuple, TypeVar

from wrenloft_specifications._protocol import Specification, Step

T = TypeVar("T")

BASE = 1
OPERATORS = (0, 1)
PROCESSES = (0, 1)


class ConfigurationSafeguard(Enum):
    """What keeps an accepted change in force."""

    COMPARE_AND_SWAP = auto()
    OPERATION_ID = auto()
    ONLY_FORWARD = auto()
    NOT_READY_WITHOUT = auto()


class Told(Enum):
    """What an operator was told."""

    NOTHING = auto()
    UNSURE = auto()
    ACCEPTED = auto()
    CONFLICT = auto()


class ConfigurationState(NamedTuple):
    """The whole state.

    :param history: the operator whose change each revision after the base holds.
    :param read: whether an operator's node has read the head at the base revision.
    :param in_force: revision of each process, 0 for one that has none.
    :param messages: revision that each process last sent to the other, 0 for none.
    :param went_back: whether a process ever applied a lower revision than before.
    """

    history: tuple[int, ...] = ()
    read: tuple[bool, bool] = (False, False)
    told: tuple[Told, Told] = (Told.NOTHING, Told.NOTHING)
    in_force: tuple[int, int] = (BASE, BASE)
    messages: tuple[int, int] = (0, 0)
    restarted: tuple[bool, bool] = (False, False)
    went_back: bool = False
    lost_change: bool = False
    answered_without: bool = False


def specify_configurations(without: ConfigurationSafeguard | None = None) -> Specification:
    """Return the specification, with one safeguard left out if one is named."""
    kept = set(ConfigurationSafeguard) - {without}

    def steps(state: ConfigurationState) -> Iterator[Step]:
        for operator in OPERATORS:
            yield from _accept(state, operator, kept)
        for process in PROCESSES:
            yield from _spread(state, process, kept)
            yield from _restart(state, process, kept)

    return Specification(
        name="configurations",
        initial=ConfigurationState(),
        steps=steps,
        invariants={
            "accepted stays accepted": lambda state: not state.lost_change,
            "nobody goes back": lambda state: not state.went_back,
            "operators are told the truth": _tells_truth,
            "nobody answers without a configuration": lambda state: not state.answered_without,
        },
    )


def _tells_truth(state: ConfigurationState) -> bool:
    return all(
        (state.told[each] is not Told.ACCEPTED or each in state.history or state.lost_change)
        and (state.told[each] is not Told.CONFLICT or each not in state.history)
        for each in OPERATORS
    )


def _accept(
    state: ConfigurationState, operator: int, kept: set[ConfigurationSafeguard]
) -> Iterator[Step]:
    told = state.told[operator]
    if not state.read[operator]:
        if not state.history:
            read = state._replace(read=_set(state.read, operator, True))
            yield f"operator {operator} reads the head", read
        return
    if told is Told.NOTHING:
        yield from _move_head(state, operator, kept)
    elif told is Told.UNSURE:
        yield from _settle(state, operator, kept)


def _move_head(
    state: ConfigurationState, operator: int, kept: set[ConfigurationSafeguard]
) -> Iterator[Step]:
    if not state.history:
        written = state._replace(history=(operator,))
    elif ConfigurationSafeguard.COMPARE_AND_SWAP in kept:
        conflict = state._replace(told=_set(state.told, operator, Told.CONFLICT))
        yield f"operator {operator} loses the race", conflict
        return
    else:
        overwritten = Told.ACCEPTED in state.told
        written = state._replace(history=(operator,), lost_change=overwritten)
    accepted = written._replace(told=_set(state.told, operator, Told.ACCEPTED))
    yield f"change of {operator} is accepted", accepted
    unsure = _set(state.told, operator, Told.UNSURE)
    yield f"change of {operator} is accepted, reply lost", written._replace(told=unsure)
    yield f"change of {operator} is lost on its way", state._replace(told=unsure)


def _settle(
    state: ConfigurationState, operator: int, kept: set[ConfigurationSafeguard]
) -> Iterator[Step]:
    """Read back after a lost reply."""
    if not state.history:
        again = state._replace(told=_set(state.told, operator, Told.NOTHING))
        yield f"operator {operator} tries again", again
        return
    own = state.history[-1] == operator
    if ConfigurationSafeguard.OPERATION_ID not in kept:
        own = False  # only that the head has moved can be seen
    verdict = Told.ACCEPTED if own else Told.CONFLICT
    yield f"operator {operator} reads back", state._replace(
        told=_set(state.told, operator, verdict)
    )


def _spread(
    state: ConfigurationState, process: int, kept: set[ConfigurationSafeguard]
) -> Iterator[Step]:
    head = BASE + len(state.history)
    yield f"process {process} polls", _apply(state, process, head, kept)
    other = 1 - process
    if state.in_force[other]:
        sent = _set(state.messages, other, state.in_force[other])
        yield f"process {other} sends", state._replace(messages=sent)
    if state.messages[other]:
        yield f"process {process} hears", _apply(state, process, state.messages[other], kept)


def _apply(
    state: ConfigurationState,
    process: int,
    revision: int,
    kept: set[ConfigurationSafeguard],
) -> ConfigurationState:
    present = state.in_force[process]
    if ConfigurationSafeguard.ONLY_FORWARD in kept and revision <= present:
        return state
    return state._replace(
        in_force=_set(state.in_force, process, revision),
        went_back=state.went_back or revision < present,
    )


def _restart(
    state: ConfigurationState, process: int, kept: set[ConfigurationSafeguard]
) -> Iterator[Step]:
    if not state.restarted[process]:
        yield f"process {process} restarts", state._replace(
            in_force=_set(state.in_force, process, 0),
            restarted=_set(state.restarted, process, True),
        )
    if not state.in_force[process] and ConfigurationSafeguard.NOT_READY_WITHOUT not in kept:
        yield f"process {process} answers", state._replace(answered_without=True)


def _set(pair: tuple[T, T], index: int, value: T) -> tuple[T, T]:
    return (value, pair[1]) if index == 0 else (pair[0], value)
