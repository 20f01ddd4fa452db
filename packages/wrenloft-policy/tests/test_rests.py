"""Tests of when callers return whom resting endpoints refused."""

from random import Random

import pytest

from wrenloft_policy import pick_rest_retry_after
from wrenloft_policy._rests import MAX_RETURN_SPREAD_SECONDS


class TestPickRestRetryAfter:
    """Tests for ``pick_rest_retry_after``."""

    @pytest.mark.parametrize("wait", [0.0, 0.2, 1.0, 3.0, 30.0, 600.0])
    @pytest.mark.parametrize("rank", [0, 1, 4])
    def test_nobody_returns_into_the_rest_nor_long_after_it(self, wait: float, rank: int) -> None:
        random = Random(1)
        delays = [pick_rest_retry_after(wait, rank, random) for _ in range(200)]
        assert wait <= min(delays)
        assert max(delays) <= wait + MAX_RETURN_SPREAD_SECONDS

    def test_callers_do_not_return_together(self) -> None:
        """Guards against a burst at the end of a rest, which would cause the next one."""
        random = Random(1)
        delays = sorted(pick_rest_retry_after(3.0, 1, random) for _ in range(200))
        assert len(set(delays)) == 200
        in_tenth_of_a_second = max(sum(at <= each < at + 0.1 for each in delays) for at in delays)
        assert in_tenth_of_a_second < 40

    def test_most_urgent_callers_return_first(self) -> None:
        random = Random(1)
        urgent = max(pick_rest_retry_after(3.0, 0, random) for _ in range(200))
        others = min(pick_rest_retry_after(3.0, 1, random) for _ in range(200))
        assert urgent <= others
