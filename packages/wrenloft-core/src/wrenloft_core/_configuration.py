"""The operators' configuration: its types, validation and sections."""

import json
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import asdict, dataclass, field
from enum import StrEnum
from typing import Any, TypeVar

from wrenloft_core._chunks import digest_bytes
from wrenloft_core._errors import ConfigurationError, SettingsError
from wrenloft_core._ids import ModelName, OrganisationName, Revision, ServiceName
from wrenloft_core._outcomes import Priority
from wrenloft_core._settings import structure_settings

T = TypeVar("T")

Selector = dict[str, list[str]]
"""Label names with the values allowed for each; an empty selector matches everything."""

_DIGEST_LENGTH = 64


class Goal(StrEnum):
    """What a deployment optimises when it distributes weights."""

    TIME = "time"
    ORIGIN = "origin"


@dataclass(frozen=True, slots=True)
class Fleet:
    """Settings of the whole fleet.

    :param origin_rate: bytes a second of the origin's link.
    :param host_rate: bytes a second of a host's link.
    :param alarm_slots: slots at each runner that are reserved for alarms.
    :param answer_bytes: largest answer stored for a keyed request, in bytes.
    :param retention: seconds for which a keyed request is stored.
    :param spread_seconds: seconds over which the retry times sent to refused callers are spread.
    """

    goal: Goal = Goal.TIME
    origin_rate: float = 16e6
    host_rate: float = 8e6
    alarm_slots: int = 1
    answer_bytes: int = 65536
    retention: float = 3600.0
    spread_seconds: float = 2.0


@dataclass(frozen=True, slots=True)
class KeyGrant:
    """One caller's key, stored as a digest, with the priority classes that it may use."""

    digest: str
    classes: list[Priority]


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one organisation over all entry nodes.

    :param rate: requests a second.
    :param concurrent: requests in progress.
    :param queue: requests queued at one node.
    """

    rate: float = 200.0
    concurrent: int = 256
    queue: int = 256


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation whose callers may send requests."""

    keys: list[KeyGrant]
    labels: dict[str, str] = field(default_factory=dict)
    limits: Limits = Limits()


@dataclass(frozen=True, slots=True)
class Model:
    """A model and the placement of one version of it.

    :param version: digest of the manifest.
    :param origin_path: path of the weights below the origin's address.
    :param hosts: selector of the hosts that may run it.
    :param callers: selector of its callers.
    :param replicas: number of hosts that run it.
    """

    version: str
    origin_path: str
    hosts: Selector = field(default_factory=dict)
    callers: Selector = field(default_factory=dict)
    replicas: int = 1


@dataclass(frozen=True, slots=True)
class Route:
    """One route of a plain service, and whether its calls may be retried."""

    method: str
    path: str
    idempotent: bool


@dataclass(frozen=True, slots=True)
class Service:
    """A plain service that runs on the same hosts as the model engines."""

    hosts: Selector
    callers: Selector = field(default_factory=dict)
    routes: list[Route] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Configuration:
    """The whole configuration by operators, at one revision."""

    revision: Revision = Revision(0)
    fleet: Fleet = Fleet()
    organisations: dict[OrganisationName, Organisation] = field(default_factory=dict)
    models: dict[ModelName, Model] = field(default_factory=dict)
    services: dict[ServiceName, Service] = field(default_factory=dict)


_TABLES: dict[str, type[Any]] = {
    "organisations": Organisation,
    "models": Model,
    "services": Service,
}


def parse_configuration(text: str, *, source: str) -> Configuration:
    """Parse an operator's TOML file.

    :raises ConfigurationError: with every fault found.
    """
    try:
        fields = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ConfigurationError(str(error), step="parse-configuration", peer=source) from error
    return _build(fields, Revision(0), source)


