"""Snapshots of the platform's store, shared by all entry nodes."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from enum import Enum
from random import Random

from aiohttp import ClientError, ClientSession, ClientTimeout, web
from blake3 import blake3

from wrenloft_core import (
    DECODE_ERRORS,
    PlatformUnavailableError,
    Signal,
    note,
    read_clock,
    read_json,
)
from wrenloft_policy import (
    DIRECT_READ_INTERVALS,
    compute_max_snapshot_age,
    pick_direct_read_wait,
)
from wrenloft_routing._frames import StoreDelta
from wrenloft_routing._members import Member, Members
from wrenloft_routing._packing import Item, pack_items, unpack_items

_LOG = logging.getLogger(__name__)

MAX_SNAPSHOT_BYTES = 8388608
"""Longest answer with another node's snapshot, deflated; 3,000 entries are a megabyte inflated."""

PEER_TIMEOUT_SECONDS = 0.4

RETRY_DELAY_SECONDS = 0.15
"""Delay after a first failed read; doubled by each further one in a row."""

MAX_RETRY_DELAY_SECONDS = 0.6
"""Longest such delay of the first place's relay; each further place adds half of it, so that an
unavailable store gets no more than a few calls per second however many nodes there are."""

_MIN_CHECK_SECONDS = 0.05
_MAX_CHECK_SECONDS = 0.2
"""Shortest and longest time between two checks of a snapshot's age."""

OUTAGE_SECONDS = 2.0
"""Time without a snapshot after which entries may have expired. An endpoint writes every 1.2 s and
its entry lasts three times as long, so a shorter disturbance removes no live one. If a single
lost call counted as an outage, an endpoint that left would stay in use for seconds."""

OUTAGE_GRACE_SECONDS = 2.2
"""Time after such a gap before missing entries count as removed: entries that expired during an
outage are written again within two seconds of the store's return."""

FIRST_READ_WAIT_SECONDS = (3.0, 8.0)
"""Random range of how long a node that knows only itself and its relay waits for a first snapshot
before it reads the store: hundreds that start together wait for the same relay's first one."""

_PATH = "/readings/"


@dataclass(frozen=True, slots=True)
class StoreSnapshot:
    """Items of the store, and the store's revision at which they were read.

    :param era: rises by one whenever the store comes back from an older copy of its content, after
        which it gives out revisions again.
    """

    items: tuple[Item, ...]
    revision: int
    era: int = 0

    def list_revisions(self) -> dict[str, int]:
        """Return the revision of each key."""
        return {each.key: each.revision for each in self.items}

    @property
    def position(self) -> tuple[int, int]:
        """Order of snapshots: by era, then by revision, which is lower again in the next era."""
        return self.era, self.revision

    @property
    def digest(self) -> str:
        """Hash that identifies the content of the snapshot."""
        content = "/".join(f"{each.key}@{each.revision}" for each in self.items)
        return blake3(f"{self.era}/{content}".encode()).hexdigest(8)


@dataclass(frozen=True, slots=True)
class ReceivedSnapshot:
    """A snapshot as received by a node.

    :param begun_at: when the read began, on this node's clock; the snapshot shows the store's
        content at that time or later.
    :param trusted: whether missing entries were removed, rather than only expired.
    :param unchanged_at: when the last read began that showed the content of the snapshot received
        before this one, on this node's clock; ``None`` if unknown.
    """

    snapshot: StoreSnapshot
    begun_at: float
    trusted: bool
    unchanged_at: float | None = None


class ZoneRole(Enum):
    """Role of a node in its zone.

    ``STARTING`` is before it knows other nodes. ``SUBSCRIBED`` gets snapshots from its relay,
    ``RELAYING`` passes them on.
    """

    STARTING = "starting"
    SUBSCRIBED = "following"
    RELAYING = "relaying"


