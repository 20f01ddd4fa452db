"""Tests of entries of other writers in the list of endpoints."""

import asyncio
import json
from typing import Any

import pytest

from wrenloft_platform._decode import decode_endpoint, decode_report

from .conftest import StandinEndpoint, StandinStore
from .test_programs import KEY, Entry, entry

__all__ = ["entry"]

PATIENCE_SECONDS = 20.0
"""Longest wait of a test for something that must happen."""

ENTRY = {"service": "plain", "address": "127.0.0.1:9", "zone": "z1", "slots": 4, "state": "ready"}

TOO_LARGE = 10**400


@pytest.mark.parametrize(
    "changes",
    [
        {"slots": TOO_LARGE},
        {"slots": 2**53},
        {"born": TOO_LARGE},
        {"models": [{"name": "m1", "version": TOO_LARGE}]},
        {"layers": {"from": 0, "target": TOO_LARGE}},
    ],
    ids=["slots", "inexact slots", "born", "version", "layers"],
)
async def test_entry_with_a_number_too_large_names_no_endpoint(
    entry: Entry, store: StandinStore, endpoint: StandinEndpoint, changes: dict[str, Any]
) -> None:
    """Guards against one odd entry that takes its whole service out of use.

    The others hold, and an endpoint that joins later is used.
    """
    store.put("servers/odd", {**ENTRY, **changes})
    await asyncio.sleep(1.0)  # the list is read several times a second
    joined = {**ENTRY, "address": endpoint.address, "sequence": 1}
    store.remove("servers/i-1")
    store.put("servers/i-2", joined)
    async with asyncio.timeout(PATIENCE_SECONDS):
        while (await entry.send("/once/x", headers=KEY, data=b"b"))[0] != 200:
            await asyncio.sleep(0.1)
        while endpoint.received[-1].headers["x-expect-instance"] != "i-2":
            await entry.send("/once/x", headers=KEY, data=b"b")
            await asyncio.sleep(0.1)
    assert entry.process.returncode is None


def test_largest_exact_number_is_a_count() -> None:
    """Guards against a bound that leaves out a usable entry."""
    value = json.dumps({**ENTRY, "slots": 2**53 - 1}).encode()
    assert decode_endpoint("servers/i-1", value, {}).slots == 2**53 - 1


@pytest.mark.parametrize("field", ["running", "waiting", "born", "pace"])
@pytest.mark.parametrize("value", [TOO_LARGE, -1, float("nan")], ids=["large", "negative", "NaN"])
def test_report_with_a_number_out_of_range_is_none(field: str, value: float) -> None:
    """Guards against an engine's report that ends those who compute with it."""
    fields = {"running": 1, "waiting": 0, field: value}
    with pytest.raises(ValueError, match="invalid report"):
        decode_report(json.dumps(fields).encode(), None)
