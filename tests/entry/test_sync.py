"""How a VM follows the store, before a store that falls silent."""

import gevent
import pytest
from gevent.event import Event
from returns.result import Failure, Success

from lagoonlatch.entry import sync
from lagoonlatch.entry.outage import OutageDetector
from lagoonlatch.entry.sync import WATCH_LATE, StoreSync
from lagoonlatch.platform.kv import Changes, Snapshot
from lagoonlatch.platform.store import StoreUnavailable
from lagoonlatch.steering.watchers import Standing
from tests.entry.test_replica import Vm, batch, removed


class SilentStore:
    """Reads answer with `entries`; watches wait until they are interrupted."""

    def __init__(self, entries, revision):
        self.snapshot = Snapshot(tuple(entries), revision)
        self.reads = 0
        self.answers = True
        self.interrupts = 0
        self._ends = Event()

    def open_watch(self, _prefix, _longest):
        return self

    def read_prefix(self, _prefix):
        self.reads += 1
        if not self.answers:
            return Failure(StoreUnavailable("silent"))
        return Success(self.snapshot)

    def wait_for_changes(self, revision, _wait):
        self._ends.wait()
        self._ends.clear()
        if self.interrupts:
            return Failure(StoreUnavailable("interrupted"))
        return Success(Changes((), revision))

    def interrupt(self):
        self.interrupts += 1
        self._ends.set()


class Following:
    """A VM that watches, and its task."""

    def __init__(self, monkeypatch):
        monkeypatch.setattr(sync, "RETRY_FIRST", 1.0)
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
def following(monkeypatch):
    made = Following(monkeypatch)
    yield made
    made.task.kill()


def test_a_watch_that_others_have_overtaken_is_given_up(following):
    """DRAIN: a VM cut from the store went on waiting for its watch's answer."""
    following.vm.replica.apply_batch(batch(10, 12, removed("i-1", 12)))
    following.store.answers = False
    following.pass_time(WATCH_LATE + 250.0)
    assert following.store.interrupts == 1
    assert following.sync.standing is Standing.REFUSED


def test_the_vm_watches_again_once_the_store_answers(following):
    following.vm.replica.apply_batch(batch(10, 12, removed("i-1", 12)))
    following.pass_time(WATCH_LATE + 250.0)
    assert following.store.reads == 2
    assert following.sync.standing is Standing.WATCHES
    assert not following.noted


def test_a_watch_that_nobody_has_overtaken_waits_on(following):
    following.pass_time(8_000.0)
    assert following.store.interrupts == 0


def test_a_watch_that_answers_a_little_later_than_others_goes_on(following):
    following.vm.replica.apply_batch(batch(10, 12, removed("i-1", 12)))
    following.pass_time(WATCH_LATE - 250.0)
    following.store._ends.set()
    gevent.sleep(0.01)
    following.pass_time(8_000.0)
    assert following.store.interrupts == 0
