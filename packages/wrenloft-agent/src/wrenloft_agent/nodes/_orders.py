"""The gRPC service through which owners order this agent, and agents ask one another."""

from collections.abc import AsyncIterator, Callable
from typing import Any

import grpc

from wrenloft_agent._models import Models, Target
from wrenloft_agent.peers import Neighbour, stream_possession
from wrenloft_core import (
    AgentId,
    Header,
    ModelName,
    PlaceName,
    RegionName,
    Revision,
    ShardNumber,
    VersionDigest,
    matches_secret,
)
from wrenloft_messages import messages, services
from wrenloft_policy import Permit

_Context = grpc.aio.ServicerContext[Any, Any]


class AgentService(services.AgentServicer):
    """Answers owners and other agents that know the secret."""

    def __init__(
        self,
        agent_id: AgentId,
        place: PlaceName,
        region: RegionName,
        models: Models,
        secret: str,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._agent_id = agent_id
        self._place = place
        self._region = region
        self._models = models
        self._secret = secret
        self._is_leaving = is_leaving

    async def Survey(
        self, request: messages.SurveyRequest, context: _Context
    ) -> messages.AgentState:
        """Raise the fence and tell what is held."""
        await self._authenticate(context)
        if request.agent_id != self._agent_id:
            return self._describe(refused=True)
        current = self._models.raise_fence(ShardNumber(request.shard), request.epoch)
        return self._describe(refused=not current)

    async def Order(
        self, request: messages.PlacementOrder, context: _Context
    ) -> messages.OrderReply:
        """Take a placement order."""
        await self._authenticate(context)
        if request.agent_id != self._agent_id:
            # Meant for the process that this one replaced, whose fence is gone: an order that a
            # paused owner had sent to it would be taken here as if it were new.
            return messages.OrderReply(reason="another agent", state=self._describe())
        if self._is_leaving() and request.version:
            return messages.OrderReply(reason="leaving", state=self._describe())
        target = Target(
            model=ModelName(request.model),
            version=VersionDigest(request.version),
            shard=ShardNumber(request.shard),
            epoch=request.epoch,
            revision=Revision(request.revision),
            origin_path=request.origin_path,
        )
        neighbours = [self._read_neighbour(each) for each in request.neighbours]
        permits = [Permit(each.chunk, each.not_before_ms / 1000) for each in request.permits]
        refusal = self._models.order(target, neighbours, permits)
        return messages.OrderReply(
            accepted=refusal is None,
            reason=refusal.reason if refusal else "",
            state=self._describe(),
        )

    async def Possession(
        self, request: messages.PossessionRequest, context: _Context
    ) -> AsyncIterator[messages.PossessionUpdate]:
        """Stream which chunks of a version are held."""
        await self._authenticate(context)
        async for update in stream_possession(self._models.store, VersionDigest(request.version)):
            yield update

    async def _authenticate(self, context: _Context) -> None:
        given = dict(context.invocation_metadata() or ()).get(Header.SECRET.lower(), "")
        if not matches_secret(str(given), self._secret):
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong secret")

    def _read_neighbour(self, each: messages.Neighbour) -> Neighbour:
        near = 0 if each.place == self._place else 1 if each.region == self._region else 2
        return Neighbour(AgentId(each.agent_id), each.http_address, each.grpc_address, near)

    def _describe(self, *, refused: bool = False) -> messages.AgentState:
        store = self._models.store
        held = []
        for version in store.versions():
            manifest = store.manifest(version)
            total = len(manifest.digests) if manifest else 0
            bitmap = bytearray(-(-total // 8))
            for chunk in store.held(version):
                bitmap[chunk // 8] |= 1 << chunk % 8
            held.append(
                messages.HeldVersion(version=version, total_chunks=total, bitmap=bytes(bitmap))
            )
        return messages.AgentState(
            agent_id=self._agent_id,
            refused=refused,
            served=[
                messages.ServedVersion(model=model, version=version)
                for model, version in self._models.serving.items()
            ],
            held=held,
            phase=messages.PHASE_LEAVING if self._is_leaving() else messages.PHASE_READY,
        )
