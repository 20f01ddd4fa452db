"""The witness: which requests started here, and what became of them."""

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

from wrenloft_core import RequestId


class RunState(Enum):
    """How far a request came."""

    QUEUED = "queued"
    STARTED = "started"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not-run"


ENDED = frozenset({RunState.DONE, RunState.UNKNOWN, RunState.NOT_RUN})


@dataclass(slots=True)
class Run:
    """One request at this agent, with its answer as far as it has come.

    :param body: every byte of the answer so far, kept so that it can be resumed or asked again.
    """

    request_id: RequestId
    idempotent: bool
    state: RunState = RunState.QUEUED
    status: int = 0
    content_type: str = ""
    version: str = ""
    reason: str = ""
    body: bytearray = field(default_factory=bytearray)
    headed: asyncio.Event = field(default_factory=asyncio.Event)
    grown: asyncio.Event = field(default_factory=asyncio.Event)
    readers: int = 0
    ended_at: float = 0.0
    task: asyncio.Task[None] | None = None

    @property
    def ended(self) -> bool:
        """Whether nothing more will come."""
        return self.state in ENDED

    def head(self, status: int, content_type: str) -> None:
        """Note the answer's status and type."""
        self.status = status
        self.content_type = content_type
        self.headed.set()

    def add(self, piece: bytes) -> None:
        """Append to the answer."""
        self.body += piece
        self._notify()

    def end(self, state: RunState, reason: str = "") -> None:
        """Note the end; a later end does not change an earlier one."""
        if self.ended:
            return
        self.state = state
        self.reason = reason
        self.ended_at = asyncio.get_running_loop().time()
        self.headed.set()
        self._notify()

    def _notify(self) -> None:
        self.grown.set()
        self.grown = asyncio.Event()


class Runs:
    """Every request seen within the last ``keep_seconds``.

    :param limit: answers remembered at most; only ended ones are forgotten.
    """

    def __init__(self, keep_seconds: float, limit: int = 20_000) -> None:
        self._keep_seconds = keep_seconds
        self._limit = limit
        self._runs: OrderedDict[RequestId, Run] = OrderedDict()
        self._spent: set[RequestId] = set()

    def __len__(self) -> int:
        return len(self._runs)

    def get(self, request_id: RequestId) -> Run | None:
        """Return a request's run."""
        return self._runs.get(request_id)

    def open(self, request_id: RequestId, *, idempotent: bool) -> Run | None:
        """Register a request before it may start.

        The id is taken here once and for all. A copy that was delayed on the network, or that a
        paused node sends late, finds its id taken by the first run or by a tombstone and is
        refused; so no request runs twice here, and 'not run' stays true once it was said.

        :returns: ``None`` if the id was seen before.
        """
        self._forget()
        if request_id in self._runs or request_id in self._spent:
            return None
        run = self._runs[request_id] = Run(request_id, idempotent)
        return run

    def is_spent(self, request_id: RequestId) -> bool:
        """Tell whether a request ran here so long ago that its answer is gone."""
        return request_id in self._spent

    def bury(self, request_id: RequestId) -> Run:
        """Make sure that a request that has not started never will, and return its run."""
        if request_id in self._spent:
            return Run(request_id, idempotent=False, state=RunState.UNKNOWN)
        run = self._runs.get(request_id)
        if run is None:
            run = self._runs[request_id] = Run(request_id, idempotent=False)
        if run.state is RunState.QUEUED:
            run.end(RunState.NOT_RUN, "tombstone")
            if run.task is not None:
                run.task.cancel()
        return run

    def active(self) -> list[Run]:
        """Return the runs that have not ended."""
        return [each for each in self._runs.values() if not each.ended]

    def _forget(self) -> None:
        """Forget the oldest ended runs; of those that may not be repeated, keep the id.

        Were the id forgotten, a node that asks late would be told that the request never
        started, and would send it again.
        """
        now = asyncio.get_running_loop().time()
        while self._runs:
            run = next(iter(self._runs.values()))
            old = run.ended and run.ended_at + self._keep_seconds < now
            if not run.ended or not (old or len(self._runs) >= self._limit):
                return
            del self._runs[run.request_id]
            if not run.idempotent and run.state is not RunState.NOT_RUN:
                self._spent.add(run.request_id)
