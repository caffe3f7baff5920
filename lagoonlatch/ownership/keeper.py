"""Keeps one scope's table of owners and says what this VM may act for.

A slot changes hands only when its owner hands it over, when the owner is gone (its
lease has lapsed and the platform lists it no more) or when the owner's own address
answers with a newer incarnation. A live owner therefore never has to renew anything
to go on acting, whatever the store, the network or its own pauses do.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import TypeAlias

from returns.result import Failure, Result, Success

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.events import EventKind, EventLog
from lagoonlatch.ownership.succession import Succession
from lagoonlatch.ownership.table import (
    DEFAULT_SLOTS,
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
BALANCE_SLOTS = 2

_Change: TypeAlias = Callable[[OwnershipTable], Mapping[int, Owner]]


class OwnershipKeeper:
    """One VM's knowledge of a scope's owners, and its part in changing them.

    Parameters
    ----------
    store : Store
        Holds the table under ``ownership/<scope>``.
    scope : str
        A region, or a part of it.
    me : Owner
        This run of this VM.
    view : OwnershipView
        What is known of the other VMs.
    slots : int
        Number of slots of the scope, the same on every VM.
    on_change : callable, optional
        Called when the slots change that this VM may act for; for a slot given away
        before the store is told, so that nobody acts for it twice.
    """

    def __init__(
        self,
        store: Store,
        scope: str,
        me: Owner,
        view: OwnershipView,
        clock: Clock,
        event_log: EventLog | None = None,
        slots: int = DEFAULT_SLOTS,
        on_change: Callable[[], None] = lambda: None,
    ) -> None:
        self.scope = scope
        self._store = store
        self._key = OWNERSHIP_PREFIX + scope
        self._me = me
        self._succession = Succession(scope, me, view, slots)
        self._clock = clock
        self._event_log = event_log
        self._slots = slots
        self._on_change = on_change
        self._table = OwnershipTable()
        self._owned_since_by_slot: dict[int, Millis] = {}
        self._slots_to_hand_over: set[int] = set()
        self._in_doubt = False
        self._balanced_at = clock.now()
        self._leaving = False
        self._planned: dict[int, Owner] = {}

    def table(self) -> OwnershipTable:
        """Return the newest table known."""
        return self._table

    def revision(self) -> int:
        """Return the generation of the newest table known."""
        return self._table.generation

    def document(self) -> bytes:
        """Return the newest table known, encoded for other VMs."""
        return encode_table(self._table)

    def slot_of(self, key: str) -> int:
        """Return the slot of `key` in this scope."""
        return slot_of(key, self._slots)

    def owner_of(self, slot: int) -> Owner | None:
        """Return the owner of `slot` as far as known; only a hint to others."""
        return self._table.owner_by_slot.get(slot)

    def owners(self) -> frozenset[Owner]:
        """Return all owners of slots as far as known."""
        return frozenset(self._table.owner_by_slot.values())

    def owns(self, slot: int) -> bool:
        """Return whether this VM may act for `slot` now."""
        return slot in self._owned_since_by_slot

    def owned_slots(self) -> frozenset[int]:
        """Return the slots that this VM may act for now."""
        return frozenset(self._owned_since_by_slot)

    def owned_since(self, slot: int) -> Millis | None:
        """Return when this VM began to own `slot`, or None if it may not act."""
        return self._owned_since_by_slot.get(slot)

    def apply_table(self, revision: int, document: bytes) -> None:
        """Take in a table that a peer or the store holds, unless it is older."""
        if revision > self._table.generation:
            self._learn_document(document)

    def run(self) -> None:
        """Do rounds until the greenlet is killed."""
        while True:
            self.step()
            self._clock.sleep(ROUND_INTERVAL)

    def step(self) -> None:
        """Do one round: reassign what is free, then balance a little."""
        if self._succession.is_due(self._table):
            self._write(self._succession.successors)
        elif self._slots_to_hand_over:
            self._write(self._settle_released)
        elif self._clock.now() - self._balanced_at >= BALANCE_INTERVAL:
            self._balanced_at = self._clock.now()
            self._balance()

    def hand_over(self) -> Result[None, StoreError]:
        """Stop acting for every slot, then write the table; for a planned stop.

        Returns
        -------
        Result of None or StoreError
            After a failure this VM acts for nothing either; call again to retry.
        """
        self._leaving = True
        self._succession.leave()
        self._release(self._table.slots_of(self._me))
        return self._write(self._settle_released)

    def _settle_released(self, table: OwnershipTable) -> Mapping[int, Owner]:
        """Give released slots away; one without a taker is written back to this VM.

        Writing them back moves the store's revision, after which an earlier write
        whose answer was lost can no longer take effect.
        """
        released = [
            slot
            for slot in self._slots_to_hand_over
            if table.owner_by_slot.get(slot) == self._me
        ]
        targets = self._succession.targets(released)
        return {slot: targets.get(slot, self._me) for slot in released}

    def _balance(self) -> None:
        """Hand over a few slots that belong elsewhere and did so a round ago too."""
        targets = self._succession.targets(sorted(self._owned_since_by_slot))
        planned = {slot: owner for slot, owner in targets.items() if owner != self._me}
        steady = [
            slot for slot, owner in planned.items() if self._planned.get(slot) == owner
        ]
        self._planned = planned
        if steady:
            self._release(steady[:BALANCE_SLOTS])
            self._write(self._settle_released)

    def _release(self, slots: Iterable[int]) -> None:
        for slot in slots:
            self._owned_since_by_slot.pop(slot, None)
            self._slots_to_hand_over.add(slot)
        self._on_change()

    def _write(self, change: _Change) -> Result[None, StoreError]:
        """Read the table, apply `change` to it and compare-and-swap it."""
        outcome = self._store.read(self._key).bind(
            lambda entry: self._write_over(entry, change)
        )
        if isinstance(outcome, Failure):
            self._after_failure(outcome.failure())
        return outcome

    def _write_over(
        self, entry: Entry | None, change: _Change
    ) -> Result[None, StoreError]:
        if entry is not None:
            self._learn_document(entry.value)
        known = self._table
        owner_by_slot = change(known)
        if not owner_by_slot:
            return Success(None)
        table = known.with_owners(owner_by_slot)
        revision = entry.revision if entry else ABSENT_REVISION
        written = self._store.put_if(self._key, encode_table(table), revision)
        return written.map(lambda _entry: self._adopt(table))

    def _after_failure(self, error: StoreError) -> None:
        """Go on acting for released slots if the store surely has no such write."""
        if isinstance(error, StoreOutcomeUnknown):
            self._in_doubt = True
        if self._in_doubt or self._leaving:
            return
        now = self._clock.now()
        for slot in self._slots_to_hand_over:
            self._owned_since_by_slot[slot] = now
        self._slots_to_hand_over.clear()
        self._on_change()

    def _learn_document(self, document: bytes) -> None:
        match decode_table(document):
            case Success(table):
                self._adopt(table)

    def _adopt(self, table: OwnershipTable) -> None:
        """Put a table in force, unless a peer's answer has overtaken it.

        It also settles every write of this VM that was in doubt: such a write
        expected a revision of the store that is now past.
        """
        if table.generation <= self._table.generation:
            return
        self._table = table
        self._in_doubt = False
        if not self._leaving:
            self._slots_to_hand_over.clear()
        mine = table.slots_of(self._me)
        lost = self._owned_since_by_slot.keys() - mine
        gained = mine - self._owned_since_by_slot.keys() - self._slots_to_hand_over
        for slot in lost:
            del self._owned_since_by_slot[slot]
        now = self._clock.now()
        for slot in gained:
            self._owned_since_by_slot[slot] = now
        if lost or gained:
            self._on_change()
        self._record("gained", gained)
        self._record("lost", lost)

    def _record(self, change: str, slots: Iterable[int]) -> None:
        listed = ",".join(str(slot) for slot in sorted(slots))
        if listed and self._event_log is not None:
            self._event_log.record(
                EventKind.OWNER_CHANGED, self.scope, vm=self._me.vm, **{change: listed}
            )
