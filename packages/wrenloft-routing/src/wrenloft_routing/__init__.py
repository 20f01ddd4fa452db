"""Routing of callers' requests straight to endpoints, free of any wire format."""

from wrenloft_routing._budget import SharedBudget
from wrenloft_routing._chains import Able, ChainStage, list_able
from wrenloft_routing._content import identify_content
from wrenloft_routing._crash_guard import CrashGuard, HoldKeeper
from wrenloft_routing._crash_ledger import (
    CrashLedger,
    CrashNews,
    CrashSource,
    Hold,
    ToldCrash,
)
from wrenloft_routing._crash_routes import CrashRoutes
from wrenloft_routing._endpoints import (
    KEPT_SECONDS,
    NO_DENIAL,
    Denial,
    Endpoint,
    Endpoints,
    EndpointState,
    EngineReport,
)
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
)
from wrenloft_routing._failure_detector import EndpointFailure, FailureDetector, FailureSign
from wrenloft_routing._forward import Forwarder
from wrenloft_routing._frame_streams import FrameRoutes, read_frames
from wrenloft_routing._frames import (
    Frame,
    FrameScope,
    ReadingChange,
    decode_crashes,
    decode_frame,
    encode_crashes,
    encode_frame,
)
from wrenloft_routing._gate import Gate, Placed, PlacementRequest, Refused
from wrenloft_routing._grants import GrantRoutes, Grants
from wrenloft_routing._limit_ledger import LimitInForce, LimitLedger, LimitNews
from wrenloft_routing._limit_routes import LimitRoutes
from wrenloft_routing._limiter import Grant, GrantRequest, Limiter
from wrenloft_routing._liveness import Liveness, probe_address
from wrenloft_routing._load_streams import (
    LoadRoutes,
    NodeFollower,
    NodeUpdate,
    decode_update,
    encode_update,
)
from wrenloft_routing._loads import InProgress, LoadUpdate, PeerLoads, QueueLength
from wrenloft_routing._members import Member, Members, NodeState
from wrenloft_routing._metrics import MESSAGES
from wrenloft_routing._packing import Item
from wrenloft_routing._proof import CurrencyProof
from wrenloft_routing._report_streams import ReportFollower, decode_report
from wrenloft_routing._settings import Bounds, EntrySettings
from wrenloft_routing._store_snapshots import (
    ReaderRole,
    Reading,
    ReadingMirror,
    ReadingRoutes,
    SharedReading,
    Taken,
)
from wrenloft_routing._streams import Pump, StreamEnd, pump_stream
from wrenloft_routing._subscriptions import FollowedAgent, FollowedNode, Followers
from wrenloft_routing._table import (
    BackendService,
    Caller,
    CallerLimits,
    Origin,
    RoutingTable,
    Rule,
    RuleKind,
    Target,
    pick_target,
)
from wrenloft_routing._zone import ZoneLink
from wrenloft_routing._zone_view import FrameWriter, ZoneView

__all__ = [
    "KEPT_SECONDS",
    "MESSAGES",
    "NO_DENIAL",
    "Able",
    "AnswerSink",
    "Attempt",
    "BackendService",
    "Bounds",
    "Caller",
    "CallerLimits",
    "CallerRequest",
    "ChainStage",
    "CrashGuard",
    "CrashLedger",
    "CrashNews",
    "CrashRoutes",
    "CrashSource",
    "CurrencyProof",
    "Denial",
    "Endpoint",
    "EndpointFailure",
    "EndpointState",
    "Endpoints",
    "EngineReport",
    "EntrySettings",
    "Event",
    "EventSplitter",
    "FailureDetector",
    "FailureSign",
    "FollowedAgent",
    "FollowedNode",
    "Followers",
    "Forwarder",
    "Frame",
    "FrameRoutes",
    "FrameScope",
    "FrameWriter",
    "Gate",
    "Grant",
    "GrantRequest",
    "GrantRoutes",
    "Grants",
    "Headers",
    "Hold",
    "HoldKeeper",
    "InProgress",
    "Item",
    "LimitInForce",
    "LimitLedger",
    "LimitNews",
    "LimitRoutes",
    "Limiter",
    "Liveness",
    "LoadRoutes",
    "LoadUpdate",
    "Lost",
    "Member",
    "Members",
    "NodeFollower",
    "NodeState",
    "NodeUpdate",
    "NotSent",
    "OpenAttempt",
    "Origin",
    "PeerLoads",
    "Placed",
    "PlacementRequest",
    "Pump",
    "QueueLength",
    "ReaderRole",
    "Reading",
    "ReadingChange",
    "ReadingMirror",
    "ReadingRoutes",
    "Refused",
    "Rejected",
    "Reply",
    "ReplyBrokenError",
    "ReportFollower",
    "RoutingTable",
    "Rule",
    "RuleKind",
    "SharedBudget",
    "SharedReading",
    "StreamEnd",
    "Taken",
    "Target",
    "ToldCrash",
    "ZoneLink",
    "ZoneView",
    "decode_crashes",
    "decode_frame",
    "decode_report",
    "decode_update",
    "encode_crashes",
    "encode_frame",
    "encode_update",
    "identify_content",
    "list_able",
    "pick_target",
    "probe_address",
    "pump_stream",
    "read_frames",
]
