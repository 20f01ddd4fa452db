"""The agent's settings."""

from dataclasses import dataclass, field
from enum import StrEnum


class RunnerKind(StrEnum):
    """What stands behind the agent."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """What one agent is told at its start.

    :param name: the host's name; the id adds what tells one process from the next.
    :param nodes: gRPC addresses of entry nodes to begin with.
    :param keyvalue: addresses of the key-value service, which lists the nodes that replaced them.
    :param secret: shared by wrenloft's own processes.
    :param capacity: requests that the runner works on at once.
    :param queue: requests that may wait at the agent.
    :param memory_bytes: cap on chunks held in memory.
    :param link_rate: bytes a second of the host's link, each way.
    :param leave_seconds: least time between announcing a stop and ending.
    :param witness_seconds: for how long ended runs are remembered.
    :param echoes_id: whether the runner's answers carry the request's id, to be checked.
    :param resumable: whether the engine's streams can be resumed at an offset.
    """

    name: str
    place: str
    region: str
    runner: str
    nodes: list[str]
    secret: str
    kind: RunnerKind = RunnerKind.ENGINE
    keyvalue: list[str] = field(default_factory=list)
    origin: str = ""
    host: str = "127.0.0.1"
    http_port: int = 0
    grpc_port: int = 0
    labels: dict[str, str] = field(default_factory=dict)
    capacity: int = 8
    queue: int = 16
    memory_bytes: int = 8 << 30
    link_rate: float = 1.25e9
    report_seconds: float = 0.5
    leave_seconds: float = 2.0
    witness_seconds: float = 600.0
    echoes_id: bool = True
    resumable: bool = True
    log_json: bool = False
    log_level: str = "info"
