"""The attempts of one request that are open at the same time."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from enum import Enum
from functools import partial
from math import inf
from types import TracebackType
from typing import Any, cast

from wrenloft_core import AgentId, read_clock
from wrenloft_routing._answers import AnswerShortageError
from wrenloft_routing._endpoints import EndpointState
from wrenloft_routing._events import Event
from wrenloft_routing._exchange import Lost, NotSent, Rejected, Reply, ReplyBrokenError
from wrenloft_routing._failure_detector import RunningRequest
from wrenloft_routing._gate import Placed, Refused
from wrenloft_routing._loads import InProgress
from wrenloft_routing._streams import EventReader, StreamEnd

HEDGE_REVIEW_SECONDS = 0.25
"""Interval at which a hedge of a silent attempt is reconsidered: retries become available again,
and endpoints that were full get room."""


class Phase(Enum):
    """What an attempt waits for."""

    HEAD = "head"
    FIRST_EVENT = "first event"
    GAP = "gap"
    BODY = "body"
    FAILURE_BODY = "failure body"


_EVENT_PHASES = frozenset({Phase.FIRST_EVENT, Phase.GAP})


@dataclass(frozen=True, slots=True)
class WholeAnswer:
    """A complete answer that is no stream.

    :param body: ``None`` if it was forwarded as it arrived.
    """

    body: bytes | None


@dataclass(frozen=True, slots=True)
class BrokenAnswer:
    """An answer that is no stream and can't be completed.

    :param reason: may be told to the caller.
    :param detail: for logs.
    """

    reason: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class AnswerTooLarge:
    """An answer for which there is no memory, and that can't be forwarded as it arrives."""

    reason: str


Result = (
    Reply
    | NotSent
    | Rejected
    | Lost
    | list[Event]
    | StreamEnd
    | WholeAnswer
    | BrokenAnswer
    | AnswerTooLarge
)
"""What one step of an attempt gave."""


@dataclass(slots=True, eq=False)
class AttemptProgress:
    """The state of one attempt.

    :param running: as known to the failure detector.
    :param begin_by: when it is cancelled unless it has begun.
    :param limit_known: whether the endpoint's rate limit was known when it was sent.
    :param charged: whether the retry budget was charged for it.
    :param patience: seconds of silence after which it is hedged, infinite if it may not be.
    :param heard_at: when part of the answer last arrived; the start of the attempt before that.
    :param cleanup: ends the work at the endpoint and releases what is held for it.
    :param load: what it adds to the endpoint's load.
    :param phase: what it waits for.
    :param reply: the head of the answer, once it has arrived.
    :param events: reads the answer if it is a stream.
    :param wait: waits for the next part of the answer. While it waits for events, it may be
        cancelled and called again.
    :param step: the task that waits for the next part, if it has one.
    :param cancelled: set if this node ended it before it had begun.
    :param silent_since: set while it is silent.
    :param reviewed_at: when a hedge was last considered.
    :param refusal: why none was made, as last logged.
    """

    placed: Placed
    running: RunningRequest
    begin_by: float
    limit_known: bool
    charged: bool
    patience: float
    heard_at: float
    cleanup: AsyncExitStack
    load: InProgress
    phase: Phase = Phase.HEAD
    reply: Reply | None = None
    events: EventReader | None = None
    wait: Callable[[], Awaitable[Result]] | None = None
    step: asyncio.Future[Result] | None = None
    cancelled: Lost | None = None
    silent_since: float | None = None
    reviewed_at: float = -inf
    refusal: str = ""

    @property
    def state(self) -> EndpointState:
        """The endpoint that it was sent to."""
        return self.placed.state

    @property
    def peer(self) -> AgentId:
        """Id of that endpoint."""
        return self.placed.state.endpoint.agent_id

    @property
    def next_review_at(self) -> float:
        """When a hedge is next considered, unless part of the answer arrives."""
        return max(self.heard_at + self.patience, self.reviewed_at + HEDGE_REVIEW_SECONDS)

    def cancel(self, reason: Lost) -> None:
        """End an attempt whose answer has not begun."""
        self.cancelled = reason
        if self.step is not None:
            self.step.cancel()

    def begin_step(self) -> asyncio.Future[Result]:
        """Return the task that waits for the next part of the answer."""
        if self.step is None:
            assert self.wait is not None
            self.step = asyncio.ensure_future(self.wait())
            if self.cancelled is not None:
                self.step.cancel()
        return self.step

    def take_result(self) -> Result:
        """Return what a finished step gave."""
        assert self.step is not None
        step, self.step = self.step, None
        if step.cancelled() and self.cancelled is not None:
            return self.cancelled
        result = step.result()
        if self.phase is Phase.HEAD and not isinstance(result, NotSent | Rejected | Lost):
            self.reply = cast(Reply, result)
            self.cleanup.push_async_callback(partial(self.reply.close, reusable=False))
        return result

    async def close(self) -> None:
        """End the work at the endpoint."""
        step, self.step = self.step, None
        try:
            if step is not None:
                step.cancel()
                await asyncio.wait([step])
                await self._discard(step)
        finally:
            if self.events is not None:
                self.events.release()
            await self.cleanup.aclose()

    async def _discard(self, step: asyncio.Future[Result]) -> None:
        """Close an answer that arrived as the attempt was ended."""
        if step.cancelled() or step.exception() is not None or self.phase is not Phase.HEAD:
            return
        result = step.result()
        if not isinstance(result, NotSent | Rejected | Lost):
            await cast(Reply, result).close(reusable=False)


