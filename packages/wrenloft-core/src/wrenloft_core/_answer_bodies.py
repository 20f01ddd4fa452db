"""Bodies of answers of other processes, read within a bound."""

import json
from typing import Any

from aiohttp import ClientResponse

from wrenloft_core._checked_connections import InvalidResponseError
from wrenloft_core._response_framing import InvalidReason, InvalidResponse

DECODE_ERRORS = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
"""Errors that documents of other writers cause where they are decoded: missing fields, wrong types,
undecodable bytes, numbers out of range and unbounded nesting."""


async def read_body(response: ClientResponse, max_bytes: int) -> bytes:
    """Read a whole body.

    The library's own method holds whatever comes: a body without an end fills gigabytes within the
    timeout of a call.

    :raises InvalidResponseError: if it is longer than ``max_bytes``.
    :raises ClientError: if it ends early.
    """
    parts = []
    size = 0
    while part := await response.content.readany():
        size += len(part)
        if size > max_bytes:
            response.close()
            raise InvalidResponseError(InvalidResponse(InvalidReason.BODY_TOO_LONG))
        parts.append(part)
    return b"".join(parts)


async def read_json(response: ClientResponse, max_bytes: int) -> Any:
    """Read a whole body as JSON.

    :raises ValueError: if it is none.
    :raises InvalidResponseError: if it is longer than ``max_bytes``.
    :raises ClientError: if it ends early.
    """
    data = await read_body(response, max_bytes)
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError("JSON is nested too deeply") from error
