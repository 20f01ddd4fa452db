"""One seeded run of the soak."""

import asyncio
import time
from collections import Counter
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from random import Random

from aiohttp import web

from wrenloft_platform import _names as names

from ..platform.conftest import StandinStore
from .callers import Caller
from .checks import Record
from .documents import Configuration
from .endpoint import LOOPBACK
from .fleet import GRACE_SECONDS, Fleet

FAULT_SHARE = 0.85
"""Share of the time in which faults begin."""

RETRY_BUDGETS = ((0.2, 50.0), (1.0, 900.0), (0.02, 9.0), (0.0, 0.0))
"""Ratio and slack of the retry budget, one of which a seed draws; nine nodes share the slack."""

MEMORY_MB = 600.0
"""Memory that an entry node may use in runs in which it is bounded."""


@dataclass(frozen=True)
class Size:
    """How large and long a run is.

    :param seconds: how long callers send requests.
    """

    entries: int
    endpoints: int
    callers: int
    faults: int
    seconds: float = 8.0


def pick_size(seed: int, processes: int | None = None) -> Size:
    """Return the size of a run; without a given number of processes it varies with the seed."""
    total = processes or 5 + seed % 4
    entries = 2 + (total > 6)
    return Size(entries, total - entries, callers=8 * total, faults=3 * total)


@dataclass
class Report:
    """What a run showed."""

    violations: list[str]
    counts: Counter[str]
    faults: list[str]


async def run_seed(seed: int, size: Size, folder: Path) -> Report:
    """Run one seed, with logs and journals in a folder, and check what was seen."""
    random = Random(seed)
    configuration = Configuration(random.choice((2, 3)), Random(random.random()))
    ratio, slack = random.choice(RETRY_BUDGETS)
    bounds = {"grace": GRACE_SECONDS, "revoke": random.choice((0.0, 5.0))}
    bounds |= {"retry_ratio": ratio, "retry_slack": slack}
    bounded = {"contracts": [names.PRESSURE_CONTRACT], "memory_mb": MEMORY_MB}
    changes = {"bounds": bounds, "log_lines": 5000, **random.choice(({}, bounded))}
    async with AsyncExitStack() as stack:
        store = await _start_store(stack)
        fleet = Fleet(folder, store, Random(random.random()), stack, configuration)
        await fleet.start(size.entries, size.endpoints, **changes)
        callers = [
            Caller(f"s{seed}-{n}", Random(random.random()), fleet.list_fronts)
            for n in range(size.callers)
        ]
        start = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for each in callers:
                group.create_task(each.run(start + size.seconds))
            await fleet.cause_faults(start, size.seconds * FAULT_SHARE, size.faults)
            await asyncio.sleep(max(0.0, start + size.seconds - time.monotonic()))
            await fleet.stop()
        await asyncio.sleep(0.3)  # until endpoints have seen the last connections end
        exchanges = [exchange for caller in callers for exchange in caller.exchanges]
        record = Record(exchanges, fleet.nodes, fleet.silences, configuration)
        for endpoint in fleet.endpoints + fleet.retired:
            record.read_journal(endpoint.journal)
    counts = Counter(f"{each.end.value} {each.answer.status or ''}".strip() for each in exchanges)
    counts["requests"] = len(exchanges)
    counts["runs"] = sum(map(len, record.runs.values()))
    counts["second runs"] = sum(len(each) > 1 for each in record.runs.values())
    counts["rejections"] = record.rejections.total()
    violations = record.check()
    counts.update({f"allowed, {reason}": count for reason, count in record.allowed.items()})
    return Report(violations, counts, fleet.faults)


async def _start_store(stack: AsyncExitStack) -> StandinStore:
    store = StandinStore()
    runner = web.AppRunner(store.build(), shutdown_timeout=0.1)
    await runner.setup()
    stack.push_async_callback(runner.cleanup)
    await web.TCPSite(runner, LOOPBACK, 0).start()
    store.address = f"{LOOPBACK}:{runner.addresses[0][1]}"
    return store