@dataclass(slots=True)
class OpenAttempts:
    """The open attempts of one request, the latest last.

    :param placement: places a hedge of silent attempts, or a retry while others are open.
    :param winner: the attempt whose answer the caller gets.
    """

    attempts: list[AttemptProgress] = field(default_factory=list)
    placement: asyncio.Task[Placed | Refused] | None = None
    winner: AttemptProgress | None = None

    def __bool__(self) -> bool:
        return bool(self.attempts) or self.placement is not None

    @property
    def is_single(self) -> bool:
        """Whether one attempt is open that nothing competes with."""
        return len(self.attempts) == 1 and self.placement is None and self.attempts[0].step is None

    @property
    def all_silent(self) -> bool:
        """Whether none may be expected to answer soon."""
        return self.placement is None and all(
            each.silent_since is not None or each.phase is Phase.FAILURE_BODY
            for each in self.attempts
        )

    def begin_placement(self, place: Callable[[], Coroutine[Any, Any, Placed | Refused]]) -> None:
        """Place a further attempt in the background, unless one is being placed."""
        if self.placement is None:
            self.placement = asyncio.create_task(place())

    def take_placement(self) -> Placed | Refused | None:
        """Return where a further attempt was placed, if that is decided."""
        if self.placement is None or not self.placement.done():
            return None
        placement, self.placement = self.placement, None
        return placement.result()

    async def wait(self, seconds: float) -> None:
        """Wait until a step or the placement is finished, at most for some time."""
        tasks: list[asyncio.Future[Any]] = [each.begin_step() for each in self.attempts]
        if self.placement is not None:
            tasks.append(self.placement)
        await asyncio.wait(tasks, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)

    def find_finished(self) -> AttemptProgress | None:
        """Return an attempt whose step is finished."""
        for each in self.attempts:
            if each.step is not None and each.step.done():
                return each
        return None

    def claim(self, attempt: AttemptProgress) -> bool:
        """Return whether the caller gets this attempt's answer, and no other's."""
        if self.winner is None:
            self.winner = attempt
        return self.winner is attempt

    async def drop(self, attempt: AttemptProgress) -> None:
        """Close one attempt; another one may then give the answer, or go on with it."""
        if attempt in self.attempts:
            self.attempts.remove(attempt)
        if self.winner is attempt:
            self.winner = None
        await attempt.close()

    async def cancel_placement(self) -> None:
        """Place no further attempt."""
        placement, self.placement = self.placement, None
        if placement is not None:
            placement.cancel()
            await asyncio.wait([placement])
            if not placement.cancelled():
                placement.exception()  # retrieved, as nobody waits for it any more

    async def __aenter__(self) -> "OpenAttempts":
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        async with AsyncExitStack() as stack:
            for each in self.attempts:
                stack.push_async_callback(each.close)
            stack.push_async_callback(self.cancel_placement)


async def read_whole(relay: Callable[[], Awaitable[bytes | None]]) -> Result:
    """Read or forward an answer that is no stream."""
    try:
        return WholeAnswer(await relay())
    except AnswerShortageError as error:
        return AnswerTooLarge(str(error))
    except ReplyBrokenError as error:
        return BrokenAnswer(str(error), error.detail)


async def wait_alone(attempt: AttemptProgress, seconds: float) -> Result | None:
    """Wait for the next part of the only open attempt; ``None`` if it does not come in time.

    Events are read without a task of their own, which costs less where nothing is silent; their
    reader keeps what it has when it is cancelled. All else would be lost.
    """
    if attempt.phase not in _EVENT_PHASES or attempt.step is not None:
        await asyncio.wait([attempt.begin_step()], timeout=seconds)
        return attempt.take_result() if attempt.begin_step().done() else None
    assert attempt.wait is not None
    try:
        async with asyncio.timeout(seconds) as timeout:
            return await attempt.wait()
    except TimeoutError:
        if not timeout.expired():
            raise
        return None


def measure_silence(attempt: AttemptProgress) -> float:
    """Return the seconds since part of an attempt's answer last arrived."""
    return read_clock() - attempt.heard_at
