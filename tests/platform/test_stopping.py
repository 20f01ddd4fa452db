"""Tests of answers that are due when an entry node stops, reloads or closes a connection."""

import asyncio
import json
import re
import signal
import socket
from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any, cast

import pytest
from aiohttp import ClientSession

from wrenloft_core import SettingsError, read_settings
from wrenloft_platform import _serve
from wrenloft_platform._entry import EntryNode, run_entry
from wrenloft_platform._follow import MemberRegistration
from wrenloft_platform._front import FrontHandler, FrontSink
from wrenloft_platform._serve import WatchedFile, start_listener
from wrenloft_routing import CallerRequest, EntrySettings, Forwarder, IncompleteReason
from wrenloft_routing._incomplete_answers import INCOMPLETE_ANSWERS

from .conftest import (
    LOOPBACK,
    StandinEndpoint,
    StandinStore,
    full_response,
    stream_response,
)
from .test_programs import CONFIGURATION, Entry, start_program, write_settings

PATIENCE_SECONDS = 20.0
"""Longest wait of a test for something that must happen."""

GRACE_SECONDS = 4.0

SMALL_RECEIVE_BUFFER = 32768

ROUTES: list[dict[str, Any]] = [
    {**CONFIGURATION["routes"][0], "public": True, "timeoutMs": 60_000},
    {**CONFIGURATION["routes"][1], "timeoutMs": 60_000},
]

Start = Callable[..., Awaitable[Entry]]


@pytest.fixture
def start(
    stack: AsyncExitStack, store: StandinStore, endpoint: StandinEndpoint, tmp_path: Path
) -> Start:
    """Start an entry node with one endpoint and long timeouts."""

    async def start_entry(**settings: Any) -> Entry:
        put_configuration(store, endpoint)
        path = tmp_path / "settings.toml"
        bounds = {"bounds": {"grace": GRACE_SECONDS, "revoke": 5.0}}
        written = write_settings(path, store.address, **{**bounds, **settings})
        process = await start_program("entry.py", path)
        stack.push_async_callback(_kill, process)
        client = await stack.enter_async_context(ClientSession())
        entry = Entry(process, written, client)
        await entry.wait_ready()
        async with asyncio.timeout(PATIENCE_SECONDS):
            while (await entry.send("/once/x"))[0] != 200:
                await asyncio.sleep(0.1)
        endpoint.received.clear()
        return entry

    return start_entry


def put_configuration(store: StandinStore, endpoint: StandinEndpoint) -> None:
    """Configure one endpoint and routes with long timeouts."""
    store.put("op/config", {**CONFIGURATION, "routes": ROUTES})
    fields = {"service": "plain", "address": endpoint.address, "zone": "z1", "slots": 8}
    store.put("servers/i-1", {**fields, "state": "ready", "sequence": 1})


async def _kill(process: asyncio.subprocess.Process) -> None:
    if process.returncode is None:
        process.kill()
        await process.communicate()


class Caller:
    """A caller's connection on which a test writes and reads bytes."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(
        cls, stack: AsyncExitStack, entry: Entry, receive_buffer: int | None = None
    ) -> "Caller":
        """Connect to the front.

        :param receive_buffer: bytes that the kernel holds, ``None`` for its default.
        """
        host, _, port = entry.settings["front"].rpartition(":")
        connection = socket.socket()
        if receive_buffer is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        connection.setblocking(False)
        await asyncio.get_running_loop().sock_connect(connection, (host, int(port)))
        reader, writer = await asyncio.open_connection(sock=connection)
        stack.callback(writer.close)
        return cls(reader, writer)

    def send(self, path: str, request_id: str, *, version: str = "1.1", body: bytes = b"") -> None:
        """Write a request, with a stated length of at least its body's."""
        self.writer.write(build_request(path, request_id, version=version, body=body))

    async def read_rest(self) -> bytes:
        """Read to the end of the connection.

        :raises ConnectionResetError: if it was reset.
        """
        async with asyncio.timeout(PATIENCE_SECONDS):
            return await self.reader.read()


