"""Names of the keys in the key-value service."""

from wrenloft_core import NodeId, ShardNumber

ROOT = "/wrenloft"
HEAD = f"{ROOT}/configuration/head"
SECTIONS = f"{ROOT}/configuration/sections/"
REVISIONS = f"{ROOT}/configuration/revisions/"
NODES = f"{ROOT}/nodes/"
SHARDS = f"{ROOT}/shards/"
REQUESTS = f"{ROOT}/requests/"


def name_node(node_id: NodeId) -> str:
    """Return the key of a node's registration, which its lease holds."""
    return f"{NODES}{node_id}"


def name_shard(shard: ShardNumber) -> str:
    """Return the key of a shard's owner and epoch."""
    return f"{SHARDS}{shard:04d}"


def name_section(digest: str) -> str:
    """Return the key of a section's body."""
    return f"{SECTIONS}{digest}"


def name_revision(revision: int) -> str:
    """Return the key under which a past head is kept."""
    return f"{REVISIONS}{revision:012d}"


def name_segments(shard: ShardNumber) -> str:
    """Return the prefix of a shard's request records."""
    return f"{REQUESTS}{shard:04d}/"
