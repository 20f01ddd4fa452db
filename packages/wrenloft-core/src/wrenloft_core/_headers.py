"""HTTP header names used between callers, entry nodes and agents."""

from typing import Final


class Header:
    """Header names of requests and answers."""

    REQUEST_ID: Final[str] = "X-Wrenloft-Request-Id"
    REVISION: Final[str] = "X-Wrenloft-Revision"
    ATTEMPTS: Final[str] = "X-Wrenloft-Attempts"
    OUTCOME: Final[str] = "X-Wrenloft-Outcome"
    IDEMPOTENT: Final[str] = "X-Wrenloft-Idempotent"
    PRIORITY: Final[str] = "X-Wrenloft-Priority"
    DEADLINE: Final[str] = "X-Wrenloft-Deadline-Ms"
    SECRET: Final[str] = "X-Wrenloft-Secret"
    ORGANISATION: Final[str] = "X-Wrenloft-Organisation"
    MODEL: Final[str] = "X-Wrenloft-Model"
    VERSION: Final[str] = "X-Wrenloft-Version"
    AGENT: Final[str] = "X-Wrenloft-Agent"
    FENCING: Final[str] = "X-Wrenloft-Fencing-Number"
    KEYED: Final[str] = "X-Wrenloft-Keyed"
    IDEMPOTENCY_KEY: Final[str] = "Idempotency-Key"
