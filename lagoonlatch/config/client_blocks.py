"""Blocks of client addresses, packed.

A fleet steers millions of client blocks, so a configuration holds them as rows of
bytes, not as objects: a row is the block's first address, its prefix length and the
index of its data centre. Rows are sorted and grouped into pages by the leading bits
of the address, so that a change of one block rewrites one page, and a page can be
searched without being unpacked.
"""

from __future__ import annotations

import ipaddress
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from struct import Struct
from typing import NamedTuple

Network = ipaddress.IPv4Network | ipaddress.IPv6Network


@dataclass(frozen=True, kw_only=True)
class ClientBlock:
    """A block of client addresses and the data centre nearest to it.

    Parameters
    ----------
    cidr : str
        The block, such as ``203.0.113.0/24``.
    data_centre : str
        The id of the data centre.
    """

    cidr: str
    data_centre: str


class RowFormat(NamedTuple):
    """How the blocks of one IP version are packed.

    Parameters
    ----------
    struct : struct.Struct
        Address, prefix length and index of the data centre, big-endian.
    address_bytes : int
        Length of an address.
    page_bytes : int
        Leading bytes of the address that name its page.
    """

    struct: Struct
    address_bytes: int
    page_bytes: int


ROW_FORMAT_BY_VERSION: Mapping[int, RowFormat] = {
    4: RowFormat(Struct(">4sBH"), address_bytes=4, page_bytes=1),
    6: RowFormat(Struct(">16sBH"), address_bytes=16, page_bytes=2),
}


class IndexedRow(NamedTuple):
    """One packed block: first address, prefix length, index of its data centre."""

    address: bytes
    length: int
    index: int


@dataclass(frozen=True, kw_only=True)
class ClientBlockPages:
    """Client blocks, packed; iterating gives each as a `ClientBlock`.

    Parameters
    ----------
    data_centres : tuple of str
        Ids of the data centres, sorted; rows refer to them by index.
    rows_by_page : mapping of str to bytes
        Packed rows, sorted; a page's name is the IP version and the leading bytes
        of its addresses in hexadecimal, such as ``4-cb`` or ``6-2001``.
    """

    data_centres: tuple[str, ...] = ()
    rows_by_page: Mapping[str, bytes] = field(default_factory=dict)

    @classmethod
    def from_blocks(cls, blocks: Iterable[ClientBlock]) -> ClientBlockPages:
        """Pack blocks given in any order.

        Raises
        ------
        ValueError
            If a block is no CIDR block or has bits set behind its prefix.
        """
        return cls.from_networks(
            (ipaddress.ip_network(block.cidr), block.data_centre) for block in blocks
        )

    @classmethod
    def from_networks(cls, networks: Iterable[tuple[Network, str]]) -> ClientBlockPages:
        """Pack networks and the data centre of each, given in any order."""
        pairs = [
            (network.version, network.network_address.packed, network.prefixlen, centre)
            for network, centre in networks
        ]
        data_centres = tuple(sorted({centre for *_, centre in pairs}))
        index_by_id = {centre: index for index, centre in enumerate(data_centres)}
        rows_by_page: dict[str, list[bytes]] = defaultdict(list)
        for version, address, length, centre in pairs:
            row = ROW_FORMAT_BY_VERSION[version].struct.pack(
                address, length, index_by_id[centre]
            )
            rows_by_page[page_of(version, address)].append(row)
        return cls(
            data_centres=data_centres,
            rows_by_page={
                page: b"".join(sorted(rows))
                for page, rows in sorted(rows_by_page.items())
            },
        )

    def __len__(self) -> int:
        return sum(
            len(rows) // format_of(page).struct.size
            for page, rows in self.rows_by_page.items()
        )

    def __iter__(self) -> Iterator[ClientBlock]:
        for page in sorted(self.rows_by_page):
            for address, length, index in self.rows(page):
                start = ipaddress.ip_address(address)
                yield ClientBlock(
                    cidr=f"{start}/{length}", data_centre=self.data_centres[index]
                )

    def rows(self, page: str) -> Iterator[IndexedRow]:
        """Iterate over a page's rows."""
        rows = format_of(page).struct.iter_unpack(self.rows_by_page[page])
        return map(IndexedRow._make, rows)


def page_of(version: int, address: bytes) -> str:
    """Return the name of the page that holds blocks beginning at `address`."""
    leading = address[: ROW_FORMAT_BY_VERSION[version].page_bytes]
    return f"{version}-{leading.hex()}"


def format_of(page: str) -> RowFormat:
    """Return the row format of a page.

    Raises
    ------
    KeyError
        If the page's name begins with no IP version; validation comes first.
    """
    return ROW_FORMAT_BY_VERSION[int(page.partition("-")[0])]
