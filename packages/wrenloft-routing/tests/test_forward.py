"""Tests of one request's way through refusals, losses and repeats."""

import asyncio
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
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
    ServiceName,
    Unknown,
    read_clock,
)
from wrenloft_policy import (
    ANSWERS_TO_END,
    Crash,
    EngineProfile,
    LayerSpan,
    NamedLimit,
    WantedVersion,
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
    CurrencyProof,
    Denial,
    Endpoint,
    Endpoints,
    EndpointState,
    EngineReport,
    FailureDetector,
    Forwarder,
    Gate,
    Headers,
    Liveness,
    Lost,
    NotSent,
    Refused,
    Rejected,
    ReplyBrokenError,
    RoutingTable,
    Rule,
    RuleKind,
    SharedBudget,
    Target,
    identify_content,
)
from wrenloft_routing._endings import give_up
from wrenloft_routing._gate import MOST_DENIALS, PlacementRequest
from wrenloft_routing._gate import _wait as wait_for_room
from wrenloft_routing._request_progress import RequestProgress

PLACE = PlaceName("p")
REGION = RegionName("r")
PLAIN = ServiceName("plain")
ENGINES = ServiceName("engines")
MODEL = ModelName("m")
PROFILE = EngineProfile(16, 5, 0.009, 0.00004, 19100.0, 2048, 977, 94)


@dataclass
class FakeReply:
    """An answer made of parts; an exception among them is raised there."""

    parts: list[bytes | Exception | float]
    status: int = 200
    headers: Headers = (("X-Stamp", "s"),)
    load: tuple[int, int, int] | None = None
    named_limit: NamedLimit | None = None
    genuine: bool = True
    is_stream: bool = False
    leaving: bool = False
    closed: list[bool] = field(default_factory=list)

    async def read_whole(self) -> bytes:
        data = b""
        while part := await self.read_some():
            data += part
        return data

    async def read_some(self) -> bytes:
        if not self.parts:
            return b""
        part = self.parts.pop(0)
        if isinstance(part, Exception):
            raise part
        if isinstance(part, float):
            await asyncio.sleep(part)
            return await self.read_some()
        return part

    async def close(self, *, reusable: bool) -> None:
        self.closed.append(reusable)


