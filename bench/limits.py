"""What rate limits cost: microseconds a request, bytes of state and of messages.

``make bench-limits`` prints the least of several rounds, so that other work on the machine
changes little.
"""

import asyncio
import timeit
import tracemalloc
from collections.abc import Callable
from contextlib import AsyncExitStack
from random import Random
from time import process_time

from aiohttp import ClientSession, web

from wrenloft_core import AgentId, IncarnationId, NodeId, PlaceName, RegionName, ServiceName
from wrenloft_policy import AdvertisedLimit, RateLimit
from wrenloft_routing import (
    BackendService,
    Endpoint,
    Endpoints,
    EndpointState,
    Frame,
    Gate,
    GrantClient,
    GrantRequest,
    GrantRoutes,
    Limiter,
    LimitLedger,
    Member,
    Members,
    NodeState,
    PlacementRequest,
    encode_frame,
)

ROUNDS = 7
QUESTIONS = 1000
SIZES = {9: 13, 98: 119, 300: 3000}
"""Endpoints by entry nodes."""

REGION = RegionName("r")
SERVICE = ServiceName("s")


def measure(act: Callable[[], object], count: int) -> float:
    """Return the microseconds of one call."""
    return min(timeit.repeat(act, number=count, repeat=ROUNDS)) / count * 1e6


def build_members(count: int) -> Members:
    """Return a node's view of a fleet of five zones."""
    listed = [
        Member(NodeId(f"n{k}"), PlaceName(f"z{k % 5}"), REGION, "", f"n{k}") for k in range(count)
    ]
    members = Members(listed[0])
    members.update(listed)
    members.update_states({each.node_id: NodeState.READY for each in listed})
    return members


def build_endpoints(count: int) -> Endpoints:
    """Return so many endpoints of one service."""
    endpoints = Endpoints(PlaceName("z0"), REGION, LimitLedger(NodeId("n0")))
    endpoints.update(
        [
            Endpoint(AgentId(f"i-{k:010x}"), SERVICE, f"h{k}:1", PlaceName(f"z{k % 5}"), REGION, 8)
            for k in range(count)
        ],
        trusted=True,
    )
    return endpoints


def name_limits(endpoints: Endpoints, count: int) -> None:
    """Have every endpoint name a limit."""
    for number in range(count):
        state = endpoints.get(AgentId(f"i-{number:010x}"))
        assert state is not None
        endpoints.record_limit(state, AdvertisedLimit(1.8, "1.8"), limit_known=False)


def measure_look(endpoints: Endpoints) -> float:
    """Return the microseconds of a look at all endpoints of a service."""
    gate = Gate(endpoints, Random(1), 8.0)
    service = BackendService(SERVICE, 10)
    ask = PlacementRequest(service, 1, 0.0, 0.0, 0.0, 0.5, 6.0)

    def look() -> None:
        endpoints.mark_changed()
        gate._decide(ask, ())

    gate._waiting[SERVICE] = [ask]
    return measure(look, 30)


async def measure_question(endpoints: Endpoints, members: Members) -> float:
    """Return the microseconds of processor time of a question to another node, both sides."""
    limiter = Limiter(endpoints.limits, members, Random(1))
    async with AsyncExitStack() as stack:
        app = web.Application()
        app.add_routes(GrantRoutes(limiter).routes())
        runner = web.AppRunner(app, access_log=None)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, "127.0.0.1", 0).start()
        address = f"127.0.0.1:{runner.addresses[0][1]}"
        for member in [*members.list_others(near=True), *members.list_others(near=False)]:
            member.internal = address
        session = await stack.enter_async_context(ClientSession())
        grants = GrantClient(endpoints, members, limiter, session, Random(1))
        states = [each for each in endpoints.of_service(SERVICE) if _is_asked(each, limiter)]
        await grants.acquire(states[:1], 1)
        begun = process_time()
        for _ in range(QUESTIONS):
            await grants.acquire(states[:1], 1)
        return (process_time() - begun) / QUESTIONS * 1e6


def _is_asked(state: EndpointState, limiter: Limiter) -> bool:
    """Whether this node has to ask another one."""
    endpoint = state.endpoint
    return limiter.find_limiter(endpoint.incarnation, endpoint.place) != "n0"


def main() -> None:
    """Measure and print."""
    print("nodes  endpoints  look  look, all limited  grant   us each")
    for nodes, count in SIZES.items():
        members = build_members(nodes)
        endpoints = build_endpoints(count)
        before = measure_look(endpoints)
        tracemalloc.start()
        name_limits(endpoints, count)
        state_bytes = tracemalloc.get_traced_memory()[0] / count
        tracemalloc.stop()
        after = measure_look(endpoints)
        limiter = Limiter(endpoints.limits, members, Random(1))
        incarnation = IncarnationId("i-0000000000@0")
        limit = RateLimit(1e9, 0, 99, "n0")
        place = PlaceName("z0")
        while limiter.find_limiter(incarnation, place) != members.own.node_id:
            incarnation = IncarnationId(incarnation + "x")
        request = GrantRequest(incarnation, place, limit, 1, NodeId("n1"))
        grant = measure(lambda request=request, limiter=limiter: limiter.grant(request), 300)
        print(f"{nodes:5}  {count:9}  {before:4.0f}  {after:17.0f}  {grant:5.1f}")
        news = endpoints.limits.list_changes(0)
        told = encode_frame(Frame(0.0, limits=news))
        print(f"       told to a node that starts: {len(told) / 1000:.1f} kB")
        print(f"       state of one limit: {state_bytes:.0f} bytes")
        question = asyncio.run(measure_question(endpoints, members))
        print(f"       a question to another node, both sides: {question:.0f} us of processor time")


if __name__ == "__main__":
    main()
