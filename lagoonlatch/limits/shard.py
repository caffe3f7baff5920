"""Serve one shard of a bucket on the VM that owns it.

The owner admits requests, grants tokens to VMs of its region, borrows from the other
shards and lends to them.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import gevent
from returns.result import Failure, Success

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.limits.borrowing import (
    CONTENDED,
    MIN_DEMAND_RATE,
    PREFETCH_TIME,
    Borrower,
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
from lagoonlatch.limits.pool import MIN_CROSS_REGION_SUBLEASE_DURATION, ShardPool
from lagoonlatch.limits.share import DelayedShares
from lagoonlatch.limits.spec import BucketSpec
from lagoonlatch.limits.wait_queue import TokenWaitQueue
from lagoonlatch.ownership.table import Owner, hash_parts

MAX_GRANT_WAIT: Millis = 250.0
"""How long the request of another VM of the region waits for tokens.

The requests of the owner itself may wait longer.
"""

MAX_PREFETCH_RATIO = 0.1
"""The part of the remaining level that one grant for expected demand may use."""

BORROWED_LEASE_IDLE_TIME: Millis = 500.0
BACKGROUND_INTERVAL: Millis = 100.0
IDLE_INTERVAL: Millis = 500.0
BUSY_DEMAND_RATE = 0.5
"""Tokens a second above which `tick` is due again after `BACKGROUND_INTERVAL`."""

OWNER_LOST_RETRY_AFTER: Millis = 1_000.0


class Shard:
    """A shard of one bucket that this VM owns.

    Parameters
    ----------
    region : str
        The region of the shard.
    since : Millis
        When this VM began to own the shard. The shard begins to fill once every lease
        of an earlier owner has certainly ended.
    shares : DelayedShares
        The shares of all shards of the bucket. They are kept when the owner changes.
    is_owned : callable
        Returns whether this VM still owns the shard.
    """

    def __init__(
        self,
        this_vm: Owner,
        region: str,
        spec: BucketSpec,
        shares: DelayedShares,
        since: Millis,
        is_owned: Callable[[], bool],
        calls: GrantCalls,
        clock: Clock,
    ) -> None:
        self.since = since
        self._this_vm = this_vm
        self._region = region
        self._is_owned = is_owned
        self._clock = clock
        self._shares = shares
        fill_start = since + lender_lease_duration(MAX_LEASE_DURATION)
        self.pool = ShardPool(shares.share_of(region), fill_start)
        self._borrower = Borrower(region, spec, self.pool, fill_start, calls, clock)
        self._wait_queue: TokenWaitQueue = TokenWaitQueue(
            self._borrower.borrow, self._borrower.expected_wait, clock
        )
        self._demand = Demand(clock.now())
        self._background_task = gevent.Greenlet()

    def configure(self, spec: BucketSpec) -> None:
        """Apply a new configuration of the bucket."""
        if spec is self._borrower.spec and self._shares.is_settled():
            return
        self._borrower.configure(spec)
        now = self._clock.now()
        self._shares.update(spec, now)
        share = self._shares.share_of(self._region)
        if share != self.pool.bucket.share:
            self.pool.bucket.resize(share, now)

    def admit(self, cost: float, timeout: Millis) -> Admission:
        """Spend `cost` tokens; borrow if the shard has too few."""
        now = self._clock.now()
        self._demand.add(cost, now)
        if not self._wait_queue.is_running():
            admission = self._try_spend(cost)
            if admission is not None:
                return admission
        return self._wait_queue.wait_for_tokens(
            cost,
            lambda: self._try_spend(cost),
            lambda promised_tokens: self._refuse(cost + promised_tokens),
            timeout=timeout,
        )

    def serve(self, request: GrantRequest) -> GrantReply:
        """Answer the request of a VM of this region or of another region's owner."""
        now = self._clock.now()
        self.pool.apply_settlements(request, now)
        previous_reply = self.pool.find_reply(request)
        if previous_reply is not None:
            return previous_reply
        if request.between_regions:
            return self._lend_to_other_region(request, now)
        if request.wanted <= 0.0:
            return self.pool.lend(request, 0.0, now)
        self._demand.add(request.wanted, now)
        if not self._wait_queue.is_running():
            reply = self._try_lend(request)
            if reply is not None:
                return reply
        return self._wait_queue.wait_for_tokens(
            request.wanted,
            lambda: self._try_lend(request),
            lambda promised_tokens: self._lend_whole_tokens(request, promised_tokens),
            lambda: self._try_lend_partially(request),
            MAX_GRANT_WAIT,
        )

    def tick(self) -> Millis | None:
        """Close idle leases, report to lenders and prefetch tokens.

        Returns
        -------
        Millis or None
            Time until the next call; None if there is nothing left to do.
        """
        now = self._clock.now()
        self.pool.held_leases.prune(now)
        self.pool.held_leases.close_idle(now, BORROWED_LEASE_IDLE_TIME)
        if not self._background_task and self._has_background_work(now):
            self._background_task = gevent.spawn(self._borrower.prefetch, self._demand)
        if self.pool.held_leases or not self._shares.is_settled():
            return BACKGROUND_INTERVAL
        demand = self._demand.rate(now)
        if demand <= MIN_DEMAND_RATE:
            return None
        return BACKGROUND_INTERVAL if demand > BUSY_DEMAND_RATE else IDLE_INTERVAL

    def _has_background_work(self, now: Millis) -> bool:
        if self.pool.held_leases.unreported():
            return True
        if self._wait_queue.is_running():
            return False
        return self._borrower.prefetch_shortfall(self._demand, now) > 0.0

    def _try_spend(self, cost: float) -> Admission | None:
        if self._is_owned() and self.pool.spend(cost, self._clock.now()):
            return Success(Admitted())
        return None

    def _refuse(self, tokens: float) -> Admission:
        if not self._is_owned():
            return Failure(RateRefusal(OWNER_LOST_RETRY_AFTER, RefusalReason.NO_OWNER))
        return Failure(RateRefusal(self._borrower.retry_after(tokens)))

    def _try_lend(self, request: GrantRequest) -> GrantReply | None:
        now = self._clock.now()
        if not self._is_owned() or self.pool.lendable(now) < request.wanted:
            return None
        remaining_level = self.pool.bucket.level - request.wanted
        ahead = math.floor(
            max(min(request.ahead, remaining_level * MAX_PREFETCH_RATIO), 0.0)
        )
        return self.pool.lend(request, request.wanted + ahead, now)

    def _try_lend_partially(self, request: GrantRequest) -> GrantReply | None:
        if self.pool.lendable(self._clock.now()) < 1.0:
            return None
        return self._lend_whole_tokens(request, 0.0)

    def _lend_whole_tokens(
        self, request: GrantRequest, promised_tokens: float
    ) -> GrantReply:
        """Grant as many whole tokens as possible; a fraction would admit no request."""
        if not self._is_owned():
            return GrantReply(
                request.request_id, 0.0, 0.0, NOT_OWNER, OWNER_LOST_RETRY_AFTER
            )
        now = self._clock.now()
        granted = float(math.floor(min(request.wanted, self.pool.lendable(now))))
        wait = self._borrower.retry_after(granted + 1.0 + promised_tokens)
        return self.pool.lend(request, granted, now, RefusalReason.RATE.value, wait)

    def _lend_to_other_region(self, request: GrantRequest, now: Millis) -> GrantReply:
        """Grant another region any part of the tokens that it asks for."""
        if request.wanted > 0.0 and self._has_precedence(request):
            return self.pool.lend(request, 0.0, now, CONTENDED)
        lendable = self.pool.lendable(now, MIN_CROSS_REGION_SUBLEASE_DURATION)
        granted = min(request.wanted, lendable)
        surplus = min(self.pool.bucket.level, lendable) - granted - self._reserve(now)
        granted += max(min(request.ahead, surplus), 0.0)
        refusal = "" if granted >= request.wanted else RefusalReason.RATE.value
        if refusal and self._wait_queue.is_running():
            refusal = CONTENDED
        return self.pool.lend(request, granted, now, refusal)

    def _has_precedence(self, request: GrantRequest) -> bool:
        """Return whether this VM's waiting requests go before those of the asking VM.

        Without this order, two owners that are short would exchange fractions of a
        token, and neither would get a whole one.
        """
        if not self._wait_queue.is_running():
            return False
        own_rank = hash_parts(request.bucket, self._this_vm.vm)
        other_rank = hash_parts(request.bucket, request.vm)
        return own_rank > other_rank

    def _reserve(self, now: Millis) -> float:
        demand = self._demand.rate(now)
        if demand <= MIN_DEMAND_RATE:
            return 0.0
        return 1.0 + demand * PREFETCH_TIME / MILLIS_PER_SECOND
