"""Tests of a fleet in virtual time whose endpoints are all silent for a time."""

import asyncio
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from typing import Any

import pytest

from wrenloft_core import AgentId, ContentId, PlaceName, RegionName, SegmentId, ServiceName
from wrenloft_policy import Workload
from wrenloft_routing import (
    CrashGuard,
    CrashLedger,
    CrashSource,
    Endpoint,
    EndpointFailure,
    Endpoints,
    EndpointState,
    FailureDetector,
    Liveness,
)
from wrenloft_routing._failure_detector import MAX_SOUND_SILENCE_SECONDS, RunningRequest
from wrenloft_routing._liveness import PROBE_TIMEOUT_SECONDS

from .virtual_time import read_loop_time, run_virtually

NODES = 3
ENDPOINTS = 8
NOTICE_SECONDS = 0.25
"""Silence after which an attempt counts as silent."""

SHARED = SegmentId("shared")
EXCHANGE_SECONDS = 0.2


class Store:
    """A store that remembers nothing."""

    def keep(self, *_: Any) -> None: ...

    def drop(self, *_: Any) -> None: ...

    def keep_segment(self, *_: Any) -> None: ...

    def drop_segment(self, *_: Any) -> None: ...

    async def claim(self, name: str, seconds: float) -> bool:
        return True

    claim_segment = claim


@dataclass
class Hosts:
    """How the hosts of all endpoints answer.

    :param ended: endpoints whose processes have ended.
    """

    silent: bool = False
    ended: set[AgentId] = field(default_factory=set)

    async def probe(self, address: str) -> Liveness:
        if self.silent:
            await asyncio.sleep(PROBE_TIMEOUT_SECONDS)
            return Liveness.UNREACHABLE
        await asyncio.sleep(0.001)
        agent_id = AgentId(address.partition(":")[0])
        return Liveness.REFUSED if agent_id in self.ended else Liveness.REACHABLE


class Node:
    """An entry node with a request in progress at each endpoint for each of two contents.

    One content is the same at all of them, and the prompts of all have a segment in common.
    """

    def __init__(self, number: int, hosts: Hosts) -> None:
        place, region = PlaceName("p"), RegionName("r")
        self.endpoints = Endpoints(place, region)
        self.endpoints.update(
            [
                Endpoint(AgentId(f"e{each}"), ServiceName("s"), f"e{each}:1", place, region, 4)
                for each in range(ENDPOINTS)
            ],
            trusted=True,
        )
        self.ledger = CrashLedger()
        self.guard = CrashGuard(self.ledger, Store())
        self.failures: list[EndpointFailure] = []
        self.detector = FailureDetector(self.endpoints, self._record_failure, hosts.probe)
        own = ContentId(f"own {number}")
        self.workloads = [
            Workload(ContentId("same"), frozenset({SHARED})),
            Workload(own, frozenset({SHARED, SegmentId(own)})),
        ]

    def _record_failure(self, failure: EndpointFailure) -> None:
        self.failures.append(failure)
        self.guard.record_endpoint_failure(failure)

    @contextmanager
    def send_requests(self) -> Iterator[list[tuple[EndpointState, RunningRequest]]]:
        """Have requests in progress at all endpoints."""
        with ExitStack() as stack:
            yield [
                (state, stack.enter_context(self.detector.track_request([state], workload)))
                for state in self.endpoints.list_all()
                for workload in self.workloads
            ]

    def notice_silence(self, requests: list[tuple[EndpointState, RunningRequest]]) -> None:
        """Record that all requests are silent."""
        for state, request in requests:
            self.endpoints.record_silence(state, request.heard_at, read_loop_time())
            self.detector.record_silence(state, request)

    def fail_to_connect(self) -> None:
        """Record a connection to each endpoint that timed out."""
        for state in self.endpoints.list_all():
            self.endpoints.record_failure(state, read_loop_time())
            self.detector.record_unreachable(state)

    def receive_data(self, requests: list[tuple[EndpointState, RunningRequest]]) -> None:
        """Receive part of the answer to each request."""
        for state, request in requests:
            request.heard_at = read_loop_time()
            self.endpoints.record_heard(state, read_loop_time())
            self.detector.record_heard(state)

    def has_quarantine(self) -> bool:
        """Return whether any request of this node is refused."""
        return any(self.guard.find_refusal(each) is not None for each in self.workloads)

    def count_excluded(self) -> int:
        """Return how many endpoints are excluded."""
        now = read_loop_time()
        return sum(each.suspect_until > now for each in self.endpoints.list_all())


