"""What became of a request."""

from dataclasses import dataclass
from enum import StrEnum


class Priority(StrEnum):
    """Classes of requests, most urgent first."""

    ALARM = "alarm"
    INTERACTIVE = "interactive"
    BATCH = "batch"

    @property
    def rank(self) -> int:
        """0 for the most urgent class."""
        return _RANKS[self]


_RANKS = {Priority.ALARM: 0, Priority.INTERACTIVE: 1, Priority.BATCH: 2}


@dataclass(frozen=True, slots=True)
class Done:
    """The request ran and its whole answer was passed on.

    :param peer: the agent that ran it.
    """

    peer: str


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request provably never started at a runner.

    :param step: the step that refused it.
    :param peer: who refused it, empty if this node did.
    :param retry_after: seconds after which to come back, ``None`` if it would be in vain.
    :param status: the HTTP status that says so.
    """

    step: str
    reason: str
    peer: str = ""
    retry_after: float | None = None
    status: int = 503


@dataclass(frozen=True, slots=True)
class Unknown:
    """The request may have run, and nobody is left who could tell."""

    step: str
    reason: str
    peer: str = ""


Outcome = Done | NotRun | Unknown
