"""The HTTP session that an agent uses for everything that it asks of others."""

from aiohttp import ClientSession, ClientTimeout

from wrenloft_core import CheckedConnector

_CONNECT_SECONDS = 2.0
_KEEP_ALIVE_SECONDS = 30.0


def open_session() -> ClientSession:
    """Return a session that sends each request at most once.

    By itself the client sends a PUT or DELETE a second time when the connection breaks before
    the answer. The runner may have carried out the first: a note would be written twice. There
    is no public switch for it; the library's own test client sets the same attribute.
    """
    session = ClientSession(
        connector=CheckedConnector(keepalive_seconds=_KEEP_ALIVE_SECONDS),
        timeout=ClientTimeout(total=None, sock_connect=_CONNECT_SECONDS),
        auto_decompress=False,
    )
    session._retry_connection = False
    return session
