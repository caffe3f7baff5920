"""The interface of the platform's key-value store and VM list.

The HTTP client implements it against the platform; tests implement it in memory.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Protocol

from returns.result import Result

from lagoonlatch.clock import Millis

ABSENT_REVISION = 0


@dataclass(frozen=True)
class Entry:
    """A key's value and the revision of its last write."""

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True)
class StoreUnavailable:
    """The call had no effect: the store refused it or could not be reached."""

    reason: str


@dataclass(frozen=True)
class StoreOutcomeUnknown:
    """The answer was lost: the call may or may not have taken effect."""

    reason: str


@dataclass(frozen=True)
class StoreConflict:
    """The compare-and-swap found another revision; `current` is what it found."""

    key: str
    current: Entry | None


@dataclass(frozen=True)
class StoreLeaseEnded:
    """The call had no effect: the lease that it names has ended."""

    lease: int


StoreError = StoreUnavailable | StoreOutcomeUnknown | StoreConflict | StoreLeaseEnded


@dataclass(frozen=True)
class WatchNotice:
    """Something under a watched prefix changed; read it to learn its state."""

    key: str
    revision: int


class VmState(Enum):
    """What the platform's list says of a VM."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True)
class ListedVm:
    """One VM in the platform's lagging list; a VM that is gone is not listed.

    Parameters
    ----------
    id : str
        The VM's id, unique for ever.
    address : str
        IP address.
    """

    id: str
    address: str
    data_centre: str
    state: VmState


class Store(Protocol):
    """Compare-and-swap, leases and watches; each method is one counted call."""

    def read(self, key: str) -> Result[Entry | None, StoreError]:
        """Return the entry of `key`, or None if it is absent."""

    def read_prefix(self, prefix: str) -> Result[tuple[Entry, ...], StoreError]:
        """Return the entries whose keys begin with `prefix`, sorted by key."""

    def put_if(
        self, key: str, value: bytes, revision: int, lease: int = 0
    ) -> Result[Entry, StoreError]:
        """Write `value` if `key` still has `revision` (0: absent)."""

    def delete_if(self, key: str, revision: int) -> Result[None, StoreError]:
        """Delete `key` if it still has `revision`."""

    def grant_lease(self, duration: Millis) -> Result[int, StoreError]:
        """Return the id of a new lease; its keys go when it ends.

        The store rounds `duration` up to whole seconds. The holder counts it on
        its own clock from before the call, and so never believes in it longer
        than the store does.
        """

    def renew_lease(self, lease: int) -> Result[None, StoreError]:
        """Extend a lease by its duration; StoreLeaseEnded if it has ended."""

    def revoke_lease(self, lease: int) -> Result[None, StoreError]:
        """End a lease now."""

    def watch(self, prefix: str) -> Iterator[Result[WatchNotice, StoreError]]:
        """Yield changes under `prefix`; ends after the first failure.

        The first notice says that the watch is open: a state read after it misses
        no later change. Its key is `prefix` and its revision 0.
        """


class VmList(Protocol):
    """The platform's lagging list of VMs."""

    def read_vms(self) -> Result[tuple[ListedVm, ...], StoreError]:
        """Return the VMs the platform lists."""
