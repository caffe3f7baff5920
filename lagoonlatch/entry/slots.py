"""Claim slots of upstreams at their home VMs, and serve claims as a home VM."""

from __future__ import annotations

import itertools
import math
import random
from collections import defaultdict
from collections.abc import Callable

import gevent
from gevent.event import AsyncResult

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.entry.events import HomeSilent, UpstreamLimited, UpstreamUnlimited
from lagoonlatch.entry.generated import ttypes as wire
from lagoonlatch.entry.journal import emit
from lagoonlatch.steering.homes import SlotHomes
from lagoonlatch.steering.model import VmRecord
from lagoonlatch.steering.rate_limits import NamedLimit, UpstreamRateLimiter
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

UNANSWERED_CLAIM_WAIT: Millis = 100.0
"""Time until an upstream with a rate limit is claimed again after its home VM did not
answer; another VM is its home then."""

MIN_OFFER_DELAY: Millis = 5.0
"""Shortest delay of offers for which the home VM waits for a rate limit."""

MAX_WIRE_MILLIS: Millis = 2.0**31 - 1.0
"""Longest duration that a field of a message can hold."""

CHECK_PRIORITY: Priority = (2**31 - 1, 2**31 - 1)
"""Health checks come after all requests of callers."""


class SlotClient:
    """Claims slots for this VM's requests, and allocates slots as a home VM.

    Parameters
    ----------
    me : str
        Id of this VM.
    limiter : UpstreamRateLimiter
        The one that `allocator` uses.
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
        limiter: UpstreamRateLimiter,
        homes: SlotHomes,
        send: Callable[[VmRecord, wire.Datagram], None],
        on_slot_free: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._me = me
        self._upstream_table = upstream_table
        self._allocator = allocator
        self._limiter = limiter
        self._homes = homes
        self._send = send
        self._on_slot_free = on_slot_free
        self._clock = clock
        self._claim_numbers = itertools.count(random.getrandbits(48))
        self._pending_verdict_by_claim_number: dict[int, AsyncResult] = {}
        self._refused_upstreams_by_ticket: defaultdict[int, set[str]] = defaultdict(set)
        self._notified_home_by_upstream: dict[str, str] = {}
        self._last_report: Millis = clock.now()
        self._check_tickets = itertools.count(-1, -1)
        self._upstreams_with_timed_offer: set[str] = set()

    def claim(
        self,
        upstream: UpstreamState,
        priority: Priority,
        ticket: int,
        waited: Millis,
    ) -> bool:
        """Claim a slot for a request; return False if none is free.

        A claimed slot must be released. If the home VM doesn't answer, the claim counts
        as granted, so that the load known to this VM decides. If the upstream has a
        rate limit, such a claim counts as refused: other VMs may use the whole limit.

        Parameters
        ----------
        ticket : int
            Identifies the request among those of this VM.
        """
        asked_at = self._clock.now()
        upstream.in_flight += 1
        upstream.unanswered_claims += 1
        verdict: ClaimAnswer | None = None
        is_answered = False
        try:
            verdict = self._request_verdict(upstream, priority, ticket, waited)
            is_answered = True
        finally:
            upstream.unanswered_claims -= 1
            if not is_answered:
                # The caller left during the claim.
                self.release(upstream)
        if verdict is None:
            if upstream.rate_limit is None:
                return True
            self.release(upstream)
            upstream.set_limit_wait(UNANSWERED_CLAIM_WAIT)
            return False
        upstream.set_load_of_others(verdict.others, verdict.ahead)
        self._apply_limit(upstream, verdict, asked_at)
        refused_upstreams = self._refused_upstreams_by_ticket[ticket]
        if verdict.granted:
            refused_upstreams.discard(upstream.record.id)
        else:
            refused_upstreams.add(upstream.record.id)
            upstream.in_flight -= 1
        return verdict.granted

    def claim_check(self, upstream: UpstreamState) -> bool:
        """Claim a health check of an upstream with a rate limit, which it counts."""
        ticket = next(self._check_tickets)
        try:
            is_granted = self.claim(upstream, CHECK_PRIORITY, ticket, 0.0)
        finally:
            self.stop_waiting(ticket)
        if is_granted:
            self.release(upstream)
        return is_granted

    def report_limit(
        self, upstream: UpstreamState, limit: NamedLimit, is_ended: bool
    ) -> None:
        """Report a limit that an answer has named or ended to the first home VMs.

        Parameters
        ----------
        limit : NamedLimit
            Its epoch is the one that was known when the answered request was sent.
        """
        record = upstream.record
        report = wire.LimitReport(record.id, _encode_limit(limit), is_ended)
        # The second VM grants requests while the home VM doesn't answer.
        for home in self._homes.first_homes(
            record.id, record.data_centre, anywhere=True
        ):
            if home.id == self._me:
                self.handle_limit_report(report)
            else:
                self._send(home, wire.Datagram(limit_report=report))

    def stop_waiting(self, ticket: int) -> None:
        """Report to the VMs that refused a slot that the request no longer waits."""
        for upstream_id in self._refused_upstreams_by_ticket.pop(ticket, ()):
            self._send_decline(upstream_id, ticket)

    def release(self, upstream: UpstreamState) -> None:
        """Free the slot of a request that has ended."""
        upstream.in_flight -= 1
        upstream_id = upstream.record.id
        home = self._home_of(upstream)
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
            self._upstream_table.held_slots_by_id(), self._notified_home_by_upstream
        )
        notified_home_by_upstream: dict[str, str] = {}
        counts_by_home: defaultdict[str, dict[str, int]] = defaultdict(dict)
        home_by_id: dict[str, VmRecord] = {}
        for upstream_id, held in counts.items():
            state = self._upstream_table.find(upstream_id)
            home = state and self._home_of(state)
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
        verdict = self._claim_locally(
            Claim(
                vm=claim.vm,
                upstream=claim.upstream,
                held=claim.held,
                ticket=claim.ticket,
                priority=(claim.organisation_priority, claim.route_priority),
                waited=float(claim.waited),
            ),
            _decode_limit(claim.limit),
            float(claim.limit_age or 0),
        )
        return wire.Verdict(
            claim.number,
            verdict.granted,
            verdict.others,
            verdict.ahead,
            _encode_limit(verdict.limit),
            _clip(verdict.limit_wait),
        )

    def handle_verdict(self, answer: wire.Verdict) -> None:
        """Handle the answer to a claim."""
        pending_verdict = self._pending_verdict_by_claim_number.pop(answer.number, None)
        if pending_verdict is not None:
            pending_verdict.set(
                ClaimAnswer(
                    answer.granted,
                    answer.others,
                    answer.ahead,
                    _decode_limit(answer.limit),
                    float(answer.limit_wait or 0),
                )
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
        state.set_limit_wait(0.0)
        self._on_slot_free()

    def handle_decline(self, decline: wire.Decline) -> None:
        """Handle the message that a request of another VM no longer waits."""
        self._allocator.decline(decline.vm, decline.upstream, decline.ticket)
        self._offer_slots(decline.upstream)

    def handle_limit_report(self, report: wire.LimitReport) -> None:
        """Apply the report of a VM to which an upstream has named or ended a limit."""
        limit = _decode_limit(report.limit)
        if report.is_ended:
            self._limiter.report_ended(report.upstream, limit.born, limit.epoch)
            self._offer_slots(report.upstream)
        else:
            self._limiter.report_named(report.upstream, limit)

    def _home_of(self, upstream: UpstreamState) -> VmRecord | None:
        """Return the home VM; an upstream with a rate limit has one in any case."""
        return self._homes.home_of(
            upstream.record.id,
            upstream.record.data_centre,
            anywhere=upstream.rate_limit is not None,
        )

    def _apply_limit(
        self, upstream: UpstreamState, verdict: ClaimAnswer, asked_at: Millis
    ) -> None:
        if upstream.set_limit_from_home(verdict.limit, asked_at):
            emit_limit_change(upstream, "home VM")
        if verdict.limit is not None:
            upstream.set_limit_wait(verdict.limit_wait)

    def _claim_locally(
        self, claim: Claim, known: NamedLimit | None, age: Millis
    ) -> ClaimAnswer:
        """Decide on a claim of a VM that heard of the limit `known` `age` ago."""
        if known is not None:
            self._limiter.report_known(claim.upstream, known, age)
        answer = self._allocator.claim(claim)
        if not answer.granted:
            self._offer_when_limit_allows(claim.upstream)
        return answer

    def _offer_when_limit_allows(self, upstream: str) -> None:
        """Offer slots as soon as the limit allows it, while refused claims remain."""
        if upstream in self._upstreams_with_timed_offer:
            return
        wait = self._allocator.time_to_next_offer(upstream)
        if wait is None or wait <= 0.0:
            # Without a wait, the claims wait for slots, which are offered when freed.
            return
        self._upstreams_with_timed_offer.add(upstream)
        delay = max(wait, MIN_OFFER_DELAY) / MILLIS_PER_SECOND
        gevent.spawn_later(delay, self._offer_after_wait, upstream)

    def _offer_after_wait(self, upstream: str) -> None:
        self._upstreams_with_timed_offer.discard(upstream)
        self._offer_slots(upstream)

    def _request_verdict(
        self,
        upstream: UpstreamState,
        priority: Priority,
        ticket: int,
        waited: Millis,
    ) -> ClaimAnswer | None:
        """Claim at the home VM or, if it is silent, once at the VM after it.

        The second VM may know a rate limit of which this VM has not heard.
        """
        claim = Claim(
            vm=self._me,
            upstream=upstream.record.id,
            held=upstream.in_flight,
            ticket=ticket,
            priority=priority,
            waited=waited,
        )
        for tries in (CLAIM_TRIES, 1):
            home = self._home_of(upstream)
            if home is None:
                return None
            if home.id == self._me:
                return self._claim_locally(
                    claim, upstream.known_limit(), upstream.limit_age()
                )
            answer = self._claim_remotely(home, claim, upstream, tries)
            if answer is not None:
                return answer
            self._homes.mark_unreachable(home.id)
            emit(HomeSilent(subject=home.id, upstream=claim.upstream))
        return None

    def _claim_remotely(
        self, home: VmRecord, claim: Claim, upstream: UpstreamState, tries: int
    ) -> ClaimAnswer | None:
        """Claim a slot at another VM; return None if it doesn't answer."""
        limit = upstream.known_limit()
        number = next(self._claim_numbers)
        pending_verdict = self._pending_verdict_by_claim_number[number] = AsyncResult()
        message = wire.Claim(
            vm=claim.vm,
            number=number,
            ticket=claim.ticket,
            upstream=claim.upstream,
            held=claim.held,
            organisation_priority=claim.priority[0],
            route_priority=claim.priority[1],
            waited=round(claim.waited),
            limit=_encode_limit(limit),
            limit_age=None if limit is None else _clip(upstream.limit_age()),
        )
        try:
            for _ in range(tries):
                self._send(home, wire.Datagram(claim=message))
                pending_verdict.wait(timeout=CLAIM_TIMEOUT / MILLIS_PER_SECOND)
                if pending_verdict.ready():
                    self._notified_home_by_upstream[claim.upstream] = home.id
                    return pending_verdict.value
        finally:
            self._pending_verdict_by_claim_number.pop(number, None)
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
        self._offer_when_limit_allows(upstream)

    def _send_decline(self, upstream: str, ticket: int) -> None:
        state = self._upstream_table.find(upstream)
        home = state and self._home_of(state)
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
        return state.held_slots() if state is not None else 0


def emit_limit_change(upstream: UpstreamState, told_by: str) -> None:
    """Log that the rate limit of an upstream has changed."""
    rate = upstream.rate_limit
    if rate is None:
        emit(UpstreamUnlimited(upstream=upstream.record.id, told_by=told_by))
    else:
        emit(UpstreamLimited(upstream=upstream.record.id, rate=rate, told_by=told_by))


def _clip(duration: Millis) -> int:
    """Return a duration as the field of a message can hold it."""
    return round(min(duration, MAX_WIRE_MILLIS))


def _encode_limit(limit: NamedLimit | None) -> wire.NamedLimit | None:
    if limit is None:
        return None
    return wire.NamedLimit(limit.rate, limit.born, limit.epoch)


def _decode_limit(limit: wire.NamedLimit | None) -> NamedLimit | None:
    if limit is None:
        return None
    if not 0.0 <= limit.rate < math.inf:
        raise ValueError(f"{limit.rate!r} is no number of requests a second")
    return NamedLimit(rate=limit.rate, born=limit.born, epoch=limit.epoch)
