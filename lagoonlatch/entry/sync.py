"""Follows the store: one snapshot, then a waiting watch."""

from __future__ import annotations

import random

import gevent
from returns.result import Failure

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.entry.events import StoreLost, StoreRegained, WatchHistoryGone
from lagoonlatch.entry.facts import Facts
from lagoonlatch.entry.journal import emit
from lagoonlatch.platform.kv import HistoryGone, KeyValueStore, Watch
from lagoonlatch.platform.store import StoreError

LONGEST_WAIT: Millis = 25_000.0
"""The store lets a watch wait for 30 s."""

WAIT_MARGIN: Millis = 500.0
"""What is left of the settling time after a wait: for a new reading."""

GATHER: Millis = 800.0
"""Pause between an answer of the watch and the next call, so that one call brings the
changes of several upstreams; a small part of the time in which a change must count."""

RETRY_FIRST: Millis = 150.0
RETRY_MOST: Millis = 500.0
"""Bounds of the growing pause between calls to a store that fails."""

OUTAGE: Millis = 1_000.0
"""A store that has failed for so long may have let entries lapse."""


class StoreSync:
    """Keeps the facts up to date with the store.

    Parameters
    ----------
    settle_time : Millis
        A store that drops its history may leave a waiting watch without its changes;
        since a new call tells so, no call waits for this long.
    prefix : str
        The keys followed.

    Attributes
    ----------
    revision : int
        Of the store, up to which the facts are complete; 0 before the first reading.
    """

    def __init__(
        self,
        store: KeyValueStore,
        facts: Facts,
        settle_time: Millis,
        clock: Clock,
        prefix: str = "",
    ) -> None:
        self._store = store
        self._facts = facts
        self._clock = clock
        self._prefix = prefix
        wait = min(settle_time - WAIT_MARGIN, LONGEST_WAIT)
        self._watch: Watch = store.open_watch(prefix, wait)
        self._needs_reading = True
        self.revision = 0
        self._failing_since: Millis | None = None
        self._pause = RETRY_FIRST

    @property
    def is_failing(self) -> bool:
        """Whether the last call to the store failed."""
        return self._failing_since is not None

    def failing_for(self) -> Millis:
        """Return how long calls to the store have failed; 0 if the last one didn't."""
        if self._failing_since is None:
            return 0.0
        return self._clock.now() - self._failing_since

    def note_reading(self, revision: int) -> None:
        """Take in that another VM's reading up to `revision` is in the facts."""
        self.revision = max(self.revision, revision)

    def run(self) -> None:
        """Follow the store for ever."""
        while True:
            failure = self._read() if self._needs_reading else self._follow()
            if failure is None:
                self._note_success()
            else:
                self._note_failure(failure)

    def _read(self) -> StoreError | None:
        snapshot = self._store.read_prefix(self._prefix)
        if isinstance(snapshot, Failure):
            return snapshot.failure()
        self._note_success()
        found = snapshot.unwrap()
        self._facts.take_snapshot(found.entries)
        self.revision = found.revision
        self._needs_reading = False
        return None

    def _follow(self) -> StoreError | None:
        changes = self._watch.wait_for_changes(self.revision)
        if isinstance(changes, Failure):
            error = changes.failure()
            # What happened meanwhile is read anew.
            self._needs_reading = True
            if isinstance(error, HistoryGone):
                emit(WatchHistoryGone(revision=self.revision))
                return None
            return error
        self._note_success()
        found = changes.unwrap()
        self._facts.take_changes(found.changes)
        self.revision = found.revision
        if found.changes:
            gevent.sleep(GATHER / 1_000.0)
        return None

    def _note_success(self) -> None:
        if self._failing_since is not None:
            outage = self._clock.now() - self._failing_since
            if outage > OUTAGE:
                self._facts.note_outage_end()
            emit(StoreRegained(outage_ms=round(outage), revision=self.revision))
        self._failing_since = None
        self._pause = RETRY_FIRST

    def _note_failure(self, error: StoreError) -> None:
        if self._failing_since is None:
            self._failing_since = self._clock.now()
            emit(StoreLost(why=str(error), revision=self.revision))
        gevent.sleep(self._pause * random.uniform(0.7, 1.3) / 1_000.0)
        self._pause = min(self._pause * 2.0, RETRY_MOST)
