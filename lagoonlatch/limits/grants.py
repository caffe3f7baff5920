"""What a VM asks of the owner of a shard, and the answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from returns.result import Result

from lagoonlatch.clock import Millis

MAX_LEASE_DURATION: Millis = 1_000.0
"""No grant lasts longer; fixed for all versions that run together."""

DRIFT_MARGIN: Millis = 10.0
DRIFT_PART = 0.01
"""The part by which two VMs' clocks may differ in speed."""


def lender_lease_duration(duration: Millis) -> Millis:
    """Return how long a lender counts a lease that its holder ends at `duration`.

    The holder counts from sending the request and so ends before the lender, which
    counts from answering it, as long as the clocks' speeds differ by less than
    `DRIFT_PART`.
    """
    return duration * (1.0 + DRIFT_PART) + DRIFT_MARGIN


@dataclass(frozen=True)
class Settlement:
    """What the holder of a lease has done with it.

    Parameters
    ----------
    request_id : int
        The request that the lease answered.
    spent : float
        Tokens spent of it so far; never falls.
    closed : bool
        The holder spends no more of it; the rest goes back.
    age : Millis
        How long before sending the last of `spent` was spent, at least.
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
        Tokens for requests that wait now; 0 only to settle or to prefetch.
    vm, incarnation : str, int
        The run of the VM that asks.
    request_id : int
        Unique in that run; a repetition gets the first answer again.
    ahead : float
        Further tokens for expected demand, granted only out of plenty.
    between_regions : bool
        Whether the owner of another region's shard asks (or a VM whose region has
        none); the shard then gives any part and doesn't borrow to give more.
    settlements : tuple of Settlement
        News of earlier leases of this shard.
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
    """The tokens granted, void `duration` after the request was sent.

    Parameters
    ----------
    granted : float
        Tokens, at most wanted plus ahead.
    refusal : str
        Why less than wanted was granted, ``""`` if it was not less.
    retry_after : Millis
        When the missing tokens will be there, counted from the answer.
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
        """Return the reply, or why there is none, within `deadline` milliseconds."""
