"""Tests of which agents follow which."""

from collections import Counter
from random import Random
from unittest.mock import Mock, patch

import pytest

from wrenloft_core import ModelName, PlatformUnavailableError
from wrenloft_swarm import Holdings, LatestState, Means, Neighbour, Upkeep
from wrenloft_swarm._chunk_store import VersionName
from wrenloft_swarm._neighbours import choose_followed
from wrenloft_swarm._reconciler import _count_digest_rounds


def _fleet(regions: int, each: int) -> list[tuple[str, str]]:
    return [
        (f"10.{region}.0.{n}:1", f"r{region}") for region in range(regions) for n in range(each)
    ]


def _describe(own_region: str, address: str, region: str) -> Neighbour:
    return Neighbour(address, own_region == region, region == "r0", region)


class TestChooseFollowed:
    """Tests for ``choose_followed``."""

    @pytest.mark.parametrize("each", [4, 28, 220])
    def test_connections_do_not_grow_with_the_fleet(self, each: int) -> None:
        """Agents that all follow all spend their processor time on telling what they hold.

        At 119 agents each had 118 connections with ten messages a second, while weights moved.
        """
        fleet = _fleet(5, each)
        followers: Counter[str] = Counter()
        for address, region in fleet:
            own = _describe(region, address, region)
            others = [_describe(region, *other) for other in fleet if other[0] != address]
            followed = choose_followed(own, others)
            assert len(followed) <= 16 + 8 + 3 * 4
            followers.update(found.address for found in followed)
        assert max(followers.values()) <= 110

    def test_every_agent_is_reached(self) -> None:
        """A chunk at any agent reaches all others by way of those that follow it."""
        fleet = _fleet(5, 28)
        links: dict[str, list[str]] = {}
        for address, region in fleet:
            own = _describe(region, address, region)
            others = [_describe(region, *other) for other in fleet if other[0] != address]
            links[address] = [found.address for found in choose_followed(own, others)]
        reached = {fleet[0][0]}
        hops = 0
        while len(reached) < len(fleet):
            hops += 1
            reached |= {own for own, followed in links.items() if reached & set(followed)}
            assert hops <= 3


class TestFindDigests:
    """Tests of how a list of digests reaches many agents."""

    @staticmethod
    async def _spread(agents: int) -> tuple[int, Counter[str]]:
        """Let agents look for the list round by round; return the rounds, and who was asked."""
        addresses = [f"10.0.0.{n}:1" for n in range(agents)]
        asked: Counter[str] = Counter()
        holders: set[str] = set()

        def build(address: str) -> Upkeep:
            others = [Neighbour(each, near=True) for each in addresses if each != address]
            means = Means(
                engine=Mock(),
                origin=Mock(),
                session=Mock(),
                holdings=Holdings(),
                latest=LatestState(),
                neighbours=lambda: others,
                own=Neighbour(address, near=True),
                link_rate=1e6,
                chunk_bytes=100,
                random=Random(address),
            )
            return Upkeep(ModelName("m"), means)

        upkeeps = {address: build(address) for address in addresses}
        holders |= {each for each, upkeep in upkeeps.items() if upkeep._is_feeder()}

        async def ask(_: object, address: str, __: object) -> tuple[str, ...]:
            asked[address] += 1
            if address not in holders:
                raise PlatformUnavailableError("none yet", step="fetch-digests")
            return ("d",)

        rounds = 0
        with patch("wrenloft_swarm._reconciler.fetch_digests", ask):
            while len(holders) < agents:
                rounds += 1
                seekers = [each for each in addresses if each not in holders]
                found = [
                    each
                    for each in seekers
                    if await upkeeps[each]._ask_neighbours(VersionName(ModelName("m"), 2))
                ]
                holders |= set(found)
        return rounds, asked

    @pytest.mark.parametrize("agents", [8, 36, 119])
    async def test_no_feeder_is_asked_by_all_at_once(self, agents: int) -> None:
        """A version is named, and every agent but four looks for its list of digests.

        Asked by all, the four would send it a hundred times over while the first chunks wait, and
        those that had no answer would ask the origin, which takes few connections.
        """
        rounds, asked = await self._spread(agents)
        assert rounds <= _count_digest_rounds(agents - 1)
        assert max(asked.values()) <= agents / 2
