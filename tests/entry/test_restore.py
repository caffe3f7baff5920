"""A replica and its facts when the store is restored from a copy."""

import json

import pytest

from lagoonlatch.entry import facts as facts_module
from lagoonlatch.entry.events import RestoreSettled, RestoreSettling
from lagoonlatch.entry.facts import (
    HOLD_TIME,
    MISSING_ENTRY_HOLD_TIME,
    OLDER_ENTRY_HOLD_TIME,
    UNCERTAIN_CONFIGURATION_TIME,
    Facts,
)
from lagoonlatch.entry.replica import StoreReplica
from lagoonlatch.platform.kv import Change
from lagoonlatch.platform.registrations import (
    ROSTER_PREFIX,
    VM_PREFIX,
    encode_roster,
    encode_vm,
)
from lagoonlatch.platform.store import Entry
from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.model import VmRecord
from tests.entry.test_facts import config, upstream
from tests.entry.test_replica import batch
from tests.steering.samples import make_upstream_table

ERA = 1


def vm_entry(name, revision, run=1, era=ERA, configuration_version=0):
    record = VmRecord(
        id=name,
        data_centre="n-a",
        caller_address="10.0.0.1:1",
        peer_address="10.0.0.1:2",
        run=run,
        is_ready=True,
        era=era,
        configuration_version=configuration_version,
    )
    return Entry(f"{VM_PREFIX}{name}", encode_vm(record), revision)


def server(name, revision, **fields):
    return Entry(f"servers/{name}", upstream(**fields), revision)


class Vm:
    """A VM that has read `entries` at revision 50 of the first era."""

    def __init__(self, *entries):
        self.clock = ManualClock()
        self.facts = Facts(make_upstream_table(self.clock), self.clock)
        self.replica = StoreReplica(self.facts, self.clock)
        self.replica.apply_snapshot(
            [Entry("op/config", config(9), 40), *entries], 50, ERA
        )

    @classmethod
    def starting(cls):
        """Return a VM that has not read the store yet."""
        vm = cls.__new__(cls)
        vm.clock = ManualClock()
        vm.facts = Facts(make_upstream_table(vm.clock), vm.clock)
        vm.replica = StoreReplica(vm.facts, vm.clock)
        return vm

    def change(self, key, value, revision, era=ERA):
        change = Change(key, value, revision)
        assert self.replica.apply_batch(
            batch(self.replica.revision, revision, change, era=era)
        )

    def restore(self, *entries, revision=45, era=ERA + 1, version=4):
        configuration = Entry("op/config", config(version), 30)
        self.replica.apply_snapshot([configuration, *entries], revision, era)

    def pass_time(self, duration):
        self.clock.advance(duration)
        self.replica.settle()

    def usable(self):
        return {state.record.id for state in self.facts.fleet.usable("ledger")}


def test_changes_of_a_new_era_are_applied_at_lower_revisions():
    vm = Vm(server("i-1", 41, seq=3))
    vm.restore(server("i-1", 41, seq=3), revision=42)
    assert vm.replica.knowledge.position == (ERA + 1, 42)
    vm.change("servers/i-1", upstream(seq=4, state="draining"), 43, ERA + 1)
    assert vm.usable() == set()
    vm.change("op/config", config(11), 44, ERA + 1)
    assert vm.facts.rules.version == 11


def test_messages_of_an_earlier_era_change_nothing():
    vm = Vm(server("i-1", 41))
    old_entries = vm.replica.entries()
    vm.restore(server("i-1", 41))
    removal = Change("servers/i-1", None, 60)
    assert vm.replica.apply_batch(batch(45, 60, removal, era=ERA))
    assert not vm.replica.apply_snapshot(old_entries, 90, ERA)
    assert vm.usable() == {"i-1"}
    assert vm.replica.knowledge.position == (ERA + 1, 45)


def test_a_batch_of_a_later_era_needs_a_snapshot_first():
    vm = Vm(server("i-1", 41))
    removal = Change("servers/i-1", None, 51)
    assert not vm.replica.apply_batch(batch(50, 51, removal, era=ERA + 1))
    assert vm.usable() == {"i-1"}
    assert vm.replica.batch_since(50, ERA + 1) is None


def test_early_batches_of_an_earlier_era_are_dropped():
    vm = Vm(server("i-1", 41))
    removal = Change("servers/i-1", None, 53)
    assert not vm.replica.apply_batch(batch(52, 53, removal, era=ERA))
    vm.restore(server("i-1", 41), revision=51)
    vm.change("op/other", b"", 52, ERA + 1)
    assert vm.usable() == {"i-1"}


