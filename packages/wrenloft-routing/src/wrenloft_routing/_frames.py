"""Frames that a relay sends: changes of loads, engines, nodes and the store's content.

Times in a frame are on the sender's clock. Both clocks include suspensions and run at the same
rate, so the offset, bounded once per connection, converts every later time.
"""

import json
from dataclasses import dataclass
from enum import Enum
from math import isfinite
from typing import Any

from wrenloft_core import (
    DECODE_ERRORS,
    AgentId,
    ContentId,
    IncarnationId,
    NodeId,
    SegmentId,
    ServiceName,
)
from wrenloft_policy import (
    CrashStatus,
    LayerSpan,
    RateLimit,
    RequestKind,
    SegmentEvidence,
    Workload,
)
from wrenloft_routing._cold_ledger import ColdReport, ColdUpdates
from wrenloft_routing._crash_ledger import CrashUpdates, ReportedCrash
from wrenloft_routing._departures import DepartureUpdates
from wrenloft_routing._endpoints import EngineReport
from wrenloft_routing._kind_ledger import KindLoad, KindLoads
from wrenloft_routing._limit_ledger import LimitUpdates
from wrenloft_routing._loads import InProgress, QueueLength
from wrenloft_routing._members import NodeState
from wrenloft_routing._packing import Item, pack_items, unpack_items
from wrenloft_routing._segment_ledger import ReportedSegmentCrash, SegmentCrashUpdates


class FrameScope(Enum):
    """Content that a subscriber wants.

    ``FLEET`` is for nodes of the relay's zone, ``ZONE`` for relays of other zones, and ``STORE``
    for agents, which need only the store's content.
    """

    FLEET = "fleet"
    ZONE = "zone"
    STORE = "readings"


@dataclass(frozen=True, slots=True)
class StoreDelta:
    """Changes of a store snapshot since the last one sent.

    :param begun_at: when the read of the store began, on the sender's clock.
    :param trusted: whether missing entries were removed, rather than only expired.
    :param era: of the store, which orders snapshots before their revisions do.
    :param unchanged_at: when the last read began that showed the content of the last snapshot sent,
        on the sender's clock; ``None`` if unknown.
    """

    name: str
    begun_at: float
    trusted: bool
    revision: int
    changed: tuple[Item, ...]
    removed: tuple[str, ...]
    era: int = 0
    unchanged_at: float | None = None


@dataclass(frozen=True, slots=True)
class Frame:
    """One message of a relay.

    :param sent_at: when it was composed, on the sender's clock.
    :param node_count: number of nodes whose requests ``loads`` covers.
    :param loads: load at each endpoint where it has changed.
    :param queues: queued requests by service.
    :param reports: reports of engines by address, where they have changed.
    :param lost: addresses of engines whose agents are no longer connected.
    :param states: states of entry nodes, where they have changed.
    :param store_deltas: changes of store snapshots.
    :param crashes: new crash records by content.
    :param limits: rate limits of endpoints, where they have changed.
    :param departures: endpoints that are newly known to be leaving.
    :param cold: coldness that answers have newly stated.
    :param kinds: competing kinds of requests, ``None`` if they have not changed.
    :param segment_crashes: new records of endpoints that crashed, with the prompt segments there.
    """

    sent_at: float
    node_count: int = 0
    loads: dict[AgentId, InProgress] | None = None
    queues: dict[ServiceName, QueueLength] | None = None
    reports: dict[str, EngineReport] | None = None
    lost: tuple[str, ...] = ()
    states: dict[NodeId, NodeState] | None = None
    store_deltas: tuple[StoreDelta, ...] = ()
    crashes: CrashUpdates | None = None
    limits: LimitUpdates | None = None
    departures: DepartureUpdates | None = None
    cold: ColdUpdates | None = None
    kinds: KindLoads | None = None
    segment_crashes: SegmentCrashUpdates | None = None


def encode_frame(frame: Frame) -> bytes:
    """Encode a frame as one line."""
    fields: dict[str, Any] = {"at": frame.sent_at, "heard": frame.node_count}
    if frame.loads:
        fields["loads"] = encode_loads(frame.loads)
    if frame.queues:
        fields["queues"] = encode_queues(frame.queues)
    if frame.reports:
        fields["reports"] = {
            address: _encode_report(report) for address, report in frame.reports.items()
        }
    if frame.lost:
        fields["lost"] = frame.lost
    if frame.states:
        fields["states"] = {node: state.value for node, state in frame.states.items()}
    if frame.store_deltas:
        fields["readings"] = [_encode_delta(each) for each in frame.store_deltas]
        fields["eras"] = [each.era for each in frame.store_deltas]
        fields["unchanged"] = [each.unchanged_at for each in frame.store_deltas]
    if frame.crashes:
        fields["crashes"] = encode_crashes(frame.crashes)
    if frame.limits:
        fields["limits"] = encode_limits(frame.limits)
    if frame.departures:
        fields["leaving"] = frame.departures
    if frame.cold:
        fields["cold"] = encode_cold(frame.cold)
    if frame.kinds is not None:
        fields["kinds"] = encode_kinds(frame.kinds)
    if frame.segment_crashes:
        fields["segments"] = encode_segment_crashes(frame.segment_crashes)
    return json.dumps(fields, separators=(",", ":")).encode() + b"\n"


