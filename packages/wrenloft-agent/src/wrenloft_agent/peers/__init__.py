"""Other agents: what they hold, and their chunks."""

from wrenloft_agent.peers._client import (
    Neighbour,
    Neighbours,
    fetch_from_neighbour,
    fetch_manifest_from_neighbour,
)
from wrenloft_agent.peers._server import ChunkRoutes, stream_possession

__all__ = [
    "ChunkRoutes",
    "Neighbour",
    "Neighbours",
    "fetch_from_neighbour",
    "fetch_manifest_from_neighbour",
    "stream_possession",
]
