"""What the owner of a shard has to spend and lend: the shard and borrowed leases."""

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

SHORTEST_SUBLEASE: Millis = 20.0
"""Within a region; a lease about to end isn't worth lending on."""

SHORTEST_SUBLEASE_ABROAD: Millis = 200.0

_LeaseKey: TypeAlias = tuple[str, int, int]


@dataclass
class _Part:
    """Tokens of a lease that came from one source and are not accounted for yet."""

    parent: HeldLease | None
    tokens: float


@dataclass
class _LentLease:
    """A lease as its lender sees it."""

    reply: GrantReply
    parts: list[_Part] = field(default_factory=list)
    spent: float = 0.0


class ShardPool:
    """The tokens of one shard under one owner.

    Parameters
    ----------
    share : Share
        What the shard allows.
    since : Millis
        When it begins to fill: after all leases of an earlier owner have ended.
    """

    def __init__(self, share: Share, since: Millis) -> None:
        self.bucket = ShardBucket(share, since)
        self.held_leases = HeldLeases()
        self._lent_by_key: dict[_LeaseKey, _LentLease] = {}
        self._ends: list[tuple[Millis, _LeaseKey]] = []

    def available(self, now: Millis) -> float:
        """Return the tokens that may be spent now."""
        self._expire(now)
        self.bucket.refill(now)
        return self.bucket.level + self.held_leases.available(now)

    def spend(self, tokens: float, now: Millis) -> bool:
        """Spend `tokens`, borrowed ones first, or nothing if there are fewer."""
        if self.available(now) < tokens:
            return False
        drawn = self.held_leases.draw(tokens, now)
        for lease, part in drawn:
            lease.spend(part, now)
        self.bucket.spend(tokens - sum(part for _lease, part in drawn))
        return True

    def lendable(self, now: Millis, least: Millis = SHORTEST_SUBLEASE) -> float:
        """Return the tokens that may be lent now, without leases about to end.

        Parameters
        ----------
        least : Millis
            How long a borrowed lease must still last.
        """
        self.available(now)
        borrowed = sum(
            lease.available
            for lease in self.held_leases.live(now)
            if lease.remaining(now) >= least
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
        """Grant `tokens`, subtracting them before the answer exists.

        A lease cut from a borrowed one ends no later than that one.
        """
        tokens = floor_tokens(tokens)
        parts = self._parts(request, tokens, now)
        remaining = [part.parent.remaining(now) for part in parts if part.parent]
        duration = min([MAX_LEASE_DURATION, *remaining])
        reply = GrantReply(request.request_id, tokens, duration, refusal, retry_after)
        if parts:
            key = (request.vm, request.incarnation, request.request_id)
            self._lent_by_key[key] = _LentLease(reply, parts)
            heapq.heappush(self._ends, (now + lender_lease_duration(duration), key))
        return reply

    def find_reply(self, request: GrantRequest) -> GrantReply | None:
        """Return the answer given to `request` before, if its lease still lasts."""
        key = (request.vm, request.incarnation, request.request_id)
        lent = self._lent_by_key.get(key)
        return lent.reply if lent else None

    def apply_settlements(self, request: GrantRequest, now: Millis) -> None:
        """Take in the news that `request` carries, which may be late or repeated."""
        self.available(now)
        for settlement in request.settlements:
            key = (request.vm, request.incarnation, settlement.request_id)
            lent = self._lent_by_key.get(key)
            if lent is not None:
                self._settle_one(key, lent, settlement, now)

    def is_idle(self, now: Millis) -> bool:
        """Return whether a new pool would be equal to this one."""
        self.available(now)
        return self.bucket.is_full() and not self._lent_by_key and not self.held_leases

    def _parts(self, request: GrantRequest, tokens: float, now: Millis) -> list[_Part]:
        own_first, least = 0.0, SHORTEST_SUBLEASE
        if request.between_regions:
            own_first = min(tokens, self.bucket.level)
            least = SHORTEST_SUBLEASE_ABROAD
        drawn = self.held_leases.draw(tokens - own_first, now, least)
        parts = []
        for lease, part in drawn:
            lease.lent_on += part
            parts.append(_Part(lease, part))
        own = tokens - sum(part.tokens for part in parts)
        if own > 0.0:
            self.bucket.lend(own)
            parts.append(_Part(None, own))
        return parts

    def _settle_one(
        self, key: _LeaseKey, lent: _LentLease, settlement: Settlement, now: Millis
    ) -> None:
        fresh = settlement.spent - lent.spent
        for part in lent.parts:
            confirmed = max(min(fresh, part.tokens), 0.0)
            self._confirm(part, confirmed, now - settlement.age)
            fresh -= confirmed
        lent.spent = max(lent.spent, settlement.spent)
        if settlement.closed:
            for part in lent.parts:
                self._take_back(part)
            del self._lent_by_key[key]

    def _confirm(self, part: _Part, tokens: float, spent_at: Millis) -> None:
        part.tokens -= tokens
        if part.parent is None:
            self.bucket.confirm(tokens, spent_at)
        else:
            part.parent.confirm(tokens, spent_at)

    def _take_back(self, part: _Part) -> None:
        if part.parent is None:
            self.bucket.take_back(part.tokens)
        else:
            part.parent.take_back(part.tokens)
        part.tokens = 0.0

    def _expire(self, now: Millis) -> None:
        """Write off what was lent and not accounted for when its lease ended."""
        while self._ends and self._ends[0][0] <= now:
            ends_at, key = heapq.heappop(self._ends)
            lent = self._lent_by_key.get(key)
            if lent is None:
                continue
            self.bucket.refill(min(ends_at, now))
            for part in lent.parts:
                if part.parent is None:
                    self.bucket.write_off(part.tokens)
            del self._lent_by_key[key]
