"""Tests of finding what became of a request."""

import json
from pathlib import Path

import pytest
from cleo.testers.command_tester import CommandTester
from wrenloft._cli import EXIT_FAULT, EXIT_OK, EXIT_WRONG_INPUT, _ExplainRequest
from wrenloft._explain import (
    Interval,
    Surroundings,
    describe_event,
    describe_surroundings,
    find_crashes,
    find_request,
    find_surroundings,
)


def _line(time: float, request: str, message: str, **fields: object) -> str:
    event = {"time": f"{time:.3f}", "level": "INFO", "message": message, "request": request}
    return "host-1 " + json.dumps({**event, **fields})


class TestFindRequest:
    """Tests for ``find_request``."""

    def test_puts_the_events_of_several_processes_in_order(self) -> None:
        """Logs of two nodes, out of order and with lines that are no events."""
        lines = [
            _line(9.5, "r1", "request ended", outcome="Done"),
            "Traceback (most recent call last):",
            _line(9.1, "r1", "attempt", endpoint="i-1"),
            _line(9.2, "r2", "attempt", endpoint="i-2"),
            '{"time": "9.3", "request": "r1", "mess',
        ]
        assert [each["message"] for each in find_request("r1", lines)] == [
            "attempt",
            "request ended",
        ]

    @pytest.mark.parametrize("time", ['"2026-09-07T21:05:35Z"', "null", "[]", '"nan"', "1e999"])
    def test_lines_of_other_programs_are_passed_over(self, time: str) -> None:
        """Guards against logs that can't be read for one JSON line with another kind of time."""
        other = f'{{"time": {time}, "message": "attempt", "request": "r1"}}'
        lines = [other, _line(9.1, "r1", "attempt"), "[1]", '{"request": "r1"}']
        assert [each["time"] for each in find_request("r1", lines)] == ["9.100"]

    def test_unknown_request_has_no_events(self) -> None:
        """Nothing is found, and nothing is made up."""
        assert find_request("r9", [_line(1.0, "r1", "attempt")]) == []


class TestFindCrashes:
    """Tests for ``find_crashes``."""

    LINES = (
        _line(1.0, "", "endpoint failed", endpoint="e1", segments=[["s", "bad"], []], contents=[]),
        _line(1.1, "", "endpoint failed", endpoint="e1", segments=[["bad"]], contents=[]),
        _line(2.0, "", "endpoint failed", endpoint="e2", segments=[["s"]], contents=["c"]),
        _line(3.0, "", "segment quarantined", segment="bad", crashes=3),
        _line(3.1, "", "segment quarantined", segment="bad", crashes=3),
        _line(4.0, "r1", "quarantined request refused", content="x", segment="bad"),
        _line(5.0, "r2", "quarantined request refused", content="c", segment=None),
    )

    def _find(self, request: str) -> list[tuple[str, str]]:
        crashes = find_crashes(find_request(request, self.LINES), self.LINES)
        return [(each["message"], each["time"]) for each in crashes]

    def test_refusal_leads_to_the_crashes_of_its_segment(self) -> None:
        """Each endpoint and the quarantine appear once, whatever the number of nodes."""
        assert self._find("r1") == [("endpoint failed", "1.000"), ("segment quarantined", "3.000")]

    def test_refusal_leads_to_the_crashes_of_its_content(self) -> None:
        """A content is told from a segment."""
        assert self._find("r2") == [("endpoint failed", "2.000")]

    def test_other_requests_have_none(self) -> None:
        """Nothing is shown for a request that was not refused."""
        assert self._find("r9") == []


CUT_STREAM = (
    _line(99.0, "r1", "attempt", endpoint="e1", attempt=1, beside=[]),
    _line(
        100.0, "r1", "endpoint silent",
        endpoint="e1", phase="gap", silent_ms=1000, left_ms=14200, last_event="41",
    ),
    _line(
        100.001, "r1", "second attempt not made",
        endpoint="e1", reason="no second try left in the budget",
    ),
    _line(100.4, "r1", "attempt", endpoint="e2", attempt=2, beside=["e1"]),
    _line(100.599, "r1", "silent endpoint continued", endpoint="e1", silent_ms=1599),
    _line(100.6, "r1", "attempt superseded", endpoint="e2", by="e1", silent_ms=200),
    _line(
        101.699, "r1", "answer incomplete",
        reason="broken off", detail="[Errno 104] Connection reset by peer", endpoint="e1",
    ),
    _line(
        101.7, "r1", "request ended", outcome="Unknown", step="stream",
        reason="[Errno 104] Connection reset by peer", endpoint="e1",
    ),
)  # fmt: skip
"""Lines of a stream whose endpoint was silent, went on and then broke off."""


