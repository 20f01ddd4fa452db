"""Pieces turn bad at one runner while its streams on the old version go on: are they loaded?"""

import asyncio
import os
import sys
import time
from contextlib import AsyncExitStack
from pathlib import Path

from standins.caller import Caller
from standins.deployment import (
    ORIGIN_IP,
    RUNNER_IPS,
    ZONE,
    Deployment,
    build_configuration,
    build_route,
    build_service,
)
from standins.processes import (
    RULE_BROKEN,
    Record,
    find_free_port,
    run_scenario,
    wait_ready,
)
from standins.runner import SLOTS, Runner
from standins.store import Store
from standins.weights import CHUNK_BYTES, CHUNKS, LAYERS, MODEL, Origin

FOLDER = Path(__file__).resolve().parent
HOSTS = RUNNER_IPS[:4]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

ORIGIN_RATE = 7.3e6
HOST_RATE = 3.65e6
"""Bits a second of the origin's link and of each host's, as on the sheet."""

SPOILT_CHUNKS = [7, 23, 41, 66, 90]
"""5 of 96 pieces at 1 of 4 runners: less than the largest x (0.06) and share (0.3) on the site."""

VERSION_TIMES = (4.0, 8.0, 20.0, 24.0, 36.0, 40.0, 52.0, 56.0)
"""When versions are named, in seconds after the first request: pairs as on the site's quiet day."""

MAX_SECONDS = 66.0
QUIET_SECONDS = 28.0
"""Length without the disruption, and the longest with it."""

AFTER_SECONDS = 10.0
"""From the disruption until the end."""

REQUEST_INTERVAL_SECONDS = 0.25

LEFT_SECONDS = 3.6
"""Work that a runner has left when its pieces turn bad: more than the three seconds excused."""

ENGINE = {
    "slots": SLOTS,
    "kvCapacity": 1180000,
    "kvTokenBytes": 163840,
    "linkMbps": 400000.0,
    "stride": 5,
    "models": [{"name": MODEL, "pace": 1.0, "loadS": 4.0, "warmS": 0.3}],
    "megabytes": 266000.0,
    "step_ms": 8.87,
    "per_seq_ms": 0.0388,
    "context_per_k": 0.0227,
    "read_per_s": 19100.0,
    "pairs_per_m": 1.47,
    "chunk": 2048,
    "report_lag_ms": 200.0,
    "delays": [],
    "usual": {"prompt": 977, "answer": 94},
    "layers": LAYERS,
    "layer_mb": 4540.0,
    "act_bytes": 16384,
    "chunks": CHUNKS,
    "chunkBytes": CHUNK_BYTES,
}


async def send_requests(caller: Caller) -> None:
    """Send streams at a steady rate until cancelled."""
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(caller.send_stream("/streams/a"))
            await asyncio.sleep(REQUEST_INTERVAL_SECONDS)


async def name_versions(store: Store, origin: Origin, record: Record) -> None:
    """Name versions as the operator does."""
    passed = 0.0
    for version, at in enumerate(VERSION_TIMES, start=2):
        await asyncio.sleep(at - passed)
        passed = at
        origin.newest = version
        store.put(f"op/version/{MODEL}", {"model": MODEL, "version": version})
        record.write("version named", version=version)


async def spoil_pieces(runners: list[Runner], origin: Origin, record: Record) -> None:
    """Let pieces of the newest version turn bad at the first runner that still has to unload.

    It has refused an order to load them, and its streams last longer than the time excused.
    """
    while True:
        for each in runners:
            refuses = each.order is not None and each.refused_version == origin.newest
            left = max(each.ends.values(), default=0.0) - time.monotonic()
            if refuses and left > LEFT_SECONDS:
                record.write("pieces turn bad", runner=each.name, pieces=SPOILT_CHUNKS)
                each.spoil(SPOILT_CHUNKS)
                return
        await asyncio.sleep(0.02)


async def run(stack: AsyncExitStack, record: Record) -> int | None:
    """Run the case; return 2 if it could not run."""
    deployment = Deployment(stack, record)
    await deployment.start_store()
    store = deployment.store
    origin_port = find_free_port(ORIGIN_IP)
    origin = Origin(ORIGIN_RATE)
    await deployment.serve(origin.build(), ORIGIN_IP, origin_port)
    route = build_route(
        "streams",
        "streaming",
        "llm",
        sessionAffinity=True,
        streamResume=True,
        gapTargetMs=400,
    )
    services = [
        build_service("llm", 434, engine=ENGINE),
        {
            "name": "weights",
            "origin": f"{ORIGIN_IP}:{origin_port}",
            "zone": ZONE,
            "linkMbps": ORIGIN_RATE / 1e6,
            "maxConnections": 48,
        },
    ]
    store.put("op/config", build_configuration([route], services))
    store.put(f"op/version/{MODEL}", {"model": MODEL, "version": 1})
    runners = []
    for number, ip in enumerate(HOSTS):
        address = f"{ip}:{deployment.runner_port}"
        runner = Runner(f"i-{number}", "llm", address, ZONE, store, record)
        await deployment.serve(runner.build(), ip, deployment.runner_port)
        deployment.run(runner.beat())
        runners.append(runner)
    agents = [deployment.build_agent(ip, "llm", HOST_RATE) for ip in HOSTS]
    programs = [deployment.build_entry(), *agents]
    await deployment.start(*programs)
    try:
        await wait_ready(deployment.readiness)
    except TimeoutError:
        record.write("not ready")
        return 2
    await asyncio.sleep(2.0)
    record.write("begun")
    deployment.run(send_requests(Caller(deployment.front, record)))
    deployment.run(name_versions(store, origin, record))
    if TROUBLE:
        try:
            async with asyncio.timeout(MAX_SECONDS):
                await spoil_pieces(runners, origin, record)
        except TimeoutError:
            record.write("no runner met the condition")
            return 2
    await asyncio.sleep(AFTER_SECONDS if TROUBLE else QUIET_SECONDS)
    if any(each.has_ended for each in programs):
        record.write("a program has ended")
        return 2
    return None


async def main() -> int:
    """Run the case and return the exit code."""
    record = Record(FOLDER / "record.txt")
    async with AsyncExitStack() as stack:
        code = await run(stack, record)
    if code is not None:
        return code
    runs = [each for each in record.events if each.name == "run"]
    broken = [each for each in runs if each.fields["flawed"]]
    print(f"{len(broken)} of {len(runs)} runs made tokens with flawed pieces")
    if not runs:
        return 2
    return RULE_BROKEN if broken else 0


if __name__ == "__main__":
    sys.exit(run_scenario(main))
