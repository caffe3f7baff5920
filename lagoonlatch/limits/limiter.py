"""The interface, registry and outcomes of limiters."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Protocol, TypeAlias

from returns.result import Result

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.limits.grants import GrantReply, GrantRequest, Transport
from lagoonlatch.limits.spec import BucketSpec
from lagoonlatch.ownership.table import Owner
from lagoonlatch.registry import Registry

DEFAULT_DEADLINE: Millis = 10_000.0


class RefusalReason(Enum):
    """Why a request is not admitted."""

    RATE = "rate"
    NO_OWNER = "no-owner"
    UNKNOWN_BUCKET = "unknown-bucket"


@dataclass(frozen=True)
class Admitted:
    """The request may run and its tokens are spent."""


@dataclass(frozen=True)
class RateRefusal:
    """The request may not run now.

    Parameters
    ----------
    retry_after : Millis
        Time until the missing tokens will be available, if nobody else spends them.
    """

    retry_after: Millis
    reason: RefusalReason = RefusalReason.RATE


Admission: TypeAlias = Result[Admitted, RateRefusal]


Distance: TypeAlias = Callable[[str], float]
"""A function that returns how far a scope is from this VM, in any unit."""


def equal_distance(_scope: str) -> float:
    """Return 0, as for scopes that are all equally far."""
    return 0.0


class Ownership(Protocol):
    """The owners of one region's slots, as far as a limiter needs them."""

    def slot_of(self, key: str) -> int:
        """Return the slot of a bucket."""

    def owner_of(self, slot: int) -> Owner | None:
        """Return the known owner of `slot`, or None."""

    def owners(self) -> frozenset[Owner]:
        """Return all known owners of slots."""

    def owned_since(self, slot: int) -> Millis | None:
        """Return when this VM began to own `slot`; None if it may not act for it."""


class Limiter(Protocol):
    """Admits requests within the limits of a bucket that all VMs share."""

    def configure(self, specs: Iterable[BucketSpec]) -> None:
        """Apply a new configuration."""

    def admit(
        self, bucket_id: str, cost: float = 1.0, deadline: Millis = DEFAULT_DEADLINE
    ) -> Admission:
        """Spend `cost` tokens of a bucket or return a refusal, within `deadline`."""

    def serve_grant(self, request: GrantRequest) -> GrantReply:
        """Answer the grant request of another VM."""

    def run(self) -> None:
        """Do the background work until the greenlet is killed."""


class LimiterFactory(Protocol):
    """Builds a limiter; all registered limiters take the same arguments."""

    def __call__(
        self,
        this_vm: Owner,
        region: str,
        ownership_by_scope: Mapping[str, Ownership],
        transport: Transport,
        find_spec: Callable[[str], BucketSpec | None],
        clock: Clock,
        distance: Distance = ...,
    ) -> Limiter:
        """Return the limiter of one VM."""


LIMITERS: Registry[LimiterFactory] = Registry("limiter")
