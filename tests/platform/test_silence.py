"""Tests of requests whose endpoints are silent for a moment, over an entry process."""

import asyncio
from contextlib import AsyncExitStack
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from aiohttp import ClientError, ClientSession

from .conftest import StandinStore
from .silent_endpoints import Phase, Silence, SilentEndpoint, make_stream
from .test_programs import CONFIGURATION, Entry, start_program, write_settings

SILENCE_SECONDS = 1.3
PATIENCE_MS = 6000


def _configure(version: int = 3, *extra: str, **changes: Any) -> dict[str, Any]:
    """Return a configuration with a route of each kind.

    :param extra: names of further routes.
    :param changes: of all routes.
    """
    common = {
        **CONFIGURATION["routes"][0],
        "timeoutMs": PATIENCE_MS,
        "targetLatencyMs": 100,
        "public": True,
        "maxAttempts": 2,
        "gapTargetMs": 400,
        **changes,
    }
    kinds = {
        "stream": {"kind": "streaming", "streamResume": True},
        "fixed-stream": {"kind": "streaming"},
        "safe": {"kind": "safe"},
        "unsafe": {"kind": "unsafe"},
        "keyed": {"kind": "safe", "public": False},
        "keyed-stream": {"kind": "streaming", "streamResume": True, "public": False},
        **{name: {"kind": "safe"} for name in extra},
    }
    routes = [
        {**common, "name": name, "prefix": f"/{name}/", **kind} for name, kind in kinds.items()
    ]
    services = [{"name": "plain", "healthPath": "/healthz", "maxConnections": 200}]
    return {**CONFIGURATION, "version": version, "routes": routes, "services": services}


def _register(store: StandinStore, endpoint: SilentEndpoint, state: str = "ready") -> None:
    """Put an endpoint into the store's list."""
    fields = {"service": "plain", "address": endpoint.address, "zone": "z1", "slots": 60}
    store.put(f"servers/{endpoint.name}", {**fields, "state": state, "sequence": 1})


@dataclass(frozen=True)
class Answer:
    """What a caller got.

    :param status: 0 for none.
    :param is_complete: whether it ended as its framing states.
    """

    status: int
    body: bytes
    is_complete: bool
    stamp: str = ""


async def _ask(entry: Entry, path: str, request_id: str, **headers: str) -> Answer:
    """Send one request, and read its answer as far as it comes."""
    url = f"http://{entry.settings['front']}{path}"
    sent = {
        "Host": "shop.example",
        "X-Attempt-Id": request_id,
        "X-Deadline-Ms": str(PATIENCE_MS),
        **headers,
    }
    body = b""
    try:
        async with entry.client.post(url, headers=sent, data=b"b") as response:
            stamp = response.headers.get("X-Response-Stamp", "")
            try:
                async for part in response.content.iter_any():
                    body += part
            except ClientError:
                return Answer(response.status, body, False, stamp)
            return Answer(response.status, body, True, stamp)
    except ClientError:
        return Answer(0, body, False)


async def _start_entry(
    stack: AsyncExitStack,
    store: StandinStore,
    endpoints: list[SilentEndpoint],
    path: Path,
    configuration: dict[str, Any] | None = None,
    **bounds: float,
) -> Entry:
    """Run an entry node with endpoints, and wait until it serves requests."""
    store.put("op/config", configuration or _configure())
    for endpoint in endpoints:
        await stack.enter_async_context(endpoint.listen())
        _register(store, endpoint)
    settings = write_settings(
        path / "settings.toml", store.address, bounds={"grace": 6.0, "revoke": 5.0, **bounds}
    )
    process = await start_program("entry.py", path / "settings.toml")

    async def end() -> None:
        if process.returncode is None:
            process.kill()
        await process.communicate()

    stack.push_async_callback(end)
    entry = Entry(process, settings, await stack.enter_async_context(ClientSession()))
    await entry.wait_ready()
    silences = [each.silences for each in endpoints]
    for endpoint in endpoints:
        endpoint.silences = []
    async with asyncio.timeout(20):
        while (await _ask(entry, "/unsafe/x", "ready")).status != 200:
            await asyncio.sleep(0.05)
    for endpoint, each in zip(endpoints, silences, strict=True):
        endpoint.silences = each
        endpoint.served.clear()
    return entry


async def test_streams_survive_silence_of_all_endpoints_beside_a_configuration_change(
    stack: AsyncExitStack, store: StandinStore, tmp_path: Path
) -> None:
    """Guards against streams that are cut although their endpoints would have gone on."""
    silence = Silence(Phase.NEXT_EVENT, SILENCE_SECONDS)
    endpoints = [
        SilentEndpoint("i-1", silences=[silence]),
        SilentEndpoint("i-2", silences=[silence]),
    ]
    entry = await _start_entry(stack, store, endpoints, tmp_path)
    names = [f"s{number}" for number in range(24)]
    asking = asyncio.gather(*(_ask(entry, "/stream/x", name) for name in names))
    async with asyncio.timeout(10):
        while sum(len(each.served) for each in endpoints) < len(names):
            await asyncio.sleep(0.02)
    store.put("op/config", _configure(4, "added"))
    answers = dict(zip(names, await asking, strict=True))
    cut = [name for name, answer in answers.items() if not answer.is_complete]
    assert not cut, f"{len(cut)} of {len(names)} were cut"
    for name, answer in answers.items():
        assert (answer.status, answer.body) == (200, make_stream(name, 6))
