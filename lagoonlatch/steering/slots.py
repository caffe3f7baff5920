"""Allocation of an upstream's slots among all VMs.

An upstream has few slots, and any VM may send it the next request. The home VM of an
upstream counts the requests that each VM has there, grants a slot only while one is
free, and offers a slot that becomes free to the most urgent waiting request. Counts are
absolute and reported periodically, so after a lost message or a change of the home VM
they are wrong only for a short time, and no slot stays blocked.

If the upstream has named a rate limit, each grant and each offer also takes a token of
that limit (see `rate_limits`).
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TypeAlias

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.steering.rate_limits import NamedLimit, UpstreamRateLimiter

Priority: TypeAlias = tuple[int, int]
"""Priority of the organisation, then of the route; the lowest is served first."""

UPSTREAM_QUEUE_DEPTH = 2
"""Requests that are sent to an upstream beyond its slots. Upstreams queue a few
requests and start the next one at once, whereas a slot that is offered to a VM stays
idle until the offer and the request have arrived."""

COUNT_REPORT_INTERVAL: Millis = 2_000.0
"""How often a VM reports its counts; few requests last longer."""

COUNT_LIFETIME: Millis = 2.5 * COUNT_REPORT_INTERVAL
"""How long a count is valid without a new report; one report may be lost."""

REFUSED_CLAIM_LIFETIME: Millis = 1_200.0
"""How long a refused claim is remembered; a request that still waits claims again
sooner."""


@dataclass(frozen=True, kw_only=True)
class Claim:
    """A VM's claim of a slot for one more request at an upstream.

    Parameters
    ----------
    held : int
        Requests that the VM has at the upstream, including the one of this claim.
    ticket : int
        Identifies the request within its VM; it is the same in each of its claims.
    waited : Millis
        How long the request has waited for a slot.
    """

    vm: str
    upstream: str
    held: int
    ticket: int
    priority: Priority
    waited: Millis = 0.0


@dataclass(frozen=True)
class ClaimAnswer:
    """The answer to a claim.

    Parameters
    ----------
    granted : bool
        Whether the VM has the slot now.
    others : int
        Requests of other VMs at the upstream; if the claim is refused, including slots
        offered to other VMs.
    ahead : int
        Waiting requests of all VMs that are served before the one of the claim.
    limit : NamedLimit or None
        The rate limit of the upstream.
    limit_wait : Millis
        If the claim is refused because of the limit, how long until the limit allows
        the next request.
    """

    granted: bool
    others: int
    ahead: int
    limit: NamedLimit | None = None
    limit_wait: Millis = 0.0


OFFER_LIFETIME: Millis = 150.0
"""How long an offered slot is reserved; the claim that follows arrives after one round
trip, also from the farthest region."""

GRANT_MEMORY: Millis = 500.0
"""How long a granted claim is remembered, so that a claim that is sent again takes no
second token of a limit."""


@dataclass(frozen=True)
class _RefusedClaim:
    vm: str
    order: tuple[Priority, Millis, int]
    expires_at: Millis


@dataclass(frozen=True)
class _Offer:
    vm: str
    ticket: int
    expires_at: Millis


@dataclass
class _Count:
    in_flight: int
    expires_at: Millis


class _UpstreamAllocation:
    """The counts, refused claims and offers of one upstream.

    A request is identified by its VM and ticket.
    """

    def __init__(self) -> None:
        self.count_by_vm: dict[str, _Count] = {}
        self.refused_claim_by_request: dict[tuple[str, int], _RefusedClaim] = {}
        self.offers: list[_Offer] = []
        self.grant_expiry_by_request: dict[tuple[str, int], Millis] = {}

    def drop_expired(self, now: Millis) -> int:
        """Drop what has expired, and return the number of expired offers."""
        for vm in [v for v, c in self.count_by_vm.items() if c.expires_at <= now]:
            del self.count_by_vm[vm]
        refused = self.refused_claim_by_request
        for request_key in [
            key for key, claim in refused.items() if claim.expires_at <= now
        ]:
            del refused[request_key]
        grants = self.grant_expiry_by_request
        for request_key in [key for key, expiry in grants.items() if expiry <= now]:
            del grants[request_key]
        return self._keep_offers(lambda offer: offer.expires_at > now)

    def withdraw_offer(self, vm: str, ticket: int) -> int:
        """Remove the offers to a request, and return their number."""
        return self._keep_offers(lambda offer: (offer.vm, offer.ticket) != (vm, ticket))

    def _keep_offers(self, is_kept: Callable[[_Offer], bool]) -> int:
        count = len(self.offers)
        self.offers = [offer for offer in self.offers if is_kept(offer)]
        return count - len(self.offers)

    def remove_offer(self, vm: str, ticket: int) -> None:
        """Remove the offer to a request, or else one to another request of its VM."""
        offers = [offer for offer in self.offers if offer.vm == vm]
        offers.sort(key=lambda offer: offer.ticket != ticket)
        if offers:
            self.offers.remove(offers[0])

    def has_offer(self, vm: str) -> bool:
        return any(offer.vm == vm for offer in self.offers)

    def count_offers(self, other_than: str) -> int:
        return sum(offer.vm != other_than for offer in self.offers)

    def in_flight_of_others(self, vm: str) -> int:
        return sum(c.in_flight for name, c in self.count_by_vm.items() if name != vm)

    def is_empty(self) -> bool:
        return not (
            self.count_by_vm
            or self.refused_claim_by_request
            or self.offers
            or self.grant_expiry_by_request
        )


class SlotAllocator:
    """Allocates the slots of the upstreams whose home VM is this VM.

    Parameters
    ----------
    slots_of : callable
        Returns the number of slots of an upstream; None if the upstream is unknown.
    rate_limiter : UpstreamRateLimiter
        Keeps the rate limits of the upstreams.
    """

    def __init__(
        self,
        slots_of: Callable[[str], int | None],
        rate_limiter: UpstreamRateLimiter,
        clock: Clock,
    ) -> None:
        self._slots_of = slots_of
        self._rate_limiter = rate_limiter
        self._clock = clock
        self._allocation_by_upstream: dict[str, _UpstreamAllocation] = {}

    def claim(self, claim: Claim) -> ClaimAnswer:
        """Grant a slot, or remember the refused claim."""
        now = self._clock.now()
        allocation = self._current_allocation(claim.upstream, now)
        others = allocation.in_flight_of_others(claim.vm)
        slots = self._slots_of(claim.upstream)
        order = (claim.priority, now - claim.waited, claim.ticket)
        request_key = (claim.vm, claim.ticket)
        ahead = sum(
            refused_claim.order < order
            for other_key, refused_claim in allocation.refused_claim_by_request.items()
            if other_key != request_key
        )
        occupied = others + allocation.count_offers(claim.vm) + claim.held
        limit = self._rate_limiter.limit_of(claim.upstream)
        has_slot = slots is None or occupied <= slots + UPSTREAM_QUEUE_DEPTH
        if has_slot and self._take_token(allocation, claim, now):
            allocation.remove_offer(claim.vm, claim.ticket)
            allocation.refused_claim_by_request.pop(request_key, None)
            allocation.count_by_vm[claim.vm] = _Count(claim.held, now + COUNT_LIFETIME)
            return ClaimAnswer(True, others, ahead, limit)
        limit_wait = self._rate_limiter.wait(claim.upstream)
        allocation.refused_claim_by_request[request_key] = _RefusedClaim(
            claim.vm, order, now + REFUSED_CLAIM_LIFETIME
        )
        return ClaimAnswer(False, occupied - claim.held, ahead, limit, limit_wait)

    def set_count(self, vm: str, upstream_id: str, in_flight: int) -> None:
        """Set the number of requests that a VM has at an upstream."""
        now = self._clock.now()
        allocation = self._current_allocation(upstream_id, now)
        if in_flight > 0:
            allocation.count_by_vm[vm] = _Count(in_flight, now + COUNT_LIFETIME)
        else:
            allocation.count_by_vm.pop(vm, None)

    def decline(self, vm: str, upstream_id: str, ticket: int) -> None:
        """Remove the claim of a request that no longer waits, and its offered slot."""
        allocation = self._current_allocation(upstream_id, self._clock.now())
        allocation.refused_claim_by_request.pop((vm, ticket), None)
        for _ in range(allocation.withdraw_offer(vm, ticket)):
            self._rate_limiter.refund(upstream_id)

    def offer_free_slots(self, upstream_id: str) -> list[tuple[str, int]]:
        """Offer the free slots; return VM and ticket of the requests that get an offer.

        There is one offer for each free slot, to the most urgent requests first. A
        request gets no second offer unless it claims again.
        """
        now = self._clock.now()
        allocation = self._current_allocation(upstream_id, now)
        slots = self._slots_of(upstream_id)
        if slots is None or not allocation.refused_claim_by_request:
            return []
        free = (
            slots
            + UPSTREAM_QUEUE_DEPTH
            - allocation.in_flight_of_others("")
            - len(allocation.offers)
        )
        chosen = []
        for request_key, refused_claim in sorted(
            allocation.refused_claim_by_request.items(), key=lambda item: item[1].order
        )[: max(free, 0)]:
            if not self._rate_limiter.consume(upstream_id):
                break
            del allocation.refused_claim_by_request[request_key]
            allocation.offers.append(
                _Offer(refused_claim.vm, request_key[1], now + OFFER_LIFETIME)
            )
            chosen.append(request_key)
        return chosen

    def time_to_next_offer(self, upstream_id: str) -> Millis | None:
        """Return when the rate limit allows the next offer.

        None if the upstream has no limit or no claim waits.
        """
        if self._rate_limiter.limit_of(upstream_id) is None:
            return None
        allocation = self._current_allocation(upstream_id, self._clock.now())
        if not allocation.refused_claim_by_request:
            return None
        return self._rate_limiter.wait(upstream_id)

    def in_flight_of_others(self, upstream_id: str, vm: str) -> int:
        """Return how many requests VMs other than `vm` have at an upstream."""
        return self._current_allocation(
            upstream_id, self._clock.now()
        ).in_flight_of_others(vm)

    def prune(self) -> None:
        """Drop upstreams without valid counts, refused claims or offers."""
        self._rate_limiter.prune()
        now = self._clock.now()
        for upstream_id in list(self._allocation_by_upstream):
            if self._current_allocation(upstream_id, now).is_empty():
                del self._allocation_by_upstream[upstream_id]

    def _current_allocation(self, upstream_id: str, now: Millis) -> _UpstreamAllocation:
        allocation = self._allocation_by_upstream.get(upstream_id)
        if allocation is None:
            allocation = self._allocation_by_upstream[upstream_id] = (
                _UpstreamAllocation()
            )
        for _ in range(allocation.drop_expired(now)):
            self._rate_limiter.refund(upstream_id)
        return allocation

    def _take_token(
        self, allocation: _UpstreamAllocation, claim: Claim, now: Millis
    ) -> bool:
        """Take a token of the limit, unless the claim has one by an offer or grant."""
        if self._rate_limiter.limit_of(claim.upstream) is None:
            return True
        grants = allocation.grant_expiry_by_request
        request_key = (claim.vm, claim.ticket)
        has_token = request_key in grants or allocation.has_offer(claim.vm)
        if not has_token and not self._rate_limiter.consume(claim.upstream):
            return False
        grants[request_key] = now + GRANT_MEMORY
        return True


def counts_to_send(
    in_flight_by_upstream: Mapping[str, int], sent_by_upstream: Mapping[str, int]
) -> dict[str, int]:
    """Return the counts to report.

    These are the current ones, and 0 for upstreams that were reported before and have
    no requests now.
    """
    ended = {name: 0 for name in sent_by_upstream if name not in in_flight_by_upstream}
    return {**in_flight_by_upstream, **ended}
