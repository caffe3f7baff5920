"""Claims of slots between VMs whose datagrams may be lost."""

import gevent
import pytest

from lagoonlatch.clock import Clock
from lagoonlatch.entry.slots import CLAIM_TIMEOUT, CLAIM_TRIES, SlotClient
from lagoonlatch.steering.homes import SlotHomes
from lagoonlatch.steering.slots import UPSTREAM_QUEUE_DEPTH, SlotAllocator
from tests.steering.samples import (
    REGION_BY_DATA_CENTRE,
    make_record,
    make_upstream_table,
)
from tests.steering.test_homes import make_vm

RANK = (1, 1)


class Network:
    """VMs of one data centre that see one upstream, which is sent `slots` requests.

    Attributes
    ----------
    lost : callable
        Returns whether a datagram from one VM to another is lost.
    """

    def __init__(self, count=3, slots=1):
        self.clock = Clock()
        self.lost = lambda sender, receiver: False
        self.records = [make_vm(f"vm-{n}", "n-a") for n in range(count)]
        self.offered = []
        self.vm_by_id = {vm.id: self._make(vm.id, slots) for vm in self.records}
        for homes in self.homes_by_id.values():
            homes.refresh()

    def _make(self, name, slots):
        fleet = make_upstream_table(self.clock)
        fleet.put(
            make_record("u1", slots=slots - UPSTREAM_QUEUE_DEPTH), was_running=True
        )
        homes = SlotHomes(lambda: self.records, REGION_BY_DATA_CENTRE, self.clock)
        if not hasattr(self, "homes_by_id"):
            self.homes_by_id, self.fleet_by_id = {}, {}
        self.homes_by_id[name] = homes
        self.fleet_by_id[name] = fleet
        return SlotClient(
            name,
            fleet,
            SlotAllocator(fleet.slots_of, self.clock),
            homes,
            lambda vm, datagram: self._send(name, vm.id, datagram),
            lambda: self.offered.append(name),
            self.clock,
        )

    def _send(self, sender, receiver, datagram):
        if not self.lost(sender, receiver):
            gevent.spawn(self._deliver, sender, receiver, datagram)

    def _deliver(self, sender, receiver, datagram):
        vm = self.vm_by_id[receiver]
        if datagram.claim is not None:
            verdict = vm.answer_claim(datagram.claim)
            if not self.lost(receiver, sender):
                self.vm_by_id[sender].handle_verdict(verdict)
        elif datagram.counts is not None:
            vm.handle_counts(datagram.counts)
        elif datagram.room is not None:
            vm.handle_offer(datagram.room)
        elif datagram.decline is not None:
            vm.handle_decline(datagram.decline)

    def state(self, vm):
        return self.fleet_by_id[vm].find("u1")

    def home(self):
        return self.homes_by_id["vm-0"].home_of("u1", "n-a").id

    def others(self):
        return [vm.id for vm in self.records if vm.id != self.home()]

    def claim(self, vm, ticket=1):
        return self.vm_by_id[vm].claim(self.state(vm), RANK, ticket, 0.0)


def test_a_slot_is_granted_to_one_vm_and_offered_to_the_next():
    net = Network(slots=1)
    first, second = net.others()
    assert net.claim(first)
    assert not net.claim(second)
    assert net.state(second).load() == 1
    assert net.state(second).in_flight == 0
    net.vm_by_id[first].release(net.state(first))
    gevent.sleep(0.02)
    assert net.offered == [second]
    assert net.state(second).load() == 0
    assert net.claim(second)


def test_the_home_itself_waits_like_the_others():
    net = Network(slots=1)
    other = net.others()[0]
    assert net.claim(other)
    assert not net.claim(net.home())
    net.vm_by_id[other].release(net.state(other))
    gevent.sleep(0.02)
    assert net.offered == [net.home()]


def test_a_request_that_waits_no_more_leaves_its_turn_to_the_next():
    net = Network(count=4, slots=1)
    first, second, third = net.others()
    assert net.claim(first)
    assert not net.claim(second, ticket=1)
    gevent.sleep(0.005)
    assert not net.claim(third, ticket=2)
    net.vm_by_id[second].leave(1)
    net.vm_by_id[first].release(net.state(first))
    gevent.sleep(0.02)
    assert net.offered == [third]


def test_an_offer_to_a_request_that_has_left_is_passed_on_at_once():
    net = Network(count=4, slots=1)
    first, second, third = net.others()
    assert net.claim(first)
    assert not net.claim(second, ticket=1)
    gevent.sleep(0.005)
    assert not net.claim(third, ticket=2)
    # The word that it has left is lost.
    net.lost = lambda sender, receiver: sender == second
    net.vm_by_id[second].leave(1)
    net.lost = lambda sender, receiver: False
    net.vm_by_id[first].release(net.state(first))
    gevent.sleep(0.03)
    assert net.offered == [third]


def test_a_lost_claim_is_sent_again():
    net = Network()
    lost = iter([True, False, False])
    net.lost = lambda sender, receiver: next(lost, False)
    other = net.others()[0]
    assert net.claim(other)
    assert net.homes_by_id[other].home_of("u1", "n-a").id == net.home()


def test_without_an_answer_the_next_vm_is_the_home():
    net = Network(slots=1)
    home = net.home()
    first, second = net.others()
    net.lost = lambda sender, receiver: home in (sender, receiver)
    started = net.clock.now()
    assert net.claim(first)
    assert net.clock.now() - started <= CLAIM_TRIES * CLAIM_TIMEOUT + 100.0
    new = net.homes_by_id[first].home_of("u1", "n-a").id
    assert new != home
    # The new home is told at once, so that the slot isn't given twice.
    net.vm_by_id[first].report_held_slots()
    gevent.sleep(0.02)
    net.homes_by_id[second].mark_unreachable(home)
    assert not net.claim(second)


def test_a_caller_that_leaves_during_a_claim_keeps_no_slot():
    net = Network(slots=1)
    first, second = net.others()
    net.lost = lambda sender, receiver: receiver == first
    task = gevent.spawn(net.claim, first)
    gevent.sleep(0.02)
    task.kill()
    assert net.state(first).in_flight == 0
    gevent.sleep(0.02)
    assert net.claim(second)


@pytest.mark.parametrize("slots", [1, 3])
def test_the_slots_of_one_upstream_hold_over_all_vms(slots):
    """Load: requests at all VMs at once, each asking until it has been served."""
    net = Network(count=5, slots=slots)
    running = most = served = 0

    def request(vm, ticket):
        nonlocal running, most, served
        while not net.claim(vm, ticket):
            gevent.sleep(0.005)
        running += 1
        most = max(most, running)
        gevent.sleep(0.003)
        running -= 1
        net.vm_by_id[vm].release(net.state(vm))
        served += 1

    names = list(net.vm_by_id)
    tasks = [gevent.spawn(request, names[n % 5], n) for n in range(40)]
    gevent.joinall(tasks, timeout=20)
    assert served == 40
    assert most <= slots
