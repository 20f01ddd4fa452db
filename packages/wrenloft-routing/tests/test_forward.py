"""Tests of forwarding one request through refusals, losses and retries."""

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, replace
from random import Random
from typing import Any, cast

import pytest

from wrenloft_core import (
    AgentId,
    ContentId,
    Done,
    IncarnationId,
    ModelName,
    NotRun,
    OrganisationName,
    PlaceName,
    RegionName,
    RequestId,
    Revision,
    SegmentId,
    ServiceName,
    Unknown,
    read_clock,
)
from wrenloft_policy import (
    ANSWER_DELAY_SECONDS,
    ANSWERS_TO_CLEAR_LIMIT,
    AdvertisedLimit,
    Crash,
    EndpointNotice,
    EngineProfile,
    HeaderLoad,
    LayerSpan,
    MalformedLoad,
    WantedVersion,
    Workload,
)
from wrenloft_routing import (
    NO_DENIAL,
    Attempt,
    BackendService,
    Caller,
    CallerLimits,
    CallerRequest,
    CrashGuard,
    CrashLedger,
    CrashSource,
    Denial,
    Endpoint,
    Endpoints,
    EndpointState,
    EngineReport,
    FailureDetector,
    Forwarder,
    FreshnessProof,
    Gate,
    Liveness,
    Lost,
    NotSent,
    Refused,
    Rejected,
    ReplyBrokenError,
    RoutingTable,
    RuleKind,
    SharedRetryBudget,
    identify_content,
)
from wrenloft_routing._endings import give_up
from wrenloft_routing._gate import MAX_DENIALS, PlacementRequest
from wrenloft_routing._gate import _wait as wait_for_room
from wrenloft_routing._request_progress import RequestProgress

from .conftest import FakeReply, FakeSink, FakeStore, make_rule

PLACE = PlaceName("p")
REGION = RegionName("r")
PLAIN = ServiceName("plain")
ENGINES = ServiceName("engines")
MODEL = ModelName("m")
PROFILE = EngineProfile(16, 5, 0.009, 0.00004, 19100.0, 2048, 977, 94)


TABLE = RoutingTable(
    revision=Revision(1),
    rules=(
        make_rule("safe", RuleKind.SAFE, PLAIN),
        make_rule("once", RuleKind.UNSAFE, PLAIN, max_attempts=1),
        make_rule("unsafe", RuleKind.UNSAFE, PLAIN),
        make_rule("public", RuleKind.SAFE, PLAIN, public=True),
        make_rule("stream", RuleKind.STREAM, ENGINES, resumable=True, gap_objective=0.05),
        make_rule("fixed", RuleKind.STREAM, ENGINES),
        make_rule("alarm", RuleKind.SAFE, PLAIN, rank=0),
    ),
    services={
        PLAIN: BackendService(PLAIN, 10),
        ENGINES: BackendService(ENGINES, 10, PROFILE, MODEL, layers=16),
    },
    limits=CallerLimits(),
    callers={"key": Caller(OrganisationName("org"))},
    keyed=True,
)


@dataclass
class DelayedReply:
    """An answer whose head comes after some seconds."""

    seconds: float
    reply: FakeReply


class Harness:
    """A forwarder whose attempts have the outcomes that a test lists."""

    def __init__(self, *outcomes: Any, slack: float = 100.0) -> None:
        self.outcomes = list(outcomes)
        self.grant_requests: list[tuple[list[AgentId], int]] = []
        self.denied: set[AgentId] = set()
        self.turn = 60.0
        self.attempts: list[Attempt] = []
        self.endpoints = Endpoints(PLACE, REGION)
        self.endpoints.update(
            [
                Endpoint(AgentId(f"{service}-{n}"), service, f"a{n}:1", PLACE, REGION, 4, False, v)
                for service, v in ((PLAIN, {}), (ENGINES, {MODEL: 1}))
                for n in range(3)
            ],
            trusted=True,
        )
        self.gate = Gate(self.endpoints, Random(1), version_seconds=8.0)
        self.proof = FreshnessProof(5.0)
        self.proof.record(read_clock())
        self.budget = budget = SharedRetryBudget(0.2, slack, 10.0, 1)
        self.open_count = 0
        self.liveness = Liveness.REACHABLE
        self.crashes = CrashLedger()
        self.store = FakeStore()
        self.guard = CrashGuard(self.crashes, self.store)
        detector = FailureDetector(self.endpoints, self.guard.record_endpoint_failure, self._probe)
        self.forwarder = Forwarder(
            self.endpoints,
            self.gate,
            budget,
            self.proof,
            self._open,
            Random(1),
            detector,
            self.guard,
        )
        self.forwarder._request_grants = self._request_grants
        self.forwarder.table = TABLE
        self.sink = FakeSink()

    async def _request_grants(self, states: Sequence[EndpointState], rank: int) -> bool:
        self.grant_requests.append(([each.endpoint.agent_id for each in states], rank))
        now = read_clock()
        for state in states:
            if state.endpoint.agent_id in self.denied:
                self.endpoints.record_denial(state, Denial(rank, now + 60.0, now + self.turn))
                return False
        return True

    def exhaust_limits(self, *numbers: int, turn: float = 60.0) -> None:
        """Let plain endpoints name a rate limit that is used up."""
        self.turn = turn
        for number in numbers:
            state = self.endpoints.get(AgentId(f"{PLAIN}-{number}"))
            assert state is not None
            self.endpoints.record_limit(state, AdvertisedLimit(2.0, "2"), limit_known=False)
            self.denied.add(state.endpoint.agent_id)

    def set_plain_endpoints(self, count: int) -> None:
        """Replace all endpoints by plain ones."""
        self.endpoints.update(
            [
                Endpoint(AgentId(f"p{n}"), PLAIN, f"b{n}:1", PLACE, REGION, 4, False, {})
                for n in range(count)
            ],
            trusted=True,
        )

    def set_spans(self, spans: dict[int, LayerSpan]) -> None:
        """Report which layers each engine serves."""
        for number, span in spans.items():
            report = EngineReport(0, 0, 1, False, 1.0, span)
            self.endpoints.record_report(f"a{number}:1", report, read_clock())

    def set_objective(self, seconds: float) -> None:
        """Serve idempotent requests by a rule with another latency objective."""
        rule = make_rule("safe", RuleKind.SAFE, PLAIN, latency_objective=seconds, timeout=8.0)
        self.forwarder.table = replace(TABLE, rules=(rule,))

    def use_up_budget(self) -> None:
        """Withdraw all retries of the engines."""
        while self.budget.withdraw(ENGINES, read_clock()):
            pass

    def count_retries(self) -> int:
        """Return the retries left for the engines, without using them up."""
        count = 0
        while self.budget.withdraw(ENGINES, read_clock()):
            count += 1
        for _ in range(count):
            self.budget.refund(ENGINES)
        return count

    async def _probe(self, address: str) -> Liveness:
        return self.liveness

    async def _open(self, attempt: Attempt) -> Any:
        self.attempts.append(attempt)
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, float):
            await asyncio.sleep(outcome)
            return Lost("too late")
        if isinstance(outcome, DelayedReply):
            self.open_count += 1
            try:
                await asyncio.sleep(outcome.seconds)
            finally:
                self.open_count -= 1
            return outcome.reply
        return outcome() if isinstance(outcome, Callable) else outcome  # type: ignore[arg-type]

    async def send(self, rule: str, **changes: Any) -> Any:
        """Send one request by a rule and return its outcome."""
        fields: dict[str, Any] = {
            "request_id": RequestId("r1"),
            "method": "POST",
            "host": "H:80",
            "path": f"/{rule}/x",
            "target": f"/{rule}/x",
            "headers": (),
            "body": b"",
            "body_digest": b"",
            "key": "key",
            "caller_timeout": 0.8,
            "prompt_tokens": 100.0,
            "last_event": None,
            "arrived": read_clock(),
        }
        return await self.forwarder.forward(CallerRequest(**{**fields, **changes}), self.sink)


