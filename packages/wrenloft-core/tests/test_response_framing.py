"""Tests of the checks of responses by RFC 9110 and RFC 9112."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from wrenloft_core._response_framing import (
    MAX_CHUNK_LINE_BYTES,
    MAX_HEAD_BYTES,
    MAX_TRAILER_BYTES,
    InvalidReason,
    ResponseScanner,
    Scanned,
)

OK = b"HTTP/1.1 200 OK\r\n"
LENGTH = b"Content-Length: 2\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"
BODY = b"\r\nok"
NO_TOKEN = b'\x00\x01\t\x7f\xff "(),/;<=>?@[\\]{}'


def _scan(data: bytes, *, bodiless: bool = False, step: int = 0) -> Scanned:
    """Scan data in pieces of ``step`` bytes, all at once if 0."""
    scanner = ResponseScanner()
    scanner.expect(bodiless=bodiless)
    step = step or max(1, len(data))
    valid = behind = b""
    for start in range(0, len(data), step):
        piece = data[start : start + step]
        if not scanner.is_expecting:
            behind += piece
            continue
        scanned = scanner.feed(piece)
        valid += scanned.valid
        behind += scanned.behind
        if scanned.invalid is not None:
            return Scanned(valid, behind, scanned.invalid)
    return Scanned(valid, behind)


VALID = {
    "length": OK + LENGTH + BODY,
    "zero length": OK + b"Content-Length: 0\r\n\r\n",
    "leading zeros": OK + b"Content-Length: 0002\r\n" + BODY,
    "chunks": OK + CHUNKED + b"\r\n2\r\nok\r\n1\r\n!\r\n0\r\n\r\n",
    "chunk extensions": OK + CHUNKED + b'\r\n2;a=b;c="d e"\r\nok\r\n00;x\r\n\r\n',
    "trailers": OK + CHUNKED + b"\r\n2\r\nok\r\n0\r\nX-T: 1\r\nY: \r\n\r\n",
    "coding in capitals": OK + b"transfer-encoding:CHUNKED\r\n\r\n0\r\n\r\n",
    "no reason": b"HTTP/1.1 200\r\n" + LENGTH + BODY,
    "empty reason": b"HTTP/1.1 200 \r\n" + LENGTH + BODY,
    "reason above ASCII": b"HTTP/1.1 200 \xc3\xa9\xff\t.\r\n" + LENGTH + BODY,
    "status 599": b"HTTP/1.1 599 Odd\r\n" + LENGTH + BODY,
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n" + LENGTH + BODY,
    "line feeds only": OK.replace(b"\r", b"") + b"Content-Length: 2\n\nok",
    "every byte of a name": OK + b"!#$%&'*+-.^_`|~09azAZ: 1\r\n" + LENGTH + BODY,
    "every byte of a value": (
        OK + b"X: \t" + bytes([*range(0x20, 0x7F), *range(0x80, 0x100)]) + b"\r\n" + LENGTH + BODY
    ),
    "empty value": OK + b"X:\r\n" + LENGTH + BODY,
    "no content": b"HTTP/1.1 204 No Content\r\n\r\n",
    "not modified with a length": b"HTTP/1.1 304 Not Modified\r\n" + LENGTH + b"\r\n",
}

HEAD_REASONS: dict[str, tuple[bytes, InvalidReason]] = {
    **{
        f"status {status}": (
            f"HTTP/1.1 {status} Odd\r\n".encode() + LENGTH + BODY,
            InvalidReason.STATUS_LINE,
        )
        for status in ("000", "099", "600", "999", "20", "2000", "+20", "2 0", "2x0", " 200", "")
    },
    **{
        f"version {version}": (version + b" 200 OK\r\n" + LENGTH + BODY, InvalidReason.STATUS_LINE)
        for version in (b"HTTP/2.0", b"HTTP/0.9", b"HTTP/1.2", b"http/1.1", b"HTTP/11", b"ICY", b"")
    },
    **{
        f"name {name!r}": (OK + name + b": 1\r\n" + LENGTH + BODY, InvalidReason.FIELD_LINE)
        for name in (b"", b"X Y", b" X", *(b"X%c" % each for each in NO_TOKEN))
    },
    **{
        f"value {value!r}": (
            OK + b"X: " + value + b"\r\n" + LENGTH + BODY,
            InvalidReason.FIELD_LINE,
        )
        for value in (b"\x00", b"\x01", b"\x1f", b"\x7f", b"a\rb", b"a\r\n b", b"a\n\tb")
    },
    "line without a colon": (OK + b"odd\r\n" + LENGTH + BODY, InvalidReason.FIELD_LINE),
    "control byte in the reason": (b"HTTP/1.1 200 \x01\r\n\r\n", InvalidReason.STATUS_LINE),
    "switched protocol": (b"HTTP/1.1 101 Odd\r\n\r\n", InvalidReason.SWITCHED),
    "no answer at all": (b"\x16\x03\x01\x00\xa5", InvalidReason.STATUS_LINE),
}

FRAMING = {
    "two lengths": LENGTH + LENGTH,
    "two different lengths": LENGTH + b"Content-Length: 3\r\n",
    "list of lengths": b"Content-Length: 2, 2\r\n",
    "length and coding": LENGTH + CHUNKED,
    "coding and length": CHUNKED + LENGTH,
    "two codings": CHUNKED + CHUNKED,
    **{
        f"length {text!r}": b"Content-Length: " + text + b"\r\n"
        for text in (b"", b"-2", b"+2", b"0x2", b"2 2", b"2.0", b"1" * 20, b"\xb2")
    },
    **{
        f"coding {text!r}": b"Transfer-Encoding: " + text + b"\r\n"
        for text in (b"gzip", b"gzip, chunked", b"chunked, identity", b"xchunked", b"identity", b"")
    },
}

CHUNKS = {
    **{
        f"size {size!r}": size + b"\r\nok\r\n"
        for size in (b"", b"-2", b"+2", b"0x2", b"2\x00", b"g", b" 2", b"2_0", b"f" * 17, b"2;\x01")
    },
    "size without a carriage return": b"2\nok\r\n",
    "too long for its size": b"2\r\nokk\r\n",
    "too short for its size": b"3\r\nok\r\n0\r\n\r\n",
    "end without a carriage return": b"2\r\nok\n0\r\n\r\n",
}


@pytest.mark.parametrize("step", [0, 1, 3])
@pytest.mark.parametrize("data", VALID.values(), ids=VALID)
def test_valid_response_goes_on_byte_for_byte(data: bytes, step: int) -> None:
    """Guards against a check that changes a response or loses its end."""
    assert _scan(data + b"\x00next", step=step) == Scanned(data, b"\x00next")


@pytest.mark.parametrize("step", [0, 1])
@pytest.mark.parametrize(("data", "reason"), HEAD_REASONS.values(), ids=HEAD_REASONS)
def test_invalid_head_is_refused_whole(data: bytes, reason: InvalidReason, step: int) -> None:
    """Guards against heads that the library's parser lets through."""
    scanned = _scan(data, step=step)
    assert scanned.invalid is not None
    assert (scanned.invalid.reason, scanned.valid) == (reason, b"")


