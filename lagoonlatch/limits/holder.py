"""A VM that doesn't own its region's shard admits from the leases that it holds."""

from __future__ import annotations

import gevent
from returns.result import Failure, Success

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.limits.borrowing import (
    BORROW_DEADLINE,
    LEAST_DEMAND,
    LONGEST_BELIEF,
    LONGEST_RETRY,
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
from lagoonlatch.limits.shard import OWNER_LOST_RETRY, QUIET_INTERVAL
from lagoonlatch.limits.spec import BucketSpec
from lagoonlatch.limits.wait_queue import Rounds
from lagoonlatch.ownership.table import hash_parts

GRANT_DEADLINE: Millis = 600.0
AHEAD_TIME: Millis = 100.0
IDLE_HELD: Millis = 250.0
REPORT_INTERVAL: Millis = 200.0


class Holder:
    """One bucket on a VM that doesn't own its region's shard.

    Parameters
    ----------
    region : str
        The scope of the VM's own shards, whose owner is asked first.
    distance : callable
        Returns how far another scope is; without a shard in its own scope the VM
        asks the nearest.
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
        self._rounds: Rounds = Rounds(self._fetch, self._wait_for, clock)
        self._demand = Demand(clock.now())
        self._refused_until: Millis = 0.0
        self._believed_until: Millis = 0.0
        self._reason = RefusalReason.RATE
        self._background = gevent.Greenlet()

    def configure(self, spec: BucketSpec) -> None:
        """Follow the configuration; what was known of a shortage is void."""
        if spec != self._spec:
            self._believed_until = 0.0
        self._spec = spec

    def admit(self, cost: float, patience: Millis) -> Admission:
        """Spend `cost` held tokens, fetching if too few are held."""
        now = self._clock.now()
        self._demand.add(cost, now)
        if not self._rounds.is_running():
            admission = self._try_spend(cost)
            if admission is not None:
                return admission
        return self._rounds.join(
            cost, lambda: self._try_spend(cost), self._refuse, patience=patience
        )

    def tick(self) -> Millis | None:
        """Give back and report, in the background.

        Returns
        -------
        Millis or None
            When to call again; None if there is nothing left to do or to remember.
        """
        now = self._clock.now()
        self.held_leases.prune(now)
        self.held_leases.close_idle(now, IDLE_HELD)
        if not self._background and self.held_leases.unreported():
            self._background = gevent.spawn(
                self._calls.report, self.held_leases, self._spec.id, BORROW_DEADLINE
            )
        if self.held_leases or self._rounds.is_running():
            return REPORT_INTERVAL
        return QUIET_INTERVAL if self._demand.rate(now) > LEAST_DEMAND else None

    def _try_spend(self, cost: float) -> Admission | None:
        if self.held_leases.spend(cost, self._clock.now()):
            return Success(Admitted())
        return None

    def _refuse(self, promised: float) -> Admission:
        retry_after = max(self._refused_until - self._clock.now(), 0.0)
        retry_after += self._spec.refill_time(promised)
        return Failure(RateRefusal(min(retry_after, LONGEST_RETRY), self._reason))

    def _wait_for(self, tokens: float) -> Millis:
        """Return how long `tokens` take, if the last call found none."""
        now = self._clock.now()
        if now >= self._believed_until:
            return 0.0
        wait = self._refused_until - now
        return wait + self._spec.refill_time(max(tokens - 1.0, 0.0))

    def _fetch(self, needed: float) -> None:
        """Ask the nearest shard's owner; without one, all other shards at once."""
        now = self._clock.now()
        missing = needed - self.held_leases.available(now)
        if not self._fetch_from_home(missing):
            self._fetch_from_others(missing)

    def _home(self) -> str:
        """Return the scope to ask first: the VM's own if it has a shard."""
        scopes = self._spec.scopes()
        if self._region in scopes:
            return self._region
        return min(scopes, key=self._order)

    def _order(self, scope: str) -> tuple[float, int]:
        return self._distance(scope), hash_parts(self._region, scope)

    def _fetch_from_home(self, missing: float) -> bool:
        ahead = self._demand.rate(self._clock.now()) * AHEAD_TIME / MILLIS_PER_SECOND
        reply = self._calls.call(
            self.held_leases,
            self._spec.id,
            self._home(),
            GRANT_DEADLINE,
            missing,
            ahead,
        )
        if reply is None:
            return False
        if reply.refusal:
            self._note_refusal(reply.retry_after, RefusalReason.RATE)
        return True

    def _fetch_from_others(self, missing: float) -> None:
        home = self._home()
        others = tuple(name for name in self._spec.scopes() if name != home)
        reply_by_scope = self._calls.call_all(
            self.held_leases, self._spec.id, others, BORROW_DEADLINE, missing
        )
        granted = sum(reply.granted for reply in reply_by_scope.values())
        if granted >= missing:
            return
        rate = sum(self._spec.share_of(scope).rate for scope in reply_by_scope)
        if not reply_by_scope:
            self._note_refusal(OWNER_LOST_RETRY, RefusalReason.NO_OWNER)
        elif rate <= 0.0:
            self._note_refusal(LONGEST_RETRY, RefusalReason.RATE)
        else:
            crumb = granted % 1.0
            wait = (1.0 - crumb) / rate * MILLIS_PER_SECOND
            self._note_refusal(min(wait, LONGEST_RETRY), RefusalReason.RATE)

    def _note_refusal(self, retry_after: Millis, reason: RefusalReason) -> None:
        now = self._clock.now()
        self._refused_until = now + retry_after
        self._believed_until = now + min(retry_after, LONGEST_BELIEF)
        self._reason = reason
