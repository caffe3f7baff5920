"""The queue that shares slot time between the waiting organisations by weight.

An organisation is charged the average slot time of its requests when one starts and
the difference to the true one when it ends, so that slow requests count for what they
hold. Charges are forgotten when nobody waits.
"""

from __future__ import annotations

import math
from collections import OrderedDict, deque
from collections.abc import Sequence

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.upstreams.durations import Durations
from lagoonlatch.upstreams.holding import HoldLimits
from lagoonlatch.upstreams.pending import PendingRequest
from lagoonlatch.upstreams.queue import QUEUES, LatestStart, Runnable, WeightOf


@QUEUES.register("deficit-round-robin")
class DeficitRoundRobinQueue:
    """One line for each organisation; each round grants every one its quantum."""

    def __init__(self, clock: Clock, weight_of: WeightOf) -> None:
        self._clock = clock
        self._weight_of = weight_of
        self._durations = Durations()
        self._holding = HoldLimits(clock, self._durations)
        self._line_by_organisation: OrderedDict[str, deque[PendingRequest]] = (
            OrderedDict()
        )
        self._deficit_by_organisation: dict[str, Millis] = {}
        self._length = 0

    def __len__(self) -> int:
        return self._length

    def waiting(self) -> tuple[PendingRequest, ...]:
        """Return the requests that wait, by organisation."""
        lines = self._line_by_organisation.values()
        return tuple(pending for line in lines for pending in line)

    def waiting_of(self, organisation: str) -> int:
        """Return how many requests of an organisation wait."""
        return len(self._line_by_organisation.get(organisation, ()))

    def push(self, pending: PendingRequest) -> None:
        """Add a request at the end of its organisation's line."""
        self._line_of(pending.organisation).append(pending)
        self._holding.arrived(pending.organisation)

    def push_back(self, pending: PendingRequest) -> None:
        """Return a popped request to the front and take its charge back."""
        self._line_of(pending.organisation).appendleft(pending)
        self._holding.ended(pending)
        self._charge(pending.organisation, -pending.cost)

    def pop(self, slots: int, free: int, runnable: Runnable) -> PendingRequest | None:
        """Take out the next request of the organisation whose turn is first."""
        first_by_organisation = {
            organisation: pending
            for organisation, line in self._line_by_organisation.items()
            if self._holding.may_start(organisation, slots, free)
            and (pending := _first(line, runnable)) is not None
        }
        if not first_by_organisation:
            return None
        organisation = self._next_turn(tuple(first_by_organisation))
        pending = first_by_organisation[organisation]
        pending.cost = self._durations.of(organisation)
        self._charge(organisation, pending.cost)
        self._line_by_organisation.move_to_end(organisation)
        self._take_out(pending)
        self._holding.started(pending)
        return pending

    def remove(self, pending: PendingRequest) -> bool:
        """Take out a request; return whether it waited."""
        line = self._line_by_organisation.get(pending.organisation, ())
        waited = pending in line
        if waited:
            self._take_out(pending)
        return waited

    def unservable(
        self, slots: int, latest_start: LatestStart
    ) -> Sequence[PendingRequest]:
        """Return the waiting requests whose turn will come too late.

        Each organisation's line is served by the slots that it may hold, at best.
        """
        return [
            pending
            for organisation, line in self._line_by_organisation.items()
            for pending in self._too_late(organisation, line, slots, latest_start)
        ]

    def finished(self, pending: PendingRequest, duration: Millis, whole: bool) -> None:
        """Learn how long a request held its slot and settle its charge."""
        self._holding.ended(pending)
        self._holding.learn(pending.organisation, duration, whole)
        self._durations.add(pending.organisation, duration, whole)
        if self._length:
            self._charge(pending.organisation, duration - pending.cost)

    def expected_duration(self, organisation: str) -> Millis:
        """Return how long a request of an organisation holds its slot."""
        return self._durations.of(organisation)

    def expected_wait(self, organisation: str, slots: int) -> Millis:
        """Return the shorter of two bounds on the wait of a request that came now.

        One is the slot time of all who wait, shared by all slots; the other that of
        the organisation's own requests, shared by the slots that are its due. Neither
        is below its own slot time shared by the slots that it may hold.
        """
        if not self._length:
            return 0.0
        cost_by_organisation = {
            waiting: len(line) * self._durations.of(waiting)
            for waiting, line in self._line_by_organisation.items()
        }
        cost_by_organisation.setdefault(organisation, 0.0)
        usable = max(slots, 1)
        weights = sum(self._weight_of(waiting) for waiting in cost_by_organisation)
        due = usable * self._weight_of(organisation) / weights
        held_at_most = self._holding.limit_of(organisation, slots)
        turn = self._durations.overall() * len(cost_by_organisation) / usable
        own_cost = cost_by_organisation[organisation]
        own = turn + own_cost / due
        shared = sum(cost_by_organisation.values()) / usable
        return max(min(own, shared), own_cost / held_at_most)

    def _too_late(self, organisation, line, slots, latest_start):
        limit = self._holding.limit_of(organisation, slots)
        interval = self._durations.of(organisation) / limit
        turn = self._clock.now()
        for pending in line:
            if latest_start(pending) < turn:
                yield pending
            else:
                turn += interval

    def _line_of(self, organisation: str) -> deque[PendingRequest]:
        self._length += 1
        return self._line_by_organisation.setdefault(organisation, deque())

    def _take_out(self, pending: PendingRequest) -> None:
        line = self._line_by_organisation[pending.organisation]
        line.remove(pending)
        self._length -= 1
        if not line:
            del self._line_by_organisation[pending.organisation]
            self._emptied(pending.organisation)

    def _next_turn(self, organisations: Sequence[str]) -> str:
        quantum = self._durations.overall()
        rounds, _, chosen = min(
            (self._rounds_until(organisation, quantum), place, organisation)
            for place, organisation in enumerate(organisations)
        )
        for organisation in organisations:
            grant = rounds * quantum * self._weight_of(organisation)
            self._charge(organisation, -grant)
        return chosen

    def _charge(self, organisation: str, cost: Millis) -> None:
        deficit = self._deficit_by_organisation.get(organisation, 0.0)
        self._deficit_by_organisation[organisation] = deficit - cost

    def _emptied(self, organisation: str) -> None:
        deficit = self._deficit_by_organisation.get(organisation, 0.0)
        self._deficit_by_organisation[organisation] = min(deficit, 0.0)
        if not self._length:
            self._deficit_by_organisation.clear()

    def _rounds_until(self, organisation: str, quantum: Millis) -> int:
        deficit = self._deficit_by_organisation.get(organisation, 0.0)
        missing = self._durations.of(organisation) - deficit
        return max(math.ceil(missing / (quantum * self._weight_of(organisation))), 0)


def _first(line: deque[PendingRequest], runnable: Runnable) -> PendingRequest | None:
    for pending in line:
        if runnable(pending):
            return pending
    return None
