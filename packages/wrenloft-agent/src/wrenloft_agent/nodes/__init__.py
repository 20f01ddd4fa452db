"""Entry nodes: streams to the home nodes, their orders, and the requests they send."""

from wrenloft_agent.nodes._attach import HomeNodes, Rules
from wrenloft_agent.nodes._orders import AgentService
from wrenloft_agent.nodes._requests import RequestRoutes

__all__ = ["AgentService", "HomeNodes", "RequestRoutes", "Rules"]
