"""Tests of splitting event streams."""

from hypothesis import given
from hypothesis import strategies as st

from wrenloft_routing._events import EventSplitter
from wrenloft_routing._exchange import Reply
from wrenloft_routing._streams import MAX_EVENT_BYTES, EventReader, StreamEnd


@given(st.lists(st.sampled_from([b"id: 1\n", b"data: x\n", b"\n", b"\n\n", b"x"]), max_size=20))
def test_events_do_not_depend_on_how_bytes_arrive(parts: list[bytes]) -> None:
    """Guards against an end of an event that is missed as it arrives in two parts."""
    data = b"".join(parts)
    whole, pieces = EventSplitter(), EventSplitter()
    expected = whole.feed(data)
    found = [each for number in range(len(data)) for each in pieces.feed(data[number : number + 1])]
    assert b"".join(each.data for each in found) == b"".join(each.data for each in expected)
    assert pieces.has_partial_event == whole.has_partial_event


async def test_event_without_end_breaks_its_stream() -> None:
    """Guards against an event that is held without a bound, where no memory is stated."""

    class EndlessReply:
        read = 0

        async def read_some(self) -> bytes:
            self.read += 1_000_000
            return b"x" * 1_000_000

    reply = EndlessReply()
    assert await EventReader(_as_reply(reply)).read() is StreamEnd.BROKEN
    assert MAX_EVENT_BYTES < reply.read < MAX_EVENT_BYTES + 2_000_000


def _as_reply(reply: object) -> Reply:
    return reply  # type: ignore[return-value]
