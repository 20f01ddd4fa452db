"""Configurations of the soak, and the changes that are made to them."""

from dataclasses import dataclass, field
from random import Random
from typing import Any

HOST = "shop.example"
KEYS = ("k1", "k2")
SERVICES = ("plain", "other")
MANY_ROUTES = 350
TIMEOUTS_MS = (6000, 8000, 12000)


@dataclass(frozen=True)
class Route:
    """A route of the soak.

    :param idempotent: whether a request may run more than once.
    :param keyed: whether a request needs a key.
    """

    kind: str
    idempotent: bool
    keyed: bool

    @property
    def streaming(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.kind == "streaming"


ROUTES = {
    "safe": Route("safe", idempotent=True, keyed=False),
    "keyed-safe": Route("safe", idempotent=True, keyed=True),
    "unsafe": Route("unsafe", idempotent=False, keyed=False),
    "keyed-unsafe": Route("unsafe", idempotent=False, keyed=True),
    "resumable": Route("streaming", idempotent=True, keyed=False),
    "keyed-resumable": Route("streaming", idempotent=True, keyed=True),
    "stream": Route("streaming", idempotent=False, keyed=False),
}


@dataclass
class Configuration:
    """The operators' configuration.

    :param removed: names of routes that are left out.
    :param extra: number of routes in addition.
    :param versions: time and document of each version that was built.
    """

    max_attempts: int
    random: Random
    keys: list[str] = field(default_factory=lambda: list(KEYS))
    removed: list[str] = field(default_factory=list)
    services: dict[str, str] = field(default_factory=dict)
    timeouts: dict[str, int] = field(default_factory=dict)
    extra: int = 0
    versions: list[tuple[float, dict[str, Any]]] = field(default_factory=list)

    def build(self, at: float) -> dict[str, Any]:
        """Return the next version."""
        routes = [self._build_route(name) for name in ROUTES if name not in self.removed]
        for n in range(self.extra):
            route = self._build_route("safe")
            routes.append({**route, "name": f"more-{n}", "prefix": f"/more-{n}/"})
        document = {
            "version": 3 * len(self.versions) + 1,
            "routes": routes,
            "services": [
                {"name": name, "healthPath": "/healthz", "maxConnections": 200} for name in SERVICES
            ],
            "limits": {"maxBodyBytes": 1_000_000},
            "tenants": [{"name": "org1", "apiKeys": self.keys.copy(), "priority": 1}],
        }
        self.versions.append((at, document))
        return document

    def _build_route(self, name: str) -> dict[str, Any]:
        route = ROUTES[name]
        return {
            "name": name,
            "host": HOST,
            "prefix": f"/{name}/",
            "kind": route.kind,
            "timeoutMs": self.timeouts.get(name, TIMEOUTS_MS[-1]),
            "targetLatencyMs": 500,
            "priority": 1,
            "service": self.services.get(name, SERVICES[0]),
            "maxAttempts": self.max_attempts,
            "public": not route.keyed,
            "streamResume": route.streaming and route.idempotent,
            "gapTargetMs": 400,
        }

    def change(self) -> None:
        """Make one change, or take one back."""
        name = self.random.choice(list(ROUTES))
        match self.random.randrange(5):
            case 0:
                self.removed = [] if self.removed else [name]
            case 1:
                self.services[name] = self.random.choice(SERVICES)
            case 2:
                self.timeouts[name] = self.random.choice(TIMEOUTS_MS)
            case 3:
                self.keys = self.keys[:1] if len(self.keys) > 1 else list(KEYS)
            case _:
                self.extra = 0 if self.extra else self.random.choice((1, MANY_ROUTES))

    def find_shortest_timeout(self, route: str, start: float, end: float) -> float:
        """Return the shortest timeout of a route in any version of a period, in seconds."""
        versions = [each for at, each in self.versions if at <= start][-1:]
        versions += [each for at, each in self.versions if start < at <= end]
        routes = [found for each in versions for found in each["routes"] if found["name"] == route]
        return min((each["timeoutMs"] for each in routes), default=TIMEOUTS_MS[0]) / 1000
