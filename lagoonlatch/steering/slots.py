"""Allocation of an upstream's slots among all VMs.

An upstream has few slots, and any VM may send it the next request. The home VM of an
upstream counts the requests that each VM has there, grants a slot only while one is
free, and offers a slot that becomes free to the most urgent waiting request. Counts are
absolute and reported periodically, so after a lost message or a change of the home VM
they are wrong only for a short time, and no slot stays blocked.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TypeAlias

from lagoonlatch.clock import Clock, Millis

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
        Requests that the VM has there, including the one of this claim.
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
        Requests that other VMs have there.
    ahead : int
        Waiting requests of all VMs that are served before this one.
    """

    granted: bool
    others: int
    ahead: int


OFFER_LIFETIME: Millis = 150.0
"""How long an offered slot is reserved; the claim that follows arrives after one round
trip, also from the farthest region."""


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
    held: int
    expires_at: Millis


class _Ledger:
    """The counts, refused claims and offers of one upstream."""

    def __init__(self) -> None:
        self.count_by_vm: dict[str, _Count] = {}
        self.refused_by_ticket: dict[tuple[str, int], _RefusedClaim] = {}
        self.offers: list[_Offer] = []

    def drop_expired(self, now: Millis) -> None:
        for vm in [v for v, c in self.count_by_vm.items() if c.expires_at <= now]:
            del self.count_by_vm[vm]
        refused = self.refused_by_ticket
        for ticket in [
            t for t, refusal in refused.items() if refusal.expires_at <= now
        ]:
            del refused[ticket]
        self.offers = [offer for offer in self.offers if offer.expires_at > now]

    def remove_offer(self, vm: str, ticket: int) -> None:
        """Remove the offer to a request, or else one to another request of its VM."""
        offers = [offer for offer in self.offers if offer.vm == vm]
        offers.sort(key=lambda offer: offer.ticket != ticket)
        if offers:
            self.offers.remove(offers[0])

    def count_offers(self, other_than: str) -> int:
        return sum(offer.vm != other_than for offer in self.offers)

    def held_by_others(self, vm: str) -> int:
        return sum(c.held for name, c in self.count_by_vm.items() if name != vm)

    def is_empty(self) -> bool:
        return not (self.count_by_vm or self.refused_by_ticket or self.offers)


class SlotAllocator:
    """Allocates the slots of the upstreams whose home VM is this VM.

    Parameters
    ----------
    slots_of : callable
        Returns the number of slots of an upstream; None if the upstream is unknown.
    """

    def __init__(self, slots_of: Callable[[str], int | None], clock: Clock) -> None:
        self._slots_of = slots_of
        self._clock = clock
        self._ledgers_by_upstream: dict[str, _Ledger] = {}

    def claim(self, claim: Claim) -> ClaimAnswer:
        """Grant a slot, or remember the refused claim."""
        now = self._clock.now()
        ledger = self._ledger(claim.upstream, now)
        others = ledger.held_by_others(claim.vm)
        slots = self._slots_of(claim.upstream)
        order = (claim.priority, now - claim.waited, claim.ticket)
        claimant = (claim.vm, claim.ticket)
        ahead = sum(
            refused_claim.order < order
            for ticket, refused_claim in ledger.refused_by_ticket.items()
            if ticket != claimant
        )
        occupied = others + ledger.count_offers(claim.vm) + claim.held
        if slots is None or occupied <= slots + UPSTREAM_QUEUE_DEPTH:
            ledger.remove_offer(claim.vm, claim.ticket)
            ledger.refused_by_ticket.pop(claimant, None)
            ledger.count_by_vm[claim.vm] = _Count(claim.held, now + COUNT_LIFETIME)
            return ClaimAnswer(True, others, ahead)
        ledger.refused_by_ticket[claimant] = _RefusedClaim(
            claim.vm, order, now + REFUSED_CLAIM_LIFETIME
        )
        return ClaimAnswer(False, occupied - claim.held, ahead)

    def set_count(self, vm: str, upstream: str, held: int) -> None:
        """Set the number of requests that a VM has at an upstream."""
        now = self._clock.now()
        ledger = self._ledger(upstream, now)
        if held > 0:
            ledger.count_by_vm[vm] = _Count(held, now + COUNT_LIFETIME)
        else:
            ledger.count_by_vm.pop(vm, None)

    def decline(self, vm: str, upstream: str, ticket: int) -> None:
        """Remove the claim of a request that no longer waits, and its offered slot."""
        ledger = self._ledger(upstream, self._clock.now())
        ledger.refused_by_ticket.pop((vm, ticket), None)
        ledger.offers = [
            offer for offer in ledger.offers if (offer.vm, offer.ticket) != (vm, ticket)
        ]

    def offer_free_slots(self, upstream: str) -> list[tuple[str, int]]:
        """Offer the free slots; return VM and ticket of the requests that get an offer.

        There is one offer for each free slot, to the most urgent requests first. A
        request gets no second offer unless it claims again.
        """
        now = self._clock.now()
        ledger = self._ledger(upstream, now)
        slots = self._slots_of(upstream)
        if slots is None or not ledger.refused_by_ticket:
            return []
        free = (
            slots
            + UPSTREAM_QUEUE_DEPTH
            - ledger.held_by_others("")
            - len(ledger.offers)
        )
        chosen = sorted(
            ledger.refused_by_ticket.items(), key=lambda item: item[1].order
        )[: max(free, 0)]
        for ticket, refused_claim in chosen:
            del ledger.refused_by_ticket[ticket]
            ledger.offers.append(
                _Offer(refused_claim.vm, ticket[1], now + OFFER_LIFETIME)
            )
        return [ticket for ticket, _ in chosen]

    def in_flight_of_others(self, upstream: str, vm: str) -> int:
        """Return how many requests VMs other than `vm` have at an upstream."""
        return self._ledger(upstream, self._clock.now()).held_by_others(vm)

    def prune(self) -> None:
        """Drop upstreams without valid counts, refused claims or offers."""
        now = self._clock.now()
        for upstream in list(self._ledgers_by_upstream):
            if self._ledger(upstream, now).is_empty():
                del self._ledgers_by_upstream[upstream]

    def _ledger(self, upstream: str, now: Millis) -> _Ledger:
        ledger = self._ledgers_by_upstream.get(upstream)
        if ledger is None:
            ledger = self._ledgers_by_upstream[upstream] = _Ledger()
        ledger.drop_expired(now)
        return ledger


def counts_to_send(
    held_by_upstream: Mapping[str, int], sent_by_upstream: Mapping[str, int]
) -> dict[str, int]:
    """Return the counts to report: those held, and 0 for reported ones that ended."""
    ended = {name: 0 for name in sent_by_upstream if name not in held_by_upstream}
    return {**held_by_upstream, **ended}
