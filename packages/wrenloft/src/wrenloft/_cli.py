"""The ``wrenloft`` command."""

import asyncio
import difflib
import json
import os
import secrets
import sys
import time
from collections.abc import Callable, Coroutine
from itertools import chain
from pathlib import Path
from typing import Any

import tomli_w
import uvloop
from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option

from wrenloft._explain import (
    describe_event,
    describe_surroundings,
    find_crashes,
    find_request,
    find_surroundings,
    read_events,
)
from wrenloft._incomplete_answers import count_incomplete, describe_incomplete, sum_reasons
from wrenloft._node import run_node
from wrenloft._seconds import count_seconds, describe_second
from wrenloft._settings import NodeSettings
from wrenloft.operators import OperatorClient, OperatorError
from wrenloft_core import (
    ConfigurationError,
    Manifest,
    SettingsError,
    build_manifest,
    hash_key,
    parse_configuration,
    read_settings,
    set_up_logs,
    split_sections,
)

EXIT_OK = 0
EXIT_FAULT = 1
EXIT_WRONG_INPUT = 2
EXIT_CONFLICT = 3
EXIT_UNREACHABLE = 4
EXIT_NOT_EVERYWHERE = 5

_AIM_MS = 400.0
"""The aim of the streams of all deployments so far, in milliseconds."""

_CHUNK_BYTES = 1 << 20
_WAIT_PAUSE = 0.2
_NODE = option("node", "N", "Address of an entry node.", flag=False, default="127.0.0.1:8080")
_INTERNAL = option(
    "node", "N", "Internal address of an entry node.", flag=False, default="127.0.0.1:7700"
)
_JSON = option("json", None, "Print JSON.")


class _Serve(Command):
    name = "serve"
    description = "Runs an entry node."
    arguments = [argument("settings", "The settings file, in TOML.")]

    def handle(self) -> int:
        try:
            settings = read_settings(Path(self.argument("settings")), NodeSettings)
        except SettingsError as error:
            self.line_error(str(error))
            return EXIT_WRONG_INPUT
        set_up_logs(as_json=settings.log_json, level=settings.log_level)
        uvloop.run(run_node(settings))
        return EXIT_OK


class _OperatorCommand(Command):
    """A command that calls a node; the key comes from ``WRENLOFT_OPERATOR_KEY``."""

    def client(self) -> OperatorClient:
        """Return the client for the node that was named."""
        return OperatorClient(self.option("node"), os.environ.get("WRENLOFT_OPERATOR_KEY", ""))

    def run_call(self, act: Callable[[], Coroutine[Any, Any, int]]) -> int:
        """Run a call and turn its errors into exit codes."""
        try:
            return asyncio.run(act())
        except OperatorError as error:
            self.line_error(error.reason)
            codes = {0: EXIT_UNREACHABLE, 400: EXIT_WRONG_INPUT, 409: EXIT_CONFLICT}
            return codes.get(error.status, EXIT_FAULT)

    def show(self, fields: dict[str, Any]) -> None:
        """Print an answer as JSON."""
        self.line(json.dumps(fields, indent=2))


class _ConfigCheck(Command):
    name = "config check"
    description = "Checks a configuration file; names every fault."
    arguments = [argument("file", "The configuration, in TOML.")]

    def handle(self) -> int:
        path = Path(self.argument("file"))
        try:
            parse_configuration(_read_text(path), source=str(path))
        except ConfigurationError as error:
            for fault in error.reason.split("; "):
                self.line_error(fault)
            return EXIT_WRONG_INPUT
        except OSError as error:
            self.line_error(str(error))
            return EXIT_WRONG_INPUT
        self.line("no faults")
        return EXIT_OK