def build_request(
    path: str, request_id: str, *, version: str = "1.1", body: bytes = b"", length: int = 0
) -> bytes:
    """Return a request; ``length`` states a longer body than there is."""
    head = (
        f"POST {path} HTTP/{version}\r\nHost: shop.example\r\nX-Attempt-Id: {request_id}\r\n"
        f"Content-Length: {max(length, len(body))}\r\n\r\n"
    )
    return head.encode() + body


def list_statuses(data: bytes) -> list[int]:
    """Return the statuses of the answers on a connection."""
    return [int(each) for each in re.findall(rb"HTTP/1\.[01] (\d{3}) ", data)]


async def wait_until(is_met: Callable[[], Any]) -> None:
    """Wait until something is true."""
    async with asyncio.timeout(PATIENCE_SECONDS):
        while not is_met():
            await asyncio.sleep(0.02)


async def stop(entry: Entry) -> list[dict[str, Any]]:
    """Wait for the process to end by itself, and return its log."""
    async with asyncio.timeout(PATIENCE_SECONDS):
        out, _ = await entry.process.communicate()
    assert entry.process.returncode == 0
    return [json.loads(line) for line in out.decode().splitlines()]


def list_incomplete(log: list[dict[str, Any]]) -> dict[str, str]:
    """Return the reasons of connections that ended without a complete answer, by request."""
    found = [each for each in log if each["message"] == "answer incomplete"]
    assert len({each["request"] for each in found}) == len(found), "recorded twice"
    return {each["request"]: each["reason"] for each in found}


class TestCutoff:
    """Tests of requests that are in progress at the end of the grace period."""

    async def test_requests_without_an_answer_get_a_final_one(
        self, stack: AsyncExitStack, start: Start, endpoint: StandinEndpoint
    ) -> None:
        """Guards against closing a connection on which no byte of an answer was sent."""
        entry = await start()
        endpoint.work = 60.0
        sent = await Caller.open(stack, entry)
        sent.send("/once/x", "sent")
        await wait_until(lambda: endpoint.received)
        entry.process.send_signal(signal.SIGTERM)
        unfinished = await Caller.open(stack, entry)
        unfinished.writer.write(build_request("/once/x", "unfinished", body=b"b", length=9))
        answers = await asyncio.gather(sent.read_rest(), unfinished.read_rest())
        assert [list_statuses(each) for each in answers] == [[502], [503]]
        assert b"retry-after: 0\r\n" in answers[1].lower()
        assert b"retry-after" not in answers[0].lower()
        assert list_incomplete(await stop(entry)) == {}
        assert len(endpoint.received) == 1

    async def test_begun_streams_never_look_complete(
        self, stack: AsyncExitStack, start: Start, endpoint: StandinEndpoint
    ) -> None:
        """Guards against a cut stream that its caller takes for a whole one.

        By HTTP/1.0, where the end of the connection ends the stream, only a reset tells.
        """
        entry = await start()
        endpoint.pause = 0.3
        endpoint.answers = [stream_response(*(b"id: %d\n\n" % n for n in range(90)))] * 2
        callers = {}
        for version in ("1.1", "1.0"):
            callers[version] = await Caller.open(stack, entry)
            callers[version].send("/stream/x", f"stream-{version}", version=version)
        await wait_until(lambda: len(endpoint.received) == 2)
        entry.process.send_signal(signal.SIGTERM)
        chunked, unframed = await asyncio.gather(
            *(each.read_rest() for each in callers.values()), return_exceptions=True
        )
        assert isinstance(chunked, bytes)
        assert b"id: 2\n\n" in chunked
        assert not chunked.endswith(b"0\r\n\r\n")
        assert isinstance(unframed, ConnectionResetError)
        reasons = list_incomplete(await stop(entry))
        assert reasons == {"stream-1.1": "stopped", "stream-1.0": "stopped"}


