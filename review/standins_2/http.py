"""A small HTTP/1.1 reader and server, enough for the stand-ins."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl, urlsplit


@dataclass
class Request:
    """A request as it was read."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""
    query: dict[str, str] = field(default_factory=dict)

    @property
    def path(self) -> str:
        """The target without its query."""
        return urlsplit(self.target).path

    def read_json(self) -> Any:
        """Decode the body."""
        return json.loads(self.body)


@dataclass
class Response:
    """A response to be written, or as it was read."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""


def encode_json(fields: Any, status: int = 200) -> Response:
    """Build a response with a JSON body."""
    return Response(status, {"Content-Type": "application/json"}, json.dumps(fields).encode())


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Read the first line and the header fields, with names in lower case."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = head.rstrip("\r\n").split("\r\n")
    fields = {}
    for line in rest:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Read a body in chunks to its end."""
    parts = []
    while size := int((await reader.readline()).split(b";")[0], 16):
        parts.append(await reader.readexactly(size))
        await reader.readline()
    await reader.readline()
    return b"".join(parts)


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Read the body that the header fields announce."""
    if "chunked" in headers.get("transfer-encoding", "").lower():
        return await read_chunks(reader)
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one whole request."""
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    body = await read_body(reader, headers)
    return Request(method, target, headers, body, dict(parse_qsl(urlsplit(target).query)))


def encode_response(response: Response) -> bytes:
    """Encode a response with a length."""
    lines = [f"HTTP/1.1 {response.status} Status"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    lines += [f"Content-Length: {len(response.body)}", "", ""]
    return "\r\n".join(lines).encode() + response.body


Handler = Callable[[Request], Awaitable[Response | None]]


async def serve_connection(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, handler: Handler
) -> None:
    """Answer the requests of one connection; a handler's ``None`` ends it without an answer."""
    try:
        while True:
            answer = await handler(await read_request(reader))
            if answer is None:
                return
            writer.write(encode_response(answer))
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return
    except asyncio.CancelledError:
        return  # the case has ended
    finally:
        writer.close()
