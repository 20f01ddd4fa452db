"""Tests of requests whose endpoints are silent for a moment, over an entry process."""

import asyncio
import json
import signal
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import pytest
from aiohttp import ClientError, ClientSession, TCPConnector

from .conftest import StandinStore
from .silent_endpoints import (
    STREAM_PHASES,
    WHOLE_PHASES,
    Framing,
    Phase,
    Served,
    Silence,
    SilentEndpoint,
    make_body,
    make_stream,
)
from .test_programs import CONFIGURATION, KEY, Entry, start_program, write_settings

SILENCE_SECONDS = 1.3
FOR_GOOD_SECONDS = 60.0
PATIENCE_MS = 6000
EVENTS = 6
LARGE_BUDGET = {"retry_slack": 5000.0}

STREAM_ROUTES = ("stream", "keyed-stream", "fixed-stream")
WHOLE_ROUTES = ("safe", "keyed", "unsafe")
REPEATABLE = {"stream", "keyed-stream", "safe", "keyed"}
"""Routes whose requests may be sent to a second endpoint once they may have run."""


def _configure(version: int = 3, added: Sequence[str] = (), **changes: Any) -> dict[str, Any]:
    """Return a configuration with a route of each kind.

    :param added: names of further routes.
    :param changes: of all routes.
    """
    common = {
        **CONFIGURATION["routes"][0],
        "timeoutMs": PATIENCE_MS,
        "targetLatencyMs": 100,
        "public": True,
        "maxAttempts": 2,
        "gapTargetMs": 400,
        **changes,
    }
    kinds = {
        "ready": {"kind": "safe"},
        "stream": {"kind": "streaming", "streamResume": True},
        "keyed-stream": {"kind": "streaming", "streamResume": True, "public": False},
        "fixed-stream": {"kind": "streaming"},
        "safe": {"kind": "safe"},
        "keyed": {"kind": "safe", "public": False},
        "unsafe": {"kind": "unsafe"},
        **{name: {"kind": "safe"} for name in added},
    }
    routes = [
        {**common, "name": name, "prefix": f"/{name}/", **kind} for name, kind in kinds.items()
    ]
    names = {each["service"] for each in routes} | {"plain"}
    services = [
        {"name": name, "healthPath": "/healthz", "maxConnections": 200} for name in sorted(names)
    ]
    limits = {**CONFIGURATION["limits"], "maxBodyBytes": 1_000_000}
    changed = {"version": version, "routes": routes, "services": services, "limits": limits}
    return {**CONFIGURATION, **changed}


@dataclass(frozen=True)
class Request:
    """A request to a route."""

    route: str
    request_id: str

    @property
    def is_stream(self) -> bool:
        """Whether its answer consists of events."""
        return self.route in STREAM_ROUTES


@dataclass(frozen=True)
class Answer:
    """What a caller got.

    :param status: 0 for none.
    :param is_complete: whether it ended as its framing states.
    :param stamp: of the endpoint that gave it, empty for an answer of the node itself.
    :param longest_gap: seconds between two parts of it.
    """

    status: int
    body: bytes = b""
    is_complete: bool = False
    stamp: str = ""
    longest_gap: float = 0.0


