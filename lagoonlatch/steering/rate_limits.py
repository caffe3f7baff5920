"""Rate limits that upstreams name, kept by their home VMs.

An upstream in need names in its answers how many requests a second it takes from all
VMs together. The home VM of an upstream, which grants its slots, therefore also grants
its requests one by one at that rate, from a token bucket. This bounds any load, from
few callers to far more than the limit, on any number of VMs.

The answers of one upstream reach several VMs in any order. A lower limit counts at
once. A higher limit, or an answer without one, counts only if its request was sent
after all namings that the home VM has heard of. For this purpose, the home VM numbers
the namings (`NamedLimit.epoch`) and tells the number with each grant.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis

MIN_RATE = 0.1
"""Requests a second that are sent at least. An upstream that gets nothing can't say
that its limit has ended."""

BURST_TOKENS = 2.0
BURST_TIME: Millis = 50.0
"""A bucket holds `BURST_TOKENS` and the tokens of `BURST_TIME`. With fewer, tokens are
lost in the pauses between requests; with more, two VMs that both grant requests could
exceed what an upstream tolerates."""

LIMIT_LIFETIME: Millis = 600_000.0
"""How long a limit is kept without being named again; an upstream that still has one
names it in its next answer."""

NO_AUTHORITY_WAIT: Millis = 1_000.0
"""Wait that is reported by a VM that may grant no requests."""


@dataclass(frozen=True, kw_only=True)
class NamedLimit:
    """A limit that a run of an upstream has named.

    Parameters
    ----------
    rate : float
        Requests a second from all VMs together.
    born : float
        Identifies the run of the upstream.
    epoch : int
        The home VM's number of the latest naming that it has heard of; 0 if the limit
        doesn't come from a home VM.
    """

    rate: float
    born: float
    epoch: int = 0


class _Bucket:
    def __init__(self, limit: NamedLimit, now: Millis) -> None:
        self.limit = limit
        self.level = 0.0
        self.refilled_at = now
        self.named_at = now


class UpstreamRateLimiter:
    """The limits of the upstreams whose home VM is this VM.

    Parameters
    ----------
    fraction_of : callable
        Returns the fraction of an upstream's limit that this VM may grant, 0 to 1.
    """

    def __init__(self, fraction_of: Callable[[str], float], clock: Clock) -> None:
        self._fraction_of = fraction_of
        self._clock = clock
        self._bucket_by_upstream: dict[str, _Bucket] = {}
        self._ended_at_by_run: dict[tuple[str, float], Millis] = {}
        # The random start makes the epochs of different VMs and runs differ.
        self._last_epoch = random.getrandbits(40) << 20

    def limit_of(self, upstream_id: str) -> NamedLimit | None:
        """Return the limit of an upstream, or None."""
        bucket = self._bucket_by_upstream.get(upstream_id)
        return bucket.limit if bucket is not None else None

    def report_named(self, upstream_id: str, named: NamedLimit) -> None:
        """Apply a limit that an upstream has named in an answer.

        Parameters
        ----------
        named : NamedLimit
            `named.epoch` is the epoch that was known when the answered request was
            sent.
        """
        bucket = self._bucket_of_run(upstream_id, named.born)
        if bucket is None:
            self._set(upstream_id, named)
            return
        limit = bucket.limit
        is_newer = named.epoch == limit.epoch
        if limit.born == named.born and (is_newer or named.rate <= limit.rate):
            self._set(upstream_id, named)

    def report_known(self, upstream_id: str, known: NamedLimit, age: Millis) -> None:
        """Apply a limit that another VM knows, unless it has ended since.

        Parameters
        ----------
        age : Millis
            How long ago the VM last heard of the limit.
        """
        ended_at = self._ended_at_by_run.get((upstream_id, known.born), -math.inf)
        has_ended = self._clock.now() - age <= ended_at
        if not has_ended and self._bucket_of_run(upstream_id, known.born) is None:
            self._set(upstream_id, known)

    def report_ended(self, upstream_id: str, born: float, epoch: int) -> None:
        """End a limit if nothing has named it since `epoch`."""
        limit = self.limit_of(upstream_id)
        if limit is not None and (limit.born, limit.epoch) == (born, epoch):
            del self._bucket_by_upstream[upstream_id]
            self._ended_at_by_run[upstream_id, born] = self._clock.now()

    def consume(self, upstream_id: str) -> bool:
        """Return whether a request may be sent to an upstream now, and count it."""
        bucket = self._bucket_by_upstream.get(upstream_id)
        if bucket is None:
            return True
        self._refill(upstream_id, bucket)
        if bucket.level < 1.0:
            return False
        bucket.level -= 1.0
        return True

    def refund(self, upstream_id: str) -> None:
        """Put back the token of a request that was not sent."""
        bucket = self._bucket_by_upstream.get(upstream_id)
        if bucket is not None:
            bucket.level += 1.0
            self._refill(upstream_id, bucket)

    def wait(self, upstream_id: str) -> Millis:
        """Return the time until a request may be sent."""
        bucket = self._bucket_by_upstream.get(upstream_id)
        if bucket is None:
            return 0.0
        rate = self._refill(upstream_id, bucket)
        if rate <= 0.0:
            return NO_AUTHORITY_WAIT
        return max(1.0 - bucket.level, 0.0) / rate * MILLIS_PER_SECOND

    def prune(self) -> None:
        """Drop limits that were named or ended `LIMIT_LIFETIME` ago."""
        now = self._clock.now()
        for upstream_id, bucket in list(self._bucket_by_upstream.items()):
            if now - bucket.named_at >= LIMIT_LIFETIME:
                del self._bucket_by_upstream[upstream_id]
        for run, ended_at in list(self._ended_at_by_run.items()):
            if now - ended_at >= LIMIT_LIFETIME:
                del self._ended_at_by_run[run]

    def _bucket_of_run(self, upstream_id: str, born: float) -> _Bucket | None:
        """Return the bucket of an upstream unless it is of an earlier run."""
        bucket = self._bucket_by_upstream.get(upstream_id)
        return bucket if bucket is not None and bucket.limit.born >= born else None

    def _set(self, upstream_id: str, limit: NamedLimit) -> None:
        self._last_epoch += 1
        limit = replace(limit, epoch=self._last_epoch)
        now = self._clock.now()
        bucket = self._bucket_of_run(upstream_id, limit.born)
        if bucket is None:
            self._bucket_by_upstream[upstream_id] = _Bucket(limit, now)
            return
        self._refill(upstream_id, bucket)
        bucket.limit = limit
        bucket.named_at = now

    def _refill(self, upstream_id: str, bucket: _Bucket) -> float:
        """Add the tokens since the last call; return the granted requests a second."""
        now = self._clock.now()
        rate = max(bucket.limit.rate, MIN_RATE) * self._fraction_of(upstream_id)
        gained = rate * (now - bucket.refilled_at) / MILLIS_PER_SECOND
        capacity = BURST_TOKENS + rate * BURST_TIME / MILLIS_PER_SECOND
        bucket.level = min(bucket.level + gained, capacity)
        bucket.refilled_at = now
        return rate
