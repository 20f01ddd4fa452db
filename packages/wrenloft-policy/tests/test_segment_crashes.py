"""Tests of the attribution of crashes to prompt segments."""

from dataclasses import replace
from itertools import pairwise

from wrenloft_core import ContentId, IncarnationId, SegmentId
from wrenloft_policy import (
    HeldSegment,
    SegmentCrash,
    SegmentEvidence,
    Workload,
    compute_segment_probe_delay,
    count_moments,
    find_held_segments,
)

NOW = 10_000.0
BEFORE, ANSWERING = SegmentEvidence.ANSWERED_BEFORE, SegmentEvidence.ANSWERING


def _workload(segments: str, content: str = "") -> Workload:
    names = frozenset(SegmentId(each) for each in segments.split())
    return Workload(ContentId(content or f"c-{segments}"), names)


def _crashes(
    *running: str, gap: float = 0.5, **evidence: SegmentEvidence
) -> dict[IncarnationId, SegmentCrash]:
    """Return crashes at which the requests of each text, separated by commas, were in progress."""
    known = {SegmentId(name): each for name, each in evidence.items()}
    return {
        IncarnationId(f"e{number}"): SegmentCrash(
            NOW - 5.0 + number * gap,
            frozenset(
                _workload(each, "x" if each == "s p" else f"c{number}-{each}")
                for each in texts.split(",")
            ),
            known,
        )
        for number, texts in enumerate(running)
    }


def _hold(crashes: dict[IncarnationId, SegmentCrash], **contents: set[str]) -> set[str]:
    suspects = {
        ContentId(name): {IncarnationId(each) for each in keys} for name, keys in contents.items()
    }
    return set(find_held_segments(crashes, suspects, NOW))


def test_segment_of_three_crashes_is_held() -> None:
    """Guards against a segment that is found only after more crashes."""
    assert _hold(_crashes("bad a", "bad b", "bad c")) == {"bad"}
    assert _hold(_crashes("bad a", "bad b")) == set()


def test_crashes_at_one_moment_hold_nothing() -> None:
    """Guards against blaming a segment for the loss of a rack."""
    assert _hold(_crashes("s a", "s b", "s c", "s d", gap=0.01)) == set()


def test_narrower_segment_is_held_in_place_of_a_broader_one() -> None:
    """Guards against refusing a whole route for one segment of some of its requests."""
    assert _hold(_crashes("s bad,s a", "s bad,s b", "s bad,s c")) == {"bad"}


def test_segments_that_always_come_together_are_refused_together() -> None:
    """Guards against refusing requests that have only one of them."""
    held = find_held_segments(_crashes("s bad", "s bad", "s bad"), {}, NOW)
    assert set(held) == {"s", "bad"}
    assert held[SegmentId("s")].concerns(_workload("s bad x"))
    assert not held[SegmentId("s")].concerns(_workload("s x"))


def test_broader_segment_is_held_once_it_crashes_without_the_narrower_one() -> None:
    """Guards against a cause that hides behind a segment with which it often comes."""
    together = ["s bad,s a", "s bad,s b", "s bad,s c"]
    assert _hold(_crashes(*together, "s d")) == {"bad"}
    assert "s" in _hold(_crashes(*together, "s d", "s e"))


def test_answers_after_a_crash_clear_a_segment() -> None:
    """Guards against refusing a segment that is answered all the time."""
    running = [f"bad {name}" for name in "abcdefgh"]
    assert _hold(_crashes(*running)) == {"bad"}
    assert _hold(_crashes(*running, bad=SegmentEvidence.ANSWERED_AFTER)) == set()
    assert _hold(_crashes(*running, bad=SegmentEvidence.LIFTED)) == set()


def test_answers_before_need_more_crashes() -> None:
    """Guards against refusing a common segment for engines that fail for another reason."""
    running = ["s a", "s b", "s c", "s d", "s e"]
    assert _hold(_crashes(*running[:4], s=BEFORE)) == set()
    assert _hold(_crashes(*running, s=BEFORE)) == {"s"}
    assert _hold(_crashes(*running, gap=1.0, s=BEFORE | ANSWERING)) == set()
    young = {
        key: replace(crash, at=NOW - 0.9 + 0.15 * number)
        for number, (key, crash) in enumerate(_crashes(*running, s=BEFORE).items())
    }
    assert _hold(young) == set()


