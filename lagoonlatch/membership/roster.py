"""The VMs that are known: who they are, where they stand, which run is newest."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace

from lagoonlatch.membership.heartbeat import Member, is_brief
from lagoonlatch.platform.store import ListedVm, VmState

UNHEARD_INCARNATION = 0


class Roster:
    """The newest known run of each VM.

    Parameters
    ----------
    me : Member
        This VM.
    is_alive : callable
        Whether a VM seems alive, so that its address is not given to an older one.
    changed : callable
        Called with a VM that is new or changed.
    removed : callable
        Called with a VM that was removed.

    Attributes
    ----------
    superseded : bool
        Whether a newer run of this very VM was heard of.
    """

    def __init__(
        self,
        me: Member,
        is_alive: Callable[[str], bool],
        changed: Callable[[Member], None],
        removed: Callable[[str], None],
    ) -> None:
        self.me = me
        self.superseded = False
        self._is_alive = is_alive
        self._changed = changed
        self._removed = removed
        self._member_by_vm: dict[str, Member] = {me.vm: me}
        self._vm_by_address: dict[str, str] = {me.address: me.vm}
        self._listed: set[str] = set()
        self._listed_leaving: set[str] = set()

    def __contains__(self, vm: object) -> bool:
        return vm in self._member_by_vm

    def set_me(self, me: Member) -> None:
        """Change what this VM says of itself."""
        self.me = me
        self._member_by_vm[me.vm] = me
        self._changed(me)

    def set_listed(
        self, listed: Iterable[ListedVm], region_of: Callable[[str], str | None]
    ) -> None:
        """Take in the platform's list, which lags and misses VMs."""
        listed = tuple(listed)
        leaving = {vm.id for vm in listed if vm.state is VmState.LEAVING}
        changed = (leaving ^ self._listed_leaving) & self._member_by_vm.keys()
        self._listed_leaving = leaving
        self._listed = {vm.id for vm in listed}
        for vm in changed:
            self._changed(self._member_by_vm[vm])
        for vm in listed:
            if vm.id not in self._member_by_vm:
                region = region_of(vm.data_centre) or ""
                self.mention(_unheard(vm, region))

    def mention(self, member: Member, direct: bool = False) -> None:
        """Learn that a run of a VM may exist, not that it is alive.

        Parameters
        ----------
        direct : bool
            Whether the VM itself said so. Only then may it take back its address
            from a newer VM, which must have fallen silent.
        """
        if member.vm == self.me.vm:
            self.superseded |= member.incarnation > self.me.incarnation
            return
        known = self._member_by_vm.get(member.vm)
        if known is None or member.incarnation > known.incarnation:
            self._adopt(replace(member, silent=False), direct)
            return
        same_run = member.incarnation == known.incarnation
        if same_run and member.leaving and not known.leaving:
            self._adopt(replace(known, leaving=True), direct)

    def whole(self, sender: Member) -> Member | None:
        """Return a sender with what it left out, or None if that is not known."""
        if not is_brief(sender):
            return sender
        known = self._member_by_vm.get(sender.vm)
        if known is None or known.incarnation != sender.incarnation:
            return None
        return replace(known, leaving=sender.leaving)

    def remove(self, vm: str) -> None:
        """Forget a VM."""
        member = self._member_by_vm.pop(vm)
        if self._vm_by_address.get(member.address) == vm:
            del self._vm_by_address[member.address]
        self._removed(vm)

    def member(self, vm: str) -> Member | None:
        """Return a VM's newest known run, or None."""
        return self._member_by_vm.get(vm)

    def members(self) -> tuple[Member, ...]:
        """Return the newest run of every VM known."""
        return tuple(self._member_by_vm.values())

    def vm_at(self, address: str) -> str | None:
        """Return the newest VM known at an address, or None."""
        return self._vm_by_address.get(address)

    def is_listed(self, vm: str) -> bool:
        """Tell whether the platform's list named a VM when it was last read."""
        return vm in self._listed

    def is_leaving(self, vm: str) -> bool:
        """Tell whether a VM takes no new work."""
        return vm in self._listed_leaving or self._member_by_vm[vm].leaving

    def _adopt(self, member, direct):
        occupant = self._vm_by_address.get(member.address)
        if occupant is not None and occupant != member.vm:
            newer = self._member_by_vm[occupant].incarnation > member.incarnation
            if newer and (not direct or self._is_alive(occupant)):
                # The address has passed on to a newer VM.
                return
            if member.incarnation != UNHEARD_INCARNATION:
                self.remove(occupant)
        known = self._member_by_vm.get(member.vm)
        if known is not None and self._vm_by_address.get(known.address) == known.vm:
            del self._vm_by_address[known.address]
        self._member_by_vm[member.vm] = member
        self._vm_by_address[member.address] = member.vm
        self._changed(member)


def _unheard(vm: ListedVm, region: str) -> Member:
    return Member(
        vm=vm.id,
        incarnation=UNHEARD_INCARNATION,
        address=vm.address,
        data_centre=vm.data_centre,
        region=region,
    )
