"""What a VM checks of a configuration that it received.

Operators' tools check everything before they publish, and digests show that the
content is still the same. A VM checks again what a newer or faulty tool could have
let through, but of the client blocks only what takes no look at each row.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from dataclasses import replace

from returns.result import Failure, Result, Success

from lagoonlatch.config.client_blocks import RowFormat, format_of
from lagoonlatch.config.model import Configuration
from lagoonlatch.config.validation import validate

_PAGE = re.compile(r"4-[0-9a-f]{2}|6-[0-9a-f]{4}")
_INDEX_BYTES = 2
_BITS_PER_BYTE = 8


def check_received(
    former: Configuration, received: Configuration
) -> Result[Configuration, str]:
    """Return `received`, or the first rule that it breaks.

    Parameters
    ----------
    former : Configuration
        Passed these checks; its pages are not checked again.
    received : Configuration
        Decoded, so that its values have the right types.
    """
    for problem in _problems(former, received):
        return Failure(problem)
    return Success(received)


def _problems(former: Configuration, received: Configuration) -> Iterator[str]:
    blocks = received.client_blocks
    without_pages = replace(received, client_blocks=replace(blocks, rows_by_page={}))
    for problem in validate(without_pages):
        yield str(problem)
    same_centres = blocks.data_centres == former.client_blocks.data_centres
    for page, rows in blocks.rows_by_page.items():
        if same_centres and rows is former.client_blocks.rows_by_page.get(page):
            continue
        yield from _page_problems(page, rows, len(blocks.data_centres))


def _page_problems(page: str, rows: bytes, data_centres: int) -> Iterator[str]:
    if not _PAGE.fullmatch(page):
        yield f"page {page!r} is not valid; valid: 4-00 to 4-ff, 6-0000 to 6-ffff"
        return
    row_format = format_of(page)
    size = row_format.struct.size
    if not rows or len(rows) % size:
        yield f"page {page!r} has {len(rows)} bytes; valid: rows of {size} bytes"
        return
    bits = _BITS_PER_BYTE * row_format.address_bytes
    longest = max(rows[row_format.address_bytes :: size])
    if longest > bits:
        yield f"page {page!r} has a prefix of {longest} bits; valid: 0 to {bits}"
    if _highest_index(rows, row_format) >= data_centres:
        yield f"page {page!r} names a data centre beyond the {data_centres} listed"


def _highest_index(rows: bytes, row_format: RowFormat) -> int:
    """Return the highest data centre's index.

    The bytes of all rows are compared as two columns, which takes one pass each.
    """
    size = row_format.struct.size
    high_bytes = rows[size - _INDEX_BYTES :: size]
    low_bytes = rows[size - 1 :: size]
    highest = max(high_bytes)
    if highest == 0:
        return max(low_bytes)
    return max(
        (highest << _BITS_PER_BYTE) | low
        for high, low in zip(high_bytes, low_bytes, strict=True)
        if high == highest
    )
