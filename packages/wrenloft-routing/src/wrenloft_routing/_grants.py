"""Grant requests to an endpoint's limiter before a request is sent to the endpoint."""

import logging
from collections.abc import Sequence
from dataclasses import asdict
from random import Random
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, web
from prometheus_client import Counter

from wrenloft_core import NodeId, PlaceName, note, read_clock
from wrenloft_routing._endpoints import Denial, Endpoints, EndpointState
from wrenloft_routing._frames import decode_limit, encode_limit
from wrenloft_routing._limiter import LIMITER_RETRY_SECONDS, Grant, GrantRequest, Limiter
from wrenloft_routing._members import Members

_LOG = logging.getLogger(__name__)

GRANTS = Counter("wrenloft_grants", "Questions for a limited endpoint by result", ["result"])

GRANTS_PATH = "/grants"

GRANT_TIMEOUT_SECONDS = 0.1
"""Longest wait for a limiter's answer; one in another region answers in a tenth of this."""


class GrantClient:
    """Requests a grant for each request to an endpoint with a rate limit."""

    def __init__(
        self,
        endpoints: Endpoints,
        members: Members,
        limiter: Limiter,
        session: ClientSession,
        random: Random,
    ) -> None:
        self._endpoints = endpoints
        self._members = members
        self._limiter = limiter
        self._session = session
        self._random = random

    async def acquire(self, states: Sequence[EndpointState], urgency: int) -> bool:
        """Return whether a request may be sent through all of these endpoints now.

        An endpoint that is denied is skipped until its limiter may grant again.
        """
        for state in states:
            limit = self._endpoints.limits.find(state.endpoint.incarnation)
            if limit is None or limit.rate is None:
                continue
            endpoint = state.endpoint
            own = self._members.own.node_id
            request = GrantRequest(endpoint.incarnation, endpoint.place, limit, urgency, own)
            grant = await self._request_grant(request)
            GRANTS.labels("granted" if grant.granted else "denied").inc()
            if not grant.granted:
                now = read_clock()
                denial = Denial(urgency, now + grant.ask_again, now + grant.turn)
                self._endpoints.record_denial(state, denial)
                return False
        return True

    async def _request_grant(self, request: GrantRequest) -> Grant:
        node = self._limiter.find_limiter(request.incarnation, request.place)
        member = self._members.get(node)
        if member is None or member is self._members.own:
            return self._limiter.grant(request)
        try:
            async with self._session.post(
                f"http://{member.internal}{GRANTS_PATH}",
                json=encode_grant_request(request),
                timeout=ClientTimeout(total=GRANT_TIMEOUT_SECONDS),
            ) as response:
                response.raise_for_status()
                return decode_grant(await response.json())
        except (ClientError, OSError, TimeoutError, ValueError) as error:
            GRANTS.labels("unanswered").inc()
            reason = str(error) or type(error).__name__
            note(_LOG, "limiter did not answer", node=node, reason=reason)
            pause = LIMITER_RETRY_SECONDS * self._random.uniform(1.0, 2.0)
            return Grant(False, pause, pause)


class GrantRoutes:
    """Answers the grant requests of other nodes."""

    def __init__(self, limiter: Limiter) -> None:
        self._limiter = limiter

    def routes(self) -> list[web.RouteDef]:
        """Return the routes for other entry nodes."""
        return [web.post(GRANTS_PATH, self._grant)]

    async def _grant(self, request: web.Request) -> web.Response:
        try:
            decoded = decode_grant_request(await request.json())
        except ValueError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        return web.json_response(asdict(self._limiter.grant(decoded)))


def encode_grant_request(request: GrantRequest) -> list[Any]:
    """Encode a grant request as a row."""
    limit = encode_limit(request.incarnation, request.limit)
    return [limit, request.place, request.urgency, request.node]


def decode_grant_request(row: Any) -> GrantRequest:
    """Decode a grant request.

    :raises ValueError: if the row is malformed.
    """
    try:
        limit_row, place, urgency, node = row
        incarnation, limit = decode_limit(limit_row)
        return GrantRequest(
            incarnation, PlaceName(str(place)), limit, int(urgency), NodeId(str(node))
        )
    except TypeError as error:
        raise ValueError(f"no question: {error!r}") from error


def decode_grant(fields: Any) -> Grant:
    """Decode the answer to a grant request.

    :raises ValueError: if a field is missing or malformed.
    """
    try:
        granted = bool(fields["granted"])
        return Grant(granted, float(fields["ask_again"]), float(fields["turn"]))
    except (KeyError, TypeError) as error:
        raise ValueError(f"malformed answer to grant request: {error!r}") from error
