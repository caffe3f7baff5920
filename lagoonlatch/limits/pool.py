"""The tokens that the owner of a shard may spend and lend.

They are the tokens of the shard itself and those of borrowed leases.
"""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from typing import TypeAlias

from lagoonlatch.clock import Millis
from lagoonlatch.limits.bucket import ShardBucket
from lagoonlatch.limits.grants import (
    MAX_LEASE_DURATION,
    GrantReply,
    GrantRequest,
    Settlement,
    lender_lease_duration,
)
from lagoonlatch.limits.leases import HeldLease, HeldLeases
from lagoonlatch.limits.spec import Share
from lagoonlatch.limits.tokens import floor_tokens

MIN_SUBLEASE_DURATION: Millis = 20.0
"""Time that a lease must still last to be sublet within the region.

A lease that is about to end isn't worth lending; the owner itself spends its tokens.
"""

MIN_CROSS_REGION_SUBLEASE_DURATION: Millis = 200.0
"""Time that a lease must still last to be sublet to another region."""

_LeaseKey: TypeAlias = tuple[str, int, int]


@dataclass
class _LeaseSource:
    """The unsettled tokens of a lent lease that come from one source.

    Parameters
    ----------
    parent : HeldLease, optional
        The borrowed lease that they come from; None for the shard itself.
    """

    parent: HeldLease | None
    tokens: float


@dataclass
class _LentLease:
    """A lease from the point of view of its lender."""

    reply: GrantReply
    sources: list[_LeaseSource] = field(default_factory=list)
    spent: float = 0.0


class ShardPool:
    """The tokens of one shard for the time of one owner.

    Parameters
    ----------
    share : Share
        Rate and burst of the shard.
    fill_start : Millis
        When the shard begins to fill: after all leases of an earlier owner have ended.
    """

    def __init__(self, share: Share, fill_start: Millis) -> None:
        self.bucket = ShardBucket(share, fill_start)
        self.held_leases = HeldLeases()
        self._lent_by_key: dict[_LeaseKey, _LentLease] = {}
        self._expiries: list[tuple[Millis, _LeaseKey]] = []

    def available(self, now: Millis) -> float:
        """Return the tokens that may be spent now."""
        self._expire(now)
        self.bucket.refill(now)
        return self.bucket.level + self.held_leases.available(now)

    def spend(self, tokens: float, now: Millis) -> bool:
        """Spend `tokens`, borrowed ones first; spend nothing if there are fewer."""
        if self.available(now) < tokens:
            return False
        drawn = self.held_leases.draw(tokens, now)
        for lease, amount in drawn:
            lease.spend(amount, now)
        self.bucket.spend(tokens - sum(amount for _lease, amount in drawn))
        return True

    def lendable(
        self, now: Millis, min_remaining: Millis = MIN_SUBLEASE_DURATION
    ) -> float:
        """Return the tokens that may be lent now, without those of leases about to end.

        Parameters
        ----------
        min_remaining : Millis
            How long a borrowed lease must still last.
        """
        self.available(now)
        borrowed = sum(
            lease.available
            for lease in self.held_leases.live(now)
            if lease.remaining(now) >= min_remaining
        )
        return self.bucket.level + borrowed

    def lend(
        self,
        request: GrantRequest,
        tokens: float,
        now: Millis,
        refusal: str = "",
        retry_after: Millis = 0.0,
    ) -> GrantReply:
        """Grant `tokens`, which are subtracted before the reply is built.

        A lease of borrowed tokens ends no later than the leases that they come from.
        """
        tokens = floor_tokens(tokens)
        sources = self._draw_sources(request, tokens, now)
        remaining = [
            source.parent.remaining(now) for source in sources if source.parent
        ]
        duration = min([MAX_LEASE_DURATION, *remaining])
        reply = GrantReply(request.request_id, tokens, duration, refusal, retry_after)
        if sources:
            key = (request.vm, request.incarnation, request.request_id)
            self._lent_by_key[key] = _LentLease(reply, sources)
            heapq.heappush(self._expiries, (now + lender_lease_duration(duration), key))
        return reply

    def find_reply(self, request: GrantRequest) -> GrantReply | None:
        """Return the earlier reply to `request` if its lease still lasts."""
        key = (request.vm, request.incarnation, request.request_id)
        lent = self._lent_by_key.get(key)
        return lent.reply if lent else None

    def apply_settlements(self, request: GrantRequest, now: Millis) -> None:
        """Apply the settlements of `request`, which may be late or repeated."""
        self.available(now)
        for settlement in request.settlements:
            key = (request.vm, request.incarnation, settlement.request_id)
            lent = self._lent_by_key.get(key)
            if lent is not None:
                self._apply_settlement(key, lent, settlement, now)

    def is_idle(self, now: Millis) -> bool:
        """Return whether the bucket is full and no lease is lent or held.

        A new pool would then equal this one.
        """
        self.available(now)
        return self.bucket.is_full() and not self._lent_by_key and not self.held_leases

    def _draw_sources(
        self, request: GrantRequest, tokens: float, now: Millis
    ) -> list[_LeaseSource]:
        own_amount, min_remaining = 0.0, MIN_SUBLEASE_DURATION
        if request.between_regions:
            own_amount = min(tokens, self.bucket.level)
            min_remaining = MIN_CROSS_REGION_SUBLEASE_DURATION
        drawn = self.held_leases.draw(tokens - own_amount, now, min_remaining)
        sources = []
        for lease, amount in drawn:
            lease.sublent += amount
            sources.append(_LeaseSource(lease, amount))
        own = tokens - sum(source.tokens for source in sources)
        if own > 0.0:
            self.bucket.lend(own)
            sources.append(_LeaseSource(None, own))
        return sources

    def _apply_settlement(
        self, key: _LeaseKey, lent: _LentLease, settlement: Settlement, now: Millis
    ) -> None:
        newly_spent = settlement.spent - lent.spent
        for source in lent.sources:
            confirmed = max(min(newly_spent, source.tokens), 0.0)
            self._confirm_spent(source, confirmed, now - settlement.age)
            newly_spent -= confirmed
        lent.spent = max(lent.spent, settlement.spent)
        if settlement.closed:
            for source in lent.sources:
                self._restore(source)
            del self._lent_by_key[key]

    def _confirm_spent(
        self, source: _LeaseSource, tokens: float, spent_at: Millis
    ) -> None:
        source.tokens -= tokens
        if source.parent is None:
            self.bucket.confirm_spent(tokens, spent_at)
        else:
            source.parent.confirm_spent(tokens, spent_at)

    def _restore(self, source: _LeaseSource) -> None:
        if source.parent is None:
            self.bucket.restore(source.tokens)
        else:
            source.parent.restore(source.tokens)
        source.tokens = 0.0

    def _expire(self, now: Millis) -> None:
        """Write off the unsettled tokens of leases that have ended."""
        while self._expiries and self._expiries[0][0] <= now:
            expires_at, key = heapq.heappop(self._expiries)
            lent = self._lent_by_key.get(key)
            if lent is None:
                continue
            self.bucket.refill(min(expires_at, now))
            for source in lent.sources:
                if source.parent is None:
                    self.bucket.write_off(source.tokens)
            del self._lent_by_key[key]
