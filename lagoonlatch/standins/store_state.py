"""The platform's store in memory: revisions, leases and watches, without faults."""

from __future__ import annotations

import copy
from dataclasses import dataclass, field

from gevent.queue import SimpleQueue
from returns.result import Failure, Result, Success

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.platform.gateway import TOO_LARGE, VALUE_LIMIT
from lagoonlatch.platform.store import (
    ABSENT_REVISION,
    Entry,
    StoreConflict,
    StoreError,
    StoreLeaseEnded,
    StoreUnavailable,
    WatchNotice,
)


@dataclass
class _Lease:
    """A lease's duration, its end by the store's clock and its keys."""

    duration: Millis
    ends_at: Millis
    keys: set[str] = field(default_factory=set)


@dataclass(frozen=True)
class _Content:
    """Everything that a snapshot keeps."""

    revision: int
    entry_by_key: dict[str, Entry]
    lease_by_id: dict[int, _Lease]


class StoreState:
    """A revisioned key-value map; leases end by `clock`.

    Parameters
    ----------
    clock : Clock
        Decides when leases end.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._revision = 0
        self._entry_by_key: dict[str, Entry] = {}
        self._lease_by_id: dict[int, _Lease] = {}
        self._next_lease = 1
        self._watch_by_queue: dict[SimpleQueue, str] = {}

    def read(self, key: str) -> Entry | None:
        """Return the entry of `key`, or None if it is absent."""
        self.end_leases()
        return self._entry_by_key.get(key)

    def read_range(self, first: bytes, end: bytes) -> tuple[Entry, ...]:
        """Return the entries from `first` up to `end`; a zero byte has no end."""
        self.end_leases()
        unbounded = end == b"\0"
        return tuple(
            self._entry_by_key[key]
            for key in sorted(self._entry_by_key)
            if first <= key.encode() and (unbounded or key.encode() < end)
        )

    def put_if(
        self, key: str, value: bytes, revision: int, lease: int
    ) -> Result[Entry, StoreError]:
        """Write `value` if `key` still has `revision`."""
        current = self.read(key)
        if len(value) > VALUE_LIMIT:
            return Failure(StoreUnavailable(TOO_LARGE))
        if lease and lease not in self._lease_by_id:
            return Failure(StoreLeaseEnded(lease))
        if _revision_of(current) != revision:
            return Failure(StoreConflict(key, current))
        self._revision += 1
        entry = Entry(key, value, self._revision)
        self._entry_by_key[key] = entry
        self._bind(key, lease)
        self._notify(key)
        return Success(entry)

    def delete_if(self, key: str, revision: int) -> Result[None, StoreError]:
        """Delete `key` if it still has `revision`."""
        current = self.read(key)
        if _revision_of(current) != revision:
            return Failure(StoreConflict(key, current))
        self._delete(key)
        return Success(None)

    def grant_lease(self, duration: Millis) -> int:
        """Return the id of a new lease."""
        lease = self._next_lease
        self._next_lease += 1
        self._lease_by_id[lease] = _Lease(duration, self._clock.now() + duration)
        return lease

    def renew_lease(self, lease: int) -> Result[None, StoreError]:
        """Extend a lease by its duration."""
        self.end_leases()
        if lease not in self._lease_by_id:
            return Failure(StoreLeaseEnded(lease))
        record = self._lease_by_id[lease]
        record.ends_at = self._clock.now() + record.duration
        return Success(None)

    def revoke_lease(self, lease: int) -> Result[None, StoreError]:
        """End a lease and delete its keys."""
        self.end_leases()
        if lease not in self._lease_by_id:
            return Failure(StoreLeaseEnded(lease))
        self._end_lease(lease)
        return Success(None)

    def end_leases(self) -> None:
        """End the leases whose time is up and delete their keys."""
        now = self._clock.now()
        ended = [i for i, lease in self._lease_by_id.items() if lease.ends_at <= now]
        for lease in ended:
            self._end_lease(lease)

    def open_watch(self, prefix: str) -> SimpleQueue:
        """Return a queue that gets a WatchNotice for each change under `prefix`."""
        queue: SimpleQueue = SimpleQueue()
        self._watch_by_queue[queue] = prefix
        return queue

    def close_watch(self, queue: SimpleQueue) -> None:
        """Stop filling `queue`."""
        self._watch_by_queue.pop(queue, None)

    def snapshot(self) -> _Content:
        """Return a copy of the content, for `restore`."""
        return copy.deepcopy(
            _Content(self._revision, self._entry_by_key, self._lease_by_id)
        )

    def restore(self, content: _Content) -> None:
        """Set the content back, revisions included; watches hear nothing."""
        kept = copy.deepcopy(content)
        self._revision = kept.revision
        self._entry_by_key = kept.entry_by_key
        self._lease_by_id = kept.lease_by_id

    def _bind(self, key: str, lease: int) -> None:
        for record in self._lease_by_id.values():
            record.keys.discard(key)
        if lease:
            self._lease_by_id[lease].keys.add(key)

    def _end_lease(self, lease: int) -> None:
        for key in sorted(self._lease_by_id.pop(lease).keys):
            if key in self._entry_by_key:
                self._delete(key)

    def _delete(self, key: str) -> None:
        self._revision += 1
        self._entry_by_key.pop(key, None)
        self._bind(key, 0)
        self._notify(key)

    def _notify(self, key: str) -> None:
        notice = WatchNotice(key, self._revision)
        for queue, prefix in self._watch_by_queue.items():
            if key.startswith(prefix):
                queue.put(notice)


def _revision_of(entry: Entry | None) -> int:
    return entry.revision if entry else ABSENT_REVISION
