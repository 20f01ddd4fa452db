"""Verified chunks of the versions stored by this agent."""

import asyncio
import hashlib
import logging
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from wrenloft_core import IntegrityError, ModelName, note, read_clock

_LOG = logging.getLogger(__name__)

KEPT_VERSIONS = 3
"""Versions stored at once: the one in service, the one being fetched, and the one before, for a
restarted engine or a slow neighbour. Each is a few MB."""


@dataclass(frozen=True, slots=True)
class VersionName:
    """A model and the number of one version of its weights."""

    model: ModelName
    number: int


class VersionChunks:
    """The stored chunks of one version.

    :param digests: SHA-256 of each chunk, in hex.
    :ivar bitmap: bit ``n`` is set if chunk ``n`` is stored.
    :ivar added_at: time of the last addition.
    :ivar changed: set, and replaced, when a chunk is added.
    """

    def __init__(self, name: VersionName, digests: Sequence[str]) -> None:
        self.name = name
        self.digests = tuple(digests)
        self._chunks: dict[int, bytes] = {}
        self.bitmap = 0
        self.added_at = 0.0
        self.changed = asyncio.Event()

    @property
    def is_complete(self) -> bool:
        """Whether every chunk is stored."""
        return len(self._chunks) == len(self.digests)

    @property
    def stored_count(self) -> int:
        """Number of stored chunks."""
        return len(self._chunks)

    def get(self, chunk: int) -> bytes | None:
        """Return a chunk if it is stored."""
        return self._chunks.get(chunk)

    def matches(self, chunk: int, data: bytes) -> bool:
        """Return whether ``data`` matches the digest of a chunk."""
        return hashlib.sha256(data).hexdigest() == self.digests[chunk]

    def add(self, chunk: int, data: bytes, peer: str) -> None:
        """Store a chunk.

        Every chunk passes this check before it is stored, sent to others or loaded, whatever its
        source.

        :raises IntegrityError: if ``data`` doesn't match the chunk's digest.
        """
        if not self.matches(chunk, data):
            raise IntegrityError(
                f"chunk {chunk} does not match its digest", step="keep-chunk", peer=peer
            )
        if chunk not in self._chunks:
            self._chunks[chunk] = data
            self.bitmap |= 1 << chunk
            self.added_at = read_clock()
            self.changed.set()
            self.changed = asyncio.Event()

    def list_missing(self, wanted: Iterable[int] | None = None) -> list[int]:
        """Return the numbers of the chunks not stored, of all or of those wanted."""
        among = range(len(self.digests)) if wanted is None else wanted
        return [each for each in among if each not in self._chunks]


class ChunkStore:
    """The stored versions of all models."""

    def __init__(self) -> None:
        self._versions: dict[VersionName, VersionChunks] = {}

    def get(self, name: VersionName) -> VersionChunks | None:
        """Return a version's chunks if its digests are known."""
        return self._versions.get(name)

    def open(self, name: VersionName, digests: Sequence[str]) -> VersionChunks:
        """Return a version's chunks, empty if its digests are new, and drop old versions."""
        known = self._versions.get(name)
        if known is not None and known.digests == tuple(digests):
            return known
        version_chunks = VersionChunks(name, digests)
        self._versions[name] = version_chunks
        self._drop_old(name.model)
        return version_chunks

    def _drop_old(self, model: ModelName) -> None:
        names = sorted(
            (each for each in self._versions if each.model == model), key=lambda each: each.number
        )
        for name in names[:-KEPT_VERSIONS]:
            del self._versions[name]
            note(_LOG, "version dropped", model=name.model, version=name.number)
