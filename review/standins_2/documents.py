"""Operators' documents of a small deployment."""

from typing import Any

HOST = "shop.example"

LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4194304,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}


def build_route(name: str, kind: str, service: str, **changes: Any) -> dict[str, Any]:
    """Return a route of a plain service, with its name as prefix."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 2500,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
        "public": False,
        **changes,
    }


def build_configuration(
    version: int, routes: list[dict[str, Any]], services: list[str], keys: dict[str, list[str]]
) -> dict[str, Any]:
    """Return a configuration.

    :param keys: keys of each tenant.
    """
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": each,
                "healthPath": "/healthz",
                "maxConnections": 110,
                "protocol": "h1",
                "tls": False,
            }
            for each in services
        ],
        "limits": LIMITS,
        "tenants": [{"name": name, "apiKeys": each} for name, each in keys.items()],
    }