@dataclass
class FakeSink:
    """A caller's connection."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    ended: bool = False
    aborted: bool = False

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        await self.begin(status, headers)
        self.body = body
        self.ended = True

    async def begin(self, status: int, headers: Headers) -> None:
        assert not self.status, "a second answer was begun"
        self.status = status
        self.headers = dict(headers)

    async def write(self, data: bytes) -> None:
        self.body += data

    async def end(self) -> None:
        self.ended = True

    def abort(self) -> None:
        self.aborted = True


@dataclass
class FakeKeeper:
    """Grants or refuses trials as a test says.

    :param kept: what was to be kept and dropped, in order.
    """

    grants: bool = False
    claims: int = 0
    kept: list[tuple[str, ContentId]] = field(default_factory=list)

    def keep(self, content: ContentId, crashes: Any) -> None:
        self.kept.append(("keep", content))

    def drop(self, content: ContentId) -> None:
        self.kept.append(("drop", content))

    async def claim(self, content: ContentId, seconds: float) -> bool:
        self.claims += 1
        return self.grants


def _rule(name: str, kind: RuleKind, service: ServiceName, **changes: Any) -> Rule:
    fields: dict[str, Any] = {
        "name": name,
        "host": "h",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout": 0.8,
        "aim": 0.2,
        "rank": 1,
        "targets": (Target(service, 1.0),),
        "max_attempts": 2,
    }
    return Rule(**{**fields, **changes})


TABLE = RoutingTable(
    revision=Revision(1),
    rules=(
        _rule("safe", RuleKind.SAFE, PLAIN),
        _rule("once", RuleKind.UNSAFE, PLAIN, max_attempts=1),
        _rule("unsafe", RuleKind.UNSAFE, PLAIN),
        _rule("public", RuleKind.SAFE, PLAIN, public=True),
        _rule("stream", RuleKind.STREAM, ENGINES, resumable=True, gap_aim=0.05),
        _rule("fixed", RuleKind.STREAM, ENGINES),
        _rule("alarm", RuleKind.SAFE, PLAIN, rank=0),
    ),
    services={
        PLAIN: BackendService(PLAIN, 10),
        ENGINES: BackendService(ENGINES, 10, PROFILE, MODEL, layers=16),
    },
    limits=CallerLimits(),
    callers={"key": Caller(OrganisationName("org"))},
    keyed=True,
)


class Bench:
    """A forwarder whose attempts have the outcomes that a test lists."""

    def __init__(self, *outcomes: Any, slack: float = 100.0) -> None:
        self.outcomes = list(outcomes)
        self.asked: list[tuple[list[AgentId], int]] = []
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
        self.proof = CurrencyProof(5.0)
        self.proof.record(read_clock())
        budget = SharedBudget(0.2, slack, 10.0, 1)
        self.liveness = Liveness.REACHABLE
        self.crashes = CrashLedger()
        self.keeper = FakeKeeper()
        self.guard = CrashGuard(self.crashes, self.keeper)
        watch = FailureDetector(self.endpoints, self.guard.take_failure, self._probe)
        self.forwarder = Forwarder(
            self.endpoints,
            self.gate,
            budget,
            self.proof,
            self._open,
            Random(1),
            watch,
            self.guard,
        )
        self.forwarder._take_grants = self._take_grants
        self.forwarder.table = TABLE
        self.sink = FakeSink()

    async def _take_grants(self, states: Sequence[EndpointState], rank: int) -> bool:
        self.asked.append(([each.endpoint.agent_id for each in states], rank))
        now = read_clock()
        for state in states:
            if state.endpoint.agent_id in self.denied:
                self.endpoints.defer(state, Denial(rank, now + 60.0, now + self.turn))
                return False
        return True

    def limit(self, *numbers: int, turn: float = 60.0) -> None:
        """Have plain endpoints name a rate limit that is used up."""
        self.turn = turn
        for number in numbers:
            state = self.endpoints.get(AgentId(f"{PLAIN}-{number}"))
            assert state is not None
            self.endpoints.record_limit(state, NamedLimit(2.0, "2"), limit_known=False)
            self.denied.add(state.endpoint.agent_id)

    def set_spans(self, spans: dict[int, LayerSpan]) -> None:
        """Report which layers each engine serves."""
        for number, span in spans.items():
            report = EngineReport(0, 0, 1, False, 1.0, span)
            self.endpoints.record_report(f"a{number}:1", report, read_clock())

    async def _probe(self, address: str) -> Liveness:
        return self.liveness

    async def _open(self, attempt: Attempt) -> Any:
        self.attempts.append(attempt)
        outcome = self.outcomes.pop(0)
        if isinstance(outcome, float):
            await asyncio.sleep(outcome)
            return Lost("too late")
        return outcome() if isinstance(outcome, Callable) else outcome  # type: ignore[arg-type]

    async def ask(self, rule: str, **changes: Any) -> Any:
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
            "patience": 0.8,
            "prompt_tokens": 100.0,
            "last_event": None,
            "arrived": read_clock(),
        }
        return await self.forwarder.forward(CallerRequest(**{**fields, **changes}), self.sink)


def _events(*numbers: int) -> bytes:
    return b"".join(f"id: {n}\ndata: x\n\n".encode() for n in numbers)


class TestAdmission:
    """Tests of what the configuration decides."""

    @pytest.mark.parametrize(
        ("rule", "key", "status"), [("none", "key", 404), ("safe", "old", 401), ("safe", None, 401)]
    )
    async def test_unknown_rule_and_key_are_refused(
        self, rule: str, key: str | None, status: int
    ) -> None:
        """The caller learns what is wrong, and nothing is sent."""
        bench = Bench()
        await bench.ask(rule, key=key)
        assert bench.sink.status == status
        assert not bench.attempts

    async def test_without_configuration_nothing_is_denied(self) -> None:
        """A node that has just started knows no rule; 404 would deny what is allowed."""
        bench = Bench()
        bench.forwarder.table = None
        await bench.ask("safe")
        assert bench.sink.status == 503
        assert float(bench.sink.headers["Retry-After"]) > 0

    async def test_old_proof_refuses_keys_but_serves_public_rules(self) -> None:
        """A key may have been taken away unseen; who needs no key is served all the same.

        The store has turned this node away for longer than keys may outlive their removal.
        """
        bench = Bench(FakeReply([b"ok"]))
        bench.forwarder._proof = CurrencyProof(5.0)
        bench.forwarder._proof.record(read_clock() - 4.9)
        await bench.ask("safe")
        assert bench.sink.status == 503
        bench.sink = FakeSink()
        await bench.ask("public", key=None)
        assert (bench.sink.status, bench.sink.body) == (200, b"ok")


@pytest.fixture
def waits(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    """Note each wait for room, by the service that it is for."""
    noted: list[str] = []

    async def wait(changed: asyncio.Event, request: PlacementRequest) -> None:
        noted.append(request.service.name)
        await wait_for_room(changed, request)

    monkeypatch.setattr("wrenloft_routing._gate._wait", wait)
    return noted


class TestRateLimits:
    """Tests of requests to endpoints that name a rate limit."""

    async def test_every_try_asks_for_a_grant(self) -> None:
        """Guards against second tries that pass by the limit."""
        bench = Bench(Lost("reset"), FakeReply([b"ok"]))
        await bench.ask("safe")
        assert len(bench.attempts) == len(bench.asked) == 2

    async def test_stream_that_goes_on_elsewhere_asks_for_a_grant(self) -> None:
        """Guards against resumed streams that pass by the limit."""
        broken = FakeReply([_events(0), ReplyBrokenError("cut")], is_stream=True)
        bench = Bench(broken, FakeReply([_events(1)], is_stream=True))
        await bench.ask("stream")
        assert len(bench.attempts) == len(bench.asked) == 2

    async def test_chain_asks_for_each_of_its_engines(self) -> None:
        """Guards against an engine in need that is reached behind another one."""
        bench = Bench(FakeReply([_events(0)], is_stream=True))
        bench.set_spans({0: LayerSpan(0, 8), 1: LayerSpan(8, 16), 2: LayerSpan(8, 8)})
        await bench.ask("stream")
        assert [len(states) for states, _ in bench.asked] == [2]

    async def test_request_goes_on_to_an_endpoint_with_room_at_once(self, waits: list[str]) -> None:
        """Guards against waiting for an endpoint in need while others are idle."""
        bench = Bench(*(FakeReply([b"ok"]) for _ in range(10)))
        bench.limit(0, 1)
        for _ in range(10):
            bench.sink = FakeSink()
            await bench.ask("safe")
        assert bench.sink.status == 200
        assert {each.endpoint.agent_id for each in bench.attempts} == {f"{PLAIN}-2"}
        assert len(bench.asked) <= 12  # each of the two is asked once
        assert not waits

    async def test_request_without_a_turn_is_refused_at_once(self, waits: list[str]) -> None:
        """Guards against callers that wait for what endpoints in need will never take."""
        bench = Bench()
        bench.limit(0, 1, 2)
        outcome = await bench.ask("safe")
        assert isinstance(outcome, NotRun)
        assert outcome.reason.startswith("rate limits leave room in")
        assert bench.sink.status == 503
        assert float(bench.sink.headers["Retry-After"]) > 0
        assert not waits

    async def test_request_asks_few_of_many_limited_endpoints(self) -> None:
        """Guards against callers that wait while their node asks every endpoint in turn."""
        bench = Bench()
        many = [
            Endpoint(AgentId(f"{PLAIN}-{n}"), PLAIN, f"a{n}:1", PLACE, REGION, 4) for n in range(40)
        ]
        bench.endpoints.update(many, trusted=True)
        bench.limit(*range(40))
        for rule in ("safe", "alarm"):
            bench.asked.clear()
            bench.sink = FakeSink()
            outcome = await bench.ask(rule)
            assert isinstance(outcome, NotRun)
            assert outcome.reason.startswith("rate limits leave room in")
            assert len(bench.asked) == MOST_DENIALS

    async def test_request_that_was_denied_goes_where_no_grant_is_needed(self) -> None:
        """Guards against refusing what an endpoint without a limit can take."""
        bench = Bench(FakeReply([b"ok"]))
        many = [
            Endpoint(AgentId(f"{PLAIN}-{n}"), PLAIN, f"a{n}:1", PLACE, REGION, 4) for n in range(40)
        ]
        bench.endpoints.update(many, trusted=True)
        bench.limit(*range(39))
        await bench.ask("safe")
        assert bench.sink.status == 200
        assert bench.attempts[0].endpoint.agent_id == f"{PLAIN}-39"

    async def test_late_request_does_not_wait_where_fresh_ones_are_refused(
        self, waits: list[str]
    ) -> None:
        """Guards against callers that come back and wait for room that others take."""
        bench = Bench()
        bench.limit(0, 1, 2, turn=0.3)
        await bench.ask("safe", patience=2.0)
        bench.sink = FakeSink()
        waits.clear()
        await bench.ask("safe", patience=1.5)
        assert bench.sink.status == 503
        assert not waits

    async def test_request_waits_for_a_turn_that_comes_soon(self) -> None:
        """Guards against refusing what can be answered in time a moment later."""
        bench = Bench(FakeReply([b"ok"]))
        bench.limit(0, 1, 2, turn=0.05)
        asking = asyncio.create_task(bench.ask("safe"))
        await asyncio.sleep(0.05)
        bench.denied.clear()
        for number in range(3):
            state = bench.endpoints.get(AgentId(f"{PLAIN}-{number}"))
            assert state is not None
            state.denial = NO_DENIAL
        await asking
        assert bench.sink.status == 200

    async def test_urgent_request_asks_where_a_less_urgent_one_was_denied(self) -> None:
        """Guards against alarms that wait out the pause of a report."""
        bench = Bench(FakeReply([b"ok"]))
        bench.limit(0, 1, 2)
        await bench.ask("safe")
        bench.denied.clear()
        bench.sink = FakeSink()
        await bench.ask("alarm")
        assert bench.sink.status == 200

    async def test_urgent_request_that_was_denied_too_is_refused(self) -> None:
        """Guards against urgent requests that ask without end."""
        bench = Bench()
        bench.limit(0, 1, 2)
        await bench.ask("safe")
        bench.sink = FakeSink()
        await bench.ask("alarm")
        assert bench.sink.status == 503
        assert [rank for _, rank in bench.asked].count(0) == 3

    async def test_limits_that_end_let_requests_through_at_once(self) -> None:
        """Guards against endpoints that stay passed over after their limit has ended."""
        bench = Bench(FakeReply([b"ok"]))
        bench.limit(0, 1, 2)
        await bench.ask("safe")
        bench.denied.clear()
        bench.sink = FakeSink()
        state = bench.endpoints.get(AgentId(f"{PLAIN}-1"))
        assert state is not None
        for _ in range(ANSWERS_TO_END):
            bench.endpoints.record_limit(state, None, limit_known=True)
        await bench.ask("safe")
        assert bench.sink.status == 200

    async def test_endpoint_that_started_again_is_not_bound(self) -> None:
        """Guards against a limit that outlives the incarnation that named it."""
        bench = Bench(FakeReply([b"ok"]))
        bench.limit(0, 1, 2)
        await bench.ask("safe")
        bench.denied.clear()
        bench.sink = FakeSink()
        again = Endpoint(AgentId(f"{PLAIN}-0"), PLAIN, "a0:1", PLACE, REGION, 4, born=5)
        bench.endpoints.update([again], trusted=True)
        state = bench.endpoints.get(again.agent_id)
        assert state is not None
        assert bench.endpoints.find_limit(state) is None
        await bench.ask("safe")
        assert bench.sink.status == 200


class TestWholeAnswers:
    """Tests of answers that are passed on whole."""

    async def test_answer_is_passed_on(self) -> None:
        """Status, headers and body are the endpoint's, and the connection is kept."""
        reply = FakeReply([b"o", b"k"], status=201)
        bench = Bench(reply)
        assert isinstance(await bench.ask("once"), Done)
        assert (bench.sink.status, bench.sink.body) == (201, b"ok")
        assert reply.closed[0] is True
        assert bench.attempts[0].organisation == "org"

    @pytest.mark.parametrize("rule", ["once", "unsafe"])
    @pytest.mark.parametrize("bad", ["lost", "foreign", "cut"])
    async def test_unsafe_request_is_never_sent_twice(self, bad: str, rule: str) -> None:
        """The caller gets 502, which promises nothing: the request may have run.

        So it is also where the rule allows two endpoints; the second is for requests that the
        first one rejected.
        """
        outcomes = {
            "lost": Lost("reset"),
            "foreign": FakeReply([b"x"], genuine=False),
            "cut": FakeReply([b"x", ReplyBrokenError("cut")]),
        }
        bench = Bench(outcomes[bad], FakeReply([b"second"]))
        assert isinstance(await bench.ask(rule), Unknown)
        assert bench.sink.status == 502
        assert len(bench.attempts) == 1

    async def test_rejected_unsafe_request_says_not_run(self) -> None:
        """The endpoint's own proof allows 503, with a time to come back."""
        bench = Bench(Rejected("full", mistaken=False))
        assert isinstance(await bench.ask("once"), NotRun)
        assert bench.sink.status == 503
        assert "Retry-After" in bench.sink.headers

    async def test_unsent_unsafe_request_goes_elsewhere(self) -> None:
        """A connection that was never made proves that nothing ran."""
        bench = Bench(NotSent("refused"), FakeReply([b"ok"]))
        assert isinstance(await bench.ask("once"), Done)
        assert bench.attempts[0].endpoint != bench.attempts[1].endpoint

    @pytest.mark.parametrize("bad", ["lost", "foreign", "cut", "failed"])
    async def test_safe_request_is_repeated_at_another_endpoint(self, bad: str) -> None:
        """One spoilt, lost or failed answer does not reach the caller of a safe request."""
        outcomes = {
            "lost": Lost("reset"),
            "foreign": FakeReply([b"x"], genuine=False),
            "cut": FakeReply([b"x", ReplyBrokenError("cut")]),
            "failed": FakeReply([b"sorry"], status=500),
        }
        bench = Bench(outcomes[bad], FakeReply([b"ok"]))
        assert isinstance(await bench.ask("safe"), Done)
        assert (bench.sink.status, bench.sink.body) == (200, b"ok")
        assert bench.attempts[0].endpoint != bench.attempts[1].endpoint

    async def test_attempts_are_limited(self) -> None:
        """A rule's number of endpoints holds also when all lose the request."""
        bench = Bench(Lost("reset"), Lost("reset"), FakeReply([b"ok"]))
        await bench.ask("safe")
        assert bench.sink.status == 502
        assert len(bench.attempts) == 2

    async def test_empty_budget_allows_no_second_try(self) -> None:
        """Under a fault that fails everything, second tries stop when the budget is used up.

        Without slack an account begins with one second try, and three requests earn none.
        """
        bench = Bench(*[Lost("reset")] * 4, slack=0.0)
        for _ in range(3):
            bench.sink = FakeSink()
            await bench.ask("safe")
        assert len(bench.attempts) == 4

    async def test_silent_endpoint_leaves_time_for_another(self) -> None:
        """A safe request is tried elsewhere while its caller still waits.

        The first endpoint takes the request and never answers.
        """
        bench = Bench(5.0, FakeReply([b"ok"]))
        rule = _rule("safe", RuleKind.SAFE, PLAIN, aim=0.02)
        bench.forwarder.table = RoutingTable(
            Revision(2), (rule,), TABLE.services, CallerLimits(), TABLE.callers, keyed=True
        )
        assert isinstance(await bench.ask("safe"), Done)

    async def test_silent_unsafe_request_ends_at_its_deadline(self) -> None:
        """Nobody may repeat it: the caller gets 504 when its time is up, and not later."""
        bench = Bench(5.0)
        await bench.ask("once", patience=0.2)
        assert bench.sink.status == 504
        assert len(bench.attempts) == 1

    async def test_time_left_shrinks(self) -> None:
        """The endpoint never gets more time than the caller still waits."""
        bench = Bench(Lost("reset"), FakeReply([b"ok"]))
        await bench.ask("safe", patience=0.5)
        assert bench.attempts[1].left < bench.attempts[0].left <= 0.5


