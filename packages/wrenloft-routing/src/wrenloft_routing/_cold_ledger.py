"""Endpoints that count as cold, and until when, however this node learned of it."""

import logging
from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum

from prometheus_client import Gauge

from wrenloft_core import IncarnationId, NodeId, note, read_clock, warn

_LOG = logging.getLogger(__name__)

MAX_COLD = 16384
"""Incarnations whose coldness is kept, about 5 MB: five starts of each of 3,000 endpoints."""

MIN_NOTED_SECONDS = 0.5
"""Least extension that is logged; answers of one endpoint differ by less."""

MIN_SHARED_SECONDS = 0.1
"""Least extension that other nodes are told. Differences of this size come from the links."""

MAX_LOGGED_TEXT = 40
"""Characters of an unreadable header that are logged."""

COLD = Gauge("wrenloft_cold_endpoints", "Endpoints that count as cold at this node")


class ColdSource(Enum):
    """Why an endpoint counts as cold."""

    ENTRY = "entry"
    START = "start"
    EVACUATION = "evacuation"
    ANSWER = "answer"
    PEER = "peer"


_STATED = (ColdSource.ENTRY, ColdSource.ANSWER, ColdSource.PEER)
"""Sources that may state coldness again and again."""


@dataclass(frozen=True, slots=True)
class ColdReport:
    """What one node tells others of an endpoint's coldness.

    :param left: seconds for which it lasts from now on.
    :param sequence: increases with each change, so that no report comes back as news; 0 for
        coldness that each node learns of by itself.
    :param node: the node that got the answer; breaks ties of the sequence.
    """

    left: float
    sequence: int
    node: str


ColdUpdates = dict[IncarnationId, ColdReport]


@dataclass(frozen=True, slots=True)
class ActiveCold:
    """Coldness in progress.

    :param left: seconds for which it lasts.
    """

    incarnation: IncarnationId
    left: float
    source: ColdSource


@dataclass(slots=True)
class _Entry:
    until: float = float("-inf")
    begun_at: float = 0.0
    source: ColdSource = ColdSource.ENTRY
    cap_noted: bool = False
    capped: frozenset[ColdSource] = frozenset()
    noted_until: float = float("-inf")
    sequence: int = 0
    node: str = ""
    shared_until: float = float("-inf")
    revision: int = 0
    unreadable: bool = False