def test_the_configuration_in_force_never_goes_back():
    """CONFIG: the copy contains an older version, with a key that was withdrawn."""
    vm = Vm()
    vm.restore(version=4)
    assert vm.facts.rules.version == 9
    vm.change("op/config", config(9), 46, ERA + 1)
    vm.change("op/config", config(7), 47, ERA + 1)
    assert vm.facts.rules.version == 9
    assert vm.replica.versions.patch_from(0).version == 9


def test_upstreams_that_the_copy_lacks_are_held_until_they_register_again():
    vm = Vm(server("i-1", 41, seq=2), server("i-2", 49, seq=1))
    vm.restore(server("i-1", 41, seq=2))
    assert vm.usable() == {"i-1", "i-2"}
    vm.change("servers/i-2", upstream(seq=2), 46, ERA + 1)
    vm.pass_time(HOLD_TIME + 1.0)
    assert vm.usable() == {"i-1", "i-2"}


def test_upstreams_that_the_copy_lacks_and_that_are_gone_are_dropped():
    vm = Vm(server("i-1", 41), server("i-2", 49))
    vm.restore(server("i-1", 41))
    vm.pass_time(HOLD_TIME + 1.0)
    assert vm.usable() == {"i-1"}


def test_an_upstream_that_drains_stays_so_though_the_copy_says_ready():
    """DRAIN: the copy is older than the upstream's word that it leaves."""
    vm = Vm(server("i-1", 41, seq=3))
    vm.change("servers/i-1", upstream(seq=4, state="draining"), 51)
    vm.restore(server("i-1", 41, seq=3))
    assert vm.usable() == set()
    vm.change("servers/i-1", upstream(seq=5, state="draining"), 46, ERA + 1)
    vm.pass_time(OLDER_ENTRY_HOLD_TIME + 1.0)
    assert vm.usable() == set()


def test_an_upstream_that_has_left_is_not_used_though_the_copy_has_it():
    """DRAIN: another upstream may have its address by now."""
    vm = Vm(server("i-1", 41, seq=3))
    vm.change("servers/i-1", None, 51)
    vm.restore(server("i-1", 41, seq=3))
    assert vm.usable() == set()
    vm.change("servers/i-1", None, 46, ERA + 1)
    vm.pass_time(OLDER_ENTRY_HOLD_TIME + 1.0)
    assert vm.usable() == set()


@pytest.mark.parametrize("fields", [{"born": 9, "seq": 1}, {"seq": 4}])
def test_an_upstream_that_has_registered_again_before_the_snapshot_is_used(fields):
    vm = Vm(server("i-1", 41, seq=3))
    vm.change("servers/i-1", None, 51)
    vm.restore(server("i-1", 44, **fields))
    assert vm.usable() == {"i-1"}


def test_an_older_entry_that_stays_in_the_store_comes_into_force():
    vm = Vm(server("i-1", 41, seq=3))
    vm.change("servers/i-1", None, 51)
    vm.restore(server("i-1", 41, seq=3))
    vm.pass_time(OLDER_ENTRY_HOLD_TIME + 1.0)
    assert vm.usable() == {"i-1"}


def test_vms_and_roster_lines_that_the_copy_lacks_are_held():
    """QUOTA: a roster without some VMs gives the others more than the whole."""
    line = Entry(f"{ROSTER_PREFIX}vm-2", encode_roster("n-a"), 48)
    vm = Vm(vm_entry("vm-1", 42), vm_entry("vm-2", 49), line)
    vm.restore(vm_entry("vm-1", 42))
    assert set(vm.facts.vms_by_id) == {"vm-1", "vm-2"}
    assert set(vm.facts.roster) == {"vm-2"}
    assert vm.facts.missing_count(VM_PREFIX) == 1
    again = vm_entry("vm-2", 46, era=ERA + 1)
    vm.change(again.key, again.value, 46, ERA + 1)
    vm.pass_time(MISSING_ENTRY_HOLD_TIME + 1.0)
    assert set(vm.facts.vms_by_id) == {"vm-1", "vm-2"}
    assert vm.facts.roster == {}


def test_a_vm_that_has_left_is_not_listed_though_the_copy_has_it():
    vm = Vm(vm_entry("vm-1", 42))
    vm.change(f"{VM_PREFIX}vm-1", None, 51)
    vm.restore(vm_entry("vm-1", 42))
    assert vm.facts.vms_by_id == {}
    again = vm_entry("vm-1", 46, run=2, era=ERA + 1)
    vm.change(again.key, again.value, 46, ERA + 1)
    assert vm.facts.vms_by_id["vm-1"].run == 2


def evacuated(vm):
    vm.facts.fleet.evacuate(frozenset(vm.facts._evacuated_data_centres))
    return vm.facts._evacuated_data_centres


