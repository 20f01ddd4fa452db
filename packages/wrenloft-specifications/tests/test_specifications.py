"""Checks every specification, whole and with each of its safeguards left out."""

from collections.abc import Callable
from enum import Enum

import pytest
from wrenloft_specifications import (
    ConfigurationSafeguard,
    RunSafeguard,
    ShardSafeguard,
    Specification,
    VersionSafeguard,
    find_counterexample,
    specify_configurations,
    specify_runs,
    specify_shards,
    specify_versions,
)

_SPECIFICATIONS: list[tuple[Callable[..., Specification], type[Enum]]] = [
    (specify_runs, RunSafeguard),
    (specify_shards, ShardSafeguard),
    (specify_configurations, ConfigurationSafeguard),
    (specify_versions, VersionSafeguard),
]


class TestFindCounterexample:
    """Tests for ``find_counterexample`` on each specification."""

    @pytest.mark.parametrize("specify", [each for each, _ in _SPECIFICATIONS])
    def test_holds_with_every_safeguard(self, specify: Callable[..., Specification]) -> None:
        """With all safeguards every invariant holds in every reachable state."""
        verdict = find_counterexample(specify())
        assert verdict.broken == {}
        assert verdict.exhaustive

    @pytest.mark.parametrize(
        ("specify", "safeguard"),
        [(specify, each) for specify, kind in _SPECIFICATIONS for each in kind],
    )
    def test_breaks_without_a_safeguard(
        self, specify: Callable[..., Specification], safeguard: Enum
    ) -> None:
        """Without any one safeguard the checker finds a way to break a promise."""
        verdict = find_counterexample(specify(safeguard))
        assert verdict.broken != {}
