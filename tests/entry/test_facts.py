"""Decoding the entries of the store, and holding upstreams after an outage."""

import json

import pytest

from lagoonlatch.entry.facts import HOLD_TIME, Facts
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
from tests.steering.samples import make_upstream_table


def config(version):
    service = {
        "resource_kind": "services",
        "metadata": {"name": "ledger"},
        "spec": {"health_path": "/healthz", "cold_start_s": 3.0, "cold_per_s": 8.0},
    }
    return json.dumps({"version": f"r{version}", "resources": [service]}).encode()


def upstream(**changes):
    entry = {
        "service": "ledger",
        "addr": "10.0.0.1:80",
        "zone": "n-a",
        "slots": 3,
        "state": "ready",
        "born": 5,
    }
    return json.dumps(entry | changes).encode()


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def facts(clock):
    facts = Facts(make_upstream_table(clock), clock)
    facts.apply_snapshot(
        [
            Entry("op/config", config(3), 10),
            Entry("servers/i-1", upstream(), 11),
            Entry("servers/i-2", upstream(zone="s-a"), 12),
        ]
    )
    return facts


def usable_ids(facts):
    return {state.record.id for state in facts.fleet.usable("ledger")}


def test_a_snapshot_is_applied_completely(facts):
    assert facts.rules.version == 3
    assert usable_ids(facts) == {"i-1", "i-2"}
    assert len(facts.entries()) == 3


def test_the_configuration_version_never_decreases(facts):
    facts.apply_changes([Change("op/config", config(7), 20)])
    facts.apply_changes([Change("op/config", config(5), 21)])
    assert facts.rules.version == 7
    facts.apply_snapshot([Entry("op/config", config(3), 10)])
    assert facts.rules.version == 7


def test_an_unreadable_configuration_leaves_the_old_one_in_force(facts):
    facts.apply_changes([Change("op/config", b"{", 20)])
    assert facts.rules.version == 3


def test_listeners_are_called_once_for_each_version(facts):
    versions = []
    facts.add_rules_listener(lambda rules: versions.append(rules.version))
    facts.apply_changes([Change("op/config", config(7), 20)])
    facts.apply_snapshot([Entry("op/config", config(7), 20)])
    assert versions == [7]


def test_an_evacuation_lasts_until_its_entry_is_removed(facts):
    facts.apply_changes([Change("op/evacuate/n-a", b"{}", 20)])
    assert usable_ids(facts) == {"i-2"}
    facts.apply_changes([Change("op/evacuate/n-a", None, 21)])
    assert usable_ids(facts) == {"i-1", "i-2"}
    assert facts.fleet.find("i-1").is_cold()


def test_an_unreadable_entry_removes_its_upstream(facts):
    facts.apply_changes([Change("servers/i-1", b"\x00", 20)])
    assert usable_ids(facts) == {"i-2"}


def test_upstreams_missing_from_a_new_snapshot_are_removed(facts):
    removed = []
    facts.add_upstream_gone_listener(removed.append)
    facts.apply_snapshot([Entry("servers/i-2", upstream(zone="s-a"), 12)])
    assert usable_ids(facts) == {"i-2"}
    assert removed == ["i-1"]


def test_upstreams_whose_entries_lapsed_in_an_outage_are_held(facts, clock):
    facts.hold_missing_upstreams()
    facts.apply_snapshot([Entry("op/config", config(3), 10)])
    assert usable_ids(facts) == {"i-1", "i-2"}
    clock.advance(1_000.0)
    facts.apply_changes([Change("servers/i-1", upstream(), 30)])
    facts.remove_missing_upstreams()
    assert usable_ids(facts) == {"i-1", "i-2"}
    assert not facts.fleet.find("i-1").is_cold()
    clock.advance(HOLD_TIME)
    facts.remove_missing_upstreams()
    assert usable_ids(facts) == {"i-1"}


def test_upstreams_that_drain_in_an_outage_are_not_held(facts):
    facts.hold_missing_upstreams()
    facts.apply_snapshot(
        [
            Entry("servers/i-1", upstream(state="draining"), 30),
            Entry("servers/i-2", upstream(zone="s-a"), 12),
        ]
    )
    assert {
        state.record.id
        for state in facts.fleet.usable("ledger")
        if facts.fleet.is_usable(state)
    } == {"i-2"}


def test_vm_entries_are_added_and_removed(facts):
    record = VmRecord(
        id="vm-1",
        data_centre="n-a",
        caller_address="10.0.0.1:1",
        peer_address="10.0.0.1:2",
        run=1,
        is_ready=True,
    )
    facts.apply_changes([Change(f"{VM_PREFIX}vm-1", encode_vm(record), 20)])
    assert facts.vms_by_id["vm-1"] == record
    facts.apply_changes([Change(f"{VM_PREFIX}vm-1", None, 21)])
    assert "vm-1" not in facts.vms_by_id
    assert facts.known_vms_by_id["vm-1"] == record
    facts.apply_changes([Change("lagoonlatch/roster/vm-1", encode_roster("n-a"), 22)])
    assert facts.roster == {"vm-1": "n-a"}


def test_a_snapshot_calls_the_roster_listeners_once():
    """Load: the first snapshot of a fleet; each new roster ranks all VMs again."""
    facts = Facts(make_upstream_table(), ManualClock())
    roster_sizes = []
    facts.add_roster_listener(lambda roster: roster_sizes.append(len(roster)))
    entries = [
        Entry(f"{ROSTER_PREFIX}vm-{number}", encode_roster("n-a"), number + 1)
        for number in range(195)
    ]
    facts.apply_snapshot(entries)
    assert roster_sizes == [195]
    facts.apply_snapshot(entries)
    assert roster_sizes == [195]


def test_vms_may_be_missing_from_the_first_snapshot_and_after_an_outage(clock):
    """FAILBACK: VMs whose entries had lapsed in an outage counted as gone at once."""
    facts = Facts(make_upstream_table(clock), clock)
    assert facts.may_miss_vms()
    facts.apply_snapshot([])
    assert facts.may_miss_vms()
    clock.advance(HOLD_TIME)
    assert not facts.may_miss_vms()
    facts.hold_missing_upstreams()
    assert facts.may_miss_vms()
    clock.advance(HOLD_TIME)
    assert not facts.may_miss_vms()
