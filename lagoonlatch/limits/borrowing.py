"""Borrowing for one shard: rounds of calls, and what is known of the others."""

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
LEAST_LACK = 0.2
LEAST_DEMAND = 0.02
CONTENDED = "contended"
LONGEST_RETRY: Millis = 3_600_000.0
LONGEST_BELIEF: Millis = 1_000.0
"""How long a shortage is believed without asking again."""

MOST_ROUNDS = 3
"""Rounds of calls after which a shortage is believed."""

AHEAD_TIME: Millis = 300.0
"""How much of the expected demand an owner holds, which covers a call abroad."""


class Borrowing:
    """What one shard borrows from the others of its bucket.

    Parameters
    ----------
    region : str
        The scope of the shard.
    fills_from : Millis
        When the shard itself begins to fill.
    """

    def __init__(
        self,
        region: str,
        spec: BucketSpec,
        pool: ShardPool,
        fills_from: Millis,
        calls: GrantCalls,
        clock: Clock,
    ) -> None:
        self.spec = spec
        self._region = region
        self._pool = pool
        self._fills_from = fills_from
        self._calls = calls
        self._clock = clock
        self._short_until: Millis = 0.0
        self._open_rounds = 0
        self._reached_rate = spec.rate

    def configure(self, spec: BucketSpec) -> None:
        """Follow the configuration; what was known of a shortage is void."""
        if spec != self.spec:
            self._short_until = 0.0
            self._reached_rate = spec.rate
        self.spec = spec

    def wait_for(self, tokens: float) -> Millis:
        """Return how long `tokens` take, if the last round found too few."""
        if self._clock.now() >= self._short_until:
            return 0.0
        return self.retry_after(tokens)

    def retry_after(self, tokens: float) -> Millis:
        """Return how long the shards within reach take to gain what is missing."""
        now = self._clock.now()
        missing = max(tokens - self._pool.available(now), 0.0)
        wait = 0.0 if self._reached_rate else max(self._fills_from - now, 0.0)
        rate = self._reached_rate or self._pool.bucket.share.rate
        if rate <= 0.0:
            return LONGEST_RETRY
        return min(wait + missing / rate * MILLIS_PER_SECOND, LONGEST_RETRY)

    def borrow(self, needed: float) -> None:
        """Ask all other shards at once for what is missing.

        A round that brought something, or met a shard that has waiters of its own,
        leaves it open whether the next brings the rest: by then others are served,
        and their surplus may suffice.
        """
        reply_by_scope = self._borrow_once(needed)
        self._note_reached(reply_by_scope)
        now = self._clock.now()
        available = self._pool.lendable(now)
        if available >= needed:
            self._open_rounds = 0
            return
        replies = reply_by_scope.values()
        is_open = any(item.granted or item.refusal == CONTENDED for item in replies)
        self._open_rounds = self._open_rounds + 1 if is_open else MOST_ROUNDS
        if self._open_rounds >= MOST_ROUNDS:
            self._open_rounds = 0
            wait = self.retry_after(math.floor(available) + 1.0)
            self._short_until = now + min(wait, LONGEST_BELIEF)

    def _note_reached(self, replies: Mapping[str, GrantReply]) -> None:
        """Remember how fast the shards within reach gain tokens together."""
        now = self._clock.now()
        rate = 0.0 if now < self._fills_from else self._pool.bucket.share.rate
        rate += sum(self.spec.share_of(scope).rate for scope in replies)
        self._reached_rate = rate

    def _borrow_once(self, needed: float) -> dict[str, GrantReply]:
        missing = needed - self._pool.lendable(self._clock.now())
        return self._calls.call_all(
            self._pool.held_leases,
            self.spec.id,
            self._others(),
            BORROW_DEADLINE,
            wanted=missing,
        )

    def borrow_ahead(self, demand: Demand) -> None:
        """Borrow for the demand of the next moments, and report."""
        now = self._clock.now()
        ahead = self.ahead(demand, now)
        others = self._others()
        if ahead > 0.0:
            self._calls.call_all(
                self._pool.held_leases,
                self.spec.id,
                others,
                BORROW_DEADLINE,
                ahead=ahead / len(others),
            )
        self._calls.report(self._pool.held_leases, self.spec.id, BORROW_DEADLINE)

    def ahead(self, demand: Demand, now: Millis) -> float:
        """Return how many tokens are lacking for the demand of the next moments."""
        if now < self._short_until:
            return 0.0
        if not self._others():
            return 0.0
        rate = demand.rate(now)
        if rate <= LEAST_DEMAND:
            return 0.0
        target = 1.0 + rate * AHEAD_TIME / MILLIS_PER_SECOND
        target = min(target, self.spec.burst)
        lacking = target - self._pool.available(now)
        return lacking if lacking > target * LEAST_LACK else 0.0

    def _others(self) -> tuple[str, ...]:
        return tuple(name for name in self.spec.scopes() if name != self._region)
