"""Owners of slots that must not exist twice, embedded without the daemon.

Run from the root: ``python -m examples.embed_ownership``. The store and the list of VMs
are stand-ins in memory; your own program implements `Store` and `VmList` instead.
"""

from __future__ import annotations

from lagoonlatch.clock import Millis
from lagoonlatch.ownership import (
    Candidate,
    Owner,
    OwnershipKeeper,
    OwnershipReader,
    PlatformView,
    VmRegistration,
)
from lagoonlatch.platform.store import ListedVm, VmState
from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.standins.memory_store import MemoryStore

SLOTS = 8
NAMES = ("vm-1", "vm-2", "vm-3")
LEASE_AND_MORE: Millis = 10_000.0


class Region:
    """Three VMs that keep one table of owners."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.store = MemoryStore(self.clock)
        self.owner_by_vm = {name: Owner(name, 1) for name in NAMES}
        self.keeper_by_vm = {name: self._keeper(name) for name in NAMES}
        self.registration_by_vm = {name: self._registration(name) for name in NAMES}
        self.list_vms(NAMES)

    def list_vms(self, names) -> None:
        """Let the platform's list hold `names`."""
        self.store.vms = tuple(
            ListedVm(name, "127.0.0.1", "north-a", VmState.LIVE) for name in names
        )

    def round(self) -> None:
        """Let each VM do what it does once a second."""
        for registration in self.registration_by_vm.values():
            registration.step()
        for keeper in self.keeper_by_vm.values():
            keeper.step()
            reader = OwnershipReader(
                self.store, {keeper.scope: keeper}, lambda: True, self.clock
            )
            reader.step()

    def show(self, title: str) -> None:
        """Print which VM may act for which slots."""
        print(title)
        for name, keeper in self.keeper_by_vm.items():
            owned = [slot for slot in range(SLOTS) if keeper.owns(slot)]
            print(f"  {name}: {owned}")

    def _keeper(self, name: str) -> OwnershipKeeper:
        view = PlatformView(
            self.store,
            self.store,
            lambda: [Candidate(owner) for owner in self.owner_by_vm.values()],
            lambda vm: (
                self.owner_by_vm[vm].incarnation if vm in self.owner_by_vm else None
            ),
        )
        me = self.owner_by_vm[name]
        return OwnershipKeeper(self.store, "north", me, view, self.clock, slots=SLOTS)

    def _registration(self, name: str) -> VmRegistration:
        return VmRegistration(
            self.store,
            self.owner_by_vm[name],
            "127.0.0.1",
            "north-a",
            lambda: len(NAMES),
            self.clock,
        )


def main() -> None:
    """Show the first table, a silent VM, and its replacement once it is gone."""
    region = Region()
    region.round()
    region.show("after the first round")
    silent = "vm-1"
    for parts in (
        region.owner_by_vm,
        region.keeper_by_vm,
        region.registration_by_vm,
    ):
        del parts[silent]
    region.clock.advance(LEASE_AND_MORE)
    region.round()
    region.show(f"{silent} is silent and its lease has lapsed, but it is listed")
    region.list_vms([name for name in NAMES if name != silent])
    region.round()
    region.round()
    region.show(f"{silent} is gone from the list too")


if __name__ == "__main__":
    main()