def test_a_vm_that_restarted_with_an_earlier_clock_is_ignored_for_a_limited_time():
    """Its run is lower than that of its process before, which the others know."""
    vm = Vm(vm_entry("vm-1", 48, run=5))
    vm.restore(vm_entry("vm-1", 45, run=3, era=ERA + 1))
    assert vm.facts.vms_by_id["vm-1"].run == 5
    vm.pass_time(OLDER_ENTRY_HOLD_TIME + 1.0)
    assert vm.facts.vms_by_id["vm-1"].run == 3


def test_a_vm_that_restarted_with_an_earlier_clock_and_registers_is_listed_at_once():
    vm = Vm(vm_entry("vm-1", 48, run=5))
    vm.restore(vm_entry("vm-1", 44, run=5))
    value = vm_entry("vm-1", 46, run=3, era=ERA + 1).value
    vm.change(f"{VM_PREFIX}vm-1", value, 46, ERA + 1)
    assert vm.facts.vms_by_id["vm-1"].run == 3


def test_an_upstream_that_restarted_with_an_earlier_clock_is_used_after_a_while():
    vm = Vm(server("i-1", 48, born=5, seq=2, state="draining"))
    vm.restore(server("i-1", 45, born=3, seq=0))
    assert vm.usable() == set()
    vm.pass_time(OLDER_ENTRY_HOLD_TIME + 1.0)
    assert vm.usable() == {"i-1"}


def test_an_evacuation_that_the_copy_lacks_holds_until_it_is_written_again():
    """EVAC: it was acknowledged, so it binds."""
    vm = Vm(Entry("op/evacuate/n-b", b"{}", 49))
    vm.restore()
    assert evacuated(vm) == {"n-b"}
    vm.change("op/evacuate/n-b", b"{}", 46, ERA + 1)
    vm.pass_time(MISSING_ENTRY_HOLD_TIME + 1.0)
    assert evacuated(vm) == {"n-b"}


def test_an_evacuation_that_was_taken_back_is_not_in_force_again():
    vm = Vm(Entry("op/evacuate/n-b", b"{}", 41))
    vm.change("op/evacuate/n-b", None, 51)
    vm.restore(Entry("op/evacuate/n-b", b"{}", 41))
    assert evacuated(vm) == set()
    vm.change("op/evacuate/n-b", b"{}", 46, ERA + 1)
    assert evacuated(vm) == {"n-b"}


def test_two_restores_in_a_row_the_second_to_an_earlier_copy():
    vm = Vm(server("i-1", 41, seq=3), server("i-2", 48, seq=1))
    vm.change("servers/i-1", upstream(seq=4, state="draining"), 51)
    vm.restore(server("i-1", 41, seq=3))
    vm.pass_time(1_000.0)
    vm.restore(server("i-1", 20, seq=1), revision=22, era=ERA + 2, version=2)
    assert vm.usable() == {"i-2"}
    assert vm.facts.rules.version == 9
    vm.change("servers/i-1", upstream(seq=5, state="draining"), 23, ERA + 2)
    vm.change("servers/i-2", upstream(seq=2), 24, ERA + 2)
    vm.pass_time(OLDER_ENTRY_HOLD_TIME + 1.0)
    assert vm.usable() == {"i-2"}


def test_a_later_snapshot_of_the_new_era_keeps_what_is_held():
    line = Entry(f"{ROSTER_PREFIX}vm-2", encode_roster("n-a"), 48)
    vm = Vm(server("i-1", 41, seq=3), line)
    vm.change("servers/i-1", None, 51)
    vm.restore(server("i-1", 41, seq=3))
    vm.restore(server("i-1", 41, seq=3), revision=46)
    assert vm.usable() == set()
    assert set(vm.facts.roster) == {"vm-2"}
    vm.restore(revision=47)
    assert vm.facts.older_count() == 0
    assert vm.usable() == set()


def test_other_vms_get_the_entries_as_the_store_holds_them():
    vm = Vm(server("i-1", 41, seq=3), server("i-2", 49), vm_entry("vm-1", 48))
    vm.change("servers/i-1", upstream(seq=4, state="draining"), 51)
    stored = [Entry("op/config", config(4), 30), server("i-1", 41, seq=3)]
    vm.restore(stored[1])
    assert sorted(vm.replica.entries(), key=lambda e: e.key) == stored


def test_a_vm_that_starts_after_a_restore_waits_for_a_later_configuration():
    """CONFIG: its first snapshot is a copy, and other VMs know a later version."""
    vm = Vm.starting()
    vm.restore(vm_entry("vm-1", 20))
    assert vm.facts.rules is None
    assert vm.replica.lacks_configuration
    other = Vm()
    assert vm.replica.apply_patch(other.replica.versions.patch_from(0))
    assert vm.facts.rules.version == 9
    vm.pass_time(UNCERTAIN_CONFIGURATION_TIME + 1.0)
    assert vm.facts.rules.version == 9


