"""Rate limits that all VMs enforce together."""

from lagoonlatch.limits.fleet import FleetLimiter
from lagoonlatch.limits.grants import GrantReply, GrantRequest, Settlement, Transport
from lagoonlatch.limits.limiter import (
    LIMITERS,
    Admission,
    Admitted,
    Limiter,
    Ownership,
    RateRefusal,
    RefusalReason,
)
from lagoonlatch.limits.naive import (
    CentralBucketLimiter,
    OptimisticGossipLimiter,
    StaticSplitLimiter,
)
from lagoonlatch.limits.spec import BucketSpec, Share

__all__ = [
    "LIMITERS",
    "Admission",
    "Admitted",
    "BucketSpec",
    "CentralBucketLimiter",
    "FleetLimiter",
    "GrantReply",
    "GrantRequest",
    "Limiter",
    "OptimisticGossipLimiter",
    "Ownership",
    "RateRefusal",
    "RefusalReason",
    "Settlement",
    "Share",
    "StaticSplitLimiter",
    "Transport",
]
