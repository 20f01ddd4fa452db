"""Parts of a model's layers, and chains of engines that together run all layers."""

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

PART_COUNT = 2
"""Parts into which a model is split for its first load. A host's link needs 5.2 s for a whole
version and 2.6 s for half of one, which is also the time that the origin's link needs for one copy:
more parts would wait for the origin."""


@dataclass(frozen=True, slots=True, order=True)
class LayerSpan:
    """Consecutive layers of a model; ``stop`` is exclusive."""

    start: int
    stop: int

    def contains(self, other: "LayerSpan") -> bool:
        """Return whether every layer of another span is in this one."""
        return self.start <= other.start and other.stop <= self.stop


ALL_LAYERS = LayerSpan(0, 1 << 30)
"""All layers of a model with an unknown number of layers."""


@dataclass(frozen=True, slots=True)
class LayerHolder:
    """An engine that has loaded some layers of one version.

    :param key: identifies the engine.
    :param distance: 0 in the availability zone of the chain's first engine, 1 in its region, 2
        beyond.
    :param busy: requests in progress that use it as a later part of a chain.
    """

    key: str
    span: LayerSpan
    distance: int = 0
    busy: int = 0


@dataclass(frozen=True, slots=True)
class ChainPart:
    """The layers that one engine of a chain runs."""

    key: str
    span: LayerSpan


def split_layers(layers: int) -> list[LayerSpan]:
    """Return the parts of a model, in order; one part if it cannot be split."""
    parts = min(PART_COUNT, max(1, layers))
    bounds = [layers * index // parts for index in range(parts + 1)]
    return [LayerSpan(bounds[index], bounds[index + 1]) for index in range(parts)]


def assign_parts(members: Sequence[str], parts: int, groups: int = 1) -> dict[str, int]:
    """Return the part that each member loads first; neighbours in the common order alternate."""
    return {
        member: (index + (index // groups if groups > 1 else 0)) % parts
        for index, member in enumerate(sorted(members))
    }


def list_span_chunks(span: LayerSpan, layers: int, chunks: int) -> range:
    """Return the chunks that a span of layers needs; adjacent spans may share one."""
    if span.contains(LayerSpan(0, layers)):
        return range(chunks)
    return range(span.start * chunks // layers, -(-span.stop * chunks // layers))


def complete_chain(
    first: LayerHolder, others: Sequence[LayerHolder], layers: int, random: Random
) -> list[ChainPart] | None:
    """Return a chain of engines that runs every layer once and in order, starting with ``first``.

    Each next engine is the nearest that has the next layer: a token crosses between the engines at
    every step, so distance matters more than load. Ties are broken in favour of an engine that
    cannot begin a chain itself, then of the one that covers the most layers, then the least busy.

    :returns: ``None`` if no such chain exists.
    """
    if first.span.start > 0:
        return None
    chain = [ChainPart(first.key, LayerSpan(0, min(first.span.stop, layers)))]
    while (at := chain[-1].span.stop) < layers:
        used = {each.key for each in chain}
        eligible = [
            each
            for each in others
            if each.key not in used and each.span.start <= at < each.span.stop
        ]
        if not eligible:
            return None
        best = min(
            eligible,
            key=lambda each: (
                each.distance,
                each.span.start == 0,
                -each.span.stop,
                each.busy,
                random.random(),
            ),
        )
        chain.append(ChainPart(best.key, LayerSpan(at, min(best.span.stop, layers))))
    return chain
