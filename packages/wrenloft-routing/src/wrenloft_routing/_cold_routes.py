"""Operators' view of the endpoints that are cold, as this node sees them."""

from aiohttp import web

from wrenloft_core import AgentId, read_clock
from wrenloft_policy import BOUND_WINDOW_SECONDS
from wrenloft_routing._cold_ledger import ActiveCold
from wrenloft_routing._endpoints import Endpoints
from wrenloft_routing._limiter import Limiter

COLD_PATH = "/operators/v1/cold"


class ColdRoutes:
    """Lists the cold endpoints on the internal address."""

    def __init__(self, endpoints: Endpoints, limiter: Limiter) -> None:
        self._endpoints = endpoints
        self._limiter = limiter

    def routes(self) -> list[web.RouteDef]:
        """Return the operators' routes."""
        return [web.get(COLD_PATH, self._list)]

    async def _list(self, _: web.Request) -> web.Response:
        rows = [self._describe(each) for each in self._endpoints.cold.ledger.list_active()]
        return web.json_response({"cold": [row for row in rows if row is not None]})

    def _describe(self, cold: ActiveCold) -> dict[str, object] | None:
        """Return a row, ``None`` for an incarnation that isn't listed.

        ``granted`` is known to the endpoint's limiter alone; ``sent`` is what this node sent.
        """
        state = self._endpoints.get(AgentId(cold.incarnation.rpartition("@")[0]))
        if state is None or state.endpoint.incarnation != cold.incarnation:
            return None
        endpoint = state.endpoint
        rule = self._endpoints.cold.rules.get(endpoint.service)
        if rule is None:
            return None
        return {
            "endpoint": endpoint.agent_id,
            "service": endpoint.service,
            "left_s": round(cold.left, 2),
            "source": cold.source.value,
            "limiter": self._limiter.find_limiter(cold.incarnation, endpoint.place),
            "rate": rule.allowance.rate,
            "bound": rule.allowance.max_requests,
            "granted": self._limiter.count_cold_grants(cold.incarnation),
            "sent": state.count_sent(read_clock() - BOUND_WINDOW_SECONDS),
        }