class ColdLedger:
    """Coldness by incarnation of an endpoint.

    It ends by itself; a later end extends it, up to a cap from its begin. After coldness that was
    capped, the same source counts again once it has stated that the endpoint isn't cold. What
    answers state is told to the other nodes, which may have had no answer.

    :param node: this node.
    """

    def __init__(self, node: NodeId) -> None:
        self.revision = 0
        self._node = node
        self._entries: OrderedDict[IncarnationId, _Entry] = OrderedDict()
        self._active: set[IncarnationId] = set()
        COLD.set_function(lambda: len(self._active))

    def __len__(self) -> int:
        """Return the number of cold endpoints, including those whose end was not noted yet."""
        return len(self._active)

    def find_end(self, incarnation: IncarnationId) -> float:
        """Return when the coldness of an incarnation ends or ended."""
        entry = self._entries.get(incarnation)
        return entry.until if entry is not None else float("-inf")

    def extend(
        self, incarnation: IncarnationId, until: float, cap: float, source: ColdSource
    ) -> bool:
        """Record that an incarnation is cold until a time; return whether its coldness begins.

        :param cap: longest coldness at a time, in seconds.
        """
        now = read_clock()
        if until <= now:
            return False
        entry = self._entries.get(incarnation) or _Entry()
        begins = entry.until <= now
        if begins and source in entry.capped:
            return False
        if begins:
            entry.begun_at, entry.cap_noted = now, False
        if until > entry.begun_at + cap:
            self._note_cap(incarnation, entry, until - now, cap, source)
            until = entry.begun_at + cap
        if until <= max(now, entry.until):
            return False
        entry.until, entry.source = until, source
        self._store(incarnation, entry)
        self._note_change(incarnation, entry, now, begins=begins)
        if source is ColdSource.ANSWER and until - entry.shared_until > MIN_SHARED_SECONDS:
            self._share(entry, entry.sequence + 1, self._node)
        return begins

    def _note_cap(
        self, incarnation: IncarnationId, entry: _Entry, left: float, cap: float, source: ColdSource
    ) -> None:
        if not entry.cap_noted:
            warn(
                _LOG,
                "endpoint cold for too long; capped",
                endpoint=incarnation,
                seconds=round(left, 1),
                cap=cap,
                source=source.value,
            )
        entry.cap_noted = True
        if source in _STATED:
            entry.capped |= {source}

    def _note_change(
        self, incarnation: IncarnationId, entry: _Entry, now: float, *, begins: bool
    ) -> None:
        if not begins and entry.until - entry.noted_until < MIN_NOTED_SECONDS:
            return
        note(
            _LOG,
            "endpoint cold" if begins else "endpoint cold for longer",
            endpoint=incarnation,
            left_ms=round((entry.until - now) * 1000),
            left_before_ms=round(max(0.0, entry.noted_until - now) * 1000),
            source=entry.source.value,
        )
        entry.noted_until = entry.until

    def _share(self, entry: _Entry, sequence: int, node: str) -> None:
        self.revision += 1
        entry.sequence, entry.node = sequence, node
        entry.shared_until, entry.revision = entry.until, self.revision

    def record_warm(self, incarnation: IncarnationId, source: ColdSource) -> None:
        """Record that a source states that an incarnation isn't cold; doesn't end coldness."""
        entry = self._entries.get(incarnation)
        if entry is not None:
            entry.capped -= {source}

    def record_unreadable(self, incarnation: IncarnationId, text: str) -> None:
        """Log a coldness that can't be parsed, once for each incarnation."""
        entry = self._entries.get(incarnation) or _Entry()
        if not entry.unreadable:
            entry.unreadable = True
            text = text[:MAX_LOGGED_TEXT]
            warn(_LOG, "cannot parse coldness", endpoint=incarnation, text=text)
            self._store(incarnation, entry)

    def merge(self, incarnation: IncarnationId, report: ColdReport, cap: float) -> bool:
        """Merge the report of another node; return whether coldness begins."""
        begins = self.extend(incarnation, read_clock() + report.left, cap, ColdSource.PEER)
        entry = self._entries.get(incarnation) or _Entry()
        if (report.sequence, report.node) > (entry.sequence, entry.node):
            self._store(incarnation, entry)
            self._share(entry, report.sequence, report.node)
        return begins

    def list_changes(self, since: int) -> ColdUpdates:
        """Return what changed after a revision of this ledger, for publication.

        :param since: -1 for all that is cold, whatever its source.
        """
        if since == self.revision:
            return {}
        now = read_clock()
        return {
            incarnation: ColdReport(round(entry.until - now, 3), entry.sequence, entry.node)
            for incarnation in self._active
            if (entry := self._entries[incarnation]).revision > since and entry.until > now
        }

    def list_active(self) -> list[ActiveCold]:
        """Return all coldness in progress."""
        now = read_clock()
        return [
            ActiveCold(incarnation, entry.until - now, entry.source)
            for incarnation in sorted(self._active)
            if (entry := self._entries[incarnation]).until > now
        ]

    def drop_ended(self) -> list[IncarnationId]:
        """Note the coldness that has ended, and return whose."""
        now = read_clock()
        ended = [each for each in self._active if self._entries[each].until <= now]
        for incarnation in ended:
            entry = self._entries[incarnation]
            self._active.discard(incarnation)
            seconds = round(now - entry.begun_at, 2)
            note(_LOG, "endpoint no longer cold", endpoint=incarnation, seconds=seconds)
        return ended

    def _store(self, incarnation: IncarnationId, entry: _Entry) -> None:
        self._entries[incarnation] = entry
        self._entries.move_to_end(incarnation)
        if entry.until > read_clock():
            self._active.add(incarnation)
        while len(self._entries) > MAX_COLD:
            evicted, _ = self._entries.popitem(last=False)
            self._active.discard(evicted)
