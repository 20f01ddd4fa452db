"""Checks of HTTP/1.1 responses as they arrive, by RFC 9110 and RFC 9112.

The client library's parser is lenient: it accepts status codes, versions, field values and transfer
codings that the RFCs don't allow, and any number of interim responses. What passes here is valid,
and can be passed on.
"""

import re
from dataclasses import dataclass
from enum import Enum

MAX_HEAD_BYTES = 262144
"""Longest head of a response, with the interim responses and empty lines before it. A load header
of 10,000 figures takes 110 kB, and an interim response each second for an hour 100 kB."""

MAX_CHUNK_LINE_BYTES = 4096
"""Longest line with the size of a chunk and its extensions, which nobody reads."""

MAX_TRAILER_BYTES = 16384
"""Longest trailer section; trailers are not passed on."""

_EXCERPT_BYTES = 80
"""Bytes of an invalid response that are logged."""

_TEXT = rb"[\t\x20-\x7e\x80-\xff]*+"
_FIELD_LINE = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++:" + _TEXT + rb"\r?\n"
_STATUS_LINE = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: " + _TEXT + rb")?\r?\n")
_FIELD_LINES = re.compile(rb"(?:" + _FIELD_LINE + rb")*+")
_FIELD_SECTION = re.compile(rb"(?:" + _FIELD_LINE + rb")*+\r?\n")
_EMPTY_LINES = re.compile(rb"[\r\n]*+")
_SECTION_END = re.compile(rb"\n\r?\n")
_FRAMING_FIELD = re.compile(
    rb"^(transfer-encoding|content-length):[ \t]*(.*?)[ \t]*\r?$", re.IGNORECASE | re.MULTILINE
)
_LENGTH = re.compile(rb"0*[0-9]{1,18}")
_CHUNK_LINE = re.compile(rb"0*([0-9A-Fa-f]{1,15})[ \t]*(?:;" + _TEXT + rb")?\r\n")

_VERSION_PREFIX = b"HTTP/1."
_LINE_END = b"\r\n"
_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL_STATUS = 200
_BODILESS_STATUSES = frozenset({204, 304})


class InvalidReason(Enum):
    """Why a response is invalid."""

    STATUS_LINE = "invalid status line"
    FIELD_LINE = "invalid header line"
    SWITCHED = "protocol switched without a request for it"
    FRAMING = "invalid framing"
    CHUNK = "invalid chunk"
    TRAILER = "invalid trailer"
    HEAD_TOO_LONG = "head too long"
    BODY_TOO_LONG = "body too long"
    OVERRUN = "too much behind an extra response"


@dataclass(frozen=True, slots=True)
class InvalidResponse:
    """What is invalid about a response.

    :param excerpt: the first of the invalid bytes. They are for logs only, not for callers.
    """

    reason: InvalidReason
    excerpt: bytes = b""


@dataclass(frozen=True, slots=True)
class Scanned:
    """What a scanner found in the bytes that arrived.

    :param valid: bytes to pass to the parser.
    :param behind: bytes behind the end of the response.
    :param invalid: why the response can't be read on, behind the valid bytes.
    """

    valid: bytes
    behind: bytes = b""
    invalid: InvalidResponse | None = None


class _Part(Enum):
    """The part of a response that comes next."""

    NONE = "none"
    HEAD = "head"
    SIZED_BODY = "sized body"
    CHUNK_LINE = "chunk line"
    CHUNK = "chunk"
    CHUNK_END = "chunk end"
    TRAILERS = "trailers"
    UNSIZED_BODY = "body that ends with the connection"


class _InvalidError(Exception):
    """The bytes at the scanner's position are invalid."""

    def __init__(self, reason: InvalidReason, excerpt: bytes = b"") -> None:
        self.invalid = InvalidResponse(reason, excerpt[:_EXCERPT_BYTES])


