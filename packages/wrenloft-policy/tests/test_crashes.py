"""Tests of which requests count as crashing endpoints."""

from itertools import permutations

from hypothesis import given
from hypothesis import strategies as st

from wrenloft_core import IncarnationId
from wrenloft_policy import (
    CRASH_TTL_SECONDS,
    MAX_PROBE_INTERVAL_SECONDS,
    PROBE_INTERVAL_SECONDS,
    SUCCESS_TTL_SECONDS,
    Crash,
    CrashStatus,
    compute_probe_delay,
    count_unexplained_crashes,
    is_cleared_by_success,
    list_counted_crashes,
    merge_crash,
)

NOW = 10_000.0


def _crashes(names: str, at: float = NOW, status: CrashStatus = CrashStatus.COUNTED):
    return {IncarnationId(name): Crash(at, status) for name in names}


def test_crash_counts_until_it_is_old_or_excused() -> None:
    """Ten minutes after a crash, or after a whole answer, it says nothing any more."""
    assert list_counted_crashes(_crashes("ab"), NOW) == {"a", "b"}
    assert not list_counted_crashes(_crashes("ab"), NOW + CRASH_TTL_SECONDS)
    assert not list_counted_crashes(_crashes("ab", status=CrashStatus.SUCCEEDED), NOW)


def test_victim_of_a_worse_request_is_not_counted() -> None:
    """One request crashes four engines; another one is tried again each time and is present thrice.

    Both were in progress at each of the three falls; only one of them was at all four.
    """
    guilty, victim = _crashes("abcd"), _crashes("abc")
    assert count_unexplained_crashes(guilty, [victim], NOW) == 4
    assert count_unexplained_crashes(victim, [guilty], NOW) == 0


def test_falls_without_the_worse_request_still_count() -> None:
    """Two requests crash engines at the same time, and met at one of them."""
    assert count_unexplained_crashes(_crashes("dwxy"), [_crashes("abcde")], NOW) == 3


def test_equal_evidence_explains_nothing() -> None:
    """Of two that were present at the same three falls nobody can tell which it was."""
    assert count_unexplained_crashes(_crashes("abc"), [_crashes("abc")], NOW) == 3


def test_excused_request_explains_nothing() -> None:
    """A poll with whole answers was at every fall; what really crashes them is not covered."""
    polled = _crashes("abcdefgh", status=CrashStatus.SUCCEEDED)
    assert count_unexplained_crashes(_crashes("abc"), [polled], NOW) == 3


@given(
    st.lists(st.builds(Crash, st.just(1.0), st.sampled_from(CrashStatus)), min_size=1, max_size=4)
)
def test_words_join_to_the_same_in_any_order(words: list[Crash]) -> None:
    """Relays tell late, twice and in another order; each node comes to the same opinion."""
    results = set()
    for order in permutations([*words, words[0]]):
        known = None
        for word in order:
            known = merge_crash(known, word)
        results.add(known)
    assert len(results) == 1


def test_whole_answer_speaks_for_its_content_before_and_after_a_crash() -> None:
    """A read that is polled was answered moments before an engine fell with it."""
    assert is_cleared_by_success(NOW - 1.0, NOW)
    assert is_cleared_by_success(NOW + 5.0, NOW)
    assert not is_cleared_by_success(NOW - SUCCESS_TTL_SECONDS, NOW)
    assert not is_cleared_by_success(None, NOW)


def test_trial_waits_for_the_last_crash_and_the_last_trial() -> None:
    """Whichever was later; a crash in the last trial counts like any other."""
    assert (
        compute_probe_delay([NOW - 50.0, NOW - 80.0], float("-inf"), NOW)
        == PROBE_INTERVAL_SECONDS - 50.0
    )
    assert compute_probe_delay([NOW - 80.0], NOW - 10.0, NOW) == PROBE_INTERVAL_SECONDS - 10.0
    assert compute_probe_delay([NOW - 80.0], float("-inf"), NOW) == 0.0


def test_each_further_crash_doubles_the_wait() -> None:
    """Trials that crash engines come a minute, two and four apart, and never go on forever."""
    waits = [
        compute_probe_delay([NOW] * count, float("-inf"), NOW) / PROBE_INTERVAL_SECONDS
        for count in (3, 4, 5, 6, 7, 16)
    ]
    assert waits == [1.0, 2.0, 4.0, 8.0, 8.0, 8.0]
    assert MAX_PROBE_INTERVAL_SECONDS < CRASH_TTL_SECONDS
