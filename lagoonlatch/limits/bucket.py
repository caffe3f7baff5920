"""The token bucket of one shard, including the tokens that it has lent.

The bucket keeps ``level + outstanding <= burst`` at every instant, where `outstanding`
counts the tokens that holders of leases may still spend. Tokens spent within a window
of length ``t`` were in `level` or `outstanding` when the window began, or were refilled
since. They are therefore at most ``burst + rate * t``, however late leased tokens are
spent.
"""

from __future__ import annotations

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.limits.lost_refill import LostRefill
from lagoonlatch.limits.spec import Share
from lagoonlatch.limits.tokens import floor_tokens

MIN_REFILL_TOKENS = 2.0**-8
"""A smaller refill is postponed, so that rounding down loses a negligible amount."""


class ShardBucket:
    """A token bucket that starts empty.

    Parameters
    ----------
    share : Share
        Rate and burst.
    fill_start : Millis
        When the bucket begins to fill; may be in the future or the past.
    """

    def __init__(self, share: Share, fill_start: Millis) -> None:
        self.share = share
        self.level = 0.0
        self.outstanding = 0.0
        self._refilled_at = fill_start
        self._lost = LostRefill()

    def refill(self, now: Millis) -> None:
        """Add the tokens earned since the last refill, up to the burst."""
        elapsed = now - self._refilled_at
        if elapsed <= 0.0:
            return
        earned = self.share.rate * elapsed / MILLIS_PER_SECOND
        headroom = max(self._headroom(), 0.0)
        if earned < min(MIN_REFILL_TOKENS, headroom):
            return
        self.level += floor_tokens(min(earned, headroom))
        if self.outstanding == 0.0:
            self._lost.clear()
        elif earned > headroom:
            self._lost.add(self._refilled_at + elapsed * headroom / earned, now)
        self._refilled_at = now

    def spend(self, tokens: float) -> None:
        """Subtract `tokens` from the level."""
        assert 0.0 <= tokens <= self.level, (
            f"cannot spend {tokens} tokens of a level of {self.level}"
        )
        self.level -= tokens

    def lend(self, tokens: float) -> None:
        """Move `tokens` from the level to the outstanding tokens."""
        self.spend(tokens)
        self.outstanding += tokens

    def write_off(self, tokens: float) -> None:
        """Stop counting lent `tokens` as outstanding, as when their lease has ended."""
        assert 0.0 <= tokens <= self.outstanding, (
            f"cannot write off {tokens} of {self.outstanding} tokens"
        )
        self.outstanding -= tokens

    def confirm_spent(self, tokens: float, spent_at: Millis) -> None:
        """Count lent `tokens` as spent at `spent_at` or before.

        While the tokens counted as outstanding, they may have kept refill out of the
        bucket. The refill lost since `spent_at` is added now. The bucket's rule,
        ``level + outstanding <= burst``, also holds for the corrected history.
        """
        self.write_off(tokens)
        self.level += self._lost.reclaim(spent_at, tokens, self.share.rate)

    def restore(self, tokens: float) -> None:
        """Move lent `tokens` back to the level."""
        self.write_off(tokens)
        self.level += min(tokens, max(self._headroom(), 0.0))

    def resize(self, share: Share, now: Millis) -> None:
        """Change rate and burst, and reduce a level that exceeds the new burst."""
        self.refill(now)
        self.share = share
        self._lost.clear()
        self._refilled_at = max(self._refilled_at, now)
        self.level = max(min(self.level, share.burst - self.outstanding), 0.0)

    def is_full(self) -> bool:
        """Return whether nothing is lent and the level has reached the burst."""
        return self.outstanding == 0.0 and self.level >= self.share.burst

    def _headroom(self) -> float:
        return self.share.burst - self.level - self.outstanding
