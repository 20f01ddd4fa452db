"""A small site for failure tests: three nodes, three engines, one plain service."""

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

from wrenloft_core import hash_key
from wrenloft_standins._caller import Caller, Question, Reply, send
from wrenloft_standins._deployment import Deployment, Weights, make_weights, wait_for
from wrenloft_standins._fleet import Process, open_fleet

MODEL = "majster-llm"
SERVICE = "sklad-app"
KEY = "cellar-key"
ENGINE_COUNT = 3
_SIZE = 300_000
_CHUNK = 16_384
_RATE = 50e6


class Site:
    """What a failure test acts on."""

    def __init__(self, deployment: Deployment, weights: Mapping[str, Weights]) -> None:
        self.deployment = deployment
        self.weights = weights
        self.session = deployment.fleet.session
        self._operations = 0

    @property
    def nodes(self) -> list[Process]:
        """The entry nodes that run."""
        return [each for each in self.deployment.nodes if each.running]

    @property
    def keyvalue(self) -> Process:
        """The key-value service."""
        assert self.deployment.keyvalue is not None
        return self.deployment.keyvalue

    @property
    def origin(self) -> Process:
        """The origin of weights."""
        assert self.deployment.origin is not None
        return self.deployment.origin

    def caller(self) -> Caller:
        """Return a new caller."""
        return Caller(self.session, KEY, lambda: [each.http for each in self.nodes])

    async def send(self, question: Question, node: Process | None = None) -> Reply:
        """Send a question once, through one node."""
        return await send(self.session, (node or self.nodes[0]).http, KEY, question)

    async def notes(self) -> dict[str, int]:
        """Return how often each note was written."""
        stats = await self.deployment.fleet.read_stats(self.deployment.runners["sklad-app-0"])
        notes: dict[str, int] = stats["notes"]
        return notes

    async def engine_stats(self) -> dict[str, dict[str, Any]]:
        """Return what each engine counted."""
        names = [name for name in self.deployment.runners if name.startswith(MODEL)]
        stats = await asyncio.gather(
            *(self.deployment.fleet.read_stats(self.deployment.runners[each]) for each in names)
        )
        return dict(zip(names, stats, strict=True))

    async def set_faults(self, process: Process, **faults: object) -> None:
        """Make a stand-in misbehave."""
        await self.deployment.fleet.set_faults(process, **faults)

    def configure(self, version: str = "first", replicas: int = ENGINE_COUNT, **fleet: Any) -> str:
        """Return a configuration in TOML."""
        weights = self.weights[version]
        lines = ["[fleet]", 'goal = "origin"']
        lines += [f"host_rate = {_RATE}", f"origin_rate = {2 * _RATE}"]
        lines += [f"{name} = {value}" for name, value in fleet.items()]
        lines += [
            "[organisations.liptov]",
            'labels = {user = "cellar"}',
            f'keys = [{{digest = "{hash_key(KEY)}", classes = ["alarm", "interactive", "batch"]}}]',
            f"[models.{MODEL}]",
            f'version = "{weights.manifest.version}"',
            f'origin_path = "{weights.path}"',
            f"replicas = {replicas}",
            f'hosts = {{service = ["{MODEL}"]}}',
            f"[services.{SERVICE}]",
            f'hosts = {{service = ["{SERVICE}"]}}',
        ]
        return "\n".join(lines)

    async def apply(self, text: str, base: int | None = None, node: Process | None = None) -> int:
        """Apply a configuration through a node and return its revision."""
        self._operations += 1
        if base is None:
            shown = await self.deployment.call_operators("configuration", node=node)
            base = shown["revision"]
        answer = await self.deployment.call_operators(
            "configuration",
            {"text": text, "base": base, "operation": f"operation-{self._operations}"},
            node=node,
        )
        return int(answer["revision"])

    async def status(self, node: Process | None = None) -> dict[str, Any]:
        """Return a node's view of the fleet."""
        return await self.deployment.call_operators("status", node=node)

    async def wait_replicas(self, count: int = ENGINE_COUNT) -> None:
        """Wait until every running node knows of so many replicas, and of the service."""

        async def reached() -> bool:
            for node in self.nodes:
                status = await self.status(node)
                ready = [each for each in status["agents"] if each["phase"] == "ready"]
                model = status["models"].get(MODEL, {"replicas": -1})
                if model["replicas"] < count or len(ready) <= count:
                    return False
            return True

        await wait_for(reached, 60, f"{count} replicas at every node")

    async def wait_revision(self, revision: int) -> None:
        """Wait until a revision is in force at every node and agent."""

        async def reached() -> bool:
            for node in self.nodes:
                status = await self.status(node)
                live = [each for each in status["agents"] if each["fresh"]]
                if status["revision"] < revision or any(
                    each["revision"] < revision for each in live
                ):
                    return False
            return True

        await wait_for(reached, 60, f"revision {revision} everywhere")

    async def wait_shards(self) -> None:
        """Wait until every shard has an owner that is registered."""

        async def reached() -> bool:
            status = await self.status(self.nodes[0])
            owned = sum(each["shards"] for each in status["nodes"])
            return bool(owned == 64 and status["unowned_shards"] == 0)

        await wait_for(reached, 60, "all shards owned")


@asynccontextmanager
async def open_site(
    folder: Path,
    *,
    node_settings: Mapping[str, Any] | None = None,
    engine_arguments: tuple[str, ...] = (),
    configure: bool = True,
) -> AsyncIterator[Site]:
    """Start a small site and wait until it serves."""
    weights = {
        name: make_weights(folder, name, _SIZE, _CHUNK, seed)
        for seed, name in enumerate(("first", "second"))
    }
    async with open_fleet(folder) as fleet:
        deployment = Deployment(
            fleet,
            node_settings={
                "lease_seconds": 2,
                "keep_seconds": 1.0,
                "poll_seconds": 0.3,
                "heartbeat_seconds": 0.2,
                **(node_settings or {}),
            },
            agent_settings={"link_rate": _RATE, "leave_seconds": 0.5, "report_seconds": 0.2},
        )
        await deployment.start_platform(list(weights.values()), 2 * _RATE)
        await deployment.start_nodes(3)
        await asyncio.gather(
            *(
                deployment.start_host(f"{MODEL}-{n}", MODEL, n, "engine", *engine_arguments)
                for n in range(ENGINE_COUNT)
            ),
            deployment.start_host(f"{SERVICE}-0", SERVICE, 0, "service"),
        )
        site = Site(deployment, weights)
        if configure:
            await site.apply(site.configure(), base=0)
            await site.wait_replicas()
            await site.wait_shards()
        yield site
