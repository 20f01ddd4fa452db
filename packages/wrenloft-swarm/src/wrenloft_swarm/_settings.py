"""Settings of an agent that orders its own engine."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """What an agent is told at its start.

    :param ip: this host's address.
    :param regions: region of each availability zone.
    :param engine: address of the engine on this host.
    :param service: the service whose endpoint it is.
    :param internal_port: port for other nodes, the same on all hosts.
    :param store: address of the platform's store.
    :param link_rate: bits a second of this host's link.
    :param grace: seconds from the signal to stop until the process is killed.
    :param version: seconds from naming a version until requests begin on it only.
    :param log_lines: lines a second logged at most.
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
