"""The entry node's settings."""

from dataclasses import dataclass, field
from enum import StrEnum


class Choice(StrEnum):
    """How runners are chosen; all but the first are baselines for measurements."""

    TWO_CANDIDATES = "two-candidates"
    RANDOM = "random"
    ROUND_ROBIN = "round-robin"
    LEAST_REPORTED = "least-reported"


@dataclass(frozen=True, slots=True)
class NodeSettings:
    """What one entry node is told at its start.

    :param name: the host's name; the id adds what tells one process from the next.
    :param keyvalue: addresses of the key-value service.
    :param peers: gRPC addresses of other entry nodes, used until the service names them.
    :param secret: shared by wrenloft's own processes.
    :param operator_key: digest of the operators' key.
    :param lease_seconds: time to live of the node's lease.
    :param poll_seconds: between reads of the shared tables.
    :param heartbeat_seconds: between messages to each other node.
    :param suspect_seconds: silence after which a node is suspected.
    :param stale_seconds: age at which an agent's report is no longer relied on.
    :param commit_seconds: least time between two writes of request records.
    :param keep_seconds: for how long callers keep the list of entry addresses.
    :param plan_seconds: between two looks at each owned model.
    """

    name: str
    place: str
    region: str
    keyvalue: list[str]
    secret: str
    operator_key: str
    origin: str = ""
    peers: list[str] = field(default_factory=list)
    host: str = "127.0.0.1"
    http_port: int = 0
    grpc_port: int = 0
    lease_seconds: int = 5
    poll_seconds: float = 1.0
    heartbeat_seconds: float = 0.5
    suspect_seconds: float = 1.5
    stale_seconds: float = 3.0
    commit_seconds: float = 0.02
    keep_seconds: float = 5.0
    plan_seconds: float = 0.5
    shard_count: int = 64
    choice: Choice = Choice.TWO_CANDIDATES
    max_body: int = 4 << 20
    max_connections: int = 4096
    log_json: bool = False
    log_level: str = "info"