class TestStreams:
    """Tests of event streams."""

    async def test_stream_is_passed_on(self) -> None:
        """Events reach the caller as they come, and the stream ends as complete."""
        bench = Bench(FakeReply([_events(0, 1), _events(2)], is_stream=True))
        assert isinstance(await bench.ask("stream"), Done)
        assert bench.sink.body == _events(0, 1, 2)
        assert bench.sink.ended

    async def test_broken_stream_goes_on_after_its_last_event(self) -> None:
        """The caller sees one unbroken stream, each event once.

        The first endpoint stops in the middle of event 2; what came of it is dropped, and the
        second endpoint is asked to go on after event 1.
        """
        torn = _events(2)[:-4]
        bench = Bench(
            FakeReply([_events(0, 1) + torn, ReplyBrokenError("cut")], is_stream=True),
            FakeReply([_events(2, 3)], is_stream=True),
        )
        assert isinstance(await bench.ask("stream"), Done)
        assert bench.sink.body == _events(0, 1, 2, 3)
        assert bench.attempts[1].last_event == 1

    async def test_stalled_stream_goes_on_elsewhere(self) -> None:
        """Silence longer than the pauses allowed is not borne while another can go on."""
        bench = Bench(
            FakeReply([_events(0), 5.0], is_stream=True), FakeReply([_events(1)], is_stream=True)
        )
        assert isinstance(await bench.ask("stream"), Done)
        assert bench.sink.body == _events(0, 1)

    @pytest.mark.parametrize("numbers", [(3,), (1,), (0, 2)])
    async def test_wrong_continuation_is_never_joined(self, numbers: tuple[int, ...]) -> None:
        """A gap or a doubled event ends the stream visibly broken, not complete."""
        bench = Bench(
            FakeReply([_events(0, 1), ReplyBrokenError("cut")], is_stream=True),
            FakeReply([_events(*numbers)], is_stream=True),
        )
        await bench.ask("stream")
        assert bench.sink.body == _events(0, 1)
        assert bench.sink.aborted
        assert not bench.sink.ended

    async def test_stream_that_finds_nobody_to_go_on_is_aborted(self) -> None:
        """A stream breaks off, the engine that should go on refuses, and no further try is allowed.

        Its caller has had a whole head and an event: a second answer behind them, or a word that
        nothing has run, would be false. The connection ends, and cannot be taken for complete.
        """
        bench = Bench(
            FakeReply([_events(0), ReplyBrokenError("cut")], is_stream=True),
            Rejected("status 503", mistaken=False),
        )
        outcome = await bench.ask("stream")
        assert isinstance(outcome, Unknown)
        assert bench.sink.aborted and not bench.sink.ended

    async def test_failure_of_the_second_engine_is_not_sent_behind_a_begun_stream(self) -> None:
        """A stream breaks off, goes on at another engine, and that one answers 500.

        No further try is allowed. Its caller has a head and an event: the 500 behind them would be
        bytes that are no answer. The connection ends, and cannot be taken for complete.
        """
        bench = Bench(
            FakeReply([_events(0), ReplyBrokenError("cut")], is_stream=True),
            FakeReply([b"failed"], status=500),
        )
        outcome = await bench.ask("stream")
        assert isinstance(outcome, Unknown)
        assert bench.sink.aborted and not bench.sink.ended
        assert bench.sink.status == 200

    def test_begun_answer_is_never_given_up_as_not_run(self) -> None:
        """Whatever way leads there, a caller with part of an answer is not told that nothing ran.

        A refusal would be written behind the head and events that it has.
        """
        rule = TABLE.rules[4]
        service = TABLE.services[ENGINES]
        progress = RequestProgress(
            cast(CallerRequest, None), rule, service, None, 1, 0.0, ContentId("")
        )
        progress.pump.begun = True
        refused = Refused("no room", 1)
        assert isinstance(give_up(progress, "place", refused, Random(1)), Unknown)

    async def test_stream_that_may_not_resume_is_aborted(self) -> None:
        """The caller sees a broken connection, and nothing is sent a second time."""
        bench = Bench(FakeReply([_events(0), ReplyBrokenError("cut")], is_stream=True))
        await bench.ask("fixed")
        assert bench.sink.aborted
        assert len(bench.attempts) == 1

    async def test_torn_end_is_not_complete(self) -> None:
        """An endpoint that ends cleanly in mid-event has not ended its stream."""
        bench = Bench(FakeReply([_events(0), b"id: 1\nda"], is_stream=True))
        await bench.ask("fixed")
        assert bench.sink.aborted

    async def test_stream_ends_at_the_deadline(self) -> None:
        """A stream still running when the caller's time is up is cut and its work ended."""
        reply = FakeReply([_events(0), 5.0], is_stream=True)
        bench = Bench(reply)
        await bench.ask("fixed", patience=0.2)
        assert bench.sink.aborted
        assert reply.closed == [False]

    async def test_no_first_event_is_tried_elsewhere_unseen(self) -> None:
        """Until the first event nothing was sent to the caller, so another may answer."""
        bench = Bench(
            FakeReply([ReplyBrokenError("cut")], is_stream=True),
            FakeReply([_events(0)], is_stream=True),
        )
        assert isinstance(await bench.ask("stream"), Done)
        assert bench.sink.body == _events(0)


