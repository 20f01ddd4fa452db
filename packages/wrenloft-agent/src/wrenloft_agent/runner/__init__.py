"""The runner: the model engine or plain service that this agent stands before."""

from wrenloft_agent.runner._calls import RunnerCalls, build_runner_headers
from wrenloft_agent.runner._engine import EngineOrders, EngineState
from wrenloft_agent.runner._gate import Gate, GateFullError

__all__ = [
    "EngineOrders",
    "EngineState",
    "Gate",
    "GateFullError",
    "RunnerCalls",
    "build_runner_headers",
]
