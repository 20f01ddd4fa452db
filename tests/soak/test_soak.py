"""A short soak of real processes: silent endpoints beside changes, reloads and stops."""

from pathlib import Path

import pytest

from .course import Size, run_seed


@pytest.mark.parametrize("seed", [100])
async def test_each_request_gets_one_complete_answer(seed: int, tmp_path: Path) -> None:
    """Guards against requests that were read whole and end without an answer."""
    report = await run_seed(seed, Size(), tmp_path)
    assert "\n".join(report.violations) == ""
    assert report.counts["complete 200"] > report.counts["requests"] // 4
