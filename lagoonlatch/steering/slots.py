"""The slots of upstreams, counted by one VM for all.

The load answered here: an upstream has few slots, and any VM of the fleet may send it
the next request. The home VM of an upstream counts the requests that each VM has
there, grants a slot only while there is one, and tells the most urgent waiting request
when one becomes free. Each count is absolute and repeated, so that a lost message or a
new home costs a wrong guess for a moment, never a slot for long.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TypeAlias

from lagoonlatch.clock import Clock, Millis

Priority: TypeAlias = tuple[int, int]
"""Priority of the organisation, then of the route; the lowest goes first."""

UPSTREAM_QUEUE_DEPTH = 2
"""Requests beyond its slots that an upstream is sent: it begins the next one at once,
where a slot that is offered to a VM stands idle for some messages' time. Upstreams
queue a few."""

COUNT_REPORT_INTERVAL: Millis = 2_000.0
"""A VM repeats its counts so often; few requests last longer."""

COUNT_LIFETIME: Millis = 2.5 * COUNT_REPORT_INTERVAL
"""A count that isn't repeated is dropped; one repeat may be lost."""

REFUSED_CLAIM_LIFETIME: Millis = 1_200.0
"""A request that was refused a slot is remembered for so long; it asks again sooner."""


@dataclass(frozen=True, kw_only=True)
class Claim:
    """A VM's wish to have one more request at an upstream.

    Parameters
    ----------
    held : int
        Requests that the VM has there, the wanted one included.
    ticket : int
        Names the request that wants it; the same in each of its claims.
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
        Requests of all VMs that wait for the upstream and go first.
    """

    granted: bool
    others: int
    ahead: int


OFFER_LIFETIME: Millis = 150.0
"""A slot that was offered is kept for so long; a claim from the farthest region takes
a round trip."""


@dataclass(frozen=True)
class _Interest:
    vm: str
    order: tuple[Priority, Millis, int]
    until: Millis


@dataclass(frozen=True)
class _Offer:
    vm: str
    ticket: int
    until: Millis


@dataclass
class _Count:
    held: int
    until: Millis


class _Ledger:
    """Who has and who wants slots of one upstream."""

    def __init__(self) -> None:
        self.count_by_vm: dict[str, _Count] = {}
        self.interest_by_ticket: dict[tuple[str, int], _Interest] = {}
        self.offers: list[_Offer] = []

    def drop_ended(self, now: Millis) -> None:
        for vm in [v for v, c in self.count_by_vm.items() if c.until <= now]:
            del self.count_by_vm[vm]
        interests = self.interest_by_ticket
        for ticket in [t for t, i in interests.items() if i.until <= now]:
            del interests[ticket]
        self.offers = [offer for offer in self.offers if offer.until > now]

    def take_offer(self, vm: str, ticket: int) -> None:
        """Drop the offer to a request, else one to another request of its VM."""
        offers = [offer for offer in self.offers if offer.vm == vm]
        offers.sort(key=lambda offer: offer.ticket != ticket)
        if offers:
            self.offers.remove(offers[0])

    def count_offers(self, other_than: str) -> int:
        return sum(offer.vm != other_than for offer in self.offers)

    def held_by_others(self, vm: str) -> int:
        return sum(c.held for name, c in self.count_by_vm.items() if name != vm)

    def is_empty(self) -> bool:
        return not (self.count_by_vm or self.interest_by_ticket or self.offers)


