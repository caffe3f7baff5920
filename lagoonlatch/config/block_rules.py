"""The rules for packed client blocks."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Iterator
from dataclasses import dataclass

from lagoonlatch.config.client_blocks import IndexedRow, RowFormat, format_of
from lagoonlatch.config.model import Configuration
from lagoonlatch.config.rules import Problem, check_known

_PAGE = re.compile(r"4-[0-9a-f]{2}|6-[0-9a-f]{4}")


@dataclass(frozen=True)
class PageProblem:
    """What is wrong with a page and what would be valid."""

    value: str
    valid: str


def check_client_blocks(
    configuration: Configuration, valid: Configuration
) -> Iterator[Problem]:
    """Yield the problems of the client blocks that differ from those in `valid`."""
    blocks = configuration.client_blocks
    checked_rows = valid.client_blocks.rows_by_page
    if valid.client_blocks.data_centres != blocks.data_centres:
        checked_rows = {}
    place = "$.client_blocks.data_centres"
    if list(blocks.data_centres) != sorted(set(blocks.data_centres)):
        yield Problem(place, list(blocks.data_centres), "ids sorted, each once")
    for centre in blocks.data_centres:
        yield from check_known(place, centre, configuration.data_centres_by_id)
    for page, rows in blocks.rows_by_page.items():
        if rows == checked_rows.get(page):
            continue
        problem = page_problems(page, rows, len(blocks.data_centres))
        if problem is not None:
            page_place = f"$.client_blocks.rows_by_page.{page}"
            yield Problem(page_place, problem.value, problem.valid)


def page_problems(page: str, rows: bytes, data_centres: int) -> PageProblem | None:
    """Return the first problem of a page, or None.

    Parameters
    ----------
    page : str
        The page's name.
    rows : bytes
        Its packed rows.
    data_centres : int
        How many data centres the rows may refer to.
    """
    if not _PAGE.fullmatch(page):
        return PageProblem(page, "page 4-00 to 4-ff or 6-0000 to 6-ffff")
    row_format = format_of(page)
    size = row_format.struct.size
    if not rows or len(rows) % size:
        return PageProblem(f"{len(rows)} bytes", f"rows of {size} bytes, one or more")
    return _row_problem(page, rows, row_format, data_centres)


def _row_problem(
    page: str, rows: bytes, row_format: RowFormat, data_centres: int
) -> PageProblem | None:
    leading = bytes.fromhex(page[2:])
    bits = row_format.address_bytes * 8
    host_masks = [(1 << (bits - length)) - 1 for length in range(bits + 1)]
    to_int = int.from_bytes
    previous, previous_length = b"", -1
    for address, length, index in row_format.struct.iter_unpack(rows):
        # Millions of rows: only a row that breaks a rule is looked at closely.
        if (
            length > bits
            or index >= data_centres
            or to_int(address, "big") & host_masks[length]
            or address < previous
            or (address == previous and length <= previous_length)
            or not address.startswith(leading)
        ):
            row = IndexedRow(address, length, index)
            return _describe(row, leading, bits, data_centres)
        previous, previous_length = address, length
    return None


def _describe(
    row: IndexedRow, leading: bytes, bits: int, data_centres: int
) -> PageProblem:
    address, length, index = row
    shown = f"{ipaddress.ip_address(address)}/{length}"
    if not address.startswith(leading):
        return PageProblem(shown, f"addresses that begin with {leading.hex()}")
    if length > bits:
        return PageProblem(shown, f"prefix of 0 to {bits} bits")
    if int.from_bytes(address, "big") & ((1 << (bits - length)) - 1):
        return PageProblem(shown, "no bits set behind the prefix")
    if index >= data_centres:
        centre = f"{shown} to data centre {index}"
        return PageProblem(centre, f"index below {data_centres}")
    return PageProblem(shown, "blocks sorted, each given once")
