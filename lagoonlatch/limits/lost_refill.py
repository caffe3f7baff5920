"""Record refill that a bucket lost while it counted spent tokens as outstanding.

Settlements of spent tokens arrive late. Until then the lender counts the tokens as
outstanding, and its bucket may be too full for refill. The refill lost since the tokens
were spent is added when the settlement arrives.
"""

from __future__ import annotations

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis
from lagoonlatch.limits.tokens import floor_tokens

MAX_SPANS = 16
"""Older spans are dropped; this only loses refill."""


class LostRefill:
    """The time spans in which refill was lost; each is reclaimed once at most."""

    def __init__(self) -> None:
        self._spans: list[tuple[Millis, Millis]] = []

    def add(self, start: Millis, end: Millis) -> None:
        """Record a span of lost refill, which must end after all recorded spans."""
        if self._spans and start <= self._spans[-1][1]:
            start = self._spans.pop()[0]
        self._spans.append((start, end))
        if len(self._spans) > MAX_SPANS:
            del self._spans[0]

    def reclaim(self, since: Millis, tokens: float, rate: float) -> float:
        """Return up to `tokens` of refill lost after `since`, the earliest first.

        Parameters
        ----------
        rate : float
            Tokens a second.
        """
        if rate <= 0.0:
            return 0.0
        wanted_millis = tokens / rate * MILLIS_PER_SECOND
        reclaimed_millis = 0.0
        kept = []
        for begin, end in self._spans:
            first = max(begin, since)
            span_millis = min(max(end - first, 0.0), wanted_millis - reclaimed_millis)
            reclaimed_millis += span_millis
            kept += [(begin, min(first, end)), (max(first + span_millis, begin), end)]
        self._spans = [(begin, end) for begin, end in kept if begin < end]
        return min(floor_tokens(reclaimed_millis * rate / MILLIS_PER_SECOND), tokens)

    def clear(self) -> None:
        """Remove all spans, when the rate changes or no lent tokens can be settled."""
        self._spans.clear()
