"""Stand-ins for the platform, for tests, the demo and benchmarks only."""

from wrenloft_standins._caller import CHAT, Caller, Question, Reply, ask_model, send
from wrenloft_standins._deployment import (
    CELLAR_PLACES,
    ENGINES,
    SERVICES,
    Deployment,
    Place,
    Weights,
    make_weights,
    read_weights,
    wait_for,
)
from wrenloft_standins._engine import Engine, EngineFaults
from wrenloft_standins._fleet import OPERATOR_KEY, SECRET, Fleet, Process, open_fleet
from wrenloft_standins._keyvalue import KeyValue, KeyValueFaults
from wrenloft_standins._origin import Origin, OriginFaults
from wrenloft_standins._server import Server, serve
from wrenloft_standins._service import PlainService, ServiceFaults
from wrenloft_standins._site import MODEL, SERVICE, Site, open_site

__all__ = [
    "CELLAR_PLACES",
    "CHAT",
    "ENGINES",
    "MODEL",
    "OPERATOR_KEY",
    "SECRET",
    "SERVICE",
    "SERVICES",
    "Caller",
    "Deployment",
    "Engine",
    "EngineFaults",
    "Fleet",
    "KeyValue",
    "KeyValueFaults",
    "Origin",
    "OriginFaults",
    "Place",
    "PlainService",
    "Process",
    "Question",
    "Reply",
    "Server",
    "ServiceFaults",
    "Site",
    "Weights",
    "ask_model",
    "make_weights",
    "open_fleet",
    "open_site",
    "read_weights",
    "send",
    "serve",
    "wait_for",
]
