"""The configuration in force, and how a change is accepted."""

import asyncio
import json
import logging
import time
from collections.abc import Mapping
from dataclasses import asdict, dataclass, field

from wrenloft.platform._keys import HEAD, name_revision, name_section
from wrenloft.platform._keyvalue import Absent, Entry, KeyValueClient, Put, Unchanged
from wrenloft_core import (
    Configuration,
    ConflictError,
    PlatformUnavailableError,
    Revision,
    digest_bytes,
    join_sections,
)

_LOG = logging.getLogger(__name__)
_SETTLE_TRIES = 8
_SETTLE_SECONDS = 0.25
_PUTS_PER_COMMIT = 100


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One accepted change.

    :param sections: section names with the digest of each.
    :param operation: id of the change, by which a lost reply is settled.
    :param at: seconds since the epoch, by the accepting node's clock; for people only.
    """

    revision: Revision = Revision(0)
    sections: Mapping[str, str] = field(default_factory=dict)
    operation: str = ""
    author: str = ""
    summary: str = ""
    at: float = 0.0

    def encode(self) -> bytes:
        """Return the encoding that the service keeps."""
        return json.dumps(asdict(self), sort_keys=True).encode()

    @classmethod
    def decode(cls, data: bytes) -> "HistoryEntry":
        """Read what the service keeps."""
        return cls(**json.loads(data))


class ConfigurationStore:
    """The highest revision known to this process."""

    def __init__(self, keyvalue: KeyValueClient) -> None:
        self._keyvalue = keyvalue
        self.current = Configuration()
        self.head = HistoryEntry()
        self.bodies: dict[str, bytes] = {}
        self.changed = asyncio.Event()

    @property
    def revision(self) -> Revision:
        """The revision in force here, 0 if none is."""
        return self.current.revision

    def adopt(self, head: HistoryEntry, bodies: Mapping[str, bytes]) -> bool:
        """Put a configuration in force, unless it is not newer than the present one.

        Messages overtake one another and peers may be behind. Without the comparison a late
        message would bring an old revision back, and a rule that was withdrawn would hold again.

        :raises ConfigurationError: if a section is missing or not the one its digest names.
        """
        if head.revision <= self.revision:
            return False
        merged = {**self.bodies, **bodies}
        configuration = join_sections(head.sections, merged, head.revision)
        self.bodies = {digest: merged[digest] for digest in head.sections.values()}
        self.head = head
        self.current = configuration
        self.changed.set()
        self.changed = asyncio.Event()
        _LOG.info("revision %d is in force here", head.revision)
        return True

    async def refresh(self, entry: Entry | None) -> None:
        """Adopt the head that was read from the service, if it is newer."""
        if entry is None:
            return
        head = HistoryEntry.decode(entry.value)
        if head.revision <= self.revision:
            return
        self.adopt(head, await self.read_sections(head))

    async def read_sections(self, head: HistoryEntry) -> dict[str, bytes]:
        """Read the sections of a head that are not held."""
        bodies: dict[str, bytes] = {}
        for digest in set(head.sections.values()) - self.bodies.keys():
            entry = await self._keyvalue.get(name_section(digest))
            if entry is not None:
                bodies[digest] = entry.value
        return {**self.bodies, **bodies}

    async def read_history(self, revision: Revision) -> HistoryEntry | None:
        """Read a past head."""
        entry = await self._keyvalue.get(name_revision(revision))
        return HistoryEntry.decode(entry.value) if entry else None

    async def accept(
        self,
        sections: Mapping[str, bytes],
        *,
        base: Revision,
        operation: str,
        author: str,
        summary: str,
    ) -> HistoryEntry:
        """Make a checked configuration the next revision.

        :param base: the revision that the operator saw.
        :raises ConflictError: if another change was accepted since; it names that change.
        :raises PlatformUnavailableError: if whether it was accepted could not be learned.
        """
        entry = await self._keyvalue.get(HEAD)
        present = HistoryEntry.decode(entry.value) if entry else HistoryEntry()
        if present.operation == operation:
            return present
        if present.revision != base:
            raise _describe_conflict(base, present)
        head = HistoryEntry(
            revision=Revision(base + 1),
            sections={name: str(digest_bytes(body)) for name, body in sections.items()},
            operation=operation,
            author=author,
            summary=summary,
            at=time.time(),
        )
        bodies = {str(digest_bytes(body)): body for body in sections.values()}
        await self._write_sections(bodies, present)
        condition = Unchanged(HEAD, entry.mod_revision) if entry else Absent(HEAD)
        await self._move_head(condition, head)
        self.adopt(head, bodies)
        return head

    async def _write_sections(self, bodies: Mapping[str, bytes], present: HistoryEntry) -> None:
        """Write new sections; their names are their digests, so writing twice does no harm."""
        known = set(present.sections.values())
        puts = [Put(name_section(digest), body) for digest, body in bodies.items()]
        new = [put for put in puts if put.key.rsplit("/", 1)[1] not in known]
        for start in range(0, len(new), _PUTS_PER_COMMIT):
            await self._write_part(new[start : start + _PUTS_PER_COMMIT])

    async def _write_part(self, puts: list[Put]) -> None:
        for attempt in range(_SETTLE_TRIES):
            try:
                await self._keyvalue.commit([], puts)
                return
            except PlatformUnavailableError:
                if attempt == _SETTLE_TRIES - 1:
                    raise
            await asyncio.sleep(_SETTLE_SECONDS)

    async def _move_head(self, condition: Unchanged | Absent, head: HistoryEntry) -> None:
        """Move the head, settling a lost reply by reading back.

        Blindly repeating a write whose reply was lost reports a conflict with itself; blindly
        reporting failure denies a change that is in force. The operation id tells the two apart.
        """
        puts = [Put(HEAD, head.encode()), Put(name_revision(head.revision), head.encode())]
        for _ in range(_SETTLE_TRIES):
            try:
                if await self._keyvalue.commit([condition], puts):
                    return
                present = await self._keyvalue.get(name_revision(head.revision))
            except PlatformUnavailableError as error:
                _LOG.warning("reply lost, reading back: %s", error)
                await asyncio.sleep(_SETTLE_SECONDS)
                continue
            winner = HistoryEntry.decode(present.value) if present else HistoryEntry()
            if winner.operation == head.operation:
                return
            raise _describe_conflict(Revision(head.revision - 1), winner)
        raise PlatformUnavailableError(
            f"whether revision {head.revision} (operation {head.operation}) was accepted is not "
            "known; see the history once the service answers",
            step="move-head",
        )


def _describe_conflict(base: Revision, present: HistoryEntry) -> ConflictError:
    return ConflictError(
        f"based on revision {base}, but revision {present.revision} by "
        f"{present.author or 'nobody'} ({present.summary or 'no summary'}) was accepted first",
        step="accept-configuration",
    )
