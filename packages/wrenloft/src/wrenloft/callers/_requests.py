"""A caller's request, read and checked."""

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from aiohttp import web
from blake3 import blake3

from wrenloft.callers._authentication import Caller
from wrenloft_core import (
    Configuration,
    Header,
    ModelName,
    Priority,
    RequestId,
    Selector,
    Service,
    digest_bytes,
    make_request_id,
)
from wrenloft_policy import matches

_SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
_DEFAULT_SECONDS = {Priority.ALARM: 10.0, Priority.INTERACTIVE: 30.0, Priority.BATCH: 300.0}
_MAX_SECONDS = 300.0
_MAX_KEY_LENGTH = 200
_BODY_SECONDS = 10.0
_PREFIX_BYTES = 512


class RejectedError(Exception):
    """The request itself is wrong; nothing was run.

    :param status: the HTTP status that says so.
    """

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status
        self.reason = reason


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Everything that the further way of a request depends on.

    :param target: name of the model or plain service.
    :param selector: hosts of a plain service; ``None`` for a model.
    :param key: the idempotency key, empty if there is none.
    :param deadline: on the monotonic clock, in seconds.
    :param prefix: hash of the body's beginning, by which a cached prefix is guessed.
    """

    request_id: RequestId
    caller: Caller
    target: ModelName
    selector: Selector | None
    method: str
    path: str
    content_type: str
    body: bytes = field(repr=False)
    priority: Priority
    idempotent: bool
    key: str
    deadline: float
    prefix: int | None

    @property
    def body_digest(self) -> str:
        """Digest of what would be run, by which two uses of one key are compared."""
        return digest_bytes(b"\0".join([self.method.encode(), self.path.encode(), self.body]))


async def read_model_request(
    request: web.Request, caller: Caller, configuration: Configuration
) -> CallerRequest:
    """Read a request to a model.

    :raises RejectedError: if it is malformed, or the caller may not use the model. A model that
        does not exist and one that is not allowed get the same answer.
    """
    body = await _read_body(request)
    fields = _parse(body)
    name = fields.get("model")
    if not isinstance(name, str):
        raise RejectedError(400, "model: must be a string")
    model = configuration.models.get(ModelName(name))
    if model is None or not matches(model.callers, caller.organisation.labels):
        raise RejectedError(404, f"model {name!r}: not available to you")
    prefix = int.from_bytes(blake3(body[:_PREFIX_BYTES]).digest(8), "big")
    idempotent = _read_idempotent(request, default=False)
    return _build(request, caller, ModelName(name), None, request.path, body, idempotent, prefix)


async def read_service_request(
    request: web.Request, caller: Caller, configuration: Configuration
) -> CallerRequest:
    """Read a request to a plain service.

    :raises RejectedError: as for :func:`read_model_request`.
    """
    name = request.match_info["name"]
    service = next((each for key, each in configuration.services.items() if key == name), None)
    if service is None or not matches(service.callers, caller.organisation.labels):
        raise RejectedError(404, f"service {name!r}: not available to you")
    path = "/" + request.match_info["path"]
    if request.query_string:
        path += f"?{request.query_string}"
    idempotent = _is_route_idempotent(service, request.method, path)
    body = await _read_body(request)
    return _build(
        request,
        caller,
        ModelName(name),
        service.hosts,
        path,
        body,
        _read_idempotent(request, default=idempotent),
        None,
    )


def _build(
    request: web.Request,
    caller: Caller,
    target: ModelName,
    selector: Selector | None,
    path: str,
    body: bytes,
    idempotent: bool,
    prefix: int | None,
) -> CallerRequest:
    priority = _read_priority(request, caller)
    key = request.headers.get(Header.IDEMPOTENCY_KEY, "")
    if len(key) > _MAX_KEY_LENGTH:
        raise RejectedError(400, f"{Header.IDEMPOTENCY_KEY}: at most {_MAX_KEY_LENGTH} characters")
    return CallerRequest(
        request_id=make_request_id(),
        caller=caller,
        target=target,
        selector=selector,
        method=request.method,
        path=path,
        content_type=request.headers.get("Content-Type", "application/octet-stream"),
        body=body,
        priority=priority,
        idempotent=idempotent and not key,
        key=key,
        deadline=asyncio.get_running_loop().time() + _read_seconds(request, priority),
        prefix=prefix,
    )


def _is_route_idempotent(service: Service, method: str, path: str) -> bool:
    for route in service.routes:
        if route.method == method and path.startswith(route.path):
            return route.idempotent
    return method in _SAFE_METHODS


async def _read_body(request: web.Request) -> bytes:
    try:
        async with asyncio.timeout(_BODY_SECONDS):
            return await request.read()
    except TimeoutError:
        raise RejectedError(408, f"body: not received within {_BODY_SECONDS:.0f} s") from None


def _parse(body: bytes) -> dict[str, Any]:
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise RejectedError(400, f"body: no valid JSON: {error}") from None
    if not isinstance(fields, dict):
        raise RejectedError(400, "body: must be a JSON object")
    return fields


def _read_idempotent(request: web.Request, *, default: bool) -> bool:
    given = request.headers.get(Header.IDEMPOTENT)
    if given is None:
        return default
    if given not in ("true", "false"):
        raise RejectedError(400, f"{Header.IDEMPOTENT}: {given!r} must be 'true' or 'false'")
    return given == "true"


def _read_priority(request: web.Request, caller: Caller) -> Priority:
    allowed = caller.grant.classes
    given = request.headers.get(Header.PRIORITY)
    if given is None:
        return Priority.INTERACTIVE if Priority.INTERACTIVE in allowed else allowed[-1]
    if given not in [each.value for each in Priority]:
        raise RejectedError(400, f"{Header.PRIORITY}: {given!r} must be one of {list(Priority)}")
    if given not in allowed:
        raise RejectedError(403, f"{Header.PRIORITY}: {given!r} is not granted to this key")
    return Priority(given)


def _read_seconds(request: web.Request, priority: Priority) -> float:
    given = request.headers.get(Header.DEADLINE)
    if given is None:
        return _DEFAULT_SECONDS[priority]
    try:
        seconds = int(given) / 1000
    except ValueError:
        raise RejectedError(400, f"{Header.DEADLINE}: {given!r} must be milliseconds") from None
    if not 0 < seconds <= _MAX_SECONDS:
        raise RejectedError(400, f"{Header.DEADLINE}: {given} must be 1 to 300000")
    return seconds
