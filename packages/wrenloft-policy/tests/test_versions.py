"""Tests of which version an agent works on, and when requests insist on it."""

from wrenloft_policy import WantedVersion, choose_version, must_insist

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
    """Tests for ``must_insist``."""

    def test_insists_before_the_deadline(self) -> None:
        """A request sent just before the deadline would begin after it, on the old version."""
        wanted = WantedVersion(2, 100.0)
        assert not must_insist(wanted, 8.0, 106.0)
        assert must_insist(wanted, 8.0, 107.5)
