"""Each organisation's rate and burst over all VMs, divided among them.

The load answered here: an organisation's callers ask many VMs at once, unevenly, and
move between them within seconds. Each holder has an even part of the rate and of the
burst. What a VM has left over it lends to one that runs short; tokens are taken off
before they are sent, so that a lost message loses tokens and never doubles them.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.steering.holders import Share
from lagoonlatch.steering.model import Organisation

FIRST_LEVEL: Millis = 100.0
"""A VM that starts during the day begins with what its rate brings in this time."""

NO_RATE_RETRY: Millis = 1_000.0
"""When to come back if the rate is below one request in this time."""

IDLE: Millis = 2_000.0
"""A VM that holds no part drops what it borrowed after such a time without requests,
so that tokens don't pile up where nobody uses them."""

DEMAND_MEMORY: Millis = 1_000.0
"""Time constant of the measured demand; shifts of callers take seconds."""

LOW_MARK: Millis = 300.0
"""A VM borrows when its tokens last no longer than this at its demand."""

BORROWED: Millis = 600.0
"""It borrows what lasts so long."""

RESERVE: Millis = 200.0
"""A lender keeps what lasts so long at its own demand."""


QUIET = 0.1
"""Requests a second below which a VM counts as having no callers of an organisation;
the average of what went before never fades to nothing."""


class _Bucket:
    def __init__(self, organisation: Organisation, level: float, now: Millis) -> None:
        self.organisation = organisation
        self.level = level
        self.filled = now
        self.demand = 0.0
        """Requests a second that callers ask for here."""
        self.lent = 0.0
        """Tokens a second that VMs without a part ask for here."""
        self.measured = now
        self.asked = now

    def note_demand(self, now: Millis) -> None:
        self.fade_demand(now)
        self.asked = now
        self.demand += MILLIS_PER_SECOND / DEMAND_MEMORY

    def note_lent(self, now: Millis, tokens: int) -> None:
        self.fade_demand(now)
        self.lent += tokens * MILLIS_PER_SECOND / DEMAND_MEMORY

    def fade_demand(self, now: Millis) -> None:
        faded = math.exp(-(now - self.measured) / DEMAND_MEMORY)
        self.demand *= faded
        self.lent *= faded
        self.measured = now

    def lasting(self, duration: Millis) -> float:
        """Return the tokens that last `duration` at the demand."""
        return self.demand * duration / MILLIS_PER_SECOND

    def lasting_all(self, duration: Millis) -> float:
        """Return the tokens that last `duration` with what others ask for."""
        return (self.demand + self.lent) * duration / MILLIS_PER_SECOND


