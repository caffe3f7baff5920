"""The platform: its key-value store and its list of VMs."""

from typing import TYPE_CHECKING

from lagoonlatch.lazy import lazy_names

if TYPE_CHECKING:
    from lagoonlatch.platform.client import HttpStore
    from lagoonlatch.platform.store import (
        ABSENT_REVISION,
        Entry,
        ListedVm,
        Store,
        StoreConflict,
        StoreError,
        StoreLeaseEnded,
        StoreOutcomeUnknown,
        StoreUnavailable,
        VmList,
        VmState,
        WatchNotice,
    )
    from lagoonlatch.platform.vm_list import HttpVmList

__getattr__ = lazy_names(
    __name__,
    {
        "client": ("HttpStore",),
        "store": (
            "ABSENT_REVISION",
            "Entry",
            "ListedVm",
            "Store",
            "StoreConflict",
            "StoreError",
            "StoreLeaseEnded",
            "StoreOutcomeUnknown",
            "StoreUnavailable",
            "VmList",
            "VmState",
            "WatchNotice",
        ),
        "vm_list": ("HttpVmList",),
    },
)

__all__ = [
    "ABSENT_REVISION",
    "Entry",
    "HttpStore",
    "HttpVmList",
    "ListedVm",
    "Store",
    "StoreConflict",
    "StoreError",
    "StoreLeaseEnded",
    "StoreOutcomeUnknown",
    "StoreUnavailable",
    "VmList",
    "VmState",
    "WatchNotice",
]
