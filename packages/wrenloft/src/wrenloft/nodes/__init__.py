"""Other entry nodes: heartbeats, configurations, and claims sent on to a shard's owner."""

from wrenloft.nodes._claims import OwnerClaims
from wrenloft.nodes._heartbeats import Heartbeats
from wrenloft.nodes._service import NodeService

__all__ = ["Heartbeats", "NodeService", "OwnerClaims"]