@pytest.mark.parametrize("unregister_fails", [False, True])
async def test_failed_background_task_ends_the_node_behind_its_requests(
    stack: AsyncExitStack,
    store: StandinStore,
    endpoint: StandinEndpoint,
    tmp_path: Path,
    monkeypatch: pytest.MonkeyPatch,
    unregister_fails: bool,
) -> None:
    """Guards against an internal error that cuts requests which the node could still serve."""
    failing = asyncio.Event()

    async def fail(_: object) -> None:
        await failing.wait()
        raise KeyError("x")

    monkeypatch.setattr(EntryNode, "_end_rests", fail)
    if unregister_fails:
        monkeypatch.setattr(MemberRegistration, "unregister", fail)
    put_configuration(store, endpoint)
    path = tmp_path / "settings.toml"
    written = write_settings(path, store.address)
    running = asyncio.create_task(run_entry(read_settings(path, EntrySettings), path))
    stack.callback(running.cancel)
    client = await stack.enter_async_context(ClientSession())
    entry = Entry(cast(Any, None), written, client)
    await entry.wait_ready()
    endpoint.pause = 0.2
    endpoint.answers = [stream_response(*(b"id: %d\n\n" % n for n in range(15)))]
    caller = await Caller.open(stack, entry)
    caller.send("/stream/x", "r0")
    await caller.reader.readuntil(b"id: 0")
    failing.set()
    assert (await caller.read_rest()).endswith(b"id: 14\n\n\r\n0\r\n\r\n")
    async with asyncio.timeout(PATIENCE_SECONDS):
        await running


class TestLateRequests:
    """Tests of requests that arrive after the stop signal."""

    async def test_stream_that_can_not_end_in_time_is_refused_as_not_run(
        self, stack: AsyncExitStack, start: Start, endpoint: StandinEndpoint
    ) -> None:
        """Guards against a late stream that is passed on and cut off at the end of the grace."""
        entry = await start()
        endpoint.pause = GRACE_SECONDS / 10
        endpoint.answers = [stream_response(*(b"id: %d\n\n" % n for n in range(10)))]
        caller = await Caller.open(stack, entry)
        caller.send("/stream/x", "known")
        await caller.reader.readuntil(b"\r\n0\r\n\r\n")
        endpoint.pause = 0.0
        await self._stop_accepting(entry)
        late, late_once = await Caller.open(stack, entry), await Caller.open(stack, entry)
        late.send("/stream/x", "late")
        late_once.send("/once/x", "late-once")
        answer = await late.read_rest()
        assert list_statuses(answer) == [503]
        assert b"retry-after: 0.000\r\n" in answer.lower()
        assert list_statuses(await late_once.read_rest()) == [200]
        await stop(entry)
        assert "late" not in {each.headers["x-attempt-id"] for each in endpoint.received}

    async def test_request_of_unknown_length_is_refused_as_not_run(
        self, stack: AsyncExitStack, start: Start, endpoint: StandinEndpoint
    ) -> None:
        """Guards against a late request whose rule allows more time than the node has."""
        entry = await start()
        await self._stop_accepting(entry)
        caller = await Caller.open(stack, entry)
        caller.send("/stream/x", "late")
        assert list_statuses(await caller.read_rest()) == [503]
        await stop(entry)
        assert not endpoint.received

    @staticmethod
    async def _stop_accepting(entry: Entry) -> None:
        entry.process.send_signal(signal.SIGTERM)
        async with asyncio.timeout(PATIENCE_SECONDS):
            while await entry.get_status("readiness", "/readyz") == 200:
                await asyncio.sleep(0.01)


