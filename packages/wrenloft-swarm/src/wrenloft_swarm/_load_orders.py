"""Orders to load staged chunks, and the proof that the engine took them intact."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

from prometheus_client import Counter, Histogram

from wrenloft_core import PlatformUnavailableError, note, read_clock, warn
from wrenloft_policy import LayerSpan
from wrenloft_swarm._chunk_store import VersionChunks
from wrenloft_swarm._ports import Engine, OrderResult
from wrenloft_swarm._server import LatestState
from wrenloft_swarm._staging import StagingArea

_LOG = logging.getLogger(__name__)

ORDER_POLL_SECONDS = 0.05
"""Pause between two orders to an engine that is still unloading, or didn't answer."""

REFRESH_SECONDS = 1.2
"""Age at which a staged chunk is compared again while orders are repeated."""

MAX_ORDER_AGE_SECONDS = 1.8
"""Age of the oldest comparison up to which an order is sent. The call to the engine ends a second
later at most, before ``CORRUPTION_GRACE_SECONDS``."""

MAX_PASSES = 2
"""Passes of comparisons for one order. If the oldest is too old after them, calls are so slow that
a pass takes as long; the order is sent, and the chunks are compared once more after it."""

REPORT_LAG_SECONDS = 0.3
"""Time after an order until the engine's report certainly shows it."""

LOADS = Counter(
    "wrenloft_agent_loads",
    "Accepted orders to load, by when the chunks were proven intact (before, after, never)",
    ["proven"],
)
COMPARISON_AGE = Histogram(
    "wrenloft_agent_comparison_age_seconds",
    "Age of the oldest comparison of a chunk when the engine accepted an order to load it",
    buckets=(0.25, 0.5, 1.0, 1.5, 2.0, 3.0, 5.0),
)


@dataclass(slots=True)
class LoadAttempt:
    """An order to load, which is repeated until the engine has taken or rejected it.

    :ivar unanswered_since: time of the first order without an answer, which the engine may carry
        out at any later time.
    """

    version_chunks: VersionChunks
    span: LayerSpan
    wanted: range
    orders: int = 0
    sent_at: float = 0.0
    unanswered_since: float | None = None
    result: OrderResult = OrderResult.BUSY

    @property
    def taken_since(self) -> float:
        """Earliest time at which the engine can have taken the chunks."""
        return self.sent_at if self.unanswered_since is None else self.unanswered_since

    @property
    def may_be_taken(self) -> bool:
        """Whether the engine has taken the chunks, or is busy perhaps because it has."""
        if self.result is OrderResult.BUSY:
            return self.unanswered_since is not None
        return self.result is OrderResult.ACCEPTED


