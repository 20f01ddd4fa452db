"""The platform's key-value service, and everything that is agreed through it."""

from wrenloft.platform._configurations import ConfigurationStore, HistoryEntry
from wrenloft.platform._keyvalue import Absent, Entry, KeyValueClient, Put, Unchanged
from wrenloft.platform._membership import (
    Membership,
    NodeRegistration,
    PlatformTables,
    ShardRecord,
)
from wrenloft.platform._requests import RequestRegistry
from wrenloft.platform._shards import OwnedShard, Shards

__all__ = [
    "Absent",
    "ConfigurationStore",
    "Entry",
    "HistoryEntry",
    "KeyValueClient",
    "Membership",
    "NodeRegistration",
    "OwnedShard",
    "PlatformTables",
    "Put",
    "RequestRegistry",
    "ShardRecord",
    "Shards",
    "Unchanged",
]
