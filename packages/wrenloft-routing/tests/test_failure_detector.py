"""Tests of telling an endpoint that fell from a connection that broke."""

import asyncio
from dataclasses import replace

import pytest

from wrenloft_core import AgentId, ContentId, PlaceName, RegionName, ServiceName
from wrenloft_routing import (
    Endpoint,
    EndpointFailure,
    Endpoints,
    FailureDetector,
    FailureSign,
    Liveness,
    probe_address,
)

ENDPOINT = Endpoint(
    AgentId("e"), ServiceName("s"), "127.0.0.1:1", PlaceName("p"), RegionName("r"), 4, born=5
)
CONTENT = ContentId("c")


class Watched:
    """A watch of one endpoint whose address answers as a test says."""

    def __init__(self, liveness: Liveness) -> None:
        self.liveness = liveness
        self.probed = 0
        self.falls: list[EndpointFailure] = []
        self.endpoints = Endpoints(PlaceName("p"), RegionName("r"))
        self.endpoints.update([ENDPOINT], trusted=True)
        self.watch = FailureDetector(self.endpoints, self.falls.append, self._probe)

    async def _probe(self, address: str) -> Liveness:
        self.probed += 1
        return self.liveness

    async def lose(self, *contents: str, sent_at: float = 0.0, silent: bool = False) -> None:
        """Lose the answers to requests, and let the endpoint be asked."""
        state = self.endpoints.get(ENDPOINT.agent_id)
        assert state is not None
        for content in contents:
            self.watch.note_loss(state, ContentId(content), sent_at, silent=silent)
        await asyncio.sleep(0)
        await asyncio.sleep(0)


@pytest.mark.parametrize("liveness", [Liveness.REFUSED, Liveness.UNREACHABLE])
async def test_endpoint_that_takes_no_connection_has_fallen(liveness: Liveness) -> None:
    """All requests that were lost with it are named, and it is asked once."""
    watched = Watched(liveness)
    await watched.lose("a", "b")
    assert [(each.incarnation, each.contents) for each in watched.falls] == [("e@5", {"a", "b"})]
    assert watched.falls[0].sign.value == liveness.value
    await watched.lose("c")
    assert watched.falls[-1].contents == {"c"}
    assert watched.probed == 1


async def test_broken_connection_to_a_live_endpoint_is_no_fall() -> None:
    """Connections of a whole zone are reset: answers are lost, and no endpoint fell."""
    watched = Watched(Liveness.REACHABLE)
    await watched.lose("a")
    watched.watch.review()
    assert not watched.falls


@pytest.mark.parametrize("after", [{"born": 9}, {"agent_id": AgentId("other")}])
async def test_endpoint_that_was_quick_to_restart_has_fallen(after: dict[str, object]) -> None:
    """It fell seconds before its silence was noticed, and answers when it is asked.

    It is another incarnation in the next reading of the list.
    """
    watched = Watched(Liveness.REACHABLE)
    await watched.lose("a", silent=True)
    watched.endpoints.update([replace(ENDPOINT, **after)], trusted=True)  # type: ignore[arg-type]
    watched.watch.review()
    assert [each.sign for each in watched.falls] == [FailureSign.RESTARTED]


async def test_restart_that_was_listed_before_the_silence_was_noticed_is_a_fall() -> None:
    """The endpoint was back within a second, and its requests had waited for two."""
    watched = Watched(Liveness.REACHABLE)
    state = watched.endpoints.get(ENDPOINT.agent_id)
    assert state is not None
    watched.endpoints.update([replace(ENDPOINT, agent_id=AgentId("other"))], trusted=True)
    watched.watch.note_loss(state, CONTENT, 0.0, silent=True)
    await asyncio.sleep(0.01)
    assert [each.sign for each in watched.falls] == [FailureSign.RESTARTED]


async def test_end_of_an_endpoint_that_was_leaving_is_no_fall() -> None:
    """It was drained, or is listed no more; its last answers are cut when it ends."""
    watched = Watched(Liveness.REFUSED)
    watched.endpoints.update([replace(ENDPOINT, leaving=True)], trusted=True)
    await watched.lose("a")
    assert not watched.probed


async def test_silent_fall_is_found_out_by_the_next_caller() -> None:
    """A call that may be sent once waits at a dark endpoint until its deadline, for seconds.

    Another caller's connection there is refused meanwhile; both calls' contents are not alike.
    """
    watched = Watched(Liveness.UNREACHABLE)
    state = watched.endpoints.get(ENDPOINT.agent_id)
    assert state is not None
    with watched.watch.run([state], CONTENT):
        watched.watch.note_unreachable(state)
        await asyncio.sleep(0.01)
        assert [each.contents for each in watched.falls] == [{"c"}]
    watched.watch.note_unreachable(state)
    await asyncio.sleep(0.01)
    assert len(watched.falls) == 1


async def test_probe_tells_a_closed_port_from_an_open_one() -> None:
    """A process that ended refuses the next connection."""
    server = await asyncio.start_server(lambda reader, writer: writer.close(), "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    assert await probe_address(address) is Liveness.REACHABLE
    server.close()
    await server.wait_closed()
    assert await probe_address(address) is Liveness.REFUSED


async def test_request_sent_after_the_fall_had_no_part_in_it() -> None:
    """A chain names an engine that fell before the request was sent to the chain's first one."""
    watched = Watched(Liveness.REFUSED)
    await watched.lose("a")
    await watched.lose("b", sent_at=watched.falls[0].at + 0.01)
    assert [each.contents for each in watched.falls] == [{"a"}]


async def test_connection_broken_before_a_fall_is_not_blamed_for_it() -> None:
    """A reset cuts one request off; a second later another request crashes the endpoint."""
    watched = Watched(Liveness.REACHABLE)
    await watched.lose("a")
    watched.liveness = Liveness.REFUSED
    await watched.lose("b")
    assert [each.contents for each in watched.falls] == [{"b"}]
