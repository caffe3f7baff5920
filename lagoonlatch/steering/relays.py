"""Choice of the VMs that receive a change of the store.

A whole region must know a change within milliseconds, and the links of the sending VMs
differ. A small change is sent to every VM directly. A change that would fill the
sender's link is sent to a few relays, each of which serves a partition of the region.
The bytes that one VM sends then grow with the square root of the region's size.
"""

from __future__ import annotations

import math
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from lagoonlatch.membership.rendezvous import weight as hash_of

MAX_DIRECT_BYTES = 40_000
"""Most bytes that one VM sends directly for one change; they take 32 ms on a link of
10 Mbit/s."""

MAX_DIRECT_VMS = 32
"""Most VMs to which one VM sends a change directly, however small the change is."""

RECIPIENTS_PER_FAR_REGION = 2
"""VMs of each other region that also receive a change, in case the store serves no VM
there. One of the two may be cut off."""


@dataclass(frozen=True, kw_only=True)
class Partition:
    """The part of a region that a relay serves.

    Parameters
    ----------
    index, count : int
        A VM belongs to the partition whose index is its hash modulo `count`.
    """

    index: int
    count: int

    def contains(self, vm: str) -> bool:
        """Return whether a VM belongs to this partition."""
        return hash_of("relay", vm) % self.count == self.index


def choose_near_recipients(
    near: Sequence[str], reachable: Sequence[str], size: int
) -> dict[str, Partition | None]:
    """Return the VMs of this region to which a change is sent, by id.

    Parameters
    ----------
    near : sequence of str
        All other VMs of the region.
    reachable : sequence of str
        The VMs among them that are ready and not silent.
    size : int
        Size of the change in bytes.

    Returns
    -------
    dict of str to Partition or None
        The partition that a VM serves as a relay; None if it forwards nothing.
    """
    max_direct_vms = min(MAX_DIRECT_VMS, MAX_DIRECT_BYTES // max(size, 1))
    if len(near) <= max_direct_vms:
        return dict.fromkeys(near)
    candidates = list(reachable) or list(near)
    count = min(max(max_direct_vms, math.isqrt(len(near)) + 1), len(candidates))
    relays = random.sample(candidates, count)
    return {vm: Partition(index=i, count=count) for i, vm in enumerate(relays)}


def choose_far_recipients(
    reachable_by_region: Mapping[str, Sequence[str]],
) -> list[str]:
    """Return the VMs of other regions to which a change is sent."""
    return [
        vm
        for vms in reachable_by_region.values()
        for vm in random.sample(list(vms), min(RECIPIENTS_PER_FAR_REGION, len(vms)))
    ]
