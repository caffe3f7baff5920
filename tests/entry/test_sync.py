"""StoreSync with a store whose watches stop answering."""

import gevent
import pytest
from gevent.event import Event
from returns.result import Failure, Success

from lagoonlatch.entry import sync
from lagoonlatch.entry.outage import OutageDetector
from lagoonlatch.entry.sync import MAX_WATCH_LAG, StoreSync
from lagoonlatch.platform.kv import Changes, Snapshot
from lagoonlatch.platform.store import StoreUnavailable
from lagoonlatch.steering.watchers import Standing
from tests.entry.test_replica import Vm, batch, removed


class SilentStore:
    """Store whose reads return `entries` and whose watches wait for an interrupt."""

    def __init__(self, entries, revision):
        self.snapshot = Snapshot(tuple(entries), revision)
        self.era = 0
        self.changes = None
        self.reads = 0
        self.answers = True
        self.interrupts = 0
        self._end_wait = Event()

    def open_watch(self, _prefix, _longest):
        return self

    def read_prefix(self, _prefix):
        self.reads += 1
        if not self.answers:
            return Failure(StoreUnavailable("silent"))
        return Success(self.snapshot)

    def wait_for_changes(self, revision, _wait):
        self._end_wait.wait()
        self._end_wait.clear()
        if self.interrupts:
            return Failure(StoreUnavailable("interrupted"))
        return Success(self.changes or Changes((), revision))

    def restore(self, entries, revision):
        self.era += 1
        self.snapshot = Snapshot(tuple(entries), revision, self.era)

    def interrupt(self):
        self.interrupts += 1
        self._end_wait.set()


class WatchingVm:
    """A VM that watches the store, and the task that does so."""

    def __init__(self, monkeypatch):
        monkeypatch.setattr(sync, "MIN_RETRY_DELAY", 1.0)
        self.vm = Vm()
        self.store = SilentStore(self.vm.replica.entries(), 10)
        self.noted = []
        outage = OutageDetector(lambda: self.noted.append(1), self.vm.clock)
        self.sync = StoreSync(
            self.store,
            self.vm.replica,
            3_000.0,
            lambda: True,
            lambda wait: wait,
            lambda _batch: None,
            outage,
            self.vm.clock,
        )
        self.task = gevent.spawn(self.sync.run)
        gevent.sleep(0.01)
        assert self.sync.standing is Standing.WATCHES

    def pass_time(self, duration):
        for _ in range(int(duration / 250.0)):
            self.sync.check_watch()
            self.vm.clock.advance(250.0)
        self.sync.check_watch()
        gevent.sleep(0.02)


@pytest.fixture
def watching_vm(monkeypatch):
    created = WatchingVm(monkeypatch)
    yield created
    created.task.kill()


def test_a_lagging_watch_is_interrupted(watching_vm):
    """DRAIN: a VM cut off from the store kept waiting for its watch to answer."""
    watching_vm.vm.replica.apply_batch(batch(10, 12, removed("i-1", 12)))
    watching_vm.store.answers = False
    watching_vm.pass_time(MAX_WATCH_LAG + 250.0)
    assert watching_vm.store.interrupts == 1
    assert watching_vm.sync.standing is Standing.REFUSED


def test_the_vm_watches_again_once_the_store_answers(watching_vm):
    watching_vm.vm.replica.apply_batch(batch(10, 12, removed("i-1", 12)))
    watching_vm.pass_time(MAX_WATCH_LAG + 250.0)
    assert watching_vm.store.reads == 2
    assert watching_vm.sync.standing is Standing.WATCHES
    assert not watching_vm.noted


def test_a_watch_without_lag_continues_to_wait(watching_vm):
    watching_vm.pass_time(8_000.0)
    assert watching_vm.store.interrupts == 0


def test_a_watch_with_a_short_lag_is_not_interrupted(watching_vm):
    watching_vm.vm.replica.apply_batch(batch(10, 12, removed("i-1", 12)))
    watching_vm.pass_time(MAX_WATCH_LAG - 250.0)
    watching_vm.store._end_wait.set()
    gevent.sleep(0.01)
    watching_vm.pass_time(8_000.0)
    assert watching_vm.store.interrupts == 0


def test_history_of_a_restored_store_is_not_applied_to_known_facts(watching_vm):
    """CONFIG: the revision was given out again, so that the watch gets no 410."""
    vm, store = watching_vm.vm, watching_vm.store
    entries = [entry for entry in vm.replica.entries() if entry.key != "servers/i-1"]
    store.restore(entries, 15)
    store.changes = Changes((removed("i-9", 15),), 15, store.era)
    store._end_wait.set()
    gevent.sleep(0.02)
    assert store.reads == 2
    assert vm.replica.knowledge.position == (1, 15)


def test_a_watch_that_hangs_since_before_a_restore_is_interrupted(watching_vm):
    """A renewal has stated the new era; the watch still waits."""
    store = watching_vm.store
    store.restore(watching_vm.vm.replica.entries(), 5)
    watching_vm.pass_time(MAX_WATCH_LAG + 250.0)
    gevent.sleep(0.02)
    assert store.interrupts == 1
    assert watching_vm.vm.replica.knowledge.position == (1, 5)


def test_a_vm_that_listens_reads_the_restored_store_if_no_vm_sends_it(watching_vm):
    store = watching_vm.store
    watching_vm.sync._should_watch = lambda: False
    store._end_wait.set()
    gevent.sleep(0.02)
    assert watching_vm.sync.standing is Standing.LISTENS
    store.restore(watching_vm.vm.replica.entries(), 5)
    watching_vm.pass_time(MAX_WATCH_LAG + 250.0)
    gevent.sleep(0.02)
    assert watching_vm.vm.replica.knowledge.position == (1, 5)


def test_a_snapshot_of_an_earlier_era_is_read_again(watching_vm):
    vm, store = watching_vm.vm, watching_vm.store
    vm.replica.apply_snapshot(vm.replica.entries(), 4, 1)
    store.restore(vm.replica.entries(), 4)
    late, store.snapshot = store.snapshot, Snapshot((), 90, 0)
    watching_vm.sync._needs_snapshot = True
    store._end_wait.set()
    gevent.sleep(0.05)
    store.snapshot = late
    gevent.sleep(0.4)
    assert vm.replica.knowledge.position == (1, 4)
    assert vm.upstream_ids() == {"i-1"}
    assert watching_vm.sync.standing is Standing.WATCHES