class _ConfigApply(_OperatorCommand):
    name = "config apply"
    description = "Makes a configuration file the next revision."
    arguments = [argument("file", "The configuration, in TOML.")]
    options = [
        _NODE,
        _JSON,
        option("base", None, "The revision that the change is based on.", flag=False),
        option("author", None, "Who makes the change.", flag=False, default=""),
        option("summary", None, "What it is for.", flag=False, default=""),
        option("dry-run", None, "Only show what would change."),
        option("wait", None, "Seconds to wait until it is in force everywhere.", flag=False),
    ]

    def handle(self) -> int:
        return self.run_call(self._apply)

    async def _apply(self) -> int:
        client = self.client()
        path = Path(self.argument("file"))
        base = self.option("base")
        if base is None:
            base = (await client.get("configuration"))["revision"]
        answer = await client.post(
            "configuration",
            {
                "text": _read_text(path),
                "source": str(path),
                "base": int(base),
                "operation": secrets.token_hex(8),
                "author": self.option("author"),
                "summary": self.option("summary"),
                "dry_run": self.option("dry-run"),
            },
        )
        if self.option("json"):
            self.show(answer)
        else:
            for change in answer["changes"]:
                self.line(change)
            if answer["accepted"]:
                self.line(f"accepted as revision {answer['revision']}")
        if answer["accepted"] and self.option("wait"):
            return await self._wait(client, answer["revision"], float(self.option("wait")))
        return EXIT_OK

    async def _wait(self, client: OperatorClient, revision: int, seconds: float) -> int:
        until = time.monotonic() + seconds
        while True:
            behind = list_behind(await client.get("status"), revision)
            if not behind:
                self.line(f"revision {revision} is in force everywhere")
                return EXIT_OK
            if time.monotonic() >= until:
                for name in behind:
                    self.line_error(f"behind: {name}")
                return EXIT_NOT_EVERYWHERE
            await asyncio.sleep(_WAIT_PAUSE)


def list_behind(status: dict[str, Any], revision: int) -> list[str]:
    """Name the live nodes and agents that have not reported ``revision`` yet."""
    nodes = [each for each in status["nodes"] if not each["suspected"]]
    agents = [each for each in status["agents"] if each["fresh"] and each["phase"] != "leaving"]
    return [each["id"] for each in [*nodes, *agents] if each["revision"] < revision]


class _ConfigShow(_OperatorCommand):
    name = "config show"
    description = "Prints the configuration in force, in TOML."
    options = [_NODE, _JSON]

    def handle(self) -> int:
        return self.run_call(self._show)

    async def _show(self) -> int:
        answer = await self.client().get("configuration")
        if self.option("json"):
            self.show(answer)
        else:
            self.line(f"# revision {answer['revision']}")
            self.line(_format_sections(answer["sections"]))
        return EXIT_OK


class _ConfigDiff(_OperatorCommand):
    name = "config diff"
    description = "Compares a configuration file with the configuration in force."
    arguments = [argument("file", "The configuration, in TOML.")]
    options = [_NODE]

    def handle(self) -> int:
        return self.run_call(self._diff)

    async def _diff(self) -> int:
        path = Path(self.argument("file"))
        try:
            configuration = parse_configuration(_read_text(path), source=str(path))
        except ConfigurationError as error:
            self.line_error(error.reason)
            return EXIT_WRONG_INPUT
        sections = split_sections(configuration)
        new = _format_sections({name: json.loads(body) for name, body in sections.items()})
        answer = await self.client().get("configuration")
        old = _format_sections(answer["sections"])
        lines = difflib.unified_diff(
            old.splitlines(), new.splitlines(), f"revision {answer['revision']}", str(path), n=1
        )
        for line in lines:
            self.line(line.rstrip())
        return EXIT_OK


class _ConfigHistory(_OperatorCommand):
    name = "config history"
    description = "Lists the accepted changes, newest first."
    options = [_NODE, _JSON]

    def handle(self) -> int:
        return self.run_call(self._history)

    async def _history(self) -> int:
        answer = await self.client().get("history")
        if self.option("json"):
            self.show(answer)
            return EXIT_OK
        for each in answer["changes"]:
            when = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(each["at"]))
            self.line(f"{each['revision']:>6}  {when}  {each['author']}  {each['summary']}")
        return EXIT_OK


