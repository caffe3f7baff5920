"""Cutting a page of client blocks into parts."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterator

from lagoonlatch.config.client_blocks import RowFormat, format_of

LARGEST_PART = 65_536
"""Bytes; the head's size and a part's are then about equal at millions of blocks."""

_BITS_PER_BYTE = 8


def split_page(page: str, rows: bytes) -> Iterator[bytes]:
    """Yield the rows of a page in pieces of at most `LARGEST_PART` bytes.

    The address range is halved until each half is small enough, so that the cuts
    depend on addresses alone and a new block moves none of them but its own.
    """
    row_format = format_of(page)
    highest = 1 << (_BITS_PER_BYTE * row_format.address_bytes)
    yield from _split(rows, row_format, 0, highest)


def _split(rows: bytes, row_format: RowFormat, first: int, end: int) -> Iterator[bytes]:
    """Yield the rows, whose addresses lie from `first` up to `end`, in pieces."""
    if len(rows) <= LARGEST_PART or end - first <= 1:
        if rows:
            yield rows
        return
    middle = (first + end) // 2
    cut = _offset_of(middle, rows, row_format)
    yield from _split(rows[:cut], row_format, first, middle)
    yield from _split(rows[cut:], row_format, middle, end)


def _offset_of(address: int, rows: bytes, row_format: RowFormat) -> int:
    """Return the offset of the first row at or after `address`."""
    size = row_format.struct.size
    width = row_format.address_bytes

    def address_at(index: int) -> bytes:
        start = index * size
        return rows[start : start + width]

    wanted = address.to_bytes(width, "big")
    return size * bisect_left(range(len(rows) // size), wanted, key=address_at)
