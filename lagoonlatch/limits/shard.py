"""The owner of a bucket's shard: admits, grants to its region, borrows and lends."""

from __future__ import annotations

import math
from collections.abc import Callable

import gevent
from returns.result import Failure, Success

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.limits.borrowing import (
    AHEAD_TIME,
    CONTENDED,
    LEAST_DEMAND,
    Borrowing,
)
from lagoonlatch.limits.calls import NOT_OWNER, GrantCalls
from lagoonlatch.limits.demand import Demand
from lagoonlatch.limits.grants import (
    MAX_LEASE_DURATION,
    GrantReply,
    GrantRequest,
    lender_lease_duration,
)
from lagoonlatch.limits.limiter import Admission, Admitted, RateRefusal, RefusalReason
from lagoonlatch.limits.pool import SHORTEST_SUBLEASE_ABROAD, ShardPool
from lagoonlatch.limits.share import DelayedShares
from lagoonlatch.limits.spec import BucketSpec
from lagoonlatch.limits.wait_queue import Rounds
from lagoonlatch.ownership.table import Owner, hash_parts

GRANT_PATIENCE: Millis = 250.0
"""How long a VM of the region waits for tokens; its own requests may wait longer."""


PLENTY_PART = 0.1
"""The part of a shard's level that one grant ahead of demand may take."""

IDLE_BORROWED: Millis = 500.0
BACKGROUND_INTERVAL: Millis = 100.0
QUIET_INTERVAL: Millis = 500.0
BUSY_DEMAND = 0.5
"""Tokens a second above which a shard is looked after at `BACKGROUND_INTERVAL`."""

OWNER_LOST_RETRY: Millis = 1_000.0


