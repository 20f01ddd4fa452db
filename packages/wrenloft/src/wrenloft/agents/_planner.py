"""The owner's work for its models: choose hosts, grant origin permits, order."""

import asyncio
import contextlib
import logging
from collections.abc import Mapping
from dataclasses import dataclass, field

import grpc
from aiohttp import ClientError, ClientSession, ClientTimeout

from wrenloft._view import AgentEntry, View
from wrenloft.platform import ConfigurationStore, OwnedShard, Shards
from wrenloft_core import (
    AgentId,
    Goal,
    Header,
    Manifest,
    Model,
    ModelName,
    PlaceName,
    RegionName,
    VersionDigest,
    WrenloftError,
    log_decision,
    name_model,
    pick_shard,
)
from wrenloft_messages import messages, services
from wrenloft_policy import choose_hosts, grant_permits, pick_neighbours

_LOG = logging.getLogger(__name__)
_ORDER_TIMEOUT = 3.0
_REORDER_SECONDS = 1.0
_ORDERS_AT_ONCE = 32
_GRANT_SECONDS = 8.0
_TIME_COPIES = 2


@dataclass(frozen=True, slots=True)
class _Grant:
    """A permit that was given.

    :param until: monotonic time after which the chunk is granted to another host.
    """

    agent_id: AgentId
    until: float


@dataclass(slots=True)
class _Plan:
    """What is under way for one model.

    :param granted: chunks with the permit to fetch each from the origin.
    :param held: chunks of the version held by each agent, as it last said.
    """

    model: ModelName
    version: VersionDigest
    epoch: int
    granted: dict[int, _Grant] = field(default_factory=dict)
    held: dict[AgentId, set[int]] = field(default_factory=dict)
    ordered_at: dict[AgentId, float] = field(default_factory=dict)
    placed: frozenset[AgentId] = frozenset()
    rounds: int = 0


