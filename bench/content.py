"""Microseconds that naming a request's content and looking for a hold add to it.

``make bench-content`` prints the least of several rounds, so that other work on the machine
changes little.
"""

import timeit
from collections.abc import Callable

from blake3 import blake3

from wrenloft_core import ContentId, IncarnationId, OrganisationName, read_clock
from wrenloft_policy import Crash
from wrenloft_routing import CrashGuard, CrashLedger, CrashSource, identify_content

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


if __name__ == "__main__":
    main()
