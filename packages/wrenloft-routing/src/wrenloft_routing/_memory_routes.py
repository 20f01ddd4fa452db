"""Operators' view of the memory that this node holds for callers and endpoints."""

from aiohttp import web

from wrenloft_routing._memory_budget import MemoryBudget

MEMORY_PATH = "/operators/v1/memory"


class MemoryRoutes:
    """Shows the bounds and what is held on the internal address."""

    def __init__(self, budget: MemoryBudget) -> None:
        self._budget = budget

    def routes(self) -> list[web.RouteDef]:
        """Return the operators' routes."""
        return [web.get(MEMORY_PATH, self._show)]

    async def _show(self, _: web.Request) -> web.Response:
        budget, limits = self._budget, self._budget.limits
        if limits is None:
            return web.json_response({"memory": None})
        short = budget.shortage_seconds
        fields = {
            "held": budget.held,
            "total": limits.total,
            "new_work": limits.new_work,
            "connection": limits.connection,
            "reservations": budget.reservations,
            "released_per_s": round(budget.release_rate),
            "short_s": None if short is None else round(short, 1),
            "refused": {reason.value: count for reason, count in budget.refusals.items()},
        }
        return web.json_response({"memory": fields})
