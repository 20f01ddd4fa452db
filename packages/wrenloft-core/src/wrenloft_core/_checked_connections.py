"""Client connections on which responses are checked before the library parses them."""

from functools import partial
from typing import Any

from aiohttp import ClientError, TCPConnector
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import StreamReader
from prometheus_client import Counter

from wrenloft_core._response_framing import InvalidReason, InvalidResponse, ResponseScanner

INVALID_RESPONSES = Counter(
    "wrenloft_invalid_responses",
    "Responses of other processes that RFC 9110 or RFC 9112 don't allow, or that are too long",
    ["reason"],
)

UNREQUESTED_BYTES = Counter(
    "wrenloft_unrequested_bytes",
    "Connections that were closed because of bytes that belong to no request",
)

_MAX_BEHIND_BYTES = 524288
"""Bytes kept behind a response whose reader has not taken it yet: two reads from a socket. The
response may be an extra one, with the response that is waited for behind it."""

_EMPTY_LINES = b"\r\n"


class InvalidResponseError(ClientError):
    """A response that can't be believed.

    :ivar reason: names the fault, and nothing of the response.
    :ivar excerpt: the first of the invalid bytes, for logs.
    """

    def __init__(self, invalid: InvalidResponse) -> None:
        super().__init__(invalid.reason.value)
        self.reason: InvalidReason = invalid.reason
        self.excerpt = invalid.excerpt

    def __repr__(self) -> str:
        return f"{type(self).__name__}({self.reason.value!r}, {self.excerpt!r})"


class CheckedResponses(ResponseHandler):
    """A connection whose parser gets valid responses only, one for each request.

    The library raises an error for the whole segment in which it finds invalid bytes, also behind
    the end of a complete response. Here these wait until the response has been taken: they may be
    the next response, if that one was an extra one, and otherwise the connection is closed.
    """

    def __init__(self, loop: Any) -> None:
        super().__init__(loop)
        self._scanner = ResponseScanner()
        self._behind = b""
        self._body: StreamReader | None = None
        self._is_overrun = False
        self._is_taken = True
        self._error: InvalidResponseError | None = None

    def set_response_params(self, *, skip_payload: bool = False, **params: Any) -> None:
        self._scanner.expect(bodiless=skip_payload)
        self._behind = b""
        super().set_response_params(skip_payload=skip_payload, **params)

    def expect_another(self) -> None:
        """Go on with the response behind the one that was read last, an extra one."""
        if self._is_overrun:
            self._reject(InvalidResponse(InvalidReason.OVERRUN))
            return
        self._scanner.expect_another()
        behind, self._behind = self._behind, b""
        if behind:
            self.data_received(behind)

    def data_received(self, data: bytes) -> None:
        if self._error is not None:
            return
        if not data:
            super().data_received(data)  # the library goes on with what it held back
            return
        if not self._scanner.is_expecting:
            self._receive_behind(data)
            return
        scanned = self._scanner.feed(data)
        # Set before the library gets the end of the response, and with it releases the connection.
        self._behind = scanned.behind.lstrip(_EMPTY_LINES)
        if scanned.valid:
            super().data_received(scanned.valid)
        if scanned.invalid is not None:
            self._reject(scanned.invalid)

    def _receive_behind(self, data: bytes) -> None:
        """Keep bytes behind a response until it is taken; behind that, no request is waiting."""
        self._behind += data if self._behind else data.lstrip(_EMPTY_LINES)
        if not self._behind:
            return
        is_too_much = len(self._behind) > _MAX_BEHIND_BYTES
        if self._body is not None and not self._body.is_eof():
            # The library holds back the rest of the response, which a close would take away.
            self._is_overrun = self._is_overrun or is_too_much
            self._behind = self._behind[:_MAX_BEHIND_BYTES]
        elif self._is_taken or is_too_much:
            UNREQUESTED_BYTES.inc()
            self.close()

    def _reject(self, invalid: InvalidResponse) -> None:
        """End a response that can't be read on, and the connection."""
        INVALID_RESPONSES.labels(invalid.reason.value).inc()
        self._error = error = InvalidResponseError(invalid)
        if self._body is not None and not self._body.is_eof():
            self._body.set_exception(error)
        self.set_exception(error)
        self.close()

    @property
    def should_close(self) -> bool:
        return super().should_close or bool(self._behind)

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        self._body = data[1]
        self._is_taken = False
        super().feed_data(data, size)

    async def read(self) -> tuple[RawResponseMessage, StreamReader]:
        message = await super().read()
        self._is_taken = True
        return message

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        super().set_exception(self._error or exc, *cause)


class CheckedConnector(TCPConnector):
    """Opens checked connections, as many as are needed.

    :param keepalive_seconds: for which an unused connection is kept.
    """

    def __init__(self, *, keepalive_seconds: float = 15.0) -> None:
        super().__init__(limit=0, keepalive_timeout=keepalive_seconds)
        # There is no public way to name the class of connections.
        factory: Any = partial(CheckedResponses, self._loop)
        self._factory = factory
