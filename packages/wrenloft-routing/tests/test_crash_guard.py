"""Tests of holding back requests that crash endpoints, and of letting one through."""

from collections.abc import Mapping

from wrenloft_core import ContentId, IncarnationId, read_clock
from wrenloft_policy import PROBE_INTERVAL_SECONDS, Crash
from wrenloft_routing import (
    CrashGuard,
    CrashLedger,
    CrashSource,
    EndpointFailure,
    FailureSign,
    ToldCrash,
)
from wrenloft_routing._crash_guard import MOST_PROVEN

CONTENT = ContentId("c")


class Keeper:
    """Remembers what it was told, and grants trials if a test says so."""

    def __init__(self) -> None:
        self.told: list[tuple[str, ContentId]] = []
        self.grants = True

    def keep(self, content: ContentId, crashes: Mapping[IncarnationId, ToldCrash]) -> None:
        self.told.append(("keep", content))

    def drop(self, content: ContentId) -> None:
        self.told.append(("drop", content))

    async def claim(self, content: ContentId, seconds: float) -> bool:
        self.told.append(("claim", content))
        return self.grants


class Node:
    """One node's guard."""

    def __init__(self) -> None:
        self.ledger = CrashLedger()
        self.keeper = Keeper()
        self.guard = CrashGuard(self.ledger, self.keeper)

    def fall(self, *names: str, contents: str = "c", age: float = 0.0) -> None:
        """Let endpoints fall with requests of this node in progress."""
        for name in names:
            held = frozenset(ContentId(each) for each in contents)
            at = read_clock() - age
            self.guard.take_failure(
                EndpointFailure(IncarnationId(name), held, FailureSign.REFUSED, at)
            )

    @property
    def is_held(self) -> bool:
        """Whether the content is held back."""
        return self.guard.find_hold(CONTENT) is not None


def test_hold_is_stored_by_who_saw_a_crash() -> None:
    """All nodes may lose power at once; whoever starts again reads what was held back."""
    node, other = Node(), Node()
    node.fall("a")
    other.fall("b", "x")
    other.ledger.merge(node.ledger.list_changes(0), CrashSource.PEER)
    assert other.is_held
    assert ("keep", CONTENT) in other.keeper.told
    node.ledger.merge(other.ledger.list_changes(0), CrashSource.PEER)
    assert ("keep", CONTENT) in node.keeper.told
    third = Node()
    third.ledger.merge(other.ledger.list_changes(0), CrashSource.PEER)
    assert third.is_held
    assert not third.keeper.told


def test_poll_in_progress_at_each_engine_of_a_rack_is_not_held_back() -> None:
    """Many callers poll one path; a rack of five engines falls, the poll runs at each of them.

    It had whole answers moments before, so it crashed none of them.
    """
    node = Node()
    node.guard.record_success(CONTENT)
    node.fall("a", "b", "c", "d", "e")
    assert not node.is_held


def test_answer_known_to_another_node_clears_a_poll_everywhere() -> None:
    """The node whose polls were lost had none answered lately; another one had."""
    node, other = Node(), Node()
    other.guard.record_success(CONTENT)
    node.fall("a", "b", "c")
    other.ledger.merge(node.ledger.list_changes(0), CrashSource.PEER)
    node.ledger.merge(other.ledger.list_changes(0), CrashSource.PEER)
    assert not node.is_held
    assert not other.is_held


def test_answer_after_the_crashes_ends_a_hold() -> None:
    """A first request was in progress at three engines that fell; a copy elsewhere is answered."""
    node = Node()
    node.fall("a", "b", "c")
    assert node.is_held
    node.guard.record_success(CONTENT)
    assert not node.is_held
    assert node.keeper.told[-1] == ("drop", CONTENT)


def test_answer_of_a_victim_writes_nothing() -> None:
    """Requests that were present at one fall are answered elsewhere: no call to the store."""
    node = Node()
    node.fall("a", contents="cde")
    node.guard.record_success(CONTENT)
    assert not node.keeper.told


async def test_one_trial_a_minute_in_the_whole_fleet() -> None:
    """A minute after the last crash one request goes through, at the node that claims it."""
    node = Node()
    node.fall("a", "b", "c", age=PROBE_INTERVAL_SECONDS - 1.0)
    hold = node.guard.find_hold(CONTENT)
    assert hold is not None
    assert not await node.guard.claim_trial(hold)
    assert 0.0 < node.guard.measure_return(hold) <= 1.0
    node = Node()
    node.fall("a", "b", "c", age=PROBE_INTERVAL_SECONDS + 1.0)
    hold = node.guard.find_hold(CONTENT)
    assert hold is not None
    assert await node.guard.claim_trial(hold)
    assert not await node.guard.claim_trial(hold)
    assert node.keeper.told.count(("claim", CONTENT)) == 1


async def test_claim_that_another_node_has_lets_nothing_through() -> None:
    """Its answer is not waited for: the next caller here is refused without asking again."""
    node = Node()
    node.keeper.grants = False
    node.fall("a", "b", "c", age=PROBE_INTERVAL_SECONDS + 1.0)
    hold = node.guard.find_hold(CONTENT)
    assert hold is not None
    assert not await node.guard.claim_trial(hold)
    assert node.guard.measure_return(hold) > PROBE_INTERVAL_SECONDS - 1.0


def test_operator_lifts_a_hold() -> None:
    """The cause was found; crashes known so far count no longer, further ones do."""
    node = Node()
    node.fall("a", "b", "c")
    assert node.guard.lift(CONTENT)
    assert not node.is_held
    assert not node.guard.lift(CONTENT)
    node.fall("d", "e")
    assert not node.is_held
    node.fall("f")
    assert node.is_held


def test_answers_remembered_are_bounded() -> None:
    """A hundred thousand different requests leave no more than the latest."""
    node = Node()
    for number in range(100_000):
        node.guard.record_success(ContentId(str(number)))
    assert len(node.guard._proven) == MOST_PROVEN
    node.ledger.record(ContentId("99999"), IncarnationId("a"), Crash(read_clock()), CrashSource.OWN)
    assert node.ledger.list_crash_times(ContentId("99999")) == []