@pytest.mark.parametrize("fields", FRAMING.values(), ids=FRAMING)
def test_ambiguous_framing_is_refused(fields: bytes) -> None:
    """Guards against a body whose end, or coding, others may read otherwise."""
    scanned = _scan(OK + fields + BODY)
    assert scanned.invalid is not None
    assert (scanned.invalid.reason, scanned.valid) == (InvalidReason.FRAMING, b"")


def test_coding_in_http_1_0_is_refused() -> None:
    """Guards against chunks of a version that has none."""
    scanned = _scan(b"HTTP/1.0 200 OK\r\n" + CHUNKED + b"\r\n0\r\n\r\n")
    assert scanned.invalid is not None
    assert scanned.invalid.reason is InvalidReason.FRAMING


@pytest.mark.parametrize("step", [0, 1])
@pytest.mark.parametrize("chunk", CHUNKS.values(), ids=CHUNKS)
def test_invalid_chunk_ends_the_body_where_it_was_valid(chunk: bytes, step: int) -> None:
    """Guards against a cut body that looks complete."""
    begun = OK + CHUNKED + b"\r\n2\r\nok\r\n"
    scanned = _scan(begun + chunk, step=step)
    assert scanned.invalid is not None
    assert scanned.invalid.reason is InvalidReason.CHUNK
    assert scanned.valid.startswith(begun)


@pytest.mark.parametrize("line", [b"X Y: 1\r\n", b"X: \x01\r\n", b"odd\r\n"])
def test_invalid_trailer_leaves_the_body_incomplete(line: bytes) -> None:
    begun = OK + CHUNKED + b"\r\n2\r\nok\r\n0\r\n"
    scanned = _scan(begun + line + b"\r\n")
    assert scanned.invalid is not None
    assert (scanned.invalid.reason, scanned.valid) == (InvalidReason.TRAILER, begun)


@pytest.mark.parametrize("step", [0, 1, 7])
def test_interim_responses_and_empty_lines_are_left_out(step: int) -> None:
    """Interim responses have no body, whatever they state."""
    interim = (
        b"\r\n\r\nHTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n" + LENGTH + b"\r\n"
    )
    assert _scan(interim + OK + LENGTH + BODY, step=step) == Scanned(OK + LENGTH + BODY)