def _other_silences(count: int, at: float = 100.1) -> list[str]:
    return [
        _line(at + n / 1000, f"s{n}", "endpoint silent", endpoint="e1", phase="gap", silent_ms=900)
        for n in range(count)
    ]


class TestFindSurroundings:
    """Tests for ``find_surroundings``."""

    def _find(self, *others: str, of: tuple[str, ...] = CUT_STREAM) -> Surroundings:
        (found,) = find_surroundings("r1", {"a.log": [*others, *of]})
        return found

    def test_silence_lasts_until_the_endpoint_goes_on(self) -> None:
        """A silence begins with the last byte before it, and is joined with the end close by."""
        assert self._find().interval == Interval("e1", 99.0, 101.699)
        assert self._find(of=CUT_STREAM[:5]).interval == Interval("e1", 99.0, 100.599)

    def test_silence_without_an_end_lasts_to_the_last_line(self) -> None:
        """Logs may end, or lines be dropped, before the request does."""
        assert self._find(of=CUT_STREAM[:4]).interval == Interval("e1", 99.0, 100.4)

    def test_other_requests_silent_at_the_endpoint_are_found(self) -> None:
        """Guards against a silence of all requests that looks like one of this request alone."""
        found = self._find(
            *_other_silences(5),
            _line(100.2, "s0", "silent endpoint continued", endpoint="e1", silent_ms=1000),
        )
        assert [each.message for each in found.others] == [
            *["endpoint silent"] * 5,
            "silent endpoint continued",
        ]
        assert not found.elsewhere

    @pytest.mark.parametrize(("at", "count"), [(95.9, 0), (96.1, 1), (104.6, 1), (104.8, 0)])
    def test_only_what_is_close_is_found(self, at: float, count: int) -> None:
        """Guards against a cause that is one of another minute."""
        found = self._find(*_other_silences(1, at))
        assert len(found.others) == count

    def test_failures_of_this_endpoint_only_are_found(self) -> None:
        """Guards against the crash of another endpoint that is taken for the cause."""
        found = self._find(
            _line(101.7, "", "endpoint failed", endpoint="e1", sign="refused"),
            _line(101.7, "", "endpoint failed", endpoint="e3", sign="refused"),
        )
        assert [each.fields["endpoint"] for each in found.failures] == ["e1"]

    @pytest.mark.parametrize("change", ["configuration applied", "settings reloaded", "stopping"])
    def test_changes_of_the_same_node_are_found(self, change: str) -> None:
        """Guards against a change of another node that is taken for the cause."""
        own = _line(98.5, "", change)
        found = find_surroundings(
            "r1",
            {
                "a.log": [*CUT_STREAM, own, own.replace("host-1", "host-2")],
                "b.log": [own],
            },
        )
        assert [each.message for each in found[0].changes] == [change]

    @pytest.mark.parametrize(
        "prefix",
        [
            "Sep  7 21:05:{:02d} host-1 wrenloft[7]: ",
            "2026-09-07T21:05:{:02d}.123Z entry-1 | ",
            "[{}.5] ",
            "10.0.0.1:7700 ",
        ],
    )
    def test_node_is_found_behind_times_of_a_log_collector(self, prefix: str) -> None:
        """Guards against lines of one node that look like lines of many."""
        lines = [_line(98.5, "", "stopping"), *CUT_STREAM]
        stamped = [each.replace("host-1 ", prefix.format(n)) for n, each in enumerate(lines)]
        (found,) = find_surroundings("r1", {"a.log": stamped})
        assert len(found.changes) == 1

    def test_silences_at_other_endpoints_of_the_same_node_are_found(self) -> None:
        """Guards against a node that stood still, and blames an endpoint."""
        lines = [each.replace('"e1"', '"e4"') for each in _other_silences(2)]
        found = self._find(*lines, lines[0].replace("host-1", "host-2"))
        assert len(found.elsewhere) == 2

    def test_silences_that_are_far_apart_are_told_apart(self) -> None:
        """Guards against events of a whole long stream that are shown as one silence's."""
        later = [
            _line(130.0, "r1", "endpoint silent", endpoint="e1", silent_ms=1000),
            _line(130.5, "r1", "silent endpoint continued", endpoint="e1", silent_ms=1500),
        ]
        found = find_surroundings("r1", {"a.log": [*CUT_STREAM[:6], *later]})
        assert [each.interval for each in found] == [
            Interval("e1", 99.0, 100.599),
            Interval("e1", 129.0, 130.5),
        ]

    def test_answer_that_was_cut_without_an_endpoint_leads_to_the_node(self) -> None:
        """Guards against a stop of the node that is not shown, as no endpoint was silent."""
        lines = [
            _line(98.0, "", "stopping", in_progress=3),
            _line(100.0, "r1", "answer incomplete", reason="stopped", detail="", endpoint=""),
            _line(100.0, "", "endpoint failed", endpoint=""),
        ]
        (found,) = find_surroundings("r1", {"a.log": lines})
        assert found.interval == Interval("", 100.0, 100.0)
        assert [each.message for each in found.changes] == ["stopping"]
        assert not found.failures

    def test_request_that_was_answered_has_none(self) -> None:
        """Nothing is shown where nothing was silent."""
        lines = [
            _line(1.0, "r1", "attempt", endpoint="e1"),
            _line(1.2, "r1", "attempt failed", endpoint="e1"),
            _line(1.4, "r1", "request ended", outcome="Done"),
        ]
        assert find_surroundings("r1", {"a.log": lines}) == []


