"""Which VMs watch the store, and when they renew their watches.

Each change of the store answers every pending watch. If each VM had a watch, the number
of calls would grow with the number of VMs times the number of changes. Therefore two
VMs of each region watch the store and propagate what they read; the others listen. The
watches are renewed at evenly spread times: a store that drops its history may not
report changes to a pending watch, and only a new call shows that.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping

from lagoonlatch.clock import Millis
from lagoonlatch.membership.rendezvous import weight as hash_of

WATCHERS_PER_REGION = 2
"""One of the two may end without delaying a change."""

ROUND_LENGTH_IN_SETTLE_TIMES = 2.0
"""Length of a round, in which each watcher renews its watch once, in settling times.
With two watchers in each of three regions, a watch is renewed every third of a settling
time, and at least once in a settling time if a region is lost."""

MIN_WAIT_FRACTION = 0.25
"""Fraction of a round below which a wait is extended by a whole round."""


class Standing(enum.IntEnum):
    """How a VM learns the content of the store."""

    LISTENS = 0
    WATCHES = 1
    REFUSED = 2


def should_watch(me: str, near: Mapping[str, Standing]) -> bool:
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
    return me in _in_hash_order([*candidates, me])[:WATCHERS_PER_REGION]


def watch_timeout(
    me: str, others: Iterable[str], settle_time: Millis, now: Millis
) -> Millis:
    """Return how long the next watch of this VM stays pending.

    Parameters
    ----------
    others : iterable of str
        The other VMs that watch, in all regions.
    settle_time : Millis
        Time within which at least one watch has to be renewed.
    now : Millis
        Wall-clock time, which is nearly the same on all VMs.
    """
    watchers = _in_hash_order({me, *others})
    if len(watchers) == 1:
        return settle_time
    round_length = ROUND_LENGTH_IN_SETTLE_TIMES * settle_time
    offset = watchers.index(me) * round_length / len(watchers)
    wait = round_length - (now - offset) % round_length
    return wait if wait >= MIN_WAIT_FRACTION * round_length else wait + round_length


def _in_hash_order(vms: Iterable[str]) -> list[str]:
    return sorted(vms, key=lambda vm: hash_of("store", vm))
