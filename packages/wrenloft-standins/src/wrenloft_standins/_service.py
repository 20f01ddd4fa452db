"""A plain service: a ledger of notes, some of whose calls may not be repeated."""

import asyncio
from collections import Counter
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from wrenloft_core import Header


@dataclass(frozen=True, slots=True)
class ServiceFaults:
    """What the service does wrong.

    :param delay: seconds before each answer.
    :param drop_answers: calls that run but whose connection is cut, counted down.
    """

    delay: float = 0.0
    drop_answers: int = 0


class PlainService:
    """Keeps what is posted to it and tells how often."""

    def __init__(self) -> None:
        self.faults = ServiceFaults()
        self._notes: Counter[str] = Counter()
        self._runs: Counter[str] = Counter()

    def stats(self) -> dict[str, Any]:
        """Return how often each note was written and each request ran."""
        return {"notes": dict(self._notes), "runs": dict(self._runs)}

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the ledger."""
        return [web.get("/stock", self._stock), web.route("*", "/notes", self._note)]

    async def _stock(self, request: web.Request) -> web.Response:
        await asyncio.sleep(self.faults.delay)
        return web.json_response({"notes": sum(self._notes.values())})

    async def _note(self, request: web.Request) -> web.Response:
        text = await request.text()
        self._runs[request.headers.get(Header.REQUEST_ID, "direct")] += 1
        self._notes[text] += 1
        await asyncio.sleep(self.faults.delay)
        if self.faults.drop_answers > 0:
            self.faults = ServiceFaults(self.faults.delay, self.faults.drop_answers - 1)
            if request.transport is not None:
                request.transport.abort()
            raise ConnectionResetError("answer dropped")
        return web.json_response({"written": text, "number": sum(self._notes.values())})
