"""The exact bucket against which refusals and admissions are judged."""

from __future__ import annotations

from collections.abc import Iterable

from lagoonlatch.clock import MILLIS_PER_SECOND, Millis


class ReferenceBucket:
    """One bucket that sees every request at once, as no fleet can.

    Parameters
    ----------
    rate : float
        Tokens a second.
    burst : int
        Most tokens.
    """

    def __init__(self, rate: float, burst: int) -> None:
        self._rate = rate
        self._burst = burst
        self._level = float(burst)
        self._at: Millis = 0.0

    def admits(self, now: Millis) -> bool:
        """Take a token if there is one; `now` must not fall."""
        self._refill(now)
        if self._level < 1.0:
            return False
        self._level -= 1.0
        return True

    def charge(self, now: Millis) -> float:
        """Take a token even if there is none; return the tokens owed."""
        self._refill(now)
        self._level -= 1.0
        return max(0.0, -self._level)

    def _refill(self, now: Millis) -> None:
        gained = (now - self._at) * self._rate / MILLIS_PER_SECOND
        self._level = min(self._level + gained, float(self._burst))
        self._at = now


def within_rate(due_times: Iterable[Millis], rate: float, burst: int) -> list[bool]:
    """Return for each request, in order, whether the exact bucket admits it."""
    bucket = ReferenceBucket(rate, burst)
    return [bucket.admits(due) for due in due_times]


def largest_overrun(admitted: Iterable[Millis], rate: float, burst: int) -> float:
    """Return the most requests by which admissions exceed rate*t + burst.

    Parameters
    ----------
    admitted : iterable of Millis
        When each admitted request was due, rising. A caller can't see when it was
        admitted, so an overrun of a few requests can be jitter.
    rate : float
        Requests a second.
    burst : int
        Requests at once.
    """
    bucket = ReferenceBucket(rate, burst)
    return max((bucket.charge(now) for now in admitted), default=0.0)
