"""Rendezvous hashing: a choice that all VMs make alike without talking."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def weight(key: str, item: str) -> int:
    """Return the weight of `item` for `key`; the highest wins."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{item}".encode())


def ranked(key: str, items: Iterable[str]) -> list[str]:
    """Return `items` by falling weight for `key`.

    Adding or removing an item leaves the order of the others as it was.
    """
    return sorted(items, key=lambda item: weight(key, item), reverse=True)
