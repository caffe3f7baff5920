"""Limit on retries, which send a request to a second upstream.

When a service fails under load, each retry adds to that load. Retries are therefore
limited to a fraction of the requests of the last seconds, which each VM counts itself,
plus a fixed number that the VMs share evenly.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Callable

from lagoonlatch.clock import Clock, Millis

USED_FRACTION = 0.8
"""Fraction of the allowed retries that is used, since the windows of the VMs aren't
aligned."""


class RetryBudget:
    """Limits the retries of one VM for each service.

    Parameters
    ----------
    retries_per_request : float
        Allowed retries per request.
    extra_retries : float
        Retries allowed in addition, by all VMs together, in one window.
    window : Millis
        Length of the sliding window in which the limit holds.
    count_vms : callable
        Returns the number of VMs that share the extra retries.
    """

    def __init__(
        self,
        retries_per_request: float,
        extra_retries: float,
        window: Millis,
        count_vms: Callable[[], int],
        clock: Clock,
    ) -> None:
        self._retries_per_request = retries_per_request * USED_FRACTION
        self._extra_retries = extra_retries * USED_FRACTION
        self._window = window
        self._count_vms = count_vms
        self._clock = clock
        self._requests_by_service: dict[str, deque[Millis]] = defaultdict(deque)
        self._retries_by_service: dict[str, deque[Millis]] = defaultdict(deque)

    def note_request(self, service: str) -> None:
        """Count a request for `service`."""
        self._requests_by_service[service].append(self._clock.now())

    def consume(self, service: str) -> bool:
        """Use one retry; return False if none is left."""
        now = self._clock.now()
        requests = self._keep_recent(self._requests_by_service[service], now)
        retries = self._keep_recent(self._retries_by_service[service], now)
        allowed = len(requests) * self._retries_per_request + self._extra_retries / max(
            self._count_vms(), 1
        )
        if len(retries) + 1 > allowed:
            return False
        retries.append(now)
        return True

    def refund(self, service: str) -> None:
        """Give back the latest retry, which reached no upstream."""
        retries = self._keep_recent(
            self._retries_by_service[service], self._clock.now()
        )
        if retries:
            retries.pop()

    def _keep_recent(self, instants: deque[Millis], now: Millis) -> deque[Millis]:
        while instants and instants[0] < now - self._window:
            instants.popleft()
        return instants
