"""No two VMs ever act for one slot, whatever the store, the list and the VMs do.

The VMs pause, die and start anew at their address; leases lapse; the list lags; the
store is out and loses answers; tables reach peers late. The model keeps the platform's
promise: the list drops a VM only when its process has ended.
"""

import os

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    rule,
    run_state_machine_as_test,
)
from returns.result import Failure, Success

from lagoonlatch.ownership import (
    Candidate,
    Owner,
    OwnershipKeeper,
    PlatformView,
    decode_table,
)
from lagoonlatch.platform.store import StoreOutcomeUnknown
from tests.ownership.fakes import FakeStore, FakeVmList

SLOTS = 3
NAMES = ("x", "y", "z")
names = st.sampled_from(NAMES)


class SteppedClock:
    def __init__(self, machine):
        self._machine = machine

    def now(self):
        return self._machine.now

    def sleep(self, duration):
        raise AssertionError("the machine steps")


class DelayingStore(FakeStore):
    """May keep a write back, answer "unknown", and let it take effect later."""

    def __init__(self):
        super().__init__()
        self.delay_writes = False
        self.delayed = []

    def put_if(self, key, value, revision, lease=0):
        if self.delay_writes and not self.unavailable:
            self.delayed.append((key, value, revision, lease))
            return Failure(StoreOutcomeUnknown("no answer"))
        return super().put_if(key, value, revision, lease)

    def deliver(self):
        if self.delayed:
            super().put_if(*self.delayed.pop(0))


class Process:
    """One run of a VM."""

    def __init__(self, machine, name, incarnation):
        self.me = Owner(name, incarnation)
        self.alive = True
        self.paused = False
        view = PlatformView(
            machine.store,
            machine.list,
            lambda: machine.candidates(),
            lambda vm: machine.heard.get(vm),
        )
        self.keeper = OwnershipKeeper(
            machine.store, "a", self.me, view, SteppedClock(machine), slots=SLOTS
        )


class OwnershipMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.store = DelayingStore()
        self.list = FakeVmList()
        self.heard = {}
        self.suspected = set()
        self.processes = []
        for name in NAMES:
            self._start(name)

    def _start(self, name):
        incarnation = self.heard.get(name, 0) + 1
        self.heard[name] = incarnation
        self.suspected.discard(name)
        self.list.listed.add(name)
        process = Process(self, name, incarnation)
        process.lease = self._register(name)
        self.processes.append(process)

    def _register(self, name):
        lease = self.store.grant_lease(0.0).value_or(None)
        if lease is not None:
            entry = self.store.entry_by_key.get(f"vms/{name}")
            FakeStore.put_if(
                self.store, f"vms/{name}", b"", entry.revision if entry else 0, lease
            )
        return lease

    def candidates(self):
        return tuple(
            Candidate(Owner(name, self.heard[name]))
            for name in NAMES
            if name not in self.suspected
        )

    def running(self, name):
        found = [
            process
            for process in self.processes
            if process.me.vm == name and process.alive
        ]
        return found[0] if found else None

    @rule(name=names)
    def step(self, name):
        process = self.running(name)
        if process and not process.paused:
            process.keeper.step()

    @rule(name=names, other=names)
    def gossip(self, name, other):
        process, peer = self.running(name), self.running(other)
        if process and peer and not process.paused:
            process.keeper.apply_table(peer.keeper.revision(), peer.keeper.document())

    @rule(name=names)
    def read_table(self, name):
        process = self.running(name)
        entry = self.store.entry_by_key.get("ownership/a")
        if process and entry and not process.paused:
            generation = decode_table(entry.value).unwrap().generation
            process.keeper.apply_table(generation, entry.value)

    @rule(duration=st.sampled_from([100.0, 5_000.0]))
    def advance(self, duration):
        self.now += duration

    @rule(name=names)
    def hand_over(self, name):
        process = self.running(name)
        if process and not process.paused:
            process.keeper.hand_over()

    @rule(name=names, paused=st.booleans())
    def pause_or_wake(self, name, paused):
        process = self.running(name)
        if process:
            process.paused = paused

    @rule(name=names, suspected=st.booleans())
    def suspect(self, name, suspected):
        (self.suspected.add if suspected else self.suspected.discard)(name)

    @rule(name=names)
    def lapse_lease(self, name):
        self.store.entry_by_key.pop(f"vms/{name}", None)

    @rule(name=names)
    def kill(self, name):
        process = self.running(name)
        if process:
            process.alive = False

    @rule(name=names)
    def drop_dead_from_list(self, name):
        if self.running(name) is None:
            self.list.listed.discard(name)

    @rule(name=names)
    def start_anew(self, name):
        if self.running(name) is None:
            self._start(name)

    @rule(
        unavailable=st.booleans(),
        lose_answers=st.booleans(),
        delay_writes=st.booleans(),
    )
    def switch_store(self, unavailable, lose_answers, delay_writes):
        self.store.unavailable = unavailable
        self.store.lose_answers = lose_answers
        self.store.delay_writes = delay_writes

    @rule()
    def deliver_delayed_write(self):
        self.store.deliver()

    @invariant()
    def one_owner_a_slot(self):
        for slot in range(SLOTS):
            acting = [
                process.me
                for process in self.processes
                if process.alive and process.keeper.owns(slot)
            ]
            assert len(acting) <= 1, f"two owners of slot {slot}: {acting}"


