"""Rate limit for requests to upstreams that have just started.

A cold upstream can handle few requests a second from all VMs together and crashes
under more. All VMs choose the same few senders by rendezvous hashing. Each sender uses
an equal part of that rate, and the other VMs send nothing.

The choice must consider all VMs that may send. After an outage of the store, entries of
running VMs may be missing, and a VM that has just started hasn't received heartbeats of
the others yet. At such times all VMs of the roster count, which has no lease. Some of
them may be gone, so that fewer VMs send for a short time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.membership.rendezvous import ranked
from lagoonlatch.steering.model import Service
from lagoonlatch.steering.upstreams import UpstreamState

MAX_SENDERS = 4
"""VMs that send to one cold upstream; enough for one of them to be near its callers."""

USED_FRACTION = 0.5
"""Fraction of the allowed rate that is used, since for a short time VMs may disagree on
the senders."""


class ColdStartLimiter:
    """Limits the requests of one VM to cold upstreams.

    Parameters
    ----------
    own_id : str
        Id of this VM.
    list_present : callable
        Returns the ids of the VMs that have an entry or send heartbeats.
    list_roster : callable
        Returns the ids of all VMs that have ever registered.
    may_miss_vms : callable
        Returns whether VMs that this VM doesn't know of may be present.
    """

    def __init__(
        self,
        own_id: str,
        list_present: Callable[[], Iterable[str]],
        list_roster: Callable[[], Iterable[str]],
        may_miss_vms: Callable[[], bool],
        clock: Clock,
    ) -> None:
        self._own_id = own_id
        self._list_present = list_present
        self._list_roster = list_roster
        self._may_miss_vms = may_miss_vms
        self._clock = clock
        self._services_by_id: Mapping[str, Service] = {}
        self._next_request_at_by_upstream: dict[str, Millis] = {}

    def configure(self, services_by_id: Mapping[str, Service]) -> None:
        """Apply a new configuration."""
        self._services_by_id = services_by_id

    def consume(self, upstream: UpstreamState) -> bool:
        """Return whether a request may be sent to a cold upstream now, and count it."""
        now = self._clock.now()
        upstream_id = upstream.record.id
        if now < self._next_request_at_by_upstream.get(upstream_id, now):
            return False
        rate = self._own_rate(upstream)
        if rate <= 0.0:
            return False
        self._next_request_at_by_upstream[upstream_id] = now + MILLIS_PER_SECOND / rate
        # Removes old times now and then, so that they don't accumulate.
        if len(self._next_request_at_by_upstream) > 1_000:
            self._prune(now)
        return True

    def wait(self, upstream: UpstreamState) -> Millis | None:
        """Return how long this VM may send nothing; None if it is no sender."""
        if self._own_rate(upstream) <= 0.0:
            return None
        now = self._clock.now()
        next_at = self._next_request_at_by_upstream.get(upstream.record.id, now)
        return max(next_at - now, 0.0)

    def _own_rate(self, upstream: UpstreamState) -> float:
        """Return the requests a second that this VM may send to a cold upstream."""
        service = self._services_by_id.get(upstream.record.service)
        if service is None or service.cold_rate <= 0.0:
            return 0.0
        senders = ranked(upstream.record.id, self._candidates())[:MAX_SENDERS]
        if self._own_id not in senders:
            return 0.0
        return service.cold_rate * USED_FRACTION / len(senders)

    def _candidates(self) -> set[str]:
        candidates = {*self._list_present(), self._own_id}
        if self._may_miss_vms():
            candidates.update(self._list_roster())
        return candidates

    def _prune(self, now: Millis) -> None:
        self._next_request_at_by_upstream = {
            upstream_id: instant
            for upstream_id, instant in self._next_request_at_by_upstream.items()
            if instant > now
        }