def test_segment_missing_at_some_crashes_needs_more_of_them() -> None:
    """Guards against refusing one caller of several who were in progress at most failures."""
    running = ["s a", "s b", "c", "s d", "e", "s f", "s g", "s h"]
    assert _hold(_crashes(*running[:7], gap=0.4, s=BEFORE)) == set()
    assert _hold(_crashes(*running, "s i", gap=0.4, s=BEFORE)) == {"s"}


def test_segment_without_answers_explains_one_that_had_some() -> None:
    """Guards against refusing a common segment that was in progress at the same crashes."""
    crashes = _crashes("bad x,s", "bad y,s", "bad z,s", "bad x,s", "bad y,s", s=BEFORE)
    assert _hold(crashes) == {"bad"}


def test_repeated_content_explains_the_crashes_of_its_segments() -> None:
    """Guards against refusing a segment for a single request that is repeated."""
    crashes = _crashes("s p,s a", "s p,s b", "s p,s c")
    assert _hold(crashes) == {"p"}
    assert _hold(crashes, x={"e0", "e1", "e2"}) == set()


def test_expired_crashes_count_no_longer() -> None:
    """A segment is sent again ten minutes after its crashes."""
    crashes = _crashes("bad a", "bad b", "bad c")
    assert find_held_segments(crashes, {}, NOW + 600.0) == {}


def test_moments_are_separate_after_some_time() -> None:
    """Crashes shortly after each other count as one moment, however many they are."""
    assert count_moments([]) == 0
    assert count_moments([1.0, 1.1, 1.2, 1.29]) == 1
    assert count_moments([1.0, 1.2, 1.4, 1.6, 1.8]) == 3


def test_probes_become_rarer_with_each_crash() -> None:
    """Guards against probes that cost an engine each time."""
    times = [NOW - n for n in range(10)]

    def measure(number: int, *, answered: bool) -> float:
        held = HeldSegment(
            SegmentId("s"), frozenset(), tuple(times[:number]), frozenset(), answered
        )
        return compute_segment_probe_delay(held, float("-inf"), NOW)

    for answered, first in ((False, 3), (True, 5)):
        delays = [measure(number, answered=answered) for number in range(first, 10)]
        assert all(later >= earlier for earlier, later in pairwise(delays))
    assert measure(3, answered=False) == 60.0
    assert [measure(number, answered=True) for number in (5, 6, 7)] == [5.0, 20.0, 80.0]


def _two_causes(*more: str) -> dict[IncarnationId, SegmentCrash]:
    """Return crashes under two segments in turn, at most of which ``v`` was in progress."""
    others = ["u" if number in (3, 5) else "v" for number in range(10)]
    texts = [f"bad{number % 2} x{number},{each} y{number}" for number, each in enumerate(others)]
    return _crashes(*texts, *more)


def test_common_victim_hides_no_segment() -> None:
    """Guards against a cause that is sent on, as a victim of several causes has more crashes."""
    assert _hold(_two_causes()) == {"bad0", "bad1", "v"}


def test_segments_that_others_explain_are_told_from_a_cause() -> None:
    """Guards against early probes of a segment that alone can be the cause of some crash."""

    def list_explained(crashes: dict[IncarnationId, SegmentCrash]) -> set[str]:
        held = find_held_segments(crashes, {}, NOW)
        return {name for name, each in held.items() if each.explained}

    assert list_explained(_two_causes()) == {"bad0", "v"}
    assert list_explained(_two_causes("bad0 a")) == {"v"}
    assert list_explained(_crashes("bad a", "bad b", "bad c")) == set()


def test_segments_that_always_come_together_do_not_explain_each_other() -> None:
    """Guards against early probes of segments of which no probe can show the cause."""
    held = find_held_segments(_crashes("s bad", "s bad", "s bad"), {}, NOW)
    assert not any(each.explained for each in held.values())


def test_probes_of_explained_segments_become_rarer() -> None:
    """Guards against claims of all nodes every second while no probe is answered."""
    held = HeldSegment(SegmentId("s"), frozenset(), (NOW,), frozenset(), False, explained=True)
    probes, at = [], float("-inf")
    while len(probes) < 5:
        at = max(NOW, at)
        at += compute_segment_probe_delay(held, at if probes else float("-inf"), at)
        probes.append(at - NOW)
    assert probes == [1.5, 3.0, 6.0, 12.0, 24.0]
