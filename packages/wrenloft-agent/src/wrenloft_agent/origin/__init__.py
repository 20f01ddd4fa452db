"""The origin of weights: manifests and ranges over plain HTTP."""

from wrenloft_agent.origin._client import OriginClient

__all__ = ["OriginClient"]
