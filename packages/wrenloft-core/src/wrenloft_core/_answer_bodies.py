"""Bodies of answers of other processes."""

import json
from typing import Any

from aiohttp import ClientResponse

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

    :param max_bytes: not checked yet.
    :raises ClientError: if it ends early.
    """
    return await response.read()


async def read_json(response: ClientResponse, max_bytes: int) -> Any:
    """Read a whole body as JSON.

    :raises ValueError: if it is none.
    :raises ClientError: if it ends early.
    """
    data = await read_body(response, max_bytes)
    try:
        return json.loads(data)
    except RecursionError as error:
        raise ValueError("JSON is nested too deeply") from error
