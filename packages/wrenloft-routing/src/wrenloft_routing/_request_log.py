"""Metrics and log lines of each request."""

import logging
from collections.abc import Sequence

from prometheus_client import Counter, Histogram

from wrenloft_core import Outcome, note, read_clock
from wrenloft_policy import Coldness
from wrenloft_routing._attempts import AttemptProgress, measure_silence
from wrenloft_routing._exchange import CallerRequest
from wrenloft_routing._failure_detector import MAX_LOGGED_SEGMENTS
from wrenloft_routing._gate import Placed
from wrenloft_routing._request_progress import RequestProgress

_LOG = logging.getLogger(__name__)

RATE_WINDOW_SECONDS = 4.0
"""Window of the count of requests sent to the endpoint, in log lines."""

REQUESTS = Counter("wrenloft_routing_requests", "Requests by outcome", ["kind", "outcome"])
REQUEST_SECONDS = Histogram(
    "wrenloft_routing_request_seconds",
    "Seconds from arrival to the final answer",
    ["kind"],
    buckets=(0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4),
)
FIRST_EVENT_SECONDS = Histogram(
    "wrenloft_routing_first_event_seconds",
    "Seconds from arrival to a stream's first event",
    buckets=(0.05, 0.1, 0.2, 0.3, 0.4, 0.5, 0.8, 1.6, 3.2),
)
ATTEMPTS = Counter("wrenloft_routing_attempts", "Sendings to endpoints by result", ["result"])
SILENCES = Counter(
    "wrenloft_silent_attempts", "Attempts whose endpoint fell silent, by what was due", ["phase"]
)
CONTINUED = Counter("wrenloft_continued_attempts", "Silent attempts whose endpoint went on")
RATE_LIMITED = Counter(
    "wrenloft_rate_limited_requests", "Requests refused because of endpoints' rate limits"
)

RESTED = Counter("wrenloft_rest_refused_requests", "Requests refused because all endpoints rest")


def log_attempt(
    progress: RequestProgress,
    placed: Placed,
    revision: int,
    proof_age: float,
    rate_limit: float | None,
    coldness: Coldness | None = None,
    beside: Sequence[str] = (),
) -> None:
    """Log that a request is sent, and the basis of that decision.

    :param revision: of the configuration in force.
    :param proof_age: seconds since that was verified to be the newest.
    :param rate_limit: of the endpoint, in requests per second, as known to this node.
    :param coldness: of the endpoint, as known to this node.
    :param beside: silent endpoints whose attempts stay open.
    """
    state = placed.state
    now = read_clock()
    note(
        _LOG,
        "attempt",
        request=progress.request.request_id,
        content=progress.content,
        segments=sorted(progress.request.segments)[:MAX_LOGGED_SEGMENTS],
        rule=progress.rule.name,
        endpoint=progress.peer,
        attempt=progress.attempts + 1,
        predicted_ms=round(placed.prediction.total * 1000),
        candidates=placed.candidates,
        report_age_ms=round(min(now - state.reported_at, 99.0) * 1000),
        revision=revision,
        proof_age_ms=round(min(proof_age, 99.0) * 1000),
        left_ms=round(progress.left * 1000),
        version=placed.version,
        rate_limit=rate_limit,
        sent_before=state.count_sent(now - RATE_WINDOW_SECONDS) - 1,
        leaving_ms=None if state.departure is None else round((now - state.departure.at) * 1000),
        rest_left_ms=round(max(0.0, state.rest_until - now) * 1000),
        cold_left_ms=round(coldness.left * 1000) if coldness is not None else 0,
        chain=[each.state.endpoint.agent_id for each in placed.chain],
        resumed_after=progress.stream.last_event,
        beside=list(beside),
    )


def log_silence(progress: RequestProgress, attempt: AttemptProgress) -> None:
    """Log that an endpoint has sent nothing for longer than usual."""
    SILENCES.labels(attempt.phase.value).inc()
    note(
        _LOG,
        "endpoint silent",
        request=progress.request.request_id,
        endpoint=attempt.peer,
        phase=attempt.phase.value,
        silent_ms=round(measure_silence(attempt) * 1000),
        left_ms=round(progress.left * 1000),
        last_event=progress.stream.last_event,
    )


def log_no_second_attempt(progress: RequestProgress, attempt: AttemptProgress, reason: str) -> None:
    """Log why a silent attempt is not hedged, once for each reason in a row."""
    if attempt.refusal == reason:
        return
    attempt.refusal = reason
    note(
        _LOG,
        "second attempt not made",
        request=progress.request.request_id,
        endpoint=attempt.peer,
        reason=reason,
    )


def log_silence_end(progress: RequestProgress, attempt: AttemptProgress) -> None:
    """Log that a silent endpoint goes on."""
    CONTINUED.inc()
    note(
        _LOG,
        "silent endpoint continued",
        request=progress.request.request_id,
        endpoint=attempt.peer,
        silent_ms=round((attempt.heard_at - (attempt.silent_since or 0.0)) * 1000),
    )


def log_superseded(
    progress: RequestProgress, attempt: AttemptProgress, winner: AttemptProgress
) -> None:
    """Log that an attempt is ended because another endpoint has answered."""
    note(
        _LOG,
        "attempt superseded",
        request=progress.request.request_id,
        endpoint=attempt.peer,
        by=winner.peer,
        silent_ms=round(measure_silence(attempt) * 1000),
    )


def record_outcome(
    request: CallerRequest, kind: str, outcome: Outcome, progress: RequestProgress | None
) -> None:
    """Count and log the outcome of a request.

    :param progress: ``None`` if it was not admitted.
    """
    seconds = read_clock() - request.arrived
    name = type(outcome).__name__
    REQUESTS.labels(kind, name).inc()
    REQUEST_SECONDS.labels(kind).observe(seconds)
    note(
        _LOG,
        "request ended",
        request=request.request_id,
        content=progress.content if progress else "",
        outcome=name,
        step=getattr(outcome, "step", ""),
        reason=getattr(outcome, "reason", ""),
        endpoint=getattr(outcome, "peer", ""),
        status=getattr(outcome, "status", None),
        retry_after=getattr(outcome, "retry_after", None),
        attempts=progress.attempts if progress else 0,
        spent_ms=round(progress.elapsed * 1000) if progress else 0,
        predicted_ms=round(progress.prediction.total * 1000) if progress else 0,
        first_ms=_measure_first_event(progress),
        ms=round(seconds * 1000),
    )


def _measure_first_event(progress: RequestProgress | None) -> int | None:
    """Return the milliseconds from arrival to a stream's first event, if it had one."""
    if progress is None or not progress.stream.begun:
        return None
    return round((progress.stream.begun_at - progress.request.arrived) * 1000)
