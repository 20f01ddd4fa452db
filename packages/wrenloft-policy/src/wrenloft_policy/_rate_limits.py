"""Rate limits that endpoints name: what answers say of them."""

from dataclasses import dataclass

ANSWERS_TO_END = 3
"""Answers in a row without a limit after which it has ended. Some answers of an endpoint in need
may lack it; taken for the end, each of these would let every node send freely until the next."""


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """The rate limit that an answer names.

    :param rate: requests a second from all entry nodes together, ``None`` if the text is no rate.
    :param text: as it was written.
    """

    rate: float | None
    text: str


@dataclass(frozen=True, slots=True)
class RateLimit:
    """What is known of the limit of one incarnation of an endpoint.

    :param rate: requests a second from all entry nodes together, ``None`` once it has ended.
    :param missing: answers in a row that did not name it.
    :param sequence: grows with each change.
    :param node: who saw the change; decides between two of the same sequence.
    """

    rate: float | None
    missing: int = 0
    sequence: int = 0
    node: str = ""


def update_limit(known: RateLimit | None, rate: float | None, node: str) -> RateLimit | None:
    """Return what is known after one more answer.

    :param rate: that the answer names, ``None`` if it names none.
    :param node: that read the answer.
    """
    sequence = known.sequence + 1 if known is not None else 1
    if rate is not None:
        if known is not None and known.rate == rate and not known.missing:
            return known
        return RateLimit(rate, 0, sequence, node)
    if known is None or known.rate is None:
        return known
    missing = known.missing + 1
    return RateLimit(known.rate if missing < ANSWERS_TO_END else None, missing, sequence, node)
