"""Follows the store: one snapshot, then waiting watches or what other VMs pass on."""

from __future__ import annotations

import random
from collections.abc import Callable

import gevent
from gevent.event import Event
from returns.result import Failure

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.entry.events import (
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
from lagoonlatch.steering.watchers import ROUND_LENGTH_IN_SETTLE_TIMES, Standing

LONGEST_WAIT: Millis = 25_000.0
"""The store lets a watch wait for 30 s."""

WAIT_MARGIN: Millis = 500.0
"""What is left of the settling time after a wait: for a new reading."""

GATHER: Millis = 400.0
"""Pause between an answer of the watch and the next call, so that one call brings the
changes of several upstreams; a small part of the time in which a change must count."""

RETRY_FIRST: Millis = 150.0
RETRY_MOST: Millis = 500.0
"""Bounds of the growing pause between calls to a store that fails."""

FIRST_READING: Millis = 1_000.0
"""At the first start of all, VMs read after they have registered, so that one reading
shows all of them; they start within 0.3 s of each other."""


WATCH_LATE: Millis = 500.0
"""A watch that has not told what others have known for so long is silent; a store that
answers slowly takes 0.2 s."""


class StoreSync:
    """Keeps this VM's reading up to date with the store.

    Parameters
    ----------
    settle_time : Millis
        A store that drops its history may leave a waiting watch without its changes;
        since a new call tells so, some call must come round within this.
    should_watch : callable
        Returns whether this VM watches the store or listens to others that do.
    next_wait : callable
        Returns how long the next watch waits, from the longest that one alone may.
    propagate : callable
        Is given the changes that this VM's own watch has brought.
    delay_first_read : bool
        Whether all VMs start now for the first time.
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
        self._pass_on = propagate
        self._outage = outage
        self._first_pause = FIRST_READING if delay_first_read else 0.0
        self._alone_wait = min(
            settle_time - WAIT_MARGIN, LONGEST_WAIT / ROUND_LENGTH_IN_SETTLE_TIMES
        )
        longest = self._alone_wait * (ROUND_LENGTH_IN_SETTLE_TIMES + 1.0)
        self._watch: Watch = store.open_watch("", min(longest, LONGEST_WAIT))
        self._needs_reading = True
        self._standing = Standing.LISTENS
        self._failing_since: Millis | None = None
        self._pause = RETRY_FIRST
        self._must_watch = Event()
        self._watched_since: int | None = None
        self._late_since: Millis | None = None
        self._is_silent = False
        self.is_gathering = False

    @property
    def standing(self) -> Standing:
        """How this VM learns what the store holds."""
        return Standing.REFUSED if self.is_failing else self._standing

    @property
    def is_failing(self) -> bool:
        """Whether the last call to the store failed."""
        return self._failing_since is not None

    def failing_for(self) -> Millis:
        """Return how long calls to the store have failed; 0 if the last one didn't."""
        if self._failing_since is None:
            return 0.0
        return self._clock.now() - self._failing_since

    def run(self) -> None:
        """Follow the store for ever."""
        gevent.sleep(self._first_pause / MILLIS_PER_SECOND)
        while True:
            self._step()

    def check_watch(self) -> None:
        """Begin to watch if nobody else of the region does; called now and then.

        A watch of this VM that others have overtaken is given up: the store has
        changes for it, so it would have answered.
        """
        self._look_at_watch()
        if not self._must_watch.is_set() and self._should_watch():
            self._must_watch.set()

    def _look_at_watch(self) -> None:
        since, now = self._watched_since, self._clock.now()
        if since is None or self._replica.revision <= since:
            self._late_since = None
        elif self._late_since is None:
            self._late_since = now
        elif now - self._late_since >= WATCH_LATE and not self._is_silent:
            self._is_silent = True
            emit(WatchSilent(since=since, revision=self._replica.revision))
            self._watch.interrupt()

    def _step(self) -> None:
        if not self._needs_reading and not self._should_watch():
            self._stand(Standing.LISTENS)
            self._must_watch.clear()
            self._must_watch.wait()
            return
        sent = self._clock.now()
        failure = self._read() if self._needs_reading else self._follow()
        if failure is not None:
            self._note_failure(failure, sent)

    def _stand(self, standing: Standing) -> None:
        if standing is not self._standing:
            self._standing = standing
            emit(
                StandingChanged(
                    standing=standing.name.lower(), revision=self._replica.revision
                )
            )

    def _read(self) -> StoreError | None:
        snapshot = self._store.read_prefix("")
        if isinstance(snapshot, Failure):
            return snapshot.failure()
        self._note_success()
        found = snapshot.unwrap()
        self._replica.apply_snapshot(found.entries, found.revision)
        self._replica.note_latest_revisions(found.revision, 0)
        self._needs_reading = False
        return None

    def _follow(self) -> StoreError | None:
        self._stand(Standing.WATCHES)
        since = self._replica.revision
        wait = min(self._next_wait(self._alone_wait), LONGEST_WAIT)
        self._watched_since, self._late_since = since, None
        try:
            changes = self._watch.wait_for_changes(since, wait)
        finally:
            self._watched_since = None
        is_silent, self._is_silent = self._is_silent, False
        if is_silent:
            # Another VM takes over until this one has read the store anew.
            self._needs_reading = True
            self._failing_since = self._clock.now()
            return None
        if isinstance(changes, Failure):
            error = changes.failure()
            # What happened meanwhile is read anew.
            self._needs_reading = True
            if isinstance(error, HistoryGone):
                emit(WatchHistoryGone(revision=since))
                return None
            return error
        self._note_success()
        found = changes.unwrap()
        batch = Batch(since=since, until=found.revision, changes=found.changes)
        self._replica.apply_batch(batch)
        self._replica.note_latest_revisions(
            found.revision, self._replica.newest_configuration
        )
        if found.changes:
            self._pass_on(batch)
            self.is_gathering = True
            gevent.sleep(GATHER / MILLIS_PER_SECOND)
            self.is_gathering = False
        return None

    def _note_success(self) -> None:
        self._outage.note_success()
        if self._failing_since is not None:
            outage = self._clock.now() - self._failing_since
            emit(
                StoreRegained(outage_ms=round(outage), revision=self._replica.revision)
            )
        self._failing_since = None
        self._pause = RETRY_FIRST

    def _note_failure(self, error: StoreError, sent: Millis) -> None:
        self._outage.note_failure(sent)
        if self._failing_since is None:
            self._failing_since = self._clock.now()
            emit(StoreLost(why=str(error), revision=self._replica.revision))
        gevent.sleep(self._pause * random.uniform(0.7, 1.3) / MILLIS_PER_SECOND)
        self._pause = min(self._pause * 2.0, RETRY_MOST)
