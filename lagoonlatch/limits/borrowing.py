"""Borrow tokens for one shard from the other shards of its bucket."""

from __future__ import annotations

import math
from collections.abc import Mapping

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.limits.calls import GrantCalls
from lagoonlatch.limits.demand import Demand
from lagoonlatch.limits.grants import GrantReply
from lagoonlatch.limits.pool import ShardPool
from lagoonlatch.limits.spec import BucketSpec

BORROW_DEADLINE: Millis = 300.0
MIN_SHORTFALL_RATIO = 0.2
"""The part of the prefetch target below which a shortfall is not borrowed."""

MIN_DEMAND_RATE = 0.02
"""Tokens a second; a lower demand counts as none."""

CONTENDED = "contended"
"""The refusal of a shard whose own requests wait for tokens."""

MAX_RETRY_AFTER: Millis = 3_600_000.0
SHORTAGE_LIFETIME: Millis = 1_000.0
"""How long a known shortage counts before the shards are asked again."""

MAX_BORROW_ROUNDS = 3
"""Inconclusive rounds of calls after which a shortage counts as known."""

PREFETCH_TIME: Millis = 300.0
"""An owner holds tokens for the demand of this time; it covers a cross-region call."""


class Borrower:
    """Borrows tokens for one shard from the other shards of its bucket.

    Parameters
    ----------
    region : str
        The scope of the shard.
    fill_start : Millis
        When the shard itself begins to fill.
    """

    def __init__(
        self,
        region: str,
        spec: BucketSpec,
        pool: ShardPool,
        fill_start: Millis,
        calls: GrantCalls,
        clock: Clock,
    ) -> None:
        self.spec = spec
        self._region = region
        self._pool = pool
        self._fill_start = fill_start
        self._calls = calls
        self._clock = clock
        self._shortage_until: Millis = 0.0
        self._inconclusive_rounds = 0
        self._reachable_rate = spec.rate

    def configure(self, spec: BucketSpec) -> None:
        """Apply a new configuration, which invalidates what is known of a shortage."""
        if spec != self.spec:
            self._shortage_until = 0.0
            self._reachable_rate = spec.rate
        self.spec = spec

    def expected_wait(self, tokens: float) -> Millis:
        """Return the time until `tokens` are available; 0 if no shortage is known."""
        if self._clock.now() >= self._shortage_until:
            return 0.0
        return self.retry_after(tokens)

    def retry_after(self, tokens: float) -> Millis:
        """Return how long the reachable shards take to gain the missing tokens."""
        now = self._clock.now()
        missing = max(tokens - self._pool.available(now), 0.0)
        wait = 0.0 if self._reachable_rate else max(self._fill_start - now, 0.0)
        rate = self._reachable_rate or self._pool.bucket.share.rate
        if rate <= 0.0:
            return MAX_RETRY_AFTER
        return min(wait + missing / rate * MILLIS_PER_SECOND, MAX_RETRY_AFTER)

    def borrow(self, needed: float) -> None:
        """Ask all other shards at once for the missing tokens.

        A round is inconclusive if it brought some tokens or if a shard has waiting
        requests of its own. By the next round those requests have been served, and
        the surplus of their shards may suffice.
        """
        reply_by_scope = self._request_missing_tokens(needed)
        self._update_reachable_rate(reply_by_scope)
        now = self._clock.now()
        available = self._pool.lendable(now)
        if available >= needed:
            self._inconclusive_rounds = 0
            return
        replies = reply_by_scope.values()
        is_inconclusive = any(
            item.granted or item.refusal == CONTENDED for item in replies
        )
        self._inconclusive_rounds = (
            self._inconclusive_rounds + 1 if is_inconclusive else MAX_BORROW_ROUNDS
        )
        if self._inconclusive_rounds >= MAX_BORROW_ROUNDS:
            self._inconclusive_rounds = 0
            wait = self.retry_after(math.floor(available) + 1.0)
            self._shortage_until = now + min(wait, SHORTAGE_LIFETIME)

    def _update_reachable_rate(self, replies: Mapping[str, GrantReply]) -> None:
        """Record the rate at which the reachable shards together gain tokens."""
        now = self._clock.now()
        rate = 0.0 if now < self._fill_start else self._pool.bucket.share.rate
        rate += sum(self.spec.share_of(scope).rate for scope in replies)
        self._reachable_rate = rate

    def _request_missing_tokens(self, needed: float) -> dict[str, GrantReply]:
        missing = needed - self._pool.lendable(self._clock.now())
        return self._calls.call_all(
            self._pool.held_leases,
            self.spec.id,
            self._other_scopes(),
            BORROW_DEADLINE,
            wanted=missing,
        )

    def prefetch(self, demand: Demand) -> None:
        """Borrow tokens for expected demand, and report to the lenders."""
        now = self._clock.now()
        prefetch_amount = self.prefetch_shortfall(demand, now)
        other_scopes = self._other_scopes()
        if prefetch_amount > 0.0:
            self._calls.call_all(
                self._pool.held_leases,
                self.spec.id,
                other_scopes,
                BORROW_DEADLINE,
                ahead=prefetch_amount / len(other_scopes),
            )
        self._calls.report(self._pool.held_leases, self.spec.id, BORROW_DEADLINE)

    def prefetch_shortfall(self, demand: Demand, now: Millis) -> float:
        """Return how many tokens are missing for the expected demand."""
        if now < self._shortage_until:
            return 0.0
        if not self._other_scopes():
            return 0.0
        rate = demand.rate(now)
        if rate <= MIN_DEMAND_RATE:
            return 0.0
        target = 1.0 + rate * PREFETCH_TIME / MILLIS_PER_SECOND
        target = min(target, self.spec.burst)
        shortfall = target - self._pool.available(now)
        return shortfall if shortfall > target * MIN_SHORTFALL_RATIO else 0.0

    def _other_scopes(self) -> tuple[str, ...]:
        return tuple(name for name in self.spec.scopes() if name != self._region)
