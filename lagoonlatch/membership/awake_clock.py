"""A clock that stands still while the process was suspended."""

from __future__ import annotations

from lagoonlatch.clock import Clock, Millis


class AwakeClock:
    """Time during which this process could have heard the others.

    A process that was stopped for a minute has heard nobody for a minute; that says
    nothing of the others. A gap between two calls of `now` longer than `longest_gap`
    counts as `longest_gap`. Only for suspicion, never for leases.

    Parameters
    ----------
    clock : Clock
        The process's clock.
    longest_gap : Millis
        `now` must be called more often than this by a running process.
    """

    def __init__(self, clock: Clock, longest_gap: Millis) -> None:
        self._clock = clock
        self._longest_gap = longest_gap
        self._seen = clock.now()
        self._asleep: Millis = 0.0

    def now(self) -> Millis:
        """Return the time less the gaps."""
        now = self._clock.now()
        gap = now - self._seen
        self._seen = now
        if gap > self._longest_gap:
            self._asleep += gap - self._longest_gap
        return now - self._asleep
