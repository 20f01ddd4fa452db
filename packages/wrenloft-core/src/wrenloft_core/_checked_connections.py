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
    """A connection whose parser gets valid responses only.

    :param max_body_bytes: longest body, ``None`` if it is not bounded.
    """

    def __init__(self, loop: Any, max_body_bytes: int | None = None) -> None:
        super().__init__(loop)
        self._scanner = ResponseScanner(max_body_bytes)
        self._body: StreamReader | None = None
        self._error: InvalidResponseError | None = None

    def set_response_params(self, *, skip_payload: bool = False, **params: Any) -> None:
        self._scanner.expect(bodiless=skip_payload)
        super().set_response_params(skip_payload=skip_payload, **params)

    def expect_another(self) -> None:
        """Go on with the response behind the one that was read last, an extra one."""
        self._scanner.expect_another()

    def data_received(self, data: bytes) -> None:
        if self._error is not None:
            return
        scanned = self._scanner.feed(data)
        received = scanned.valid + scanned.behind
        if received:
            super().data_received(received)
        if scanned.invalid is not None:
            self._reject(scanned.invalid)

    def _reject(self, invalid: InvalidResponse) -> None:
        """End a response that can't be read on, and the connection."""
        INVALID_RESPONSES.labels(invalid.reason.value).inc()
        self._error = error = InvalidResponseError(invalid)
        if self._body is not None and not self._body.is_eof():
            self._body.set_exception(error)
        self.set_exception(error)
        self.close()

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        self._body = data[1]
        super().feed_data(data, size)

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        super().set_exception(self._error or exc, *cause)


class CheckedConnector(TCPConnector):
    """Opens checked connections, as many as are needed.

    :param max_body_bytes: longest body of a response, ``None`` if it is not bounded.
    :param keepalive_seconds: for which an unused connection is kept.
    """

    def __init__(
        self, *, max_body_bytes: int | None = None, keepalive_seconds: float = 15.0
    ) -> None:
        super().__init__(limit=0, keepalive_timeout=keepalive_seconds)
        # There is no public way to name the class of connections.
        factory: Any = partial(CheckedResponses, self._loop, max_body_bytes)
        self._factory = factory
