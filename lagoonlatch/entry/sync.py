"""Keep the replica up to date with the store.

A VM reads a snapshot, and then watches the store or receives changes from other VMs.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import gevent
from gevent.event import Event
from returns.result import Failure

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.entry.events import (
    SnapshotIgnored,
    StandingChanged,
    StoreLost,
    StoreRegained,
    WatchHistoryGone,
    WatchSilent,
)
from lagoonlatch.entry.journal import emit
from lagoonlatch.entry.outage import OutageDetector
from lagoonlatch.entry.replica import Batch, StoreReplica
from lagoonlatch.platform.kv import HistoryGone, KeyValueStore, Watch
from lagoonlatch.platform.store import StoreError
from lagoonlatch.steering.knowledge import Knowledge
from lagoonlatch.steering.watchers import ROUND_LENGTH_IN_SETTLE_TIMES, Standing

MAX_WATCH_WAIT: Millis = 25_000.0
"""Longest wait of a watch; the store permits up to 30 s."""

WAIT_MARGIN: Millis = 500.0
"""Part of the settle time that is left after a wait, in which a new snapshot can be
read."""

WATCH_PAUSE: Millis = 400.0
"""Pause between an answer of the watch and the next call, so that one call brings the
changes of several upstreams. It is a small part of the time within which a change
must be applied."""

MIN_RETRY_DELAY: Millis = 150.0
MAX_RETRY_DELAY: Millis = 500.0
"""Bounds of the growing pause between calls to a store that fails."""

FIRST_READ_DELAY: Millis = 1_000.0
"""When all VMs start for the first time, each reads its snapshot after all have
registered, so that one snapshot shows all of them. They start within 0.3 s of each
other."""


MAX_WATCH_LAG: Millis = 500.0
"""A watch is interrupted if it has not reported changes that other VMs have known for
this time; even a slow store answers within 0.2 s."""


class StoreSync:
    """Keep this VM's replica up to date with the store.

    Parameters
    ----------
    settle_time : Millis
        Time within which at least one VM has to make a new call to the store. A store
        that drops its history may not report changes to a pending watch, and only a new
        call reveals that.
    should_watch : callable
        Returns whether this VM watches the store itself; otherwise it gets the changes
        from VMs that do.
    next_wait : callable
        Returns how long the next watch waits, given how long a single watcher would
        wait.
    propagate : callable
        Is called with the changes that this VM's own watch has received.
    delay_first_read : bool
        Whether the first read is delayed, because all VMs start for the first time.

    Attributes
    ----------
    is_pausing : bool
        Whether this VM pauses between two watches.
    """

    def __init__(
        self,
        store: KeyValueStore,
        replica: StoreReplica,
        settle_time: Millis,
        should_watch: Callable[[], bool],
        next_wait: Callable[[Millis], Millis],
        propagate: Callable[[Batch], None],
        outage: OutageDetector,
        clock: Clock,
        delay_first_read: bool = False,
    ) -> None:
        self._store = store
        self._replica = replica
        self._clock = clock
        self._should_watch = should_watch
        self._next_wait = next_wait
        self._propagate = propagate
        self._outage = outage
        self._first_delay = FIRST_READ_DELAY if delay_first_read else 0.0
        self._single_watcher_wait = min(
            settle_time - WAIT_MARGIN, MAX_WATCH_WAIT / ROUND_LENGTH_IN_SETTLE_TIMES
        )
        longest = self._single_watcher_wait * (ROUND_LENGTH_IN_SETTLE_TIMES + 1.0)
        self._watch: Watch = store.open_watch("", min(longest, MAX_WATCH_WAIT))
        self._needs_snapshot = True
        self._standing = Standing.LISTENS
        self._failing_since: Millis | None = None
        self._retry_delay = MIN_RETRY_DELAY
        self._watch_wanted = Event()
        self._watched_since: tuple[int, int] | None = None
        self._lagging_since: Millis | None = None
        self._behind_era_since: Millis | None = None
        self._was_interrupted = False
        self.is_pausing = False

    @property
    def standing(self) -> Standing:
        """How this VM learns of changes of the store."""
        return Standing.REFUSED if self.is_failing else self._standing

    @property
    def is_failing(self) -> bool:
        """Whether the last call to the store failed."""
        return self._failing_since is not None

    def failing_for(self) -> Millis:
        """Return how long calls to the store have failed; 0 if the last succeeded."""
        if self._failing_since is None:
            return 0.0
        return self._clock.now() - self._failing_since

    def run(self) -> None:
        """Read and watch the store for ever."""
        gevent.sleep(self._first_delay / MILLIS_PER_SECOND)
        while True:
            self._step()

    def check_watch(self) -> None:
        """Start a watch if this VM should watch, and end one that lags.

        This method is called at intervals. A watch lags if other VMs have known later
        changes for `MAX_WATCH_LAG`; a working watch would have reported them.
        """
        self._check_watch_lag()
        self._check_era()
        if not self._watch_wanted.is_set() and self._should_watch():
            self._watch_wanted.set()

    def _check_era(self) -> None:
        """Read a snapshot if the store was restored and no VM has sent the changes."""
        now = self._clock.now()
        if not self._replica.revision or self._store.era <= self._replica.era:
            self._behind_era_since = None
        elif self._behind_era_since is None:
            self._behind_era_since = now
        elif now - self._behind_era_since >= MAX_WATCH_LAG:
            self._behind_era_since = None
            self._needs_snapshot = True
            self._watch_wanted.set()
            if self._watched_since is not None:
                self._was_interrupted = True
                self._watch.interrupt()

    def _check_watch_lag(self) -> None:
        since, now = self._watched_since, self._clock.now()
        if since is None or self._replica.knowledge.position <= since:
            self._lagging_since = None
        elif self._lagging_since is None:
            self._lagging_since = now
        elif now - self._lagging_since >= MAX_WATCH_LAG and not self._was_interrupted:
            self._was_interrupted = True
            emit(WatchSilent(since=since[1], revision=self._replica.revision))
            self._watch.interrupt()

    def _step(self) -> None:
        if not self._needs_snapshot and not self._should_watch():
            self._set_standing(Standing.LISTENS)
            self._watch_wanted.clear()
            self._watch_wanted.wait()
            return
        sent = self._clock.now()
        failure = (
            self._read_snapshot() if self._needs_snapshot else self._wait_for_changes()
        )
        if failure is not None:
            self._note_failure(failure, sent)

    def _set_standing(self, standing: Standing) -> None:
        if standing is not self._standing:
            self._standing = standing
            emit(
                StandingChanged(
                    standing=standing.name.lower(), revision=self._replica.revision
                )
            )

    def _read_snapshot(self) -> StoreError | None:
        snapshot = self._store.read_prefix("")
        if isinstance(snapshot, Failure):
            return snapshot.failure()
        self._note_success()
        found = snapshot.unwrap()
        known = self._replica.knowledge
        if not self._replica.apply_snapshot(found.entries, found.revision, found.era):
            emit(
                SnapshotIgnored(
                    era=found.era,
                    revision=found.revision,
                    known_era=known.era,
                    known_revision=known.revision,
                )
            )
            gevent.sleep(MIN_RETRY_DELAY / MILLIS_PER_SECOND)
            if found.era < known.era:
                # An answer of the store before it was restored.
                return None
        self._replica.note_latest(Knowledge(era=found.era, revision=found.revision))
        self._needs_snapshot = False
        return None

    def _wait_for_changes(self) -> StoreError | None:
        self._set_standing(Standing.WATCHES)
        since = self._replica.revision
        position = self._replica.knowledge.position
        wait = min(self._next_wait(self._single_watcher_wait), MAX_WATCH_WAIT)
        self._watched_since, self._lagging_since = position, None
        try:
            changes = self._watch.wait_for_changes(since, wait)
        finally:
            self._watched_since = None
        was_interrupted, self._was_interrupted = self._was_interrupted, False
        if was_interrupted:
            # Count this as a failure, so that another VM watches until this one has
            # read a new snapshot.
            self._needs_snapshot = True
            self._failing_since = self._clock.now()
            return None
        if isinstance(changes, Failure):
            error = changes.failure()
            # A new snapshot brings the changes that the failed watch missed.
            self._needs_snapshot = True
            if isinstance(error, HistoryGone):
                emit(WatchHistoryGone(revision=since))
                return None
            return error
        self._note_success()
        found = changes.unwrap()
        if found.era > self._replica.era:
            # The changes don't follow those that this VM knows.
            self._needs_snapshot = True
            return None
        batch = Batch(
            since=since, until=found.revision, changes=found.changes, era=found.era
        )
        self._replica.apply_batch(batch)
        self._replica.note_latest(
            Knowledge(
                era=found.era,
                revision=found.revision,
                version=self._replica.newest_configuration_version,
            )
        )
        if found.changes and found.era == self._replica.era:
            self._propagate(batch)
            self.is_pausing = True
            gevent.sleep(WATCH_PAUSE / MILLIS_PER_SECOND)
            self.is_pausing = False
        return None

    def _note_success(self) -> None:
        self._outage.note_success()
        if self._failing_since is not None:
            outage = self._clock.now() - self._failing_since
            emit(
                StoreRegained(outage_ms=round(outage), revision=self._replica.revision)
            )
        self._failing_since = None
        self._retry_delay = MIN_RETRY_DELAY

    def _note_failure(self, error: StoreError, sent: Millis) -> None:
        self._outage.note_failure(sent)
        if self._failing_since is None:
            self._failing_since = self._clock.now()
            emit(StoreLost(why=str(error), revision=self._replica.revision))
        gevent.sleep(self._retry_delay * random.uniform(0.7, 1.3) / MILLIS_PER_SECOND)
        self._retry_delay = min(self._retry_delay * 2.0, MAX_RETRY_DELAY)
