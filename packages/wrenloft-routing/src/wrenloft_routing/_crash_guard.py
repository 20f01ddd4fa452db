"""Quarantine of requests that crash the endpoints that run them."""

import logging
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from typing import Protocol

from wrenloft_core import ContentId, IncarnationId, note, read_clock
from wrenloft_policy import (
    PROBE_INTERVAL_SECONDS,
    Crash,
    CrashStatus,
    Workload,
    compute_probe_delay,
    is_cleared_by_success,
)
from wrenloft_routing._crash_ledger import CrashLedger, Quarantine, ReportedCrash
from wrenloft_routing._crash_source import CrashSource
from wrenloft_routing._failure_detector import EndpointFailure
from wrenloft_routing._probe_times import ProbeTimes
from wrenloft_routing._segment_guard import SegmentGuard, SegmentStore
from wrenloft_routing._segment_ledger import SegmentQuarantine

_LOG = logging.getLogger(__name__)

MAX_SUCCESSES = 2048
"""Contents whose last whole answer is remembered, about 0.4 MB: those of 10 s at 200 requests per
second. The oldest are dropped first, as they are the next to expire as evidence."""


class QuarantineStore(SegmentStore, Protocol):
    """Persistent quarantines, and fleet-wide claims of probes."""

    def keep(self, content: ContentId, crashes: Mapping[IncarnationId, ReportedCrash]) -> None:
        """Store that a content is quarantined, in the background."""

    def drop(self, content: ContentId) -> None:
        """Store that it is no longer quarantined, in the background."""

    async def claim(self, content: ContentId, seconds: float) -> bool:
        """Return whether only this node may send a content during the next seconds."""


AnyQuarantine = Quarantine | SegmentQuarantine


class CrashGuard:
    """Decide which requests are answered without being sent.

    :param segments: the same for prompt segments, which many contents share.
    """

    def __init__(self, ledger: CrashLedger, store: QuarantineStore) -> None:
        self._ledger = ledger
        self._store = store
        self._succeeded_at: OrderedDict[ContentId, float] = OrderedDict()
        self._probe_times = ProbeTimes()
        self._quarantined: set[ContentId] = set()
        self.segments = SegmentGuard(ledger.segments, store)
        ledger.on_change = self._update

    def record_endpoint_failure(self, failure: EndpointFailure) -> None:
        """Record the failure of an endpoint while requests of this node ran there."""
        self.segments.record_endpoint_failure(failure)
        for content in sorted(failure.contents):
            crash = Crash(failure.at)
            self._ledger.record(content, failure.incarnation, crash, CrashSource.OWN)
            if self._ledger.find_quarantine(content) is not None:
                self._store.keep(content, self._ledger.report_crashes(content, read_clock()))

    def record_answer(
        self,
        workload: Workload,
        incarnations: Iterable[IncarnationId],
        sent_at: float,
        status: int,
    ) -> None:
        """Record a whole answer of endpoints to a request that was sent to them at some time.

        An error shows only that the content crashes nothing: no answer may have been begun.
        """
        if status < 500:
            self.record_success(workload.content)
        if status < 300:
            self.segments.record_answer(workload, incarnations, sent_at)

    def record_success(self, content: ContentId) -> None:
        """Record a whole answer to a request, which shows that its content crashes nothing."""
        self._succeeded_at[content] = read_clock()
        self._succeeded_at.move_to_end(content)
        if len(self._succeeded_at) > MAX_SUCCESSES:
            self._succeeded_at.popitem(last=False)
        was_quarantined = content in self._quarantined
        self._ledger.dismiss(content, CrashStatus.SUCCEEDED)
        if was_quarantined:
            self._store.drop(content)

    def lift(self, content: ContentId) -> bool:
        """Lift a quarantine on an operator's request; return whether there was one."""
        if self._ledger.find_quarantine(content) is None:
            return False
        self._ledger.dismiss(content, CrashStatus.LIFTED)
        self._store.drop(content)
        return True

    def find_quarantine(self, content: ContentId) -> Quarantine | None:
        """Return the quarantine of a content, ``None`` if there is none."""
        return self._ledger.find_quarantine(content)

    def find_refusal(self, workload: Workload) -> AnyQuarantine | None:
        """Return the quarantine for which a request is refused, ``None`` if there is none."""
        return self.segments.find_quarantine(workload) or self.find_quarantine(workload.content)

    def count_refusal(self, quarantine: AnyQuarantine) -> None:
        """Count a request that was answered without being sent."""
        if isinstance(quarantine, SegmentQuarantine):
            self.segments.count_refusal(quarantine)
        else:
            self._ledger.count_refusal(quarantine.content)

    def measure_retry_after(self, quarantine: AnyQuarantine) -> float:
        """Return the seconds until a request is next let through as a probe."""
        if isinstance(quarantine, SegmentQuarantine):
            return self.segments.measure_retry_after(quarantine)
        last_probe_at = self._probe_times.get(quarantine.content)
        return compute_probe_delay(quarantine.crash_times, last_probe_at, read_clock())

    async def claim_probe(self, quarantine: AnyQuarantine) -> bool:
        """Return whether a quarantined request may be sent once, as a probe.

        Only one node of the fleet may: if each node probed by its own clock, as many engines would
        crash as there are nodes. The probe is recorded before the claim is sent, so that a second
        caller of this node is answered at once.
        """
        if isinstance(quarantine, SegmentQuarantine):
            return await self.segments.claim_probe(quarantine)
        content = quarantine.content
        if self.measure_retry_after(quarantine) > 0.0:
            return False
        self._probe_times.record(content, read_clock())
        claimed = await self._store.claim(content, PROBE_INTERVAL_SECONDS)
        note(_LOG, "probe of quarantined content", content=content, claimed=claimed)
        return claimed

    def review(self) -> None:
        """Log and store what has begun or ended with time, or because of another quarantine."""
        self.segments.review()
        for content in list(self._quarantined):
            self._update(content)

    def _update(self, content: ContentId) -> None:
        """Apply a changed content: compare it with this node's successes, and log quarantines."""
        crashed_at = self._ledger.list_crash_times(content)
        proven_at = self._succeeded_at.get(content)
        if crashed_at and is_cleared_by_success(proven_at, max(crashed_at)):
            self._ledger.dismiss(content, CrashStatus.SUCCEEDED)
            return
        quarantine = self._ledger.find_quarantine(content)
        if (quarantine is not None) is (content in self._quarantined):
            return
        if quarantine is None:
            self._quarantined.discard(content)
            if self._ledger.has_own_crash(content):
                self._store.drop(content)
            note(_LOG, "content quarantine ended", content=content)
            return
        self._quarantined.add(content)
        note(
            _LOG,
            "content quarantined",
            content=content,
            crashes=quarantine.count,
            age_ms=round(quarantine.age * 1000),
            source=quarantine.source.value,
        )
        if self._ledger.has_own_crash(content):
            self._store.keep(content, self._ledger.report_crashes(content, read_clock()))
