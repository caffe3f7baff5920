"""Which VMs watch the store, and when they renew their watches.

A watch is a call that the store answers at the next change. If each VM had a watch, the
number of calls would grow with the number of VMs times the number of changes. Therefore
two VMs of each region watch the store and forward the changes to the others. A store
that drops its history may not answer a pending watch, and the missed changes are found
only when a watch is renewed. The watches are therefore renewed at evenly spread times.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping

from lagoonlatch.clock import Millis
from lagoonlatch.membership.rendezvous import weight as hash_of

WATCHERS_PER_REGION = 2
"""Two VMs watch, so that changes arrive without delay if one of them ends."""

ROUND_LENGTH_IN_SETTLE_TIMES = 2.0
"""Length of a round as a multiple of the settling time, within which at least one watch
must be renewed. Each watcher renews its watch once in a round. With two watchers in
each of three regions, a watch is renewed every third of a settling time, and at least
once in a settling time if a region is lost."""

MIN_TIMEOUT_FRACTION = 0.25
"""Fraction of a round below which a timeout is extended by a whole round, so that no
watch is renewed soon after its last renewal."""


class Standing(enum.IntEnum):
    """How a VM learns the content of the store.

    `WATCHES`: it has a watch on the store. `LISTENS`: it gets the changes from VMs that
    watch. `REFUSED`: its calls to the store fail.
    """

    LISTENS = 0
    WATCHES = 1
    REFUSED = 2


def should_watch(own_id: str, near: Mapping[str, Standing]) -> bool:
    """Return whether this VM should watch the store.

    Parameters
    ----------
    near : mapping of str to Standing
        The other VMs of the region that are alive, by id.
    """
    if Standing.WATCHES not in near.values():
        return True
    candidates = [
        vm for vm, standing in near.items() if standing is not Standing.REFUSED
    ]
    return own_id in _in_hash_order([*candidates, own_id])[:WATCHERS_PER_REGION]


def watch_timeout(
    own_id: str, others: Iterable[str], settle_time: Millis, now: Millis
) -> Millis:
    """Return the timeout of the next watch of this VM.

    Parameters
    ----------
    others : iterable of str
        The other VMs that watch, in all regions.
    settle_time : Millis
        Time within which at least one watch has to be renewed.
    now : Millis
        Wall-clock time, which is nearly the same on all VMs.
    """
    watchers = _in_hash_order({own_id, *others})
    if len(watchers) == 1:
        return settle_time
    round_length = ROUND_LENGTH_IN_SETTLE_TIMES * settle_time
    offset = watchers.index(own_id) * round_length / len(watchers)
    timeout = round_length - (now - offset) % round_length
    return (
        timeout
        if timeout >= MIN_TIMEOUT_FRACTION * round_length
        else timeout + round_length
    )


def _in_hash_order(vms: Iterable[str]) -> list[str]:
    return sorted(vms, key=lambda vm: hash_of("store", vm))
