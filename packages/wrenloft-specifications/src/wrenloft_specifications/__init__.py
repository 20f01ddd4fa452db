"""Small specifications of the protocols, each with the safeguards that it needs."""

from wrenloft_specifications._configurations import ConfigurationSafeguard, specify_configurations
from wrenloft_specifications._protocol import Specification, find_counterexample
from wrenloft_specifications._runs import RunSafeguard, specify_runs
from wrenloft_specifications._shards import ShardSafeguard, specify_shards
from wrenloft_specifications._versions import VersionSafeguard, specify_versions

__all__ = [
    "ConfigurationSafeguard",
    "RunSafeguard",
    "ShardSafeguard",
    "Specification",
    "VersionSafeguard",
    "find_counterexample",
    "specify_configurations",
    "specify_runs",
    "specify_shards",
    "specify_versions",
]
