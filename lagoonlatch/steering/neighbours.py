"""The other VMs that count as present, near and far.

The load answered here: fleets of hundreds of VMs, whose lists are asked for at each
request and each look-up. They are made anew when a fact changes, and otherwise only
once in a while, since who is heard changes with time too.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.steering.model import VmRecord
from lagoonlatch.steering.peers import MISSED, NEVER_HEARD, PeerTable

VIEW_AGE: Millis = 250.0
"""Longest age of the lists; a part of the time after which a VM counts as silent."""

VIEW_AGE_OF_ONE: Millis = 5.0
"""The same for each VM of a large fleet, so that the lists cost the same at any size;
there a VM is told more rarely anyway."""


@dataclass(frozen=True)
class _View:
    near: tuple[VmRecord, ...]
    far: tuple[VmRecord, ...]
    until: Millis


class Neighbours:
    """The other VMs as this VM sees them.

    Parameters
    ----------
    me : VmRecord
        This VM.
    known_vms : callable
        Returns the newest entry of each VM, by id, also of those whose entry is gone.
    live_vms : callable
        Returns the VMs with a live entry, by id.
    """

    def __init__(
        self,
        me: VmRecord,
        region_by_data_centre: Mapping[str, str],
        known_vms: Callable[[], Mapping[str, VmRecord]],
        live_vms: Callable[[], Mapping[str, VmRecord]],
        table: PeerTable,
        clock: Clock,
    ) -> None:
        self._me = me
        self._region_by_data_centre = region_by_data_centre
        self._known_vms = known_vms
        self._live_vms = live_vms
        self._table = table
        self._clock = clock
        self._view: _View | None = None
        self._ready: list[VmRecord] | None = None
        self._ready_by_id: dict[str, VmRecord] = {}
        self._expected: _View | None = None

    @property
    def near(self) -> tuple[VmRecord, ...]:
        """The other VMs of this region, sorted by id."""
        return self._current().near

    @property
    def far(self) -> tuple[VmRecord, ...]:
        """The VMs of other regions, sorted by id."""
        return self._current().far

    def all(self) -> list[VmRecord]:
        """Return all other VMs."""
        view = self._current()
        return [*view.near, *view.far]

    def ready(self) -> list[VmRecord]:
        """Return the VMs that take requests, without those that fell silent."""
        view = self._current()
        if self._ready is None:
            vms = [vm for vm in (*view.near, *view.far) if vm.is_ready]
            heard = [vm for vm in vms if not self._table.is_silent(vm.id)]
            # A VM that hears few others is cut off itself.
            self._ready = heard if len(heard) * 2 >= len(vms) else vms
            self._ready_by_id = {vm.id: vm for vm in self._ready}
        return list(self._ready)

    def ready_far_by_region(self) -> dict[str, list[VmRecord]]:
        """Return the VMs of each other region that take requests."""
        region_of = self._region_by_data_centre.get
        own_region = region_of(self._me.data_centre)
        vms_by_region: dict[str, list[VmRecord]] = {}
        for vm in self.ready():
            region = region_of(vm.data_centre, "")
            if region != own_region:
                vms_by_region.setdefault(region, []).append(vm)
        return vms_by_region

    def find_ready(self, vm: str) -> VmRecord | None:
        """Return the record of a VM that can be asked for something."""
        self.ready()
        return self._ready_by_id.get(vm)

    def expect_heartbeats(self, near: Millis, far: Millis) -> None:
        """Note when the VMs of a new view are to be heard at the latest.

        Parameters
        ----------
        near, far : Millis
            After which a VM tells again, by the size of the fleet.
        """
        view = self._current()
        if view is self._expected:
            return
        self._expected = view
        for vms, cycle in ((view.near, near), (view.far, far)):
            within = max(NEVER_HEARD, MISSED * cycle)
            for vm in vms:
                self._table.expect_heartbeats(vm.id, within)

    def invalidate(self) -> None:
        """Make the lists anew at the next question, since a fact has changed."""
        self._view = None

    def _current(self) -> _View:
        view = self._view
        now = self._clock.now()
        if view is None or now >= view.until:
            view = self._view = self._make(now)
            self._ready = None
        return view

    def _make(self, now: Millis) -> _View:
        near: list[VmRecord] = []
        far: list[VmRecord] = []
        region_of = self._region_by_data_centre.get
        own_region = region_of(self._me.data_centre)
        for _, vm in sorted(self._known_vms().items()):
            if self._is_present(vm):
                is_near = region_of(vm.data_centre) == own_region
                (near if is_near else far).append(vm)
        age = max(VIEW_AGE, VIEW_AGE_OF_ONE * (len(near) + len(far)))
        return _View(tuple(near), tuple(far), now + age)

    def _is_present(self, vm: VmRecord) -> bool:
        """Return whether a VM has a live entry, or is still heard without one."""
        return (
            vm.id != self._me.id
            and not self._table.is_leaving(vm.id, vm.run)
            and (vm.id in self._live_vms() or self._table.is_alive(vm.id))
        )
