"""The operators' routes to list and lift quarantines."""

import logging
from enum import Enum
from typing import Any

from aiohttp import web

from wrenloft_core import ContentId, SegmentId, note
from wrenloft_routing._crash_guard import CrashGuard
from wrenloft_routing._crash_ledger import CrashLedger

_LOG = logging.getLogger(__name__)

QUARANTINE_PATH = "/operators/v1/held"


class HeldKind(Enum):
    """What is quarantined: requests with the same content, or all with a prompt segment."""

    CONTENT = "content"
    SEGMENT = "segment"


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
                "kind": HeldKind.CONTENT.value,
                "content": each.content,
                "crashes": each.count,
                "age_s": round(each.age, 1),
                "source": each.source.value,
                "trial_in_s": round(self._guard.measure_retry_after(each), 1),
            }
            for each in self._ledger.list_quarantines()
        ]
        return web.json_response({"held": rows + self._list_segments()})

    def _list_segments(self) -> list[dict[str, Any]]:
        quarantines = map(self._ledger.segments.get_quarantine, self._ledger.segments.list_held())
        return [
            {
                "kind": HeldKind.SEGMENT.value,
                "content": each.segment,
                "crashes": each.count,
                "age_s": round(each.age, 1),
                "source": each.source.value,
                "trial_in_s": round(self._guard.measure_retry_after(each), 1),
                "with": sorted(each.held.companions - {each.segment}),
            }
            for each in quarantines
            if each is not None
        ]

    async def _lift(self, request: web.Request) -> web.Response:
        try:
            name = str((await request.json())["lift"])
        except (ValueError, KeyError, TypeError):
            return web.json_response({"error": 'body is not {"lift": "ID"}'}, status=400)
        if self._guard.lift(ContentId(name)):
            kind = HeldKind.CONTENT
        elif self._guard.segments.lift(SegmentId(name)):
            kind = HeldKind.SEGMENT
        else:
            return web.json_response({"error": f"{name} is not held back"}, status=404)
        note(_LOG, "quarantine lifted", kind=kind.value, name=name)
        return web.json_response({"lifted": name, "kind": kind.value})
