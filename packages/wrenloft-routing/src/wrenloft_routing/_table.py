"""The routing table: the operators' configuration as used by decisions."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from wrenloft_core import (
    ModelName,
    OrganisationName,
    PlaceName,
    RegionName,
    Revision,
    ServiceName,
)
from wrenloft_policy import EngineProfile

AllowedRegions = frozenset[RegionName] | None
"""Regions in which a request may be served; ``None`` for all, an empty set for none."""


class RuleKind(Enum):
    """Whether and how requests of a rule may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Target:
    """A service that a rule sends to, with its share of the rule's requests."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Rule:
    """One routing rule.

    :param timeout: seconds after which every request has its final answer.
    :param latency_objective: seconds within which an answer has its full value.
    :param rank: 0 for the most urgent.
    :param max_attempts: endpoints that one request may be sent to.
    :param public: whether callers need no key.
    :param resumable: whether another endpoint may resume a stream.
    :param gap_objective: longest gap between two events of a stream, in seconds.
    :param regions: the only regions in which its requests may be served, all of them if empty.
    """

    name: str
    host: str
    prefix: str
    kind: RuleKind
    timeout: float
    latency_objective: float
    rank: int
    targets: tuple[Target, ...]
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_objective: float = 0.4
    regions: frozenset[RegionName] = frozenset()

    @property
    def idempotent(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RuleKind.SAFE or (self.kind is RuleKind.STREAM and self.resumable)


@dataclass(frozen=True, slots=True)
class Origin:
    """The source of weights.

    :param place: its availability zone, if known.
    :param link_rate: bits per second of its link.
    """

    address: str
    place: PlaceName | None
    link_rate: float
    max_connections: int


@dataclass(frozen=True, slots=True)
class BackendService:
    """A set of endpoints that do the same work.

    :param model: the model of its engines, ``None`` for a plain service.
    :param chunk_count: chunks of one version of its weights.
    :param layers: layers of the model, 1 if not stated: it is then loaded whole.
    :param cold_seconds: time after its start in which an endpoint is cold.
    :param cold_rate: requests a second that a cold endpoint takes, 0 if there is no bound.
    """

    name: ServiceName
    max_connections: int
    engine: EngineProfile | None = None
    model: ModelName | None = None
    chunk_count: int = 0
    chunk_bytes: int = 0
    layers: int = 1
    cold_seconds: float = 0.0
    cold_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits of callers' requests and connections.

    :param header_bytes: largest head of a request.
    :param body_bytes: largest body of a request.
    :param header_seconds: longest time for the head to arrive.
    :param idle_seconds: longest idle time of a connection.
    """

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_seconds: float = 3.0
    idle_seconds: float = 15.0


@dataclass(frozen=True, slots=True)
class Caller:
    """The owner of a key.

    :param rank: takes precedence over the rule's if set.
    :param regions: the only regions in which its requests may be served, all of them if empty.
    """

    organisation: OrganisationName
    rank: int | None = None
    regions: frozenset[RegionName] = frozenset()


@dataclass(frozen=True, slots=True)
class RoutingTable:
    """The configuration in force at one revision; replaced whole, never changed.

    :param version: number that operators gave it, which only rises, 0 if none.
    """

    revision: Revision
    rules: tuple[Rule, ...]
    services: Mapping[ServiceName, BackendService]
    limits: CallerLimits
    callers: Mapping[str, Caller] = field(default_factory=dict)
    keyed: bool = False
    origin: Origin | None = None
    version: int = 0
    _by_host: Mapping[str, Sequence[Rule]] = field(init=False, repr=False)

    def __post_init__(self) -> None:
        by_host: dict[str, list[Rule]] = {}
        for rule in sorted(self.rules, key=lambda each: -len(each.prefix)):
            by_host.setdefault(rule.host, []).append(rule)
        object.__setattr__(self, "_by_host", by_host)

    def find_rule(self, host: str, path: str) -> Rule | None:
        """Return the host's rule with the longest prefix of ``path``."""
        rules = self._list_rules(host)
        return next((rule for rule in rules if path.startswith(rule.prefix)), None)

    def find_regions(self, rule: Rule, key: str | None) -> AllowedRegions:
        """Return the regions in which a request of a rule may be served.

        :param key: the caller's key, which public rules don't need.
        """
        caller = self.callers.get(key or "") if self.keyed and not rule.public else None
        return intersect_regions(rule.regions, frozenset() if caller is None else caller.regions)

    def find_host_regions(self, host: str) -> AllowedRegions:
        """Return the regions that all rules of a host allow."""
        return intersect_regions(*(rule.regions for rule in self._list_rules(host)))

    def _list_rules(self, host: str) -> Sequence[Rule]:
        return self._by_host.get(host.lower().partition(":")[0], ())


def intersect_regions(*allowed: frozenset[RegionName]) -> AllowedRegions:
    """Return the regions that all of several bounds allow.

    :param allowed: the regions of each bound; an empty set doesn't bind.
    """
    bounds = [each for each in allowed if each]
    return frozenset.intersection(*bounds) if bounds else None


def pick_target(targets: Sequence[Target], random: Random) -> ServiceName:
    """Pick a service in proportion to the weights."""
    if len(targets) == 1:
        return targets[0].service
    weights = [max(0.0, each.weight) for each in targets]
    if not any(weights):
        return targets[0].service
    return random.choices(targets, weights)[0].service
