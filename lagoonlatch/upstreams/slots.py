"""The exact count of one instance's slots.

A slot is held from before the first byte of a request is sent until the upstream is
known to have ended it. After a request whose end is not known, the slot stays held
until two load reports in a row, asked for later, count fewer requests than are held,
or until the request's deadline, which the upstream honours, has passed.
"""

from __future__ import annotations

from dataclasses import dataclass

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.upstreams.health import Polled

DEADLINE_MARGIN: Millis = 100.0
TAKEOVER_PERIOD: Millis = 10_000.0

_REPORTS_NEEDED = 2


@dataclass(frozen=True)
class _Unsettled:
    since: Millis
    until: Millis


class SlotCount:
    """Slots of one instance.

    Parameters
    ----------
    limit : int
        Slots that the instance has.

    Attributes
    ----------
    capacity : int
        Slots that are used now; grows to the limit after a start.
    running : int
        Requests in flight.
    """

    def __init__(self, limit: int, clock: Clock) -> None:
        self.limit = limit
        self.capacity = 0
        self.running = 0
        self._clock = clock
        self._unsettled: list[_Unsettled] = []
        self._fewer_reports = 0
        self._foreign = 0
        self._foreign_until: Millis = 0.0

    @property
    def held(self) -> int:
        """Slots held by requests that run or may still run."""
        return self.running + len(self._unsettled)

    def free(self) -> int:
        """Return how many requests may start now."""
        self._drop_expired()
        return self.usable() - self.held

    def usable(self) -> int:
        """Return how many slots may be held now."""
        return min(self.capacity, self.limit - self._foreign)

    def take(self) -> None:
        """Hold a slot for a request that starts."""
        assert self.held < self.limit, f"{self.held} of {self.limit} slots are held"
        self.running += 1

    def give_back(self, settled: bool, deadline: Millis) -> None:
        """Free a slot, or keep it held if the upstream may still run the request."""
        self.running -= 1
        now = self._clock.now()
        if not settled and deadline + DEADLINE_MARGIN > now:
            self._unsettled.append(_Unsettled(now, deadline + DEADLINE_MARGIN))
            self._fewer_reports = 0

    def start_from(self, reported: int) -> None:
        """Begin as the owner of an instance that reports `reported` requests.

        More than the limit can't be true; then one slot is tried all the same.
        """
        self._foreign = reported if reported <= self.limit else self.limit - 1
        self._foreign_until = self._clock.now() + TAKEOVER_PERIOD
        self.capacity = 1

    def restart(self) -> None:
        """Begin again with one slot."""
        self.capacity = 1

    def grow(self) -> None:
        """Use one slot more after a good answer."""
        self.capacity = min(self.capacity + 1, self.limit)

    def shrink(self) -> None:
        """Use no more slots than are held, after a refusal for lack of slots."""
        self.capacity = max(min(self.capacity, self.held), 1)

    def learn_report(self, polled: Polled) -> None:
        """Free unsettled slots that the instance no longer counts."""
        reported = polled.report.in_flight
        if reported is None:
            return
        self._foreign = min(self._foreign, max(reported - self.running, 0))
        settled_before = [u for u in self._unsettled if u.since < polled.asked]
        if not settled_before or reported >= self.held:
            self._fewer_reports = 0
            return
        self._fewer_reports += 1
        if self._fewer_reports >= _REPORTS_NEEDED:
            self._unsettled.remove(settled_before[0])

    def _drop_expired(self) -> None:
        now = self._clock.now()
        if self._unsettled:
            self._unsettled = [u for u in self._unsettled if u.until > now]
        if self._foreign_until <= now:
            self._foreign = 0
