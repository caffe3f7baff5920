"""Choice of an upstream's home VM, which allocates the upstream's slots.

There can be any number of VMs, and each may leave, crash or become unreachable at any
time. All VMs choose the same home for an upstream without communication, by rendezvous
hashing among the VMs of its data centre, or of its region if the data centre has no VM.
A VM that doesn't answer is excluded until it sends a message, or for `EXCLUSION_TIME`.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.membership.rendezvous import weight
from lagoonlatch.steering.model import VmRecord

EXCLUSION_TIME: Millis = 3_000.0
"""How long a VM that did not answer the claim of a slot is excluded, unless it sends a
message."""


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
        self._vms_by_data_centre: dict[str, list[VmRecord]] = {}
        self._home_by_upstream: dict[tuple[str, str], VmRecord | None] = {}

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
        self._home_by_upstream.clear()
        by_data_centre: defaultdict[str, list[VmRecord]] = defaultdict(list)
        for vm in vms:
            by_data_centre[vm.data_centre].append(vm)
        self._vms_by_data_centre = dict(by_data_centre)

    def home_of(self, upstream_id: str, data_centre: str) -> VmRecord | None:
        """Return the home of an upstream; None if its region has no VM."""
        key = (upstream_id, data_centre)
        if key not in self._home_by_upstream:
            self._home_by_upstream[key] = self._choose(upstream_id, data_centre)
        return self._home_by_upstream[key]

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

    def _choose(self, upstream_id: str, data_centre: str) -> VmRecord | None:
        vms = self._vms_by_data_centre.get(data_centre)
        if not vms:
            region = self._region_by_data_centre.get(data_centre)
            vms = [
                vm
                for vm in self._vms
                if self._region_by_data_centre.get(vm.data_centre) == region
            ]
        return max(vms, key=lambda vm: weight(upstream_id, vm.id), default=None)
