"""Claim, dispatch, witness, tombstone, and the deaths in between.

Bounds: one key, two attempts from two nodes, one agent for each attempt, one copy of each
request that the network may deliver a second time, any node or agent may die at any moment.
"""

from collections.abc import Iterator
from enum import Enum, auto
from typing import NamedTuple, TypeVar

from wrenloft_specifications._protocol import Specification, Step

T = TypeVar("T")

ATTEMPTS = (0, 1)
NOBODY = -1


class RunSafeguard(Enum):
    """What keeps a request from running twice, and 'not run' true."""

    CLAIM = auto()
    TOMBSTONE = auto()
    ID_TAKEN_ONCE = auto()
    UNKNOWN_STAYS = auto()
    REFUTED_ONLY = auto()


class Node(Enum):
    """How far a node is with its attempt."""

    IDLE = auto()
    GRANTED = auto()
    SENT = auto()
    SAID_NOT_RUN = auto()
    SAID_UNKNOWN = auto()
    SAID_DONE = auto()
    DEAD = auto()


class Agent(Enum):
    """What an agent knows of an attempt."""

    UNSEEN = auto()
    STARTED = auto()
    BURIED = auto()


class RunState(NamedTuple):
    """The whole state.

    :param claimed: the attempt in the record, committed through the service.
    :param unknown: whether the record says that the fate is unknown.
    :param copies: copies of each attempt on the network.
    :param refuted: attempts that an agent has said never started.
    :param runs: how often the request has started anywhere.
    """

    nodes: tuple[Node, Node] = (Node.IDLE, Node.IDLE)
    claimed: int = NOBODY
    unknown: bool = False
    copies: tuple[int, int] = (0, 0)
    agents: tuple[Agent, Agent] = (Agent.UNSEEN, Agent.UNSEEN)
    alive: tuple[bool, bool] = (True, True)
    refuted: frozenset[int] = frozenset()
    runs: int = 0


def specify_runs(without: RunSafeguard | None = None) -> Specification:
    """Return the specification, with one safeguard left out if one is named."""
    kept = set(RunSafeguard) - {without}

    def steps(state: RunState) -> Iterator[Step]:
        if state.runs > 1:
            return
        for attempt in ATTEMPTS:
            yield from _claim(state, attempt, kept)
            yield from _send(state, attempt)
            yield from _deliver(state, attempt, kept)
            yield from _ask(state, attempt, kept)
            yield from _answer(state, attempt)
            yield from _die(state, attempt)

    return Specification(
        name="runs",
        initial=RunState(),
        steps=steps,
        invariants={"at most once": _runs_once, "not run is true": _not_run_is_true},
    )


def _runs_once(state: RunState) -> bool:
    return state.runs <= 1


def _not_run_is_true(state: RunState) -> bool:
    return not any(
        state.nodes[each] is Node.SAID_NOT_RUN and state.agents[each] is Agent.STARTED
        for each in ATTEMPTS
    )


def _claim(state: RunState, attempt: int, kept: set[RunSafeguard]) -> Iterator[Step]:
    if state.nodes[attempt] is not Node.IDLE:
        return
    free = state.claimed == NOBODY or state.claimed in state.refuted
    if RunSafeguard.REFUTED_ONLY not in kept and state.claimed != NOBODY:
        free = state.agents[state.claimed] is not Agent.STARTED
    if RunSafeguard.UNKNOWN_STAYS not in kept and state.unknown:
        free = True
    elif state.unknown:
        return
    if RunSafeguard.CLAIM not in kept:
        free = True
    if free:
        granted = state._replace(claimed=attempt, unknown=False)
        yield f"claim {attempt}", _set_node(granted, attempt, Node.GRANTED)
        # The write took effect but its reply was lost: nothing is sent under it.
        yield f"claim {attempt}, reply lost", _set_node(granted, attempt, Node.DEAD)


def _send(state: RunState, attempt: int) -> Iterator[Step]:
    if state.nodes[attempt] is Node.GRANTED:
        sent = _set_node(state, attempt, Node.SENT)
        yield f"send {attempt}", sent._replace(copies=_set(state.copies, attempt, 2))


def _deliver(state: RunState, attempt: int, kept: set[RunSafeguard]) -> Iterator[Step]:
    if not state.copies[attempt]:
        return
    taken = state._replace(copies=_set(state.copies, attempt, state.copies[attempt] - 1))
    yield f"lose a copy of {attempt}", taken
    if not state.alive[attempt]:
        return
    unseen = state.agents[attempt] is Agent.UNSEEN
    again = RunSafeguard.ID_TAKEN_ONCE not in kept and state.agents[attempt] is Agent.STARTED
    if unseen or again:
        started = taken._replace(agents=_set(state.agents, attempt, Agent.STARTED))
        yield f"start {attempt}", started._replace(runs=state.runs + 1)
    elif state.agents[attempt] is Agent.BURIED and state.nodes[attempt] is Node.SENT:
        yield f"refuse {attempt}", _set_node(taken, attempt, Node.SAID_NOT_RUN)
    else:
        yield f"refuse a copy of {attempt}", taken


def _ask(state: RunState, attempt: int, kept: set[RunSafeguard]) -> Iterator[Step]:
    """Somebody asks the agent of an attempt that is claimed what became of it."""
    if state.claimed != attempt:
        return
    if not state.alive[attempt]:
        yield f"agent of {attempt} is gone", state._replace(unknown=True)
        return
    if state.agents[attempt] is Agent.UNSEEN:
        after = state._replace(refuted=state.refuted | {attempt})
        if RunSafeguard.TOMBSTONE in kept:
            after = after._replace(agents=_set(state.agents, attempt, Agent.BURIED))
        yield f"bury {attempt}", after


def _answer(state: RunState, attempt: int) -> Iterator[Step]:
    if state.nodes[attempt] is not Node.SENT:
        return
    if state.alive[attempt] and state.agents[attempt] is Agent.STARTED:
        yield f"answer {attempt}", _set_node(state, attempt, Node.SAID_DONE)
    if attempt in state.refuted:
        yield f"say {attempt} not run", _set_node(state, attempt, Node.SAID_NOT_RUN)
    if not state.alive[attempt]:
        yield f"say {attempt} unknown", _set_node(state, attempt, Node.SAID_UNKNOWN)


def _die(state: RunState, attempt: int) -> Iterator[Step]:
    if state.nodes[attempt] in (Node.GRANTED, Node.SENT):
        yield f"node of {attempt} dies", _set_node(state, attempt, Node.DEAD)
    if state.alive[attempt]:
        yield f"agent of {attempt} dies", state._replace(alive=_set(state.alive, attempt, False))


def _set_node(state: RunState, attempt: int, node: Node) -> RunState:
    return state._replace(nodes=_set(state.nodes, attempt, node))


def _set(pair: tuple[T, T], index: int, value: T) -> tuple[T, T]:
    return (value, pair[1]) if index == 0 else (pair[0], value)
