"""Tests of a prompt segment that crashes each endpoint that writes an answer on it.

Requests with that segment come at any entry node, no two alike, beside sound requests that share
their caller and their other segments. Unless the nodes together find out which segment the crashes
have in common, one segment takes down the whole fleet again and again.
"""

import asyncio
import signal
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import pytest

from .conftest import CrashSign, StandinStore, full_response, stream_response
from .test_crashing_content import ENTRY_COUNT, Fleet, run_command, start_fleet

SEED = 7
CRASHES = 5
"""Number of endpoint failures under one segment from which the bound counts."""

SETTLE_SECONDS = 3.0
"""Time after the fifth crash by which every connected node must know of it."""

MAX_SENT_AFTERWARDS = 3
"""Largest number of sends after that time, over the whole fleet, probes included."""

REPEAT_SECONDS = 6.0
"""How long such requests come after that, so that restarted endpoints could receive them."""

SERVED_SHARE = 0.95
"""Share of the sound requests that must be served once that time has passed twice."""

SHARED, BAD, OTHER_BAD = "5c1e07a2:800", "BAD0:410", "bad1:200"


@dataclass
class SegmentCallers:
    """Callers whose prompts share segments; no two requests are alike.

    :param sound: status and time of each sound request.
    """

    fleet: Fleet
    random: Random = field(default_factory=lambda: Random(SEED))
    sound: list[tuple[float, int]] = field(default_factory=list)
    crashing: list[tuple[int, dict[str, str], bytes]] = field(default_factory=list)
    tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def send_crashing(self, *segments: str) -> None:
        """Send a request with the segments that crash endpoints."""
        number = self.random.randrange(10**9)
        own = f"{number:x}:250"
        body = b"crashing %d" % number
        listed = ",".join([SHARED, *(segments or (BAD,)), own])
        self.crashing.append(await self.fleet.send(body, segments=listed))

    async def send_sound(self) -> None:
        """Send a request with the shared segment and one of some others."""
        number = self.random.randrange(10**9)
        listed = f"{SHARED},{self.random.randrange(4):x}:90,{number:x}:250"
        loop = asyncio.get_running_loop()
        status, _, _ = await self.fleet.send(b"sound %d" % number, segments=listed)
        self.sound.append((loop.time(), status))

    def start(self, work: object) -> None:
        """Start a request in the background."""
        task = asyncio.create_task(work)  # type: ignore[arg-type]
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self, *segments: str, sound_interval: float = 0.05) -> float:
        """Send both kinds until the bound has held for some time; return its start.

        It starts some time after the fifth crash, or once the segments are refused if that is
        sooner. Crashes and answers before this call do not count.
        """
        loop = asyncio.get_running_loop()
        sound_at = loop.time()
        bound = float("inf")
        fifth = len(self.fleet.crashes) + CRASHES
        self.crashing.clear()
        async with asyncio.timeout(60):
            while loop.time() < bound + REPEAT_SECONDS:
                self.start(self.send_crashing(*segments))
                if loop.time() >= sound_at:
                    sound_at += sound_interval
                    self.start(self.send_sound())
                await asyncio.sleep(0.1)
                if bound < float("inf"):
                    continue
                if len(self.fleet.crashes) >= fifth:
                    bound = self.fleet.crashes[fifth - 1] + SETTLE_SECONDS
                elif self._is_refused():
                    bound = loop.time()
            await asyncio.gather(*self.tasks)
        return bound

    def _is_refused(self) -> bool:
        latest = self.crashing[-10:]
        return len(latest) == 10 and all(body.startswith(b"hold:") for _, _, body in latest)

    def measure_sound(self, after: float) -> float:
        """Return the share of the sound requests after a time that were served."""
        statuses = [status for at, status in self.sound if at > after]
        return sum(status == 200 for status in statuses) / len(statuses)


@pytest.fixture
async def fleet(store: StandinStore, tmp_path: Path) -> AsyncIterator[Fleet]:
    """Run entry nodes, and endpoints that crash on a prompt segment."""
    async with AsyncExitStack() as stack:
        fleet = await start_fleet(stack, store, tmp_path)
        for each in fleet.endpoints:
            each.crash_on = b"no body"
            each.crash_segments = frozenset({"BAD0", "bad1"})
        yield fleet


@pytest.fixture
def callers(fleet: Fleet) -> SegmentCallers:
    """Make callers of the fleet."""
    return SegmentCallers(fleet)


def check(callers: SegmentCallers, bound: float) -> None:
    """Check what reached endpoints after the bound, and who was served."""
    assert callers.fleet.count_sent(bound) <= MAX_SENT_AFTERWARDS
    assert callers.measure_sound(bound + SETTLE_SECONDS) >= SERVED_SHARE


@pytest.mark.parametrize("sign", list(CrashSign))
async def test_crashing_segment_is_quarantined(callers: SegmentCallers, sign: CrashSign) -> None:
    """Guards against a prompt segment that goes on to crash endpoints in ever new requests."""
    for each in callers.fleet.endpoints:
        each.sign = sign
    check(callers, await callers.run())


