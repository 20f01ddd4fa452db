"""The operators' routes to list and lift quarantines."""

import logging

from aiohttp import web

from wrenloft_core import ContentId, note
from wrenloft_routing._crash_guard import CrashGuard
from wrenloft_routing._crash_ledger import CrashLedger

_LOG = logging.getLogger(__name__)

QUARANTINE_PATH = "/operators/v1/held"


class CrashRoutes:
    """List and lift quarantines on the internal address; other nodes receive a lift as an
    update."""

    def __init__(self, ledger: CrashLedger, guard: CrashGuard) -> None:
        self._ledger = ledger
        self._guard = guard

    def routes(self) -> list[web.RouteDef]:
        """Return the operators' routes."""
        return [web.get(QUARANTINE_PATH, self._list), web.post(QUARANTINE_PATH, self._lift)]

    async def _list(self, _: web.Request) -> web.Response:
        rows = [
            {
                "content": each.content,
                "crashes": each.count,
                "age_s": round(each.age, 1),
                "source": each.source.value,
                "trial_in_s": round(self._guard.measure_retry_after(each), 1),
            }
            for each in self._ledger.list_quarantines()
        ]
        return web.json_response({"held": rows})

    async def _lift(self, request: web.Request) -> web.Response:
        try:
            content = ContentId(str((await request.json())["lift"]))
        except (ValueError, KeyError, TypeError):
            return web.json_response({"error": 'body is not {"lift": "CONTENT"}'}, status=400)
        if not self._guard.lift(content):
            return web.json_response({"error": f"{content} is not held back"}, status=404)
        note(_LOG, "quarantine lifted", content=content)
        return web.json_response({"lifted": content})
