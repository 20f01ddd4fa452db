"""Tests of logs that are bounded and never block."""

import io
import json
import logging
import threading
import time

import pytest

from wrenloft_core import BoundedHandler, note, set_up_logs


class _StuckStream(io.StringIO):
    """A reader that stopped reading."""

    def __init__(self) -> None:
        super().__init__()
        self.release = threading.Event()

    def write(self, text: str) -> int:
        self.release.wait()
        return super().write(text)


def _logger(handler: BoundedHandler) -> logging.Logger:
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return logger


class TestBoundedHandler:
    """Tests for ``BoundedHandler``."""

    def test_reader_that_stopped_blocks_nobody(self) -> None:
        """The program goes on and its lines are kept, up to a bound.

        The thread that writes is stuck in its first write all the while.
        """
        stream = _StuckStream()
        handler = BoundedHandler(stream, lines_per_second=100000)
        logger = _logger(handler)
        logger.warning("first")
        time.sleep(0.4)
        for number in range(6000):
            logger.warning("line %d", number)
        assert handler.dropped > 0
        stream.release.set()

    def test_flood_is_cut_and_counted(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A flood costs no more than its bound, and the log says how much is missing."""
        now = [100.0]
        monkeypatch.setattr("wrenloft_core._logs.time.monotonic", lambda: now[0])
        stream = io.StringIO()
        handler = BoundedHandler(stream, lines_per_second=10)
        logger = _logger(handler)
        for _ in range(50):
            logger.info("flood")
        now[0] += 1.0
        logger.info("after")
        handler.flush()
        lines = stream.getvalue().splitlines()
        assert lines.count("flood") == 10
        assert handler.dropped == 40
        assert "log lines dropped" in lines

    def test_lines_are_json_with_their_fields(self, capsys: pytest.CaptureFixture[str]) -> None:
        """Each line can be read by a program, whatever its fields hold."""
        handler = set_up_logs(as_json=True, level="info")
        try:
            note(logging.getLogger("test.json"), "decided", chosen=object(), count=3)
            handler.flush()
        finally:
            logging.getLogger().removeHandler(handler)
        fields = json.loads(capsys.readouterr().out.splitlines()[-1])
        assert (fields["message"], fields["count"]) == ("decided", 3)
