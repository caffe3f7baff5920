"""Pacing of upstreams that have just started or have left suspicion.

Such an upstream may be slow or take few requests, and nobody knows how many. Its
responses decide: the number of concurrent requests starts at 1, rises with each timely
response and is halved by a rejection, a failure or a slow response. Each VM paces its
own requests, of which it knows every outcome. The home VM of the upstream paces the
requests of all VMs together, which it knows from their counts of slots.
"""

from __future__ import annotations

import math
import random
import statistics
from collections import defaultdict, deque
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING

from lagoonlatch.clock import Clock, Millis

if TYPE_CHECKING:
    from lagoonlatch.steering.upstreams import UpstreamState

SLOW_FACTOR = 3.0
"""A response is slow if it takes more than this many times the median duration on warm
upstreams. A request for an object that an upstream doesn't remember takes about three
times as long as others, and an upstream that has just started remembers none."""

MAX_IDLE: Millis = 2_000.0
"""If nothing has been sent to a paced upstream for this long, the duration of some
requests, one request is allowed whatever the pace."""

MIN_IDLE: Millis = 0.5 * MAX_IDLE
"""Shortest such time. It is random, since VMs that were rejected together would
otherwise send their next requests together."""

UNUSED_LIFETIME: Millis = 10_000.0
"""A pace ends if nothing has been sent for this long, so that a VM which sends nothing
to an upstream, or becomes its home VM later, doesn't pace it long after its start."""

MEDIAN_WINDOW = 63
"""Number of durations of a route from which its median is calculated."""

MIN_MEDIAN_SAMPLES = 5
"""With fewer durations of a route, none of its responses counts as slow."""

MIN_HOLD_FRACTION = 0.5
"""A slot that was held for less than this fraction of the shortest median was probably
rejected, or its claim was refused, so it doesn't raise the pace of the home VM."""

HOME_DELAY: Millis = 100.0
"""How much longer than the request its slot is held, as the home VM sees it; a claim
and a count cross the farthest regions in 70 ms."""


class PaceOutcome(Enum):
    """What the end of a request says of an upstream's pace."""

    TIMELY = "timely"
    SLOW = "slow"
    FAILED = "failed"
    """The request was rejected or failed."""


