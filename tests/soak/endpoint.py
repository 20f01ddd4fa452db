"""An endpoint as a process of its own: answers as a request's plan states, and records its runs."""

import asyncio
import json
import sys
import time
from contextlib import suppress
from dataclasses import asdict, dataclass
from hashlib import blake2b
from pathlib import Path
from typing import Any

from wrenloft_platform import _names as names

PLAN_HEADER = "Soak-Plan"
LOOPBACK = "127.0.0.1"
_STEP_SECONDS = 0.02
"""Interval of checks for a connection that was closed by the other side."""


@dataclass(frozen=True)
class Plan:
    """What an endpoint is to answer.

    :param events: of a stream, 0 for a whole answer.
    :param work: seconds before the first event or the body.
    :param gap: seconds between two events or parts of the body.
    :param size: bytes of the body.
    :param early_head: whether the head is written before ``work``.
    :param framed: whether the answer states its length, or ends with its connection.
    :param closing: whether the connection is closed after the answer.
    """

    events: int = 0
    work: float = 0.05
    gap: float = 0.05
    size: int = 100
    status: int = 200
    early_head: bool = False
    framed: bool = True
    closing: bool = False

    def encode(self) -> str:
        """Return the header's value."""
        return json.dumps(asdict(self))


def build_pieces(request_id: str, plan: Plan, first: int) -> list[bytes]:
    """Return the events of an answer from a number on, or the parts of its body."""
    if plan.events:
        numbers = range(first, plan.events)
        return [f"id: {n}\ndata: {request_id}.{n}\n\n".encode() for n in numbers]
    body = (f"{request_id}\n".encode() * plan.size)[: plan.size]
    step = max(1, plan.size // 4)
    return [body[n : n + step] for n in range(0, plan.size, step)]


def compute_digest(data: bytes) -> str:
    """Return a short digest of a request's body."""
    return blake2b(data, digest_size=8).hexdigest()


@dataclass
class Connection:
    """A connection on which one request is answered after another."""

    endpoint: "Endpoint"
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    async def serve(self) -> None:
        """Answer the requests until the connection ends."""
        with suppress(asyncio.IncompleteReadError, ConnectionError):
            while await self._answer():
                pass
        self.writer.close()

    async def _answer(self) -> bool:
        """Answer a request; return whether the connection stays open."""
        endpoint = self.endpoint
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
        line, *rest = head.rstrip().split("\r\n")
        headers = {k.lower(): v for k, _, v in (each.partition(": ") for each in rest)}
        body = await self.reader.readexactly(int(headers.get("content-length", "0")))
        if line.startswith("GET /healthz "):
            self.writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return True
        request_id = headers.get(names.ATTEMPT_ID.lower(), "")
        misdirected = headers.get(names.EXPECT_INSTANCE.lower(), endpoint.name) != endpoint.name
        if misdirected or endpoint.running >= endpoint.slots:
            endpoint.record("rejected", request_id)
            status = "421 Misdirected Request" if misdirected else "503 Service Unavailable"
            lines = [f"{names.ATTEMPT_ID}: {request_id}", f"{names.NOT_EXECUTED}: 1"]
            self._write_head([f"HTTP/1.1 {status}", *lines, "Content-Length: 0"])
            return True
        last = headers.get(names.LAST_EVENT.lower())
        endpoint.record("begun", request_id, line=line, digest=compute_digest(body), last=last)
        plan = Plan(**json.loads(headers[PLAN_HEADER.lower()]))
        endpoint.running += 1
        try:
            await self._run(request_id, plan, int(last) + 1 if last is not None else 0)
        except ConnectionError:
            endpoint.record("gone", request_id)
            return False
        finally:
            endpoint.running -= 1
        endpoint.record("ended", request_id)
        return plan.framed and not plan.closing

    async def _run(self, request_id: str, plan: Plan, first: int) -> None:
        """Write the answer that is planned, with some events and parts in two writes."""
        name, slots = self.endpoint.name, self.endpoint.slots
        lines = [f"HTTP/1.1 {plan.status} Planned", f"{names.ATTEMPT_ID}: {request_id}"]
        lines.append(f"{names.RESPONSE_STAMP}: {name}.{request_id}")
        lines.append(f"{names.INSTANCE_LOAD}: {self.endpoint.running},0,{slots}")
        chunked = plan.framed and plan.events
        if plan.events:
            lines.append("Content-Type: text/event-stream")
        if plan.framed:
            framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {plan.size}"
            lines.append(framing)
        if plan.closing or not plan.framed:
            lines.append("Connection: close")
        if plan.early_head:
            self._write_head(lines)
        await self._sleep(plan.work)
        if not plan.early_head:
            self._write_head(lines)
        for number, piece in enumerate(build_pieces(request_id, plan, first)):
            if number:
                await self._sleep(plan.gap)
            data = f"{len(piece):x}\r\n".encode() + piece + b"\r\n" if chunked else piece
            middle = len(data) // 2 if number % 3 == 1 else 0
            if middle:
                self.writer.write(data[:middle])
                await self._sleep(_STEP_SECONDS)
            self.writer.write(data[middle:])
            await self.writer.drain()
        if chunked:
            await self._sleep(_STEP_SECONDS)
            self.writer.write(b"0\r\n\r\n")
        await self.writer.drain()

    def _write_head(self, lines: list[str]) -> None:
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())

    async def _sleep(self, seconds: float) -> None:
        """Wait, unless the other side closes the connection.

        :raises ConnectionError: if it was closed.
        """
        until = time.monotonic() + seconds
        while True:
            if self.reader.at_eof() or self.writer.transport.is_closing():
                raise ConnectionResetError
            if (left := until - time.monotonic()) <= 0:
                return
            await asyncio.sleep(min(left, _STEP_SECONDS))


@dataclass
class Endpoint:
    """State of an endpoint process."""

    name: str
    slots: int
    journal: Any
    running: int = 0

    def record(self, event: str, request_id: str, **fields: Any) -> None:
        """Add a line to the journal."""
        line = {"at": time.monotonic(), "event": event, "id": request_id, **fields}
        self.journal.write(json.dumps(line) + "\n")
        self.journal.flush()


async def serve(endpoint: Endpoint, port: int) -> None:
    """Serve until killed."""

    async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await Connection(endpoint, reader, writer).serve()

    server = await asyncio.start_server(serve_connection, LOOPBACK, port, backlog=512)
    print("ready", flush=True)
    await server.serve_forever()


def main(name: str, port: str, slots: str, journal_path: str) -> None:
    """Run an endpoint with the arguments of the command line."""
    with Path(journal_path).open("a") as journal:
        asyncio.run(serve(Endpoint(name, int(slots), journal), int(port)))


if __name__ == "__main__":
    main(*sys.argv[1:])