class Shard:
    """One bucket's shard under this VM.

    Parameters
    ----------
    region : str
        The region of the shard.
    since : Millis
        When this VM began to own it. It begins to fill when every lease of an earlier
        owner has surely ended.
    shares : DelayedShares
        The shards' parts of the bucket; outlive changes of owner.
    is_owned : callable
        Returns whether this VM still owns it.
    """

    def __init__(
        self,
        me: Owner,
        region: str,
        spec: BucketSpec,
        shares: DelayedShares,
        since: Millis,
        is_owned: Callable[[], bool],
        calls: GrantCalls,
        clock: Clock,
    ) -> None:
        self.since = since
        self._me = me
        self._region = region
        self._is_owned = is_owned
        self._clock = clock
        self._shares = shares
        fills_from = since + lender_lease_duration(MAX_LEASE_DURATION)
        self.pool = ShardPool(shares.share_of(region), fills_from)
        self._borrowing = Borrowing(region, spec, self.pool, fills_from, calls, clock)
        self._rounds: Rounds = Rounds(
            self._borrowing.borrow, self._borrowing.wait_for, clock
        )
        self._demand = Demand(clock.now())
        self._background = gevent.Greenlet()

    def configure(self, spec: BucketSpec) -> None:
        """Follow the configuration."""
        if spec is self._borrowing.spec and self._shares.is_settled():
            return
        self._borrowing.configure(spec)
        now = self._clock.now()
        self._shares.want(spec, now)
        share = self._shares.share_of(self._region)
        if share != self.pool.bucket.share:
            self.pool.bucket.resize(share, now)

    def admit(self, cost: float, patience: Millis) -> Admission:
        """Spend `cost` tokens, borrowing if the shard is short."""
        now = self._clock.now()
        self._demand.add(cost, now)
        if not self._rounds.is_running():
            admission = self._try_spend(cost)
            if admission is not None:
                return admission
        return self._rounds.join(
            cost,
            lambda: self._try_spend(cost),
            lambda promised: self._refuse(cost + promised),
            patience=patience,
        )

    def serve(self, request: GrantRequest) -> GrantReply:
        """Answer a VM of the region or another region's owner."""
        now = self._clock.now()
        self.pool.apply_settlements(request, now)
        repeated = self.pool.find_reply(request)
        if repeated is not None:
            return repeated
        if request.between_regions:
            return self._lend_part(request, now)
        if request.wanted <= 0.0:
            return self.pool.lend(request, 0.0, now)
        self._demand.add(request.wanted, now)
        if not self._rounds.is_running():
            reply = self._try_lend(request)
            if reply is not None:
                return reply
        return self._rounds.join(
            request.wanted,
            lambda: self._try_lend(request),
            lambda promised: self._lend_whole(request, promised),
            lambda: self._try_lend_part(request),
            GRANT_PATIENCE,
        )

    def tick(self) -> Millis | None:
        """Give back, report and borrow ahead, in the background.

        Returns
        -------
        Millis or None
            When to call again; None if there is nothing left to do.
        """
        now = self._clock.now()
        self.pool.held_leases.prune(now)
        self.pool.held_leases.close_idle(now, IDLE_BORROWED)
        if not self._background and self._has_background_work(now):
            self._background = gevent.spawn(self._borrowing.borrow_ahead, self._demand)
        if self.pool.held_leases or not self._shares.is_settled():
            return BACKGROUND_INTERVAL
        demand = self._demand.rate(now)
        if demand <= LEAST_DEMAND:
            return None
        return BACKGROUND_INTERVAL if demand > BUSY_DEMAND else QUIET_INTERVAL

    def _has_background_work(self, now: Millis) -> bool:
        if self.pool.held_leases.unreported():
            return True
        if self._rounds.is_running():
            return False
        return self._borrowing.ahead(self._demand, now) > 0.0

    def _try_spend(self, cost: float) -> Admission | None:
        if self._is_owned() and self.pool.spend(cost, self._clock.now()):
            return Success(Admitted())
        return None

    def _refuse(self, tokens: float) -> Admission:
        if not self._is_owned():
            return Failure(RateRefusal(OWNER_LOST_RETRY, RefusalReason.NO_OWNER))
        return Failure(RateRefusal(self._borrowing.retry_after(tokens)))

    def _try_lend(self, request: GrantRequest) -> GrantReply | None:
        now = self._clock.now()
        if not self._is_owned() or self.pool.lendable(now) < request.wanted:
            return None
        plenty = self.pool.bucket.level - request.wanted
        ahead = math.floor(max(min(request.ahead, plenty * PLENTY_PART), 0.0))
        return self.pool.lend(request, request.wanted + ahead, now)

    def _try_lend_part(self, request: GrantRequest) -> GrantReply | None:
        if self.pool.lendable(self._clock.now()) < 1.0:
            return None
        return self._lend_whole(request, 0.0)

    def _lend_whole(self, request: GrantRequest, promised: float) -> GrantReply:
        """Grant whole tokens, as many as there are; a crumb would help no request."""
        if not self._is_owned():
            return GrantReply(request.request_id, 0.0, 0.0, NOT_OWNER, OWNER_LOST_RETRY)
        now = self._clock.now()
        granted = float(math.floor(min(request.wanted, self.pool.lendable(now))))
        wait = self._borrowing.retry_after(granted + 1.0 + promised)
        return self.pool.lend(request, granted, now, RefusalReason.RATE.value, wait)

    def _lend_part(self, request: GrantRequest, now: Millis) -> GrantReply:
        """Grant another region any part of what is asked."""
        if request.wanted > 0.0 and self._comes_first(request):
            return self.pool.lend(request, 0.0, now, CONTENDED)
        lendable = self.pool.lendable(now, SHORTEST_SUBLEASE_ABROAD)
        granted = min(request.wanted, lendable)
        spare = min(self.pool.bucket.level, lendable) - granted - self._reserve(now)
        granted += max(min(request.ahead, spare), 0.0)
        refusal = "" if granted >= request.wanted else RefusalReason.RATE.value
        if refusal and self._rounds.is_running():
            refusal = CONTENDED
        return self.pool.lend(request, granted, now, refusal)

    def _comes_first(self, request: GrantRequest) -> bool:
        """Return whether this VM's own waiters go before those of the VM that asks.

        Without an order two short owners would swap their crumbs, and neither would
        have a whole token.
        """
        if not self._rounds.is_running():
            return False
        mine = hash_parts(request.bucket, self._me.vm)
        theirs = hash_parts(request.bucket, request.vm)
        return mine > theirs

    def _reserve(self, now: Millis) -> float:
        demand = self._demand.rate(now)
        if demand <= LEAST_DEMAND:
            return 0.0
        return 1.0 + demand * AHEAD_TIME / MILLIS_PER_SECOND
