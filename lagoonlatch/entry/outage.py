"""Detect outages of the store, during which entries may lapse.

Entries lapse only if the store answers no VM; it may also fail for one VM alone.
Therefore each VM reports to the others how long ago the store answered it or a VM that
it has heard from. Only a time without an answer to any VM counts as an outage.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from lagoonlatch.clock import Clock, Millis

MIN_OUTAGE: Millis = 1_000.0
"""Shortest time without an answer that counts as an outage; entries may lapse in a
longer one."""

OUTAGE_MEMORY: Millis = 5_000.0
"""How long after its end an outage is still considered possible, since other VMs may
report late that entries lapsed in it."""


class OutageDetector:
    """Track the outcomes of this VM's calls to the store and the reports of other VMs.

    Parameters
    ----------
    on_outage : callable
        Is called at each failure during an outage, and at the end of the outage.
    """

    def __init__(self, on_outage: Callable[[], None], clock: Clock) -> None:
        self._on_outage = on_outage
        self._clock = clock
        self._failing_since: Millis | None = None
        self._last_own_success: Millis = 0.0
        self._last_success: Millis = -math.inf
        self._outage_ended: Millis = -math.inf

    def note_failure(self, sent: Millis) -> None:
        """Record the failure of a call that was sent at the time `sent`."""
        if sent < self._last_own_success:
            # The call was sent before the last success, so it hung in an outage that is
            # over.
            return
        if self._failing_since is None:
            self._failing_since = sent
        self._report_if_long()

    def note_success(self) -> None:
        """Record that the store has answered a call of this VM."""
        self._last_own_success = self._clock.now()
        if self._failing_since is not None:
            self._report_if_long()
            self._failing_since = None
        self._note_any_success(self._last_own_success)

    def note_peer_success(self, age: Millis) -> None:
        """Record how long ago the store answered another VM."""
        if age >= 0.0:
            self._note_any_success(self._clock.now() - age)

    def last_success_age(self) -> Millis | None:
        """Return how long ago the store answered any VM; None if that isn't known."""
        if self._last_success == -math.inf:
            return None
        return self._clock.now() - self._last_success

    def is_outage_possible(self) -> bool:
        """Return whether this VM considers a current or recent outage possible."""
        now = self._clock.now()
        return (
            now - self._last_success > MIN_OUTAGE
            or now - self._outage_ended < OUTAGE_MEMORY
        )

    def _note_any_success(self, at: Millis) -> None:
        if at - self._last_success > MIN_OUTAGE:
            self._outage_ended = at
        self._last_success = max(self._last_success, at)

    def _report_if_long(self) -> None:
        if self._failing_since is None:
            return
        start = max(self._failing_since, self._last_success)
        if self._clock.now() - start > MIN_OUTAGE:
            self._on_outage()
