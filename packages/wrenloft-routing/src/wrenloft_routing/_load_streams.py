"""Telling other entry nodes of requests in progress and waiting here, and hearing of theirs."""

import asyncio
import json
import logging
from collections.abc import Callable, Iterable

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from wrenloft_core import AgentId, NodeId, ServiceName, note, read_clock
from wrenloft_routing._endpoints import Endpoints
from wrenloft_routing._loads import NOTHING, InProgress, LoadUpdate, QueueLength
from wrenloft_routing._members import Member, Members

_LOG = logging.getLogger(__name__)

LOADS_PER_SECOND = 320
"""Messages a second, to all other nodes together, in which a node tells what it has in progress.
Eight others are told every 0.025 s, a tenth of what an engine takes to a first event; with more
others each is told less often, so that a node's part does not grow with the fleet."""

OLDEST_UPDATE_SECONDS = 0.05
"""Interval above which nodes don't follow one another, and go by the engines' reports: 17 nodes.
With 38, each told every 0.116 s, a node used 0.11 of a core (mean of 31 s of a calm load), and the
updates were not much younger than reports. Sums by availability zone would carry more."""

LOADS_IDLE_SECONDS = 0.4
"""Longest time between two, so that silence for a second shows a dead connection."""

SILENCE_SECONDS = 1.0
"""Silence after which the connection to another node is taken for dead: two updates were missed."""

_RECONNECT_SECONDS = 0.3
_PATH = "/loads"


class LoadRoutes:
    """Tells other entry nodes what this one has in progress, and what waits here.

    :param list_queues: returns what waits here for each service.
    """

    def __init__(
        self,
        endpoints: Endpoints,
        members: Members,
        list_queues: Callable[[], dict[ServiceName, QueueLength]],
    ) -> None:
        self._endpoints = endpoints
        self._members = members
        self._list_queues = list_queues

    def routes(self) -> list[web.RouteDef]:
        """Return the routes for other entry nodes."""
        return [web.get(_PATH, self._stream)]

    async def _stream(self, request: web.Request) -> web.StreamResponse:
        response = web.StreamResponse()
        await response.prepare(request)
        told: dict[AgentId, InProgress] = {}
        told_queues: dict[ServiceName, QueueLength] = {}
        told_at = read_clock()
        try:
            while True:
                current = self._endpoints.list_in_progress()
                changed = {
                    agent_id: current.get(agent_id, NOTHING)
                    for agent_id in told.keys() | current.keys()
                    if told.get(agent_id) != current.get(agent_id)
                }
                queues = self._list_queues()
                silent = read_clock() - told_at > LOADS_IDLE_SECONDS
                if changed or queues != told_queues or silent:
                    told, told_queues, told_at = current, queues, read_clock()
                    await response.write(_encode_update(LoadUpdate(changed, queues)))
                await asyncio.sleep(measure_update_interval(len(self._members)))
        except ConnectionResetError as error:
            note(_LOG, "asker gone", path=request.path, peer=request.remote, reason=str(error))
            raise asyncio.CancelledError from error


def measure_update_interval(nodes: int) -> float:
    """Return the seconds between two updates of a node to each other one.

    :param nodes: entry nodes, this one included.
    """
    return min(LOADS_IDLE_SECONDS, max(1, nodes - 1) / LOADS_PER_SECOND)


def _encode_update(update: LoadUpdate) -> bytes:
    rows = [
        [agent_id, load.unread, load.unread_tokens, load.running]
        for agent_id, load in update.in_progress.items()
    ]
    queues = [[service, queue.fresh, queue.late] for service, queue in update.queues.items()]
    return json.dumps([rows, queues], separators=(",", ":")).encode() + b"\n"


def _decode_update(data: bytes) -> LoadUpdate:
    rows, queues = json.loads(data)
    return LoadUpdate(
        {
            AgentId(agent_id): InProgress(int(unread), int(tokens), int(running))
            for agent_id, unread, tokens, running in rows
        },
        {ServiceName(name): QueueLength(int(fresh), int(late)) for name, fresh, late in queues},
    )


class LoadFollower:
    """Follows what the other entry nodes have in progress, one connection to each."""

    def __init__(self, endpoints: Endpoints, session: ClientSession) -> None:
        self._endpoints = endpoints
        self._session = session
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._heard: set[NodeId] = set()

    def update(self, members: Iterable[Member]) -> None:
        """Follow exactly these nodes, or none if they are too many."""
        wanted = {each.internal: each.node_id for each in members}
        if measure_update_interval(1 + len(wanted)) > OLDEST_UPDATE_SECONDS:
            wanted = {}
        for address in self._tasks.keys() - wanted.keys():
            self._tasks.pop(address).cancel()
        for address in wanted.keys() - self._tasks.keys():
            self._tasks[address] = asyncio.create_task(self._follow(address, wanted[address]))

    async def close(self) -> None:
        """Stop following."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    async def _follow(self, address: str, node: NodeId) -> None:
        """Follow one node; what it said last holds for a second after it falls silent."""
        while True:
            try:
                await self._read_loads(address, node)
                reason = "ended"
            except (ClientError, OSError, TimeoutError, ValueError, TypeError) as error:
                reason = repr(error)
            if node in self._heard:
                self._heard.discard(node)
                note(_LOG, "node's loads lost", node=node, reason=reason)
            await asyncio.sleep(_RECONNECT_SECONDS)

    async def _read_loads(self, address: str, node: NodeId) -> None:
        timeout = ClientTimeout(total=None, sock_connect=SILENCE_SECONDS, sock_read=SILENCE_SECONDS)
        url = f"http://{address}{_PATH}"
        async with self._session.get(url, timeout=timeout) as response:
            response.raise_for_status()
            # The other side begins anew with all that it has in progress.
            self._endpoints.others.forget(node)
            async for line in response.content:
                self._endpoints.others.record(node, _decode_update(line), read_clock())
                if node not in self._heard:
                    self._heard.add(node)
                    note(_LOG, "node's loads heard", node=node)
