"""Logs: one line per event, plain or JSON."""

import json
import logging
from typing import Any

_DECISIONS = logging.getLogger("wrenloft.decisions")


class _JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object."""

    def format(self, record: logging.LogRecord) -> str:
        fields: dict[str, Any] = {
            "time": self.formatTime(record),
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
        tail = "".join(f" {name}={value}" for name, value in fields.items())
        return super().format(record) + tail


def set_up_logs(*, as_json: bool, level: str) -> None:
    """Send all logs to the standard error stream."""
    handler = logging.StreamHandler()
    handler.setFormatter(
        _JsonFormatter()
        if as_json
        else _PlainFormatter("%(asctime)s %(levelname)s %(name)s %(message)s")
    )
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)


def decide(subject: str, *, chosen: object, reason: str, **fields: object) -> None:
    """Log one routing or placement decision.

    :param subject: the request or model that it was made for.
    :param chosen: what was chosen.
    :param fields: what it was chosen from, and whatever else led to it.
    """
    if _DECISIONS.isEnabledFor(logging.INFO):
        _DECISIONS.info(
            "decided",
            extra={"fields": {"subject": subject, "chosen": chosen, "reason": reason, **fields}},
        )
