"""Quarantine of prompt segments that crash the endpoints that write an answer on them."""

import logging
from collections import OrderedDict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from wrenloft_core import IncarnationId, SegmentId, note, read_clock
from wrenloft_policy import (
    ANSWER_DELAY_SECONDS,
    ANSWER_TTL_SECONDS,
    EXPLAINED_PROBE_INTERVAL_SECONDS,
    PROBE_INTERVAL_SECONDS,
    HeldSegment,
    SegmentEvidence,
    Workload,
    compute_segment_probe_delay,
)
from wrenloft_routing._crash_source import CrashSource
from wrenloft_routing._failure_detector import EndpointFailure
from wrenloft_routing._probe_times import ProbeTimes
from wrenloft_routing._segment_ledger import SegmentCrashUpdates, SegmentLedger, SegmentQuarantine

_LOG = logging.getLogger(__name__)

MAX_ANSWERED = 4096
"""Segments whose last whole answer is remembered, about 1 MB; the oldest are dropped first."""


class SegmentStore(Protocol):
    """Persistent quarantines of segments, and fleet-wide claims of probes."""

    def keep_segment(self, segment: SegmentId, crashes: SegmentCrashUpdates) -> None:
        """Store that a segment is quarantined, in the background."""

    def drop_segment(self, segment: SegmentId) -> None:
        """Store that it is no longer quarantined, in the background."""

    async def claim_segment(self, segment: SegmentId, seconds: float) -> bool:
        """Return whether only this node may send a segment during the next seconds."""


@dataclass(frozen=True, slots=True)
class _Answer:
    """The latest whole answer to a request with some segment.

    :param sent_at: when the request was sent to the endpoint.
    """

    at: float
    sent_at: float


@dataclass(frozen=True, slots=True)
class _RecentAnswer:
    """A whole answer whose endpoint may still turn out to have crashed as it ended."""

    answer: _Answer
    workload: Workload
    incarnations: frozenset[IncarnationId]


