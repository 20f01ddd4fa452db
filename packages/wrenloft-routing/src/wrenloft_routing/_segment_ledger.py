"""Crashes of endpoints with the prompt segments in progress, as known to all entry nodes."""

from collections.abc import Callable, Collection, Iterable, Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass, field, replace

from prometheus_client import Counter, Gauge

from wrenloft_core import ContentId, IncarnationId, SegmentId, read_clock
from wrenloft_policy import (
    CRASH_TTL_SECONDS,
    CRASHES_TO_QUARANTINE,
    HeldSegment,
    SegmentCrash,
    SegmentEvidence,
    Workload,
    find_held_segments,
)
from wrenloft_routing._crash_source import CrashSource

MAX_CRASHES = 64
"""Crashes kept, about 1 MB with 16 workloads of three segments each, some 20 MB at the most. Those
under a quarantined segment are dropped last."""

MAX_WORKLOADS = 64
"""Workloads kept per crash, of all nodes together: four times an engine's slots."""

CRASHES_TO_SUSPECT = 2
"""Crashes under a segment that was never answered from which its requests get no second try."""

REVIEW_SECONDS = 0.2
"""Age beyond which the quarantined segments are determined anew, as they depend on the time."""

SEGMENT_REFUSALS = Counter(
    "wrenloft_held_back_segments", "Requests refused because of a prompt segment"
)
WRONG_SEGMENT_REFUSALS = Counter(
    "wrenloft_held_back_segments_wrongly",
    "Of those, requests with a segment that has had a whole answer since",
)
QUARANTINED_SEGMENTS = Gauge("wrenloft_segments_held", "Prompt segments that are held back now")


@dataclass(frozen=True, slots=True)
class ReportedSegmentCrash:
    """A crash as published to other nodes, with its age in seconds, since clocks differ."""

    age: float
    workloads: frozenset[Workload]
    evidence: Mapping[SegmentId, SegmentEvidence] = field(default_factory=dict)


SegmentCrashUpdates = dict[IncarnationId, ReportedSegmentCrash]


@dataclass(frozen=True, slots=True)
class SegmentQuarantine:
    """A prompt segment that is quarantined.

    :param source: of the report of the latest crash.
    """

    held: HeldSegment
    source: CrashSource

    @property
    def segment(self) -> SegmentId:
        """The segment itself."""
        return self.held.segment

    @property
    def count(self) -> int:
        """Number of endpoints that crashed under it."""
        return len(self.held.crashes)

    @property
    def reason(self) -> str:
        """Why a request is refused, as its caller is told."""
        return f"{self.count} endpoints fell under prompt segment {self.segment}"

    @property
    def age(self) -> float:
        """Seconds since the latest crash."""
        return read_clock() - max(self.held.crash_times)


@dataclass(slots=True)
class _Entry:
    crash: SegmentCrash
    source: CrashSource
    revision: int = 0


