"""What an answer says of the endpoint that sent it, apart from the request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EndpointNotice:
    """What the head of an answer says of its endpoint.

    :param leaving: whether the endpoint is about to end.
    """

    leaving: bool = False


NO_NOTICE = EndpointNotice()
