"""The platform's store and VM list within the test's own process, with faults."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

from gevent.queue import Empty, SimpleQueue
from returns.result import Failure, Result, Success

from lagoonlatch.clock import Clock, Millis
from lagoonlatch.platform.gateway import prefix_end
from lagoonlatch.platform.store import (
    ABSENT_REVISION,
    Entry,
    ListedVm,
    StoreError,
    StoreOutcomeUnknown,
    StoreUnavailable,
    WatchNotice,
)
from lagoonlatch.standins.store_state import StoreState

_WATCH_POLL_SECONDS = 0.01


class MemoryStore:
    """A `Store` and `VmList` in memory.

    Parameters
    ----------
    clock : Clock
        Decides when leases end.

    Attributes
    ----------
    outage : bool
        Every call fails without effect, and open watches fail.
    delay : Millis
        Every call sleeps this long on the clock first.
    lose_answers : int
        So many writes take effect and then lose their answers.
    lose_requests : int
        So many writes are lost before they take effect; their outcome is unknown.
    drop_watches : bool
        Watches go silent without a failure.
    vms : tuple of ListedVm
        What the VM list says.
    calls_by_kind : Counter
        Calls so far; an open watch counts as one.
    """

    def __init__(self, clock: Clock) -> None:
        self.outage = False
        self.delay: Millis = 0.0
        self.lose_answers = 0
        self.lose_requests = 0
        self.drop_watches = False
        self.vms: tuple[ListedVm, ...] = ()
        self.calls_by_kind: Counter[str] = Counter()
        self.state = StoreState(clock)
        self._clock = clock

    def read(self, key: str) -> Result[Entry | None, StoreError]:
        """Return the entry of `key`, or None if it is absent."""
        return self._call("read", lambda: Success(self.state.read(key)))

    def read_prefix(self, prefix: str) -> Result[tuple[Entry, ...], StoreError]:
        """Return the entries whose keys begin with `prefix`, sorted by key."""
        first, end = prefix.encode(), prefix_end(prefix)
        return self._call(
            "read_prefix", lambda: Success(self.state.read_range(first, end))
        )

    def put_if(
        self, key: str, value: bytes, revision: int, lease: int = 0
    ) -> Result[Entry, StoreError]:
        """Write `value` if `key` still has `revision`."""
        return self._write(
            "put_if", lambda: self.state.put_if(key, value, revision, lease)
        )

    def delete_if(self, key: str, revision: int) -> Result[None, StoreError]:
        """Delete `key` if it still has `revision`."""
        return self._write("delete_if", lambda: self.state.delete_if(key, revision))

    def grant_lease(self, duration: Millis) -> Result[int, StoreError]:
        """Return the id of a new lease."""
        return self._write(
            "grant_lease", lambda: Success(self.state.grant_lease(duration))
        )

    def renew_lease(self, lease: int) -> Result[None, StoreError]:
        """Extend a lease by its duration."""
        return self._write("renew_lease", lambda: self.state.renew_lease(lease))

    def revoke_lease(self, lease: int) -> Result[None, StoreError]:
        """End a lease now."""
        return self._write("revoke_lease", lambda: self.state.revoke_lease(lease))

    def watch(self, prefix: str) -> Iterator[Result[WatchNotice, StoreError]]:
        """Yield changes under `prefix`; ends after the first failure."""
        self.calls_by_kind["watch"] += 1
        queue = self.state.open_watch(prefix)
        queue.put(WatchNotice(prefix, ABSENT_REVISION))
        return self._notices(queue)

    def read_vms(self) -> Result[tuple[ListedVm, ...], StoreError]:
        """Return the VMs listed."""
        return self._call("read_vms", lambda: Success(self.vms))

    def _notices(self, queue: SimpleQueue) -> Iterator[Result[WatchNotice, StoreError]]:
        try:
            while not self.outage:
                notice = _next_notice(queue)
                if notice is not None and not self.drop_watches:
                    yield Success(notice)
            yield Failure(StoreUnavailable("outage"))
        finally:
            self.state.close_watch(queue)

    def _call(self, kind: str, effect: Callable[[], Result]) -> Result:
        self.calls_by_kind[kind] += 1
        if self.delay:
            self._clock.sleep(self.delay)
        if self.outage:
            return Failure(StoreUnavailable("outage"))
        return effect()

    def _write(self, kind: str, effect: Callable[[], Result]) -> Result:
        if self.lose_requests > 0 and not self.outage:
            self.lose_requests -= 1
            self.calls_by_kind[kind] += 1
            return Failure(StoreOutcomeUnknown("request lost"))
        outcome = self._call(kind, effect)
        if self.lose_answers > 0 and not self.outage:
            self.lose_answers -= 1
            return Failure(StoreOutcomeUnknown("answer lost"))
        return outcome


def _next_notice(queue: SimpleQueue) -> WatchNotice | None:
    try:
        return queue.get(timeout=_WATCH_POLL_SECONDS)
    except Empty:
        return None
