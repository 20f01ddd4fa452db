"""The demo: the whole path as separate processes, with faults, and a summary of promises kept."""

import argparse
import asyncio
import json
import random
import sys
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from wrenloft_core import digest_bytes, hash_key
from wrenloft_standins import (
    CHAT,
    ENGINES,
    SERVICES,
    Caller,
    Deployment,
    Question,
    Weights,
    ask_model,
    make_weights,
    open_fleet,
    read_weights,
    wait_for,
)

_MEGABYTE = 1_000_000
_HOST_RATE = 8 * _MEGABYTE
_ORIGIN_RATE = 16 * _MEGABYTE
_CHUNK = 1 << 19
_LOAD_SECONDS = 12.0
_ORGANISATIONS = 20
_PAUSE = 0.02


@dataclass(slots=True)
class Tally:
    """What became of the callers' requests."""

    outcomes: Counter[tuple[str, str]] = field(default_factory=Counter)
    seconds: dict[str, list[float]] = field(default_factory=dict)
    crossed: int = 0
    lost: int = 0
    written: list[str] = field(default_factory=list)


async def ask(caller: Caller, question: Question, tally: Tally) -> None:
    """Ask, and note the outcome and whether the answer is whole and the caller's own."""
    started = time.monotonic()
    reply = await caller.ask(question)
    tally.outcomes[question.priority, reply.outcome] += 1
    if reply.outcome == "lost":
        tally.lost += 1
    if reply.outcome != "done":
        return
    tally.seconds.setdefault(question.priority, []).append(time.monotonic() - started)
    if question.path != CHAT:
        return
    tally.crossed += reply.request_id.encode() not in reply.body
    if question.fields and question.fields.get("stream"):
        tally.lost += not reply.body.rstrip().endswith(b"data: [DONE]")


def write_configuration(weights: dict[str, Weights]) -> str:
    """Return a configuration with both deployments' organisations."""
    lines = [
        "[fleet]",
        'goal = "time"',
        f"host_rate = {float(_HOST_RATE)}",
        f"origin_rate = {float(_ORIGIN_RATE)}",
    ]
    for number in range(_ORGANISATIONS):
        user = "cellar" if number < _ORGANISATIONS // 2 else "conservancy"
        classes = '["alarm", "interactive", "batch"]' if number % 10 == 0 else '["interactive"]'
        lines += [
            f"[organisations.{user}-{number}]",
            f'labels = {{user = "{user}"}}',
            f'keys = [{{digest = "{hash_key(f"key-{number}")}", classes = {classes}}}]',
        ]
    for name, each in weights.items():
        lines += [
            f"[models.{name}]",
            f'version = "{each.manifest.version}"',
            f'origin_path = "{each.path}"',
            f"replicas = {ENGINES[name]}",
            f'hosts = {{service = ["{name}"]}}',
        ]
    for name in SERVICES:
        lines += [
            f"[services.{name}]",
            f'hosts = {{service = ["{name}"]}}',
            "[[services." + name + ".routes]]",
            'method = "GET"',
            'path = "/stock"',
            "idempotent = true",
        ]
    return "\n".join(lines)


@asynccontextmanager
async def start_everything(folder: Path, weights: dict[str, Weights]) -> AsyncIterator[Deployment]:
    """Start the platform, three entry nodes, the runners and their agents."""
    async with open_fleet(folder) as fleet:
        deployment = Deployment(
            fleet,
            node_settings={"lease_seconds": 3, "keep_seconds": 2.0, "log_json": True},
            agent_settings={"link_rate": float(_HOST_RATE), "leave_seconds": 1.0},
        )
        await deployment.start_platform(list(weights.values()), _ORIGIN_RATE)
        await deployment.start_nodes(3)
        hosts = [
            (f"{name}-{number}", name, number, "engine")
            for name, count in ENGINES.items()
            for number in range(count)
        ]
        hosts += [(f"{name}-0", name, number, "service") for number, name in enumerate(SERVICES)]
        await asyncio.gather(*(deployment.start_host(*host) for host in hosts))
        yield deployment


async def send_load(deployment: Deployment, tally: Tally, seconds: float) -> None:
    """Send alarms, reports and keyed writes for a while."""
    generator = random.Random(7)
    callers = [
        Caller(
            deployment.fleet.session,
            f"key-{number}",
            lambda: [node.http for node in deployment.nodes],
        )
        for number in range(_ORGANISATIONS)
    ]
    until = time.monotonic() + seconds
    running: set[asyncio.Task[Any]] = set()
    count = 0
    while time.monotonic() < until:
        count += 1
        task = asyncio.create_task(send_one(callers, generator, tally, count))
        running.add(task)
        task.add_done_callback(running.discard)
        await asyncio.sleep(_PAUSE)
    await asyncio.gather(*running)


