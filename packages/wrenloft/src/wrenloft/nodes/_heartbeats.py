"""One task for each other node: heartbeats that carry what changed."""

import asyncio
import contextlib
import logging
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random

import grpc

from wrenloft._view import View
from wrenloft.platform import ConfigurationStore, HistoryEntry, Membership
from wrenloft_core import AgentId, ConfigurationError, Header
from wrenloft_messages import extract_load, messages, services

_LOG = logging.getLogger(__name__)
_TIMEOUT_SECONDS = 1.0
_LEAST_GAP = 0.05
_LOAD_REFRESH_SECONDS = 1.0


@dataclass(slots=True)
class _Told:
    """What one peer has acknowledged."""

    steady: dict[AgentId, int] = field(default_factory=dict)
    loads: dict[AgentId, tuple[int, int, float]] = field(default_factory=dict)


class Heartbeats:
    """Talks to every other node that is registered or known from its messages.

    :param describe: returns this node's present record.
    :param seeds: addresses to try besides those of registered nodes.
    :param demand: returns this node's requests a second, by organisation.
    """

    def __init__(
        self,
        view: View,
        membership: Membership,
        configurations: ConfigurationStore,
        describe: Callable[[], messages.NodeRecord],
        demand: Callable[[], dict[str, float]],
        *,
        seeds: Sequence[str],
        secret: str,
        heartbeat_seconds: float,
        random: Random,
    ) -> None:
        self._view = view
        self._membership = membership
        self._configurations = configurations
        self._describe = describe
        self._demand = demand
        self._metadata = ((Header.SECRET.lower(), secret),)
        self._heartbeat_seconds = heartbeat_seconds
        self._random = random
        self._seeds = frozenset(seeds)
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def follow_members(self) -> None:
        """Keep one task for each other node, until cancelled."""
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self._close)
            while True:
                self._match_tasks()
                self._view.forget_old(asyncio.get_running_loop().time())
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(self._heartbeat_seconds):
                        await self._membership.polled.wait()

    async def fetch_configuration(self, stub: "services.NodeAsyncStub") -> None:
        """Fetch a higher revision from a peer that said that it has one."""
        request = messages.FetchRequest(
            revision=self._configurations.revision,
            held_digests=list(self._configurations.bodies),
        )
        bundle = await stub.FetchConfiguration(
            request, metadata=self._metadata, timeout=_TIMEOUT_SECONDS * 5
        )
        if bundle.revision > self._configurations.revision:
            head = HistoryEntry.decode(bundle.head)
            with contextlib.suppress(ConfigurationError):
                self._configurations.adopt(head, dict(bundle.sections))

    async def _close(self) -> None:
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def _match_tasks(self) -> None:
        addresses = {each.record.grpc_address for each in self._view.peers.values()}
        addresses |= {each.grpc_address for each in self._membership.tables.nodes.values()}
        addresses |= self._seeds
        addresses.discard(self._describe().grpc_address)
        for address in self._tasks.keys() - addresses:
            self._tasks.pop(address).cancel()
        for address in addresses - self._tasks.keys():
            self._tasks[address] = asyncio.create_task(self._talk(address))

    async def _talk(self, address: str) -> None:
        told = _Told()
        async with grpc.aio.insecure_channel(address) as channel:
            stub = services.NodeStub(channel)
            while True:
                changed = self._view.changed
                configured = self._configurations.changed
                try:
                    await self._exchange(stub, told)
                except grpc.aio.AioRpcError as error:
                    _LOG.debug("heartbeat to %s failed: %s", address, error.code())
                await self._rest(changed, configured)

    async def _rest(self, changed: asyncio.Event, configured: asyncio.Event) -> None:
        """Wait for the next beat, or less if something besides a load changes."""
        await asyncio.sleep(_LEAST_GAP)
        waits = [asyncio.ensure_future(each.wait()) for each in (changed, configured)]
        seconds = self._heartbeat_seconds * self._random.uniform(0.8, 1.2)
        try:
            await asyncio.wait(waits, timeout=seconds, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for each in waits:
                each.cancel()

    async def _exchange(self, stub: "services.NodeAsyncStub", told: _Told) -> None:
        now = asyncio.get_running_loop().time()
        entries = [
            self._view.agents[each] for each in self._view.attached if each in self._view.agents
        ]
        records = [each for each in entries if told.steady.get(each.agent_id) != each.steady]
        loads = [
            extract_load(each.record)
            for each in entries
            if each not in records and self._is_due(told, each.record, now)
        ]
        request = messages.ExchangeRequest(
            sender=self._describe(),
            records=[each.record for each in records],
            loads=loads,
            demand=self._demand(),
        )
        steady = {each.agent_id: each.steady for each in records}
        reply = await stub.Exchange(request, metadata=self._metadata, timeout=_TIMEOUT_SECONDS)
        told.steady.update(steady)
        for load in loads:
            told.loads[AgentId(load.agent_id)] = (load.running, load.waiting, now)
        for agent_id in reply.unknown_agents:
            told.steady.pop(AgentId(agent_id), None)
        self._view.merge_peer(reply.sender, asyncio.get_running_loop().time())
        if reply.sender.revision > self._configurations.revision:
            await self.fetch_configuration(stub)

    @staticmethod
    def _is_due(told: _Told, record: messages.AgentRecord, now: float) -> bool:
        running, waiting, at = told.loads.get(AgentId(record.agent_id), (-1, -1, 0.0))
        unchanged = (running, waiting) == (record.running, record.waiting)
        return not unchanged or at + _LOAD_REFRESH_SECONDS <= now
