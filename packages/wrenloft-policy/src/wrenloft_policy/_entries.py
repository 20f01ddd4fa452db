"""Order of the entry nodes that a caller should use."""

from collections.abc import Sequence
from dataclasses import dataclass

from blake3 import blake3

from wrenloft_core import NodeId, PlaceName, RegionName


@dataclass(frozen=True, slots=True)
class EntryNode:
    """An entry node as known to the others."""

    node_id: NodeId
    address: str
    place: PlaceName
    region: RegionName
    draining: bool = False
    suspected: bool = False


def choose_entries(
    caller: str, nodes: Sequence[EntryNode], place: PlaceName, region: RegionName
) -> list[EntryNode]:
    """Order the entry nodes for one caller: near ones first, in a different order for each caller.

    Draining nodes are excluded. Suspected ones come last instead: a node that is partitioned from
    its peers suspects them all, and must still give callers other addresses.
    """

    def rank(node: EntryNode) -> tuple[bool, int, bytes]:
        distance = 0 if node.place == place else 1 if node.region == region else 2
        return node.suspected, distance, blake3(f"{caller}/{node.node_id}".encode()).digest(8)

    return sorted((node for node in nodes if not node.draining), key=rank)