class SegmentLedger:
    """Crashes of endpoints, and the segments that are quarantined for them.

    Each node reports what it had in progress at an endpoint that crashed, and what it knows of the
    segments. Reports are joined by union, in any order and any number of times with the same
    result.

    :param list_contents: returns the crashes of each content that may be quarantined itself.
    :param on_change: called with the incarnation of each crash that has changed.
    :param on_settled: called once after any number of changes that came together.
    """

    def __init__(
        self,
        list_contents: Callable[[], Mapping[ContentId, Collection[IncarnationId]]],
    ) -> None:
        self.on_change: Callable[[IncarnationId], None] = lambda incarnation: None
        self.on_settled: Callable[[], None] = lambda: None
        self.revision = 0
        self._list_contents = list_contents
        self._crashes: dict[IncarnationId, _Entry] = {}
        self._incarnations: dict[SegmentId, set[IncarnationId]] = {}
        self._held: dict[SegmentId, HeldSegment] = {}
        self._reviewed_at = float("-inf")
        self._refused: dict[SegmentId, int] = {}
        self._open_batches = 0
        self._changed = False
        QUARANTINED_SEGMENTS.set_function(lambda: len(self.list_held()))

    def __len__(self) -> int:
        return len(self._crashes)

    @contextmanager
    def _batch(self) -> Iterator[None]:
        """Report changes that come together once, as determining quarantines takes milliseconds."""
        self._open_batches += 1
        try:
            yield
        finally:
            self._open_batches -= 1
            if self._changed and not self._open_batches:
                self._changed = False
                self.on_settled()

    def record(
        self,
        incarnation: IncarnationId,
        at: float,
        workloads: Iterable[Workload],
        source: CrashSource,
        evidence: Mapping[SegmentId, SegmentEvidence] | None = None,
    ) -> None:
        """Record what was in progress at an endpoint that crashed.

        A crash without segments is left out.
        """
        added = frozenset(each for each in workloads if each.segments)
        known = self._crashes.get(incarnation)
        if known is None:
            if not added:
                return
            known = _Entry(SegmentCrash(at, frozenset()), source)
        room = MAX_WORKLOADS - len(known.crash.workloads)
        added = frozenset(sorted(added - known.crash.workloads, key=_order_workloads)[:room])
        joined = _join_evidence(known.crash.evidence, evidence or {})
        if not added and joined == known.crash.evidence:
            return
        workloads = known.crash.workloads | added
        known.crash = replace(known.crash, workloads=workloads, evidence=joined)
        if added and known.source is not CrashSource.OWN:
            known.source = source
        self._crashes[incarnation] = known
        for segment in {segment for each in added for segment in each.segments}:
            self._incarnations.setdefault(segment, set()).add(incarnation)
        with self._batch():
            self._record_change(incarnation, known)

    def record_evidence(
        self, segment: SegmentId, evidence: SegmentEvidence, sent_at: float = float("inf")
    ) -> None:
        """Record evidence for a segment at all crashes up to a time."""
        with self._batch():
            for incarnation in list(self._incarnations.get(segment, ())):
                crash = self._crashes[incarnation].crash
                known = crash.evidence.get(segment, SegmentEvidence.NONE)
                if crash.at <= sent_at and evidence not in known:
                    self.record(incarnation, crash.at, (), CrashSource.OWN, {segment: evidence})

    def _record_change(self, incarnation: IncarnationId, entry: _Entry) -> None:
        self.revision += 1
        entry.revision = self.revision
        self._reviewed_at = float("-inf")
        self._changed = True
        if len(self._crashes) > MAX_CRASHES:
            self._drop(self._pick_dropped())
        if incarnation in self._crashes:
            self.on_change(incarnation)

    def _pick_dropped(self) -> IncarnationId:
        """Return the oldest crash, one under a quarantined segment only if there is no other."""
        needed = {each for held in self._held.values() for each in held.crashes}
        return min(
            self._crashes, key=lambda each: (each in needed, self._crashes[each].crash.at, each)
        )

    def _drop(self, incarnation: IncarnationId) -> None:
        crash = self._crashes.pop(incarnation).crash
        for segment in crash.list_segments():
            self._incarnations[segment].discard(incarnation)
            if not self._incarnations[segment]:
                del self._incarnations[segment]
        self._reviewed_at = float("-inf")

    def merge(self, updates: SegmentCrashUpdates, source: CrashSource) -> None:
        """Merge the updates of another node or of the store."""
        now = read_clock()
        with self._batch():
            for incarnation, reported in updates.items():
                if 0.0 <= reported.age < CRASH_TTL_SECONDS:
                    at = now - reported.age
                    self.record(incarnation, at, reported.workloads, source, reported.evidence)

    def list_changes(self, since: int) -> SegmentCrashUpdates:
        """Return the changes after a revision of this ledger, for publication."""
        if since == self.revision:
            return {}
        now = read_clock()
        return {
            incarnation: ReportedSegmentCrash(
                now - entry.crash.at, entry.crash.workloads, entry.crash.evidence
            )
            for incarnation, entry in self._crashes.items()
            if entry.revision > since
        }

    def report_crashes(self, held: HeldSegment) -> SegmentCrashUpdates:
        """Return the crashes of a quarantined segment, without the other requests there."""
        now = read_clock()
        return {
            incarnation: _extract(self._crashes[incarnation].crash, held.segment, now)
            for incarnation in held.crashes
            if incarnation in self._crashes
        }

    def find_crash(self, incarnation: IncarnationId) -> SegmentCrash | None:
        """Return the crash of an incarnation, ``None`` if there is none."""
        entry = self._crashes.get(incarnation)
        return entry.crash if entry is not None else None

    def is_suspect(self, segment: SegmentId) -> bool:
        """Return whether several endpoints crashed under a segment for which nothing speaks.

        At a single crash each node lacks answers for some segments of victims.
        """
        crashes = [self._crashes[each].crash for each in self._incarnations.get(segment, ())]
        evidence = [each.evidence.get(segment, SegmentEvidence.NONE) for each in crashes]
        answered = any(each & ~SegmentEvidence.ANSWERING for each in evidence)
        return len(evidence) >= CRASHES_TO_SUSPECT and not answered

    def has_own_crash(self, held: HeldSegment) -> bool:
        """Return whether this node itself observed one of the crashes under a segment."""
        known = (self._crashes.get(each) for each in held.crashes)
        return any(each is not None and each.source is CrashSource.OWN for each in known)

    def list_held(self) -> dict[SegmentId, HeldSegment]:
        """Return the segments that are quarantined now."""
        now = read_clock()
        if now - self._reviewed_at >= REVIEW_SECONDS:
            self._reviewed_at = now
            self._held = self._find_held(now)
        return self._held

    def _find_held(self, now: float) -> dict[SegmentId, HeldSegment]:
        if all(len(each) < CRASHES_TO_QUARANTINE for each in self._incarnations.values()):
            return {}
        crashes = {key: entry.crash for key, entry in self._crashes.items()}
        return find_held_segments(crashes, self._list_contents(), now)

    def list_explained(self) -> set[IncarnationId]:
        """Return the crashes under quarantined segments."""
        return {each for held in self.list_held().values() for each in held.crashes}

    def find_quarantine(self, workload: Workload) -> SegmentQuarantine | None:
        """Return the quarantine that concerns a request, ``None`` if there is none.

        Usually there is no crash at all, which costs one comparison.
        """
        if not self._crashes:
            return None
        held = self.list_held()
        concerned = [held[each] for each in workload.segments if each in held]
        concerned = [each for each in concerned if each.concerns(workload)]
        if not concerned:
            return None
        return self._describe(_choose_held(concerned))

    def get_quarantine(self, segment: SegmentId) -> SegmentQuarantine | None:
        """Return the quarantine of a segment, ``None`` if there is none."""
        held = self.list_held().get(segment)
        return self._describe(held) if held is not None else None

    def _describe(self, held: HeldSegment) -> SegmentQuarantine:
        latest = max(held.crashes, key=lambda each: (self._crashes[each].crash.at, each))
        return SegmentQuarantine(held, self._crashes[latest].source)

    def count_refusal(self, segment: SegmentId) -> None:
        """Count a request that was answered without being sent."""
        SEGMENT_REFUSALS.inc()
        self._refused[segment] = self._refused.get(segment, 0) + 1

    def end_quarantine(self, segment: SegmentId, *, answered: bool) -> None:
        """Count the refusals of a quarantine that has ended.

        :param answered: whether it ended because of a whole answer.
        """
        refused = self._refused.pop(segment, 0)
        if answered:
            WRONG_SEGMENT_REFUSALS.inc(refused)

    def drop_expired(self) -> None:
        """Drop crashes that no longer count."""
        now = read_clock()
        for incarnation, entry in list(self._crashes.items()):
            if now - entry.crash.at >= CRASH_TTL_SECONDS:
                self._drop(incarnation)