class SlotAllocator:
    """Counts the slots of the upstreams whose home this VM is.

    Parameters
    ----------
    slots_of : callable
        Returns the slots of an upstream; None if it isn't known.
    """

    def __init__(self, slots_of: Callable[[str], int | None], clock: Clock) -> None:
        self._slots_of = slots_of
        self._clock = clock
        self._ledgers_by_upstream: dict[str, _Ledger] = {}

    def claim(self, claim: Claim) -> ClaimAnswer:
        """Grant a slot, or remember who wants one."""
        now = self._clock.now()
        ledger = self._ledger(claim.upstream, now)
        others = ledger.held_by_others(claim.vm)
        slots = self._slots_of(claim.upstream)
        order = (claim.priority, now - claim.waited, claim.ticket)
        wanted = (claim.vm, claim.ticket)
        ahead = sum(
            interest.order < order
            for ticket, interest in ledger.interest_by_ticket.items()
            if ticket != wanted
        )
        taken = others + ledger.count_offers(claim.vm) + claim.held
        if slots is None or taken <= slots + UPSTREAM_QUEUE_DEPTH:
            ledger.take_offer(claim.vm, claim.ticket)
            ledger.interest_by_ticket.pop(wanted, None)
            ledger.count_by_vm[claim.vm] = _Count(claim.held, now + COUNT_LIFETIME)
            return ClaimAnswer(True, others, ahead)
        ledger.interest_by_ticket[wanted] = _Interest(
            claim.vm, order, now + REFUSED_CLAIM_LIFETIME
        )
        return ClaimAnswer(False, taken - claim.held, ahead)

    def set_count(self, vm: str, upstream: str, held: int) -> None:
        """Note the requests that a VM has at an upstream."""
        now = self._clock.now()
        ledger = self._ledger(upstream, now)
        if held > 0:
            ledger.count_by_vm[vm] = _Count(held, now + COUNT_LIFETIME)
        else:
            ledger.count_by_vm.pop(vm, None)

    def decline(self, vm: str, upstream: str, ticket: int) -> None:
        """Forget a request that waits no more, and a slot that it was offered."""
        ledger = self._ledger(upstream, self._clock.now())
        ledger.interest_by_ticket.pop((vm, ticket), None)
        ledger.offers = [
            offer for offer in ledger.offers if (offer.vm, offer.ticket) != (vm, ticket)
        ]

    def offer_free_slots(self, upstream: str) -> list[tuple[str, int]]:
        """Return VM and ticket of the requests to tell of free slots.

        There is one for each slot, the most urgent first; they are not told again
        unless they ask again.
        """
        now = self._clock.now()
        ledger = self._ledger(upstream, now)
        slots = self._slots_of(upstream)
        if slots is None or not ledger.interest_by_ticket:
            return []
        free = (
            slots
            + UPSTREAM_QUEUE_DEPTH
            - ledger.held_by_others("")
            - len(ledger.offers)
        )
        first = sorted(
            ledger.interest_by_ticket.items(), key=lambda item: item[1].order
        )[: max(free, 0)]
        for ticket, interest in first:
            del ledger.interest_by_ticket[ticket]
            ledger.offers.append(_Offer(interest.vm, ticket[1], now + OFFER_LIFETIME))
        return [ticket for ticket, _ in first]

    def in_flight_of_others(self, upstream: str, vm: str) -> int:
        """Return the requests that VMs other than `vm` have at an upstream."""
        return self._ledger(upstream, self._clock.now()).held_by_others(vm)

    def prune(self) -> None:
        """Drop what has ended or wasn't repeated."""
        now = self._clock.now()
        for upstream in list(self._ledgers_by_upstream):
            if self._ledger(upstream, now).is_empty():
                del self._ledgers_by_upstream[upstream]

    def _ledger(self, upstream: str, now: Millis) -> _Ledger:
        ledger = self._ledgers_by_upstream.get(upstream)
        if ledger is None:
            ledger = self._ledgers_by_upstream[upstream] = _Ledger()
        ledger.drop_ended(now)
        return ledger


def counts_to_send(
    held_by_upstream: Mapping[str, int], told_by_upstream: Mapping[str, int]
) -> dict[str, int]:
    """Return the counts to repeat: those held, and those told that are none now."""
    gone = {name: 0 for name in told_by_upstream if name not in held_by_upstream}
    return {**held_by_upstream, **gone}
