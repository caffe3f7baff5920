import pytest

from lagoonlatch.ownership import Owner, VmRegistration
from lagoonlatch.ownership.registration import (
    RENEWALS_PER_SECOND,
    SHORTEST_INTERVAL,
    renewal_interval,
)
from tests.ownership.fakes import FakeStore


def registration(store, incarnation=1):
    return VmRegistration(
        store, Owner("x", incarnation), "127.0.0.1", "a-1", lambda: 10, clock=None
    )


@pytest.mark.parametrize("vms", [1, 10, 200, 1_700, 10_000])
def test_renewals_stay_within_the_rate_of_the_store(vms):
    calls_per_second = vms / renewal_interval(vms) * 1000.0
    assert calls_per_second <= RENEWALS_PER_SECOND
    assert renewal_interval(vms) >= SHORTEST_INTERVAL


def test_entry_goes_with_its_lease_and_comes_back():
    store = FakeStore()
    kept = registration(store)
    kept.step().unwrap()
    assert "vms/x" in store.entry_by_key
    store.end_lease(kept._lease)
    assert "vms/x" not in store.entry_by_key
    kept.step().unwrap()
    assert "vms/x" in store.entry_by_key


def test_new_incarnation_replaces_the_entry_of_the_old_one():
    store = FakeStore()
    old = registration(store)
    old.step().unwrap()
    registration(store, incarnation=2).step().unwrap()
    store.end_lease(old._lease)
    assert b'"incarnation":2' in store.entry_by_key["vms/x"].value


def test_lost_answer_is_settled_by_registering_anew():
    store = FakeStore(lose_answers=True)
    kept = registration(store)
    kept.step()
    store.lose_answers = False
    kept.step().unwrap()
    assert "vms/x" in store.entry_by_key


def test_outage_makes_no_new_lease():
    store = FakeStore()
    kept = registration(store)
    kept.step().unwrap()
    lease = kept._lease
    store.unavailable = True
    kept.step()
    store.unavailable = False
    kept.step().unwrap()
    assert kept._lease == lease
