"""How long a request may wait for a slot, and when a refused caller should retry.

Under overload there are more requests than slots. A request that is aborted at its
timeout has wasted the work of the upstream, and its retry takes just as long. A request
is therefore sent only while there is time to finish it, and is refused at once if it
would wait too long.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from lagoonlatch.clock import Millis
from lagoonlatch.steering.model import Route
from lagoonlatch.steering.placement import Candidates, Placement, PlacementRequest
from lagoonlatch.steering.upstreams import UpstreamState

DECREASE_WEIGHT = 0.1
INCREASE_WEIGHT = 0.01
"""Weights of a new duration below and above the estimate. The estimate thereby stays
near the duration of requests whose object the upstream remembers."""

MIN_WAIT: Millis = 75.0
"""A request with enough time left may wait this long for a slot even if it then misses
its goal, because the loads that upstreams report may be this old."""

AFFINITY_WAIT_FACTOR = 2.0
"""A request waits for an upstream that remembers its object for this many times its
usual duration at most; at another upstream it takes several times as long."""

MIN_RETRY_DELAY: Millis = 200.0
MAX_RETRY_DELAY: Millis = 2_000.0
"""Bounds of the delay after which a refused caller is told to retry."""

RETRY_JITTER: Millis = 1_000.0
"""Period over which the retries of callers are spread when an upstream accepts requests
again; a few times the duration of a request."""


@dataclass(frozen=True, kw_only=True)
class SlotRefusal:
    """Why a request gets no slot, and when its caller should retry."""

    reason: str
    retry_delay: Millis


class Admission:
    """Estimates the duration of requests and limits how long they wait."""

    def __init__(self) -> None:
        self._duration_by_route: dict[str, Millis] = {}

    def note_duration(self, route_id: str, duration: Millis) -> None:
        """Update the estimate with the duration of an answered request."""
        estimate = self._duration_by_route.get(route_id, duration)
        weight = DECREASE_WEIGHT if duration < estimate else INCREASE_WEIGHT
        self._duration_by_route[route_id] = estimate + (duration - estimate) * weight

    def longest_wait(self, route: Route, time_left: Millis) -> Millis:
        """Return how long a request may wait for a slot; 0 to refuse it now."""
        duration = self._duration_by_route.get(route.id, 0.0)
        if duration > time_left:
            return 0.0
        wait_in_goal = max(route.goal - duration, MIN_WAIT)
        return min(wait_in_goal, time_left - duration)

    def affinity_wait(self, route: Route) -> Millis:
        """Return how long a request waits for an upstream that remembers its object."""
        return self._duration_by_route.get(route.id, route.goal) * AFFINITY_WAIT_FACTOR

    def expected_wait(self, route: Route, ahead: int, slots: float) -> Millis:
        """Return the time until `ahead` requests have been served by `slots`."""
        duration = self._duration_by_route.get(route.id, 0.0)
        return ahead * duration / slots

    def expected_wait_at(self, route: Route, upstream: UpstreamState) -> Millis:
        """Return how long a request of `route` probably waits for `upstream`."""
        slot_wait = self.expected_wait(
            route, upstream.reported_ahead(), upstream.record.slots
        )
        return max(slot_wait, upstream.expected_limit_wait())

    def expected_wait_for(self, route: Route, candidates: Candidates) -> Millis:
        """Return how long a request of `route` probably waits for a slot.

        The first candidate without a rate limit decides; if all have one, the one
        whose limit allows the request first.
        """
        first = candidates.first_to_wait_for()
        if first.rate_limit is None:
            return self.expected_wait_at(route, first)
        return min(self.expected_wait_at(route, u) for u in candidates.upstreams)

    def refuse(
        self, route: Route, request: PlacementRequest, placement: Placement
    ) -> SlotRefusal:
        """Return how a request that gets no slot is refused."""
        rest_times = placement.rest_times(request)
        if rest_times:
            delay = retry_delay_after_rest(rest_times)
            return SlotRefusal(reason="upstreams rest", retry_delay=delay)
        limit_waits = placement.limit_waits(request)
        if limit_waits:
            delay = retry_delay_after_limit(limit_waits)
            return SlotRefusal(reason="upstreams limited", retry_delay=delay)
        return SlotRefusal(reason="no room", retry_delay=self.retry_delay(route))

    def retry_delay(self, route: Route) -> Millis:
        """Return the delay after which a refused caller is likely to be accepted."""
        duration = self._duration_by_route.get(route.id, route.goal)
        return min(max(duration, MIN_RETRY_DELAY), MAX_RETRY_DELAY)


def retry_delay_after_rest(rests: Sequence[Millis]) -> Millis:
    """Return when a caller should retry if all upstreams have asked for a rest.

    All callers of a service may be refused together. Each is told to retry at the end
    of one upstream's rest, so that the load returns as the upstreams do. A random extra
    delay keeps the callers of one upstream from retrying together.

    Parameters
    ----------
    rests : sequence of Millis
        Remaining rest of each upstream; not empty.
    """
    return random.choice(rests) + random.uniform(0.0, RETRY_JITTER)


def retry_delay_after_limit(waits: Sequence[Millis]) -> Millis:
    """Return when a caller should retry if all upstreams have a rate limit.

    The callers of a service may be refused in large numbers. Each is told to retry when
    the limit of one upstream allows another request, at a random time of the period
    over which the requests that wait there are served.

    Parameters
    ----------
    waits : sequence of Millis
        Time until the limit of each upstream allows the next request; not empty.
    """
    wait = min(max(random.choice(waits), MIN_RETRY_DELAY), MAX_RETRY_DELAY)
    return wait + random.uniform(0.0, max(wait, RETRY_JITTER))
