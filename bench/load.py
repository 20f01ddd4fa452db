"""Requests under load and faults, through the product's real processes.

Three entry nodes and eleven runners with the users' names. Arrivals are Poisson, seeded, from ten
organisations with Zipf-like shares. Phases: overhead on an idle system; half, whole and twice the
capacity; each rule for choosing a runner with reports two seconds old; and faults under load.
"""

import argparse
import asyncio
import json
import random
import signal
import statistics
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from wrenloft_core import Header, hash_key
from wrenloft_standins import (
    Deployment,
    Question,
    Reply,
    Weights,
    ask_model,
    make_weights,
    open_fleet,
    send,
    wait_for,
)

ENGINES = {"majster-llm": 7, "cave-watch": 3}
SLOTS = 4
TOKENS = 16
TOKEN_SECONDS = 0.02
CAPACITY = ENGINES["majster-llm"] * (SLOTS - 1) / (TOKENS * TOKEN_SECONDS)
ORGANISATIONS = 10
ALARM_SHARE = 0.05
BATCH_SHARE = 0.25
NOTE_SHARE = 0.05
DEADLINE_MS = 4000
OVERHEAD_CALLS = 60
CHOICES = ("two-candidates", "random", "round-robin", "least-reported")


@dataclass(slots=True)
class Tally:
    """What became of the requests of one phase."""

    milliseconds: dict[str, list[float]] = field(default_factory=dict)
    outcomes: Counter[str] = field(default_factory=Counter)
    attempts: int = 0
    done: int = 0
    done_in_time: int = 0
    crossed: int = 0
    lost: int = 0
    notes: list[str] = field(default_factory=list)

    def add(self, question: Question, reply: Reply, spent: float) -> None:
        """Count one reply."""
        self.outcomes[f"{question.priority} {reply.outcome}"] += 1
        if reply.outcome == "lost":
            self.lost += 1
        if reply.outcome != "done":
            return
        self.done += 1
        self.attempts += max(1, int(reply.headers.get(Header.ATTEMPTS, "1")))
        self.milliseconds.setdefault(question.priority, []).append(spent * 1000)
        if question.path.startswith("/v1/chat"):
            self.crossed += reply.request_id.encode() not in reply.body


@dataclass(slots=True)
class Recorder:
    """Writes what was sent and what was done to it, as a trace that the tests can replay."""

    lines: list[dict[str, Any]] = field(default_factory=list)

    def note_request(self, question: Question, reply: Reply) -> None:
        """Record a request with its outcome."""
        self.lines.append({"request": asdict(question), "outcome": reply.outcome})

    def note_fault(self, fault: str, target: str) -> None:
        """Record a fault."""
        self.lines.append({"fault": fault, "target": target})

    def write(self, path: Path) -> None:
        """Write JSON lines."""
        path.write_text("".join(json.dumps(line) + "\n" for line in self.lines))


def write_configuration(weights: dict[str, Weights]) -> str:
    """Return the configuration of the benchmark."""
    lines = ["[fleet]", "host_rate = 50e6", "origin_rate = 100e6"]
    for number in range(ORGANISATIONS):
        lines += [f"[organisations.o{number}]"]
        digest = hash_key(f"key-{number}")
        lines += [f'keys = [{{digest = "{digest}", classes = ["alarm", "interactive", "batch"]}}]']
        lines += [f"[organisations.o{number}.limits]", "rate = 1000.0", "concurrent = 1000"]
    for name, each in weights.items():
        lines += [f"[models.{name}]", f'version = "{each.manifest.version}"']
        lines += [f'origin_path = "{each.path}"', f"replicas = {ENGINES[name]}"]
        lines += [f'hosts = {{service = ["{name}"]}}']
    lines += ["[services.sklad-app]", 'hosts = {service = ["sklad-app"]}']
    return "\n".join(lines)


@asynccontextmanager
async def open_deployment(
    folder: Path, choice: str = CHOICES[0], report_seconds: float = 0.25
) -> AsyncIterator[Deployment]:
    """Start everything and wait until it serves at every node."""
    weights = {
        name: make_weights(folder, name, 100_000, 1 << 16, seed)
        for seed, name in enumerate(ENGINES)
    }
    async with open_fleet(folder) as fleet:
        deployment = Deployment(
            fleet,
            node_settings={"choice": choice, "log_level": "warning", "keep_seconds": 2.0},
            agent_settings={"report_seconds": report_seconds, "capacity": SLOTS, "queue": SLOTS},
        )
        await deployment.start_platform(list(weights.values()), 100e6)
        await deployment.start_nodes(3)
        engine = ("--capacity", str(SLOTS), "--token-seconds", str(TOKEN_SECONDS))
        await asyncio.gather(
            *(
                deployment.start_host(f"{name}-{number}", name, number, "engine", *engine)
                for name, count in ENGINES.items()
                for number in range(count)
            ),
            deployment.start_host("sklad-app-0", "sklad-app", 0, "service"),
        )
        await deployment.apply(write_configuration(weights), "bench")
        await wait_for(lambda: is_serving(deployment), 60, "all replicas")
        yield deployment


