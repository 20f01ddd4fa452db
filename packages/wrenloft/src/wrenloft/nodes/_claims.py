"""Claims and answers of keyed requests, sent to the owner of their shard."""

import asyncio
import logging

import grpc

from wrenloft.platform import Membership, RequestRegistry
from wrenloft_core import Header, NodeId
from wrenloft_messages import messages, services

_LOG = logging.getLogger(__name__)
_TIMEOUT_SECONDS = 3.0


class OwnerClaims:
    """Finds the owner of a shard, which may be this node, and asks it."""

    def __init__(self, registry: RequestRegistry, membership: Membership, secret: str) -> None:
        self._registry = registry
        self._membership = membership
        self._metadata = ((Header.SECRET.lower(), secret),)
        self._channels: dict[str, grpc.aio.Channel] = {}

    async def close(self) -> None:
        """Close the channels to other owners."""
        await asyncio.gather(*(each.close(None) for each in self._channels.values()))

    async def claim(self, request: messages.ClaimRequest) -> messages.ClaimReply:
        """Register an attempt; the verdict says so if no owner could be asked."""
        owner = self._find_owner(request.organisation, request.key)
        if owner == self._membership.node_id:
            return await self._registry.claim(request)
        stub = self._connect(owner)
        if stub is None:
            return messages.ClaimReply(verdict=messages.CLAIM_NOT_OWNER)
        try:
            return await stub.Claim(request, metadata=self._metadata, timeout=_TIMEOUT_SECONDS)
        except grpc.aio.AioRpcError as error:
            _LOG.info("owner %s not asked: %s", owner, error.code())
            return messages.ClaimReply(verdict=messages.CLAIM_UNAVAILABLE)

    async def settle(self, request: messages.SettleRequest) -> bool:
        """Have an answer kept; return whether it is."""
        owner = self._find_owner(request.organisation, request.key)
        if owner == self._membership.node_id:
            return await self._registry.settle(request)
        stub = self._connect(owner)
        if stub is None:
            return False
        try:
            reply = await stub.Settle(request, metadata=self._metadata, timeout=_TIMEOUT_SECONDS)
        except grpc.aio.AioRpcError as error:
            _LOG.info("owner %s not told: %s", owner, error.code())
            return False
        return reply.stored

    def _find_owner(self, organisation: str, key: str) -> NodeId:
        shard = self._registry.shard_of(organisation, key)
        record = self._membership.tables.shards.get(shard)
        if record is None or not record.owner:
            self._membership.poll_soon()
            return NodeId("")
        return record.owner

    def _connect(self, owner: NodeId) -> "services.NodeAsyncStub | None":
        registration = self._membership.tables.nodes.get(owner)
        if registration is None:
            self._membership.poll_soon()
            return None
        address = registration.grpc_address
        if address not in self._channels:
            self._channels[address] = grpc.aio.insecure_channel(address)
        return services.NodeStub(self._channels[address])
