"""Queues of the requests that wait for a slot of a service.

`QUEUES` names them. ``deficit-round-robin`` shares slot time between organisations by
weight; ``first-come-first-served`` is the naive one.

See Also
--------
lagoonlatch.upstreams.fair_queue : the fair queue.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Sequence
from typing import Protocol, TypeAlias

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.registry import Registry
from lagoonlatch.upstreams.durations import Durations
from lagoonlatch.upstreams.pending import PendingRequest

Runnable: TypeAlias = Callable[[PendingRequest], bool]
"""Whether some instance can take a request now."""

LatestStart: TypeAlias = Callable[[PendingRequest], Millis]
"""Until when a request can start and end by its deadline."""

WeightOf: TypeAlias = Callable[[str], float]
"""The weight of an organisation."""


class Queue(Protocol):
    """The waiting requests of one service and what is known of the running ones."""

    def __len__(self) -> int:
        """Return how many requests wait."""

    def waiting(self) -> tuple[PendingRequest, ...]:
        """Return the requests that wait."""

    def waiting_of(self, organisation: str) -> int:
        """Return how many requests of an organisation wait."""

    def push(self, pending: PendingRequest) -> None:
        """Add a request."""

    def push_back(self, pending: PendingRequest) -> None:
        """Return a popped request, which no upstream has run, to the front."""

    def pop(self, slots: int, free: int, runnable: Runnable) -> PendingRequest | None:
        """Take out the request to run next, if one may run.

        Parameters
        ----------
        slots, free : int
            Slots of the instances that take work, and those not held.
        """

    def remove(self, pending: PendingRequest) -> bool:
        """Take out a request whose caller has gone; return whether it waited."""

    def finished(self, pending: PendingRequest, duration: Millis, whole: bool) -> None:
        """Learn that a popped request held its slot for `duration`.

        Parameters
        ----------
        whole : bool
            Whether it ran to its end; otherwise it would have taken at least so long.
        """

    def unservable(
        self, slots: int, latest_start: LatestStart
    ) -> Sequence[PendingRequest]:
        """Return the waiting requests whose turn will come too late."""

    def expected_duration(self, organisation: str) -> Millis:
        """Return how long a request of an organisation holds its slot."""

    def expected_wait(self, organisation: str, slots: int) -> Millis:
        """Return how long a request that came now would wait."""


QUEUES: Registry[Callable[[Clock, WeightOf], Queue]] = Registry("queue")


@QUEUES.register("first-come-first-served")
class FirstComeFirstServedQueue:
    """Requests in the order of their arrival, whoever sent them."""

    def __init__(self, clock: Clock, weight_of: WeightOf) -> None:
        self._waiting: OrderedDict[PendingRequest, None] = OrderedDict()
        self._durations = Durations()

    def __len__(self) -> int:
        return len(self._waiting)

    def waiting(self) -> tuple[PendingRequest, ...]:
        """Return the requests that wait, in the order of their arrival."""
        return tuple(self._waiting)

    def waiting_of(self, organisation: str) -> int:
        """Return how many requests wait: all organisations share one line."""
        return len(self._waiting)

    def push(self, pending: PendingRequest) -> None:
        """Add a request."""
        self._waiting[pending] = None

    def push_back(self, pending: PendingRequest) -> None:
        """Return a popped request to the front."""
        self._waiting[pending] = None
        self._waiting.move_to_end(pending, last=False)

    def pop(self, slots: int, free: int, runnable: Runnable) -> PendingRequest | None:
        """Take out the first request that some instance can take."""
        for pending in self._waiting:
            if runnable(pending):
                del self._waiting[pending]
                return pending
        return None

    def remove(self, pending: PendingRequest) -> bool:
        """Take out a request; return whether it waited."""
        waited = pending in self._waiting
        self._waiting.pop(pending, None)
        return waited

    def unservable(
        self, slots: int, latest_start: LatestStart
    ) -> Sequence[PendingRequest]:
        """Return none: those that come too late leave at their deadlines."""
        return ()

    def finished(self, pending: PendingRequest, duration: Millis, whole: bool) -> None:
        """Learn how long a request held its slot."""
        self._durations.add(pending.organisation, duration, whole)

    def expected_duration(self, organisation: str) -> Millis:
        """Return how long any request holds its slot."""
        return self._durations.overall()

    def expected_wait(self, organisation: str, slots: int) -> Millis:
        """Return the slot time of all waiting requests, shared by the slots."""
        return len(self) * self._durations.overall() / max(slots, 1)
