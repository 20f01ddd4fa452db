"""Priorities and outcomes of requests."""

from dataclasses import dataclass
from enum import StrEnum


class Priority(StrEnum):
    """Classes of requests, most urgent first."""

    ALARM = "alarm"
    INTERACTIVE = "interactive"
    BATCH = "batch"

    @property
    def rank(self) -> int:
        """Rank of the class, 0 for the most urgent."""
        return _RANKS[self]


_RANKS = {Priority.ALARM: 0, Priority.INTERACTIVE: 1, Priority.BATCH: 2}


@dataclass(frozen=True, slots=True)
class Done:
    """The request ran and its answer was sent completely to the caller.

    :param peer: the agent that ran it.
    """

    peer: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request provably never started at a runner.

    :param step: the step that refused it.
    :param peer: id or address of the process that refused it, empty if this node did.
    :param retry_after: seconds after which to retry, ``None`` if a retry can't succeed.
    :param status: HTTP status of the answer to the caller.
    """

    step: str
    reason: str
    peer: str = ""
    retry_after: float | None = None
    status: int = 503


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run, and there is no way left to find out."""

    step: str
    reason: str
    peer: str = ""


Outcome = Done | NotRun | Unknown
