"""Tests of the reduced documents for agents."""

import json

from wrenloft_platform._agent_documents import AgentDocuments
from wrenloft_platform._decode import decode_table
from wrenloft_routing import Item

SERVICES = [{"name": "plain", "maxConnections": 20}]


def build_configuration(revision: int, rules: int, services: object = SERVICES) -> Item:
    """Return a configuration as operators write it."""
    rows = [{"name": f"r{number}", "host": "shop.example"} for number in range(rules)]
    value = {"version": revision, "routes": rows, "services": services, "tenants": []}
    return Item("op/config", json.dumps(value).encode(), revision)


class TestAgentDocuments:
    """Tests for ``AgentDocuments``."""

    def test_change_of_rules_is_not_sent(self) -> None:
        """Guards the agents' links, which carry weights, against changes to 1,500 rules."""
        documents = AgentDocuments()
        version = Item("op/version/m", b"{}", 5)
        first = documents.reduce((build_configuration(3, 1500), version))
        assert documents.reduce((build_configuration(9, 1499), version)) == first
        assert sum(len(each.value or b"") for each in first) < 1000

    def test_change_of_services_is_sent(self) -> None:
        """A new service reaches agents with its own revision, in a form that they can decode."""
        documents = AgentDocuments()
        documents.reduce((build_configuration(3, 10),))
        (item,) = documents.reduce((build_configuration(4, 10, [*SERVICES, {"name": "other"}]),))
        assert item.revision == 4
        table = decode_table(item.value or b"", item.revision)
        assert (set(table.services), table.version) == ({"plain", "other"}, 4)

    def test_malformed_configuration_is_passed_on(self) -> None:
        """The reader logs the error; the node that passes it on keeps running."""
        item = Item("op/config", b"{", 3)
        assert AgentDocuments().reduce((item,)) == (item,)