@dataclass
class Site:
    """An entry node with its store and endpoints.

    :param path: of the settings file.
    :param slots: of each endpoint.
    :param log: what the endpoints got.
    :param output: what the node has written, as far as it was read.
    """

    store: StandinStore
    path: Path
    slots: int = 90
    log: list[Served] = field(default_factory=list)
    endpoints: list[SilentEndpoint] = field(default_factory=list)
    output: list[bytes] = field(default_factory=list)
    _entry: Entry | None = None

    def __post_init__(self) -> None:
        self.endpoints = [SilentEndpoint(f"i-{n}", self.log, events=EVENTS) for n in (1, 2)]

    @property
    def entry(self) -> Entry:
        """The running entry node."""
        assert self._entry is not None
        return self._entry

    def set(self, **fields: Any) -> None:
        """Set fields of all endpoints."""
        for endpoint in self.endpoints:
            for name, value in fields.items():
                setattr(endpoint, name, value)

    def register(self, endpoint: SilentEndpoint, state: str = "ready") -> None:
        """Put an endpoint into the store's list."""
        fields = {"service": "plain", "address": endpoint.address, "zone": "z1"}
        fields |= {"slots": self.slots}
        sequence = self.store.revision  # rises with each change
        self.store.put(f"servers/{endpoint.name}", {**fields, "state": state, "sequence": sequence})

    async def start(
        self, stack: AsyncExitStack, configuration: dict[str, Any] | None = None, **bounds: float
    ) -> None:
        """Run the entry node, and wait until it serves requests."""
        self.store.put("op/config", configuration or _configure())
        for endpoint in self.endpoints:
            await stack.enter_async_context(endpoint.listen())
            self.register(endpoint)
        bounds = {"grace": 6.0, "revoke": 5.0, **bounds}
        settings = write_settings(self.path, self.store.address, bounds=bounds)
        process = await start_program("entry.py", self.path)

        reading = [
            asyncio.create_task(self._read_output(each))
            for each in (process.stdout, process.stderr)
            if each is not None
        ]

        async def end() -> None:
            if process.returncode is None:
                process.kill()
            await process.wait()
            await asyncio.gather(*reading)

        stack.push_async_callback(end)
        client = await stack.enter_async_context(ClientSession(connector=TCPConnector(limit=0)))
        self._entry = Entry(process, settings, client)
        await self._entry.wait_ready()
        async with asyncio.timeout(20):
            while (await self.ask(Request("ready", "ready"))).status != 200:
                await asyncio.sleep(0.05)
        self.log.clear()

    async def _read_output(self, stream: asyncio.StreamReader) -> None:
        """Read what the node writes, so that it never waits for room."""
        while data := await stream.read(65536):
            self.output.append(data)

    async def read_log(self, requests: Sequence[Request]) -> list[dict[str, Any]]:
        """Return the node's log lines once they tell the end of these requests."""
        ids = {each.request_id for each in requests}
        async with asyncio.timeout(10):
            while True:
                whole, _, _ = b"".join(self.output).rpartition(b"\n")
                lines = [json.loads(each) for each in whole.splitlines() if each[:1] == b"{"]
                ended = [each for each in lines if each["message"] == "request ended"]
                if ids <= {each["request"] for each in ended}:
                    return lines
                await asyncio.sleep(0.1)

    async def ask(
        self, request: Request, deadline_ms: int = PATIENCE_MS, client: ClientSession | None = None
    ) -> Answer:
        """Send one request, and read its answer as far as it comes."""
        loop = asyncio.get_running_loop()
        headers = {
            "Host": "shop.example",
            "X-Attempt-Id": request.request_id,
            "X-Deadline-Ms": str(deadline_ms),
            **KEY,
        }
        url = f"http://{self.entry.settings['front']}/{request.route}/x"
        client = client or self.entry.client
        body, gap, stamp, status = b"", 0.0, "", 0
        try:
            async with client.post(url, headers=headers, data=b"b") as response:
                status, stamp = response.status, response.headers.get("X-Response-Stamp", "")
                at = loop.time()
                async for part in response.content.iter_any():
                    body += part
                    gap, at = max(gap, loop.time() - at), loop.time()
        except ClientError:
            return Answer(status, body, False, stamp, gap)
        return Answer(status, body, True, stamp, gap)

    def begin(
        self, requests: Sequence[Request], deadline_ms: int = PATIENCE_MS
    ) -> dict[Request, asyncio.Task[Answer]]:
        """Send requests at once."""
        return {each: asyncio.create_task(self.ask(each, deadline_ms)) for each in requests}

    async def wait_arrived(self, count: int) -> None:
        """Wait until that many requests have reached endpoints."""
        async with asyncio.timeout(10):
            while len(self.log) < count:
                await asyncio.sleep(0.01)

    async def wait_closed(self) -> None:
        """Wait until no endpoint works on a request any more."""
        try:
            async with asyncio.timeout(5):
                while any(each.is_open for each in self.log):
                    await asyncio.sleep(0.01)
        except TimeoutError:
            still = [each for each in self.log if each.is_open]
            raise AssertionError(f"{len(still)} connections still open: {still}") from None

    async def check(
        self,
        asked: dict[Request, asyncio.Task[Answer]],
        is_excused: Callable[[Request, Answer], bool] = lambda request, answer: False,
        max_attempts: int = 2,
    ) -> dict[Request, Answer]:
        """Wait for answers, and check that each is complete, right and sent for as allowed.

        :param is_excused: whether an answer need not be complete, or may be the node's own.
        """
        answers = {request: await task for request, task in asked.items()}
        faults = []
        for request, answer in answers.items():
            fault = self._find_fault(request, answer, max_attempts)
            if fault is not None and not is_excused(request, answer):
                faults.append(f"{request.request_id}: {fault}")
        faults += self._find_wrong_sends(max_attempts)
        assert not faults, f"{len(faults)} of {len(answers)}: {faults}"
        await self.wait_closed()
        return answers

    def _find_fault(self, request: Request, answer: Answer, max_attempts: int) -> str | None:
        """Return what is wrong with an answer that should be an endpoint's success."""
        request_id = request.request_id
        if not answer.is_complete:
            return f"cut, status {answer.status}, {len(answer.body)} bytes"
        if answer.status != 200:
            return f"status {answer.status} {answer.body[:80]!r}"
        endpoint = answer.stamp.removesuffix(f"-{request_id}")
        if endpoint not in [each.endpoint for each in self.log if each.request_id == request_id]:
            return f"stamp {answer.stamp!r}"
        shape = self.endpoints[0]
        expected = make_body(endpoint, request_id, shape.body_size)
        if request.is_stream:
            expected = make_stream(request_id, EVENTS, shape.event_size)
        if answer.body != expected:
            return f"other body {answer.body[:300]!r}"
        return None

    def _find_wrong_sends(self, max_attempts: int) -> list[str]:
        """Return which requests were sent more often than allowed."""
        faults = []
        for request_id in {each.request_id for each in self.log}:
            sends = [each for each in self.log if each.request_id == request_id]
            run = [each for each in sends if not each.is_rejected]
            route = sends[0].path.split("/")[1]
            if len(sends) > max_attempts:
                faults.append(f"{request_id}: sent {len(sends)} times")
            if len(run) > 1 and route not in REPEATABLE | {"ready"}:
                faults.append(f"{request_id}: run {len(run)} times")
            if len({each.endpoint for each in sends}) < len(sends):
                faults.append(f"{request_id}: sent twice to one endpoint")
        return faults


