"""Tests of how a model is split among engines, and of chains that run all its layers."""

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
    """Draw engines that hold any spans of a model with 12 layers."""
    spans = draw(
        st.lists(
            st.tuples(st.integers(0, 11), st.integers(1, 12)).filter(lambda each: each[0] < each[1])
        )
    )
    return [LayerHolder(str(n), LayerSpan(*each), n % 3) for n, each in enumerate(spans)]


class TestSplitLayers:
    """Tests for ``split_layers``."""

    @pytest.mark.parametrize("layers", [1, 2, 15, 16, 61])
    def test_parts_are_all_layers_in_order(self, layers: int) -> None:
        """No layer is left out and none stands in two parts."""
        parts = split_layers(layers)
        listed = [layer for part in parts for layer in range(part.start, part.stop)]
        assert listed == list(range(layers))

    def test_neighbours_take_different_parts(self) -> None:
        """Of two hosts next to each other in the list, each can complete the other's chain."""
        members = ["10.1.0.1", "10.1.0.2", "10.1.0.3", "10.1.0.4"]
        assert [assign_parts(members, 2)[each] for each in members] == [0, 1, 0, 1]


class TestListSpanChunks:
    """Tests for ``list_span_chunks``."""

    def test_uneven_layers_share_a_chunk(self) -> None:
        """A layer that ends within a chunk needs all of it, and so does the next layer."""
        assert list_span_chunks(LayerSpan(0, 1), 3, 10) == range(0, 4)
        assert list_span_chunks(LayerSpan(1, 2), 3, 10) == range(3, 7)

    def test_all_layers_need_all_chunks(self) -> None:
        """Also if the number of layers is not stated."""
        assert list_span_chunks(LayerSpan(0, 1 << 30), 1, 96) == range(96)


class TestCompleteChain:
    """Tests for ``complete_chain``."""

    @given(holders(), st.integers(1, 12))
    def test_every_layer_runs_once_and_in_order(self, others: list[LayerHolder], stop: int) -> None:
        """Whatever engines hold: a token runs each layer once, on an engine that holds it.

        With no chain, at least one layer is held by nobody.
        """
        first = LayerHolder("first", LayerSpan(0, stop))
        held = {each.key: each.span for each in [first, *others]}
        chain = complete_chain(first, others, 12, Random(1))
        if chain is None:
            covered = {n for span in held.values() for n in range(span.start, span.stop)}
            assert covered != set(range(12))
            return
        assert [n for part in chain for n in range(part.span.start, part.span.stop)] == [*range(12)]
        assert all(held[part.key].contains(part.span) for part in chain)
        assert len({part.key for part in chain}) == len(chain)

    def test_chain_begins_with_the_first_layer(self) -> None:
        """An engine that lacks the first layers cannot take a request."""
        assert complete_chain(
            LayerHolder("a", UPPER), [LayerHolder("b", LOWER)], 16, Random(1)
        ) is (None)

    def test_engines_that_serve_alone_are_left_to_that(self) -> None:
        """A whole engine takes more requests alone than as part of a chain."""
        others = [LayerHolder("whole", LayerSpan(0, 16)), LayerHolder("part", UPPER, busy=9)]
        chain = complete_chain(LayerHolder("a", LOWER), others, 16, Random(1))
        assert chain is not None
        assert [each.key for each in chain] == ["a", "part"]

    def test_nearest_continues_before_idle(self) -> None:
        """A token crosses between the engines at every step, so the way goes before the load."""
        others = [LayerHolder("far", UPPER, 2, busy=0), LayerHolder("near", UPPER, 0, busy=9)]
        chain = complete_chain(LayerHolder("a", LOWER), others, 16, Random(1))
        assert chain is not None
        assert [each.key for each in chain] == ["a", "near"]
