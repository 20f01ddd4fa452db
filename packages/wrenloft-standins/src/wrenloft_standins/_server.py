"""Serving a stand-in on a free port of the loopback address."""

import json
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass, replace
from typing import Any, Protocol

from aiohttp import web

LOOPBACK = "127.0.0.1"
_MAX_BODY = 1 << 30


class Standin(Protocol):
    """What every stand-in offers."""

    faults: Any

    def routes(self) -> list[web.RouteDef]:
        """Return the stand-in's own routes."""

    def stats(self) -> dict[str, Any]:
        """Return what it counted."""


@dataclass(frozen=True, slots=True)
class Server:
    """A stand-in that is being served."""

    address: str


def build_app(standin: Standin) -> web.Application:
    """Add the fault switch and the counters to a stand-in's routes."""

    async def set_faults(request: web.Request) -> web.Response:
        changes = await request.json()
        standin.faults = replace(standin.faults, **changes)
        return web.json_response(asdict(standin.faults))

    async def show_stats(request: web.Request) -> web.Response:
        return web.Response(text=json.dumps(standin.stats()), content_type="application/json")

    app = web.Application(client_max_size=_MAX_BODY)
    app.add_routes(
        [
            web.post("/faults", set_faults),
            web.get("/stats", show_stats),
            *standin.routes(),
        ]
    )
    return app


@asynccontextmanager
async def serve(standin: Standin, port: int = 0) -> AsyncIterator[Server]:
    """Serve a stand-in until the context ends."""
    runner = web.AppRunner(build_app(standin), access_log=None, shutdown_timeout=0.2)
    await runner.setup()
    try:
        site = web.TCPSite(runner, LOOPBACK, port, backlog=1024)
        await site.start()
        yield Server(f"{LOOPBACK}:{runner.addresses[0][1]}")
    finally:
        await runner.cleanup()
