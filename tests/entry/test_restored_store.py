"""Running entry VMs whose store comes back from a copy that is some seconds old."""

import gevent
import pytest

from lagoonlatch.standins.entry_fleet import EntryFleet, ask
from tests.entry.test_process import eventually

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
