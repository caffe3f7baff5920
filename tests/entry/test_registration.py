"""Registration of a VM in a store that is restored from a copy."""

import gevent
import pytest
from returns.result import Success

from lagoonlatch.clock import Clock
from lagoonlatch.entry.outage import OutageDetector
from lagoonlatch.entry.registration import (
    MAX_MISSED_RENEWALS,
    MAX_REGISTRATION_DELAY,
    RENEW_INTERVAL,
    Registration,
)
from lagoonlatch.platform.kv import KeyValueStore
from lagoonlatch.platform.registrations import VM_PREFIX, decode_vm
from lagoonlatch.standins.kv_store import KvStoreStandin
from tests.steering.test_homes import make_vm

KEY = f"{VM_PREFIX}vm-0"


class Platform:
    def __init__(self):
        self.standin = KvStoreStandin()
        self.server = self.standin.serve()
        self.listed = True
        self.version = 0

    def store(self):
        return KeyValueStore.from_address(f"127.0.0.1:{self.server.server_port}")

    def registration(self, name="vm-0", store=None):
        clock = Clock()
        return Registration(
            store or self.store(),
            make_vm(name, "n-a"),
            lambda: self.listed,
            lambda: self.version,
            OutageDetector(lambda: None, clock),
            clock,
        )

    def registered(self):
        """Return the era in which each registered VM wrote its entry, by id."""
        self.standin._end_leases()
        return {
            key.removeprefix(VM_PREFIX): decode_vm(key, item.value).unwrap().era
            for key, item in self.standin._items_by_key.items()
            if key.startswith(VM_PREFIX)
        }

    def lease_of(self, name):
        return self.standin._items_by_key[f"{VM_PREFIX}{name}"].lease


@pytest.fixture
def platform():
    created = Platform()
    yield created
    created.server.stop()


def test_an_entry_that_the_copy_lacks_is_written_again_at_the_next_renewal(platform):
    stored = platform.standin.take_copy()
    registration = platform.registration()
    assert registration._step() == RENEW_INTERVAL
    platform.standin.restore(stored)
    assert platform.registered() == {}
    assert registration._step() <= MAX_REGISTRATION_DELAY
    registration._step()
    assert platform.registered() == {"vm-0": 2}


def test_an_entry_states_the_configuration_in_force_when_it_is_written(platform):
    """CONFIG: VMs that start after a restore compare it with that of the store."""
    registration = platform.registration()
    registration._step()
    stored = platform.standin.take_copy()
    platform.version = 9
    platform.standin.restore(stored)
    registration._step()
    registration._step()
    entry = platform.standin._items_by_key[KEY].value
    assert decode_vm(KEY, entry).unwrap().configuration_version == 9


def test_a_lease_that_another_vm_has_by_now_is_neither_renewed_nor_ended(platform):
    """The id of the lease is given out again, so that its renewal succeeds."""
    stored = platform.standin.take_copy()
    first, second = platform.registration("vm-0"), platform.registration("vm-1")
    first._step()
    lease = platform.lease_of("vm-0")
    platform.standin.restore(stored)
    second._step()
    assert platform.lease_of("vm-1") == lease
    first._step()
    first._step()
    assert platform.registered() == {"vm-0": 2, "vm-1": 2}
    assert platform.lease_of("vm-0") != lease
    first.deregister()
    assert platform.registered() == {"vm-1": 2}


def test_a_vm_that_leaves_before_it_knows_of_the_restore_removes_only_its_entry(
    platform,
):
    stored = platform.standin.take_copy()
    first, second = platform.registration("vm-0"), platform.registration("vm-1")
    first._step()
    platform.standin.restore(stored)
    second._step()
    first.deregister()
    assert platform.registered() == {"vm-1": 2}


def test_a_leaving_vm_removes_its_entry_of_the_copy(platform):
    registration = platform.registration()
    registration._step()
    stored = platform.standin.take_copy()
    registration._lease = None
    registration._step()
    platform.standin.restore(stored)
    registration.deregister()
    assert platform.registered() == {}


def test_a_vm_that_leaves_before_it_registers_again_removes_its_entry(platform):
    registration = platform.registration()
    registration._step()
    stored = platform.standin.take_copy()
    platform.standin.restore(stored)
    registration._step()
    assert registration._lease is None
    registration.deregister()
    assert platform.registered() == {}


def test_a_vm_does_not_remove_the_entry_of_a_later_process(platform):
    registration = platform.registration()
    registration._step()
    platform.standin.put(KEY, b'{"run": 7}')
    registration.deregister()
    keys = platform.standin.keys()
    assert KEY in keys


def test_an_entry_written_under_a_lease_of_an_earlier_era_is_written_again(platform):
    """The store is restored between the grant of the lease and the write."""
    stored = platform.standin.take_copy()
    store = platform.store()
    registration = platform.registration(store=store)
    grant = store.grant_lease

    def grant_and_restore(duration):
        granted = grant(duration)
        platform.standin.restore(stored)
        platform.registration("vm-1")._step()
        store.grant_lease = grant
        return granted

    store.grant_lease = grant_and_restore
    registration._step()
    assert platform.lease_of("vm-0") == platform.lease_of("vm-1")
    registration._step()
    assert platform.lease_of("vm-0") != platform.lease_of("vm-1")
    assert isinstance(store.renew_lease(registration._lease), Success)


def test_an_entry_that_the_store_does_not_show_is_written_again(platform):
    """A late write of an earlier era may leave it under another VM's lease."""
    registration = platform.registration()
    registration._step()
    platform.standin.remove(KEY)
    platform.listed = False
    for _ in range(MAX_MISSED_RENEWALS + 1):
        registration._step()
    assert platform.registered() == {"vm-0": 1}


def test_a_vm_that_leaves_while_it_registers_writes_nothing(platform):
    store = platform.store()
    registration = platform.registration(store=store)
    grant = store.grant_lease

    def grant_and_leave(duration):
        granted = grant(duration)
        registration.deregister()
        return granted

    store.grant_lease = grant_and_leave
    registration._step()
    gevent.sleep(0.05)
    assert platform.registered() == {}


def test_vms_that_lose_their_leases_at_once_register_at_different_times(platform):
    """Load: 195 VMs notice a restore in the same moment."""
    stored = platform.standin.take_copy()
    store = platform.store()
    registrations = [platform.registration(f"vm-{n}", store) for n in range(60)]
    for registration in registrations:
        registration._step()
    platform.standin.restore(stored)
    delays = sorted(registration._step() for registration in registrations)
    early = sum(delay < MAX_REGISTRATION_DELAY / 2 for delay in delays)
    assert 10 < early < 50
