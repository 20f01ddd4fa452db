"""Tests of the two programs as processes, against stand-ins on the loopback address."""

import asyncio
import json
import os
import signal
import sys
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import pytest
import tomli_w
from aiohttp import ClientError, ClientSession, TCPConnector

from .conftest import (
    LOOPBACK,
    StandinEndpoint,
    StandinStore,
    find_free_port,
    full_response,
    open_stream_response,
    stream_response,
)

ROOT = Path(__file__).resolve().parents[2]
KEY = {"Authorization": "Bearer k1"}

CONFIGURATION: dict[str, Any] = {
    "version": 3,
    "routes": [
        {
            "name": "once",
            "host": "shop.example",
            "prefix": "/once/",
            "kind": "unsafe",
            "timeoutMs": 3000,
            "targetLatencyMs": 500,
            "priority": 1,
            "service": "plain",
            "maxAttempts": 1,
            "public": False,
        },
        {
            "name": "stream",
            "host": "shop.example",
            "prefix": "/stream/",
            "kind": "streaming",
            "timeoutMs": 5000,
            "targetLatencyMs": 500,
            "priority": 1,
            "service": "plain",
            "maxAttempts": 2,
            "public": True,
            "streamResume": True,
            "gapTargetMs": 2000,
        },
    ],
    "services": [{"name": "plain", "healthPath": "/healthz", "maxConnections": 20}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 1000,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "org1", "apiKeys": ["k1", "k2"], "priority": 1}],
}


def write_settings(path: Path, store: str, **changes: Any) -> dict[str, Any]:
    """Write an entry node's settings with its own ports, and return them."""
    settings: dict[str, Any] = {
        "name": "entry-1",
        "ip": LOOPBACK,
        "place": "z1",
        "region": "r1",
        "regions": {"z1": "r1"},
        "front": f"{LOOPBACK}:{find_free_port()}",
        "readiness": f"{LOOPBACK}:{find_free_port()}",
        "directory": f"{LOOPBACK}:{find_free_port()}",
        "internal_port": find_free_port(),
        "store": store,
        "bounds": {"grace": 6.0, "revoke": 5.0},
        **changes,
    }
    path.write_text(tomli_w.dumps(settings))
    return settings


async def start_program(program: str, path: Path) -> asyncio.subprocess.Process:
    """Start a program of ``platform/`` with a settings file."""
    return await asyncio.create_subprocess_exec(
        sys.executable,
        str(ROOT / "platform" / program),
        cwd=ROOT,
        env={**os.environ, "WRENLOFT_NODE_FILE": str(path)},
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.PIPE,
    )


@dataclass
class Entry:
    """A running entry node."""

    process: asyncio.subprocess.Process
    settings: dict[str, Any]
    client: ClientSession

    async def send(self, path: str, **options: Any) -> tuple[int, bytes]:
        """Send one request to the front."""
        headers = {"Host": "shop.example", "X-Attempt-Id": "r1", **options.pop("headers", {})}
        url = f"http://{self.settings['front']}{path}"
        async with self.client.post(url, headers=headers, **options) as response:
            return response.status, await response.read()

    async def get_status(self, listener: str, path: str) -> int:
        """Return the status of a request to another listener, or 0 if it does not listen."""
        try:
            async with self.client.get(f"http://{self.settings[listener]}{path}") as response:
                return response.status
        except ClientError:
            return 0

    async def wait_ready(self) -> None:
        """Wait until the node is ready."""
        async with asyncio.timeout(20):
            while await self.get_status("readiness", "/readyz") != 200:
                await asyncio.sleep(0.05)


@pytest.fixture
async def entry(
    store: StandinStore, endpoint: StandinEndpoint, tmp_path: Path
) -> AsyncIterator[Entry]:
    """Run an entry node with one endpoint."""
    store.put("op/config", CONFIGURATION)
    store.put(
        "servers/i-1",
        {
            "service": "plain",
            "address": endpoint.address,
            "zone": "z1",
            "slots": 4,
            "state": "ready",
            "sequence": 1,
        },
    )
    path = tmp_path / "settings.toml"
    settings = write_settings(path, store.address)
    process = await start_program("entry.py", path)
    async with ClientSession() as client:
        running = Entry(process, settings, client)
        try:
            await running.wait_ready()
            yield running
        finally:
            if process.returncode is None:
                process.kill()
            await process.communicate()


