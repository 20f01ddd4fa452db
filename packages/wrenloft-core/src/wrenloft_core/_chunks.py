"""Manifests, which identify versions of weights by the digests of their chunks."""

import json
from collections.abc import Iterable
from dataclasses import dataclass

from blake3 import blake3

from wrenloft_core._errors import IntegrityError
from wrenloft_core._ids import ChunkDigest, VersionDigest


def digest_bytes(data: bytes | bytearray | memoryview) -> ChunkDigest:
    """Return the digest of ``data``, as hex."""
    return ChunkDigest(blake3(data).hexdigest())


@dataclass(frozen=True, slots=True)
class Manifest:
    """The chunks of one version, in order.

    :param digests: one digest per chunk.
    :param sizes: bytes of each chunk.
    """

    digests: tuple[ChunkDigest, ...]
    sizes: tuple[int, ...]

    @property
    def total(self) -> int:
        """Size of the weights, in bytes."""
        return sum(self.sizes)

    @property
    def version(self) -> VersionDigest:
        """The digest of the encoded manifest, which identifies the version."""
        return VersionDigest(digest_bytes(self.encode()))

    def encode(self) -> bytes:
        """Return the canonical encoding, from which the version is computed."""
        return json.dumps(
            {"digests": self.digests, "sizes": self.sizes}, separators=(",", ":")
        ).encode()

    def offset(self, chunk: int) -> int:
        """Return the offset of a chunk in the weights, in bytes."""
        return sum(self.sizes[:chunk])

    @classmethod
    def decode(cls, data: bytes, version: VersionDigest, *, peer: str) -> "Manifest":
        """Decode a manifest and check it against its version.

        :param peer: where it was received from, for the error.
        :raises IntegrityError: if the digest of ``data`` isn't ``version``.
        """
        if VersionDigest(digest_bytes(data)) != version:
            raise IntegrityError("manifest digest differs", step="read-manifest", peer=peer)
        fields = json.loads(data)
        return cls(digests=tuple(fields["digests"]), sizes=tuple(fields["sizes"]))


def build_manifest(chunks: Iterable[bytes]) -> Manifest:
    """Return the manifest of the given chunks, in order."""
    digests: list[ChunkDigest] = []
    sizes: list[int] = []
    for chunk in chunks:
        digests.append(digest_bytes(chunk))
        sizes.append(len(chunk))
    return Manifest(digests=tuple(digests), sizes=tuple(sizes))
