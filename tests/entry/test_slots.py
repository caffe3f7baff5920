"""Claims of slots between VMs, with datagrams that may be lost."""

import gevent
import pytest

from lagoonlatch.clock import Clock
from lagoonlatch.entry.slots import CLAIM_TIMEOUT, CLAIM_TRIES, SlotClient
from lagoonlatch.steering.homes import SlotHomes
from lagoonlatch.steering.rate_limits import NamedLimit, UpstreamRateLimiter
from lagoonlatch.steering.slots import UPSTREAM_QUEUE_DEPTH, SlotAllocator
from tests.steering.samples import (
    REGION_BY_DATA_CENTRE,
    make_record,
    make_upstream_table,
)
from tests.steering.test_homes import make_vm

PRIORITIES = (1, 1)


class Network:
    """VMs of one data centre with one upstream, which gets up to `slots` requests.

    Attributes
    ----------
    is_lost : callable
        Returns whether a datagram from one VM to another is lost.
    """

    def __init__(self, count=3, slots=1):
        self.clock = Clock()
        self.is_lost = lambda sender, receiver: False
        self.records = [make_vm(f"vm-{n}", "n-a") for n in range(count)]
        self.fraction_by_vm = {vm.id: 1.0 for vm in self.records}
        self.offered_vms = []
        self.vm_by_id = {vm.id: self._make(vm.id, slots) for vm in self.records}
        for homes in self.homes_by_id.values():
            homes.refresh()

    def _make(self, name, slots):
        upstream_table = make_upstream_table(self.clock)
        upstream_table.put(
            make_record("u1", slots=slots - UPSTREAM_QUEUE_DEPTH), was_running=True
        )
        homes = SlotHomes(lambda: self.records, REGION_BY_DATA_CENTRE, self.clock)
        if not hasattr(self, "homes_by_id"):
            self.homes_by_id, self.upstream_table_by_id = {}, {}
        self.homes_by_id[name] = homes
        self.upstream_table_by_id[name] = upstream_table
        limiter = UpstreamRateLimiter(lambda _: self.fraction_by_vm[name], self.clock)
        return SlotClient(
            name,
            upstream_table,
            SlotAllocator(upstream_table.slots_of, limiter, self.clock),
            limiter,
            homes,
            lambda vm, datagram: self._send(name, vm.id, datagram),
            lambda: self.offered_vms.append(name),
            self.clock,
        )

    def _send(self, sender, receiver, datagram):
        if not self.is_lost(sender, receiver):
            gevent.spawn(self._deliver, sender, receiver, datagram)

    def _deliver(self, sender, receiver, datagram):
        vm = self.vm_by_id[receiver]
        if datagram.claim is not None:
            verdict = vm.answer_claim(datagram.claim)
            if not self.is_lost(receiver, sender):
                self.vm_by_id[sender].handle_verdict(verdict)
        elif datagram.counts is not None:
            vm.handle_counts(datagram.counts)
        elif datagram.limit_report is not None:
            vm.handle_limit_report(datagram.limit_report)
        elif datagram.room is not None:
            vm.handle_offer(datagram.room)
        elif datagram.decline is not None:
            vm.handle_decline(datagram.decline)

    def state(self, vm):
        return self.upstream_table_by_id[vm].find("u1")

    def home(self):
        return self.homes_by_id["vm-0"].home_of("u1", "n-a").id

    def others(self):
        return [vm.id for vm in self.records if vm.id != self.home()]

    def claim(self, vm, ticket=1):
        return self.vm_by_id[vm].claim(self.state(vm), PRIORITIES, ticket, 0.0)


def test_slot_is_granted_to_one_vm_and_then_offered_to_the_next():
    net = Network(slots=1)
    holder, waiting = net.others()
    assert net.claim(holder)
    assert not net.claim(waiting)
    assert net.state(waiting).load() == 1
    assert net.state(waiting).in_flight == 0
    net.vm_by_id[holder].release(net.state(holder))
    gevent.sleep(0.02)
    assert net.offered_vms == [waiting]
    assert net.state(waiting).load() == 0
    assert net.claim(waiting)