class _ConfigRollback(_OperatorCommand):
    name = "config rollback"
    description = "Makes what an earlier revision held the next revision."
    arguments = [argument("revision", "The earlier revision.")]
    options = [_NODE, option("author", None, "Who makes the change.", flag=False, default="")]

    def handle(self) -> int:
        return self.run_call(self._roll_back)

    async def _roll_back(self) -> int:
        client = self.client()
        answer = await client.post(
            "rollback",
            {
                "revision": int(self.argument("revision")),
                "base": (await client.get("configuration"))["revision"],
                "operation": secrets.token_hex(8),
                "author": self.option("author"),
                "summary": f"roll back to revision {self.argument('revision')}",
            },
        )
        self.line(f"accepted as revision {answer['revision']}")
        return EXIT_OK


class _Status(_OperatorCommand):
    name = "status"
    description = "Shows nodes, models, replicas and shards."
    options = [_NODE, _JSON]

    def handle(self) -> int:
        return self.run_call(self._status)

    async def _status(self) -> int:
        status = await self.client().get("status")
        if self.option("json"):
            self.show(status)
            return EXIT_OK
        self.line(f"revision {status['revision']}, unowned shards {status['unowned_shards']}")
        for node in status["nodes"]:
            state = "suspected" if node["suspected"] else "draining" if node["draining"] else "ok"
            self.line(
                f"node  {node['id']:<24} {node['place']:<18} {state:<10}"
                f" revision {node['revision']} shards {node['shards']}"
            )
        for agent in status["agents"]:
            self.line(
                f"agent {agent['id']:<24} {agent['place']:<18} {agent['phase']:<10}"
                f" revision {agent['revision']} running {agent['running']}"
            )
        for name, model in status["models"].items():
            self.line(f"model {name:<24} {model['replicas']} of {model['wanted']} replicas")
        return EXIT_OK


class _Explain(_OperatorCommand):
    name = "explain"
    description = "Tells on which hosts a model would be placed now, and why."
    arguments = [argument("model", "The model's name.")]
    options = [_NODE, _JSON]

    def handle(self) -> int:
        return self.run_call(self._explain)

    async def _explain(self) -> int:
        answer = await self.client().get(f"explain/{self.argument('model')}")
        if self.option("json"):
            self.show(answer)
            return EXIT_OK
        for each in answer["hosts"]:
            self.line(f"{each['agent']}: {each['reason']}")
        return EXIT_OK


def _read_logs(command: Command) -> dict[str, list[str]] | None:
    """Return the lines of each log file; ``None`` with a word to the user if one can't be read."""
    logs: dict[str, list[str]] = {}
    for name in command.argument("logs"):
        try:
            logs[name] = Path(name).read_text(errors="replace").splitlines()
        except OSError as error:
            command.line_error(f"{name}: {error.strerror}")
            return None
    return logs


class _Report(Command):
    name = "report"
    description = "Counts from collected logs what became of requests, second by second."
    arguments = [argument("logs", "Log files of any number of processes.", multiple=True)]
    options = [
        option("aim", None, "Milliseconds within which a first event is in time.", flag=False)
    ]

    def handle(self) -> int:
        try:
            aim_ms = float(self.option("aim") or _AIM_MS)
        except ValueError:
            self.line_error(f"--aim {self.option('aim')}: not a number of milliseconds")
            return EXIT_WRONG_INPUT
        logs = _read_logs(self)
        if logs is None:
            return EXIT_WRONG_INPUT
        lines = list(chain.from_iterable(logs.values()))
        seconds = count_seconds(lines, aim_ms)
        for number, second in seconds.items():
            self.line(describe_second(number, second))
        incomplete = count_incomplete(lines)
        if incomplete:
            self.line(sum_reasons(incomplete))
        if not seconds:
            self.line_error("no request ended in these logs")
        return EXIT_OK if seconds else EXIT_FAULT


