"""Types of ids and names, and the hash that maps names to shards."""

import secrets
from typing import NewType

from blake3 import blake3

AgentId = NewType("AgentId", str)
ChunkDigest = NewType("ChunkDigest", str)
ContentId = NewType("ContentId", str)
IncarnationId = NewType("IncarnationId", str)
ModelName = NewType("ModelName", str)
NodeId = NewType("NodeId", str)
OrganisationName = NewType("OrganisationName", str)
PlaceName = NewType("PlaceName", str)
RegionName = NewType("RegionName", str)
RequestId = NewType("RequestId", str)
Revision = NewType("Revision", int)
SegmentId = NewType("SegmentId", str)
ServiceName = NewType("ServiceName", str)
ShardNumber = NewType("ShardNumber", int)
VersionDigest = NewType("VersionDigest", str)


def make_request_id() -> RequestId:
    """Return a unique id from the system's random number generator."""
    return RequestId(secrets.token_hex(12))


def pick_shard(name: str, shard_count: int) -> ShardNumber:
    """Map a name to one of ``shard_count`` shards, equally in every process."""
    return ShardNumber(int.from_bytes(blake3(name.encode()).digest(8), "big") % shard_count)


def name_request(organisation: str, key: str) -> str:
    """Return the name that is hashed to a keyed request's shard."""
    return f"request/{organisation}/{key}"


def name_model(model: ModelName) -> str:
    """Return the name that is hashed to a model's shard."""
    return f"model/{model}"
