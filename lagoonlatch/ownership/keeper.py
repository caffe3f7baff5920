"""Maintains one scope's table of slot owners and this VM's ownership of slots.

A slot is one of a fixed number of hash buckets of a scope. `slot_of` maps each key to
a slot, and the owner of the slot acts for all keys in it.

A slot gets a new owner only in three cases: its owner hands it over, its owner has
ended (its lease has ended and the platform no longer lists the VM), or the owner's
own address answers with a newer incarnation. A live owner therefore keeps its slots
without renewing anything, even while the store or the network fails or its own
process pauses.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import TypeAlias

from returns.result import Failure, Result, Success

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.events import EventKind, EventLog
from lagoonlatch.ownership.owner_selector import OwnerSelector
from lagoonlatch.ownership.table import (
    DEFAULT_SLOT_COUNT,
    Owner,
    OwnershipTable,
    decode_table,
    encode_table,
    slot_of,
)
from lagoonlatch.ownership.view import OwnershipView
from lagoonlatch.platform.store import (
    ABSENT_REVISION,
    Entry,
    Store,
    StoreError,
    StoreOutcomeUnknown,
)

OWNERSHIP_PREFIX = "ownership/"
ROUND_INTERVAL: Millis = 1_000.0
BALANCE_INTERVAL: Millis = 5_000.0
MAX_SLOTS_PER_BALANCE = 2
"""Limits how many keys change their owner at the same time."""

_TableChange: TypeAlias = Callable[[OwnershipTable], Mapping[int, Owner]]


class OwnershipKeeper:
    """One VM's copy of a scope's table of owners, and its changes to the table.

    Parameters
    ----------
    store : Store
        Holds the table under ``ownership/<scope>``.
    scope : str
        Name of the set of slots that the table covers, for example a data centre's id.
    this_vm : Owner
        The current run of this VM.
    view : OwnershipView
        Information about the other VMs.
    slots : int
        Number of slots of the scope, the same on every VM.
    on_change : callable, optional
        Called when the set of slots that this VM owns has changed. When this VM hands
        a slot over, the call precedes the write to the store, so that no two VMs act
        for the slot at the same time.
    """

    def __init__(
        self,
        store: Store,
        scope: str,
        this_vm: Owner,
        view: OwnershipView,
        clock: Clock,
        event_log: EventLog | None = None,
        slots: int = DEFAULT_SLOT_COUNT,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self.scope = scope
        self._store = store
        self._key = OWNERSHIP_PREFIX + scope
        self._this_vm = this_vm
        self._owner_selector = OwnerSelector(scope, this_vm, view, slots)
        self._clock = clock
        self._event_log = event_log
        self._slot_count = slots
        self._on_change = on_change
        self._table = OwnershipTable()
        self._owned_since_by_slot: dict[int, Millis] = {}
        self._slots_to_hand_over: set[int] = set()
        self._has_unknown_write = False
        self._last_balanced_at = clock.now()
        self._leaving = False
        self._planned_owner_by_slot: dict[int, Owner] = {}

    def table(self) -> OwnershipTable:
        """Return the newest known table."""
        return self._table

    def revision(self) -> int:
        """Return the generation of the newest known table."""
        return self._table.generation

    def document(self) -> bytes:
        """Return the newest known table, encoded for other VMs."""
        return encode_table(self._table)

    def slot_of(self, key: str) -> int:
        """Return the slot of `key` in this scope."""
        return slot_of(key, self._slot_count)

    def owner_of(self, slot: int) -> Owner | None:
        """Return the owner of `slot` in the newest known table; it may be outdated."""
        return self._table.owner_by_slot.get(slot)

    def owners(self) -> frozenset[Owner]:
        """Return all owners in the newest known table."""
        return frozenset(self._table.owner_by_slot.values())

    def owns(self, slot: int) -> bool:
        """Return whether this VM may act for `slot` now."""
        return slot in self._owned_since_by_slot

    def owned_slots(self) -> frozenset[int]:
        """Return the slots that this VM may act for now."""
        return frozenset(self._owned_since_by_slot)

    def owned_since(self, slot: int) -> Millis | None:
        """Return when this VM became the owner of `slot`, or None if it is not."""
        return self._owned_since_by_slot.get(slot)

    def apply_table(self, generation: int, document: bytes) -> None:
        """Apply a table from a peer or the store if it is newer than the known one."""
        if generation > self._table.generation:
            self._apply_document(document)

    def run(self) -> None:
        """Run a round every `ROUND_INTERVAL` until the greenlet is killed."""
        while True:
            self.step()
            self._clock.sleep(ROUND_INTERVAL)

    def step(self) -> None:
        """Assign free slots, else hand over released slots, else balance a few."""
        if self._owner_selector.should_assign(self._table):
            self._update_table(self._owner_selector.owners_of_free_slots)
        elif self._slots_to_hand_over:
            self._update_table(self._reassign_released)
        elif self._clock.now() - self._last_balanced_at >= BALANCE_INTERVAL:
            self._last_balanced_at = self._clock.now()
            self._balance()

    def hand_over(self) -> Result[None, StoreError]:
        """Stop acting for all slots, then write the table; used at a planned stop.

        Returns
        -------
        Result of None or StoreError
            This VM acts for no slot even after a failure. Call again to retry.
        """
        self._leaving = True
        self._owner_selector.exclude_this_vm()
        self._release(self._table.slots_of(self._this_vm))
        return self._update_table(self._reassign_released)

    def _reassign_released(self, table: OwnershipTable) -> Mapping[int, Owner]:
        """Return new owners of the released slots; this VM if there is no candidate.

        Writing a slot back to this VM advances the store's revision. An earlier write
        whose answer was lost can then no longer take effect.
        """
        released = [
            slot
            for slot in self._slots_to_hand_over
            if table.owner_by_slot.get(slot) == self._this_vm
        ]
        chosen = self._owner_selector.choose_owners(released)
        return {slot: chosen.get(slot, self._this_vm) for slot in released}

    def _balance(self) -> None:
        """Hand over a few slots for which two successive calls chose the same VM."""
        chosen = self._owner_selector.choose_owners(sorted(self._owned_since_by_slot))
        planned_owner_by_slot = {
            slot: owner for slot, owner in chosen.items() if owner != self._this_vm
        }
        unchanged = [
            slot
            for slot, owner in planned_owner_by_slot.items()
            if self._planned_owner_by_slot.get(slot) == owner
        ]
        self._planned_owner_by_slot = planned_owner_by_slot
        if unchanged:
            self._release(unchanged[:MAX_SLOTS_PER_BALANCE])
            self._update_table(self._reassign_released)

    def _release(self, slots: Iterable[int]) -> None:
        """Stop acting for `slots`; the table assigns them to this VM until a write."""
        for slot in slots:
            self._owned_since_by_slot.pop(slot, None)
            self._slots_to_hand_over.add(slot)
        self._on_change()

    def _update_table(self, change: _TableChange) -> Result[None, StoreError]:
        """Read the table, apply `change` to it and write it by compare-and-swap."""
        outcome = self._store.read(self._key).bind(
            lambda entry: self._write_changed(entry, change)
        )
        if isinstance(outcome, Failure):
            self._after_failure(outcome.failure())
        return outcome

    def _write_changed(
        self, entry: Entry | None, change: _TableChange
    ) -> Result[None, StoreError]:
        if entry is not None:
            self._apply_document(entry.value)
        current_table = self._table
        owner_by_slot = change(current_table)
        if not owner_by_slot:
            return Success(None)
        table = current_table.with_owners(owner_by_slot)
        revision = entry.revision if entry else ABSENT_REVISION
        write_outcome = self._store.put_if(self._key, encode_table(table), revision)
        return write_outcome.map(lambda _entry: self._adopt(table))

    def _after_failure(self, error: StoreError) -> None:
        """Take released slots back unless a write may have reached the store."""
        if isinstance(error, StoreOutcomeUnknown):
            self._has_unknown_write = True
        if self._has_unknown_write or self._leaving:
            return
        now = self._clock.now()
        for slot in self._slots_to_hand_over:
            self._owned_since_by_slot[slot] = now
        self._slots_to_hand_over.clear()
        self._on_change()

    def _apply_document(self, document: bytes) -> None:
        match decode_table(document):
            case Success(table):
                self._adopt(table)

    def _adopt(self, table: OwnershipTable) -> None:
        """Replace the table, unless a peer has sent a newer one in the meantime.

        A newer table also settles this VM's writes with an unknown outcome. They
        expected an older revision of the store and can no longer take effect.
        """
        if table.generation <= self._table.generation:
            return
        self._table = table
        self._has_unknown_write = False
        if not self._leaving:
            self._slots_to_hand_over.clear()
        owned = table.slots_of(self._this_vm)
        lost = self._owned_since_by_slot.keys() - owned
        gained = owned - self._owned_since_by_slot.keys() - self._slots_to_hand_over
        for slot in lost:
            del self._owned_since_by_slot[slot]
        now = self._clock.now()
        for slot in gained:
            self._owned_since_by_slot[slot] = now
        if lost or gained:
            self._on_change()
        self._record_event("gained", gained)
        self._record_event("lost", lost)

    def _record_event(self, change: str, slots: Iterable[int]) -> None:
        slot_list = ",".join(str(slot) for slot in sorted(slots))
        if slot_list and self._event_log is not None:
            self._event_log.record(
                EventKind.OWNER_CHANGED,
                self.scope,
                vm=self._this_vm.vm,
                **{change: slot_list},
            )
