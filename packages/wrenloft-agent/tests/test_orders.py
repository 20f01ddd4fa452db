"""Tests of the orders that an agent takes."""

from typing import Any, cast

import pytest
from wrenloft_agent._models import Models
from wrenloft_agent._store import ChunkStore
from wrenloft_agent.nodes import AgentService

from wrenloft_core import AgentId, Header, PlaceName, RegionName
from wrenloft_messages import messages

_SECRET = "s"


class _Models:
    """Notes what reaches it."""

    def __init__(self) -> None:
        self.store = ChunkStore(limit=0)
        self.serving: dict[str, str] = {}
        self.orders: list[str] = []

    def raise_fence(self, shard: int, epoch: int) -> bool:
        """Take any epoch."""
        self.orders.append("fence")
        return True

    def order(self, target: object, neighbours: object, permits: object) -> None:
        """Take any order."""
        self.orders.append("order")


class _Context:
    """A call by somebody who knows the secret."""

    def invocation_metadata(self) -> tuple[tuple[str, str], ...]:
        """Return the secret's header."""
        return ((Header.SECRET.lower(), _SECRET),)


def _build_service(models: _Models, *, leaving: bool = False) -> AgentService:
    return AgentService(
        AgentId("host.new"),
        PlaceName("p"),
        RegionName("r"),
        cast(Models, models),
        _SECRET,
        lambda: leaving,
    )


class TestOrder:
    """Tests for ``AgentService.Order`` and ``AgentService.Survey``."""

    @pytest.mark.parametrize(("agent_id", "taken"), [("host.old", False), ("host.new", True)])
    async def test_refuses_an_order_meant_for_its_predecessor(
        self, agent_id: str, taken: bool
    ) -> None:
        """A paused owner's order reaches the process that replaced the agent it was sent to.

        The new process has no fence yet and would take any epoch; the order names the old one.
        """
        models = _Models()
        order = messages.PlacementOrder(agent_id=agent_id, epoch=1, model="m", version="v")
        reply = await _build_service(models).Order(order, cast(Any, _Context()))
        assert (reply.accepted, models.orders == ["order"]) == (taken, taken)

    async def test_ignores_a_survey_meant_for_its_predecessor(self) -> None:
        """Its fence is raised only by those who mean it."""
        models = _Models()
        request = messages.SurveyRequest(agent_id="host.old", epoch=9)
        state = await _build_service(models).Survey(request, cast(Any, _Context()))
        assert state.refused
        assert models.orders == []

    async def test_takes_no_version_while_it_leaves(self) -> None:
        """A host that leaves neither gets weights nor counts as a replica."""
        models = _Models()
        order = messages.PlacementOrder(agent_id="host.new", epoch=1, model="m", version="v")
        reply = await _build_service(models, leaving=True).Order(order, cast(Any, _Context()))
        assert not reply.accepted
        assert models.orders == []