class TestFailedConnections:
    """Tests of streams whose endpoint can't be reached."""

    async def test_slow_failure_to_connect_is_not_taken_for_overload(self) -> None:
        """A dark endpoint used up the aim; the others are idle, and the caller is served.

        The connection attempt takes longer than the whole aim.
        """

        def fail_late() -> NotSent:
            time.sleep(0.25)
            return NotSent("timeout")

        bench = Bench(fail_late, FakeReply([_events(0)], is_stream=True))
        assert isinstance(await bench.ask("stream"), Done)


class TestVersions:
    """Tests of requests while weights change."""

    async def test_due_version_keeps_requests_off_older_endpoints(self) -> None:
        """A version is due and no endpoint has it: the caller is told at once to come back."""
        bench = Bench()
        bench.gate.name_version(MODEL, WantedVersion(2, read_clock() - 8.0))
        outcome = await bench.ask("stream")
        assert isinstance(outcome, NotRun)
        assert not bench.attempts

    async def test_request_that_waits_is_given_up_before_a_version_is_due(self) -> None:
        """A request waits at a slow endpoint until the version there is past its deadline.

        Its connection is closed before, so that the endpoint drops it and never begins. The
        caller's own time is not up then, so it gets 502 and not 504.
        """
        reply = FakeReply([5.0], is_stream=True)
        bench = Bench(reply)
        bench.gate.name_version(MODEL, WantedVersion(2, read_clock() - 7.1))
        await bench.ask("fixed", patience=3.0)
        assert reply.closed == [False]
        assert bench.sink.status == 502

    async def test_engine_is_not_blamed_for_a_version_that_is_due(self) -> None:
        """A request waits at an engine that goes on to a version, until it may not begin any more.

        Given up here for that, it says nothing of the engine. Taken for failures, such requests
        kept all engines out for 1.5 s and longer after each swap, and callers were refused beside
        idle engines.
        """
        bench = Bench(5.0)
        bench.gate.name_version(MODEL, WantedVersion(2, read_clock() - 7.4))
        await bench.ask("fixed", patience=5.0)
        states = bench.endpoints.of_service(ENGINES)
        assert not any(state.failures for state in states)

    async def test_later_version_does_not_put_off_an_earlier_deadline(self) -> None:
        """Version 3 is named two seconds after 2; version 2 stays due when it was.

        With one deadline for the newest only, requests began on version 1 long after 2 was due.
        """
        bench = Bench()
        bench.gate.name_version(MODEL, WantedVersion(2, read_clock() - 7.5))
        bench.gate.name_version(MODEL, WantedVersion(3, read_clock() - 5.5))
        service = TABLE.services[ENGINES]
        assert bench.gate.required_version(service, read_clock()) == 2


