"""A clock that tests set by hand."""

from __future__ import annotations

import gevent

from lagoonlatch.clock import Clock, Millis


class ManualClock(Clock):
    """A clock that moves only when told to; `sleep` moves it.

    Parameters
    ----------
    start : Millis
        The first value of `now` and `wall`.
    """

    def __init__(self, start: Millis = 1_000_000.0) -> None:
        self._now = start
        self._wall_offset = 0.0

    def now(self) -> Millis:
        """Return the time set so far."""
        return self._now

    def wall(self) -> Millis:
        """Return the time set so far, shifted by `step_wall`."""
        return self._now + self._wall_offset

    def sleep(self, duration: Millis) -> None:
        """Advance by `duration` and let other tasks run."""
        self.advance(max(duration, 0.0))
        gevent.sleep(0)

    def advance(self, duration: Millis) -> None:
        """Move the clock by `duration` milliseconds."""
        assert duration >= 0, f"a clock can't go back by {duration} ms"
        self._now += duration

    def step_wall(self, offset: Millis) -> None:
        """Step the wall clock alone, forwards or backwards."""
        self._wall_offset += offset