def _order_workloads(workload: Workload) -> tuple[str, list[SegmentId]]:
    return workload.content, sorted(workload.segments)


def _order_held(held: HeldSegment) -> tuple[bool, bool, int, SegmentId]:
    """Order first what is most certainly the cause."""
    return held.explained, held.answered, -len(held.crashes), held.segment


def _choose_held(concerned: Iterable[HeldSegment]) -> HeldSegment:
    """Return for which of several quarantined segments a request is refused, or sent as a probe.

    An early probe must show which segment is the cause. It has others only if the requests at the
    crashes under its segment all had them.
    """
    ordered = sorted(concerned, key=_order_held)
    if not ordered[0].explained:
        return ordered[0]
    names = {each.segment for each in ordered}
    for each in ordered:
        if names <= each.companions:
            return each
    return replace(ordered[0], explained=False)


def _join_evidence(
    known: Mapping[SegmentId, SegmentEvidence], added: Mapping[SegmentId, SegmentEvidence]
) -> Mapping[SegmentId, SegmentEvidence]:
    if not added:
        return known
    return {
        each: known.get(each, SegmentEvidence.NONE) | added.get(each, SegmentEvidence.NONE)
        for each in (*known, *added)
    }


def _extract(crash: SegmentCrash, segment: SegmentId, now: float) -> ReportedSegmentCrash:
    workloads = frozenset(each for each in crash.workloads if segment in each.segments)
    evidence = crash.evidence.get(segment)
    return ReportedSegmentCrash(
        now - crash.at, workloads, {segment: evidence} if evidence is not None else {}
    )
