"""A short soak of real processes: silent endpoints beside changes, reloads and stops."""

from pathlib import Path

import pytest

from .course import pick_size, run_seed

SEEDS = [
    100,  # streams were cut after a silence
    101,  # cut answers looked complete to callers of HTTP/1.0; nodes outlived their grace
]


@pytest.mark.parametrize("seed", SEEDS)
async def test_each_request_gets_one_complete_answer(seed: int, tmp_path: Path) -> None:
    """Guards against requests that were read whole and end without an answer."""
    report = await run_seed(seed, pick_size(seed), tmp_path)
    assert "\n".join(report.violations) == ""
    assert report.counts["complete 200"] > 20