@pytest.mark.parametrize(
    "sign", [CrashSign.RESET, CrashSign.SILENT, CrashSign.CLOSED_BEFORE, CrashSign.CLOSED_INSIDE]
)
async def test_crashing_segment_of_calls_sent_once_is_quarantined(
    callers: SegmentCallers, sign: CrashSign
) -> None:
    """Guards against the same of calls that are sent once, whose silence lasts to a deadline."""
    callers.fleet.path = "/once/x"
    for each in callers.fleet.endpoints:
        each.sign = sign
        each.answers = [full_response(b"ok")] * 1000
    check(callers, await callers.run())


async def test_rare_sound_requests_are_served(callers: SegmentCallers) -> None:
    """Guards against holding back a shared segment of which little is known."""
    check(callers, await callers.run(sound_interval=2.0))


async def test_two_crashing_segments_in_turn_are_quarantined(callers: SegmentCallers) -> None:
    """Guards against a shared segment that is held back for two that crash endpoints."""
    check(callers, await callers.run(BAD))
    before = len(callers.fleet.crashes)
    check(callers, await callers.run(OTHER_BAD))
    assert len(callers.fleet.crashes) > before


async def test_quarantined_segment_survives_restart_of_all_entry_nodes(
    callers: SegmentCallers,
) -> None:
    """Guards against a loss of power at all nodes that costs more endpoints."""
    fleet = callers.fleet
    await callers.run()
    await asyncio.sleep(1.0)
    await fleet.kill(*range(ENTRY_COUNT))
    await asyncio.sleep(SETTLE_SECONDS)
    before = fleet.count_sent(0.0)
    callers.crashing.clear()
    for _ in range(20):
        await callers.send_crashing()
        await callers.send_sound()
    assert fleet.count_sent(0.0) == before
    assert {status for status, _, _ in callers.crashing} == {503}
    assert {status for _, status in callers.sound[-20:]} == {200}


async def test_command_lists_and_lifts_a_quarantined_segment(callers: SegmentCallers) -> None:
    """The command tells a segment from a content, and lifts it at all nodes."""
    fleet = callers.fleet
    await callers.run()
    node = fleet.entries[1].settings
    address = f"{node['ip']}:{node['internal_port']}"
    code, line = await run_command("held", "list", "--node", address)
    assert code == 0, line
    assert line.startswith("segment bad0  ")
    status, headers, body = callers.crashing[-1]
    assert status == 503
    assert body.startswith(b"hold: ") and b"segment bad0" in body
    assert float(headers["Retry-After"]) > 1.0
    for each in fleet.endpoints:
        each.crash_segments = frozenset()
    assert (await run_command("held", "lift", "bad0", "--node", address))[0] == 0
    callers.crashing.clear()
    async with asyncio.timeout(5):
        while not callers.crashing or callers.crashing[-1][0] != 200:
            await callers.send_crashing()
            await asyncio.sleep(0.1)


async def test_crashes_spread_without_the_store_and_a_relay(callers: SegmentCallers) -> None:
    """Guards against updates that need the store, or a node that may relay for others."""
    fleet = callers.fleet
    fleet.store.refuse = True
    fleet.entries[0].process.kill()
    fleet.entries = fleet.entries[1:]
    bound = await callers.run()
    assert fleet.count_sent(bound) <= MAX_SENT_AFTERWARDS


async def test_suspended_node_sends_only_until_it_is_updated(callers: SegmentCallers) -> None:
    """Guards against a node that resumes and crashes endpoints by what it missed."""
    fleet = callers.fleet
    suspended = fleet.entries[1]
    fleet.entries = [fleet.entries[0], fleet.entries[2]]
    suspended.process.send_signal(signal.SIGSTOP)
    try:
        await callers.run()
    finally:
        suspended.process.send_signal(signal.SIGCONT)
    fleet.entries = [suspended]
    await asyncio.sleep(SETTLE_SECONDS)
    before = fleet.count_sent(0.0)
    callers.crashing.clear()
    for _ in range(20):
        await callers.send_crashing()
        await asyncio.sleep(0.1)
    assert fleet.count_sent(0.0) - before <= MAX_SENT_AFTERWARDS
    assert {status for status, _, _ in callers.crashing[-5:]} == {503}


async def test_power_loss_of_a_rack_holds_back_nothing(callers: SegmentCallers) -> None:
    """Guards against blaming common segments for endpoints that fail at the same moment."""
    fleet = callers.fleet
    for each in fleet.endpoints:
        each.answers = [stream_response(b"id: 0\n\n", b"id: 1\n\n", b"id: 2\n\n")] * 1000
        each.pause = 0.05
    outages = []
    for turn in range(120):
        callers.start(callers.send_sound())
        callers.start(callers.send_sound())
        await asyncio.sleep(0.05)
        if turn == 40:
            outages = [asyncio.create_task(each.lose_power()) for each in fleet.endpoints[:4]]
    await asyncio.gather(*callers.tasks, *outages)
    node = fleet.entries[1].settings
    address = f"{node['ip']}:{node['internal_port']}"
    assert await run_command("held", "list", "--node", address) == (0, "nothing is held back")
    statuses = [status for _, status in callers.sound[-60:]]
    assert set(statuses) == {200}