class TestWaitingRequests:
    """Tests of requests that were read while others of the same connection are in progress."""

    async def test_requests_behind_one_in_progress_at_the_stop_are_served(
        self, stack: AsyncExitStack, start: Start, endpoint: StandinEndpoint
    ) -> None:
        """Guards against an answer that closes the connection on requests that were read."""
        entry = await start()
        endpoint.work = 0.6
        caller = await Caller.open(stack, entry)
        for number in range(3):
            caller.send("/once/x", f"r{number}")
        await wait_until(lambda: endpoint.received)
        entry.process.send_signal(signal.SIGTERM)
        answer = await caller.read_rest()
        assert list_statuses(answer) == [200, 200, 200]
        *before, last = answer.lower().split(b"http/1.1 ")[1:]
        assert b"connection: close" in last
        assert not any(b"connection: close" in each for each in before)
        assert list_incomplete(await stop(entry)) == {}

    async def test_requests_behind_a_long_one_at_the_cutoff_are_refused_as_not_run(
        self, stack: AsyncExitStack, start: Start, endpoint: StandinEndpoint
    ) -> None:
        """Guards against requests that vanish because the one before took all of the time."""
        entry = await start()
        endpoint.work = 60.0
        caller = await Caller.open(stack, entry)
        for number in range(3):
            caller.send("/once/x", f"r{number}")
        await wait_until(lambda: endpoint.received)
        entry.process.send_signal(signal.SIGTERM)
        assert list_statuses(await caller.read_rest()) == [502, 503, 503]
        await stop(entry)
        assert len(endpoint.received) == 1

    async def test_more_requests_than_the_library_queues_are_all_answered(
        self, stack: AsyncExitStack, start: Start, endpoint: StandinEndpoint
    ) -> None:
        """Guards against a stop that drops requests which were read, or not yet parsed."""
        entry = await start()
        endpoint.work = 0.02
        caller = await Caller.open(stack, entry)
        for number in range(40):
            caller.send("/once/x", f"r{number}")
        await wait_until(lambda: endpoint.received)
        entry.process.send_signal(signal.SIGTERM)
        statuses = list_statuses(await caller.read_rest())
        assert len(statuses) == 40
        assert statuses.count(200) == len(endpoint.received)
        assert set(statuses) <= {200, 503}

    async def test_body_that_stays_away_gets_an_answer(
        self,
        stack: AsyncExitStack,
        start: Start,
        store: StandinStore,
        endpoint: StandinEndpoint,
    ) -> None:
        """Guards against closing a connection on which a part of a request was read."""
        entry = await start()
        limits = {**CONFIGURATION["limits"], "idleTimeoutMs": 300}
        store.put("op/config", {**CONFIGURATION, "version": 4, "routes": ROUTES, "limits": limits})
        answer = b""
        async with asyncio.timeout(PATIENCE_SECONDS):
            while not answer:
                caller = await Caller.open(stack, entry)
                caller.writer.write(build_request("/once/x", "r0", body=b"b", length=9))
                try:
                    async with asyncio.timeout(3.0):
                        answer = await caller.reader.readuntil(b"\r\n\r\n")
                except TimeoutError:
                    continue  # the limit has not reached the node yet
        answer += await caller.read_rest()
        assert answer.endswith(b"body not received in time")
        assert list_statuses(answer) == [408]
        assert not endpoint.received

    async def test_request_behind_a_rejected_body_is_refused_as_not_run(
        self, stack: AsyncExitStack, start: Start, endpoint: StandinEndpoint
    ) -> None:
        """Guards against running a request that its caller takes for unread, or dropping it."""
        entry = await start()
        caller = await Caller.open(stack, entry)
        caller.send("/once/x", "long", body=b"b" * 1001)
        caller.send("/once/x", "behind")
        answer = await caller.read_rest()
        assert list_statuses(answer) == [413, 503]
        assert b"retry-after: 0\r\n" in answer.lower()
        assert not endpoint.received

    async def test_request_behind_an_unframed_stream_does_not_end_up_in_it(
        self, stack: AsyncExitStack, start: Start, endpoint: StandinEndpoint
    ) -> None:
        """Guards against a further answer that its caller takes for the rest of a stream."""
        entry = await start()
        endpoint.pause = 0.2
        endpoint.answers = [stream_response(*(b"id: %d\n\n" % n for n in range(3)))]
        caller = await Caller.open(stack, entry)
        request = build_request("/stream/x", "r0", version="1.0")
        caller.writer.write(request.replace(b"\r\n\r\n", b"\r\nConnection: keep-alive\r\n\r\n"))
        await wait_until(lambda: endpoint.received)
        caller.send("/once/x", "r1", version="1.0")
        assert (await caller.read_rest()).endswith(b"id: 2\n\n")
        assert len(endpoint.received) == 1


