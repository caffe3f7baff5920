"""Requests for upstreams that have just started.

The load answered here: a cold upstream bears few requests a second from all VMs
together and crashes under more. A few VMs, the same ones in the view of all, each
send a part of that rate; the others send nothing.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.membership.rendezvous import ranked
from lagoonlatch.steering.model import Service
from lagoonlatch.steering.upstreams import UpstreamState

SENDERS = 4
"""VMs that send to one cold upstream; enough that one of them is near its callers."""

USED_PART = 0.5
"""Part of the allowed rate that is used; VMs may differ for a while in who sends."""


class ColdStartLimiter:
    """A VM's part of what cold upstreams bear.

    Parameters
    ----------
    vm : str
        Id of this VM.
    list_vms : callable
        Returns the ids of the live VMs.
    """

    def __init__(
        self, vm: str, list_vms: Callable[[], Iterable[str]], clock: Clock
    ) -> None:
        self._vm = vm
        self._list_vms = list_vms
        self._clock = clock
        self._services_by_id: Mapping[str, Service] = {}
        self._next_by_id: dict[str, Millis] = {}

    def configure(self, services_by_id: Mapping[str, Service]) -> None:
        """Follow the configuration."""
        self._services_by_id = services_by_id

    def consume(self, upstream: UpstreamState) -> bool:
        """Take one request for a cold upstream; return whether it may be sent."""
        now = self._clock.now()
        upstream_id = upstream.record.id
        service = self._services_by_id.get(upstream.record.service)
        if service is None or service.cold_rate <= 0.0:
            return False
        if now < self._next_by_id.get(upstream_id, now):
            return False
        senders = ranked(upstream_id, {*self._list_vms(), self._vm})[:SENDERS]
        if self._vm not in senders:
            return False
        rate = service.cold_rate * USED_PART / len(senders)
        self._next_by_id[upstream_id] = now + MILLIS_PER_SECOND / rate
        if len(self._next_by_id) > 1_000:
            self._prune(now)
        return True

    def _prune(self, now: Millis) -> None:
        self._next_by_id = {
            upstream_id: when
            for upstream_id, when in self._next_by_id.items()
            if when > now
        }
