"""Reading of answers that are sent whole, within the memory of this node."""

from collections.abc import Awaitable, Callable
from contextlib import ExitStack

from prometheus_client import Counter

from wrenloft_core import read_clock
from wrenloft_routing._exchange import AnswerSink, Reply
from wrenloft_routing._request_progress import RequestProgress

ANSWERS = Counter(
    "wrenloft_memory_answers",
    "Whole answers that were forwarded as they arrived, or ended for want of memory",
    ["outcome"],
)


MAX_HELD_BYTES = 16 * 2**20
"""Most bytes of an answer that are held, however much memory there is. Nothing else bounds one
without an end, which may come at a gigabyte a second, where no memory is stated."""


class AnswerShortageError(Exception):
    """There is no memory for an answer, and it can't be forwarded as it arrives."""


async def _claim_nothing() -> None:
    return


async def relay_answer(
    reply: Reply,
    sink: AnswerSink,
    progress: RequestProgress,
    claim: Callable[[], Awaitable[None]] = _claim_nothing,
) -> bytes | None:
    """Read an answer whole, or forward it as it arrives where it is too long to be held.

    Up to then it is held: the endpoint is free however slowly the caller reads, and
    another one can give the answer if this one breaks off. Once it is begun, none can.

    :param claim: called before the answer is begun; ends the request's other attempts.
    :returns: the body, ``None`` if it was forwarded; the sink is then to be ended.
    :raises ReplyBrokenError: if it ended early.
    :raises AnswerShortageError: if there is no memory for it.
    """
    held = progress.request.held
    parts = []
    reserved = 0
    shortage = None
    with ExitStack() as stack:
        # Another attempt of this request may reserve at the same time.
        stack.callback(lambda: held.resize(held.size - reserved))
        while part := await reply.read_some():
            parts.append(part)
            shortage = held.grow(len(part))
            if shortage is not None:
                break
            reserved += len(part)
            if reserved > MAX_HELD_BYTES:
                break
        else:
            stack.pop_all()
            return b"".join(parts)
    if shortage is not None and not progress.request.takes_chunks:
        ANSWERS.labels("ended").inc()
        raise AnswerShortageError(str(shortage))
    await claim()
    await _forward(parts, reply, sink, progress)
    return None


async def _forward(
    parts: list[bytes], reply: Reply, sink: AnswerSink, progress: RequestProgress
) -> None:
    ANSWERS.labels("forwarded").inc()
    progress.answer_begun = progress.stream.begun = True
    progress.stream.begun_at = read_clock()
    await sink.begin(reply.status, reply.headers)
    await sink.write(b"".join(parts))
    parts.clear()
    while part := await reply.read_some():
        await sink.write(part)
