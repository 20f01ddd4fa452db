"""What an entry node asks of other entry nodes and of agents."""

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any

from aiohttp import ClientConnectorError, ClientError, ClientSession, ClientTimeout, web

from wrenloft_core import RegionName, note, read_clock
from wrenloft_policy import LayerSpan
from wrenloft_routing._endpoints import Endpoints, EngineReport
from wrenloft_routing._members import Member, Members

_LOG = logging.getLogger(__name__)

NEAR_PING_SECONDS = 0.5
"""Between two pings within an availability zone: with two misses a dead node is noticed in a
second, which is what a caller's connection attempt to it would take."""

FAR_PING_SECONDS = 2.0
"""The same to other zones; those addresses are given out only when none is near."""

PING_TIMEOUT_SECONDS = 0.4

REPORT_TIMEOUT_SECONDS = 1.0
"""Silence after which the connection to an agent is taken for dead; it reports every 0.4 s."""

_RECONNECT_SECONDS = 0.3
_PING_PATH = "/ping"
_REPORT_PATH = "/reports"


class PingRoutes:
    """Answers other entry nodes.

    :param is_ready: whether callers may be sent here.
    """

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def routes(self) -> list[web.RouteDef]:
        """Return the routes for other entry nodes."""
        return [web.get(_PING_PATH, self._answer)]

    async def _answer(self, _: web.Request) -> web.Response:
        return web.Response(status=200 if self._is_ready() else 503)


async def ping_forever(
    members: Members, session: ClientSession, *, near: bool, seconds: float
) -> None:
    """Ping the other entry nodes of this zone, or of the others, until cancelled."""
    while True:
        others = members.others(near=near)
        await asyncio.gather(*(_ping(members, each, session) for each in others))
        await asyncio.sleep(seconds)


async def _ping(members: Members, member: Member, session: ClientSession) -> None:
    url = f"http://{member.internal}{_PING_PATH}"
    try:
        timeout = ClientTimeout(total=PING_TIMEOUT_SECONDS)
        async with session.get(url, timeout=timeout) as response:
            members.record(member, answered=True, ready=response.status == 200)
    except ClientConnectorError:
        members.record(member, answered=False, ready=False, refused=True)
    except (ClientError, OSError, TimeoutError):
        members.record(member, answered=False, ready=False)


class ReportFollower:
    """Follows the reports of agents, one connection to each.

    :param region: this node's, by which an agent chooses how often it reports.
    """

    def __init__(self, endpoints: Endpoints, session: ClientSession, region: RegionName) -> None:
        self._region = region
        self._endpoints = endpoints
        self._session = session
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._heard: set[str] = set()

    def update(self, agents: dict[str, str]) -> None:
        """Follow exactly these agents.

        :param agents: the agent's address by its endpoint's address.
        """
        for address in self._tasks.keys() - agents.keys():
            self._tasks.pop(address).cancel()
        for address in agents.keys() - self._tasks.keys():
            self._tasks[address] = asyncio.create_task(self._follow(address, agents[address]))

    async def close(self) -> None:
        """Stop following."""
        for task in self._tasks.values():
            task.cancel()
        await asyncio.gather(*self._tasks.values(), return_exceptions=True)

    async def _follow(self, address: str, agent: str) -> None:
        while True:
            try:
                await self._read_reports(address, agent)
                reason = "ended"
            except (ClientError, OSError, TimeoutError, ValueError, KeyError, TypeError) as error:
                reason = repr(error)
            if agent in self._heard:
                self._heard.discard(agent)
                note(_LOG, "agent lost", agent=agent, reason=reason)
            await asyncio.sleep(_RECONNECT_SECONDS)

    async def _read_reports(self, address: str, agent: str) -> None:
        url = f"http://{agent}{_REPORT_PATH}"
        timeout = ClientTimeout(
            total=None,
            sock_connect=REPORT_TIMEOUT_SECONDS,
            sock_read=REPORT_TIMEOUT_SECONDS,
        )
        query = {"region": self._region}
        async with self._session.get(url, params=query, timeout=timeout) as response:
            response.raise_for_status()
            async for line in response.content:
                report = _read_report(json.loads(line))
                self._endpoints.record_report(address, report, read_clock())
                if agent not in self._heard:
                    self._heard.add(agent)
                    note(_LOG, "agent heard", agent=agent)


def _read_report(fields: dict[str, Any]) -> EngineReport:
    known = {name: fields[name] for name in EngineReport.__slots__}
    span = fields["span"]
    known["span"] = LayerSpan(span["start"], span["stop"]) if span is not None else None
    return EngineReport(**known)