@pytest.fixture
def site(store: StandinStore, tmp_path: Path) -> Site:
    """Return a site whose entry node is yet to be started."""
    return Site(store, tmp_path / "settings.toml")


def _make_requests(
    phases: Sequence[Phase] = tuple(Phase), routes: Sequence[str] = STREAM_ROUTES + WHOLE_ROUTES
) -> list[Request]:
    """Return a request for each phase and route; ids begin with the phase."""
    return [
        Request(route, f"{phase.name}-{route}")
        for route in routes
        for phase in (STREAM_PHASES if route in STREAM_ROUTES else WHOLE_PHASES)
        if phase in phases
    ]


def _make_silences(seconds: float = SILENCE_SECONDS, send: int | None = None) -> list[Silence]:
    """Return the silences of such requests."""
    return [Silence(each, seconds, send=send, prefix=f"{each.name}-") for each in Phase]


async def test_streams_survive_silence_of_all_endpoints_beside_a_configuration_change(
    stack: AsyncExitStack, site: Site
) -> None:
    """Guards against streams that are cut although their endpoints would have gone on."""
    await site.start(stack)
    site.set(silences=[Silence(Phase.NEXT_EVENT, SILENCE_SECONDS)])
    asked = site.begin([Request("stream", f"s{number}") for number in range(24)])
    await site.wait_arrived(len(asked))
    site.store.put("op/config", _configure(4, ["added"]))
    await site.check(asked)


@pytest.mark.parametrize(
    ("framings", "bounds"),
    [
        ((Framing.CHUNKED, Framing.CHUNKED), {}),
        ((Framing.CHUNKED, Framing.CLOSE), LARGE_BUDGET),
        ((Framing.LENGTH, Framing.CLOSE), {}),
    ],
)
async def test_answers_survive_silence_in_each_phase(
    stack: AsyncExitStack, site: Site, framings: Sequence[Framing], bounds: dict[str, float]
) -> None:
    """Guards against answers that are taken away while both of their endpoints are silent."""
    await site.start(stack, **bounds)
    site.set(silences=_make_silences(), body_size=100_000)
    for endpoint, framing in zip(site.endpoints, framings, strict=True):
        endpoint.framing = framing
    await site.check(site.begin(_make_requests(), deadline_ms=3000))


@pytest.mark.parametrize("bounds", [{}, LARGE_BUDGET])
async def test_answers_survive_silence_of_all_connections_at_one_moment(
    stack: AsyncExitStack, site: Site, bounds: dict[str, float]
) -> None:
    """Guards against answers that end, or are mixed, as all endpoints stop and go on at once.

    With a large budget a second attempt of each has been made when they go on.
    """
    await site.start(stack, **bounds)
    site.set(pace=0.2)
    streams = [Request("stream", f"s{number}") for number in range(16)]
    asked = site.begin(streams)
    await site.wait_arrived(len(asked))
    await asyncio.sleep(0.3)
    for endpoint in site.endpoints:
        endpoint.hold()
    others = _make_requests([Phase.HEAD])
    asked |= site.begin(others, deadline_ms=3000)
    if bounds:
        await site.wait_arrived(2 * len(streams) + len(others))
        await asyncio.sleep(0.2)
    else:
        await asyncio.sleep(SILENCE_SECONDS)
    for endpoint in site.endpoints:
        endpoint.release()
    await site.check(asked)


