"""Tests of targets, fences and switching versions."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import pytest
from aiohttp import ClientSession
from wrenloft_agent._models import Models, Target
from wrenloft_agent._store import ChunkStore
from wrenloft_agent._transfer import TransferMeans
from wrenloft_agent.origin import OriginClient
from wrenloft_agent.runner import EngineOrders

from wrenloft_core import (
    Manifest,
    ModelName,
    Pacer,
    Revision,
    ShardNumber,
    VersionDigest,
    build_manifest,
    digest_bytes,
)
from wrenloft_policy import Permit
from wrenloft_standins import Engine, EngineFaults, Origin, OriginFaults, serve

_MODEL = ModelName("majster-llm")
_OLD = [b"common" * 500, b"old" * 500]
_NEW = [b"common" * 500, b"new" * 500]


class _Bench:
    """An agent's models between a real engine stand-in and a real origin stand-in."""

    def __init__(self) -> None:
        self.engine = Engine()
        self.origin = Origin(rate=1e8, seed=1)
        self.manifests: dict[str, Manifest] = {}
        self.uses: dict[str, int] = {}
        for name, chunks in (("old", _OLD), ("new", _NEW)):
            manifest = self.manifests[name] = build_manifest(chunks)
            self.origin.publish(name, b"".join(chunks), manifest)

    @asynccontextmanager
    async def open(self) -> AsyncIterator[Models]:
        """Give the models until the context ends."""
        async with (
            serve(self.engine) as engine,
            serve(self.origin) as origin,
            ClientSession() as session,
        ):
            pacer = Pacer(1e9)
            means = TransferMeans(
                store=ChunkStore(1 << 20),
                session=session,
                origin=OriginClient(session, origin.address, pacer),
                pacer=pacer,
                secret="s",
                link_rate=1e8,
                random=Random(1),
            )
            models = Models(
                EngineOrders(session, engine.address),
                means,
                lambda version: self.uses.get(version, 0),
                lambda: None,
            )
            try:
                yield models
            finally:
                await models.close()

    def target(self, name: str, epoch: int = 1, revision: int = 1) -> Target:
        """Return an order for a version."""
        version = self.manifests[name].version if name else VersionDigest("")
        return Target(_MODEL, version, ShardNumber(3), epoch, Revision(revision), name)

    def order(self, models: Models, name: str, epoch: int = 1, revision: int = 1) -> str:
        """Give an order with permits for everything; return why it was refused."""
        refusal = models.order(
            self.target(name, epoch, revision), [], [Permit(0, 0.0), Permit(1, 0.0)]
        )
        return refusal.reason if refusal else ""

    async def wait_serving(self, name: str) -> None:
        """Wait until the engine serves a version."""
        while self.engine.stats()["serving"].get(_MODEL) != self.manifests[name].version:
            await asyncio.sleep(0.01)


