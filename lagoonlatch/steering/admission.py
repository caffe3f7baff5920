"""How long a request may wait for a slot, and when a refused one should come back.

The load answered here: more requests than slots. Work that is cut at its timeout is
lost and leaves the next request as slow, so a request is sent only while there is
time to finish it; one that would wait too long is refused at once.
"""

from __future__ import annotations

import random
from collections.abc import Sequence

from lagoonlatch.clock import Millis
from lagoonlatch.steering.model import Route

DURATION_FALL = 0.1
DURATION_RISE = 0.01
"""Weights of the newest duration below and above the estimate, which so stays near the
time that a request takes where its object is known."""

SHORTEST_WAIT: Millis = 75.0
"""A slot may always be waited for so long: loads told by upstreams are as old."""

STAY = 2.0
"""Durations that a request rather waits for an upstream that knows its object; at one
that doesn't it takes several of them."""

SHORTEST_RETRY: Millis = 200.0
LONGEST_RETRY: Millis = 2_000.0
"""Bounds of the time after which a refused caller is told to come back."""

RETURN_SPREAD: Millis = 1_000.0
"""Time over which callers of an upstream that returns are spread; a few requests'
durations."""


class Admission:
    """Learns how long requests take and bounds their waiting."""

    def __init__(self) -> None:
        self._duration_by_route: dict[str, Millis] = {}

    def note_duration(self, route: str, duration: Millis) -> None:
        """Take in how long an answered request took at its upstream."""
        known = self._duration_by_route.get(route, duration)
        weight = DURATION_FALL if duration < known else DURATION_RISE
        self._duration_by_route[route] = known + (duration - known) * weight

    def longest_wait(self, route: Route, time_left: Millis) -> Millis:
        """Return how long a request may wait for a slot; 0 to refuse it now."""
        duration = self._duration_by_route.get(route.id, 0.0)
        if duration > time_left:
            return 0.0
        in_goal = max(route.goal - duration, SHORTEST_WAIT)
        return min(in_goal, time_left - duration)

    def affinity_wait(self, route: Route) -> Millis:
        """Return how long a request rather waits than goes where it takes longer."""
        return self._duration_by_route.get(route.id, route.goal) * STAY

    def expected_wait(self, route: Route, ahead: int, slots: float) -> Millis:
        """Return how long `ahead` requests take to leave `slots` that they share."""
        duration = self._duration_by_route.get(route.id, 0.0)
        return ahead * duration / slots

    def retry_delay(self, route: Route) -> Millis:
        """Return after which time a refused caller is likely to find room."""
        duration = self._duration_by_route.get(route.id, route.goal)
        return min(max(duration, SHORTEST_RETRY), LONGEST_RETRY)


def retry_delay_after_rest(rests: Sequence[Millis]) -> Millis:
    """Return when a caller should come back to upstreams that all want nothing.

    The load answered here: all callers of a service at once. Each is sent to the
    return of one upstream, so that they come as the upstreams do, and somewhat later,
    so that those of one upstream don't come together.

    Parameters
    ----------
    rests : sequence of Millis
        How long each upstream wants nothing; not empty.
    """
    return random.choice(rests) + random.uniform(0.0, RETURN_SPREAD)
