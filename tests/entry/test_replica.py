"""Applying snapshots, batches and patches to a replica."""

import pytest

from lagoonlatch.entry.facts import Facts
from lagoonlatch.entry.replica import RETENTION, Batch, StoreReplica
from lagoonlatch.platform.kv import Change
from lagoonlatch.platform.store import Entry
from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.knowledge import Knowledge
from tests.entry.test_facts import config, upstream
from tests.steering.samples import make_upstream_table


class Vm:
    def __init__(self):
        self.clock = ManualClock()
        self.facts = Facts(make_upstream_table(self.clock), self.clock)
        self.replica = StoreReplica(self.facts, self.clock)
        entries = [
            Entry("op/config", config(3), 8),
            Entry("servers/i-1", upstream(), 9),
        ]
        self.replica.apply_snapshot(entries, 10)

    def upstream_ids(self):
        return {state.record.id for state in self.facts.fleet.usable("ledger")}


@pytest.fixture
def vm():
    return Vm()


def batch(since, until, *changes, **more):
    return Batch(since=since, until=until, changes=changes, **more)


def configuration_change(value, revision):
    return Change("op/config", value, revision)


def added(name, revision):
    return Change(f"servers/{name}", upstream(), revision)


def removed(name, revision):
    return Change(f"servers/{name}", None, revision)


def test_repeated_changes_are_applied_once(vm):
    assert vm.replica.apply_batch(batch(10, 12, added("i-2", 11), removed("i-1", 12)))
    assert vm.upstream_ids() == {"i-2"}
    assert vm.replica.apply_batch(batch(12, 13, added("i-1", 13)))
    # The first batch arrives again from another VM.
    assert vm.replica.apply_batch(batch(10, 12, added("i-2", 11), removed("i-1", 12)))
    assert vm.replica.apply_batch(
        batch(10, 14, removed("i-1", 12), added("i-1", 13), removed("i-2", 14))
    )
    assert vm.upstream_ids() == {"i-1"}
    assert vm.replica.revision == 14


def test_changes_after_a_gap_are_not_applied(vm):
    assert not vm.replica.apply_batch(batch(11, 12, removed("i-1", 12)))
    assert vm.upstream_ids() == {"i-1"}
    assert vm.replica.revision == 10


def test_no_batch_is_applied_before_the_first_snapshot():
    clock = ManualClock()
    replica = StoreReplica(Facts(make_upstream_table(clock), clock), clock)
    assert not replica.apply_batch(batch(0, 5, added("i-1", 5)))


def test_batch_since_holds_all_changes_that_another_vm_lacks(vm):
    vm.replica.apply_batch(batch(10, 12, added("i-2", 11), removed("i-1", 12)))
    vm.replica.apply_batch(batch(11, 14, removed("i-1", 12), added("i-3", 14)))
    other = Vm()
    assert other.replica.apply_batch(vm.replica.batch_since(10))
    assert other.upstream_ids() == vm.upstream_ids() == {"i-2", "i-3"}
    assert other.replica.revision == 14
    later = vm.replica.batch_since(12)
    assert [change.revision for change in later.changes] == [14]
    assert vm.replica.batch_since(9) is None


def test_changes_are_dropped_after_the_retention_time(vm):
    vm.replica.apply_batch(batch(10, 11, added("i-2", 11)))
    vm.clock.advance(RETENTION + 1.0)
    vm.replica.apply_batch(batch(11, 12, added("i-3", 12)))
    assert vm.replica.batch_since(10) is None
    assert vm.replica.batch_since(11) is not None


def test_a_batch_also_carries_the_hold_time_of_lapsed_entries(vm):
    vm.facts.hold_missing_upstreams()
    vm.replica.apply_batch(batch(10, 11, removed("i-1", 11)))
    other = Vm()
    other.replica.apply_batch(vm.replica.batch_since(10))
    assert vm.upstream_ids() == other.upstream_ids() == {"i-1"}
    other.clock.advance(3_000.0)
    other.facts.remove_missing_upstreams()
    assert other.upstream_ids() == set()


