"""The other VMs that count as present: near ones (this region) and far ones (others).

A VM is present if it has a live entry or still sends heartbeats, and isn't leaving. A
present VM is ready if its entry says that it accepts requests of callers and it hasn't
fallen silent.

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
    SILENCE_TIMEOUT_FACTOR,
    PeerTable,
)

LISTS_MAX_AGE: Millis = 250.0
"""Longest age of the lists; a fraction of the time until a VM counts as silent."""

LISTS_MAX_AGE_PER_VM: Millis = 5.0
"""Longest age of the lists for each VM of a large fleet, so that rebuilding them costs
the same at any size. Heartbeats are less frequent in a large fleet as well."""


@dataclass(frozen=True)
class _VmLists:
    near: tuple[VmRecord, ...]
    far: tuple[VmRecord, ...]
    expires_at: Millis


class Neighbours:
    """The other VMs as this VM sees them.

    Parameters
    ----------
    own_record : VmRecord
        The record of this VM.
    known_vms : callable
        Returns the newest entry of each VM, by id, including entries that have expired.
    live_vms : callable
        Returns the VMs with a live entry, by id.
    """

    def __init__(
        self,
        own_record: VmRecord,
        region_by_data_centre: Mapping[str, str],
        known_vms: Callable[[], Mapping[str, VmRecord]],
        live_vms: Callable[[], Mapping[str, VmRecord]],
        table: PeerTable,
        clock: Clock,
    ) -> None:
        self._own_record = own_record
        self._region_by_data_centre = region_by_data_centre
        self._known_vms = known_vms
        self._live_vms = live_vms
        self._table = table
        self._clock = clock
        self._lists: _VmLists | None = None
        self._ready: list[VmRecord] | None = None
        self._ready_by_id: dict[str, VmRecord] = {}
        self._lists_with_deadlines: _VmLists | None = None

    @property
    def near(self) -> tuple[VmRecord, ...]:
        """The other VMs of this region, sorted by id."""
        return self._current_lists().near

    @property
    def far(self) -> tuple[VmRecord, ...]:
        """The VMs of other regions, sorted by id."""
        return self._current_lists().far

    def all(self) -> list[VmRecord]:
        """Return all other VMs."""
        lists = self._current_lists()
        return [*lists.near, *lists.far]

    def ready(self) -> list[VmRecord]:
        """Return the ready VMs.

        If more than half of the VMs are silent, the silent ones are included.
        """
        lists = self._current_lists()
        if self._ready is None:
            vms = [vm for vm in (*lists.near, *lists.far) if vm.is_ready]
            responsive = [vm for vm in vms if not self._table.is_silent(vm.id)]
            # If most other VMs seem silent, this VM is probably cut off itself.
            self._ready = responsive if len(responsive) * 2 >= len(vms) else vms
            self._ready_by_id = {vm.id: vm for vm in self._ready}
        return list(self._ready)

    def ready_far_by_region(self) -> dict[str, list[VmRecord]]:
        """Return the ready VMs of each other region."""
        region_of = self._region_by_data_centre.get
        own_region = region_of(self._own_record.data_centre)
        vms_by_region: dict[str, list[VmRecord]] = {}
        for vm in self.ready():
            region = region_of(vm.data_centre, "")
            if region != own_region:
                vms_by_region.setdefault(region, []).append(vm)
        return vms_by_region

    def find_ready(self, vm: str) -> VmRecord | None:
        """Return the record of a ready VM; None for any other VM."""
        self.ready()
        return self._ready_by_id.get(vm)

    def expect_heartbeats(self, near_interval: Millis, far_interval: Millis) -> None:
        """Set deadlines for the first heartbeats of the VMs in rebuilt lists.

        Parameters
        ----------
        near_interval, far_interval : Millis
            Heartbeat interval of the near and of the far VMs; grows with the fleet.
        """
        lists = self._current_lists()
        if lists is self._lists_with_deadlines:
            return
        self._lists_with_deadlines = lists
        for vms, interval in ((lists.near, near_interval), (lists.far, far_interval)):
            within = max(FIRST_HEARTBEAT_TIMEOUT, SILENCE_TIMEOUT_FACTOR * interval)
            for vm in vms:
                self._table.expect_heartbeats(vm.id, within)

    def invalidate(self) -> None:
        """Make the next use rebuild the lists, because the set of VMs has changed."""
        self._lists = None

    def _current_lists(self) -> _VmLists:
        lists = self._lists
        now = self._clock.now()
        if lists is None or now >= lists.expires_at:
            lists = self._lists = self._build_lists(now)
            self._ready = None
        return lists

    def _build_lists(self, now: Millis) -> _VmLists:
        near: list[VmRecord] = []
        far: list[VmRecord] = []
        region_of = self._region_by_data_centre.get
        own_region = region_of(self._own_record.data_centre)
        for _, vm in sorted(self._known_vms().items()):
            if self._is_present(vm):
                is_near = region_of(vm.data_centre) == own_region
                (near if is_near else far).append(vm)
        max_age = max(LISTS_MAX_AGE, LISTS_MAX_AGE_PER_VM * (len(near) + len(far)))
        return _VmLists(tuple(near), tuple(far), now + max_age)

    def _is_present(self, vm: VmRecord) -> bool:
        """Return whether a VM has a live entry or sends heartbeats without one."""
        return (
            vm.id != self._own_record.id
            and not self._table.is_leaving(vm.id, vm.run)
            and (vm.id in self._live_vms() or self._table.is_alive(vm.id))
        )
