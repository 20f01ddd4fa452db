"""Tests of logs that are bounded and never block."""

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

    def test_reader_that_stopped_blocks_nobody(self) -> None:
        """The program goes on and its lines are kept, up to a bound.

        The thread that writes is stuck in its first write all the while.
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

    def test_program_ends_though_nobody_reads(self) -> None:
        """A process whose output is a full pipe ends all the same.

        The pipe holds 64 KB; the program logs more and returns. Waiting for the reader, it would
        stay for ever, and so would whoever waits for it.
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

    def test_flood_is_cut_and_counted(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A flood costs no more than its bound, and the log says how much is missing."""
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
        """Each line can be read by a program, whatever its fields hold."""
        monkeypatch.setattr("wrenloft_core._logs.sys.stdout", sys.__stdout__)
        handler = set_up_logs(as_json=True, level="info")
        try:
            note(logging.getLogger("test.json"), "decided", chosen=object(), count=3)
            handler.flush()
        finally:
            logging.getLogger().removeHandler(handler)
        fields = json.loads(capfd.readouterr().out.splitlines()[-1])
        assert (fields["message"], fields["count"]) == ("decided", 3)
