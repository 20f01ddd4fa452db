"""Tests of finding what became of a request."""

import json

from wrenloft._explain import describe_event, find_crashes, find_request


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


class TestDescribeEvent:
    """Tests for ``describe_event``."""

    def test_says_first_what_happened(self) -> None:
        """Outcome and reason come before the inputs; empty fields are left out."""
        event = {"age_ms": 7, "request": "r1", "reason": "reset", "message": "attempt", "x": None}
        assert describe_event(event) == "message=attempt reason=reset age_ms=7"
