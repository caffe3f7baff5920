"""First-hand statements with versions, so that only changes are sent."""

from __future__ import annotations

from dataclasses import replace

from lagoonlatch.membership.heartbeat import Heartbeat, Member


class StatementTable:
    """What this VM states of others at first hand.

    Each change raises `version`; `since` returns what changed after a version in
    time proportional to the number of changes.
    """

    def __init__(self) -> None:
        self.version = 0
        self._dropped_up_to = 0
        self._entry_by_vm: dict[str, tuple[int, Member]] = {}

    def put(self, member: Member) -> None:
        """State `member`, if that differs from the last statement of it."""
        entry = self._entry_by_vm.get(member.vm)
        if entry is not None and entry[1] == member:
            return
        self.version += 1
        # Kept in the order of versions.
        self._entry_by_vm.pop(member.vm, None)
        self._entry_by_vm[member.vm] = (self.version, member)

    def silence(self, vm: str) -> None:
        """State that a VM is heard no more, if it was stated to be alive."""
        if vm in self._entry_by_vm:
            self.put(replace(self._entry_by_vm[vm][1], silent=True))

    def drop(self, vm: str) -> None:
        """State nothing of `vm` any more."""
        changed_at, _ = self._entry_by_vm.pop(vm, (0, None))
        self._dropped_up_to = max(self._dropped_up_to, changed_at)

    def is_whole_since(self, version: int) -> bool:
        """Tell whether `since` returns every statement rather than the changes.

        That is so for a receiver that has missed the last statement of a VM that was
        dropped since.
        """
        return version < self._dropped_up_to or version == 0

    def since(self, version: int) -> list[Member]:
        """Return the statements made after `version`, or all of them."""
        if self.is_whole_since(version):
            return [member for _, member in self._entry_by_vm.values()]
        changed = []
        for changed_at, member in reversed(self._entry_by_vm.values()):
            if changed_at <= version:
                break
            changed.append(member)
        return changed


class Source:
    """What another VM has stated to this one.

    Attributes
    ----------
    incarnation : int
        The run of the VM that stated it.
    version : int
        The newest version received.
    acknowledged : int
        The newest own version that the VM has confirmed.
    alive : set of str
        VMs stated to be alive.
    ownership_digest : int
        Of the ownership revisions that the VM held last.
    """

    def __init__(self, incarnation: int) -> None:
        self.incarnation = incarnation
        self.version = 0
        self.acknowledged = 0
        self.alive: set[str] = set()
        self.ownership_digest = 0

    def apply(self, heartbeat: Heartbeat, receiver: Member) -> None:
        """Take in what a heartbeat states and confirms.

        An answer that was overtaken by a later one changes no statement. Changes are
        ignored until all statements have been received once: they follow what the
        sender stated to an earlier run of the receiver.
        """
        knows_receiver = heartbeat.known_incarnation == receiver.incarnation
        self.acknowledged = heartbeat.known_version if knows_receiver else 0
        self.ownership_digest = heartbeat.ownership_digest
        if heartbeat.members_version < self.version:
            return
        if not self.version and not heartbeat.members_whole:
            return
        if heartbeat.members_whole:
            self.alive.clear()
        for member in heartbeat.members:
            if member.silent:
                self.alive.discard(member.vm)
            else:
                self.alive.add(member.vm)
        self.version = heartbeat.members_version
