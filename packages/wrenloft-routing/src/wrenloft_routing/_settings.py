"""Settings of an entry node that forwards straight to endpoints."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Bounds:
    """What operators promise their callers, in seconds unless said otherwise.

    :param grace: from the signal to stop until the process is killed.
    :param revoke: from taking a key away until no request with it may run; 0 for no bound.
    :param retry_ratio: second tries allowed for each request.
    :param retry_slack: second tries allowed in each window besides.
    :param retry_window: the window.
    :param version: from naming weights until requests begin on them only.
    :param directory_keep: longest time for which callers keep a list of addresses.
    """

    grace: float = 8.0
    revoke: float = 0.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window: float = 10.0
    version: float = 8.0
    directory_keep: float = 5.0


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """What an entry node is told at its start.

    :param ip: this host's address.
    :param regions: region of each availability zone.
    :param front: address for callers.
    :param readiness: address for the platform's checks.
    :param directory: address for callers who ask where to connect.
    :param internal_port: port for other nodes, the same on all hosts.
    :param store: address of the platform's store.
    :param processor_share: part of a core's time that this host gives, 0 to 1.
    :param processor_speed: how many times faster than one core that is.
    :param log_lines: lines a second logged at most.
    """

    name: str
    ip: str
    place: str
    region: str
    regions: dict[str, str]
    front: str
    readiness: str
    directory: str
    internal_port: int
    store: str
    processor_share: float = 1.0
    processor_speed: float = 1.0
    bounds: Bounds = field(default_factory=Bounds)
    log_lines: int = 400
    log_level: str = "info"
