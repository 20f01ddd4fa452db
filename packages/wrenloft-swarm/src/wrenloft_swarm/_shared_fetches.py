"""Transfers of several versions on one host's link, and the order in which they use it."""

import logging
from collections.abc import Callable
from contextlib import suppress
from dataclasses import replace
from math import inf
from typing import Protocol

from prometheus_client import Gauge

from wrenloft_core import ModelName, note, read_clock
from wrenloft_policy import (
    LAST_HOP_SECONDS,
    PAUSED_SCOPE,
    WHOLE_SCOPE,
    FetchScope,
    LinkTimes,
    VersionOrder,
    VersionProgress,
    WantedVersion,
    choose_version,
    find_first_group,
    limit_fetches,
    list_before,
    order_versions,
)
from wrenloft_swarm._chunk_store import KEPT_VERSIONS

_LOG = logging.getLogger(__name__)

ORDER_INTERVAL_SECONDS = 0.1
"""Interval between two choices of the order: a few chunks leave the origin in it."""

DIGESTS_WAIT_SECONDS = 1.5
"""Time after a naming for which nothing more of a version leaves the origin that the new one is to
replace. The digests take a fraction of it, unless the origin is unavailable."""

ORIGIN_STALL_SECONDS = 0.8
"""Time without a chunk that is new to all known agents after which the origin counts as stalled.
Shorter than the time after which turns pass on, as neighbours' chunks cost the origin nothing."""

MISSING = Gauge("wrenloft_agent_chunks_missing", "Missing chunks of a wanted version", ["version"])
DUE_SECONDS = Gauge(
    "wrenloft_agent_version_due_seconds", "Seconds until a wanted version is due", ["version"]
)


class SharingTransfer(Protocol):
    """A transfer as the others on the same link see it."""

    def describe_progress(self) -> VersionProgress:
        """Return what this agent observes of the version's spread."""

    def count_missing(self) -> int:
        """Return the number of chunks missing here."""

    def count_fetches(self) -> tuple[int, int]:
        """Return the number of fetches in progress, in all and from the origin."""

    def is_origin_turn(self) -> bool:
        """Return whether this agent has yet to request a chunk from the origin in its turn."""

    def is_late(self) -> bool:
        """Return whether chunks that nobody stores are late."""

    def find_last_new(self) -> float:
        """Return when a chunk that is new to all known agents was last seen."""


