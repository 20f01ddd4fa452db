"""Time to N replicas and origin bytes: our swarm against three baselines, on the same links.

The baselines run on the same agents, ordered by the benchmark as if it owned the model's shard:
each host from the origin, a chain, and a binary tree.
"""

import argparse
import asyncio
import json
import statistics
import tempfile
import time
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import grpc

from wrenloft_core import Header, hash_key
from wrenloft_messages import messages, services
from wrenloft_standins import (
    SECRET,
    Deployment,
    Place,
    Process,
    Weights,
    ask_model,
    make_weights,
    open_fleet,
    send,
    wait_for,
)

HOST_RATE = 8e6
ORIGIN_RATE = 16e6
CHUNK = 1 << 18
LIVE_MODEL = "live"
BURST_MODEL = "burst"
KEY = "bench-key"
ENGINES_PER_PROCESS = 4
IDLE_SECONDS = 3.0
LIVE_PAUSE = 0.03
PLACES = (
    Place("liptov-cave-a", "liptov"),
    Place("orava-hall-b", "orava"),
    Place("spis-vault-c", "spis"),
)


@dataclass(slots=True)
class Host:
    """One host of the benchmark."""

    name: str
    agent: Process
    engine: str


@dataclass(slots=True)
class Bench:
    """The running processes."""

    deployment: Deployment
    hosts: list[Host]
    live: list[float] = field(default_factory=list)

    async def origin_bytes(self) -> int:
        """Return how many bytes of weights the origin has sent."""
        assert self.deployment.origin is not None
        stats = await self.deployment.fleet.read_stats(self.deployment.origin)
        return int(stats["bytes_sent"])

    async def read_engine(self, host: Host) -> dict[str, Any]:
        """Return what an engine counted."""
        async with self.deployment.fleet.session.get(f"http://{host.engine}/stats") as response:
            stats: dict[str, Any] = await response.json()
            return stats

    async def count_serving(self, model: str, version: str) -> int:
        """Return how many engines serve a version."""
        stats = await asyncio.gather(*(self.read_engine(each) for each in self.hosts))
        return sum(each["serving"].get(model) == version for each in stats)


async def start_hosts(deployment: Deployment, count: int, memory: int) -> list[Host]:
    """Start the engines, several to a process, and an agent for each."""
    engines: list[str] = []
    for number in range(0, count, ENGINES_PER_PROCESS):
        part = min(ENGINES_PER_PROCESS, count - number)
        process = await deployment.fleet.start_standin(
            f"engines-{number}", "engine", "--count", str(part)
        )
        engines += process.addresses

    async def start(number: int) -> Host:
        place = PLACES[number % len(PLACES)]
        assert deployment.origin is not None
        agent = await deployment.fleet.start_agent(
            f"host-{number}",
            {
                "place": place.name,
                "region": place.region,
                "runner": engines[number],
                "origin": deployment.origin.http,
                "nodes": [each.grpc for each in deployment.nodes],
                "labels": {"service": "bench"},
                "link_rate": HOST_RATE,
                "memory_bytes": memory,
            },
        )
        return Host(f"host-{number}", agent, engines[number])

    hosts: list[Host] = []
    for number in range(0, count, 8):
        hosts += await asyncio.gather(*map(start, range(number, min(count, number + 8))))
    return hosts


def write_configuration(models: Mapping[str, Weights], replicas: int, goal: str) -> str:
    """Return a configuration that places the models on all hosts."""
    lines = ["[fleet]", f'goal = "{goal}"', f"host_rate = {HOST_RATE}"]
    lines += [f"origin_rate = {ORIGIN_RATE}", "[organisations.bench]"]
    lines += [f'keys = [{{digest = "{hash_key(KEY)}", classes = ["interactive"]}}]']
    lines += ["[organisations.bench.limits]", "rate = 10000.0", "concurrent = 10000"]
    for name, weights in models.items():
        lines += [
            f"[models.{name}]",
            f'version = "{weights.manifest.version}"',
            f'origin_path = "{weights.path}"',
            f"replicas = {replicas}",
        ]
    return "\n".join(lines)


