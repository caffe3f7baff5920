"""The refill that a full bucket turned away, for the news that it wasn't full.

News of spent tokens is late: until it comes, a lender counts them as outstanding and
may turn refill away. What was turned away since the tokens were spent is made good.
"""

from __future__ import annotations

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.limits.tokens import floor_tokens

MOST_SPANS = 16
"""Older spans are forgotten, which only loses refill."""


class LostRefill:
    """The times during which refill was turned away, each used once at most."""

    def __init__(self) -> None:
        self._spans: list[tuple[Millis, Millis]] = []

    def add(self, start: Millis, end: Millis) -> None:
        """Note that refill was turned away from `start` to `end`, after all others."""
        if self._spans and start <= self._spans[-1][1]:
            start = self._spans.pop()[0]
        self._spans.append((start, end))
        if len(self._spans) > MOST_SPANS:
            del self._spans[0]

    def reclaim(self, since: Millis, tokens: float, rate: float) -> float:
        """Return up to `tokens` of what was turned away after `since`, earliest first.

        Parameters
        ----------
        rate : float
            Tokens a second.
        """
        if rate <= 0.0:
            return 0.0
        wanted = tokens / rate * MILLIS_PER_SECOND
        total = 0.0
        kept = []
        for begin, end in self._spans:
            first = max(begin, since)
            taken = min(max(end - first, 0.0), wanted - total)
            total += taken
            kept += [(begin, min(first, end)), (max(first + taken, begin), end)]
        self._spans = [(begin, end) for begin, end in kept if begin < end]
        return min(floor_tokens(total * rate / MILLIS_PER_SECOND), tokens)

    def clear(self) -> None:
        """Forget all: the rate changes, or nothing is lent that might be news."""
        self._spans.clear()