@pytest.mark.parametrize("rejecting", [1, 2])
async def test_answers_survive_rejection_of_the_second_attempt(
    stack: AsyncExitStack, site: Site, rejecting: int
) -> None:
    """Guards against ending a silent attempt because nothing else accepts the request."""
    await site.start(stack, **LARGE_BUDGET)
    site.set(silences=_make_silences())
    asked = site.begin(_make_requests(), deadline_ms=3000)
    await site.wait_arrived(len(asked))
    for endpoint in site.endpoints[:rejecting]:
        endpoint.is_rejecting = True
    await site.check(asked)


@pytest.mark.parametrize(
    "fault",
    [
        {"statuses": {2: 500}},
        {"restarted_sends": frozenset({2})},
        {
            "silences": [
                Silence(Phase.HEAD, 0.1, send=2, prefix="INSIDE", breaks=True),
                Silence(Phase.HEAD, 0.1, send=2, prefix="HEAD-safe", breaks=True),
                Silence(Phase.FIRST_PART, 0.1, send=2, breaks=True),
                Silence(Phase.END, 0.1, send=2, breaks=True),
            ]
        },
    ],
    ids=["failure", "no resumption", "reset"],
)
async def test_silent_attempt_survives_a_fault_of_the_second_one(
    stack: AsyncExitStack, site: Site, fault: dict[str, Any]
) -> None:
    """Guards against ending a silent attempt with a second one that gives no right answer."""
    await site.start(stack, **LARGE_BUDGET)
    own = fault.get("silences", [])
    site.set(**{**fault, "silences": [*_make_silences(send=1), *own]})
    requests = _make_requests(STREAM_PHASES[1:], ("stream", "keyed-stream", "fixed-stream"))
    if "restarted_sends" not in fault:  # before the first event nothing is resumed
        requests += _make_requests([Phase.HEAD])
    await site.check(site.begin(requests, deadline_ms=3000))
    assert any(each.send == 2 for each in site.log), "no second attempt"


async def test_second_attempt_survives_a_break_of_the_silent_one(
    stack: AsyncExitStack, site: Site
) -> None:
    """Guards against ending a request with its silent attempt while another one is open."""
    await site.start(stack, **LARGE_BUDGET)
    breaks = [Silence(each, 1.5, send=1, prefix=f"{each.name}-", breaks=True) for each in Phase]
    site.set(silences=[*breaks, Silence(Phase.HEAD, 0.8, send=2)])
    requests = _make_requests(STREAM_PHASES, ("stream", "keyed-stream"))
    requests += _make_requests([Phase.HEAD], ("safe", "keyed"))
    await site.check(site.begin(requests, deadline_ms=4000))
    assert sum(each.is_broken for each in site.log) == len(requests)


async def test_capacity_returns_after_silences(stack: AsyncExitStack, site: Site) -> None:
    """Guards against places of attempts, or of waiting second ones, that are never given back.

    All places are taken by silent attempts, so that second attempts wait for one.
    """
    site.slots = 6
    await site.start(stack, **LARGE_BUDGET)
    for turn in range(2):
        site.set(silences=[Silence(Phase.NEXT_EVENT, 1.1, send=1)])
        await site.check(site.begin([Request("stream", f"s{turn}-{n}") for n in range(12)]))
    site.set(silences=[])
    await site.check(site.begin([Request("stream", f"after-{n}") for n in range(12)]))
    after = [each for each in site.log if each.request_id.startswith("after")]
    assert len(after) == 12


async def test_requests_that_come_during_a_silence(stack: AsyncExitStack, site: Site) -> None:
    """Guards against refusing requests since the streams of all endpoints are silent."""
    await site.start(stack, **LARGE_BUDGET)
    site.set(silences=[Silence(Phase.NEXT_EVENT, SILENCE_SECONDS, prefix="s")])
    asked = site.begin([Request("stream", f"s{number}") for number in range(8)])
    await site.wait_arrived(len(asked))
    for turn in range(9):
        await asyncio.sleep(0.15)
        asked |= site.begin([Request(route, f"{turn}-{route}") for route in WHOLE_ROUTES])
    await site.check(asked)


