"""Distribution of a configuration, embedded without the daemon.

Run from the root: ``python -m examples.embed_configuration``. The store is a stand-in
in memory; your own program implements `Store` instead, or uses `HttpStore`.
"""

from __future__ import annotations

from returns.result import Success

from lagoonlatch.clock import HybridClock
from lagoonlatch.config import (
    Configuration,
    ConfigurationHolder,
    ConfigurationSync,
    Publisher,
)
from lagoonlatch.config.model import Organisation
from lagoonlatch.events import EventLog
from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.standins.memory_store import MemoryStore


class Vm:
    """What one VM needs: a holder and its synchronisation.

    A program runs ``sync.run`` as a task of its own; here each step is taken by hand.
    """

    def __init__(self, name: str, store: MemoryStore, clock: ManualClock) -> None:
        events = EventLog(name, HybridClock(clock))
        self.name = name
        self.holder = ConfigurationHolder(events)
        self.sync = ConfigurationSync(store, self.holder, lambda: True, clock, events)

    def hear(self, peer: Vm) -> None:
        """Take what a heartbeat of `peer` leads to."""
        version = peer.holder.head().version
        self.sync.heard_version(version, peer.answer).unwrap()

    def answer(self, known_version: int):
        """Answer a peer that asks for what changed since `known_version`."""
        return Success(self.holder.document(known_version))

    def show(self) -> None:
        """Print the version in force and its organisations."""
        current = self.holder.current()
        names = ", ".join(current.organisations_by_id)
        print(f"  {self.name}: version {current.version} ({names})")


def _with_organisations(*names: str) -> Configuration:
    organisation = Organisation(key_digests=(), rate=10.0, burst=5)
    return Configuration(organisations_by_id=dict.fromkeys(names, organisation))


def main() -> None:
    """Publish, distribute during an outage, and restore the store from a backup."""
    clock = ManualClock()
    store = MemoryStore(clock)
    publisher = Publisher(store, clock)
    vms = [Vm(name, store, clock) for name in ("vm-1", "vm-2")]

    publisher.publish(_with_organisations("dojo"), "first", based_on=0).unwrap()
    backup = store.state.snapshot()
    changed = _with_organisations("dojo", "federation")
    publisher.publish(changed, "second", based_on=1).unwrap()
    print("a change based on a version that is no longer the newest:")
    print(f"  {publisher.publish(changed, 'late', based_on=1).failure()}")

    vms[0].sync.reconcile().unwrap()
    store.outage = True
    vms[1].hear(vms[0])
    print("vm-1 read the store, vm-2 heard of it during an outage:")
    for vm in vms:
        vm.show()

    store.outage = False
    store.state.restore(backup)
    vms[0].sync.reconcile().unwrap()
    vms[1].sync.reconcile().unwrap()
    print("the store was restored to version 1 and got back what it had lost:")
    for vm in vms:
        vm.show()


if __name__ == "__main__":
    main()
