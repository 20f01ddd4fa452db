"""Agents: their streams, the requests sent to them, and the orders of their models' owners."""

from wrenloft.agents._attachments import Attachments
from wrenloft.agents._client import AgentClient, Answer, Broken, Fate, Refused, Seen
from wrenloft.agents._planner import Planner

__all__ = [
    "AgentClient",
    "Answer",
    "Attachments",
    "Broken",
    "Fate",
    "Planner",
    "Refused",
    "Seen",
]
