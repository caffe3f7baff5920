import time

import gevent
import gevent.server
import pytest
from returns.result import Failure, Success

from lagoonlatch.clock import MILLIS_PER_SECOND
from lagoonlatch.platform.kv import (
    WATCH_MARGIN,
    Change,
    HistoryGone,
    KeyValueStore,
)
from lagoonlatch.platform.store import (
    StoreConflict,
    StoreLeaseEnded,
    StoreOutcomeUnknown,
    StoreUnavailable,
)
from lagoonlatch.standins import kv_store
from lagoonlatch.standins.kv_store import KvStoreStandin


@pytest.fixture
def standin():
    return KvStoreStandin()


@pytest.fixture
def store(standin):
    server = standin.serve()
    yield KeyValueStore.from_address(f"127.0.0.1:{server.server_port}")
    server.stop()


def test_a_range_holds_all_pages(standin, store):
    for number in range(1_203):
        standin.put(f"servers/{number:05}", b"x")
    standin.put("other/1", b"y")
    snapshot = store.read_prefix("servers/").unwrap()
    assert len(snapshot.entries) == 1_203
    assert {entry.value for entry in snapshot.entries} == {b"x"}


def test_a_change_between_two_pages_is_in_the_watch(standin, store):
    for number in range(600):
        standin.put(f"a/{number:05}", b"x")
    show, changes = standin._show, []

    def show_and_change(key):
        if key == "a/00500" and not changes:
            changes.append(standin.put("a/00001", b"new"))
        return show(key)

    standin._show = show_and_change
    snapshot = store.read_prefix("a/").unwrap()
    found = store.open_watch("a/", 1_000.0).wait_for_changes(snapshot.revision, 1_000.0)
    assert [(c.key, c.value) for c in found.unwrap().changes] == [("a/00001", b"new")]


def test_writes_are_conditional(store):
    first = store.put_if("k", b"1", 0).unwrap()
    conflict = store.put_if("k", b"2", 0).failure()
    assert isinstance(conflict, StoreConflict)
    assert conflict.current.value == b"1"
    assert conflict.current.revision == first
    second = store.put_if("k", b"2", first).unwrap()
    assert isinstance(store.delete_if("k", first), Failure)
    assert isinstance(store.delete_if("k", second), Success)
    assert store.read_prefix("k").unwrap().entries == ()


def test_a_watch_waits_for_writes_and_removals(standin, store):
    watch = store.open_watch("a/", 5_000.0)
    revision = store.read_prefix("a/").unwrap().revision
    gevent.spawn_later(0.05, standin.put, "a/1", b"x")
    found = watch.wait_for_changes(revision, 5_000.0).unwrap()
    assert [(c.key, c.value) for c in found.changes] == [("a/1", b"x")]
    standin.remove("a/1")
    (change,) = watch.wait_for_changes(found.revision, 5_000.0).unwrap().changes
    assert change == Change("a/1", None, change.revision)


def test_a_watch_without_changes_ends_with_none(store):
    found = store.open_watch("a/", 50.0).wait_for_changes(1, 50.0).unwrap()
    assert found.changes == ()


def test_history_that_is_gone_is_said(standin, store):
    for _ in range(3):
        standin.put("a/1", b"x")
    standin.forget_history()
    failure = store.open_watch("a/", 50.0).wait_for_changes(1, 50.0).failure()
    assert failure == HistoryGone()


def test_leases_take_their_keys_with_them(standin, store):
    lease = store.grant_lease(300.0).unwrap()
    store.put("vm/1", b"x", lease).unwrap()
    for _ in range(3):
        gevent.sleep(0.15)
        assert isinstance(store.renew_lease(lease), Success)
    assert standin.keys() == ["vm/1"]
    gevent.sleep(0.4)
    assert standin.keys() == []
    assert store.renew_lease(lease).failure() == StoreLeaseEnded(lease.id)
    assert store.put("vm/1", b"x", lease).failure() == StoreLeaseEnded(lease.id)


def test_a_lease_of_an_earlier_era_has_ended(standin, store):
    stored = standin.take_copy()
    lease = store.grant_lease(5_000.0).unwrap()
    standin.restore(stored)
    other = store.grant_lease(5_000.0).unwrap()
    assert (other.id, other.era) == (lease.id, lease.era + 1)
    assert store.renew_lease(lease).failure() == StoreLeaseEnded(lease.id)
    assert store.put("vm/1", b"x", lease).failure() == StoreLeaseEnded(lease.id)
    assert isinstance(store.renew_lease(other), Success)


