"""How often requests may be sent to a second upstream.

The load answered here: when a service fails, each repeat adds to what it fails under.
Repeats are bounded by a part of the requests of the last seconds, which each VM
counts for itself, and by a slack that the VMs share evenly.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable

from lagoonlatch.clock import Clock, Millis

USED_PART = 0.8
"""Part of the allowed repeats that is used; the windows of the VMs don't coincide."""


class RetryBudget:
    """The repeats of one VM, by service.

    Parameters
    ----------
    ratio : float
        Repeats per request.
    slack : float
        Repeats beyond that, over all VMs.
    window : Millis
        In any span of this length.
    count_vms : callable
        Returns the number of VMs that share the slack.
    """

    def __init__(
        self,
        ratio: float,
        slack: float,
        window: Millis,
        count_vms: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._ratio = ratio * USED_PART
        self._slack = slack * USED_PART
        self._window = window
        self._count_vms = count_vms
        self._clock = clock
        self._requests_by_service: dict[str, deque[Millis]] = defaultdict(deque)
        self._repeats_by_service: dict[str, deque[Millis]] = defaultdict(deque)

    def note_request(self, service: str) -> None:
        """Count a request for `service`."""
        self._requests_by_service[service].append(self._clock.now())

    def consume(self, service: str) -> bool:
        """Take one repeat; return whether there was one left."""
        now = self._clock.now()
        requests = self._recent(self._requests_by_service[service], now)
        repeats = self._recent(self._repeats_by_service[service], now)
        allowed = len(requests) * self._ratio + self._slack / max(self._count_vms(), 1)
        if len(repeats) + 1 > allowed:
            return False
        repeats.append(now)
        return True

    def _recent(self, instants: deque[Millis], now: Millis) -> deque[Millis]:
        while instants and instants[0] < now - self._window:
            instants.popleft()
        return instants
