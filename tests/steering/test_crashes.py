"""Evidence against requests that upstreams were running when they crashed."""

import heapq
import itertools
import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonlatch.entry.peers import SUSPECT_REPORT_PAUSES
from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.crashes import (
    CRASH_LIMIT,
    FIRST_REFUSAL_TIME,
    MAX_CRASHES,
    MAX_FINGERPRINTS,
    MAX_REFUSAL_TIME,
    MEMORY_TIME,
    TRIAL_TIME,
    Crash,
    CrashQuarantine,
)


class Vm:
    """A VM that sends requests to upstreams and knows of their crashes."""

    def __init__(self, clock):
        self.clock = clock
        self.quarantine = CrashQuarantine(clock)

    def crash(self, upstream, born=1.0, ran=20.0, fingerprint="f"):
        """Let `upstream` crash `ran` milliseconds after it was sent the request."""
        sent_at = self.clock.now()
        self.clock.advance(ran)
        self.see(upstream, born, sent_at, self.clock.now(), fingerprint)

    def see(self, upstream, born, sent_at, ended_at, fingerprint="f"):
        crash = Crash(upstream=upstream, born=born, sent_at=sent_at, ended_at=ended_at)
        return self.quarantine.add(fingerprint, [crash])

    def tell(self, other, fingerprint="f"):
        other.quarantine.add(fingerprint, self.quarantine.crashes(fingerprint))


@pytest.fixture
def clock():
    clock = ManualClock()
    clock.advance(1_000.0)
    return clock


@pytest.fixture
def vm(clock):
    return Vm(clock)


def test_one_crash_counts_once_for_many_equal_requests(vm):
    """One crash must not be counted once for each request that it ended."""
    now = vm.clock.now()
    assert vm.see("u1", 1.0, now - 30.0, now)
    for sent_at in (now - 20.0, now - 10.0, now - 5.0):
        assert not vm.see("u1", 1.0, sent_at, now)
    assert vm.quarantine.count("f") == 1
    assert vm.quarantine.admit("f") == 0.0


def test_one_crash_counts_once_at_all_vms_that_notice_it(vm):
    others = [Vm(vm.clock) for _ in range(4)]
    now = vm.clock.now()
    for number, other in enumerate(others):
        other.see("u1", 1.0, now - 50.0 + number, now + 10.0 * number)
    for other in others:
        other.tell(vm)
        other.tell(vm)
    assert vm.quarantine.count("f") == 1


def test_crashes_of_several_upstreams_at_one_moment_count_once(vm):
    """A request that ran at all upstreams of a lost data centre is innocent."""
    now = vm.clock.now()
    for number in range(6):
        vm.see(f"u{number}", 1.0, now - 40.0 + number, now + 100.0 * number)
    assert vm.quarantine.count("f") == 1


def test_request_that_crashes_each_upstream_that_runs_it_is_refused(vm):
    for number in range(CRASH_LIMIT):
        assert vm.quarantine.admit("f") == 0.0
        vm.crash(f"u{number}")
    assert vm.quarantine.admit("f") == FIRST_REFUSAL_TIME


def test_each_run_of_an_upstream_can_crash(vm):
    for born in range(CRASH_LIMIT):
        vm.crash("u1", born=float(born))
    assert vm.quarantine.refused_for("f") > 0.0


def test_crashes_that_several_vms_caused_in_turn_add_up(vm):
    vms = [Vm(vm.clock) for _ in range(CRASH_LIMIT)]
    for number, sender in enumerate(vms):
        sender.crash(f"u{number}")
        for other in vms:
            sender.tell(other)
    assert all(other.quarantine.refused_for("f") > 0.0 for other in vms)


def test_order_of_the_reports_does_not_matter(vm):
    crashes = []
    for number in range(CRASH_LIMIT):
        vm.crash(f"u{number}")
    crashes = vm.quarantine.crashes("f")
    other = Vm(vm.clock)
    for crash in reversed(crashes):
        other.quarantine.add("f", [crash])
    assert other.quarantine.count("f") == CRASH_LIMIT