class TestCallers:
    """Tests of callers that leave, or that take their answers slowly."""

    async def test_answers_that_callers_have_not_taken_are_sent_before_the_exit(
        self, stack: AsyncExitStack, start: Start, endpoint: StandinEndpoint
    ) -> None:
        """Guards against a process that exits with the rest of an answer in its buffers."""
        entry = await start(contracts=["pressure"], memory_mb=2000, bounds={"grace": 7.0})
        body = bytes(1_000_000)
        endpoint.answers = [full_response(body)]
        caller = await Caller.open(stack, entry, receive_buffer=SMALL_RECEIVE_BUFFER)
        caller.send("/once/x", "large")
        await wait_until(lambda: endpoint.received)
        entry.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(3.5)  # longer than the node accepts requests
        assert len(await caller.read_rest()) > len(body)
        assert list_incomplete(await stop(entry)) == {}

    @pytest.mark.parametrize("size", [1_000_000, 3_000_000])
    async def test_answers_that_callers_do_not_take_before_the_exit_are_recorded(
        self, stack: AsyncExitStack, start: Start, endpoint: StandinEndpoint, size: int
    ) -> None:
        """Guards against answers that are cut at the exit without a record.

        The handler of the smaller one ends before its caller has taken it.
        """
        entry = await start(contracts=["pressure"], memory_mb=2000)
        endpoint.answers = [full_response(bytes(size))]
        caller = await Caller.open(stack, entry, receive_buffer=SMALL_RECEIVE_BUFFER)
        caller.send("/once/x", "large")
        await wait_until(lambda: endpoint.received)
        entry.process.send_signal(signal.SIGTERM)
        assert list_incomplete(await stop(entry)) == {"large": "stopped"}
        assert len(await caller.read_rest()) < size

    @pytest.mark.parametrize("half", [False, True])
    async def test_caller_that_leaves_is_recorded_and_ends_the_work(
        self, stack: AsyncExitStack, start: Start, endpoint: StandinEndpoint, half: bool
    ) -> None:
        """Guards against work that goes on for a caller that left, and against its silent end.

        The end of what a caller sends is taken for that of the connection: a close looks the same.
        """
        entry = await start()
        endpoint.pause = 0.1
        endpoint.answers = [stream_response(*(b"id: %d\n\n" % n for n in range(200)))]
        caller = await Caller.open(stack, entry)
        caller.send("/stream/x", "left")
        await caller.reader.readuntil(b"id: 0")
        if half:
            caller.writer.write_eof()
        else:
            caller.writer.close()
        async with asyncio.timeout(0.5 + PATIENCE_SECONDS / 10):
            while not endpoint.disconnects:
                await asyncio.sleep(0.02)
        entry.process.send_signal(signal.SIGTERM)
        assert list_incomplete(await stop(entry)) == {"left": "caller left"}


class TestExtraResponses:
    """Tests of responses to earlier requests on kept connections to endpoints."""

    @pytest.mark.parametrize("parts", [1, 2])
    @pytest.mark.parametrize("count", [1, 2])
    async def test_true_response_behind_extra_ones_is_passed_on(
        self,
        stack: AsyncExitStack,
        start: Start,
        endpoint: StandinEndpoint,
        parts: int,
        count: int,
    ) -> None:
        """Guards against closing the connection on which the answer of a request follows.

        The request may not be repeated, so that its caller would get none.
        """
        entry = await start()
        extra = full_response(b"late").replace(b"{id}", b"r0")
        between = b"|PAUSE|" if parts == 2 else b""
        endpoint.pause = 0.1
        endpoint.answers = [
            full_response(b"first"),
            extra * count + between + full_response(b"own"),
        ]
        caller = await Caller.open(stack, entry)
        for request_id, body in (("r0", b"first"), ("r1", b"own")):
            caller.send("/once/x", request_id)
            head = await caller.reader.readuntil(b"\r\n\r\n")
            assert list_statuses(head) == [200]
            assert f"x-attempt-id: {request_id}\r\n".encode() in head.lower()
            assert await caller.reader.readexactly(len(body)) == body
        assert [each.headers["x-attempt-id"] for each in endpoint.received] == ["r0", "r1"]

    async def test_extra_response_without_a_true_one_is_not_passed_on(
        self, stack: AsyncExitStack, start: Start, endpoint: StandinEndpoint
    ) -> None:
        """Guards against an answer to another request where the connection ends behind it."""
        entry = await start()
        extra = full_response(b"late").replace(b"{id}", b"r0")
        endpoint.answers = [full_response(b"first"), extra + b"RESET"]
        caller = await Caller.open(stack, entry)
        for request_id in ("r0", "r1"):
            caller.send("/once/x", request_id)
        await wait_until(lambda: len(endpoint.received) == 2)
        head = await caller.reader.readuntil(b"first")
        assert list_statuses(head) == [200]
        assert list_statuses(await caller.reader.readuntil(b"\r\n\r\n")) == [502]


