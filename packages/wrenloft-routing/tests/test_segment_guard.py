"""Tests of what one node knows of prompt segments, and of how nodes join it."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wrenloft_core import ContentId, IncarnationId, SegmentId
from wrenloft_policy import (
    ANSWER_DELAY_SECONDS,
    EXPLAINED_PROBE_INTERVAL_SECONDS,
    SegmentEvidence,
    Workload,
)
from wrenloft_routing import (
    CrashSource,
    EndpointFailure,
    FailureSign,
    SegmentCrashUpdates,
    SegmentGuard,
    SegmentLedger,
    decode_segment_crashes,
    encode_segment_crashes,
)
from wrenloft_routing._segment_guard import MAX_ANSWERED
from wrenloft_routing._segment_ledger import MAX_CRASHES, MAX_WORKLOADS

from .segment_model import Clock

BAD = SegmentId("bad")


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    """Replace the clock of all nodes."""
    clock = Clock()
    for module in ("_segment_ledger", "_segment_guard"):
        monkeypatch.setattr(f"wrenloft_routing.{module}.read_clock", clock.read)
    return clock


def _workload(*segments: str) -> Workload:
    names = frozenset(map(SegmentId, segments))
    return Workload(ContentId("c" + "".join(sorted(segments))), names)


class RecordingStore:
    """A store that records calls and grants probes."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, SegmentId]] = []

    def keep_segment(self, segment: SegmentId, crashes: SegmentCrashUpdates) -> None:
        self.calls.append(("keep", segment))

    def drop_segment(self, segment: SegmentId) -> None:
        self.calls.append(("drop", segment))

    async def claim_segment(self, segment: SegmentId, seconds: float) -> bool:
        self.calls.append(("claim", segment))
        return True


