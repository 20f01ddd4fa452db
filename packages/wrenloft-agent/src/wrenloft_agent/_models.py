"""Which version of each model this agent is to serve, and bringing that about."""

import asyncio
import logging
from collections.abc import Callable
from contextlib import AsyncExitStack
from dataclasses import dataclass

from wrenloft_agent._store import ChunkStore
from wrenloft_agent._transfer import Transfer, TransferMeans
from wrenloft_agent.peers import Neighbour
from wrenloft_agent.runner import EngineOrders
from wrenloft_core import (
    ModelName,
    Revision,
    ShardNumber,
    VersionDigest,
    WrenloftError,
    log_decision,
)
from wrenloft_policy import Permit

_LOG = logging.getLogger(__name__)
_RETRY_SECONDS = 0.3
_DRAIN_INTERVAL = 0.1
_ENGINE_CHECK_SECONDS = 2.0


@dataclass(frozen=True, slots=True)
class Target:
    """What the owner of a model's shard ordered last.

    :param version: empty when the model is to go.
    """

    model: ModelName
    version: VersionDigest
    shard: ShardNumber
    epoch: int
    revision: Revision
    origin_path: str


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why an order was refused."""

    reason: str


class Models:
    """The fence and the targets of this agent.

    :param uses: tells how many runs a version of a model still has.
    """

    def __init__(
        self,
        engine: EngineOrders,
        means: TransferMeans,
        uses: Callable[[VersionDigest], int],
        notify: Callable[[], None],
    ) -> None:
        self._engine = engine
        self._means = means
        self._uses = uses
        self._notify = notify
        self._fences: dict[ShardNumber, int] = {}
        self._targets: dict[ModelName, Target] = {}
        self._transfers: dict[ModelName, Transfer] = {}
        self._tasks: dict[ModelName, asyncio.Task[None]] = {}
        self._engine_lock = asyncio.Lock()
        self.serving: dict[ModelName, VersionDigest] = {}

    @property
    def store(self) -> ChunkStore:
        """The chunks held."""
        return self._means.store

    def targets(self) -> list[Target]:
        """Return what was ordered last, by model."""
        return list(self._targets.values())

    async def read_back(self) -> None:
        """Learn what the engine really serves; called before the first order is taken.

        An agent that replaces another knows nothing of the orders that its predecessor sent.
        """
        while True:
            try:
                state = await self._engine.read_state()
            except WrenloftError as error:
                _LOG.warning("engine not read: %s", error)
                await asyncio.sleep(_RETRY_SECONDS)
                continue
            self.serving = dict(state.serving)
            return

    async def watch_engine(self) -> None:
        """Notice an engine that was restarted and holds nothing any more, until cancelled.

        Without this the agent goes on saying that it serves a model, and every request that is
        sent here fails until somebody restarts the agent too.
        """
        while True:
            await asyncio.sleep(_ENGINE_CHECK_SECONDS)
            try:
                async with self._engine_lock:
                    state = await self._engine.read_state()
            except WrenloftError as error:
                _LOG.warning("engine not read: %s", error)
                continue
            if state.serving != self.serving:
                _LOG.warning("engine serves %s instead of %s", state.serving, self.serving)
                self.serving = dict(state.serving)
                self._notify()
                self._restart_settled()

    def _restart_settled(self) -> None:
        """Pursue again the targets that had been reached and hold no more.

        Those still on their way are left alone: restarted, they would lose their neighbours and
        the permits that nobody else has, and the whole fleet would wait for those chunks.
        """
        for target in self.targets():
            holds = self.serving.get(target.model, "") == target.version
            if not holds and self._tasks[target.model].done():
                self._start(target, [], [])

    async def close(self) -> None:
        """Stop all work."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    def raise_fence(self, shard: ShardNumber, epoch: int) -> bool:
        """Refuse from now on orders of that shard's earlier epochs.

        :returns: whether the epoch is current.
        """
        if epoch < self._fences.get(shard, 0):
            return False
        self._fences[shard] = epoch
        return True

    def order(
        self, target: Target, neighbours: list[Neighbour], permits: list[Permit]
    ) -> Refusal | None:
        """Take an order, unless a newer owner or a newer configuration has given another.

        A node that was paused may wake with orders of a lease that lapsed. Engines that ignore
        fencing numbers would carry them out; the agent is the only one that orders its engine,
        so refusing here is enough for those too.
        """
        if not self.raise_fence(target.shard, target.epoch):
            return Refusal(f"epoch {target.epoch} is older than {self._fences[target.shard]}")
        current = self._targets.get(target.model)
        if current is not None and target.revision < current.revision:
            return Refusal(f"revision {target.revision} is older than {current.revision}")
        self._targets[target.model] = target
        if current is not None and current.version == target.version:
            if transfer := self._transfers.get(target.model):
                transfer.update(neighbours, permits)
            return None
        self._start(target, neighbours, permits)
        return None

    def _start(self, target: Target, neighbours: list[Neighbour], permits: list[Permit]) -> None:
        transfer = None
        self._transfers.pop(target.model, None)
        if target.version:
            transfer = Transfer(target.version, target.origin_path, self._means)
            transfer.update(neighbours, permits)
            self._transfers[target.model] = transfer
        before = self._tasks.get(target.model)
        if before is not None:
            before.cancel()
        self._tasks[target.model] = asyncio.create_task(
            self._pursue(target.model, target.version, transfer, before)
        )
        log_decision(
            target.model,
            chosen=target.version or "none",
            reason="ordered by the shard's owner",
            epoch=target.epoch,
            revision=target.revision,
        )

    async def _pursue(
        self,
        model: ModelName,
        version: VersionDigest,
        transfer: Transfer | None,
        before: asyncio.Task[None] | None,
    ) -> None:
        """Bring one target about, trying again until it holds or is replaced."""
        if before is not None:
            await asyncio.gather(before, return_exceptions=True)
        async with AsyncExitStack() as stack:
            if transfer is not None:
                stack.push_async_callback(transfer.close)
                stack.callback(self._forget_transfer, model, transfer)
            while True:
                try:
                    if transfer is not None:
                        await self._bring(model, version, transfer)
                    await self._free_others(model, version)
                    return
                except WrenloftError as error:
                    _LOG.warning("target not reached: %s", error)
                except Exception:
                    _LOG.exception("target not reached")
                await asyncio.sleep(_RETRY_SECONDS)

    def _forget_transfer(self, model: ModelName, transfer: Transfer) -> None:
        if self._transfers.get(model) is transfer:
            del self._transfers[model]

    async def _bring(self, model: ModelName, version: VersionDigest, transfer: Transfer) -> None:
        manifest = await transfer.find_manifest()
        if not self.store.fits(manifest):
            raise WrenloftError("version exceeds the memory limit", step="check-memory")
        wanted = {each.version for each in self._targets.values()}
        self.store.make_room(manifest, wanted | set(self.serving.values()))
        await transfer.run(manifest)
        if not self.store.is_whole(manifest):
            raise WrenloftError("a chunk went missing", step="check-whole")
        if self.serving.get(model) == version:
            return
        async with self._engine_lock:
            await self._engine.load(model, manifest, self.store, self._fence(model))
        await asyncio.shield(asyncio.create_task(self._switch(model, version)))

    def _fence(self, model: ModelName) -> int:
        return self._targets[model].epoch

    async def _switch(self, model: ModelName, version: VersionDigest) -> None:
        """Order the engine to serve a whole version.

        Once sent, the order is waited for even if a newer target arrives meanwhile: abandoned,
        it could reach the engine after the newer one and bring the old version back.
        """
        async with self._engine_lock:
            if self._targets[model].version != version:
                return
            try:
                await self._engine.serve(model, version, self._fence(model))
                self.serving = {**self.serving, model: version}
            except WrenloftError:
                self.serving = dict((await self._engine.read_state()).serving)
                raise
        log_decision(model, chosen=version, reason="whole and verified; engine switched")
        self._notify()

    async def _free_others(self, model: ModelName, version: VersionDigest) -> None:
        """Unload what the engine holds of the model besides ``version``, once unused."""
        if not version and model in self.serving:
            self.serving = {name: each for name, each in self.serving.items() if name != model}
            self._notify()
        for old in (await self._engine.read_state()).loaded.get(model, []):
            if old == version:
                continue
            while self._uses(old):
                await asyncio.sleep(_DRAIN_INTERVAL)
            async with self._engine_lock:
                if self._targets[model].version != old:
                    await self._engine.unload(model, old, self._fence(model))
