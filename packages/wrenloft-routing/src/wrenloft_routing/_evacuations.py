"""Availability zones that operators evacuate: their endpoints get no new requests."""

import logging
from collections.abc import Callable, Collection
from dataclasses import dataclass

from prometheus_client import Gauge

from wrenloft_core import PlaceName, note, warn

_LOG = logging.getLogger(__name__)

ERA_GRACE_SECONDS = 10.0
"""How long an evacuation that a store lacks after it came back from an older copy stays in force.
Operators write again what the copy lacks; without the grace period, the zone would take requests
until they have."""

EVACUATED = Gauge("wrenloft_evacuated_zones", "Availability zones that operators evacuate")


@dataclass(frozen=True, slots=True)
class Evacuation:
    """An evacuation in force.

    :param since: when this node learned of it.
    :param era: the store's era in which it was last listed.
    :param missing_since: since when a later era's snapshots lack it.
    """

    place: PlaceName
    since: float
    era: int
    missing_since: float | None = None


class EvacuationLedger:
    """Evacuations in force at this node.

    :param places: availability zones that exist; others are logged once and have no effect.
    :param on_change: called with all evacuated zones, and those whose evacuation has just ended.
    """

    def __init__(
        self,
        places: Collection[PlaceName],
        on_change: Callable[[frozenset[PlaceName], frozenset[PlaceName]], None],
    ) -> None:
        self._places = frozenset(places)
        self._on_change = on_change
        self._evacuations: dict[PlaceName, Evacuation] = {}
        self._unknown: frozenset[PlaceName] = frozenset()
        EVACUATED.set_function(lambda: len(self._evacuations))

    def list_all(self) -> list[Evacuation]:
        """Return the evacuations in force by zone."""
        return [self._evacuations[place] for place in sorted(self._evacuations)]

    def apply(self, listed: frozenset[PlaceName], era: int, now: float) -> None:
        """Apply the zones that a snapshot of the store lists as evacuated.

        :param era: of the store; a snapshot of an earlier era than one applied is never passed.
        """
        self._note_unknown(listed - self._places)
        before = frozenset(self._evacuations)
        for place in listed & self._places:
            known = self._evacuations.get(place)
            since = now if known is None else known.since
            self._evacuations[place] = Evacuation(place, since, era)
        for place in before - listed:
            self._review_missing(self._evacuations[place], era, now)
        after = frozenset(self._evacuations)
        for place in sorted(after - before):
            note(_LOG, "evacuation began", place=place, era=era)
        if after != before:
            self._on_change(after, before - after)

    def _review_missing(self, known: Evacuation, era: int, now: float) -> None:
        """End an evacuation that a snapshot lacks, unless the store came back without it."""
        missing_since = now if known.missing_since is None else known.missing_since
        if era > known.era and now - missing_since < ERA_GRACE_SECONDS:
            if known.missing_since is None:
                note(_LOG, "evacuation kept in a new era of the store", place=known.place, era=era)
            self._evacuations[known.place] = Evacuation(
                known.place, known.since, known.era, missing_since
            )
            return
        del self._evacuations[known.place]
        note(_LOG, "evacuation ended", place=known.place, seconds=round(now - known.since, 2))

    def _note_unknown(self, unknown: frozenset[PlaceName]) -> None:
        for place in sorted(unknown - self._unknown):
            warn(_LOG, "evacuation of an unknown availability zone ignored", place=place[:80])
        self._unknown = unknown
