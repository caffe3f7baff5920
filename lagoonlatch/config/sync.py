"""Keeps a VM's configuration up to date, from the store and from other VMs.

See Also
--------
lagoonlatch.config.repair : What happens when the store has lost its newest state.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

import gevent
from gevent.event import Event
from returns.result import Failure, Result, Success

from lagoonlatch.clock import MILLIS_PER_SECOND, Clock, Millis
from lagoonlatch.config.head import Head
from lagoonlatch.config.holder import ConfigurationHolder
from lagoonlatch.config.model import Configuration
from lagoonlatch.config.offers import BaseDiffers, PartsLacking
from lagoonlatch.config.parts import StoredHead, read_head, read_parts
from lagoonlatch.config.pointer import HEAD_KEY
from lagoonlatch.config.repair import StoreRepair
from lagoonlatch.events import EventKind, EventLog
from lagoonlatch.platform.store import Store

WATCHER_INTERVAL: Millis = 2_000.0
"""Time between two reads of the head by a VM that watches the store."""

OTHERS_INTERVAL: Millis = 30_000.0
"""Time between two reads of the head by a VM that hears of it from others."""

START_INTERVAL: Millis = 1_000.0
"""Time between two reads of the head by a VM without a configuration."""

BULK_PARTS = 64
"""From so many lacking parts on, a VM first waits for a peer to send them."""

WATCHER_BULK_DELAY: Millis = 2_000.0
"""How long a watcher waits for a peer to send many parts."""

ROLE_INTERVAL: Millis = 1_000.0
"""Time between two checks whether this VM is a watcher."""

FIRST_PAUSE: Millis = 200.0
LONGEST_PAUSE: Millis = 5_000.0

_JITTER = 0.25

Fetch = Callable[[int], Result[bytes, str]]


@dataclass(frozen=True)
class ReadDeferred:
    """So many parts are lacking that a peer gets the time to send them first."""

    parts: int


class ConfigurationSync:
    """Brings newer versions to a holder.

    A few VMs of each data centre watch the store. The others hear of a version by
    heartbeat and fetch it from that peer. Watches and heartbeats are hints: the state
    itself is always read, after each hint, after each reconnection and periodically.

    Parameters
    ----------
    store : Store
        The platform's store.
    holder : ConfigurationHolder
        Puts versions in force.
    is_watcher : callable
        Whether this VM is one of its data centre's watchers now.
    clock : Clock
        Paces reconnections.
    event_log : EventLog
        Gets an event when the store becomes reachable or unreachable.
    random : Random, optional
        Spreads the calls of many VMs.
    confirmed : callable, optional
        Called with the instant of each reading after which the newest version that
        the store holds is in force here.
    """

    def __init__(
        self,
        store: Store,
        holder: ConfigurationHolder,
        is_watcher: Callable[[], bool],
        clock: Clock,
        event_log: EventLog,
        random: Random | None = None,
        confirmed: Callable[[Millis], None] = lambda at: None,
    ) -> None:
        self._store = store
        self._holder = holder
        self._is_watcher = is_watcher
        self._clock = clock
        self._event_log = event_log
        self._random = random or Random()
        self._confirmed = confirmed
        self._repair = StoreRepair(store, holder, event_log)
        self._hint = Event()
        self._listener: gevent.Greenlet | None = None
        self._reachable: bool | None = None
        self._fetching = False
        self._bulk_since: Millis | None = None
        holder.subscribe(self._end_bulk)

    def run(self) -> None:
        """Keep the holder up to date for ever; the body of a greenlet."""
        try:
            while True:
                self._set_listener()
                self._hint.clear()
                self.reconcile()
                self._wait()
        finally:
            self._stop_listener()

    def reconcile(self) -> Result[bool, object]:
        """Read the store's head and put it in force if it is newer.

        Returns
        -------
        Result
            Whether a version was put in force, or the error that prevented it.
        """
        in_force = self._holder.head()
        read_at = self._clock.now()
        found = read_head(self._store, in_force)
        self._note_reachable(isinstance(found, Success))
        outcome = found.bind(lambda stored: self._take(stored, in_force))
        if isinstance(outcome, Success):
            self._confirmed(read_at)
        return outcome

    def heard_version(self, version: int, fetch: Fetch) -> Result[bool, object]:
        """Fetch a version of which a peer told, if it is newer.

        Only one fetch runs at a time; the next heartbeat repeats the hint.

        Parameters
        ----------
        version : int
            The version that the peer has in force.
        fetch : callable
            Takes the version known here, 0 for none, and returns the peer's
            document without the parts of that version. It must have a deadline.
        """
        if self._fetching or version <= self._holder.head().version:
            return Success(False)
        self._fetching = True
        try:
            return self._fetch(fetch)
        finally:
            self._fetching = False

    def _fetch(self, fetch: Fetch) -> Result[bool, object]:
        outcome = fetch(self._holder.head().version).bind(self._holder.offer_document)
        if isinstance(outcome, Failure) and isinstance(
            outcome.failure(), BaseDiffers | PartsLacking
        ):
            return fetch(0).bind(self._holder.offer_document)
        return outcome

    def _take(self, stored: StoredHead, in_force: Head) -> Result[bool, object]:
        head = stored.head
        if head.change == self._holder.head().change:
            return Success(False)
        if self._repair.needed(head, in_force):
            return self._repair.run(stored)
        rejection = self._holder.rejection(head)
        if rejection is not None:
            return Failure(rejection)
        return self._read(head)

    def _read(self, head: Head) -> Result[bool, object]:
        lacking = self._holder.lacking(head)
        if len(lacking) >= BULK_PARTS and not self._may_read_bulk():
            return Failure(ReadDeferred(len(lacking)))
        contents = read_parts(self._store, lacking)
        return contents.bind(
            lambda content_by_digest: self._holder.adopt(head, content_by_digest)
        )

    def _may_read_bulk(self) -> bool:
        """Whether no peer has sent many lacking parts for long enough.

        A region whose VMs all start at once would otherwise take its whole
        configuration from the store once for each VM.
        """
        now = self._clock.now()
        if self._bulk_since is None:
            self._bulk_since = now
        delay = WATCHER_BULK_DELAY if self._is_watcher() else OTHERS_INTERVAL
        return now - self._bulk_since >= delay

    def _end_bulk(self, _former: Configuration, _current: Configuration) -> None:
        self._bulk_since = None

    def _wait(self) -> None:
        """Wait for a hint, the next periodic read or a change of this VM's role."""
        ends_at = self._clock.now() + self._interval()
        was_watcher = self._is_watcher()
        while self._is_watcher() == was_watcher:
            left = ends_at - self._clock.now()
            if left <= 0:
                return
            if self._hint.wait(min(left, ROLE_INTERVAL) / MILLIS_PER_SECOND):
                return

    def _interval(self) -> Millis:
        if self._holder.head().version == 0 or self._bulk_since is not None:
            interval = START_INTERVAL
        elif self._is_watcher():
            interval = WATCHER_INTERVAL
        else:
            interval = OTHERS_INTERVAL
        return self._spread(interval)

    def _spread(self, duration: Millis) -> Millis:
        return duration * self._random.uniform(1.0 - _JITTER, 1.0 + _JITTER)

    def _set_listener(self) -> None:
        """Start or stop the watch as this VM becomes or ceases to be a watcher."""
        if not self._is_watcher():
            self._stop_listener()
        elif self._listener is None:
            self._listener = gevent.spawn(self._listen)

    def _stop_listener(self) -> None:
        if self._listener is not None:
            self._listener.kill()
            self._listener = None

    def _listen(self) -> None:
        """Watch the head for ever; each notice is a hint to read it."""
        pause = FIRST_PAUSE
        while True:
            for notice in self._store.watch(HEAD_KEY):
                if isinstance(notice, Success):
                    pause = FIRST_PAUSE
                    self._hint.set()
            self._clock.sleep(self._spread(pause))
            pause = min(2 * pause, LONGEST_PAUSE)

    def _note_reachable(self, reachable: bool) -> None:
        if reachable == self._reachable:
            return
        self._reachable = reachable
        kind = EventKind.STORE_REACHABLE if reachable else EventKind.STORE_UNREACHABLE
        self._event_log.record(kind, "store")
