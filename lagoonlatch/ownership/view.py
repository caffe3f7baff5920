"""Information about the other VMs that an ownership keeper needs."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from lagoonlatch.ownership.table import Owner, hash_parts
from lagoonlatch.platform.store import Store, StoreError, VmList

VM_PREFIX = "vms/"


@dataclass(frozen=True)
class Candidate:
    """A VM that appears to be alive and may own slots of a scope.

    Parameters
    ----------
    preference : int
        Candidates with a lower value are chosen first, for example the VMs of an
        upstream's own data centre before others of the region.
    """

    owner: Owner
    preference: int = 0


class OwnershipView(Protocol):
    """Information about the other VMs that a keeper needs."""

    def candidates(self) -> tuple[Candidate, ...]:
        """Return the VMs that may own slots; the result may be outdated."""

    def incarnation_of(self, vm: str) -> int | None:
        """Return the newest incarnation reported from the VM's own address, or None."""

    def read_ended_vms(self, vms: frozenset[str]) -> Result[frozenset[str], StoreError]:
        """Return those VMs whose lease has ended and that are no longer listed.

        Lease and list are read anew at each call. With an outdated list, a new VM
        would be treated as ended.
        """


class PlatformView:
    """An `OwnershipView` that reads the store and the platform's VM list.

    Parameters
    ----------
    candidates : callable
        Returns the VMs of the scope that appear to be alive.
    incarnation_of : callable
        Returns the newest known incarnation of a VM, or None.
    """

    def __init__(
        self,
        store: Store,
        vm_list: VmList,
        candidates: Callable[[], Iterable[Candidate]],
        incarnation_of: Callable[[str], int | None],
    ) -> None:
        self._store = store
        self._vm_list = vm_list
        self._candidates = candidates
        self._incarnation_of = incarnation_of

    def candidates(self) -> tuple[Candidate, ...]:
        """Return the VMs that may own slots."""
        return tuple(self._candidates())

    def incarnation_of(self, vm: str) -> int | None:
        """Return the newest known incarnation of `vm`, or None."""
        return self._incarnation_of(vm)

    def read_ended_vms(self, vms: frozenset[str]) -> Result[frozenset[str], StoreError]:
        """Return those VMs whose lease has ended and that are no longer listed.

        If all VMs are still listed, for example because only this VM is cut off from
        the others, only the list is read and not the store.
        """
        return self._vm_list.read_vms().map(
            lambda listed: self._vms_without_lease(
                vms - {listed_vm.id for listed_vm in listed}
            )
        )

    def _vms_without_lease(self, vms: frozenset[str]) -> frozenset[str]:
        return frozenset(vm for vm in sorted(vms) if self._has_no_lease(vm))

    def _has_no_lease(self, vm: str) -> bool:
        """Return whether the VM has no lease according to the store."""
        has_no_entry = self._store.read(VM_PREFIX + vm).map(lambda entry: entry is None)
        return has_no_entry.value_or(False)


def choose_owner(key: str, candidates: Iterable[Candidate]) -> Owner | None:
    """Return the owner of `key` by rendezvous hashing, or None without candidates."""
    first_choice = min(
        candidates,
        key=lambda candidate: (
            candidate.preference,
            -hash_parts(key, candidate.owner.vm),
        ),
        default=None,
    )
    return first_choice.owner if first_choice else None