class TestEntry:
    """Tests of the entry node's program."""

    async def test_serves_a_request_with_a_key(
        self, entry: Entry, endpoint: StandinEndpoint
    ) -> None:
        """The endpoint gets the organisation's name and never the key."""
        async with asyncio.timeout(10):
            while (answer := await entry.send("/once/x", headers=KEY, data=b"b"))[0] == 503:
                await asyncio.sleep(0.1)
        assert answer == (200, b"ok")
        assert endpoint.received[-1].headers["x-tenant"] == "org1"
        assert "authorization" not in endpoint.received[-1].headers

    async def test_rejects_unknown_route_unknown_key_and_large_body(
        self, entry: Entry, endpoint: StandinEndpoint
    ) -> None:
        """Each of the three gets its own status."""
        assert (await entry.send("/none/x", headers=KEY))[0] == 404
        assert (await entry.send("/once/x", headers={"Authorization": "Bearer old"}))[0] == 401
        assert (await entry.send("/once/x", headers=KEY, data=b"x" * 1001))[0] == 413
        assert not endpoint.received

    async def test_caller_without_chunks_gets_streams_that_end_with_the_connection(
        self, entry: Entry, endpoint: StandinEndpoint
    ) -> None:
        """Guards against callers of HTTP/1.0 whose streams fail, whole or in the middle."""
        whole = stream_response(b"id: 0\n\n", b"id: 1\n\n")
        open_ended = open_stream_response(b"id: 0\n\n", b"id: 1\n\n")
        endpoint.answers = [whole, open_ended]
        for _ in range(2):
            answer = await self._read_old(entry)
            while answer.startswith(b"HTTP/1.0 503") or answer.startswith(b"HTTP/1.1 503"):
                await asyncio.sleep(0.1)
                answer = await self._read_old(entry)
            head, _, body = answer.partition(b"\r\n\r\n")
            assert b" 200 " in head.splitlines()[0]
            assert b"chunked" not in head.lower()
            assert body == b"id: 0\n\nid: 1\n\n"

    @staticmethod
    async def _read_old(entry: Entry) -> bytes:
        """Send a request for a stream by HTTP/1.0, and read until the connection ends."""
        host, _, port = entry.settings["front"].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"POST /stream/x HTTP/1.0\r\nHost: shop.example\r\nX-Attempt-Id: r1\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        async with asyncio.timeout(10):
            answer = await reader.read()
        writer.close()
        return answer

    async def test_answers_without_length_keep_the_callers_connection(
        self, entry: Entry, endpoint: StandinEndpoint
    ) -> None:
        """Guards against closing callers' connections where endpoints close theirs."""
        body = full_response(b"whole").replace(b"Content-Length: 5\r\n", b"")
        endpoint.answers = [open_stream_response(b"id: 0\n\n", b"id: 1\n\n"), body, body]
        async with asyncio.timeout(10):
            while (await entry.send("/once/x", headers=KEY))[0] == 503:
                await asyncio.sleep(0.1)
        connector = TCPConnector(limit=1)
        endpoint.answers = [open_stream_response(b"id: 0\n\n", b"id: 1\n\n"), body, body]
        ports = set()
        async with ClientSession(connector=connector) as client:
            kept = Entry(entry.process, entry.settings, client)
            for path, expected in (
                ("/stream/x", b"id: 0\n\nid: 1\n\n"),
                ("/once/x", b"whole"),
                ("/once/x", b"whole"),
            ):
                assert await kept.send(path, headers=KEY) == (200, expected)
                (pooled,) = connector._conns.values()
                ports.add(pooled[0][0].transport.get_extra_info("sockname"))
        assert len(ports) == 1

    async def test_endless_caller_timeout_is_served(
        self, entry: Entry, endpoint: StandinEndpoint
    ) -> None:
        """Guards against a number beyond any float that fails its request."""
        headers = {**KEY, "X-Deadline-Ms": "1" * 400}
        async with asyncio.timeout(10):
            while (answer := await entry.send("/once/x", headers=headers))[0] == 503:
                await asyncio.sleep(0.1)
        assert answer == (200, b"ok")
        assert 0 < int(endpoint.received[-1].headers["x-deadline-ms"]) <= 3000

    async def test_prompt_of_many_segments_is_served(
        self, entry: Entry, endpoint: StandinEndpoint
    ) -> None:
        """Guards against a long header that fails its request or is changed on the way."""
        value = ",".join(f"{n:08x}:100" for n in range(1100))
        headers = {**KEY, "X-Prompt-Prefix": value}
        async with asyncio.timeout(10):
            while (answer := await entry.send("/once/x", headers=headers, data=b"b"))[0] == 503:
                await asyncio.sleep(0.1)
        assert answer == (200, b"ok")
        assert endpoint.received[-1].headers["x-prompt-prefix"] == value

    async def test_revoked_key_is_refused(self, entry: Entry, store: StandinStore) -> None:
        """A configuration without a key takes effect soon after the store has it."""
        changed = {**CONFIGURATION, "version": 9, "tenants": [{"name": "org1", "apiKeys": ["k2"]}]}
        store.put("op/config", changed)
        async with asyncio.timeout(5):
            while (await entry.send("/once/x", headers=KEY))[0] != 401:
                await asyncio.sleep(0.05)

    async def test_store_outage_expires_keys_but_not_public_routes(
        self, entry: Entry, store: StandinStore, endpoint: StandinEndpoint
    ) -> None:
        """Guards against keys that stay valid without proof that they have not been revoked.

        The store refuses this node for longer than a revoked key may stay valid. Requests with a
        key get 503; public ones are served.
        """
        store.refuse = True
        async with asyncio.timeout(15):
            while (await entry.send("/once/x", headers=KEY))[0] != 503:
                await asyncio.sleep(0.1)
        endpoint.answers = [stream_response(b"id: 0\n\n")]
        assert (await entry.send("/stream/x"))[0] == 200
        assert await entry.get_status("readiness", "/readyz") == 503

    async def test_directory_returns_this_node(self, entry: Entry) -> None:
        """A lookup returns this node and the time for which the response can be cached."""
        url = f"http://{entry.settings['directory']}/resolution?name=x&region=r1&zone=z1"
        async with entry.client.get(url) as response:
            answer = await response.json()
        assert answer["addresses"] == [entry.settings["front"]]
        assert 0 < answer["ttlS"] <= 5

    async def test_drain_completes_open_streams(
        self, entry: Entry, endpoint: StandinEndpoint, store: StandinStore
    ) -> None:
        """Guards against a stop that cuts a stream in progress.

        The node is out of the directory and unready at once, and exits by itself.
        """
        endpoint.pause = 0.6
        endpoint.answers = [stream_response(*(b"id: %d\n\n" % n for n in range(4)))]
        stream = asyncio.create_task(entry.send("/stream/x"))
        async with asyncio.timeout(5):
            while not endpoint.received:
                await asyncio.sleep(0.02)
        entry.process.send_signal(signal.SIGTERM)
        status, body = await stream
        assert (status, body.count(b"id: ")) == (200, 4)
        assert await entry.get_status("readiness", "/readyz") in (0, 503)
        async with asyncio.timeout(10):
            assert await entry.process.wait() == 0
        assert not any(key.startswith("wrenloft/entry/") for key in store.items)

    async def test_request_late_in_the_drain_is_refused_as_not_run(
        self, entry: Entry, endpoint: StandinEndpoint
    ) -> None:
        """Guards against starting a request that the end of the process would cut.

        It comes on a kept-alive connection three seconds after the signal, during a stream.
        """
        endpoint.pause = 0.9
        endpoint.answers = [stream_response(*(b"id: %d\n\n" % n for n in range(5)))]
        stream = asyncio.create_task(entry.send("/stream/x"))
        host, _, port = entry.settings["front"].partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        entry.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(3.0)
        writer.write(b"POST /stream/x HTTP/1.1\r\nHost: shop.example\r\nContent-Length: 0\r\n\r\n")
        assert b" 503 " in await reader.readline()
        writer.close()
        assert (await stream)[0] == 200
        assert len(endpoint.received) == 1

    async def test_disconnect_of_the_caller_cancels_the_request(
        self, entry: Entry, endpoint: StandinEndpoint
    ) -> None:
        """Guards against a stream of twenty seconds that runs on after its caller disconnected."""
        endpoint.pause = 0.2
        endpoint.answers = [stream_response(*(b"id: %d\n\n" % n for n in range(100)))]
        with pytest.raises((TimeoutError, ClientError)):
            async with asyncio.timeout(1.0):
                await entry.send("/stream/x")
        async with asyncio.timeout(2.0):
            while not endpoint.disconnects:
                await asyncio.sleep(0.05)

    async def test_malformed_settings_on_reload_are_ignored(
        self, entry: Entry, tmp_path: Path
    ) -> None:
        """The node logs the error and keeps running."""
        (tmp_path / "settings.toml").write_text("name = ")
        entry.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.5)
        assert await entry.get_status("readiness", "/readyz") == 200

    async def test_logs_one_line_per_decision(self, entry: Entry) -> None:
        """The outcome of a request can be found in the logs by its id."""
        await entry.send("/none/x", headers={"X-Attempt-Id": "find-me"})
        await asyncio.sleep(0.6)
        entry.process.kill()
        out, _ = await entry.process.communicate()
        lines = [json.loads(line) for line in out.decode().splitlines()]
        found = [each for each in lines if each.get("request") == "find-me"]
        assert [each["message"] for each in found] == ["request ended"]
        assert found[0]["status"] == 404


class TestSettings:
    """Tests of invalid settings."""

    @pytest.mark.parametrize("program", ["entry.py", "agent.py"])
    @pytest.mark.parametrize("text", ['name = "a"\n', "internal_port = x", 'internal_port = "x"\n'])
    async def test_malformed_settings_end_with_a_clear_error(
        self, tmp_path: Path, program: str, text: str
    ) -> None:
        """The program prints the error and exits with code 2."""
        path = tmp_path / "settings.toml"
        path.write_text(text)
        process = await start_program(program, path)
        _, error = await process.communicate()
        assert process.returncode == 2
        assert str(path) in error.decode()
        assert "Traceback" not in error.decode()


def test_platform_folder_does_not_shadow_the_library() -> None:
    """The standard library has a module of the same name, which must still be importable."""
    import platform

    assert platform.system()
    assert full_response(b"")
