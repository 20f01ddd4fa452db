"""Crashes by content, as known to all entry nodes together."""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from prometheus_client import Counter, Gauge

from wrenloft_core import ContentId, IncarnationId, read_clock
from wrenloft_policy import (
    CRASH_TTL_SECONDS,
    CRASHES_TO_QUARANTINE,
    Crash,
    Crashes,
    CrashStatus,
    count_unexplained_crashes,
    list_counted_crashes,
    merge_crash,
)
from wrenloft_routing._crash_source import CrashSource
from wrenloft_routing._segment_ledger import SegmentLedger

MAX_CONTENTS = 1024
"""Contents with crashes that are kept, about 2 MB at most. The failure of a whole rack leaves some
hundred; those below the quarantine threshold are dropped first."""

MAX_CRASHES_PER_CONTENT = 16
"""Crashes kept per content: three for its quarantine, those until all nodes know of it, and four
probes in the ten minutes for which crashes count. These distinguish it from its victims."""

REFUSED_REQUESTS = Counter(
    "wrenloft_held_back", "Requests answered without being sent: content held back"
)
WRONGLY_REFUSED_REQUESTS = Counter(
    "wrenloft_held_back_wrongly", "Of those, requests whose content has had a whole answer since"
)
QUARANTINED = Gauge("wrenloft_contents_held", "Contents that are held back now")


@dataclass(frozen=True, slots=True)
class ReportedCrash:
    """A crash as published to other nodes, with its age in seconds, since clocks differ."""

    age: float
    status: CrashStatus


CrashUpdates = dict[ContentId, dict[IncarnationId, ReportedCrash]]


@dataclass(frozen=True, slots=True)
class Quarantine:
    """A content that is quarantined.

    :param count: endpoints that failed while running it.
    :param crash_times: times of these failures.
    :param source: of the report of the latest one.
    """

    content: ContentId
    count: int
    crash_times: tuple[float, ...]
    source: CrashSource

    @property
    def reason(self) -> str:
        """Why a request is refused, as its caller is told."""
        return f"{self.count} endpoints fell under this request"

    @property
    def age(self) -> float:
        """Seconds since the latest crash."""
        return read_clock() - max(self.crash_times)


@dataclass(slots=True)
class _Entry:
    crashes: dict[IncarnationId, Crash] = field(default_factory=dict)
    revision: int = 0
    source: CrashSource = CrashSource.OWN
    own: bool = False
    refused: int = 0


