"""Tests of the quarantine of requests that crash endpoints, and of probes."""

from collections.abc import Mapping

from wrenloft_core import ContentId, IncarnationId, read_clock
from wrenloft_policy import PROBE_INTERVAL_SECONDS, Crash, Workload
from wrenloft_routing import (
    CrashGuard,
    CrashLedger,
    CrashSource,
    EndpointFailure,
    FailureSign,
    ReportedCrash,
)
from wrenloft_routing._crash_guard import MAX_SUCCESSES

CONTENT = ContentId("c")


class FakeStore:
    """A quarantine store that records calls, and grants probes if a test says so."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, ContentId]] = []
        self.grants = True

    def keep(self, content: ContentId, crashes: Mapping[IncarnationId, ReportedCrash]) -> None:
        self.calls.append(("keep", content))

    def drop(self, content: ContentId) -> None:
        self.calls.append(("drop", content))

    async def claim(self, content: ContentId, seconds: float) -> bool:
        self.calls.append(("claim", content))
        return self.grants


class Node:
    """One node's guard."""

    def __init__(self) -> None:
        self.ledger = CrashLedger()
        self.store = FakeStore()
        self.guard = CrashGuard(self.ledger, self.store)

    def fail_endpoints(self, *names: str, contents: str = "c", age: float = 0.0) -> None:
        """Let endpoints fail with requests of this node in progress."""
        for name in names:
            running = frozenset(Workload(ContentId(each), frozenset()) for each in contents)
            at = read_clock() - age
            self.guard.record_endpoint_failure(
                EndpointFailure(IncarnationId(name), running, FailureSign.REFUSED, at)
            )

    @property
    def is_quarantined(self) -> bool:
        """Whether the content is quarantined."""
        return self.guard.find_quarantine(CONTENT) is not None


def test_quarantine_is_stored_by_nodes_that_observed_a_crash() -> None:
    """Guards against losing quarantines when all nodes lose power at once."""
    node, other = Node(), Node()
    node.fail_endpoints("a")
    other.fail_endpoints("b", "x")
    other.ledger.merge(node.ledger.list_changes(0), CrashSource.PEER)
    assert other.is_quarantined
    assert ("keep", CONTENT) in other.store.calls
    node.ledger.merge(other.ledger.list_changes(0), CrashSource.PEER)
    assert ("keep", CONTENT) in node.store.calls
    third = Node()
    third.ledger.merge(other.ledger.list_changes(0), CrashSource.PEER)
    assert third.is_quarantined
    assert not third.store.calls


def test_recently_successful_content_is_not_quarantined() -> None:
    """Guards against a quarantine of a path that many callers poll.

    A rack of five engines fails while the poll runs at each of them. It had whole answers moments
    before, so it crashed none of them.
    """
    node = Node()
    node.guard.record_success(CONTENT)
    node.fail_endpoints("a", "b", "c", "d", "e")
    assert not node.is_quarantined


def test_success_at_another_node_clears_a_content() -> None:
    """The node that lost the polls had no recent answer to one; another node had."""
    node, other = Node(), Node()
    other.guard.record_success(CONTENT)
    node.fail_endpoints("a", "b", "c")
    other.ledger.merge(node.ledger.list_changes(0), CrashSource.PEER)
    node.ledger.merge(other.ledger.list_changes(0), CrashSource.PEER)
    assert not node.is_quarantined
    assert not other.is_quarantined


def test_success_after_the_crashes_ends_a_quarantine() -> None:
    """A new request ran at three engines that failed; a repeat elsewhere is answered."""
    node = Node()
    node.fail_endpoints("a", "b", "c")
    assert node.is_quarantined
    node.guard.record_success(CONTENT)
    assert not node.is_quarantined
    assert node.store.calls[-1] == ("drop", CONTENT)


def test_success_of_a_bystander_is_not_stored() -> None:
    """Requests that ran at a single failed endpoint cause no call to the store."""
    node = Node()
    node.fail_endpoints("a", contents="cde")
    node.guard.record_success(CONTENT)
    assert not node.store.calls


async def test_one_probe_a_minute_across_the_fleet() -> None:
    """A minute after the last crash one request is sent, at the node that claims the probe."""
    node = Node()
    node.fail_endpoints("a", "b", "c", age=PROBE_INTERVAL_SECONDS - 1.0)
    quarantine = node.guard.find_quarantine(CONTENT)
    assert quarantine is not None
    assert not await node.guard.claim_probe(quarantine)
    assert 0.0 < node.guard.measure_retry_after(quarantine) <= 1.0
    node = Node()
    node.fail_endpoints("a", "b", "c", age=PROBE_INTERVAL_SECONDS + 1.0)
    quarantine = node.guard.find_quarantine(CONTENT)
    assert quarantine is not None
    assert await node.guard.claim_probe(quarantine)
    assert not await node.guard.claim_probe(quarantine)
    assert node.store.calls.count(("claim", CONTENT)) == 1


async def test_probe_claimed_by_another_node_is_refused() -> None:
    """The next caller at this node is refused without another claim."""
    node = Node()
    node.store.grants = False
    node.fail_endpoints("a", "b", "c", age=PROBE_INTERVAL_SECONDS + 1.0)
    quarantine = node.guard.find_quarantine(CONTENT)
    assert quarantine is not None
    assert not await node.guard.claim_probe(quarantine)
    assert node.guard.measure_retry_after(quarantine) > PROBE_INTERVAL_SECONDS - 1.0


def test_operator_lifts_a_quarantine() -> None:
    """Crashes known when a quarantine is lifted no longer count; further ones do."""
    node = Node()
    node.fail_endpoints("a", "b", "c")
    assert node.guard.lift(CONTENT)
    assert not node.is_quarantined
    assert not node.guard.lift(CONTENT)
    node.fail_endpoints("d", "e")
    assert not node.is_quarantined
    node.fail_endpoints("f")
    assert node.is_quarantined


def test_remembered_successes_are_bounded() -> None:
    """A hundred thousand different requests leave only the latest."""
    node = Node()
    for number in range(100_000):
        node.guard.record_success(ContentId(str(number)))
    assert len(node.guard._succeeded_at) == MAX_SUCCESSES
    node.ledger.record(ContentId("99999"), IncarnationId("a"), Crash(read_clock()), CrashSource.OWN)
    assert node.ledger.list_crash_times(ContentId("99999")) == []