def _build(fields: Mapping[str, Any], revision: Revision, source: str) -> Configuration:
    """Structure all tables, and collect the faults of each."""
    faults = [f"{source}: unknown table {name!r}" for name in fields.keys() - {"fleet", *_TABLES}]
    fleet = _structure(fields.get("fleet", {}), Fleet, f"{source}: fleet", faults)
    tables: dict[str, dict[Any, Any]] = {}
    for table, kind in _TABLES.items():
        entries = fields.get(table, {})
        tables[table] = {
            name: _structure(entry, kind, f"{source}: {table}.{name}", faults)
            for name, entry in entries.items()
        }
    if faults:
        raise ConfigurationError("; ".join(faults), step="check-configuration", peer=source)
    configuration = Configuration(revision=revision, fleet=fleet or Fleet(), **tables)
    if faults := list(check_configuration(configuration)):
        raise ConfigurationError("; ".join(faults), step="check-configuration", peer=source)
    return configuration


def _structure(fields: Any, kind: type[T], source: str, faults: list[str]) -> T | None:
    try:
        return structure_settings(fields, kind, source=source)
    except SettingsError as error:
        faults.append(error.reason)
        return None


def check_configuration(configuration: Configuration) -> Iterator[str]:
    """Yield every fault that the types alone don't rule out."""
    fleet = configuration.fleet
    for name in ("origin_rate", "host_rate", "retention", "spread_seconds"):
        if getattr(fleet, name) <= 0:
            yield f"fleet.{name}: {getattr(fleet, name)} must be above 0"
    if fleet.alarm_slots < 0:
        yield f"fleet.alarm_slots: {fleet.alarm_slots} must be 0 or more"
    seen: dict[str, str] = {}
    for organisation_name, organisation in configuration.organisations.items():
        for grant in organisation.keys:
            owner = f"organisations.{organisation_name}"
            if len(grant.digest) != _DIGEST_LENGTH:
                yield f"{owner}: key digest {grant.digest!r} must be 64 hex digits"
            if seen.setdefault(grant.digest, owner) != owner:
                yield f"{owner}: shares a key with {seen[grant.digest]}"
        limits = organisation.limits
        if limits.rate <= 0 or limits.concurrent <= 0 or limits.queue < 0:
            yield f"organisations.{organisation_name}.limits: {limits} must be above 0"
    for model_name, model in configuration.models.items():
        if len(model.version) != _DIGEST_LENGTH:
            yield f"models.{model_name}.version: {model.version!r} must be 64 hex digits"
        if model.replicas < 0:
            yield f"models.{model_name}.replicas: {model.replicas} must be 0 or more"
    for shared in configuration.models.keys() & configuration.services.keys():
        yield f"models.{shared}: services.{shared} has the same name"


def split_sections(configuration: Configuration) -> dict[str, bytes]:
    """Encode a configuration as one section for each organisation and the fleet-wide ones."""
    sections = {
        f"organisation/{name}": asdict(organisation)
        for name, organisation in configuration.organisations.items()
    }
    for table in ("models", "services"):
        entries = getattr(configuration, table)
        sections[table] = {name: asdict(entry) for name, entry in entries.items()}
    sections["fleet"] = asdict(configuration.fleet)
    return {
        name: json.dumps(fields, sort_keys=True, separators=(",", ":")).encode()
        for name, fields in sections.items()
    }


def join_sections(
    digests: Mapping[str, str], bodies: Mapping[str, bytes], revision: Revision
) -> Configuration:
    """Reassemble a configuration from its sections.

    :param digests: the digest of each section, by section name.
    :param bodies: the bytes of each section, by digest.
    :raises ConfigurationError: if a body is missing or doesn't match its digest.
    """
    fields: dict[str, Any] = {"organisations": {}}
    for name, digest in digests.items():
        body = bodies.get(digest)
        if body is None or digest_bytes(body) != digest:
            raise ConfigurationError(f"section {name} is not whole", step="join-sections")
        table, _, entry = name.partition("/")
        if entry:
            fields["organisations"][entry] = json.loads(body)
        else:
            fields[table] = json.loads(body)
    return _build(fields, revision, f"revision {revision}")
