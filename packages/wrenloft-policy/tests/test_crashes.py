"""Tests of the attribution of crashes to contents."""

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


def test_crash_counts_until_it_expires_or_is_cleared() -> None:
    """A crash no longer counts after ten minutes, or after a complete response."""
    assert list_counted_crashes(_crashes("ab"), NOW) == {"a", "b"}
    assert not list_counted_crashes(_crashes("ab"), NOW + CRASH_TTL_SECONDS)
    assert not list_counted_crashes(_crashes("ab", status=CrashStatus.SUCCEEDED), NOW)


def test_crashes_explained_by_another_content_do_not_count() -> None:
    """Guards against quarantining a content that was only in progress beside the cause.

    One content crashes four engines; the other is retried and is in progress at three of them.
    """
    cause, bystander = _crashes("abcd"), _crashes("abc")
    assert count_unexplained_crashes(cause, [bystander], NOW) == 4
    assert count_unexplained_crashes(bystander, [cause], NOW) == 0


def test_crashes_without_the_other_content_still_count() -> None:
    """Two contents crash engines independently and were in progress together at one of them."""
    assert count_unexplained_crashes(_crashes("dwxy"), [_crashes("abcde")], NOW) == 3


def test_equal_evidence_explains_nothing() -> None:
    """Of two contents in progress at the same three crashes, either may be the cause."""
    assert count_unexplained_crashes(_crashes("abc"), [_crashes("abc")], NOW) == 3


def test_cleared_content_explains_nothing() -> None:
    """Guards against a polled content with complete responses that hides the cause."""
    polled = _crashes("abcdefgh", status=CrashStatus.SUCCEEDED)
    assert count_unexplained_crashes(_crashes("abc"), [polled], NOW) == 3


@given(
    st.lists(st.builds(Crash, st.just(1.0), st.sampled_from(CrashStatus)), min_size=1, max_size=4)
)
def test_reports_merge_to_the_same_in_any_order(reports: list[Crash]) -> None:
    """Reports that arrive late, twice or reordered give the same result at each node."""
    results = set()
    for order in permutations([*reports, reports[0]]):
        known = None
        for report in order:
            known = merge_crash(known, report)
        results.add(known)
    assert len(results) == 1


def test_complete_response_before_or_after_a_crash_clears_its_content() -> None:
    """Guards against quarantining a polled read that is served around the time of a crash."""
    assert is_cleared_by_success(NOW - 1.0, NOW)
    assert is_cleared_by_success(NOW + 5.0, NOW)
    assert not is_cleared_by_success(NOW - SUCCESS_TTL_SECONDS, NOW)
    assert not is_cleared_by_success(None, NOW)


def test_probe_waits_for_the_last_crash_and_the_last_probe() -> None:
    """The later one counts; a crash during a probe counts like any other."""
    assert (
        compute_probe_delay([NOW - 50.0, NOW - 80.0], float("-inf"), NOW)
        == PROBE_INTERVAL_SECONDS - 50.0
    )
    assert compute_probe_delay([NOW - 80.0], NOW - 10.0, NOW) == PROBE_INTERVAL_SECONDS - 10.0
    assert compute_probe_delay([NOW - 80.0], float("-inf"), NOW) == 0.0


def test_each_further_crash_doubles_the_wait() -> None:
    """Probes of a content that crashes engines become rarer, up to the longest interval."""
    waits = [
        compute_probe_delay([NOW] * count, float("-inf"), NOW) / PROBE_INTERVAL_SECONDS
        for count in (3, 4, 5, 6, 7, 16)
    ]
    assert waits == [1.0, 2.0, 4.0, 8.0, 8.0, 8.0]
    assert MAX_PROBE_INTERVAL_SECONDS < CRASH_TTL_SECONDS
