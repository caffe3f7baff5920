"""The lists of other VMs, played against fleets of any size."""

import pytest

from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.neighbours import VIEW_AGE, Neighbours
from lagoonlatch.steering.peers import NEVER_HEARD, SILENT, PeerStatus, PeerTable
from tests.steering.samples import REGION_BY_DATA_CENTRE
from tests.steering.test_homes import make_vm


class World:
    """A VM among others whose entries are known."""

    def __init__(self, count=4):
        self.clock = ManualClock()
        self.table = PeerTable(self.clock)
        places = ["n-a", "n-b", "s-a", "m-a"]
        vms = [make_vm(f"vm-{n:04}", places[n % 4]) for n in range(count)]
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

    def update(self, vm, **more):
        telling = {"run": 1, "is_leaving": False} | more
        self.table.update(PeerStatus(vm=vm, **telling))


def names(vms):
    return [vm.id for vm in vms]


def test_vms_are_near_or_far_by_region():
    world = World()
    assert names(world.neighbours.near) == ["vm-0000", "vm-0001"]
    assert names(world.neighbours.far) == ["vm-0002", "vm-0003"]


def test_one_that_tells_that_it_leaves_is_gone_at_once():
    world = World()
    assert len(world.neighbours.all()) == 4
    world.update("vm-0001", is_leaving=True)
    world.neighbours.invalidate()
    assert names(world.neighbours.near) == ["vm-0000"]


def test_one_whose_entry_lapsed_stays_while_it_is_heard():
    world = World()
    world.update("vm-0001", interval=250.0)
    del world.live["vm-0001"]
    assert "vm-0001" in names(world.neighbours.near)
    world.clock.advance(SILENT)
    assert "vm-0001" not in names(world.neighbours.near)


def test_callers_are_not_sent_to_those_that_fell_silent():
    world = World()
    world.neighbours.expect_heartbeats(250.0, 1_000.0)
    world.clock.advance(NEVER_HEARD)
    for vm in ("vm-0000", "vm-0002", "vm-0003"):
        world.update(vm, interval=250.0)
    assert names(world.neighbours.ready()) == ["vm-0000", "vm-0002", "vm-0003"]


def test_a_vm_that_hears_few_others_doubts_itself():
    world = World()
    world.neighbours.expect_heartbeats(250.0, 1_000.0)
    world.clock.advance(NEVER_HEARD)
    world.update("vm-0000", interval=250.0)
    assert len(world.neighbours.ready()) == 4


@pytest.mark.parametrize("count", [10, 100, 1_000])
def test_the_lists_cost_the_same_in_a_fleet_of_any_size(count):
    """Counts the entries looked at in a second of ticks and look-ups."""
    world = World(count)
    for _ in range(40):
        world.clock.advance(100.0)
        world.neighbours.ready()
        world.neighbours.expect_heartbeats(250.0, 1_000.0)
    looked_at_a_second = world.reads * count / 4.0
    assert looked_at_a_second <= 250.0
    assert world.reads <= 4_000.0 / VIEW_AGE + 1
