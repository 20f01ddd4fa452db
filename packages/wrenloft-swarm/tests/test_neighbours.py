"""Tests of the choice of neighbours and of the spread of digests."""

from collections import Counter
from random import Random
from unittest.mock import Mock, patch

import pytest

from wrenloft_core import ModelName, PlatformUnavailableError
from wrenloft_swarm import ChunkStore, LatestState, Neighbour, Reconciler, ReconcilerContext
from wrenloft_swarm._chunk_store import VersionName
from wrenloft_swarm._neighbours import choose_subscriptions
from wrenloft_swarm._reconciler import _count_digest_rounds


def _fleet(regions: int, each: int) -> list[tuple[str, str]]:
    return [
        (f"10.{region}.0.{n}:1", f"r{region}") for region in range(regions) for n in range(each)
    ]


def _describe(own_region: str, address: str, region: str) -> Neighbour:
    return Neighbour(address, own_region == region, region == "r0", region)


class TestChooseSubscriptions:
    """Tests for ``choose_subscriptions``."""

    @pytest.mark.parametrize("each", [4, 28, 220])
    def test_connections_do_not_grow_with_the_fleet(self, each: int) -> None:
        """With subscriptions to all others, agents spend their processor time on bitmaps.

        At 119 agents each has 118 connections with ten messages a second while weights move.
        """
        fleet = _fleet(5, each)
        subscribers: Counter[str] = Counter()
        for address, region in fleet:
            own = _describe(region, address, region)
            others = [_describe(region, *other) for other in fleet if other[0] != address]
            chosen = choose_subscriptions(own, others)
            assert len(chosen) <= 16 + 8 + 3 * 4
            subscribers.update(found.address for found in chosen)
        assert max(subscribers.values()) <= 110

    def test_every_agent_is_reached(self) -> None:
        """A chunk at any agent reaches all others through the subscriptions within three hops."""
        fleet = _fleet(5, 28)
        subscriptions: dict[str, list[str]] = {}
        for address, region in fleet:
            own = _describe(region, address, region)
            others = [_describe(region, *other) for other in fleet if other[0] != address]
            subscriptions[address] = [found.address for found in choose_subscriptions(own, others)]
        reached = {fleet[0][0]}
        hops = 0
        while len(reached) < len(fleet):
            hops += 1
            reached |= {own for own, chosen in subscriptions.items() if reached & set(chosen)}
            assert hops <= 3


class TestFindDigests:
    """Tests of the spread of a list of digests to many agents."""

    @staticmethod
    async def _spread_digests(agents: int) -> tuple[int, Counter[str]]:
        """Let agents request the list in rounds; return the rounds and the requests to each."""
        addresses = [f"10.0.0.{n}:1" for n in range(agents)]
        requests: Counter[str] = Counter()
        holders: set[str] = set()

        def build(address: str) -> Reconciler:
            others = [Neighbour(each, near=True) for each in addresses if each != address]
            context = ReconcilerContext(
                engine=Mock(),
                origin=Mock(),
                session=Mock(),
                chunk_store=ChunkStore(),
                latest=LatestState(),
                neighbours=lambda: others,
                own=Neighbour(address, near=True),
                link_rate=1e6,
                chunk_bytes=100,
                random=Random(address),
            )
            return Reconciler(ModelName("m"), context)

        reconcilers = {address: build(address) for address in addresses}
        holders |= {
            each for each, reconciler in reconcilers.items() if reconciler._is_origin_fetcher()
        }

        async def fetch(_: object, address: str, __: object) -> tuple[str, ...]:
            requests[address] += 1
            if address not in holders:
                raise PlatformUnavailableError("none yet", step="fetch-digests")
            return ("d",)

        rounds = 0
        with patch("wrenloft_swarm._reconciler.fetch_digests", fetch):
            while len(holders) < agents:
                rounds += 1
                requesters = [each for each in addresses if each not in holders]
                found = [
                    each
                    for each in requesters
                    if await reconcilers[each]._fetch_digests_nearby(VersionName(ModelName("m"), 2))
                ]
                holders |= set(found)
        return rounds, requests

    @pytest.mark.parametrize("agents", [8, 36, 119])
    async def test_no_origin_fetcher_is_asked_by_all_at_once(self, agents: int) -> None:
        """A version is set, and every agent but the four origin fetchers needs its digests.

        Asked by all, the four would send the list a hundred times while the first chunks wait, and
        agents without an answer would ask the origin, which accepts few connections.
        """
        rounds, requests = await self._spread_digests(agents)
        assert rounds <= _count_digest_rounds(agents - 1)
        assert max(requests.values()) <= agents / 2
