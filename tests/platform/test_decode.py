"""Tests of the platform's documents, decoded into the product's types."""

import json
from typing import Any

import pytest

from wrenloft_core import PlaceName, RegionName
from wrenloft_platform._decode import decode_report
from wrenloft_platform._follow import decode_endpoints
from wrenloft_policy import EVERY_LAYER, LayerSpan
from wrenloft_routing import Endpoint, Item, Reading

REGIONS = {PlaceName("z1"): RegionName("r1")}


def _entry(key: str, revision: int, **changes: Any) -> Item:
    fields = {"service": "s", "address": "10.0.0.1:80", "zone": "z1", "slots": 4, **changes}
    return Item(f"servers/{key}", json.dumps(fields).encode(), revision)


def _decode(*items: Item) -> list[Endpoint]:
    return decode_endpoints(Reading(items, 100), REGIONS)


class TestDecodeEndpoints:
    """Tests for ``decode_endpoints``."""

    def test_newest_incarnation_at_an_address_counts(self) -> None:
        """An engine lost its power and is back; its former entry lasts three more heartbeats.

        Taken for alive, the former one gets requests that the new one rejects, and after a loss
        of all engines nobody would notice that none holds weights.
        """
        former = _entry("a", 7, models=[{"name": "m", "version": 3}])
        (found,) = _decode(_entry("b", 9, models=[]), former)
        assert (found.agent_id, found.versions) == ("b", {})

    def test_what_is_no_entry_is_left_out(self) -> None:
        """One malformed entry does not hide the others."""
        assert [each.agent_id for each in _decode(Item("servers/x", b"?", 1), _entry("a", 2))] == [
            "a"
        ]

    @pytest.mark.parametrize(
        ("layers", "span"),
        [({"from": 8, "target": 16, "version": 2}, LayerSpan(8, 16)), (None, None)],
    )
    def test_layers_of_an_engine(self, layers: Any, span: LayerSpan | None) -> None:
        """An engine tells which layers it holds, or that it holds none."""
        (found,) = _decode(_entry("a", 1, layers=layers))
        assert found.span == span

    def test_engine_that_tells_no_layers_holds_all(self) -> None:
        """Engines of other deployments load models whole."""
        (found,) = _decode(_entry("a", 1))
        assert found.span == EVERY_LAYER


class TestDecodeReport:
    """Tests for ``decode_report``."""

    def test_engine_that_gives_up_a_version_serves_no_layers(self) -> None:
        """While its last streams end it still names the version, but takes nothing new."""
        fields = {
            "models": [{"name": "m", "version": 1}],
            "layers": None,
            "busy": True,
            "running": 2,
            "waiting": 0,
        }
        report = decode_report(json.dumps(fields).encode(), "m")
        assert (report.version, report.span, report.loading) == (1, None, True)
