"""The soak over many seeds, by hand.

``make soak SEEDS=100-149`` prints for each seed what was counted and each violation. The nodes'
logs and the endpoints' journals of a seed that failed are kept.
"""

import argparse
import asyncio
import shutil
import sys
import tempfile
import traceback
from collections import Counter
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "platform")]

from tests.soak.course import Report, Size, pick_size, run_seed  # noqa: E402


def parse_seeds(text: str) -> list[int]:
    """Parse ``FIRST-LAST`` or a comma-separated list."""
    ranges = [part.partition("-") for part in text.split(",")]
    return [n for first, _, last in ranges for n in range(int(first), int(last or first) + 1)]


def join_counts(counts: Counter[str]) -> str:
    """Return names and counts in order."""
    return ", ".join(f"{name}: {count}" for name, count in sorted(counts.items())) or "none"


def run(seed: int, size: Size, folder: Path) -> Report:
    """Run a seed; a run that ends with an error counts as a violation."""
    try:
        return asyncio.run(run_seed(seed, size, folder))
    except Exception as error:
        traceback.print_exc()
        return Report([f"ended with an error: {error!r}"], Counter(), [])


def main() -> int:
    """Run all seeds; return 1 if one showed a violation."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seeds", default="100-149", type=parse_seeds)
    parser.add_argument("--processes", type=int, help="entry nodes and endpoints of a run")
    options = parser.parse_args()
    total: Counter[str] = Counter()
    kinds: Counter[str] = Counter()
    failed = []
    for seed in options.seeds:
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        report = run(seed, pick_size(seed, options.processes), folder)
        print(f"seed {seed}: {len(report.violations)} violations; {join_counts(report.counts)}")
        if report.violations:
            failed.append(seed)
            print("  faults: " + ", ".join(report.faults))
            print("  " + "\n  ".join(report.violations))
            print(f"  logs: {folder}")
        else:
            shutil.rmtree(folder)
        sys.stdout.flush()
        total += report.counts
        kinds.update(each.partition(":")[0] for each in report.violations)
    print(f"{len(options.seeds)} seeds, failed: {failed or 'none'}")
    print(f"seen: {join_counts(total)}")
    print(f"violations: {join_counts(kinds)}")
    return bool(failed)


if __name__ == "__main__":
    sys.exit(main())
