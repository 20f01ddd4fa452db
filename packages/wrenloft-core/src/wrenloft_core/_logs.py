"""Logs: one line an event on standard output, rate-limited and written without blocking."""

import atexit
import json
import logging
import os
import sys
import threading
import time
from collections import deque
from collections.abc import Callable
from typing import Any

_DECISIONS = logging.getLogger("wrenloft.decisions")

LINES_PER_SECOND = 400
"""Highest number of lines a second; a node at 15 requests a second writes about 40."""

_MAX_QUEUED_LINES = 4000
"""Lines queued for a slow reader: ten seconds at the full rate, about 1 MB."""

FLUSH_TIMEOUT_SECONDS = 1.0
"""Longest wait for the reader at exit: two intervals of the writer, and time to read 1 MB."""

_FLUSH_POLL_SECONDS = 0.01

_WRITE_INTERVAL_SECONDS = 0.25
"""Interval of writes; one write for many lines costs a tenth of a write for each line."""


class _JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        fields: dict[str, Any] = {
            "time": f"{record.created:.3f}",
            "level": record.levelname,
            "logger": record.name,
            "message": record.getMessage(),
        }
        fields.update(getattr(record, "fields", {}))
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        return json.dumps(fields, default=str)


class _PlainFormatter(logging.Formatter):
    """Formats a record as text, with its fields as ``key=value``."""

    def format(self, record: logging.LogRecord) -> str:
        fields = getattr(record, "fields", {})
        suffix = "".join(f" {name}={value}" for name, value in fields.items())
        return super().format(record) + suffix


class BoundedHandler(logging.Handler):
    """Passes lines to a writer thread, and drops lines beyond a rate and a queue length.

    A reader that stops reading blocks only the writer thread, as the event loop never writes. At
    most ``lines_per_second`` lines are accepted; warnings may use twice that, so that the cause of
    a flood isn't among the dropped lines. The number of dropped lines is logged each second.
    """

    def __init__(
        self, write: Callable[[bytes], object], lines_per_second: int = LINES_PER_SECOND
    ) -> None:
        super().__init__()
        self._write_output = write
        self._rate = lines_per_second
        self._lines: deque[str] = deque()
        self._second = 0
        self._count = 0
        self._unreported_drops = 0
        self.dropped = 0
        self._wake = threading.Event()
        self._flushing = threading.Event()
        self._writing = False
        threading.Thread(target=self._write, name="logs", daemon=True).start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line, or count it as dropped."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._count = second, 0
            self._report_drops()
        allowed = self._rate * (2 if record.levelno >= logging.WARNING else 1)
        if self._count >= allowed or len(self._lines) >= _MAX_QUEUED_LINES:
            self._unreported_drops += 1
            self.dropped += 1
            return
        self._count += 1
        self._enqueue(record)

    def flush(self) -> None:
        """Wait until queued lines are written, for ``FLUSH_TIMEOUT_SECONDS`` at most.

        Without the timeout, a reader that has stopped would keep the process from ever exiting.
        """
        self._flushing.set()  # a process that stops has less time left than the interval of writes
        self._wake.set()
        deadline = time.monotonic() + FLUSH_TIMEOUT_SECONDS
        while (self._lines or self._writing) and time.monotonic() < deadline:
            time.sleep(_FLUSH_POLL_SECONDS)
        self._flushing.clear()

    def _write_lines(self) -> None:
        self._writing = True
        lines = [self._lines.popleft() for _ in range(len(self._lines))]
        if lines:
            self._write_output(("\n".join(lines) + "\n").encode())
        self._writing = False

    def _enqueue(self, record: logging.LogRecord) -> None:
        self._lines.append(self.format(record))
        self._wake.set()

    def _report_drops(self) -> None:
        if not self._unreported_drops:
            return
        dropped, self._unreported_drops = self._unreported_drops, 0
        record = logging.makeLogRecord(
            {"name": __name__, "msg": "log lines dropped", "levelname": "WARNING"}
        )
        record.fields = {"dropped": dropped}
        self._enqueue(record)

    def _write(self) -> None:
        while True:
            self._wake.wait()
            self._flushing.wait(_WRITE_INTERVAL_SECONDS)
            self._wake.clear()
            try:
                self._write_lines()
            except (OSError, ValueError):
                return  # the reader has closed the output, so the error can't be logged


def _write_to_output(data: bytes) -> None:
    """Write to standard output without Python's buffer.

    A thread blocked in the buffer would hold its lock, which the interpreter acquires at exit.
    """
    view = memoryview(data)
    while view:
        view = view[os.write(sys.stdout.fileno(), view) :]


def set_up_logs(
    *, as_json: bool, level: str, lines_per_second: int = LINES_PER_SECOND
) -> BoundedHandler:
    """Send all logs to standard output.

    :returns: the handler, whose ``dropped`` counts lines lost.
    """
    handler = BoundedHandler(_write_to_output, lines_per_second)
    handler.setFormatter(
        _JsonFormatter()
        if as_json
        else _PlainFormatter("%(asctime)s %(levelname)s %(name)s %(message)s")
    )
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    atexit.register(handler.flush)
    return handler


def log_decision(subject: str, *, chosen: object, reason: str, **fields: object) -> None:
    """Log one routing or placement decision.

    :param subject: the request or model that the decision is for.
    :param chosen: what was chosen.
    :param fields: the candidates and other inputs of the decision.
    """
    if _DECISIONS.isEnabledFor(logging.INFO):
        _DECISIONS.info(
            "decided",
            extra={"fields": {"subject": subject, "chosen": chosen, "reason": reason, **fields}},
        )


def note(logger: logging.Logger, message: str, **fields: object) -> None:
    """Log an event with its fields at level INFO."""
    if logger.isEnabledFor(logging.INFO):
        logger.info(message, extra={"fields": fields})


def warn(logger: logging.Logger, message: str, **fields: object) -> None:
    """Log an event with its fields at level WARNING."""
    logger.warning(message, extra={"fields": fields})
