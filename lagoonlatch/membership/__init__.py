"""Which VMs there are and which answer."""

from typing import TYPE_CHECKING

from lagoonlatch.lazy import lazy_names

if TYPE_CHECKING:
    from lagoonlatch.membership.heartbeat import (
        Heartbeat,
        HeartbeatTransport,
        LoadSummary,
        Member,
    )
    from lagoonlatch.membership.membership import Membership
    from lagoonlatch.membership.record import VmRecord, VmStatus
    from lagoonlatch.membership.settings import LocalState, MembershipSettings

__getattr__ = lazy_names(
    __name__,
    {
        "heartbeat": (
            "Heartbeat",
            "HeartbeatTransport",
            "LoadSummary",
            "Member",
        ),
        "membership": ("Membership",),
        "record": (
            "VmRecord",
            "VmStatus",
        ),
        "settings": (
            "LocalState",
            "MembershipSettings",
        ),
    },
)

__all__ = [
    "Heartbeat",
    "HeartbeatTransport",
    "LoadSummary",
    "LocalState",
    "Member",
    "Membership",
    "MembershipSettings",
    "VmRecord",
    "VmStatus",
]