class _Incomplete(Command):
    name = "incomplete"
    description = "Counts from collected logs the incomplete answers, by reason and endpoint."
    arguments = [argument("logs", "Log files of any number of processes.", multiple=True)]

    def handle(self) -> int:
        logs = _read_logs(self)
        if logs is None:
            return EXIT_WRONG_INPUT
        lines = list(chain.from_iterable(logs.values()))
        if next(read_events(lines), None) is None:
            self.line_error(f"no log lines in JSON in {', '.join(logs)}")
            return EXIT_WRONG_INPUT
        incomplete = count_incomplete(lines)
        for line in describe_incomplete(incomplete):
            self.line(line)
        self.line(sum_reasons(incomplete))
        return EXIT_OK


class _ExplainRequest(Command):
    name = "explain-request"
    description = "Tells from collected logs what became of a request, and why."
    arguments = [
        argument("id", "The request's id."),
        argument("logs", "Log files of any number of processes.", multiple=True),
    ]

    def handle(self) -> int:
        logs = _read_logs(self)
        if logs is None:
            return EXIT_WRONG_INPUT
        request_id = self.argument("id")
        lines = list(chain.from_iterable(logs.values()))
        events = find_request(request_id, lines)
        if not events:
            self.line_error(f"no line about request {request_id}")
            return EXIT_FAULT
        for event in events:
            self.line(describe_event(event))
        crashes = find_crashes(events, lines)
        if crashes:
            self.line("the crashes for which it was refused:")
        for event in crashes:
            self.line(describe_event(event))
        for surroundings in find_surroundings(request_id, logs):
            for line in describe_surroundings(surroundings):
                self.line(line)
        return EXIT_OK


class _Drain(_OperatorCommand):
    name = "drain"
    description = "Stops an entry node without cutting off a request."
    options = [_NODE]

    def handle(self) -> int:
        return self.run_call(self._drain)

    async def _drain(self) -> int:
        await self.client().post("drain", {})
        self.line("draining")
        return EXIT_OK


class _KeyHash(Command):
    name = "key hash"
    description = "Prints the digest under which a caller's key is configured."
    arguments = [argument("key", "The key.")]

    def handle(self) -> int:
        self.line(hash_key(self.argument("key")))
        return EXIT_OK


class _Manifest(Command):
    name = "weights manifest"
    description = "Writes the manifest of a weights file and prints the version it names."
    arguments = [argument("file", "The weights."), argument("output", "Where to write it.")]

    def handle(self) -> int:
        manifest = read_manifest(Path(self.argument("file")), _CHUNK_BYTES)
        Path(self.argument("output")).write_bytes(manifest.encode())
        self.line(manifest.version)
        return EXIT_OK


class _HeldList(_OperatorCommand):
    name = "held list"
    description = "Lists the contents and prompt segments under which endpoints fell."
    options = [_INTERNAL, _JSON]

    def handle(self) -> int:
        return self.run_call(self._list)

    async def _list(self) -> int:
        answer = await self.client().get("held")
        if self.option("json"):
            self.line(json.dumps(answer, indent=2))
            return EXIT_OK
        for each in answer["held"]:
            self.line(describe_hold(each))
        if not answer["held"]:
            self.line("nothing is held back")
        return EXIT_OK


class _HeldLift(_OperatorCommand):
    name = "held lift"
    description = "Lets a content or a prompt segment through again, at all entry nodes."
    arguments = [argument("content", "Its id, from held list or a log line.")]
    options = [_INTERNAL]

    def handle(self) -> int:
        return self.run_call(self._lift)

    async def _lift(self) -> int:
        content = self.argument("content")
        await self.client().post("held", {"lift": content})
        self.line(f"{content} is held back no longer")
        return EXIT_OK


