"""Fakes of what a forwarder talks to, shared by the tests of this package."""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from wrenloft_core import ContentId, ServiceName
from wrenloft_policy import NO_NOTICE, AdvertisedLimit, EndpointNotice, HeaderLoad, MalformedLoad
from wrenloft_routing import Headers, Rule, RuleKind, Target


@dataclass
class FakeReply:
    """An answer made of parts; an exception among them is raised in its place.

    A number is a pause in seconds. A read that is cancelled in it leaves the rest of it.
    """

    parts: list[bytes | Exception | float]
    status: int = 200
    headers: Headers = (("X-Stamp", "s"),)
    load: HeaderLoad | MalformedLoad | None = None
    named_limit: AdvertisedLimit | None = None
    notice: EndpointNotice = NO_NOTICE
    genuine: bool = True
    is_stream: bool = False
    closing: bool = False
    framed: bool = True
    closed: list[bool] = field(default_factory=list)

    async def read_whole(self) -> bytes:
        data = b""
        while part := await self.read_some():
            data += part
        return data

    async def read_some(self) -> bytes:
        if not self.parts:
            return b""
        part = self.parts.pop(0)
        if isinstance(part, Exception):
            raise part
        if isinstance(part, float):
            loop = asyncio.get_running_loop()
            ends_at = loop.time() + part
            try:
                await asyncio.sleep(part)
            except asyncio.CancelledError:
                self.parts.insert(0, ends_at - loop.time())
                raise
            return await self.read_some()
        return part

    async def close(self, *, reusable: bool) -> None:
        self.closed.append(reusable)


@dataclass
class FakeSink:
    """A caller's connection."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    ended: bool = False
    aborted: bool = False

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        await self.begin(status, headers)
        self.body = body
        self.ended = True

    async def begin(self, status: int, headers: Headers) -> None:
        assert not self.status, "a second answer was begun"
        self.status = status
        self.headers = dict(headers)

    async def write(self, data: bytes) -> None:
        self.body += data

    async def end(self) -> None:
        self.ended = True

    def abort(self) -> None:
        self.aborted = True


@dataclass
class FakeStore:
    """A quarantine store that grants or refuses probes as a test says.

    :param calls: calls of ``keep`` and ``drop``, in order.
    """

    grants: bool = False
    claims: int = 0
    calls: list[tuple[str, ContentId]] = field(default_factory=list)

    def keep(self, content: ContentId, crashes: Any) -> None:
        self.calls.append(("keep", content))

    def drop(self, content: ContentId) -> None:
        self.calls.append(("drop", content))

    async def claim(self, content: ContentId, seconds: float) -> bool:
        self.claims += 1
        return self.grants


def make_rule(name: str, kind: RuleKind, service: ServiceName, **changes: Any) -> Rule:
    """Return a rule of host ``h`` for the paths below its name."""
    fields: dict[str, Any] = {
        "name": name,
        "host": "h",
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout": 0.8,
        "latency_objective": 0.2,
        "rank": 1,
        "targets": (Target(service, 1.0),),
        "max_attempts": 2,
    }
    return Rule(**{**fields, **changes})
