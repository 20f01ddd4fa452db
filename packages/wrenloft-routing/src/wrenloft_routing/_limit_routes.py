"""Operators' view of the rate limits of endpoints."""

from aiohttp import web

from wrenloft_core import AgentId
from wrenloft_routing._endpoints import Endpoints
from wrenloft_routing._limit_ledger import ActiveLimit
from wrenloft_routing._limiter import Limiter

LIMITS_PATH = "/operators/v1/limits"


class LimitRoutes:
    """Lists the limits of known endpoints on the internal address."""

    def __init__(self, endpoints: Endpoints, limiter: Limiter) -> None:
        self._endpoints = endpoints
        self._limiter = limiter

    def routes(self) -> list[web.RouteDef]:
        """Return the operators' routes."""
        return [web.get(LIMITS_PATH, self._list)]

    async def _list(self, _: web.Request) -> web.Response:
        rows = [self._describe(each) for each in self._endpoints.limits.list_active()]
        return web.json_response({"limits": [row for row in rows if row is not None]})

    def _describe(self, limit: ActiveLimit) -> dict[str, object] | None:
        agent_id = AgentId(limit.incarnation.rpartition("@")[0])
        state = self._endpoints.get(agent_id)
        if state is None or state.endpoint.incarnation != limit.incarnation:
            return None
        endpoint = state.endpoint
        return {
            "endpoint": agent_id,
            "service": endpoint.service,
            "rate": limit.rate,
            "age_s": round(limit.age, 1),
            "seen_by": limit.node,
            "limiter": self._limiter.find_limiter(limit.incarnation, endpoint.place),
        }
