"""Requests that end the processes of the upstreams that run them.

A request is named by its fingerprint. An abrupt end of an upstream counts one death for
every fingerprint that it was running, however many equal requests it ran; upstreams
that end together count once. At the limit the fingerprint is refused for a while. A
whole answer clears what was counted, since no request that ends upstreams gets one.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass

from lagoonlatch.clock import Clock, Millis

DEATH_LIMIT = 2
DEFAULT_MEMORY: Millis = 10 * 60_000.0
DEFAULT_QUARANTINE: Millis = 10 * 60_000.0
DEFAULT_CAPACITY = 4_096


@dataclass(frozen=True)
class SuspectReport:
    """What one VM tells the others of a fingerprint.

    Parameters
    ----------
    deaths : int
        Abrupt ends of upstreams counted so far.
    duration : Millis
        How long the count stands, from the receipt.
    """

    fingerprint: str
    deaths: int
    duration: Millis


@dataclass(frozen=True)
class _Suspicion:
    deaths: int
    until: Millis
    last_death_at: Millis


class Quarantine:
    """Deaths by fingerprint, for at most `capacity` of them.

    Parameters
    ----------
    duration : Millis
        How long a fingerprint is refused once it is at the limit.
    """

    def __init__(
        self,
        clock: Clock,
        duration: Millis = DEFAULT_QUARANTINE,
        capacity: int = DEFAULT_CAPACITY,
    ) -> None:
        self._clock = clock
        self._duration = duration
        self._capacity = capacity
        self._suspicion_by_fingerprint: OrderedDict[str, _Suspicion] = OrderedDict()

    def count_death(self, fingerprint: str, started: Millis) -> SuspectReport | None:
        """Count a death of the upstream that ran a request since `started`.

        Returns the report for the other VMs; None if the request was already running
        at the last death that counts, and so is no evidence of another one.
        """
        now = self._clock.now()
        known = self._find(fingerprint)
        if known is not None and started < known.last_death_at:
            return None
        deaths = self.deaths(fingerprint) + 1
        duration = self._duration if deaths >= DEATH_LIMIT else DEFAULT_MEMORY
        self._remember(fingerprint, _Suspicion(deaths, now + duration, now))
        return SuspectReport(fingerprint, deaths, duration)

    def report(self, fingerprint: str, deaths: int, duration: Millis) -> None:
        """Take in another VM's report: the higher count and the later end stand."""
        now = self._clock.now()
        until, last_death_at = now + duration, now
        known = self._find(fingerprint)
        if known is not None:
            if deaths <= known.deaths:
                last_death_at = known.last_death_at
            deaths = max(deaths, known.deaths)
            until = max(until, known.until)
        self._remember(fingerprint, _Suspicion(deaths, until, last_death_at))

    def clear(self, fingerprint: str) -> None:
        """Forget a fingerprint that got a whole answer."""
        self._suspicion_by_fingerprint.pop(fingerprint, None)

    def suspect(self, fingerprint: str) -> bool:
        """Return whether an upstream has died while it ran this fingerprint."""
        return self.deaths(fingerprint) > 0

    def deaths(self, fingerprint: str) -> int:
        """Return the deaths counted for a fingerprint."""
        known = self._find(fingerprint)
        return 0 if known is None else known.deaths

    def refused_for(self, fingerprint: str) -> Millis:
        """Return how long a fingerprint is still refused; 0 if it is not."""
        known = self._find(fingerprint)
        if known is None or known.deaths < DEATH_LIMIT:
            return 0.0
        return known.until - self._clock.now()

    def _find(self, fingerprint: str) -> _Suspicion | None:
        known = self._suspicion_by_fingerprint.get(fingerprint)
        if known is not None and known.until <= self._clock.now():
            del self._suspicion_by_fingerprint[fingerprint]
            return None
        return known

    def _remember(self, fingerprint: str, suspicion: _Suspicion) -> None:
        self._suspicion_by_fingerprint[fingerprint] = suspicion
        self._suspicion_by_fingerprint.move_to_end(fingerprint)
        while len(self._suspicion_by_fingerprint) > self._capacity:
            self._suspicion_by_fingerprint.popitem(last=False)
