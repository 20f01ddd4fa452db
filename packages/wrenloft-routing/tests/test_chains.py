"""Tests of which engines can take a request, alone or in a chain."""

from random import Random
from typing import Any

from wrenloft_core import AgentId, ModelName, PlaceName, RegionName, ServiceName
from wrenloft_policy import EngineProfile, LayerSpan
from wrenloft_routing import BackendService, Eligible, Endpoint, EndpointState, list_eligible

PROFILE = EngineProfile(16, 5, 0.009, 0.00004, 19100.0, 2048, 977, 94)
SERVICE = BackendService(ServiceName("s"), 10, PROFILE, ModelName("m"), 96, 24576, layers=16)
LOWER, UPPER, WHOLE = LayerSpan(0, 8), LayerSpan(8, 16), LayerSpan(0, 16)


def _engine(
    name: str, span: LayerSpan | None, version: int = 1, region: str = "r", **changes: Any
) -> EndpointState:
    endpoint = Endpoint(
        AgentId(name),
        ServiceName("s"),
        f"{name}:1",
        PlaceName(f"p-{region}"),
        RegionName(region),
        16,
        versions={"m": version} if span else {},
        span=span,
    )
    return EndpointState(endpoint, **changes)


def _list(*states: EndpointState, required: int = 0) -> list[Eligible]:
    return list_eligible(SERVICE, states, required, 100.0, Random(1))


def _name(eligible: Eligible) -> list[str]:
    return [each.state.endpoint.agent_id for each in eligible.chain]


class TestListAble:
    """Tests for ``list_eligible``."""

    def test_engine_with_all_layers_serves_alone(self) -> None:
        """No chain is built where none is needed."""
        (eligible,) = _list(_engine("a", WHOLE))
        assert eligible.chain == ()

    def test_complementary_engines_form_a_chain(self) -> None:
        """After a power failure each engine holds half of the layers at first."""
        (eligible,) = _list(_engine("a", LOWER), _engine("b", UPPER))
        assert _name(eligible) == ["a", "b"]

    def test_versions_are_never_mixed_in_a_chain(self) -> None:
        """Guards against tokens computed with mixed weights.

        One engine has swapped to the next version, the other has not; neither takes the request.
        """
        assert _list(_engine("a", LOWER, 1), _engine("b", UPPER, 2)) == []

    def test_incomplete_layers_serve_nothing(self) -> None:
        """Half a model can't answer."""
        assert _list(_engine("a", LOWER), _engine("b", LOWER), _engine("c", None)) == []

    def test_required_version_excludes_older_engines(self) -> None:
        """Alone or in chains, only engines of the required version are eligible."""
        states = [_engine("a", WHOLE, 1), _engine("b", LOWER, 2), _engine("c", UPPER, 2)]
        (eligible,) = _list(*states, required=2)
        assert _name(eligible) == ["b", "c"]

    def test_cross_region_chain_is_the_last_resort(self) -> None:
        """Each token would cross between regions at every step."""
        pair = [_engine("a", LOWER), _engine("b", UPPER, region="far")]
        assert [_name(each) for each in _list(*pair)] == [["a", "b"]]
        near = _list(*pair, _engine("c", WHOLE, region="far"))
        assert [each.state.endpoint.agent_id for each in near] == ["c"]

    def test_plain_service_needs_no_weights(self) -> None:
        """Every endpoint of a service without a model can take a request."""
        plain = BackendService(ServiceName("s"), 10)
        assert len(list_eligible(plain, [_engine("a", None)], 0, 100.0, Random(1))) == 1
