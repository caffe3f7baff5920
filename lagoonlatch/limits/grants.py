"""Requests for tokens to the owner of a shard, and the replies."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from lagoonlatch.clock import Millis

MAX_LEASE_DURATION: Millis = 1_000.0
"""No lease lasts longer. All versions that run together must use the same value."""

CLOCK_DRIFT_MARGIN: Millis = 10.0
MAX_CLOCK_DRIFT_RATIO = 0.01
"""The ratio by which the clocks of two VMs may differ in speed."""


def lender_lease_duration(duration: Millis) -> Millis:
    """Return how long a lender counts a lease of `duration` as outstanding.

    The holder counts the duration from sending the request, the lender from replying.
    The lease therefore ends first at the holder, as long as the clocks' speeds differ
    by less than `MAX_CLOCK_DRIFT_RATIO`.
    """
    return duration * (1.0 + MAX_CLOCK_DRIFT_RATIO) + CLOCK_DRIFT_MARGIN


@dataclass(frozen=True)
class Settlement:
    """The state of a lease as its holder reports it to the lender.

    Parameters
    ----------
    request_id : int
        The request that was answered with the lease.
    spent : float
        Tokens of the lease spent so far; never decreases.
    closed : bool
        Whether the holder returns the rest and spends no more tokens of the lease.
    age : Millis
        The last token was spent at least this long before the settlement was sent.
    """

    request_id: int
    spent: float
    closed: bool = False
    age: Millis = 0.0


@dataclass(frozen=True)
class GrantRequest:
    """A request for tokens of a bucket's shard.

    Parameters
    ----------
    bucket : str
        The bucket's id.
    scope : str
        The region whose shard is asked.
    wanted : float
        Tokens for waiting requests; 0 if the request only settles or prefetches.
    vm, incarnation : str, int
        The VM that asks, and its incarnation.
    request_id : int
        Unique within the incarnation; a repeated request gets the first reply again.
    ahead : float
        Further tokens for expected demand, granted only from a surplus.
    between_regions : bool
        Whether the owner of another region's shard asks, or a VM whose region has no
        shard. The lender then grants any part of the tokens and doesn't borrow more.
    settlements : tuple of Settlement
        Reports on earlier leases of this shard.
    """

    bucket: str
    scope: str
    wanted: float
    vm: str
    incarnation: int
    request_id: int
    ahead: float = 0.0
    between_regions: bool = False
    settlements: tuple[Settlement, ...] = ()


@dataclass(frozen=True)
class GrantReply:
    """The tokens granted; they expire `duration` after the request was sent.

    Parameters
    ----------
    granted : float
        Tokens, at most wanted plus ahead.
    refusal : str
        Why fewer tokens than wanted were granted; ``""`` if all were granted.
    retry_after : Millis
        Time from the reply until the missing tokens will be available.
    """

    request_id: int
    granted: float
    duration: Millis
    refusal: str = ""
    retry_after: Millis = 0.0


class Transport(Protocol):
    """Carries grant calls to other VMs."""

    def grant(
        self, vm_id: str, request: GrantRequest, deadline: Millis
    ) -> Result[GrantReply, str]:
        """Return the reply within `deadline`, or the reason why there is none."""
