"""Tests of fetching a version."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

import pytest
from aiohttp import ClientSession
from wrenloft_agent._store import ChunkStore
from wrenloft_agent._transfer import Transfer, TransferMeans
from wrenloft_agent.origin import OriginClient

from wrenloft_core import Manifest, Pacer, build_manifest, digest_bytes
from wrenloft_policy import Permit
from wrenloft_standins import Origin, OriginFaults, serve

_CHUNKS = [bytes([number]) * 5000 for number in range(12)]
_PATH = "weights.bin"


@asynccontextmanager
async def _open_transfer(
    origin: Origin, manifest: Manifest
) -> AsyncIterator[tuple[Transfer, ChunkStore]]:
    async with serve(origin) as server, ClientSession() as session:
        store = ChunkStore(1 << 20)
        pacer = Pacer(1e9)
        means = TransferMeans(
            store=store,
            session=session,
            origin=OriginClient(session, server.address, pacer),
            pacer=pacer,
            secret="s",
            link_rate=1e9,
            random=Random(1),
        )
        transfer = Transfer(manifest.version, _PATH, means)
        try:
            yield transfer, store
        finally:
            await transfer.close()


def _publish(chunks: list[bytes]) -> tuple[Origin, Manifest]:
    manifest = build_manifest(chunks)
    origin = Origin(rate=1e9, seed=3)
    origin.publish(_PATH, b"".join(chunks), manifest)
    return origin, manifest


class TestRun:
    """Tests for ``Transfer.run``."""

    @pytest.mark.parametrize(
        "faults",
        [OriginFaults(corrupt=0.3), OriginFaults(stall=0.1), OriginFaults(delay=0.01)],
    )
    async def test_ends_whole_whatever_the_origin_does(self, faults: OriginFaults) -> None:
        """The origin sends wrong bytes, stalls half-way or is slow.

        Wrong chunks are thrown away and asked for again; a stalled answer is given up in time.
        """
        origin, manifest = _publish(_CHUNKS)
        origin.faults = faults
        async with _open_transfer(origin, manifest) as (transfer, store):
            transfer.update([], [Permit(chunk, 0.0) for chunk in range(len(_CHUNKS))])
            await transfer.run(await transfer.find_manifest())
            assert store.is_whole(manifest)
            assert all(store.get(digest_bytes(chunk)) == chunk for chunk in _CHUNKS)

    async def test_does_not_ask_the_origin_without_a_permit(self) -> None:
        """Hosts that each drew their own copy would fill the origin's link."""
        origin, manifest = _publish(_CHUNKS)
        async with _open_transfer(origin, manifest) as (transfer, store):
            transfer.update([], [Permit(0, 0.0)])
            running = asyncio.create_task(transfer.run(await transfer.find_manifest()))
            while store.get(manifest.digests[0]) is None:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.3)
            running.cancel()
            assert store.held(manifest.version) == [0]
            assert origin.stats()["bytes_sent"] == len(_CHUNKS[0])

    async def test_does_not_fetch_a_chunk_that_another_version_brought(self) -> None:
        """A fine-tuned sibling shares most chunks with its model; only the others travel."""
        changed = [*_CHUNKS[:-1], b"new" * 1000]
        origin, manifest = _publish(changed)
        async with _open_transfer(origin, manifest) as (transfer, store):
            for chunk in _CHUNKS:
                store.add(digest_bytes(chunk), chunk, peer="earlier")
            transfer.update([], [Permit(chunk, 0.0) for chunk in range(len(changed))])
            await transfer.run(await transfer.find_manifest())
            assert origin.stats()["bytes_sent"] == len(changed[-1])