async def test_requests_of_a_caller_that_left_are_not_waited_for(stack: AsyncExitStack) -> None:
    """Guards against a stop that takes all of its time for requests that nobody waits for."""
    forwarder = SilentForwarder()
    front = FrontHandler(cast(Forwarder, forwarder), lambda: False)
    listener = await start_listener(stack, front.handle, f"{LOOPBACK}:0", caller_facing=True)
    reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
    caller = Caller(reader, writer)
    for number in range(3):
        caller.send("/x", f"r{number}")
    await wait_until(lambda: forwarder.received)
    connections = list(front._connections)
    await wait_until(lambda: connections[0].has_waiting_request)
    assert front.owes_answers()
    writer.close()
    await wait_until(lambda: not front.owes_answers())
    assert len(forwarder.received) == 1


class SilentForwarder:
    """A forwarder that gives no answer."""

    table = None

    def __init__(self) -> None:
        self.received: list[CallerRequest] = []

    async def forward(self, request: CallerRequest, sink: FrontSink) -> None:
        """Wait until cancelled."""
        self.received.append(request)
        await asyncio.Event().wait()


class FailingForwarder:
    """A forwarder with an internal error.

    :param begin: whether it comes inside a streamed answer.
    """

    table = None

    def __init__(self, error: Exception, *, begin: bool) -> None:
        self._error = error
        self._begin = begin

    async def forward(self, request: CallerRequest, sink: FrontSink) -> None:
        """Raise the error."""
        if self._begin:
            await sink.begin(200, ())
            await sink.write(b"id: 0\n\n")
        raise self._error


@pytest.mark.parametrize("error", [KeyError("x"), TimeoutError("x"), ConnectionResetError("x")])
@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("begin", [False, True])
async def test_internal_error_gives_a_final_answer_or_aborts_a_begun_one(
    stack: AsyncExitStack, error: Exception, version: str, begin: bool
) -> None:
    """Guards against an error that looks like a complete answer, or like a caller that left."""
    forwarder = FailingForwarder(error, begin=begin)
    front = FrontHandler(cast(Forwarder, forwarder), lambda: False)
    listener = await start_listener(stack, front.handle, f"{LOOPBACK}:0", caller_facing=True)
    reader, writer = await asyncio.open_connection(*listener.sockets[0].getsockname())
    stack.callback(writer.close)
    counter = INCOMPLETE_ANSWERS.labels(IncompleteReason.ERROR.value)
    before = counter._value.get()
    caller = Caller(reader, writer)
    caller.send("/x", "r0", version=version)
    if not begin:
        assert list_statuses(await caller.read_rest()) == [500]
    elif version == "1.0":
        with pytest.raises(ConnectionResetError):
            await caller.read_rest()
    else:
        assert not (await caller.read_rest()).endswith(b"0\r\n\r\n")
    assert counter._value.get() - before == begin