class ResponseScanner:
    """Finds the end of each response on a connection, and what is invalid before it.

    Interim responses are left out, as nobody waits for them. Bodies are bounded by those who read
    them.
    """

    def __init__(self) -> None:
        self._part = _Part.NONE
        self._bodiless = False
        self._another = False
        self._held = bytearray()  # of a head, line or trailer section that is not whole
        self._checked = 0  # bytes of a held head that are known to be valid
        self._head_bytes = 0
        self._left = 0  # bytes of a sized body or chunk

    @property
    def is_expecting(self) -> bool:
        """Whether a response is expected, or has not ended."""
        return self._part is not _Part.NONE

    def expect(self, *, bodiless: bool) -> None:
        """Expect the response to a request.

        :param bodiless: whether it has no body, whatever its head says, as after ``HEAD``.
        """
        self._bodiless = bodiless
        self._another = False
        self._held.clear()
        self._begin_head()

    def expect_another(self) -> None:
        """Expect another response behind this one, which belongs to an earlier request."""
        if self.is_expecting:
            self._another = True
        else:
            self._begin_head()

    def feed(self, data: bytes) -> Scanned:
        """Scan the next bytes; behind the end of a response none are read."""
        if self._held and self._part is not _Part.HEAD:
            data = bytes(self._held) + data
            self._held.clear()
        valid: list[bytes] = []
        position = 0
        try:
            while position < len(data) and self.is_expecting:
                if self._part is _Part.HEAD:
                    position = self._scan_head(data, position, valid)
                    continue
                end = self._scan_body(data, position)
                if end is None:
                    self._held += data[position:]
                    return Scanned(b"".join(valid))
                valid.append(data[position:end])
                position = end
        except _InvalidError as error:
            return Scanned(b"".join(valid), invalid=error.invalid)
        return Scanned(b"".join(valid), data[position:])

    def _scan_head(self, data: bytes, position: int, valid: list[bytes]) -> int:
        """Scan to the end of a head or of the data; return the position behind it."""
        held = self._held
        if not held:
            start = _skip_empty_lines(data, position)
            self._count_head(start - position)
            position = start
            found = _SECTION_END.search(data, position)
            if found is not None:
                self._count_head(found.end() - position)
                self._take_head(data[position : found.end()], valid)
                return found.end()
        known = len(held)
        held += data[position:]
        found = _SECTION_END.search(held, max(0, known - len(_LINE_END)))
        if found is None:
            self._count_head(len(held) - known)
            self._check_partial_head()
            return len(data)
        end = found.end()
        self._count_head(end - known)
        head = bytes(held[:end])
        held.clear()
        self._checked = 0
        self._take_head(head, valid)
        return position + end - known

    def _take_head(self, head: bytes, valid: list[bytes]) -> None:
        """Pass a head on, unless it is that of an interim response."""
        if self._begin_body(head):
            valid.append(head)

    def _count_head(self, size: int) -> None:
        self._head_bytes += size
        if self._head_bytes > MAX_HEAD_BYTES:
            raise _InvalidError(InvalidReason.HEAD_TOO_LONG, bytes(self._held[:_EXCERPT_BYTES]))

    def _check_partial_head(self) -> None:
        """Check the lines that are whole, so that an invalid head is known before its end."""
        held = self._held
        if not _VERSION_PREFIX.startswith(held[: len(_VERSION_PREFIX)]):
            raise _InvalidError(InvalidReason.STATUS_LINE, bytes(held[:_EXCERPT_BYTES]))
        end = held.rfind(b"\n") + 1
        if not end:
            return
        if not self._checked:
            status_line = _STATUS_LINE.match(held)
            if status_line is None:
                raise _InvalidError(InvalidReason.STATUS_LINE, bytes(held[:_EXCERPT_BYTES]))
            self._checked = status_line.end()
        self._check_fields(held, self._checked, end)
        self._checked = end

    def _check_fields(self, data: bytes | bytearray, start: int, end: int) -> None:
        found = _FIELD_LINES.match(data, start, end)
        assert found is not None  # it matches no line as well
        if found.end() != end:
            raise _InvalidError(InvalidReason.FIELD_LINE, bytes(data[found.end() : end]))

    def _begin_body(self, head: bytes) -> bool:
        """Check a whole head; return whether it is that of the final response."""
        status_line = _STATUS_LINE.match(head)
        if status_line is None:
            raise _InvalidError(InvalidReason.STATUS_LINE, head)
        if _FIELD_SECTION.fullmatch(head, status_line.end()) is None:
            end = head.rstrip(_LINE_END)
            self._check_fields(head, status_line.end(), len(end))
            raise _InvalidError(InvalidReason.FIELD_LINE, head[status_line.end() :])
        status = int(status_line[2])
        if status == _SWITCHING_PROTOCOLS:
            raise _InvalidError(InvalidReason.SWITCHED, head)
        if status < _FIRST_FINAL_STATUS:
            return False
        if self._bodiless or status in _BODILESS_STATUSES:
            self._end_response()
        else:
            self._choose_framing(head, status_line)
        return True

    def _choose_framing(self, head: bytes, status_line: re.Match[bytes]) -> None:
        """Choose how the end of the body is found (RFC 9112, section 6.3).

        A transfer coding that isn't decoded here would reach callers as the body itself, and with
        both a coding and a length two readers may see different ends.
        """
        fields = [
            (match[1].lower(), match[2])
            for match in _FRAMING_FIELD.finditer(head, status_line.end())
        ]
        if not fields:
            self._part = _Part.UNSIZED_BODY
            return
        name, value = fields[0]
        if len(fields) > 1:
            raise _InvalidError(InvalidReason.FRAMING, name + b" and " + fields[1][0])
        if name == b"transfer-encoding":
            if value.lower() != b"chunked" or status_line[1] == b"0":
                raise _InvalidError(InvalidReason.FRAMING, name + b": " + value)
            self._part = _Part.CHUNK_LINE
            return
        if _LENGTH.fullmatch(value) is None:
            raise _InvalidError(InvalidReason.FRAMING, name + b": " + value)
        self._left = int(value)
        self._part = _Part.SIZED_BODY
        if not self._left:
            self._end_response()

    def _scan_body(self, data: bytes, position: int) -> int | None:
        """Scan one part of a body; return the position behind it, ``None`` if it is not whole."""
        if self._part is _Part.UNSIZED_BODY:
            return len(data)
        if self._part is _Part.CHUNK_LINE:
            return self._scan_chunk_line(data, position)
        if self._part is _Part.CHUNK_END:
            return self._scan_chunk_end(data, position)
        if self._part is _Part.TRAILERS:
            return self._scan_trailers(data, position)
        end = min(len(data), position + self._left)
        self._left -= end - position
        if not self._left and self._part is _Part.CHUNK:
            self._part = _Part.CHUNK_END
        elif not self._left:
            self._end_response()
        return end

    def _scan_chunk_end(self, data: bytes, position: int) -> int | None:
        found = data[position : position + len(_LINE_END)]
        if not _LINE_END.startswith(found):
            raise _InvalidError(InvalidReason.CHUNK, found)
        if len(found) < len(_LINE_END):
            return None
        self._part = _Part.CHUNK_LINE
        return position + len(_LINE_END)

    def _scan_chunk_line(self, data: bytes, position: int) -> int | None:
        end = data.find(b"\n", position, position + MAX_CHUNK_LINE_BYTES) + 1
        if not end:
            if len(data) - position >= MAX_CHUNK_LINE_BYTES:
                raise _InvalidError(InvalidReason.CHUNK, data[position:])
            return None
        line = _CHUNK_LINE.fullmatch(data, position, end)
        if line is None:
            raise _InvalidError(InvalidReason.CHUNK, data[position:end])
        self._left = int(line[1], 16)
        self._part = _Part.CHUNK if self._left else _Part.TRAILERS
        return end

    def _scan_trailers(self, data: bytes, position: int) -> int | None:
        if data.startswith(_LINE_END, position):
            end = position + len(_LINE_END)
        else:
            found = _SECTION_END.search(data, position, position + MAX_TRAILER_BYTES)
            if found is None:
                if len(data) - position >= MAX_TRAILER_BYTES:
                    raise _InvalidError(InvalidReason.TRAILER, data[position:])
                return None
            end = found.end()
        if _FIELD_SECTION.fullmatch(data, position, end) is None:
            raise _InvalidError(InvalidReason.TRAILER, data[position:end])
        self._end_response()
        return end

    def _begin_head(self) -> None:
        self._part = _Part.HEAD
        self._checked = self._head_bytes = 0

    def _end_response(self) -> None:
        if self._another:
            self._another = False
            self._begin_head()
        else:
            self._part = _Part.NONE


def _skip_empty_lines(data: bytes, position: int) -> int:
    found = _EMPTY_LINES.match(data, position)
    assert found is not None  # it matches no line as well
    return found.end()
