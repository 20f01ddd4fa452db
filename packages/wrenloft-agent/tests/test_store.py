"""Tests of the chunk store."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from wrenloft_agent._store import ChunkStore

from wrenloft_core import IntegrityError, build_manifest, digest_bytes


class TestAdd:
    """Tests for ``ChunkStore.add``."""

    @given(st.binary(min_size=1, max_size=64), st.data())
    def test_never_keeps_bytes_that_the_digest_does_not_name(
        self, chunk: bytes, data: st.DataObject
    ) -> None:
        """A host must never serve from weights of which a single bit is wrong.

        Any byte of a chunk may be flipped on the way; whatever its source, the chunk is refused
        before it can be passed on or loaded.
        """
        position = data.draw(st.integers(0, len(chunk) - 1))
        flip = data.draw(st.integers(1, 255))
        wrong = bytearray(chunk)
        wrong[position] ^= flip
        store = ChunkStore(limit=1000)
        with pytest.raises(IntegrityError):
            store.add(digest_bytes(chunk), bytes(wrong), peer="x")
        assert store.get(digest_bytes(chunk)) is None


class TestMakeRoom:
    """Tests for ``ChunkStore.make_room``."""

    def test_drops_an_unwanted_version_but_not_shared_chunks(self) -> None:
        """A chunk that stands in two versions survives when one of them is dropped."""
        old = build_manifest([b"a" * 10, b"shared"])
        new = build_manifest([b"shared", b"b" * 10])
        store = ChunkStore(limit=20)
        store.add_manifest(old)
        for chunk in (b"a" * 10, b"shared"):
            store.add(digest_bytes(chunk), chunk, peer="x")
        store.add_manifest(new)
        store.make_room(new, wanted=[])
        assert store.versions() == [new.version]
        assert store.held(new.version) == [0]
        assert store.size == len(b"shared")

    def test_keeps_what_fits_for_a_roll_back(self) -> None:
        """While there is room the old version stays, so that a roll-back needs no fetch."""
        old, new = build_manifest([b"a"]), build_manifest([b"b"])
        store = ChunkStore(limit=20)
        store.add_manifest(old)
        store.add(digest_bytes(b"a"), b"a", peer="x")
        store.add_manifest(new)
        store.make_room(new, wanted=[])
        assert store.is_whole(old)
