"""Each organisation's rate and burst over all VMs, divided among them.

The load answered here: an organisation's callers ask many VMs at once, unevenly. Each
VM holds an even part of the rate and of the burst. What a VM has left over it can
hand to another one; tokens are taken off before they are sent, so that a lost message
loses tokens and never doubles them.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.steering.model import Organisation

FIRST_LEVEL: Millis = 100.0
"""A VM that starts during the day begins with what its rate brings in this time."""

NO_RATE_RETRY: Millis = 1_000.0
"""When to come back if this VM has no part of the rate."""


class _Bucket:
    def __init__(self, organisation: Organisation, level: float, now: Millis) -> None:
        self.organisation = organisation
        self.level = level
        self.filled = now


class Allowances:
    """Parts of all allowances, as one VM holds them.

    Parameters
    ----------
    count_vms : callable
        Returns among how many VMs the allowances are divided.
    starts_full : bool
        Whether nothing was spent before this VM's start.
    """

    def __init__(
        self, count_vms: Callable[[], int], starts_full: bool, clock: Clock
    ) -> None:
        self._count_vms = count_vms
        self._starts_full = starts_full
        self._clock = clock
        self._buckets_by_id: dict[str, _Bucket] = {}

    def configure(self, organisations_by_id: Mapping[str, Organisation]) -> None:
        """Follow the configuration; levels stay, within the new bursts."""
        now = self._clock.now()
        share = self._share()
        buckets = {}
        for organisation in organisations_by_id.values():
            if organisation.rate <= 0.0:
                continue
            bucket = self._buckets_by_id.get(organisation.id)
            if bucket is None:
                level = organisation.burst
                if not self._starts_full:
                    level = organisation.rate * FIRST_LEVEL / MILLIS_PER_SECOND
                bucket = _Bucket(organisation, level * share, now)
            self._fill(bucket)
            bucket.organisation = organisation
            bucket.level = min(bucket.level, self._depth(organisation))
            buckets[organisation.id] = bucket
        self._buckets_by_id = buckets

    def take(self, organisation: str) -> Millis | None:
        """Take one request's token; return when to come back if there is none."""
        bucket = self._buckets_by_id.get(organisation)
        if bucket is None:
            return None
        self._fill(bucket)
        if bucket.level >= 1.0:
            bucket.level -= 1.0
            return None
        rate = bucket.organisation.rate * self._share()
        if rate <= 0.0:
            return NO_RATE_RETRY
        return (1.0 - bucket.level) / rate * MILLIS_PER_SECOND

    def give_back(self, organisation: str) -> None:
        """Return the token of a request that reached no upstream."""
        bucket = self._buckets_by_id.get(organisation)
        if bucket is not None:
            bucket.level = min(bucket.level + 1.0, self._depth(bucket.organisation))

    def _share(self) -> float:
        return 1.0 / max(self._count_vms(), 1)

    def _depth(self, organisation: Organisation) -> float:
        return max(organisation.burst * self._share(), 1.0)

    def _fill(self, bucket: _Bucket) -> None:
        now = self._clock.now()
        gained = bucket.organisation.rate * self._share() * (now - bucket.filled)
        bucket.filled = now
        depth = self._depth(bucket.organisation)
        if bucket.level < depth:
            bucket.level = min(bucket.level + gained / MILLIS_PER_SECOND, depth)
