"""What operators are shown of the fleet."""

from collections import Counter
from collections.abc import Mapping
from typing import Any

from wrenloft._view import View
from wrenloft.platform import PlatformTables
from wrenloft_core import Configuration, ModelName
from wrenloft_messages import messages
from wrenloft_policy import choose_hosts


def build_status(
    view: View,
    tables: PlatformTables,
    configuration: Configuration,
    own: messages.NodeRecord,
    now: float,
) -> dict[str, Any]:
    """Return nodes, agents, models and shards as this node sees them."""
    shards = Counter(record.owner for record in tables.shards.values())
    return {
        "revision": configuration.revision,
        "nodes": [
            {
                "id": each.node_id,
                "address": each.address,
                "place": each.place,
                "draining": each.draining,
                "suspected": each.suspected,
                "revision": _find_revision(view, own, each.node_id),
                "shards": shards.get(each.node_id, 0),
            }
            for each in view.list_entries(own, now)
        ],
        "agents": [
            {
                "id": entry.agent_id,
                "place": entry.record.place,
                "phase": messages.Phase.Name(entry.record.phase).removeprefix("PHASE_").lower(),
                "revision": entry.record.revision,
                "running": entry.record.running,
                "waiting": entry.record.waiting,
                "silent_seconds": round(now - entry.heard_at, 1),
                "fresh": view.is_fresh(entry, now),
                "served": {each.model: each.version for each in entry.record.served},
            }
            for entry in sorted(view.agents.values(), key=lambda each: each.agent_id)
        ],
        "models": _describe_models(view, configuration, now),
        "unowned_shards": sum(
            record.owner not in tables.nodes for record in tables.shards.values()
        ),
    }


def _find_revision(view: View, own: messages.NodeRecord, node_id: str) -> int:
    if node_id == own.node_id:
        return own.revision
    return next((each.record.revision for key, each in view.peers.items() if key == node_id), 0)


def _describe_models(
    view: View, configuration: Configuration, now: float
) -> Mapping[str, Mapping[str, Any]]:
    result: dict[str, Mapping[str, Any]] = {}
    for name, model in configuration.models.items():
        serving = view.serving(name, now)
        whole = [each for each in serving if each.version_of(name) == model.version]
        result[name] = {
            "version": model.version,
            "wanted": model.replicas,
            "replicas": len(whole),
            "other_versions": len(serving) - len(whole),
            "places": dict(Counter(each.record.place for each in whole)),
        }
    return result


def explain_model(
    view: View, configuration: Configuration, name: ModelName, now: float
) -> list[dict[str, str]]:
    """Return the hosts that would be chosen for a model now, each with the reason."""
    model = configuration.models[name]
    hosts = view.list_hosts(name, model.version, now)
    placed = choose_hosts(name, model.hosts, model.replicas, hosts)
    return [{"agent": each.agent_id, "reason": each.reason} for each in placed]