@pytest.mark.parametrize("seed", [1])
async def test_random_silences(stack: AsyncExitStack, site: Site, seed: int) -> None:
    """Guards against answers that are lost in an order of events that no other test has.

    Endpoints are silent for up to 1.3 s in random phases and reject some second attempts; one of
    them leaves, and the configuration changes.
    """
    random = Random(seed)
    site.endpoints.append(SilentEndpoint("i-3", site.log, events=EVENTS))
    await site.start(stack, **random.choice([{}, LARGE_BUDGET]))
    requests = [
        Request(random.choice(STREAM_ROUTES + WHOLE_ROUTES), f"{number:02}-{seed}")
        for number in range(48)
    ]
    site.set(
        silences=[
            Silence(
                random.choice(STREAM_PHASES if request.is_stream else WHOLE_PHASES),
                random.uniform(0.3, SILENCE_SECONDS),
                index=random.randrange(EVENTS),
                send=send,
                prefix=request.request_id,
            )
            for request in requests
            for send in (1, 1, 2)
        ]
    )
    leaves_after = random.randrange(len(requests))
    asked: dict[Request, asyncio.Task[Answer]] = {}
    for begin in range(0, len(requests), 6):
        asked |= site.begin(requests[begin : begin + 6])
        await asyncio.sleep(0.1)
        site.store.put("op/config", _configure(4 + begin, [f"added-{begin}"]))
        for each in site.endpoints:
            each.rejected_sends = random.choice([frozenset(), frozenset({2})])
        if begin >= leaves_after:
            site.register(site.endpoints[0], "draining")
        await asyncio.sleep(random.uniform(0.0, 0.5))
    await site.check(asked)


async def test_slow_caller_is_no_silence_of_its_endpoint(stack: AsyncExitStack, site: Site) -> None:
    """Guards against a second attempt since a caller doesn't read what its endpoint writes."""
    await site.start(stack, **LARGE_BUDGET)
    size = 4_000_000
    site.set(event_size=size)
    host, _, port = site.entry.settings["front"].rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"POST /stream/x HTTP/1.0\r\nHost: shop.example\r\nX-Attempt-Id: slow\r\n"
        b"X-Deadline-Ms: 6000\r\nContent-Length: 0\r\n\r\n"
    )
    await site.wait_arrived(1)
    await asyncio.sleep(1.6)
    (served,) = site.log
    assert served.is_open, "the caller's connection holds the whole stream"
    async with asyncio.timeout(10):
        answer = await reader.read()
    writer.close()
    assert answer.partition(b"\r\n\r\n")[2] == make_stream("slow", EVENTS, size)
    assert len(site.log) == 1


async def test_answers_survive_silence_with_one_attempt(stack: AsyncExitStack, site: Site) -> None:
    """Guards against ending the only attempt that a route allows."""
    await site.start(stack, _configure(maxAttempts=1), **LARGE_BUDGET)
    site.set(silences=_make_silences())
    await site.check(site.begin(_make_requests(), deadline_ms=3000), max_attempts=1)


async def test_silence_of_the_endpoint_that_took_over(stack: AsyncExitStack, site: Site) -> None:
    """Guards against ending both attempts when the second one is silent as well.

    The first endpoint never goes on, so that only the second one can give the answer.
    """
    await site.start(stack, **LARGE_BUDGET)
    first = _make_silences(FOR_GOOD_SECONDS, send=1)
    second = [Silence(Phase.HEAD, 0.8, send=2)]
    site.set(silences=first + second)
    requests = _make_requests(STREAM_PHASES, ("stream", "keyed-stream"))
    requests += _make_requests([Phase.HEAD], ("safe", "keyed"))
    answers = await site.check(site.begin(requests, deadline_ms=4000))
    assert len(site.log) == 2 * len(answers)


async def test_silence_of_two_endpoints_for_good(stack: AsyncExitStack, site: Site) -> None:
    """Guards against fewer attempts than a route allows while two of them are kept open."""
    site.endpoints.append(SilentEndpoint("i-3", site.log, events=EVENTS))
    await site.start(stack, _configure(maxAttempts=3), **LARGE_BUDGET)
    site.set(
        silences=[
            Silence(Phase.NEXT_EVENT, FOR_GOOD_SECONDS, send=1, prefix="stream"),
            Silence(Phase.HEAD, FOR_GOOD_SECONDS, send=1, prefix="safe"),
            Silence(Phase.HEAD, FOR_GOOD_SECONDS, send=2),
        ]
    )
    requests = [Request(route, f"{route}-{n}") for route in ("stream", "safe") for n in range(4)]
    await site.check(site.begin(requests, deadline_ms=4000), max_attempts=3)
    assert len(site.log) == 3 * len(requests)
    assert all(each.closed_at is not None for each in site.log if each.send < 3)


async def test_silence_twice_in_one_stream(stack: AsyncExitStack, site: Site) -> None:
    """Guards against a second silence of a stream that ends it, whichever endpoint writes it."""
    await site.start(stack, **LARGE_BUDGET)
    silences = [Silence(Phase.NEXT_EVENT, 1.1, index=index) for index in (1, 3)]
    site.set(silences=silences)
    await site.check(site.begin([Request("stream", f"s{number}") for number in range(12)]))


