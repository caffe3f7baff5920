"""Whether a request may wait at an upstream that has no slot free.

The load answered here: more requests than slots. A request that would wait so long
that its answer came after its time is refused at once, with the time after which
there is likely room; the less urgent ones are refused earlier.
"""

from __future__ import annotations

from lagoonlatch.clock import Millis
from lagoonlatch.steering.model import Route
from lagoonlatch.steering.placement import Place

DURATION_MEMORY = 0.05
"""Weight of the newest duration in the moving average."""

MOST_WAITING = 2.0
"""Requests queued at an upstream, as a multiple of its slots; it sheds beyond."""

SHORTEST_RETRY: Millis = 200.0
LONGEST_RETRY: Millis = 2_000.0
"""Bounds of the time after which a refused caller is told to come back."""


class Admission:
    """Refuses what would come too late."""

    def __init__(self) -> None:
        self._duration_by_service: dict[str, Millis] = {}

    def note_duration(self, service: str, duration: Millis) -> None:
        """Take in how long an answered request took."""
        known = self._duration_by_service.get(service, duration)
        self._duration_by_service[service] = (
            known + (duration - known) * DURATION_MEMORY
        )

    def refuse_for(
        self, route: Route, place: Place, time_left: Millis
    ) -> Millis | None:
        """Return when to come back if the request is refused, None if admitted."""
        if place.waiting <= 0.0:
            return None
        service = place.upstream.record.service
        duration = self._duration_by_service.get(service, route.goal)
        wait = place.waiting * duration
        if place.waiting <= MOST_WAITING and wait + duration < time_left:
            return None
        return min(max(wait, SHORTEST_RETRY), LONGEST_RETRY)
