"""Items of the store as text for frames: plain while they are short, deflated otherwise."""

import base64
import json
import zlib
from collections.abc import Sequence
from dataclasses import dataclass
from functools import lru_cache
from typing import Any

MAX_PLAIN_BYTES = 4096
"""Length of all values together up to which nothing is deflated: little would be saved."""

DEFLATE_LEVEL = 6
"""The library's own middle between time and length, 1 to 9."""

PACKED_CACHE_SIZE = 8
"""Packed sequences kept: followers that begin within a second are all told the same one, and
deflating 3,000 items for each of 100 nodes would take their relay's processor for seconds."""

MAX_UNPACKED_BYTES = 16 * 1024 * 1024
"""Longest text that is taken out of a packed one; 10,000 entries are 3 MB."""


@dataclass(frozen=True, slots=True)
class Item:
    """One key as it was last written; ``value`` is ``None`` for a deletion."""

    key: str
    value: bytes | None
    revision: int


def pack_items(items: Sequence[Item]) -> list[list[Any]] | str:
    """Return rows for short items, and deflated text for long or many ones.

    A node that starts is told all that the store holds. Plain, the entries of 3,000 endpoints are
    more than a megabyte for each node and agent: their relay's link was full for seconds, and a
    link between regions too, with the configuration waiting behind it. Entries differ in a few
    characters only, so deflated they take a twentieth. So does a configuration of many rules: in a
    storm of changes each of them, half a megabyte, was on its way to every node at once.
    """
    if sum(len(each.key) + len(each.value or b"") for each in items) <= MAX_PLAIN_BYTES:
        return [_write_row(each) for each in items]
    return _deflate(tuple(items))


def unpack_items(packed: Any) -> tuple[Item, ...]:
    """Return the items of rows or of deflated text.

    :raises ValueError: if it is neither.
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
    # Values go in as text of one byte a character: in base64 the same words look different at
    # each offset, and hardly anything is saved.
    rows = [[each.key, (each.value or b"").decode("latin-1"), each.revision] for each in items]
    text = json.dumps(rows, separators=(",", ":")).encode()
    return base64.b64encode(zlib.compress(text, DEFLATE_LEVEL)).decode()


def _inflate(packed: str) -> list[list[Any]]:
    inflater = zlib.decompressobj()
    try:
        text = inflater.decompress(base64.b64decode(packed), MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(f"not deflated: {error}") from error
    if not inflater.eof:
        raise ValueError("deflated text is cut short, or longer than allowed")
    rows: list[list[Any]] = json.loads(text)
    return rows
