"""Names of the errors of calls to other processes."""

from aiohttp import (
    ClientConnectorError,
    ClientPayloadError,
    ClientResponseError,
    ServerDisconnectedError,
)

from wrenloft_core._checked_connections import InvalidResponseError

_MAX_DETAIL_LENGTH = 300
"""Characters of an error that are logged; the library quotes up to a segment."""


def name_client_error(error: Exception) -> str:
    """Return what went wrong with a call, for those who may know nothing of the peer.

    The texts of the errors themselves have its address, and what it sent.
    """
    if isinstance(error, InvalidResponseError):
        return error.reason.value
    if isinstance(error, TimeoutError):
        return "timed out"
    if isinstance(error, ClientConnectorError):
        return "no connection"
    if isinstance(error, ServerDisconnectedError):
        return "connection closed"
    if isinstance(error, ClientResponseError):
        return "invalid answer"
    if isinstance(error, ClientPayloadError):
        return "answer incomplete"
    if isinstance(error, OSError):
        return "connection lost"
    return "call failed"


def describe_client_error(error: Exception) -> str:
    """Return an error with its text, bounded, for logs."""
    return repr(error)[:_MAX_DETAIL_LENGTH]