def test_response_to_a_head_request_has_no_body() -> None:
    assert _scan(OK + LENGTH + b"\r\nnext", bodiless=True) == Scanned(
        OK + LENGTH + b"\r\n", b"next"
    )


def test_body_without_a_length_takes_all() -> None:
    data = OK + b"\r\n" + 3 * (OK + LENGTH + BODY)
    assert _scan(data) == Scanned(data)


def test_extra_response_is_followed_by_another() -> None:
    """Guards against the loss of the response that is waited for behind an extra one."""
    scanner = ResponseScanner()
    scanner.expect(bodiless=False)
    extra, own = OK + LENGTH + b"\r\nno", OK + CHUNKED + b"\r\n2\r\nok\r\n0\r\n\r\n"
    assert scanner.feed(extra + own) == Scanned(extra, own)
    scanner.expect_another()
    assert scanner.feed(own) == Scanned(own)
    scanner.expect(bodiless=False)
    assert scanner.feed(extra[:-1]) == Scanned(extra[:-1])
    scanner.expect_another()
    assert scanner.feed(extra[-1:] + own) == Scanned(extra[-1:] + own)
    assert not scanner.is_expecting


ENDLESS: dict[str, tuple[bytes, bytes, InvalidReason, int]] = {
    "interim responses": (
        b"",
        b"HTTP/1.1 103 Early Hints\r\n\r\n",
        InvalidReason.HEAD_TOO_LONG,
        MAX_HEAD_BYTES,
    ),
    "empty lines": (b"", b"\r\n", InvalidReason.HEAD_TOO_LONG, MAX_HEAD_BYTES),
    "status line": (b"HTTP/1.1 200 ", b"x", InvalidReason.HEAD_TOO_LONG, MAX_HEAD_BYTES),
    "field lines": (OK, b"X: 1\r\n", InvalidReason.HEAD_TOO_LONG, MAX_HEAD_BYTES),
    "field name": (OK, b"x", InvalidReason.HEAD_TOO_LONG, MAX_HEAD_BYTES),
    "field value": (OK + b"X:", b"x", InvalidReason.HEAD_TOO_LONG, MAX_HEAD_BYTES),
    "chunk size": (OK + CHUNKED + b"\r\n", b"0", InvalidReason.CHUNK, MAX_CHUNK_LINE_BYTES),
    "chunk extension": (
        OK + CHUNKED + b"\r\n1;",
        b"x",
        InvalidReason.CHUNK,
        MAX_CHUNK_LINE_BYTES,
    ),
    "trailers": (
        OK + CHUNKED + b"\r\n0\r\n",
        b"X: 1\r\n",
        InvalidReason.TRAILER,
        MAX_TRAILER_BYTES,
    ),
}


@pytest.mark.parametrize("step", [1, 1000])
@pytest.mark.parametrize(("start", "piece", "reason", "bound"), ENDLESS.values(), ids=ENDLESS)
def test_bytes_without_end_are_bounded(
    start: bytes, piece: bytes, reason: InvalidReason, bound: int, step: int
) -> None:
    """Guards against a part that is held, or read on, without end."""
    scanner = ResponseScanner()
    scanner.expect(bodiless=False)
    assert scanner.feed(start).invalid is None
    sent = 0
    while (scanned := scanner.feed(piece * step)).invalid is None:
        sent += len(piece) * step
        assert sent <= bound
    assert scanned.invalid.reason is reason
    assert len(scanned.invalid.excerpt) <= 80


TOKENS = [
    b"HTTP/1.1 ",
    b"200",
    b" OK",
    b"\r\n",
    b"\n",
    b"\r",
    b"X: 1",
    b":",
    b" ",
    b"0",
    b"2",
    b"ok",
]
TOKENS += [LENGTH, CHUNKED, OK, b"\x00", b"\xff", b"HTTP/1.1 103 E\r\n\r\n", b";", b"a"]


@given(st.lists(st.sampled_from(TOKENS), max_size=20), st.lists(st.integers(1, 40), max_size=20))
def test_result_does_not_depend_on_how_bytes_arrive(tokens: list[bytes], sizes: list[int]) -> None:
    """Guards against invalid bytes that pass when they arrive in several parts."""
    data = b"".join(tokens)
    whole = _scan(data)
    scanner = ResponseScanner()
    scanner.expect(bodiless=False)
    valid = behind = b""
    invalid = None
    rest = data
    for size in [*sizes, max(1, len(data))]:
        piece, rest = rest[:size], rest[size:]
        if invalid is not None or not piece:
            break
        if not scanner.is_expecting:
            behind += piece
            continue
        scanned = scanner.feed(piece)
        valid, behind, invalid = valid + scanned.valid, behind + scanned.behind, scanned.invalid
    assert (invalid is None) == (whole.invalid is None)
    assert valid == whole.valid
    if invalid is None:
        assert behind == whole.behind
