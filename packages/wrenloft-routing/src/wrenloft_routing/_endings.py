"""Final answers of requests that no endpoint answered."""

from random import Random

from wrenloft_core import NotRun, Outcome, Unknown
from wrenloft_policy import pick_limited_retry_after, pick_rest_retry_after, pick_retry_after
from wrenloft_routing._exchange import AnswerSink, Headers
from wrenloft_routing._gate import Refused
from wrenloft_routing._incomplete_answers import IncompleteReason, record_incomplete
from wrenloft_routing._request_log import RATE_LIMITED, RESTED
from wrenloft_routing._request_progress import RequestProgress

_CONNECT_RETRY_SECONDS = 0.03
"""Retry-After seconds of a request whose connection or rejection concerns a single endpoint."""


def give_up(progress: RequestProgress, step: str, refused: Refused, random: Random) -> Outcome:
    """End a request without an answer; it is "not run" only if that is certain."""
    if progress.may_have_run or progress.stream.begun:
        return Unknown(step, refused.reason, progress.peer)
    if refused.turn is not None:
        RATE_LIMITED.inc()
    if refused.rest is not None:
        RESTED.inc()
    retry_after = _pick_retry_after(progress, refused, random)
    return NotRun(step, refused.reason, progress.peer, retry_after=retry_after)


def _pick_retry_after(progress: RequestProgress, refused: Refused, random: Random) -> float | None:
    left = max(0.0, progress.left)
    turn = refused.turn
    if refused.final:
        return None
    if turn is not None:
        return pick_limited_retry_after(turn.wait, turn.rate, turn.waiting, left, random)
    if refused.rest is not None:
        return pick_rest_retry_after(refused.rest, progress.rank, random)
    if progress.attempts or progress.not_sent:
        return _CONNECT_RETRY_SECONDS
    return pick_retry_after(left, refused.candidates, random)


async def send_refusal(outcome: NotRun, sink: AnswerSink) -> None:
    """Send a caller the refusal of a request that has not run, and when to retry."""
    headers: Headers = (("Content-Type", "text/plain"),)
    if outcome.retry_after is not None:
        headers += (("Retry-After", f"{outcome.retry_after:.3f}"),)
    body = f"{outcome.step}: {outcome.reason}\n".encode()
    await sink.send_whole(outcome.status, headers, body)


async def send_failure(progress: RequestProgress, outcome: Unknown, sink: AnswerSink) -> None:
    """Send a caller the failure of a request that may have run, or abort a begun answer."""
    if progress.stream.begun:
        reason = _find_incomplete_reason(progress, outcome)
        record_incomplete(progress.request.request_id, reason, outcome.reason, outcome.peer)
        sink.abort()
        return
    status = 504 if progress.left <= 0 else 502
    body = f"{outcome.step}: {outcome.reason}\n".encode()
    await sink.send_whole(status, (("Content-Type", "text/plain"),), body)


def _find_incomplete_reason(progress: RequestProgress, outcome: Unknown) -> IncompleteReason:
    if progress.left <= 0:
        return IncompleteReason.DEADLINE
    if outcome.step == "hold":
        return IncompleteReason.QUARANTINED
    return IncompleteReason.BROKEN_OFF
