"""Tests the lists of other VMs in fleets of different sizes."""

import pytest

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.neighbours import LISTS_MAX_AGE, Neighbours
from lagoonlatch.steering.peers import (
    FIRST_HEARTBEAT_TIMEOUT,
    SILENCE_TIMEOUT,
    PeerStatus,
    PeerTable,
)
from tests.steering.samples import REGION_BY_DATA_CENTRE
from tests.steering.test_homes import make_vm


class NeighboursScenario:
    """A VM and the other VMs, whose entries it knows."""

    def __init__(self, count=4):
        self.clock = ManualClock()
        self.table = PeerTable(self.clock)
        data_centres = ["n-a", "n-b", "s-a", "m-a"]
        vms = [make_vm(f"vm-{n:04}", data_centres[n % 4]) for n in range(count)]
        self.known = {vm.id: vm for vm in vms}
        self.live = dict(self.known)
        self.reads = 0
        self.neighbours = Neighbours(
            make_vm("me", "n-a"),
            REGION_BY_DATA_CENTRE,
            self.read_known,
            lambda: self.live,
            self.table,
            self.clock,
        )

    def read_known(self):
        self.reads += 1
        return self.known

    def receive_status(self, vm, **fields):
        status = {"run": 1, "is_leaving": False} | fields
        self.table.update(PeerStatus(vm=vm, **status))


def names(vms):
    return [vm.id for vm in vms]


def test_vms_are_near_or_far_by_region():
    scenario = NeighboursScenario()
    assert names(scenario.neighbours.near) == ["vm-0000", "vm-0001"]
    assert names(scenario.neighbours.far) == ["vm-0002", "vm-0003"]


def test_leaving_vm_is_removed_at_once():
    scenario = NeighboursScenario()
    assert len(scenario.neighbours.all()) == 4
    scenario.receive_status("vm-0001", is_leaving=True)
    scenario.neighbours.invalidate()
    assert names(scenario.neighbours.near) == ["vm-0000"]


def test_vm_with_an_expired_entry_stays_while_it_sends_heartbeats():
    scenario = NeighboursScenario()
    scenario.receive_status("vm-0001", interval=250.0)
    del scenario.live["vm-0001"]
    assert "vm-0001" in names(scenario.neighbours.near)
    scenario.clock.advance(SILENCE_TIMEOUT)
    assert "vm-0001" not in names(scenario.neighbours.near)


def test_silent_vms_are_not_ready():
    scenario = NeighboursScenario()
    scenario.neighbours.expect_heartbeats(250.0, 1_000.0)
    scenario.clock.advance(FIRST_HEARTBEAT_TIMEOUT)
    for vm in ("vm-0000", "vm-0002", "vm-0003"):
        scenario.receive_status(vm, interval=250.0)
    assert names(scenario.neighbours.ready()) == ["vm-0000", "vm-0002", "vm-0003"]


def test_all_vms_stay_ready_if_most_of_them_seem_silent():
    scenario = NeighboursScenario()
    scenario.neighbours.expect_heartbeats(250.0, 1_000.0)
    scenario.clock.advance(FIRST_HEARTBEAT_TIMEOUT)
    scenario.receive_status("vm-0000", interval=250.0)
    assert len(scenario.neighbours.ready()) == 4


@pytest.mark.parametrize("count", [10, 100, 1_000])
def test_cost_of_the_lists_does_not_depend_on_the_fleet_size(count):
    """Counts the entries read per second by heartbeats and look-ups."""
    scenario = NeighboursScenario(count)
    for _ in range(40):
        scenario.clock.advance(100.0)
        scenario.neighbours.ready()
        scenario.neighbours.expect_heartbeats(250.0, 1_000.0)
    # The 40 steps take 4 s. At most 1,000 entries are read in this time.
    entries_read_per_second = scenario.reads * count / 4.0
    assert entries_read_per_second <= 250.0
    assert scenario.reads <= 4_000.0 / LISTS_MAX_AGE + 1
