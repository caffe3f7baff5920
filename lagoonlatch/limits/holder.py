"""Admit requests from held leases on a VM that doesn't own its region's shard."""

from __future__ import annotations

import gevent
from returns.result import Failure, Success

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.limits.borrowing import (
    BORROW_DEADLINE,
    MAX_RETRY_AFTER,
    MIN_DEMAND_RATE,
    SHORTAGE_LIFETIME,
)
from lagoonlatch.limits.calls import GrantCalls
from lagoonlatch.limits.demand import Demand
from lagoonlatch.limits.leases import HeldLeases
from lagoonlatch.limits.limiter import (
    Admission,
    Admitted,
    Distance,
    RateRefusal,
    RefusalReason,
)
from lagoonlatch.limits.shard import IDLE_INTERVAL, OWNER_LOST_RETRY_AFTER
from lagoonlatch.limits.spec import BucketSpec
from lagoonlatch.limits.wait_queue import TokenWaitQueue
from lagoonlatch.ownership.table import hash_parts

GRANT_DEADLINE: Millis = 600.0
PREFETCH_TIME: Millis = 100.0
"""A grant call also asks for the demand expected within this time."""

HELD_LEASE_IDLE_TIME: Millis = 250.0
REPORT_INTERVAL: Millis = 200.0


class Holder:
    """One bucket on a VM that doesn't own its region's shard.

    Parameters
    ----------
    region : str
        The scope of the VM's own shards; the owner of its shard is asked first.
    distance : callable
        Returns how far another scope is. If its own scope has no shard, the VM asks
        the nearest scope that has one.
    """

    def __init__(
        self,
        region: str,
        spec: BucketSpec,
        distance: Distance,
        calls: GrantCalls,
        clock: Clock,
    ) -> None:
        self._region = region
        self._distance = distance
        self._spec = spec
        self._calls = calls
        self._clock = clock
        self.held_leases = HeldLeases()
        self._wait_queue: TokenWaitQueue = TokenWaitQueue(
            self._fetch, self._expected_wait, clock
        )
        self._demand = Demand(clock.now())
        self._retry_at: Millis = 0.0
        self._refusal_valid_until: Millis = 0.0
        self._reason = RefusalReason.RATE
        self._background_task = gevent.Greenlet()

    def configure(self, spec: BucketSpec) -> None:
        """Apply a new configuration, which invalidates what is known of a shortage."""
        if spec != self._spec:
            self._refusal_valid_until = 0.0
        self._spec = spec

    def admit(self, cost: float, timeout: Millis) -> Admission:
        """Spend `cost` held tokens; fetch tokens if too few are held."""
        now = self._clock.now()
        self._demand.add(cost, now)
        if not self._wait_queue.is_running():
            admission = self._try_spend(cost)
            if admission is not None:
                return admission
        return self._wait_queue.wait_for_tokens(
            cost, lambda: self._try_spend(cost), self._refuse, timeout=timeout
        )

    def tick(self) -> Millis | None:
        """Close idle leases, and report to lenders in the background.

        Returns
        -------
        Millis or None
            Time until the next call; None if there is nothing left to do or remember.
        """
        now = self._clock.now()
        self.held_leases.prune(now)
        self.held_leases.close_idle(now, HELD_LEASE_IDLE_TIME)
        if not self._background_task and self.held_leases.unreported():
            self._background_task = gevent.spawn(
                self._calls.report, self.held_leases, self._spec.id, BORROW_DEADLINE
            )
        if self.held_leases or self._wait_queue.is_running():
            return REPORT_INTERVAL
        return IDLE_INTERVAL if self._demand.rate(now) > MIN_DEMAND_RATE else None

    def _try_spend(self, cost: float) -> Admission | None:
        if self.held_leases.spend(cost, self._clock.now()):
            return Success(Admitted())
        return None

    def _refuse(self, promised_tokens: float) -> Admission:
        retry_after = max(self._retry_at - self._clock.now(), 0.0)
        retry_after += self._spec.refill_time(promised_tokens)
        return Failure(RateRefusal(min(retry_after, MAX_RETRY_AFTER), self._reason))

    def _expected_wait(self, tokens: float) -> Millis:
        """Return the time until `tokens` are available; 0 if no shortage is known."""
        now = self._clock.now()
        if now >= self._refusal_valid_until:
            return 0.0
        wait = self._retry_at - now
        return wait + self._spec.refill_time(max(tokens - 1.0, 0.0))

    def _fetch(self, needed: float) -> None:
        """Ask the nearest shard's owner; without a reply, ask all other shards."""
        now = self._clock.now()
        missing = needed - self.held_leases.available(now)
        if not self._fetch_from_nearest(missing):
            self._fetch_from_other_scopes(missing)

    def _nearest_scope(self) -> str:
        """Return the VM's own scope if it has a shard, else the nearest with one."""
        scopes = self._spec.scopes()
        if self._region in scopes:
            return self._region
        return min(scopes, key=self._distance_key)

    def _distance_key(self, scope: str) -> tuple[float, int]:
        return self._distance(scope), hash_parts(self._region, scope)

    def _fetch_from_nearest(self, missing: float) -> bool:
        ahead = self._demand.rate(self._clock.now()) * PREFETCH_TIME / MILLIS_PER_SECOND
        reply = self._calls.call(
            self.held_leases,
            self._spec.id,
            self._nearest_scope(),
            GRANT_DEADLINE,
            missing,
            ahead,
        )
        if reply is None:
            return False
        if reply.refusal:
            self._record_refusal(reply.retry_after, RefusalReason.RATE)
        return True

    def _fetch_from_other_scopes(self, missing: float) -> None:
        nearest = self._nearest_scope()
        other_scopes = tuple(name for name in self._spec.scopes() if name != nearest)
        reply_by_scope = self._calls.call_all(
            self.held_leases, self._spec.id, other_scopes, BORROW_DEADLINE, missing
        )
        granted = sum(reply.granted for reply in reply_by_scope.values())
        if granted >= missing:
            return
        rate = sum(self._spec.share_of(scope).rate for scope in reply_by_scope)
        if not reply_by_scope:
            self._record_refusal(OWNER_LOST_RETRY_AFTER, RefusalReason.NO_OWNER)
        elif rate <= 0.0:
            self._record_refusal(MAX_RETRY_AFTER, RefusalReason.RATE)
        else:
            fraction = granted % 1.0
            wait = (1.0 - fraction) / rate * MILLIS_PER_SECOND
            self._record_refusal(min(wait, MAX_RETRY_AFTER), RefusalReason.RATE)

    def _record_refusal(self, retry_after: Millis, reason: RefusalReason) -> None:
        now = self._clock.now()
        self._retry_at = now + retry_after
        self._refusal_valid_until = now + min(retry_after, SHORTAGE_LIFETIME)
        self._reason = reason
