"""Tests of counting answers that were incomplete."""

import json
from pathlib import Path

import pytest
from cleo.commands.command import Command
from cleo.testers.command_tester import CommandTester
from wrenloft._cli import EXIT_FAULT, EXIT_OK, EXIT_WRONG_INPUT, _Incomplete, _Report
from wrenloft._incomplete_answers import count_incomplete, describe_incomplete, sum_reasons


def _line(reason: object, endpoint: str = "", message: str = "answer incomplete") -> str:
    event = {"time": "9.100", "message": message, "request": "r1", "reason": reason}
    return "host-1 " + json.dumps({**event, "endpoint": endpoint})


LINES = (
    _line("broken off", "e2"),
    _line("deadline", "e1"),
    "Traceback (most recent call last):",
    _line("broken off", "e1"),
    _line("broken off", "e2"),
    _line("broken off", "e2", message="request ended"),
    _line("stopped"),
)


class TestCountIncomplete:
    """Tests for ``count_incomplete``."""

    def test_counts_by_reason_and_endpoint(self) -> None:
        """Other events, and lines that are none, do not count."""
        assert count_incomplete(LINES) == {
            ("broken off", "e2"): 2,
            ("broken off", "e1"): 1,
            ("deadline", "e1"): 1,
            ("stopped", "no endpoint"): 1,
        }

    @pytest.mark.parametrize("reason", [None, "", []])
    def test_line_without_a_reason_counts(self, reason: object) -> None:
        """Guards against incomplete answers that are left out for their line."""
        assert count_incomplete([_line(reason, "e1")]) == {("unknown", "e1"): 1}


class TestDescribeIncomplete:
    """Tests for ``describe_incomplete`` and ``sum_reasons``."""

    def test_most_frequent_come_first(self) -> None:
        """Equal counts are in order of their reasons and endpoints."""
        assert list(describe_incomplete(count_incomplete(LINES))) == [
            "     2  broken off      e2",
            "     1  broken off      e1",
            "     1  deadline        e1",
            "     1  stopped         no endpoint",
        ]

    def test_sum_names_each_reason(self) -> None:
        """All endpoints together."""
        expected = "incomplete answers 5: broken off 3, deadline 1, stopped 1"
        assert sum_reasons(count_incomplete(LINES)) == expected


class TestCommands:
    """Tests of ``wrenloft incomplete`` and ``wrenloft report``."""

    def _run(self, command: Command, *words: object) -> tuple[int, list[str], str]:
        tester = CommandTester(command)
        code = tester.execute(" ".join(map(str, words)))
        return code, tester.io.fetch_output().splitlines(), tester.io.fetch_error().strip()

    def test_incomplete_counts_all_files(self, tmp_path: Path) -> None:
        """Each node has a log of its own."""
        (tmp_path / "a.log").write_text("\n".join(LINES[:4]))
        (tmp_path / "b.log").write_text("\n".join(LINES[4:]))
        code, lines, error = self._run(_Incomplete(), tmp_path / "a.log", tmp_path / "b.log")
        assert (code, error) == (EXIT_OK, "")
        assert lines[0] == "     2  broken off      e2"
        assert lines[-1] == "incomplete answers 5: broken off 3, deadline 1, stopped 1"

    def test_logs_without_any_are_no_error(self, tmp_path: Path) -> None:
        """Guards against an alert on a good day."""
        (tmp_path / "a.log").write_text(LINES[5])
        code, lines, error = self._run(_Incomplete(), tmp_path / "a.log")
        assert (code, lines, error) == (EXIT_OK, ["incomplete answers 0"], "")

    @pytest.mark.parametrize("text", ["", "2026-09-07 INFO answer incomplete", "\0\xff{]"])
    def test_files_that_are_no_logs_are_an_error(self, tmp_path: Path, text: str) -> None:
        """Guards against a count of 0 that was taken from the wrong files."""
        path = tmp_path / "a.log"
        path.write_text(text, encoding="latin-1")
        code, lines, error = self._run(_Incomplete(), path)
        assert (code, lines) == (EXIT_WRONG_INPUT, [])
        assert error == f"no log lines in JSON in {path}"

    def test_missing_file_is_an_error(self, tmp_path: Path) -> None:
        """Guards against a count without the logs of one node."""
        path = tmp_path / "a.log"
        path.write_text(LINES[0])
        code, lines, error = self._run(_Incomplete(), path, tmp_path / "b.log")
        assert (code, lines) == (EXIT_WRONG_INPUT, [])
        assert error == f"{tmp_path / 'b.log'}: No such file or directory"

    def test_report_names_how_many_of_which_kind(self, tmp_path: Path) -> None:
        """The sum stands behind the seconds."""
        path = tmp_path / "a.log"
        path.write_text("\n".join([LINES[0], LINES[1]]))
        code, lines, error = self._run(_Report(), path)
        assert lines == ["incomplete answers 2: broken off 1, deadline 1"]
        assert (code, error) == (EXIT_FAULT, "no request ended in these logs")
