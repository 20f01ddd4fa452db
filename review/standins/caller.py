"""Callers of an entry host, which send one request on each connection."""

import asyncio
import itertools
import json
import zlib
from dataclasses import dataclass

from .processes import Record

HOST = "models.example"


@dataclass(frozen=True)
class Answer:
    """How a request ended for its caller.

    :param complete: whether the body has its stated length or its last chunk.
    """

    status: int
    body: bytes
    complete: bool


class KeptConnection:
    """A connection to an entry host on which a caller sends one request after the other."""

    def __init__(self, front: str) -> None:
        host, _, port = front.rpartition(":")
        self._address = host, int(port)
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def exchange(self, head: str, body: bytes) -> Answer:
        """Send one request and read its answer.

        :raises OSError: or ``IncompleteReadError`` if the connection ends without an answer.
        """
        if self._streams is None:
            self._streams = await asyncio.open_connection(*self._address)
        reader, writer = self._streams
        await self.write(writer, head.encode() + body)
        answer_head = await reader.readuntil(b"\r\n\r\n")
        status = int(answer_head.split(b" ", 2)[1])
        fields = dict(_split_field(each) for each in answer_head.split(b"\r\n")[1:-2])
        if b"content-length" in fields:
            answer = await reader.readexactly(int(fields[b"content-length"]))
            complete = True
        else:
            answer = await reader.read(-1)
            complete = answer.endswith(b"0\r\n\r\n")
            self.close()
        if fields.get(b"connection", b"").lower() == b"close":
            self.close()
        return Answer(status, answer, complete)

    async def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Write a whole request."""
        writer.write(data)
        await writer.drain()

    def close(self) -> None:
        """Close the connection; the next request opens another one."""
        streams, self._streams = self._streams, None
        if streams is not None:
            streams[1].close()


def _split_field(line: bytes) -> tuple[bytes, bytes]:
    name, _, value = line.partition(b":")
    return name.lower(), value.strip()


class Caller:
    """Sends requests and records how they end."""

    def __init__(self, front: str, record: Record) -> None:
        self._front = front
        self._record = record
        self._numbers = itertools.count()

    async def send_stream(self, path: str, deadline: float = 6.0) -> Answer | None:
        """Send a streaming request on a connection of its own."""
        request_id = self.pick_id()
        body = json.dumps({"prompt": request_id}).encode()
        fields = {
            "X-Model": "m1",
            "X-Token-Usage": "800,120",
            "X-Prompt-Prefix": f"5c1e07a2:40,{zlib.crc32(body):08x}:760",
            "Connection": "close",
        }
        connection = KeptConnection(self._front)
        try:
            return await self.send(connection, request_id, path, body, fields, deadline)
        finally:
            connection.close()

    def pick_id(self) -> str:
        """Return the id of the next attempt."""
        return f"r{next(self._numbers)}"

    async def send(
        self,
        connection: KeptConnection,
        request_id: str,
        path: str,
        body: bytes,
        fields: dict[str, str] | None = None,
        deadline: float = 6.0,
    ) -> Answer | None:
        """Send one request and read its answer; ``None`` if there was none."""
        head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {request_id}\r\n"
        head += f"X-Deadline-Ms: {round(deadline * 1000)}\r\nContent-Length: {len(body)}\r\n"
        head += "".join(f"{name}: {value}\r\n" for name, value in (fields or {}).items())
        self._record.write("sent", request=request_id, path=path, size=len(body))
        try:
            async with asyncio.timeout(deadline):
                answer = await connection.exchange(head + "\r\n", body)
        except TimeoutError:
            connection.close()
            self._record.write("caller gave up", request=request_id)
            return None
        except (OSError, ValueError, asyncio.IncompleteReadError) as error:
            connection.close()
            self._record.write("no answer", request=request_id, reason=repr(error))
            return None
        self._record.write(
            "answered",
            request=request_id,
            status=answer.status,
            size=len(answer.body),
            events=answer.body.count(b"id: "),
            complete=answer.complete,
        )
        return answer