class Fleet:
    """Nodes that exchange what they know of crashes."""

    def __init__(self) -> None:
        self.hosts = Hosts()
        self.nodes = [Node(number, self.hosts) for number in range(NODES)]

    def exchange(self) -> None:
        """Let each node learn what the others know."""
        for source in self.nodes:
            for target in self.nodes:
                if source is not target:
                    ledger = source.ledger
                    target.ledger.merge(ledger.list_changes(0), CrashSource.PEER)
                    segments = ledger.segments.list_changes(0)
                    target.ledger.segments.merge(segments, CrashSource.PEER)
        for node in self.nodes:
            node.guard.review()
            node.detector.review()

    async def stay_silent(self, seconds: float, *, kept: bool) -> None:
        """Be silent for some time, with requests in progress at all endpoints of all nodes.

        New requests try each endpoint four times a second.

        :param kept: whether the attempts are kept and go on; if not, they end once silent.
        """
        with ExitStack() as stack:
            requests = [stack.enter_context(node.send_requests()) for node in self.nodes]
            self.hosts.silent = True
            ends_at = read_loop_time() + seconds
            await asyncio.sleep(NOTICE_SECONDS)
            for node, each in zip(self.nodes, requests, strict=True):
                node.notice_silence(each)
            if not kept:
                stack.pop_all().close()
            while read_loop_time() < ends_at:
                for node in self.nodes:
                    node.fail_to_connect()
                self.exchange()
                await asyncio.sleep(min(EXCHANGE_SECONDS, ends_at - read_loop_time()))
            self.hosts.silent = False
            if kept:
                for node, each in zip(self.nodes, requests, strict=True):
                    node.receive_data(each)

    async def settle(self, seconds: float) -> None:
        """Let time pass in which the nodes exchange what they know."""
        until = read_loop_time() + seconds
        while read_loop_time() < until:
            self.exchange()
            await asyncio.sleep(EXCHANGE_SECONDS)

    async def close(self) -> None:
        for node in self.nodes:
            await node.detector.close()


@pytest.mark.parametrize("kept", [False, True])
@pytest.mark.parametrize("seconds", [0.3, 1.0, 2.9])
def test_silence_of_all_endpoints_quarantines_nothing(
    monkeypatch: pytest.MonkeyPatch, seconds: float, kept: bool
) -> None:
    """Guards against refusing requests whose endpoints were silent and are sound.

    The hosts are silent too, three times with a moment between.
    """

    async def act() -> None:
        fleet = Fleet()
        for _ in range(3):
            await fleet.stay_silent(seconds, kept=kept)
            await fleet.settle(0.5)
        await fleet.settle(10.0)
        for node in fleet.nodes:
            assert not node.failures
            assert not node.has_quarantine()
            assert not len(node.ledger)
        await fleet.close()

    run_virtually(monkeypatch, act)


@pytest.mark.parametrize("seconds", [0.3, 1.0, 2.9])
def test_all_endpoints_are_used_again_after_their_silence(
    monkeypatch: pytest.MonkeyPatch, seconds: float
) -> None:
    """Guards against a service without endpoints once all of them have continued."""

    async def act() -> None:
        fleet = Fleet()
        await fleet.stay_silent(seconds, kept=True)
        await asyncio.sleep(2 * PROBE_TIMEOUT_SECONDS)
        assert [node.count_excluded() for node in fleet.nodes] == [0] * NODES
        await fleet.close()

    run_virtually(monkeypatch, act)


def test_endpoints_that_stay_silent_have_failed(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against taking a power loss for a silence; every node finds it of every endpoint."""

    async def act() -> None:
        fleet = Fleet()
        await fleet.stay_silent(2 * MAX_SOUND_SILENCE_SECONDS, kept=False)
        for node in fleet.nodes:
            assert len({each.incarnation for each in node.failures}) == ENDPOINTS
            assert {each for failure in node.failures for each in failure.workloads} == {
                *node.workloads
            }
            assert node.has_quarantine()
        await fleet.close()

    run_virtually(monkeypatch, act)


def test_crashes_behind_a_silence_are_counted(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against missing requests that crash their endpoints after all were silent."""

    async def act() -> None:
        fleet = Fleet()
        await fleet.stay_silent(1.0, kept=True)
        node = fleet.nodes[0]
        for number in range(3):
            state = node.endpoints.list_all()[number]
            with node.detector.track_request([state], node.workloads[0]) as request:
                fleet.hosts.ended.add(state.endpoint.agent_id)
                node.detector.record_loss(state, request, silent=False)
            await fleet.settle(0.5)
        assert all(each.has_quarantine() for each in fleet.nodes)
        await fleet.close()

    run_virtually(monkeypatch, act)