class Node:
    """One node's ledger and guard."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.ledger = SegmentLedger(dict)
        self.store = RecordingStore()
        self.guard = SegmentGuard(self.ledger, self.store)
        self.revision = 0

    def fail(self, name: str, *workloads: Workload, answering: str = "") -> None:
        """Let an endpoint fail with these requests in progress."""
        self.guard.record_endpoint_failure(
            EndpointFailure(
                IncarnationId(name),
                frozenset(workloads),
                FailureSign.REFUSED,
                self.clock.now,
                frozenset(map(SegmentId, answering.split())),
            )
        )

    def fail_in_turn(self, number: int, *segments: str) -> None:
        """Let endpoints fail one after the other under segments."""
        for each in range(number):
            self.clock.now += 0.5
            self.fail(f"e{each}", _workload(*segments, f"x{each}"))

    def answer(self, *segments: str, endpoint: str = "other", seconds: float = 0.5) -> None:
        """Answer a request that was sent some seconds ago."""
        sent_at = self.clock.now - seconds
        self.guard.record_answer(_workload(*segments), [IncarnationId(endpoint)], sent_at)

    def holds(self, *segments: str) -> bool:
        """Return whether a request is refused."""
        return self.guard.find_quarantine(_workload(*segments)) is not None

    def send_to(self, other: "Node") -> None:
        """Send what has changed."""
        other.ledger.merge(self.ledger.list_changes(self.revision), CrashSource.PEER)
        self.revision = self.ledger.revision


def test_crashes_seen_by_different_nodes_count_together(clock: Clock) -> None:
    """Guards against three crashes at each node before a segment is held back."""
    nodes = [Node(clock) for _ in range(3)]
    for number, node in enumerate(nodes):
        clock.now += 0.5
        node.fail(f"e{number}", _workload("bad", f"x{number}"))
        assert not node.holds("bad")
    for node in nodes[1:]:
        node.send_to(nodes[0])
    assert nodes[0].holds("bad", "y")
    nodes[0].send_to(nodes[1])
    assert nodes[1].holds("bad", "y")


def test_answer_known_to_any_node_clears_a_segment(clock: Clock) -> None:
    """Guards against refusing what another node sees answered."""
    node, other = Node(clock), Node(clock)
    node.fail_in_turn(3, "bad")
    assert node.holds("bad")
    clock.now += 1.0
    other.answer("bad")
    node.send_to(other)
    clock.now += ANSWER_DELAY_SECONDS
    other.guard.review()
    other.send_to(node)
    assert not node.holds("bad")


def test_answer_to_a_request_sent_before_the_crash_clears_nothing(clock: Clock) -> None:
    """Guards against earlier requests that clear a segment which has begun to crash endpoints."""
    node = Node(clock)
    node.fail_in_turn(3, "bad")
    node.answer("bad", seconds=5.0)
    clock.now += ANSWER_DELAY_SECONDS
    assert node.holds("bad")


def test_answer_that_ends_with_its_endpoint_counts_against_its_segments(clock: Clock) -> None:
    """Guards against answers that are whole in the moment in which their endpoint crashes."""
    node = Node(clock)
    for each in range(3):
        clock.now += 1.0
        node.answer("bad", f"x{each}", endpoint=f"e{each}")
        clock.now += 0.1
        node.fail(f"e{each}", _workload("s", f"y{each}"))
    clock.now += 1.0
    assert node.holds("bad")


def test_answer_before_makes_a_segment_need_more_crashes(clock: Clock) -> None:
    """Guards against blaming a common segment for some engines that failed."""
    node = Node(clock)
    node.answer("s")
    clock.now += 30.0
    node.fail_in_turn(4, "s")
    assert not node.holds("s")


def test_quarantine_is_stored_by_nodes_that_observed_a_crash(clock: Clock) -> None:
    """Guards against losing a quarantine when all nodes lose power, and a write by every node."""
    node, other = Node(clock), Node(clock)
    node.fail_in_turn(3, "bad")
    assert ("keep", BAD) in node.store.calls
    node.send_to(other)
    assert other.holds("bad")
    assert not other.store.calls


def test_restart_from_the_store_holds_the_same(clock: Clock) -> None:
    """Guards against a quarantine whose stored form lacks what is needed to apply it."""
    node, later = Node(clock), Node(clock)
    node.fail_in_turn(5, "bad", "s")
    held = node.ledger.list_held()[BAD]
    rows = encode_segment_crashes(node.ledger.report_crashes(held))
    later.ledger.merge(decode_segment_crashes(rows), CrashSource.STORE)
    assert later.holds("bad", "s")
    assert not later.holds("s")


async def test_one_probe_at_a_time(clock: Clock) -> None:
    """A minute after the third crash one request is let through, and its answer ends it all."""
    node = Node(clock)
    node.fail_in_turn(3, "bad")
    quarantine = node.ledger.get_quarantine(BAD)
    assert quarantine is not None
    assert not await node.guard.claim_probe(quarantine)
    clock.now += 60.1
    assert await node.guard.claim_probe(quarantine)
    assert not await node.guard.claim_probe(quarantine)
    node.answer("bad")
    clock.now += ANSWER_DELAY_SECONDS
    node.guard.review()
    assert not node.holds("bad")
    assert node.store.calls[-1] == ("drop", BAD)


def _fail_under_two_causes(clock: Clock) -> Node:
    """Return a node at which endpoints failed under two segments in turn, mostly beside one."""
    node = Node(clock)
    for number in range(10):
        clock.now += 0.5
        cause = _workload(f"bad{number % 2}", f"x{number}")
        other = "another" if number in (3, 5) else "victim"
        node.fail(f"e{number}", cause, _workload(other, f"y{number}"))
    return node


async def test_common_victim_of_two_segments_is_probed_early(clock: Clock) -> None:
    """Guards against callers that are refused for a minute, as they were at all crashes."""
    node = _fail_under_two_causes(clock)
    assert node.holds("victim") and node.holds("bad0") and node.holds("bad1")
    clock.now += EXPLAINED_PROBE_INTERVAL_SECONDS
    quarantine = node.guard.find_quarantine(_workload("victim"))
    assert quarantine is not None
    assert await node.guard.claim_probe(quarantine)
    assert not await node.guard.claim_probe(quarantine)
    node.answer("victim")
    clock.now += ANSWER_DELAY_SECONDS
    assert not node.holds("victim")
    assert node.holds("bad0") and node.holds("bad1")


async def test_request_with_several_quarantined_segments_is_no_early_probe(clock: Clock) -> None:
    """Guards against a probe of a victim that crashes an endpoint by another segment."""
    node = _fail_under_two_causes(clock)
    clock.now += EXPLAINED_PROBE_INTERVAL_SECONDS
    quarantine = node.guard.find_quarantine(_workload("victim", "bad0"))
    assert quarantine is not None
    assert not await node.guard.claim_probe(quarantine)


async def test_cause_that_crashes_its_early_probe_waits_for_long(clock: Clock) -> None:
    """Guards against early probes that cost an endpoint each time."""
    node = _fail_under_two_causes(clock)
    clock.now += EXPLAINED_PROBE_INTERVAL_SECONDS
    probe = _workload("bad0", "x")
    quarantine = node.guard.find_quarantine(probe)
    assert quarantine is not None
    assert await node.guard.claim_probe(quarantine)
    node.fail("probed", probe)
    clock.now += 10 * EXPLAINED_PROBE_INTERVAL_SECONDS
    quarantine = node.guard.find_quarantine(probe)
    assert quarantine is not None
    assert not await node.guard.claim_probe(quarantine)


def test_operator_lifts_a_quarantine(clock: Clock) -> None:
    """Crashes known when a quarantine is lifted no longer count, at any node."""
    node, other = Node(clock), Node(clock)
    node.fail_in_turn(3, "bad")
    assert node.guard.lift(BAD)
    assert not node.holds("bad")
    assert not node.guard.lift(BAD)
    node.send_to(other)
    assert not other.holds("bad")


def test_victims_do_not_push_out_the_cause(clock: Clock) -> None:
    """Guards against many crashes and long prompts that make a node forget a quarantine."""
    node = Node(clock)
    node.fail_in_turn(3, "bad")
    assert node.holds("bad")
    many = [_workload(f"v{n}", f"w{n}") for n in range(MAX_WORKLOADS + 50)]
    for number in range(MAX_CRASHES + 20):
        node.fail(f"later{number}", *many[number : number + 20])
    clock.now += 0.1
    node.fail("crowded", *many)
    assert node.holds("bad")
    assert len(node.ledger) == MAX_CRASHES
    crash = node.ledger.find_crash(IncarnationId("crowded"))
    assert crash is not None
    assert len(crash.workloads) == MAX_WORKLOADS


def test_remembered_answers_are_bounded(clock: Clock) -> None:
    """Guards against memory that grows with the number of segments."""
    node = Node(clock)
    for number in range(MAX_ANSWERED + 100):
        node.answer(f"s{number}")
    clock.now += 1.0
    node.guard.settle_answers()
    assert len(node.guard._answers) == MAX_ANSWERED


reports = st.lists(
    st.tuples(
        st.sampled_from(["e0", "e1", "e2"]),
        st.sets(st.sampled_from([_workload("a"), _workload("a", "b"), _workload("b")])),
        st.dictionaries(
            st.sampled_from([SegmentId("a"), SegmentId("b")]), st.sampled_from(SegmentEvidence)
        ),
    ),
    max_size=8,
)


@given(reports, st.integers(0, 1000))
def test_reports_join_to_the_same_in_any_order(reports, seed: int) -> None:
    """Guards against nodes that disagree as they heard in another order, or twice."""
    shuffled = [*reports, *reports]
    Random(seed).shuffle(shuffled)
    # A report of evidence for a crash follows that of its requests.
    shuffled = [(key, workloads, {}) for key, workloads, _ in reports] + shuffled
    ledgers = [SegmentLedger(dict), SegmentLedger(dict)]
    for ledger, order in zip(ledgers, (reports + reports, shuffled), strict=True):
        for key, workloads, evidence in order:
            ledger.record(IncarnationId(key), 1.0, workloads, CrashSource.PEER, evidence)
    first, second = (
        {key: (each.workloads, each.evidence) for key, each in ledger.list_changes(0).items()}
        for ledger in ledgers
    )
    assert first == second


@pytest.mark.parametrize(
    "rows",
    [
        {"e": [1.0]},
        {"e": [1.0, [["c", "s"]], {"s": "x"}]},
        {"e": ["x", [], {}]},
        {"e": [float("nan"), [], {}]},
        {"e": [1.0, [[]], {}]},
        {"e": 3},
    ],
)
def test_invalid_rows_are_an_error(rows) -> None:
    """Guards against a message that stops a node."""
    with pytest.raises((ValueError, TypeError)):
        decode_segment_crashes(rows)


def test_rows_round_trip() -> None:
    """Guards against a field that is lost between nodes."""
    ledger = SegmentLedger(dict)
    evidence = {SegmentId("a"): SegmentEvidence.ANSWERING}
    workloads = [_workload("a", "b"), _workload("b")]
    ledger.record(IncarnationId("e"), 0.0, workloads, CrashSource.OWN, evidence)
    (decoded,) = decode_segment_crashes(encode_segment_crashes(ledger.list_changes(0))).values()
    assert decoded.workloads == frozenset(workloads)
    assert decoded.evidence == evidence