class UpstreamPace:
    """Bound on the concurrent requests at one upstream.

    Parameters
    ----------
    slots : int
        Slots of the upstream; pacing ends once the bound exceeds them.

    Attributes
    ----------
    limit : int
        Bound that the responses so far have set.
    requests : int
        Requests whose outcome is known.
    decreases : int
        How often the limit was lowered.
    """

    def __init__(self, slots: int, clock: Clock) -> None:
        self.limit = 1
        self.requests = 0
        self.decreases = 0
        self._slots = slots
        self._clock = clock
        self._started_at = self._last_sent_at = clock.now()
        self._decreased_at: Millis = -math.inf
        self._idle_time = MAX_IDLE

    @property
    def is_ended(self) -> bool:
        """Whether the limit has exceeded the slots."""
        return self.limit > self._slots

    def age(self) -> Millis:
        """Return how long ago pacing started."""
        return self._clock.now() - self._started_at

    def is_unused(self, cold_until: Millis) -> bool:
        """Return whether nothing has been sent for `UNUSED_LIFETIME`.

        Time before `cold_until` doesn't count, since few VMs send to cold upstreams.
        """
        unused_since = max(self._last_sent_at, cold_until)
        return self._clock.now() - unused_since >= UNUSED_LIFETIME

    def bound(self, in_flight: int) -> int:
        """Return how many requests may be at the upstream if `in_flight` are there."""
        if in_flight < self.limit:
            return self.limit
        is_idle = self._clock.now() - self._last_sent_at >= self._idle_time
        return in_flight + 1 if is_idle else self.limit

    def note_sent(self) -> None:
        """Record that a request is sent."""
        self._last_sent_at = self._clock.now()

    def note_outcome(self, outcome: PaceOutcome, sent_at: Millis) -> None:
        """Adapt the limit to the outcome of a request that was sent at `sent_at`.

        The requests that were in flight at a decrease have met the same condition, so
        they lower the limit no further. An upstream that serves requests slowly gets at
        least one at a time; one that rejects them gets one after `MAX_IDLE`.
        """
        if sent_at < self._started_at or self.is_ended:
            return
        self.requests += 1
        if outcome is PaceOutcome.TIMELY:
            self.limit += 1
        elif sent_at > self._decreased_at:
            lowest = 1 if outcome is PaceOutcome.SLOW else 0
            self.limit = max(self.limit // 2, lowest)
            self.decreases += 1
            self._decreased_at = self._clock.now()
            self._idle_time = random.uniform(MIN_IDLE, MAX_IDLE)


class WarmDurations:
    """Durations of recent requests at upstreams that are neither cold nor paced."""

    def __init__(self) -> None:
        self._durations_by_route: defaultdict[str, dict[str, deque[Millis]]] = (
            defaultdict(dict)
        )

    def note(self, service: str, route: str, duration: Millis) -> None:
        """Record the duration of a request of `route` at an upstream of `service`."""
        durations_by_route = self._durations_by_route[service]
        durations = durations_by_route.get(route)
        if durations is None:
            durations = durations_by_route[route] = deque(maxlen=MEDIAN_WINDOW)
        durations.append(duration)

    def is_slow(self, service: str, route: str, duration: Millis) -> bool:
        """Return whether a request took long for its route; False if that's unknown."""
        median = _median(self._durations_by_route[service].get(route, ()))
        return median is not None and duration > SLOW_FACTOR * median

    def median_range(self, service: str) -> tuple[Millis, Millis] | None:
        """Return the lowest and highest median of the routes; None if unknown."""
        medians = [
            median
            for durations in self._durations_by_route[service].values()
            if (median := _median(durations)) is not None
        ]
        return (min(medians), max(medians)) if medians else None


def note_served(
    upstream: UpstreamState,
    durations: WarmDurations,
    route: str,
    sent_at: Millis,
    duration: Millis,
) -> None:
    """Record a response of an upstream that has run this VM's request."""
    service = upstream.record.service
    if upstream.pace is not None:
        is_slow = durations.is_slow(service, route, duration)
        outcome = PaceOutcome.SLOW if is_slow else PaceOutcome.TIMELY
        upstream.pace.note_outcome(outcome, sent_at)
    elif not upstream.is_cold():
        durations.note(service, route, duration)


def note_failed(upstream: UpstreamState, sent_at: Millis) -> None:
    """Record that an upstream has rejected or failed a request of this VM.

    At the home VM this also lowers the pace of all VMs: their counts don't show it.
    """
    for pace in (upstream.pace, upstream.home_pace):
        if pace is not None:
            pace.note_outcome(PaceOutcome.FAILED, sent_at)


class HomePace(UpstreamPace):
    """Bound on the concurrent requests of all VMs, kept by an upstream's home VM."""

    def __init__(self, slots: int, clock: Clock) -> None:
        super().__init__(slots, clock)
        self._hold_starts_by_vm: dict[str, deque[Millis]] = {}

    def note_count(
        self, vm: str, in_flight: int, medians: tuple[Millis, Millis] | None
    ) -> None:
        """Apply a VM's number of requests, which shows that some began or ended.

        Parameters
        ----------
        medians : tuple of (Millis, Millis), optional
            Lowest and highest median duration of the service's routes. The route of a
            request isn't known here, nor whether it was rejected.
        """
        now = self._clock.now()
        starts = self._hold_starts_by_vm.setdefault(vm, deque())
        while len(starts) < in_flight:
            starts.append(now)
            self.note_sent()
        while len(starts) > in_flight:
            started = starts.popleft()
            lowest, highest = medians or (0.0, math.inf)
            if now - started > SLOW_FACTOR * highest + HOME_DELAY:
                self.note_outcome(PaceOutcome.SLOW, started)
            elif now - started >= MIN_HOLD_FRACTION * lowest:
                self.note_outcome(PaceOutcome.TIMELY, started)
        if not starts:
            del self._hold_starts_by_vm[vm]


class HomePacing:
    """Paces the upstreams whose home VM is this VM.

    Parameters
    ----------
    find_upstream : callable
        Returns the upstream with an id, or None.
    """

    def __init__(
        self,
        find_upstream: Callable[[str], UpstreamState | None],
        durations: WarmDurations,
    ) -> None:
        self._find_upstream = find_upstream
        self._durations = durations

    def bound(self, upstream_id: str, in_flight: int) -> int | None:
        """Return how many requests all VMs may have there; None without a pace.

        While an upstream is cold, `ColdStartLimiter` bounds its rate for all VMs.
        """
        upstream = self._find_upstream(upstream_id)
        if upstream is None or upstream.home_pace is None or upstream.is_cold():
            return None
        return upstream.home_pace.bound(in_flight)

    def note_count(self, upstream_id: str, vm: str, in_flight: int) -> None:
        """Record how many requests a VM has at an upstream."""
        upstream = self._find_upstream(upstream_id)
        if upstream is not None and upstream.home_pace is not None:
            medians = self._durations.median_range(upstream.record.service)
            upstream.home_pace.note_count(vm, in_flight, medians)


def _median(durations: deque[Millis] | tuple[()]) -> Millis | None:
    if len(durations) < MIN_MEDIAN_SAMPLES:
        return None
    return statistics.median(durations)
