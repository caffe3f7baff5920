"""The data centre nearest to a client, by the longest block that holds it.

The blocks are searched in the packed rows of the configuration, so that a table of
millions of blocks is held once and a change of a few blocks costs nothing here. No
module state: a table is good for one configuration.

Notes
-----
Two blocks nest or are disjoint. The last row that does not sort after an address is
therefore its longest block, or else every block of the address holds that row's block
too and so is no longer than their common prefix; the search goes on from there. One
or two searches settle nearly every address.
"""

from __future__ import annotations

import socket
from bisect import bisect_right
from collections.abc import Iterable, Mapping

from lagoonlatch.config.client_blocks import (
    ROW_FORMAT_BY_VERSION,
    ClientBlock,
    ClientBlockPages,
    RowFormat,
    format_of,
    page_of,
)

BITS_PER_BYTE = 8
_MAPPED_PREFIX = bytes(10) + b"\xff\xff"


class ClientBlocks:
    """Finds the data centre of a client's address.

    Parameters
    ----------
    pages : ClientBlockPages
        The packed blocks; they are shared, not copied.

    See Also
    --------
    lagoonlatch.config.client_blocks : How blocks are packed.
    """

    def __init__(self, pages: ClientBlockPages) -> None:
        self._pages = pages
        self._wide_by_version = _wide_blocks(pages)

    @classmethod
    def from_pages(cls, pages: ClientBlockPages) -> ClientBlocks:
        """Return the table of a configuration's blocks."""
        return cls(pages)

    @classmethod
    def from_blocks(cls, blocks: Iterable[ClientBlock]) -> ClientBlocks:
        """Return the table of blocks given in any order.

        Raises
        ------
        ValueError
            If a block is no CIDR block.
        """
        return cls(ClientBlockPages.from_blocks(blocks))

    def __len__(self) -> int:
        return len(self._pages)

    def find(self, address: str) -> str | None:
        """Return the data centre of the longest block that holds `address`.

        Parameters
        ----------
        address : str
            IPv4 or IPv6; an IPv4 address mapped into IPv6 counts as IPv4.

        Returns
        -------
        str or None
            None if no block holds it or it is no IP address.
        """
        packed = _packed(address)
        if packed is None:
            return None
        version = 4 if len(packed) == ROW_FORMAT_BY_VERSION[4].address_bytes else 6
        rows = self._pages.rows_by_page.get(page_of(version, packed))
        index = None
        if rows is not None:
            index = _search(rows, ROW_FORMAT_BY_VERSION[version], packed)
        if index is None:
            index = self._search_wide(version, packed)
        return None if index is None else self._pages.data_centres[index]

    def _search_wide(self, version, packed):
        number = int.from_bytes(packed, "big")
        bits = len(packed) * BITS_PER_BYTE
        for length, prefix, index in self._wide_by_version.get(version, ()):
            if number >> (bits - length) == prefix:
                return index
        return None


def _packed(address: str) -> bytes | None:
    try:
        if ":" not in address:
            return socket.inet_pton(socket.AF_INET, address)
        packed = socket.inet_pton(socket.AF_INET6, address)
    except (OSError, ValueError):
        return None
    if packed.startswith(_MAPPED_PREFIX):
        return packed[len(_MAPPED_PREFIX) :]
    return packed


def _search(rows: bytes, row_format: RowFormat, packed: bytes) -> int | None:
    """Return the index of the longest block within a page, or None."""
    row = row_format.struct
    size = row.size
    key_bytes = row_format.address_bytes + 1

    def key_at(position: int) -> bytes:
        return rows[position * size : position * size + key_bytes]

    number = int.from_bytes(packed, "big")
    bits = row_format.address_bytes * BITS_PER_BYTE
    length = bits
    positions = range(len(rows) // size)
    while length > 0:
        masked = number >> (bits - length) << (bits - length)
        key = masked.to_bytes(row_format.address_bytes, "big") + bytes((length,))
        position = bisect_right(positions, key, key=key_at) - 1
        if position < 0:
            return None
        start, row_length, index = row.unpack_from(rows, position * size)
        differing = int.from_bytes(start, "big") ^ number
        common = bits - differing.bit_length()
        if common >= row_length:
            return index
        length = common
        positions = range(position)
    return None


def _wide_blocks(pages: ClientBlockPages) -> Mapping[int, list[tuple[int, int, int]]]:
    """Return the blocks wider than a page: length, prefix and index, longest first."""
    wide_by_version: dict[int, list[tuple[int, int, int]]] = {}
    for page in pages.rows_by_page:
        row_format = format_of(page)
        bits = row_format.address_bytes * BITS_PER_BYTE
        page_bits = row_format.page_bytes * BITS_PER_BYTE
        # They begin where their page begins, so they sort before all others.
        for address, length, index in pages.rows(page):
            if length >= page_bits:
                break
            prefix = int.from_bytes(address, "big") >> (bits - length)
            version = int(page.partition("-")[0])
            wide_by_version.setdefault(version, []).append((length, prefix, index))
    for blocks in wide_by_version.values():
        blocks.sort(reverse=True)
    return wide_by_version
