"""Stand-in of a client: one connection, one request at a time."""

import asyncio

from standins_2.http import Response, read_body, read_head
from standins_2.record import Record


async def send_request(
    address: str,
    record: Record,
    request_id: str,
    path: str,
    *,
    method: str = "POST",
    host: str = "shop.example",
    key: str | None = None,
    deadline_ms: int = 2500,
    body: bytes = b"",
) -> tuple[float, Response | None]:
    """Send one request on a new connection.

    :returns: when it was sent, and its answer; ``None`` if the connection ended without one.
    """
    ip, _, port = address.rpartition(":")
    fields = {
        "Host": host,
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": str(deadline_ms),
        "Content-Length": str(len(body)),
    }
    if key is not None:
        fields["Authorization"] = f"Bearer {key}"
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    writer = None
    sent_at = record.now()
    try:
        async with asyncio.timeout(deadline_ms / 1000 + 1.0):
            reader, writer = await asyncio.open_connection(ip, int(port))
            sent_at = record.write("sent", request=request_id, key=key)
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            first, headers = await read_head(reader)
            response = Response(int(first.split()[1]), headers)
            response.body = await read_body(reader, headers)
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        record.write("no-answer", request=request_id, reason=type(error).__name__)
        return sent_at, None
    finally:
        if writer is not None:
            writer.close()
    record.write("answered", request=request_id, status=response.status)
    return sent_at, response