def _events(*numbers: int) -> bytes:
    return b"".join(f"id: {n}\ndata: x\n\n".encode() for n in numbers)


class TestAdmission:
    """Tests of admission by the configuration."""

    @pytest.mark.parametrize(
        ("rule", "key", "status"), [("none", "key", 404), ("safe", "old", 401), ("safe", None, 401)]
    )
    async def test_unknown_rule_and_key_are_refused(
        self, rule: str, key: str | None, status: int
    ) -> None:
        """The caller learns the reason, and nothing is sent."""
        harness = Harness()
        await harness.send(rule, key=key)
        assert harness.sink.status == status
        assert not harness.attempts

    async def test_missing_configuration_refuses_temporarily(self) -> None:
        """A node that has just started knows no rule; 404 would deny an allowed request."""
        harness = Harness()
        harness.forwarder.table = None
        await harness.send("safe")
        assert harness.sink.status == 503
        assert float(harness.sink.headers["Retry-After"]) > 0

    async def test_stale_configuration_refuses_keys_but_serves_public_rules(self) -> None:
        """A key may have been revoked unnoticed; rules without keys are still served.

        The node has not reached the store for longer than keys may outlive their removal.
        """
        harness = Harness(FakeReply([b"ok"]))
        harness.forwarder._proof = FreshnessProof(5.0)
        harness.forwarder._proof.record(read_clock() - 4.9)
        await harness.send("safe")
        assert harness.sink.status == 503
        harness.sink = FakeSink()
        await harness.send("public", key=None)
        assert (harness.sink.status, harness.sink.body) == (200, b"ok")


class TestPaces:
    """Tests of endpoints that state their pace in answers."""

    @staticmethod
    async def _send_many(load: HeaderLoad | MalformedLoad | None) -> list[tuple[AgentId, bool]]:
        """Return the endpoint of each of 40 requests, of which one says something of its load."""
        harness = Harness(FakeReply([b"ok"], load=load), *(FakeReply([b"ok"]) for _ in range(39)))
        for _ in range(40):
            harness.sink = FakeSink()
            await harness.send("safe")
            harness.endpoints.mark_changed()  # as if the snapshot of the endpoints were old
            assert harness.sink.body == b"ok"
        first = harness.attempts[0].endpoint.agent_id
        return [(first, each.endpoint.agent_id == first) for each in harness.attempts]

    async def test_slow_endpoint_gets_nothing_while_others_are_usual(self) -> None:
        """Guards against a pace that is read and then not used."""
        chosen = await self._send_many(HeaderLoad(0, 0, 4, 50.0, True))
        assert [is_first for _, is_first in chosen] == [True] + 39 * [False]

    @pytest.mark.parametrize("load", [HeaderLoad(3, 2, 4), MalformedLoad("3,2,4,5,6")])
    async def test_three_figures_and_malformed_ones_change_nothing(
        self, load: HeaderLoad | MalformedLoad
    ) -> None:
        """Guards against endpoints without a pace that are served otherwise than before."""
        assert await self._send_many(load) == await self._send_many(None)


