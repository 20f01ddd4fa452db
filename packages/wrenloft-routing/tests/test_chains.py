"""Tests of which engines can take a request, alone or in a chain."""

from random import Random
from typing import Any

from wrenloft_core import AgentId, ModelName, PlaceName, RegionName, ServiceName
from wrenloft_policy import EngineProfile, LayerSpan
from wrenloft_routing import Able, BackendService, Endpoint, EndpointState, list_able

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


def _list(*states: EndpointState, required: int = 0) -> list[Able]:
    return list_able(SERVICE, states, required, 100.0, Random(1))


def _name(able: Able) -> list[str]:
    return [each.state.endpoint.agent_id for each in able.chain]


class TestListAble:
    """Tests for ``list_able``."""

    def test_whole_engine_serves_alone(self) -> None:
        """No chain where none is needed."""
        (able,) = _list(_engine("a", WHOLE))
        assert able.chain == ()

    def test_two_parts_serve_together(self) -> None:
        """After a loss of power each engine holds half of the layers at first."""
        (able,) = _list(_engine("a", LOWER), _engine("b", UPPER))
        assert _name(able) == ["a", "b"]

    def test_parts_of_two_versions_are_never_joined(self) -> None:
        """One engine has gone on to the next version, the other has not.

        A chain of both would make tokens with mixed weights; rather nobody takes the request.
        """
        assert _list(_engine("a", LOWER, 1), _engine("b", UPPER, 2)) == []

    def test_part_alone_takes_nothing(self) -> None:
        """Half a model cannot answer."""
        assert _list(_engine("a", LOWER), _engine("b", LOWER), _engine("c", None)) == []

    def test_older_version_is_kept_out_once_the_next_is_required(self) -> None:
        """Whole or in chains, only engines of the required version are left."""
        states = [_engine("a", WHOLE, 1), _engine("b", LOWER, 2), _engine("c", UPPER, 2)]
        (able,) = _list(*states, required=2)
        assert _name(able) == ["b", "c"]

    def test_chain_across_regions_only_if_nothing_else_can(self) -> None:
        """Each token would cross between regions at every step."""
        pair = [_engine("a", LOWER), _engine("b", UPPER, region="far")]
        assert [_name(each) for each in _list(*pair)] == [["a", "b"]]
        near = _list(*pair, _engine("c", WHOLE, region="far"))
        assert [each.state.endpoint.agent_id for each in near] == ["c"]

    def test_plain_service_needs_no_weights(self) -> None:
        """Every endpoint of a service without a model can take a request."""
        plain = BackendService(ServiceName("s"), 10)
        assert len(list_able(plain, [_engine("a", None)], 0, 100.0, Random(1))) == 1
