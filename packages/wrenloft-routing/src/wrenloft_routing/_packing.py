"""Encoding of store items for frames: plain if short, deflated otherwise."""

import base64
import json
import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

MAX_PLAIN_BYTES = 4096
"""Total size up to which items stay plain: deflating them would save little."""

DEFLATE_LEVEL = 6
"""The library's default trade-off of time and size, on a scale of 1 to 9."""

PACKED_CACHE_SIZE = 8
"""Packed sequences cached: subscribers that connect within a second all get the same one, and
deflating 3,000 items for each of 100 nodes would occupy their relay's processor for seconds."""

MAX_UNPACKED_BYTES = 16 * 1024 * 1024
"""Largest inflated text accepted; 10,000 entries are 3 MB."""


@dataclass(frozen=True, slots=True)
class Item:
    """One key and its last written value; ``value`` is ``None`` for a deletion."""

    key: str
    value: bytes | None
    revision: int


def pack_items(items: Sequence[Item]) -> list[list[Any]] | str:
    """Return rows for short items, and deflated text for long or many ones.

    A node that starts gets all the store's content. Plain, the entries of 3,000 endpoints are
    more than a megabyte for each node and agent, which fills their relay's link, and a link
    between regions, for seconds while the configuration waits behind it. Entries differ in a few
    characters only, so deflated they take a twentieth. The same holds for a configuration of many
    rules: during frequent changes, each of half a megabyte, all of them would be in transit to
    every node at once.
    """
    if sum(len(each.key) + len(each.value or b"") for each in items) <= MAX_PLAIN_BYTES:
        return [_write_row(each) for each in items]
    return _deflate(tuple(items))


def unpack_items(packed: Any) -> tuple[Item, ...]:
    """Return the items of rows or of deflated text.

    :raises ValueError: if the value is neither.
    """
    if isinstance(packed, str):
        return tuple(
            Item(str(key), value.encode("latin-1"), int(revision))
            for key, value, revision in _inflate(packed)
        )
    return tuple(
        Item(str(key), base64.b64decode(value), int(revision)) for key, value, revision in packed
    )


def _write_row(item: Item) -> list[Any]:
    return [item.key, base64.b64encode(item.value or b"").decode(), item.revision]


@lru_cache(maxsize=PACKED_CACHE_SIZE)
def _deflate(items: tuple[Item, ...]) -> str:
    # Values are encoded as Latin-1, one byte per character: in base64 the same words would differ
    # by offset, and hardly anything would be saved.
    rows = [[each.key, (each.value or b"").decode("latin-1"), each.revision] for each in items]
    text = json.dumps(rows, separators=(",", ":")).encode()
    return base64.b64encode(zlib.compress(text, DEFLATE_LEVEL)).decode()


def _inflate(packed: str) -> list[list[Any]]:
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(base64.b64decode(packed), MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(f"cannot inflate: {error}") from error
    if not inflater.eof:
        raise ValueError("deflated text is truncated or longer than allowed")
    rows: list[list[Any]] = json.loads(text)
    return rows
