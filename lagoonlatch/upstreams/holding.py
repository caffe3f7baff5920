"""How many slots one organisation may hold while others use the service.

Fair turns alone don't help against requests that hold all slots for seconds. So an
organisation starts from half of the slots and gets one more with each request that
ends in the usual time; one whose requests take much longer than the others' stays at
half, which all such organisations share. The organisation that holds the most leaves a
few slots free, so that the others seldom have to wait until a slot is given back.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.upstreams.durations import Durations
from lagoonlatch.upstreams.pending import PendingRequest

SLOW_FACTOR = 4.0
SLOW_FLOOR: Millis = 100.0
ACTIVE_PERIOD: Millis = 60_000.0

LARGE_PART = 3
"""Who holds one slot in so many, and no fewer than any other, holds the most."""

SLOTS_PER_RESERVED = 6
MOST_RESERVED = 3
"""One slot in so many, and at most so many in all, are left free by the organisation
that holds the most."""


@dataclass(frozen=True)
class _Arrival:
    organisation: str
    instant: Millis


class HoldLimits:
    """Counts the slots that organisations hold of one service."""

    def __init__(self, clock: Clock, durations: Durations) -> None:
        self._clock = clock
        self._durations = durations
        self._running_by_organisation: dict[str, dict[PendingRequest, Millis]] = {}
        self._grown_by_organisation: dict[str, int] = {}
        self._newest = _Arrival("", -math.inf)
        self._newest_of_another: Millis = -math.inf

    def arrived(self, organisation: str) -> None:
        """Learn that an organisation uses the service."""
        if organisation != self._newest.organisation:
            self._newest_of_another = self._newest.instant
        self._newest = _Arrival(organisation, self._clock.now())

    def started(self, pending: PendingRequest) -> None:
        """Count a slot in."""
        running = self._running_by_organisation.setdefault(pending.organisation, {})
        running[pending] = self._clock.now()

    def ended(self, pending: PendingRequest) -> None:
        """Count a slot out."""
        self._running_by_organisation[pending.organisation].pop(pending, None)

    def learn(self, organisation: str, duration: Millis, whole: bool) -> None:
        """Let the limit grow after a usual duration, else fall back to half."""
        if not self._is_long(organisation, duration):
            if not whole:
                return
            grown = self._grown_by_organisation.get(organisation, 0)
            self._grown_by_organisation[organisation] = grown + 1
        else:
            self._grown_by_organisation[organisation] = 0

    def may_start(self, organisation: str, slots: int, free: int) -> bool:
        """Return whether an organisation may take one of the `free` slots."""
        if not self._others_active(organisation):
            return True
        if self._is_slow(organisation):
            return self._held_by_slow() < self.limit_of(organisation, slots)
        if self._held(organisation) >= self.limit_of(organisation, slots):
            return False
        reserved = min(slots // SLOTS_PER_RESERVED, MOST_RESERVED)
        return free > reserved or not self._holds_most(organisation, slots)

    def limit_of(self, organisation: str, slots: int) -> int:
        """Return how many of `slots` an organisation may hold, at least one."""
        half = max(slots // 2, 1)
        if not self._others_active(organisation):
            return max(slots, 1)
        if self._is_slow(organisation):
            return half
        grown = min(self._grown_by_organisation.get(organisation, 0), slots)
        self._grown_by_organisation[organisation] = grown
        return min(half + grown, max(slots, 1))

    def _others_active(self, organisation: str) -> bool:
        newest = self._newest.instant
        if organisation == self._newest.organisation:
            newest = self._newest_of_another
        return newest >= self._clock.now() - ACTIVE_PERIOD

    def _held(self, organisation: str) -> int:
        return len(self._running_by_organisation.get(organisation, ()))

    def _holds_most(self, organisation: str, slots: int) -> bool:
        held = self._held(organisation)
        if held * LARGE_PART < slots:
            return False
        others = self._running_by_organisation
        return all(held >= self._held(other) for other in others)

    def _held_by_slow(self) -> int:
        return sum(
            len(running)
            for organisation, running in self._running_by_organisation.items()
            if running and self._is_slow(organisation)
        )

    def _is_slow(self, organisation: str) -> bool:
        slowest = self._durations.of(organisation)
        now = self._clock.now()
        for started in self._running_by_organisation.get(organisation, {}).values():
            slowest = max(slowest, now - started)
        return self._is_long(organisation, slowest)

    def _is_long(self, organisation: str, duration: Millis) -> bool:
        if duration <= SLOW_FLOOR:
            return False
        usual = self._durations.median_of_others(organisation)
        return usual is not None and duration > SLOW_FACTOR * usual