class _LimitsList(_OperatorCommand):
    name = "limits list"
    description = "Lists the rate limits that endpoints name, as one entry node knows them."
    options = [_INTERNAL, _JSON]

    def handle(self) -> int:
        return self.run_call(self._list)

    async def _list(self) -> int:
        answer = await self.client().get("limits")
        if self.option("json"):
            self.line(json.dumps(answer, indent=2))
            return EXIT_OK
        for each in answer["limits"]:
            self.line(describe_limit(each))
        if not answer["limits"]:
            self.line("no endpoint names a rate limit")
        return EXIT_OK


class _ColdList(_OperatorCommand):
    name = "cold list"
    description = "Lists the endpoints that are cold, as one entry node knows them."
    options = [_INTERNAL, _JSON]

    def handle(self) -> int:
        return self.run_call(self._list)

    async def _list(self) -> int:
        answer = await self.client().get("cold")
        if self.option("json"):
            self.line(json.dumps(answer, indent=2))
            return EXIT_OK
        for each in answer["cold"]:
            self.line(describe_cold(each))
        if not answer["cold"]:
            self.line("no endpoint is cold")
        return EXIT_OK


class _EndpointsList(_OperatorCommand):
    name = "endpoints list"
    description = (
        "Lists the endpoints that leave, rest or are evacuated, as one entry node knows them."
    )
    options = [_INTERNAL, _JSON]

    def handle(self) -> int:
        return self.run_call(self._list)

    async def _list(self) -> int:
        answer = await self.client().get("endpoints")
        if self.option("json"):
            self.line(json.dumps(answer, indent=2))
            return EXIT_OK
        for each in answer["endpoints"]:
            self.line(describe_endpoint(each))
        if not answer["endpoints"]:
            self.line("no endpoint leaves or rests")
        return EXIT_OK


class _EvacuationsList(_OperatorCommand):
    name = "evacuations list"
    description = "Lists the availability zones that are evacuated, as one entry node knows them."
    options = [_INTERNAL, _JSON]

    def handle(self) -> int:
        return self.run_call(self._list)

    async def _list(self) -> int:
        answer = await self.client().get("evacuations")
        if self.option("json"):
            self.line(json.dumps(answer, indent=2))
            return EXIT_OK
        for each in answer["evacuations"]:
            self.line(describe_evacuation(each))
        if not answer["evacuations"]:
            self.line("no availability zone is evacuated")
        return EXIT_OK


class _Memory(_OperatorCommand):
    name = "memory"
    description = "Shows the memory that one entry node holds for callers and endpoints."
    options = [_INTERNAL, _JSON]

    def handle(self) -> int:
        return self.run_call(self._show)

    async def _show(self) -> int:
        answer = await self.client().get("memory")
        if self.option("json"):
            self.show(answer)
        elif answer["memory"] is None:
            self.line("the settings state no memory; nothing is bounded")
        else:
            self.line(describe_memory(answer["memory"]))
        return EXIT_OK


def describe_memory(row: dict[str, Any]) -> str:
    """Return one line about the memory that an entry node holds.

    :param row: as the node shows it.
    """
    mega = 1e6
    refused = ", ".join(f"{count} by {reason}" for reason, count in row["refused"].items())
    short = "" if row["short_s"] is None else f"; short for {row['short_s']:.0f} s"
    return (
        f"{row['held'] / mega:.1f} of {row['total'] / mega:.1f} MB held by {row['reservations']} "
        f"(new requests up to {row['new_work'] / mega:.1f} MB, each connection up to "
        f"{row['connection'] / mega:.1f} MB); refused: {refused or 'none'}{short}"
    )


class _RegionsList(_OperatorCommand):
    name = "regions list"
    description = "Lists the rules and organisations whose requests are bound to regions."
    options = [_INTERNAL, _JSON]

    def handle(self) -> int:
        return self.run_call(self._list)

    async def _list(self) -> int:
        answer = await self.client().get("regions")
        if self.option("json"):
            self.line(json.dumps(answer, indent=2))
            return EXIT_OK
        for each in answer["rules"]:
            regions = ", ".join(each["regions"])
            self.line(f"rule {each['rule']}  {regions} ({each['endpoints']} endpoints)")
        for each in answer["organisations"]:
            self.line(f"organisation {each['organisation']}  {', '.join(each['regions'])}")
        if not answer["rules"] and not answer["organisations"]:
            self.line("no rule or organisation is bound to regions")
        return EXIT_OK


