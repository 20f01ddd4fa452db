"""The streams of the agents whose home this node is."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

from wrenloft._view import AgentEntry, View
from wrenloft.platform import ConfigurationStore
from wrenloft_core import AgentId, Configuration, PlaceName, RegionName
from wrenloft_messages import messages
from wrenloft_policy import choose_entries, matches

_NOTICE_SECONDS = 1.0
_TOLD_ADDRESSES = 4


class Attachments:
    """Takes reports and sends notices.

    :param describe: returns this node's present record.
    """

    def __init__(
        self,
        view: View,
        configurations: ConfigurationStore,
        describe: Callable[[], messages.NodeRecord],
    ) -> None:
        self._view = view
        self._configurations = configurations
        self._describe = describe
        self._draining = asyncio.Event()

    def drain(self) -> None:
        """Send all agents to other homes."""
        self._draining.set()

    async def attach(
        self, reports: AsyncIterator[messages.AgentReport]
    ) -> AsyncIterator[messages.NodeNotice]:
        """Serve one agent's stream until either side ends it."""
        first = await anext(reports)
        agent_id = AgentId(first.record.agent_id)
        self._take(first)
        self._view.attached.add(agent_id)
        reading = asyncio.create_task(self._read(reports))
        told = 0
        try:
            while not reading.done():
                configured = self._configurations.changed
                yield self._build_notice(agent_id, told)
                told = self._configurations.revision
                await self._rest(reading, configured)
        finally:
            reading.cancel()
            self._view.attached.discard(agent_id)

    async def _read(self, reports: AsyncIterator[messages.AgentReport]) -> None:
        async for report in reports:
            self._take(report)

    def _take(self, report: messages.AgentReport) -> None:
        now = asyncio.get_running_loop().time()
        if report.HasField("record"):
            self._view.merge_record(report.record, now)
            self._view.agents[AgentId(report.record.agent_id)].heard_at = now
        elif report.HasField("load"):
            self._view.merge_load(report.load, now)

    async def _rest(self, reading: asyncio.Task[None], configured: asyncio.Event) -> None:
        waits = [
            asyncio.ensure_future(configured.wait()),
            asyncio.ensure_future(self._draining.wait()),
        ]
        if self._draining.is_set():
            waits.pop().cancel()
        try:
            await asyncio.wait(
                [reading, *waits], timeout=_NOTICE_SECONDS, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            for each in waits:
                each.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await each

    def _build_notice(self, agent_id: AgentId, told: int) -> messages.NodeNotice:
        own = self._describe()
        entry = self._view.agents[agent_id]
        now = asyncio.get_running_loop().time()
        nodes = self._view.list_entries(own, now)
        near = choose_entries(
            agent_id, nodes, PlaceName(entry.record.place), RegionName(entry.record.region)
        )
        addresses = {own.node_id: own.grpc_address}
        addresses.update(
            {each.record.node_id: each.record.grpc_address for each in self._view.peers.values()}
        )
        notice = messages.NodeNotice(
            revision=self._configurations.revision,
            node_addresses=[addresses[each.node_id] for each in near[:_TOLD_ADDRESSES]],
            draining=self._draining.is_set(),
        )
        if self._configurations.revision > told:
            notice.has_rules = True
            notice.alarm_slots = self._configurations.current.fleet.alarm_slots
            notice.rules.extend(_list_rules(self._configurations.current, entry))
        return notice


def _list_rules(configuration: Configuration, entry: AgentEntry) -> list[messages.ModelRule]:
    """Return the models and services that may run on an agent's host."""
    rules = [
        messages.ModelRule(model=name, version=model.version)
        for name, model in configuration.models.items()
        if matches(model.hosts, entry.labels)
    ]
    rules += [
        messages.ModelRule(model=name)
        for name, service in configuration.services.items()
        if matches(service.hosts, entry.labels)
    ]
    return rules
