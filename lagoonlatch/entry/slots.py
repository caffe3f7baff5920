"""Claim slots of upstreams at their home VMs, and serve claims as a home VM."""

from __future__ import annotations

import itertools
import random
from collections import defaultdict
from collections.abc import Callable

from gevent.event import AsyncResult

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.entry.events import HomeSilent
from lagoonlatch.entry.generated import ttypes as wire
from lagoonlatch.entry.journal import emit
from lagoonlatch.steering.homes import SlotHomes
from lagoonlatch.steering.model import VmRecord
from lagoonlatch.steering.slots import (
    COUNT_REPORT_INTERVAL,
    Claim,
    ClaimAnswer,
    Priority,
    SlotAllocator,
    counts_to_send,
)
from lagoonlatch.steering.upstreams import UpstreamState, UpstreamTable

CLAIM_TIMEOUT: Millis = 100.0
"""Time after which an unanswered claim is sent again or, after `CLAIM_TRIES`, given up.
A round trip between the farthest regions takes 70 ms."""

CLAIM_TRIES = 2


class SlotClient:
    """Claims slots for this VM's requests, and allocates slots as a home VM.

    Parameters
    ----------
    me : str
        Id of this VM.
    send : callable
        Sends a datagram to a VM.
    on_slot_free : callable
        Is called when an upstream may have a free slot for a waiting request.
    """

    def __init__(
        self,
        me: str,
        upstream_table: UpstreamTable,
        allocator: SlotAllocator,
        homes: SlotHomes,
        send: Callable[[VmRecord, wire.Datagram], None],
        on_slot_free: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._me = me
        self._upstream_table = upstream_table
        self._allocator = allocator
        self._homes = homes
        self._send = send
        self._on_slot_free = on_slot_free
        self._clock = clock
        self._claim_numbers = itertools.count(random.getrandbits(48))
        self._pending_verdict_by_claim_number: dict[int, AsyncResult] = {}
        self._refused_upstreams_by_ticket: defaultdict[int, set[str]] = defaultdict(set)
        self._notified_home_by_upstream: dict[str, str] = {}
        self._last_report: Millis = clock.now()

    def claim(
        self,
        upstream: UpstreamState,
        priority: Priority,
        ticket: int,
        waited: Millis,
    ) -> bool:
        """Claim a slot for a request; return False if none is free.

        A claimed slot must be released. If the home VM doesn't answer, the claim counts
        as granted, so that the load known to this VM decides.

        Parameters
        ----------
        ticket : int
            Identifies the request among those of this VM.
        """
        upstream.in_flight += 1
        verdict: ClaimAnswer | None = None
        is_answered = False
        try:
            verdict = self._request_verdict(upstream, priority, ticket, waited)
            is_answered = True
        finally:
            if not is_answered:
                # The caller left during the claim.
                self.release(upstream)
        if verdict is None:
            return True
        upstream.set_load_of_others(verdict.others, verdict.ahead)
        refused_upstreams = self._refused_upstreams_by_ticket[ticket]
        if verdict.granted:
            refused_upstreams.discard(upstream.record.id)
        else:
            refused_upstreams.add(upstream.record.id)
            upstream.in_flight -= 1
        return verdict.granted

    def stop_waiting(self, ticket: int) -> None:
        """Report to the VMs that refused a slot that the request no longer waits."""
        for upstream_id in self._refused_upstreams_by_ticket.pop(ticket, ()):
            self._send_decline(upstream_id, ticket)

    def release(self, upstream: UpstreamState) -> None:
        """Free the slot of a request that has ended."""
        upstream.in_flight -= 1
        upstream_id = upstream.record.id
        home = self._homes.home_of(upstream_id, upstream.record.data_centre)
        if home is None:
            return
        held = self._count_held(upstream_id)
        if home.id == self._me:
            self._set_count(self._me, upstream_id, held)
            return
        self._notified_home_by_upstream[upstream_id] = home.id
        self._send_counts(home, {upstream_id: held})

    def report_held_slots(self) -> None:
        """Report the slots that this VM holds to their home VMs.

        All counts are reported every `COUNT_REPORT_INTERVAL`; a new home gets its
        counts in the next call.
        """
        self._homes.refresh()
        self._allocator.prune()
        now = self._clock.now()
        is_report_due = now - self._last_report >= COUNT_REPORT_INTERVAL
        if is_report_due:
            self._last_report = now
        counts = counts_to_send(
            self._upstream_table.in_flight_by_id(), self._notified_home_by_upstream
        )
        notified_home_by_upstream: dict[str, str] = {}
        counts_by_home: defaultdict[str, dict[str, int]] = defaultdict(dict)
        home_by_id: dict[str, VmRecord] = {}
        for upstream_id, held in counts.items():
            state = self._upstream_table.find(upstream_id)
            home = state and self._homes.home_of(upstream_id, state.record.data_centre)
            if not home:
                continue
            if (
                is_report_due
                or self._notified_home_by_upstream.get(upstream_id) != home.id
            ):
                counts_by_home[home.id][upstream_id] = held
                home_by_id[home.id] = home
            if held:
                notified_home_by_upstream[upstream_id] = home.id
        self._notified_home_by_upstream = notified_home_by_upstream
        for vm, held_by_upstream in counts_by_home.items():
            if vm == self._me:
                for upstream_id, held in held_by_upstream.items():
                    self._set_count(self._me, upstream_id, held)
            else:
                self._send_counts(home_by_id[vm], held_by_upstream)

    def answer_claim(self, claim: wire.Claim) -> wire.Verdict:
        """Answer a claim of another VM as the home of the upstream."""
        self._homes.mark_reachable(claim.vm)
        verdict = self._allocator.claim(
            Claim(
                vm=claim.vm,
                upstream=claim.upstream,
                held=claim.held,
                ticket=claim.ticket,
                priority=(claim.organisation_priority, claim.route_priority),
                waited=float(claim.waited),
            )
        )
        return wire.Verdict(
            claim.number, verdict.granted, verdict.others, verdict.ahead
        )

    def handle_verdict(self, answer: wire.Verdict) -> None:
        """Handle the answer to a claim."""
        pending_verdict = self._pending_verdict_by_claim_number.pop(answer.number, None)
        if pending_verdict is not None:
            pending_verdict.set(
                ClaimAnswer(answer.granted, answer.others, answer.ahead)
            )

    def handle_counts(self, counts: wire.Counts) -> None:
        """Handle the counts of slots that another VM holds."""
        for upstream, held in counts.held_by_upstream.items():
            self._set_count(counts.vm, upstream, held)

    def handle_offer(self, offer: wire.Room) -> None:
        """Handle the offer of a free slot of an upstream."""
        state = self._upstream_table.find(offer.upstream)
        if state is None or offer.ticket not in self._refused_upstreams_by_ticket:
            self._send_decline(offer.upstream, offer.ticket)
            return
        # The home reserves a slot for this VM, even if its counts show none free yet.
        max_others = state.record.slots - 1 - state.in_flight
        state.set_load_of_others(min(offer.others, max_others))
        self._on_slot_free()

    def handle_decline(self, decline: wire.Decline) -> None:
        """Handle the message that a request of another VM no longer waits."""
        self._allocator.decline(decline.vm, decline.upstream, decline.ticket)
        self._offer_slots(decline.upstream)

    def _request_verdict(
        self,
        upstream: UpstreamState,
        priority: Priority,
        ticket: int,
        waited: Millis,
    ) -> ClaimAnswer | None:
        upstream_id = upstream.record.id
        home = self._homes.home_of(upstream_id, upstream.record.data_centre)
        if home is None:
            return None
        if home.id == self._me:
            return self._allocator.claim(
                Claim(
                    vm=self._me,
                    upstream=upstream_id,
                    held=upstream.in_flight,
                    ticket=ticket,
                    priority=priority,
                    waited=waited,
                )
            )
        number = next(self._claim_numbers)
        pending_verdict = self._pending_verdict_by_claim_number[number] = AsyncResult()
        claim = wire.Claim(
            vm=self._me,
            number=number,
            ticket=ticket,
            upstream=upstream_id,
            held=upstream.in_flight,
            organisation_priority=priority[0],
            route_priority=priority[1],
            waited=round(waited),
        )
        try:
            for _ in range(CLAIM_TRIES):
                self._send(home, wire.Datagram(claim=claim))
                pending_verdict.wait(timeout=CLAIM_TIMEOUT / MILLIS_PER_SECOND)
                if pending_verdict.ready():
                    self._notified_home_by_upstream[upstream_id] = home.id
                    return pending_verdict.value
        finally:
            self._pending_verdict_by_claim_number.pop(number, None)
        self._homes.mark_unreachable(home.id)
        emit(HomeSilent(subject=home.id, upstream=upstream_id))
        return None

    def _set_count(self, vm: str, upstream: str, held: int) -> None:
        self._allocator.set_count(vm, upstream, held)
        self._offer_slots(upstream)

    def _offer_slots(self, upstream: str) -> None:
        """Offer the free slots to the first requests of the queue."""
        for vm, ticket in self._allocator.offer_free_slots(upstream):
            offer = wire.Room(
                upstream, self._allocator.in_flight_of_others(upstream, vm), ticket
            )
            if vm == self._me:
                self.handle_offer(offer)
            else:
                self._send_offer(vm, offer)

    def _send_decline(self, upstream: str, ticket: int) -> None:
        state = self._upstream_table.find(upstream)
        home = state and self._homes.home_of(upstream, state.record.data_centre)
        if not home:
            return
        decline = wire.Decline(self._me, upstream, ticket)
        if home.id == self._me:
            self.handle_decline(decline)
        else:
            self._send(home, wire.Datagram(decline=decline))

    def _send_offer(self, vm: str, offer: wire.Room) -> None:
        record = self._homes.find(vm)
        if record is not None:
            self._send(record, wire.Datagram(room=offer))

    def _send_counts(self, home: VmRecord, held_by_upstream: dict[str, int]) -> None:
        counts = wire.Counts(self._me, held_by_upstream)
        self._send(home, wire.Datagram(counts=counts))

    def _count_held(self, upstream: str) -> int:
        state = self._upstream_table.find(upstream)
        return state.in_flight if state is not None else 0
