"""Reports of engines' agents, received by their zone's relay."""

import asyncio
import json
import logging
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout

from wrenloft_core import DECODE_ERRORS, note, read_clock
from wrenloft_policy import LayerSpan
from wrenloft_routing._endpoints import Endpoints, EngineReport
from wrenloft_routing._metrics import MESSAGES
from wrenloft_routing._subscriptions import AgentPeer
from wrenloft_routing._zone_view import ZoneView

_LOG = logging.getLogger(__name__)

REPORT_TIMEOUT_SECONDS = 1.0
"""Time without a report after which an agent's connection is dead; agents report every 0.4 s."""

_RECONNECT_DELAY_SECONDS = 0.3
_REPORT_PATH = "/reports"


class ReportSubscriber:
    """Receives the reports of agents.

    :param internal: this node's address for agents, which request the store's content from it.
    """

    def __init__(
        self, endpoints: Endpoints, view: ZoneView, session: ClientSession, internal: str
    ) -> None:
        self._endpoints = endpoints
        self._view = view
        self._session = session
        self._internal = internal

    async def subscribe(self, agent: AgentPeer) -> None:
        """Subscribe to one agent until cancelled."""
        received = False
        try:
            while True:
                was_connected = received
                received, reason = await self._read_reports(agent, known=was_connected)
                if was_connected and not received:
                    note(_LOG, "agent lost", agent=agent.address, reason=reason)
                self._view.forget_report(agent.engine)
                await asyncio.sleep(_RECONNECT_DELAY_SECONDS)
        finally:
            self._view.forget_report(agent.engine)

    async def _read_reports(self, agent: AgentPeer, *, known: bool) -> tuple[bool, str]:
        """Read one connection to its end; return whether any report arrived, and why it ended."""
        url = f"http://{agent.address}{_REPORT_PATH}"
        timeout = ClientTimeout(
            total=None,
            sock_connect=REPORT_TIMEOUT_SECONDS,
            sock_read=REPORT_TIMEOUT_SECONDS,
        )
        received = False
        try:
            query = {"relay": self._internal}
            async with self._session.get(url, params=query, timeout=timeout) as response:
                response.raise_for_status()
                async for line in response.content:
                    fields = json.loads(line)
                    report = decode_report(fields)
                    self._record(agent, report, leaving=bool(fields.get("leaving")))
                    cold = float(fields.get("cold", 0.0))
                    self._endpoints.record_reported_coldness(agent.engine, report.born, cold)
                    if not received and not known:
                        note(_LOG, "agent connected", agent=agent.address)
                    received = True
        except (ClientError, OSError, TimeoutError, *DECODE_ERRORS) as error:
            return received, repr(error)
        return received, "ended"

    def _record(self, agent: AgentPeer, report: EngineReport, *, leaving: bool) -> None:
        MESSAGES.labels("report", "received").inc()
        self._view.record_report(agent.engine, report, agent.place)
        self._endpoints.record_report(agent.engine, report, read_clock())
        if leaving:
            self._endpoints.record_reported_departure(agent.engine, report.born)


def decode_report(fields: dict[str, Any]) -> EngineReport:
    """Decode an agent's report.

    :raises KeyError: if a field is missing.
    :raises TypeError: if a field has the wrong type.
    """
    known = {name: fields[name] for name in EngineReport.__slots__}
    span = fields["span"]
    known["span"] = LayerSpan(span["start"], span["stop"]) if span is not None else None
    return EngineReport(**known)
