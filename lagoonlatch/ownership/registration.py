"""Registers a VM in the store with an entry that is bound to a lease."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from returns.result import Failure, Result, Success

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.ownership.table import Owner
from lagoonlatch.ownership.view import VM_PREFIX
from lagoonlatch.platform.store import (
    ABSENT_REVISION,
    Store,
    StoreError,
    StoreLeaseEnded,
)

MAX_RENEWALS_PER_SECOND = 100.0
MIN_RENEWAL_INTERVAL: Millis = 1_000.0
RENEWALS_PER_LEASE = 3
"""Renewal intervals per lease, so that a single failed renewal does not end it."""


@dataclass(frozen=True)
class VmEntry:
    """The value of ``vms/<id>``: the current run of the VM and its address."""

    incarnation: int
    address: str
    data_centre: str


def renewal_interval(vm_count: int) -> Millis:
    """Return the time between two lease renewals in a fleet of `vm_count` VMs.

    All VMs together make at most `MAX_RENEWALS_PER_SECOND` calls per second. The
    leases of a larger fleet are therefore longer, and the load on the store is limited.
    """
    return max(MIN_RENEWAL_INTERVAL, vm_count / MAX_RENEWALS_PER_SECOND * 1000.0)


class VmRegistration:
    """Keeps ``vms/<id>`` in the store while the VM runs.

    Parameters
    ----------
    this_vm : Owner
        The current run of this VM.
    vm_count : callable
        Returns the number of VMs in the fleet, which determines the lease duration.
    """

    def __init__(
        self,
        store: Store,
        this_vm: Owner,
        address: str,
        data_centre: str,
        vm_count: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._store = store
        self._key = VM_PREFIX + this_vm.vm
        self._value = msgspec.json.encode(
            VmEntry(this_vm.incarnation, address, data_centre)
        )
        self._vm_count = vm_count
        self._clock = clock
        self._lease: int | None = None

    def run(self) -> None:
        """Renew the lease periodically until the greenlet is killed."""
        while True:
            self.step()
            self._clock.sleep(renewal_interval(self._vm_count()))

    def step(self) -> Result[None, StoreError]:
        """Renew the lease, or register again if there is no lease or it has ended."""
        if self._lease is not None:
            renewal = self._store.renew_lease(self._lease)
            if not _has_ended(renewal):
                return renewal
            self._lease = None
        return self._register()

    def stop(self) -> Result[None, StoreError]:
        """Revoke the lease; call only after the VM has stopped acting for its slots."""
        if self._lease is None:
            return Success(None)
        return self._store.revoke_lease(self._lease)

    def _register(self) -> Result[None, StoreError]:
        duration = RENEWALS_PER_LEASE * renewal_interval(self._vm_count())
        grant_outcome = self._store.grant_lease(duration)
        if isinstance(grant_outcome, Failure):
            return grant_outcome
        return self._store.read(self._key).bind(
            lambda entry: self._put(entry, grant_outcome.unwrap())
        )

    def _put(self, entry, lease: int) -> Result[None, StoreError]:
        revision = entry.revision if entry else ABSENT_REVISION
        write_outcome = self._store.put_if(self._key, self._value, revision, lease)
        if isinstance(write_outcome, Success):
            self._lease = lease
        return write_outcome.map(lambda _entry: None)


def _has_ended(renewal: Result[None, StoreError]) -> bool:
    return isinstance(renewal, Failure) and isinstance(
        renewal.failure(), StoreLeaseEnded
    )


def register_vm(
    store: Store,
    this_vm: Owner,
    address: str,
    data_centre: str,
    vm_count: Callable[[], int],
    clock: Clock,
) -> VmRegistration:
    """Register this VM and return its `VmRegistration`.

    If this first attempt fails, `VmRegistration.run` tries again.
    """
    registration = VmRegistration(store, this_vm, address, data_centre, vm_count, clock)
    registration.step()
    return registration
