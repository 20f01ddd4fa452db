"""Tests of items packed for frames."""

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
"""The slowest link that a relay has to tell its zone by."""

ZONE_NODES = 100
SERVING_SECONDS = 5.0
"""In which a fleet whose processes were all killed has to serve again."""


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
    def test_items_come_back_as_they_were(self, items: list[Item]) -> None:
        """Any bytes do, few items or many."""
        packed = json.loads(json.dumps(pack_items(items)))
        assert unpack_items(packed) == tuple(items)

    def test_all_nodes_of_a_zone_are_told_within_the_time_to_serve(self) -> None:
        """All processes were killed; each node that starts is told of all endpoints by its relay.

        At a megabyte a node the relay's link was busy for half a minute, and a caller met nodes
        that knew no endpoint.
        """
        items = list_endpoints(FLEET_ENDPOINTS)
        change = StoreDelta("endpoints", 1.0, True, 7, items, ())
        size = len(encode_frame(Frame(1.0, store_deltas=(change,))))
        assert ZONE_NODES * size <= SERVING_SECONDS * LINK_BYTES_PER_SECOND

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
    def test_what_is_no_packed_text_is_refused(self, packed: str) -> None:
        """Text that is cut short, damaged or longer than a node's memory costs the connection."""
        with pytest.raises(ValueError):
            unpack_items(packed)

    def test_long_configuration_costs_a_link_little(self) -> None:
        """Operators change a configuration of 1,500 rules 25 times in two seconds.

        Each change is on its way to every relay and agent; at half a megabyte each they filled the
        links between regions and of the agents' hosts for seconds, with weights waiting behind.
        """
        random = Random(1)
        rules = [
            {"name": f"r-{random.getrandbits(35):x}", "host": "jepu9.example", "timeoutMs": 6000}
            for _ in range(1500)
        ]
        item = Item("op/config", json.dumps({"rules": rules}).encode(), 3)
        packed = pack_items((item,))
        assert len(packed) < len(item.value or b"") / 4
