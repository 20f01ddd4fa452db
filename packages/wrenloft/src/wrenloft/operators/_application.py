"""The HTTP routes for operators."""

import asyncio
import json
import logging
from collections.abc import Callable
from typing import Any

from aiohttp import web

from wrenloft._view import View
from wrenloft.operators._status import build_status, explain_model
from wrenloft.platform import ConfigurationStore, HistoryEntry, Membership
from wrenloft_core import (
    Configuration,
    ConfigurationError,
    ConflictError,
    ModelName,
    PlatformUnavailableError,
    Revision,
    join_sections,
    matches_digest,
    name_model,
    name_request,
    parse_configuration,
    pick_shard,
    split_sections,
)
from wrenloft_messages import messages

_LOG = logging.getLogger(__name__)
_PREFIX = "/operators/v1"
_BEARER = "Bearer "
_HISTORY_LENGTH = 50


class OperatorRoutes:
    """Takes operators' calls, which carry the operators' key.

    :param describe: returns this node's present record.
    :param drain: begins to stop this node.
    """

    def __init__(
        self,
        view: View,
        membership: Membership,
        configurations: ConfigurationStore,
        describe: Callable[[], messages.NodeRecord],
        drain: Callable[[], None],
        key_digest: str,
        shard_count: int,
    ) -> None:
        self._view = view
        self._membership = membership
        self._configurations = configurations
        self._describe = describe
        self._drain = drain
        self._key_digest = key_digest
        self._shard_count = shard_count

    def routes(self) -> list[web.RouteDef]:
        """Return the operators' routes."""
        return [
            web.get(f"{_PREFIX}/configuration", self._guard(self._show)),
            web.post(f"{_PREFIX}/configuration", self._guard(self._apply)),
            web.post(f"{_PREFIX}/rollback", self._guard(self._roll_back)),
            web.get(f"{_PREFIX}/history", self._guard(self._list_history)),
            web.get(f"{_PREFIX}/status", self._guard(self._show_status)),
            web.get(f"{_PREFIX}/explain/{{model}}", self._guard(self._explain)),
            web.get(f"{_PREFIX}/owner/{{organisation}}/{{key}}", self._guard(self._find_key_owner)),
            web.get(f"{_PREFIX}/owner-of-model/{{model}}", self._guard(self._find_model_owner)),
            web.post(f"{_PREFIX}/drain", self._guard(self._begin_drain)),
        ]

    def _guard(self, act: Any) -> Any:
        """Check the key, and turn errors into answers that carry their step and reason."""

        async def handle(request: web.Request) -> web.Response:
            given = request.headers.get("Authorization", "").removeprefix(_BEARER)
            if not matches_digest(given, self._key_digest):
                return _answer(401, {"error": "unknown operators' key"})
            try:
                return _answer(200, await act(request))
            except ConfigurationError as error:
                return _answer(400, {"error": error.reason, "faults": error.reason.split("; ")})
            except ConflictError as error:
                return _answer(409, {"error": error.reason})
            except PlatformUnavailableError as error:
                return _answer(503, {"error": str(error)})
            except (KeyError, ValueError, TypeError) as error:
                return _answer(400, {"error": f"malformed request: {error!r}"})

        return handle

    async def _show(self, _: web.Request) -> dict[str, Any]:
        sections = split_sections(self._configurations.current)
        return {
            "revision": self._configurations.revision,
            "sections": {name: json.loads(body) for name, body in sections.items()},
        }

    async def _apply(self, request: web.Request) -> dict[str, Any]:
        fields = await request.json()
        configuration = parse_configuration(fields["text"], source=fields.get("source", "-"))
        changes = describe_changes(self._configurations.current, configuration)
        if fields.get("dry_run"):
            return {"accepted": False, "changes": changes}
        head = await self._accept(split_sections(configuration), fields)
        return {"accepted": True, "revision": head.revision, "changes": changes}

    async def _accept(self, sections: dict[str, bytes], fields: dict[str, Any]) -> HistoryEntry:
        head = await self._configurations.accept(
            sections,
            base=Revision(int(fields["base"])),
            operation=fields["operation"],
            author=fields.get("author", ""),
            summary=fields.get("summary", ""),
        )
        _LOG.info("revision %d accepted from %s", head.revision, head.author or "nobody")
        return head

    async def _roll_back(self, request: web.Request) -> dict[str, Any]:
        """Accept what an earlier revision held, as a new revision."""
        fields = await request.json()
        past = await self._configurations.read_history(Revision(int(fields["revision"])))
        if past is None:
            raise ConfigurationError(f"no revision {fields['revision']}", step="roll-back")
        bodies = await self._configurations.read_sections(past)
        join_sections(past.sections, bodies, past.revision)
        sections = {name: bodies[digest] for name, digest in past.sections.items()}
        head = await self._accept(sections, fields)
        return {"accepted": True, "revision": head.revision}

    async def _list_history(self, request: web.Request) -> dict[str, Any]:
        newest = self._configurations.revision
        wanted = range(newest, max(0, newest - _HISTORY_LENGTH), -1)
        entries = await asyncio.gather(
            *(self._configurations.read_history(Revision(each)) for each in wanted)
        )
        return {
            "changes": [
                {
                    "revision": each.revision,
                    "author": each.author,
                    "summary": each.summary,
                    "operation": each.operation,
                    "at": each.at,
                }
                for each in entries
                if each is not None
            ]
        }

    async def _show_status(self, _: web.Request) -> dict[str, Any]:
        now = asyncio.get_running_loop().time()
        status = build_status(
            self._view,
            self._membership.tables,
            self._configurations.current,
            self._describe(),
            now,
        )
        return {**status, "holds_lease": self._membership.holds_lease()}

    async def _explain(self, request: web.Request) -> dict[str, Any]:
        name = ModelName(request.match_info["model"])
        now = asyncio.get_running_loop().time()
        return {
            "model": name,
            "hosts": explain_model(self._view, self._configurations.current, name, now),
        }

    async def _find_key_owner(self, request: web.Request) -> dict[str, Any]:
        organisation, key = request.match_info["organisation"], request.match_info["key"]
        return self._describe_owner(name_request(organisation, key))

    async def _find_model_owner(self, request: web.Request) -> dict[str, Any]:
        return self._describe_owner(name_model(ModelName(request.match_info["model"])))

    def _describe_owner(self, name: str) -> dict[str, Any]:
        shard = pick_shard(name, self._shard_count)
        record = self._membership.tables.shards.get(shard)
        return {
            "shard": shard,
            "owner": record.owner if record else "",
            "epoch": record.epoch if record else 0,
        }

    async def _begin_drain(self, _: web.Request) -> dict[str, Any]:
        self._drain()
        return {"draining": True}


def describe_changes(before: Configuration, after: Configuration) -> list[str]:
    """Return what a change would do: what is added, removed and altered, and who is cut off."""
    changes: list[str] = []
    for table in ("organisations", "models", "services"):
        old, new = getattr(before, table), getattr(after, table)
        changes += [f"{table}.{name}: removed" for name in sorted(old.keys() - new.keys())]
        changes += [f"{table}.{name}: added" for name in sorted(new.keys() - old.keys())]
        changes += [
            f"{table}.{name}: changed"
            for name in sorted(old.keys() & new.keys())
            if old[name] != new[name]
        ]
    if before.fleet != after.fleet:
        changes.append("fleet: changed")
    return changes


def _answer(status: int, fields: dict[str, Any]) -> web.Response:
    return web.Response(status=status, text=json.dumps(fields), content_type="application/json")
