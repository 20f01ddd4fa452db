"""Runs one stand-in as a process: ``python -m wrenloft_standins KIND --port 0``."""

import argparse
import asyncio
from contextlib import AsyncExitStack
from pathlib import Path
from typing import Any

import uvloop

from wrenloft_core import Manifest, VersionDigest, digest_bytes
from wrenloft_standins._engine import Engine
from wrenloft_standins._keyvalue import KeyValue
from wrenloft_standins._origin import Origin
from wrenloft_standins._server import serve
from wrenloft_standins._service import PlainService


def _read_arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    parser.add_argument("kind", choices=["keyvalue", "origin", "engine", "service"])
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--rate", type=float, default=16e6, help="origin's link, bytes a second")
    parser.add_argument("--count", type=int, default=1, help="how many of them in this process")
    parser.add_argument("--capacity", type=int, default=8)
    parser.add_argument("--token-seconds", type=float, default=0.005)
    parser.add_argument(
        "--publish",
        nargs=3,
        action="append",
        default=[],
        metavar=("PATH", "FILE", "MANIFEST"),
    )
    return parser.parse_args()


def _build(arguments: argparse.Namespace) -> Any:
    if arguments.kind == "keyvalue":
        return KeyValue()
    if arguments.kind == "service":
        return PlainService()
    if arguments.kind == "engine":
        return Engine(capacity=arguments.capacity, token_seconds=arguments.token_seconds)
    origin = Origin(arguments.rate)
    for path, file, manifest_file in arguments.publish:
        encoded = Path(manifest_file).read_bytes()
        origin.publish(path, Path(file).read_bytes(), _decode(encoded))
    return origin


def _decode(encoded: bytes) -> Manifest:
    return Manifest.decode(encoded, VersionDigest(digest_bytes(encoded)), peer="")


async def _run() -> None:
    arguments = _read_arguments()
    async with AsyncExitStack() as stack:
        servers = [
            await stack.enter_async_context(serve(_build(arguments), arguments.port))
            for _ in range(arguments.count)
        ]
        print("listening", *(each.address for each in servers), flush=True)
        await asyncio.Event().wait()


if __name__ == "__main__":
    uvloop.run(_run())
