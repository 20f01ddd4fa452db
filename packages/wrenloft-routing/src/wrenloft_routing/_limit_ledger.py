"""Rate limits by endpoint, shared by all entry nodes."""

import logging
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

from wrenloft_core import IncarnationId, NodeId, note, read_clock
from wrenloft_policy import AdvertisedLimit, RateLimit, merge_limit, update_limit

_LOG = logging.getLogger(__name__)

MAX_LIMITS = 8192
"""Incarnations whose limits are kept, about 2 MB in all."""

LimitUpdates = dict[IncarnationId, RateLimit]


@dataclass(slots=True)
class _Entry:
    limit: RateLimit | None = None
    known_at: float = 0.0
    revision: int = 0
    unreadable: str = ""


@dataclass(frozen=True, slots=True)
class ActiveLimit:
    """A limit in force at an endpoint.

    :param rate: requests per second.
    :param node: node that observed the limit.
    :param age: seconds since this node learned of it.
    """

    incarnation: IncarnationId
    rate: float
    node: str
    age: float


class LimitLedger:
    """Rate limits by incarnation of an endpoint.

    Each change gets a sequence number one above all known ones, so that all nodes settle on the
    later of two changes, however often and in whichever order they receive them.

    :param node: this node.

    ``on_change`` is called with each incarnation whose rate has changed, and the rate before.
    """

    def __init__(self, node: NodeId) -> None:
        self.on_change: Callable[[IncarnationId, float | None], None] = lambda key, old: None
        self.revision = 0
        self._node = node
        self._entries: OrderedDict[IncarnationId, _Entry] = OrderedDict()

    def __len__(self) -> int:
        return len(self._entries)

    def find(self, incarnation: IncarnationId) -> RateLimit | None:
        """Return the latest record of an endpoint's limit, even if the limit has ended."""
        entry = self._entries.get(incarnation)
        return entry.limit if entry is not None else None

    def find_rate(self, incarnation: IncarnationId) -> float | None:
        """Return an endpoint's limit in requests per second, ``None`` if it has none."""
        limit = self.find(incarnation)
        return limit.rate if limit is not None else None

    def observe(
        self, incarnation: IncarnationId, named: AdvertisedLimit | None, *, limit_known: bool
    ) -> None:
        """Update the limit from what a response says.

        :param limit_known: whether a limit was known when the request was sent. A response without
            a limit counts only then: one to an earlier request may arrive after the first response
            that names the limit.
        """
        if named is not None and named.rate is None:
            self._note_unreadable(incarnation, named.text)
            return
        if named is None and not limit_known:
            return
        known = self.find(incarnation)
        updated = update_limit(known, named.rate if named else None, self._node)
        if updated is not None and updated is not known:
            self._change(incarnation, updated)

    def _note_unreadable(self, incarnation: IncarnationId, text: str) -> None:
        entry = self._entries.get(incarnation) or _Entry()
        if entry.unreadable != text:
            note(_LOG, "cannot parse rate limit", endpoint=incarnation, text=text[:40])
        entry.unreadable = text
        self._store(incarnation, entry)

    def merge(self, updates: LimitUpdates) -> None:
        """Merge the updates of another node."""
        for incarnation, received in updates.items():
            known = self.find(incarnation)
            joined = merge_limit(known, received)
            if joined is not known:
                self._change(incarnation, joined)

    def list_changes(self, since: int) -> LimitUpdates:
        """Return the limits changed after a revision of this ledger, for publication."""
        if since == self.revision:
            return {}
        return {
            incarnation: entry.limit
            for incarnation, entry in self._entries.items()
            if entry.revision > since and entry.limit is not None
        }

    def list_active(self) -> list[ActiveLimit]:
        """Return all limits in force."""
        now = read_clock()
        return [
            ActiveLimit(key, each.limit.rate, each.limit.node, now - each.known_at)
            for key, each in sorted(self._entries.items())
            if each.limit is not None and each.limit.rate is not None
        ]

    def _change(self, incarnation: IncarnationId, limit: RateLimit) -> None:
        entry = self._entries.get(incarnation) or _Entry()
        old = entry.limit.rate if entry.limit is not None else None
        now = read_clock()
        age = now - entry.known_at if entry.limit is not None else 0.0
        self.revision += 1
        entry.limit, entry.revision = limit, self.revision
        self._store(incarnation, entry)
        if limit.rate == old:
            return
        entry.known_at = now
        self._note_change(incarnation, old, limit, age)
        self.on_change(incarnation, old)

    def _note_change(
        self, incarnation: IncarnationId, old: float | None, limit: RateLimit, age: float
    ) -> None:
        message = "rate limit named" if old is None else "rate limit changed"
        if limit.rate is None:
            message = "rate limit ended"
        note(
            _LOG,
            message,
            endpoint=incarnation,
            old=old,
            new=limit.rate,
            old_age_ms=round(age * 1000),
            seen_by=limit.node,
        )

    def _store(self, incarnation: IncarnationId, entry: _Entry) -> None:
        self._entries[incarnation] = entry
        self._entries.move_to_end(incarnation)
        while len(self._entries) > MAX_LIMITS:
            self._entries.popitem(last=False)
