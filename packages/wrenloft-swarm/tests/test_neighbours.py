"""Tests of which agents follow which."""

from collections import Counter

import pytest

from wrenloft_swarm import Neighbour
from wrenloft_swarm._neighbours import choose_followed


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
