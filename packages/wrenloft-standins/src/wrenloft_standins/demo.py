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

from aiohttp import ClientError

from wrenloft_core import Header, digest_bytes, hash_key
from wrenloft_standins import (
    ENGINES,
    SERVICES,
    Deployment,
    Weights,
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
_CHAT = "/v1/chat/completions"


@dataclass(slots=True)
class Tally:
    """What became of the callers' requests."""

    outcomes: Counter[tuple[str, str]] = field(default_factory=Counter)
    seconds: dict[str, list[float]] = field(default_factory=dict)
    crossed: int = 0
    lost: int = 0
    written: list[str] = field(default_factory=list)


class Caller:
    """A caller that asks which addresses to use and tries the next one if it may."""

    def __init__(self, deployment: Deployment, key: str, tally: Tally) -> None:
        self._deployment = deployment
        self._key = key
        self._tally = tally
        self._addresses: list[str] = []
        self._keep_until = 0.0

    async def _list_addresses(self) -> list[str]:
        if time.monotonic() > self._keep_until:
            for node in self._deployment.nodes:
                try:
                    async with self._deployment.fleet.session.get(
                        f"http://{node.http}/v1/entry",
                        headers={"Authorization": f"Bearer {self._key}"},
                    ) as response:
                        listed = await response.json()
                except ClientError:
                    continue
                self._addresses = listed["addresses"]
                self._keep_until = time.monotonic() + listed["keep_seconds"]
                break
        return self._addresses

    async def ask(
        self,
        method: str,
        path: str,
        fields: dict[str, Any] | None,
        priority: str,
        *,
        key: str = "",
        idempotent: bool = True,
    ) -> bytes | None:
        """Ask until the outcome is done or nothing more may be tried."""
        headers = {
            "Authorization": f"Bearer {self._key}",
            Header.PRIORITY: priority,
            "Content-Type": "application/json",
        }
        if key:
            headers[Header.IDEMPOTENCY_KEY] = key
        elif idempotent:
            headers[Header.IDEMPOTENT] = "true"
        started = time.monotonic()
        outcome = "lost"
        for _ in range(30):
            for address in await self._list_addresses():
                outcome, body, retry = await self._try(address, method, path, fields, headers)
                if outcome == "done":
                    spent = time.monotonic() - started
                    self._tally.seconds.setdefault(priority, []).append(spent)
                    self._tally.outcomes[priority, outcome] += 1
                    return body
                if not retry or not (key or idempotent or outcome in ("not-run", "refused")):
                    break
            await asyncio.sleep(0.3)
            self._keep_until = 0.0
        self._tally.outcomes[priority, outcome] += 1
        if outcome == "lost":
            self._tally.lost += 1
        return None

    async def _try(
        self,
        address: str,
        method: str,
        path: str,
        fields: dict[str, Any] | None,
        headers: dict[str, str],
    ) -> tuple[str, bytes, bool]:
        session = self._deployment.fleet.session
        try:
            async with session.request(
                method, f"http://{address}{path}", json=fields, headers=headers
            ) as response:
                body = await response.read()
        except ClientError:
            return "lost", b"", True
        outcome = response.headers.get(Header.OUTCOME, "lost")
        if outcome == "done" and path.startswith("/v1/chat"):
            request_id = response.headers[Header.REQUEST_ID].encode()
            if request_id not in body:
                self._tally.crossed += 1
            if fields and fields.get("stream") and not body.rstrip().endswith(b"data: [DONE]"):
                self._tally.lost += 1
        return outcome, body, True


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
    callers = [Caller(deployment, f"key-{number}", tally) for number in range(_ORGANISATIONS)]
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
        await callers[0].ask("POST", _CHAT, build_question("cave-watch", f"door {count}"), "alarm")
    elif count % 5 == 0:
        note = f"note {count}"
        tally.written.append(json.dumps({"note": note}))
        await callers[0].ask(
            "POST",
            "/v1/services/sklad-app/notes",
            {"note": note},
            "interactive",
            key=note,
            idempotent=False,
        )
    else:
        question = build_question("majster-llm", f"report {count}")
        question["stream"] = count % 2 == 0
        question["max_tokens"] = generator.randint(8, 64)
        caller = callers[generator.randrange(len(callers))]
        await caller.ask("POST", _CHAT, question, "interactive")


def build_question(model: str, text: str) -> dict[str, Any]:
    """Return the body of a chat completion."""
    return {"model": model, "messages": [{"role": "user", "content": text}]}


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