def decode_frame(line: bytes) -> Frame:
    """Decode one line.

    :raises ValueError: if the line is not a frame.
    """
    try:
        return _decode_fields(json.loads(line))
    except DECODE_ERRORS as error:
        raise ValueError(f"line is not a frame: {error!r}") from error


def _decode_fields(fields: dict[str, Any]) -> Frame:
    rows = fields.get("readings", [])
    eras = fields.get("eras", [0] * len(rows))
    unchanged = fields.get("unchanged", [None] * len(rows))
    return Frame(
        sent_at=float(fields["at"]),
        node_count=int(fields["heard"]),
        loads=decode_loads(fields.get("loads", [])),
        queues=decode_queues(fields.get("queues", [])),
        reports={
            str(address): _decode_report(row) for address, row in fields.get("reports", {}).items()
        },
        lost=tuple(str(each) for each in fields.get("lost", [])),
        states={NodeId(node): NodeState(value) for node, value in fields.get("states", {}).items()},
        store_deltas=tuple(
            _decode_delta(row, int(era), None if at is None else float(at))
            for row, era, at in zip(rows, eras, unchanged, strict=True)
        ),
        crashes=decode_crashes(fields.get("crashes", {})),
        limits=decode_limits(fields.get("limits", [])),
        departures=decode_departures(fields.get("leaving", {})),
        cold=decode_cold(fields["cold"]) if "cold" in fields else None,
        kinds=decode_kinds(fields.get("kinds")),
        segment_crashes=(
            decode_segment_crashes(fields["segments"]) if "segments" in fields else None
        ),
    )


def encode_cold(updates: ColdUpdates) -> list[list[Any]]:
    """Encode coldness as one row for each endpoint."""
    return [[key, each.left, each.sequence, each.node] for key, each in updates.items()]


def decode_cold(rows: list[list[Any]]) -> ColdUpdates:
    """Decode the rows of coldness.

    :raises ValueError: if a time is not finite.
    """
    updates = {
        IncarnationId(str(key)): ColdReport(float(left), int(sequence), str(node))
        for key, left, sequence, node in rows
    }
    if not all(isfinite(each.left) for each in updates.values()):
        raise ValueError("time of coldness is not finite")
    return updates


def encode_kinds(kinds: KindLoads) -> list[list[Any]]:
    """Encode competing kinds as one row for each service and kind."""
    return [
        [service, kind.rank, kind.objective, load.fresh, int(load.refused)]
        for service, loads in kinds.items()
        for kind, load in loads.items()
    ]


def decode_kinds(rows: list[list[Any]] | None) -> KindLoads | None:
    """Decode the rows of competing kinds, ``None`` if there are none."""
    if rows is None:
        return None
    kinds: dict[ServiceName, dict[RequestKind, KindLoad]] = {}
    for service, rank, objective, fresh, refused in rows:
        loads = kinds.setdefault(ServiceName(str(service)), {})
        loads[RequestKind(int(rank), float(objective))] = KindLoad(int(fresh), bool(refused))
    return kinds


def decode_departures(fields: dict[str, Any]) -> DepartureUpdates:
    """Decode the start times of leaving endpoints."""
    return {AgentId(str(agent_id)): int(born) for agent_id, born in fields.items()}


def encode_crashes(updates: CrashUpdates) -> dict[str, list[list[Any]]]:
    """Encode crash records as rows for each content."""
    return {
        content: [
            [incarnation, round(crash.age, 3), int(crash.status)]
            for incarnation, crash in crashes.items()
        ]
        for content, crashes in updates.items()
    }


def decode_crashes(rows: dict[str, list[list[Any]]]) -> CrashUpdates:
    """Decode the rows of crash records."""
    return {
        ContentId(str(content)): {
            IncarnationId(str(incarnation)): ReportedCrash(float(age), CrashStatus(standing))
            for incarnation, age, standing in crashes
        }
        for content, crashes in rows.items()
    }


def encode_segment_crashes(updates: SegmentCrashUpdates) -> dict[str, list[Any]]:
    """Encode crashes as rows of age, workloads and evidence."""
    return {
        incarnation: [
            round(crash.age, 3),
            [[each.content, *sorted(each.segments)] for each in crash.workloads],
            {segment: int(each) for segment, each in crash.evidence.items()},
        ]
        for incarnation, crash in updates.items()
    }


