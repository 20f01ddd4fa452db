"""Weights by a swarm of agents, each of which orders only its own engine."""

from wrenloft_swarm._chunk_store import Holding, Holdings, VersionName
from wrenloft_swarm._ports import (
    Engine,
    EngineState,
    Neighbour,
    OrderResult,
    WeightsOrigin,
)
from wrenloft_swarm._reconciler import Means, Upkeep
from wrenloft_swarm._server import UPLOAD_SHARE, LatestState, SwarmRoutes
from wrenloft_swarm._settings import AgentSettings
from wrenloft_swarm._transfer import SwarmTransfer

__all__ = [
    "UPLOAD_SHARE",
    "AgentSettings",
    "Engine",
    "EngineState",
    "Holding",
    "Holdings",
    "LatestState",
    "Means",
    "Neighbour",
    "OrderResult",
    "SwarmRoutes",
    "SwarmTransfer",
    "Upkeep",
    "VersionName",
    "WeightsOrigin",
]
