"""Tests of which version an agent works on, and when requests insist on it."""

from wrenloft_policy import (
    WantedVersion,
    choose_version,
    compute_swap_turn,
    is_version_required,
    pick_swap_time,
    should_fetch_parts,
    should_load_part,
)

SIZE = 2_360_000
LINK = 456_000


class TestChooseVersion:
    """Tests for ``choose_version``."""

    def test_close_namings_skip_the_first(self) -> None:
        """Two versions two seconds apart: only the second can be in service in time."""
        assert choose_version(WantedVersion(2, 0), WantedVersion(3, 2), SIZE, LINK) == 3

    def test_distant_namings_finish_the_first(self) -> None:
        """Given up half-way, the first would leave engines without a version for seconds."""
        assert choose_version(WantedVersion(2, 0), WantedVersion(3, 5), SIZE, LINK) == 2

    def test_older_naming_changes_nothing(self) -> None:
        """A naming that arrives late does not bring an older version back."""
        assert choose_version(WantedVersion(3, 0), WantedVersion(2, 9), SIZE, LINK) == 3


class TestMustInsist:
    """Tests for ``is_version_required``."""

    def test_insists_before_the_deadline(self) -> None:
        """A request sent just before the deadline would begin after it, on the old version."""
        wanted = WantedVersion(2, 100.0)
        assert not is_version_required(wanted, 8.0, 106.0)
        assert is_version_required(wanted, 8.0, 107.5)


class TestPickSwapTime:
    """Tests for ``pick_swap_time``."""

    def test_engines_go_on_one_after_the_other(self) -> None:
        """All engines have a version at the same moment, and the deadline leaves 3.4 s.

        Ordered together none would take requests for a second or two; so at no moment more than
        half of them are within a second of their order, and the last is still in time.
        """
        count = 24
        times = sorted(
            pick_swap_time(compute_swap_turn(index, count), 102.0, 100.0, 8.0)
            for index in range(count)
        )
        assert times[0] == 102.0
        assert 105.0 < times[-1] <= 105.4
        assert max(sum(at <= each < at + 1.0 for each in times) for at in times) <= count / 2

    def test_first_group_goes_before_the_second(self) -> None:
        """Those that are sent chunks first are whole first, and need not wait for the others."""
        turns = [compute_swap_turn(index, 9) for index in range(9)]
        assert max(turns[0::2]) < min(turns[1::2]) + 0.1
        assert len(set(turns)) == 9
        assert max(turns) < 1.0

    def test_engines_ready_at_different_times_keep_one_order(self) -> None:
        """Half of the engines have a version early, the others just before the latest moment.

        The late ones must not push the early ones together: these go on over all the time that
        there is from the first of them, and leave the late ones room at the end.
        """
        first_at, late_at, latest = 102.0, 105.2, 105.4
        turns = [compute_swap_turn(index, 24) for index in range(24)]
        early = [pick_swap_time(each, 102.3, 100.0, 8.0, first_at) for each in turns if each < 0.5]
        late = [pick_swap_time(each, late_at, 100.0, 8.0, first_at) for each in turns if each > 0.5]
        assert max(early) - min(early) > (latest - first_at) / 3
        assert max(early) < min(late) <= max(late) <= latest

    def test_engine_whose_turn_has_passed_goes_on_at_once(self) -> None:
        """An engine of the first half gets its last chunk late, after its place in the order.

        Waiting for a quarter of what is left, counted from then, it met the second half: more
        engines were without work at the same moment, and callers' answers came late.
        """
        assert pick_swap_time(0.25, 103.6, 100.0, 8.0, 102.0) == 103.6
        assert pick_swap_time(0.45, 102.1, 100.0, 8.0, 102.0) > 103.4

    def test_nobody_waits_past_the_deadline(self) -> None:
        """A version that came late is loaded at once by all."""
        assert pick_swap_time(1.0, 106.0, 100.0, 8.0) == 106.0


class TestParts:
    """Tests of when a version is fetched and loaded in parts."""

    def test_version_in_time_is_fetched_whole(self) -> None:
        """Chains take half of the requests, so a version that comes in time is not split."""
        assert not should_fetch_parts(WantedVersion(2, 100.0), 8.0, 100.3, 6.3)

    def test_version_whose_origin_was_away_is_fetched_in_parts(self) -> None:
        """The origin is away for six seconds: whole, the version would come five seconds late."""
        assert should_fetch_parts(WantedVersion(2, 100.0), 8.0, 106.5, 6.0)

    def test_part_is_loaded_only_at_the_deadline(self) -> None:
        """Until then the engine serves the older version, whole."""
        wanted = WantedVersion(2, 100.0)
        assert not should_load_part(wanted, 8.0, 105.0)
        assert should_load_part(wanted, 8.0, 107.5)
