"""The other VMs that count as present, near and far.

A fleet may have hundreds of VMs, and their lists are used for each request and each
look-up. The lists are therefore cached. They are rebuilt when the entry of a VM changes
or a VM leaves, and at intervals because VMs may also fall silent.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.steering.model import VmRecord
from lagoonlatch.steering.peers import (
    FIRST_HEARTBEAT_TIMEOUT,
    SILENT_INTERVALS,
    PeerTable,
)

VIEW_MAX_AGE: Millis = 250.0
"""Longest age of the lists; a fraction of the time until a VM counts as silent."""

VIEW_MAX_AGE_PER_VM: Millis = 5.0
"""Longest age of the lists for each VM of a large fleet, so that rebuilding them costs
the same at any size. Heartbeats are less frequent in a large fleet as well."""


@dataclass(frozen=True)
class _View:
    near: tuple[VmRecord, ...]
    far: tuple[VmRecord, ...]
    expires_at: Millis


class Neighbours:
    """The other VMs as this VM sees them.

    Parameters
    ----------
    me : VmRecord
        This VM.
    known_vms : callable
        Returns the newest entry of each VM, by id, including entries that have expired.
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
        self._expected_view: _View | None = None

    @property
    def near(self) -> tuple[VmRecord, ...]:
        """The other VMs of this region, sorted by id."""
        return self._current_view().near

    @property
    def far(self) -> tuple[VmRecord, ...]:
        """The VMs of other regions, sorted by id."""
        return self._current_view().far

    def all(self) -> list[VmRecord]:
        """Return all other VMs."""
        view = self._current_view()
        return [*view.near, *view.far]

    def ready(self) -> list[VmRecord]:
        """Return the VMs that accept requests, without those that fell silent."""
        view = self._current_view()
        if self._ready is None:
            vms = [vm for vm in (*view.near, *view.far) if vm.is_ready]
            responsive = [vm for vm in vms if not self._table.is_silent(vm.id)]
            # A VM that gets heartbeats from few others is cut off itself.
            self._ready = responsive if len(responsive) * 2 >= len(vms) else vms
            self._ready_by_id = {vm.id: vm for vm in self._ready}
        return list(self._ready)

    def ready_far_by_region(self) -> dict[str, list[VmRecord]]:
        """Return the VMs of each other region that accept requests."""
        region_of = self._region_by_data_centre.get
        own_region = region_of(self._me.data_centre)
        vms_by_region: dict[str, list[VmRecord]] = {}
        for vm in self.ready():
            region = region_of(vm.data_centre, "")
            if region != own_region:
                vms_by_region.setdefault(region, []).append(vm)
        return vms_by_region

    def find_ready(self, vm: str) -> VmRecord | None:
        """Return the record of a VM that accepts requests; None for any other VM."""
        self.ready()
        return self._ready_by_id.get(vm)

    def expect_heartbeats(self, near: Millis, far: Millis) -> None:
        """Set deadlines for the first heartbeats of the VMs in a new view.

        Parameters
        ----------
        near, far : Millis
            Heartbeat interval of the near and of the far VMs; grows with the fleet.
        """
        view = self._current_view()
        if view is self._expected_view:
            return
        self._expected_view = view
        for vms, cycle in ((view.near, near), (view.far, far)):
            within = max(FIRST_HEARTBEAT_TIMEOUT, SILENT_INTERVALS * cycle)
            for vm in vms:
                self._table.expect_heartbeats(vm.id, within)

    def invalidate(self) -> None:
        """Make the next use rebuild the lists, because the set of VMs has changed."""
        self._view = None

    def _current_view(self) -> _View:
        view = self._view
        now = self._clock.now()
        if view is None or now >= view.expires_at:
            view = self._view = self._build_view(now)
            self._ready = None
        return view

    def _build_view(self, now: Millis) -> _View:
        near: list[VmRecord] = []
        far: list[VmRecord] = []
        region_of = self._region_by_data_centre.get
        own_region = region_of(self._me.data_centre)
        for _, vm in sorted(self._known_vms().items()):
            if self._is_present(vm):
                is_near = region_of(vm.data_centre) == own_region
                (near if is_near else far).append(vm)
        max_age = max(VIEW_MAX_AGE, VIEW_MAX_AGE_PER_VM * (len(near) + len(far)))
        return _View(tuple(near), tuple(far), now + max_age)

    def _is_present(self, vm: VmRecord) -> bool:
        """Return whether a VM has a live entry or sends heartbeats without one."""
        return (
            vm.id != self._me.id
            and not self._table.is_leaving(vm.id, vm.run)
            and (vm.id in self._live_vms() or self._table.is_alive(vm.id))
        )