def settings_for(examples):
    return settings(
        derandomize=True,
        max_examples=examples,
        stateful_step_count=50,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )


def test_one_owner_a_slot():
    examples = int(os.environ.get("EXAMPLES", "150"))
    run_state_machine_as_test(OwnershipMachine, settings=settings_for(examples))


def started():
    """Return a machine whose VMs all know the table, and the owner of slot 0."""
    machine = OwnershipMachine()
    machine.step("x")
    for name in NAMES:
        machine.read_table(name)
    return machine, machine.running("x").keeper.owner_of(0).vm


def others_act(machine, owner):
    others = [name for name in NAMES if name != owner]
    for name in others:
        machine.read_table(name)
        machine.step(name)
    for name in others:
        machine.read_table(name)


def pause_until_the_lease_lapses():
    machine, owner = started()
    machine.pause_or_wake(owner, paused=True)
    machine.suspect(owner, suspected=True)
    machine.lapse_lease(owner)
    others_act(machine, owner)
    return machine


def run_while_the_list_is_late():
    """A list from before the VM was listed first, while its lease lasts."""
    machine, owner = started()
    machine.suspect(owner, suspected=True)
    machine.list.listed.discard(owner)
    others_act(machine, owner)
    return machine


def lose_the_write_of_a_hand_over():
    machine, owner = started()
    machine.switch_store(unavailable=False, lose_answers=False, delay_writes=True)
    machine.hand_over(owner)
    machine.switch_store(unavailable=False, lose_answers=False, delay_writes=False)
    machine.deliver_delayed_write()
    others_act(machine, owner)
    return machine


def lease_only(self, vms):
    return Success(self._vms_without_lease(vms))


def list_only(self, vms):
    return self._vm_list.read_vms().map(
        lambda listed: vms - {item.id for item in listed}
    )


def act_while_in_doubt(self, _error):
    self._owned_since_by_slot.update(dict.fromkeys(self._slots_to_hand_over, 0.0))


@pytest.mark.parametrize(
    ("schedule", "owner", "attribute", "naive"),
    [
        (pause_until_the_lease_lapses, PlatformView, "read_ended_vms", lease_only),
        (run_while_the_list_is_late, PlatformView, "read_ended_vms", list_only),
        (
            lose_the_write_of_a_hand_over,
            OwnershipKeeper,
            "_after_failure",
            act_while_in_doubt,
        ),
    ],
)
def test_schedule_makes_two_owners_only_under_a_naive_rule(
    schedule, owner, attribute, naive, monkeypatch
):
    schedule().one_owner_a_slot()
    monkeypatch.setattr(owner, attribute, naive)
    with pytest.raises(AssertionError, match="two owners"):
        schedule().one_owner_a_slot()
