"""Upstream instances: HTTP client, slots, queues and health.

`UpstreamOwner` runs requests on the instances that this VM owns.
"""

from typing import TYPE_CHECKING

from lagoonlatch.lazy import lazy_names

if TYPE_CHECKING:
    from lagoonlatch.upstreams.connections import ConnectionSettings
    from lagoonlatch.upstreams.fair_queue import QUEUES
    from lagoonlatch.upstreams.instance import InstanceKey
    from lagoonlatch.upstreams.outcomes import (
        Answered,
        Headers,
        NotRun,
        NotRunReason,
        Unknown,
        UnknownReason,
        UpstreamOutcome,
        UpstreamRequest,
        fingerprint_of,
    )
    from lagoonlatch.upstreams.owned import OwnerSettings
    from lagoonlatch.upstreams.owner import UpstreamOwner
    from lagoonlatch.upstreams.quarantine import Quarantine, SuspectReport

__getattr__ = lazy_names(
    __name__,
    {
        "connections": ("ConnectionSettings",),
        "instance": ("InstanceKey",),
        "outcomes": (
            "Answered",
            "Headers",
            "NotRun",
            "NotRunReason",
            "Unknown",
            "UnknownReason",
            "UpstreamOutcome",
            "UpstreamRequest",
            "fingerprint_of",
        ),
        "owned": ("OwnerSettings",),
        "owner": ("UpstreamOwner",),
        "quarantine": (
            "Quarantine",
            "SuspectReport",
        ),
        "fair_queue": ("QUEUES",),
    },
)

__all__ = [
    "QUEUES",
    "Answered",
    "ConnectionSettings",
    "Headers",
    "InstanceKey",
    "NotRun",
    "NotRunReason",
    "OwnerSettings",
    "Quarantine",
    "SuspectReport",
    "Unknown",
    "UnknownReason",
    "UpstreamOutcome",
    "UpstreamOwner",
    "UpstreamRequest",
    "fingerprint_of",
]
