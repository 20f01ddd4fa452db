"""The streams to this agent's two home nodes."""

import asyncio
import contextlib
import logging
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from random import Random

import grpc

from wrenloft_core import Header, PlatformUnavailableError
from wrenloft_messages import extract_load, messages, services

_LOG = logging.getLogger(__name__)

HOME_COUNT = 2
_SILENCE_SECONDS = 4.0
_RETRY_LONGEST = 2.0

_LOOK_UP_SECONDS = 6.0
"""Without a word of any node after which the list of nodes is read: longer than a node's silence
and a retry, so that the death of one home asks nothing of the service."""


@dataclass(frozen=True, slots=True)
class Rules:
    """What the configuration says of this agent's runner.

    :param allowed: models and services whose requests may run here.
    """

    revision: int = 0
    allowed: frozenset[str] = frozenset()
    alarm_slots: int = 1


@dataclass(slots=True)
class _Known:
    """Addresses of entry nodes, nearest first, and which to leave alone for now."""

    addresses: list[str]
    used: set[str] = field(default_factory=set)
    avoided: dict[str, float] = field(default_factory=dict)


class HomeNodes:
    """Keeps two streams open, each to another entry node.

    :param describe: returns the agent's present record.
    :param list_nodes: returns the addresses of the nodes that are registered now.
    """

    def __init__(
        self,
        addresses: Sequence[str],
        secret: str,
        describe: Callable[[], messages.AgentRecord],
        report_seconds: float,
        random: Random,
        list_nodes: Callable[[], Awaitable[list[str]]],
    ) -> None:
        self._list_nodes = list_nodes
        self._heard_at = 0.0
        self._known = _Known(list(addresses))
        self._seeds = list(addresses)
        self._metadata = ((Header.SECRET.lower(), secret),)
        self._describe = describe
        self._report_seconds = report_seconds
        self._random = random
        self._changed = asyncio.Event()
        self._tasks: list[asyncio.Task[None]] = []
        self.rules = Rules()
        self.ready = asyncio.Event()

    def start(self) -> None:
        """Open the streams."""
        self._heard_at = asyncio.get_running_loop().time()
        self._tasks = [asyncio.create_task(self._keep_home()) for _ in range(HOME_COUNT)]
        self._tasks.append(asyncio.create_task(self._find_nodes()))

    async def close(self) -> None:
        """End the streams."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def notify(self) -> None:
        """Report at once, because something besides the load has changed."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _keep_home(self) -> None:
        while True:
            address = self._pick()
            if address is None:
                await asyncio.sleep(self._random.uniform(0.1, 0.5))
                continue
            self._known.used.add(address)
            try:
                await self._attach(address)
            except (grpc.aio.AioRpcError, TimeoutError) as error:
                _LOG.info("home node %s lost: %s", address, type(error).__name__)
            finally:
                self._known.used.discard(address)
            # Full jitter: after a node's death hundreds of agents look for a new home, and in
            # step they would overrun the next node one after the other.
            pause = self._random.uniform(0.0, _RETRY_LONGEST)
            self._known.avoided[address] = asyncio.get_running_loop().time() + pause

    async def _find_nodes(self) -> None:
        """Look nodes up while none is heard.

        An agent whose nodes were all replaced before they could tell it of the new ones has nobody
        else to ask: its engine would never be ordered again.
        """
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(_LOOK_UP_SECONDS * self._random.uniform(0.5, 1.0))
            if loop.time() - self._heard_at < _LOOK_UP_SECONDS:
                continue
            try:
                listed = await self._list_nodes()
            except PlatformUnavailableError as error:
                _LOG.warning("entry nodes not looked up: %s", error)
                continue
            if listed:
                _LOG.info("no entry node heard; %d are registered", len(listed))
                self._random.shuffle(listed)
                self._known.addresses = listed

    def _pick(self) -> str | None:
        now = asyncio.get_running_loop().time()
        for address in [*self._known.addresses, *self._seeds]:
            if address not in self._known.used and self._known.avoided.get(address, 0.0) <= now:
                return address
        return None

    async def _attach(self, address: str) -> None:
        async with contextlib.AsyncExitStack() as stack:
            channel = await stack.enter_async_context(grpc.aio.insecure_channel(address))
            call = services.NodeStub(channel).Attach(self._report(), metadata=self._metadata)
            stack.callback(call.cancel)
            while True:
                async with asyncio.timeout(_SILENCE_SECONDS):
                    notice = await call.read()
                if not isinstance(notice, messages.NodeNotice):
                    return
                self._heard_at = asyncio.get_running_loop().time()
                self._take(notice)
                if notice.draining:
                    self._known.avoided[address] = asyncio.get_running_loop().time() + 60.0
                    return

    def _take(self, notice: messages.NodeNotice) -> None:
        """Apply what a node says; never an older revision than the one in force here."""
        if notice.node_addresses:
            self._known.addresses = list(notice.node_addresses)
        if notice.has_rules and notice.revision > self.rules.revision:
            self.rules = Rules(
                revision=notice.revision,
                allowed=frozenset(rule.model for rule in notice.rules),
                alarm_slots=notice.alarm_slots,
            )
            self.ready.set()
            self.notify()

    async def _report(self) -> AsyncIterator[messages.AgentReport]:
        """Yield the whole record when it changes, and otherwise only the load."""
        told = b""
        while True:
            changed = self._changed
            record = self._describe()
            steady = _strip_load(record)
            if steady != told:
                told = steady
                yield messages.AgentReport(record=record)
            else:
                yield messages.AgentReport(load=extract_load(record))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._report_seconds):
                    await changed.wait()


def _strip_load(record: messages.AgentRecord) -> bytes:
    steady = messages.AgentRecord()
    steady.CopyFrom(record)
    for name in ("sequence", "running", "waiting"):
        steady.ClearField(name)
    return steady.SerializeToString(deterministic=True)
