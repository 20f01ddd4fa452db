"""Rate limits by endpoint, as this node knows them."""

import logging
from collections import OrderedDict
from dataclasses import dataclass

from prometheus_client import Gauge

from wrenloft_core import AgentId, IncarnationId, NodeId, note, read_clock
from wrenloft_policy import NamedLimit, RateLimit, update_limit

_LOG = logging.getLogger(__name__)

MOST_LIMITS = 8192
"""Incarnations whose limits are kept, about 2 MB."""

RATE_LIMIT = Gauge(
    "wrenloft_endpoint_rate_limit",
    "Requests a second that an endpoint takes from all entry nodes together",
    ["endpoint"],
)


@dataclass(slots=True)
class _Entry:
    limit: RateLimit | None = None
    known_at: float = 0.0
    unreadable: str = ""


class LimitLedger:
    """Rate limits by incarnation of an endpoint.

    :param node: this node.
    """

    def __init__(self, node: NodeId) -> None:
        self._node = node
        self._entries: OrderedDict[IncarnationId, _Entry] = OrderedDict()

    def find_rate(self, incarnation: IncarnationId) -> float | None:
        """Return the requests a second that an endpoint takes, ``None`` if it has no limit."""
        entry = self._entries.get(incarnation)
        return entry.limit.rate if entry is not None and entry.limit is not None else None

    def observe(
        self,
        agent_id: AgentId,
        incarnation: IncarnationId,
        named: NamedLimit | None,
        *,
        limit_known: bool,
    ) -> None:
        """Take what an answer says.

        :param limit_known: whether a limit was known when the request was sent. Only then does an
            answer without one count: an earlier one may arrive after the first that names it.
        """
        entry = self._entries.get(incarnation) or _Entry()
        if named is not None and named.rate is None:
            if entry.unreadable != named.text:
                note(_LOG, "rate limit not readable", endpoint=agent_id, text=named.text[:40])
            entry.unreadable = named.text
            self._keep(incarnation, entry)
            return
        if named is None and not limit_known:
            return
        updated = update_limit(entry.limit, named.rate if named else None, self._node)
        if updated is not None and updated is not entry.limit:
            self._change(agent_id, incarnation, entry, updated)

    def _change(
        self, agent_id: AgentId, incarnation: IncarnationId, entry: _Entry, limit: RateLimit
    ) -> None:
        old = entry.limit.rate if entry.limit is not None else None
        entry.limit, entry.known_at = limit, read_clock()
        self._keep(incarnation, entry)
        if limit.rate == old:
            return
        message = "rate limit changed" if old is not None else "rate limit named"
        if limit.rate is None:
            message = "rate limit ended"
            RATE_LIMIT.remove(agent_id)
        else:
            RATE_LIMIT.labels(agent_id).set(limit.rate)
        note(
            _LOG,
            message,
            endpoint=agent_id,
            old=old,
            new=limit.rate,
            sequence=limit.sequence,
            seen_by=limit.node,
        )

    def _keep(self, incarnation: IncarnationId, entry: _Entry) -> None:
        self._entries[incarnation] = entry
        self._entries.move_to_end(incarnation)
        while len(self._entries) > MOST_LIMITS:
            self._entries.popitem(last=False)
