"""Which VMs seem alive, from heartbeats and from what others state."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from lagoonlatch.clock import Millis
from lagoonlatch.membership.directory import Directory
from lagoonlatch.membership.evidence import Evidence
from lagoonlatch.membership.heartbeat import Heartbeat, Member
from lagoonlatch.membership.record import VmRecord, VmStatus
from lagoonlatch.membership.roster import Roster
from lagoonlatch.membership.statements import Source, StatementTable


@dataclass(frozen=True)
class Changes:
    """VMs whose status changed at one refresh."""

    reachable: tuple[str, ...]
    silent: tuple[str, ...]


class View:
    """Merges what is heard of each VM into a status.

    A VM is alive if it was heard lately, or if a VM heard lately states that it
    heard it itself. Statements pass on only what was heard at first hand: of VMs
    heard directly, and of other data centres what their own VMs state. So no two
    VMs can keep a third alive by quoting each other.

    Parameters
    ----------
    me : Member
        This VM.
    patience : callable
        Time without a heartbeat after which a VM seems silent.
    forget_after : Millis
        Time after which a silent VM that is not listed is forgotten.

    Attributes
    ----------
    roster : Roster
        The VMs known.
    directory : Directory
        The VMs by data centre.
    evidence : Evidence
        Whom this VM has heard.
    table : StatementTable
        What this VM states of others.
    """

    def __init__(
        self,
        me: Member,
        patience: Callable[[Member], Millis],
        forget_after: Millis,
    ) -> None:
        self.roster = Roster(me, self.is_alive, self._changed, self._removed)
        self.directory = Directory(me.region, self.roster.members, self._speakers)
        self.table = StatementTable()
        self.table.put(me)
        self.evidence = Evidence(self.roster, patience)
        self._forget_after = forget_after
        self._silent_since_by_vm: dict[str, Millis] = {}
        self._alive: set[str] = {me.vm}
        self._stated: set[str] = {me.vm}
        self._newly_reachable: set[str] = set()
        self._removed_at_by_vm: dict[str, Millis | None] = {}

    @property
    def me(self) -> Member:
        """The own run."""
        return self.roster.me

    def hear(
        self, heartbeat: Heartbeat, now: Millis, asked: bool = False
    ) -> Source | None:
        """Take in a heartbeat; return its sender's source.

        A heartbeat of an older incarnation is ignored: its process was suspended
        and has been replaced.
        """
        sender = self.roster.whole(heartbeat.member)
        if sender is None or sender.vm == self.me.vm:
            return None
        self.roster.mention(sender, direct=True)
        known = self.roster.member(sender.vm)
        if known is None or known.incarnation != sender.incarnation:
            return None
        if not self.evidence.answers(sender.vm):
            self.directory.touch()
        source = self.evidence.hear(known, heartbeat, now)
        if asked:
            self.evidence.note_asked(known, now)
        for member in (*heartbeat.members, *heartbeat.acquaintances):
            if not member.silent or member.vm in self.roster:
                self.roster.mention(member)
        if sender.vm not in self._alive:
            self._alive_at_once(known)
        return source

    def note_unanswered(self, vm: str, now: Millis) -> None:
        """Learn that a VM did not answer this one.

        It is passed over in the choice of watchers for a while. Two dead watchers
        whose last words were that the other is alive are so replaced at once.
        """
        if vm in self.roster:
            self.evidence.note_unanswered(vm, now)
            self.directory.touch()

    def refresh(self, now: Millis) -> Changes:
        """Work out each VM's status anew."""
        if self.evidence.expire(now):
            self.directory.touch()
        heard_of = self.evidence.weigh(now)
        self._state(heard_of.first_hand)
        everyone = heard_of.first_hand | heard_of.second_hand
        alive = {vm for vm in everyone if vm in self.roster}
        reachable = (alive - self._alive) | (alive & self._newly_reachable)
        silent = self._alive - alive
        self._newly_reachable.clear()
        for vm in reachable:
            self._silent_since_by_vm.pop(vm, None)
        for vm in silent:
            self._silent_since_by_vm[vm] = now
        self._alive = alive
        self._forget(now)
        if reachable or silent:
            self.directory.touch()
        return Changes(tuple(sorted(reachable)), tuple(sorted(silent)))

    def record(self, vm: str) -> VmRecord | None:
        """Return what is known of a VM, or None."""
        member = self.roster.member(vm)
        if member is None:
            return None
        return VmRecord(
            id=vm,
            incarnation=member.incarnation,
            address=member.address,
            data_centre=member.data_centre,
            region=member.region,
            leaving=self.roster.is_leaving(vm),
            status=self._status(vm),
            last_heard=self.evidence.last_heard(vm),
        )

    def is_alive(self, vm: str) -> bool:
        """Tell whether a VM seems alive."""
        return vm in self._alive

    def hears_anyone(self) -> bool:
        """Tell whether any other VM seems alive."""
        return len(self._alive) > 1

    def late(self, now: Millis) -> list[str]:
        """Return the VMs of the own data centre that should have been heard."""
        return [vm for vm in self.evidence.late(now) if vm in self._alive]

    def _status(self, vm):
        if vm in self._alive:
            return VmStatus.ALIVE
        if vm in self._silent_since_by_vm:
            return VmStatus.SILENT
        return VmStatus.LISTED

    def _changed(self, member):
        if member.vm in self._stated:
            self.table.put(member)
        self.directory.touch()

    def _removed(self, vm):
        self.evidence.remove(vm)
        self._silent_since_by_vm.pop(vm, None)
        self._alive.discard(vm)
        self._stated.discard(vm)
        self.table.silence(vm)
        self._removed_at_by_vm[vm] = None
        self.directory.touch()

    def _alive_at_once(self, member):
        self._alive.add(member.vm)
        self._newly_reachable.add(member.vm)
        self._stated.add(member.vm)
        self.table.put(member)
        self.directory.touch()

    def _state(self, first_hand):
        for vm in first_hand - self._stated:
            if vm in self.roster:
                self.table.put(self.roster.member(vm))
        for vm in self._stated - first_hand:
            self.table.put(replace(self.roster.member(vm), silent=True))
        self._stated = {vm for vm in first_hand if vm in self.roster}

    def _forget(self, now):
        for member in self.roster.members():
            vm = member.vm
            if vm in self._alive or self.roster.is_listed(vm):
                continue
            silent_since = self._silent_since_by_vm.setdefault(vm, now)
            if now - silent_since > self._forget_after:
                self.roster.remove(vm)
        self._drop_statements(now)

    def _drop_statements(self, now):
        """Drop the last statement of each VM that was removed long ago."""
        for vm, removed_at in tuple(self._removed_at_by_vm.items()):
            if removed_at is None:
                self._removed_at_by_vm[vm] = now
            elif vm in self.roster:
                del self._removed_at_by_vm[vm]
            elif now - removed_at > self._forget_after:
                del self._removed_at_by_vm[vm]
                self.table.drop(vm)

    def _speakers(self, vms):
        alive = [vm for vm in vms if vm in self._alive]
        answering = [vm for vm in alive if self.evidence.answers(vm)]
        staying = [vm for vm in answering if not self.roster.is_leaving(vm)]
        return staying or answering or alive
