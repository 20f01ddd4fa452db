"""Periodic log lines with the program's counters, for analysis from logs alone."""

import asyncio
import logging

from prometheus_client import REGISTRY, CollectorRegistry

from wrenloft_core._logs import note

_LOG = logging.getLogger(__name__)

COUNTS_SECONDS = 10.0
"""Interval of lines: a tenth of a line a second, with rates over ten seconds."""

_PREFIX = "wrenloft_"
_SUFFIX = "_total"


def read_counts(registry: CollectorRegistry = REGISTRY) -> dict[str, float]:
    """Return the value of each of this program's counters, by name and labels."""
    counts = {}
    for metric in registry.collect():
        for sample in metric.samples:
            if sample.name.startswith(_PREFIX) and sample.name.endswith(_SUFFIX):
                name = sample.name.removeprefix(_PREFIX).removesuffix(_SUFFIX)
                counts[" ".join([name, *sample.labels.values()])] = sample.value
    return counts


async def log_counts(seconds: float = COUNTS_SECONDS) -> None:
    """Log the increase of each counter periodically until cancelled.

    :param seconds: interval of lines.
    """
    before = read_counts()
    while True:
        await asyncio.sleep(seconds)
        counts = read_counts()
        risen = {
            name: round(value - before.get(name, 0.0))
            for name, value in counts.items()
            if value > before.get(name, 0.0)
        }
        before = counts
        note(_LOG, "counts", seconds=seconds, risen=risen)
