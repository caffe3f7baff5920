"""Token buckets that divide each organisation's rate and burst among the VMs.

An organisation's callers use many VMs at once, unevenly, and move between VMs within
seconds. Each holder has an equal share of the rate and of the burst. A VM with unused
tokens lends them to a VM that runs short. The lender subtracts tokens before it sends
them, so that a lost message loses tokens and never duplicates them.
"""

from __future__ import annotations

import copy
import math
from collections.abc import Callable, Mapping

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.steering.holders import Share
from lagoonlatch.steering.model import Organisation

INITIAL_REFILL: Millis = 100.0
"""A VM that joins a running fleet starts with the tokens that its rate yields in this
time."""

MAX_TOKEN_WAIT: Millis = 1_000.0
"""Longest time that is reported until the next token, used if the rate is below one
request in this time."""

UNUSED_LOAN_LIFETIME: Millis = 2_000.0
"""A VM without a share drops borrowed tokens after this time without requests, so that
tokens do not accumulate where they are not used."""

DEMAND_TIME_CONSTANT: Millis = 1_000.0
"""Time constant of the average demand; callers move between VMs within seconds."""

BORROW_THRESHOLD: Millis = 300.0
"""A VM borrows when its tokens last no longer than this at the current demand."""

BORROW_TARGET: Millis = 600.0
"""A VM borrows enough tokens to last this long at the current demand."""

LENDER_RESERVE: Millis = 200.0
"""A lender keeps the tokens that last this long at the demand of its own callers."""


MIN_DEMAND_PER_SECOND = 0.1
"""Requests a second below which a VM counts as having no callers of an organisation;
the exponential average never decays to zero."""


class _Bucket:
    def __init__(self, organisation: Organisation, level: float, now: Millis) -> None:
        self.organisation = organisation
        self.level = level
        self.refilled_at = now
        self.demand = 0.0
        """Requests a second that callers send to this VM."""
        self.loan_demand = 0.0
        """Tokens a second that VMs without a share request from this VM."""
        self.demand_updated_at = now
        self.last_request_at = now

    def note_demand(self, now: Millis) -> None:
        self.decay_demand(now)
        self.last_request_at = now
        self.demand += MILLIS_PER_SECOND / DEMAND_TIME_CONSTANT

    def note_loan_demand(self, now: Millis, tokens: int) -> None:
        self.decay_demand(now)
        self.loan_demand += tokens * MILLIS_PER_SECOND / DEMAND_TIME_CONSTANT

    def decay_demand(self, now: Millis) -> None:
        decay_factor = math.exp(-(now - self.demand_updated_at) / DEMAND_TIME_CONSTANT)
        self.demand *= decay_factor
        self.loan_demand *= decay_factor
        self.demand_updated_at = now

    def tokens_for_own_demand(self, duration: Millis) -> float:
        """Return the tokens that own callers use in `duration`."""
        return self.demand * duration / MILLIS_PER_SECOND

    def tokens_for_total_demand(self, duration: Millis) -> float:
        """Return the tokens that own callers and borrowers use in `duration`."""
        return (self.demand + self.loan_demand) * duration / MILLIS_PER_SECOND


