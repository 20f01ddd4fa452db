"""Operators' view of the availability zones that are evacuated, as this node sees them."""

from aiohttp import web

from wrenloft_core import read_clock
from wrenloft_routing._evacuations import Evacuation, EvacuationLedger

EVACUATIONS_PATH = "/operators/v1/evacuations"


class EvacuationRoutes:
    """Lists the evacuations in force on the internal address."""

    def __init__(self, evacuations: EvacuationLedger) -> None:
        self._evacuations = evacuations

    def routes(self) -> list[web.RouteDef]:
        """Return the operators' routes."""
        return [web.get(EVACUATIONS_PATH, self._list)]

    async def _list(self, _: web.Request) -> web.Response:
        now = read_clock()
        rows = [_describe(each, now) for each in self._evacuations.list_all()]
        return web.json_response({"evacuations": rows})


def _describe(evacuation: Evacuation, now: float) -> dict[str, object]:
    return {
        "place": evacuation.place,
        "seconds": round(now - evacuation.since, 1),
        "listed": evacuation.missing_since is None,
    }
