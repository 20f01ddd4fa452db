"""The forwarder's interfaces to a caller's connection and to connections to endpoints."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Protocol

from wrenloft_core import OrganisationName, RequestId, SegmentId
from wrenloft_policy import (
    NO_NOTICE,
    AdvertisedLimit,
    EndpointNotice,
    HeaderLoad,
    MalformedLoad,
)
from wrenloft_routing._chains import ChainStage
from wrenloft_routing._endpoints import Endpoint
from wrenloft_routing._memory_budget import UNBOUNDED, Reservation

Headers = tuple[tuple[str, str], ...]


@dataclass(slots=True, eq=False)
class Sendings:
    """The attempts of one request that may have run.

    :param count: attempts, except those that were not sent or that their endpoints rejected.
    """

    count: int = 0


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """One caller's request as it was read.

    :param target: path and query exactly as sent.
    :param headers: those that are forwarded to the endpoint, as sent.
    :param key: the caller's key, if it sent one.
    :param caller_timeout: seconds that the caller waits, ``None`` if not stated.
    :param prompt_tokens: tokens of the prompt, 0 if not stated.
    :param last_event: id of the last event that the caller has of an earlier stream.
    :param body_digest: of the body, computed as it arrived.
    :param arrived: time of arrival on :func:`wrenloft_core.read_clock`.
    :param held: what this node holds for the request.
    :param takes_chunks: whether the caller understands an answer whose length is not stated.
    :param segments: of its prompt that other requests may share; its last one is not among them.
    :param sendings: updated by the sender of attempts.
    """

    request_id: RequestId
    method: str
    host: str
    path: str
    target: str
    headers: Headers
    body: bytes
    body_digest: bytes
    key: str | None
    caller_timeout: float | None
    prompt_tokens: float
    last_event: int | None
    arrived: float
    held: Reservation = UNBOUNDED
    takes_chunks: bool = True
    segments: frozenset[SegmentId] = frozenset()
    sendings: Sendings = field(default_factory=Sendings, compare=False)


@dataclass(frozen=True, slots=True)
class Attempt:
    """One attempt to send a request to one endpoint.

    :param left: seconds that the endpoint may take.
    :param organisation: whose key the caller has, ``None`` if the rule needs none.
    :param version: the only version of weights on which it may run, ``None`` for any.
    :param chain: the engines that it goes through, empty if the endpoint alone suffices.
    :param urgency: the order in which an engine takes requests into its batch; 0 goes first.
    """

    request: CallerRequest
    endpoint: Endpoint
    left: float
    organisation: OrganisationName | None
    version: int | None
    last_event: int | None
    chain: tuple[ChainStage, ...] = ()
    urgency: int = 0


@dataclass(frozen=True, slots=True)
class NotSent:
    """No byte of the request left this host.

    :param reason: may be told to the caller.
    :param detail: for logs.
    """

    reason: str
    detail: str = ""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The endpoint stated that the request did not run.

    :param misdirected: whether the endpoint, or its version, is not the one that was addressed.
    :param address: of the engine of a chain at which it failed, ``None`` for the first.
    :param named_limit: the rate limit that the endpoint named, ``None`` if it named none.
    :param notice: what the endpoint said of itself.
    """

    reason: str
    misdirected: bool
    load: HeaderLoad | MalformedLoad | None = None
    address: str | None = None
    named_limit: AdvertisedLimit | None = None
    notice: EndpointNotice = NO_NOTICE


@dataclass(frozen=True, slots=True)
class Lost:
    """The request was sent, and it is unknown whether it ran.

    :param reason: may be told to the caller.
    :param at_fault: whether the endpoint counts as failed.
    :param silent: whether it was detected by a timeout, and so perhaps long after the failure.
    :param detail: for logs.
    """

    reason: str
    at_fault: bool = True
    silent: bool = False
    detail: str = ""


class ReplyBrokenError(Exception):
    """An answer ended before it was complete.

    Its text may be told to the caller.

    :ivar detail: for logs.
    """

    def __init__(self, reason: str, detail: str = "") -> None:
        super().__init__(reason)
        self.detail = detail


class Reply(Protocol):
    """The head of an endpoint's answer, with its body still to be read.

    ``genuine`` is whether it is the endpoint's answer to this request, ``closing`` whether the
    endpoint closes the connection after it, and ``framed`` whether its end is stated; otherwise it
    ends with the connection.
    """

    status: int
    headers: Headers
    load: HeaderLoad | MalformedLoad | None
    named_limit: AdvertisedLimit | None
    notice: EndpointNotice
    genuine: bool
    is_stream: bool
    closing: bool
    framed: bool

    async def read_whole(self) -> bytes:
        """Return the body.

        :raises ReplyBrokenError: if it ended early.
        """

    async def read_some(self) -> bytes:
        """Return the next bytes, empty at the end.

        :raises ReplyBrokenError: if it ended early.
        """

    async def close(self, *, reusable: bool) -> None:
        """Release the connection for reuse, or close it, which ends the work at the endpoint."""


OpenAttempt = Callable[[Attempt], Awaitable[Reply | NotSent | Rejected | Lost]]


class AnswerSink(Protocol):
    """A caller's connection, on which one answer is due."""

    async def send_whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""

    async def begin(self, status: int, headers: Headers) -> None:
        """Send the head of a streamed answer."""

    async def write(self, data: bytes) -> None:
        """Send bytes of a streamed answer."""

    async def end(self) -> None:
        """End a streamed answer as complete."""

    def abort(self) -> None:
        """Abort a streamed answer, so that it can't be taken for complete."""