def test_home_vm_waits_like_the_others():
    net = Network(slots=1)
    other = net.others()[0]
    assert net.claim(other)
    assert not net.claim(net.home())
    net.vm_by_id[other].release(net.state(other))
    gevent.sleep(0.02)
    assert net.offered_vms == [net.home()]


def test_slot_is_offered_to_the_next_request_if_one_stops_waiting():
    net = Network(count=4, slots=1)
    holder, waiting, next_waiting = net.others()
    assert net.claim(holder)
    assert not net.claim(waiting, ticket=1)
    gevent.sleep(0.005)
    assert not net.claim(next_waiting, ticket=2)
    net.vm_by_id[waiting].stop_waiting(1)
    net.vm_by_id[holder].release(net.state(holder))
    gevent.sleep(0.02)
    assert net.offered_vms == [next_waiting]


def test_declined_offer_goes_to_the_next_request_at_once():
    net = Network(count=4, slots=1)
    holder, waiting, next_waiting = net.others()
    assert net.claim(holder)
    assert not net.claim(waiting, ticket=1)
    gevent.sleep(0.005)
    assert not net.claim(next_waiting, ticket=2)
    # The message that the request no longer waits is lost.
    net.is_lost = lambda sender, receiver: sender == waiting
    net.vm_by_id[waiting].stop_waiting(1)
    net.is_lost = lambda sender, receiver: False
    net.vm_by_id[holder].release(net.state(holder))
    gevent.sleep(0.03)
    assert net.offered_vms == [next_waiting]


def test_lost_claim_is_sent_again():
    net = Network()
    lost = iter([True, False, False])
    net.is_lost = lambda sender, receiver: next(lost, False)
    other = net.others()[0]
    assert net.claim(other)
    assert net.homes_by_id[other].home_of("u1", "n-a").id == net.home()


def test_next_vm_becomes_home_if_the_home_does_not_answer():
    net = Network(slots=1)
    home = net.home()
    holder, other = net.others()
    net.is_lost = lambda sender, receiver: home in (sender, receiver)
    started = net.clock.now()
    assert net.claim(holder)
    assert net.clock.now() - started <= CLAIM_TRIES * CLAIM_TIMEOUT + 100.0
    new_home = net.homes_by_id[holder].home_of("u1", "n-a").id
    assert new_home != home
    # The new home gets the counts at once, so that it doesn't grant the slot again.
    net.vm_by_id[holder].report_held_slots()
    gevent.sleep(0.02)
    net.homes_by_id[other].mark_unreachable(home)
    assert not net.claim(other)


def test_caller_that_disconnects_during_a_claim_holds_no_slot():
    net = Network(slots=1)
    claimant, other = net.others()
    net.is_lost = lambda sender, receiver: receiver == claimant
    task = gevent.spawn(net.claim, claimant)
    gevent.sleep(0.02)
    task.kill()
    assert net.state(claimant).in_flight == 0
    gevent.sleep(0.02)
    assert net.claim(other)


@pytest.mark.parametrize("slots", [1, 3])
def test_slots_of_an_upstream_are_never_exceeded_by_all_vms_together(slots):
    """Requests arrive at all VMs at once; each claims a slot until it is served."""
    net = Network(count=5, slots=slots)
    in_progress = max_in_progress = served = 0

    def run_request(vm, ticket):
        nonlocal in_progress, max_in_progress, served
        while not net.claim(vm, ticket):
            gevent.sleep(0.005)
        in_progress += 1
        max_in_progress = max(max_in_progress, in_progress)
        gevent.sleep(0.003)
        in_progress -= 1
        net.vm_by_id[vm].release(net.state(vm))
        served += 1

    names = list(net.vm_by_id)
    tasks = [gevent.spawn(run_request, names[n % 5], n) for n in range(40)]
    gevent.joinall(tasks, timeout=20)
    assert served == 40
    assert max_in_progress <= slots


def name_limit(net, vm, rate=10.0):
    """Let an answer to a request of `vm` name a limit."""
    state = net.state(vm)
    state.name_limit(rate, net.clock.now())
    limit = NamedLimit(rate=rate, born=state.record.born)
    net.vm_by_id[vm].report_limit(state, limit, is_ended=False)
    gevent.sleep(0.01)


