"""Bounds of the memory that a node holds for callers and endpoints."""

from dataclasses import dataclass
from enum import Enum
from random import Random

_MEGABYTE = 1_000_000

PROCESS_BYTES = 40 * _MEGABYTE
"""Memory that a node needs without any request: code, libraries, lists of endpoints and nodes."""

HELD_SHARE = 0.4
"""Share of the remaining memory that may be held. Each body and answer is copied once while it is
joined or sent, and the allocator keeps part of what was freed."""

MIN_HELD_BYTES = 8 * _MEGABYTE
"""Least sum that may be held; with less, a node could not take a single large body."""

CONNECTION_SHARE = 0.125
"""Share of the sum that one connection may hold, so that a few callers can't use all of it."""

MIN_CONNECTION_BYTES = 6 * _MEGABYTE
"""Least bound of a connection: a body of the usual maximum of 4 MB and its answer."""

NEW_WORK_SHARE = 0.75
"""Share of the sum up to which new requests are accepted. The rest is kept for the answers of
requests that already run, which would otherwise have to be aborted."""

REQUEST_BYTES = 16384
"""Bytes reserved for each request in addition to its body: its head and the objects that describe
it."""

UNKNOWN_LENGTH_STEP = 262144
"""Bytes reserved ahead of the received ones of a body of unknown length: as much as one read of a
connection brings."""

MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 2.0
"""Bounds of the time after which a caller retries: its deadline is a few seconds away."""

_RETRY_SPREAD = 0.5
"""Random addition to that time, relative to it, so that refused callers don't return together."""


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """Bytes that a node may hold.

    :param total: for all connections together.
    :param connection: for each connection.
    :param new_work: for all connections together, up to which new requests are accepted.
    """

    total: int
    connection: int
    new_work: int


class ShortageReason(Enum):
    """Which bound leaves no room."""

    NODE = "node"
    CONNECTION = "connection"


@dataclass(frozen=True, slots=True)
class Shortage:
    """Why bytes could not be reserved.

    :param held: bytes held within the bound.
    :param limit: the bound, in bytes.
    :param missing: bytes that would have to be released.
    """

    reason: ShortageReason
    held: int
    limit: int
    missing: int

    def __str__(self) -> str:
        return (
            f"{self.held / _MEGABYTE:.2f} of {self.limit / _MEGABYTE:.2f} MB "
            f"of this {self.reason.value} are in use"
        )


def compute_memory_limits(memory_mb: float) -> MemoryLimits | None:
    """Return the bounds for a process, ``None`` if its memory is not stated.

    :param memory_mb: megabytes that the process may use, 0 if not stated.
    """
    if memory_mb <= 0:
        return None
    total = max(MIN_HELD_BYTES, int((memory_mb * _MEGABYTE - PROCESS_BYTES) * HELD_SHARE))
    new_work = int(total * NEW_WORK_SHARE)
    connection = min(new_work, max(MIN_CONNECTION_BYTES, int(total * CONNECTION_SHARE)))
    return MemoryLimits(total, connection, new_work)


def find_shortage(
    limits: MemoryLimits, held: int, own: int, size: int, *, new_work: bool
) -> Shortage | None:
    """Return why ``size`` more bytes can't be held, ``None`` if they can.

    :param held: bytes held for all connections.
    :param own: bytes held for the connection that needs them.
    :param new_work: whether they are for a request that has not been sent to an endpoint.
    """
    if own + size > limits.connection:
        missing = own + size - limits.connection
        return Shortage(ShortageReason.CONNECTION, own, limits.connection, missing)
    limit = limits.new_work if new_work else limits.total
    if held + size > limit:
        return Shortage(ShortageReason.NODE, held, limit, held + size - limit)
    return None


def pick_memory_retry_after(missing: int, release_rate: float, random: Random) -> float:
    """Return the seconds after which a request that found no room should be retried.

    :param missing: bytes that have to be released first.
    :param release_rate: bytes released a second, recently.
    """
    wait = missing / release_rate if release_rate > 0 else MAX_RETRY_AFTER_SECONDS
    wait = min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait))
    return wait * random.uniform(1.0, 1.0 + _RETRY_SPREAD)


READ_AHEAD_BYTES = 1 << 20
"""Largest part of an answer that waits here for a caller, beyond what the kernel takes. The rest of
a usual stream is some kilobytes, so that only a slow caller of a large answer meets it."""

READ_AHEAD_RESUME_BYTES = READ_AHEAD_BYTES // 2
"""Waiting bytes at which the endpoint's answer is read on."""

SHORT_READ_AHEAD_BYTES = 16384
"""The same as ``READ_AHEAD_BYTES`` where the node has no memory left for the caller."""

UNCOUNTED_BYTES = 16384
"""Waiting bytes of a connection that are counted only at the next review; counting them at each
event would delay the events of callers that read."""

CALLER_STALL_SECONDS = 8.0
"""Time after which a caller that takes nothing of its answer is cut off. The kernel of a caller
that reads 20 KB a second confirms up to 100 KB at once, which is 5 s of reading."""

BLOCKING_STALL_SECONDS = 2.0
"""The same while the answer of its endpoint can't be read on because of it. Endpoints cut off an
answer that stays unread for some seconds, which would look like their failure."""


def is_caller_stalled(seconds: float, *, blocking: bool) -> bool:
    """Return whether a caller is cut off.

    :param seconds: since it last took a byte, while bytes waited for it.
    :param blocking: whether its endpoint's answer can't be read on because of it.
    """
    return seconds >= (BLOCKING_STALL_SECONDS if blocking else CALLER_STALL_SECONDS)
