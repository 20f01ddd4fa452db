"""Settings of an agent."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of one agent, read at its start.

    :param ip: this host's address.
    :param regions: region of each availability zone.
    :param engine: address of the engine on this host.
    :param service: the service that the engine is an endpoint of.
    :param internal_port: port for other nodes, the same on all hosts.
    :param store: address of the platform's store.
    :param link_rate: bits a second of this host's link.
    :param grace: seconds from the termination signal until the process is killed.
    :param version: seconds from setting a version until requests start on that version only.
    :param log_lines: highest number of log lines a second.
    """

    name: str
    ip: str
    place: str
    region: str
    regions: dict[str, str]
    engine: str
    service: str
    internal_port: int
    store: str
    link_rate: float
    grace: float = 8.0
    version: float = 8.0
    log_lines: int = 200
    log_level: str = "info"
