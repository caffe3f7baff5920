"""Notices outages of the store, during which entries may lapse.

The store may turn away one VM, or be cut off from it, while it serves the others; then
nothing lapses. So each VM tells the others when the store last answered a VM that it
knows of, and only a time in which it answered nobody counts as an outage.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from lagoonlatch.clock import Clock, Millis

OUTAGE: Millis = 1_000.0
"""A store that has failed for so long may have let entries lapse."""

REMEMBERED: Millis = 5_000.0
"""So long after an outage other VMs may still tell of entries that lapsed in it."""


class OutageDetector:
    """Watches the outcomes of all calls of this VM, and what others tell of theirs.

    Parameters
    ----------
    note_outage : callable
        Is called while an outage lasts, at each further failure, and at its end.
    """

    def __init__(self, note_outage: Callable[[], None], clock: Clock) -> None:
        self._note_outage = note_outage
        self._clock = clock
        self._since: Millis | None = None
        self._answered: Millis = 0.0
        self._served: Millis = -math.inf
        self._gap_ended: Millis = -math.inf

    def note_failure(self, sent: Millis) -> None:
        """Count a call, sent at the instant `sent`, that failed."""
        if sent < self._answered:
            # It hung in an outage that another call has seen the end of.
            return
        if self._since is None:
            self._since = sent
        self._note_if_long()

    def note_success(self) -> None:
        """Count a call that was answered."""
        self._answered = self._clock.now()
        if self._since is not None:
            self._note_if_long()
            self._since = None
        self._note_answer(self._answered)

    def note_peer_success(self, age: Millis) -> None:
        """Take in how long ago the store answered another VM."""
        if age >= 0.0:
            self._note_answer(self._clock.now() - age)

    def last_success_age(self) -> Millis | None:
        """Return how long ago the store answered any VM; None if it isn't known."""
        if self._served == -math.inf:
            return None
        return self._clock.now() - self._served

    def outage_is_possible(self) -> bool:
        """Return whether, as far as this VM knows, an outage was lately possible."""
        now = self._clock.now()
        return now - self._served > OUTAGE or now - self._gap_ended < REMEMBERED

    def _note_answer(self, at: Millis) -> None:
        if at - self._served > OUTAGE:
            self._gap_ended = at
        self._served = max(self._served, at)

    def _note_if_long(self) -> None:
        if self._since is None:
            return
        start = max(self._since, self._served)
        if self._clock.now() - start > OUTAGE:
            self._note_outage()
