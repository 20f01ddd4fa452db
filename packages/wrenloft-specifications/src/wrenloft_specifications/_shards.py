"""Shard claim, lease lapse, pause, fencing; the engine ignores fencing numbers.

Bounds: an old and a new owner, one order each, one agent that may be replaced once. Time is the
order of events: the service ends a lease only after the holder's own deadline has passed.
"""

from collections.abc import Iterator
from enum import Enum, auto
from typing import NamedTuple

from wrenloft_specifications._protocol import Specification, Step

OLD_EPOCH = 1
NEW_EPOCH = 2


class ShardSafeguard(Enum):
    """What keeps an old order from taking effect after a newer one."""

    MARGIN = auto()
    CLAIM_WAITS = auto()
    CHECK_BEFORE_ACT = auto()
    AGENT_FENCE = auto()
    SURVEY_FIRST = auto()
    ORDER_NAMES_AGENT = auto()


class Order(Enum):
    """How far an owner's order is."""

    NONE = auto()
    CHECKED = auto()
    ON_ITS_WAY = auto()
    TAKEN = auto()
    REFUSED = auto()


class ShardState(NamedTuple):
    """The whole state.

    :param believes: whether the old owner's own deadline has not passed yet.
    :param leased: whether the service still holds the old owner's lease.
    :param addressed: incarnation of the agent that each order names.
    :param last: epoch of the last order that took effect at the engine.
    :param regressed: whether an old order took effect after a newer one.
    :param stale_picture: whether an old order took effect after the new owner had looked.
    """

    believes: bool = True
    leased: bool = True
    claimed: bool = False
    surveyed: bool = False
    old: Order = Order.NONE
    new: Order = Order.NONE
    addressed: tuple[int, int] = (1, 1)
    incarnation: int = 1
    fence: int = 0
    last: int = 0
    regressed: bool = False
    stale_picture: bool = False


def specify_shards(without: ShardSafeguard | None = None) -> Specification:
    """Return the specification, with one safeguard left out if one is named."""
    kept = set(ShardSafeguard) - {without}

    def steps(state: ShardState) -> Iterator[Step]:
        yield from _pass_time(state, kept)
        yield from _act_as_old(state, kept)
        yield from _act_as_new(state, kept)
        yield from _take_orders(state, kept)
        if state.incarnation == 1:
            yield "agent is replaced", state._replace(incarnation=2, fence=0)

    return Specification(
        name="shards",
        initial=ShardState(),
        steps=steps,
        invariants={
            "no old order after a newer one": lambda state: not state.regressed,
            "what the new owner saw stays true": lambda state: not state.stale_picture,
            "one owner at a time": lambda state: not (state.believes and state.claimed),
        },
    )


def _pass_time(state: ShardState, kept: set[ShardSafeguard]) -> Iterator[Step]:
    if state.believes:
        yield "old owner's deadline passes", state._replace(believes=False)
    if state.leased and (not state.believes or ShardSafeguard.MARGIN not in kept):
        yield "service ends the lease", state._replace(leased=False)


def _act_as_old(state: ShardState, kept: set[ShardSafeguard]) -> Iterator[Step]:
    if state.old is Order.NONE:
        if state.believes or ShardSafeguard.CHECK_BEFORE_ACT not in kept:
            addressed = (state.incarnation, state.addressed[1])
            checked = state._replace(old=Order.CHECKED, addressed=addressed)
            yield "old owner checks its lease", checked
    elif state.old is Order.CHECKED:
        # It may have been paused since the check, for any time.
        yield "old owner sends", state._replace(old=Order.ON_ITS_WAY)


def _act_as_new(state: ShardState, kept: set[ShardSafeguard]) -> Iterator[Step]:
    if not state.claimed:
        if not state.leased or ShardSafeguard.CLAIM_WAITS not in kept:
            yield "new owner claims", state._replace(claimed=True)
        return
    if not state.surveyed:
        surveyed = state._replace(surveyed=True)
        if ShardSafeguard.SURVEY_FIRST in kept:
            surveyed = surveyed._replace(fence=max(state.fence, NEW_EPOCH))
        yield "new owner surveys", surveyed
    elif state.new is Order.NONE:
        addressed = (state.addressed[0], state.incarnation)
        yield "new owner sends", state._replace(new=Order.ON_ITS_WAY, addressed=addressed)
    elif state.new is Order.REFUSED:
        yield "new owner surveys again", state._replace(surveyed=False, new=Order.NONE)


def _take_orders(state: ShardState, kept: set[ShardSafeguard]) -> Iterator[Step]:
    for name, epoch, order, addressed in (
        ("old", OLD_EPOCH, state.old, state.addressed[0]),
        ("new", NEW_EPOCH, state.new, state.addressed[1]),
    ):
        if order is not Order.ON_ITS_WAY:
            continue
        fenced = ShardSafeguard.AGENT_FENCE in kept and epoch < state.fence
        named = ShardSafeguard.ORDER_NAMES_AGENT in kept
        if fenced or (named and addressed != state.incarnation):
            yield f"agent refuses the {name} order", _mark(state, name, Order.REFUSED)
            continue
        taken = state._replace(
            fence=max(state.fence, epoch),
            last=epoch,
            regressed=epoch < state.last,
            stale_picture=state.stale_picture or (state.surveyed and epoch == OLD_EPOCH),
        )
        yield f"agent takes the {name} order", _mark(taken, name, Order.TAKEN)


def _mark(state: ShardState, name: str, order: Order) -> ShardState:
    return state._replace(old=order) if name == "old" else state._replace(new=order)
