"""A runner as a process, whose streams have no length and end with their connections."""

import asyncio
import sys

GAP_SECONDS = 0.2
EVENTS = 20


class Runner:
    """Serves streams until its process ends."""

    def __init__(self, name: str) -> None:
        self._name = name

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one request; the end of its connection ends the answer."""
        try:
            await self._answer(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = (each.partition(":") for each in head.split("\r\n")[1:-2])
        fields = {name.lower(): value.strip() for name, _, value in lines}
        await reader.readexactly(int(fields.get("content-length", "0")))
        request_id = fields["x-attempt-id"]
        if fields.get("x-expect-instance", self._name) != self._name:
            answer = f"HTTP/1.1 421 Misdirected\r\nX-Attempt-Id: {request_id}\r\n"
            answer += "X-Not-Executed: 1\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            writer.write(answer.encode())
            await writer.drain()
            return
        first = int(fields.get("last-event-id", "-1")) + 1
        print(request_id, first, flush=True)
        answer = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        answer += f"X-Attempt-Id: {request_id}\r\nX-Response-Stamp: {self._name}.{request_id}\r\n"
        writer.write((answer + "Connection: close\r\n\r\n").encode())
        for number in range(first, EVENTS):
            await asyncio.sleep(GAP_SECONDS)
            writer.write(f"id: {number}\ndata: {self._name}\n\n".encode())
            await writer.drain()


async def main(name: str, host: str, port: str) -> None:
    """Serve until the process is ended."""
    server = await asyncio.start_server(Runner(name).serve, host, int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(*sys.argv[1:]))