def decode_segment_crashes(rows: dict[str, list[Any]]) -> SegmentCrashUpdates:
    """Decode the rows of crashes with prompt segments.

    :raises ValueError: if an age is not finite.
    """
    updates = {}
    for incarnation, (age, workloads, evidence) in rows.items():
        if not isfinite(age):
            raise ValueError("age of a crash is not finite")
        updates[IncarnationId(str(incarnation))] = ReportedSegmentCrash(
            float(age),
            frozenset(_decode_workload(*each) for each in workloads),
            {SegmentId(str(name)): SegmentEvidence(each) for name, each in evidence.items()},
        )
    return updates


def _decode_workload(content: Any, *segments: Any) -> Workload:
    return Workload(ContentId(str(content)), frozenset(SegmentId(str(each)) for each in segments))


def encode_limits(updates: LimitUpdates) -> list[list[Any]] | str:
    """Encode limits as packed items."""
    return pack_items([_write_limit(*each) for each in updates.items()])


def decode_limits(packed: Any) -> LimitUpdates:
    """Decode packed limits.

    :raises ValueError: if the text is malformed.
    """
    return dict(_read_limit(each) for each in unpack_items(packed))


def _write_limit(incarnation: IncarnationId, limit: RateLimit) -> Item:
    value = json.dumps([limit.rate, limit.missing, limit.node]).encode()
    return Item(incarnation, value, limit.sequence)


def _read_limit(item: Item) -> tuple[IncarnationId, RateLimit]:
    rate, missing, node = json.loads(item.value or b"null")
    return decode_limit([item.key, rate, missing, item.revision, node])


def encode_limit(incarnation: IncarnationId, limit: RateLimit) -> list[Any]:
    """Encode one endpoint's limit as a row."""
    return [incarnation, limit.rate, limit.missing, limit.sequence, limit.node]


def decode_limit(row: list[Any]) -> tuple[IncarnationId, RateLimit]:
    """Decode the row of one endpoint's limit."""
    incarnation, rate, missing, sequence, node = row
    rate = None if rate is None else float(rate)
    limit = RateLimit(rate, int(missing), int(sequence), str(node))
    return IncarnationId(str(incarnation)), limit


def encode_loads(loads: dict[AgentId, InProgress]) -> list[list[Any]]:
    """Encode loads as one row for each endpoint."""
    return [
        [agent_id, load.unread, load.unread_tokens, load.running]
        for agent_id, load in loads.items()
    ]


def decode_loads(rows: list[list[Any]]) -> dict[AgentId, InProgress]:
    """Decode the rows of loads."""
    return {
        AgentId(str(agent_id)): InProgress(int(unread), int(tokens), int(running))
        for agent_id, unread, tokens, running in rows
    }


def encode_queues(queues: dict[ServiceName, QueueLength]) -> list[list[Any]]:
    """Encode queues as one row for each service."""
    return [[service, queue.fresh, queue.overdue] for service, queue in queues.items()]


def decode_queues(rows: list[list[Any]]) -> dict[ServiceName, QueueLength]:
    """Decode the rows of queues."""
    return {
        ServiceName(str(name)): QueueLength(int(fresh), int(overdue))
        for name, fresh, overdue in rows
    }


def _encode_report(report: EngineReport) -> list[Any]:
    span = report.span
    bounds = None if span is None else [span.start, span.stop]
    return [
        report.running,
        report.waiting,
        report.version,
        report.loading,
        report.pace,
        bounds,
        report.born,
    ]


def _decode_report(row: list[Any]) -> EngineReport:
    running, waiting, version, loading, pace, bounds, born = row
    return EngineReport(
        running=int(running),
        waiting=int(waiting),
        version=int(version),
        loading=bool(loading),
        pace=float(pace),
        span=None if bounds is None else LayerSpan(int(bounds[0]), int(bounds[1])),
        born=int(born),
    )


def _encode_delta(change: StoreDelta) -> list[Any]:
    return [
        change.name,
        change.begun_at,
        change.trusted,
        change.revision,
        pack_items(change.changed),
        list(change.removed),
    ]


def _decode_delta(row: list[Any], era: int, unchanged_at: float | None) -> StoreDelta:
    name, begun_at, trusted, revision, packed, removed = row
    return StoreDelta(
        name=str(name),
        begun_at=float(begun_at),
        trusted=bool(trusted),
        revision=int(revision),
        changed=unpack_items(packed),
        removed=tuple(str(each) for each in removed),
        era=era,
        unchanged_at=unchanged_at,
    )
