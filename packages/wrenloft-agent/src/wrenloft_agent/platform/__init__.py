"""The platform's key-value service, as far as an agent needs it."""

from wrenloft_agent.platform._directory import NodeDirectory

__all__ = ["NodeDirectory"]
