"""Whom a VM passes news of the store on to.

The load answered here: one change that a whole region must know within milliseconds,
sent by VMs whose links differ. A small change goes to every VM directly. One that
would fill the sender's link goes to a few relays, and each relay serves a part of the
region, so that what a VM sends grows with the square root of the region.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from lagoonlatch.membership.rendezvous import weight as hash_of

DIRECT_BYTES = 40_000
"""Sent for one change by one VM; 32 ms of a link of 10 Mbit/s."""

DIRECT_MOST = 32
"""VMs that one VM sends a change to itself, however small it is."""

FAR_COPIES = 2
"""VMs of each other region that are told too, in case nobody there is served by the
store; one of them may be cut off."""


@dataclass(frozen=True, kw_only=True)
class Partition:
    """The part of a region that a relay serves.

    Parameters
    ----------
    index, count : int
        A VM belongs to the part that its hash modulo `count` gives.
    """

    index: int
    count: int

    def contains(self, vm: str) -> bool:
        """Return whether a VM belongs to this part."""
        return hash_of("relay", vm) % self.count == self.index


def choose_near_recipients(
    near: Sequence[str], able: Sequence[str], size: int
) -> dict[str, Partition | None]:
    """Return the VMs of the own region that are sent a change, by id.

    Parameters
    ----------
    near : sequence of str
        All other VMs of the region.
    able : sequence of str
        Those that are heard.
    size : int
        Bytes of the change.

    Returns
    -------
    dict of str to Part or None
        None for a VM that passes nothing on.
    """
    direct = min(DIRECT_MOST, DIRECT_BYTES // max(size, 1))
    if len(near) <= direct:
        return dict.fromkeys(near)
    candidates = list(able) or list(near)
    count = min(max(direct, math.isqrt(len(near)) + 1), len(candidates))
    relays = random.sample(candidates, count)
    return {vm: Partition(index=i, count=count) for i, vm in enumerate(relays)}


def choose_far_recipients(able_by_region: Mapping[str, Sequence[str]]) -> list[str]:
    """Return the VMs of other regions that are sent a change."""
    return [
        vm
        for vms in able_by_region.values()
        for vm in random.sample(list(vms), min(FAR_COPIES, len(vms)))
    ]
