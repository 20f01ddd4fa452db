"""Tests of logged counters."""

import asyncio

import pytest
from prometheus_client import CollectorRegistry, Counter

from wrenloft_core import log_counts, read_counts


class TestReadCounts:
    """Tests for ``read_counts``."""

    def test_names_each_label(self) -> None:
        """A line names what was counted for a human reader, and only this program's counters."""
        registry = CollectorRegistry()
        counter = Counter("wrenloft_messages", "Messages.", ["kind", "way"], registry=registry)
        Counter("other", "Not ours.", registry=registry).inc()
        counter.labels("frame", "sent").inc(3)
        assert read_counts(registry) == {"messages frame sent": 3.0}


class TestLogCounts:
    """Tests for ``log_counts``."""

    async def test_logs_increases_since_the_last_line(
        self, caplog: pytest.LogCaptureFixture
    ) -> None:
        """The rates of messages before a failure can be read from the logs alone."""
        caplog.set_level("INFO")
        counter = Counter("wrenloft_test_lines", "For this test.")
        task = asyncio.create_task(log_counts(0.05))
        await asyncio.sleep(0.01)
        counter.inc(7)
        async with asyncio.timeout(10):
            while not any(record.message == "counts" for record in caplog.records):
                await asyncio.sleep(0.01)
        task.cancel()
        record = next(each for each in caplog.records if each.message == "counts")
        assert record.fields["risen"]["test_lines"] == 7  # type: ignore[attr-defined]
