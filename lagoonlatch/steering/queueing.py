"""Requests that wait for a slot, the most urgent ones first.

The load answered here: bursts and slow upstreams, where for some time all upstreams
of an object are full. A slot that becomes free goes to the most urgent request that
may use it, among equals to the one that came first.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.steering.placement import Candidates
from lagoonlatch.steering.upstreams import UpstreamState


class Picker(Protocol):
    """Chooses among candidates."""

    def pick(self, candidates: Candidates, waited: Millis) -> UpstreamState | None:
        """Return a candidate with a free slot; None to wait on."""

    def may_use(self, state: UpstreamState) -> bool:
        """Return whether an upstream may get requests."""


class SlotWaiter(Protocol):
    """Tells a waiting request its place; one of both is called once."""

    def offer(self, upstream: UpstreamState) -> None:
        """Take the place."""

    def cancel_wait(self) -> None:
        """Look for another place, since none that is waited for may be used."""


@dataclass(frozen=True, kw_only=True)
class RequestPriority:
    """The rank of a request: organisation, then route; lower is more urgent."""

    organisation: int
    route: int

    def key(self) -> tuple[int, int]:
        """Return what orders requests."""
        return self.organisation, self.route


@dataclass(frozen=True, kw_only=True)
class _Waiter:
    request_priority: RequestPriority
    number: int
    candidates: Candidates
    since: Millis
    recipient: SlotWaiter

    def key(self) -> tuple[tuple[int, int], int]:
        return self.request_priority.key(), self.number


class WaitingQueue:
    """The waiting requests of one VM."""

    def __init__(self, picker: Picker, clock: Clock) -> None:
        self._picker = picker
        self._clock = clock
        self._waiters: list[_Waiter] = []
        self._next_number = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def next_ticket(self) -> int:
        """Return the number of a request, which keeps its place among equals."""
        self._next_number += 1
        return self._next_number

    def enqueue(
        self,
        number: int,
        request_priority: RequestPriority,
        candidates: Candidates,
        recipient: SlotWaiter,
        waited: Millis = 0.0,
    ) -> None:
        """Queue the request called `number`, which has `waited` already."""
        self._waiters.append(
            _Waiter(
                request_priority=request_priority,
                number=number,
                candidates=candidates,
                since=self._clock.now() - waited,
                recipient=recipient,
            )
        )
        self._waiters.sort(key=_Waiter.key)

    def remove(self, number: int) -> None:
        """Forget a request that waits no more."""
        self._waiters = [w for w in self._waiters if w.number != number]

    def offer_slots(self) -> None:
        """Give free slots to those who wait, in order."""
        now = self._clock.now()
        for waiter in list(self._waiters):
            upstream = self._picker.pick(waiter.candidates, now - waiter.since)
            if upstream is not None:
                self.remove(waiter.number)
                waiter.recipient.offer(upstream)
            elif not any(map(self._picker.may_use, waiter.candidates.upstreams)):
                self.remove(waiter.number)
                waiter.recipient.cancel_wait()