class LoadOrders:
    """Orders one engine to load what is staged.

    The engine takes the staged chunks at the moment it accepts an order, which may come long after
    their comparison: while it is busy, or if a call or this process is slow. Comparisons are
    renewed before each order, and chunks that were compared too long before the answer are
    compared again after it. If one is corrupt then, the engine unloads them, and entry nodes send
    it no requests meanwhile.

    :param is_unloading: returns whether the engine is about to drop its version.
    """

    def __init__(
        self,
        engine: Engine,
        latest: LatestState,
        staging: StagingArea,
        is_unloading: Callable[[], bool],
    ) -> None:
        self._engine = engine
        self._latest = latest
        self._staging = staging
        self._is_unloading = is_unloading

    async def load(
        self,
        version_chunks: VersionChunks,
        span: LayerSpan,
        wanted: range,
        is_current: Callable[[], bool],
    ) -> OrderResult:
        """Order the engine to load layers, again and again while it is busy with an unload.

        :param wanted: numbers of the chunks of these layers.
        :param is_current: returns whether these layers are still the ones to load next. An engine
            may be busy for seconds, in which a newer version can replace this one.
        :returns: ``ACCEPTED`` if the engine took intact chunks.
        :raises PlatformUnavailableError: if the engine didn't answer before the first order.
        """
        attempt = LoadAttempt(version_chunks, span, wanted)
        # Without the lock, a chunk of the next version could replace a compared one.
        async with self._staging.lock:
            self._staging.forget()  # an engine that has restarted may have lost what was staged
            try:
                await self._order_until_answered(attempt, is_current)
                self._log(attempt)
                if not attempt.may_be_taken:
                    return attempt.result
                return await self._settle(attempt)
            finally:
                self._latest.set_withheld(False)

    def _log(self, attempt: LoadAttempt) -> None:
        age = self._staging.measure_age(attempt.wanted)
        if attempt.result is OrderResult.ACCEPTED:
            COMPARISON_AGE.observe(age)
        note(
            _LOG,
            "engine ordered",
            version=attempt.version_chunks.name.number,
            first_layer=attempt.span.start,
            stop_layer=attempt.span.stop,
            result=attempt.result.value,
            orders=attempt.orders,
            oldest_comparison_ms=round(1000 * age),
            unanswered=attempt.unanswered_since is not None,
        )

    async def _order_until_answered(
        self, attempt: LoadAttempt, is_current: Callable[[], bool]
    ) -> None:
        while True:
            try:
                await self._order(attempt)
            except PlatformUnavailableError:
                if attempt.unanswered_since is None:
                    raise
            else:
                if attempt.result is not OrderResult.BUSY or not self._is_unloading():
                    return
                if attempt.unanswered_since is None and not is_current():
                    return
            await asyncio.sleep(ORDER_POLL_SECONDS)

    async def _order(self, attempt: LoadAttempt) -> None:
        await self._refresh(attempt)
        state = self._latest.state
        if state is None:
            raise PlatformUnavailableError("the engine sends no reports", step="order")
        attempt.sent_at = read_clock()
        attempt.orders += 1
        try:
            attempt.result = await self._engine.order(
                attempt.version_chunks.name, attempt.span, state.sequence
            )
        except PlatformUnavailableError as error:
            if attempt.unanswered_since is None:
                attempt.unanswered_since = attempt.sent_at
                note(_LOG, "load order not answered", reason=str(error))
            raise

    async def _refresh(self, attempt: LoadAttempt) -> None:
        for _ in range(MAX_PASSES):
            await self._staging.refresh(attempt.version_chunks, attempt.wanted, REFRESH_SECONDS)
            if self._staging.measure_age(attempt.wanted) <= MAX_ORDER_AGE_SECONDS:
                return
        self._latest.set_withheld(True)

    async def _settle(self, attempt: LoadAttempt) -> OrderResult:
        """Prove that the engine took intact chunks, or let it unload them."""
        number = attempt.version_chunks.name.number
        if self._staging.is_proven(attempt.wanted, attempt.taken_since):
            LOADS.labels("before").inc()
            return OrderResult.ACCEPTED
        self._latest.set_withheld(True)
        if await self._prove(attempt):
            LOADS.labels("after").inc()
            note(_LOG, "chunks intact after the order", version=number)
            return OrderResult.ACCEPTED
        LOADS.labels("never").inc()
        warn(_LOG, "engine may have taken corrupt chunks", version=number)
        await self._discard(attempt)
        return OrderResult.REFUSED

    async def _prove(self, attempt: LoadAttempt) -> bool:
        while True:
            try:
                return await self._staging.prove(
                    attempt.version_chunks, attempt.wanted, attempt.taken_since
                )
            except PlatformUnavailableError:
                await asyncio.sleep(ORDER_POLL_SECONDS)

    async def _discard(self, attempt: LoadAttempt) -> None:
        """Order the engine to unload a version once it has loaded it."""
        name = attempt.version_chunks.name
        shown_at = read_clock() + REPORT_LAG_SECONDS
        while True:
            await asyncio.sleep(ORDER_POLL_SECONDS)
            state = self._latest.state
            if state is None or state.loading or self._latest.received_at < shown_at:
                continue
            if state.span is None or state.version != name.number:
                return
            try:
                result = await self._engine.unload(name, state.sequence)
            except PlatformUnavailableError:
                continue
            note(_LOG, "corrupt version unloaded", version=name.number, result=result.value)
            if result is OrderResult.REFUSED:
                return
            shown_at = read_clock() + REPORT_LAG_SECONDS
