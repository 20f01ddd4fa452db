"""Callers' connections that end without a complete answer, by reason."""

import logging
from enum import Enum

from prometheus_client import Counter

from wrenloft_core import RequestId, note

_LOG = logging.getLogger(__name__)

INCOMPLETE_ANSWERS = Counter(
    "wrenloft_incomplete_answers",
    "Callers' connections that ended without a complete answer",
    ["reason"],
)


class IncompleteReason(Enum):
    """Why a caller's connection ended without a complete answer."""

    BROKEN_OFF = "broken off"
    DEADLINE = "deadline"
    QUARANTINED = "quarantined"
    CALLER_LEFT = "caller left"
    CALLER_STALLED = "caller stalled"
    STOPPED = "stopped"
    ERROR = "error"


def record_incomplete(
    request_id: RequestId, reason: IncompleteReason, detail: str = "", endpoint: str = ""
) -> None:
    """Count and log a caller's connection that ended without a complete answer.

    :param detail: what ended it, in words.
    :param endpoint: that was answering.
    """
    INCOMPLETE_ANSWERS.labels(reason.value).inc()
    note(
        _LOG,
        "answer incomplete",
        request=request_id,
        reason=reason.value,
        detail=detail,
        endpoint=endpoint,
    )