def test_a_vm_that_starts_after_a_restore_and_is_alone_uses_the_store():
    vm = Vm.starting()
    vm.restore(vm_entry("vm-1", 20))
    vm.pass_time(UNCERTAIN_CONFIGURATION_TIME + 1.0)
    assert vm.facts.rules.version == 4


def test_a_vm_that_starts_after_all_have_registered_again_waits_as_well():
    """CONFIG: no entry of an earlier era is left, but one states a later version."""
    vm = Vm.starting()
    vm.restore(
        vm_entry("vm-1", 44, era=ERA + 1, configuration_version=9),
        vm_entry("vm-2", 45, era=ERA + 1),
    )
    vm.pass_time(UNCERTAIN_CONFIGURATION_TIME - 1.0)
    assert vm.facts.rules is None
    assert vm.replica.lacks_configuration
    assert vm.replica.apply_patch(Vm().replica.versions.patch_from(0))
    assert vm.facts.rules.version == 9
    vm.pass_time(2.0)
    assert vm.facts.rules.version == 9


def test_a_vm_waits_for_no_later_configuration_once_all_have_registered_again():
    vm = Vm.starting()
    vm.restore(vm_entry("vm-1", 20), vm_entry("vm-2", 21))
    value = vm_entry("vm-1", 46, era=ERA + 1, configuration_version=4).value
    vm.change(f"{VM_PREFIX}vm-1", value, 46, ERA + 1)
    vm.pass_time(1.0)
    assert vm.facts.rules is None
    vm.change(f"{VM_PREFIX}vm-2", None, 47, ERA + 1)
    vm.pass_time(1.0)
    assert vm.facts.rules.version == 4


def test_a_vm_that_starts_between_two_restores_waits_for_a_later_configuration():
    vm = Vm.starting()
    vm.restore(vm_entry("vm-1", 20))
    vm.restore(vm_entry("vm-1", 20), revision=22, era=ERA + 2, version=2)
    vm.pass_time(1.0)
    assert vm.facts.rules is None
    assert vm.replica.lacks_configuration


def test_a_configuration_that_is_written_while_a_vm_waits_is_in_force_at_once():
    vm = Vm.starting()
    vm.restore(vm_entry("vm-1", 44, era=ERA + 1, configuration_version=9))
    vm.change("op/config", config(10), 46, ERA + 1)
    assert vm.facts.rules.version == 10


def test_a_version_that_no_vm_has_delays_a_start_by_a_limited_time():
    """An odd entry of another writer must not keep VMs from starting."""
    vm = Vm.starting()
    vm.restore(vm_entry("odd", 44, era=ERA + 1, configuration_version=2**62))
    assert vm.facts.rules is None
    vm.pass_time(UNCERTAIN_CONFIGURATION_TIME)
    assert vm.facts.rules.version == 4


def test_a_start_without_a_restore_does_not_wait():
    vm = Vm.starting()
    vm.restore(
        vm_entry("vm-1", 20, configuration_version=3),
        vm_entry("vm-2", 21, configuration_version=4),
        era=ERA,
    )
    assert vm.facts.rules.version == 4


def test_a_restore_is_logged_when_it_is_noticed_and_when_it_is_settled(monkeypatch):
    events = []
    monkeypatch.setattr(facts_module, "emit", events.append)
    vm = Vm(server("i-1", 41, seq=3), server("i-2", 49), vm_entry("vm-1", 48))
    vm.change("servers/i-1", upstream(seq=4, state="draining"), 51)
    vm.restore(server("i-1", 41, seq=3))
    assert (
        RestoreSettling(
            missing_upstreams=1,
            missing_vms=1,
            missing_roster=0,
            missing_evacuations=0,
            older_upstreams=1,
            older_others=0,
        )
        in events
    )
    vm.pass_time(MISSING_ENTRY_HOLD_TIME + 1.0)
    assert RestoreSettled() not in events
    vm.pass_time(OLDER_ENTRY_HOLD_TIME)
    vm.pass_time(1.0)
    assert events.count(RestoreSettled()) == 1


def test_entries_without_numbers_are_compared_by_their_content():
    entry = json.loads(upstream())
    entry.pop("seq", None)
    value = json.dumps(entry).encode()
    vm = Vm(Entry("servers/i-1", value, 41))
    vm.change("servers/i-1", None, 51)
    vm.restore(Entry("servers/i-1", value, 41))
    assert vm.usable() == set()
