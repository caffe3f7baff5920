"""Running entry VMs whose store comes back from a copy that is some seconds old."""

import signal

import gevent
import pytest

from lagoonlatch.standins.entry_fleet import EntryFleet, ask
from lagoonlatch.standins.faults import ANY_GROUP, Fault, Rule
from tests.entry.test_process import eventually
from tests.soak.world import World

OUTAGE_SECONDS = 1.5


@pytest.fixture
def fleet():
    with EntryFleet() as running:
        yield running


def restore(fleet, stored):
    """Let the store be away for a moment and come back from a copy."""
    fleet.store.refuse_with = 503
    gevent.sleep(OUTAGE_SECONDS)
    fleet.store.restore(stored)
    fleet.store.refuse_with = None


def authorized(vm, key):
    return ask(vm, "x", Authorization=f"Token {key}") == 200


def test_configuration_written_after_a_restore_is_in_force_on_every_vm(fleet):
    stored = fleet.store.take_copy()
    for number in range(4):
        fleet.configure(keys=(f"lost-{number}",))
    for vm in fleet.vms_by_id.values():
        assert eventually(lambda vm=vm: authorized(vm, "lost-3"))
    restore(fleet, stored)
    fleet.configure(keys=("new",))
    for vm in fleet.vms_by_id.values():
        assert eventually(lambda vm=vm: authorized(vm, "new"), 5.0)


def drain(fleet, name):
    """Let an upstream drain; return whether a VM still uses it."""
    instance = fleet.instances_by_id[name]
    fleet.register(instance, "n-a", "draining")
    gevent.sleep(2.5)

    def is_used_by(vm, key):
        before = len(instance.arrivals)
        for number in range(30):
            cookie = f"Affinity-Key=last-{number}"
            ask(vm, f"{vm.id}-{number}", Cookie=cookie, Authorization=f"Token {key}")
        return len(instance.arrivals) > before

    return is_used_by


def test_vm_that_the_store_refuses_follows_the_restore_through_other_vms():
    with World(vms=4, instances=6) as fleet:
        stored = fleet.store.take_copy()
        fleet.configure(keys=("lost",))
        for _ in range(20):
            fleet.register(fleet.instances_by_id["i-1"], "n-b")
        for vm in fleet.vms_by_id.values():
            assert eventually(lambda vm=vm: authorized(vm, "lost"))
        cut = Rule(source=ANY_GROUP, target="store-vm-3", fault=Fault(cut=True))
        fleet.proxy.set_rule("cut", cut)
        restore(fleet, stored)
        is_used_by = drain(fleet, "i-0")
        fleet.configure(keys=("new",))
        for vm in fleet.vms_by_id.values():
            assert eventually(lambda vm=vm: authorized(vm, "new"), 3.0)
            assert not is_used_by(vm, "new")


@pytest.mark.parametrize("seconds_after", [0.0, 6.5])
def test_vm_that_starts_after_a_restore_does_not_use_the_older_configuration(
    fleet, seconds_after
):
    """CONFIG: in the second case all VMs have registered again before it starts."""
    fleet.configure(keys=("old",))
    for vm in fleet.vms_by_id.values():
        assert eventually(lambda vm=vm: authorized(vm, "old"))
    stored = fleet.store.take_copy()
    fleet.configure(keys=("lost",))
    for vm in fleet.vms_by_id.values():
        assert eventually(lambda vm=vm: authorized(vm, "lost"))
    fleet.signal("vm-1", signal.SIGKILL)
    fleet.vms_by_id["vm-1"].process.wait()
    fleet.store.restore(stored)
    gevent.sleep(seconds_after)
    started = fleet.start_vm("vm-1", "n-b", first=False)
    statuses = set()
    with gevent.Timeout(8.0, False):
        while 200 not in statuses:
            statuses.add(ask(started, "x", Authorization="Token lost"))
    assert statuses <= {0, 503, 200}
    assert 200 in statuses
    assert ask(started, "y", Authorization="Token old") == 401


def test_vm_that_was_suspended_over_two_restores_follows_the_last(fleet):
    fleet.signal("vm-2", signal.SIGSTOP)
    for number in range(2):
        stored = fleet.store.take_copy()
        fleet.configure(keys=(f"lost-{number}",))
        restore(fleet, stored)
    fleet.configure(keys=("new",))
    fleet.signal("vm-2", signal.SIGCONT)
    for vm in fleet.vms_by_id.values():
        assert eventually(lambda vm=vm: authorized(vm, "new"), 5.0)
    is_used_by = drain(fleet, "i-0")
    assert not any(is_used_by(vm, "new") for vm in fleet.vms_by_id.values())
