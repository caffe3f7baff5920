"""Requests that may crash the upstreams that run them.

A request is identified by its fingerprint, which equal requests share. A crash is one
event of one run of an upstream, however many equal requests it ended and however many
VMs noticed it. Upstreams may also crash together for another reason, such as a loss of
power, while a harmless request is running at several of them. A crash therefore counts
against a request only if the request was sent to that upstream after the previous crash
that counts. An upstream that falls silent may have been down before, so the time at
which it was last heard decides instead.

At `CRASH_LIMIT` the request is refused for a time that doubles with each further crash.
After that time each VM lets one request at a time run: it either crashes the upstream,
which counts, or is answered, which clears the suspicion at all VMs.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from lagoonlatch.clock import Clock, Millis

CRASH_LIMIT = 3
"""Crashes after which a request is refused. A harmless request may be running at two
upstreams that crash for another reason."""

FIRST_REFUSAL_TIME: Millis = 60_000.0
MAX_REFUSAL_TIME: Millis = 10 * 60_000.0
"""Bounds of the time for which a request is refused, which doubles with each crash."""

MEMORY_TIME: Millis = 30 * 60_000.0
"""How long a crash is remembered."""

TRIAL_TIME: Millis = 10_000.0
"""How long equal requests are refused while one is let through."""

MAX_CRASHES = 8
"""Crashes that are remembered for a request; the refusal is the longest before that."""

MAX_FINGERPRINTS = 4_096
"""Requests whose crashes are remembered."""


@dataclass(frozen=True, kw_only=True)
class Crash:
    """Crash of one run of an upstream that was running a request.

    Parameters
    ----------
    upstream : str
        Id of the upstream.
    born : float
        Start of the run that crashed, as the upstream states it.
    sent_at : Millis
        When the first of the equal requests that the crash ended was sent, or when the
        upstream was last heard before it fell silent.
    ended_at : Millis
        When the crash was first noticed.
    """

    upstream: str
    born: float
    sent_at: Millis
    ended_at: Millis

    @property
    def run(self) -> tuple[str, float]:
        """Names the run; a run can crash once."""
        return self.upstream, self.born


@dataclass
class _Suspicion:
    crash_by_run: dict[tuple[str, float], Crash] = field(default_factory=dict)
    trial_until: Millis = -math.inf


class CrashQuarantine:
    """Crashes by the fingerprint of the requests that they ended."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._suspicion_by_fingerprint: OrderedDict[str, _Suspicion] = OrderedDict()

    def add(self, fingerprint: str, crashes: Iterable[Crash]) -> bool:
        """Add crashes that this or another VM noticed; return whether any was unknown.

        Several VMs notice a crash at different times; the earliest ones count.
        """
        suspicion = self._suspicion_by_fingerprint.setdefault(fingerprint, _Suspicion())
        self._suspicion_by_fingerprint.move_to_end(fingerprint)
        known = suspicion.crash_by_run
        has_new = False
        for crash in crashes:
            same = known.get(crash.run)
            has_new = has_new or same is None
            if same is not None:
                crash = replace(
                    crash,
                    sent_at=min(crash.sent_at, same.sent_at),
                    ended_at=min(crash.ended_at, same.ended_at),
                )
            known[crash.run] = crash
        while len(known) > MAX_CRASHES:
            del known[min(known.values(), key=lambda crash: crash.ended_at).run]
        while len(self._suspicion_by_fingerprint) > MAX_FINGERPRINTS:
            self._suspicion_by_fingerprint.popitem(last=False)
        return has_new

    def clear(self, fingerprint: str) -> bool:
        """Forget a request that got a whole answer; return whether it was suspected."""
        return self._suspicion_by_fingerprint.pop(fingerprint, None) is not None

    def crashes(self, fingerprint: str) -> list[Crash]:
        """Return the crashes that are remembered for a request, in their order."""
        suspicion = self._find(fingerprint)
        if suspicion is None:
            return []
        crashes = suspicion.crash_by_run.values()
        return sorted(crashes, key=lambda crash: crash.ended_at)

    def count(self, fingerprint: str) -> int:
        """Return the number of crashes that are evidence against a request."""
        count, last_ended_at = 0, -math.inf
        for crash in self.crashes(fingerprint):
            if crash.sent_at >= last_ended_at:
                count, last_ended_at = count + 1, crash.ended_at
        return count

    def refused_for(self, fingerprint: str) -> Millis:
        """Return how long a request is still refused; 0 if it may run."""
        suspicion = self._find(fingerprint)
        if suspicion is None:
            return 0.0
        count = self.count(fingerprint)
        if count < CRASH_LIMIT:
            return 0.0
        duration = min(
            FIRST_REFUSAL_TIME * 2.0 ** (count - CRASH_LIMIT), MAX_REFUSAL_TIME
        )
        last_crash = self.crashes(fingerprint)[-1]
        until = max(last_crash.ended_at + duration, suspicion.trial_until)
        return max(until - self._clock.now(), 0.0)

    def admit(self, fingerprint: str) -> Millis:
        """Return how long a request is refused; 0 if it may run now.

        Of the requests that were refused, one at a time may run.
        """
        refused_for = self.refused_for(fingerprint)
        if refused_for <= 0.0 and self.count(fingerprint) >= CRASH_LIMIT:
            suspicion = self._suspicion_by_fingerprint[fingerprint]
            suspicion.trial_until = self._clock.now() + TRIAL_TIME
        return refused_for

    def _find(self, fingerprint: str) -> _Suspicion | None:
        suspicion = self._suspicion_by_fingerprint.get(fingerprint)
        if suspicion is None:
            return None
        oldest = self._clock.now() - MEMORY_TIME
        for crash in list(suspicion.crash_by_run.values()):
            if crash.ended_at <= oldest:
                del suspicion.crash_by_run[crash.run]
        if not suspicion.crash_by_run:
            del self._suspicion_by_fingerprint[fingerprint]
            return None
        return suspicion
