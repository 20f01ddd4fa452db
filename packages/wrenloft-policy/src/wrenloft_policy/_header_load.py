"""Load and pace that an endpoint states in the head of an answer."""

from dataclasses import dataclass

MAX_LOAD_COUNT = 100_000
"""Largest number of requests or slots that counts as a load; hosts have a few hundred."""

MAX_PACE = 100.0
"""Largest pace that counts as one: work that takes 100 times as long is late at any endpoint."""


@dataclass(frozen=True, slots=True)
class HeaderLoad:
    """The load in the head of an answer.

    :param running: requests that it processes.
    :param waiting: requests that wait there.
    :param slots: requests that it processes concurrently.
    :param pace: how many times longer than usual work takes on its host, 1 if not stated.
    :param states_pace: whether the pace was stated.
    """

    running: int
    waiting: int
    slots: int
    pace: float = 1.0
    states_pace: bool = False


@dataclass(frozen=True, slots=True)
class MalformedLoad:
    """A load header that is ignored.

    :param text: its beginning.
    """

    text: str


def build_header_load(counts: tuple[int, int, int], pace: float | None) -> HeaderLoad | None:
    """Return the load that an endpoint states, ``None`` if a figure is out of bounds.

    :param counts: running requests, waiting requests and slots.
    :param pace: ``None`` if not stated.
    """
    if not all(0 <= each <= MAX_LOAD_COUNT for each in counts):
        return None
    if pace is None:
        return HeaderLoad(*counts)
    return HeaderLoad(*counts, pace, True) if 0.0 <= pace <= MAX_PACE else None