def test_limit_named_to_one_vm_bounds_the_requests_of_all():
    net = Network(count=5, slots=50)
    name_limit(net, net.others()[0])
    granted = 0
    started = net.clock.now()
    ticket = 0
    while net.clock.now() - started < 1_000.0:
        for vm in net.vm_by_id:
            ticket += 1
            granted += net.claim(vm, ticket)
            net.vm_by_id[vm].stop_waiting(ticket)
        gevent.sleep(0.005)
    assert 9 <= granted <= 13
    assert all(net.state(vm).rate_limit == 10.0 for vm in net.vm_by_id)


def test_unanswered_claim_does_not_count_as_granted_under_a_limit():
    net = Network(slots=9)
    vm = net.others()[0]
    name_limit(net, vm)
    net.is_lost = lambda sender, receiver: True
    assert not net.claim(vm)
    assert net.state(vm).in_flight == 0
    assert net.state(vm).is_limit_spent()


def test_vm_that_was_not_told_learns_the_limit_from_the_second_home_vm():
    net = Network(count=4, slots=9)
    home = net.home()
    homes = net.homes_by_id[home]
    deputy = homes.first_homes("u1", "n-a")[1].id
    told, untold = (vm for vm in net.vm_by_id if vm not in (home, deputy))
    name_limit(net, told)
    net.fraction_by_vm[deputy] = 0.0
    net.is_lost = lambda sender, receiver: home in (sender, receiver)
    assert not net.claim(untold)
    assert net.state(untold).rate_limit == 10.0


def test_vm_without_authority_grants_nothing_under_a_limit():
    net = Network(slots=9)
    vm = net.others()[0]
    name_limit(net, vm)
    net.fraction_by_vm[net.home()] = 0.0
    gevent.sleep(0.3)
    assert not net.claim(vm)


def test_restarted_home_vm_learns_the_limit_from_claims():
    net = Network(slots=9)
    vm = net.others()[0]
    name_limit(net, vm, rate=0.5)
    home = net.home()
    net.vm_by_id[home] = net._make(home, slots=9)
    net.homes_by_id[home].refresh()
    assert not net.claim(vm)


def test_slots_are_offered_when_the_limit_allows_the_next_request():
    net = Network(slots=9)
    vm = net.others()[0]
    name_limit(net, vm)
    assert not net.claim(vm)
    gevent.sleep(0.2)
    assert net.offered_vms == [vm]
    assert net.claim(vm)


def test_limit_that_has_ended_is_not_brought_back_by_an_idle_vm():
    net = Network(slots=9)
    idle, vm = net.others()
    name_limit(net, idle)
    gevent.sleep(0.3)
    assert net.claim(vm)
    state = net.state(vm)
    assert state.end_limit(net.clock.now())
    home = net.vm_by_id[net.home()]
    epoch = home._limiter.limit_of("u1").epoch
    limit = NamedLimit(rate=0.0, born=state.record.born, epoch=epoch)
    net.vm_by_id[vm].report_limit(state, limit, is_ended=True)
    gevent.sleep(0.02)
    assert net.claim(idle)
    assert net.state(idle).rate_limit is None


def test_health_check_takes_a_token_of_the_limit():
    net = Network(slots=9)
    vm = net.others()[0]
    name_limit(net, vm, rate=5.0)
    gevent.sleep(0.25)
    assert net.vm_by_id[vm].claim_check(net.state(vm))
    assert not net.vm_by_id[vm].claim_check(net.state(vm))
    assert net.state(vm).in_flight == 0


def test_home_vm_sets_no_timer_while_claims_wait_for_slots_only():
    net = Network(slots=1)
    vm, other = net.others()
    name_limit(net, vm, rate=50.0)
    gevent.sleep(0.1)
    assert net.claim(vm)
    gevent.sleep(0.1)
    assert not net.claim(other)
    assert not net.vm_by_id[net.home()]._upstreams_with_timed_offer
    net.vm_by_id[vm].release(net.state(vm))
    gevent.sleep(0.02)
    assert net.offered_vms == [other]