async def is_serving(deployment: Deployment) -> bool:
    """Tell whether every node knows of every replica and of the service."""
    for node in deployment.nodes:
        status = await deployment.call_operators("status", node=node)
        ready = sum(each["phase"] == "ready" for each in status["agents"])
        whole = all(
            status["models"].get(name, {}).get("replicas") == n for name, n in ENGINES.items()
        )
        if not whole or ready < sum(ENGINES.values()) + 1:
            return False
    return True


def pick_question(generator: random.Random, number: int, alarms: str) -> Question:
    """Return one request of the mix; alarms go to the model that is under load."""
    draw = generator.random()
    if draw < ALARM_SHARE:
        return ask_model(alarms, f"alarm {number}", priority="alarm", max_tokens=4)
    if draw < ALARM_SHARE + NOTE_SHARE:
        path = "/v1/services/sklad-app/notes"
        return Question("POST", path, {"note": f"n{number}"}, key=f"n{number}")
    priority = "batch" if draw < ALARM_SHARE + NOTE_SHARE + BATCH_SHARE else "interactive"
    return ask_model(
        "majster-llm",
        f"report {number}",
        priority=priority,
        stream=number % 2 == 0,
        max_tokens=TOKENS,
        deadline_ms=DEADLINE_MS,
    )


async def offer(
    deployment: Deployment, rate: float, seconds: float, seed: int, recorder: Recorder | None = None
) -> Tally:
    """Send requests at a rate, whatever becomes of them."""
    generator, tally = random.Random(seed), Tally()
    shares = [1 / (rank + 1) for rank in range(ORGANISATIONS)]
    running: set[asyncio.Task[None]] = set()

    async def ask(question: Question, key: str, start: int) -> None:
        began = time.monotonic()
        reply = Reply("lost")
        for offset in range(len(deployment.nodes)):
            node = deployment.nodes[(start + offset) % len(deployment.nodes)]
            reply = await send(deployment.fleet.session, node.http, key, question)
            if reply.outcome != "lost":
                break
        tally.add(question, reply, time.monotonic() - began)
        tally.done_in_time += reply.outcome == "done" and time.monotonic() <= until
        if recorder is not None:
            recorder.note_request(question, reply)

    until, number = time.monotonic() + seconds, seed * 100_000
    while time.monotonic() < until:
        await asyncio.sleep(generator.expovariate(rate))
        number += 1
        question = pick_question(generator, number, "majster-llm")
        if question.key:
            tally.notes.append(json.dumps(question.fields))
        organisation = generator.choices(range(ORGANISATIONS), shares)[0]
        task = asyncio.create_task(ask(question, f"key-{organisation}", number))
        running.add(task)
        task.add_done_callback(running.discard)
    await asyncio.gather(*running)
    return tally


def percentiles(values: list[float]) -> dict[str, float]:
    """Return the median, the 95th and the 99th percentile."""
    if len(values) < 2:
        return {}
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    return {"p50": round(cuts[49], 1), "p95": round(cuts[94], 1), "p99": round(cuts[98], 1)}


def describe(tally: Tally, seconds: float) -> dict[str, Any]:
    """Return a phase's figures."""
    total = sum(tally.outcomes.values())
    return {
        "requests": total,
        "goodput_per_second": round(tally.done_in_time / seconds, 1),
        "attempts_per_done": round(tally.attempts / max(1, tally.done), 3),
        "milliseconds": {
            name: percentiles(each) for name, each in sorted(tally.milliseconds.items())
        },
        "outcomes": dict(sorted(tally.outcomes.items())),
        "crossed": tally.crossed,
        "lost": tally.lost,
    }


async def measure_overhead(deployment: Deployment) -> float:
    """Return the median milliseconds through us less direct to the engine, one at a time."""
    engine = deployment.runners["majster-llm-0"]
    session = deployment.fleet.session
    fields = {"model": "majster-llm", "messages": [], "max_tokens": 1}
    through, direct = [], []
    for number in range(OVERHEAD_CALLS):
        started = time.monotonic()
        question = ask_model("majster-llm", f"o{number}", max_tokens=1)
        await send(session, deployment.nodes[0].http, "key-0", question)
        through.append((time.monotonic() - started) * 1000)
        started = time.monotonic()
        async with session.post(
            f"http://{engine.http}/v1/chat/completions", json=fields
        ) as response:
            await response.read()
        direct.append((time.monotonic() - started) * 1000)
    return round(statistics.median(through) - statistics.median(direct), 2)