class Planner:
    """Plans the models whose shard this node owns."""

    def __init__(
        self,
        view: View,
        shards: Shards,
        configurations: ConfigurationStore,
        session: ClientSession,
        *,
        origin: str,
        secret: str,
        shard_count: int,
        plan_seconds: float,
    ) -> None:
        self._view = view
        self._shards = shards
        self._configurations = configurations
        self._session = session
        self._origin = origin
        self._metadata = ((Header.SECRET.lower(), secret),)
        self._shard_count = shard_count
        self._plan_seconds = plan_seconds
        self._plans: dict[ModelName, _Plan] = {}
        self._manifests: dict[VersionDigest, Manifest] = {}
        self._channels: dict[str, grpc.aio.Channel] = {}
        self._slots = asyncio.Semaphore(_ORDERS_AT_ONCE)

    async def close(self) -> None:
        """Close the channels to agents."""
        await asyncio.gather(*(each.close(None) for each in self._channels.values()))

    async def plan(self) -> None:
        """Look at every owned model again and again until cancelled."""
        while True:
            changed = self._view.changed
            configured = self._configurations.changed
            await self._plan_all()
            await self._rest(changed, configured)

    async def _rest(self, changed: asyncio.Event, configured: asyncio.Event) -> None:
        waits = [asyncio.ensure_future(each.wait()) for each in (changed, configured)]
        try:
            await asyncio.wait(
                waits, timeout=self._plan_seconds, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for each in waits:
                each.cancel()
        await asyncio.sleep(self._plan_seconds / 10)

    async def _plan_all(self) -> None:
        models = self._configurations.current.models
        work = []
        for name, model in models.items():
            owned = self._shards.get(pick_shard(name_model(name), self._shard_count))
            if owned is None:
                self._plans.pop(name, None)
            else:
                work.append(self._plan_safely(name, model, owned))
        for name in self._list_removed(models):
            owned = self._shards.get(pick_shard(name_model(name), self._shard_count))
            if owned is not None:
                plan = _Plan(name, VersionDigest(""), owned.epoch)
                work.append(self._withdraw(name, plan, owned))
        await asyncio.gather(*work)
        self._forget_channels()

    def _list_removed(self, models: Mapping[ModelName, Model]) -> set[ModelName]:
        """Return models that some agent serves though no configuration names them any more."""
        if not self._configurations.revision:
            return set()
        served = {
            each.model for entry in self._view.agents.values() for each in entry.record.served
        }
        return {ModelName(each) for each in served} - models.keys()

    async def _plan_safely(self, name: ModelName, model: Model, owned: OwnedShard) -> None:
        try:
            await self._plan_one(name, model, owned)
        except WrenloftError as error:
            _LOG.warning("model %s not planned: %s", name, error)
        except Exception:
            _LOG.exception("model %s not planned", name)

    async def _plan_one(self, name: ModelName, model: Model, owned: OwnedShard) -> None:
        plan = self._plans.get(name)
        version = VersionDigest(model.version)
        if plan is None or plan.version != version or plan.epoch != owned.epoch:
            plan = self._plans[name] = _Plan(name, version, owned.epoch)
            await self._survey(plan, model, owned)
        now = asyncio.get_running_loop().time()
        hosts = self._view.list_hosts(name, version, now)
        placed = choose_hosts(name, model.hosts, model.replicas, hosts)
        if (chosen := frozenset(each.agent_id for each in placed)) != plan.placed:
            plan.placed = chosen
            log_decision(
                name,
                chosen=sorted(chosen),
                reason="; ".join(f"{each.agent_id}: {each.reason}" for each in placed),
                hosts=len(hosts),
                revision=self._configurations.revision,
            )
        waiting = [each for each in placed if not self._is_served(plan, each.agent_id)]
        if waiting:
            await self._spread(plan, model, owned, [each.agent_id for each in placed])
        if model.replicas == 0 or self._is_complete(plan):
            await self._withdraw(name, plan, owned)

    def _is_complete(self, plan: _Plan) -> bool:
        return bool(plan.placed) and all(self._is_served(plan, each) for each in plan.placed)

    def _is_served(self, plan: _Plan, agent_id: AgentId) -> bool:
        entry = self._view.agents.get(agent_id)
        return entry is not None and entry.version_of(plan.model) == plan.version

    async def _survey(self, plan: _Plan, model: Model, owned: OwnedShard) -> None:
        """Ask all hosts that might hold the model what they really hold, raising their fence.

        Done before the first order of an epoch: a new owner that granted permits without asking
        would have the origin send again what its predecessor had already spread.
        """

        async def ask(entry: AgentEntry) -> None:
            request = messages.SurveyRequest(
                shard=owned.number, epoch=owned.epoch, agent_id=entry.agent_id
            )
            async with self._slots:
                state = await self._stub(entry).Survey(
                    request, metadata=self._metadata, timeout=_ORDER_TIMEOUT
                )
                self._take_state(plan, entry.agent_id, state)

        entries = list(self._view.agents.values())
        results = await asyncio.gather(*map(ask, entries), return_exceptions=True)
        silent = sum(isinstance(each, BaseException) for each in results)
        _LOG.info("surveyed %s: %d answered, %d silent", plan.model, len(entries) - silent, silent)

    async def _spread(
        self, plan: _Plan, model: Model, owned: OwnedShard, placed: list[AgentId]
    ) -> None:
        """Order the placed hosts that do not serve the version yet."""
        now = asyncio.get_running_loop().time()
        due = [
            each
            for each in placed
            if not self._is_served(plan, each)
            and plan.ordered_at.get(each, float("-inf")) + _REORDER_SECONDS <= now
        ]
        if not due:
            return
        permits = await self._grant(plan, model, placed)
        for agent_id in permits:
            if agent_id not in due:
                due.append(agent_id)
        places = self._list_places(plan, placed)
        await asyncio.gather(
            *(
                self._order(plan, model, owned, each, places, permits.get(each, []))
                for each in due
                if each in self._view.agents
            )
        )

    def _list_places(
        self, plan: _Plan, placed: list[AgentId]
    ) -> Mapping[AgentId, tuple[PlaceName, RegionName]]:
        """Return everyone that fetches the version or holds some of it."""
        members = [*placed, *(each for each, held in plan.held.items() if held)]
        return {
            each: (PlaceName(entry.record.place), RegionName(entry.record.region))
            for each in members
            if (entry := self._view.agents.get(each)) is not None
        }

    async def _grant(
        self, plan: _Plan, model: Model, placed: list[AgentId]
    ) -> dict[AgentId, list[messages.OriginPermit]]:
        """Grant each chunk once: those that nobody holds and nobody alive may fetch."""
        try:
            manifest = await self._find_manifest(plan.version)
        except WrenloftError as error:
            # With the origin down, what the fleet holds still spreads.
            _LOG.warning("no permits granted: %s", error)
            return {}
        now = asyncio.get_running_loop().time()
        alive = {
            each
            for each in self._view.agents
            if self._view.is_fresh(self._view.agents[each], now)
            and self._view.agents[each].record.phase != messages.PHASE_LEAVING
        }
        held = set().union(*(plan.held[each] for each in plan.held if each in alive), set())
        wanted = [
            chunk
            for chunk in range(len(manifest.digests))
            if chunk not in held and not self._is_granted(plan, chunk, alive, now)
        ]
        able = [each for each in placed if each in alive and not self._is_served(plan, each)]
        if not wanted or not able:
            return {}
        fleet = self._configurations.current.fleet
        copies = _TIME_COPIES if fleet.goal is Goal.TIME else 1
        first = plan.rounds % len(able)
        plan.rounds += 1
        permits = grant_permits(
            wanted,
            manifest.sizes,
            able[first:] + able[:first],
            fleet.origin_rate,
            copies=copies,
        )
        for agent_id, granted in permits.items():
            for each in granted:
                until = now + each.not_before + _GRANT_SECONDS
                plan.granted[each.chunk] = _Grant(agent_id, until)
        return {
            agent_id: [
                messages.OriginPermit(chunk=each.chunk, not_before_ms=round(each.not_before * 1000))
                for each in granted
            ]
            for agent_id, granted in permits.items()
            if granted
        }

    @staticmethod
    def _is_granted(plan: _Plan, chunk: int, alive: set[AgentId], now: float) -> bool:
        """Tell whether somebody may still be expected to bring a chunk.

        A holder may be alive and yet never bring it: its order was lost, or its own link to the
        origin is broken. Without an end to each permit every host would wait for that chunk.
        """
        grant = plan.granted.get(chunk)
        return grant is not None and grant.agent_id in alive and now < grant.until

    async def _order(
        self,
        plan: _Plan,
        model: Model,
        owned: OwnedShard,
        agent_id: AgentId,
        places: Mapping[AgentId, tuple[PlaceName, RegionName]],
        permits: list[messages.OriginPermit],
    ) -> None:
        neighbours = pick_neighbours(agent_id, places)
        order = messages.PlacementOrder(
            shard=owned.number,
            epoch=owned.epoch,
            revision=self._configurations.revision,
            model=plan.model,
            version=plan.version,
            neighbours=[self._describe_neighbour(each) for each in neighbours],
            permits=permits,
            origin_path=model.origin_path,
        )
        if not await self._send(plan, owned, agent_id, order):
            for permit in permits:
                plan.granted.pop(permit.chunk, None)

    def _describe_neighbour(self, agent_id: AgentId) -> messages.Neighbour:
        record = self._view.agents[agent_id].record
        return messages.Neighbour(
            agent_id=agent_id,
            http_address=record.http_address,
            grpc_address=record.grpc_address,
            place=record.place,
            region=record.region,
        )

    async def _withdraw(self, model: ModelName, plan: _Plan, owned: OwnedShard) -> None:
        """Order hosts that serve the model but are not among the chosen to stop.

        Called only once all chosen ones serve: a model that moves keeps its old replicas.
        """
        order = messages.PlacementOrder(
            shard=owned.number,
            epoch=owned.epoch,
            revision=self._configurations.revision,
            model=model,
        )
        for entry in list(self._view.agents.values()):
            if entry.agent_id not in plan.placed and entry.ready and entry.serves(model):
                await self._send(plan, owned, entry.agent_id, order)

    async def _send(
        self, plan: _Plan, owned: OwnedShard, agent_id: AgentId, order: messages.PlacementOrder
    ) -> bool:
        entry = self._view.agents[agent_id]
        order.agent_id = agent_id
        async with self._slots:
            if self._shards.get(owned.number) != owned:
                return False  # the lease lapsed while this order waited
            try:
                reply = await self._stub(entry).Order(
                    order, metadata=self._metadata, timeout=_ORDER_TIMEOUT
                )
            except grpc.aio.AioRpcError as error:
                _LOG.info("agent %s not ordered: %s", agent_id, error.code())
                return False
        plan.ordered_at[agent_id] = asyncio.get_running_loop().time()
        self._take_state(plan, agent_id, reply.state)
        if not reply.accepted:
            _LOG.warning("agent %s refused: %s", agent_id, reply.reason)
        return reply.accepted

    def _take_state(self, plan: _Plan, agent_id: AgentId, state: messages.AgentState) -> None:
        for held in state.held:
            if held.version == plan.version:
                plan.held[agent_id] = {
                    chunk
                    for chunk in range(held.total_chunks)
                    if held.bitmap[chunk // 8] >> chunk % 8 & 1
                }

    def _stub(self, entry: AgentEntry) -> "services.AgentAsyncStub":
        address = entry.record.grpc_address
        if address not in self._channels:
            self._channels[address] = grpc.aio.insecure_channel(address)
        return services.AgentStub(self._channels[address])

    def _forget_channels(self) -> None:
        known = {each.record.grpc_address for each in self._view.agents.values()}
        for address in self._channels.keys() - known:
            with contextlib.suppress(RuntimeError):
                asyncio.get_running_loop().create_task(self._channels.pop(address).close(None))

    async def _find_manifest(self, version: VersionDigest) -> Manifest:
        if version not in self._manifests:
            url = f"http://{self._origin}/manifests/{version}"
            try:
                async with self._session.get(url, timeout=ClientTimeout(total=5)) as response:
                    response.raise_for_status()
                    data = await response.read()
            except (ClientError, TimeoutError) as error:
                raise WrenloftError(
                    str(error) or type(error).__name__, step="fetch-manifest", peer=self._origin
                ) from error
            self._manifests[version] = Manifest.decode(data, version, peer=self._origin)
        return self._manifests[version]
