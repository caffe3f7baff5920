"""Which slots of a scope are free, and who should own them."""

from __future__ import annotations

from collections.abc import Iterable

from lagoonlatch.ownership.table import Owner, OwnershipTable
from lagoonlatch.ownership.view import Candidate, OwnershipView, choose_owner


class Succession:
    """Decides by what is known of the other VMs; changes nothing.

    Parameters
    ----------
    scope : str
        The scope of the slots.
    me : Owner
        This run of this VM.
    slots : int
        Number of slots of the scope.
    """

    def __init__(self, scope: str, me: Owner, view: OwnershipView, slots: int) -> None:
        self._scope = scope
        self._me = me
        self._view = view
        self._slots = slots
        self._leaving = False

    def leave(self) -> None:
        """Choose other VMs from now on."""
        self._leaving = True

    def targets(self, slots: Iterable[int]) -> dict[int, Owner]:
        """Return who should own each of `slots`; none without candidates."""
        candidates = self._candidates()
        targets = {
            slot: choose_owner(f"{self._scope}/{slot}", candidates) for slot in slots
        }
        return {slot: owner for slot, owner in targets.items() if owner}

    def is_due(self, table: OwnershipTable) -> bool:
        """Return whether slots may be free and this VM should own one of them.

        Several VMs may find so at once; a race costs one conflict.
        """
        free = self._free_slots(table)
        return bool(free) and self._me in self.targets(free).values()

    def successors(self, table: OwnershipTable) -> dict[int, Owner]:
        """Return new owners for the slots whose owners have surely ended."""
        free = self._free_slots(table)
        owners = {table.owner_by_slot.get(slot) for slot in free} - {None, self._me}
        ended = self._ended(owners)
        return self.targets(
            slot
            for slot in free
            if (owner := table.owner_by_slot.get(slot)) is None or owner in ended
        )

    def _candidates(self) -> tuple[Candidate, ...]:
        candidates = self._view.candidates()
        if not self._leaving:
            return candidates
        return tuple(item for item in candidates if item.owner != self._me)

    def _free_slots(self, table: OwnershipTable) -> frozenset[int]:
        """Return the slots that may be free: unowned, restarted or silent owners."""
        alive = {item.owner.vm for item in self._view.candidates()}
        return frozenset(
            slot
            for slot in range(self._slots)
            if (owner := table.owner_by_slot.get(slot)) is None
            or (owner != self._me and self._seems_ended(owner, alive))
        )

    def _seems_ended(self, owner: Owner, alive: set[str]) -> bool:
        return owner.vm not in alive or self._is_restarted(owner)

    def _is_restarted(self, owner: Owner) -> bool:
        if owner.vm == self._me.vm:
            return owner.incarnation < self._me.incarnation
        newest = self._view.incarnation_of(owner.vm)
        return newest is not None and newest > owner.incarnation

    def _ended(self, owners: set[Owner]) -> set[Owner]:
        """Return those owners that surely run no more."""
        restarted = {owner for owner in owners if self._is_restarted(owner)}
        silent = frozenset(owner.vm for owner in owners - restarted)
        if not silent:
            return restarted
        gone = self._view.read_ended_vms(silent).value_or(frozenset())
        return restarted | {owner for owner in owners if owner.vm in gone}
