"""Notices outages of the store, during which entries may lapse."""

from __future__ import annotations

from collections.abc import Callable

from lagoonlatch.clock import Clock, Millis

OUTAGE: Millis = 1_000.0
"""A store that has failed for so long may have let entries lapse."""


class OutageMeter:
    """Watches the outcomes of all calls of this VM.

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

    def _note_if_long(self) -> None:
        if self._since is not None and self._clock.now() - self._since > OUTAGE:
            self._note_outage()
