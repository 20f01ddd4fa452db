"""The gRPC service that this node offers to agents and other nodes."""

import asyncio
from collections.abc import AsyncIterator, Callable
from typing import Any

import grpc

from wrenloft._view import View
from wrenloft.agents import Attachments
from wrenloft.platform import ConfigurationStore, Membership, RequestRegistry
from wrenloft_core import Header, NodeId, matches_secret
from wrenloft_messages import messages, services

_Context = grpc.aio.ServicerContext[Any, Any]


class NodeService(services.NodeServicer):
    """Answers callers that know the secret."""

    def __init__(
        self,
        view: View,
        attachments: Attachments,
        configurations: ConfigurationStore,
        membership: Membership,
        registry: RequestRegistry,
        describe: Callable[[], messages.NodeRecord],
        secret: str,
    ) -> None:
        self._view = view
        self._attachments = attachments
        self._configurations = configurations
        self._membership = membership
        self._registry = registry
        self._describe = describe
        self._secret = secret

    async def Attach(
        self,
        request_iterator: AsyncIterator[messages.AgentReport],
        context: _Context,
    ) -> AsyncIterator[messages.NodeNotice]:
        """Take an agent's reports and tell it what it needs to know."""
        await self._authenticate(context)
        async for notice in self._attachments.attach(request_iterator):
            yield notice

    async def Exchange(
        self, request: messages.ExchangeRequest, context: _Context
    ) -> messages.ExchangeReply:
        """Take another node's heartbeat."""
        await self._authenticate(context)
        now = asyncio.get_running_loop().time()
        known = self._view.peers.get(NodeId(request.sender.node_id))
        began_draining = request.sender.draining and not (known and known.record.draining)
        self._view.merge_peer(request.sender, now, dict(request.demand))
        for record in request.records:
            self._view.merge_record(record, now)
        unknown = [load.agent_id for load in request.loads if not self._view.merge_load(load, now)]
        behind = request.sender.revision > self._configurations.revision
        if began_draining or known is None or behind:
            self._membership.poll_soon()
        return messages.ExchangeReply(sender=self._describe(), unknown_agents=unknown)

    async def FetchConfiguration(
        self, request: messages.FetchRequest, context: _Context
    ) -> messages.ConfigurationBundle:
        """Give the sections that the caller does not hold."""
        await self._authenticate(context)
        held = set(request.held_digests)
        return messages.ConfigurationBundle(
            revision=self._configurations.revision,
            head=self._configurations.head.encode(),
            sections={
                digest: body
                for digest, body in self._configurations.bodies.items()
                if digest not in held
            },
        )

    async def Claim(self, request: messages.ClaimRequest, context: _Context) -> messages.ClaimReply:
        """Register an attempt of a keyed request."""
        await self._authenticate(context)
        return await self._registry.claim(request)

    async def Settle(
        self, request: messages.SettleRequest, context: _Context
    ) -> messages.SettleReply:
        """Keep the answer of a keyed request."""
        await self._authenticate(context)
        return messages.SettleReply(stored=await self._registry.settle(request))

    async def _authenticate(self, context: _Context) -> None:
        given = dict(context.invocation_metadata() or ()).get(Header.SECRET.lower(), "")
        if not matches_secret(str(given), self._secret):
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "wrong secret")
