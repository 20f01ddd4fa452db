"""Bounds of the tokens that an engine holds, beyond which it crashes."""

from collections.abc import Sequence

from wrenloft_policy._endpoints import EndpointLoad
from wrenloft_policy._engine import EngineProfile

MEMORY_SHARE = 0.9
"""Share of an engine's memory that its requests may take together, since the tokens of those whose
first event has arrived are known only by their mean."""

NEAR_BATCHES = 2
"""Mean batches that must fit in that share, with one request in addition, for its check to be
omitted. A queue in front of an engine is shorter than a batch."""


def count_request_tokens(engine: EngineProfile, prompt_tokens: float) -> float:
    """Return the tokens that a request needs: its prompt and a mean output.

    :param prompt_tokens: 0 if not stated, which counts as a mean prompt.
    """
    return (prompt_tokens or engine.mean_prompt_tokens) + engine.mean_output_tokens


def exceeds_engine_memory(engine: EngineProfile | None, prompt_tokens: float) -> bool:
    """Return whether no engine has memory for a request, even if it runs nothing else."""
    if engine is None or not engine.memory_tokens:
        return False
    return count_request_tokens(engine, prompt_tokens) > engine.memory_tokens


def estimate_held_tokens(load: EndpointLoad, engine: EngineProfile) -> float:
    """Estimate the tokens of all requests in progress at an engine."""
    mean = engine.mean_prompt_tokens + engine.mean_output_tokens
    waiting = load.waiting + load.sent_since + load.unreported
    if load.unread_tokens is None:
        return (load.running + waiting) * mean
    return load.running * mean + waiting * engine.mean_output_tokens + load.unread_tokens


def list_with_memory(
    loads: Sequence[EndpointLoad], engine: EngineProfile | None, prompt_tokens: float
) -> Sequence[EndpointLoad]:
    """Return the endpoints that have memory for a request; all, unless memory can be short."""
    if engine is None or not _can_be_short(engine, prompt_tokens):
        return loads
    tokens = count_request_tokens(engine, prompt_tokens)
    return [each for each in loads if _has_memory(each, engine, tokens)]


def _can_be_short(engine: EngineProfile, prompt_tokens: float) -> bool:
    if not engine.memory_tokens:
        return False
    batch = engine.slots * count_request_tokens(engine, 0.0)
    tokens = NEAR_BATCHES * batch + count_request_tokens(engine, prompt_tokens)
    return tokens > MEMORY_SHARE * engine.memory_tokens


def _has_memory(load: EndpointLoad, engine: EngineProfile, tokens: float) -> bool:
    held = estimate_held_tokens(load, engine)
    share = MEMORY_SHARE if held else 1.0
    return held + tokens <= share * engine.memory_tokens