class CrashLedger:
    """Crashes by content.

    Each node observes only the failures under its own attempts, and a request that is repeated at
    nine nodes would crash three engines at each. The crashes that all nodes observed therefore
    count together. Reports merge in any order and any number of times with the same result, so that
    a relay that fails, lags or sends twice changes nothing once the next one has sent its updates.

    :param on_change: called with each content whose crashes have changed.
    :param segments: the crashes by what their requests' prompts have in common.
    """

    def __init__(self) -> None:
        self.on_change: Callable[[ContentId], None] = lambda content: None
        self.revision = 0
        self._entries: OrderedDict[ContentId, _Entry] = OrderedDict()
        self._suspects: set[ContentId] = set()
        self.segments = SegmentLedger(self._list_suspects)
        QUARANTINED.set_function(lambda: len(self.list_quarantines()))

    def __len__(self) -> int:
        return len(self._entries)

    def _list_suspects(self) -> dict[ContentId, set[IncarnationId]]:
        """Return the crashes of the contents that may be quarantined."""
        now = read_clock()
        return {
            each: list_counted_crashes(self._entries[each].crashes, now) for each in self._suspects
        }

    def record(
        self, content: ContentId, incarnation: IncarnationId, crash: Crash, source: CrashSource
    ) -> None:
        """Record one crash, observed here or reported."""
        entry = self._entries.get(content) or _Entry()
        known = entry.crashes.get(incarnation)
        joined = merge_crash(known, crash)
        entry.own = entry.own or source is CrashSource.OWN
        if joined == known:
            return
        if joined.status is not CrashStatus.COUNTED:
            self._count_wrong_refusals(entry, joined.status)
        entry.crashes[incarnation] = joined
        entry.source = source
        self._entries[content] = entry
        self._trim(entry)
        self._record_change(content, entry)

    def _trim(self, entry: _Entry) -> None:
        """Keep the latest crashes that count."""
        while len(entry.crashes) > MAX_CRASHES_PER_CONTENT:
            del entry.crashes[min(entry.crashes, key=lambda each: _rank(entry.crashes[each]))]

    def _record_change(self, content: ContentId, entry: _Entry) -> None:
        self.revision += 1
        entry.revision = self.revision
        self._entries.move_to_end(content)
        counted = sum(each.status is CrashStatus.COUNTED for each in entry.crashes.values())
        if counted >= CRASHES_TO_QUARANTINE:
            self._suspects.add(content)
        else:
            self._suspects.discard(content)
        while len(self._entries) > MAX_CONTENTS:
            self._drop(self._pick_dropped())
        self.on_change(content)

    def _pick_dropped(self) -> ContentId:
        """Return the content without changes for longest, a suspect only if there is no other."""
        oldest = (each for each in self._entries if each not in self._suspects)
        return next(oldest, next(iter(self._entries)))

    def _drop(self, content: ContentId) -> None:
        del self._entries[content]
        self._suspects.discard(content)
        self.on_change(content)

    def dismiss(self, content: ContentId, status: CrashStatus) -> bool:
        """Stop counting a content's crashes; return whether any counted."""
        entry = self._entries.get(content)
        if entry is None:
            return False
        counting = [
            (incarnation, crash)
            for incarnation, crash in entry.crashes.items()
            if crash.status is CrashStatus.COUNTED
        ]
        for incarnation, crash in counting:
            self.record(content, incarnation, Crash(crash.at, status), entry.source)
        return bool(counting)

    def _count_wrong_refusals(self, entry: _Entry, status: CrashStatus) -> None:
        if status is CrashStatus.SUCCEEDED:
            WRONGLY_REFUSED_REQUESTS.inc(entry.refused)
        entry.refused = 0

    def merge(self, updates: CrashUpdates, source: CrashSource) -> None:
        """Merge the updates of another node or of the store."""
        now = read_clock()
        for content, crashes in updates.items():
            for incarnation, reported in crashes.items():
                if reported.age < CRASH_TTL_SECONDS:
                    crash = Crash(now - reported.age, reported.status)
                    self.record(content, incarnation, crash, source)

    def list_changes(self, since: int) -> CrashUpdates:
        """Return the changes after a revision of this ledger, for publication."""
        if since == self.revision:
            return {}
        now = read_clock()
        return {
            content: self.report_crashes(content, now)
            for content, entry in self._entries.items()
            if entry.revision > since
        }

    def report_crashes(self, content: ContentId, now: float) -> dict[IncarnationId, ReportedCrash]:
        """Return a content's crashes for publication."""
        entry = self._entries.get(content) or _Entry()
        return {
            incarnation: ReportedCrash(now - crash.at, crash.status)
            for incarnation, crash in entry.crashes.items()
        }

    def has_own_crash(self, content: ContentId) -> bool:
        """Return whether this node itself observed a crash of a content."""
        entry = self._entries.get(content)
        return entry is not None and entry.own

    def list_crash_times(self, content: ContentId) -> list[float]:
        """Return the times of a content's crashes that count."""
        entry = self._entries.get(content) or _Entry()
        return [each.at for each in entry.crashes.values() if each.status is CrashStatus.COUNTED]

    def count_refusal(self, content: ContentId) -> None:
        """Count a request that was answered without being sent."""
        REFUSED_REQUESTS.inc()
        entry = self._entries.get(content)
        if entry is not None:
            entry.refused += 1

    def find_quarantine(self, content: ContentId) -> Quarantine | None:
        """Return the quarantine of a content, ``None`` if there is none.

        Most contents have no crash and cost a single set lookup.
        """
        if content not in self._suspects:
            return None
        now = read_clock()
        entry = self._entries[content]
        others = [self._entries[each].crashes for each in self._suspects if each != content]
        count = count_unexplained_crashes(self._list_unexplained(entry), others, now)
        if count < CRASHES_TO_QUARANTINE:
            return None
        crash_times = tuple(
            entry.crashes[each].at for each in list_counted_crashes(entry.crashes, now)
        )
        return Quarantine(content, count, crash_times, entry.source)

    def _list_unexplained(self, entry: _Entry) -> Crashes:
        """Return the crashes of a content that no quarantined prompt segment explains.

        Requests that are retried may be in progress at three crashes under the same segment.
        """
        explained = self.segments.list_explained()
        if not explained:
            return entry.crashes
        return {key: crash for key, crash in entry.crashes.items() if key not in explained}

    def list_quarantines(self) -> list[Quarantine]:
        """Return all quarantines in force."""
        quarantines = (self.find_quarantine(each) for each in sorted(self._suspects))
        return [each for each in quarantines if each is not None]

    def drop_expired(self) -> None:
        """Drop contents and endpoints whose crashes no longer count."""
        now = read_clock()
        self.segments.drop_expired()
        for content, entry in list(self._entries.items()):
            if all(now - each.at >= CRASH_TTL_SECONDS for each in entry.crashes.values()):
                self._drop(content)


def _rank(crash: Crash) -> tuple[bool, float]:
    return crash.status is CrashStatus.COUNTED, crash.at
