"""A deployment with the names and sizes of the users' sites."""

import asyncio
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from wrenloft_core import Manifest, build_manifest, hash_key
from wrenloft_standins._fleet import OPERATOR_KEY, Fleet, Process


@dataclass(frozen=True, slots=True)
class Place:
    """A place in a region of its own."""

    name: str
    region: str


CELLAR_PLACES = (
    Place("liptov-cave-a", "liptov"),
    Place("orava-hall-b", "orava"),
    Place("spis-vault-c", "spis"),
)

ENGINES = {"majster-llm": 7, "cave-watch": 3}
SERVICES = ("sklad-app", "public-viewer")


@dataclass(slots=True)
class Weights:
    """A file of weights with its manifest, ready to be published."""

    path: str
    file: Path
    manifest_file: Path
    manifest: Manifest


def make_weights(folder: Path, name: str, size: int, chunk_bytes: int, seed: int) -> Weights:
    """Write seeded bytes and their manifest."""
    file = folder / f"{name}.bin"
    file.write_bytes(random.Random(seed).randbytes(size))
    return read_weights(folder, name, file, chunk_bytes)


def read_weights(folder: Path, name: str, file: Path, chunk_bytes: int) -> Weights:
    """Name the chunks of a file and write its manifest."""
    with file.open("rb") as opened:
        manifest = build_manifest(iter(lambda: opened.read(chunk_bytes), b""))
    manifest_file = folder / f"{name}.manifest"
    manifest_file.write_bytes(manifest.encode())
    return Weights(f"{name}.bin", file, manifest_file, manifest)


@dataclass(slots=True)
class Deployment:
    """A fleet with a platform, entry nodes, runners and agents."""

    fleet: Fleet
    places: Sequence[Place] = CELLAR_PLACES
    keyvalue: Process | None = None
    origin: Process | None = None
    nodes: list[Process] = field(default_factory=list)
    agents: dict[str, Process] = field(default_factory=dict)
    runners: dict[str, Process] = field(default_factory=dict)
    node_settings: Mapping[str, Any] = field(default_factory=dict)
    agent_settings: Mapping[str, Any] = field(default_factory=dict)

    async def start_platform(self, weights: Sequence[Weights], origin_rate: float) -> None:
        """Start the key-value service and the origin."""
        self.keyvalue = await self.fleet.start_standin("keyvalue", "keyvalue")
        published: list[str] = []
        for each in weights:
            published += ["--publish", each.path, str(each.file), str(each.manifest_file)]
        self.origin = await self.fleet.start_standin(
            "origin", "origin", "--rate", str(origin_rate), *published
        )

    async def start_node(self, name: str, place: Place) -> Process:
        """Start one entry node."""
        assert self.keyvalue is not None and self.origin is not None
        process = await self.fleet.start_node(
            name,
            {
                "place": place.name,
                "region": place.region,
                "keyvalue": [self.keyvalue.http],
                "origin": self.origin.http,
                "operator_key": hash_key(OPERATOR_KEY),
                **self.node_settings,
            },
        )
        self.nodes = sorted([*self.nodes, process], key=lambda each: each.name)
        return process

    async def start_nodes(self, count: int) -> None:
        """Start entry nodes, spread over the places."""
        await asyncio.gather(
            *(
                self.start_node(f"node-{number}", self.places[number % len(self.places)])
                for number in range(count)
            )
        )

    async def start_runner(self, name: str, kind: str, *arguments: str) -> Process:
        """Start a model engine or a plain service."""
        process = self.runners[name] = await self.fleet.start_standin(
            f"{name}-runner", kind, *arguments
        )
        return process

    async def start_agent(
        self, name: str, service: str, place: Place, kind: str, **settings: object
    ) -> Process:
        """Start an agent before its runner."""
        assert self.keyvalue is not None and self.origin is not None
        process = self.agents[name] = await self.fleet.start_agent(
            name,
            {
                "place": place.name,
                "region": place.region,
                "runner": self.runners[name].http,
                "kind": kind,
                "keyvalue": [self.keyvalue.http],
                "origin": self.origin.http,
                "nodes": [each.grpc for each in self.nodes if each.running],
                "labels": {"service": service},
                **self.agent_settings,
                **settings,
            },
        )
        return process

    async def start_host(
        self, name: str, service: str, number: int, kind: str = "engine", *arguments: str
    ) -> None:
        """Start a runner and its agent in the place that its number falls to."""
        place = self.places[number % len(self.places)]
        await self.start_runner(name, kind, *arguments)
        await self.start_agent(name, service, place, kind)

    async def call_operators(
        self, path: str, fields: Mapping[str, Any] | None = None, node: Process | None = None
    ) -> dict[str, Any]:
        """Call the operators' API of a node.

        :raises RuntimeError: if the call is refused.
        """
        method = "GET" if fields is None else "POST"
        target = node or next(each for each in self.nodes if each.running)
        async with self.fleet.session.request(
            method,
            f"http://{target.http}/operators/v1/{path}",
            json=fields,
            headers={"Authorization": f"Bearer {OPERATOR_KEY}"},
        ) as response:
            answer: dict[str, Any] = await response.json()
        if response.status >= 300:
            raise RuntimeError(f"{response.status}: {answer}")
        return answer

    async def apply(self, text: str, operation: str, base: int | None = None) -> int:
        """Apply a configuration and return its revision."""
        if base is None:
            base = (await self.call_operators("configuration"))["revision"]
        answer = await self.call_operators(
            "configuration",
            {"text": text, "base": base, "operation": operation, "author": "deployment"},
        )
        return int(answer["revision"])


async def wait_for(condition: Any, seconds: float = 30.0, what: str = "condition") -> None:
    """Wait until an asynchronous condition holds.

    :raises TimeoutError: if it does not in time.
    """
    try:
        async with asyncio.timeout(seconds):
            while not await condition():
                await asyncio.sleep(0.05)
    except TimeoutError:
        raise TimeoutError(f"{what} not reached within {seconds} s") from None
