"""Which entry addresses a caller is told to use."""

from collections.abc import Sequence
from dataclasses import dataclass

from blake3 import blake3

from wrenloft_core import NodeId, PlaceName, RegionName


@dataclass(frozen=True, slots=True)
class EntryNode:
    """What is known of one entry node."""

    node_id: NodeId
    address: str
    place: PlaceName
    region: RegionName
    draining: bool = False
    suspected: bool = False


def choose_entries(
    caller: str, nodes: Sequence[EntryNode], place: PlaceName, region: RegionName
) -> list[EntryNode]:
    """Order the entry nodes for one caller: near first, in another order for each caller.

    Draining nodes are left out. Suspected ones come last instead: a node that is cut off from
    its peers suspects them all, and must still give callers somewhere to go.
    """

    def rank(node: EntryNode) -> tuple[bool, int, bytes]:
        distance = 0 if node.place == place else 1 if node.region == region else 2
        return node.suspected, distance, blake3(f"{caller}/{node.node_id}".encode()).digest(8)

    return sorted((node for node in nodes if not node.draining), key=rank)
