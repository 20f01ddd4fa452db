"""Operators' view of the endpoints that get no requests of this node because they said so."""

from aiohttp import web

from wrenloft_core import read_clock
from wrenloft_routing._endpoints import Endpoints, EndpointState

ENDPOINTS_PATH = "/operators/v1/endpoints"


class EndpointRoutes:
    """Lists leaving and resting endpoints on the internal address."""

    def __init__(self, endpoints: Endpoints) -> None:
        self._endpoints = endpoints

    def routes(self) -> list[web.RouteDef]:
        """Return the operators' routes."""
        return [web.get(ENDPOINTS_PATH, self._list)]

    async def _list(self, _: web.Request) -> web.Response:
        now = read_clock()
        closed = [each for each in self._endpoints.list_all() if not each.is_open(now)]
        return web.json_response({"endpoints": [_describe(each, now) for each in closed]})


def _describe(state: EndpointState, now: float) -> dict[str, object]:
    endpoint, departure = state.endpoint, state.departure
    return {
        "endpoint": endpoint.agent_id,
        "service": endpoint.service,
        "address": endpoint.address,
        "born": endpoint.born,
        "leaving_from": None if departure is None else departure.source.value,
        "leaving_s": None if departure is None else round(now - departure.at, 1),
        "rest_left_s": round(max(0.0, state.rest_until - now), 1),
        "evacuated": state.evacuated,
    }
