"""Routing of callers' requests straight to endpoints, independent of any wire format."""

from wrenloft_routing._budget import SharedRetryBudget
from wrenloft_routing._caller_buffers import CallerBuffer, CallerBuffers
from wrenloft_routing._chains import ChainStage, Eligible, list_eligible
from wrenloft_routing._cold_ledger import ColdLedger, ColdReport, ColdSource
from wrenloft_routing._cold_routes import ColdRoutes
from wrenloft_routing._cold_tracker import ColdRule, ColdTracker, build_cold_rules
from wrenloft_routing._content import identify_content
from wrenloft_routing._crash_guard import CrashGuard, QuarantineStore
from wrenloft_routing._crash_ledger import (
    CrashLedger,
    CrashUpdates,
    Quarantine,
    ReportedCrash,
)
from wrenloft_routing._crash_routes import CrashRoutes
from wrenloft_routing._crash_source import CrashSource
from wrenloft_routing._departures import Departure, DepartureLedger, DepartureSource
from wrenloft_routing._endpoint_routes import EndpointRoutes
from wrenloft_routing._endpoints import (
    IDLE_CONNECTION_SECONDS,
    NO_DENIAL,
    Denial,
    Endpoint,
    Endpoints,
    EndpointState,
    EngineReport,
)
from wrenloft_routing._evacuation_routes import EvacuationRoutes
from wrenloft_routing._evacuations import Evacuation, EvacuationLedger
from wrenloft_routing._events import Event, EventSplitter
from wrenloft_routing._exchange import (
    AnswerSink,
    Attempt,
    CallerRequest,
    Headers,
    Lost,
    NotSent,
    OpenAttempt,
    Rejected,
    Reply,
    ReplyBrokenError,
    Sendings,
)
from wrenloft_routing._failure_detector import EndpointFailure, FailureDetector, FailureSign
from wrenloft_routing._forward import Forwarder
from wrenloft_routing._frame_streams import FrameRoutes, read_frames
from wrenloft_routing._frames import (
    Frame,
    FrameScope,
    StoreDelta,
    decode_crashes,
    decode_frame,
    decode_segment_crashes,
    encode_crashes,
    encode_frame,
    encode_segment_crashes,
)
from wrenloft_routing._gate import Gate, Placed, PlacementRequest, Refused
from wrenloft_routing._grants import GrantClient, GrantRoutes
from wrenloft_routing._incomplete_answers import IncompleteReason, record_incomplete
from wrenloft_routing._kind_ledger import KindLoad, KindLoads
from wrenloft_routing._limit_ledger import ActiveLimit, LimitLedger, LimitUpdates
from wrenloft_routing._limit_routes import LimitRoutes
from wrenloft_routing._limiter import Grant, GrantRequest, Limiter
from wrenloft_routing._liveness import Liveness, probe_address
from wrenloft_routing._load_streams import (
    LoadRoutes,
    NodeSubscriber,
    NodeUpdate,
    decode_update,
    encode_update,
)
from wrenloft_routing._loads import InProgress, LoadUpdate, PeerLoads, QueueLength
from wrenloft_routing._members import Member, Members, NodeState
from wrenloft_routing._memory_budget import MemoryBudget, Reservation
from wrenloft_routing._memory_routes import MemoryRoutes
from wrenloft_routing._metrics import MESSAGES
from wrenloft_routing._packing import Item
from wrenloft_routing._proof import FreshnessProof
from wrenloft_routing._region_routes import RegionRoutes
from wrenloft_routing._report_streams import ReportSubscriber, decode_report
from wrenloft_routing._segment_guard import SegmentGuard, SegmentStore
from wrenloft_routing._segment_ledger import (
    ReportedSegmentCrash,
    SegmentCrashUpdates,
    SegmentLedger,
    SegmentQuarantine,
)
from wrenloft_routing._settings import Bounds, EntrySettings
from wrenloft_routing._store_snapshots import (
    ReceivedSnapshot,
    SharedSnapshot,
    SnapshotMirror,
    SnapshotRoutes,
    StoreSnapshot,
    ZoneRole,
)
from wrenloft_routing._streams import EventReader, StreamEnd, StreamProgress
from wrenloft_routing._subscriptions import AgentPeer, NodePeer, Subscriptions
from wrenloft_routing._table import (
    AllowedRegions,
    BackendService,
    Caller,
    CallerLimits,
    Origin,
    RoutingTable,
    Rule,
    RuleKind,
    Target,
    intersect_regions,
    pick_target,
)
from wrenloft_routing._zone import ZoneLink
from wrenloft_routing._zone_view import FrameWriter, ZoneView

