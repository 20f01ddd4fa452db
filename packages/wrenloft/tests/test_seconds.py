"""Tests of counting requests by the second."""

import json

from wrenloft._seconds import count_seconds, describe_second


def _line(time: float, ms: float, **fields: object) -> str:
    event: dict[str, object] = {
        "time": f"{time:.3f}",
        "message": "request ended",
        "outcome": "Done",
        "step": "",
        "reason": "",
        "predicted_ms": 90,
        "first_ms": None,
        "spent_ms": 0,
        "ms": ms,
    }
    return "host-1 " + json.dumps({**event, **fields})


class TestCountSeconds:
    """Tests for ``count_seconds``."""

    def test_requests_count_in_the_second_of_their_arrival(self) -> None:
        """A stream runs for seconds; what decided it was the load when it came."""
        lines = [
            _line(12.5, 2000, first_ms=120),
            _line(12.6, 2000, first_ms=500),
            _line(12.7, 2000, first_ms=100, spent_ms=1200),
            _line(10.9, 20),
            _line(10.9, 20, outcome="NotRun", step="place", reason="best of 7 needs 0.4 s"),
            "no event",
        ]
        (second,) = count_seconds(lines, aim_ms=400).values()
        counts = (second.in_time, second.late, second.returned, second.plain)
        assert counts == (1, 1, 1, 1)
        assert second.failed == {"place: best of  needs . s": 1}
        assert "late 1" in describe_second(10, second)