class TestDescribeSurroundings:
    """Tests for ``describe_surroundings``."""

    def test_many_events_are_counted_and_the_first_shown(self) -> None:
        """Guards against hundreds of lines that hide the cause."""
        changes = [_line(100.0 + n, "", "settings reloaded") for n in range(4)]
        logs = {"a.log": [*CUT_STREAM, *_other_silences(200), *changes]}
        (found,) = find_surroundings("r1", logs)
        lines = list(describe_surroundings(found))
        assert lines[:2] == [
            "endpoint e1 from 99.000 to 101.699, and 3 s before and after:",
            "other requests: endpoint silent 200, silent endpoint continued 0,"
            " logged by 1 processes",
        ]
        assert [each.split()[1:4] for each in lines[2:5]] == [
            ["message=endpoint", "silent", f"request=s{n}"] for n in range(3)
        ]
        assert lines[5:7] == [
            "197 more",
            "endpoint silent at other endpoints, logged by the same process: 0",
        ]
        assert lines[-1] == "1 more"
        assert len(lines) == 11


class TestExplainRequest:
    """Tests of ``wrenloft explain-request``."""

    def _run(self, *words: str) -> tuple[int, list[str], str]:
        tester = CommandTester(_ExplainRequest())
        code = tester.execute(" ".join(words))
        return code, tester.io.fetch_output().splitlines(), tester.io.fetch_error().strip()

    def test_cut_stream_leads_to_the_silence_and_what_was_refused(self, tmp_path: Path) -> None:
        """The request's own lines in order, then what happened at its endpoint."""
        own, others = tmp_path / "own.log", tmp_path / "others.log"
        own.write_text("\n".join(reversed([*CUT_STREAM, _line(99.4, "", "configuration applied")])))
        failed = _line(101.69, "", "endpoint failed", endpoint="e1", sign="refused")
        others.write_text("\n".join([*_other_silences(1), failed]))
        code, lines, error = self._run("r1", str(own), str(others))
        assert (code, error) == (EXIT_OK, "")
        assert [each.partition("message=")[2].partition(" endpoint=")[0] for each in lines] == [
            "attempt",
            "endpoint silent",
            "second attempt not made reason=no second try left in the budget",
            "attempt",
            "silent endpoint continued",
            "attempt superseded",
            "answer incomplete reason=broken off detail=[Errno 104] Connection reset by peer",
            "request ended outcome=Unknown step=stream"
            " reason=[Errno 104] Connection reset by peer",
            "",
            "",
            "endpoint silent request=s0",
            "",
            "endpoint failed",
            "configuration applied",
        ]

    def test_unknown_request_is_an_error(self, tmp_path: Path) -> None:
        """Nothing is printed but the error."""
        log = tmp_path / "a.log"
        log.write_text("\n".join(CUT_STREAM))
        assert self._run("r9", str(log)) == (EXIT_FAULT, [], "no line about request r9")

    def test_file_that_cannot_be_read_is_an_error(self, tmp_path: Path) -> None:
        """The error names the file."""
        code, lines, error = self._run("r1", str(tmp_path))
        assert (code, lines) == (EXIT_WRONG_INPUT, [])
        assert error == f"{tmp_path}: Is a directory"


class TestDescribeEvent:
    """Tests for ``describe_event``."""

    def test_says_first_what_happened(self) -> None:
        """Outcome and reason come before the inputs; empty fields are left out."""
        event = {"age_ms": 7, "request": "r1", "reason": "reset", "message": "attempt", "x": None}
        assert describe_event(event) == "message=attempt reason=reset age_ms=7"

    def test_names_the_request_if_asked(self) -> None:
        """Lines about several requests tell them apart."""
        event = {"message": "attempt", "request": "r1", "logger": "x"}
        assert describe_event(event, shows_request=True) == "message=attempt request=r1"
