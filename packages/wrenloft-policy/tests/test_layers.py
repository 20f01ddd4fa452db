"""Tests of the split of a model among engines, and of chains that run all its layers."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wrenloft_policy import (
    LayerHolder,
    LayerSpan,
    assign_parts,
    complete_chain,
    list_span_chunks,
    split_layers,
)

LOWER, UPPER = LayerSpan(0, 8), LayerSpan(8, 16)


@st.composite
def holders(draw: st.DrawFn) -> list[LayerHolder]:
    """Draw engines that have loaded any spans of a model with 12 layers."""
    spans = draw(
        st.lists(
            st.tuples(st.integers(0, 11), st.integers(1, 12)).filter(lambda each: each[0] < each[1])
        )
    )
    return [LayerHolder(str(n), LayerSpan(*each), n % 3) for n, each in enumerate(spans)]


class TestSplitLayers:
    """Tests for ``split_layers``."""

    @pytest.mark.parametrize("layers", [1, 2, 15, 16, 61])
    def test_parts_cover_all_layers_in_order(self, layers: int) -> None:
        """Each layer is in exactly one part."""
        parts = split_layers(layers)
        listed = [layer for part in parts for layer in range(part.start, part.stop)]
        assert listed == list(range(layers))

    def test_neighbours_take_different_parts(self) -> None:
        """Of two adjacent hosts in the list, each can complete the other's chain."""
        members = ["10.1.0.1", "10.1.0.2", "10.1.0.3", "10.1.0.4"]
        assert [assign_parts(members, 2)[each] for each in members] == [0, 1, 0, 1]


class TestListSpanChunks:
    """Tests for ``list_span_chunks``."""

    def test_layers_that_end_within_a_chunk_share_it(self) -> None:
        """A chunk that contains the end of a layer is needed by that layer and the next."""
        assert list_span_chunks(LayerSpan(0, 1), 3, 10) == range(0, 4)
        assert list_span_chunks(LayerSpan(1, 2), 3, 10) == range(3, 7)

    def test_all_layers_need_all_chunks(self) -> None:
        """All chunks are needed if the number of layers is unknown."""
        assert list_span_chunks(LayerSpan(0, 1 << 30), 1, 96) == range(96)


class TestCompleteChain:
    """Tests for ``complete_chain``."""

    @given(holders(), st.integers(1, 12))
    def test_every_layer_runs_once_and_in_order(self, others: list[LayerHolder], stop: int) -> None:
        """Each layer runs exactly once, on an engine that has loaded it.

        If there is no chain, at least one layer is loaded by no engine.
        """
        first = LayerHolder("first", LayerSpan(0, stop))
        loaded = {each.key: each.span for each in [first, *others]}
        chain = complete_chain(first, others, 12, Random(1))
        if chain is None:
            covered = {n for span in loaded.values() for n in range(span.start, span.stop)}
            assert covered != set(range(12))
            return
        assert [n for part in chain for n in range(part.span.start, part.span.stop)] == [*range(12)]
        assert all(loaded[part.key].contains(part.span) for part in chain)
        assert len({part.key for part in chain}) == len(chain)

    def test_chain_starts_with_the_first_layer(self) -> None:
        """An engine without the first layers cannot take a request."""
        assert complete_chain(
            LayerHolder("a", UPPER), [LayerHolder("b", LOWER)], 16, Random(1)
        ) is (None)

    def test_engine_with_all_layers_is_avoided(self) -> None:
        """An engine with all layers takes more requests alone than as part of a chain."""
        others = [LayerHolder("whole", LayerSpan(0, 16)), LayerHolder("part", UPPER, busy=9)]
        chain = complete_chain(LayerHolder("a", LOWER), others, 16, Random(1))
        assert chain is not None
        assert [each.key for each in chain] == ["a", "part"]

    def test_near_engine_comes_before_an_idle_one(self) -> None:
        """A token crosses between the engines at every step, so distance outweighs load."""
        others = [LayerHolder("far", UPPER, 2, busy=0), LayerHolder("near", UPPER, 0, busy=9)]
        chain = complete_chain(LayerHolder("a", LOWER), others, 16, Random(1))
        assert chain is not None
        assert [each.key for each in chain] == ["a", "near"]