async def measure_load(folder: Path, seconds: float) -> dict[str, Any]:
    """Measure half, whole and twice the capacity."""
    async with open_deployment(folder) as deployment:
        result: dict[str, Any] = {"overhead_ms_p50": await measure_overhead(deployment)}
        for seed, (name, factor) in enumerate((("half", 0.5), ("whole", 1.0), ("twice", 2.0))):
            cpu = sum(each.read_cpu_seconds() for each in deployment.nodes)
            tally = await offer(deployment, CAPACITY * factor / 0.9, seconds, seed + 1)
            used = sum(each.read_cpu_seconds() for each in deployment.nodes) - cpu
            result[name] = describe(tally, seconds)
            result[name]["tokens_per_node_cpu_second"] = round(
                tally.done * TOKENS / max(used, 0.01)
            )
        return result


async def measure_choice(folder: Path, choice: str, seconds: float) -> dict[str, Any]:
    """Measure one rule for choosing runners, with old reports and two slow runners."""
    async with open_deployment(folder, choice, report_seconds=2.0) as deployment:
        for number in (0, 1):
            runner = deployment.runners[f"majster-llm-{number}"]
            await deployment.fleet.set_faults(runner, slow=2.0)
        return describe(await offer(deployment, CAPACITY * 0.6, seconds, 9), seconds)


async def measure_faults(folder: Path, seconds: float, trace: Path | None) -> dict[str, Any]:
    """Measure a killed agent, an outage of the service and a stopped entry node under load."""
    recorder = Recorder()
    async with open_deployment(folder) as deployment:
        offering = asyncio.create_task(offer(deployment, CAPACITY * 0.5, seconds, 20, recorder))
        await asyncio.sleep(seconds / 4)
        recorder.note_fault("kill-agent", "majster-llm-2")
        await deployment.agents["majster-llm-2"].kill()
        await asyncio.sleep(seconds / 4)
        assert deployment.keyvalue is not None
        recorder.note_fault("service-out", "")
        await deployment.fleet.set_faults(deployment.keyvalue, outage=True)
        await asyncio.sleep(seconds / 4)
        recorder.note_fault("service-back", "")
        await deployment.fleet.set_faults(deployment.keyvalue, outage=False)
        recorder.note_fault("stop-node", "node-2")
        deployment.nodes[2].send(signal.SIGTERM)
        tally = await offering
        ledger = await deployment.fleet.read_stats(deployment.runners["sklad-app-0"])
        result = describe(tally, seconds)
        result["duplicates"] = sum(count - 1 for count in ledger["notes"].values())
        if trace is not None:
            recorder.write(trace)
        return result


def make_folder(folder: Path, name: str) -> Path:
    """Make and return a folder for one phase's settings and logs."""
    made = folder / name
    made.mkdir()
    return made


async def run(arguments: argparse.Namespace, folder: Path) -> dict[str, Any]:
    """Run every phase."""
    load = await measure_load(make_folder(folder, "load"), arguments.seconds)
    print(json.dumps(load, indent=1), flush=True)
    choices = {}
    for choice in CHOICES:
        choices[choice] = await measure_choice(
            make_folder(folder, choice), choice, arguments.seconds
        )
        print(choice, choices[choice]["milliseconds"], flush=True)
    faults = await measure_faults(make_folder(folder, "faults"), arguments.seconds, arguments.trace)
    half, whole, twice = load["half"], load["whole"], load["twice"]
    return {
        "overhead_ms_p50": load["overhead_ms_p50"],
        "alarm_p99_ms_half": half["milliseconds"]["alarm"]["p99"],
        "alarm_p99_ms_twice": twice["milliseconds"]["alarm"]["p99"],
        "goodput_whole": whole["goodput_per_second"],
        "goodput_twice": twice["goodput_per_second"],
        "tokens_per_node_cpu_second": twice["tokens_per_node_cpu_second"],
        "interactive_p99_ms": {
            name: each["milliseconds"]["interactive"]["p99"] for name, each in choices.items()
        },
        "duplicates": faults["duplicates"],
        "lost": faults["lost"] + half["lost"] + whole["lost"] + twice["lost"],
        "crossed": faults["crossed"] + twice["crossed"],
        "attempts_per_done_in_faults": faults["attempts_per_done"],
        "load": load,
        "choices": choices,
        "faults": faults,
    }


def main() -> None:
    """Read the arguments, run, and print a table and one JSON object."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=8.0, help="of each phase")
    parser.add_argument("--trace", type=Path, help="where to record the phase with faults")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="wrenloft-bench-") as folder:
        result = asyncio.run(run(arguments, Path(folder)))
    for name, value in result.items():
        if name not in ("load", "choices"):
            print(f"{name:<28} {value}")
    print(json.dumps(result))


if __name__ == "__main__":
    main()