class TestChains:
    """Tests of requests that go through several engines."""

    async def test_refusal_marks_the_engine_at_fault(self) -> None:
        """The second engine of a chain has just given up its layers, and the first says so.

        The caller is answered by a chain of the first with another; only the engine at fault is
        passed over.
        """
        bench = Bench(
            lambda: Rejected("status 421", mistaken=True, address=_last_address(bench)),
            FakeReply([b"ok"]),
        )
        bench.set_spans({0: LayerSpan(0, 8), 1: LayerSpan(8, 16), 2: LayerSpan(8, 16)})
        assert isinstance(await bench.ask("stream"), Done)
        first, second = (
            [each.state.endpoint.agent_id for each in attempt.chain] for attempt in bench.attempts
        )
        assert first[0] == second[0] == "engines-0"
        assert {first[1], second[1]} == {"engines-1", "engines-2"}
        assert [attempt.version for attempt in bench.attempts] == [1, 1]


def _last_address(bench: Bench) -> str:
    return bench.attempts[-1].chain[-1].state.endpoint.address


class TestHeldContent:
    """Tests of requests whose content crashes the endpoints that begin it.

    Callers see streams break off whenever such a request is tried, and refusals while engines are
    away: it is repeated under new ids, and each node tries each repeat twice. After the third
    crash, as any node saw it, repeats are answered without being sent.
    """

    def _crash(self, bench: Bench, *names: str, age: float = 0.0) -> ContentId:
        content = identify_content(OrganisationName("org"), "/safe/x", b"")
        for name in names:
            crash = Crash(read_clock() - age)
            bench.crashes.record(content, IncarnationId(name), crash, CrashSource.PEER)
        return content

    async def test_repeat_is_refused_at_once_as_not_run(self) -> None:
        """The caller learns when a trial is due; nothing is sent, and nobody else notices."""
        bench = Bench(FakeReply([b"other"]))
        self._crash(bench, "a", "b", "c")
        outcome = await bench.ask("safe")
        assert isinstance(outcome, NotRun)
        assert (bench.sink.status, bench.attempts) == (503, [])
        assert bench.sink.body.startswith(b"hold: 3 endpoints fell under this request")
        assert 55.0 < float(bench.sink.headers["Retry-After"]) <= 60.0
        bench.sink = FakeSink()
        await bench.ask("safe", body=b"x", body_digest=b"x")
        assert bench.sink.body == b"other"

    async def test_request_that_may_have_run_is_not_called_not_run(self) -> None:
        """Its own first try was the third crash: 502 at once, without a second try."""
        bench = Bench()
        content = self._crash(bench, "a", "b")

        def crash() -> Lost:
            crash = Crash(read_clock())
            bench.crashes.record(content, IncarnationId("c"), crash, CrashSource.OWN)
            return Lost("reset")

        bench.outcomes = [crash]
        assert isinstance(await bench.ask("safe"), Unknown)
        assert bench.sink.status == 502
        assert len(bench.attempts) == 1

    async def test_word_that_comes_while_a_repeat_waits_for_room_is_heeded(self) -> None:
        """It had been taken before the third crash, and would have been sent after it."""
        bench = Bench(FakeReply([b"ok"]))
        rule = _rule("safe", RuleKind.SAFE, PLAIN, aim=4.0, timeout=4.0)
        bench.forwarder.table = replace(TABLE, rules=(rule,))
        for state in bench.endpoints.of_service(PLAIN):
            bench.endpoints.record_full(state, read_clock())
        asked = asyncio.create_task(bench.ask("safe", patience=4.0))
        await asyncio.sleep(0.02)
        self._crash(bench, "a", "b", "c")
        outcome = await asked
        assert isinstance(outcome, NotRun)
        assert outcome.step == "hold"
        assert not bench.attempts

    async def test_lost_answers_of_fallen_endpoints_are_counted(self) -> None:
        """Three endpoints fall one after the other, each under the only request that it had."""
        bench = Bench(*[Lost("reset")] * 3)
        bench.liveness = Liveness.REFUSED
        listed = [each.endpoint for each in bench.endpoints.of_service(PLAIN)]
        for endpoint in listed:
            bench.endpoints.update([endpoint], trusted=True)
            bench.sink = FakeSink()
            assert isinstance(await bench.ask("safe", patience=0.2), Unknown)
            await asyncio.sleep(0.01)
        bench.endpoints.update([replace(listed[0], agent_id=AgentId("new"))], trusted=True)
        bench.sink = FakeSink()
        assert isinstance(await bench.ask("safe"), NotRun)
        assert len(bench.attempts) == 3

    async def test_reset_connections_hold_nothing_back(self) -> None:
        """Endpoints answer when they are asked: they lost connections and nothing else."""
        bench = Bench(*[Lost("reset")] * 6, FakeReply([b"ok"]))
        for _ in range(3):
            bench.sink = FakeSink()
            await bench.ask("safe")
            await asyncio.sleep(0.01)
        bench.sink = FakeSink()
        await bench.ask("safe")
        assert bench.sink.status == 200

    async def test_trial_is_sent_once_and_ends_the_hold_if_it_succeeds(self) -> None:
        """A content that was held back wrongly is found out by one request a minute."""
        bench = Bench(FakeReply([b"ok"]), FakeReply([b"ok"]))
        self._crash(bench, "a", "b", "c", age=61.0)
        bench.keeper.grants = True
        await bench.ask("safe")
        assert bench.sink.status == 200
        bench.sink = FakeSink()
        await bench.ask("safe")
        assert bench.sink.status == 200
        assert bench.keeper.claims == 1

    async def test_failure_of_a_trial_is_passed_on(self) -> None:
        """The endpoint answered 500 and lives; its answer is ready, and no second try is due."""
        bench = Bench(FakeReply([b"no"], status=500))
        self._crash(bench, "a", "b", "c", age=61.0)
        bench.keeper.grants = True
        await bench.ask("safe")
        assert (bench.sink.status, bench.sink.body) == (500, b"no")

    async def test_trial_that_fails_is_not_tried_elsewhere(self) -> None:
        """A trial may cost one engine, not two."""
        bench = Bench(Lost("reset"))
        self._crash(bench, "a", "b", "c", age=61.0)
        bench.keeper.grants = True
        assert isinstance(await bench.ask("safe"), Unknown)
        assert len(bench.attempts) == 1
        bench.sink = FakeSink()
        assert isinstance(await bench.ask("safe"), NotRun)

    async def test_stream_cut_short_by_a_crash_counts(self) -> None:
        """The first event had come before the engine fell; nothing goes on elsewhere after it."""
        bench = Bench(
            FakeReply([_events(0), ReplyBrokenError("reset")], is_stream=True),
            FakeReply([_events(1), ReplyBrokenError("reset")], is_stream=True),
        )
        bench.liveness = Liveness.REFUSED
        await bench.ask("stream")
        await asyncio.sleep(0.01)
        content = identify_content(OrganisationName("org"), "/stream/x", b"")
        assert len(bench.crashes.list_crash_times(content)) == 2

    async def test_engine_behind_the_first_of_a_chain_counts(self) -> None:
        """The first engine says that the second fell; the request went through both."""
        bench = Bench(Rejected("status 503", False, address="a1:1"), Rejected("status 503", False))
        bench.set_spans({0: LayerSpan(0, 8), 1: LayerSpan(8, 16), 2: LayerSpan(0, 0)})
        bench.liveness = Liveness.REFUSED
        await bench.ask("stream")
        await asyncio.sleep(0.01)
        content = identify_content(OrganisationName("org"), "/stream/x", b"")
        assert len(bench.crashes.list_crash_times(content)) >= 1

    async def test_call_that_waits_at_a_dark_endpoint_is_counted_before_its_deadline(self) -> None:
        """The endpoint crashes and says nothing; the next caller's connection there fails."""
        bench = Bench(0.5, NotSent("refused"))
        bench.liveness = Liveness.REFUSED
        endpoint = bench.endpoints.of_service(PLAIN)[0].endpoint
        bench.endpoints.update([endpoint], trusted=True)
        waiting = asyncio.create_task(bench.ask("once"))
        await asyncio.sleep(0.01)
        first, bench.sink = bench.sink, FakeSink()
        await bench.ask("once", body_digest=b"other", patience=0.05)
        await asyncio.sleep(0.01)
        content = identify_content(OrganisationName("org"), "/once/x", b"")
        assert len(bench.crashes.list_crash_times(content)) == 1
        await waiting
        assert first.status == 502

    async def test_engine_that_another_one_answers_for_counts(self) -> None:
        """The first engine of a chain fell silent on the second and answers 502 for it."""
        bench = Bench(FakeReply([b"no"], status=502), FakeReply([b"no"], status=502))
        bench.set_spans({0: LayerSpan(0, 8), 1: LayerSpan(8, 16), 2: LayerSpan(0, 0)})
        bench.liveness = Liveness.REFUSED
        await bench.ask("fixed")
        (attempt,) = bench.attempts
        assert len(attempt.chain) > 1
        await asyncio.sleep(0.01)
        content = identify_content(OrganisationName("org"), "/fixed/x", b"")
        assert len(bench.crashes.list_crash_times(content)) == len(attempt.chain)

    async def test_trial_goes_on_where_no_connection_was_had(self) -> None:
        """Nothing has reached an endpoint yet; another one may take it."""
        bench = Bench(NotSent("refused"), FakeReply([b"ok"]))
        self._crash(bench, "a", "b", "c", age=61.0)
        bench.keeper.grants = True
        await bench.ask("safe")
        assert bench.sink.status == 200
