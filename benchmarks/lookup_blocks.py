"""Memory and time of the look-up tables at three sizes.

Run: python -m benchmarks.lookup_blocks [blocks ...]

Each size runs in the same process, the smallest first. Beside the packed rows stands
the flat table of break points (address, data centre), searched by bisect in C.
"""

from __future__ import annotations

import gc
import os
import random
import socket
import struct
import sys
import time
from array import array
from bisect import bisect_right

from lagoonlatch.config.client_blocks import ROW_FORMAT_BY_VERSION, ClientBlockPages
from lagoonlatch.routing.blocks import ClientBlocks

SIZES = (48_000, 480_000, 4_800_000)
SITES = 510
PROBES = 20_000
MEGABYTE = 1_000_000
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes():
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


def random_pages(count, rng):
    """Return blocks of /16 to /26, one in eight nested in a wider one."""
    pack = ROW_FORMAT_BY_VERSION[4].struct.pack
    rows_by_page = {}
    page_rows = count // 220
    for first in range(1, 221):
        rows = set()
        while len(rows) < page_rows:
            length = rng.choice((16, 20, 22, 23, 24, 24, 24, 24, 25, 26))
            bits = rng.getrandbits(24) >> (32 - length) << (32 - length)
            address = struct.pack(">I", first << 24 | bits)
            rows.add((address, length))
        rows_by_page[f"4-{first:02x}"] = b"".join(
            pack(address, length, rng.randrange(SITES))
            for address, length in sorted(rows)
        )
    sites = tuple(f"site-{n:03d}" for n in range(SITES))
    return ClientBlockPages(data_centres=sites, rows_by_page=rows_by_page)


def flat_table(pages):
    """Return break points and the data centre that holds from each on."""
    starts, sites = array("I"), array("H")
    for page in sorted(pages.rows_by_page):
        open_blocks = []
        for address, length, site in pages.rows(page):
            start = int.from_bytes(address, "big")
            _close(open_blocks, start, starts, sites)
            _put(starts, sites, start, site)
            open_blocks.append((start + (1 << (32 - length)), site))
        _close(open_blocks, 1 << 32, starts, sites)
    return starts, sites


def _close(open_blocks, start, starts, sites):
    while open_blocks and open_blocks[-1][0] <= start:
        end, _ = open_blocks.pop()
        if end < 1 << 32:
            _put(starts, sites, end, open_blocks[-1][1] if open_blocks else SITES)


def _put(starts, sites, start, site):
    if starts and starts[-1] == start:
        sites[-1] = site
    else:
        starts.append(start)
        sites.append(site)


def microseconds(find, addresses):
    began = time.perf_counter()
    for address in addresses:
        find(address)
    return (time.perf_counter() - began) / len(addresses) * 1e6


def measure(count):
    rng = random.Random(count)
    gc.collect()
    before = resident_bytes()
    pages = random_pages(count, rng)
    gc.collect()
    held = resident_bytes() - before
    began = time.perf_counter()
    table = ClientBlocks.from_pages(pages)
    build = time.perf_counter() - began
    extra = resident_bytes() - before - held
    addresses = [socket.inet_ntoa(rng.randbytes(4)) for _ in range(PROBES)]
    packed = microseconds(table.find, addresses)

    began = time.perf_counter()
    starts, sites = flat_table(pages)
    flat_build = time.perf_counter() - began

    def find_flat(address):
        number = int.from_bytes(socket.inet_pton(socket.AF_INET, address), "big")
        return sites[bisect_right(starts, number) - 1]

    flat = microseconds(find_flat, addresses)
    for address in addresses[:2_000]:
        site = find_flat(address)
        expected = None if site == SITES else pages.data_centres[site]
        number = int.from_bytes(socket.inet_pton(socket.AF_INET, address), "big")
        if number >= starts[0]:
            assert table.find(address) == expected, address
    row_bytes = sum(map(len, pages.rows_by_page.values()))
    flat_bytes = starts.itemsize * len(starts) + sites.itemsize * len(sites)
    print(
        f"{len(pages):>9} blocks: rows {row_bytes / MEGABYTE:6.1f} MB "
        f"(resident {held / MEGABYTE:6.1f}), table adds {extra / MEGABYTE:4.1f} MB, "
        f"built in {build * 1e3:6.2f} ms, {packed:5.2f} us a look-up | flat table "
        f"{flat_bytes / MEGABYTE:6.1f} MB more, {flat_build * 1e3:8.1f} ms, "
        f"{flat:5.2f} us; ratio of time {packed / flat:4.2f}"
    )


def main():
    for size in [int(size) for size in sys.argv[1:]] or SIZES:
        measure(size)


if __name__ == "__main__":
    main()
