"""What an answer says of the endpoint that sent it, apart from the request."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class EndpointNotice:
    """What the head of an answer says of its endpoint.

    :param leaving: whether the endpoint is about to end.
    :param rest: seconds for which it wants no further requests from this node, 0 if it does not
        ask for that.
    :param unreadable: a rest that is no duration, as received; empty if there is none.
    :param cold: seconds for which it is cold, ``None`` if not stated.
    :param unreadable_cold: a coldness that is no duration, as received; empty if there is none.
    """

    leaving: bool = False
    rest: float = 0.0
    unreadable: str = ""
    cold: float | None = None
    unreadable_cold: str = ""


NO_NOTICE = EndpointNotice()
