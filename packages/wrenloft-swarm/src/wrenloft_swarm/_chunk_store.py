"""The chunks of each version that this agent holds, every one checked."""

import asyncio
import hashlib
import logging
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from wrenloft_core import IntegrityError, ModelName, note, read_clock

_LOG = logging.getLogger(__name__)

KEPT_VERSIONS = 3
"""Versions held at once: the one in service, the one on its way, and the one before, from which a
restarted engine or a late neighbour is still served. Each is a few MB."""


@dataclass(frozen=True, slots=True)
class VersionName:
    """A model and the number of one version of its weights."""

    model: ModelName
    number: int


class Holding:
    """One version's chunks.

    :param digests: SHA-256 of each chunk, in hex.
    """

    def __init__(self, name: VersionName, digests: Sequence[str]) -> None:
        self.name = name
        self.digests = tuple(digests)
        self._chunks: dict[int, bytes] = {}
        self.mask = 0
        self.added_at = 0.0
        self.changed = asyncio.Event()

    @property
    def whole(self) -> bool:
        """Whether every chunk is held."""
        return len(self._chunks) == len(self.digests)

    @property
    def held(self) -> int:
        """How many chunks are held."""
        return len(self._chunks)

    def get(self, chunk: int) -> bytes | None:
        """Return a chunk, if it is held."""
        return self._chunks.get(chunk)

    def is_own(self, chunk: int, data: bytes) -> bool:
        """Tell whether bytes are those of a chunk."""
        return hashlib.sha256(data).hexdigest() == self.digests[chunk]

    def add(self, chunk: int, data: bytes, peer: str) -> None:
        """Keep a chunk.

        Nothing that fails this check is kept, passed on or loaded, whatever its way here.

        :raises IntegrityError: if the bytes are not the chunk's.
        """
        if not self.is_own(chunk, data):
            raise IntegrityError(f"chunk {chunk} is spoilt", step="keep-chunk", peer=peer)
        if chunk not in self._chunks:
            self._chunks[chunk] = data
            self.mask |= 1 << chunk
            self.added_at = read_clock()
            self.changed.set()
            self.changed = asyncio.Event()

    def missing(self, wanted: Iterable[int] | None = None) -> list[int]:
        """Return the numbers of the chunks not held, of all or of those wanted."""
        among = range(len(self.digests)) if wanted is None else wanted
        return [each for each in among if each not in self._chunks]


class Holdings:
    """All versions held."""

    def __init__(self) -> None:
        self._holdings: dict[VersionName, Holding] = {}

    def get(self, name: VersionName) -> Holding | None:
        """Return a version's chunks, if its manifest is known."""
        return self._holdings.get(name)

    def open(self, name: VersionName, digests: Sequence[str]) -> Holding:
        """Return a version's chunks, made anew if its digests changed, and drop old versions."""
        known = self._holdings.get(name)
        if known is not None and known.digests == tuple(digests):
            return known
        holding = Holding(name, digests)
        self._holdings[name] = holding
        self._drop_old(name.model)
        return holding

    def _drop_old(self, model: ModelName) -> None:
        names = sorted(
            (each for each in self._holdings if each.model == model), key=lambda each: each.number
        )
        for name in names[:-KEPT_VERSIONS]:
            del self._holdings[name]
            note(_LOG, "version dropped", model=name.model, version=name.number)
