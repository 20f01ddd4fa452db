"""Tests of crashes as entry nodes know them together."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wrenloft_core import ContentId, IncarnationId, read_clock
from wrenloft_policy import Crash, CrashStatus
from wrenloft_routing import CrashLedger, CrashSource
from wrenloft_routing._crash_ledger import HELD_WRONGLY, MOST_CONTENTS, MOST_CRASHES

CONTENT = ContentId("c")

crash_words = st.lists(
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


def _tell(source: CrashLedger, target: CrashLedger, since: int = 0) -> int:
    target.merge(source.list_changes(since), CrashSource.PEER)
    return source.revision


class TestHold:
    """Tests of when a content is held back."""

    def test_third_crash_seen_by_anybody_holds(self) -> None:
        """Three nodes saw one crash each; whoever has heard of all three holds the request back."""
        ledgers = [CrashLedger() for _ in range(3)]
        for name, ledger in zip("abc", ledgers, strict=True):
            _record(ledger, name)
        for other in ledgers[1:]:
            _tell(other, ledgers[0])
        hold = ledgers[0].find_hold(CONTENT)
        assert hold is not None
        assert (hold.count, hold.source) == (3, CrashSource.PEER)
        assert ledgers[1].find_hold(CONTENT) is None

    def test_one_fall_told_by_many_is_one_crash(self) -> None:
        """Nine nodes had the same poll in progress at one engine when it fell."""
        ledger = CrashLedger()
        for _ in range(9):
            other = CrashLedger()
            _record(other, "a")
            _tell(other, ledger)
        assert ledger.find_hold(CONTENT) is None

    def test_old_crashes_hold_nothing_and_are_forgotten(self) -> None:
        """A request that crashed three engines an hour ago may run again."""
        ledger = CrashLedger()
        _record(ledger, "abc", age=3600.0)
        assert ledger.find_hold(CONTENT) is None
        ledger.drop_old()
        assert len(ledger) == 0

    @pytest.mark.parametrize(
        ("standing", "wrongly"), [(CrashStatus.SUCCEEDED, 2.0), (CrashStatus.LIFTED, 0.0)]
    )
    def test_excuse_ends_the_hold_everywhere(self, standing: CrashStatus, wrongly: float) -> None:
        """A whole answer, or an operator, at one node; requests held back wrongly are counted."""
        ledger, other = CrashLedger(), CrashLedger()
        _record(ledger, "abc")
        told = _tell(ledger, other)
        before = HELD_WRONGLY._value.get()
        for _ in range(2):
            other.count_held_back(CONTENT)
        ledger.excuse(CONTENT, standing)
        _tell(ledger, other, told)
        assert other.find_hold(CONTENT) is None
        assert HELD_WRONGLY._value.get() - before == wrongly
        _record(other, "a")
        assert other.find_hold(CONTENT) is None


class TestTelling:
    """Tests of how words join."""

    @given(crash_words, st.randoms(use_true_random=False))
    def test_order_and_repetition_change_nothing(self, words, random: Random) -> None:
        """Relays lag, die and tell again; in the end all nodes hold the same contents back."""
        ledgers = [CrashLedger() for _ in range(3)]
        for content, incarnation, standing in words:
            crash = Crash(read_clock(), standing)
            random.choice(ledgers).record(content, incarnation, crash, CrashSource.OWN)
        for _ in range(12):
            _tell(random.choice(ledgers), random.choice(ledgers))
        for _ in range(2):
            for source in ledgers:
                for target in ledgers:
                    _tell(source, target)
        held = {tuple(each.content for each in ledger.list_holds()) for ledger in ledgers}
        assert len(held) == 1

    def test_only_news_is_told(self) -> None:
        """An echo of what a node told is no news to it, and makes no frame."""
        ledger, relay = CrashLedger(), CrashLedger()
        _record(ledger, "a")
        told = _tell(ledger, relay)
        assert not ledger.list_changes(told)
        before = ledger.revision
        _tell(relay, ledger)
        assert ledger.revision == before


class TestBounds:
    """Tests of what is kept."""

    def test_hundred_thousand_contents_stay_within_bounds(self) -> None:
        """Racks fall under many different requests; those that are held back stay."""
        ledger = CrashLedger()
        _record(ledger, "abc")
        for number in range(100_000):
            _record(ledger, "z", ContentId(str(number)))
        assert len(ledger) == MOST_CONTENTS
        assert ledger.find_hold(CONTENT) is not None

    def test_crashes_of_one_content_stay_within_bounds(self) -> None:
        """Further ones than these tell nothing new."""
        ledger = CrashLedger()
        _record(ledger, "abcdefghijklmnopqrstuvwxyz")
        assert len(ledger.tell(CONTENT, read_clock())) == MOST_CRASHES
