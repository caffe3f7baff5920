"""Finds the free slots of a scope and chooses their owners."""

from __future__ import annotations

from collections.abc import Iterable

from lagoonlatch.ownership.table import Owner, OwnershipTable
from lagoonlatch.ownership.view import Candidate, OwnershipView, choose_owner


class OwnerSelector:
    """Chooses owners from the VMs in a view; it does not write the table.

    Parameters
    ----------
    scope : str
        The scope of the slots.
    this_vm : Owner
        The current run of this VM.
    slot_count : int
        Number of slots of the scope.
    """

    def __init__(
        self, scope: str, this_vm: Owner, view: OwnershipView, slot_count: int
    ) -> None:
        self._scope = scope
        self._this_vm = this_vm
        self._view = view
        self._slot_count = slot_count
        self._leaving = False

    def exclude_this_vm(self) -> None:
        """Choose only other VMs from now on, because this VM is about to stop."""
        self._leaving = True

    def choose_owners(self, slots: Iterable[int]) -> dict[int, Owner]:
        """Return the owner to assign to each of `slots`; empty without candidates."""
        candidates = self._candidates()
        choice_by_slot = {
            slot: choose_owner(f"{self._scope}/{slot}", candidates) for slot in slots
        }
        return {slot: owner for slot, owner in choice_by_slot.items() if owner}

    def should_assign(self, table: OwnershipTable) -> bool:
        """Return whether slots may be free and this VM should own one of them.

        Several VMs may return true at the same time. The compare-and-swap of only one
        of them succeeds; the others get a `StoreConflict`.
        """
        possibly_free = self._possibly_free_slots(table)
        return (
            bool(possibly_free)
            and self._this_vm in self.choose_owners(possibly_free).values()
        )

    def owners_of_free_slots(self, table: OwnershipTable) -> dict[int, Owner]:
        """Return new owners for slots that have no owner or an ended one."""
        possibly_free = self._possibly_free_slots(table)
        owners = {table.owner_by_slot.get(slot) for slot in possibly_free} - {
            None,
            self._this_vm,
        }
        ended = self._find_ended_owners(owners)
        return self.choose_owners(
            slot
            for slot in possibly_free
            if (owner := table.owner_by_slot.get(slot)) is None or owner in ended
        )

    def _candidates(self) -> tuple[Candidate, ...]:
        candidates = self._view.candidates()
        if not self._leaving:
            return candidates
        return tuple(
            candidate for candidate in candidates if candidate.owner != self._this_vm
        )

    def _possibly_free_slots(self, table: OwnershipTable) -> frozenset[int]:
        """Return the slots that have no owner or whose owner may have ended."""
        candidate_vms = {candidate.owner.vm for candidate in self._view.candidates()}
        return frozenset(
            slot
            for slot in range(self._slot_count)
            if (owner := table.owner_by_slot.get(slot)) is None
            or (owner != self._this_vm and self._may_have_ended(owner, candidate_vms))
        )

    def _may_have_ended(self, owner: Owner, candidate_vms: set[str]) -> bool:
        return owner.vm not in candidate_vms or self._has_newer_incarnation(owner)

    def _has_newer_incarnation(self, owner: Owner) -> bool:
        if owner.vm == self._this_vm.vm:
            return owner.incarnation < self._this_vm.incarnation
        newest = self._view.incarnation_of(owner.vm)
        return newest is not None and newest > owner.incarnation

    def _find_ended_owners(self, owners: set[Owner]) -> set[Owner]:
        """Return those of `owners` that are known to have ended."""
        replaced = {owner for owner in owners if self._has_newer_incarnation(owner)}
        vms_to_check = frozenset(owner.vm for owner in owners - replaced)
        if not vms_to_check:
            return replaced
        ended_vms = self._view.read_ended_vms(vms_to_check).value_or(frozenset())
        return replaced | {owner for owner in owners if owner.vm in ended_vms}
