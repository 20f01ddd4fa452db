"""The entry node and the operators' command line."""

from wrenloft._node import run_node
from wrenloft._settings import NodeSettings

__all__ = ["NodeSettings", "run_node"]
