"""Grant requests to an endpoint's limiter before a request is sent to the endpoint."""

import logging
from collections.abc import Collection, Sequence
from dataclasses import asdict
from math import isfinite
from random import Random
from typing import Any

from aiohttp import ClientError, ClientSession, ClientTimeout, web
from prometheus_client import Counter

from wrenloft_core import (
    DECODE_ERRORS,
    IncarnationId,
    NodeId,
    PlaceName,
    note,
    read_clock,
    read_json,
)
from wrenloft_policy import ColdAllowance, Coldness, RateLimit
from wrenloft_routing._endpoints import Denial, Endpoints, EndpointState
from wrenloft_routing._frames import decode_limit, encode_limit
from wrenloft_routing._limiter import LIMITER_RETRY_SECONDS, Grant, GrantRequest, Limiter
from wrenloft_routing._members import Members

_LOG = logging.getLogger(__name__)

GRANTS = Counter("wrenloft_grants", "Questions for a limited endpoint by result", ["result"])

COLD_GRANTS = Counter("wrenloft_cold_grants", "Questions for a cold endpoint by result", ["result"])

GRANTS_PATH = "/grants"

NO_LIMIT = RateLimit(None)

_MAX_GRANT_BYTES = 65536
"""Longest answer of a limiter; it has three fields."""

GRANT_TIMEOUT_SECONDS = 0.1
"""Longest wait for a limiter's answer; one in another region answers in a tenth of this."""


class GrantClient:
    """Requests a grant for each request to an endpoint with a rate limit, or to a cold one."""

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
        granted: set[IncarnationId] = set()
        while (request := self._find_next(states, granted, urgency)) is not None:
            state, asked = request
            grant = await self._request_grant(asked)
            result = "granted" if grant.granted else "denied"
            GRANTS.labels(result).inc()
            if asked.cold is not None:
                COLD_GRANTS.labels(result).inc()
            if not grant.granted:
                self._record_denial(state, grant, urgency)
                return False
            granted.add(asked.incarnation)
        return True

    def _find_next(
        self, states: Sequence[EndpointState], granted: Collection[IncarnationId], urgency: int
    ) -> tuple[EndpointState, GrantRequest] | None:
        """Return the next endpoint that needs a grant, ``None`` if none does any more.

        One may turn out to be cold while another's limiter is asked.
        """
        for state in states:
            endpoint = state.endpoint
            limit = self._endpoints.limits.find(endpoint.incarnation)
            limited = limit is not None and limit.rate is not None
            cold = self._endpoints.find_coldness(state)
            if endpoint.incarnation in granted or not (limited or cold):
                continue
            own = self._members.own.node_id
            known = limit or NO_LIMIT
            return state, GrantRequest(
                endpoint.incarnation, endpoint.place, known, urgency, own, cold
            )
        return None

    def _record_denial(self, state: EndpointState, grant: Grant, urgency: int) -> None:
        now, end = read_clock(), self._endpoints.find_grant_end(state)
        retry_at, turn_at = min(now + grant.ask_again, end), min(now + grant.turn, end)
        self._endpoints.record_denial(state, Denial(urgency, retry_at, turn_at))

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
                allow_redirects=False,
            ) as response:
                response.raise_for_status()
                return decode_grant(await read_json(response, _MAX_GRANT_BYTES))
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
    row = [limit, request.place, request.urgency, request.node]
    if request.cold is not None:
        each = request.cold.allowance
        row.append([each.rate, each.overrun, each.allowance, request.cold.left])
    return row


def decode_grant_request(row: Any) -> GrantRequest:
    """Decode a grant request.

    :raises ValueError: if the row is malformed.
    """
    try:
        limit_row, place, urgency, node, *rest = row
        incarnation, limit = decode_limit(limit_row)
        cold = _decode_coldness(rest[0]) if rest else None
        return GrantRequest(
            incarnation, PlaceName(str(place)), limit, int(urgency), NodeId(str(node)), cold
        )
    except (TypeError, OverflowError) as error:
        raise ValueError(f"no question: {error!r}") from error


def _decode_coldness(row: Any) -> Coldness:
    rate, overrun, allowance, left = (float(each) for each in row)
    if not all(isfinite(each) and each >= 0.0 for each in (rate, overrun, allowance, left)):
        raise ValueError(f"no coldness: {row!r}")
    return Coldness(ColdAllowance(rate, overrun, allowance), left)


def decode_grant(fields: Any) -> Grant:
    """Decode the answer to a grant request.

    :raises ValueError: if a field is missing or malformed.
    """
    try:
        granted = bool(fields["granted"])
        ask_again, turn = float(fields["ask_again"]), float(fields["turn"])
        if not (isfinite(ask_again) and isfinite(turn)):
            raise ValueError("time is not finite")
        return Grant(granted, ask_again, turn)
    except DECODE_ERRORS as error:
        raise ValueError(f"malformed answer to grant request: {error!r}") from error