def describe_evacuation(row: dict[str, Any]) -> str:
    """Return one line about an evacuated availability zone.

    :param row: as an entry node lists it.
    """
    note = "" if row["listed"] else ", missing in a store that came back from an older copy"
    return f"{row['place']}  evacuated for {row['seconds']:.0f} s{note}"


def describe_endpoint(row: dict[str, Any]) -> str:
    """Return one line about an endpoint that leaves or rests.

    :param row: as an entry node lists it.
    """
    states = []
    if row["leaving_from"] is not None:
        states.append(f"leaving for {row['leaving_s']:.0f} s (source: {row['leaving_from']})")
    if row.get("evacuated"):
        states.append("in an evacuated zone")
    if row["rest_left_s"]:
        states.append(f"rests for {row['rest_left_s']:.1f} s more")
    return f"{row['endpoint']}  {', '.join(states)} ({row['service']} at {row['address']})"


def describe_limit(row: dict[str, Any]) -> str:
    """Return one line about a rate limit in force.

    :param row: as an entry node lists it.
    """
    return (
        f"{row['endpoint']}  {row['rate']:g} requests a second for {row['age_s']:.0f} s "
        f"({row['service']}; seen by {row['seen_by']}, granted by {row['limiter']})"
    )


def describe_cold(row: dict[str, Any]) -> str:
    """Return one line about a cold endpoint.

    :param row: as an entry node lists it.
    """
    granted = "grants not known here"
    if row["granted"] is not None:
        granted = f"{row['granted']} granted in the last second"
    return (
        f"{row['endpoint']}  cold for {row['left_s']:.1f} s more (source: {row['source']}); "
        f"{row['rate']:g} a second, {row['bound']} at most; {granted}, {row['sent']} sent from "
        f"here ({row['service']}; granted by {row['limiter']})"
    )


def describe_hold(row: dict[str, Any]) -> str:
    """Return one line about a content or a prompt segment that is held back.

    :param row: as an entry node lists it.
    """
    name = row["content"] if row["kind"] == "content" else f"{row['kind']} {row['content']}"
    return (
        f"{name}  {row['crashes']} endpoints fell, the last {row['age_s']:.0f} s ago "
        f"(told by {row['source']}); tried once more in {row['trial_in_s']:.0f} s"
    )


def read_manifest(path: Path, chunk_bytes: int) -> Manifest:
    """Return the manifest of a file.

    :param chunk_bytes: size of every chunk but the last.
    """
    with path.open("rb") as file:
        return build_manifest(iter(lambda: file.read(chunk_bytes), b""))


def _read_text(path: Path) -> str:
    return path.read_text()


def _format_sections(sections: dict[str, Any]) -> str:
    tables: dict[str, Any] = {"fleet": sections["fleet"], "organisations": {}}
    for name, fields in sorted(sections.items()):
        table, _, entry = name.partition("/")
        if entry:
            tables["organisations"][entry] = fields
        else:
            tables[table] = fields
    return tomli_w.dumps(tables)


def main() -> None:
    """Run the command line."""
    application = Application("wrenloft")
    for command in (
        _Serve,
        _ConfigCheck,
        _ConfigApply,
        _ConfigShow,
        _ConfigDiff,
        _ConfigHistory,
        _ConfigRollback,
        _Status,
        _Explain,
        _ExplainRequest,
        _Report,
        _Incomplete,
        _Drain,
        _HeldList,
        _HeldLift,
        _ColdList,
        _EndpointsList,
        _EvacuationsList,
        _RegionsList,
        _LimitsList,
        _Memory,
        _KeyHash,
        _Manifest,
    ):
        application.add(command())
    sys.exit(application.run())
