"""Tests of whole answers within the memory of a node."""

import asyncio
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wrenloft_policy import MemoryLimits
from wrenloft_routing import AnswerSink, Headers, MemoryBudget, Reply, ReplyBrokenError
from wrenloft_routing._answers import MAX_HELD_BYTES, AnswerShortageError, relay_answer

LIMITS = MemoryLimits(total=1000, connection=400, new_work=750)
REQUEST_BYTES = 50
LARGEST_PART = 200


@dataclass
class Recorder:
    """A reply made of parts, and the sink that gets them.

    :param breaks: whether the reply breaks off after its parts.
    """

    parts: list[bytes]
    breaks: bool
    status: int = 200
    headers: Headers = ()
    begun: bool = False
    body: bytes = b""
    calls: list[str] = field(default_factory=list)

    async def read_some(self) -> bytes:
        if self.parts:
            return self.parts.pop(0)
        if self.breaks:
            raise ReplyBrokenError("cut")
        return b""

    async def begin(self, status: int, headers: Headers) -> None:
        self.calls.append("begin")

    async def write(self, data: bytes) -> None:
        self.calls.append("write")
        self.body += data


def _relay(budget: MemoryBudget, recorder: Recorder, held: Any, takes_chunks: bool) -> Any:
    request = SimpleNamespace(held=held, takes_chunks=takes_chunks)
    stream = SimpleNamespace(begun=False, begun_at=0.0)
    progress = SimpleNamespace(request=request, stream=stream, answer_begun=False)
    try:
        body = asyncio.run(
            relay_answer(cast(Reply, recorder), cast(AnswerSink, recorder), cast(Any, progress))
        )
    except (ReplyBrokenError, AnswerShortageError) as error:
        return error, progress
    return body, progress


@given(
    st.lists(st.binary(min_size=1, max_size=LARGEST_PART), max_size=8),
    st.integers(0, LIMITS.total),
    st.booleans(),
    st.booleans(),
)
def test_answer_is_held_forwarded_or_ended_without_leaks(
    parts: list[bytes], others: int, breaks: bool, takes_chunks: bool
) -> None:
    """Guards against lost bytes, an answer begun and given anew, and bytes that stay counted."""
    data = b"".join(parts)
    budget = MemoryBudget(LIMITS)
    other, held = budget.open(), budget.open()
    other.resize(others)
    held.resize(REQUEST_BYTES)
    recorder = Recorder(list(parts), breaks)
    result, progress = _relay(budget, recorder, held, takes_chunks)
    assert progress.answer_begun == progress.stream.begun == ("begin" in recorder.calls)
    if isinstance(result, bytes):
        assert (result, recorder.calls) == (data, [])
        assert held.size == REQUEST_BYTES + len(data) <= LIMITS.connection
        assert budget.held <= max(LIMITS.total, others + REQUEST_BYTES)
    else:
        assert held.size == REQUEST_BYTES
    if result is None:
        assert takes_chunks
        assert recorder.body == data
    if isinstance(result, AnswerShortageError):
        assert not takes_chunks
    if breaks:
        assert isinstance(result, ReplyBrokenError | AnswerShortageError)


def test_answer_is_only_read_where_nothing_is_bounded() -> None:
    """Guards against answers that are begun early in deployments that state no memory."""
    recorder = Recorder([b"x" * 10_000_000], breaks=False)
    result, progress = _relay(MemoryBudget(), recorder, MemoryBudget().open(), True)
    assert len(result) == 10_000_000
    assert not progress.answer_begun


@pytest.mark.parametrize("takes_chunks", [True, False])
def test_answer_without_end_is_not_held_where_nothing_is_bounded(takes_chunks: bool) -> None:
    """Guards against an answer that fills the host's memory until its request's time is up."""
    part = b"x" * 1_000_000
    count = MAX_HELD_BYTES // len(part) + 4
    recorder = Recorder([part] * count, breaks=True)
    result, progress = _relay(MemoryBudget(), recorder, MemoryBudget().open(), takes_chunks)
    assert isinstance(result, ReplyBrokenError)
    assert progress.answer_begun
    assert recorder.body == part * count
    assert recorder.calls.count("write") > 1
