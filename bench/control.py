"""What control costs: memory, processor time, bytes and service calls, at several sizes.

Entry nodes are real processes. Agents beyond a handful are small fakes that speak as many agents
from one process: each keeps the two streams of a real agent and reports at its rate. Bytes are
those of the loopback interface while no request flows, so they hold every header and every
acknowledgement of all processes together.
"""

import argparse
import asyncio
import json
import random
import sys
import tempfile
import time
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from wrenloft_agent.nodes import HomeNodes

from wrenloft_core import hash_key
from wrenloft_messages import messages
from wrenloft_standins import (
    SECRET,
    Deployment,
    Place,
    Process,
    Question,
    open_fleet,
    send,
    wait_for,
)

PLACES = (
    Place("liptov-cave-a", "liptov"),
    Place("orava-hall-b", "orava"),
    Place("spis-vault-c", "spis"),
)
SIZES = ((3, 0), (3, 60), (3, 240), (3, 600), (9, 240))
AGENTS_PER_PROCESS = 100
WINDOW_SECONDS = 6.0
CHANGES = 8
KEYED = 400
KEY = "bench-key"
MANY_ORGANISATIONS = 2000
MANY_MODELS = 500


class FakeAgent:
    """Reports like an agent whose load changes all the time."""

    def __init__(self, number: int, nodes: list[str], generator: random.Random) -> None:
        self._number = number
        self._sequence = 0
        self._random = generator
        self._homes = HomeNodes(nodes, SECRET, self._describe, 0.5, generator)

    def start(self) -> None:
        """Attach to two home nodes."""
        self._homes.start()

    def _describe(self) -> messages.AgentRecord:
        self._sequence += 1
        place = PLACES[self._number % len(PLACES)]
        return messages.AgentRecord(
            agent_id=f"fake-{self._number}.0a1b2c3d",
            sequence=self._sequence,
            http_address=f"10.0.{self._number // 256}.{self._number % 256}:8080",
            grpc_address=f"10.0.{self._number // 256}.{self._number % 256}:8081",
            place=place.name,
            region=place.region,
            labels={"host": f"fake-{self._number}", "service": "majster-llm"},
            phase=messages.PHASE_READY,
            capacity=8,
            running=self._random.randrange(8),
            revision=self._homes.rules.revision,
        )


async def run_fakes(first: int, count: int, nodes: list[str]) -> None:
    """Be so many agents until ended."""
    for number in range(first, first + count):
        FakeAgent(number, nodes, random.Random(number)).start()
        await asyncio.sleep(0.005)
    print("listening", flush=True)
    await asyncio.Event().wait()


