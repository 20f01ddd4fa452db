"""Stand-ins for the platform, for tests, the demo and benchmarks only."""

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

__all__ = [
    "CELLAR_PLACES",
    "ENGINES",
    "OPERATOR_KEY",
    "SECRET",
    "SERVICES",
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
    "Server",
    "ServiceFaults",
    "Weights",
    "make_weights",
    "open_fleet",
    "read_weights",
    "serve",
    "wait_for",
]
