"""Engines that can take a request: alone, or in a chain that together serves all layers."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from random import Random

from wrenloft_core import AgentId
from wrenloft_policy import ChainPart, LayerHolder, LayerSpan, complete_chain
from wrenloft_routing._endpoints import EndpointState, EngineWeights
from wrenloft_routing._table import BackendService


@dataclass(frozen=True, slots=True)
class ChainStage:
    """One engine of a chain and the layers that a request runs there."""

    state: EndpointState
    span: LayerSpan


@dataclass(frozen=True, slots=True)
class Eligible:
    """An endpoint that can take a request.

    :param version: the version on which the request would begin, 0 for a plain service.
    :param chain: all engines that it would go through, empty if the first one suffices.
    """

    state: EndpointState
    version: int = 0
    chain: tuple[ChainStage, ...] = ()


def list_eligible(
    service: BackendService,
    states: Sequence[EndpointState],
    required: int,
    now: float,
    random: Random,
) -> list[Eligible]:
    """Return the endpoints that can take a request of a service.

    Chains that cross regions are returned only if nothing else can take it, since each token
    crosses between regions at every step.

    :param states: endpoints that are not excluded for another reason.
    :param required: the oldest version on which a request may begin.
    """
    if service.model is None:
        return [Eligible(each) for each in states]
    weights_by_agent = {
        each.endpoint.agent_id: each.find_weights(service.model, now) for each in states
    }
    serving = [
        each
        for each in states
        if _is_serving(weights_by_agent[each.endpoint.agent_id], max(1, required))
    ]
    eligible: list[Eligible] = []
    cross_region: list[Eligible] = []
    for state in serving:
        weights = weights_by_agent[state.endpoint.agent_id]
        is_complete = weights.span is not None and weights.span.contains(
            LayerSpan(0, service.layers)
        )
        if is_complete:
            eligible.append(Eligible(state, weights.version))
            continue
        peers = [each for each in serving if _has_version(weights_by_agent, each, weights.version)]
        chain = _find_chain(service, state, peers, weights_by_agent, random)
        if chain:
            crosses = any(_measure_distance(state, each.state) > 1 for each in chain)
            (cross_region if crosses else eligible).append(Eligible(state, weights.version, chain))
    return eligible or cross_region


def _is_serving(weights: EngineWeights, least: int) -> bool:
    return weights.span is not None and weights.version >= least


def _has_version(
    weights_by_agent: Mapping[AgentId, EngineWeights], state: EndpointState, version: int
) -> bool:
    """Chains of two versions would mix their weights in one token."""
    return weights_by_agent[state.endpoint.agent_id].version == version


def _find_chain(
    service: BackendService,
    first: EndpointState,
    peers: Sequence[EndpointState],
    weights_by_agent: Mapping[AgentId, EngineWeights],
    random: Random,
) -> tuple[ChainStage, ...]:
    holders: dict[str, LayerHolder] = {}
    states: dict[str, EndpointState] = {}
    for each in peers:
        span = weights_by_agent[each.endpoint.agent_id].span
        if span is not None:
            key = each.endpoint.agent_id
            distance = _measure_distance(first, each)
            holders[key] = LayerHolder(key, span, distance, each.downstream_requests)
            states[key] = each
    own = holders.pop(first.endpoint.agent_id)
    parts = complete_chain(own, list(holders.values()), service.layers, random)
    return tuple(_build_stage(each, states) for each in parts or ())


def _build_stage(part: ChainPart, states: dict[str, EndpointState]) -> ChainStage:
    return ChainStage(states[part.key], part.span)


def _measure_distance(one: EndpointState, other: EndpointState) -> int:
    if one.endpoint.place == other.endpoint.place:
        return 0
    return 1 if one.endpoint.region == other.endpoint.region else 2
