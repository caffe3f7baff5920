"""An estimate of the demand for tokens."""

from __future__ import annotations

import math

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis

TIME_CONSTANT: Millis = 1_000.0
"""Time in which the weight of a request decays to 1/e."""


class Demand:
    """An exponentially weighted average of the requested tokens a second."""

    def __init__(self, now: Millis) -> None:
        self._weighted_tokens = 0.0
        self._updated_at = now

    def add(self, tokens: float, now: Millis) -> None:
        """Count `tokens` requested now."""
        self._decay(now)
        self._weighted_tokens += tokens

    def rate(self, now: Millis) -> float:
        """Return the average demand in tokens a second."""
        self._decay(now)
        return self._weighted_tokens / TIME_CONSTANT * MILLIS_PER_SECOND

    def _decay(self, now: Millis) -> None:
        elapsed = max(now - self._updated_at, 0.0)
        self._weighted_tokens *= math.exp(-elapsed / TIME_CONSTANT)
        self._updated_at = now