def read_rss(process: Process) -> float:
    """Return a process's resident memory in MB."""
    for line in Path(f"/proc/{process.handle.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


def read_loopback() -> int:
    """Return the bytes that the loopback interface has carried."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        if line.strip().startswith("lo:"):
            return int(line.split(":")[1].split()[0])
    return 0


def write_configuration(change: int, organisations: int = 1, models: int = 0) -> str:
    """Return a configuration of a given size."""
    lines = ["[fleet]", f"answer_bytes = {60000 + change}", "[organisations.bench]"]
    lines += [f'keys = [{{digest = "{hash_key(KEY)}", classes = ["interactive"]}}]']
    for number in range(organisations - 1):
        lines += [f"[organisations.o{number}]", 'labels = {user = "cellar"}']
        digest = hash_key(f"key-{number}")
        lines += [f'keys = [{{digest = "{digest}", classes = ["interactive", "batch"]}}]']
    for number in range(models):
        lines += [f"[models.m{number}]", f'version = "{number:064x}"']
        lines += [f'origin_path = "m{number}"', "replicas = 0", 'hosts = {service = ["none"]}']
    lines += ["[services.sklad-app]", 'hosts = {service = ["sklad-app"]}']
    return "\n".join(lines)


class Measurement:
    """One size of the fleet."""

    def __init__(self, deployment: Deployment, agents: int) -> None:
        self.deployment = deployment
        self.agents = agents
        self._changes = 0

    async def read_service(self) -> dict[str, int]:
        """Return what the key-value service counted."""
        assert self.deployment.keyvalue is not None
        stats: dict[str, int] = await self.deployment.fleet.read_stats(self.deployment.keyvalue)
        return stats

    async def change(self, **size: int) -> float:
        """Make a change; return the seconds until it is in force everywhere."""
        self._changes += 1
        base = (await self.deployment.call_operators("configuration"))["revision"]
        text = write_configuration(self._changes, **size)
        started = time.monotonic()
        revision = await self.deployment.apply(text, f"change-{self._changes}", base)

        async def everywhere() -> bool:
            statuses = await asyncio.gather(
                *(
                    self.deployment.call_operators("status", node=each)
                    for each in self.deployment.nodes
                )
            )
            return all(
                status["revision"] >= revision
                and len(status["agents"]) >= self.agents
                and all(each["revision"] >= revision for each in status["agents"])
                for status in statuses
            )

        await wait_for(everywhere, 60, "change in force")
        return time.monotonic() - started

    async def watch_idle(self) -> dict[str, float]:
        """Return what control costs while nothing happens."""
        nodes = self.deployment.nodes
        before, cpu = await self.read_service(), [each.read_cpu_seconds() for each in nodes]
        loopback, started = read_loopback(), time.monotonic()
        await asyncio.sleep(WINDOW_SECONDS)
        spent = time.monotonic() - started
        carried = read_loopback() - loopback
        after = await self.read_service()
        used = [
            each.read_cpu_seconds() - each_before
            for each, each_before in zip(nodes, cpu, strict=True)
        ]
        return {
            "control_cpu_percent": round(100 * max(used) / spent, 2),
            "loopback_bytes_per_second": round(carried / spent),
            "service_writes_per_second": round((after["writes"] - before["writes"]) / spent, 2),
            "service_reads_per_second": round((after["reads"] - before["reads"]) / spent, 2),
            "service_watches": after["watches"],
            "rss_mb": round(max(read_rss(each) for each in nodes), 1),
        }


async def start_fakes(deployment: Deployment, count: int) -> None:
    """Start processes that speak as ``count`` agents."""
    nodes = ",".join(each.grpc for each in deployment.nodes)
    for first in range(0, count, AGENTS_PER_PROCESS):
        part = min(AGENTS_PER_PROCESS, count - first)
        handle = await asyncio.create_subprocess_exec(
            sys.executable, __file__, "--fakes", f"{first},{part}", "--nodes", nodes,
            stdout=asyncio.subprocess.PIPE,
        )  # fmt: skip
        assert handle.stdout is not None
        await handle.stdout.readline()
        process = Process(f"fakes-{first}", [], handle, deployment.fleet.folder / "fakes.log")
        deployment.fleet.processes.append(process)


async def measure_size(folder: Path, nodes: int, agents: int) -> dict[str, Any]:
    """Measure one size."""
    async with open_fleet(folder) as fleet:
        deployment = Deployment(fleet, places=PLACES, node_settings={"log_level": "warning"})
        await deployment.start_platform([], 1e6)
        await deployment.start_nodes(nodes)
        await start_fakes(deployment, agents)
        measurement = Measurement(deployment, agents)
        await measurement.change()
        seconds = sorted([await measurement.change() for _ in range(CHANGES)])
        result: dict[str, Any] = {"nodes": nodes, "agents": agents}
        result.update(await measurement.watch_idle())
        result["config_in_force_median_seconds"] = round(seconds[len(seconds) // 2], 3)
        result["config_in_force_p99_seconds"] = round(seconds[-1], 3)
        return result


async def measure_state(folder: Path) -> dict[str, float]:
    """Measure memory per organisation and model, and what a keyed request costs the service."""
    async with open_fleet(folder) as fleet:
        deployment = Deployment(fleet, places=PLACES, node_settings={"log_level": "warning"})
        await deployment.start_platform([], 1e6)
        await deployment.start_nodes(1)
        measurement = Measurement(deployment, 0)
        node = deployment.nodes[0]
        await measurement.change()
        small = read_rss(node)
        await measurement.change(organisations=MANY_ORGANISATIONS)
        organisations = read_rss(node)
        await measurement.change(organisations=MANY_ORGANISATIONS, models=MANY_MODELS)
        models = read_rss(node)
        await measurement.change()
        await deployment.start_host("sklad-app-0", "sklad-app", 0, "service")
        keyed = await measure_keyed(measurement, node)
        return {
            "rss_kb_per_organisation": round(
                (organisations - small) * 1024 / MANY_ORGANISATIONS, 2
            ),
            "rss_kb_per_model": round((models - organisations) * 1024 / MANY_MODELS, 2),
            "agent_rss_mb": round(read_rss(deployment.agents["sklad-app-0"]), 1),
            **keyed,
        }


async def measure_keyed(measurement: Measurement, node: Process) -> dict[str, float]:
    """Send keyed notes; return the service's calls and bytes for a thousand."""
    session = measurement.deployment.fleet.session
    path = "/v1/services/sklad-app/notes"

    async def write(number: int) -> bool:
        question = Question("POST", path, {"note": str(number)}, key=f"k{number}")
        return (await send(session, node.http, KEY, question)).outcome == "done"

    async def ready() -> bool:
        return await write(-1)

    await wait_for(ready, 30, "service")
    slots = asyncio.Semaphore(8)

    async def write_bounded(number: int) -> None:
        async with slots:
            await write(number)

    before, started = await measurement.read_service(), time.monotonic()
    await asyncio.gather(*map(write_bounded, range(KEYED)))
    await asyncio.sleep(0.2)
    after, spent = await measurement.read_service(), time.monotonic() - started
    return {
        "keyed_per_second": round(KEYED / spent, 1),
        "service_writes_per_1000_keyed": round(1000 * (after["writes"] - before["writes"]) / KEYED),
        "service_bytes_per_1000_keyed": round(
            1000 * (after["bytes_in"] - before["bytes_in"]) / KEYED
        ),
    }


def fit_slope(points: list[tuple[float, float]]) -> float:
    """Return the slope of the line of least squares."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    return sum((x - mean_x) * (y - mean_y) for x, y in points) / spread


def summarise(rows: list[dict[str, Any]], state: Mapping[str, float]) -> dict[str, Any]:
    """Return the figures and their slopes."""
    steady = [row for row in rows if row["nodes"] == 3]

    def slope(name: str) -> float:
        return fit_slope([(row["agents"], row[name]) for row in steady])

    floor = steady[0]
    largest = steady[-1]
    return {
        "base_rss_mb": floor["rss_mb"],
        "rss_mb_per_1000_runners": round(1000 * slope("rss_mb"), 2),
        "control_cpu_percent": largest["control_cpu_percent"],
        "control_cpu_percent_per_1000_runners": round(1000 * slope("control_cpu_percent"), 2),
        "control_bytes_per_second": round(largest["loopback_bytes_per_second"] / 3),
        "loopback_bytes_per_second_per_runner": round(slope("loopback_bytes_per_second"), 1),
        "service_writes_per_second": largest["service_writes_per_second"],
        "service_reads_per_second": largest["service_reads_per_second"],
        "service_writes_per_1000_runners": round(1000 * slope("service_writes_per_second"), 2),
        "service_reads_per_1000_runners": round(1000 * slope("service_reads_per_second"), 2),
        "config_in_force_p99_seconds": max(row["config_in_force_p99_seconds"] for row in rows),
        **state,
        "sizes": rows,
    }


async def run(folder: Path) -> dict[str, Any]:
    """Measure every size and return the summary."""
    rows = []
    for nodes, agents in SIZES:
        part = folder / f"{nodes}-{agents}"
        part.mkdir()
        rows.append(await measure_size(part, nodes, agents))
        print(rows[-1], flush=True)
    part = folder / "state"
    part.mkdir()
    return summarise(rows, await measure_state(part))


def main() -> None:
    """Run, and print a table and one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fakes", default="", help=argparse.SUPPRESS)
    parser.add_argument("--nodes", default="", help=argparse.SUPPRESS)
    arguments = parser.parse_args()
    if arguments.fakes:
        first, count = map(int, arguments.fakes.split(","))
        asyncio.run(run_fakes(first, count, arguments.nodes.split(",")))
        return
    with tempfile.TemporaryDirectory(prefix="wrenloft-bench-") as folder:
        result = asyncio.run(run(Path(folder)))
    for name, value in result.items():
        if name != "sizes":
            print(f"{name:<40} {value}")
    print(json.dumps(result))


if __name__ == "__main__":
    main()
