"""Choice of an upstream's home VM, which allocates the upstream's slots.

There can be any number of VMs, and each may leave, crash or become unreachable at any
time. All VMs choose the same home for an upstream without communication, by rendezvous
hashing among the VMs of its data centre, or of its region if the data centre has no VM.
A VM that doesn't answer is excluded until it sends a message, or for `EXCLUSION_TIME`.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterable, Mapping

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.membership.rendezvous import weight
from lagoonlatch.steering.model import VmRecord

EXCLUSION_TIME: Millis = 3_000.0
"""How long a VM that did not answer the claim of a slot is excluded, unless it sends a
message."""


def candidates_for_home(
    vms: Iterable[VmRecord],
    data_centre: str,
    region_by_data_centre: Mapping[str, str],
    anywhere: bool = False,
) -> list[VmRecord]:
    """Return the VMs of a data centre or, if it has none, those of its region.

    Parameters
    ----------
    anywhere : bool
        Whether to return all VMs if the region has none either.
    """
    vms = list(vms)
    region_of = region_by_data_centre.get
    region = region_of(data_centre)
    return (
        [vm for vm in vms if vm.data_centre == data_centre]
        or [vm for vm in vms if region_of(vm.data_centre) == region]
        or (vms if anywhere else [])
    )


class SlotHomes:
    """The home VMs of all upstreams, as one VM knows them.

    Parameters
    ----------
    list_vms : callable
        Returns the VMs that may be homes, including this one.
    region_by_data_centre : mapping of str to str
        The data centres of the installation.
    """

    def __init__(
        self,
        list_vms: Callable[[], Iterable[VmRecord]],
        region_by_data_centre: Mapping[str, str],
        clock: Clock,
    ) -> None:
        self._list_vms = list_vms
        self._region_by_data_centre = region_by_data_centre
        self._clock = clock
        self._excluded_until_by_vm: dict[str, Millis] = {}
        self._vms: tuple[VmRecord, ...] = ()
        self._vm_by_id: dict[str, VmRecord] = {}
        self._homes_by_upstream: dict[tuple[str, str, bool], tuple[VmRecord, ...]] = {}

    def refresh(self) -> None:
        """Update the VMs that may be homes."""
        now = self._clock.now()
        for vm in [
            v for v, until in self._excluded_until_by_vm.items() if until <= now
        ]:
            del self._excluded_until_by_vm[vm]
        excluded = self._excluded_until_by_vm
        vms = tuple(vm for vm in self._list_vms() if vm.id not in excluded)
        if vms == self._vms:
            return
        self._vms = vms
        self._vm_by_id = {vm.id: vm for vm in vms}
        self._homes_by_upstream.clear()

    def home_of(
        self, upstream_id: str, data_centre: str, anywhere: bool = False
    ) -> VmRecord | None:
        """Return the home of an upstream.

        None if its region has no VM, unless the home may be `anywhere`.
        """
        return next(iter(self.first_homes(upstream_id, data_centre, anywhere)), None)

    def first_homes(
        self, upstream_id: str, data_centre: str, anywhere: bool = False
    ) -> tuple[VmRecord, ...]:
        """Return the home of an upstream and the VM that is its home after that one."""
        key = (upstream_id, data_centre, anywhere)
        if key not in self._homes_by_upstream:
            candidates = candidates_for_home(
                self._vms, data_centre, self._region_by_data_centre, anywhere
            )
            self._homes_by_upstream[key] = tuple(
                heapq.nlargest(2, candidates, key=lambda vm: weight(upstream_id, vm.id))
            )
        return self._homes_by_upstream[key]

    def find(self, vm: str) -> VmRecord | None:
        """Return the record of a VM that may be a home."""
        return self._vm_by_id.get(vm)

    def mark_unreachable(self, vm: str) -> None:
        """Exclude a VM that doesn't answer."""
        self._excluded_until_by_vm[vm] = self._clock.now() + EXCLUSION_TIME
        self.refresh()

    def mark_reachable(self, vm: str) -> None:
        """Include an excluded VM again."""
        if self._excluded_until_by_vm.pop(vm, None) is not None:
            self.refresh()
