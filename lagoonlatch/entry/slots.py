"""Slots of upstreams: claims at their home VMs, and what this VM counts as a home."""

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
"""After this a claim is sent once more, and after as long again given up; a round trip
between the farthest regions takes 70 ms."""

CLAIM_TRIES = 2


class SlotClient:
    """Claims slots for this VM's requests.

    Parameters
    ----------
    me : str
        This VM.
    send : callable
        Sends a datagram to a VM.
    on_room : callable
        Is called when an upstream may have a free slot for a request that waits.
    """

    def __init__(
        self,
        me: str,
        upstream_table: UpstreamTable,
        desk: SlotAllocator,
        homes: SlotHomes,
        send: Callable[[VmRecord, wire.Datagram], None],
        on_room: Callable[[], None],
        clock: Clock,
    ) -> None:
        self._me = me
        self._upstream_table = upstream_table
        self._desk = desk
        self._homes = homes
        self._send = send
        self._on_room = on_room
        self._clock = clock
        self._numbers = itertools.count(random.getrandbits(48))
        self._pending_by_number: dict[int, AsyncResult] = {}
        self._asked_by_ticket: defaultdict[int, set[str]] = defaultdict(set)
        self._home_told_by_upstream: dict[str, str] = {}
        self._repeated: Millis = clock.now()

    def claim(
        self,
        upstream: UpstreamState,
        priority: Priority,
        ticket: int,
        waited: Millis,
    ) -> bool:
        """Take a slot for a request, to be released; return False if none is free.

        A home that doesn't answer leaves the choice to what this VM believes.

        Parameters
        ----------
        ticket : int
            Names the request among those of this VM.
        """
        upstream.in_flight += 1
        verdict: ClaimAnswer | None = None
        is_answered = False
        try:
            verdict = self._ask(upstream, priority, ticket, waited)
            is_answered = True
        finally:
            if not is_answered:
                # The caller has left meanwhile.
                self.release(upstream)
        if verdict is None:
            return True
        upstream.set_load_of_others(verdict.others, verdict.ahead)
        asked = self._asked_by_ticket[ticket]
        if verdict.granted:
            asked.discard(upstream.record.id)
        else:
            asked.add(upstream.record.id)
            upstream.in_flight -= 1
        return verdict.granted

    def leave(self, ticket: int) -> None:
        """Tell where the request was refused a slot that it waits no more."""
        for name in self._asked_by_ticket.pop(ticket, ()):
            self._decline(name, ticket)

    def release(self, upstream: UpstreamState) -> None:
        """Free the slot of a request that has ended."""
        upstream.in_flight -= 1
        name = upstream.record.id
        home = self._homes.home_of(name, upstream.record.data_centre)
        if home is None:
            return
        held = self._held(name)
        if home.id == self._me:
            self._take_count(self._me, name, held)
            return
        self._home_told_by_upstream[name] = home.id
        self._send_counts(home, {name: held})

    def report_held_slots(self) -> None:
        """Tell homes what this VM holds: all of it now and then, at once a new home."""
        self._homes.refresh()
        self._desk.prune()
        now = self._clock.now()
        is_due = now - self._repeated >= COUNT_REPORT_INTERVAL
        if is_due:
            self._repeated = now
        counts = counts_to_send(
            self._upstream_table.in_flight_by_id(), self._home_told_by_upstream
        )
        told: dict[str, str] = {}
        counts_by_home: defaultdict[str, dict[str, int]] = defaultdict(dict)
        home_by_id: dict[str, VmRecord] = {}
        for name, held in counts.items():
            state = self._upstream_table.find(name)
            home = state and self._homes.home_of(name, state.record.data_centre)
            if not home:
                continue
            if is_due or self._home_told_by_upstream.get(name) != home.id:
                counts_by_home[home.id][name] = held
                home_by_id[home.id] = home
            if held:
                told[name] = home.id
        self._home_told_by_upstream = told
        for vm, held_by_upstream in counts_by_home.items():
            if vm == self._me:
                for name, held in held_by_upstream.items():
                    self._take_count(self._me, name, held)
            else:
                self._send_counts(home_by_id[vm], held_by_upstream)

    def answer_claim(self, asked: wire.Claim) -> wire.Verdict:
        """Answer a claim of another VM."""
        self._homes.mark_reachable(asked.vm)
        verdict = self._desk.claim(
            Claim(
                vm=asked.vm,
                upstream=asked.upstream,
                held=asked.held,
                ticket=asked.ticket,
                priority=(asked.organisation_priority, asked.route_priority),
                waited=float(asked.waited),
            )
        )
        return wire.Verdict(
            asked.number, verdict.granted, verdict.others, verdict.ahead
        )

    def handle_verdict(self, answer: wire.Verdict) -> None:
        """Take in the answer to a claim."""
        pending = self._pending_by_number.pop(answer.number, None)
        if pending is not None:
            pending.set(ClaimAnswer(answer.granted, answer.others, answer.ahead))

    def handle_counts(self, counts: wire.Counts) -> None:
        """Take in what another VM holds."""
        for upstream, held in counts.held_by_upstream.items():
            self._take_count(counts.vm, upstream, held)

    def handle_offer(self, room: wire.Room) -> None:
        """Take in that an upstream has a free slot."""
        state = self._upstream_table.find(room.upstream)
        if state is None or room.ticket not in self._asked_by_ticket:
            self._decline(room.upstream, room.ticket)
            return
        # The home keeps the slot for this VM, though all may be taken as yet.
        last = state.record.slots - 1 - state.in_flight
        state.set_load_of_others(min(room.others, last))
        self._on_room()

    def handle_decline(self, decline: wire.Decline) -> None:
        """Take in that a request of another VM waits no more."""
        self._desk.decline(decline.vm, decline.upstream, decline.ticket)
        self._offer_slots(decline.upstream)

    def _ask(
        self,
        upstream: UpstreamState,
        priority: Priority,
        ticket: int,
        waited: Millis,
    ) -> ClaimAnswer | None:
        name = upstream.record.id
        home = self._homes.home_of(name, upstream.record.data_centre)
        if home is None:
            return None
        if home.id == self._me:
            return self._desk.claim(
                Claim(
                    vm=self._me,
                    upstream=name,
                    held=upstream.in_flight,
                    ticket=ticket,
                    priority=priority,
                    waited=waited,
                )
            )
        number = next(self._numbers)
        pending = self._pending_by_number[number] = AsyncResult()
        claim = wire.Claim(
            vm=self._me,
            number=number,
            ticket=ticket,
            upstream=name,
            held=upstream.in_flight,
            organisation_priority=priority[0],
            route_priority=priority[1],
            waited=round(waited),
        )
        try:
            for _ in range(CLAIM_TRIES):
                self._send(home, wire.Datagram(claim=claim))
                pending.wait(timeout=CLAIM_TIMEOUT / MILLIS_PER_SECOND)
                if pending.ready():
                    self._home_told_by_upstream[name] = home.id
                    return pending.value
        finally:
            self._pending_by_number.pop(number, None)
        self._homes.mark_unreachable(home.id)
        emit(HomeSilent(subject=home.id, upstream=name))
        return None

    def _take_count(self, vm: str, upstream: str, held: int) -> None:
        self._desk.set_count(vm, upstream, held)
        self._offer_slots(upstream)

    def _offer_slots(self, upstream: str) -> None:
        """Tell the requests whose turn it is."""
        for vm, ticket in self._desk.offer_free_slots(upstream):
            room = wire.Room(
                upstream, self._desk.in_flight_of_others(upstream, vm), ticket
            )
            if vm == self._me:
                self.handle_offer(room)
            else:
                self._send_room(vm, room)

    def _decline(self, upstream: str, ticket: int) -> None:
        state = self._upstream_table.find(upstream)
        home = state and self._homes.home_of(upstream, state.record.data_centre)
        if not home:
            return
        decline = wire.Decline(self._me, upstream, ticket)
        if home.id == self._me:
            self.handle_decline(decline)
        else:
            self._send(home, wire.Datagram(decline=decline))

    def _send_room(self, vm: str, room: wire.Room) -> None:
        record = self._homes.find(vm)
        if record is not None:
            self._send(record, wire.Datagram(room=room))

    def _send_counts(self, home: VmRecord, held_by_upstream: dict[str, int]) -> None:
        counts = wire.Counts(self._me, held_by_upstream)
        self._send(home, wire.Datagram(counts=counts))

    def _held(self, upstream: str) -> int:
        state = self._upstream_table.find(upstream)
        return state.in_flight if state is not None else 0
