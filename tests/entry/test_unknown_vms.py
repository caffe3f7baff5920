"""What an entry VM uses of a rate that all VMs share, with VMs that it may not know."""

import os

import pytest

from lagoonlatch.entry import process
from lagoonlatch.entry.facts import HOLD_TIME
from lagoonlatch.entry.generated import ttypes as wire
from lagoonlatch.entry.journal import LineQueue
from lagoonlatch.entry.process import EntryProcess
from lagoonlatch.membership.rendezvous import ranked
from lagoonlatch.platform.kv import Change
from lagoonlatch.platform.registrations import (
    ROSTER_PREFIX,
    UPSTREAM_PREFIX,
    VM_PREFIX,
    encode_roster,
    encode_vm,
)
from lagoonlatch.platform.settings_file import VmSettings
from lagoonlatch.platform.store import Entry
from lagoonlatch.standins.manual_clock import ManualClock
from lagoonlatch.steering.model import VmRecord
from lagoonlatch.steering.rate_authority import UNCERTAIN_FRACTION
from tests.entry.test_facts import upstream
from tests.entry.test_peers import encode

SETTINGS = """
node = "vm-0"
ip = "127.0.0.1"
zone = "n-a"
port_range = [8381, 8381]
bootstrap = false
[zones]
n-a = "north"
[listen]
front = "127.0.0.1:8388"
ready = "127.0.0.1:8384"
directory = "127.0.0.1:8383"
[platform]
addr = "127.0.0.1:8382"
"""

VMS = [f"vm-{number}" for number in range(10)]
SOURCE = ("127.0.0.1", 8381)


def vm_entry(vm, revision):
    record = VmRecord(
        id=vm,
        data_centre="n-a",
        caller_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
        run=1,
        is_ready=True,
    )
    return Entry(f"{VM_PREFIX}{vm}", encode_vm(record), revision)


def roster_entries(vms=VMS):
    return [Entry(f"{ROSTER_PREFIX}{vm}", encode_roster("n-a"), 1) for vm in vms]


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def vm(clock, monkeypatch, tmp_path):
    """An entry VM that isn't run: it gets facts and datagrams from the test."""
    monkeypatch.setattr(process, "Clock", lambda: clock)
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS)
    settings = VmSettings.from_file(str(path)).unwrap()
    with open(os.devnull, "wb") as output:
        yield EntryProcess.from_settings(settings, LineQueue(output.fileno()))


def senders(vm):
    return sorted(vm._cold_start_limiter._candidates())


def hear_all(vm):
    for name in VMS[1:]:
        tell = wire.Tell(vm=name, run=1, leaving=False, interval=1_000, era=0)
        vm._peers.handle(encode(wire.Datagram(tell=tell)), SOURCE)


def test_vm_that_starts_after_an_outage_counts_the_roster(vm, clock):
    """It would use the whole cold rate if it took itself for the only sender."""
    vm._facts.apply_snapshot(roster_entries())
    assert senders(vm) == VMS
    clock.advance(HOLD_TIME)
    assert senders(vm) == VMS[:1]


def test_vms_whose_entries_lapsed_in_an_outage_stay_senders(vm, clock):
    vm._facts.apply_snapshot([*roster_entries(), *(vm_entry(name, 2) for name in VMS)])
    clock.advance(60_000.0)
    vm._facts.hold_missing_upstreams()
    vm._facts.apply_snapshot(roster_entries())
    assert vm._facts.vms_by_id == {}
    assert senders(vm) == VMS
    clock.advance(HOLD_TIME)
    hear_all(vm)
    vm._neighbours.invalidate()
    assert senders(vm) == VMS


def test_vm_whose_entry_ends_without_an_outage_is_no_sender(vm, clock):
    vm._facts.apply_snapshot([*roster_entries(), *(vm_entry(name, 2) for name in VMS)])
    clock.advance(60_000.0)
    vm._facts.apply_changes([Change(f"{VM_PREFIX}{VMS[3]}", None, 5)])
    assert senders(vm) == [name for name in VMS if name != VMS[3]]


def test_vms_that_restart_in_an_outage_grant_a_limit_once_together(vm, clock):
    """LIMIT: each of them is the only VM that it knows, and so the home VM."""
    upstream_entry = Entry(f"{UPSTREAM_PREFIX}u1", upstream(), 1)
    vm._facts.apply_snapshot([*roster_entries(), upstream_entry])
    assert vm._granted_fraction("u1") * len(VMS) <= UNCERTAIN_FRACTION
    clock.advance(HOLD_TIME)
    assert vm._granted_fraction("u1") == UNCERTAIN_FRACTION


def test_vm_that_starts_among_known_vms_grants_a_part_of_a_limit(vm):
    entries = [vm_entry(name, 2) for name in VMS if name != VMS[0]]
    first = next(
        name
        for name in map("u{}".format, range(1_000))
        if ranked(name, VMS)[0] == VMS[0]
    )
    upstream_entry = Entry(f"{UPSTREAM_PREFIX}{first}", upstream(), 1)
    vm._facts.apply_snapshot([*roster_entries(), *entries, upstream_entry])
    assert vm._granted_fraction(first) == UNCERTAIN_FRACTION
