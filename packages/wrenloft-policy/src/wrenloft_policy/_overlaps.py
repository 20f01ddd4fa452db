"""Order of versions of the weights that are fetched at the same time."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from enum import Enum

from wrenloft_policy._fetching import ORIGIN_FETCHERS
from wrenloft_policy._versions import (
    INSTALL_SECONDS,
    REQUEST_START_SECONDS,
    SWAP_GROUPS,
    WantedVersion,
    choose_version,
)

LAST_HOP_SECONDS = 0.3
"""From the arrival of a chunk at its origin fetcher until the first other agent stores it: its
bitmap is sent, and the chunk is requested, queued and sent."""

ORDER_MARGIN_SECONDS = 0.3
"""Difference of two predictions up to which an order stays. Agents see the bitmaps of different
neighbours, up to 0.1 s old, and would otherwise alternate between two orders."""


@dataclass(frozen=True, slots=True)
class LinkTimes:
    """Seconds that one chunk takes on each link.

    :param origin: on the origin's link.
    :param host: on the link of an agent's host.
    """

    origin: float
    host: float


@dataclass(frozen=True, slots=True)
class VersionProgress:
    """What an agent observes of the spread of one version.

    :param wanted: the version and when it was named.
    :param chunks: number of its chunks.
    :param unsent: chunks that no known agent stores.
    :param least_missing: chunks missing at the known agent that has the most.
    """

    wanted: WantedVersion
    chunks: int
    unsent: int
    least_missing: int


class OrderReason(Enum):
    """Why versions are fetched in an order."""

    ALONE = "only version"
    OLDER_IN_TIME = "older version complete early enough"
    NEWER_SOONER = "newer version leaves engines without a permitted version for less time"
    NAMED_TOGETHER = "named so close together that the newer version replaces the older in time"
    DUE_NO_LATER = "newer version due no later"


@dataclass(frozen=True, slots=True)
class VersionOrder:
    """The order in which wanted versions use the links.

    :param kept: versions to complete, the first one first.
    :param dropped: versions not to complete, from which nothing leaves the origin.
    :param reason: why the oldest kept one is first.
    """

    kept: tuple[int, ...]
    dropped: tuple[int, ...] = ()
    reason: OrderReason = OrderReason.ALONE


def predict_shortfalls(
    older: VersionProgress, newer: VersionProgress, times: LinkTimes, allowed: float, now: float
) -> tuple[float, float]:
    """Predict for how long no engine has a permitted version, by the order of two versions.

    Each prediction is for the first engine, from what has not left the origin and what is missing
    at the agent that has the most. Time in which the origin is unavailable passes, and so counts.

    :param allowed: seconds from a naming until requests begin on that version only.
    :returns: seconds if the older version is completed first, and if it is dropped.
    """
    rest = LAST_HOP_SECONDS + INSTALL_SECONDS
    older_sent_at = now + older.unsent * times.origin
    older_at = max(older_sent_at, now + older.least_missing * times.host) + rest
    newer_seconds = max(newer.unsent * times.origin, newer.least_missing * times.host)
    newer_at = older_sent_at + newer_seconds + rest
    alone_at = now + newer_seconds + rest
    older_due = older.wanted.seen_at + allowed - REQUEST_START_SECONDS
    newer_due = newer.wanted.seen_at + allowed - REQUEST_START_SECONDS
    kept = max(0.0, min(older_at, newer_at) - older_due)
    kept += max(0.0, newer_at - max(newer_due, older_at))
    return kept, max(0.0, alone_at - older_due)


def order_versions(
    progress: Sequence[VersionProgress],
    times: LinkTimes,
    link_rate: float,
    chunk_bytes: int,
    allowed: float,
    now: float,
    before: VersionOrder | None = None,
) -> VersionOrder:
    """Order the wanted versions by what leaves engines without a permitted version for less time.

    An older version goes first unless dropping it leaves engines without a permitted version for
    less time. If neither order does, the times of the namings decide: the newer version alone
    costs each engine one swap instead of two.

    The inputs are the times of the namings, bitmaps and the rates of links, which all agents know.
    Agents that differ for a moment don't split the swarm, because each sends any chunk it stores.

    :param progress: every wanted version that is not complete here, at least one.
    :param link_rate: bytes a second of a host's link.
    :param allowed: seconds from a naming until requests begin on that version only.
    :param before: the order until now.
    """
    ordered = sorted(progress, key=lambda each: each.wanted.number)
    kept = [ordered[-1]]
    dropped = []
    reason = OrderReason.ALONE
    for older in reversed(ordered[:-1]):
        is_kept, reason = _should_keep(
            older, kept[0], times, link_rate, chunk_bytes, allowed, now, before
        )
        if is_kept:
            kept.insert(0, older)
        else:
            dropped.append(older.wanted.number)
    return VersionOrder(tuple(each.wanted.number for each in kept), tuple(dropped), reason)


def _should_keep(
    older: VersionProgress,
    newer: VersionProgress,
    times: LinkTimes,
    link_rate: float,
    chunk_bytes: int,
    allowed: float,
    now: float,
    before: VersionOrder | None,
) -> tuple[bool, OrderReason]:
    if newer.wanted.seen_at <= older.wanted.seen_at:
        return False, OrderReason.DUE_NO_LATER
    kept, dropped = predict_shortfalls(older, newer, times, allowed, now)
    if kept + ORDER_MARGIN_SECONDS < dropped:
        return True, OrderReason.OLDER_IN_TIME
    if dropped + ORDER_MARGIN_SECONDS < kept:
        return False, OrderReason.NEWER_SOONER
    number = older.wanted.number
    known = before is not None and newer.wanted.number in (*before.kept, *before.dropped)
    if known and before is not None and number in (*before.kept, *before.dropped):
        return number in before.kept, before.reason
    size = older.chunks * chunk_bytes
    if choose_version(older.wanted, newer.wanted, size, link_rate) == number:
        return True, OrderReason.OLDER_IN_TIME
    return False, OrderReason.NAMED_TOGETHER


def should_skip_version(
    wanted: WantedVersion,
    first_group: int | None,
    group: int,
    newer_complete_at: float,
    allowed: float,
) -> bool:
    """Return whether an engine doesn't load a version because it has a newer one soon.

    A swap keeps requests from the engine for about a second. The engines that are to have the
    version first load it in any case, so half of them serve it when it is required.

    :param first_group: the group that is to have the version first, ``None`` if it overlaps none.
    :param group: the group of this engine.
    :param newer_complete_at: predicted time at which it has a newer version.
    :param allowed: seconds from a naming until requests begin on that version only.
    """
    if first_group is None or first_group == group:
        return False
    required_at = wanted.seen_at + allowed - REQUEST_START_SECONDS
    return newer_complete_at + INSTALL_SECONDS <= required_at


@dataclass(frozen=True, slots=True)
class FetchScope:
    """What the transfer of one version may do now.

    :param from_origin: whether it may fetch from the origin.
    :param from_neighbours: whether it may fetch from neighbours.
    :param is_first: whether its chunks go before those of other versions at this agent.
    :param can_be_late: whether its chunks count as late if nobody stores them in time.
    :param is_urgent: whether neighbours send its chunks before those of other requests; ``None``
        if that doesn't depend on other versions.
    """

    from_origin: bool = True
    from_neighbours: bool = True
    is_first: bool = True
    can_be_late: bool = True
    is_urgent: bool | None = None


WHOLE_SCOPE = FetchScope()
"""The scope of the only version."""

PAUSED_SCOPE = FetchScope(from_origin=False, from_neighbours=False, is_first=False, is_urgent=False)
"""The scope of a version that a newer one is about to replace."""


def find_first_group(order: VersionOrder, number: int) -> int:
    """Return the group of engines that is to have a version first, of versions that overlap.

    The groups alternate. If all versions were sent to the same engines first, the others would
    have neither version in time; and an engine that gets the newer one before the older is required
    needs one swap instead of two.
    """
    return order.kept.index(number) % SWAP_GROUPS if number in order.kept else 0


def limit_fetches(
    order: VersionOrder,
    first_here: int,
    number: int,
    unsent_before: int,
    *,
    is_urgent: bool | None,
    is_origin_turn_before: bool,
    is_late_before: bool,
    is_origin_stalled: bool,
) -> FetchScope:
    """Return what the transfer of a version may do beside those of other versions.

    The next version leaves the origin as soon as an origin fetcher has requested all its chunks of
    the versions before: its link would be idle while their last chunks spread. Late chunks are
    shared out among all agents, so the next version then waits until few of them have not left.
    What is out of a dropped version spreads while the origin is unavailable: the older version may
    then be the only one that can be complete in time.

    :param first_here: the version whose chunks go first at this agent.
    :param unsent_before: chunks of the versions before that no known agent stores.
    :param is_urgent: whether this agent is one of those that are to have the version first.
    :param is_origin_turn_before: whether this agent has yet to request a chunk of the versions
        before from the origin.
    :param is_late_before: whether chunks of the versions before are late.
    :param is_origin_stalled: whether nothing new has left the origin for a while.
    """
    if number in order.dropped:
        return FetchScope(
            from_origin=False,
            from_neighbours=is_origin_stalled,
            is_first=False,
            can_be_late=False,
            is_urgent=False,
        )
    if number == order.kept[0]:
        return FetchScope(is_first=number == first_here, is_urgent=is_urgent)
    few_unsent = unsent_before <= ORIGIN_FETCHERS
    return FetchScope(
        from_origin=not is_origin_turn_before and (few_unsent or not is_late_before),
        is_first=number == first_here,
        can_be_late=few_unsent,
        is_urgent=is_urgent,
    )


def list_before(order: VersionOrder, number: int) -> Collection[int]:
    """Return the kept versions that leave the origin before one."""
    return order.kept[: order.kept.index(number)] if number in order.kept else order.kept