class SharedFetches:
    """The transfers in progress, one for each wanted version.

    :param link_rate: bytes a second of this host's link.
    :param allowed: seconds from a naming until requests begin on that version only.
    :param newest: returns the newest wanted version.
    """

    def __init__(
        self,
        model: ModelName,
        times: LinkTimes,
        link_rate: float,
        chunk_bytes: int,
        allowed: float,
        newest: Callable[[], WantedVersion],
    ) -> None:
        self._newest = newest
        self._model = model
        self._times = times
        self._link_rate = link_rate
        self._chunk_bytes = chunk_bytes
        self._allowed = allowed
        self._transfers: dict[int, SharingTransfer] = {}
        self._order: VersionOrder | None = None
        self._ordered_at = 0.0
        self._first_groups: dict[int, int] = {}

    def join(self, number: int, transfer: SharingTransfer) -> None:
        """Add the transfer of a version."""
        self._transfers[number] = transfer
        self._ordered_at = 0.0

    def leave(self, number: int, transfer: SharingTransfer) -> None:
        """Remove the transfer of a version."""
        if self._transfers.get(number) is not transfer:
            return
        del self._transfers[number]
        self._ordered_at = 0.0
        for gauge in (MISSING, DUE_SECONDS):
            with suppress(KeyError):
                gauge.remove(str(number))

    def count_fetches(self) -> tuple[int, int]:
        """Return the number of fetches of all versions, in all and from the origin."""
        counts = [each.count_fetches() for each in self._transfers.values()]
        return sum(each[0] for each in counts), sum(each[1] for each in counts)

    def predict_newer_complete(self, number: int) -> float:
        """Return when this agent has the next newer version, infinity if it is not fetched."""
        newer = min((each for each in self._transfers if each > number), default=None)
        if newer is None:
            return inf
        transfer = self._transfers[newer]
        seconds = max(
            transfer.count_missing() * self._times.host,
            transfer.describe_progress().unsent * self._times.origin + LAST_HOP_SECONDS,
        )
        return read_clock() + seconds

    def count_missing_before(self, number: int) -> int:
        """Return the number of chunks missing here of versions to complete before one."""
        dropped = () if self._order is None else self._order.dropped
        return sum(
            transfer.count_missing()
            for other, transfer in self._transfers.items()
            if other < number and other not in dropped
        )

    def overlaps(self, number: int) -> bool:
        """Return whether a newer version is named, or another was fetched at the same time."""
        is_newest = self._newest().number <= number
        others = any(other != number for other in self._transfers)
        return not is_newest or others or number in self._first_groups

    def has_unsent_beside(self, number: int) -> bool:
        """Return whether chunks of another kept version have not left the origin."""
        kept = () if self._order is None else self._order.kept
        return any(
            other != number and other in kept and transfer.describe_progress().unsent
            for other, transfer in self._transfers.items()
        )

    def find_first_group(self, number: int) -> int | None:
        """Return the group that is to have a version first, ``None`` if it overlapped no other."""
        return self._first_groups.get(number)

    def find_scope(self, number: int, group: int) -> FetchScope:
        """Return what the transfer of a version may do now.

        :param group: the group of this agent's engine.
        """
        now = read_clock()
        if now - self._ordered_at >= ORDER_INTERVAL_SECONDS:
            self._ordered_at = now
            self._choose_order(now)
        if not self.overlaps(number):
            return WHOLE_SCOPE
        last_new = max((each.find_last_new() for each in self._transfers.values()), default=now)
        is_stalled = now - last_new > ORIGIN_STALL_SECONDS
        if self._awaits_newer(number, now):
            return replace(PAUSED_SCOPE, from_neighbours=is_stalled)
        order = self._order
        first_group = self._first_groups.get(number)
        is_urgent = None if first_group is None else first_group == group
        if order is None or len(self._transfers) < 2:
            return replace(WHOLE_SCOPE, is_urgent=is_urgent)
        first_here = next((x for x in order.kept if self._first_groups.get(x) == group), None)
        before = [self._transfers[x] for x in list_before(order, number) if x in self._transfers]
        return limit_fetches(
            order,
            first_here or order.kept[0],
            number,
            sum(each.describe_progress().unsent for each in before),
            is_urgent=is_urgent,
            is_origin_turn_before=any(each.is_origin_turn() for each in before),
            is_late_before=any(each.is_late() for each in before),
            is_origin_stalled=is_stalled,
        )

    def _awaits_newer(self, number: int, now: float) -> bool:
        """Return whether a version is to be dropped for one whose digests aren't known yet."""
        newest, transfer = self._newest(), self._transfers.get(number)
        if transfer is None or newest.number <= max(self._transfers):
            return False
        if now - newest.seen_at > DIGESTS_WAIT_SECONDS:
            return False
        older = transfer.describe_progress()
        size = older.chunks * self._chunk_bytes
        return choose_version(older.wanted, newest, size, self._link_rate) != number

    def _choose_order(self, now: float) -> None:
        progress = [each.describe_progress() for each in self._transfers.values()]
        for each in progress:
            label = str(each.wanted.number)
            MISSING.labels(label).set(self._transfers[each.wanted.number].count_missing())
            DUE_SECONDS.labels(label).set(each.wanted.seen_at + self._allowed - now)
        if not progress:
            return
        order = order_versions(
            progress,
            self._times,
            self._link_rate,
            self._chunk_bytes,
            self._allowed,
            now,
            self._order,
        )
        is_new = self._order is None or (order.kept, order.dropped) != (
            self._order.kept,
            self._order.dropped,
        )
        self._order = order
        if len(order.kept) > 1:
            for number in order.kept:
                self._first_groups.setdefault(number, find_first_group(order, number))
        for number in sorted(self._first_groups)[:-KEPT_VERSIONS]:
            del self._first_groups[number]
        if is_new and len(progress) > 1:
            note(
                _LOG,
                "order of versions",
                model=self._model,
                first=order.kept[0],
                then=order.kept[1:],
                dropped=order.dropped,
                reason=order.reason.value,
                unsent={each.wanted.number: each.unsent for each in progress},
            )
