import pytest

from lagoonlatch.ownership import Owner, VmRegistration
from lagoonlatch.ownership.registration import (
    MAX_RENEWALS_PER_SECOND,
    MIN_RENEWAL_INTERVAL,
    renewal_interval,
)
from tests.ownership.fakes import FakeStore


def make_registration(store, incarnation=1):
    return VmRegistration(
        store, Owner("x", incarnation), "127.0.0.1", "a-1", lambda: 10, clock=None
    )


@pytest.mark.parametrize("vm_count", [1, 10, 200, 1_700, 10_000])
def test_renewal_rate_of_the_fleet_is_limited(vm_count):
    calls_per_second = vm_count / renewal_interval(vm_count) * 1000.0
    assert calls_per_second <= MAX_RENEWALS_PER_SECOND
    assert renewal_interval(vm_count) >= MIN_RENEWAL_INTERVAL


def test_entry_is_written_again_after_its_lease_has_ended():
    store = FakeStore()
    vm_registration = make_registration(store)
    vm_registration.step().unwrap()
    assert "vms/x" in store.entry_by_key
    store.end_lease(vm_registration._lease)
    assert "vms/x" not in store.entry_by_key
    vm_registration.step().unwrap()
    assert "vms/x" in store.entry_by_key


def test_new_incarnation_replaces_the_entry_of_the_previous_one():
    store = FakeStore()
    previous = make_registration(store)
    previous.step().unwrap()
    make_registration(store, incarnation=2).step().unwrap()
    store.end_lease(previous._lease)
    assert b'"incarnation":2' in store.entry_by_key["vms/x"].value


def test_registration_is_repeated_after_a_lost_answer():
    store = FakeStore(lose_answers=True)
    vm_registration = make_registration(store)
    vm_registration.step()
    store.lose_answers = False
    vm_registration.step().unwrap()
    assert "vms/x" in store.entry_by_key


def test_outage_does_not_create_a_new_lease():
    store = FakeStore()
    vm_registration = make_registration(store)
    vm_registration.step().unwrap()
    lease = vm_registration._lease
    store.unavailable = True
    vm_registration.step()
    store.unavailable = False
    vm_registration.step().unwrap()
    assert vm_registration._lease == lease
