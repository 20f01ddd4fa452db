"""Distribution of weights by a swarm of agents, each of which controls its own engine."""

from wrenloft_swarm._chunk_store import ChunkStore, VersionChunks, VersionName
from wrenloft_swarm._neighbours import MAX_CHUNK_BYTES
from wrenloft_swarm._ports import (
    Engine,
    EngineState,
    Neighbour,
    OrderResult,
    WeightsOrigin,
)
from wrenloft_swarm._reconciler import Reconciler, ReconcilerContext
from wrenloft_swarm._server import UPLOAD_SHARE, LatestState, SwarmRoutes
from wrenloft_swarm._settings import AgentSettings
from wrenloft_swarm._transfer import SwarmTransfer

__all__ = [
    "MAX_CHUNK_BYTES",
    "UPLOAD_SHARE",
    "AgentSettings",
    "ChunkStore",
    "Engine",
    "EngineState",
    "LatestState",
    "Neighbour",
    "OrderResult",
    "Reconciler",
    "ReconcilerContext",
    "SwarmRoutes",
    "SwarmTransfer",
    "VersionChunks",
    "VersionName",
    "WeightsOrigin",
]
