"""Tests of the choice of a version, and of when engines and requests switch to it."""

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
        """Of two versions named two seconds apart, only the second can be in service in time."""
        assert choose_version(WantedVersion(2, 0), WantedVersion(3, 2), SIZE, LINK) == 3

    def test_distant_namings_finish_the_first(self) -> None:
        """Abandoning the first would leave engines without a version for seconds."""
        assert choose_version(WantedVersion(2, 0), WantedVersion(3, 5), SIZE, LINK) == 2

    def test_older_naming_changes_nothing(self) -> None:
        """Guards against a delayed naming that brings an older version back."""
        assert choose_version(WantedVersion(3, 0), WantedVersion(2, 9), SIZE, LINK) == 3


class TestIsVersionRequired:
    """Tests for ``is_version_required``."""

    def test_required_before_the_deadline(self) -> None:
        """Guards against requests that begin after the deadline on the old version."""
        wanted = WantedVersion(2, 100.0)
        assert not is_version_required(wanted, 8.0, 106.0)
        assert is_version_required(wanted, 8.0, 107.5)


class TestPickSwapTime:
    """Tests for ``pick_swap_time``."""

    def test_swaps_are_spread_over_time(self) -> None:
        """Guards against all engines swapping at once, when none would take requests for 1 to 2 s.

        All have the version at the same moment, and the deadline leaves 3.4 s. At no moment more
        than half of them are within a second of their order, and the last is in time.
        """
        count = 24
        times = sorted(
            pick_swap_time(compute_swap_turn(index, count), 102.0, 100.0, 8.0)
            for index in range(count)
        )
        assert times[0] == 102.0
        assert 105.0 < times[-1] <= 105.4
        assert max(sum(at <= each < at + 1.0 for each in times) for at in times) <= count / 2

    def test_first_group_swaps_before_the_second(self) -> None:
        """Engines that receive chunks first need not wait for the others."""
        turns = [compute_swap_turn(index, 9) for index in range(9)]
        assert max(turns[0::2]) < min(turns[1::2]) + 0.1
        assert len(set(turns)) == 9
        assert max(turns) < 1.0

    def test_engines_ready_at_different_times_keep_one_order(self) -> None:
        """Half of the engines have a version early, the others just before the latest time.

        The swaps of the early ones are spread over the time from the first of them, and leave time
        for the late ones at the end.
        """
        first_at, late_at, latest = 102.0, 105.2, 105.4
        turns = [compute_swap_turn(index, 24) for index in range(24)]
        early = [pick_swap_time(each, 102.3, 100.0, 8.0, first_at) for each in turns if each < 0.5]
        late = [pick_swap_time(each, late_at, 100.0, 8.0, first_at) for each in turns if each > 0.5]
        assert max(early) - min(early) > (latest - first_at) / 3
        assert max(early) < min(late) <= max(late) <= latest

    def test_engine_whose_turn_has_passed_swaps_at_once(self) -> None:
        """Guards against a late engine of the first half that swaps together with the second half.

        More engines would then be out of service at the same moment, and responses would be late.
        """
        assert pick_swap_time(0.25, 103.6, 100.0, 8.0, 102.0) == 103.6
        assert pick_swap_time(0.45, 102.1, 100.0, 8.0, 102.0) > 103.4

    def test_late_version_is_loaded_at_once(self) -> None:
        """No engine waits for its turn after the deadline."""
        assert pick_swap_time(1.0, 106.0, 100.0, 8.0) == 106.0


class TestParts:
    """Tests for ``should_fetch_parts`` and ``should_load_part``."""

    def test_version_in_time_is_fetched_whole(self) -> None:
        """Chains take half as many requests, so a version that comes in time is not split."""
        assert not should_fetch_parts(WantedVersion(2, 100.0), 8.0, 100.3, 6.3)

    def test_version_delayed_by_its_origin_is_fetched_in_parts(self) -> None:
        """After an origin outage of six seconds, the whole version would be five seconds late."""
        assert should_fetch_parts(WantedVersion(2, 100.0), 8.0, 106.5, 6.0)

    def test_part_is_loaded_only_at_the_deadline(self) -> None:
        """Until shortly before the deadline, the engine serves the whole older version."""
        wanted = WantedVersion(2, 100.0)
        assert not should_load_part(wanted, 8.0, 105.0)
        assert should_load_part(wanted, 8.0, 107.5)
