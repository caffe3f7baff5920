"""Time in milliseconds: the clock of a process and hybrid logical stamps."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TypeAlias

import gevent

Millis: TypeAlias = float
"""A duration or an instant in milliseconds."""

MILLIS_PER_SECOND = 1000.0


class Clock:
    """The clock of one process.

    `now` counts from an arbitrary origin, never steps back and goes on while the
    process or its machine is suspended, so that leases end during a pause.
    """

    def now(self) -> Millis:
        """Return the milliseconds since an arbitrary origin."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MILLIS_PER_SECOND

    def wall(self) -> Millis:
        """Return the milliseconds since the Unix epoch; it may step."""
        return time.time() * MILLIS_PER_SECOND

    def sleep(self, duration: Millis) -> None:
        """Let other tasks run for `duration` milliseconds."""
        gevent.sleep(max(duration, 0.0) / MILLIS_PER_SECOND)


@dataclass(frozen=True, order=True)
class Stamp:
    """A hybrid logical stamp that orders events of many processes.

    Parameters
    ----------
    millis : int
        Wall-clock milliseconds, the highest seen so far.
    counter : int
        Orders the events of one millisecond.
    """

    millis: int
    counter: int


class HybridClock:
    """Issues stamps that never go back and follow the stamps received."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._last = Stamp(0, 0)

    def tick(self) -> Stamp:
        """Return the stamp of a local event."""
        return self._advance(self._last)

    def observe(self, received: Stamp) -> Stamp:
        """Return a stamp later than `received` and all earlier ones."""
        return self._advance(max(self._last, received))

    def _advance(self, floor: Stamp) -> Stamp:
        wall = int(self._clock.wall())
        if wall > floor.millis:
            self._last = Stamp(wall, 0)
        else:
            self._last = Stamp(floor.millis, floor.counter + 1)
        return self._last