def test_whole_answer_clears_a_suspicion(vm):
    vm.crash("u1")
    assert vm.quarantine.clear("f")
    assert not vm.quarantine.clear("f")
    assert vm.quarantine.crashes("f") == []


def test_refused_request_gets_one_trial_after_its_time(vm):
    """Without a trial an innocent request could never clear itself."""
    for number in range(CRASH_LIMIT):
        vm.crash(f"u{number}")
    refused_for = vm.quarantine.admit("f")
    vm.clock.advance(refused_for)
    assert vm.quarantine.admit("f") == 0.0
    assert vm.quarantine.admit("f") == TRIAL_TIME
    assert vm.quarantine.clear("f")
    assert vm.quarantine.admit("f") == 0.0
    assert vm.quarantine.admit("f") == 0.0


def test_trial_that_crashes_an_upstream_doubles_the_time(vm):
    for number in range(CRASH_LIMIT):
        vm.crash(f"u{number}")
    expected = FIRST_REFUSAL_TIME
    for number in range(CRASH_LIMIT, CRASH_LIMIT + 6):
        assert vm.quarantine.refused_for("f") == pytest.approx(expected)
        vm.clock.advance(expected)
        assert vm.quarantine.admit("f") == 0.0
        vm.crash(f"u{number}")
        expected = min(2.0 * expected, MAX_REFUSAL_TIME)


def test_crashes_are_forgotten_after_a_while(vm):
    vm.crash("u1")
    vm.clock.advance(MEMORY_TIME)
    assert vm.quarantine.count("f") == 0
    assert not vm.quarantine.clear("f")


def test_memory_is_bounded(vm):
    for number in range(MAX_FINGERPRINTS + 10):
        vm.crash("u1", fingerprint=f"f{number}", ran=0.0)
    assert vm.quarantine.count("f0") == 0
    assert vm.quarantine.count(f"f{MAX_FINGERPRINTS + 9}") == 1
    for number in range(3 * MAX_CRASHES):
        vm.crash(f"u{number}")
    assert len(vm.quarantine.crashes("f")) == MAX_CRASHES
    assert vm.quarantine.count("f") == MAX_CRASHES


@given(
    st.lists(
        st.tuples(st.sampled_from("abcd"), st.integers(1, 3), st.integers(0, 50)),
        max_size=12,
    )
)
def test_requests_that_all_began_before_the_first_crash_count_once(crashes):
    vm = Vm(ManualClock())
    for upstream, born, ended_after in crashes:
        vm.see(upstream, float(born), 90.0, 100.0 + ended_after)
    vm.clock.advance(200.0)
    assert vm.quarantine.count("f") == (1 if crashes else 0)


def test_crashes_of_copies_that_are_sent_together_do_not_displace_each_other(vm):
    """Two waves of four copies took all the memory, so that the count stayed at two."""
    for wave in range(CRASH_LIMIT):
        sent_at = vm.clock.now()
        vm.clock.advance(20.0)
        for number in range(4):
            vm.see(f"u{wave}-{number}", 1.0, sent_at, vm.clock.now())
    assert vm.quarantine.count("f") == CRASH_LIMIT
    assert vm.quarantine.refused_for("f") >= FIRST_REFUSAL_TIME


def test_crash_of_a_copy_that_was_sent_before_an_answer_is_no_evidence(vm):
    """Faulty upstreams made a request suspect that others answered all the time."""
    sent_at = vm.clock.now()
    vm.crash("u0")
    assert vm.quarantine.clear("f")
    for number in range(1, 5):
        vm.see(f"u{number}", 1.0, sent_at, vm.clock.now())
    assert not vm.quarantine.is_suspect("f")
    assert vm.quarantine.clear("f")
    vm.crash("u6")
    assert vm.quarantine.count("f") == 1