class Allowances:
    """The tokens that one VM has of each organisation's allowance.

    Parameters
    ----------
    share_of : callable
        Returns this VM's share of an organisation's allowance.
    starts_full : bool
        Whether the buckets start full, which is correct only if no VM has used tokens
        before.
    """

    def __init__(
        self, share_of: Callable[[str], Share], starts_full: bool, clock: Clock
    ) -> None:
        self._share_of = share_of
        self._starts_full = starts_full
        self._clock = clock
        self._buckets_by_id: dict[str, _Bucket] = {}
        self._active: set[str] = set()

    def configure(self, organisations_by_id: Mapping[str, Organisation]) -> None:
        """Apply a configuration; levels are kept, up to the new bursts."""
        now = self._clock.now()
        buckets = {}
        for organisation in organisations_by_id.values():
            if organisation.rate <= 0.0:
                continue
            bucket = self._buckets_by_id.get(organisation.id)
            if bucket is None:
                bucket = _Bucket(organisation, self._initial_level(organisation), now)
            self._refill(bucket)
            bucket.organisation = organisation
            bucket.level = min(bucket.level, self._capacity(organisation))
            buckets[organisation.id] = bucket
        self._buckets_by_id = buckets

    def apply_shares(self) -> None:
        """Limit the levels to this VM's shares, which have changed."""
        for bucket in self._buckets_by_id.values():
            bucket.level = min(bucket.level, self._capacity(bucket.organisation))

    def consume(self, organisation_id: str) -> Millis | None:
        """Consume a request's token; return the retry delay if there is none."""
        bucket = self._buckets_by_id.get(organisation_id)
        if bucket is None:
            return None
        self._refill(bucket)
        bucket.note_demand(self._clock.now())
        self._active.add(organisation_id)
        return self._consume_token(bucket)

    def consume_counted(self, organisation_id: str) -> Millis | None:
        """Consume a token for a request whose demand is already counted."""
        bucket = self._buckets_by_id.get(organisation_id)
        if bucket is None:
            return None
        self._refill(bucket)
        return self._consume_token(bucket)

    def has_token(self, organisation_id: str) -> bool:
        """Return whether `consume_counted` would succeed."""
        bucket = self._buckets_by_id.get(organisation_id)
        if bucket is None:
            return True
        self._refill(bucket)
        return bucket.level >= 1.0

    def preview_consume(self, organisation_id: str) -> Millis | None:
        """Return what `consume` would return now, without any effect."""
        bucket = self._buckets_by_id.get(organisation_id)
        if bucket is None:
            return None
        bucket = copy.copy(bucket)
        self._refill(bucket)
        return self._consume_token(bucket)

    def refund(self, organisation_id: str) -> None:
        """Put back the token of a request that reached no upstream."""
        bucket = self._buckets_by_id.get(organisation_id)
        if bucket is not None:
            bucket.level += 1.0

    def lendable(self, organisation_id: str) -> int:
        """Return the number of whole tokens that can be lent."""
        bucket = self._buckets_by_id.get(organisation_id)
        if bucket is None:
            return 0
        self._refill(bucket)
        return self._lendable(bucket)

    def lend(
        self, organisation_id: str, requested: int, to_non_holder: bool = False
    ) -> int:
        """Subtract up to `requested` tokens for another VM and return their number.

        Parameters
        ----------
        to_non_holder : bool
            Whether the other VM holds no share. Its requests then count as demand of
            this VM.
        """
        bucket = self._buckets_by_id.get(organisation_id)
        if bucket is None or requested <= 0:
            return 0
        self._refill(bucket)
        if to_non_holder:
            bucket.note_loan_demand(self._clock.now(), requested)
            self._active.add(organisation_id)
        lent = min(self._lendable(bucket), requested)
        bucket.level -= lent
        return lent

    def receive_loan(self, organisation_id: str, tokens: int) -> None:
        """Add tokens that another VM has lent."""
        bucket = self._buckets_by_id.get(organisation_id)
        if bucket is not None:
            bucket.level += max(tokens, 0)

    def shortfall_by_organisation(self) -> dict[str, int]:
        """Return the tokens to borrow for each organisation that runs short."""
        shortfall_by_organisation = {}
        for organisation_id in list(self._active):
            shortfall = self.shortfall(organisation_id)
            if shortfall > 0:
                shortfall_by_organisation[organisation_id] = shortfall
            bucket = self._buckets_by_id.get(organisation_id)
            if (
                bucket is None
                or bucket.demand + bucket.loan_demand < MIN_DEMAND_PER_SECOND
            ):
                self._active.discard(organisation_id)
        return shortfall_by_organisation

    def is_idle(self) -> bool:
        """Return whether no organisation has had recent requests."""
        return not self._active

    def shortfall(self, organisation_id: str, waiting: int = 0) -> int:
        """Return the number of tokens to borrow now; 0 if there are enough.

        Parameters
        ----------
        waiting : int
            Number of requests that wait for a token.
        """
        bucket = self._buckets_by_id.get(organisation_id)
        if bucket is None:
            return 0
        self._refill(bucket)
        bucket.decay_demand(self._clock.now())
        if not self._share_of(organisation_id).is_holder:
            # Tokens borrowed ahead of rare requests would expire unused.
            target = max(
                math.floor(bucket.tokens_for_total_demand(BORROW_TARGET)), waiting
            )
            return max(math.ceil(target - bucket.level), 0)
        if bucket.level >= max(
            bucket.tokens_for_total_demand(BORROW_THRESHOLD), waiting, 1.0
        ):
            return 0
        if bucket.demand + bucket.loan_demand < MIN_DEMAND_PER_SECOND:
            return 0
        target = max(bucket.tokens_for_total_demand(BORROW_TARGET), waiting)
        return max(math.ceil(target - bucket.level), 1)

    def _consume_token(self, bucket: _Bucket) -> Millis | None:
        if bucket.level >= 1.0:
            bucket.level -= 1.0
            return None
        organisation = bucket.organisation
        rate = organisation.rate * self._share_of(organisation.id).holder_fraction
        wait = (1.0 - bucket.level) / rate * MILLIS_PER_SECOND
        return min(wait, MAX_TOKEN_WAIT)

    def _lendable(self, bucket: _Bucket) -> int:
        bucket.decay_demand(self._clock.now())
        reserve = (
            bucket.tokens_for_own_demand(LENDER_RESERVE)
            if bucket.demand >= MIN_DEMAND_PER_SECOND
            else 0.0
        )
        return max(math.floor(bucket.level - reserve), 0)

    def _initial_level(self, organisation: Organisation) -> float:
        level = organisation.burst
        if not self._starts_full:
            level = organisation.rate * INITIAL_REFILL / MILLIS_PER_SECOND
        return level * self._share_of(organisation.id).own_fraction

    def _capacity(self, organisation: Organisation) -> float:
        return max(
            organisation.burst * self._share_of(organisation.id).own_fraction, 1.0
        )

    def _refill(self, bucket: _Bucket) -> None:
        now = self._clock.now()
        share = self._share_of(bucket.organisation.id)
        gained = (
            bucket.organisation.rate * share.own_fraction * (now - bucket.refilled_at)
        )
        bucket.refilled_at = now
        if not share.is_holder and now - bucket.last_request_at > UNUSED_LOAN_LIFETIME:
            bucket.level = min(bucket.level, 0.0)
        capacity = self._capacity(bucket.organisation)
        if bucket.level < capacity:
            bucket.level = min(bucket.level + gained / MILLIS_PER_SECOND, capacity)
