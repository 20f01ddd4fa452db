"""Hearing engines' agents, as their zone's relay."""

import asyncio
import json
import logging
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

from wrenloft_core import note, read_clock
from wrenloft_policy import LayerSpan
from wrenloft_routing._endpoints import Endpoints, EngineReport
from wrenloft_routing._metrics import MESSAGES
from wrenloft_routing._subscriptions import FollowedAgent
from wrenloft_routing._zone_view import ZoneView

_LOG = logging.getLogger(__name__)

REPORT_TIMEOUT_SECONDS = 1.0
"""Silence after which the connection to an agent is taken for dead; it reports every 0.4 s."""

_RECONNECT_SECONDS = 0.3
_REPORT_PATH = "/reports"


class ReportFollower:
    """Follows the reports of agents.

    :param internal: this node's address for agents, which ask it for what the store holds.
    """

    def __init__(
        self, endpoints: Endpoints, view: ZoneView, session: ClientSession, internal: str
    ) -> None:
        self._endpoints = endpoints
        self._view = view
        self._session = session
        self._internal = internal

    async def follow(self, agent: FollowedAgent) -> None:
        """Follow one agent until cancelled."""
        heard = False
        try:
            while True:
                was_heard = heard
                heard, reason = await self._read_reports(agent, known=was_heard)
                if was_heard and not heard:
                    note(_LOG, "agent lost", agent=agent.address, reason=reason)
                self._view.forget_report(agent.engine)
                await asyncio.sleep(_RECONNECT_SECONDS)
        finally:
            self._view.forget_report(agent.engine)

    async def _read_reports(self, agent: FollowedAgent, *, known: bool) -> tuple[bool, str]:
        """Read one connection to its end; return whether anything came, and why it ended."""
        url = f"http://{agent.address}{_REPORT_PATH}"
        timeout = ClientTimeout(
            total=None,
            sock_connect=REPORT_TIMEOUT_SECONDS,
            sock_read=REPORT_TIMEOUT_SECONDS,
        )
        heard = False
        try:
            query = {"relay": self._internal}
            async with self._session.get(url, params=query, timeout=timeout) as response:
                response.raise_for_status()
                async for line in response.content:
                    self._take(agent, decode_report(json.loads(line)))
                    if not heard and not known:
                        note(_LOG, "agent heard", agent=agent.address)
                    heard = True
        except (ClientError, OSError, TimeoutError, ValueError, KeyError, TypeError) as error:
            return heard, repr(error)
        return heard, "ended"

    def _take(self, agent: FollowedAgent, report: EngineReport) -> None:
        MESSAGES.labels("report", "received").inc()
        self._view.record_report(agent.engine, report, agent.place)
        self._endpoints.record_report(agent.engine, report, read_clock())


def decode_report(fields: dict[str, Any]) -> EngineReport:
    """Decode an agent's report.

    :raises KeyError: if a field is missing.
    :raises TypeError: if one has the wrong type.
    """
    known = {name: fields[name] for name in EngineReport.__slots__}
    span = fields["span"]
    known["span"] = LayerSpan(span["start"], span["stop"]) if span is not None else None
    return EngineReport(**known)