class Fleet:
    """VMs whose reports may be lost; each request crashes its upstream."""

    def __init__(self, vm_count, ran, noticed_after, seed):
        self.clock = ManualClock()
        self.random = random.Random(seed)
        self.ran, self.noticed_after = ran, noticed_after
        names = [f"vm-{number}" for number in range(vm_count)]
        self.vms = [CrashQuarantine(self.clock, name, lambda: names) for name in names]
        self.events, self.numbers = [], itertools.count()
        self.sent_at = []

    def later(self, delay, action, *args):
        entry = (self.clock.now() + delay, next(self.numbers), action, args)
        heapq.heappush(self.events, entry)

    def run(self):
        while self.events:
            at, _, action, args = heapq.heappop(self.events)
            self.clock.advance(at - self.clock.now())
            action(*args)

    def send(self, vm):
        if vm.admit("f", self.ran + 2_000.0) > 0.0:
            return
        now = self.clock.now()
        self.sent_at.append(now)
        name = f"u{len(self.sent_at)}"
        crash = Crash(upstream=name, born=1.0, sent_at=now, ended_at=now + self.ran)
        if vm.is_suspect("f"):
            self.report(vm)
        self.later(self.ran + self.noticed_after, self.notice, vm, crash)

    def notice(self, vm, crash):
        if vm.add("f", [crash]):
            self.report(vm)

    def report(self, vm):
        delays = list(itertools.accumulate(SUSPECT_REPORT_PAUSES, initial=0.0))
        for other in self.vms:
            # One of the copies before the next turn arrives.
            kept = self.random.randrange(len(delays) - 1)
            for number, delay in enumerate(delays):
                if number == kept or self.random.random() < 0.5:
                    self.later(delay, self.transmit, vm, other)

    def transmit(self, vm, other):
        self.later(20.0, other.add, "f", vm.crashes("f"))
        self.later(20.0, other.note_trial, "f", vm.trial_left("f"))


@settings(max_examples=40, deadline=None)
@given(
    st.integers(1, 6),
    st.integers(1, 8),
    st.floats(10.0, 3_000.0),
    st.floats(0.0, 1_000.0),
    st.integers(0, 1_000_000),
)
def test_at_most_three_upstreams_run_a_bad_request_after_contact(
    vm_count, copies, ran, noticed_after, seed
):
    """Copies that are sent together must not count as one crash for ever."""
    fleet = Fleet(vm_count, ran, noticed_after, seed)
    at = 0.0
    while at < 200_000.0:
        vm = fleet.random.choice(fleet.vms)
        for _ in range(copies):
            fleet.later(at, fleet.send, vm)
        at += fleet.random.choice([0.0, 100.0, 300.0, 2_000.0])
    fleet.run()
    counted_from = sorted(fleet.sent_at)[2] + ran + 4_000.0
    assert sum(sent_at > counted_from for sent_at in fleet.sent_at) <= 3


def test_harmless_request_is_cleared_soon_after_upstreams_crashed_together():
    """A hot request runs at many upstreams of a data centre that loses power."""
    fleet = Fleet(6, 20.0, 0.0, seed=1)
    now = fleet.clock.now()
    for number in range(8):
        crash = Crash(upstream=f"u{number}", born=1.0, sent_at=now - 50, ended_at=now)
        for vm in fleet.vms:
            vm.add("f", [crash])
    assert all(0.0 < vm.refused_for("f") <= 7_000.0 for vm in fleet.vms)
    fleet.clock.advance(min(vm.refused_for("f") for vm in fleet.vms))
    admitted = [vm for vm in fleet.vms if vm.admit("f") == 0.0]
    assert len(admitted) == 1
    assert admitted[0].refused_for("f") > 0.0
    for vm in fleet.vms:
        vm.clear("f")
        assert vm.admit("f") == 0.0
