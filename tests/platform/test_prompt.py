"""Tests of what callers state of their prompts."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wrenloft_platform import _names as names
from wrenloft_platform._prompt import (
    MAX_ID_CHARACTERS,
    MAX_SEGMENTS,
    count_prompt_tokens,
    parse_segments,
)


@pytest.mark.parametrize(
    ("values", "expected"),
    [
        ([], set()),
        ([""], set()),
        ([" "], set()),
        ([","], set()),
        (["5c:800"], set()),
        (["5c:800,91:410,e4:250"], {"5c", "91"}),
        (["5c:800,91:410", "e4:250"], {"5c", "91"}),
        (["5c,91,e4"], {"5c", "91"}),
        (["5c:x,91:,e4:-1"], {"5c", "91"}),
        (["5C:800, 91 :410 ,E4:250"], {"5c", "91"}),
        (["5c:800,5c:800,e4:250"], {"5c"}),
        (["5c:800,:410,,e4:250"], {"5c"}),
        (["5c:800,e4:250,"], {"5c"}),
    ],
)
def test_header_in_any_form_has_a_defined_result(values: list[str], expected: set[str]) -> None:
    """Guards against a malformed header that fails its request or hides a segment."""
    assert parse_segments(values) == expected


def test_long_header_is_bounded() -> None:
    """Guards against memory that grows with the number or the length of the ids."""
    many = ",".join(f"{n:x}:1" for n in range(10_000))
    assert parse_segments([many]) == {f"{n:x}" for n in range(MAX_SEGMENTS)}
    long = "a" * 16_000
    (segment,) = parse_segments([f"{long}:1,b:1"])
    assert len(segment) <= MAX_ID_CHARACTERS
    assert parse_segments([f"{long}b:1,b:1"]) != {segment}


@given(st.lists(st.text(max_size=50), max_size=3))
def test_any_text_is_parsed(values: list[str]) -> None:
    """Guards against text that raises."""
    assert len(parse_segments(values)) <= MAX_SEGMENTS


@pytest.mark.parametrize("text", ["", "x", "1" * 400, "1.5", "-"])
def test_unreadable_number_of_tokens_counts_as_none(text: str) -> None:
    """Guards against a number that fails its request."""
    assert count_prompt_tokens({names.TOKEN_USAGE: f"{text},3"}) == 0.0