class SharedSnapshot:
    """Keeps a snapshot of one prefix of the store up to date with few calls.

    One of all relays reads the store; frames bring its snapshots to the other nodes. There is no
    fixed reader: the next relay takes over from one whose snapshots grow old, and a node whose
    relay has no recent one occasionally reads the store itself.

    :param fetch: reads the store.
    :param on_snapshot: called with each newer snapshot.
    :param interval: seconds between two reads of the store.
    :param role: returns this node's role.
    :param changes: fired whenever the store's content has changed.
    :param reduce: returns the items that agents need; all of them if not given.
    :ivar content_number: rises with each snapshot that differs from the one before.
    :ivar unchanged_at: when the last read began that showed the content before the present one.
    """

    def __init__(
        self,
        name: str,
        fetch: Callable[[], Awaitable[StoreSnapshot]],
        on_snapshot: Callable[[ReceivedSnapshot], None],
        interval: float,
        members: Members,
        session: ClientSession,
        role: Callable[[], ZoneRole],
        random: Random,
        changes: Signal,
        reduce: Callable[[tuple[Item, ...]], tuple[Item, ...]] | None = None,
    ) -> None:
        self.name = name
        self._reduce = reduce
        self._fetch = fetch
        self._on_snapshot = on_snapshot
        self._interval = interval
        self._members = members
        self._session = session
        self._role = role
        self._random = random
        self._outage_ended_at = float("-inf")
        self._failures = 0
        self._direct_reads = 0
        self._refresh_requested = False
        self._refresh_signal = Signal()
        self._changes = changes
        self.latest: ReceivedSnapshot | None = None
        self.content_number = 0
        self.unchanged_at: float | None = None
        self._rejected_for: StoreSnapshot | None = None

    @property
    def age(self) -> float:
        """Seconds since the read of the latest snapshot began."""
        return float("inf") if self.latest is None else read_clock() - self.latest.begun_at

    def list_items(self, *, for_agents: bool) -> tuple[Item, ...]:
        """Return the latest items, or those that agents need."""
        items = () if self.latest is None else self.latest.snapshot.items
        return self._reduce(items) if for_agents and self._reduce is not None else items

    def request_refresh(self) -> None:
        """Read the store at once because it has changed."""
        self._refresh_requested = True
        self._refresh_signal.fire()

    async def run(self) -> None:
        """Keep the snapshot up to date until cancelled."""
        while True:
            read_delay = self._measure_read_delay()
            if self.age < read_delay or not await self._wait_turn():
                left = min(_MAX_CHECK_SECONDS, max(_MIN_CHECK_SECONDS, read_delay - self.age))
                await self._refresh_signal.wait(min(left, self._interval / 4))
                continue
            if await self.read():
                continue
            other = self._members.pick_reachable(self._random)
            if other is not None:
                await self._fetch_from_peer(other)
            await asyncio.sleep(self._pick_pause())

    def _measure_read_delay(self) -> float:
        """Return the age of the snapshot at which this node reads the store itself."""
        if self._refresh_requested:
            return 0.0
        role = self._role()
        if role is ZoneRole.RELAYING:
            return compute_max_snapshot_age(self._interval, self._rank_place())
        if role is ZoneRole.SUBSCRIBED:
            return DIRECT_READ_INTERVALS * self._interval
        return float("inf")

    def _rank_place(self) -> int:
        """Return the number of places whose relays read before this one's."""
        places = self._members.list_places()
        own = self._members.own.place
        return places.index(own) if own in places else 0

    async def _wait_turn(self) -> bool:
        """Wait for this node's turn to read; return whether a read is still needed.

        Relays wait by age alone. The store may refuse them and serve the other nodes of their
        zones, whose reads are spread and rationed.
        """
        if self._role() is not ZoneRole.SUBSCRIBED:
            return True
        if len(self._members) > 1:
            wait = self._pick_direct_read_wait()
        else:
            wait = self._random.uniform(*FIRST_READ_WAIT_SECONDS)
        await asyncio.sleep(wait)
        if self.age < self._measure_read_delay():
            return False
        self._direct_reads += 1
        return True

    def _pick_direct_read_wait(self) -> float:
        own = self._members.own
        return pick_direct_read_wait(
            self._members.rank_members(own.place).index(own),
            self._members.count_near(),
            reads=self._direct_reads,
            failures=self._failures,
            max_age=self._measure_read_delay(),
            random=self._random,
        )

    def _pick_pause(self) -> float:
        longest = MAX_RETRY_DELAY_SECONDS * (1.0 + 0.5 * self._rank_place())
        pause = min(longest, RETRY_DELAY_SECONDS * 2.0 ** min(self._failures, 8))
        self._failures += 1
        return pause * self._random.uniform(0.5, 1.5)

    async def read(self) -> bool:
        """Read the store; return whether it answered with content that isn't older."""
        begun = read_clock()
        try:
            snapshot = await self._fetch()
        except PlatformUnavailableError:
            return False  # logged by the client
        self._refresh_requested = False
        if not self._apply(ReceivedSnapshot(snapshot, begun, trusted=True)):
            return False
        self._failures = 0
        return True

    async def _fetch_from_peer(self, member: Member) -> None:
        """Request the snapshot of another node.

        Its age counts from BEFORE the request was sent: the response was made later, so the
        snapshot can only be newer than that.
        """
        known = self.latest.snapshot.digest if self.latest is not None else ""
        url = f"http://{member.internal}{_PATH}{self.name}"
        begun = read_clock()
        try:
            timeout = ClientTimeout(total=PEER_TIMEOUT_SECONDS)
            async with self._session.get(url, params={"known": known}, timeout=timeout) as answer:
                if answer.status != 200:
                    return
                fields = await read_json(answer, MAX_SNAPSHOT_BYTES)
            snapshot = _decode(fields, self.latest)
            received = ReceivedSnapshot(
                snapshot, begun - float(fields["age"]), bool(fields["trusted"])
            )
        except (ClientError, OSError, TimeoutError, *DECODE_ERRORS) as error:
            note(
                _LOG,
                "store snapshot not received",
                name=self.name,
                peer=member.node_id,
                reason=repr(error),
            )
            return
        self._apply(received)

    def accept(self, received: ReceivedSnapshot) -> bool:
        """Accept a relay's snapshot unless a newer one is known.

        :returns: whether its content isn't older.
        """
        is_fresh = read_clock() - received.begun_at < self._measure_read_delay()
        if is_fresh and self._role() is ZoneRole.SUBSCRIBED:
            self._direct_reads = self._failures = 0
        return self._apply(received)

    def _apply(self, received: ReceivedSnapshot) -> bool:
        known, snapshot = self.latest, received.snapshot
        if known is not None and snapshot.position < known.snapshot.position:
            self._note_rejection(snapshot, known.snapshot)
            return False
        same_era = known is not None and snapshot.era == known.snapshot.era
        if known is not None and same_era and received.begun_at <= known.begun_at:
            return True
        if known is not None and 0 < known.snapshot.era < snapshot.era:
            # Entries written since the older copy was made are missing, as after an outage.
            self._outage_ended_at = received.begun_at
            self._note_era(snapshot, known.snapshot)
        elif known is not None and received.begun_at - known.begun_at > OUTAGE_SECONDS:
            self._outage_ended_at = received.begun_at
            note(_LOG, "store reads resumed", name=self.name, gap=round(self.age, 2))
        settled = received.begun_at - self._outage_ended_at > OUTAGE_GRACE_SECONDS
        self.latest = replace(received, trusted=received.trusted and settled)
        has_changed = known is None or _differs(known.snapshot, snapshot)
        if has_changed:
            self.content_number += 1
            self.unchanged_at = known.begun_at if known is not None else None
        self._on_snapshot(self.latest)
        if has_changed:
            self._changes.fire()
        return True

    def _note_era(self, snapshot: StoreSnapshot, known: StoreSnapshot) -> None:
        lost = known.list_revisions().keys() - snapshot.list_revisions().keys()
        note(
            _LOG,
            "store era changed",
            name=self.name,
            era=snapshot.era,
            era_before=known.era,
            revision=snapshot.revision,
            revision_before=known.revision,
            lost_keys=len(lost),
        )

    def _note_rejection(self, snapshot: StoreSnapshot, known: StoreSnapshot) -> None:
        """Log a rejected snapshot, once for each snapshot that it is older than."""
        if self._rejected_for is known:
            return
        self._rejected_for = known
        note(
            _LOG,
            "store snapshot rejected as older",
            name=self.name,
            revision=snapshot.revision,
            era=snapshot.era,
            known_revision=known.revision,
            known_era=known.era,
            known_age_ms=round(self.age * 1000),
        )


