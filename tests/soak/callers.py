"""Callers that keep their connections, and what they see of the answers to their requests."""

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from wrenloft_platform import _names as names

from .documents import HOST, KEYS, ROUTES, Route
from .endpoint import PLAN_HEADER, Plan

PATIENCE_SECONDS = 3.0
"""How long a caller waits for the end of an answer after its deadline has passed."""

_CONNECT_SECONDS = 1.0


class End(Enum):
    """How a request ended for its caller.

    ``NOT_SENT`` means that the connection ended before the request was sent whole.
    """

    COMPLETE = "complete"
    CLOSED = "closed"
    RESET = "reset"
    LEFT = "left"
    UNANSWERED = "unanswered"
    NOT_SENT = "not sent"


@dataclass
class Answer:
    """What has been received of an answer.

    :param extra: bytes behind the end of a complete answer.
    """

    complete: bool = False
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    extra: bytes = b""


@dataclass
class Exchange:
    """One request of a caller, and what came of it.

    :param deadline: seconds that the caller states.
    :param leaves_after: seconds after which the caller closes its connection, ``None`` if it waits.
    :param old: whether it is sent by HTTP/1.0.
    :param node: number of the entry node.
    :param opened_at: time at which the connection was opened.
    :param sent_at: time at which the request was sent whole, 0 if it was not.
    """

    request_id: str
    name: str
    plan: Plan
    deadline: float
    body: bytes
    key: str
    leaves_after: float | None
    old: bool
    last_event: int | None
    node: int = 0
    opened_at: float = 0.0
    begun_at: float = 0.0
    sent_at: float = 0.0
    ended_at: float = 0.0
    answer: Answer = field(default_factory=Answer)
    end: End = End.NOT_SENT

    @property
    def route(self) -> Route:
        """The route that the request is sent to."""
        return ROUTES[self.name]

    @property
    def path(self) -> str:
        """Path of the request."""
        return f"/{self.name}/{self.request_id}"

    def encode_head(self, *, chunked: bool) -> bytes:
        """Return the head of the request."""
        lines = [
            f"POST {self.path} HTTP/1.{0 if self.old else 1}",
            f"Host: {HOST}",
            f"{names.ATTEMPT_ID}: {self.request_id}",
            f"{names.DEADLINE}: {round(self.deadline * 1000)}",
            f"{PLAN_HEADER}: {self.plan.encode()}",
            "Transfer-Encoding: chunked" if chunked else f"Content-Length: {len(self.body)}",
        ]
        if self.route.keyed:
            lines.append(f"Authorization: {names.KEY_SCHEME}{self.key}")
        if self.last_event is not None:
            lines.append(f"{names.LAST_EVENT}: {self.last_event}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Connection(asyncio.Protocol):
    """A caller's connection, which collects what it receives."""

    def __init__(self) -> None:
        self.opened_at = time.monotonic()
        self.received = b""
        self.end: End | None = None
        self.changed = asyncio.Event()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received += data
        self.changed.set()

    def connection_lost(self, error: Exception | None) -> None:
        self.end = End.CLOSED if error is None else End.RESET
        self.changed.set()

    async def send(self, data: bytes) -> bool:
        """Send bytes; return whether the connection was open until all of them had been sent."""
        self.transport.write(data)
        while self.end is None and self.transport.get_write_buffer_size():
            await asyncio.sleep(0.01)
        return self.end is None

    def parse_answer(self) -> Answer:
        """Parse what has been received of an answer, and decide whether it is complete."""
        head, found, rest = self.received.partition(b"\r\n\r\n")
        if not found:
            return Answer()
        line, *fields = head.decode("latin-1").split("\r\n")
        headers = {k.lower(): v for k, _, v in (each.partition(": ") for each in fields)}
        status = int(line.split(" ")[1])
        if "chunked" in headers.get("transfer-encoding", ""):
            complete, body, extra = _parse_chunks(rest)
            return Answer(complete, status, headers, body, extra)
        if "content-length" in headers:
            size = int(headers["content-length"])
            return Answer(len(rest) >= size, status, headers, rest[:size], rest[size:])
        return Answer(self.end is End.CLOSED, status, headers, rest)


def _parse_chunks(data: bytes) -> tuple[bool, bytes, bytes]:
    """Return whether the last chunk is there, the body, and what follows it."""
    body = b""
    while True:
        line, found, rest = data.partition(b"\r\n")
        if not found:
            return False, body, b""
        size = int(line, 16)
        if len(rest) < size + 2:
            return False, body + rest[:size], b""
        if not size:
            return True, body, rest[2:]
        body += rest[:size]
        data = rest[size + 2 :]


@dataclass
class Caller:
    """Sends requests one after another, over connections that it keeps while they are open.

    :param list_fronts: returns the addresses of all entry nodes.
    """

    name: str
    random: Random
    list_fronts: Callable[[], list[tuple[str, int]]]
    exchanges: list[Exchange] = field(default_factory=list)

    async def run(self, until: float) -> None:
        """Send requests until a time, and wait for the answer to the last of them."""
        loop = asyncio.get_running_loop()
        while time.monotonic() < until:
            fronts = self.list_fronts()
            node = self.random.randrange(len(fronts))
            try:
                async with asyncio.timeout(_CONNECT_SECONDS):
                    _, connection = await loop.create_connection(Connection, *fronts[node])
            except (OSError, TimeoutError):
                await asyncio.sleep(0.05)  # the node is being restarted
                continue
            try:
                while time.monotonic() < until and connection.end is None:
                    exchange = self._draw_exchange()
                    exchange.node, exchange.opened_at = node, connection.opened_at
                    self.exchanges.append(exchange)
                    if not await self._send(connection, exchange):
                        break
                    longest = 0.3 if exchange.answer.status != 200 else self.random.choice((0, 0.3))
                    await asyncio.sleep(self.random.uniform(0.0, longest))
                    exchange.answer = connection.parse_answer()
            finally:
                connection.transport.abort()

    def _draw_exchange(self) -> Exchange:
        random = self.random
        name = random.choice(list(ROUTES))
        streaming = ROUTES[name].streaming
        plan = Plan(
            events=random.randint(6, 22) if streaming else 0,
            work=random.choice((0.02, 0.1, 0.4)),
            gap=random.uniform(0.03, 0.12),
            size=random.choice((10, 1000, 60000)),
            status=500 if random.random() < 0.03 and not streaming else 200,
            early_head=random.random() < 0.3,
            framed=random.random() > 0.08,
            closing=random.random() < 0.05,
        )
        leaves = random.random() < 0.08
        if leaves:
            plan = Plan(events=30 * streaming, work=0.1 if streaming else 6.0, gap=0.25)
        large = random.random() < 0.1
        resumed = streaming and ROUTES[name].idempotent and random.random() < 0.15
        return Exchange(
            request_id=f"{self.name}-{len(self.exchanges)}",
            name=name,
            plan=plan,
            deadline=random.uniform(8.0, 12.0) if random.random() < 0.9 else 2.5,
            body=random.randbytes(random.randint(100_000, 600_000) if large else 64),
            key=random.choice((*KEYS, KEYS[0])),
            leaves_after=random.uniform(0.1, 1.5) if leaves else None,
            old=random.random() < 0.12,
            last_event=random.randint(0, 3) if resumed else None,
        )

    async def _send(self, connection: Connection, exchange: Exchange) -> bool:
        """Send a request and read its answer; return whether the connection can be kept."""
        connection.received = b""
        exchange.begun_at = time.monotonic()
        await self._write(connection, exchange)
        if exchange.leaves_after is None:
            until = exchange.begun_at + exchange.deadline + PATIENCE_SECONDS
        else:
            until = time.monotonic() + exchange.leaves_after
        try:
            async with asyncio.timeout_at(until):
                while not _read(connection, exchange):
                    connection.changed.clear()
                    await connection.changed.wait()
        except TimeoutError:
            exchange.end = End.UNANSWERED if exchange.leaves_after is None else End.LEFT
        exchange.ended_at = time.monotonic()
        closing = "close" in exchange.answer.headers.get("connection", "").lower()
        return exchange.end is End.COMPLETE and not exchange.old and not closing

    async def _write(self, connection: Connection, exchange: Exchange) -> None:
        """Send a request, a long body in parts; stop if it is answered before."""
        chunked = not exchange.old and self.random.random() < 0.3
        step = max(1, len(exchange.body) // self.random.randint(1, 8))
        if not await connection.send(exchange.encode_head(chunked=chunked)):
            return
        for n in range(0, len(exchange.body), step):
            part = exchange.body[n : n + step]
            data = f"{len(part):x}\r\n".encode() + part + b"\r\n" if chunked else part
            if connection.received or not await connection.send(data):
                return
            if step > 1000:
                await asyncio.sleep(0.03)
        if not chunked or await connection.send(b"0\r\n\r\n"):
            exchange.sent_at = time.monotonic()


def _read(connection: Connection, exchange: Exchange) -> bool:
    """Read what there is of the answer; return whether it has ended."""
    exchange.answer = connection.parse_answer()
    if exchange.answer.complete:
        exchange.end = End.COMPLETE
    elif connection.end is not None:
        exchange.end = connection.end if exchange.sent_at else End.NOT_SENT
    return exchange.answer.complete or connection.end is not None