class SegmentGuard:
    """Decide which prompt segments are refused, and record what speaks for and against them.

    :param on_begin: called when a quarantine has begun.
    """

    def __init__(self, ledger: SegmentLedger, store: SegmentStore) -> None:
        self.on_begin: Callable[[], None] = lambda: None
        self._ledger = ledger
        self._store = store
        self._answers: OrderedDict[SegmentId, _Answer] = OrderedDict()
        self._recent: deque[_RecentAnswer] = deque()
        self._probe_times = ProbeTimes()
        self._quarantined: dict[SegmentId, HeldSegment] = {}
        ledger.on_change = self._update
        ledger.on_settled = self.review

    def record_endpoint_failure(self, failure: EndpointFailure) -> None:
        """Record the failure of an endpoint while requests of this node ran there."""
        evidence = dict.fromkeys(failure.answering, SegmentEvidence.ANSWERING)
        self._ledger.record(
            failure.incarnation, failure.at, failure.workloads, CrashSource.OWN, evidence
        )

    def record_answer(
        self, workload: Workload, incarnations: Iterable[IncarnationId], sent_at: float
    ) -> None:
        """Record a whole answer, which shows that its segments crash nothing.

        It counts once its endpoints have survived it for some time: an endpoint may crash in the
        same moment.
        """
        self.settle_answers()
        if workload.segments:
            answer = _Answer(read_clock(), sent_at)
            self._recent.append(_RecentAnswer(answer, workload, frozenset(incarnations)))

    def settle_answers(self) -> None:
        """Count the answers that their endpoints have survived for long enough."""
        due = read_clock() - ANSWER_DELAY_SECONDS
        while self._recent and self._recent[0].answer.at <= due:
            recent = self._recent.popleft()
            for segment in recent.workload.segments:
                self._record_answered(segment, recent.answer)

    def _record_answered(self, segment: SegmentId, answer: _Answer) -> None:
        known = self._answers.get(segment)
        if known is not None and known.sent_at > answer.sent_at:
            answer = _Answer(answer.at, known.sent_at)
        self._answers[segment] = answer
        self._answers.move_to_end(segment)
        if len(self._answers) > MAX_ANSWERED:
            self._answers.popitem(last=False)
        self._ledger.record_evidence(segment, SegmentEvidence.ANSWERED_AFTER, answer.sent_at)

    def find_quarantine(self, workload: Workload) -> SegmentQuarantine | None:
        """Return the quarantine that concerns a request, ``None`` if there is none."""
        if not len(self._ledger) or not workload.segments:
            return None
        self.settle_answers()
        return self._ledger.find_quarantine(workload)

    def lacks_answer(self, workload: Workload) -> bool:
        """Return whether this node knows of no answer to requests with some segment of these."""
        self.settle_answers()
        return any(each not in self._answers for each in workload.segments)

    def is_suspect(self, workload: Workload) -> bool:
        """Return whether a segment without any known answer was in progress at several crashes."""
        return any(
            each not in self._answers and self._ledger.is_suspect(each)
            for each in workload.segments
        )

    def count_refusal(self, quarantine: SegmentQuarantine) -> None:
        """Count a request that was answered without being sent."""
        self._ledger.count_refusal(quarantine.segment)

    def measure_retry_after(self, quarantine: SegmentQuarantine) -> float:
        """Return the seconds until a request is next let through as a probe."""
        probed_at = self._probe_times.get(quarantine.segment)
        return compute_segment_probe_delay(quarantine.held, probed_at, read_clock())

    async def claim_probe(self, quarantine: SegmentQuarantine) -> bool:
        """Return whether a request with a quarantined segment may be sent once, as a probe.

        Only one node of the fleet may. The probe is recorded before the claim is sent, so that a
        second caller of this node is answered at once.
        """
        segment = quarantine.segment
        if self.measure_retry_after(quarantine) > 0.0:
            return False
        self._probe_times.record(segment, read_clock())
        explained = quarantine.held.explained
        seconds = EXPLAINED_PROBE_INTERVAL_SECONDS if explained else PROBE_INTERVAL_SECONDS
        claimed = await self._store.claim_segment(segment, seconds)
        note(_LOG, "probe of quarantined segment", segment=segment, claimed=claimed)
        return claimed

    def lift(self, segment: SegmentId) -> bool:
        """Lift a quarantine on an operator's request; return whether there was one."""
        if self._ledger.get_quarantine(segment) is None:
            return False
        self._ledger.record_evidence(segment, SegmentEvidence.LIFTED)
        return True

    def _update(self, incarnation: IncarnationId) -> None:
        """Apply a changed crash: compare it with the answers that this node knows of."""
        self._take_back_answers(incarnation)
        crash = self._ledger.find_crash(incarnation)
        if crash is None:
            return
        evidence = {}
        for segment in crash.list_segments():
            answer = self._answers.get(segment)
            if answer is None:
                continue
            if answer.sent_at >= crash.at:
                evidence[segment] = SegmentEvidence.ANSWERED_AFTER
            elif crash.at - answer.at < ANSWER_TTL_SECONDS:
                evidence[segment] = SegmentEvidence.ANSWERED_BEFORE
        if evidence:
            self._ledger.record(incarnation, crash.at, (), CrashSource.PEER, evidence)

    def _take_back_answers(self, incarnation: IncarnationId) -> None:
        """Count whole answers of an endpoint that has just crashed as requests in progress."""
        taken = [each for each in self._recent if incarnation in each.incarnations]
        if not taken:
            return
        self._recent = deque(each for each in self._recent if each not in taken)
        crash = self._ledger.find_crash(incarnation)
        if crash is not None:
            workloads = [each.workload for each in taken]
            self._ledger.record(incarnation, crash.at, workloads, CrashSource.OWN)

    def review(self) -> None:
        """Log and store quarantines that have begun or ended."""
        self.settle_answers()
        held = dict(self._ledger.list_held())
        for segment in self._quarantined.keys() - held.keys():
            self._end_quarantine(segment)
        begun = held.keys() - self._quarantined.keys()
        for segment in begun:
            self._begin_quarantine(held[segment])
        for segment, each in held.items():
            known = self._quarantined.get(segment)
            if (known is None or known.crashes != each.crashes) and self._ledger.has_own_crash(
                each
            ):
                self._store.keep_segment(segment, self._ledger.report_crashes(each))
        self._quarantined = held
        if begun:
            self.on_begin()

    def _begin_quarantine(self, held: HeldSegment) -> None:
        quarantine = self._ledger.get_quarantine(held.segment)
        note(
            _LOG,
            "segment quarantined",
            segment=held.segment,
            crashes=len(held.crashes),
            endpoints=sorted(held.crashes),
            companions=sorted(held.companions),
            answered=held.answered,
            explained=held.explained,
            age_ms=round(quarantine.age * 1000) if quarantine is not None else None,
            source=quarantine.source.value if quarantine is not None else None,
        )

    def _end_quarantine(self, segment: SegmentId) -> None:
        """Record the end of a quarantine.

        Without a whole answer or an operator it ended because its crashes no longer count, or
        because another segment explains them; the entry in the store expires by itself.
        """
        crashes = [self._ledger.find_crash(each) for each in self._quarantined[segment].crashes]
        evidence = SegmentEvidence.NONE
        for crash in crashes:
            evidence |= crash.evidence.get(segment, SegmentEvidence.NONE) if crash else evidence
        answered = bool(evidence & SegmentEvidence.ANSWERED_AFTER)
        self._ledger.end_quarantine(segment, answered=answered)
        note(_LOG, "segment quarantine ended", segment=segment, evidence=evidence.name)
        if evidence & (SegmentEvidence.ANSWERED_AFTER | SegmentEvidence.LIFTED):
            self._store.drop_segment(segment)