__all__ = [
    "IDLE_CONNECTION_SECONDS",
    "MESSAGES",
    "NO_DENIAL",
    "ActiveLimit",
    "AgentPeer",
    "AllowedRegions",
    "AnswerSink",
    "Attempt",
    "BackendService",
    "Bounds",
    "Caller",
    "CallerBuffer",
    "CallerBuffers",
    "CallerLimits",
    "CallerRequest",
    "ChainStage",
    "ColdLedger",
    "ColdReport",
    "ColdRoutes",
    "ColdRule",
    "ColdSource",
    "ColdTracker",
    "CrashGuard",
    "CrashLedger",
    "CrashRoutes",
    "CrashSource",
    "CrashUpdates",
    "Denial",
    "Departure",
    "DepartureLedger",
    "DepartureSource",
    "Eligible",
    "Endpoint",
    "EndpointFailure",
    "EndpointRoutes",
    "EndpointState",
    "Endpoints",
    "EngineReport",
    "EntrySettings",
    "Evacuation",
    "EvacuationLedger",
    "EvacuationRoutes",
    "Event",
    "EventReader",
    "EventSplitter",
    "FailureDetector",
    "FailureSign",
    "Forwarder",
    "Frame",
    "FrameRoutes",
    "FrameScope",
    "FrameWriter",
    "FreshnessProof",
    "Gate",
    "Grant",
    "GrantClient",
    "GrantRequest",
    "GrantRoutes",
    "Headers",
    "InProgress",
    "IncompleteReason",
    "Item",
    "KindLoad",
    "KindLoads",
    "LimitLedger",
    "LimitRoutes",
    "LimitUpdates",
    "Limiter",
    "Liveness",
    "LoadRoutes",
    "LoadUpdate",
    "Lost",
    "Member",
    "Members",
    "MemoryBudget",
    "MemoryRoutes",
    "NodePeer",
    "NodeState",
    "NodeSubscriber",
    "NodeUpdate",
    "NotSent",
    "OpenAttempt",
    "Origin",
    "PeerLoads",
    "Placed",
    "PlacementRequest",
    "Quarantine",
    "QuarantineStore",
    "QueueLength",
    "ReceivedSnapshot",
    "Refused",
    "RegionRoutes",
    "Rejected",
    "Reply",
    "ReplyBrokenError",
    "ReportSubscriber",
    "ReportedCrash",
    "ReportedSegmentCrash",
    "Reservation",
    "RoutingTable",
    "Rule",
    "RuleKind",
    "SegmentCrashUpdates",
    "SegmentGuard",
    "SegmentLedger",
    "SegmentQuarantine",
    "SegmentStore",
    "Sendings",
    "SharedRetryBudget",
    "SharedSnapshot",
    "SnapshotMirror",
    "SnapshotRoutes",
    "StoreDelta",
    "StoreSnapshot",
    "StreamEnd",
    "StreamProgress",
    "Subscriptions",
    "Target",
    "ZoneLink",
    "ZoneRole",
    "ZoneView",
    "build_cold_rules",
    "decode_crashes",
    "decode_frame",
    "decode_report",
    "decode_segment_crashes",
    "decode_update",
    "encode_crashes",
    "encode_frame",
    "encode_segment_crashes",
    "encode_update",
    "identify_content",
    "intersect_regions",
    "list_eligible",
    "pick_target",
    "probe_address",
    "read_frames",
    "record_incomplete",
]
