"""Settings of an entry node that forwards requests straight to endpoints."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Bounds:
    """Guarantees of operators to their callers, in seconds unless stated otherwise.

    :param grace: from the signal to stop until the process is killed.
    :param revoke: from the removal of a key until no request with it may run; 0 for no bound.
    :param retry_ratio: retries allowed per request.
    :param retry_slack: retries allowed in each window in addition.
    :param retry_window: the window.
    :param version: from the announcement of weights until requests may begin only on them.
    :param directory_keep: longest time for which callers keep a list of addresses.
    :param cold_overrun: factor on the requests that a cold endpoint takes a second, above which,
        with ``cold_allowance`` added, no second may be.
    :param cold_allowance: requests.
    """

    grace: float = 8.0
    revoke: float = 0.0
    retry_ratio: float = 0.2
    retry_slack: float = 50.0
    retry_window: float = 10.0
    version: float = 8.0
    directory_keep: float = 5.0
    cold_overrun: float = 1.0
    cold_allowance: float = 0.0


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Settings of an entry node at its start.

    :param ip: this host's address.
    :param regions: region of each availability zone.
    :param front: address for callers.
    :param readiness: address for the platform's health checks.
    :param directory: address of the directory of entry nodes for callers.
    :param internal_port: port for other nodes, the same on all hosts.
    :param store: address of the platform's store.
    :param processor_share: share of a core's time that this host grants, 0 to 1.
    :param processor_speed: speed relative to one core.
    :param log_lines: maximum of log lines per second.
    :param contracts: names of the platform's features in use.
    :param memory_mb: memory that this process may use, in megabytes, 0 if unknown.
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
    contracts: list[str] = field(default_factory=list)
    memory_mb: float = 0.0
