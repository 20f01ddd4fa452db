"""The process beside each runner: fence, witness, swarm member and graceful stop."""

from wrenloft_agent._agent import run_agent
from wrenloft_agent._settings import AgentSettings, RunnerKind

__all__ = ["AgentSettings", "RunnerKind", "run_agent"]
