"""The token bucket of one shard, which counts what it has lent out.

Its rule is ``level + outstanding <= burst`` at every instant, where `outstanding` is
what holders of leases may still spend. Whatever is spent in a window was, when the
window began, in the level or outstanding, or was refilled since: at most
``burst + rate * t``, however late the leased tokens are spent.
"""

from __future__ import annotations

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.limits.lost_refill import LostRefill
from lagoonlatch.limits.spec import Share
from lagoonlatch.limits.tokens import floor_tokens

LEAST_REFILL = 2.0**-8
"""Smaller gains wait, so that rounding each down costs next to nothing."""


class ShardBucket:
    """A token bucket that starts empty.

    Parameters
    ----------
    share : Share
        Rate and burst.
    since : Millis
        When it begins to fill; may be in the future or the past.
    """

    def __init__(self, share: Share, since: Millis) -> None:
        self.share = share
        self.level = 0.0
        self.outstanding = 0.0
        self._refilled_at = since
        self._lost = LostRefill()

    def refill(self, now: Millis) -> None:
        """Add what the time since the last refill earned, up to the burst."""
        elapsed = now - self._refilled_at
        if elapsed <= 0.0:
            return
        earned = self.share.rate * elapsed / MILLIS_PER_SECOND
        room = max(self._room(), 0.0)
        if earned < min(LEAST_REFILL, room):
            return
        self.level += floor_tokens(min(earned, room))
        if self.outstanding == 0.0:
            self._lost.clear()
        elif earned > room:
            self._lost.add(self._refilled_at + elapsed * room / earned, now)
        self._refilled_at = now

    def spend(self, tokens: float) -> None:
        """Take `tokens` from the level."""
        assert 0.0 <= tokens <= self.level, f"{tokens} of {self.level}"
        self.level -= tokens

    def lend(self, tokens: float) -> None:
        """Move `tokens` from the level to what is outstanding."""
        self.spend(tokens)
        self.outstanding += tokens

    def write_off(self, tokens: float) -> None:
        """Count lent `tokens` as void after their lease's end."""
        assert 0.0 <= tokens <= self.outstanding, f"{tokens} of {self.outstanding}"
        self.outstanding -= tokens

    def confirm(self, tokens: float, spent_at: Millis) -> None:
        """Count lent `tokens` as spent at `spent_at` or before.

        Refill that they kept out of the bucket since then is made good. In the
        history so corrected, ``level + outstanding <= burst`` holds as well.
        """
        self.write_off(tokens)
        self.level += self._lost.reclaim(spent_at, tokens, self.share.rate)

    def take_back(self, tokens: float) -> None:
        """Move lent `tokens` back to the level."""
        self.write_off(tokens)
        self.level += min(tokens, max(self._room(), 0.0))

    def resize(self, share: Share, now: Millis) -> None:
        """Change rate and burst; a level that no longer fits is cut."""
        self.refill(now)
        self.share = share
        self._lost.clear()
        self._refilled_at = max(self._refilled_at, now)
        self.level = max(min(self.level, share.burst - self.outstanding), 0.0)

    def is_full(self) -> bool:
        """Return whether nothing is lent and nothing more can be gained."""
        return self.outstanding == 0.0 and self.level >= self.share.burst

    def _room(self) -> float:
        return self.share.burst - self.level - self.outstanding
