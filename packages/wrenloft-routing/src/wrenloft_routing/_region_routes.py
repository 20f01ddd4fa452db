"""Operators' view of the rules and organisations that are bound to regions."""

from collections.abc import Callable

from aiohttp import web

from wrenloft_core import RegionName
from wrenloft_routing._endpoints import Endpoints
from wrenloft_routing._table import RoutingTable, Rule

REGIONS_PATH = "/operators/v1/regions"


class RegionRoutes:
    """Lists the regional bounds in force on the internal address.

    :param get_table: returns the configuration in force, ``None`` before the first one.
    """

    def __init__(self, endpoints: Endpoints, get_table: Callable[[], RoutingTable | None]) -> None:
        self._endpoints = endpoints
        self._get_table = get_table

    def routes(self) -> list[web.RouteDef]:
        """Return the operators' routes."""
        return [web.get(REGIONS_PATH, self._list)]

    async def _list(self, _: web.Request) -> web.Response:
        table = self._get_table()
        if table is None:
            return web.json_response({"rules": [], "organisations": []})
        rules = [self._describe_rule(each) for each in table.rules if each.regions]
        bound = {each.organisation: each.regions for each in table.callers.values()}
        organisations = [
            {"organisation": name, "regions": sorted(regions)}
            for name, regions in sorted(bound.items())
            if regions
        ]
        return web.json_response({"rules": rules, "organisations": organisations})

    def _describe_rule(self, rule: Rule) -> dict[str, object]:
        return {
            "rule": rule.name,
            "regions": sorted(rule.regions),
            "endpoints": self._count_allowed(rule, rule.regions),
        }

    def _count_allowed(self, rule: Rule, regions: frozenset[RegionName]) -> int:
        """Return the number of endpoints in the regions that take new requests."""
        return sum(
            each.is_allowed(regions)
            for target in rule.targets
            for each in self._endpoints.of_service(target.service)
        )