def _differs(one: StoreSnapshot, other: StoreSnapshot) -> bool:
    return one.era != other.era or one.list_revisions() != other.list_revisions()


class SnapshotMirror:
    """A relay's snapshots, rebuilt from the changes that arrive over one connection.

    :param clock_lead: upper bound of how far the relay's clock is ahead of this host's.
    """

    def __init__(self, clock_lead: float) -> None:
        self._clock_lead = clock_lead
        self._items: dict[str, dict[str, Item]] = {}

    def apply(self, change: StoreDelta) -> ReceivedSnapshot:
        """Apply a change and return the resulting snapshot."""
        items = self._items.setdefault(change.name, {})
        for key in change.removed:
            items.pop(key, None)
        for item in change.changed:
            items[item.key] = item
        snapshot = StoreSnapshot(tuple(items.values()), change.revision, change.era)
        unchanged_at = change.unchanged_at
        if unchanged_at is not None:
            unchanged_at -= self._clock_lead
        begun_at = change.begun_at - self._clock_lead
        return ReceivedSnapshot(snapshot, begun_at, change.trusted, unchanged_at)


class SnapshotRoutes:
    """Serves this node's snapshots to others."""

    def __init__(self, snapshots: list[SharedSnapshot]) -> None:
        self._snapshots = {each.name: each for each in snapshots}

    def routes(self) -> list[web.RouteDef]:
        """Return the routes for other entry nodes."""
        return [web.get(_PATH + "{name}", self._answer)]

    async def _answer(self, request: web.Request) -> web.Response:
        shared = self._snapshots.get(request.match_info["name"])
        if shared is None or shared.latest is None:
            raise web.HTTPNotFound
        received = shared.latest
        fields: dict[str, object] = {
            "age": shared.age,
            "trusted": received.trusted,
            "revision": received.snapshot.revision,
            "era": received.snapshot.era,
        }
        if request.query.get("known") != received.snapshot.digest:
            fields["items"] = pack_items(received.snapshot.items)
        return web.json_response(fields)


def _decode(fields: dict[str, object], known: ReceivedSnapshot | None) -> StoreSnapshot:
    revision, era = fields["revision"], fields.get("era", 0)
    if not isinstance(revision, int) or not isinstance(era, int):
        raise ValueError("revision or era is not a number")
    items = fields.get("items")
    if items is None:
        if known is None:
            raise ValueError("response has no items and none are known here")
        return StoreSnapshot(known.snapshot.items, revision, era)
    return StoreSnapshot(unpack_items(items), revision, era)
