"""Tests of endpoints that reject requests and ask a node for rest."""

import asyncio

import pytest

from .conftest import NoticingEndpoint
from .test_leaving import Fleet, fleet

__all__ = ["fleet"]

IN_FLIGHT_SECONDS = 0.5
"""Time after a rejection in which requests that were already sent may arrive."""

WORK_SECONDS = 0.1
LOAD = 50.0
"""Requests a second, for which two endpoints suffice and all three are used."""

MAX_ARRIVALS = 2
"""Requests that may reach an endpoint from one node in the rest of its rest."""


def count_most_arrivals(endpoint: NoticingEndpoint, rest: float) -> int:
    """Return the largest number of requests of one node in any rest that was asked for."""
    return max(
        (
            endpoint.count_arrivals(node, at + IN_FLIGHT_SECONDS, at + rest)
            for node, at in endpoint.noticed
        ),
        default=0,
    )


@pytest.mark.parametrize("rest", [1.0, 3.0])
async def test_resting_endpoint_gets_hardly_any_requests(fleet: Fleet, rest: float) -> None:
    """Guards against nodes that take a rest of seconds for a moment's lack of slots."""
    for each in fleet.endpoints:
        each.work = WORK_SECONDS
    await fleet.load(LOAD, 2.0)
    resting = max(fleet.endpoints, key=lambda each: len(each.arrivals))
    resting.rest, resting.work = [f"{rest:g}"], 0.0
    answers = await fleet.load(LOAD, 2 * rest + 1.0)
    assert resting.noticed
    assert count_most_arrivals(resting, rest) <= MAX_ARRIVALS
    assert {status for status, _ in answers} == {200}
    resting.rest, resting.work = [], WORK_SECONDS
    ended_at = asyncio.get_running_loop().time()
    await fleet.load(LOAD, rest + 1.5)
    assert any(at > ended_at for _, at in resting.arrivals)
