"""Microseconds that identifying a request and looking for quarantines add to it.

``make bench-content`` prints the least of several rounds, so that other work on the machine
changes little.
"""

import json
import timeit
from collections.abc import Callable
from random import Random

from blake3 import blake3

from wrenloft_core import ContentId, IncarnationId, OrganisationName, SegmentId, read_clock
from wrenloft_policy import Crash, SegmentCrash, Workload, find_held_segments
from wrenloft_routing import (
    CrashGuard,
    CrashLedger,
    CrashSource,
    encode_segment_crashes,
    identify_content,
)
from wrenloft_routing._segment_ledger import MAX_CRASHES

ROUNDS = 7
PART_BYTES = 1 << 16
BODIES = {"1 kB": 1 << 10, "64 kB": 1 << 16, "4 MB": 1 << 22}


class _NoKeeper:
    """Keeps nothing: only decisions are measured."""

    def keep(self, content: ContentId, crashes: object) -> None:
        pass

    def drop(self, content: ContentId) -> None:
        pass

    async def claim(self, content: ContentId, seconds: float) -> bool:
        return False

    def keep_segment(self, segment: SegmentId, crashes: object) -> None:
        pass

    def drop_segment(self, segment: SegmentId) -> None:
        pass

    async def claim_segment(self, segment: SegmentId, seconds: float) -> bool:
        return False


def measure(act: Callable[[], object], count: int) -> float:
    """Return the microseconds of one call."""
    return min(timeit.repeat(act, number=count, repeat=ROUNDS)) / count * 1e6


def digest_parts(parts: list[bytes]) -> bytes:
    """Digest a body as it arrives."""
    digest = blake3()
    for part in parts:
        digest.update(part)
    return digest.digest()


def main() -> None:
    """Measure and print."""
    for name, size in BODIES.items():
        parts = [b"x" * min(size, PART_BYTES)] * max(1, size // PART_BYTES)
        whole = measure(lambda parts=parts: digest_parts(parts), 20)  # type: ignore[misc]
        print(
            f"digest of a body of {name}: {whole:.1f} us, longest part {whole / len(parts):.1f} us"
        )
    organisation, body = OrganisationName("org"), b"x" * 32
    print(f"content: {measure(lambda: identify_content(organisation, '/a/b', body), 5000):.2f} us")
    ledger = CrashLedger()
    guard = CrashGuard(ledger, _NoKeeper())
    for number in range(1000):
        for name in "abc" if number < 20 else "a":
            crash = Crash(read_clock())
            content = ContentId(f"{number}")
            ledger.record(content, IncarnationId(f"{name}{number}"), crash, CrashSource.PEER)
    other, held = ContentId("other"), ContentId("5")
    print(
        "no hold, 1,000 contents known: "
        f"{measure(lambda: guard.find_quarantine(other), 5000):.2f} us"
    )
    print(
        f"hold, 20 contents held back: {measure(lambda: guard.find_quarantine(held), 500):.2f} us"
    )
    print(f"whole answer noted: {measure(lambda: guard.record_success(other), 5000):.2f} us")
    measure_segments()


def measure_segments() -> None:
    """Measure and print what prompt segments add."""
    random = Random(1)
    ledger = CrashLedger()
    guard = CrashGuard(ledger, _NoKeeper())
    sound = _make_workload(random)
    now = read_clock()
    print(f"no crash known: {measure(lambda: guard.find_refusal(sound), 5000):.2f} us")
    answer = measure(lambda: guard.segments.record_answer(sound, (), now), 500)
    print(f"whole answer noted for its segments: {answer:.2f} us")
    for number in range(MAX_CRASHES):
        at = now - MAX_CRASHES + number
        workloads = [_make_workload(random) for _ in range(15)] + [_make_workload(random, "bad")]
        ledger.segments.record(IncarnationId(f"e{number}"), at, workloads, CrashSource.PEER)
    crashing = _make_workload(random, "bad")
    assert guard.find_refusal(crashing) is not None

    def review() -> None:
        find_held_segments(
            {
                key: SegmentCrash(now - each.age, each.workloads, each.evidence)
                for key, each in changes.items()
            },
            {},
            now,
        )

    changes = ledger.segments.list_changes(0)
    size = len(json.dumps(encode_segment_crashes(changes), separators=(",", ":"))) / len(changes)
    print(f"quarantined segments of {MAX_CRASHES} crashes: {measure(review, 20):.0f} us")
    print(f"sound request beside them: {measure(lambda: guard.find_refusal(sound), 500):.2f} us")
    print(f"refused request: {measure(lambda: guard.find_refusal(crashing), 500):.2f} us")
    print(f"message of one crash with 16 requests: {size:.0f} bytes")


def _make_workload(random: Random, *segments: str) -> Workload:
    names = {"route", f"caller{random.randrange(10)}", *segments}
    return Workload(ContentId(f"{random.randrange(10**9):024x}"), frozenset(map(SegmentId, names)))


if __name__ == "__main__":
    main()
