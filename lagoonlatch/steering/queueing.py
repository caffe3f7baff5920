"""Requests that wait for a slot, in order of priority.

During bursts, or when upstreams are slow, all upstreams of an object can be full for
some time. A slot that becomes free goes to the most urgent request that may use it;
requests of equal priority are served in order of arrival.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.steering.placement import Candidates
from lagoonlatch.steering.upstreams import UpstreamState


class Picker(Protocol):
    """Selects one of several candidates."""

    def pick(self, candidates: Candidates, waited: Millis) -> UpstreamState | None:
        """Return a candidate with a free slot; None if the request should wait."""

    def may_use(self, upstream: UpstreamState) -> bool:
        """Return whether an upstream may get requests."""


class SlotRecipient(Protocol):
    """Receives the result of a wait: one of its methods is called, once."""

    def offer(self, upstream: UpstreamState) -> None:
        """Use the free slot of `upstream`."""

    def cancel_wait(self) -> None:
        """End the wait, since none of the candidates may be used any more."""


@dataclass(frozen=True, kw_only=True)
class RequestPriority:
    """Priority of the organisation, then of the route; lower is more urgent."""

    organisation: int
    route: int

    def key(self) -> tuple[int, int]:
        """Return the sort key of the priority."""
        return self.organisation, self.route


@dataclass(frozen=True, kw_only=True)
class _Waiter:
    request_priority: RequestPriority
    ticket: int
    candidates: Candidates
    waits_since: Millis
    recipient: SlotRecipient

    def key(self) -> tuple[tuple[int, int], int]:
        return self.request_priority.key(), self.ticket


class WaitingQueue:
    """Queue of the requests that wait for slots on one VM."""

    def __init__(self, picker: Picker, clock: Clock) -> None:
        self._picker = picker
        self._clock = clock
        self._waiters: list[_Waiter] = []
        self._last_ticket = 0

    def __len__(self) -> int:
        return len(self._waiters)

    def next_ticket(self) -> int:
        """Return a ticket for a request, which sets its order within its priority."""
        self._last_ticket += 1
        return self._last_ticket

    def enqueue(
        self,
        ticket: int,
        request_priority: RequestPriority,
        candidates: Candidates,
        recipient: SlotRecipient,
        waited: Millis = 0.0,
    ) -> None:
        """Add the request with this ticket, which has waited for `waited` before."""
        self._waiters.append(
            _Waiter(
                request_priority=request_priority,
                ticket=ticket,
                candidates=candidates,
                waits_since=self._clock.now() - waited,
                recipient=recipient,
            )
        )
        self._waiters.sort(key=_Waiter.key)

    def remove(self, ticket: int) -> None:
        """Remove a request that no longer waits."""
        self._waiters = [w for w in self._waiters if w.ticket != ticket]

    def offer_slots(self) -> None:
        """Offer free slots to the waiting requests, in order."""
        now = self._clock.now()
        for waiter in list(self._waiters):
            upstream = self._picker.pick(waiter.candidates, now - waiter.waits_since)
            if upstream is not None:
                self.remove(waiter.ticket)
                waiter.recipient.offer(upstream)
            elif not any(map(self._picker.may_use, waiter.candidates.upstreams)):
                self.remove(waiter.ticket)
                waiter.recipient.cancel_wait()