async def run_baseline(bench: Bench, number: int, weights: Weights, shape: str) -> dict[str, float]:
    """Spread a version the simple way; return seconds and origin copies."""
    chunks = range(len(weights.manifest.digests))
    before, started = await bench.origin_bytes(), time.monotonic()
    channels = [grpc.aio.insecure_channel(each.agent.grpc) for each in bench.hosts]
    stubs = [services.AgentStub(each) for each in channels]
    ids = [await find_agent_id(bench, stub) for stub in stubs]
    for index, stub in enumerate(stubs):
        parent = {"origin": None, "chain": index - 1, "tree": (index - 1) // 2}[shape]
        neighbours = []
        if parent is not None and index:
            source = bench.hosts[parent].agent
            neighbours = [
                messages.Neighbour(
                    agent_id=ids[parent], http_address=source.http, grpc_address=source.grpc
                )
            ]
        fetches = shape == "origin" or index == 0
        order = messages.PlacementOrder(
            agent_id=ids[index],
            shard=1000 + number,
            epoch=1,
            revision=1,
            model=f"baseline-{shape}",
            version=weights.manifest.version,
            origin_path=weights.path,
            neighbours=neighbours,
            permits=[messages.OriginPermit(chunk=each) for each in chunks] if fetches else [],
        )
        await stub.Order(order, metadata=((Header.SECRET.lower(), SECRET),))

    async def complete() -> bool:
        model = f"baseline-{shape}"
        return await bench.count_serving(model, weights.manifest.version) == len(bench.hosts)

    await wait_for(complete, 600, f"baseline {shape}")
    seconds = time.monotonic() - started
    sent = await bench.origin_bytes() - before
    for channel in channels:
        await channel.close(None)
    return {"seconds": round(seconds, 2), "origin_copies": round(sent / weights.manifest.total, 2)}


async def find_agent_id(bench: Bench, stub: Any) -> str:
    """Ask an agent for its id, which changes with each start."""
    request = messages.SurveyRequest(shard=999, epoch=1)
    state = await stub.Survey(request, metadata=((Header.SECRET.lower(), SECRET),))
    return str(state.agent_id)


async def send_live(bench: Bench, stop: asyncio.Event) -> None:
    """Send short requests to every host's live model until told to stop."""
    nodes = [each.http for each in bench.deployment.nodes]
    running: set[asyncio.Task[None]] = set()
    count = 0

    async def ask(address: str, number: int) -> None:
        started = time.monotonic()
        question = ask_model(LIVE_MODEL, f"q{number}", stream=True, max_tokens=8)
        reply = await send(bench.deployment.fleet.session, address, KEY, question)
        if reply.outcome == "done":
            bench.live.append((time.monotonic() - started) * 1000)

    while not stop.is_set():
        count += 1
        task = asyncio.create_task(ask(nodes[count % len(nodes)], count))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(LIVE_PAUSE)
    await asyncio.gather(*running)


def read_cpu_seconds(bench: Bench) -> float:
    """Return the processor time that all agents have used."""
    return sum(each.agent.read_cpu_seconds() for each in bench.hosts)


def p95(values: list[float]) -> float:
    """Return the 95th percentile."""
    return round(statistics.quantiles(values, n=20)[-1], 1) if len(values) > 1 else 0.0


async def run_swarm(
    bench: Bench, live: Weights, burst: Weights, arguments: argparse.Namespace
) -> dict[str, Any]:
    """Spread a version through the product while live requests flow."""
    deployment, count = bench.deployment, len(bench.hosts)
    await deployment.apply(write_configuration({LIVE_MODEL: live}, count, arguments.goal), "live")

    async def live_everywhere() -> bool:
        statuses = [
            await deployment.call_operators("status", node=each) for each in deployment.nodes
        ]
        return all(each["models"].get(LIVE_MODEL, {}).get("replicas") == count for each in statuses)

    await wait_for(live_everywhere, 120, "live model")
    stop = asyncio.Event()
    sending = asyncio.create_task(send_live(bench, stop))
    await asyncio.sleep(IDLE_SECONDS)
    idle, bench.live = bench.live, []
    await set_faults(bench, arguments)
    before, started = await bench.origin_bytes(), time.monotonic()
    models = {LIVE_MODEL: live, BURST_MODEL: burst}
    await deployment.apply(write_configuration(models, count, arguments.goal), "burst")
    wanted = count - arguments.kill
    first = 0.0
    cpu = read_cpu_seconds(bench)
    killing = asyncio.create_task(kill_hosts(bench, arguments.kill))
    while (serving := await bench.count_serving(BURST_MODEL, burst.manifest.version)) < wanted:
        if serving and not first:
            first = time.monotonic() - started
        if time.monotonic() - started > 600:
            raise TimeoutError(f"only {serving} replicas")
        await asyncio.sleep(0.05)
    seconds = time.monotonic() - started
    await killing
    sent = await bench.origin_bytes() - before
    stop.set()
    await sending
    return {
        "seconds": round(seconds, 2),
        "first_replica_seconds": round(first or seconds, 2),
        "origin_copies": round(sent / burst.manifest.total, 3),
        "live_p95_ms_idle": p95(idle),
        "live_p95_ms_during": p95(bench.live),
        "agent_cpu_seconds": round((read_cpu_seconds(bench) - cpu) / count, 2),
        "live_requests": len(idle) + len(bench.live),
    }


async def set_faults(bench: Bench, arguments: argparse.Namespace) -> None:
    """Make the origin misbehave as asked."""
    assert bench.deployment.origin is not None
    await bench.deployment.fleet.set_faults(
        bench.deployment.origin, corrupt=arguments.corrupt, stall=arguments.stall
    )


async def kill_hosts(bench: Bench, count: int) -> None:
    """Kill agents in the middle of the burst."""
    await asyncio.sleep(1.0)
    for host in bench.hosts[1 : 1 + count]:
        await host.agent.kill()


async def run(arguments: argparse.Namespace, folder: Path) -> dict[str, Any]:
    """Run the benchmark and return its figures."""
    size = int(arguments.megabytes * 1e6)
    shapes = [] if arguments.no_baselines else ["origin", "chain", "tree"]
    baselines = [
        make_weights(folder, f"base-{each}", size, CHUNK, 10 + n) for n, each in enumerate(shapes)
    ]
    live = make_weights(folder, LIVE_MODEL, 200_000, CHUNK, 1)
    burst = make_weights(folder, BURST_MODEL, size, CHUNK, 2)
    async with open_fleet(folder) as fleet:
        deployment = Deployment(fleet, places=PLACES, node_settings={"log_level": "warning"})
        await deployment.start_platform([*baselines, live, burst], ORIGIN_RATE)
        await deployment.start_nodes(3)
        hosts = await start_hosts(deployment, arguments.hosts, int(size * 2.5))
        bench = Bench(deployment, hosts)
        results: dict[str, Any] = {}
        for number, (shape, weights) in enumerate(zip(shapes, baselines, strict=True)):
            results[shape] = await run_baseline(bench, number, weights, shape)
            print(f"{shape:<8} {results[shape]}", flush=True)
        swarm = await run_swarm(bench, live, burst, arguments)
    bound = max(
        size / HOST_RATE, arguments.hosts * size / (ORIGIN_RATE + arguments.hosts * HOST_RATE)
    )
    return {
        "hosts": arguments.hosts,
        "goal": arguments.goal,
        "megabytes": arguments.megabytes,
        "bound_seconds": round(bound, 2),
        "ratio": round(swarm["seconds"] / bound, 3),
        **swarm,
        "killed": arguments.kill,
        "corrupt": arguments.corrupt,
        "stall": arguments.stall,
        "baselines": results,
    }


def main() -> None:
    """Read the arguments, run, and print a table and one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--hosts", type=int, default=24)
    parser.add_argument("--goal", choices=["time", "origin"], default="time")
    parser.add_argument("--megabytes", type=float, default=24.0)
    parser.add_argument("--no-baselines", action="store_true")
    parser.add_argument("--corrupt", type=float, default=0.0, help="part of the origin's answers")
    parser.add_argument("--stall", type=float, default=0.0, help="part of the origin's answers")
    parser.add_argument("--kill", type=int, default=0, help="hosts killed during the burst")
    parser.add_argument("--folder", type=Path, help="where to keep settings and logs")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="wrenloft-bench-") as folder:
        result = asyncio.run(run(arguments, arguments.folder or Path(folder)))
    for name, value in result.items():
        print(f"{name:<24} {value}")
    print(json.dumps(result))


if __name__ == "__main__":
    main()
