"""Requests that may crash the upstreams that run them.

A request is identified by its fingerprint, which equal requests share. A crash is one
event of one run of an upstream, however many equal requests it ended and however many
VMs noticed it. Upstreams may also crash together for another reason, such as a loss of
power, while a harmless request is running at several of them. A crash therefore counts
against a request only if the request was sent to that upstream after the previous crash
that counts. An upstream that falls silent may have been down before, so the time at
which it was last heard decides instead.

Copies of a request that are sent together crash upstreams together too, and count
once. Once `CRASH_LIMIT` upstreams have crashed, whether or not all of these crashes
count, the request is suspect: one copy at a time, a trial, may run, and all others are
refused. A trial either crashes the upstream, which counts, or is answered, which clears
the suspicion at all VMs. At `CRASH_LIMIT` crashes that count, trials pause for a time
that doubles with each further one. A crash of an upstream that was sent the request
before an equal request got a whole answer is no evidence.

The VMs take turns with trials, in an order that each knows without communication. The
VM that starts a trial tells the others, which start none until it must have ended.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.membership.rendezvous import ranked

CRASH_LIMIT = 3
"""Crashes after which a request is refused. A harmless request may be running at two
upstreams that crash for another reason."""

FIRST_REFUSAL_TIME: Millis = 60_000.0
MAX_REFUSAL_TIME: Millis = 10 * 60_000.0
"""Bounds of the time for which a request is refused, which doubles with each crash."""

MEMORY_TIME: Millis = 30 * 60_000.0
"""How long a crash is remembered."""

TRIAL_TIME: Millis = 10_000.0
"""How long equal requests are refused while one is let through, unless its VM states
the time."""

MAX_TRIAL_TIME: Millis = 60_000.0
"""Longest trial of another VM that is waited for."""

TURN_TIME: Millis = 1_000.0
TURN_OPEN_TIME: Millis = 350.0
"""Length of a VM's turn, and of the part in which it may start a trial. In the rest the
other VMs learn of the trial, also if some of the reports are lost."""

FIRST_TURN_DELAY: Millis = 1_000.0
"""Time between a crash and the first turn, in which all VMs learn of the crash."""

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
    """Crashes by the fingerprint of the requests that they ended.

    Parameters
    ----------
    own_vm : str
        Id of this VM.
    list_vms : callable
        Returns the ids of the other VMs.
    """

    def __init__(
        self,
        clock: Clock,
        own_vm: str = "",
        list_vms: Callable[[], Iterable[str]] = tuple,
    ) -> None:
        self._clock = clock
        self._own_vm = own_vm
        self._list_vms = list_vms
        self._suspicion_by_fingerprint: OrderedDict[str, _Suspicion] = OrderedDict()
        self._answered_at_by_fingerprint: OrderedDict[str, Millis] = OrderedDict()

    def add(self, fingerprint: str, crashes: Iterable[Crash]) -> bool:
        """Add crashes that this or another VM noticed; return whether any was unknown.

        Several VMs notice a crash at different times; the earliest ones count.
        """
        suspicion = self._suspicion_by_fingerprint.setdefault(fingerprint, _Suspicion())
        self._suspicion_by_fingerprint.move_to_end(fingerprint)
        known = suspicion.crash_by_run
        has_new = False
        answered_at = self._answered_at_by_fingerprint.get(fingerprint, -math.inf)
        for crash in crashes:
            if crash.sent_at < answered_at:
                continue
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
            counted = {crash.run for crash in _select_counted(known.values())}
            # Crashes that don't count go first; they mustn't displace those that do.
            evicted = min(
                known.values(), key=lambda crash: (crash.run in counted, crash.ended_at)
            )
            del known[evicted.run]
        while len(self._suspicion_by_fingerprint) > MAX_FINGERPRINTS:
            self._suspicion_by_fingerprint.popitem(last=False)
        return has_new

    def clear(self, fingerprint: str) -> bool:
        """Forget a request that got a whole answer; return whether it was suspected."""
        suspicion = self._suspicion_by_fingerprint.pop(fingerprint, None)
        if suspicion is not None or fingerprint in self._answered_at_by_fingerprint:
            self._answered_at_by_fingerprint[fingerprint] = self._clock.now()
            self._answered_at_by_fingerprint.move_to_end(fingerprint)
        while len(self._answered_at_by_fingerprint) > MAX_FINGERPRINTS:
            self._answered_at_by_fingerprint.popitem(last=False)
        return suspicion is not None

    def crashes(self, fingerprint: str) -> list[Crash]:
        """Return the crashes that are remembered for a request, in their order."""
        suspicion = self._find(fingerprint)
        if suspicion is None:
            return []
        crashes = suspicion.crash_by_run.values()
        return sorted(crashes, key=lambda crash: crash.ended_at)

    def count(self, fingerprint: str) -> int:
        """Return the number of crashes that are evidence against a request."""
        return len(_select_counted(self.crashes(fingerprint)))

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether only one copy of a request at a time may run."""
        return len(self.crashes(fingerprint)) >= CRASH_LIMIT

    def refused_for(self, fingerprint: str) -> Millis:
        """Return how long a request is still refused; 0 if it may run."""
        crashes = self.crashes(fingerprint)
        if len(crashes) < CRASH_LIMIT:
            return 0.0
        now = self._clock.now()
        trial_until = self._suspicion_by_fingerprint[fingerprint].trial_until
        turns_from = crashes[-1].ended_at + _refusal_time(crashes)
        wait = max(trial_until - now, turns_from - now, 0.0)
        return wait + self._turn_wait(fingerprint, now + wait - turns_from)

    def admit(self, fingerprint: str, max_duration: Millis = TRIAL_TIME) -> Millis:
        """Return how long a request is refused; 0 if it may run now.

        Of the copies of a suspect request, one at a time may run.

        Parameters
        ----------
        max_duration : Millis
            Time after which the outcome of a trial is known.
        """
        refused_for = self.refused_for(fingerprint)
        if refused_for <= 0.0 and self.is_suspect(fingerprint):
            suspicion = self._suspicion_by_fingerprint[fingerprint]
            suspicion.trial_until = self._clock.now() + max_duration
        return refused_for

    def trial_left(self, fingerprint: str) -> Millis:
        """Return how long the trial of a request may still take; 0 without one."""
        suspicion = self._find(fingerprint)
        if suspicion is None:
            return 0.0
        return max(suspicion.trial_until - self._clock.now(), 0.0)

    def note_trial(self, fingerprint: str, left: Millis) -> None:
        """Start no trial of a request while another VM runs one."""
        suspicion = self._find(fingerprint)
        if suspicion is not None:
            until = self._clock.now() + min(left, MAX_TRIAL_TIME)
            suspicion.trial_until = max(suspicion.trial_until, until)

    def end_trial(self, fingerprint: str) -> None:
        """End the trial of a request that no upstream has run."""
        suspicion = self._find(fingerprint)
        if suspicion is not None:
            suspicion.trial_until = -math.inf

    def _turn_wait(self, fingerprint: str, elapsed: Millis) -> Millis:
        """Return how long after `elapsed` this VM may start a trial.

        Parameters
        ----------
        elapsed : Millis
            Time since the turns began.
        """
        vms = ranked(fingerprint, {self._own_vm, *self._list_vms()})
        if len(vms) == 1:
            return 0.0
        own_turn = FIRST_TURN_DELAY + vms.index(self._own_vm) * TURN_TIME
        period = len(vms) * TURN_TIME
        if elapsed < own_turn:
            return own_turn - elapsed
        since_turn = (elapsed - own_turn) % period
        return 0.0 if since_turn < TURN_OPEN_TIME else period - since_turn

    def _find(self, fingerprint: str) -> _Suspicion | None:
        suspicion = self._suspicion_by_fingerprint.get(fingerprint)
        if suspicion is None:
            return None
        oldest = self._clock.now() - MEMORY_TIME
        # One without crashes stays: other VMs may suspect the request, and learn of
        # its next answer.
        had_crashes = bool(suspicion.crash_by_run)
        for crash in list(suspicion.crash_by_run.values()):
            if crash.ended_at <= oldest:
                del suspicion.crash_by_run[crash.run]
        if had_crashes and not suspicion.crash_by_run:
            del self._suspicion_by_fingerprint[fingerprint]
        return suspicion if suspicion.crash_by_run else None


def _select_counted(crashes: Iterable[Crash]) -> list[Crash]:
    """Return the crashes that are evidence, each sent after the previous one ended."""
    counted: list[Crash] = []
    for crash in sorted(crashes, key=lambda crash: crash.ended_at):
        if not counted or crash.sent_at >= counted[-1].ended_at:
            counted.append(crash)
    return counted


def _refusal_time(crashes: list[Crash]) -> Millis:
    """Return how long after the last of `crashes` there are no trials."""
    counted = _select_counted(crashes)
    if len(counted) < CRASH_LIMIT:
        return 0.0
    third = crashes[CRASH_LIMIT - 1]
    further = sum(crash.ended_at > third.ended_at for crash in counted)
    return min(FIRST_REFUSAL_TIME * 2.0**further, MAX_REFUSAL_TIME)
