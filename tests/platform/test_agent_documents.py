"""Tests of what agents are told of the operators' documents."""

import json

from wrenloft_platform._agent_documents import AgentDocuments
from wrenloft_platform._decode import decode_table
from wrenloft_routing import Item

SERVICES = [{"name": "plain", "maxConnections": 20}]


def write(revision: int, rules: int, services: object = SERVICES) -> Item:
    """Return a configuration as operators write it."""
    rows = [{"name": f"r{number}", "host": "shop.example"} for number in range(rules)]
    value = {"version": revision, "routes": rows, "services": services, "tenants": []}
    return Item("op/config", json.dumps(value).encode(), revision)


class TestAgentDocuments:
    """Tests for ``AgentDocuments``."""

    def test_change_of_rules_is_not_told(self) -> None:
        """A storm of changes to 1,500 rules: the agents' links carry weights, and nothing of it."""
        documents = AgentDocuments()
        version = Item("op/version/m", b"{}", 5)
        first = documents.reduce((write(3, 1500), version))
        assert documents.reduce((write(9, 1499), version)) == first
        assert sum(len(each.value or b"") for each in first) < 1000

    def test_change_of_services_is_told(self) -> None:
        """A new origin reaches agents with its own revision, in a form that they read."""
        documents = AgentDocuments()
        documents.reduce((write(3, 10),))
        (item,) = documents.reduce((write(4, 10, [*SERVICES, {"name": "other"}]),))
        assert item.revision == 4
        assert set(decode_table(item.value or b"", item.revision).services) == {"plain", "other"}

    def test_what_is_no_configuration_is_passed_on(self) -> None:
        """Whoever reads it says what is wrong with it; the node that passes it on goes on."""
        item = Item("op/config", b"{", 3)
        assert AgentDocuments().reduce((item,)) == (item,)
