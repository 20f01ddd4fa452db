"""Chunks held in memory, each checked before it is kept."""

import asyncio
from collections.abc import Iterable, Sequence

from wrenloft_core import (
    ChunkDigest,
    IntegrityError,
    Manifest,
    VersionDigest,
    digest_bytes,
)


class ChunkStore:
    """Whole, verified chunks and the manifests of the versions that use them.

    :param limit: bytes of chunks held at most.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._chunks: dict[ChunkDigest, bytes] = {}
        self._manifests: dict[VersionDigest, Manifest] = {}
        self._size = 0
        self._added: list[ChunkDigest] = []
        self.changed = asyncio.Event()

    @property
    def size(self) -> int:
        """Bytes held."""
        return self._size

    def add_manifest(self, manifest: Manifest) -> None:
        """Remember a version's manifest."""
        self._manifests[manifest.version] = manifest
        self._notify()

    def manifest(self, version: VersionDigest) -> Manifest | None:
        """Return a version's manifest, if it is known."""
        return self._manifests.get(version)

    def versions(self) -> list[VersionDigest]:
        """Return the versions whose manifest is known."""
        return list(self._manifests)

    def add(self, digest: ChunkDigest, data: bytes, *, peer: str) -> None:
        """Keep a chunk.

        The digest is computed here and nowhere else: whatever the chunk's way here, bytes that
        are not those that the manifest names are never kept, passed on or loaded.

        :raises IntegrityError: if the bytes are not those of ``digest``.
        """
        if digest_bytes(data) != digest:
            raise IntegrityError("chunk digest differs", step="keep-chunk", peer=peer)
        if digest not in self._chunks:
            self._chunks[digest] = data
            self._size += len(data)
            self._added.append(digest)
            self._notify()

    def added_since(self, position: int) -> tuple[Sequence[ChunkDigest], int]:
        """Return the chunks added since a position in the order of arrival, and the new one."""
        return self._added[position:], len(self._added)

    def get(self, digest: ChunkDigest) -> bytes | None:
        """Return a chunk, if it is held."""
        return self._chunks.get(digest)

    def held(self, version: VersionDigest) -> list[int]:
        """Return the numbers of a version's chunks that are held."""
        manifest = self._manifests.get(version)
        if manifest is None:
            return []
        return [number for number, digest in enumerate(manifest.digests) if digest in self._chunks]

    def is_whole(self, manifest: Manifest) -> bool:
        """Tell whether every chunk of a version is held."""
        return all(digest in self._chunks for digest in manifest.digests)

    def fits(self, manifest: Manifest) -> bool:
        """Tell whether a version could be held at all."""
        return manifest.total <= self._limit

    def make_room(self, manifest: Manifest, wanted: Iterable[VersionDigest]) -> None:
        """Drop versions that nobody wants, oldest first, until ``manifest`` fits."""
        keep = {manifest.version, *wanted}
        for version in [each for each in self._manifests if each not in keep]:
            missing = sum(
                size
                for digest, size in zip(manifest.digests, manifest.sizes, strict=True)
                if digest not in self._chunks
            )
            if self._size + missing <= self._limit:
                return
            self._drop(version, keep)

    def _drop(self, version: VersionDigest, keep: set[VersionDigest]) -> None:
        dropped = self._manifests.pop(version)
        others = [each for name, each in self._manifests.items() if name in keep]
        shared = {digest for each in others for digest in each.digests}
        for digest in set(dropped.digests) - shared:
            if (data := self._chunks.pop(digest, None)) is not None:
                self._size -= len(data)

    def _notify(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()