async def send_one(
    callers: list[Caller], generator: random.Random, tally: Tally, count: int
) -> None:
    """Send one request of the mix."""
    if count % 10 == 0:
        alarm = ask_model("cave-watch", f"door {count}", priority="alarm")
        await ask(callers[0], alarm, tally)
    elif count % 5 == 0:
        note = {"note": f"note {count}"}
        tally.written.append(json.dumps(note))
        path = "/v1/services/sklad-app/notes"
        await ask(callers[0], Question("POST", path, note, key=f"note {count}"), tally)
    else:
        report = ask_model(
            "majster-llm",
            f"report {count}",
            stream=count % 2 == 0,
            max_tokens=generator.randint(8, 64),
        )
        await ask(callers[generator.randrange(len(callers))], report, tally)


async def wait_for_replicas(deployment: Deployment, name: str, wanted: int) -> float:
    """Return the monotonic time at which a model had all its replicas."""

    async def reached() -> bool:
        status = await deployment.call_operators("status")
        model = status["models"].get(name)
        return model is not None and int(model["replicas"]) >= wanted

    await wait_for(reached, 60, f"{wanted} replicas of {name}")
    return time.monotonic()


def say(text: str) -> None:
    """Print progress."""
    print(f"[{time.strftime('%H:%M:%S')}] {text}", flush=True)


async def run_demo(folder: Path, weights_file: Path | None) -> int:
    """Run the demo and return the exit code."""
    main_weights = (
        read_weights(folder, "majster-llm", weights_file, _CHUNK)
        if weights_file
        else make_weights(folder, "majster-llm", 64 * _MEGABYTE, _CHUNK, seed=1)
    )
    weights = {
        "majster-llm": main_weights,
        "cave-watch": make_weights(folder, "cave-watch", 4 * _MEGABYTE, _CHUNK, seed=2),
    }
    say("starting the platform, 3 entry nodes, 12 runners and 12 agents")
    async with start_everything(folder, weights) as deployment:
        applied = time.monotonic()
        revision = await deployment.apply(write_configuration(weights), "demo-1")
        say(f"configuration accepted as revision {revision}; weights spread")
        await wait_for_replicas(deployment, "cave-watch", ENGINES["cave-watch"])
        spread = await wait_for_replicas(deployment, "majster-llm", ENGINES["majster-llm"])
        seconds = spread - applied
        say(f"all replicas serve after {seconds:.1f} s; sending requests")
        tally = Tally()
        load = asyncio.create_task(send_load(deployment, tally, _LOAD_SECONDS))
        await asyncio.sleep(_LOAD_SECONDS / 3)
        say("killing the agent of majster-llm-3")
        await deployment.agents["majster-llm-3"].kill()
        await asyncio.sleep(_LOAD_SECONDS / 3)
        say("killing entry node node-1")
        await next(each for each in deployment.nodes if each.name == "node-1").kill()
        await load
        return await summarise(deployment, tally, weights, seconds)


async def summarise(
    deployment: Deployment, tally: Tally, weights: dict[str, Weights], seconds: float
) -> int:
    """Print the summary; return 1 if a promise was broken."""
    assert deployment.origin is not None
    total = weights["majster-llm"].manifest.total
    everything = sum(each.manifest.total for each in weights.values())
    sent = (await deployment.fleet.read_stats(deployment.origin))["bytes_sent"]
    bound = total / _HOST_RATE
    ledger = await deployment.fleet.read_stats(deployment.runners["sklad-app-0"])
    duplicates = sum(count - 1 for count in ledger["notes"].values())
    missing = sum(note not in ledger["notes"] for note in tally.written)
    mixed = await count_mixed(deployment, weights)
    print()
    print(f"weights            {total / _MEGABYTE:.0f} MB to {ENGINES['majster-llm']} hosts")
    print(f"time to replicas   {seconds:.1f} s, lower bound {bound:.1f} s")
    print(f"origin copies      {sent / everything:.2f}")
    for (priority, outcome), count in sorted(tally.outcomes.items()):
        spent = sorted(tally.seconds.get(priority, [0.0]))
        p95 = spent[int(len(spent) * 0.95)] * 1000
        print(f"{priority:<18} {outcome:<8} {count:>5}   p95 {p95:.0f} ms")
    print(f"duplicates         {duplicates}")
    print(f"lost               {tally.lost}")
    print(f"crossed            {tally.crossed}")
    print(f"notes not written  {missing}")
    print(f"mixed weights      {mixed}")
    broken = bool(duplicates or tally.lost or tally.crossed or missing or mixed)
    print("a promise was broken" if broken else "every promise was kept")
    return 1 if broken else 0


async def count_mixed(deployment: Deployment, weights: dict[str, Weights]) -> int:
    """Count engines that hold bytes other than those of a published file."""
    whole = {
        each.manifest.version: str(digest_bytes(each.file.read_bytes()))
        for each in weights.values()
    }
    mixed = 0
    for name, runner in deployment.runners.items():
        if name.rsplit("-", 1)[0] in ENGINES:
            stats = await deployment.fleet.read_stats(runner)
            for versions in stats["loaded"].values():
                mixed += sum(whole.get(version) != digest for version, digest in versions.items())
    return mixed


def main() -> None:
    """Read the arguments and run the demo."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--weights", type=Path, default=None)
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="wrenloft-demo-") as folder:
        sys.exit(asyncio.run(run_demo(Path(folder), arguments.weights)))


if __name__ == "__main__":
    main()
