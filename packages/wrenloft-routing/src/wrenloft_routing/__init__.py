"""Routing of callers' requests straight to endpoints, free of any wire format."""

from wrenloft_routing._budget import SharedBudget
from wrenloft_routing._chains import Able, ChainStage, list_able
from wrenloft_routing._endpoints import Endpoint, Endpoints, EndpointState, EngineReport
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
from wrenloft_routing._forward import Forwarder
from wrenloft_routing._gate import Ask, Gate, Placed, Refused
from wrenloft_routing._load_streams import (
    LoadFollower,
    LoadRoutes,
    measure_update_interval,
)
from wrenloft_routing._loads import InProgress, LoadUpdate, PeerLoads, QueueLength
from wrenloft_routing._members import Member, Members
from wrenloft_routing._peers import (
    FAR_PING_SECONDS,
    NEAR_PING_SECONDS,
    PingRoutes,
    ReportFollower,
    ping_forever,
)
from wrenloft_routing._proof import CurrencyProof
from wrenloft_routing._readings import Item, Reading, ReadingRoutes, SharedReading, Taken
from wrenloft_routing._settings import Bounds, EntrySettings
from wrenloft_routing._streams import Pump, StreamEnd, pump_stream
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

__all__ = [
    "FAR_PING_SECONDS",
    "NEAR_PING_SECONDS",
    "Able",
    "AnswerSink",
    "Ask",
    "Attempt",
    "BackendService",
    "Bounds",
    "Caller",
    "CallerLimits",
    "CallerRequest",
    "ChainStage",
    "CurrencyProof",
    "Endpoint",
    "EndpointState",
    "Endpoints",
    "EngineReport",
    "EntrySettings",
    "Event",
    "EventSplitter",
    "Forwarder",
    "Gate",
    "Headers",
    "InProgress",
    "Item",
    "LoadFollower",
    "LoadRoutes",
    "LoadUpdate",
    "Lost",
    "Member",
    "Members",
    "NotSent",
    "OpenAttempt",
    "Origin",
    "PeerLoads",
    "PingRoutes",
    "Placed",
    "Pump",
    "QueueLength",
    "Reading",
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
    "list_able",
    "measure_update_interval",
    "pick_target",
    "ping_forever",
    "pump_stream",
]