async def test_silence_past_the_deadline(stack: AsyncExitStack, site: Site) -> None:
    """Guards against an answer without an end, and against endpoints that work on in vain.

    A request without a begun answer gets an answer of the node; a begun one is cut.
    """
    await site.start(stack, **LARGE_BUDGET)
    site.set(silences=_make_silences(FOR_GOOD_SECONDS))

    def is_due(request: Request, answer: Answer) -> bool:
        phase = Phase[request.request_id.partition("-")[0]]
        if not request.is_stream or phase in (Phase.HEAD, Phase.FIRST_PART):
            return answer.status in (502, 504) and answer.is_complete and not answer.stamp
        return answer.status == 200 and not answer.is_complete

    requests = _make_requests()
    answers = await site.check(site.begin(requests, deadline_ms=1000), is_excused=is_due)
    assert [each for each in requests if answers[each].is_complete and answers[each].stamp] == []


async def test_little_time_left(stack: AsyncExitStack, site: Site) -> None:
    """Guards against taking the last moments of a silent endpoint for another one.

    Only the first endpoint can give the answer before the deadline.
    """
    await site.start(stack, **LARGE_BUDGET)
    second = Silence(Phase.HEAD, FOR_GOOD_SECONDS, send=2)
    site.set(silences=[*_make_silences(send=1), second])
    begun = asyncio.get_running_loop().time()

    def came_late(request: Request, _: Answer) -> bool:
        first = next(each for each in site.log if each.request_id == request.request_id)
        return first.arrived - begun > 0.3

    await site.check(site.begin(_make_requests(), deadline_ms=2400), is_excused=came_late)


async def test_endpoint_that_stays_silent(stack: AsyncExitStack, site: Site) -> None:
    """Guards against requests that wait for an endpoint that never goes on.

    Another one gives the rest within the caller's patience, and the connection to the silent one is
    closed.
    """
    await site.start(stack, **LARGE_BUDGET)
    site.set(silences=_make_silences(FOR_GOOD_SECONDS, send=1))
    requests = _make_requests(STREAM_PHASES, ("stream", "keyed-stream"))
    requests += _make_requests([Phase.HEAD], ("safe", "keyed"))
    answers = await site.check(site.begin(requests, deadline_ms=3000))
    for request in requests:
        first, second = (each for each in site.log if each.request_id == request.request_id)
        assert first.closed_at is not None and second.is_complete
    assert min(each.longest_gap for each in answers.values() if each.longest_gap > 0.5) < 2.0


async def test_endpoint_that_continues_first(stack: AsyncExitStack, site: Site) -> None:
    """Guards against a second attempt that is left open once the first endpoint has gone on."""
    await site.start(stack, **LARGE_BUDGET)
    second = Silence(Phase.HEAD, FOR_GOOD_SECONDS, send=2)
    site.set(silences=[*_make_silences(send=1), second])
    asked = site.begin(_make_requests(), deadline_ms=3000)
    answers = await site.check(asked)
    seconds = [each for each in site.log if each.send == 2]
    assert {each.path.split("/")[1] for each in seconds} == REPEATABLE
    assert all(each.closed_at is not None for each in seconds)
    for request, answer in answers.items():
        first = next(each for each in site.log if each.request_id == request.request_id)
        assert answer.stamp == f"{first.endpoint}-{request.request_id}"
    lines = await site.read_log(list(answers))
    for each in seconds:
        first = next(sent for sent in site.log if sent.request_id == each.request_id)
        found = [line for line in lines if line.get("request") == each.request_id]
        about = [(line["message"], line.get("endpoint")) for line in found]
        assert about == [
            ("attempt", first.endpoint),
            ("endpoint silent", first.endpoint),
            ("attempt", each.endpoint),
            ("silent endpoint continued", first.endpoint),
            ("attempt superseded", each.endpoint),
            ("request ended", first.endpoint),
        ]
        assert [line.get("beside") for line in found if line["message"] == "attempt"] == [
            [],
            [first.endpoint],
        ]
    assert not [line for line in lines if line["message"] == "answer incomplete"]


async def test_caller_that_leaves_during_a_silence(stack: AsyncExitStack, site: Site) -> None:
    """Guards against attempts that outlive their caller, whether one or two are open.

    The endpoints are still silent when their connections are closed.
    """
    await site.start(stack, **LARGE_BUDGET)
    second = Silence(Phase.HEAD, FOR_GOOD_SECONDS, send=2)
    site.set(silences=[*_make_silences(FOR_GOOD_SECONDS, send=1), second])
    asked = site.begin(_make_requests(), deadline_ms=3000)
    await site.wait_arrived(len(asked))
    await asyncio.sleep(1.4)
    seconds = [each for each in site.log if each.send == 2]
    assert {each.path.split("/")[1] for each in seconds} == REPEATABLE
    assert all(each.is_open for each in site.log)
    for task in asked.values():
        task.cancel()
    await site.wait_closed()
    assert len(site.log) == len(asked) + len(seconds)
    assert not any(each.is_complete for each in site.log)