@pytest.mark.parametrize("status", [429, 503, 403])
def test_a_store_that_turns_a_write_away_has_not_done_it(standin, store, status):
    standin.refuse_with = status
    failure = store.put("k", b"1").failure()
    assert isinstance(failure, StoreUnavailable)
    assert str(status) in failure.reason


def test_a_write_that_fails_otherwise_may_be_done(standin, store):
    standin.refuse_with = 500
    assert isinstance(store.put("k", b"1").failure(), StoreOutcomeUnknown)


def test_a_read_that_fails_has_no_effect(standin, store):
    standin.refuse_with = 500
    assert isinstance(store.read_prefix("k").failure(), StoreUnavailable)
    watch = store.open_watch("k", 50.0)
    assert isinstance(watch.wait_for_changes(1, 50.0).failure(), StoreUnavailable)


def test_a_store_out_of_reach_is_unavailable():
    store = KeyValueStore.from_address("127.0.0.1:1")
    assert isinstance(store.read_prefix("k").failure(), StoreUnavailable)


def test_a_watch_whose_connection_went_silent_ends_with_its_own_wait():
    """DRAIN: it hung as long as the longest watch, while all others hung too."""
    server = gevent.server.StreamServer(("127.0.0.1", 0), lambda *_: gevent.sleep(9.0))
    server.start()
    try:
        silent = KeyValueStore.from_address(f"127.0.0.1:{server.server_port}")
        started = time.monotonic()
        failure = silent.open_watch("", 8_000.0).wait_for_changes(1, 200.0).failure()
        took = (time.monotonic() - started) * MILLIS_PER_SECOND
        assert isinstance(failure, StoreUnavailable)
        assert took < 200.0 + 2 * WATCH_MARGIN
    finally:
        server.stop(timeout=0.1)


def test_answers_carry_the_era_of_the_store(standin, store):
    standin.put("a", b"1")
    stored = standin.take_copy()
    standin.put("a", b"2")
    standin.restore(stored)
    snapshot = store.read_prefix("").unwrap()
    assert (snapshot.era, store.era) == (2, 2)
    assert [entry.value for entry in snapshot.entries] == [b"1"]
    assert snapshot.revision == stored.revision
    changes = store.open_watch("", 100.0).wait_for_changes(snapshot.revision, 50.0)
    assert changes.unwrap().era == 2


def test_a_watch_from_a_revision_that_the_restored_store_lacks_says_so(standin, store):
    stored = standin.take_copy()
    revision = standin.put("a", b"1")
    standin.restore(stored)
    watch = store.open_watch("", 1_000.0)
    assert watch.wait_for_changes(revision, 1_000.0).failure() == HistoryGone()


def test_pages_of_two_eras_are_no_snapshot(standin, store):
    for number in range(600):
        standin.put(f"a/{number:05}", b"x")
    stored, show = standin.take_copy(), standin._show

    def show_and_restore(key):
        if key == "a/00499" and standin.era == 1:
            gevent.spawn(standin.restore, stored)
        return show(key)

    standin._show = show_and_restore
    assert isinstance(store.read_prefix("a/").failure(), StoreUnavailable)
    assert store.read_prefix("a/").unwrap().era == 2


ODD_ERAS = ("two", "-1", "1.5", "٣", "9" * 30, "2, 3", "")


@pytest.mark.parametrize("era", ODD_ERAS)
def test_an_unreadable_era_is_reported_and_changes_nothing(standin, era):
    odd = []
    server = standin.serve()
    store = KeyValueStore.from_address(
        f"127.0.0.1:{server.server_port}", report_odd_era=odd.append
    )
    assert store.read_prefix("").unwrap().era == 1
    standin.era = era.encode().decode("latin-1")
    assert store.read_prefix("").unwrap().era == 1
    assert len(odd) == 1
    standin.era = 2
    assert store.read_prefix("").unwrap().era == 2
    server.stop()


@pytest.mark.parametrize("status", [429, 503, 404, 412])
def test_a_refusal_also_states_the_era(standin, store, status):
    standin.era = 7
    standin.refuse_with = status
    store.read_prefix("")
    assert store.era == 7


def test_a_snapshot_corrects_a_wrong_era_of_an_earlier_refusal(standin, store):
    standin.era, standin.refuse_with = 900, 503
    store.read_prefix("")
    standin.era, standin.refuse_with = 1, None
    assert store.read_prefix("").unwrap().era == 1
    assert store.era == 1


def test_a_store_without_eras_has_the_first(standin, store, monkeypatch):
    monkeypatch.setattr(kv_store, "ERA_FIELD", "Another-Field")
    assert store.read_prefix("").unwrap().era == 0
