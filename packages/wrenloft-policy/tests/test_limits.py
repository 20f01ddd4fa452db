"""Tests of admission, queues, retries and ejection."""

from random import Random

from hypothesis import given
from hypothesis import strategies as st

from wrenloft_core import AgentId, Limits, NodeId, OrganisationName, Priority
from wrenloft_policy import (
    EjectionRule,
    Ejections,
    FairQueue,
    LimitShare,
    QueuedRequest,
    RetryBudget,
    TokenBucket,
    admit,
    divide_limits,
)

_LIMITS = LimitShare(rate=2.0, concurrent=3, queue=4)


def _queued_request(
    number: int, organisation: str, priority: Priority = Priority.INTERACTIVE
) -> QueuedRequest:
    return QueuedRequest(number, OrganisationName(organisation), priority, deadline=float(number))


class TestAdmit:
    """Tests for ``admit``."""

    def test_admits_alarms_beyond_every_limit(self) -> None:
        """Guards against refusing an alarm of an organisation that has used up its limits."""
        bucket = TokenBucket(0.0)
        for priority, refused in ((Priority.BATCH, True), (Priority.ALARM, False)):
            refusal = admit(
                priority,
                bucket=bucket,
                share=_LIMITS,
                in_progress=99,
                spread_seconds=2.0,
                now=0.0,
                random=Random(1),
            )
            assert (refusal is not None) is refused

    def test_spreads_retries_of_refused_callers(self) -> None:
        """Guards against refused callers that all retry at the same moment."""
        bucket = TokenBucket(0.0)
        random = Random(1)
        delays = set()
        for _ in range(50):
            refusal = admit(
                Priority.BATCH,
                bucket=bucket,
                share=_LIMITS,
                in_progress=0,
                spread_seconds=2.0,
                now=0.0,
                random=random,
            )
            if refusal is not None and refusal.retry_after is not None:
                delays.add(round(refusal.retry_after, 2))
        assert len(delays) > 30


class TestDivideLimits:
    """Tests for ``divide_limits``."""

    @given(st.lists(st.floats(0, 1000), min_size=1, max_size=12))
    def test_shares_add_up_to_the_limit(self, demands: list[float]) -> None:
        """All nodes together never allow more than the organisation's rate."""
        demand = {NodeId(f"n{index}"): each for index, each in enumerate(demands)}
        rates = [
            divide_limits(Limits(rate=100.0), demand, node_id, len(demand)).rate
            for node_id in demand
        ]
        assert sum(rates) <= 100.0 + 1e-6
        assert min(rates) > 0


class TestFairQueue:
    """Tests for ``FairQueue``."""

    def test_flood_of_one_organisation_does_not_delay_others(self) -> None:
        """One organisation queues a thousand requests, then another queues one.

        That one is served among the first three.
        """
        queue = FairQueue()
        for number in range(1000):
            queue.push(_queued_request(number, "flood"))
        queue.push(_queued_request(2000, "quiet"))
        served = [queue.pop() for _ in range(3)]
        assert "quiet" in {each.organisation for each in served if each}

    def test_idle_organisation_accumulates_no_credit(self) -> None:
        """Guards against serving an organisation alone after it was idle for long."""
        queue = FairQueue()
        for number in range(100):
            queue.push(_queued_request(number, "busy"))
            queue.pop()
        for number in range(10):
            queue.push(_queued_request(number, "busy"))
            queue.push(_queued_request(number, "returned"))
        served = [queue.pop() for _ in range(10)]
        counts = [each.organisation for each in served if each]
        assert 4 <= counts.count(OrganisationName("returned")) <= 6

    @given(st.lists(st.tuples(st.sampled_from("abc"), st.sampled_from(list(Priority)))))
    def test_serves_classes_in_order_and_loses_nothing(
        self, entries: list[tuple[str, Priority]]
    ) -> None:
        """Every request is served exactly once, more urgent classes first."""
        queue = FairQueue()
        for number, (organisation, priority) in enumerate(entries):
            queue.push(_queued_request(number, organisation, priority))
        served = []
        while request := queue.pop():
            served.append(request)
        assert sorted(each.key for each in served) == list(range(len(entries)))  # type: ignore[type-var]
        ranks = [each.priority.rank for each in served]
        assert ranks == sorted(ranks)


class TestRetryBudget:
    """Tests for ``RetryBudget``."""

    def test_bounds_retries_when_every_attempt_fails(self) -> None:
        """Retries add at most a tenth to a thousand requests whose attempts all fail."""
        budget = RetryBudget(now=0.0)
        retries = 0
        for _ in range(1000):
            budget.deposit()
            retries += budget.withdraw(now=0.0)
        assert retries <= 110

    def test_recovers_without_first_attempts(self) -> None:
        """Guards against a budget that stays empty after an outage at one request a minute."""
        budget = RetryBudget(now=0.0)
        while budget.withdraw(now=0.0):
            pass
        assert budget.withdraw(now=60.0)


class TestEjections:
    """Tests for ``Ejections``."""

    def test_never_ejects_all(self) -> None:
        """Guards against ejecting every runner because this node's own link fails."""
        agents = [AgentId(f"a{number}") for number in range(6)]
        ejections = Ejections(EjectionRule(failures=1))
        for each in agents:
            ejections.record_failure(each, now=0.0)
        assert len(ejections.filter(agents, now=0.1)) == 3

    def test_success_ends_the_ejection(self) -> None:
        """One success clears a runner's failures and its ejection."""
        agents = [AgentId("a"), AgentId("b"), AgentId("c")]
        ejections = Ejections(EjectionRule(failures=1))
        ejections.record_failure(agents[0], now=0.0)
        assert agents[0] not in ejections.filter(agents, now=0.1)
        ejections.record_success(agents[0])
        assert agents[0] in ejections.filter(agents, now=0.1)
