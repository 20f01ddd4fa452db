"""Tests of rate-limited, non-blocking logs."""

import json
import logging
import subprocess
import sys
import threading
import time

import pytest

from wrenloft_core import BoundedHandler, note, set_up_logs


def _logger(handler: BoundedHandler) -> logging.Logger:
    logger = logging.Logger("test")
    logger.addHandler(handler)
    return logger


class TestBoundedHandler:
    """Tests for ``BoundedHandler``."""

    def test_stopped_reader_does_not_block_the_program(self) -> None:
        """The program continues and its lines are queued up to a limit.

        The writer thread is blocked in its first write for the whole test.
        """
        release = threading.Event()
        handler = BoundedHandler(lambda _: release.wait(), lines_per_second=100000)
        logger = _logger(handler)
        logger.warning("first")
        time.sleep(0.4)
        for number in range(6000):
            logger.warning("line %d", number)
        assert handler.dropped > 0
        handler.flush()
        release.set()

    def test_program_exits_without_a_reader(self) -> None:
        """A process whose output is a full pipe still exits.

        The program logs more than the 64 KB that fit into the pipe, and returns. If it waited for
        the reader, neither it nor its parent process would ever exit.
        """
        program = (
            "import logging\n"
            "from wrenloft_core import set_up_logs\n"
            "set_up_logs(as_json=True, level='info', lines_per_second=5000)\n"
            "for _ in range(3000): logging.info('x' * 100)\n"
        )
        process = subprocess.Popen([sys.executable, "-c", program], stdout=subprocess.PIPE)
        try:
            assert process.wait(timeout=60) == 0
        finally:
            process.kill()
            process.communicate()

    def test_flush_does_not_wait_for_the_interval_of_writes(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a process that outlives its grace because its last lines wait."""
        monkeypatch.setattr("wrenloft_core._logs._WRITE_INTERVAL_SECONDS", 1000.0)
        monkeypatch.setattr("wrenloft_core._logs.FLUSH_TIMEOUT_SECONDS", 30.0)
        written: list[bytes] = []
        handler = BoundedHandler(written.append)
        _logger(handler).info("stopped")
        handler.flush()
        assert written == [b"stopped\n"]

    def test_excess_lines_are_dropped_and_counted(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """Lines beyond the rate limit are dropped, and their number is logged."""
        now = [100.0]
        monkeypatch.setattr("wrenloft_core._logs.time.monotonic", lambda: now[0])
        written: list[bytes] = []
        handler = BoundedHandler(written.append, lines_per_second=10)
        logger = _logger(handler)
        for _ in range(50):
            logger.info("flood")
        now[0] += 1.0
        logger.info("after")
        monkeypatch.undo()
        handler.flush()
        lines = b"".join(written).decode().splitlines()
        assert lines.count("flood") == 10
        assert handler.dropped == 40
        assert "log lines dropped" in lines

    def test_lines_are_json_with_their_fields(
        self, capfd: pytest.CaptureFixture[str], monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Each line is valid JSON, whatever the types of its fields."""
        monkeypatch.setattr("wrenloft_core._logs.sys.stdout", sys.__stdout__)
        handler = set_up_logs(as_json=True, level="info")
        try:
            note(logging.getLogger("test.json"), "decided", chosen=object(), count=3)
            handler.flush()
        finally:
            logging.getLogger().removeHandler(handler)
        fields = json.loads(capfd.readouterr().out.splitlines()[-1])
        assert (fields["message"], fields["count"]) == ("decided", 3)
