"""Tests of crashes as known to all entry nodes together."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wrenloft_core import ContentId, IncarnationId, SegmentId, read_clock
from wrenloft_policy import Crash, CrashStatus, Workload
from wrenloft_routing import CrashLedger, CrashSource
from wrenloft_routing._crash_ledger import (
    MAX_CONTENTS,
    MAX_CRASHES_PER_CONTENT,
    WRONGLY_REFUSED_REQUESTS,
)

CONTENT = ContentId("c")

crash_reports = st.lists(
    st.tuples(
        st.sampled_from([ContentId("c"), ContentId("d")]),
        st.sampled_from([IncarnationId(each) for each in "vwxyz"]),
        st.sampled_from(CrashStatus),
    ),
    max_size=12,
)


def _record(
    ledger: CrashLedger, names: str, content: ContentId = CONTENT, age: float = 0.0
) -> None:
    for name in names:
        crash = Crash(read_clock() - age)
        ledger.record(content, IncarnationId(name), crash, CrashSource.OWN)


def _send_updates(source: CrashLedger, target: CrashLedger, since: int = 0) -> int:
    target.merge(source.list_changes(since), CrashSource.PEER)
    return source.revision


class TestQuarantine:
    """Tests of when a content is quarantined."""

    def test_third_crash_seen_by_any_node_quarantines(self) -> None:
        """Three nodes observe one crash each; a node with all three reports has a quarantine."""
        ledgers = [CrashLedger() for _ in range(3)]
        for name, ledger in zip("abc", ledgers, strict=True):
            _record(ledger, name)
        for other in ledgers[1:]:
            _send_updates(other, ledgers[0])
        quarantine = ledgers[0].find_quarantine(CONTENT)
        assert quarantine is not None
        assert (quarantine.count, quarantine.source) == (3, CrashSource.PEER)
        assert ledgers[1].find_quarantine(CONTENT) is None

    def test_victims_of_a_quarantined_segment_are_not_held_back(self) -> None:
        """Guards against refusing requests that were retried beside others with that segment."""
        ledger = CrashLedger()
        now = read_clock()
        victim = Workload(CONTENT, frozenset({SegmentId("s")}))
        for number, name in enumerate("abc"):
            at = now - 3.0 + number
            other = ContentId(f"other{number}")
            cause = Workload(other, frozenset({SegmentId("s"), SegmentId("bad")}))
            ledger.record(CONTENT, IncarnationId(name), Crash(at), CrashSource.OWN)
            ledger.segments.record(IncarnationId(name), at, [victim, cause], CrashSource.OWN)
        assert set(ledger.segments.list_held()) == {"bad"}
        assert ledger.find_quarantine(CONTENT) is None

    def test_failure_reported_by_many_nodes_is_one_crash(self) -> None:
        """Nine nodes had the same poll in progress at one engine when it failed."""
        ledger = CrashLedger()
        for _ in range(9):
            other = CrashLedger()
            _record(other, "a")
            _send_updates(other, ledger)
        assert ledger.find_quarantine(CONTENT) is None

    def test_expired_crashes_are_dropped(self) -> None:
        """A request that crashed three engines an hour ago may run again."""
        ledger = CrashLedger()
        _record(ledger, "abc", age=3600.0)
        assert ledger.find_quarantine(CONTENT) is None
        ledger.drop_expired()
        assert len(ledger) == 0

    @pytest.mark.parametrize(
        ("standing", "wrongly"), [(CrashStatus.SUCCEEDED, 2.0), (CrashStatus.LIFTED, 0.0)]
    )
    def test_dismissal_ends_the_quarantine_at_all_nodes(
        self, standing: CrashStatus, wrongly: float
    ) -> None:
        """A whole answer or an operator ends it; requests refused by mistake are counted."""
        ledger, other = CrashLedger(), CrashLedger()
        _record(ledger, "abc")
        sent_revision = _send_updates(ledger, other)
        before = WRONGLY_REFUSED_REQUESTS._value.get()
        for _ in range(2):
            other.count_refusal(CONTENT)
        ledger.dismiss(CONTENT, standing)
        _send_updates(ledger, other, sent_revision)
        assert other.find_quarantine(CONTENT) is None
        assert WRONGLY_REFUSED_REQUESTS._value.get() - before == wrongly
        _record(other, "a")
        assert other.find_quarantine(CONTENT) is None


class TestUpdates:
    """Tests of merging reports."""

    @given(crash_reports, st.randoms(use_true_random=False))
    def test_order_and_repetition_change_nothing(self, reports, random: Random) -> None:
        """Relays lag, fail and send twice; in the end all nodes have the same quarantines."""
        ledgers = [CrashLedger() for _ in range(3)]
        for content, incarnation, standing in reports:
            crash = Crash(read_clock(), standing)
            random.choice(ledgers).record(content, incarnation, crash, CrashSource.OWN)
        for _ in range(12):
            _send_updates(random.choice(ledgers), random.choice(ledgers))
        for _ in range(2):
            for source in ledgers:
                for target in ledgers:
                    _send_updates(source, target)
        quarantined = {
            tuple(each.content for each in ledger.list_quarantines()) for ledger in ledgers
        }
        assert len(quarantined) == 1

    def test_only_changes_are_sent(self) -> None:
        """Guards against frames that echo what a node already knows."""
        ledger, relay = CrashLedger(), CrashLedger()
        _record(ledger, "a")
        sent_revision = _send_updates(ledger, relay)
        assert not ledger.list_changes(sent_revision)
        before = ledger.revision
        _send_updates(relay, ledger)
        assert ledger.revision == before


class TestBounds:
    """Tests of the limits on kept crashes."""

    def test_number_of_contents_is_bounded(self) -> None:
        """Racks fail under many different requests; quarantined contents are kept."""
        ledger = CrashLedger()
        _record(ledger, "abc")
        for number in range(100_000):
            _record(ledger, "z", ContentId(str(number)))
        assert len(ledger) == MAX_CONTENTS
        assert ledger.find_quarantine(CONTENT) is not None

    def test_number_of_crashes_per_content_is_bounded(self) -> None:
        """Guards against unbounded growth under a content that crashes many endpoints."""
        ledger = CrashLedger()
        _record(ledger, "abcdefghijklmnopqrstuvwxyz")
        assert len(ledger.report_crashes(CONTENT, read_clock())) == MAX_CRASHES_PER_CONTENT
