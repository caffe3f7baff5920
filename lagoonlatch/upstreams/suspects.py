"""Turns of requests that may end upstreams: equal ones run one at a time."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from gevent.event import Event

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.upstreams.quarantine import Quarantine


class SuspectTurns:
    """Lets one request of each suspected fingerprint run."""

    def __init__(self, quarantine: Quarantine, clock: Clock) -> None:
        self._quarantine = quarantine
        self._clock = clock
        self._ended_by_fingerprint: dict[str, Event] = {}

    @contextmanager
    def turn(self, fingerprint: str, until: Millis) -> Iterator[bool]:
        """Wait for the turn of a request; tell whether it came before `until`.

        A request that nothing is suspected of has its turn at once.
        """
        if not self._wait(fingerprint, until):
            yield False
            return
        if not self._quarantine.suspect(fingerprint):
            yield True
            return
        ended = self._ended_by_fingerprint[fingerprint] = Event()
        try:
            yield True
        finally:
            del self._ended_by_fingerprint[fingerprint]
            ended.set()

    def _wait(self, fingerprint: str, until: Millis) -> bool:
        while fingerprint in self._ended_by_fingerprint:
            left = until - self._clock.now()
            if left <= 0.0:
                return False
            self._ended_by_fingerprint[fingerprint].wait(left / MILLIS_PER_SECOND)
        return True