class TestOrder:
    """Tests for ``Models.order``."""

    async def test_serves_a_version_only_once_it_is_whole(self) -> None:
        """A host must not answer from partial weights while chunks arrive corrupt.

        The engine gets no order before every chunk matched its digest, and then the exact bytes.
        """
        bench = _Bench()
        bench.origin.faults = OriginFaults(corrupt=0.5)
        async with bench.open() as models:
            bench.order(models, "old")
            await bench.wait_serving("old")
            loaded = bench.engine.stats()["loaded"][_MODEL]
            assert loaded == {bench.manifests["old"].version: digest_bytes(b"".join(_OLD))}

    @pytest.mark.parametrize("ignores", [False, True])
    async def test_refuses_an_old_epoch_even_if_the_engine_would_not(self, ignores: bool) -> None:
        """An owner was paused, lost its lease, and wakes with an order already under way.

        Its successor has ordered a newer version. Whether or not the engine checks fencing
        numbers, the old order does not reach it.
        """
        bench = _Bench()
        bench.engine.faults = EngineFaults(ignores_fencing=ignores)
        async with bench.open() as models:
            bench.order(models, "new", epoch=2)
            await bench.wait_serving("new")
            assert "older" in bench.order(models, "old", epoch=1, revision=9)
            await asyncio.sleep(0.1)
            assert bench.engine.stats()["serving"][_MODEL] == bench.manifests["new"].version

    async def test_refuses_an_old_epoch_after_a_survey(self) -> None:
        """A new owner has looked but not ordered yet; what it saw must stay true."""
        bench = _Bench()
        async with bench.open() as models:
            assert models.raise_fence(ShardNumber(3), 2)
            assert "older" in bench.order(models, "old", epoch=1)

    async def test_refuses_an_older_revision(self) -> None:
        """An owner that has not heard of the newest configuration orders the old version."""
        bench = _Bench()
        async with bench.open() as models:
            bench.order(models, "new", revision=5)
            assert "older" in bench.order(models, "old", revision=4)

    async def test_ends_with_the_newest_target_when_versions_race(self) -> None:
        """A version is replaced while it is on its way to the host.

        The old transfer stops, the shared chunk is kept, and the new version is what serves.
        """
        bench = _Bench()
        bench.origin.faults = OriginFaults(delay=0.05)
        async with bench.open() as models:
            bench.order(models, "old", revision=1)
            await asyncio.sleep(0.08)
            bench.order(models, "new", revision=2)
            await bench.wait_serving("new")
            await asyncio.sleep(0.2)
            assert bench.engine.stats()["serving"][_MODEL] == bench.manifests["new"].version
            assert bench.origin.stats()["bytes_sent"] <= len(b"".join(_OLD)) + len(_NEW[1])

    async def test_keeps_the_old_version_until_its_last_request_has_ended(self) -> None:
        """A report is being written from the old version while the new one takes over."""
        bench = _Bench()
        async with bench.open() as models:
            bench.order(models, "old", revision=1)
            await bench.wait_serving("old")
            bench.uses[bench.manifests["old"].version] = 1
            bench.order(models, "new", revision=2)
            await bench.wait_serving("new")
            await asyncio.sleep(0.2)
            assert bench.manifests["old"].version in bench.engine.stats()["loaded"][_MODEL]
            bench.uses.clear()
            while bench.manifests["old"].version in bench.engine.stats()["loaded"][_MODEL]:
                await asyncio.sleep(0.01)

    async def test_rolls_back_without_a_fetch(self) -> None:
        """Going back to a version that is still held draws nothing from the origin."""
        bench = _Bench()
        async with bench.open() as models:
            bench.order(models, "old", revision=1)
            await bench.wait_serving("old")
            bench.order(models, "new", revision=2)
            await bench.wait_serving("new")
            sent = bench.origin.stats()["bytes_sent"]
            bench.order(models, "old", revision=3)
            await bench.wait_serving("old")
            assert bench.origin.stats()["bytes_sent"] == sent


class TestReadBack:
    """Tests for ``Models.read_back``."""

    async def test_learns_what_the_engine_really_serves(self) -> None:
        """An agent that replaces another starts with the engine's truth, not with nothing."""
        bench = _Bench()
        bench.engine.set_serving(_MODEL, "v7")
        async with bench.open() as models:
            await models.read_back()
            assert models.serving == {_MODEL: "v7"}


class TestWatchEngine:
    """Tests for ``Models.watch_engine``."""

    async def test_loads_again_what_a_restarted_engine_lost(self) -> None:
        """The engine is restarted and holds nothing; the agent still has the chunks."""
        bench = _Bench()
        async with bench.open() as models:
            bench.order(models, "old")
            await bench.wait_serving("old")
            while not models._tasks[_MODEL].done():
                await asyncio.sleep(0.01)
            watch = asyncio.create_task(models.watch_engine())
            bench.engine.forget()
            await bench.wait_serving("old")
            watch.cancel()

    async def test_leaves_a_transfer_under_way_alone(self) -> None:
        """Something else at the engine differs while a version is on its way.

        The transfer holds permits that no other host has; restarting it would drop them, and
        the whole fleet would wait for those chunks for ever (seen with 24 hosts).
        """
        bench = _Bench()
        bench.origin.faults = OriginFaults(down=True)
        async with bench.open() as models:
            bench.order(models, "old")
            before = models._tasks[_MODEL]
            models.serving = {ModelName("another"): VersionDigest("v")}
            models._restart_settled()
            assert models._tasks[_MODEL] is before