def _drain_endpoints(site: Site) -> None:
    for endpoint in site.endpoints:
        site.register(endpoint, "draining")


def _remove_endpoints(site: Site) -> None:
    for endpoint in site.endpoints:
        site.store.remove(f"servers/{endpoint.name}")


def _remove_one_endpoint(site: Site) -> None:
    site.store.remove("servers/i-1")


def _remove_routes(site: Site) -> None:
    configuration = _configure(4)
    routes = [each for each in configuration["routes"] if each["name"] == "ready"]
    site.store.put("op/config", {**configuration, "routes": routes})


def _change_service(site: Site) -> None:
    site.store.put("op/config", _configure(4, service="other"))


def _shorten_timeouts_and_take_keys_away(site: Site) -> None:
    tenants = [{"name": "org1", "apiKeys": ["k2"], "priority": 1}]
    site.store.put("op/config", {**_configure(4, timeoutMs=1000), "tenants": tenants})


def _add_many_routes_and_change_often(site: Site) -> None:
    for version in range(4, 12):
        added = [f"added-{version}-{number}" for number in range(350)]
        site.store.put("op/config", _configure(version, added))


def _reload_with_half_a_settings_file(site: Site) -> None:
    whole = site.path.read_text()
    site.entry.process.send_signal(signal.SIGHUP)
    site.path.write_text(whole[: len(whole) // 2])
    site.entry.process.send_signal(signal.SIGHUP)


def _refuse_calls(site: Site) -> None:
    site.store.refuse = True


def _stop(site: Site) -> None:
    site.entry.process.send_signal(signal.SIGTERM)


@pytest.mark.parametrize("disturb", [_drain_endpoints, _remove_endpoints, _remove_one_endpoint])
async def test_answers_survive_silence_of_endpoints_that_leave(
    stack: AsyncExitStack, site: Site, disturb: Callable[[Site], None]
) -> None:
    """Guards against giving up endpoints that leave the list while they are silent."""
    await site.start(stack, **LARGE_BUDGET)
    second = Silence(Phase.HEAD, FOR_GOOD_SECONDS, send=2)
    site.set(silences=[*_make_silences(send=1), second])
    asked = site.begin(_make_requests(), deadline_ms=3000)
    await site.wait_arrived(len(asked))
    disturb(site)
    await site.check(asked)


@pytest.mark.parametrize(
    "disturb",
    [
        _remove_routes,
        _change_service,
        _shorten_timeouts_and_take_keys_away,
        _add_many_routes_and_change_often,
        _reload_with_half_a_settings_file,
        _refuse_calls,
        _stop,
    ],
)
async def test_answers_survive_silence_beside(
    stack: AsyncExitStack, site: Site, disturb: Callable[[Site], None]
) -> None:
    """Guards against answers that end since something else changes during a silence.

    Of some requests only the first endpoint gives the answer, of others only the second.
    """
    await site.start(stack, **LARGE_BUDGET)
    lasting = [
        Silence(Phase.NEXT_EVENT, FOR_GOOD_SECONDS, send=1, prefix="lasting-stream"),
        Silence(Phase.HEAD, FOR_GOOD_SECONDS, send=1, prefix="lasting-safe"),
    ]
    seconds = [
        Silence(Phase.HEAD, FOR_GOOD_SECONDS, send=2, prefix=f"{phase.name}-") for phase in Phase
    ]
    site.set(silences=[*_make_silences(send=1), *seconds, *lasting])
    requests = _make_requests()
    requests += [Request(route, f"lasting-{route}") for route in ("stream", "safe")]
    asked = site.begin(requests, deadline_ms=3000)
    await site.wait_arrived(len(asked))
    disturb(site)
    await site.check(asked)
    if disturb is _stop:
        async with asyncio.timeout(10):
            assert await site.entry.process.wait() == 0


async def test_callers_connection_serves_the_next_request(
    stack: AsyncExitStack, site: Site
) -> None:
    """Guards against closing callers' connections behind answers that had a silence."""
    await site.start(stack, **LARGE_BUDGET)
    site.set(silences=_make_silences())
    requests = _make_requests()

    async def ask_twice(request: Request) -> tuple[Answer, Answer, int]:
        connector = TCPConnector(limit=1)
        ports = set()
        async with ClientSession(connector=connector) as client:
            answers = []
            for each in (request, Request(request.route, f"next-{request.request_id}")):
                answers.append(await site.ask(each, 3000, client))
                for (connection,) in connector._conns.values():
                    ports.add(connection[0].transport.get_extra_info("sockname"))
        first, second = answers
        return first, second, len(ports)

    results = await asyncio.gather(*map(ask_twice, requests))
    for request, (first, second, ports) in zip(requests, results, strict=True):
        assert (first.status, first.is_complete) == (200, True), request
        assert (second.status, second.is_complete) == (200, True), request
        assert ports == 1, request
    await site.wait_closed()


async def test_callers_without_chunks(stack: AsyncExitStack, site: Site) -> None:
    """Guards against answers to callers of HTTP/1.0 that end during a silence."""
    await site.start(stack, **LARGE_BUDGET)
    site.set(silences=_make_silences())
    site.endpoints[0].framing = Framing.CLOSE
    host, _, port = site.entry.settings["front"].rpartition(":")

    async def ask(request: Request) -> bytes:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"POST /{request.route}/x HTTP/1.0\r\nHost: shop.example\r\nX-Deadline-Ms: 3000\r\n"
            f"X-Attempt-Id: {request.request_id}\r\nAuthorization: Bearer k1\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        async with asyncio.timeout(10):
            answer = await reader.read()
        writer.close()
        return answer

    requests = _make_requests()
    answers = await asyncio.gather(*map(ask, requests))
    for request, answer in zip(requests, answers, strict=True):
        head, _, body = answer.partition(b"\r\n\r\n")
        assert b" 200 " in head.splitlines()[0], (request, answer)
        bodies = [make_body(each.name, request.request_id) for each in site.endpoints]
        if request.is_stream:
            bodies = [make_stream(request.request_id, EVENTS)]
        assert body in bodies, request
    await site.wait_closed()


async def test_request_still_being_sent_during_a_silence(stack: AsyncExitStack, site: Site) -> None:
    """Guards against ending callers that send long bodies while endpoints are silent."""
    await site.start(stack)
    site.set(silences=_make_silences())
    asked = site.begin(_make_requests(), deadline_ms=3000)
    parts = [bytes([number]) * 60_000 for number in range(8)]

    async def produce() -> Any:
        for part in parts:
            yield part
            await asyncio.sleep(0.25)

    url = f"http://{site.entry.settings['front']}/unsafe/x"
    headers = {"Host": "shop.example", "X-Attempt-Id": "long"}
    async with site.entry.client.post(url, headers=headers, data=produce()) as response:
        answer = response.status, await response.read()
    (sent,) = (each for each in site.log if each.request_id == "long")
    assert answer == (200, make_body(sent.endpoint, "long"))
    assert sent.body == b"".join(parts)
    await site.check(asked)


@pytest.mark.parametrize("body_size", [0, 300_000])
async def test_failure_of_an_endpoint_whose_retry_is_rejected(
    stack: AsyncExitStack, site: Site, body_size: int
) -> None:
    """Guards against an endpoint's own failure that the node replaces by one of its own."""
    await site.start(stack, **LARGE_BUDGET)
    site.set(statuses={1: 500}, rejected_sends=frozenset({2}), body_size=body_size)
    requests = [
        Request(route, f"{route}-{number}") for route in WHOLE_ROUTES for number in range(4)
    ]
    for request, task in site.begin(requests).items():
        answer = await task
        first = next(each for each in site.log if each.request_id == request.request_id)
        body = make_body(first.endpoint, request.request_id, body_size)
        assert (answer.status, answer.is_complete) == (500, True), (request, answer)
        assert answer.stamp == f"{first.endpoint}-{request.request_id}"
        assert answer.body == body
    assert any(each.is_rejected for each in site.log)
    assert not site._find_wrong_sends(2)
    await site.wait_closed()


async def test_failure_of_an_endpoint_whose_retry_is_silent(
    stack: AsyncExitStack, site: Site
) -> None:
    """Guards against losing a failure that was kept while a retry never came to an answer."""
    await site.start(stack, **LARGE_BUDGET)
    silence = Silence(Phase.HEAD, FOR_GOOD_SECONDS, send=2)
    site.set(statuses={1: 500}, silences=[silence])
    requests = [Request(route, f"{route}-{number}") for route in WHOLE_ROUTES for number in (1, 2)]
    for request, task in site.begin(requests, deadline_ms=1000).items():
        answer = await task
        first = next(each for each in site.log if each.request_id == request.request_id)
        assert (answer.status, answer.is_complete) == (500, True), (request, answer)
        assert answer.body == make_body(first.endpoint, request.request_id)
    await site.wait_closed()


async def test_failure_of_an_endpoint_whose_retry_succeeds(
    stack: AsyncExitStack, site: Site
) -> None:
    """Guards against giving a failure where a retry has given the answer."""
    await site.start(stack, **LARGE_BUDGET)
    site.set(statuses={1: 500}, silences=[Silence(Phase.HEAD, SILENCE_SECONDS, send=2)])
    requests = [
        Request(route, f"{route}-{number}") for route in ("safe", "keyed") for number in (1, 2)
    ]
    await site.check(site.begin(requests))
