"""What a keeper must know of the other VMs."""

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
    """A VM that seems alive and may own slots of a scope.

    Parameters
    ----------
    preference : int
        Candidates with the lowest value are chosen before all others, for example
        the VMs of an upstream's own data centre before the rest of the region.
    """

    owner: Owner
    preference: int = 0


class OwnershipView(Protocol):
    """What a keeper must know of the other VMs."""

    def candidates(self) -> tuple[Candidate, ...]:
        """Return the VMs that may own slots; a hint, it need not be right."""

    def incarnation_of(self, vm: str) -> int | None:
        """Return the newest incarnation that answered at the VM's own address."""

    def read_ended_vms(self, vms: frozenset[str]) -> Result[frozenset[str], StoreError]:
        """Return those VMs whose lease has lapsed and that are listed no more.

        Both are read afresh: an answer kept from before the VM was first listed
        would take a new VM for one that is gone.
        """


class PlatformView:
    """The view made from the platform's answers and the members heard of.

    Parameters
    ----------
    candidates : callable
        Returns the VMs of the scope that seem alive.
    incarnation_of : callable
        Returns the newest incarnation heard from a VM, or None.
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
        """Return the newest incarnation heard from `vm`, or None."""
        return self._incarnation_of(vm)

    def read_ended_vms(self, vms: frozenset[str]) -> Result[frozenset[str], StoreError]:
        """Return those VMs whose lease has lapsed and that are listed no more.

        One call if all are listed, as when this VM alone is cut off from the others.
        """
        return self._vm_list.read_vms().map(
            lambda listed: self._vms_without_lease(vms - {item.id for item in listed})
        )

    def _vms_without_lease(self, vms: frozenset[str]) -> frozenset[str]:
        return frozenset(vm for vm in sorted(vms) if self._has_lapsed(vm))

    def _has_lapsed(self, vm: str) -> bool:
        """Return whether the store says that the lease has lapsed."""
        lapsed = self._store.read(VM_PREFIX + vm).map(lambda entry: entry is None)
        return lapsed.value_or(False)


def choose_owner(key: str, candidates: Iterable[Candidate]) -> Owner | None:
    """Return the owner of `key` by rendezvous hashing, or None without candidates."""
    best = min(
        candidates,
        key=lambda item: (item.preference, -hash_parts(key, item.owner.vm)),
        default=None,
    )
    return best.owner if best else None
