"""The fraction of an upstream's rate limit that this VM may grant.

The home VM of an upstream is the first VM in hash order that answers. VMs may disagree
about that: a home VM is slow, frozen or cut off from some VMs, or a VM has joined. If
each such VM granted the whole limit, the upstream would get a multiple of it. The order
among the VMs with an entry in the store therefore decides how much a VM may grant:

- The first VM grants the whole limit, if its knowledge of the store is recent and its
  own entry has been known for so long that earlier first VMs know it too. At most one
  VM is in this state, since the lease of an entry lasts longer than `MAX_FACTS_AGE`.
- The first VM otherwise grants `UNCERTAIN_FRACTION`. VMs that have all started in an
  outage of the store don't know each other, so that each is the first one in its own
  list. They divide `UNCERTAIN_FRACTION` by the number of VMs that may be in this state.
- The second VM, which gets claims while the first one doesn't answer, grants
  `DEPUTY_FRACTION` under the same conditions.
- Other VMs grant nothing.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Set

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.membership.rendezvous import ranked
from lagoonlatch.steering.homes import candidates_for_home
from lagoonlatch.steering.model import VmRecord

MAX_FACTS_AGE: Millis = 2_000.0
"""Age of the knowledge of the store beyond which another VM may have become the first
one: the lease of an entry that can't be renewed lasts at least 3 s longer."""

SETTLE_TIME: Millis = MAX_FACTS_AGE + 500.0
"""Time after which all VMs whose knowledge is recent know a new entry."""

UNCERTAIN_FRACTION = 0.25
DEPUTY_FRACTION = 0.4
"""Each of them, together with the whole limit, stays below the one and a half times
that an upstream tolerates."""


class RateAuthority:
    """Decides what this VM may grant from the VMs' entries in the store.

    Parameters
    ----------
    own_record : VmRecord
        The record of this VM.
    list_vms : callable
        Returns the VMs with an entry, by id.
    list_unknown : callable
        Returns the ids of the VMs that may have started like this one and that it
        doesn't know yet.
    facts_age : callable
        Returns how long ago the knowledge of the store was last known to be current.
    is_leaving : callable
        Returns whether this VM is leaving.
    """

    def __init__(
        self,
        own_record: VmRecord,
        list_vms: Callable[[], Mapping[str, VmRecord]],
        list_unknown: Callable[[], Set[str]],
        region_by_data_centre: Mapping[str, str],
        facts_age: Callable[[], Millis],
        is_leaving: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._own_record = own_record
        self._list_vms = list_vms
        self._list_unknown = list_unknown
        self._region_by_data_centre = region_by_data_centre
        self._facts_age = facts_age
        self._is_leaving = is_leaving
        self._clock = clock
        self._registered_at: Millis = math.inf
        self._rank_by_upstream: dict[tuple[str, str], int] = {}

    def note_vms_changed(self) -> None:
        """Follow a change of the VMs' entries."""
        self._rank_by_upstream.clear()
        entry = self._list_vms().get(self._own_record.id)
        # The entry of an earlier process may still exist after a restart.
        if entry is None or entry.run != self._own_record.run:
            self._registered_at = math.inf
        elif self._registered_at == math.inf:
            self._registered_at = self._clock.now()

    def fraction(self, upstream_id: str, data_centre: str) -> float:
        """Return the fraction of an upstream's limit that this VM may grant."""
        if self._is_leaving():
            return 0.0
        key = (upstream_id, data_centre)
        if key not in self._rank_by_upstream:
            self._rank_by_upstream[key] = self._rank(upstream_id, data_centre)
        rank = self._rank_by_upstream[key]
        is_certain = (
            self._clock.now() - self._registered_at >= SETTLE_TIME
            and self._facts_age() < MAX_FACTS_AGE
        )
        if rank == 0:
            return 1.0 if is_certain else UNCERTAIN_FRACTION / self._count_alike()
        return DEPUTY_FRACTION if rank == 1 and is_certain else 0.0

    def _count_alike(self) -> int:
        """Return the number of VMs that may each take itself for the first one."""
        return len({*self._list_unknown(), self._own_record.id})

    def _rank(self, upstream_id: str, data_centre: str) -> int:
        """Return the number of VMs that come before this VM."""
        own_id = self._own_record.id
        vms = {**self._list_vms(), own_id: self._own_record}
        candidates = candidates_for_home(
            vms.values(), data_centre, self._region_by_data_centre, anywhere=True
        )
        order = ranked(upstream_id, [vm.id for vm in candidates])
        return order.index(own_id) if own_id in order else len(order)