INVALID_SETTINGS = {
    "half written": b'name = "entry-1"\nip = "127.0',
    "not UTF-8": b'name = "\xff\xfe"\n',
    "wrong type": b'internal_port = "x"\n',
    "nested too deeply": b"name = " + b"[" * 20_000,
    "number too long": b"internal_port = " + b"1" * 5000,
    "empty": b"",
    "missing": None,
}


class TestReload:
    """Tests of changes of the settings file beside requests in progress."""

    async def test_invalid_settings_are_rejected_beside_requests_in_progress(
        self, stack: AsyncExitStack, start: Start, endpoint: StandinEndpoint, tmp_path: Path
    ) -> None:
        """Guards against a reload that ends the process, its requests or its watch of the file."""
        entry = await start()
        endpoint.pause = 0.2
        endpoint.answers = [stream_response(*(b"id: %d\n\n" % n for n in range(20)))]
        caller = await Caller.open(stack, entry)
        caller.send("/stream/x", "r0")
        await wait_until(lambda: endpoint.received)
        path = tmp_path / "settings.toml"
        valid = path.read_bytes()
        for content in INVALID_SETTINGS.values():
            if content is None:
                path.unlink()
            else:
                path.write_bytes(content)
            entry.process.send_signal(signal.SIGHUP)
            await asyncio.sleep(0.2)
        path.write_bytes(valid.replace(b"grace = 4.0", b"grace = 4.5"))
        async with asyncio.timeout(PATIENCE_SECONDS):
            while b"id: 19" not in (answer := await caller.reader.readuntil(b"\n\n")):
                pass
        assert answer.endswith(b"id: 19\n\n")
        await asyncio.sleep(1.5)  # longer than the interval of checks
        entry.process.send_signal(signal.SIGTERM)
        log = await stop(entry)
        message = "settings rejected; keeping the previous ones"
        rejected = [each for each in log if each["message"] == message]
        assert {each["level"] for each in rejected} == {"WARNING"}
        assert len(rejected) >= len(INVALID_SETTINGS)
        assert "settings reloaded" in {each["message"] for each in log}
        assert not [each for each in log if "exception" in each]

    @pytest.mark.parametrize("content", INVALID_SETTINGS.values(), ids=INVALID_SETTINGS)
    def test_invalid_settings_raise_one_kind_of_error(
        self, tmp_path: Path, content: bytes | None
    ) -> None:
        """Guards against errors of the parser that nobody handles."""
        path = tmp_path / "settings.toml"
        if content is not None:
            path.write_bytes(content)
        with pytest.raises(SettingsError):
            read_settings(path, EntrySettings)

    async def test_file_is_watched_although_it_is_missing_at_first(
        self, stack: AsyncExitStack, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against settings that are never read again."""
        calls: list[bytes] = []
        path = tmp_path / "settings.toml"
        file = self._watch(stack, path, lambda: calls.append(path.read_bytes()), monkeypatch)
        await asyncio.sleep(0.05)
        path.write_bytes(b"1")
        await wait_until(lambda: calls)
        path.write_bytes(b"2")
        file.reread()
        await asyncio.sleep(0.1)
        assert calls == [b"1", b"2"]

    async def test_file_is_watched_after_an_error_of_its_reader(
        self, stack: AsyncExitStack, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against one invalid change that hides all later ones."""
        calls: list[bytes] = []
        path = tmp_path / "settings.toml"
        path.write_bytes(b"0")

        def apply() -> None:
            calls.append(path.read_bytes())
            raise KeyError("x")

        self._watch(stack, path, apply, monkeypatch)
        for number in (b"1", b"2"):
            path.write_bytes(number)
            await wait_until(lambda number=number: number in calls)
        await asyncio.sleep(0.1)
        assert calls == [b"1", b"2"]

    @staticmethod
    def _watch(
        stack: AsyncExitStack,
        path: Path,
        on_change: Callable[[], None],
        monkeypatch: pytest.MonkeyPatch,
    ) -> WatchedFile:
        monkeypatch.setattr(_serve, "_FILE_POLL_SECONDS", 0.01)
        file = WatchedFile(path, on_change)
        watching = asyncio.create_task(file.watch())
        stack.callback(watching.cancel)
        return file