class Allowances:
    """Parts of all allowances, as one VM holds them.

    Parameters
    ----------
    part_of : callable
        Returns what this VM holds of an organisation's allowance.
    starts_full : bool
        Whether nothing was spent before this VM's start.
    """

    def __init__(
        self, part_of: Callable[[str], Share], starts_full: bool, clock: Clock
    ) -> None:
        self._part_of = part_of
        self._starts_full = starts_full
        self._clock = clock
        self._buckets_by_id: dict[str, _Bucket] = {}
        self._active: set[str] = set()

    def configure(self, organisations_by_id: Mapping[str, Organisation]) -> None:
        """Follow the configuration; levels stay, within the new bursts."""
        now = self._clock.now()
        buckets = {}
        for organisation in organisations_by_id.values():
            if organisation.rate <= 0.0:
                continue
            bucket = self._buckets_by_id.get(organisation.id)
            if bucket is None:
                bucket = _Bucket(organisation, self._first_level(organisation), now)
            self._fill(bucket)
            bucket.organisation = organisation
            bucket.level = min(bucket.level, self._depth(organisation))
            buckets[organisation.id] = bucket
        self._buckets_by_id = buckets

    def apply_shares(self) -> None:
        """Keep no more than this VM's parts, which have changed."""
        for bucket in self._buckets_by_id.values():
            bucket.level = min(bucket.level, self._depth(bucket.organisation))

    def consume(self, organisation: str) -> Millis | None:
        """Take one request's token; return when to come back if there is none."""
        bucket = self._buckets_by_id.get(organisation)
        if bucket is None:
            return None
        self._fill(bucket)
        bucket.note_demand(self._clock.now())
        self._active.add(organisation)
        return self._spend(bucket)

    def consume_counted(self, organisation: str) -> Millis | None:
        """Try again for a request whose demand is counted already."""
        bucket = self._buckets_by_id.get(organisation)
        if bucket is None:
            return None
        self._fill(bucket)
        return self._spend(bucket)

    def has_token(self, organisation: str) -> bool:
        """Return whether `consume_counted` would find a token."""
        bucket = self._buckets_by_id.get(organisation)
        if bucket is None:
            return True
        self._fill(bucket)
        return bucket.level >= 1.0

    def refund(self, organisation: str) -> None:
        """Return the token of a request that reached no upstream."""
        bucket = self._buckets_by_id.get(organisation)
        if bucket is not None:
            bucket.level += 1.0

    def lendable(self, organisation: str) -> int:
        """Return the whole tokens that could be lent."""
        bucket = self._buckets_by_id.get(organisation)
        if bucket is None:
            return 0
        self._fill(bucket)
        return self._spare(bucket)

    def lend(self, organisation: str, shortfall: int, for_callers: bool = False) -> int:
        """Take off up to `shortfall` tokens for another VM and return how many.

        Parameters
        ----------
        for_callers : bool
            Whether the other VM holds no part, so that its callers' demand is to be
            met from here.
        """
        bucket = self._buckets_by_id.get(organisation)
        if bucket is None or shortfall <= 0:
            return 0
        self._fill(bucket)
        if for_callers:
            bucket.note_lent(self._clock.now(), shortfall)
            self._active.add(organisation)
        lent = min(self._spare(bucket), shortfall)
        bucket.level -= lent
        return lent

    def receive_loan(self, organisation: str, tokens: int) -> None:
        """Add tokens that another VM has taken off its own."""
        bucket = self._buckets_by_id.get(organisation)
        if bucket is not None:
            bucket.level += max(tokens, 0)

    def shortfall_by_organisation(self) -> dict[str, int]:
        """Return the tokens to borrow, by organisation that runs short here."""
        shortfall_by_organisation = {}
        for name in list(self._active):
            shortfall = self.shortfall(name)
            if shortfall > 0:
                shortfall_by_organisation[name] = shortfall
            bucket = self._buckets_by_id.get(name)
            if bucket is None or bucket.demand + bucket.lent < QUIET:
                self._active.discard(name)
        return shortfall_by_organisation

    def is_idle(self) -> bool:
        """Return whether no organisation was asked for lately."""
        return not self._active

    def shortfall(self, organisation: str, waiting: int = 0) -> int:
        """Return the tokens to borrow now; 0 if there are enough.

        Parameters
        ----------
        waiting : int
            Requests that wait for a token.
        """
        bucket = self._buckets_by_id.get(organisation)
        if bucket is None:
            return 0
        self._fill(bucket)
        bucket.fade_demand(self._clock.now())
        if not self._part_of(organisation).is_holder:
            # What it borrows ahead for rare requests it would drop unused.
            enough = max(math.floor(bucket.lasting_all(BORROWED)), waiting)
            return max(math.ceil(enough - bucket.level), 0)
        if bucket.level >= max(bucket.lasting_all(LOW_MARK), waiting, 1.0):
            return 0
        if bucket.demand + bucket.lent < QUIET:
            return 0
        enough = max(bucket.lasting_all(BORROWED), waiting)
        return max(math.ceil(enough - bucket.level), 1)

    def _spend(self, bucket: _Bucket) -> Millis | None:
        if bucket.level >= 1.0:
            bucket.level -= 1.0
            return None
        organisation = bucket.organisation
        rate = organisation.rate * self._part_of(organisation.id).size
        wait = (1.0 - bucket.level) / rate * MILLIS_PER_SECOND
        return min(wait, NO_RATE_RETRY)

    def _spare(self, bucket: _Bucket) -> int:
        bucket.fade_demand(self._clock.now())
        kept = bucket.lasting(RESERVE) if bucket.demand >= QUIET else 0.0
        return max(math.floor(bucket.level - kept), 0)

    def _first_level(self, organisation: Organisation) -> float:
        level = organisation.burst
        if not self._starts_full:
            level = organisation.rate * FIRST_LEVEL / MILLIS_PER_SECOND
        return level * self._part_of(organisation.id).own

    def _depth(self, organisation: Organisation) -> float:
        return max(organisation.burst * self._part_of(organisation.id).own, 1.0)

    def _fill(self, bucket: _Bucket) -> None:
        now = self._clock.now()
        part = self._part_of(bucket.organisation.id)
        gained = bucket.organisation.rate * part.own * (now - bucket.filled)
        bucket.filled = now
        if not part.is_holder and now - bucket.asked > IDLE:
            bucket.level = min(bucket.level, 0.0)
        depth = self._depth(bucket.organisation)
        if bucket.level < depth:
            bucket.level = min(bucket.level + gained / MILLIS_PER_SECOND, depth)
