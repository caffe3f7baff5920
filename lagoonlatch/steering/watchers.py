"""Which VMs follow the store, and when their watches come round.

The load answered here: each change of the store answers every waiting watch, so with a
watch a VM the calls grow with VMs times changes. Two VMs of a region watch and pass
on what they read; the others listen. Their calls come round evenly spread, since a
store that drops its history may leave a waiting watch without its changes, and only a
new call tells so.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable, Mapping

from lagoonlatch.clock import Millis
from lagoonlatch.membership.rendezvous import weight as hash_of

WATCHERS_BY_REGION = 2
"""One may end without a change being late."""

ROUND_LENGTH_IN_SETTLE_TIMES = 2.0
"""Length of a round of watches, in settling times; with two watchers in each of three
regions a call comes round in a third of one, and in one if a region is lost."""

SHORTEST_WAIT = 0.25
"""Part of a round below which a wait is lengthened by a round."""


class Standing(enum.IntEnum):
    """How a VM learns what the store holds."""

    LISTENS = 0
    WATCHES = 1
    REFUSED = 2


def should_watch(me: str, near: Mapping[str, Standing]) -> bool:
    """Return whether this VM watches the store.

    Parameters
    ----------
    near : mapping of str to Standing
        The other VMs of the region that are heard, by id.
    """
    if Standing.WATCHES not in near.values():
        return True
    able = [vm for vm, standing in near.items() if standing is not Standing.REFUSED]
    return me in _in_order([*able, me])[:WATCHERS_BY_REGION]


def watch_timeout(
    me: str, others: Iterable[str], settle: Millis, now: Millis
) -> Millis:
    """Return how long the next watch of this VM waits.

    Parameters
    ----------
    others : iterable of str
        The other VMs that watch, in all regions.
    settle : Millis
        Within this some watch must come round.
    now : Millis
        By a clock that is about the same on all VMs.
    """
    watchers = _in_order({me, *others})
    if len(watchers) == 1:
        return settle
    turn = ROUND_LENGTH_IN_SETTLE_TIMES * settle
    own = watchers.index(me) * turn / len(watchers)
    left = turn - (now - own) % turn
    return left if left >= SHORTEST_WAIT * turn else left + turn


def _in_order(vms: Iterable[str]) -> list[str]:
    return sorted(vms, key=lambda vm: hash_of("store", vm))
