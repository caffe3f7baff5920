"""Which VM counts the slots of an upstream.

The load answered here: a fleet of any size, of which VMs leave, die and are cut off at
any moment. All VMs choose the same home for an upstream without talking, among the VMs
of its data centre; one that doesn't answer is passed over until it is heard again.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.membership.rendezvous import weight
from lagoonlatch.steering.model import VmRecord

EXCLUSION_TIME: Millis = 3_000.0
"""A VM that left a claim unanswered is asked again after this, heard or not."""


class SlotHomes:
    """The home VMs of all upstreams, as one VM sees them.

    Parameters
    ----------
    list_vms : callable
        Returns the VMs that may be homes, this one included.
    region_by_data_centre : mapping of str to str
        The installation's data centres.
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
        self._muted_until_by_vm: dict[str, Millis] = {}
        self._vms: tuple[VmRecord, ...] = ()
        self._vm_by_id: dict[str, VmRecord] = {}
        self._vms_by_data_centre: dict[str, list[VmRecord]] = {}
        self._home_by_place: dict[tuple[str, str], VmRecord | None] = {}

    def refresh(self) -> None:
        """Follow the VMs that are there now."""
        now = self._clock.now()
        for vm in [v for v, until in self._muted_until_by_vm.items() if until <= now]:
            del self._muted_until_by_vm[vm]
        muted = self._muted_until_by_vm
        vms = tuple(vm for vm in self._list_vms() if vm.id not in muted)
        if vms == self._vms:
            return
        self._vms = vms
        self._vm_by_id = {vm.id: vm for vm in vms}
        self._home_by_place.clear()
        by_data_centre: defaultdict[str, list[VmRecord]] = defaultdict(list)
        for vm in vms:
            by_data_centre[vm.data_centre].append(vm)
        self._vms_by_data_centre = dict(by_data_centre)

    def home_of(self, upstream: str, data_centre: str) -> VmRecord | None:
        """Return the home of an upstream; None if there is no VM in its region."""
        place = (upstream, data_centre)
        if place not in self._home_by_place:
            self._home_by_place[place] = self._choose(upstream, data_centre)
        return self._home_by_place[place]

    def find(self, vm: str) -> VmRecord | None:
        """Return the record of a VM that may be a home."""
        return self._vm_by_id.get(vm)

    def mark_unreachable(self, vm: str) -> None:
        """Pass over a VM that doesn't answer."""
        self._muted_until_by_vm[vm] = self._clock.now() + EXCLUSION_TIME
        self.refresh()

    def mark_reachable(self, vm: str) -> None:
        """Count on a VM again that was passed over."""
        if self._muted_until_by_vm.pop(vm, None) is not None:
            self.refresh()

    def _choose(self, upstream: str, data_centre: str) -> VmRecord | None:
        vms = self._vms_by_data_centre.get(data_centre)
        if not vms:
            region = self._region_by_data_centre.get(data_centre)
            vms = [
                vm
                for vm in self._vms
                if self._region_by_data_centre.get(vm.data_centre) == region
            ]
        return max(vms, key=lambda vm: weight(upstream, vm.id), default=None)