def test_a_late_snapshot_reverts_no_changes():
    """Load: a slow store answers after other VMs have sent later changes.

    The snapshot still contains an upstream that has left since.
    """
    vm = Vm()
    entries = vm.replica.entries()
    before = vm.replica.revision
    vm.replica.apply_batch(batch(before, before + 5, removed("i-1", before + 5)))
    assert vm.upstream_ids() == set()
    vm.replica.apply_snapshot(entries, before + 1)
    assert vm.upstream_ids() == set()
    assert vm.replica.revision == before + 5


def test_batch_since_leaves_out_the_configuration():
    vm = Vm()
    vm.replica.apply_batch(
        batch(10, 12, configuration_change(config(4), 11), added("i-2", 12))
    )
    passed = vm.replica.batch_since(10)
    assert [change.key for change in passed.changes] == ["servers/i-2"]
    assert passed.configuration_version == 4


def test_changes_are_applied_before_their_configuration_arrives():
    """DRAIN: the removal of an upstream was delayed by a configuration of 18 KB."""
    ahead, vm = Vm(), Vm()
    ahead.replica.apply_batch(
        batch(10, 12, configuration_change(config(4), 11), removed("i-1", 12))
    )
    vm.replica.apply_batch(ahead.replica.batch_since(10))
    assert vm.upstream_ids() == set()
    assert vm.facts.rules.version == 3
    assert vm.replica.newest_configuration_version == 4
    assert vm.replica.apply_patch(ahead.replica.versions.patch_from(3))
    assert vm.facts.rules.version == 4


def test_early_changes_are_applied_once_the_missing_ones_arrive():
    vm = Vm()
    assert not vm.replica.apply_batch(batch(12, 13, removed("i-1", 13)))
    assert not vm.replica.apply_batch(batch(11, 12, added("i-3", 12)))
    assert vm.replica.apply_batch(batch(10, 11, added("i-2", 11)))
    assert vm.replica.revision == 13
    assert vm.upstream_ids() == {"i-2", "i-3"}


def test_an_older_configuration_never_replaces_a_newer_one():
    vm = Vm()
    first = Vm().replica
    first.apply_batch(batch(10, 12, configuration_change(config(4), 12)))
    patch = first.versions.patch_from(3)
    vm.replica.apply_batch(batch(10, 14, configuration_change(config(5), 14)))
    assert vm.replica.apply_patch(patch)
    assert vm.facts.rules.version == 5
    vm.replica.apply_snapshot(first.entries(), 13)
    vm.replica.apply_batch(batch(14, 15, configuration_change(config(4), 12)))
    assert vm.facts.rules.version == 5


def test_a_hold_time_is_ignored_if_no_outage_is_possible():
    """DRAIN: VMs cut off from the store made others hold upstreams that had left."""
    vm = Vm()
    vm.replica = StoreReplica(vm.facts, vm.clock, lambda: False)
    vm.replica.apply_snapshot(vm.facts.entries(), 10)
    vm.replica.apply_batch(batch(10, 11, removed("i-1", 11), hold_left=2_300.0))
    assert vm.upstream_ids() == set()


def test_the_age_of_the_facts_counts_from_their_last_confirmation(vm):
    vm.clock.advance(500.0)
    vm.replica.note_latest(Knowledge(revision=10, version=3))
    assert vm.facts.age() == 0.0
    vm.clock.advance(700.0)
    vm.replica.note_latest(Knowledge(revision=11, version=3))
    vm.replica.note_latest(Knowledge(revision=10, version=4))
    vm.replica.note_latest(Knowledge(era=1, revision=1, version=3))
    assert vm.facts.age() == 700.0
    vm.replica.apply_batch(batch(10, 11, removed("i-1", 11)))
    vm.replica.note_latest(Knowledge(revision=11, version=3))
    assert vm.facts.age() == 0.0
