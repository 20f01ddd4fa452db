"""Tests of the operators' documents as nodes apply them."""

import json

import pytest

from wrenloft_platform._follow import OperatorDocuments
from wrenloft_routing import Item, ReceivedSnapshot, RoutingTable, StoreSnapshot

SERVICES = [{"name": "plain", "maxConnections": 20}]


def _item(version: object, revision: int) -> Item:
    value = {"version": version, "routes": [], "services": SERVICES, "tenants": []}
    return Item("op/config", json.dumps(value).encode(), revision)


def _taken(item: Item, era: int) -> ReceivedSnapshot:
    return ReceivedSnapshot(StoreSnapshot((item,), item.revision, era), 0.0, True)


class TestOperatorDocuments:
    """Tests for ``OperatorDocuments``."""

    @pytest.mark.parametrize(
        ("written", "applied"),
        [
            ([(3, 10, 1), (5, 18, 1), (3, 10, 2), (7, 12, 2)], [3, 5, 7]),
            ([(5, 18, 1), (3, 10, 2), (5, 11, 2), (6, 18, 2)], [5, 5, 6]),
            ([(5, 18, 1), (3, 10, 2), (2, 9, 3), (9, 9, 4)], [5, 9]),
            ([(5, 18, 2), (7, 30, 1)], [5, 7]),
            ([(5, 18, 1), ("x", 19, 1), (-1, 20, 1), (True, 21, 1)], [5]),
        ],
        ids=["newer", "again", "twice older", "eras cross", "no number"],
    )
    def test_configuration_never_goes_back(
        self, written: list[tuple[object, int, int]], applied: list[int]
    ) -> None:
        """Guards against routes and revoked keys that return with the store's older copy."""
        tables: list[RoutingTable] = []
        documents = OperatorDocuments(tables.append, lambda *_: None)
        for version, revision, era in written:
            documents.apply(_taken(_item(version, revision), era))
        assert [each.version for each in tables] == applied

    def test_configurations_without_a_number_are_ordered_by_the_store(self) -> None:
        tables: list[RoutingTable] = []
        documents = OperatorDocuments(tables.append, lambda *_: None)
        for revision, era in ((5, 1), (4, 1), (3, 2), (2, 2)):
            value = json.dumps({"routes": [], "services": SERVICES}).encode()
            documents.apply(_taken(Item("op/config", value, revision), era))
        assert [each.revision for each in tables] == [5, 3]