@pytest.fixture
def waits(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Record the service of each wait for spare capacity."""
    services: list[str] = []

    async def wait(changed: asyncio.Event, request: PlacementRequest) -> None:
        services.append(request.service.name)
        await wait_for_room(changed, request)

    monkeypatch.setattr("wrenloft_routing._gate._wait", wait)
    return services


class TestLeaving:
    """Tests of endpoints that say in an answer that they leave."""

    LEAVING = EndpointNotice(leaving=True)

    @pytest.mark.parametrize(
        "told",
        [
            FakeReply([b"ok"], notice=LEAVING),
            FakeReply([b"no"], status=404, notice=LEAVING),
            FakeReply([b"no"], status=500, notice=LEAVING),
            FakeReply([b"x"], genuine=False, notice=LEAVING),
            FakeReply([b"x", ReplyBrokenError("cut")], notice=LEAVING),
            Rejected("status 503", misdirected=False, notice=LEAVING),
            Rejected("status 421", misdirected=True, notice=LEAVING),
        ],
    )
    async def test_endpoint_gets_nothing_after_any_answer_that_says_so(self, told: Any) -> None:
        """Guards against kinds of answer from which leaving is not learnt."""
        harness = Harness(told, *(FakeReply([b"ok"]) for _ in range(20)))
        await harness.send("once")
        leaving = harness.attempts[0].endpoint.agent_id
        for _ in range(19):
            harness.sink = FakeSink()
            await harness.send("safe")
        assert leaving not in [each.endpoint.agent_id for each in harness.attempts[1:]]

    async def test_stream_that_says_so_is_forwarded_and_resumed_elsewhere(self) -> None:
        """Guards against resuming a stream at the endpoint that ended it by leaving."""
        told = FakeReply([_events(0), ReplyBrokenError("cut")], is_stream=True, notice=self.LEAVING)
        harness = Harness(told, FakeReply([_events(1)], is_stream=True))
        await harness.send("stream")
        assert harness.sink.body == _events(0, 1)
        first, second = harness.attempts
        assert first.endpoint.agent_id != second.endpoint.agent_id

    async def test_request_that_waits_for_a_grant_goes_elsewhere(self) -> None:
        """Guards against sending what was placed before the endpoint said that it leaves."""
        harness = Harness(FakeReply([b"ok"]))
        placed: list[AgentId] = []

        async def grant(states: Sequence[EndpointState], urgency: int) -> bool:
            placed.append(states[0].endpoint.agent_id)
            if len(placed) == 1:
                harness.endpoints.record_notice(states[0], self.LEAVING, read_clock())
            return True

        harness.forwarder._request_grants = grant
        await harness.send("safe")
        assert harness.sink.status == 200
        assert harness.attempts[0].endpoint.agent_id == placed[1] != placed[0]

    async def test_queued_request_goes_elsewhere(self) -> None:
        """Guards against requests that wait for an endpoint that is about to end."""
        harness = Harness(FakeReply([b"ok"]))
        states = harness.endpoints.of_service(PLAIN)
        for state in states:
            harness.endpoints.record_full(state, read_clock() + 60.0)
        sending = asyncio.create_task(harness.send("safe"))
        await asyncio.sleep(0.005)
        harness.endpoints.record_notice(states[0], self.LEAVING, read_clock())
        for state in states[:2]:
            state.full_until = 0.0
        harness.endpoints.mark_changed()
        await sending
        assert harness.attempts[0].endpoint.agent_id == states[1].endpoint.agent_id

    async def test_requests_are_refused_when_all_endpoints_leave(self) -> None:
        """Guards against sending to a leaving endpoint for lack of another."""
        harness = Harness()
        for state in harness.endpoints.of_service(PLAIN):
            harness.endpoints.record_notice(state, self.LEAVING, read_clock())
        assert isinstance(await harness.send("safe"), NotRun)
        assert harness.sink.status == 503
        assert float(harness.sink.headers["Retry-After"]) > 0
        assert not harness.attempts

    async def test_chain_avoids_a_leaving_engine(self) -> None:
        """Guards against reaching a leaving engine through another one."""
        harness = Harness()
        harness.set_spans({0: LayerSpan(0, 8), 1: LayerSpan(8, 16), 2: LayerSpan(8, 8)})
        leaving = harness.endpoints.get(AgentId(f"{ENGINES}-1"))
        assert leaving is not None
        harness.endpoints.record_notice(leaving, self.LEAVING, read_clock())
        assert isinstance(await harness.send("stream"), NotRun)
        assert not harness.attempts


class TestRests:
    """Tests of endpoints that reject requests and ask this node for rest."""

    @staticmethod
    def _rejected(rest: float) -> Rejected:
        return Rejected("status 503", misdirected=False, notice=EndpointNotice(rest=rest))

    @staticmethod
    def _rest(harness: Harness, *numbers: int, seconds: float = 3.0) -> list[EndpointState]:
        """Let plain endpoints ask for rest."""
        states = harness.endpoints.of_service(PLAIN)
        for number in numbers:
            notice = EndpointNotice(rest=seconds)
            harness.endpoints.record_notice(states[number], notice, read_clock())
        return states

    async def test_request_moves_to_an_endpoint_that_does_not_rest(self, waits: list[str]) -> None:
        """Guards against callers that wait for a resting endpoint while others are idle."""
        harness = Harness(self._rejected(3.0), *(FakeReply([b"ok"]) for _ in range(10)))
        for _ in range(10):
            harness.sink = FakeSink()
            await harness.send("safe")
            assert harness.sink.status == 200
        resting = harness.attempts[0].endpoint.agent_id
        assert resting not in [each.endpoint.agent_id for each in harness.attempts[1:]]
        assert not waits

    @pytest.mark.parametrize("seconds", [1.0, 3.0, 30.0, 600.0])
    async def test_request_is_refused_at_once_when_all_endpoints_rest(
        self, waits: list[str], seconds: float
    ) -> None:
        """Guards against callers that wait out their time, or return while all still rest."""
        harness = Harness()
        self._rest(harness, 0, 1, 2, seconds=seconds)
        delays = set()
        for rule in ("safe", "alarm", "once", "safe"):
            harness.sink = FakeSink()
            outcome = await harness.send(rule)
            assert isinstance(outcome, NotRun)
            assert outcome.reason.startswith("endpoints rest for")
            delays.add(float(harness.sink.headers["Retry-After"]))
        assert min(delays) >= seconds - 0.1
        assert len(delays) == 4
        assert not waits
        assert not harness.attempts

    async def test_first_rest_to_end_decides_when_callers_return(self) -> None:
        """Guards against sending callers away for the longest of several rests."""
        harness = Harness()
        self._rest(harness, 0, 1, seconds=600.0)
        self._rest(harness, 2, seconds=2.0)
        await harness.send("safe")
        assert 1.9 < float(harness.sink.headers["Retry-After"]) < 4.0

    async def test_request_waits_for_a_rest_that_ends_in_time(self) -> None:
        """Guards against refusing what can be answered in time a moment later."""
        harness = Harness(FakeReply([b"ok"]))
        self._rest(harness, 0, 1, 2, seconds=0.08)
        await harness.send("safe")
        assert harness.sink.status == 200

    async def test_rejected_caller_learns_how_long_the_only_endpoint_rests(self) -> None:
        """Guards against sending a caller back into the rest that its own request was told of."""
        harness = Harness(self._rejected(3.0))
        first, *_ = harness.endpoints.of_service(PLAIN)
        harness.endpoints.update([first.endpoint], trusted=True)
        for rule in ("once", "safe"):
            harness.sink = FakeSink()
            await harness.send(rule)
            assert harness.sink.status == 503
            assert float(harness.sink.headers["Retry-After"]) >= 2.9
        assert len(harness.attempts) == 1

    async def test_rejected_caller_returns_soon_if_others_do_not_rest(self) -> None:
        """Guards against sending callers away for seconds whom another endpoint could serve."""
        harness = Harness(self._rejected(3.0))
        await harness.send("once")
        assert float(harness.sink.headers["Retry-After"]) < 0.5

    async def test_full_endpoint_is_sooner_than_a_resting_one(self) -> None:
        """Guards against taking a moment without slots for the rest of another endpoint."""
        harness = Harness(FakeReply([b"ok"]))
        harness.forwarder.table = replace(
            TABLE,
            rules=(make_rule("safe", RuleKind.SAFE, PLAIN, latency_objective=4.0, timeout=4.0),),
        )
        states = self._rest(harness, 1, 2, seconds=600.0)
        harness.endpoints.record_full(states[0], read_clock())
        await harness.send("safe", caller_timeout=4.0)
        assert harness.sink.status == 200

    async def test_resting_and_limited_endpoint_is_left_alone(self) -> None:
        """Guards against a grant that is taken for leave to disturb a resting endpoint."""
        harness = Harness()
        for state in self._rest(harness, 0, 1, 2):
            harness.endpoints.record_limit(state, AdvertisedLimit(2.0, "2"), limit_known=False)
        outcome = await harness.send("alarm")
        assert isinstance(outcome, NotRun)
        assert outcome.reason.startswith("endpoints rest for")
        assert not harness.grant_requests

    async def test_chain_avoids_a_resting_engine(self) -> None:
        """Guards against disturbing a resting engine through another one."""
        harness = Harness()
        harness.set_spans({0: LayerSpan(0, 8), 1: LayerSpan(8, 16), 2: LayerSpan(8, 8)})
        resting = harness.endpoints.get(AgentId(f"{ENGINES}-1"))
        assert resting is not None
        harness.endpoints.record_notice(resting, EndpointNotice(rest=3.0), read_clock())
        outcome = await harness.send("stream")
        assert isinstance(outcome, NotRun)
        assert outcome.reason.startswith("endpoints rest for")

    async def test_stream_is_not_resumed_at_a_resting_engine(self) -> None:
        """Guards against resumed streams that bypass a rest."""
        harness = Harness(
            FakeReply([_events(0), 0.05, ReplyBrokenError("cut")], is_stream=True),
            FakeReply([_events(1)], is_stream=True),
        )
        sending = asyncio.create_task(harness.send("stream"))
        await asyncio.sleep(0.02)
        first = harness.attempts[0].endpoint.agent_id
        engines = harness.endpoints.of_service(ENGINES)
        resting = next(each for each in engines if each.endpoint.agent_id != first)
        harness.endpoints.record_notice(resting, EndpointNotice(rest=3.0), read_clock())
        await sending
        assert harness.attempts[1].endpoint.agent_id not in (first, resting.endpoint.agent_id)


class TestRateLimits:
    """Tests of requests to endpoints that name a rate limit."""

    async def test_every_attempt_requests_a_grant(self) -> None:
        """Guards against retries that bypass the limit."""
        harness = Harness(Lost("reset"), FakeReply([b"ok"]))
        await harness.send("safe")
        assert len(harness.attempts) == len(harness.grant_requests) == 2

    async def test_resumed_stream_requests_a_grant(self) -> None:
        """Guards against resumed streams that bypass the limit."""
        broken = FakeReply([_events(0), ReplyBrokenError("cut")], is_stream=True)
        harness = Harness(broken, FakeReply([_events(1)], is_stream=True))
        await harness.send("stream")
        assert len(harness.attempts) == len(harness.grant_requests) == 2

    async def test_chain_requests_grants_for_all_its_engines(self) -> None:
        """Guards against reaching an overloaded engine through another one."""
        harness = Harness(FakeReply([_events(0)], is_stream=True))
        harness.set_spans({0: LayerSpan(0, 8), 1: LayerSpan(8, 16), 2: LayerSpan(8, 8)})
        await harness.send("stream")
        assert [len(states) for states, _ in harness.grant_requests] == [2]

    async def test_request_moves_to_an_endpoint_with_capacity_at_once(
        self, waits: list[str]
    ) -> None:
        """Guards against waiting for an overloaded endpoint while others are idle."""
        harness = Harness(*(FakeReply([b"ok"]) for _ in range(10)))
        harness.exhaust_limits(0, 1)
        for _ in range(10):
            harness.sink = FakeSink()
            await harness.send("safe")
        assert harness.sink.status == 200
        assert {each.endpoint.agent_id for each in harness.attempts} == {f"{PLAIN}-2"}
        assert len(harness.grant_requests) <= 12  # each of the two denies one grant
        assert not waits

    async def test_request_without_a_timely_turn_is_refused_at_once(self, waits: list[str]) -> None:
        """Guards against callers that wait for overloaded endpoints until they time out."""
        harness = Harness()
        harness.exhaust_limits(0, 1, 2)
        outcome = await harness.send("safe")
        assert isinstance(outcome, NotRun)
        assert outcome.reason.startswith("rate limits leave room in")
        assert harness.sink.status == 503
        assert float(harness.sink.headers["Retry-After"]) > 0
        assert not waits

    async def test_request_tries_few_of_many_limited_endpoints(self) -> None:
        """Guards against callers that wait while their node asks every endpoint in turn."""
        harness = Harness()
        many = [
            Endpoint(AgentId(f"{PLAIN}-{n}"), PLAIN, f"a{n}:1", PLACE, REGION, 4) for n in range(40)
        ]
        harness.endpoints.update(many, trusted=True)
        harness.exhaust_limits(*range(40))
        for rule in ("safe", "alarm"):
            harness.grant_requests.clear()
            harness.sink = FakeSink()
            outcome = await harness.send(rule)
            assert isinstance(outcome, NotRun)
            assert outcome.reason.startswith("rate limits leave room in")
            assert len(harness.grant_requests) == MAX_DENIALS

    async def test_denied_request_uses_an_unlimited_endpoint(self) -> None:
        """Guards against refusing what an endpoint without a limit can take."""
        harness = Harness(FakeReply([b"ok"]))
        many = [
            Endpoint(AgentId(f"{PLAIN}-{n}"), PLAIN, f"a{n}:1", PLACE, REGION, 4) for n in range(40)
        ]
        harness.endpoints.update(many, trusted=True)
        harness.exhaust_limits(*range(39))
        await harness.send("safe")
        assert harness.sink.status == 200
        assert harness.attempts[0].endpoint.agent_id == f"{PLAIN}-39"

    async def test_overdue_request_does_not_wait_where_fresh_ones_are_refused(
        self, waits: list[str]
    ) -> None:
        """Guards against overdue requests that wait for capacity that fresh ones use."""
        harness = Harness()
        harness.exhaust_limits(0, 1, 2, turn=0.3)
        await harness.send("safe", caller_timeout=2.0)
        harness.sink = FakeSink()
        waits.clear()
        await harness.send("safe", caller_timeout=1.5)
        assert harness.sink.status == 503
        assert not waits

    async def test_request_waits_for_a_timely_turn(self) -> None:
        """Guards against refusing what can be answered in time a moment later."""
        harness = Harness(FakeReply([b"ok"]))
        harness.exhaust_limits(0, 1, 2, turn=0.05)
        sending = asyncio.create_task(harness.send("safe"))
        await asyncio.sleep(0.05)
        harness.denied.clear()
        for number in range(3):
            state = harness.endpoints.get(AgentId(f"{PLAIN}-{number}"))
            assert state is not None
            state.denial = NO_DENIAL
        await sending
        assert harness.sink.status == 200

    async def test_urgent_request_retries_where_a_less_urgent_one_was_denied(self) -> None:
        """Guards against alarms that wait out the pause of a report."""
        harness = Harness(FakeReply([b"ok"]))
        harness.exhaust_limits(0, 1, 2)
        await harness.send("safe")
        harness.denied.clear()
        harness.sink = FakeSink()
        await harness.send("alarm")
        assert harness.sink.status == 200

    async def test_denied_urgent_request_is_refused(self) -> None:
        """Guards against urgent requests that request grants without end."""
        harness = Harness()
        harness.exhaust_limits(0, 1, 2)
        await harness.send("safe")
        harness.sink = FakeSink()
        await harness.send("alarm")
        assert harness.sink.status == 503
        assert [rank for _, rank in harness.grant_requests].count(0) == 3

    async def test_ended_limits_admit_requests_at_once(self) -> None:
        """Guards against endpoints that stay excluded after their limit has ended."""
        harness = Harness(FakeReply([b"ok"]))
        harness.exhaust_limits(0, 1, 2)
        await harness.send("safe")
        harness.denied.clear()
        harness.sink = FakeSink()
        state = harness.endpoints.get(AgentId(f"{PLAIN}-1"))
        assert state is not None
        for _ in range(ANSWERS_TO_CLEAR_LIMIT):
            harness.endpoints.record_limit(state, None, limit_known=True)
        await harness.send("safe")
        assert harness.sink.status == 200

    async def test_restarted_endpoint_is_not_limited(self) -> None:
        """Guards against a limit that outlives the incarnation that named it."""
        harness = Harness(FakeReply([b"ok"]))
        harness.exhaust_limits(0, 1, 2)
        await harness.send("safe")
        harness.denied.clear()
        harness.sink = FakeSink()
        again = Endpoint(AgentId(f"{PLAIN}-0"), PLAIN, "a0:1", PLACE, REGION, 4, born=5)
        harness.endpoints.update([again], trusted=True)
        state = harness.endpoints.get(again.agent_id)
        assert state is not None
        assert harness.endpoints.find_rate_limit(state) is None
        await harness.send("safe")
        assert harness.sink.status == 200


class TestWholeAnswers:
    """Tests of answers that are forwarded whole."""

    async def test_answer_is_forwarded(self) -> None:
        """Status, headers and body are the endpoint's, and the connection is kept."""
        reply = FakeReply([b"o", b"k"], status=201)
        harness = Harness(reply)
        assert isinstance(await harness.send("once"), Done)
        assert (harness.sink.status, harness.sink.body) == (201, b"ok")
        assert reply.closed[0] is True
        assert harness.attempts[0].organisation == "org"

    @pytest.mark.parametrize("rule", ["once", "unsafe"])
    @pytest.mark.parametrize("bad", ["lost", "foreign", "cut"])
    async def test_unsafe_request_is_never_repeated(self, bad: str, rule: str) -> None:
        """The caller gets 502, since the request may have run.

        This holds also where the rule allows two endpoints: the second is for requests that the
        first one rejected.
        """
        outcomes = {
            "lost": Lost("reset"),
            "foreign": FakeReply([b"x"], genuine=False),
            "cut": FakeReply([b"x", ReplyBrokenError("cut")]),
        }
        harness = Harness(outcomes[bad], FakeReply([b"second"]))
        assert isinstance(await harness.send(rule), Unknown)
        assert harness.sink.status == 502
        assert len(harness.attempts) == 1

    async def test_rejected_unsafe_request_is_reported_as_not_run(self) -> None:
        """The endpoint's own rejection allows 503, with a time to come back."""
        harness = Harness(Rejected("full", misdirected=False))
        assert isinstance(await harness.send("once"), NotRun)
        assert harness.sink.status == 503
        assert "Retry-After" in harness.sink.headers

    async def test_unsent_unsafe_request_is_sent_elsewhere(self) -> None:
        """A connection that was never established proves that nothing ran."""
        harness = Harness(NotSent("refused"), FakeReply([b"ok"]))
        assert isinstance(await harness.send("once"), Done)
        assert harness.attempts[0].endpoint != harness.attempts[1].endpoint

    @pytest.mark.parametrize("bad", ["lost", "foreign", "cut", "failed"])
    async def test_safe_request_is_repeated_at_another_endpoint(self, bad: str) -> None:
        """An invalid, lost or failed answer is not visible to the caller of a safe request."""
        outcomes = {
            "lost": Lost("reset"),
            "foreign": FakeReply([b"x"], genuine=False),
            "cut": FakeReply([b"x", ReplyBrokenError("cut")]),
            "failed": FakeReply([b"sorry"], status=500),
        }
        harness = Harness(outcomes[bad], FakeReply([b"ok"]))
        assert isinstance(await harness.send("safe"), Done)
        assert (harness.sink.status, harness.sink.body) == (200, b"ok")
        assert harness.attempts[0].endpoint != harness.attempts[1].endpoint

    async def test_attempts_are_limited(self) -> None:
        """A rule's maximum of endpoints also holds when all lose the request."""
        harness = Harness(Lost("reset"), Lost("reset"), FakeReply([b"ok"]))
        await harness.send("safe")
        assert harness.sink.status == 502
        assert len(harness.attempts) == 2

    async def test_empty_retry_budget_allows_no_retry(self) -> None:
        """Guards against retry storms when every request fails.

        Without slack an account begins with one retry, and three requests deposit less than
        another.
        """
        harness = Harness(*[Lost("reset")] * 4, slack=0.0)
        for _ in range(3):
            harness.sink = FakeSink()
            await harness.send("safe")
        assert len(harness.attempts) == 4

    async def test_silent_endpoint_leaves_time_for_another(self) -> None:
        """Guards against waiting for a silent endpoint until the caller times out.

        The first endpoint takes the request and never answers.
        """
        harness = Harness(5.0, FakeReply([b"ok"]))
        rule = make_rule("safe", RuleKind.SAFE, PLAIN, latency_objective=0.02)
        harness.forwarder.table = RoutingTable(
            Revision(2), (rule,), TABLE.services, CallerLimits(), TABLE.callers, keyed=True
        )
        assert isinstance(await harness.send("safe"), Done)

    async def test_silent_unsafe_request_ends_at_its_deadline(self) -> None:
        """Retrying is not allowed: the caller gets 504 at its deadline, and not later."""
        harness = Harness(5.0)
        await harness.send("once", caller_timeout=0.2)
        assert harness.sink.status == 504
        assert len(harness.attempts) == 1

    async def test_attempt_timeouts_decrease(self) -> None:
        """The endpoint never gets more time than the caller still waits."""
        harness = Harness(Lost("reset"), FakeReply([b"ok"]))
        await harness.send("safe", caller_timeout=0.5)
        assert harness.attempts[1].left < harness.attempts[0].left <= 0.5


class TestCrashingSegments:
    """Tests of requests with a prompt segment that crashes engines."""

    SEGMENTS = frozenset({SegmentId("bad")})

    @staticmethod
    def _crash(harness: Harness, count: int) -> None:
        """Let engines crash, one a second, under the segment at other nodes."""
        for number in range(count):
            workload = Workload(ContentId(f"c{number}"), TestCrashingSegments.SEGMENTS)
            at = read_clock() - count + number
            harness.crashes.segments.record(
                IncarnationId(f"other{number}"), at, [workload], CrashSource.PEER
            )

    async def test_quarantined_segment_is_refused_at_once(self) -> None:
        """The caller learns why, and when a request is next let through."""
        harness = Harness()
        self._crash(harness, 3)
        await harness.send("stream", segments=self.SEGMENTS)
        assert harness.sink.status == 503
        assert b"3 endpoints fell under prompt segment bad" in harness.sink.body
        assert 50.0 < float(harness.sink.headers["Retry-After"]) <= 60.0
        assert not harness.attempts

    async def test_request_that_waits_at_an_engine_is_cancelled(self) -> None:
        """Guards against requests that crash engines although the fleet knows better."""
        harness = Harness(5.0)
        started = read_clock()
        sending = asyncio.create_task(harness.send("fixed", segments=self.SEGMENTS))
        await asyncio.sleep(0.01)
        self._crash(harness, 3)
        outcome = await sending
        assert isinstance(outcome, Unknown)
        assert outcome.step == "hold"
        assert read_clock() - started < 0.5
        assert harness.sink.status == 502

    async def test_suspect_gets_no_second_try(self) -> None:
        """Guards against a request that crashes two engines where one shows as much."""
        harness = Harness(Lost("reset"), FakeReply([_events(0)], is_stream=True))
        self._crash(harness, 1)
        harness.liveness = Liveness.REFUSED
        outcome = await harness.send("stream", segments=self.SEGMENTS)
        assert isinstance(outcome, Unknown)
        assert len(harness.attempts) == 1

    @pytest.mark.parametrize("crashed", ["a0:1", "a1:1"])
    async def test_engine_of_a_chain_is_told_from_the_others(self, crashed: str) -> None:
        """Guards against blaming no engine of a chain, or all of them, for the crash of one."""

        async def probe(address: str) -> Liveness:
            return Liveness.REFUSED if address == crashed else Liveness.REACHABLE

        harness = Harness(Lost("reset"))
        harness.forwarder._detector._probe = probe
        harness.set_spans({0: LayerSpan(0, 8), 1: LayerSpan(8, 16), 2: LayerSpan(0, 0)})
        await harness.send("fixed", segments=self.SEGMENTS)
        await asyncio.sleep(0.01)
        (incarnation,) = harness.crashes.segments.list_changes(0)
        assert len(harness.attempts[0].chain) > 1
        assert any(
            each.endpoint.incarnation == incarnation
            for each in harness.endpoints.find_by_address(crashed)
        )

    async def test_lost_connection_makes_no_suspect(self) -> None:
        """Guards against giving up requests of which only the connection broke."""
        harness = Harness(Lost("reset"), FakeReply([_events(0)], is_stream=True))
        self._crash(harness, 1)
        assert isinstance(await harness.send("stream", segments=self.SEGMENTS), Done)

    async def test_request_of_a_first_crash_is_tried_again(self) -> None:
        """Guards against giving up victims whose segments this node has not seen answered yet."""
        harness = Harness(Lost("reset"), FakeReply([_events(0)], is_stream=True))
        harness.liveness = Liveness.REFUSED
        assert isinstance(await harness.send("stream", segments=self.SEGMENTS), Done)

    async def test_victim_is_tried_again(self) -> None:
        """Guards against giving up requests whose segments are answered elsewhere."""
        harness = Harness(Lost("reset"), FakeReply([_events(0)], is_stream=True))
        harness.liveness = Liveness.REFUSED
        workload = Workload(ContentId("earlier"), self.SEGMENTS)
        self._crash(harness, 1)
        harness.guard.record_answer(workload, [], read_clock() - 10.0, 200)
        await asyncio.sleep(ANSWER_DELAY_SECONDS)
        assert isinstance(await harness.send("stream", segments=self.SEGMENTS), Done)


class TestAnswersWithoutLength:
    """Tests of answers that end with their connection."""

    async def test_stream_of_a_live_endpoint_is_complete(self) -> None:
        """Guards against failing streams that state no length."""
        harness = Harness(FakeReply([_events(0, 1)], is_stream=True, framed=False))
        assert isinstance(await harness.send("stream"), Done)
        assert harness.sink.body == _events(0, 1)
        assert harness.sink.ended

    async def test_stream_that_ends_with_its_endpoint_is_resumed(self) -> None:
        """Guards against a truncated stream that is passed on as complete."""
        first = FakeReply([_events(0)], is_stream=True, framed=False)
        harness = Harness(first, FakeReply([_events(1)], is_stream=True))
        harness.liveness = Liveness.REFUSED
        assert isinstance(await harness.send("stream"), Done)
        assert harness.sink.body == _events(0, 1)
        assert harness.attempts[1].last_event == 0

    async def test_stream_that_cannot_be_resumed_is_aborted_with_its_endpoint(self) -> None:
        """The caller must not take what it has for the whole stream."""
        harness = Harness(FakeReply([_events(0)], is_stream=True, framed=False))
        harness.liveness = Liveness.REFUSED
        await harness.send("fixed")
        assert harness.sink.aborted
        assert not harness.sink.ended

    async def test_whole_answer_that_ends_with_its_endpoint_is_given_by_another(self) -> None:
        """Guards against part of a body that is passed on as the whole."""
        harness = Harness(FakeReply([b"par"], framed=False), FakeReply([b"whole"]))
        harness.liveness = Liveness.REFUSED
        await harness.send("safe")
        assert harness.sink.body == b"whole"

    async def test_last_answer_of_an_endpoint_that_drains_is_complete(self) -> None:
        """Guards against failing the answers of an endpoint that is leaving and still serves."""
        notice = EndpointNotice(leaving=True)
        harness = Harness(FakeReply([b"last"], framed=False, notice=notice))
        await harness.send("safe")
        assert harness.sink.body == b"last"
        assert len(harness.attempts) == 1

    async def test_whole_answer_that_ends_with_a_leaving_endpoint_is_given_by_another(self) -> None:
        """Guards against part of a body that looks whole after a crash during a drain."""
        notice = EndpointNotice(leaving=True)
        harness = Harness(FakeReply([b"par"], framed=False, notice=notice), FakeReply([b"whole"]))
        harness.liveness = Liveness.REFUSED
        await harness.send("safe")
        assert harness.sink.body == b"whole"

    async def test_stream_that_ends_with_a_leaving_endpoint_is_resumed(self) -> None:
        """Guards against a stream that looks complete after a crash during a drain."""
        notice = EndpointNotice(leaving=True)
        first = FakeReply([_events(0)], is_stream=True, framed=False, notice=notice)
        harness = Harness(first, FakeReply([_events(1)], is_stream=True))
        harness.liveness = Liveness.REFUSED
        assert isinstance(await harness.send("stream"), Done)
        assert harness.sink.body == _events(0, 1)
        assert harness.attempts[1].last_event == 0

    async def test_complete_stream_of_an_endpoint_that_has_left_is_confirmed(self) -> None:
        """Guards against failing a stream whose endpoint ended right after its last event."""
        notice = EndpointNotice(leaving=True)
        first = FakeReply([_events(0, 1)], is_stream=True, framed=False, notice=notice)
        harness = Harness(first, FakeReply([], is_stream=True))
        harness.liveness = Liveness.REFUSED
        assert isinstance(await harness.send("stream"), Done)
        assert harness.sink.body == _events(0, 1)
        assert harness.sink.ended

    async def test_unlisted_endpoint_that_ends_with_its_answer_has_ended(self) -> None:
        """Guards against truncated answers of an endpoint that drains without saying so."""
        harness = Harness()
        state = harness.endpoints.get(AgentId(f"{PLAIN}-0"))
        assert state is not None
        harness.set_plain_endpoints(1)
        detector = harness.forwarder._detector
        assert not await detector.has_ended(state)
        harness.liveness = Liveness.REFUSED
        assert await detector.has_ended(state)

    async def test_connection_is_not_taken_for_reusable(self) -> None:
        """Guards against predictions that count on a connection which has ended."""
        harness = Harness(FakeReply([b"ok"], framed=False))
        await harness.send("safe")
        state = harness.endpoints.get(harness.attempts[0].endpoint.agent_id)
        assert state is not None
        assert not state.has_idle_connection(read_clock())


class TestStreams:
    """Tests of event streams."""

    async def test_stream_is_forwarded(self) -> None:
        """Events reach the caller as they come, and the stream ends as complete."""
        harness = Harness(FakeReply([_events(0, 1), _events(2)], is_stream=True))
        assert isinstance(await harness.send("stream"), Done)
        assert harness.sink.body == _events(0, 1, 2)
        assert harness.sink.ended

    async def test_broken_stream_resumes_after_its_last_event(self) -> None:
        """The caller sees one continuous stream, with each event once.

        The first endpoint stops in the middle of event 2. The partial event is dropped, and the
        second endpoint resumes after event 1.
        """
        torn = _events(2)[:-4]
        harness = Harness(
            FakeReply([_events(0, 1) + torn, ReplyBrokenError("cut")], is_stream=True),
            FakeReply([_events(2, 3)], is_stream=True),
        )
        assert isinstance(await harness.send("stream"), Done)
        assert harness.sink.body == _events(0, 1, 2, 3)
        assert harness.attempts[1].last_event == 1

    async def test_stalled_stream_resumes_elsewhere(self) -> None:
        """A pause longer than allowed ends the attempt while another endpoint can resume."""
        harness = Harness(
            FakeReply([_events(0), 5.0], is_stream=True),
            FakeReply([_events(1)], is_stream=True),
        )
        assert isinstance(await harness.send("stream"), Done)
        assert harness.sink.body == _events(0, 1)

    @pytest.mark.parametrize("numbers", [(3,), (1,), (0, 2)])
    async def test_wrong_continuation_is_rejected(self, numbers: tuple[int, ...]) -> None:
        """A gap or a repeated event ends the stream as broken, not complete."""
        harness = Harness(
            FakeReply([_events(0, 1), ReplyBrokenError("cut")], is_stream=True),
            FakeReply([_events(*numbers)], is_stream=True),
        )
        await harness.send("stream")
        assert harness.sink.body == _events(0, 1)
        assert harness.sink.aborted
        assert not harness.sink.ended

    async def test_stream_that_cannot_resume_elsewhere_is_aborted(self) -> None:
        """Guards against a second answer or "not run" after a stream has begun.

        The stream breaks, the engine that should resume it refuses, and no further attempt is
        allowed. The caller has a head and an event, so the connection is aborted and can't be taken
        for complete.
        """
        harness = Harness(
            FakeReply([_events(0), ReplyBrokenError("cut")], is_stream=True),
            Rejected("status 503", misdirected=False),
        )
        outcome = await harness.send("stream")
        assert isinstance(outcome, Unknown)
        assert harness.sink.aborted and not harness.sink.ended

    async def test_error_response_is_not_appended_to_a_begun_stream(self) -> None:
        """Guards against the body of an error response behind the events of a stream.

        The stream breaks, another engine answers the resumed request with 500, and no further
        attempt is allowed. The connection is aborted and can't be taken for complete.
        """
        harness = Harness(
            FakeReply([_events(0), ReplyBrokenError("cut")], is_stream=True),
            FakeReply([b"failed"], status=500),
        )
        outcome = await harness.send("stream")
        assert isinstance(outcome, Unknown)
        assert harness.sink.aborted and not harness.sink.ended
        assert harness.sink.status == 200

    def test_begun_answer_is_never_reported_as_not_run(self) -> None:
        """A caller with part of an answer is never told that nothing ran.

        A refusal would be written behind the head and the events that it has.
        """
        rule = TABLE.rules[4]
        service = TABLE.services[ENGINES]
        progress = RequestProgress(
            cast(CallerRequest, None), rule, service, None, 1, 0.0, ContentId("")
        )
        progress.stream.begun = True
        refused = Refused("no room", 1)
        assert isinstance(give_up(progress, "place", refused, Random(1)), Unknown)

    async def test_non_resumable_stream_is_aborted(self) -> None:
        """The caller sees a broken connection, and nothing is sent a second time."""
        harness = Harness(FakeReply([_events(0), ReplyBrokenError("cut")], is_stream=True))
        await harness.send("fixed")
        assert harness.sink.aborted
        assert len(harness.attempts) == 1

    async def test_stream_ending_in_a_partial_event_is_aborted(self) -> None:
        """An endpoint that closes the connection within an event has not ended its stream."""
        harness = Harness(FakeReply([_events(0), b"id: 1\nda"], is_stream=True))
        await harness.send("fixed")
        assert harness.sink.aborted

    async def test_stream_ends_at_the_deadline(self) -> None:
        """A stream that still runs at the deadline is cut and its work ended."""
        reply = FakeReply([_events(0), 5.0], is_stream=True)
        harness = Harness(reply)
        await harness.send("fixed", caller_timeout=0.2)
        assert harness.sink.aborted
        assert reply.closed == [False]

    async def test_attempt_without_a_first_event_is_retried_elsewhere(self) -> None:
        """Nothing is sent to the caller before the first event, so another endpoint may answer."""
        harness = Harness(
            FakeReply([ReplyBrokenError("cut")], is_stream=True),
            FakeReply([_events(0)], is_stream=True),
        )
        assert isinstance(await harness.send("stream"), Done)
        assert harness.sink.body == _events(0)


class TestFailedConnections:
    """Tests of streams whose endpoint can't be reached."""

    async def test_slow_connect_failure_is_not_treated_as_overload(self) -> None:
        """Guards against refusing a request whose failed connection used up the objective.

        The connection attempt takes longer than the whole objective; the other endpoints are idle.
        """

        def fail_late() -> NotSent:
            time.sleep(0.25)
            return NotSent("timeout")

        harness = Harness(fail_late, FakeReply([_events(0)], is_stream=True))
        assert isinstance(await harness.send("stream"), Done)

    async def test_endpoint_is_found_behind_many_that_refuse_connections(self) -> None:
        """Guards against a refusal while an endpoint serves: each node finds the fallen itself."""
        harness = Harness(*[NotSent("refused")] * 6, FakeReply([b"ok"]))
        harness.set_plain_endpoints(8)
        assert isinstance(await harness.send("once"), Done)
        assert len({each.endpoint.agent_id for each in harness.attempts}) == 7

    async def test_time_spent_on_failed_connections_is_bounded(self) -> None:
        """Guards against a caller that waits until its deadline for endpoints that don't answer."""

        def time_out() -> NotSent:
            time.sleep(0.25)
            return NotSent("timeout")

        harness = Harness(*[time_out] * 8)
        harness.set_plain_endpoints(8)
        outcome = await harness.send("once", caller_timeout=30.0)
        assert isinstance(outcome, NotRun)
        assert len(harness.attempts) <= 4


class TestVersions:
    """Tests of requests while weights change."""

    async def test_due_version_excludes_older_endpoints(self) -> None:
        """A version is due and no endpoint has it: the caller is told at once to come back."""
        harness = Harness()
        harness.gate.announce_version(MODEL, WantedVersion(2, read_clock() - 8.0))
        outcome = await harness.send("stream")
        assert isinstance(outcome, NotRun)
        assert not harness.attempts

    async def test_waiting_request_is_cancelled_before_a_version_is_due(self) -> None:
        """A request waits at a slow endpoint until the version there is past its deadline.

        Its connection is closed earlier, so that the endpoint drops it and never begins. The caller
        has not timed out then, so it gets 502 and not 504.
        """
        reply = FakeReply([5.0], is_stream=True)
        harness = Harness(reply)
        harness.gate.announce_version(MODEL, WantedVersion(2, read_clock() - 7.1))
        await harness.send("fixed", caller_timeout=3.0)
        assert reply.closed == [False]
        assert harness.sink.status == 502

    async def test_version_deadline_is_not_counted_as_an_engine_failure(self) -> None:
        """Guards against counting a request that missed a version's deadline as an engine failure.

        Counted as failures, such requests excluded all engines for 1.5 s and longer after each
        swap, and callers were refused while engines were idle.
        """
        harness = Harness(5.0)
        harness.gate.announce_version(MODEL, WantedVersion(2, read_clock() - 7.4))
        await harness.send("fixed", caller_timeout=5.0)
        states = harness.endpoints.of_service(ENGINES)
        assert not any(state.failures for state in states)

    async def test_later_version_does_not_postpone_an_earlier_deadline(self) -> None:
        """Version 3 is announced two seconds after 2; the deadline of version 2 stays.

        With one deadline for the newest version only, requests began on version 1 long after 2 was
        due.
        """
        harness = Harness()
        harness.gate.announce_version(MODEL, WantedVersion(2, read_clock() - 7.5))
        harness.gate.announce_version(MODEL, WantedVersion(3, read_clock() - 5.5))
        service = TABLE.services[ENGINES]
        assert harness.gate.find_required_version(service, read_clock()) == 2


class TestChains:
    """Tests of requests that go through several engines."""

    async def test_refusal_excludes_only_the_engine_at_fault(self) -> None:
        """The second engine of a chain has just dropped its layers, and the first reports it.

        The caller is answered by a chain of the first with another; only the engine at fault is
        excluded.
        """
        harness = Harness(
            lambda: Rejected("status 421", misdirected=True, address=_last_address(harness)),
            FakeReply([b"ok"]),
        )
        harness.set_spans({0: LayerSpan(0, 8), 1: LayerSpan(8, 16), 2: LayerSpan(8, 16)})
        assert isinstance(await harness.send("stream"), Done)
        first, second = (
            [each.state.endpoint.agent_id for each in attempt.chain] for attempt in harness.attempts
        )
        assert first[0] == second[0] == "engines-0"
        assert {first[1], second[1]} == {"engines-1", "engines-2"}
        assert [attempt.version for attempt in harness.attempts] == [1, 1]


def _last_address(harness: Harness) -> str:
    return harness.attempts[-1].chain[-1].state.endpoint.address


class TestQuarantinedContent:
    """Tests of requests whose content crashes the endpoints that begin it.

    Such a request is repeated under new ids, and each node tries each repeat twice, so that streams
    of other callers break and requests are refused while engines restart. After the third crash, as
    observed by any node, repeats are answered without being sent.
    """

    def _crash(self, harness: Harness, *names: str, age: float = 0.0) -> ContentId:
        content = identify_content(OrganisationName("org"), "/safe/x", b"")
        for name in names:
            crash = Crash(read_clock() - age)
            harness.crashes.record(content, IncarnationId(name), crash, CrashSource.PEER)
        return content

    async def test_repeat_is_refused_at_once_as_not_run(self) -> None:
        """The caller learns the time of the next probe; other requests are not affected."""
        harness = Harness(FakeReply([b"other"]))
        self._crash(harness, "a", "b", "c")
        outcome = await harness.send("safe")
        assert isinstance(outcome, NotRun)
        assert (harness.sink.status, harness.attempts) == (503, [])
        assert harness.sink.body.startswith(b"hold: 3 endpoints fell under this request")
        assert 55.0 < float(harness.sink.headers["Retry-After"]) <= 60.0
        harness.sink = FakeSink()
        await harness.send("safe", body=b"x", body_digest=b"x")
        assert harness.sink.body == b"other"

    async def test_request_that_may_have_run_is_not_reported_as_not_run(self) -> None:
        """Its own first attempt was the third crash: 502 at once, without a retry."""
        harness = Harness()
        content = self._crash(harness, "a", "b")

        def crash() -> Lost:
            crash = Crash(read_clock())
            harness.crashes.record(content, IncarnationId("c"), crash, CrashSource.OWN)
            return Lost("reset")

        harness.outcomes = [crash]
        assert isinstance(await harness.send("safe"), Unknown)
        assert harness.sink.status == 502
        assert len(harness.attempts) == 1

    async def test_crash_update_stops_a_waiting_repeat(self) -> None:
        """Guards against sending a request that was admitted before the third crash."""
        harness = Harness(FakeReply([b"ok"]))
        rule = make_rule("safe", RuleKind.SAFE, PLAIN, latency_objective=4.0, timeout=4.0)
        harness.forwarder.table = replace(TABLE, rules=(rule,))
        for state in harness.endpoints.of_service(PLAIN):
            harness.endpoints.record_full(state, read_clock())
        sending = asyncio.create_task(harness.send("safe", caller_timeout=4.0))
        await asyncio.sleep(0.02)
        self._crash(harness, "a", "b", "c")
        outcome = await sending
        assert isinstance(outcome, NotRun)
        assert outcome.step == "hold"
        assert not harness.attempts

    async def test_lost_answers_of_failed_endpoints_are_counted(self) -> None:
        """Three endpoints fail one after the other, each with a single request in progress."""
        harness = Harness(*[Lost("reset")] * 3)
        harness.liveness = Liveness.REFUSED
        listed = [each.endpoint for each in harness.endpoints.of_service(PLAIN)]
        for endpoint in listed:
            harness.endpoints.update([endpoint], trusted=True)
            harness.sink = FakeSink()
            assert isinstance(await harness.send("safe", caller_timeout=0.2), Unknown)
            await asyncio.sleep(0.01)
        harness.endpoints.update([replace(listed[0], agent_id=AgentId("new"))], trusted=True)
        harness.sink = FakeSink()
        assert isinstance(await harness.send("safe"), NotRun)
        assert len(harness.attempts) == 3

    async def test_reset_connections_cause_no_quarantine(self) -> None:
        """The endpoints answer a probe: they lost connections and did not fail."""
        harness = Harness(*[Lost("reset")] * 6, FakeReply([b"ok"]))
        for _ in range(3):
            harness.sink = FakeSink()
            await harness.send("safe")
            await asyncio.sleep(0.01)
        harness.sink = FakeSink()
        await harness.send("safe")
        assert harness.sink.status == 200

    async def test_successful_probe_ends_the_quarantine(self) -> None:
        """A content quarantined by mistake is detected by one request a minute."""
        harness = Harness(FakeReply([b"ok"]), FakeReply([b"ok"]))
        self._crash(harness, "a", "b", "c", age=61.0)
        harness.store.grants = True
        await harness.send("safe")
        assert harness.sink.status == 200
        harness.sink = FakeSink()
        await harness.send("safe")
        assert harness.sink.status == 200
        assert harness.store.claims == 1

    async def test_error_response_to_a_probe_is_forwarded(self) -> None:
        """The endpoint answered 500 and is alive; no retry is due."""
        harness = Harness(FakeReply([b"no"], status=500))
        self._crash(harness, "a", "b", "c", age=61.0)
        harness.store.grants = True
        await harness.send("safe")
        assert (harness.sink.status, harness.sink.body) == (500, b"no")

    async def test_lost_probe_is_not_retried(self) -> None:
        """Guards against a probe that costs two engines."""
        harness = Harness(Lost("reset"))
        self._crash(harness, "a", "b", "c", age=61.0)
        harness.store.grants = True
        assert isinstance(await harness.send("safe"), Unknown)
        assert len(harness.attempts) == 1
        harness.sink = FakeSink()
        assert isinstance(await harness.send("safe"), NotRun)

    async def test_stream_cut_short_by_a_crash_counts(self) -> None:
        """The engine fails after the first event, and the resumed stream fails too."""
        harness = Harness(
            FakeReply([_events(0), ReplyBrokenError("reset")], is_stream=True),
            FakeReply([_events(1), ReplyBrokenError("reset")], is_stream=True),
        )
        harness.liveness = Liveness.REFUSED
        await harness.send("stream")
        await asyncio.sleep(0.01)
        content = identify_content(OrganisationName("org"), "/stream/x", b"")
        assert len(harness.crashes.list_crash_times(content)) == 2

    async def test_crash_of_a_later_engine_in_a_chain_counts(self) -> None:
        """The first engine reports a failure of the second; the request went through both."""
        harness = Harness(
            Rejected("status 503", False, address="a1:1"), Rejected("status 503", False)
        )
        harness.set_spans({0: LayerSpan(0, 8), 1: LayerSpan(8, 16), 2: LayerSpan(0, 0)})
        harness.liveness = Liveness.REFUSED
        await harness.send("stream")
        await asyncio.sleep(0.01)
        content = identify_content(OrganisationName("org"), "/stream/x", b"")
        assert len(harness.crashes.list_crash_times(content)) >= 1

    async def test_request_at_an_unreachable_endpoint_is_counted_before_its_deadline(self) -> None:
        """The endpoint crashes silently; the next caller's connection there fails."""
        harness = Harness(0.5, NotSent("refused"))
        harness.liveness = Liveness.REFUSED
        endpoint = harness.endpoints.of_service(PLAIN)[0].endpoint
        harness.endpoints.update([endpoint], trusted=True)
        waiting = asyncio.create_task(harness.send("once"))
        await asyncio.sleep(0.01)
        first, harness.sink = harness.sink, FakeSink()
        await harness.send("once", body_digest=b"other", caller_timeout=0.4)
        await asyncio.sleep(0.01)
        assert not waiting.done()
        content = identify_content(OrganisationName("org"), "/once/x", b"")
        assert len(harness.crashes.list_crash_times(content)) == 1
        await waiting
        assert first.status == 502

    async def test_bad_gateway_from_a_chain_checks_all_its_engines(self) -> None:
        """The first engine of a chain got no answer from the second and answers 502 for it."""
        harness = Harness(FakeReply([b"no"], status=502), FakeReply([b"no"], status=502))
        harness.set_spans({0: LayerSpan(0, 8), 1: LayerSpan(8, 16), 2: LayerSpan(0, 0)})
        harness.liveness = Liveness.REFUSED
        await harness.send("fixed")
        (attempt,) = harness.attempts
        assert len(attempt.chain) > 1
        await asyncio.sleep(0.01)
        content = identify_content(OrganisationName("org"), "/fixed/x", b"")
        assert len(harness.crashes.list_crash_times(content)) == len(attempt.chain)

    async def test_unsent_probe_is_retried_elsewhere(self) -> None:
        """Nothing has reached an endpoint yet; another one may take it."""
        harness = Harness(NotSent("refused"), FakeReply([b"ok"]))
        self._crash(harness, "a", "b", "c", age=61.0)
        harness.store.grants = True
        await harness.send("safe")
        assert harness.sink.status == 200
