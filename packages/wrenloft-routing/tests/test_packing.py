"""Tests of the packing of store items for frames."""

import base64
import json
import zlib
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wrenloft_routing import Frame, Item, StoreDelta, encode_frame
from wrenloft_routing._packing import MAX_UNPACKED_BYTES, pack_items, unpack_items

FLEET_ENDPOINTS = 3000
LINK_BYTES_PER_SECOND = 20e6 / 8
"""The slowest link over which a relay sends to its zone."""

ZONE_NODES = 100
MAX_RECOVERY_SECONDS = 5.0
"""Time within which a fleet must serve again after all its processes were killed."""


def list_endpoints(count: int) -> tuple[Item, ...]:
    """Return entries as endpoints write them."""
    random = Random(count)

    def write(number: int) -> bytes:
        fields = {
            "service": random.choice(["huvo11a", "wuno96b"]),
            "address": f"10.{random.randrange(3)}.{number // 250}.{number % 250}:8080",
            "zone": random.choice(["p", "q", "r"]),
            "slots": 16,
            "state": "ready",
            "models": [{"name": "daka510000", "version": 1, "adapters": []}],
            "layers": {"from": 0, "target": 16, "version": 1},
            "sequence": random.randrange(9),
        }
        return json.dumps(fields).encode()

    return tuple(
        Item(f"servers/i-{random.getrandbits(32):08x}", write(number), random.randrange(10**6))
        for number in range(count)
    )


class TestPackItems:
    """Tests for ``pack_items`` and ``unpack_items``."""

    @given(
        st.lists(
            st.builds(Item, st.text(max_size=4), st.binary(max_size=9), st.integers(0, 99)),
            max_size=40,
        )
    )
    def test_items_round_trip(self, items: list[Item]) -> None:
        """Items of any bytes round-trip, few or many."""
        packed = json.loads(json.dumps(pack_items(items)))
        assert unpack_items(packed) == tuple(items)

    def test_endpoints_reach_all_nodes_of_a_zone_in_time_to_serve(self) -> None:
        """A relay's link would be full for half a minute when all nodes of its zone restart.

        Each node that starts gets all endpoints from its relay; at a megabyte per node, callers
        would meet nodes that know no endpoint.
        """
        items = list_endpoints(FLEET_ENDPOINTS)
        change = StoreDelta("endpoints", 1.0, True, 7, items, ())
        size = len(encode_frame(Frame(1.0, store_deltas=(change,))))
        assert ZONE_NODES * size <= MAX_RECOVERY_SECONDS * LINK_BYTES_PER_SECOND

    @pytest.mark.parametrize(
        "packed",
        [
            "",
            "!",
            base64.b64encode(b"x").decode(),
            base64.b64encode(zlib.compress(b"[]")[:-1]).decode(),
            base64.b64encode(zlib.compress(bytes(MAX_UNPACKED_BYTES + 1))).decode(),
            base64.b64encode(zlib.compress(b"no rows")).decode(),
        ],
    )
    def test_malformed_packed_text_is_refused(self, packed: str) -> None:
        """Truncated, damaged or oversized text costs the connection, not the node's memory."""
        with pytest.raises(ValueError):
            unpack_items(packed)

    def test_long_configuration_is_deflated(self) -> None:
        """Frequent changes of a long configuration would fill links between regions and to agents.

        Operators change a configuration of 1,500 rules 25 times in two seconds. Each change goes to
        every relay and agent; at half a megabyte each, weights would wait behind them for seconds.
        """
        random = Random(1)
        rules = [
            {"name": f"r-{random.getrandbits(35):x}", "host": "jepu9.example", "timeoutMs": 6000}
            for _ in range(1500)
        ]
        item = Item("op/config", json.dumps({"rules": rules}).encode(), 3)
        packed = pack_items((item,))
        assert len(packed) < len(item.value or b"") / 4
