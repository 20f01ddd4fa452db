"""Tests of finding what became of a request."""

import json

from wrenloft._explain import describe_event, find_request


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

    def test_unknown_request_has_no_events(self) -> None:
        """Nothing is found, and nothing is made up."""
        assert find_request("r9", [_line(1.0, "r1", "attempt")]) == []


class TestDescribeEvent:
    """Tests for ``describe_event``."""

    def test_says_first_what_happened(self) -> None:
        """Outcome and reason come before the inputs; empty fields are left out."""
        event = {"age_ms": 7, "request": "r1", "reason": "reset", "message": "attempt", "x": None}
        assert describe_event(event) == "message=attempt reason=reset age_ms=7"
