"""A small deployment on loopback addresses: the store, listeners of stand-ins, and settings."""

import asyncio
import tempfile
from collections.abc import Awaitable
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

from aiohttp import web

from .caller import HOST
from .processes import BOUNDS, CONTRACTS, Program, Record, find_free_port
from .store import Store

ENTRY_IP = "127.0.0.2"
ORIGIN_IP = "127.0.0.3"
STORE_IP = "127.0.0.4"
RUNNER_IPS = [f"127.0.1.{number}" for number in range(1, 7)]
ZONE, REGION = "natchez-hall", "delta-east"
MEMORY_MB = 300

LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


class Deployment:
    """The store with one entry host, and settings for agents beside runners.

    :ivar front: address of the entry host for callers.
    """

    def __init__(self, stack: AsyncExitStack, record: Record) -> None:
        self._stack = stack
        self.record = record
        self.store = Store()
        self.folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        self.runner_port = find_free_port(*RUNNER_IPS)
        self.front = f"{ENTRY_IP}:{find_free_port(ENTRY_IP)}"
        self.readiness = f"{ENTRY_IP}:{find_free_port(ENTRY_IP)}"
        self._directory = f"{ENTRY_IP}:{find_free_port(ENTRY_IP)}"
        self._internal_port = find_free_port(ENTRY_IP, *RUNNER_IPS)
        self._store_port = find_free_port(STORE_IP)

    async def start_store(self) -> None:
        """Serve the store."""
        await self.serve(self.store.build(), STORE_IP, self._store_port)
        self.run(self.store.expire_leases())

    async def serve(self, app: web.Application, host: str, port: int) -> None:
        """Listen until the stack is closed."""
        runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1, auto_decompress=False)
        await runner.setup()
        self._stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, host, port).start()

    def run(self, work: Awaitable[Any]) -> asyncio.Future[Any]:
        """Start a task that ends with the stack."""
        task = asyncio.ensure_future(work)
        self._stack.callback(task.cancel)
        return task

    def build_entry(self) -> Program:
        """Return the entry host's program."""
        settings = {
            **self._build_shared("edge-1", ENTRY_IP),
            "front": self.front,
            "readiness": self.readiness,
            "directory": self._directory,
            "contracts": CONTRACTS,
            "memory_mb": MEMORY_MB,
            "bounds": BOUNDS,
        }
        return Program("entry", settings, self.folder)

    def build_agent(self, ip: str, service: str, link_rate: float) -> Program:
        """Return the program of the agent beside the runner at an address."""
        settings = {
            **self._build_shared(f"side-{ip}", ip),
            "engine": f"{ip}:{self.runner_port}",
            "service": service,
            "link_rate": link_rate,
            "grace": BOUNDS["grace"],
            "version": BOUNDS["version"],
        }
        return Program("agent", settings, self.folder)

    def _build_shared(self, name: str, ip: str) -> dict[str, Any]:
        return {
            "name": name,
            "ip": ip,
            "place": ZONE,
            "region": REGION,
            "internal_port": self._internal_port,
            "store": f"{STORE_IP}:{self._store_port}",
            "regions": {ZONE: REGION},
        }

    async def start(self, *programs: Program) -> None:
        """Start programs that are killed when the stack is closed."""
        for each in programs:
            self._stack.push_async_callback(each.end)
            await each.start()


def build_route(name: str, kind: str, service: str, **fields: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 6000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": True,
        **fields,
    }


def build_configuration(
    routes: list[dict[str, Any]], services: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return the operator's configuration."""
    tenants = [{"name": "org1", "apiKeys": ["k1"], "priority": 1}]
    return {
        "version": 3,
        "routes": routes,
        "services": services,
        "limits": LIMITS,
        "tenants": tenants,
    }


def build_service(name: str, max_connections: int, **fields: Any) -> dict[str, Any]:
    """Return a service of the operator's configuration."""
    return {
        "name": name,
        "healthPath": "/healthz",
        "maxConnections": max_connections,
        "protocol": "h1",
        "tls": False,
        **fields,
    }
